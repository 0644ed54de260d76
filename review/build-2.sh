#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, offline.
set -euo pipefail
cd "$(dirname "$0")/testbed-2"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-2/testbed .
