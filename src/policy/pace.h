#ifndef POLICY_PACE_H
#define POLICY_PACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Speed of model endpoints as their answers show it.  Pure functions, no I/O.
 *
 * Each host compares the time that an endpoint takes for an event, or for a
 * prompt, with the time that an engine of ordinary speed would take with the
 * load that the host sees there.  The sums of both travel with the usage
 * reports, as one host sees few streams at an endpoint.  An endpoint's factor
 * is its ratio relative to the median of its service, so an expectation that is
 * wrong for all endpoints alike cancels out.  A factor above 1 is slow.
 *
 * Times are monotonic, in microseconds.
 */

#define PACE_FACTOR_MIN 0.25
#define PACE_FACTOR_MAX 4.0

/* Observations count for 1.5 to 2 s: an endpoint that turns slow or fast has to
 * be known within 3 s, of which the sums may take one. */
#define PACE_BINS 4
#define PACE_BIN_US INT64_C(500000)

#define PACE_US_PER_MS 1000 /* the sums travel in milliseconds */

struct pace_sums {
	uint64_t observed_us, expected_us;
};

/* Of one endpoint's incarnation, on one host.  All zero: nothing is known. */
struct pace {
	struct pace_sums bins[PACE_BINS];
	int64_t bin;		    /* the newest */
	struct pace_sums elsewhere; /* of the other hosts, from the totals */
	/* By the last pace_update(). */
	double ratio;	       /* observed to expected, 0: not known */
	double expected_ratio; /* the same, with few observations mixed with
				  the median */
	double factor;	       /* relative to the median, 0: not known */
	int64_t observed_us;   /* last time with enough observations */
	int64_t age_us;	       /* since then */
	uint64_t weight_us;    /* expected time of the observations then */
	double logged;	       /* set by the caller, 0: none */
};

/* Load of an endpoint as a host sees it. */
struct pace_load {
	unsigned int generations;
	uint64_t prefill_tokens; /* prompt tokens not processed yet */
};

/* Records the time since the last event of the same stream. */
void pace_observe_gap(struct pace *p, int64_t gap_us,
		      unsigned int tokens_per_event,
		      const struct pace_load *load, int64_t now);

/*
 * Records the time from sending a request to its first event; `load` is that of
 * the endpoint when the request was sent, with the request itself.
 */
void pace_observe_first(struct pace *p, int64_t wait_us,
			const struct pace_load *load, int64_t now);

/* Returns what this host has observed lately. */
struct pace_sums pace_own(const struct pace *p, int64_t now);

/* Returns the sums of a host's report with the weight that one host may have,
 * and a ratio that one observation may have. */
struct pace_sums pace_bound(struct pace_sums s);

/*
 * Recomputes the factors of the endpoints of one service; call it every 0.1 s
 * or so.  totals_valid: pace::elsewhere is recent; otherwise only what this
 * host has observed counts.
 */
void pace_update(struct pace *const *endpoints, size_t n, bool totals_valid,
		 int64_t now);

/*
 * The factor to place requests by, between PACE_FACTOR_MIN and PACE_FACTOR_MAX;
 * 1 for an endpoint that is not known to differ from the others by much.
 */
double pace_factor(const struct pace *p);

/*
 * The gap between events, by their usual variation, of a stream that runs at
 * the endpoint while prompts are processed there; 0 if it is not known.
 */
int64_t pace_busy_gap_us(const struct pace *p, unsigned int tokens_per_event,
			 unsigned int generations);

/* Whether the factor differs by a quarter from the one that was logged. */
bool pace_log_due(const struct pace *p);

#endif
