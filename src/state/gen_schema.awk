# Generates code and documentation from settings.schema.
# Usage: awk -v out=h|c|md -f gen_schema.awk settings.schema

BEGIN {
	FS = "|"
	n_kinds = split("account rank route endpoint model dc system operator document", kinds, " ")
	split("accounts ranks routes endpoints models dcs system operators documents", folders, " ")
	# Greatest number of path segments below the top folder.
	split("7 1 7 7 1 1 0 1 1", max_depth, " ")
	for (i = 1; i <= n_kinds; i++)
		kind_index[kinds[i]] = i
}

function trim(s) {
	gsub(/^[ \t]+|[ \t]+$/, "", s)
	return s
}

function fail(msg) {
	print FILENAME ":" FNR ": " msg > "/dev/stderr"
	failed = 1
	exit 1
}

/^[ \t]*(#|$)/ { next }

{
	if (NF != 8)
		fail("expected 8 columns, found " NF)
	kind = trim($1)
	if (!(kind in kind_index))
		fail("unknown node kind " kind)
	if ((kind, trim($2)) in seen)
		fail("duplicate key " trim($2))
	seen[kind, trim($2)] = 1
	n++
	k[n] = kind
	key[n] = trim($2)
	split(trim($3), t, ":")
	type[n] = t[1]
	arg[n] = t[2]
	if (type[n] !~ /^(bool|int|string|enum|ref|refs|names|hashes|template)$/)
		fail("unknown type " type[n])
	if (type[n] ~ /^refs?$/ && !(arg[n] in kind_index))
		fail("unknown node kind " arg[n])
	if (type[n] == "int" && (trim($4) == "" || trim($5) == "" || trim($6) == ""))
		fail("an int needs min, max and default")
	min[n] = trim($4) == "" ? 0 : trim($4)
	max[n] = trim($5) == "" ? 0 : trim($5)
	def[n] = trim($6)
	unit[n] = trim($7)
	text[n] = trim($8)
	field[n] = key[n]
	gsub(/[^a-z0-9_]/, "_", field[n])
	if (type[n] == "enum" && def[n] == "")
		fail("an enum needs a default")
}

# Whether a key has no field in the resolved struct.
function not_in_struct(i) {
	return type[i] == "hashes" || type[i] == "template"
}

function header(  i, j, m, v, c) {
	print "/* Generated from settings.schema by `make regen`; do not edit. */"
	print "#ifndef STATE_SCHEMA_GEN_H"
	print "#define STATE_SCHEMA_GEN_H\n"
	print "#include <stdbool.h>\n#include <stdint.h>\n"
	print "enum schema_kind {"
	for (i = 1; i <= n_kinds; i++)
		print "\tSCHEMA_" toupper(kinds[i]) ","
	print "\tSCHEMA_KIND_COUNT\n};\n"
	for (i = 1; i <= n; i++) {
		if (type[i] != "enum")
			continue
		print "enum " k[i] "_" field[i] " {"
		m = split(arg[i], v, ",")
		for (j = 1; j <= m; j++)
			print "\t" toupper(k[i] "_" field[i] "_" v[j]) ","
		print "};\n"
	}
	for (i = 1; i <= n_kinds; i++) {
		print "/* Resolved settings; strings belong to the tree. */"
		print "struct " kinds[i] "_cfg {"
		print "\tconst char *name; /* path below the top folder */"
		for (j = 1; j <= n; j++) {
			if (k[j] != kinds[i] || not_in_struct(j))
				continue
			if (type[j] == "bool")
				c = "bool "
			else if (type[j] == "int")
				c = "int64_t "
			else if (type[j] == "enum")
				c = "enum " k[j] "_" field[j] " "
			else if (type[j] ~ /^(refs|names)$/)
				c = "const char *const *"
			else
				c = "const char *"
			m = text[j]
			if (unit[j] != "")
				m = m " (" unit[j] ")"
			if (type[j] ~ /^(refs|names)$/)
				m = m "; NULL-terminated"
			print "\t/* " m " */"
			print "\t" c field[j] ";"
		}
		print "};\n"
	}
	for (i = 1; i <= n_kinds; i++) {
		print "bool " kinds[i] "_cfg_equal(const struct " kinds[i] "_cfg *a,"
		print "\t\t\tconst struct " kinds[i] "_cfg *b);"
	}
	print "\n#endif"
}

function source(  i, j, m, v, s) {
	print "/* Generated from settings.schema by `make regen`; do not edit. */"
	print "#include \"state/schema.h\"\n"
	print "#include <stddef.h>\n"
	for (i = 1; i <= n; i++) {
		if (type[i] != "enum")
			continue
		m = split(arg[i], v, ",")
		s = ""
		for (j = 1; j <= m; j++)
			s = s "\"" v[j] "\", "
		print "static const char *const " k[i] "_" field[i] "_values[] = { " s "NULL };\n"
	}
	for (i = 1; i <= n_kinds; i++) {
		count[i] = 0
		print "static const struct schema_key " kinds[i] "_keys[] = {"
		for (j = 1; j <= n; j++) {
			if (k[j] != kinds[i])
				continue
			count[i]++
			print "\t{"
			print "\t\t.name = \"" key[j] "\","
			print "\t\t.type = SCHEMA_" toupper(type[j]) ","
			print "\t\t.min = INT64_C(" min[j] "), .max = INT64_C(" max[j] "),"
			if (type[j] == "bool")
				print "\t\t.def_int = " (def[j] == "true") ", .def_string = \"\","
			else if (type[j] == "int")
				print "\t\t.def_int = INT64_C(" def[j] "), .def_string = \"\","
			else if (type[j] == "enum")
				print "\t\t.def_int = " toupper(k[j] "_" field[j] "_" def[j]) ", .def_string = \"" def[j] "\","
			else
				print "\t\t.def_string = \"" def[j] "\","
			if (type[j] == "enum")
				print "\t\t.values = " k[j] "_" field[j] "_values,"
			if (type[j] ~ /^refs?$/)
				print "\t\t.ref = SCHEMA_" toupper(arg[j]) ","
			if (!not_in_struct(j))
				print "\t\t.offset = offsetof(struct " k[j] "_cfg, " field[j] "),"
			print "\t\t.unit = \"" unit[j] "\","
			print "\t\t.description = \"" text[j] "\","
			print "\t},"
		}
		print "};\n"
	}
	print "const struct schema_kind_info schema_kinds[SCHEMA_KIND_COUNT] = {"
	for (i = 1; i <= n_kinds; i++) {
		print "\t[SCHEMA_" toupper(kinds[i]) "] = {"
		print "\t\t.name = \"" kinds[i] "\", .folder = \"" folders[i] "\","
		print "\t\t.max_depth = " max_depth[i] ","
		print "\t\t.keys = " kinds[i] "_keys, .nkeys = " count[i] ","
		print "\t\t.cfg_size = sizeof(struct " kinds[i] "_cfg),"
		print "\t},"
	}
	print "};"
	for (i = 1; i <= n_kinds; i++) {
		print ""
		print "bool " kinds[i] "_cfg_equal(const struct " kinds[i] "_cfg *a,"
		print "\t\t\tconst struct " kinds[i] "_cfg *b)"
		print "{"
		print "\treturn schema_cfg_equal(SCHEMA_" toupper(kinds[i]) ", a, b);"
		print "}"
	}
}

function range(i) {
	if (type[i] == "int")
		return min[i] " to " max[i]
	if (type[i] == "string")
		return "up to " max[i] " bytes"
	if (type[i] ~ /^(refs|names|hashes)$/)
		return "up to " max[i] " entries"
	if (type[i] == "enum") {
		gsub(",", ", ", arg[i])
		return arg[i]
	}
	return ""
}

function markdown(  i, j, p, v) {
	print "# Settings\n"
	print "Generated from src/state/settings.schema by `make regen`; do not edit.\n"
	print "A setting is resolved at the node itself, then at its `template`, then at the"
	print "folder above and that folder's template, and so on; then the default applies."
	print "`key_hash` and `template` are not inherited. A key may be set on any folder of its\nkind, such as `accounts`, `accounts/west` or `ranks`."
	for (i = 1; i <= n_kinds; i++) {
		p = folders[i]
		if (max_depth[i] == 1)
			p = p "/<name>"
		else if (max_depth[i] > 1)
			p = p "/..."
		print "\n## `" p "`\n"
		print "| key | type | range | default | unit | description |"
		print "|---|---|---|---|---|---|"
		for (j = 1; j <= n; j++) {
			if (k[j] != kinds[i])
				continue
			v = type[j]
			if (v ~ /^refs?$/)
				v = v " to " arg[j]
			print "| `" key[j] "` | " v " | " range(j) " | " def[j] " | " unit[j] " | " text[j] " |"
		}
	}
}

END {
	if (failed)
		exit 1
	if (out == "h")
		header()
	else if (out == "c")
		source()
	else
		markdown()
}
