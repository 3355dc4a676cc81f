#ifndef POLICY_EST_H
#define POLICY_EST_H

#include <stddef.h>
#include <stdint.h>

/*
 * Estimator of output lengths.
 *
 * One histogram of output lengths for each (account, route), in log2 buckets
 * with exponential decay.  A histogram with few observations is blended with
 * that of its route, and the latter with the global one.  The number of
 * histograms is limited; the least recently used one is evicted.
 *
 * Times are in microseconds of one monotonic clock.
 */

/* Bucket b counts lengths from 2^b to 2^(b+1) - 1. */
#define EST_BUCKETS 20

struct output_estimator;

struct est_cfg {
	size_t max_histograms; /* 0: 8192 */
	int64_t half_life_us;  /* of the weight of an observation, 0: 1 hour */
	/* Largest total weight of a histogram, in observations, 0: 512. */
	double max_observations;
	/* Weight of the fallback, in observations, 0: 8. */
	double prior_observations;
	uint32_t initial_tokens; /* estimate before any observation, 0: 256 */
};

/* The generation whose remaining output is to be estimated. */
struct est_query {
	const char *account;
	const char *route;
	uint32_t produced;   /* tokens produced so far */
	uint32_t max_tokens; /* limit set by the caller, 0: none */
};

/* cfg may be NULL for the defaults. */
struct output_estimator *est_new(const struct est_cfg *cfg);
void est_free(struct output_estimator *e);

/* Records a finished generation that has produced this many tokens. */
void est_observe(struct output_estimator *e, const char *account,
		 const char *route, uint32_t tokens, int64_t now);

/* Returns the expected number of remaining tokens, at least 1. */
uint32_t est_expected(struct output_estimator *e, const struct est_query *q,
		      int64_t now);

/*
 * Returns the quantile (0 to 1) of the number of remaining tokens, at least 1:
 * the remaining output does not exceed it with that probability.
 */
uint32_t est_quantile(struct output_estimator *e, const struct est_query *q,
		      double quantile, int64_t now);

/* Numbers of further tokens for which est_forecast() makes a forecast. */
#define EST_STEPS 8
extern const uint32_t est_step_tokens[EST_STEPS];

/*
 * The probability that the generation is still running after est_step_tokens
 * more tokens.  The first step is 0 tokens and its probability 1.
 */
struct est_forecast {
	float survival[EST_STEPS];
};

void est_forecast(struct output_estimator *e, const struct est_query *q,
		  int64_t now, struct est_forecast *out);

/*
 * Writes the distribution of the output lengths of the account's requests on
 * the route: the probability of each bucket.
 */
void est_distribution(struct output_estimator *e, const char *account,
		      const char *route, int64_t now, double *p);

/* Returns the number of histograms, except the global one. */
size_t est_n_histograms(const struct output_estimator *e);

#endif
