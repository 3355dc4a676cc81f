#!/bin/sh
# Starts the case; see claim.txt.  Exit status: 1 the rule was broken, 0 it held,
# 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case1 ] || exit 2
exec target/review/case1 review/1
