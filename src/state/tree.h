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
 * A tree is immutable and reference-counted; a change produces a new tree with
 * the next version.  Every tree has passed all checks (schema, references,
 * template cycles, bounds), whether it was parsed or made by a change.  A tree
 * caches resolved settings, so it must not be used by several threads.
 *
 * JSON form: {"nodes":{"<path>":{"<key>":<value>}},"version":N}, with sorted
 * keys, without white space and with all ancestor folders present.
 */
struct tree;

#define TREE_JSON_MAX (3 << 20) /* bytes of the JSON form */
#define TREE_DEPTH_MAX 8	/* segments of a path */
#define TREE_NODES_MAX 20000
#define TREE_PATH_MAX 255      /* bytes of a path */
#define TREE_EDITS_MAX 20000   /* edits of one change */
#define TREE_TEMPLATES_MAX 8   /* length of a chain of templates */
#define TREE_CHANGE_ID_MAX 128 /* bytes */

/* Where and why a change or a tree was refused. */
struct tree_err {
	char path[TREE_PATH_MAX + SCHEMA_NAME_MAX + 2]; /* node path, ":key" */
	char reason[192];
};

/* Returns a new reference to the built-in initial tree, version 1. */
struct tree *tree_new_initial(void);

struct tree *tree_ref(struct tree *t);
void tree_unref(struct tree *t);

static inline void tree_cleanup_(struct tree **t)
{
	tree_unref(*t);
}

#define AUTO_TREE __attribute__((cleanup(tree_cleanup_)))

uint64_t tree_version(const struct tree *t);

/*
 * Canonical JSON form, NUL-terminated and owned by the tree; len may be NULL.
 * Two trees are equal if and only if their JSON forms are.
 */
const char *tree_json(const struct tree *t, size_t *len);

/*
 * Reads the JSON form.  Returns 0, or -MW_ETOOBIG or -MW_ESCHEMA with err
 * filled in.
 */
int tree_parse(const char *json, size_t len, struct tree **out,
	       struct tree_err *err);

/*
 * Applies a change to t and returns the new tree in *out.  base_version must
 * be the version of t.  Edits are applied in order, and only the result after
 * all of them is checked.
 *
 * An edit with a key and a value sets the key and creates missing nodes; with
 * an empty value it unsets the key.  An edit without a key replaces the
 * settings of the node by a JSON object; with an empty value it removes the
 * node and all nodes below it.
 *
 * Returns 0, -MW_ECONFLICT (base version), -MW_EINVAL (id, comment or list of
 * data centres), -MW_ETOOBIG (size or nodes of the new tree) or -MW_ESCHEMA;
 * err is filled in on failure.
 */
int tree_apply(const struct tree *t, const Mw__Change *change,
	       struct tree **out, struct tree_err *err);

/* As tree_apply(), without returning the new tree. */
int tree_check_change(const struct tree *t, const Mw__Change *change,
		      struct tree_err *err);

/*
 * Returns a new reference to the value of a setting after inheritance and
 * default, or NULL for a malformed path or an unknown key.  The node need not
 * exist.  On success, from (if not NULL) is set to the path of the node that
 * has the value, or to NULL for a default.
 */
json_t *tree_resolve(const struct tree *t, const char *path, const char *key,
		     const char **from);

/*
 * Resolved settings of a node, NULL if there is no such node.  They are owned
 * by the tree and made on first use.  A name is the path below the top folder.
 */
const struct account_cfg *tree_account(struct tree *t, const char *name);
const struct rank_cfg *tree_rank(struct tree *t, const char *name);
const struct route_cfg *tree_route(struct tree *t, const char *name);
const struct model_cfg *tree_model(struct tree *t, const char *name);
const struct dc_cfg *tree_dc(struct tree *t, const char *name);
const struct operator_cfg *tree_operator(struct tree *t, const char *name);
const struct system_cfg *tree_system(struct tree *t); /* never NULL */

/*
 * Settings of an endpoint: those of the node endpoints/<dc>/<id>, or else of
 * the nearest existing folder above it, whose name they have.  Never NULL.
 */
const struct endpoint_cfg *tree_endpoint(struct tree *t, const char *dc,
					 const char *id);

/* Settings of a data centre, as for endpoints.  Never NULL. */
const struct dc_cfg *tree_dc_settings(struct tree *t, const char *dc);

/* Ranks by level, most urgent first.  Returns their number, 1 to 8. */
size_t tree_ranks(struct tree *t, const struct rank_cfg *const **ranks);

/* Rank that the route sets, or else the least urgent rank. */
const struct rank_cfg *tree_route_rank(struct tree *t,
				       const struct route_cfg *route);

/*
 * Whether an account may use a rank or a route.  An empty list allows all; an
 * entry of the list of routes also allows all routes below it.
 */
bool account_allows_rank(const struct account_cfg *account, const char *rank);
bool account_allows_route(const struct account_cfg *account, const char *route);

/*
 * Calls fn for each node of a kind below the top folder, sorted by path.  leaf
 * is false for a node that has nodes below it.
 */
void tree_for_each(const struct tree *t, enum schema_kind kind,
		   void (*fn)(const char *name, bool leaf, void *arg),
		   void *arg);

/* Hash of a client's or operator's key, as stored in key_hash. */
void tree_key_hash(const char *key, char out[SCHEMA_HASH_HEX_LEN + 1]);

/* Name of the account or operator with this key hash, or NULL. */
const char *tree_account_by_key(const struct tree *t, const char *hash);
const char *tree_operator_by_key(const struct tree *t, const char *hash);

/*
 * Whether both trees have the account and the route, and a request of that
 * account on that route has equal settings of account, route, ranks, model and
 * system in both.  Endpoint settings are not compared here but at dispatch,
 * with endpoint_cfg_equal().
 */
bool tree_request_equal(struct tree *a, struct tree *b, const char *account,
			const char *route);

/*
 * Calls fn (if not NULL) for each setting that differs, sorted by path; a NULL
 * value means unset.  An added or removed node without settings is reported
 * with an empty key and an empty object.  Returns the number of differences.
 */
size_t tree_diff(const struct tree *a, const struct tree *b,
		 void (*fn)(const char *path, const char *key,
			    const json_t *old, const json_t *now, void *arg),
		 void *arg);

#endif
