#!/bin/sh
# Shows that a part of prompts that crashes servers is tried without end where
# these come back under their ids. TROUBLE=0 makes that part a sound one.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1
python3 -c 'import standins.deployment' || exit 2
exec python3 case.py
