#!/bin/sh
# Checks the stand-ins of the cases. They are Python alone and need no other build than
# the one of the deploy file, which installs what an entry needs.
set -eu
cd "$(dirname "$0")"
test -d ../target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 -c 'import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)' standins.py [0-9]*/*.py
