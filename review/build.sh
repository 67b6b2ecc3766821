#!/usr/bin/env bash
# Builds the stand-ins of the review into target/, from the project's own modules.
set -euo pipefail
cd "$(dirname "$0")/.."
GOFLAGS=-buildvcs=false go build -o target/review-standin review/standin/*.go
