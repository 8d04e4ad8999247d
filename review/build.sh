#!/bin/sh
# Builds the stand-ins of the cases into target/review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
packages="glib-2.0 gio-2.0 json-glib-1.0 libmicrohttpd libcurl libtirpc libxxhash"
for source in review/*/case.c; do
	number=$(basename "$(dirname "$source")")
	# shellcheck disable=SC2046
	gcc -std=gnu11 -O2 -Wall -Wextra -Wno-missing-field-initializers -D_GNU_SOURCE \
		-Isrc/sesamewood -Isrc/sesamewood/rpc/generated -Ireview/standin \
		$(pkg-config --cflags $packages) \
		"$source" review/standin/lab.c target/libbase.a target/libprotocol.a \
		$(pkg-config --libs $packages) -lev -lm -o "target/review/case-$number"
done
