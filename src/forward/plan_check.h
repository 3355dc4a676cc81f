#ifndef FORWARD_PLAN_CHECK_H
#define FORWARD_PLAN_CHECK_H

#include <glib.h>

#include "base/finding.h"
#include "forward/plan.h"
#include "policy/residency.h"

/*
 * Findings on a plan that was accepted: entries that can never match, and
 * limits that cannot hold together.  Does no I/O.  All findings are warnings.
 */

/* Names of folders and settings in the configuration the plan comes from. */
struct plan_names {
	const char *routes, *services, *accounts, *limits;
	const char *host, *prefix, *regions, *keys;
	const char *timeout, *target_latency, *target_gap, *max_endpoints;
	const char *max_header, *max_body, *header_time, *idle_time;
};

struct plan_check {
	const struct plan *plan; /* indexed */
	const struct plan_names *names;
	/* Regions of the data centres; NULL: not known, and regions without
	 * data centres are not looked for. */
	const struct residency_map *regions;
	/* Target latency of a route that states none; it is not reported. */
	int64_t default_latency_us;
	/* Whether an account may use a route, by their indexes in the plan;
	 * NULL: each may use all. */
	bool (*may_use)(void *arg, guint route, guint account);
	void *arg;
};

/* Appends all findings to out. */
void plan_check_all(const struct plan_check *c, GPtrArray *out);

/*
 * Appends the findings on allowed regions: regions without data centres, and
 * routes and accounts without a common region.
 */
void plan_check_regions(const struct plan_check *c, GPtrArray *out);

#endif
