#!/bin/sh
# Checks and compiles the stand-ins of the cases; they need the standard library only.
# Usage: review/build-2.sh, after deploy/build, at the root of the repository.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/spoolhead
python3 -m compileall -q review/lib-2
