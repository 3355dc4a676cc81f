#ifndef POLICY_HEAP_H
#define POLICY_HEAP_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Intrusive binary min-heap.  Each node stores its position, so that any node
 * can be removed or given another key in O(log n).
 */
struct heap_node {
	double key;
	size_t position; /* index in the heap plus 1; 0: in no heap */
};

struct heap {
	struct heap_node **nodes;
	size_t n_nodes, capacity;
};

#define heap_entry(ptr, type, member)                                          \
	((type *)((char *)(ptr)-offsetof(type, member)))

/* Inserts the node or, if it is in the heap, changes its key. */
void heap_set(struct heap *h, struct heap_node *node, double key);

/* Removes the node; does nothing if it is in no heap. */
void heap_remove(struct heap *h, struct heap_node *node);

/* Frees the array of nodes and empties the heap; the nodes are not changed. */
void heap_release(struct heap *h);

/* Returns the node with the lowest key, NULL if the heap is empty. */
static inline struct heap_node *heap_min(const struct heap *h)
{
	return h->n_nodes ? h->nodes[0] : NULL;
}

/* Returns whether the node is in a heap. */
static inline bool heap_is_member(const struct heap_node *node)
{
	return node->position != 0;
}

#endif
