#!/bin/sh
# Shows that bytes without end from one server stop a whole process for
# seconds. TROUBLE=0 lets that server answer like the others.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1
python3 -c 'import standins.deployment' || exit 2
exec python3 case.py
