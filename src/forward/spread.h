#ifndef FORWARD_SPREAD_H
#define FORWARD_SPREAD_H

#include <stddef.h>
#include <stdint.h>

/*
 * Choice among endpoints by load that is old.  Pure functions, no I/O.
 *
 * A host sees what other hosts placed only with the next totals.  If each of
 * hundreds of hosts takes the endpoint with the least load, all that arrives in
 * that time meets there: a dozen prompts at an endpoint that has just joined,
 * while the next one is idle.  So a host expects a number of arrivals that it
 * does not see yet.  It takes them for spread as well as possible, which fills
 * the least loaded endpoints up to a common level, and draws an endpoint with
 * the probability of an arrival there.  All hosts together then spread the
 * arrivals like that.  Without unseen arrivals this is the endpoint with the
 * least load.
 *
 * Hosts see an endpoint of their own data centre at a lower cost than others
 * do, so each data centre's hosts are taken to fill the endpoints up as they
 * see them: an endpoint that all see as the cheapest gets a part of the
 * arrivals of every data centre, and not all of them.
 */

struct spread_item {
	int64_t cost_us;     /* by the load that is seen */
	int64_t distance_us; /* cost of the distance to this host */
	double pace; /* factor of what an arrival adds to its cost, above 0 */
	unsigned int group; /* data centre, below SPREAD_GROUPS_MAX */
	uint32_t tie_breaker;
	size_t index; /* the caller's */
};

#define SPREAD_GROUPS_MAX 32

/* The data centres that requests come from, each with as many of them. */
struct spread_groups {
	unsigned int n;	  /* at least 1 and above the group of each item */
	unsigned int own; /* of the host that chooses */
	/* Cost of an endpoint of one group for hosts of another one. */
	int64_t (*distance_us)(const void *arg, unsigned int from,
			       unsigned int to);
	const void *arg;
};

/*
 * Returns the index of an item; n is at least 1.  Each arrival adds
 * arrival_cost_us x pace to the cost of its item; `unseen` of them are expected
 * from all groups together.  `random` is uniform between 0 and 1.  Sorts the
 * items and changes their costs.
 */
size_t spread_choose(struct spread_item *items, size_t n,
		     const struct spread_groups *groups, double unseen,
		     int64_t arrival_cost_us, double random);

#endif
