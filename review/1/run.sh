#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
python3 -B -c 'import sys, tomllib; sys.path.insert(0, "../common"); import standin' || exit 2
timeout 115 python3 -B case.py
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
