#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are Python programs, the
# project's own in tests/fakes too, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in tests/fakes/platform_fakes.py review/common/*.py review/*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
