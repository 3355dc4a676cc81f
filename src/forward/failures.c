#include "forward/failures.h"

#include <math.h>
#include <stdlib.h>
#include <glib.h>

#include "forward/health.h"

/* One or two failures may be caused by a link, or by an endpoint that has just
 * ended. */
#define FAILURES_MIN 3

/* Standard deviations by which a share is lowered before it is compared.  With
 * 2, equal endpoints that fail 18% looked faulty for 4% of the time. */
#define DEVIATIONS_LOW 3
#define DEVIATIONS_LONGER 2

/* Standard deviations by which the share of the last two seconds is raised
 * before it limits what was found earlier: successes end it sooner. */
#define DEVIATIONS_HIGH 1.5

/* A smaller part above the common share is taken for chance. */
#define EXCESS_MIN 0.05

/* Time in which a part that was found before is halved. */
#define HALF_LIFE_US 3000000.0

/* Time in which the weight of an attempt in the longer counts is halved. */
#define LONGER_HALF_LIFE_US 4000000.0

/* Recent attempts are those of one to two windows. */
#define RECENT_US (1.5 * HEALTH_WINDOW_US)

/* Part above the common share from which an endpoint gets no requests. */
#define AVOID_EXCESS 0.5

/* Attempts without a failure that the better half is taken to have had besides,
 * so that one failure alone is no common share. */
#define PRIOR_ATTEMPTS 2

/* Endpoints with fewer (weighted) attempts say nothing of the service. */
#define BUSY_ATTEMPTS 0.5

/* Raises the common share by one standard deviation at most: the better half of
 * the endpoints is better by chance too. */
#define COMMON_DEVIATION 0.5

/* A failed call makes its caller wait and call again, which is taken as 1 s. */
#define FAILURE_COST_US 1000000

/* A second failure is final. */
#define REPEAT_FACTOR 10

bool failures_is_error(int status, bool not_run, int64_t pause_us)
{
	return status >= 500 && !not_run && !pause_us;
}

static double smoothed_share(const struct failures_counts *c)
{
	return c->failed / (c->attempts + PRIOR_ATTEMPTS);
}

static int compare_shares(const void *a, const void *b)
{
	double x = smoothed_share(a), y = smoothed_share(b);

	return (x > y) - (x < y);
}

/* Moves the endpoints with attempts to the front, and as many of the others, or
 * one if none has attempts; returns their number. */
static size_t drop_idle(struct failures_counts *counts, size_t n)
{
	size_t busy = 0;

	for (size_t i = 0; i < n; i++)
		if (counts[i].attempts >= BUSY_ATTEMPTS)
			counts[busy++] = counts[i];
	size_t kept = MIN(n, busy ? 2 * busy : 1);

	for (size_t i = busy; i < kept; i++)
		counts[i] = (struct failures_counts){0};
	return kept;
}

/*
 * Share of failures of the better half of the endpoints, which changes counts.
 * If half of the endpoints or fewer get all attempts, the share of the others
 * is unknown, and not that of these endpoints.
 */
static double common_share(struct failures_counts *counts, size_t n)
{
	struct failures_counts sum = {.attempts = PRIOR_ATTEMPTS};

	n = drop_idle(counts, n);
	qsort(counts, n, sizeof(*counts), compare_shares);
	for (size_t i = 0; i < (n + 1) / 2; i++) {
		sum.failed += counts[i].failed;
		sum.attempts += counts[i].attempts;
	}
	return sum.failed / sum.attempts +
	       COMMON_DEVIATION / sqrt(sum.attempts);
}

/* Bounds of the share of failures (Wilson score interval). */
struct bounds {
	double low, high;
};

static struct bounds share_bounds(const struct failures_counts *c, double z)
{
	double n = c->attempts;

	if (n <= 0)
		return (struct bounds){0, 1};
	double p = c->failed / n;
	double mid = p + z * z / (2 * n);
	double half = z * sqrt(p * (1 - p) / n + z * z / (4 * n * n));
	double scale = 1 + z * z / n;
	return (struct bounds){(mid - half) / scale, (mid + half) / scale};
}

static struct failures_counts recent_counts(const struct failures_item *item)
{
	return (struct failures_counts){item->failed,
					(double)item->failed + item->succeeded};
}

/* Adds the recent attempts for the time since the last update. */
static void update_longer(struct failures *f,
			  const struct failures_counts *recent, int64_t age_us)
{
	double kept = exp2(-(double)age_us / LONGER_HALF_LIFE_US);
	double added = MIN((double)age_us / RECENT_US, 1);

	f->longer.failed = f->longer.failed * kept + recent->failed * added;
	f->longer.attempts =
		f->longer.attempts * kept + recent->attempts * added;
}

static double found_excess(const struct failures_counts *c, double z,
			   double common)
{
	/* The bounds of longer counts close to 0 are not finite. */
	if (c->failed < FAILURES_MIN)
		return 0;
	double excess = share_bounds(c, z).low - common;
	return excess < EXCESS_MIN ? 0 : excess;
}

/* Whether at least three attempts, and most of them, failed, and half of the
 * attempts there would have succeeded elsewhere. */
static bool is_avoided(const struct failures_counts *c, double common)
{
	return c->failed >= FAILURES_MIN && 2 * c->failed > c->attempts &&
	       c->failed / c->attempts - common > AVOID_EXCESS;
}

static void update_endpoint(const struct failures_item *item, double common,
			    int64_t age_us)
{
	struct failures *f = item->state;
	struct failures_counts recent = recent_counts(item);
	double limit = share_bounds(&recent, DEVIATIONS_HIGH).high - common;
	double excess = f->excess * exp2(-(double)age_us / HALF_LIFE_US);

	excess = MAX(excess,
		     found_excess(&f->longer, DEVIATIONS_LONGER, common));
	excess = MAX(MIN(excess, limit),
		     found_excess(&recent, DEVIATIONS_LOW, common));
	f->excess = excess < EXCESS_MIN ? 0 : excess;
	f->avoided = is_avoided(&recent, common);
}

void failures_update(const struct failures_item *items, size_t n, int64_t now)
{
	g_autofree struct failures_counts *recent =
		g_new(struct failures_counts, n);
	g_autofree struct failures_counts *longer =
		g_new(struct failures_counts, n);

	for (size_t i = 0; i < n; i++) {
		struct failures *f = items[i].state;

		recent[i] = recent_counts(&items[i]);
		update_longer(f, &recent[i], MAX(now - f->updated_us, 0));
		longer[i] = f->longer;
	}
	/* The higher one: failures everywhere may have begun or ended. */
	double common = MAX(common_share(recent, n), common_share(longer, n));
	for (size_t i = 0; i < n; i++) {
		struct failures *f = items[i].state;

		update_endpoint(&items[i], common, MAX(now - f->updated_us, 0));
		f->updated_us = now;
	}
}

int64_t failures_cost_us(const struct failures *f, bool is_repeat)
{
	double us = f->excess * FAILURE_COST_US;

	return (int64_t)(is_repeat ? us * REPEAT_FACTOR : us);
}
