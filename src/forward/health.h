#ifndef FORWARD_HEALTH_H
#define FORWARD_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Whether an endpoint is left alone because attempts there break off, as this
 * host and all others have seen.  A decision without I/O.
 *
 * The load that it answers: an endpoint that resets what it is sent looks idle
 * and draws work, and its own health check may say that it is well.  With
 * seventy hosts each of them would find out for itself, one lost request after
 * another.  An endpoint that loses some of its answers only must not be left,
 * as the others would have to take its work.
 */

/* Attempts count for one to two times this long. */
#define HEALTH_WINDOW_US 1000000

struct health {
	/* Attempts in the window that runs, and in the one before. */
	unsigned int failed, succeeded;
	unsigned int previous_failed, previous_succeeded;
	int64_t window_start_us;
	/* Of all other hosts. */
	unsigned int failed_elsewhere, succeeded_elsewhere;
};

void health_record_failure(struct health *h, int64_t now);
void health_record_success(struct health *h, int64_t now);

/* What this host has seen lately. */
unsigned int health_recent_failures(const struct health *h, int64_t now);
unsigned int health_recent_successes(const struct health *h, int64_t now);

/* Whether most attempts of all hosts break off. */
bool health_is_unhealthy(const struct health *h, int64_t now);

#endif
