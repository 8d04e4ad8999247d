#!/bin/sh
# Builds the stand-ins and clients of the scripts of the second review into a folder target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="$(pkg-config --cflags --libs glib-2.0 gobject-2.0 json-glib-1.0)"
for case in review/[6-9]/case.c review/10/case.c; do
	[ -e "$case" ] || continue
	number="$(basename "$(dirname "$case")")"
	# shellcheck disable=SC2086
	gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -pthread -Ireview/common-2 \
		-o "target/review-2/case-$number" "$case" review/common-2/world.c $flags
done
