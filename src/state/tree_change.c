#include <string.h>

#include "base/cleanup.h"
#include "base/err.h"
#include "state/tree_int.h"

#define COMMENT_MAX_BYTES 1024
#define LEFT_OUT_MAX 64
/* Each removal scans all nodes: 1,000 take 0.1 s on a tree of full size. */
#define REMOVALS_MAX 1000

/*
 * Returns the settings of a node for modification and creates a missing node.
 * nodes is a shallow copy that shares the settings with the old tree, so they
 * are copied first.
 */
static json_t *writable_settings(json_t *nodes, const char *path)
{
	json_t *old = json_object_get(nodes, path);
	json_t *settings = old ? json_copy(old) : json_object();

	json_object_set_new(nodes, path, settings);
	return settings;
}

static int remove_node(json_t *nodes, const char *path, struct tree_err *err)
{
	size_t len = strlen(path);
	const char *other;
	void *next;
	json_t *val;

	if (!json_object_get(nodes, path))
		return tree_fail(err, path, "", "there is no such node");
	json_object_foreach_safe(nodes, next, other, val)
	{
		if (!strncmp(other, path, len) &&
		    (!other[len] || other[len] == '/'))
			json_object_del(nodes, other);
	}
	return 0;
}

static int apply_edit(json_t *nodes, const Mw__Edit *edit, struct tree_err *err)
{
	enum schema_kind kind;
	const char *reason = tree_path_check(edit->path, &kind);
	json_error_t jerr;

	if (reason)
		return tree_fail(err, edit->path, "", "%s", reason);
	if (*edit->key && !schema_find(kind, edit->key))
		return tree_fail(err, edit->path, edit->key,
				 "unknown key for this kind of node");
	if (!*edit->value && !*edit->key)
		return remove_node(nodes, edit->path, err);
	if (!*edit->value) {
		if (!json_object_get(nodes, edit->path))
			return tree_fail(err, edit->path, edit->key,
					 "there is no such node");
		json_object_del(writable_settings(nodes, edit->path),
				edit->key);
		return 0;
	}

	size_t len = strlen(edit->value);
	AUTO_JSON json_t *val =
		len > TREE_JSON_MAX
			? NULL
			: json_loadb(edit->value, len,
				     JSON_REJECT_DUPLICATES | JSON_DECODE_ANY,
				     &jerr);

	if (!val)
		return tree_fail(err, edit->path, edit->key,
				 "the value is not JSON");
	if (*edit->key) {
		json_object_set(writable_settings(nodes, edit->path), edit->key,
				val);
		return 0;
	}
	if (!json_is_object(val))
		return tree_fail(err, edit->path, "",
				 "the settings are not an object");
	json_object_set(nodes, edit->path, val);
	return 0;
}

static int check_envelope(const struct tree *t, const Mw__Change *change,
			  struct tree_err *err)
{
	int removals = 0;

	if (!*change->id || strlen(change->id) > TREE_CHANGE_ID_MAX) {
		tree_fail(err, "", "", "the change id is missing or too long");
		return -MW_EINVAL;
	}
	if (strlen(change->comment) > COMMENT_MAX_BYTES ||
	    strlen(change->operator_name) > TREE_PATH_MAX ||
	    change->n_left_out > LEFT_OUT_MAX) {
		tree_fail(err, "", "", "the change's description is too long");
		return -MW_EINVAL;
	}
	for (size_t i = 0; i < change->n_left_out; i++) {
		const char *dc = change->left_out[i];

		if (!schema_name_ok(dc, strlen(dc))) {
			tree_fail(err, "", "", "a left-out name is malformed");
			return -MW_EINVAL;
		}
	}
	if (change->base_version != t->version) {
		tree_fail(err, "", "", "the version in force is %llu",
			  (unsigned long long)t->version);
		return -MW_ECONFLICT;
	}
	if (!change->n_edits)
		return tree_fail(err, "", "", "the change has no edits");
	if (change->n_edits > TREE_EDITS_MAX)
		return tree_fail(err, "", "", "more than %d edits",
				 TREE_EDITS_MAX);
	for (size_t i = 0; i < change->n_edits; i++) {
		const Mw__Edit *edit = change->edits[i];

		removals += !*edit->key && !*edit->value;
	}
	if (removals > REMOVALS_MAX)
		return tree_fail(err, "", "", "more than %d removed nodes",
				 REMOVALS_MAX);
	return 0;
}

int tree_apply(const struct tree *t, const Mw__Change *change,
	       struct tree **out, struct tree_err *err)
{
	int rc = check_envelope(t, change, err);

	if (rc)
		return rc;

	AUTO_JSON json_t *nodes = json_copy(t->settings_by_path);

	for (size_t i = 0; i < change->n_edits; i++) {
		rc = apply_edit(nodes, change->edits[i], err);
		if (rc)
			return rc;
	}
	return tree_build(steal_ptr(&nodes), t->version + 1, out, err);
}

int tree_check_change(const struct tree *t, const Mw__Change *change,
		      struct tree_err *err)
{
	AUTO_TREE struct tree *next = NULL;

	return tree_apply(t, change, &next, err);
}

struct diff {
	void (*fn)(const char *path, const char *key, const json_t *old,
		   const json_t *now, void *arg);
	void *arg;
	size_t count;
};

static void report_difference(struct diff *d, const char *path, const char *key,
			      const json_t *old, const json_t *now)
{
	d->count++;
	if (d->fn)
		d->fn(path, key, old, now, d->arg);
}

static void diff_node(struct diff *d, const struct tree_node *node,
		      const json_t *old, const json_t *now)
{
	const struct schema_kind_info *info = &schema_kinds[node->kind];

	if (!json_object_size(old) && !json_object_size(now) && !old != !now)
		report_difference(d, node->path, "", old, now);
	for (size_t i = 0; i < info->nkeys; i++) {
		const json_t *a = json_object_get(old, info->keys[i].name);
		const json_t *b = json_object_get(now, info->keys[i].name);

		if ((a || b) && !json_equal(a, b))
			report_difference(d, node->path, info->keys[i].name, a,
					  b);
	}
}

size_t tree_diff(const struct tree *a, const struct tree *b,
		 void (*fn)(const char *path, const char *key,
			    const json_t *old, const json_t *now, void *arg),
		 void *arg)
{
	struct diff d = {fn, arg, 0};
	size_t i = 0, k = 0;

	while (i < a->n_nodes && k < b->n_nodes) {
		const struct tree_node *x = &a->nodes[i];
		const struct tree_node *y = &b->nodes[k];
		int cmp = strcmp(x->path, y->path);

		diff_node(&d, cmp <= 0 ? x : y, cmp <= 0 ? x->settings : NULL,
			  cmp >= 0 ? y->settings : NULL);
		i += cmp <= 0;
		k += cmp >= 0;
	}
	for (; i < a->n_nodes; i++)
		diff_node(&d, &a->nodes[i], a->nodes[i].settings, NULL);
	for (; k < b->n_nodes; k++)
		diff_node(&d, &b->nodes[k], NULL, b->nodes[k].settings);
	return d.count;
}
