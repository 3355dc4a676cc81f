#include "policy/pace.h"

#include <math.h>
#include <stdlib.h>
#include <glib.h>

/*
 * An engine of ordinary speed: a step produces one token for each generation
 * and takes 7 ms, 0.12 ms for each generation, and 8 ms if it processes a part
 * of a prompt, of 112 tokens.
 */
#define STEP_US 7000
#define STEP_GENERATION_US 120
#define STEP_PREFILL_US 8000
#define STEP_PREFILL_TOKENS 112

/* Prompt tokens that may wait at an engine, at most. */
#define PREFILL_MAX 1000000

/* Ratio of observed to expected time that one observation, or the sums of one
 * host, may have: 4 for a slow endpoint, and 4 for a service whose engines are
 * all slower than expected.  Events of 20 to 35 ms, as observed, have a ratio
 * of 2 to 4 if an event is a single token. */
#define SAMPLE_RATIO_MAX 16

/* Expected time of the observations that one host may add for an endpoint: that
 * of one stream in the window.  An endpoint with ten streams has most of its
 * weight from other hosts than one with wrong figures. */
#define HOST_WEIGHT_MAX_US 2000000

/* Expected time of the observations from which a factor is derived; a single
 * gap or prompt has less. */
#define WEIGHT_MIN_US 400000

/* A ratio is mixed with the median one as if it had been observed for this
 * expected time, as few observations deviate by chance. */
#define PRIOR_US 500000.0

/* Weight of the wait for a first event relative to that of gaps.  Prompts that
 * other hosts place at the same time are not in the expectation: at full weight
 * equal endpoints differ by up to 40 percent, at a quarter by 13 percent. */
#define FIRST_WEIGHT_PERCENT 25

/* The last factor fades to 1 over this time while nothing is observed, so that
 * an endpoint that was slow gets work again and shows whether it still is. */
#define FADE_US 10000000

/*
 * Between these an endpoint counts as like the others.  Preemptions and prompts
 * that hosts see late make the ratios of equal endpoints differ: with 0.8 and
 * 1.25, a deployment whose endpoints differ by 1.3 had more preemptions and
 * more traffic between regions, and served fewer.
 */
#define ALIKE_MIN 0.67
#define ALIKE_MAX 1.5

/* Change of the factor that is logged. */
#define LOG_CHANGE 1.25

/* The longest gap of a stream beside a prompt, relative to the mean one.  In
 * the model of tests/test_endpoint_pace.c, 165 percent leave 1 in 100 long
 * streams late, 180 percent none. */
#define BUSY_GAP_PERCENT 180

static int64_t step_us(unsigned int generations, bool prefilling)
{
	return STEP_US + (int64_t)generations * STEP_GENERATION_US +
	       (prefilling ? STEP_PREFILL_US : 0);
}

static void observe(struct pace *p, int64_t observed_us, int64_t expected_us,
		    int64_t now)
{
	int64_t bin = now / PACE_BIN_US;

	for (int64_t b = MAX(p->bin + 1, bin - PACE_BINS + 1); b <= bin; b++)
		p->bins[b % PACE_BINS] = (struct pace_sums){0};
	p->bin = MAX(p->bin, bin);
	struct pace_sums *s = &p->bins[p->bin % PACE_BINS];
	s->observed_us +=
		(uint64_t)CLAMP(observed_us, 0, expected_us * SAMPLE_RATIO_MAX);
	s->expected_us += (uint64_t)expected_us;
}

void pace_observe_gap(struct pace *p, int64_t gap_us,
		      unsigned int tokens_per_event,
		      const struct pace_load *load, int64_t now)
{
	observe(p, gap_us,
		MAX(tokens_per_event, 1u) *
			step_us(load->generations, load->prefill_tokens > 0),
		now);
}

void pace_observe_first(struct pace *p, int64_t wait_us,
			const struct pace_load *load, int64_t now)
{
	/* Sums of other hosts may be wrong; engines hold far fewer tokens. */
	uint64_t tokens = MIN(load->prefill_tokens, (uint64_t)PREFILL_MAX);
	int64_t steps = (int64_t)(tokens / STEP_PREFILL_TOKENS) + 1;

	int64_t expected_us = steps * step_us(load->generations, true);

	observe(p, wait_us * FIRST_WEIGHT_PERCENT / 100,
		expected_us * FIRST_WEIGHT_PERCENT / 100, now);
}

struct pace_sums pace_own(const struct pace *p, int64_t now)
{
	struct pace_sums s = {0};

	for (int64_t b = MAX(now / PACE_BIN_US - PACE_BINS + 1, 0); b <= p->bin;
	     b++) {
		s.observed_us += p->bins[b % PACE_BINS].observed_us;
		s.expected_us += p->bins[b % PACE_BINS].expected_us;
	}
	return s;
}

struct pace_sums pace_bound(struct pace_sums s)
{
	uint64_t expected_us = MIN(s.expected_us, HOST_WEIGHT_MAX_US);
	double ratio;

	if (!s.expected_us)
		return (struct pace_sums){0};
	ratio = (double)s.observed_us / (double)s.expected_us;
	ratio = CLAMP(ratio, 1.0 / SAMPLE_RATIO_MAX, SAMPLE_RATIO_MAX);
	return (struct pace_sums){
		.observed_us = (uint64_t)(ratio * (double)expected_us),
		.expected_us = expected_us};
}

static int compare_doubles(const void *a, const void *b)
{
	const double *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

/* Returns 0 if there is none. */
static double median(double *values, size_t n)
{
	if (!n)
		return 0;
	qsort(values, n, sizeof(*values), compare_doubles);
	return (values[(n - 1) / 2] + values[n / 2]) / 2;
}

static void update_ratio(struct pace *p, bool totals_valid, int64_t now)
{
	struct pace_sums s = pace_bound(pace_own(p, now));

	if (totals_valid) {
		s.observed_us += p->elsewhere.observed_us;
		s.expected_us += p->elsewhere.expected_us;
	}
	/* Nothing observed in some expected time comes from wrong totals. */
	if (s.expected_us >= WEIGHT_MIN_US && s.observed_us) {
		p->ratio = (double)s.observed_us / (double)s.expected_us;
		p->observed_us = now;
		p->weight_us = s.expected_us;
	} else if (now - p->observed_us >= FADE_US) {
		p->ratio = p->factor = 0;
	}
	p->age_us = now - p->observed_us;
}

static void update_factor(struct pace *p, double middle)
{
	double weight_us = (double)p->weight_us;
	double mixed = (p->ratio * weight_us + middle * PRIOR_US) /
		       (weight_us + PRIOR_US);

	p->factor = CLAMP(mixed / middle, PACE_FACTOR_MIN, PACE_FACTOR_MAX);
	p->expected_ratio = mixed;
}

void pace_update(struct pace *const *endpoints, size_t n, bool totals_valid,
		 int64_t now)
{
	g_autofree double *ratios = g_new(double, n + 1);
	size_t n_ratios = 0;

	for (size_t i = 0; i < n; i++) {
		update_ratio(endpoints[i], totals_valid, now);
		/* Those that are idle at present count, too: otherwise a slow
		 * one that still works would be the median. */
		if (endpoints[i]->ratio > 0)
			ratios[n_ratios++] = endpoints[i]->ratio;
	}
	double middle = median(ratios, n_ratios);
	for (size_t i = 0; i < n; i++)
		if (endpoints[i]->ratio > 0 && !endpoints[i]->age_us)
			update_factor(endpoints[i], middle);
}

double pace_factor(const struct pace *p)
{
	double f = p->factor;

	if (f <= 0)
		return 1;
	f = 1 + (f - 1) * (1 - (double)MIN(p->age_us, FADE_US) / FADE_US);
	return f > ALIKE_MIN && f < ALIKE_MAX ? 1 : f;
}

int64_t pace_busy_gap_us(const struct pace *p, unsigned int tokens_per_event,
			 unsigned int generations)
{
	double gap_us = p->expected_ratio * (double)MAX(tokens_per_event, 1u) *
			(double)step_us(generations, true);

	return (int64_t)(gap_us * BUSY_GAP_PERCENT / 100);
}

bool pace_log_due(const struct pace *p)
{
	double before = p->logged > 0 ? p->logged : 1, after = pace_factor(p);

	return after >= before * LOG_CHANGE || after <= before / LOG_CHANGE;
}
