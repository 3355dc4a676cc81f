#include "replay.h"

#include <string.h>

#include "base/cleanup.h"
#include "state/tree.h"

/*
 * Input: 'T' and the JSON form of a tree, or 'C' and the edits of a change to
 * the first tree, one a line with path, key and value between tabs.
 */

/* An accepted tree must survive its own JSON form and resolve all views. */
static void check_tree(struct tree *t)
{
	AUTO_TREE struct tree *copy = NULL;
	const struct rank_cfg *const *ranks;
	struct tree_err err;
	size_t len;
	const char *json = tree_json(t, &len);

	FUZZ_CHECK(!tree_parse(json, len, &copy, &err));
	FUZZ_CHECK(!strcmp(json, tree_json(copy, NULL)));
	FUZZ_CHECK(!tree_diff(t, copy, NULL, NULL));
	FUZZ_CHECK(tree_ranks(t, &ranks) > 0);
	FUZZ_CHECK(tree_endpoint(t, "west", "e1"));
	FUZZ_CHECK(tree_system(t)->ledger_retention_s > 0);
	json_decref(tree_resolve(t, "accounts/west/a", "weight", NULL));
}

static void fuzz_json(const char *text, size_t len)
{
	AUTO_TREE struct tree *t = NULL;
	struct tree_err err;

	if (!tree_parse(text, len, &t, &err))
		check_tree(t);
}

static char *field(char **rest, const char *end)
{
	char *s = strsep(rest, end);

	return s ? s : "";
}

static void fuzz_change(const char *text, size_t len)
{
	enum { MAX = 64 };
	AUTO_TREE struct tree *first = tree_new_initial();
	AUTO_TREE struct tree *next = NULL;
	AUTO_FREE char *copy = strndup(text, len);
	Mw__Change change = MW__CHANGE__INIT;
	Mw__Edit edit[MAX], *ptr[MAX];
	struct tree_err err;
	char *rest = copy;

	change.id = "fuzz";
	change.base_version = 1;
	change.edits = ptr;
	while (rest && change.n_edits < MAX) {
		char *line = strsep(&rest, "\n");
		Mw__Edit *e = &edit[change.n_edits];

		mw__edit__init(e);
		e->path = field(&line, "\t");
		e->key = field(&line, "\t");
		e->value = field(&line, "\t");
		ptr[change.n_edits++] = e;
	}
	if (!tree_apply(first, &change, &next, &err)) {
		FUZZ_CHECK(tree_version(next) == 2);
		check_tree(next);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (size && data[0] == 'T')
		fuzz_json((const char *)data + 1, size - 1);
	else if (size && data[0] == 'C')
		fuzz_change((const char *)data + 1, size - 1);
	return 0;
}
