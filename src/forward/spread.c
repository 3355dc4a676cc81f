#include "forward/spread.h"

#include <assert.h>
#include <stdlib.h>
#include <glib.h>

/*
 * The arrivals of a group are added in steps of at most this, as long as the
 * number of steps allows.  Larger steps go past differences between the costs.
 */
#define FILL_STEP_US 20000
#define FILL_STEPS_MIN 8
#define FILL_STEPS_MAX 64

static int compare_items(const void *a, const void *b)
{
	const struct spread_item *x = a, *y = b;

	if (x->cost_us != y->cost_us)
		return x->cost_us < y->cost_us ? -1 : 1;
	if (x->tie_breaker != y->tie_breaker)
		return x->tie_breaker < y->tie_breaker ? -1 : 1;
	return 0;
}

/* The cost up to which work_us fills the items, which are sorted by cost. */
static double fill_level(const struct spread_item *items, size_t n,
			 double work_us)
{
	double sum_us = 0, speed = 0;
	size_t k = 0;

	/* The level of the first k items, until it is below the next one. */
	do {
		sum_us += (double)items[k].cost_us / items[k].pace;
		speed += 1 / items[k++].pace;
	} while (k < n &&
		 (sum_us + work_us) / speed > (double)items[k].cost_us);
	return (sum_us + work_us) / speed;
}

/* What arrivals there would cost at pace 1. */
static double room_below_level(const struct spread_item *item, double level_us)
{
	return MAX(level_us - (double)item->cost_us, 0) / item->pace;
}

static size_t draw_item(const struct spread_item *items, size_t n,
			double level_us, double random)
{
	double sum_us = 0, part_us = 0;

	for (size_t i = 0; i < n; i++)
		sum_us += room_below_level(&items[i], level_us);
	for (size_t i = 0; i < n; i++) {
		part_us += room_below_level(&items[i], level_us);
		if (part_us > random * sum_us)
			return items[i].index;
	}
	return items[0].index;
}

/* Where hosts of a group place their next request. */
static size_t find_cheapest(const struct spread_item *items, size_t n,
			    const int64_t *filled_us,
			    const int64_t *distance_us)
{
	size_t best = 0;
	int64_t best_us = INT64_MAX;

	for (size_t i = 0; i < n; i++) {
		int64_t us = items[i].cost_us + filled_us[i] +
			     distance_us[items[i].group];
		if (us < best_us) {
			best_us = us;
			best = i;
		}
	}
	return best;
}

/*
 * Adds what the arrivals of the other groups add to the costs.  The groups take
 * turns, as each avoids what the others fill, from `first` on.  It is another
 * one for each request: the first one gets more of what is cheap, and hosts
 * number the groups differently.
 */
static void add_other_groups(struct spread_item *items, size_t n,
			     const struct spread_groups *groups,
			     int64_t work_us, unsigned int first)
{
	int64_t distance_us[SPREAD_GROUPS_MAX + 1][SPREAD_GROUPS_MAX];
	g_autofree int64_t *filled_us = g_new0(int64_t, n);
	g_autofree int64_t *own_us = g_new0(int64_t, n);

	for (unsigned int g = 0; g < groups->n; g++)
		for (unsigned int to = 0; to < SPREAD_GROUPS_MAX; to++)
			distance_us[g][to] =
				groups->distance_us(groups->arg, g, to);
	int64_t steps =
		CLAMP(work_us / FILL_STEP_US, FILL_STEPS_MIN, FILL_STEPS_MAX);
	int64_t step_us = work_us / steps;
	for (int64_t step = 0; step < steps; step++)
		for (unsigned int k = 0; k < groups->n; k++) {
			unsigned int g = (first + k) % groups->n;
			size_t i = find_cheapest(items, n, filled_us,
						 distance_us[g]);
			int64_t us = (int64_t)((double)step_us * items[i].pace);
			filled_us[i] += us;
			if (g == groups->own)
				own_us[i] += us;
		}
	for (size_t i = 0; i < n; i++)
		items[i].cost_us += filled_us[i] - own_us[i];
}

size_t spread_choose(struct spread_item *items, size_t n,
		     const struct spread_groups *groups, double unseen,
		     int64_t arrival_cost_us, double random)
{
	double work_us = unseen * (double)arrival_cost_us / groups->n;

	assert(n && groups->n && groups->n <= SPREAD_GROUPS_MAX + 1);
	qsort(items, n, sizeof(*items), compare_items);
	if (groups->n > 1 && work_us > 0)
		add_other_groups(items, n, groups, (int64_t)work_us,
				 items[0].tie_breaker % groups->n);
	for (size_t i = 0; i < n; i++)
		items[i].cost_us += items[i].distance_us;
	qsort(items, n, sizeof(*items), compare_items);
	return draw_item(items, n, fill_level(items, n, work_us), random);
}
