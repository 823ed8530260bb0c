#!/bin/sh
# Installs the libraries and the project's packages below target/deps.
set -eu
mkdir -p target
if ! cmp -s deploy/requirements.txt target/installed.txt; then
    rm -rf target/deps
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
    cp deploy/requirements.txt target/installed.txt
fi
rm -rf target/deps/mastichatch_core target/deps/mastichatch_node target/deps/mastichatch_platform
cp -r packages/core/mastichatch_core packages/node/mastichatch_node platform/mastichatch_platform target/deps/
python3 -m compileall -q target/deps
