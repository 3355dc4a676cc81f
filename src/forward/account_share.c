#include "forward/account_share.h"

#include <math.h>
#include <glib.h>

/* Steps of the search for the level: to 2^-50 of the highest one. */
#define LEVEL_STEPS 50

/* Part of the queue that is open to accounts above their share.  In the model
 * (tests/test_account_share.c) a heavy account got 2.0 times as much as others
 * with 0.5, 1.5 times with 0.25; with 0.1 more callers were rejected twice. */
#define EVERYONE_MAY_WAIT 0.25

/* A grant that lacks less than this is whole. */
#define ROUNDING_TOKENS 0.5

/* Bounds of the time that a caller is told.  The lower one is a few times the
 * delay of totals; use decays within the upper one. */
#define RETRY_MIN_US 500000
#define RETRY_MAX_US ACCOUNT_SHARE_WINDOW_US

/* Totals arrive every 0.1 s while room is short. */
#define TOTALS_VALID_US 1000000

static double decay(int64_t us)
{
	return exp(-(double)MAX(us, 0) / ACCOUNT_SHARE_WINDOW_US);
}

uint64_t account_recent_get(const struct account_recent *r, int64_t now)
{
	return (uint64_t)(r->tokens * decay(now - r->updated_us));
}

void account_recent_add(struct account_recent *r, uint64_t tokens, int64_t now)
{
	r->tokens = (double)(account_recent_get(r, now) + tokens);
	r->updated_us = now;
}

void account_average_set(struct account_average *a, double present, int64_t now)
{
	double weight = decay(now - a->updated_us);

	a->average = weight * a->average + (1 - weight) * a->present;
	a->present = present;
	a->updated_us = now;
}

double account_share_elsewhere(const struct account_average *own,
			       double reported, int64_t reported_age_us,
			       unsigned int n_hosts)
{
	double weight = decay(reported_age_us - TOTALS_VALID_US);

	return weight * reported +
	       (1 - weight) * own->average * (n_hosts > 1 ? n_hosts - 1 : 0);
}

static double granted_at(const struct account_claim *c, double level)
{
	return CLAMP(level * c->weight - c->used, 0, c->queued);
}

static double sum_at(const struct account_claim *claims, size_t n, double level)
{
	double sum = 0;

	for (size_t i = 0; i < n; i++)
		sum += granted_at(&claims[i], level);
	return sum;
}

double account_share_divide(struct account_claim *claims, size_t n,
			    double amount)
{
	double low = 0, high = 0;

	for (size_t i = 0; i < n; i++)
		high = MAX(high, (claims[i].used + claims[i].queued) /
					 claims[i].weight);
	/* At `high` all is granted, by more than rounding errors. */
	high = high * 1.001 + 1;
	if (sum_at(claims, n, high) <= amount) {
		low = high;
	} else {
		for (int step = 0; step < LEVEL_STEPS; step++) {
			double middle = (low + high) / 2;

			if (sum_at(claims, n, middle) <= amount)
				low = middle;
			else
				high = middle;
		}
	}
	for (size_t i = 0; i < n; i++)
		claims[i].granted = granted_at(&claims[i], low);
	return low;
}

/* The level by which the accounts would have got what they were refused. */
static double wanted_level(const struct account_claim *claims, size_t n,
			   double amount)
{
	struct account_claim *all = g_new(struct account_claim, n);

	for (size_t i = 0; i < n; i++) {
		all[i] = claims[i];
		all[i].queued += all[i].refused;
	}
	double level = account_share_divide(all, n, amount);
	g_free(all);
	return level;
}

bool account_share_may_wait(struct account_claim *claims, size_t n,
			    const struct account_newcomer *newcomer,
			    double all_queued, double queue_max, double *level)
{
	const struct account_claim *c = &claims[newcomer->account];

	*level = account_share_divide(claims, n, queue_max);
	if (all_queued <= queue_max * EVERYONE_MAY_WAIT)
		return true;
	if (all_queued <= queue_max)
		return c->used <=
		       c->weight * wanted_level(claims, n, queue_max);
	double missing = c->queued - c->granted;
	return missing <=
	       newcomer->need * (1 - newcomer->random) + ROUNDING_TOKENS;
}

double account_share_of_host(const struct account_claim *c, double own_queued)
{
	return c->queued > 0 ? c->granted * MIN(own_queued / c->queued, 1) : 0;
}

double account_share_excess(const struct account_claim *c)
{
	return (c->queued - c->granted) / c->weight;
}

double account_share_order(const struct account_claim *c)
{
	return c->used / c->weight;
}

bool account_share_displaces(const struct account_claim *newcomer,
			     const struct account_claim *other,
			     uint64_t need_tokens)
{
	return (newcomer->used + (double)need_tokens) / newcomer->weight <
	       other->used / other->weight;
}

int64_t account_share_retry_us(const struct account_claim *c, double level,
			       int64_t wait_us)
{
	double excess = c->queued - c->granted;
	double share = level * c->weight;
	double us = 0;

	/* Until its use has decayed to the level. */
	if (c->used > share)
		us = share > 0 ? ACCOUNT_SHARE_WINDOW_US * log(c->used / share)
			       : RETRY_MAX_US;
	/* Its queue is placed at the rate at which its grant is. */
	else if (excess > 0)
		us = c->granted > 0 ? excess / c->granted * (double)wait_us
				    : RETRY_MAX_US;
	return (int64_t)CLAMP(us, RETRY_MIN_US, RETRY_MAX_US);
}
