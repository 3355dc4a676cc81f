#ifndef POLICY_LENGTH_H
#define POLICY_LENGTH_H

#include <stddef.h>
#include <stdint.h>

#include "policy/est.h"

/*
 * Expected output length of a generation whose caller has stated one (a hint),
 * and the memory that is reserved for it.
 *
 * Addresses engines that run out of memory: they preempt generations and
 * process their prompts again, while callers wait for room that long
 * generations were thought to need.  Hints are right at the median but far off
 * one by one, so they are one of three sources: the lengths of earlier
 * generations of the route and the account (est.h), weighted by how likely each
 * length is to have got this hint, and by what has been produced.
 *
 * Times are in microseconds of one monotonic clock.
 */

struct length_model;

/* Uses the histograms of `est`, which must outlive it. */
struct length_model *length_new(struct output_estimator *est);
void length_free(struct length_model *m);

struct length_query {
	const char *account; /* "" for none */
	const char *route;
	uint32_t hint;	     /* output tokens, as the caller states */
	uint32_t produced;   /* tokens produced so far */
	uint32_t max_tokens; /* limit set by the caller, 0: none */
};

/* Of all output tokens, with those produced so far. */
struct length_estimate {
	double mean;
	double deviation; /* standard deviation: how uncertain the mean is */
};

struct length_estimate length_estimate(struct length_model *m,
				       const struct length_query *q,
				       int64_t now);

/* Records a finished generation; learns how far off the route's hints are. */
void length_observe(struct length_model *m, const struct length_query *q,
		    uint32_t tokens, int64_t now);

/* The spread of the route's hints: the root of the mean square of the logarithm
 * of the real length divided by the hint. */
double length_hint_spread(const struct length_model *m, const char *route);

/* Memory to reserve for a generation, in tokens, in whole blocks. */
uint64_t length_reserve(uint32_t prompt_tokens,
			const struct length_estimate *e);

/*
 * Memory of each endpoint that a deferrable generation leaves free for requests
 * that other hosts place at the same time, unseen: that many on all endpoints
 * together, of a size such as need_tokens.
 */
uint64_t length_margin(double unseen, size_t endpoints, uint64_t need_tokens);

#endif
