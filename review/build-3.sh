#!/bin/sh
# Builds the programs of review cases 11 to 15 into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
	[ -f "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-3/case-$number" "$source"
done
