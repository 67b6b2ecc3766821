#!/usr/bin/env bash
# Builds the stand-ins of review/5 and review/6, from the project's own modules. The
# programs are built by the line of deploy/system.toml. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOFLAGS=-buildvcs=false go build -o target/standin-2 review/standin-2/*.go
