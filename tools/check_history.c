/*
 * mw-check_history FILE...: checks histories of callers, operators, endpoints,
 * services and samples together (src/standin/history_check.h).  A line may also
 * be the answer to GET /admin/history of the control leader.  Prints each
 * violation and a last line with counts.  Exit status 0: none found; 1: some;
 * 2: usage, or a file that cannot be read.
 */
#include <stdio.h>
#include <string.h>

#include "base/cleanup.h"
#include "standin/history_check.h"
#include "standin/reply.h"

/* A change of the answer to GET /admin/history. */
static void add_listed(struct history_check *h, int source, const json_t *c)
{
	AUTO_JSON json_t *e = json_pack("{s:s,s:s,s:s,s:I}", "ev", "history",
					"id", json_str(c, "change_id", ""),
					"outcome", json_str(c, "outcome", ""),
					"version", json_int(c, "version", -1));

	history_check_add(h, source, e);
}

static int read_file(struct history_check *h, int source, const char *path)
{
	AUTO_FILE FILE *f = fopen(path, "r");
	AUTO_FREE char *line = NULL;
	size_t room = 0;
	ssize_t len;

	if (!f) {
		fprintf(stderr, "cannot read %s\n", path);
		return -1;
	}
	for (int n = 1; (len = getline(&line, &room, f)) > 0; n++) {
		AUTO_JSON json_t *e = json_loadb(line, (size_t)len, 0, NULL);
		if (!json_is_object(e)) {
			/* Dropping it would hide a violation. */
			fprintf(stderr, "%s:%d: no JSON object\n", path, n);
			return -1;
		}
		const json_t *list = json_object_get(e, "changes"), *c;
		size_t i;
		json_array_foreach(list, i, c) add_listed(h, source, c);
		if (!list)
			history_check_add(h, source, e);
	}
	return 0;
}

int main(int argc, char **argv)
{
	static const char *const kinds[] = {
		"call",		 "answer", "run",   "start", "change",
		"change_answer", "sample", "state", "crash", "history"};
	struct history_check *h = history_check_new();

	if (argc < 2) {
		fprintf(stderr, "usage: mw-check_history FILE...\n");
		return 2;
	}
	for (int i = 1; i < argc; i++)
		if (read_file(h, i, argv[i]))
			return 2;
	AUTO_JSON json_t *found = history_check_run(h);
	const json_t *v;
	size_t i;

	json_array_foreach(found, i, v)
		printf("violation %s: %s\n", json_str(v, "rule", ""),
		       json_str(v, "text", ""));
	for (i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++)
		printf("%s=%d ", kinds[i], history_check_count(h, kinds[i]));
	printf("violations=%zu\n", json_array_size(found));
	history_check_free(h);
	return json_array_size(found) ? 1 : 0;
}
