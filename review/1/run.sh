#!/bin/sh
# Exits with 1 if a pass began with different maps, 0 if none did, 2 if the
# case could not run.  TROUBLE=0: no late orders, no kill.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pilot/siskin-pilot ] || exit 2
PYTHONDONTWRITEBYTECODE=1 exec timeout -k 2 115 python3 review/1/case.py
