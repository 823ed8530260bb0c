#!/bin/sh
# Shows that a run goes on at another server while the one before still works
# on it. TROUBLE=0 leaves all servers in place.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1
python3 -c 'import standins.deployment' || exit 2
exec python3 case.py
