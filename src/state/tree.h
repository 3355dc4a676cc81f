#ifndef STATE_TREE_H
#define STATE_TREE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <jansson.h>

#include "state/schema.h"
#include "wire/mw.pb-c.h"

/*
 * The versioned tree of settings.
 *
 * A tree is immutable and counted by references: a change produces a new tree
 * with the next version.  Every existing tree has passed the whole check
 * (schema, references, cycles, bounds), however it was made.
 *
 * JSON form: {"nodes":{"<path>":{"<key>":<value>}},"version":N}, with sorted
 * keys, without white space and with all ancestor folders present.
 */
struct tree;

#define TREE_JSON_MAX (3 << 20) /* bytes of the JSON form */
#define TREE_DEPTH_MAX 8	/* segments of a path */
#define TREE_NODES_MAX 20000
#define TREE_PATH_MAX 255    /* bytes of a path */
#define TREE_EDITS_MAX 20000 /* edits of one change */
#define TREE_TEMPLATES_MAX 8 /* length of a chain of templates */
#define TREE_CHANGE_ID_MAX 128

/* Where and why a change or a tree was refused. */
struct tree_err {
	char path[TREE_PATH_MAX + SCHEMA_NAME_MAX + 2]; /* node path, ":key" */
	char reason[192];
};

/* Returns the built-in first tree, version 1. */
struct tree *tree_first(void);

struct tree *tree_ref(struct tree *t);
void tree_unref(struct tree *t);

static inline void tree_cleanup_(struct tree **t)
{
	tree_unref(*t);
}

#define AUTO_TREE __attribute__((cleanup(tree_cleanup_)))

uint64_t tree_version(const struct tree *t);

/*
 * Canonical JSON form, NUL-terminated; belongs to the tree.  Two trees are
 * equal exactly when these texts are.
 */
const char *tree_json(const struct tree *t, size_t *len);

/*
 * Reads the JSON form.  Returns 0, or -MW_ETOOBIG or -MW_ESCHEMA with err
 * filled in.
 */
int tree_parse(const char *json, size_t len, struct tree **out,
	       struct tree_err *err);

/*
 * Makes the tree that a change leads to.  base_version must be the version of
 * t.  Edits are applied in order; the result is checked as a whole.  An edit
 * with a key sets or unsets it and creates missing nodes; an edit without a
 * key replaces the settings of the node by a JSON object, or removes the node
 * with all nodes below it when the value is empty.
 *
 * Returns 0, -MW_ECONFLICT (base version), -MW_EINVAL (id, comment or list of
 * data centres), -MW_ETOOBIG (size or nodes of the new tree) or -MW_ESCHEMA;
 * err is filled in on failure.
 */
int tree_apply(const struct tree *t, const Mw__Change *change,
	       struct tree **out, struct tree_err *err);

/* As tree_apply(), without a result. */
int tree_check_change(const struct tree *t, const Mw__Change *change,
		      struct tree_err *err);

/*
 * Resolves one setting with inheritance and default; the path need not exist,
 * but must be in a known top folder.  Returns a new reference or NULL for an
 * unknown path or key.  If from is not NULL it is set to the path of the node
 * that holds the value, or to NULL for a default.
 */
json_t *tree_resolve(const struct tree *t, const char *path, const char *key,
		     const char **from);

/*
 * Resolved views.  They belong to the tree, are made on first use, and are
 * NULL when there is no such node.  Names are paths below the top folder.
 * Not for use from several threads.
 */
const struct account_cfg *tree_account(struct tree *t, const char *name);
const struct rank_cfg *tree_rank(struct tree *t, const char *name);
const struct route_cfg *tree_route(struct tree *t, const char *name);
const struct model_cfg *tree_model(struct tree *t, const char *name);
const struct dc_cfg *tree_dc(struct tree *t, const char *name);
const struct operator_cfg *tree_operator(struct tree *t, const char *name);
const struct system_cfg *tree_system(struct tree *t); /* never NULL */

/*
 * Settings of an endpoint: of the node endpoints/<dc>/<id>, or of the nearest
 * existing folder above it.  The name is that of the node found.  Never NULL.
 */
const struct endpoint_cfg *tree_endpoint(struct tree *t, const char *dc,
					 const char *id);

/* Settings of a data centre, as for endpoints.  Never NULL. */
const struct dc_cfg *tree_dc_settings(struct tree *t, const char *dc);

/* Ranks in order of level, most urgent first.  Returns the number, 1 to 8. */
size_t tree_ranks(struct tree *t, const struct rank_cfg *const **ranks);

/* Rank of a route: the one that is set, or the least urgent one. */
const struct rank_cfg *tree_route_rank(struct tree *t,
				       const struct route_cfg *route);

/* Whether an account may use a rank, a route (also through its folder). */
bool account_allows_rank(const struct account_cfg *account, const char *rank);
bool account_allows_route(const struct account_cfg *account, const char *route);

/*
 * Calls fn for each node of a kind below the top folder, in order of the
 * path, with the name; leaf is false for a folder with nodes below it.
 */
void tree_for_each(const struct tree *t, enum schema_kind kind,
		   void (*fn)(const char *name, bool leaf, void *arg),
		   void *arg);

/* Hash of a caller's or operator's key as it is stored in key_hash. */
void tree_key_hash(const char *key, char out[SCHEMA_HASH_HEX + 1]);

/* Name of the account or operator with this key hash, or NULL. */
const char *tree_account_by_key(const struct tree *t, const char *hash);
const char *tree_operator_by_key(const struct tree *t, const char *hash);

/*
 * Whether a request of an account on a route resolves to equal settings of
 * account, route, ranks, model and system in both trees.  Endpoint settings
 * are compared at dispatch with endpoint_cfg_equal().
 */
bool tree_request_equal(struct tree *a, struct tree *b, const char *account,
			const char *route);

/*
 * Calls fn for each setting that differs, in order of the path; a NULL
 * value means unset.  A node without settings is reported with an empty key
 * and an empty object as value.  Returns the number of differences.
 */
size_t tree_diff(const struct tree *a, const struct tree *b,
		 void (*fn)(const char *path, const char *key,
			    const json_t *old, const json_t *now, void *arg),
		 void *arg);

#endif
