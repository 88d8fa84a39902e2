#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python that uses the standard library
# only, so there is nothing to compile; this checks that they can be read.
set -e
cd "$(dirname "$0")/common3"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import platform_standin, servers'
