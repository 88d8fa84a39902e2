#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption; case.py asks
# standins.trouble() for it.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
python3 -c 'import ast; ast.parse(open("case.py").read())' || exit 2
exec python3 case.py
