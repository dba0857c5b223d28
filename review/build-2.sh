#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the programs of the deploy file. Their stand-ins are Python
# modules of the standard library, so there is nothing to compile; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common-2/*.py [6-9]/*.py 10/*.py <<'PYTHON'
import os, sys
for path in sys.argv[1:]:
    if os.path.exists(path):
        compile(open(path).read(), path, "exec")
PYTHON
