#!/bin/sh
# Builds the stand-ins of the cases into target/review.  The build of the deploy
# file (target/mustardwalld-platform) comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for c in review/[1-5]/case.c; do
	[ -e "$c" ] || continue
	n=$(basename "$(dirname "$c")")
	${CC:-gcc} -std=gnu11 -O1 -g -Wall -Wextra -Werror -D_GNU_SOURCE \
		-Ireview -pthread -o "target/review/case$n" "$c" review/harness.c
done
