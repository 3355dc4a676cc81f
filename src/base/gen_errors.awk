# Generates docs/errors.md from err_kinds.h.
BEGIN {
	print "# Error kinds"
	print ""
	print "Generated from src/base/err_kinds.h by `make regen`. Answers to callers carry"
	print "`{\"error\":{\"kind\",\"message\",\"outcome\"}}` and the header `Mustardwall-Outcome`. \"Not run\" in"
	print "the table means that the kind promises that the request did not run. For a call with an"
	print "`Idempotency-Key` this promise is given only with the kind `not_run`: other refusals of such a call"
	print "carry the outcome `unknown`, because another copy may be in flight; sending the same key again"
	print "returns the outcome and never runs the call twice."
	print ""
	print "| kind | HTTP | not run | send again | meaning |"
	print "|---|---|---|---|---|"
}
/^ \*|^\/\*/ { next }
{ text = text $0 }
/\)$/ {
	sub(/^[^(]*\(/, "", text)
	sub(/\)$/, "", text)
	gsub(/[\t ]+/, " ", text)
	match(text, /"[^"]*"$/)
	meaning = substr(text, RSTART + 1, RLENGTH - 2)
	head = substr(text, 1, RSTART - 1)
	split(head, f, /, */)
	gsub(/"/, "", f[2])
	printf "| `%s` | %s | %s | %s | %s |\n", f[2], f[3],
		f[4] ? "yes" : "no", f[5] ? "may help" : "no", meaning
	text = ""
}
