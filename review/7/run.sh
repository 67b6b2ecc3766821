#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standin-3 ] || { echo "run review/build-3.sh first" >&2; exit 2; }
exec target/standin-3 scheduled-job review/7
