#!/usr/bin/env bash
# Checks the stand-ins and scripts of the cases. They are Python programs and need no build.
set -eu
cd "$(dirname "$0")"
for file in common/*.py [0-9]*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
