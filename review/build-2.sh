#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python programs without dependencies. This checks that they
# can be compiled, and that the programs of the deploy file have been built.
set -euo pipefail
cd "$(dirname "$0")"
for file in rig2/rig2.py [0-9]*/run.py; do
  case "$file" in [1-5]/*) continue ;; esac
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x ../target/src/hemlockpointd/hemlockpointd
