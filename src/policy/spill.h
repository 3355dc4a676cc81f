#ifndef POLICY_SPILL_H
#define POLICY_SPILL_H

#include <stdbool.h>
#include <stdint.h>
#include "policy/queue.h"

/*
 * Byte budget of one entry host for generations on endpoints of other data
 * centres.  Links between data centres are slow and billed by volume.
 *
 * The budget is a token bucket in bytes.  A request is charged its forecast
 * when it is sent; bytes beyond the forecast are charged as they are
 * transferred, and the unused part of the forecast is refunded at the end.
 * Since requests may exceed their forecasts, a balance can become negative; no
 * request is sent until the refill has made up for it.  Over any time t the
 * bytes are thus at most burst + rate * t, plus the excess over their forecasts
 * of the requests that are running at the end of t.
 *
 * Each rank has a bucket besides the common one, so that the requests of one
 * rank cannot use up the whole budget.
 *
 * All times are in microseconds of one monotonic clock.
 */

struct spill_cfg {
	uint64_t bytes_per_s;		    /* 0: no spill */
	uint64_t burst_bytes;		    /* 0: 10 s of the rate */
	unsigned rank_percent[QUEUE_RANKS]; /* sum may be above 100 */
};

struct spill_bucket {
	double balance_bytes; /* balance in bytes; negative: debt */
	double rate_bytes_per_s;
	double burst_bytes;  /* capacity in bytes */
	int64_t refilled_us; /* time of the last refill */
};

struct spill_budget {
	struct spill_cfg cfg;
	struct spill_bucket total, rank[QUEUE_RANKS];
	double bytes_per_output_token; /* moving average of ended requests */
	uint64_t bytes_transferred;    /* sent and received so far */
	uint64_t requests_charged;     /* charged with a forecast so far */
};

/* Charge of one request; embedded in the caller's request. */
struct spill_reservation {
	bool active;
	unsigned rank;
	uint64_t forecast;   /* bytes charged in advance */
	uint64_t used_bytes; /* transferred so far */
};

/* Copies cfg; all buckets start full. */
void spill_init(struct spill_budget *b, const struct spill_cfg *cfg);

/*
 * Sets new limits.  Balances are kept, up to the new burst sizes; if spilling
 * was off before, all buckets start full.  Does nothing if the settings are
 * unchanged.
 */
void spill_configure(struct spill_budget *b, const struct spill_cfg *cfg,
		     int64_t now);

/* Returns the bytes that a request is expected to send and receive. */
uint64_t spill_forecast(const struct spill_budget *b, uint64_t prompt_bytes,
			double output_tokens);

/* Returns the bytes that are available to requests of this rank now. */
uint64_t spill_available(struct spill_budget *b, unsigned rank, int64_t now);

/*
 * Returns whether the budget covers a request of this size; false if spilling
 * is off, also for 0 bytes.
 */
bool spill_allows(struct spill_budget *b, unsigned rank, uint64_t bytes,
		  int64_t now);

/*
 * Charges the forecast of a request that is being sent, without a check of the
 * balance.  The caller ends the charge with spill_settle().
 */
void spill_reserve(struct spill_budget *b, struct spill_reservation *res,
		   unsigned rank, uint64_t bytes, int64_t now);

/* Records transferred bytes; does nothing if res is not active. */
void spill_record_bytes(struct spill_budget *b, struct spill_reservation *res,
			uint64_t bytes);

/*
 * Ends the charge of a request that received this many tokens: refunds the
 * unused forecast and updates the average bytes for one token.  Repeated calls
 * do nothing.
 */
void spill_settle(struct spill_budget *b, struct spill_reservation *res,
		  uint64_t output_tokens);

#endif
