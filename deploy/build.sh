#!/bin/sh
# Installs the pinned libraries and this checkout's packages into target/deps.
set -e
if [ ! target/deps/.libraries -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    mkdir -p target/deps
    python3 -m pip install -q --no-deps --target target/deps -r deploy/requirements.txt
    touch target/deps/.libraries
fi
rm -rf target/deps/seam_policy target/deps/seam_model target/deps/seam_node target/deps/seam_platform
cp -r packages/seam_policy/seam_policy packages/seam_model/seam_model packages/seam_node/seam_node platform/seam_platform target/deps/
python3 -m compileall -q target/deps
