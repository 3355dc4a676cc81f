#ifndef POLICY_RETRY_H
#define POLICY_RETRY_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * Retry budget of a host: a token bucket that limits retries to a percentage of
 * the requests, so that failures do not cause a retry storm.  While the hub
 * grants tokens (it counts the requests of all hosts), only these fill the
 * bucket; otherwise the host's own requests do.  Requests are never hedged.
 *
 * Times are in microseconds of one monotonic clock.
 */
struct retry_cfg {
	unsigned budget_percent; /* retries per 100 requests, 0: 10 */
	double burst;		 /* capacity of the bucket in tokens, 0: 20 */
	int64_t backoff_base_us; /* backoff before the first retry, 0: 50 ms */
	int64_t backoff_max_us;	 /* longest backoff, 0: 5 s */
	unsigned max_retries;	 /* of one request, 0: 3 */
};

struct retry_budget {
	struct retry_cfg cfg;
	double tokens;
	int64_t hub_grant_until_us; /* until then only the hub adds tokens */
	/* Since the last retry_take_counts(). */
	uint64_t unreported_requests;
	uint64_t unreported_retries;
};

/* Describes a failed request for the decision whether to retry it. */
struct failed_request {
	bool repeatable;     /* a generation or an idempotent call */
	bool delivered;	     /* a token or byte has reached the caller */
	bool not_run;	     /* the endpoint reported that it did not run */
	bool unsent;	     /* the endpoint refused the connection */
	unsigned retries;    /* of this request so far */
	int64_t deadline_us; /* 0: none */
};

/* cfg may be NULL for the defaults. */
void retry_init(struct retry_budget *r, const struct retry_cfg *cfg);

/* Counts a new request; without a grant of the hub this adds to the budget. */
void retry_count_request(struct retry_budget *r, int64_t now);

/*
 * Adds tokens granted by the hub.  Until until_us the host's own requests do
 * not fill the bucket.
 */
void retry_add_granted_tokens(struct retry_budget *r, uint32_t tokens,
			      int64_t until_us);

/*
 * Returns whether a failed request may be retried.  If so, takes a token and
 * sets *delay_us to the backoff before the retry, exponential with full jitter.
 *
 * A request of which the caller has received output is never retried.  One that
 * did not run may be retried even if it is not idempotent.  One that reached no
 * endpoint takes no token, because it puts no load on the endpoints.  A retry
 * that could not start before the deadline is refused.
 */
bool retry_allow(struct retry_budget *r, const struct failed_request *c,
		 GRand *rand, int64_t now, int64_t *delay_us);

/* Returns and resets the counts for the report to the hub. */
void retry_take_counts(struct retry_budget *r, uint64_t *requests,
		       uint64_t *retries);

#endif
