#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <glib.h>
#include "base/list.h"
#include "policy/est.h"

/*
 * The distribution used for (account, route) is
 *
 *	p = (h_account + k * p_route) / (weight(h_account) + k)
 *
 * where h_account is the histogram and k is prior_observations.  p_route is
 * computed from the route's histogram and the global one in the same way, and
 * the global one falls back to a narrow distribution around initial_tokens.
 * The influence of a fallback thus decreases as observations arrive, without a
 * threshold at which estimates would jump.
 */

#define KEY_SIZE 512

struct histogram {
	struct list lru_node;
	char *key;
	double counts[EST_BUCKETS];
	double total_count;
	int64_t updated_us;
};

struct output_estimator {
	struct est_cfg cfg;
	GHashTable *histograms; /* key -> struct histogram */
	struct list lru;	/* least recently used first */
	struct histogram global;
	double initial_distribution[EST_BUCKETS];
};

static unsigned bucket_index(uint32_t tokens)
{
	unsigned b = tokens ? 31 - __builtin_clz(tokens) : 0;

	return b < EST_BUCKETS ? b : EST_BUCKETS - 1;
}

static void histogram_free(void *p)
{
	struct histogram *h = p;

	g_free(h->key);
	g_free(h);
}

struct output_estimator *est_new(const struct est_cfg *cfg)
{
	struct output_estimator *e = g_new0(struct output_estimator, 1);
	unsigned mid;

	if (cfg)
		e->cfg = *cfg;
	if (!e->cfg.max_histograms)
		e->cfg.max_histograms = 8192;
	if (!e->cfg.half_life_us)
		e->cfg.half_life_us = INT64_C(3600) * 1000000;
	if (e->cfg.max_observations <= 0)
		e->cfg.max_observations = 512;
	if (e->cfg.prior_observations <= 0)
		e->cfg.prior_observations = 8;
	if (!e->cfg.initial_tokens)
		e->cfg.initial_tokens = 256;
	e->histograms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      histogram_free);
	list_init(&e->lru);
	mid = bucket_index(e->cfg.initial_tokens);
	e->initial_distribution[mid] = 0.5;
	e->initial_distribution[mid ? mid - 1 : 0] += 0.25;
	e->initial_distribution[mid + 1 < EST_BUCKETS ? mid + 1 : mid] += 0.25;
	return e;
}

void est_free(struct output_estimator *e)
{
	if (!e)
		return;
	g_hash_table_destroy(e->histograms);
	g_free(e);
}

static void format_key(char *key, const char *account, const char *route)
{
	/*
	 * Names that are equal up to the truncated length share a histogram,
	 * which only makes the estimate less precise.
	 */
	snprintf(key, KEY_SIZE, "%s\n%s", account, route);
}

static struct histogram *find_histogram(struct output_estimator *e,
					const char *account, const char *route)
{
	char key[KEY_SIZE];
	struct histogram *h;

	format_key(key, account, route);
	h = g_hash_table_lookup(e->histograms, key);
	if (h) {
		list_del(&h->lru_node);
		list_add_tail(&e->lru, &h->lru_node);
	}
	return h;
}

static struct histogram *find_or_add_histogram(struct output_estimator *e,
					       const char *account,
					       const char *route)
{
	struct histogram *h = find_histogram(e, account, route);
	char key[KEY_SIZE];

	if (h)
		return h;
	if (g_hash_table_size(e->histograms) >= e->cfg.max_histograms) {
		struct histogram *old =
			list_first(&e->lru, struct histogram, lru_node);

		list_del(&old->lru_node);
		g_hash_table_remove(e->histograms, old->key);
	}
	format_key(key, account, route);
	h = g_new0(struct histogram, 1);
	h->key = g_strdup(key);
	g_hash_table_insert(e->histograms, h->key, h);
	list_add_tail(&e->lru, &h->lru_node);
	return h;
}

static double decay_factor(const struct output_estimator *e,
			   const struct histogram *h, int64_t now)
{
	if (now <= h->updated_us)
		return 1;
	return exp2(-(double)(now - h->updated_us) /
		    (double)e->cfg.half_life_us);
}

static void add_observation(struct output_estimator *e, struct histogram *h,
			    unsigned b, int64_t now)
{
	double f = decay_factor(e, h, now);

	/*
	 * Limits the weight of old observations, so that estimates follow a
	 * change of the workload.
	 */
	if (h->total_count * f + 1 > e->cfg.max_observations)
		f = (e->cfg.max_observations - 1) / h->total_count;
	for (unsigned i = 0; i < EST_BUCKETS; i++)
		h->counts[i] *= f;
	h->counts[b] += 1;
	h->total_count = h->total_count * f + 1;
	if (now > h->updated_us)
		h->updated_us = now;
}

void est_observe(struct output_estimator *e, const char *account,
		 const char *route, uint32_t tokens, int64_t now)
{
	unsigned b = bucket_index(tokens);

	add_observation(e, &e->global, b, now);
	add_observation(e, find_or_add_histogram(e, "", route), b, now);
	add_observation(e, find_or_add_histogram(e, account, route), b, now);
}

static void blend_histogram(const struct output_estimator *e, double *p,
			    const struct histogram *h, int64_t now)
{
	double k = e->cfg.prior_observations, f, sum;

	if (!h)
		return;
	f = decay_factor(e, h, now);
	sum = h->total_count * f + k;
	for (unsigned b = 0; b < EST_BUCKETS; b++)
		p[b] = (h->counts[b] * f + k * p[b]) / sum;
}

void est_distribution(struct output_estimator *e, const char *account,
		      const char *route, int64_t now, double *p)
{
	memcpy(p, e->initial_distribution, sizeof(e->initial_distribution));
	blend_histogram(e, p, &e->global, now);
	blend_histogram(e, p, find_histogram(e, "", route), now);
	blend_histogram(e, p, find_histogram(e, account, route), now);
}

/*
 * A range of remaining lengths in tokens, uniformly distributed, with its
 * probability mass.
 */
struct segment {
	double mass, low, high;
};

/*
 * Computes the distribution of the remaining length, given the tokens produced
 * so far.  Returns the number of segments; their masses add up to *total, which
 * is the probability of the length produced so far or more.
 */
static unsigned remaining_distribution(struct output_estimator *e,
				       const struct est_query *q, int64_t now,
				       struct segment *segments, double *total)
{
	double p[EST_BUCKETS], done = q->produced;
	unsigned n = 0;

	est_distribution(e, q->account, q->route, now, p);
	*total = 0;
	for (unsigned b = 0; b < EST_BUCKETS; b++) {
		double lo = exp2(b), hi = exp2(b + 1), mass = p[b];

		if (hi <= done + 1 || mass <= 0)
			continue;
		if (done >= lo) {
			mass *= (hi - done) / (hi - lo);
			lo = done;
		}
		segments[n++] = (struct segment){mass, lo - done, hi - done};
		*total += mass;
	}
	return n;
}

static uint32_t clamp_estimate(const struct est_query *q, double tokens)
{
	uint32_t n = tokens < 1 ? 1 : tokens > 1e9 ? 1000000000u : tokens;

	if (q->max_tokens) {
		uint32_t left = q->max_tokens > q->produced
					? q->max_tokens - q->produced
					: 1;

		if (n > left)
			n = left;
	}
	return n;
}

/*
 * Below this probability the generation is longer than practically all observed
 * ones.  It is then assumed to be half done, since no observation applies to
 * it.
 */
#define NEGLIGIBLE_MASS 1e-9

uint32_t est_expected(struct output_estimator *e, const struct est_query *q,
		      int64_t now)
{
	struct segment segments[EST_BUCKETS];
	double total, sum = 0;
	unsigned n = remaining_distribution(e, q, now, segments, &total);

	if (total < NEGLIGIBLE_MASS)
		return clamp_estimate(q, q->produced);
	for (unsigned i = 0; i < n; i++) {
		double mid = (segments[i].low + segments[i].high) / 2;

		if (q->max_tokens && mid > (double)q->max_tokens)
			mid = q->max_tokens;
		sum += segments[i].mass * mid;
	}
	return clamp_estimate(q, sum / total + 0.5);
}

uint32_t est_quantile(struct output_estimator *e, const struct est_query *q,
		      double quantile, int64_t now)
{
	struct segment segments[EST_BUCKETS];
	double total, left;
	unsigned n = remaining_distribution(e, q, now, segments, &total);

	assert(quantile >= 0 && quantile <= 1);
	if (total < NEGLIGIBLE_MASS)
		return clamp_estimate(q, q->produced);
	left = quantile * total;
	for (unsigned i = 0; i < n; i++) {
		const struct segment *seg = &segments[i];

		if (left <= seg->mass || i + 1 == n) {
			double f = left / seg->mass;

			if (f > 1)
				f = 1;
			return clamp_estimate(
				q, ceil(seg->low + f * (seg->high - seg->low)));
		}
		left -= seg->mass;
	}
	return clamp_estimate(q, q->produced);
}

const uint32_t est_step_tokens[EST_STEPS] = {0,	  32,	96,   256,
					     640, 1536, 4096, 10240};

void est_forecast(struct output_estimator *e, const struct est_query *q,
		  int64_t now, struct est_forecast *out)
{
	struct segment segments[EST_BUCKETS];
	double total;
	unsigned n = remaining_distribution(e, q, now, segments, &total);
	uint32_t left =
		q->max_tokens > q->produced ? q->max_tokens - q->produced : 1;

	/* No observation applies: half done on average, see NEGLIGIBLE_MASS. */
	if (total < NEGLIGIBLE_MASS) {
		segments[0] = (struct segment){1, 0, 2.0 * q->produced + 1};
		total = n = 1;
	}
	for (unsigned k = 0; k < EST_STEPS; k++) {
		double step = est_step_tokens[k], running = 0;

		for (unsigned i = 0; i < n; i++) {
			const struct segment *seg = &segments[i];

			if (step <= seg->low)
				running += seg->mass;
			else if (step < seg->high)
				running += seg->mass * (seg->high - step) /
					   (seg->high - seg->low);
		}
		if (q->max_tokens && est_step_tokens[k] >= left)
			running = 0;
		out->survival[k] = (float)(running / total);
	}
	out->survival[0] = 1;
}

size_t est_n_histograms(const struct output_estimator *e)
{
	return g_hash_table_size(e->histograms);
}
