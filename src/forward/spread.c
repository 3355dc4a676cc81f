#include "forward/spread.h"

#include <assert.h>
#include <stdlib.h>
#include <glib.h>

static int compare_items(const void *a, const void *b)
{
	const struct spread_item *x = a, *y = b;

	if (x->group != y->group)
		return x->group < y->group ? -1 : 1;
	if (x->cost_us != y->cost_us)
		return x->cost_us < y->cost_us ? -1 : 1;
	if (x->tie_breaker != y->tie_breaker)
		return x->tie_breaker < y->tie_breaker ? -1 : 1;
	return 0;
}

/* Items of one group, sorted by cost. */
struct group {
	const struct spread_item *items;
	size_t n;
	double level_us; /* up to which the unseen arrivals fill the costs */
};

static double fill_level(const struct group *g, double work_us)
{
	double sum_us = 0;
	size_t k = 0;

	/* The level of the first k items, until it is below the next one. */
	do {
		sum_us += (double)g->items[k++].cost_us;
	} while (k < g->n &&
		 (sum_us + work_us) / (double)k > (double)g->items[k].cost_us);
	return (sum_us + work_us) / (double)k;
}

static double room_below_level(const struct group *g, size_t i)
{
	return MAX(g->level_us - (double)g->items[i].cost_us, 0);
}

static size_t draw_item(const struct group *g, double random)
{
	double sum_us = 0, part_us = 0;

	for (size_t i = 0; i < g->n; i++)
		sum_us += room_below_level(g, i);
	for (size_t i = 0; i < g->n; i++) {
		part_us += room_below_level(g, i);
		if (part_us > random * sum_us)
			return g->items[i].index;
	}
	return g->items[0].index;
}

size_t spread_choose(struct spread_item *items, size_t n, double unseen,
		     int64_t arrival_cost_us, double random)
{
	double work_us = unseen * (double)arrival_cost_us;
	struct group best = {.n = 0};

	assert(n);
	qsort(items, n, sizeof(*items), compare_items);
	for (size_t i = 0, next; i < n; i = next) {
		struct group g = {.items = &items[i]};

		for (next = i; next < n && items[next].group == items[i].group;)
			next++;
		g.n = next - i;
		g.level_us = fill_level(&g, work_us * (double)g.n / (double)n);
		if (!best.n || g.level_us < best.level_us ||
		    (g.level_us == best.level_us &&
		     g.items->tie_breaker < best.items->tie_breaker))
			best = g;
	}
	return draw_item(&best, random);
}
