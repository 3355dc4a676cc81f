#ifndef FORWARD_FAILURES_H
#define FORWARD_FAILURES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * What the failures of an endpoint cost in the choice of endpoints, by the
 * attempts of all hosts.  Pure functions, no I/O.
 *
 * An endpoint that fails at once looks idle and attracts requests.  Some
 * requests fail at every endpoint, so an endpoint is compared with the better
 * half of its service's: only the part of its failures above that counts, and
 * only if it is no chance.  The part is kept for some seconds, as an endpoint
 * that gets no requests shows no failures.
 */

/* Attempts, weighted by their age if they are not whole numbers. */
struct failures_counts {
	double failed, attempts;
};

/* State of an endpoint; zero for a new one. */
struct failures {
	double excess; /* share of failures above the service's, 0 to 1 */
	bool avoided;  /* most attempts fail, and not at all endpoints */
	struct failures_counts longer; /* over some seconds */
	int64_t updated_us;
};

/* Recent attempts of all hosts at an endpoint. */
struct failures_item {
	struct failures *state;
	unsigned int failed, succeeded;
};

/*
 * Whether an answer of the endpoint counts as a failure.  One that refuses
 * requests (not_run), or asks for a pause of pause_us, is only full.
 */
bool failures_is_error(int status, bool not_run, int64_t pause_us);

/* Updates the states of all endpoints of a service, n is at least 1. */
void failures_update(const struct failures_item *items, size_t n, int64_t now);

/*
 * Cost of a request at the endpoint, in microseconds of delay (place.h).  For
 * the repeat of a request that failed it outweighs load and distance.
 */
int64_t failures_cost_us(const struct failures *f, bool is_repeat);

#endif
