#!/bin/bash
# The stand-ins of the cases are Python without libraries, so there is nothing to compile. This
# checks that the interpreter reads them, and that the build of the deploy file was made.
set -e
cd "$(dirname "$0")/.."
test -d target/deps/spoolhead
for source in review/lib/*.py review/*/run.py; do
    python3 -S -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
done
