# Writes flags.gen.h (-v out=h) or docs/flags.md (-v out=md), generated from
# flags.schema, to standard output.
BEGIN {
	FS = "|"
	if (out == "h") {
		print "/* Generated from flags.schema by gen_flags.awk. */"
		print "/* FLAG(field, name, type, default, argument, description) */"
	} else {
		print "# Flags of mustardwalld"
		print ""
		print "Generated from src/conf/flags.schema by `make regen`. A flag on the command line goes before"
		print "its environment variable."
		print ""
		print "| flag | environment variable | default | description |"
		print "|---|---|---|---|"
	}
}
# Comments and incomplete rows are skipped.
/^#/ || NF < 5 { next }
{
	name = $1
	type = $2
	default_value = $3
	argument = $4
	description = $5
	field = name
	gsub(/-/, "_", field)
	if (out == "h") {
		literal = (type == "int" || type == "flag") ? default_value : "\"" default_value "\""
		printf "FLAG_%s(%s, \"%s\", %s, \"%s\", \"%s\")\n",
			toupper(type), field, name, literal, argument, description
	} else {
		printf "| `--%s%s` | `MUSTARDWALL_%s` | %s | %s |\n", name,
			argument == "" ? "" : "=" argument, toupper(field),
			default_value == "" ? "" : "`" default_value "`", description
	}
}
