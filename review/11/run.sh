#!/usr/bin/env bash
# Runs the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chestnutdyke ] && [ -x target/review-3/testbed ] || { echo "build target/chestnutdyke and review/build-3.sh first" >&2; exit 2; }
exec target/review-3/testbed 11 target/chestnutdyke review/11/record.txt
