#ifndef FORWARD_REGIONS_H
#define FORWARD_REGIONS_H

#include <stdbool.h>

#include "obs/slog.h"
#include "policy/residency.h"

/*
 * Regions that this host's requests may be sent to (policy/residency.h): the
 * map of the data centres, and what the lists of a request's route and account
 * allow.  A request follows the plan that it was admitted under and the plan in
 * force.
 */

struct fwd;
struct fwd_endpoint;
struct plan;
struct request;

/* Takes over the map of the settings, at the start and when it has changed. */
void regions_load(struct fwd *f);

/*
 * Binds the region lists of a plan that comes into force to the map, which
 * requests would otherwise wait for.
 */
void regions_bind_plan(struct fwd *f, struct plan *p);

/* Where the request may be sent by the present plans and map. */
const struct residency *request_residency(struct request *r);

/* Whether the request's lists allow the endpoint's region. */
bool request_region_allowed(struct request *r, const struct fwd_endpoint *ep);

/* The names of the allowed regions, sorted and separated by commas. */
char *regions_names(const struct fwd *f, const struct residency *allowed);
/* What such names allow; those that the map does not have allow nothing. */
struct residency regions_parse(const struct fwd *f, const char *names);

/* Adds the lists and what they allow to a log line; nothing without lists. */
void request_log_regions(struct slog *l, struct request *r);

#endif
