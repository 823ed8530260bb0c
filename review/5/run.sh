#!/bin/sh
# Shows that sound runs are ended for copies that no longer exist. TROUBLE=0
# leaves all servers as they are.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1
python3 -c 'import standins.deployment' || exit 2
exec python3 case.py
