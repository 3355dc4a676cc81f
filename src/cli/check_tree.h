#ifndef CLI_CHECK_TREE_H
#define CLI_CHECK_TREE_H

#include <glib.h>

#include "base/finding.h"
#include "state/tree.h"

/*
 * Appends the warnings on a tree that was accepted: entries that can never
 * match, and settings that have no effect or cannot hold together.  Does no
 * I/O.
 */
void check_tree(struct tree *t, GPtrArray *out);

#endif
