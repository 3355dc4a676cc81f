#ifndef FORWARD_HEALTH_H
#define FORWARD_HEALTH_H

#include <stdint.h>

/*
 * Counts of recent attempts at an endpoint, by this host and by all others.
 * Pure functions, no I/O.
 *
 * An endpoint that resets its connections looks idle and so attracts requests,
 * and its own health check may still succeed.  If each host counted only its
 * own attempts, each of seventy hosts would lose several requests before it
 * avoids the endpoint.  What follows from the counts is decided in failures.h.
 */

/* Attempts are counted for one to two times this long. */
#define HEALTH_WINDOW_US 1000000

/* Attempts at one endpoint. */
struct health {
	/* Of this host, in the present window and in the previous one. */
	unsigned int failed, succeeded;
	unsigned int previous_failed, previous_succeeded;
	int64_t window_start_us; /* of the present window */
	/* Of all other hosts, lately; set by the caller. */
	unsigned int failed_elsewhere, succeeded_elsewhere;
};

void health_record_failure(struct health *h, int64_t now);
void health_record_success(struct health *h, int64_t now);

/* Attempts of this host in the present and the previous window. */
unsigned int health_recent_failures(const struct health *h, int64_t now);
unsigned int health_recent_successes(const struct health *h, int64_t now);

#endif
