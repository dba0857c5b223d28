#!/usr/bin/env bash
# Exits with 1 if a rule was broken, 0 if all held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
exec timeout -k 5 110 python3 "$(dirname "$0")/case.py"
