#ifndef POLICY_RESIDENCY_H
#define POLICY_RESIDENCY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "conf/conf.h"

/*
 * Data residency: which regions a request may be sent to.  Pure decisions, no
 * I/O.  They keep requests of routes and accounts with a list of regions out of
 * all other regions, also when the allowed ones are down.
 *
 * Names of regions are interned in a map of the data centres; a set of regions
 * is a bit set over this map and is meaningless with any other.  What is not in
 * the map is not allowed.
 */

#define RESIDENCY_REGIONS_MAX CONF_DC_REGIONS_MAX
#define RESIDENCY_WORDS ((RESIDENCY_REGIONS_MAX + 63) / 64)

/* Region of a data centre that the map does not have. */
#define RESIDENCY_UNKNOWN (-1)

/* Regions of the data centres. */
struct residency_map {
	struct {
		char dc[64];
		int region; /* index in regions */
	} dcs[CONF_DC_REGIONS_MAX];
	size_t n_dcs;
	char regions[RESIDENCY_REGIONS_MAX][64];
	size_t n_regions;
};

/* Where a request may go.  Zero: anywhere, also to unknown regions. */
struct residency {
	bool restricted;
	uint64_t regions[RESIDENCY_WORDS]; /* if restricted */
};

/* Adds the region of a data centre; a full map ignores it. */
void residency_map_add(struct residency_map *m, const char *dc,
		       const char *region);
/* The region of a data centre, or RESIDENCY_UNKNOWN. */
int residency_map_dc(const struct residency_map *m, const char *dc);

/*
 * What a list of region names allows.  An empty list restricts nothing; names
 * that the map does not have allow nothing.
 */
struct residency residency_from_names(const struct residency_map *m,
				      const char *const *names, size_t n);
struct residency residency_intersect(struct residency a, struct residency b);

/* Whether the region, which may be RESIDENCY_UNKNOWN, is allowed. */
bool residency_allows(const struct residency *r, int region);
/* Whether no region at all is allowed. */
bool residency_is_empty(const struct residency *r);
bool residency_equal(const struct residency *a, const struct residency *b);

#endif
