#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/10/case.py
