#include <glib.h>
#include "policy/heap.h"

static void set_node(struct heap *h, size_t i, struct heap_node *node)
{
	h->nodes[i] = node;
	node->position = i + 1;
}

static void sift_up(struct heap *h, size_t i, struct heap_node *node)
{
	while (i) {
		size_t up = (i - 1) / 2;

		if (h->nodes[up]->key <= node->key)
			break;
		set_node(h, i, h->nodes[up]);
		i = up;
	}
	set_node(h, i, node);
}

static void sift_down(struct heap *h, size_t i, struct heap_node *node)
{
	for (;;) {
		size_t c = 2 * i + 1;

		if (c >= h->n_nodes)
			break;
		if (c + 1 < h->n_nodes &&
		    h->nodes[c + 1]->key < h->nodes[c]->key)
			c++;
		if (node->key <= h->nodes[c]->key)
			break;
		set_node(h, i, h->nodes[c]);
		i = c;
	}
	set_node(h, i, node);
}

static void restore_order(struct heap *h, size_t i, struct heap_node *node)
{
	if (i && h->nodes[(i - 1) / 2]->key > node->key)
		sift_up(h, i, node);
	else
		sift_down(h, i, node);
}

void heap_set(struct heap *h, struct heap_node *node, double key)
{
	node->key = key;
	if (node->position) {
		restore_order(h, node->position - 1, node);
		return;
	}
	if (h->n_nodes == h->capacity) {
		h->capacity = h->capacity ? 2 * h->capacity : 16;
		h->nodes = g_renew(struct heap_node *, h->nodes, h->capacity);
	}
	h->n_nodes++;
	sift_up(h, h->n_nodes - 1, node);
}

void heap_remove(struct heap *h, struct heap_node *node)
{
	struct heap_node *last;
	size_t i;

	if (!node->position)
		return;
	i = node->position - 1;
	node->position = 0;
	last = h->nodes[--h->n_nodes];
	if (last != node)
		restore_order(h, i, last);
}

void heap_release(struct heap *h)
{
	g_free(h->nodes);
	h->nodes = NULL;
	h->n_nodes = h->capacity = 0;
}
