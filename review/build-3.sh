#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are Python programs that need no library, so that there is nothing
# to build; the programs of the deploy file must have been built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/common-3/fleet.py review/1[1-5]/case.py <<'CHECK'
import glob, sys
for pattern in sys.argv[1:]:
    for path in glob.glob(pattern):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
CHECK
