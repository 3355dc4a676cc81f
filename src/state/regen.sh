#!/bin/sh
# Regenerates schema.gen.h, schema.gen.c and docs/settings.md.
set -e
cd "$(dirname "$0")"
for part in h:schema.gen.h c:schema.gen.c md:../../docs/settings.md; do
	dest=${part#*:}
	awk -v out="${part%%:*}" -f gen_schema.awk settings.schema >"$dest.tmp"
	mv "$dest.tmp" "$dest"
done
