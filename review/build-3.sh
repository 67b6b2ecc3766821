#!/bin/bash
# Builds the stand-ins that the scripts of the third review start. It needs nothing
# but Go's standard library, and writes to target/.
set -e
cd "$(dirname "$0")/.."
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -C review/standin-3 -o ../../target/review-3/standin3 .
