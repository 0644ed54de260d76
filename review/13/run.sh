#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chestnutdyke ] && [ -x target/review-testbed-3 ] || exit 2
exec target/review-testbed-3 13 target/chestnutdyke review/13/record.txt
