#!/usr/bin/env bash
# The stand-ins are Python programs without dependencies. This checks that they
# can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py [0-9]*/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
