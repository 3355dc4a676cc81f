#include "state/tree_int.h"

#include <assert.h>
#include <string.h>
#include <sodium.h>

#include "base/cleanup.h"

static const char *const *string_array(const json_t *val)
{
	const char **list = g_new0(const char *, json_array_size(val) + 1);
	size_t i;
	json_t *item;

	json_array_foreach(val, i, item) list[i] = json_string_value(item);
	return list;
}

static void set_field(void *cfg, const struct schema_key *key,
		      const json_t *val)
{
	char *field = (char *)cfg + key->offset;

	switch (key->type) {
	case SCHEMA_BOOL:
		*(bool *)field = val ? json_is_true(val) : key->def_int != 0;
		break;
	case SCHEMA_INT:
		*(int64_t *)field =
			val ? json_integer_value(val) : key->def_int;
		break;
	case SCHEMA_ENUM:
		*(int *)field =
			val ? schema_enum_index(key, json_string_value(val))
			    : (int)key->def_int;
		break;
	case SCHEMA_REFS:
	case SCHEMA_NAMES:
		*(const char *const **)field = string_array(val);
		break;
	default:
		*(const char **)field =
			val ? json_string_value(val) : key->def_string;
		break;
	}
}

void *tree_node_cfg(struct tree *t, int node)
{
	struct tree_node *n = &t->nodes[node];
	const struct schema_kind_info *info = &schema_kinds[n->kind];

	if (n->cfg)
		return n->cfg;
	n->cfg = g_malloc0(info->cfg_size);
	*(const char **)n->cfg = n->name;
	for (size_t i = 0; i < info->nkeys; i++) {
		int from;

		if (info->keys[i].offset)
			set_field(n->cfg, &info->keys[i],
				  tree_lookup(t, node, &info->keys[i], &from));
	}
	return n->cfg;
}

void tree_node_cfg_free(struct tree_node *node)
{
	const struct schema_kind_info *info = &schema_kinds[node->kind];

	for (size_t i = 0; node->cfg && i < info->nkeys; i++) {
		if (info->keys[i].type == SCHEMA_REFS ||
		    info->keys[i].type == SCHEMA_NAMES)
			g_free(*(void **)((char *)node->cfg +
					  info->keys[i].offset));
	}
	g_free(node->cfg);
}

void tree_key_hash(const char *key, char out[SCHEMA_HASH_HEX_LEN + 1])
{
	unsigned char hash[SCHEMA_HASH_HEX_LEN / 2];

	/* Keys are random, so a fast hash without a salt is enough. */
	crypto_generichash(hash, sizeof(hash), (const unsigned char *)key,
			   strlen(key), NULL, 0);
	sodium_bin2hex(out, SCHEMA_HASH_HEX_LEN + 1, hash, sizeof(hash));
}

bool tree_request_equal(struct tree *a, struct tree *b, const char *account,
			const char *route)
{
	const struct account_cfg *account_a = tree_account(a, account);
	const struct account_cfg *account_b = tree_account(b, account);
	const struct route_cfg *route_a = tree_route(a, route);
	const struct route_cfg *route_b = tree_route(b, route);

	if (!account_a || !account_b || !route_a || !route_b)
		return false;
	if (!account_cfg_equal(account_a, account_b) ||
	    !route_cfg_equal(route_a, route_b) ||
	    !system_cfg_equal(tree_system(a), tree_system(b)))
		return false;
	if (*route_a->model && !model_cfg_equal(tree_model(a, route_a->model),
						tree_model(b, route_b->model)))
		return false;
	if (a->n_ranks != b->n_ranks)
		return false;
	for (size_t i = 0; i < a->n_ranks; i++) {
		if (!rank_cfg_equal(a->ranks[i], b->ranks[i]))
			return false;
	}
	return true;
}
