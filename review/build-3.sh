#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, below target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
${CC:-gcc} -std=gnu11 -O2 -Wall -Wextra -Werror -pthread \
	-o target/review-3/standin-3 review/standin-3.c
