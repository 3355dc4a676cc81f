#include "replay.h"

#include <string.h>

#include "base/cleanup.h"
#include "state/tree.h"

/*
 * Input: 'T' and the JSON form of a tree, or 'C' and the edits of a change to
 * the initial tree, one per line, with path, key and value separated by tabs.
 */

/*
 * Checks that an accepted tree is the same after a JSON round trip, and that
 * ranks, endpoints, system settings and accounts can be read from it.
 */
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

/* Splits off the text up to a separator; "" if nothing is left. */
static char *next_field(char **rest, const char *separators)
{
	char *s = strsep(rest, separators);

	return s ? s : "";
}

static void fuzz_change(const char *text, size_t len)
{
	enum { MAX = 64 };
	AUTO_TREE struct tree *initial = tree_new_initial();
	AUTO_TREE struct tree *changed = NULL;
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
		e->path = next_field(&line, "\t");
		e->key = next_field(&line, "\t");
		e->value = next_field(&line, "\t");
		ptr[change.n_edits++] = e;
	}
	if (!tree_apply(initial, &change, &changed, &err)) {
		FUZZ_CHECK(tree_version(changed) == 2);
		check_tree(changed);
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
