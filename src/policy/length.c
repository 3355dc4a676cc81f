#include "policy/length.h"

#include <math.h>
#include <glib.h>

/* Spread of hints before any is known to be right or wrong, and its weight in
 * observations. */
#define SPREAD_INITIAL 1.2
#define SPREAD_PRIOR 16

/* Weight of all earlier observations of a route's hints, at most. */
#define SPREAD_MEMORY 256

/* Hints that are always right get a little spread, too, as lengths are known in
 * ranges only. */
#define SPREAD_MIN 0.1

/* Routes whose hints are followed; further ones share a record. */
#define ROUTES_MAX 4096

/* Parts of a bucket of lengths, each of which is weighted by itself. */
#define PARTS 8

/* Below this probability no earlier generation was as long as this one is. */
#define NEGLIGIBLE_MASS 1e-9

/* Tokens in a block of an engine's memory. */
#define BLOCK_TOKENS 16

/*
 * What one generation adds to the reserve of an engine is its mean and a part
 * of its variance: if the sum of n lengths has the deviation D, the sum of the
 * variances divided by D is D itself.  REFERENCE_TOKENS is D of an engine with
 * seven generations of a deviation of 450 tokens; SAFETY is the multiple of D
 * that is kept free, see docs/design/generation-length.md.
 */
#define REFERENCE_TOKENS 1200
#define SAFETY 0.5

struct hint_record {
	double n;	   /* weight of the observations */
	double square_sum; /* of the logarithms of length / hint */
};

struct length_model {
	struct output_estimator *est;
	GHashTable *hints; /* route -> struct hint_record */
};

struct length_model *length_new(struct output_estimator *est)
{
	struct length_model *m = g_new0(struct length_model, 1);

	m->est = est;
	m->hints =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return m;
}

void length_free(struct length_model *m)
{
	if (!m)
		return;
	g_hash_table_destroy(m->hints);
	g_free(m);
}

static struct hint_record *find_or_add_record(struct length_model *m,
					      const char *route)
{
	if (!g_hash_table_contains(m->hints, route) &&
	    g_hash_table_size(m->hints) >= ROUTES_MAX)
		route = "";
	struct hint_record *h = g_hash_table_lookup(m->hints, route);

	if (!h) {
		h = g_new0(struct hint_record, 1);
		g_hash_table_insert(m->hints, g_strdup(route), h);
	}
	return h;
}

void length_observe(struct length_model *m, const struct length_query *q,
		    uint32_t tokens, int64_t now)
{
	est_observe(m->est, q->account, q->route, tokens, now);
	if (!q->hint || !tokens)
		return;
	struct hint_record *h = find_or_add_record(m, q->route);
	double x = log((double)tokens / q->hint);
	double f = h->n + 1 > SPREAD_MEMORY ? (SPREAD_MEMORY - 1) / h->n : 1;

	h->n = h->n * f + 1;
	h->square_sum = h->square_sum * f + x * x;
}

double length_hint_spread(const struct length_model *m, const char *route)
{
	const struct hint_record *h = g_hash_table_lookup(m->hints, route);
	double n = SPREAD_PRIOR;
	double square_sum = n * SPREAD_INITIAL * SPREAD_INITIAL;

	if (!h && g_hash_table_size(m->hints) >= ROUTES_MAX)
		h = g_hash_table_lookup(m->hints, "");
	if (h) {
		n += h->n;
		square_sum += h->square_sum;
	}
	return MAX(sqrt(square_sum / n), SPREAD_MIN);
}

/* Relative probability that a generation of this length gets the hint. */
static double hint_likelihood(double length, double log_hint, double spread)
{
	double x = (log(length) - log_hint) / spread;

	return exp(-x * x / 2);
}

static double longest(const struct length_query *q)
{
	return q->max_tokens ? (double)MAX(q->max_tokens, q->produced + 1)
			     : HUGE_VAL;
}

/* No observation applies: half done, as in est.c. */
static struct length_estimate assume_half_done(const struct length_query *q)
{
	double mean = MIN(2.0 * q->produced + 1, longest(q));

	return (struct length_estimate){mean, mean / 2};
}

struct length_estimate length_estimate(struct length_model *m,
				       const struct length_query *q,
				       int64_t now)
{
	double p[EST_BUCKETS], mass = 0, sum = 0, squares = 0;
	double spread = length_hint_spread(m, q->route);
	double log_hint = q->hint ? log(q->hint) : 0;

	est_distribution(m->est, q->account, q->route, now, p);
	for (unsigned int i = 0; i < EST_BUCKETS * PARTS; i++) {
		unsigned int b = i / PARTS;
		double low = exp2(b), width = low / PARTS;
		double from = low + (i % PARTS) * width;
		double to = from + width;
		double w = p[b] / PARTS;

		if (to <= q->produced + 1.0 || w <= 0)
			continue;
		if (from < q->produced + 1.0) {
			w *= (to - q->produced - 1) / width;
			from = q->produced + 1.0;
		}
		double mid = (from + to) / 2;
		if (q->hint)
			w *= hint_likelihood(mid, log_hint, spread);
		mid = MIN(mid, longest(q));
		mass += w;
		sum += w * mid;
		squares += w * mid * mid;
	}
	if (mass < NEGLIGIBLE_MASS)
		return assume_half_done(q);
	double mean = sum / mass;
	return (struct length_estimate){
		mean, sqrt(MAX(squares / mass - mean * mean, 0))};
}

uint64_t length_reserve(uint32_t prompt_tokens, const struct length_estimate *e)
{
	double tokens = prompt_tokens + e->mean +
			SAFETY * e->deviation * e->deviation / REFERENCE_TOKENS;

	return (uint64_t)ceil(tokens / BLOCK_TOKENS) * BLOCK_TOKENS;
}

uint64_t length_margin(double unseen, size_t endpoints, uint64_t need_tokens)
{
	double each = endpoints ? unseen / (double)endpoints : 0;

	/* Their mean and standard deviation, if they choose independently. */
	return (uint64_t)((each + sqrt(each)) * (double)need_tokens);
}
