#ifndef POLICY_DRAIN_RATE_H
#define POLICY_DRAIN_RATE_H

#include <math.h>
#include <stdint.h>

/*
 * Exponentially weighted estimate of the rate at which a backlog is served.
 * Only time with a backlog counts, so that the rate measures the capacity and
 * not the demand.
 */
#define DRAIN_TIME_CONSTANT_US 10e6

struct drain {
	double decayed_amount;	/* served */
	double decayed_busy_us; /* time with a backlog */
	int64_t last_us;
	int64_t busy_us; /* total time with a backlog */
};

/*
 * Adds the time since the last call; busy tells whether there was a backlog
 * during that time.
 */
static inline void drain_add_time(struct drain *d, int busy, int64_t now)
{
	int64_t dt = now - d->last_us;

	d->last_us = now;
	if (!busy || dt <= 0)
		return;

	double f = exp(-(double)dt / DRAIN_TIME_CONSTANT_US);

	d->decayed_amount *= f;
	d->decayed_busy_us =
		d->decayed_busy_us * f + DRAIN_TIME_CONSTANT_US * (1 - f);
	d->busy_us += dt;
}

/* Adds a served amount; a negative amount is a refund. */
static inline void drain_add(struct drain *d, double amount)
{
	d->decayed_amount += amount;
}

/* Over less time than this, the rate would be that of single requests. */
#define DRAIN_MIN_BUSY_US 500000

/*
 * Returns the amount served per second, or 0 while it is unknown: before
 * DRAIN_MIN_BUSY_US of backlog, or if nothing was served.
 */
static inline double drain_rate(const struct drain *d)
{
	if (d->busy_us < DRAIN_MIN_BUSY_US || d->decayed_amount <= 0)
		return 0;
	return d->decayed_amount / d->decayed_busy_us * 1e6;
}

#endif
