#include "state/tree_int.h"

#include <string.h>

#include "base/err.h"

static int check_settings(const struct tree_node *node, struct tree_err *err)
{
	const char *name;
	json_t *val;

	if (!json_is_object(node->settings))
		return tree_fail(err, node->path, "",
				 "the settings are not an object");
	json_object_foreach((json_t *)node->settings, name, val)
	{
		const struct schema_key *key = schema_find(node->kind, name);
		const char *reason;

		if (!key)
			return tree_fail(err, node->path, name,
					 "unknown key for this kind of node");
		reason = schema_check_value(key, val);
		if (reason && key->type == SCHEMA_INT && json_is_integer(val))
			return tree_fail(err, node->path, name,
					 "%s (%lld to %lld)", reason,
					 (long long)key->min,
					 (long long)key->max);
		if (reason)
			return tree_fail(err, node->path, name, "%s", reason);
	}
	return 0;
}

/* Whether there is a node with this name below the top folder of the kind. */
static bool ref_exists(const struct tree *t, enum schema_kind kind,
		       const char *name)
{
	char path[TREE_PATH_MAX + 1];
	int n = g_snprintf(path, sizeof(path), "%s/%s",
			   schema_kinds[kind].folder, name);

	return n < (int)sizeof(path) && *name && tree_index(t, path) >= 0;
}

static int check_ref(const struct tree *t, const struct tree_node *node,
		     const struct schema_key *key, const char *name,
		     struct tree_err *err)
{
	if (ref_exists(t, key->ref, name))
		return 0;
	return tree_fail(err, node->path, key->name, "there is no %s %.*s",
			 schema_kinds[key->ref].name, SCHEMA_NAME_MAX, name);
}

static int check_template(struct tree *t, struct tree_node *node,
			  const char *path, struct tree_err *err)
{
	if (!*path)
		return 0;
	node->template_index = tree_index(t, path);
	if (node->template_index < 0)
		return tree_fail(err, node->path, "template",
				 "there is no node %.*s", 100, path);
	if (t->nodes[node->template_index].kind != node->kind)
		return tree_fail(err, node->path, "template",
				 "the template is of another kind");
	return 0;
}

static int check_refs(struct tree *t, struct tree_node *node,
		      struct tree_err *err)
{
	const char *name;
	json_t *val, *item;
	size_t i;

	json_object_foreach((json_t *)node->settings, name, val)
	{
		const struct schema_key *key = schema_find(node->kind, name);
		int rc = 0;

		if (key->type == SCHEMA_TEMPLATE)
			rc = check_template(t, node, json_string_value(val),
					    err);
		else if (key->type == SCHEMA_REF && *json_string_value(val))
			rc = check_ref(t, node, key, json_string_value(val),
				       err);
		if (rc)
			return rc;
		if (key->type != SCHEMA_REFS)
			continue;
		json_array_foreach(val, i, item)
		{
			rc = check_ref(t, node, key, json_string_value(item),
				       err);
			if (rc)
				return rc;
		}
	}
	return 0;
}

/*
 * A node inherits from its folder and from its template.  This is a topological
 * sort: it repeatedly removes nodes that no remaining node inherits from.
 * Nodes that are left over are on a cycle or inherited from by one.
 */
static int check_cycles(const struct tree *t, struct tree_err *err)
{
	g_autoptr(GArray) inheritors_array =
		g_array_new(FALSE, TRUE, sizeof(int));
	g_autoptr(GArray) todo_array = g_array_new(FALSE, TRUE, sizeof(int));
	size_t n_todo = 0, done = 0;
	int *inheritors, *todo;

	g_array_set_size(inheritors_array, (guint)t->n_nodes);
	g_array_set_size(todo_array, (guint)t->n_nodes);
	inheritors = (int *)(void *)inheritors_array->data;
	todo = (int *)(void *)todo_array->data;
	for (size_t i = 0; i < t->n_nodes; i++) {
		if (t->nodes[i].parent >= 0)
			inheritors[t->nodes[i].parent]++;
		if (t->nodes[i].template_index >= 0)
			inheritors[t->nodes[i].template_index]++;
	}
	for (size_t i = 0; i < t->n_nodes; i++) {
		if (!inheritors[i])
			todo[n_todo++] = (int)i;
	}
	while (done < n_todo) {
		const struct tree_node *node = &t->nodes[todo[done++]];

		if (node->parent >= 0 && !--inheritors[node->parent])
			todo[n_todo++] = node->parent;
		if (node->template_index >= 0 &&
		    !--inheritors[node->template_index])
			todo[n_todo++] = node->template_index;
	}
	for (size_t i = 0; i < t->n_nodes; i++) {
		if (inheritors[i] && t->nodes[i].template_index >= 0)
			return tree_fail(err, t->nodes[i].path, "template",
					 "the templates form a cycle");
	}
	for (size_t i = 0; i < t->n_nodes; i++) {
		int len = 0;

		for (int k = (int)i; k >= 0; k = t->nodes[k].template_index) {
			if (len++ > TREE_TEMPLATES_MAX)
				return tree_fail(err, t->nodes[i].path,
						 "template",
						 "the chain is longer than %d",
						 TREE_TEMPLATES_MAX);
		}
	}
	return 0;
}

static int cmp_rank(const void *a, const void *b)
{
	const struct rank_cfg *x = *(const struct rank_cfg *const *)a;
	const struct rank_cfg *y = *(const struct rank_cfg *const *)b;

	return (x->level > y->level) - (x->level < y->level);
}

static int check_ranks(struct tree *t, struct tree_err *err)
{
	int64_t floors = 0;

	t->ranks = g_new0(const struct rank_cfg *, t->n_nodes);
	for (size_t i = 0; i < t->n_nodes; i++) {
		if (t->nodes[i].kind == SCHEMA_RANK && t->nodes[i].parent >= 0)
			t->ranks[t->n_ranks++] = tree_node_cfg(t, (int)i);
	}
	if (!t->n_ranks)
		return tree_fail(err, "ranks", "", "there must be a rank");
	qsort(t->ranks, t->n_ranks, sizeof(*t->ranks), cmp_rank);
	for (size_t i = 0; i < t->n_ranks; i++) {
		floors += t->ranks[i]->floor_percent;
		if (i && t->ranks[i]->level == t->ranks[i - 1]->level)
			return tree_fail(err, "ranks", "level",
					 "%s and %s have the same level",
					 t->ranks[i - 1]->name,
					 t->ranks[i]->name);
	}
	if (floors > 100)
		return tree_fail(err, "ranks", "floor_percent",
				 "the floors are %lld percent together",
				 (long long)floors);
	return 0;
}

static int check_route(struct tree *t, int i, struct tree_err *err)
{
	const struct route_cfg *route = tree_node_cfg(t, i);

	if (route->kind == ROUTE_KIND_MODEL && !*route->model)
		return tree_fail(err, t->nodes[i].path, "model",
				 "a route of kind model needs a model");
	if (route->kind == ROUTE_KIND_SERVICE && !*route->service)
		return tree_fail(err, t->nodes[i].path, "service",
				 "a route of kind service needs a service");
	return 0;
}

static int index_key_hashes(GHashTable *index, const struct tree_node *node,
			    struct tree_err *err)
{
	size_t i;
	json_t *item;

	json_array_foreach(json_object_get(node->settings, "key_hash"), i, item)
	{
		if (node->parent < 0)
			return tree_fail(err, node->path, "key_hash",
					 "a top folder has no keys");
		if (!g_hash_table_insert(index, (char *)json_string_value(item),
					 (char *)node->name))
			return tree_fail(err, node->path, "key_hash",
					 "another node has the same key");
	}
	return 0;
}

int tree_check(struct tree *t, struct tree_err *err)
{
	int rc;

	for (size_t i = 0; i < t->n_nodes; i++) {
		rc = check_settings(&t->nodes[i], err);
		if (rc)
			return rc;
	}
	for (size_t i = 0; i < t->n_nodes; i++) {
		rc = check_refs(t, &t->nodes[i], err);
		if (rc)
			return rc;
	}
	rc = check_cycles(t, err);
	if (rc)
		return rc;
	rc = check_ranks(t, err);
	if (rc)
		return rc;
	for (size_t i = 0; i < t->n_nodes; i++) {
		const struct tree_node *node = &t->nodes[i];

		if (node->kind == SCHEMA_ROUTE && node->leaf &&
		    node->parent >= 0)
			rc = check_route(t, (int)i, err);
		else if (node->kind == SCHEMA_ACCOUNT)
			rc = index_key_hashes(t->by_account, node, err);
		else if (node->kind == SCHEMA_OPERATOR)
			rc = index_key_hashes(t->by_operator, node, err);
		if (rc)
			return rc;
	}
	return 0;
}
