#!/bin/sh
# Exits with 1 if more than three requests with the part reached replicas too
# late, 0 if not, 2 if the case could not run.  TROUBLE=0: the part crashes
# nothing.  PARTS_BETWEEN=10: the part comes earlier.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/relay/siskin-relay ] || exit 2
PYTHONDONTWRITEBYTECODE=1 exec timeout -k 2 115 python3 review/3/case.py
