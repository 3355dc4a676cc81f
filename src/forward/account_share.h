#ifndef FORWARD_ACCOUNT_SHARE_H
#define FORWARD_ACCOUNT_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Shares of client accounts in the room of a service's endpoints while it is
 * short.  Pure functions, no I/O.
 *
 * Each account has a claim: what it uses on all hosts, and what it has queued
 * there.  An amount is divided so that uses become as equal as possible in
 * proportion to the weights (weighted max-min fairness): every account gets
 * what it asks for up to a common level, and what one does not ask for goes to
 * the others.  So no account is starved, and one that asks for more than its
 * share takes nothing from those that do not.
 *
 * Amounts are in tokens of memory that generations are expected to need.
 */

/*
 * Time in which what an account has received counts less by a factor of e.  As
 * long as a long generation holds its memory (quota.c): an account that got an
 * unused share is behind the others no longer than its generations last.
 */
#define ACCOUNT_SHARE_WINDOW_US 10000000

/* Tokens of generations that were placed, or rejected, lately.  Zero before the
 * first. */
struct account_recent {
	double tokens; /* at updated_us */
	int64_t updated_us;
};

void account_recent_add(struct account_recent *r, uint64_t tokens, int64_t now);
uint64_t account_recent_get(const struct account_recent *r, int64_t now);

/* Average of an amount over the last ACCOUNT_SHARE_WINDOW_US.  Zero before the
 * first amount. */
struct account_average {
	double average; /* at updated_us */
	double present; /* since then */
	int64_t updated_us;
};

void account_average_set(struct account_average *a, double present,
			 int64_t now);

/*
 * What an account uses or has queued on all other hosts, by the last totals and
 * their age.  Up to 1 s they count as they are, like queues (quota.h).  A host
 * that is cut off then counts them less and less, and assumes in their place
 * that each other host has what this one has on average: hosts are sent few
 * requests each, so its present amount says little of the others.
 */
double account_share_elsewhere(const struct account_average *own,
			       double reported, int64_t reported_age_us,
			       unsigned int n_hosts);

struct account_claim {
	double weight;	/* above 0 */
	double used;	/* held at endpoints, and received lately */
	double queued;	/* that it asks for */
	double refused; /* rejected lately for want of room; it asks for it
			   again, but it takes no room now */
	double granted; /* of `queued`, set by account_share_divide() */
};

/*
 * Sets the parts of `amount` that the accounts are granted.  They add up to
 * `amount`, or to all that is queued if that is less.  Returns the level: no
 * account is granted more than what raises its use to level x weight.
 */
double account_share_divide(struct account_claim *claims, size_t n,
			    double amount);

/* The part of a grant for a host on which own_queued of the claim is queued. */
double account_share_of_host(const struct account_claim *c, double own_queued);

/* A new request that is to wait; its need is counted in its account's queue. */
struct account_newcomer {
	size_t account; /* index of its claim */
	double need;
	double random; /* uniform between 0 and 1 */
};

/*
 * Whether a new request may wait.  all_queued waits on all hosts, and queue_max
 * of it is placed in time.  Up to a quarter of that every account may wait, so
 * that no room is left unused.  Above it those may not that use more than
 * others which were rejected lately: callers of a heavy account ask more often,
 * and would take each place that gets free.  Above queue_max a request may wait
 * within its account's share of it; if only a part of the request is, with the
 * probability of that part.  The grants are those of queue_max afterwards, and
 * *level their level.
 */
bool account_share_may_wait(struct account_claim *claims, size_t n,
			    const struct account_newcomer *newcomer,
			    double all_queued, double queue_max, double *level);

/* What the account has queued above its share, by its weight. */
double account_share_excess(const struct account_claim *c);

/* Accounts with lower values go first among requests of equal rank. */
double account_share_order(const struct account_claim *c);

/*
 * Whether a request of `other`, which waits, is to be rejected rather than a
 * new one that needs need_tokens: `other` uses more by its weight already than
 * the new one's account will with it.
 */
bool account_share_displaces(const struct account_claim *newcomer,
			     const struct account_claim *other,
			     uint64_t need_tokens);

/*
 * Time after which a request of the claim, counted in its queue, is expected to
 * be within the account's share.  The divided amount, whose level is given, is
 * placed in wait_us.
 */
int64_t account_share_retry_us(const struct account_claim *c, double level,
			       int64_t wait_us);

#endif
