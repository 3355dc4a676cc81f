#ifndef POLICY_SPILL_H
#define POLICY_SPILL_H

#include <stdbool.h>
#include <stdint.h>
#include "policy/queue.h"

/*
 * Byte budget of one entry host for generations on endpoints of other data
 * centres.  Links between data centres are slow and billed by volume.
 *
 * A request is charged its forecast when it is sent.  Bytes beyond the
 * forecast are charged as they pass, and what is left of the forecast is given
 * back at the end.  A balance may therefore fall below 0, and nothing is sent
 * until the rate has made up for it: over any time t the bytes are at most
 * burst + rate * t plus what the requests that were running at its end exceed
 * their forecasts by.
 *
 * Each rank has a balance of its own beside the common one, so that the work
 * of one rank cannot use up what another may need.
 */

struct spill_cfg {
	uint64_t bytes_per_s;		    /* 0: no spill */
	uint64_t burst_bytes;		    /* 0: 10 s of the rate */
	unsigned rank_percent[QUEUE_RANKS]; /* share of a rank; may overlap */
};

struct spill_bucket {
	double tokens, rate_bytes_per_s, burst; /* bytes, bytes/s, bytes */
	int64_t refilled_us;
};

struct spill_budget {
	struct spill_cfg cfg;
	struct spill_bucket all, rank[QUEUE_RANKS];
	double bytes_per_output_token; /* usual bytes for one token of output */
	uint64_t bytes;		       /* sent and received so far */
	uint64_t requests;	       /* charged with a forecast */
};

/* Charge of one request, part of the caller's request. */
struct spill_res {
	bool active;
	unsigned rank;
	uint64_t forecast, used_bytes;
};

void spill_init(struct spill_budget *b, const struct spill_cfg *cfg);

/*
 * Sets new limits; balances are kept up to the new bursts.  Does nothing if
 * the settings are unchanged.
 */
void spill_configure(struct spill_budget *b, const struct spill_cfg *cfg,
		     int64_t now);

/* Bytes that a request is expected to send and receive. */
uint64_t spill_forecast(const struct spill_budget *b, uint64_t prompt_bytes,
			double output_tokens);

/* Bytes that a request of this rank may use now. */
uint64_t spill_room(struct spill_budget *b, unsigned rank, int64_t now);

/* Returns whether the budget covers a request; never without a rate. */
bool spill_allows(struct spill_budget *b, unsigned rank, uint64_t bytes,
		  int64_t now);

/* Charges the forecast of a request that is being sent. */
void spill_reserve(struct spill_budget *b, struct spill_res *res, unsigned rank,
		   uint64_t bytes, int64_t now);

/* Bytes that have passed; does nothing for a request that is not charged. */
void spill_used(struct spill_budget *b, struct spill_res *res, uint64_t bytes);

/* The request has ended with this many tokens; repeated calls do nothing. */
void spill_settle(struct spill_budget *b, struct spill_res *res,
		  uint64_t output_tokens);

#endif
