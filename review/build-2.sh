#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, after
# the build of deploy/system.toml.  They are placed below target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
${CC:-cc} -std=gnu11 -O2 -g -Wall -Wextra -o target/review-2/standin-2 \
	review/standin-2.c -pthread
