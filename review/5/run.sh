#!/bin/sh
# Shows that sound runs are ended for copies that no longer exist. TROUBLE=0
# leaves all servers as they are.
cd "$(dirname "$0")"
export PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
