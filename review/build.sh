#!/usr/bin/env bash
# Builds the stand-ins of the review into target/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .
