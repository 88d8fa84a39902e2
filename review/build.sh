#!/bin/sh
# The stand-ins of the review need nothing but Python's standard library; this
# checks that they compile. The system itself is built by deploy/build.sh.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-5]
