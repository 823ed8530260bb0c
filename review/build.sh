#!/bin/sh
# Checks that the stand-ins compile. They use the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
