#!/bin/sh
# Builds every stand-in that a script of review/11 to review/15 starts.  They
# are Python programs, the project's own in tests/process too: there is nothing
# to compile, so this checks that each can be read.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'END'
import ast
import glob

for name in sorted(glob.glob("review/1[1-5]/*.py")
                   + ["tests/process/platform_replicas.py",
                      "tests/process/platform_store.py"]):
    with open(name) as stream:
        ast.parse(stream.read(), name)
    print("ready:", name)
END
