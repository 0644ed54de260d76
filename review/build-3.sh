#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, offline.
set -euo pipefail
cd "$(dirname "$0")/testbed-3"
mkdir -p ../../target/review-3
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-3/testbed .
