#!/bin/sh
# The stand-ins of this review and the project's own that it uses are Python
# programs and need no build.  This checks that they are complete.
set -eu
cd "$(dirname "$0")/.."
for file in tests/process/platform_store.py tests/process/platform_replicas.py \
  review/standins-2/*.py review/[6-9]/*.py review/10/*.py; do
  [ -f "$file" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
