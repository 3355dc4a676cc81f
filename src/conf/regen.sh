#!/bin/sh
# Regenerates flags.gen.h and docs/flags.md from flags.schema.
set -eu
cd "$(dirname "$0")"
awk -v out=h -f gen_flags.awk flags.schema >flags.gen.h
awk -v out=md -f gen_flags.awk flags.schema >../../docs/flags.md
