#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-2/case-10 ] && [ -x target/sesamewood-platform-control ] || exit 2
exec target/review-2/case-10 "$here/record.txt" target
