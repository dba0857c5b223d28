#!/usr/bin/env bash
# The stand-ins of the cases are Python scripts (standard library only, Python 3.11 or newer), so there is nothing to compile.
cd "$(dirname "$0")" && for script in common/*.py [0-9]/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script" || exit 1
done
