#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of deploy/system.toml. It needs no network: their module uses the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/testbed"
go build -o ../../target/review-testbed .
