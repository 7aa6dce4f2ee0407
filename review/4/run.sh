#!/bin/bash
# Usage: review/4/run.sh (from anywhere). TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 118 python3 -S review/4/case.py review/4
