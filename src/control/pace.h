#ifndef CONTROL_PACE_H
#define CONTROL_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/order.h"

/*
 * Pacing of loads from the weight store.  The store has one rate limit for the
 * whole fleet, so loads run one after another.  An endpoint answers an order
 * before its load ends; the duration of a load is therefore calculated from its
 * size and the rate of the store.  Times are in microseconds, and monotonic
 * unless stated otherwise.
 */
struct store_pace {
	int64_t store_free_us;	 /* time from which another load may start */
	unsigned int unanswered; /* orders to load that were sent */
};

/*
 * Returns the time for which an order occupies the store, 0 for an order that
 * loads nothing.
 */
typedef int64_t (*pace_load_us_fn)(const Mw__OrderIntent *intent, void *ctx);

/* Returns whether a load may start. */
bool pace_may_start_load(const struct store_pace *p, int64_t now);

/*
 * Records that an order for a load of load_us is sent now.  The load starts
 * when the order arrives, so no other one starts until pace_end_order().
 */
void pace_start_load(struct store_pace *p, int64_t now, int64_t load_us);

/*
 * Records that such an order was answered or given up now.  loads is false if
 * it certainly started no load.
 */
void pace_end_order(struct store_pace *p, int64_t now, int64_t load_us,
		    bool loads);

/*
 * Sets the pace of a new leader from the orders in the log, which a former
 * leader gave: an order with a result may still be loading, and one without a
 * result may have been sent just now.  now_ms is the wall clock in
 * milliseconds, with which results are stamped.
 */
void pace_take_over(struct store_pace *p, int64_t now, uint64_t now_ms,
		    const struct orders *orders, pace_load_us_fn load_us,
		    void *ctx);

#endif
