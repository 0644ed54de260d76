#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/testbed-3"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-testbed-3 .
