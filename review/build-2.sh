#!/bin/sh
# Build what the scripts of review/4 to review/8 start, after deploy/build. Usage: review/build-2.sh
set -eu
cd "$(dirname "$0")/.."
# The stand-ins are programs of the standard library; compiling them shows that they are whole.
python3 -S -m compileall -q review/lib-2
[ -d target/deps/spoolhead ] || { echo "run deploy/build first" >&2; exit 1; }
