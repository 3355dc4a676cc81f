#include "state/tree.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/cleanup.h"
#include "base/err.h"
#include "state/tree_int.h"

/*
 * Largest version in a parsed tree.  A damaged tree must not have a version so
 * high that there is no room for later ones.
 */
#define VERSION_MAX (INT64_C(1) << 53)

int tree_fail(struct tree_err *err, const char *path, const char *key,
	      const char *fmt, ...)
{
	va_list ap;

	snprintf(err->path, sizeof(err->path), "%.*s%s%.*s", TREE_PATH_MAX,
		 path, *key ? ":" : "", SCHEMA_NAME_MAX, key);
	va_start(ap, fmt);
	vsnprintf(err->reason, sizeof(err->reason), fmt, ap);
	va_end(ap);
	return -MW_ESCHEMA;
}

const char *tree_path_check(const char *path, enum schema_kind *kind)
{
	size_t len = strcspn(path, "/");
	int depth = 0, k = 0;

	if (strlen(path) > TREE_PATH_MAX)
		return "the path is too long";
	while (k < SCHEMA_KIND_COUNT &&
	       (strlen(schema_kinds[k].folder) != len ||
		memcmp(schema_kinds[k].folder, path, len) != 0))
		k++;
	if (k == SCHEMA_KIND_COUNT)
		return "there is no such top folder";
	for (const char *p = path + len; *p; p += len) {
		len = strcspn(++p, "/");
		if (!schema_name_ok(p, len))
			return "a name in the path is malformed";
		if (++depth > schema_kinds[k].max_depth)
			return "the path is too deep";
	}
	*kind = (enum schema_kind)k;
	return NULL;
}

/* Adds the folders above each node and all top folders. */
static int add_folders(json_t *nodes, struct tree_err *err)
{
	AUTO_JSON json_t *missing = json_object();
	const char *path;
	json_t *val;

	if (json_object_size(nodes) > TREE_NODES_MAX)
		goto too_many;
	json_object_foreach(nodes, path, val)
	{
		char folder[TREE_PATH_MAX + 1];
		enum schema_kind kind;
		const char *reason = tree_path_check(path, &kind);
		char *slash;

		if (reason)
			return tree_fail(err, path, "", "%s", reason);
		strcpy(folder, path);
		while ((slash = strrchr(folder, '/'))) {
			*slash = '\0';
			if (json_object_get(nodes, folder))
				break;
			json_object_set_new(missing, folder, json_object());
		}
	}
	for (int k = 0; k < SCHEMA_KIND_COUNT; k++) {
		if (!json_object_get(nodes, schema_kinds[k].folder))
			json_object_set_new(missing, schema_kinds[k].folder,
					    json_object());
	}
	json_object_update(nodes, missing);
	if (json_object_size(nodes) <= TREE_NODES_MAX)
		return 0;
too_many:
	tree_fail(err, "", "", "the tree has more than %d nodes",
		  TREE_NODES_MAX);
	return -MW_ETOOBIG;
}

static int cmp_node(const void *a, const void *b)
{
	return strcmp(((const struct tree_node *)a)->path,
		      ((const struct tree_node *)b)->path);
}

static void index_nodes(struct tree *t)
{
	const char *path;
	json_t *val;

	t->nodes =
		g_new0(struct tree_node, json_object_size(t->settings_by_path));
	json_object_foreach(t->settings_by_path, path, val)
	{
		struct tree_node *node = &t->nodes[t->n_nodes++];
		const char *slash = strchr(path, '/');

		node->path = path;
		node->name = slash ? slash + 1 : "";
		node->settings = val;
		tree_path_check(path, &node->kind);
		node->parent = node->template_index = -1;
		node->leaf = true;
	}
	qsort(t->nodes, t->n_nodes, sizeof(*t->nodes), cmp_node);
	for (size_t i = 0; i < t->n_nodes; i++)
		g_hash_table_insert(t->by_path, (char *)t->nodes[i].path,
				    GINT_TO_POINTER((int)i + 1));
	for (size_t i = 0; i < t->n_nodes; i++) {
		char folder[TREE_PATH_MAX + 1];
		char *slash;

		strcpy(folder, t->nodes[i].path);
		slash = strrchr(folder, '/');
		if (!slash)
			continue;
		*slash = '\0';
		t->nodes[i].parent = tree_index(t, folder);
		assert(t->nodes[i].parent >= 0);
		t->nodes[t->nodes[i].parent].leaf = false;
	}
}

static int render_json(struct tree *t, struct tree_err *err)
{
	AUTO_JSON json_t *top =
		json_pack("{s:O, s:I}", "nodes", t->settings_by_path, "version",
			  (json_int_t)t->version);

	t->json = json_dumps(top, JSON_COMPACT | JSON_SORT_KEYS);
	assert(t->json);
	t->json_len = strlen(t->json);
	if (t->json_len <= TREE_JSON_MAX)
		return 0;
	tree_fail(err, "", "", "the tree is larger than %d bytes",
		  TREE_JSON_MAX);
	return -MW_ETOOBIG;
}

int tree_build(json_t *nodes, uint64_t version, struct tree **out,
	       struct tree_err *err)
{
	AUTO_TREE struct tree *t = g_new0(struct tree, 1);
	int rc;

	t->refs = 1;
	t->version = version;
	t->settings_by_path = nodes;
	t->by_path = g_hash_table_new(g_str_hash, g_str_equal);
	t->by_account = g_hash_table_new(g_str_hash, g_str_equal);
	t->by_operator = g_hash_table_new(g_str_hash, g_str_equal);
	rc = add_folders(nodes, err);
	if (rc)
		return rc;
	index_nodes(t);
	rc = tree_check(t, err);
	if (rc)
		return rc;
	rc = render_json(t, err);
	if (rc)
		return rc;
	*out = steal_ptr(&t);
	return 0;
}

struct tree *tree_new_initial(void)
{
	/*
	 * The rank "urgent" has the default targets, 1 s to the first token
	 * and 79 ms between tokens (section 1.6 of docs/design.md).
	 */
	static const char json[] =
		"{\"nodes\":{"
		"\"ranks/urgent\":{\"level\":0,\"queue_max_age_ms\":10000},"
		"\"ranks/normal\":{\"level\":1,\"floor_percent\":10,"
		"\"ttft_target_ms\":30000,\"tbt_target_ms\":250,"
		"\"queue_max_age_ms\":300000}},"
		"\"version\":1}";
	struct tree_err err;
	struct tree *t = NULL;
	int rc = tree_parse(json, sizeof(json) - 1, &t, &err);

	assert(!rc);
	(void)rc;
	return t;
}

struct tree *tree_ref(struct tree *t)
{
	t->refs++;
	return t;
}

void tree_unref(struct tree *t)
{
	if (!t || --t->refs)
		return;
	for (size_t i = 0; i < t->n_nodes; i++)
		tree_node_cfg_free(&t->nodes[i]);
	g_hash_table_destroy(t->by_path);
	g_hash_table_destroy(t->by_account);
	g_hash_table_destroy(t->by_operator);
	g_free(t->ranks);
	g_free(t->nodes);
	json_decref(t->settings_by_path);
	free(t->json);
	g_free(t);
}

uint64_t tree_version(const struct tree *t)
{
	return t->version;
}

const char *tree_json(const struct tree *t, size_t *len)
{
	if (len)
		*len = t->json_len;
	return t->json;
}

int tree_parse(const char *json, size_t len, struct tree **out,
	       struct tree_err *err)
{
	json_error_t jerr;
	json_int_t version;
	json_t *nodes;

	if (len > TREE_JSON_MAX) {
		tree_fail(err, "", "", "the tree is larger than %d bytes",
			  TREE_JSON_MAX);
		return -MW_ETOOBIG;
	}
	AUTO_JSON json_t *top =
		json_loadb(json, len, JSON_REJECT_DUPLICATES, &jerr);

	if (!top)
		return tree_fail(err, "", "", "not JSON: %s", jerr.text);
	if (json_unpack_ex(top, &jerr, JSON_STRICT, "{s:o, s:I}", "nodes",
			   &nodes, "version", &version))
		return tree_fail(err, "", "", "%s", jerr.text);
	if (!json_is_object(nodes) || version < 1 || version > VERSION_MAX)
		return tree_fail(err, "", "", "nodes or version is malformed");
	return tree_build(json_incref(nodes), (uint64_t)version, out, err);
}

int tree_index(const struct tree *t, const char *path)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(t->by_path, path)) - 1;
}

const json_t *tree_lookup(const struct tree *t, int node,
			  const struct schema_key *key, int *from)
{
	bool inherits =
		key->type != SCHEMA_HASHES && key->type != SCHEMA_TEMPLATE;

	for (int i = node; i >= 0; i = inherits ? t->nodes[i].parent : -1) {
		for (int k = i; k >= 0;
		     k = inherits ? t->nodes[k].template_index : -1) {
			const json_t *val = json_object_get(
				t->nodes[k].settings, key->name);

			if (val) {
				*from = k;
				return val;
			}
		}
	}
	*from = -1;
	return NULL;
}

/* Index of the node, or of the nearest existing folder above it. */
static int nearest_existing(const struct tree *t, const char *path)
{
	char folder[TREE_PATH_MAX + 1];
	int i = tree_index(t, path);
	char *slash;

	snprintf(folder, sizeof(folder), "%s", path);
	while (i < 0 && (slash = strrchr(folder, '/'))) {
		*slash = '\0';
		i = tree_index(t, folder);
	}
	return i;
}

json_t *tree_resolve(const struct tree *t, const char *path, const char *key,
		     const char **from)
{
	enum schema_kind kind;

	if (tree_path_check(path, &kind))
		return NULL;

	const struct schema_key *setting = schema_find(kind, key);
	int i = nearest_existing(t, path), holder;

	if (!setting)
		return NULL;
	/* A node that does not exist has no value for these: no inheritance. */
	if ((setting->type == SCHEMA_HASHES ||
	     setting->type == SCHEMA_TEMPLATE) &&
	    tree_index(t, path) < 0)
		i = -1;

	const json_t *val = tree_lookup(t, i, setting, &holder);

	if (from)
		*from = val ? t->nodes[holder].path : NULL;
	return val ? json_incref((json_t *)val) : schema_default(setting);
}

static void *find_cfg(struct tree *t, enum schema_kind kind, const char *name)
{
	char path[TREE_PATH_MAX + 1];
	int n = snprintf(path, sizeof(path), "%s/%s", schema_kinds[kind].folder,
			 name);
	int i = n < (int)sizeof(path) ? tree_index(t, path) : -1;

	return i < 0 ? NULL : tree_node_cfg(t, i);
}

const struct account_cfg *tree_account(struct tree *t, const char *name)
{
	return find_cfg(t, SCHEMA_ACCOUNT, name);
}

const struct rank_cfg *tree_rank(struct tree *t, const char *name)
{
	return find_cfg(t, SCHEMA_RANK, name);
}

const struct route_cfg *tree_route(struct tree *t, const char *name)
{
	return find_cfg(t, SCHEMA_ROUTE, name);
}

const struct model_cfg *tree_model(struct tree *t, const char *name)
{
	return find_cfg(t, SCHEMA_MODEL, name);
}

const struct dc_cfg *tree_dc(struct tree *t, const char *name)
{
	return find_cfg(t, SCHEMA_DC, name);
}

const struct operator_cfg *tree_operator(struct tree *t, const char *name)
{
	return find_cfg(t, SCHEMA_OPERATOR, name);
}

const struct system_cfg *tree_system(struct tree *t)
{
	return tree_node_cfg(t, tree_index(t, "system"));
}

const struct endpoint_cfg *tree_endpoint(struct tree *t, const char *dc,
					 const char *id)
{
	char path[TREE_PATH_MAX + 1];

	snprintf(path, sizeof(path), "endpoints/%s/%s", dc, id);
	return tree_node_cfg(t, nearest_existing(t, path));
}

const struct dc_cfg *tree_dc_settings(struct tree *t, const char *dc)
{
	char path[TREE_PATH_MAX + 1];

	snprintf(path, sizeof(path), "dcs/%s", dc);
	return tree_node_cfg(t, nearest_existing(t, path));
}

size_t tree_ranks(struct tree *t, const struct rank_cfg *const **ranks)
{
	*ranks = t->ranks;
	return t->n_ranks;
}

const struct rank_cfg *tree_route_rank(struct tree *t,
				       const struct route_cfg *route)
{
	if (*route->rank)
		return tree_rank(t, route->rank);
	return t->ranks[t->n_ranks - 1];
}

bool account_allows_rank(const struct account_cfg *account, const char *rank)
{
	const char *const *name = account->ranks;

	if (!*name)
		return true;
	while (*name && strcmp(*name, rank) != 0)
		name++;
	return *name;
}

bool account_allows_route(const struct account_cfg *account, const char *route)
{
	if (!*account->routes)
		return true;
	for (const char *const *name = account->routes; *name; name++) {
		size_t len = strlen(*name);

		if (!strncmp(*name, route, len) &&
		    (!route[len] || route[len] == '/'))
			return true;
	}
	return false;
}

void tree_for_each(const struct tree *t, enum schema_kind kind,
		   void (*fn)(const char *name, bool leaf, void *arg),
		   void *arg)
{
	for (size_t i = 0; i < t->n_nodes; i++) {
		if (t->nodes[i].kind == kind && t->nodes[i].parent >= 0)
			fn(t->nodes[i].name, t->nodes[i].leaf, arg);
	}
}

const char *tree_account_by_key(const struct tree *t, const char *hash)
{
	return g_hash_table_lookup(t->by_account, hash);
}

const char *tree_operator_by_key(const struct tree *t, const char *hash)
{
	return g_hash_table_lookup(t->by_operator, hash);
}
