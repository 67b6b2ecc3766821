#!/usr/bin/env bash
# Builds the stand-ins of review/7, 8 and 9, from the project's own modules. The
# programs are built by the line of deploy/system.toml. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOFLAGS=-buildvcs=false go build -o target/standin-3 review/standin-3/*.go
