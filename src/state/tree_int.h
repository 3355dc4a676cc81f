#ifndef STATE_TREE_INT_H
#define STATE_TREE_INT_H

#include <glib.h>

#include "state/tree.h"

/* Layout of a tree, shared by the tree_*.c files only. */

struct tree_node {
	const char *path;
	const char *name; /* path below the top folder, "" for that folder */
	const json_t *settings;
	enum schema_kind kind;
	int parent;	    /* index, -1 for a top folder */
	int template_index; /* index of the template, -1 for none */
	bool leaf;
	void *cfg; /* resolved struct, made on first use */
};

struct tree {
	int refs;
	uint64_t version;
	json_t *nodes; /* path -> settings; never changed after the build */
	struct tree_node *node; /* in order of the path */
	size_t n;
	GHashTable *by_path;	       /* path -> index + 1 */
	GHashTable *by_account;	       /* key hash -> account name */
	GHashTable *by_operator;       /* key hash -> operator name */
	const struct rank_cfg **ranks; /* in order of level */
	size_t n_ranks;
	char *json;
	size_t json_len;
};

/*
 * Makes a checked tree; takes ownership of nodes.  Returns 0, -MW_ETOOBIG or
 * -MW_ESCHEMA.
 */
int tree_build(json_t *nodes, uint64_t version, struct tree **out,
	       struct tree_err *err);

/* Checks the built nodes: values, references, cycles, rules between nodes. */
int tree_check(struct tree *t, struct tree_err *err);

/* Returns NULL for a well-formed path and sets its kind, otherwise reason not.
 */
const char *tree_path_check(const char *path, enum schema_kind *kind);

/* Fills in err and returns -MW_ESCHEMA. */
int tree_fail(struct tree_err *err, const char *path, const char *key,
	      const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/* Index of a node, -1 if there is none. */
int tree_index(const struct tree *t, const char *path);

/* Value with inheritance but without default, and the node that holds it. */
const json_t *tree_lookup(const struct tree *t, int node,
			  const struct schema_key *key, int *from);

/* Resolved struct of a node. */
void *tree_node_cfg(struct tree *t, int node);
void tree_node_cfg_free(struct tree_node *node);

#endif
