#ifndef STATE_TREE_INT_H
#define STATE_TREE_INT_H

#include <glib.h>

#include "state/tree.h"

/* Definition of a tree, for tree.c and the tree_*.c files only. */

struct tree_node {
	const char *path;
	const char *name; /* path below the top folder, "" for that folder */
	const json_t *settings;
	enum schema_kind kind;
	int parent;	    /* index, -1 for a top folder */
	int template_index; /* index of the template, -1 for none */
	bool leaf;
	void *cfg; /* resolved settings, made on first use */
};

struct tree {
	int refs;
	uint64_t version;
	json_t *settings_by_path; /* not modified after tree_build() */
	struct tree_node *nodes;  /* sorted by path */
	size_t n_nodes;
	GHashTable *by_path;	       /* path -> index + 1 */
	GHashTable *by_account;	       /* key hash -> account name */
	GHashTable *by_operator;       /* key hash -> operator name */
	const struct rank_cfg **ranks; /* sorted by level */
	size_t n_ranks;
	char *json;
	size_t json_len;
};

/*
 * Makes a tree from its nodes, adds missing folders and checks it.  Takes
 * ownership of nodes, also on failure.  Returns 0, -MW_ETOOBIG or -MW_ESCHEMA.
 */
int tree_build(json_t *nodes, uint64_t version, struct tree **out,
	       struct tree_err *err);

/* Checks values, references, cycles and ranks; fills the lookup tables. */
int tree_check(struct tree *t, struct tree_err *err);

/* Returns NULL and sets kind for a well-formed path, otherwise the reason. */
const char *tree_path_check(const char *path, enum schema_kind *kind);

/* Fills in err and returns -MW_ESCHEMA. */
int tree_fail(struct tree_err *err, const char *path, const char *key,
	      const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/* Index of a node, or -1. */
int tree_index(const struct tree *t, const char *path);

/*
 * Value after inheritance, NULL if only the default applies.  *from is set to
 * the index of the node that has the value, or to -1.
 */
const json_t *tree_lookup(const struct tree *t, int node,
			  const struct schema_key *key, int *from);

/* Resolved settings of a node, a struct <kind>_cfg owned by the tree. */
void *tree_node_cfg(struct tree *t, int node);
void tree_node_cfg_free(struct tree_node *node);

#endif
