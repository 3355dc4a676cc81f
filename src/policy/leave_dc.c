#include "policy/leave_dc.h"

#include <math.h>

/* An event of a stream with its frame, and a token of a prompt. */
#define EVENT_BYTES 150
#define PROMPT_TOKEN_BYTES 4

#define BYTES_PER_MB 1000000

/* More than any wait for an endpoint with room. */
#define BLIND_COST_US INT64_C(60000000)

/* At least this many requests of the size of the one that would leave are kept
 * free for a data centre's own: it sees its own next arrival later than the
 * host that fills its last room. */
#define KEPT_REQUESTS_MIN 1.0

/* Part by which one request changes the share. */
#define SHARE_WEIGHT 0.125
#define SHARE_LOG_STEP 0.1
#define SHARE_LOG_INTERVAL_US INT64_C(1000000)

struct leave_prices leave_prices_init(bool enabled, int dc_latency_us,
				      int region_latency_us, int dc_mb_cost_us,
				      int region_mb_cost_us)
{
	return (struct leave_prices){
		.enabled = enabled,
		.latency_us = {0, dc_latency_us, region_latency_us},
		.mb_cost_us = {0, dc_mb_cost_us, region_mb_cost_us}};
}

uint64_t leave_generation_bytes(uint64_t prompt_tokens, uint64_t output_tokens,
				unsigned int tokens_per_event)
{
	uint64_t per_event = tokens_per_event ? tokens_per_event : 1;

	return prompt_tokens * PROMPT_TOKEN_BYTES +
	       (output_tokens + per_event - 1) / per_event * EVENT_BYTES;
}

int64_t leave_cost_us(const struct leave_prices *p, enum leave_class c,
		      uint64_t bytes, int64_t age_us)
{
	if (c == LEAVE_SAME_DC)
		return 0;
	int64_t us = 2 * p->latency_us[c] +
		     (int64_t)((double)bytes * (double)p->mb_cost_us[c] /
			       BYTES_PER_MB);
	return age_us > LEAVE_VALID_US ? us + BLIND_COST_US : us;
}

bool leave_has_room(uint64_t free_tokens, double arrivals, uint64_t need_tokens)
{
	double kept = fmax(arrivals, KEPT_REQUESTS_MIN) * (double)need_tokens;

	return (double)free_tokens >= (double)need_tokens + kept;
}

bool leave_share_count(struct leave_share *s, bool went_there, int64_t now)
{
	s->share += ((went_there ? 1 : 0) - s->share) * SHARE_WEIGHT;
	return fabs(s->share - s->logged) > SHARE_LOG_STEP &&
	       (!s->logged_us || now - s->logged_us >= SHARE_LOG_INTERVAL_US);
}

void leave_share_logged(struct leave_share *s, int64_t now)
{
	s->logged = s->share;
	s->logged_us = now;
}
