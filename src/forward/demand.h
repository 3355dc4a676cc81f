#ifndef FORWARD_DEMAND_H
#define FORWARD_DEMAND_H

#include <stddef.h>
#include <stdint.h>

#include "policy/residency.h"

/*
 * Queued work that competes with a request for the endpoints that it may use.
 * Pure functions, no I/O.
 *
 * Queued generations may be restricted to regions.  A quota over all endpoints
 * would hold up those whose region has room by a queue for another region, and
 * all others by a queue for a region that is full or down.  So each set of
 * regions counts for another one only with the part of its work that may be
 * placed there.
 *
 * Work and amounts (free room, or memory) are in tokens.
 */

/* Queued work with the same set of allowed regions. */
struct demand {
	struct residency allowed;
	uint64_t tokens;
};

/* Demands that differ in their sets; others are added to the last one. */
#define DEMANDS_MAX 16

struct demands {
	struct demand list[DEMANDS_MAX];
	size_t n;
};

/* Amounts of the usable endpoints by region; the last is that of endpoints in
 * unknown regions. */
struct demand_amounts {
	uint64_t tokens[RESIDENCY_REGIONS_MAX + 1];
};

void demand_add(struct demands *d, const struct residency *allowed,
		uint64_t tokens);

uint64_t demand_sum(const struct demands *d);

/* Adds the amount of an endpoint in the region, or in RESIDENCY_UNKNOWN. */
void demand_add_amount(struct demand_amounts *a, int region, uint64_t tokens);

/* The demand with exactly this set. */
uint64_t demand_same(const struct demands *d, const struct residency *allowed);

/*
 * The demands that compete with one whose set is `allowed`, scaled so that its
 * share of the amounts is the quotient of demand_same() and the result.  Each
 * demand has a claim of at most the amounts of its regions, and another one
 * competes with the part of its claim that is in the common regions.
 */
uint64_t demand_competing(const struct demands *d,
			  const struct residency *allowed,
			  const struct demand_amounts *a);

#endif
