#!/bin/sh
# Shows that a stream without a length is passed on as complete, though its
# server was still at work on it. TROUBLE=0 leaves the server in place.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1
python3 -c 'import standins.deployment' || exit 2
exec python3 case.py
