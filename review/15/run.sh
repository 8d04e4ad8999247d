#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-3/case-15 ] || exit 2
timeout -s TERM 115 target/review-3/case-15 "$folder/record.txt"
status=$?
[ $status -le 1 ] && exit $status
exit 2
