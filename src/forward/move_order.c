#include "forward/move_order.h"

#include <glib.h>

/* Prompt tokens that an engine processes in a millisecond: 112 in a step, which
 * takes 8 ms for them and 7 ms for the generations that run beside. */
#define PREFILL_ALONE_PER_MS 14
#define PREFILL_BESIDE_PER_MS 7

/* The hosts order copies over this part of the time that the source's link
 * needs for all of them, so that the link is never idle. */
#define ORDER_SPREAD_PERCENT 30

/* A generation that ends by itself with a higher probability than this is not
 * copied yet; it is judged again until the last moment for a copy. */
#define P_RUNNING_MIN 0.25

/* Time from the first event of a target to the order to copy, beside the copy
 * itself: two round trips inside a region and a tick of the host. */
#define MOVE_SLACK_US 40000

/* The wait at a target that the delay of events covers with a pause below the
 * limit of 180 ms. */
#define WAIT_COVERED_US 200000

/* The source should not end before the target has answered. */
#define ANSWER_TIME_US 250000

/* An event may be passed on 300 ms after it was made; the rest is for the way
 * from the engine, and for hosts that get a tenth of a processor. */
#define EVENT_DELAY_MAX_US 180000

/* The delay grows by this part of the time since the target was asked.  At 100
 * percent the caller would see no gap; 72 percent reaches the maximum when the
 * source is stopped, after 250 ms. */
#define EVENT_DELAY_PERCENT 72

/* Before that it grows by this part of the time since the copy was ordered.  A
 * target whose first event comes after 100 ms needs another 250 ms to catch up
 * while it processes prompts, so a delay of 72 ms leaves a pause above the
 * limit.  At 40 percent events that come every 100 ms are 167 ms apart. */
#define EVENT_ADVANCE_PERCENT 40

bool move_links_known(const struct move_links *l)
{
	return l->token_bytes && l->mbps;
}

int64_t move_copy_us(const struct move_links *l, uint64_t tokens)
{
	return l->mbps ? (int64_t)((double)tokens * (double)l->token_bytes * 8 /
				   l->mbps)
		       : 0;
}

/* From then on the source may end at any time. */
static int64_t notice_end_us(const struct move_source *s)
{
	return s->leaving_since_us + MOVE_NOTICE_MIN_US;
}

int64_t move_order_delay_us(const struct move_links *l,
			    const struct move_source *s,
			    const struct move_candidate *c)
{
	uint64_t total = MAX(s->tokens, c->tokens);
	double mean = (double)total / MAX(s->generations, 1u);
	double ratio;

	if (!s->leaving_since_us || s->generations < 2 || !c->tokens)
		return 0;
	/* Benefit for each token that is copied, relative to the mean: the sum
	 * of the benefits is greatest if copies are made in this order. */
	ratio = c->p_running * mean / (double)c->tokens;
	return (int64_t)((double)move_copy_us(l, total) * ORDER_SPREAD_PERCENT /
			 100 * CLAMP(1 - ratio, 0, 1));
}

enum move_verdict move_order_judge(const struct move_links *l,
				   const struct move_source *s,
				   const struct move_candidate *c, int64_t now)
{
	int64_t copied_us = now + move_copy_us(l, c->tokens) + MOVE_SLACK_US;

	if (!s->leaving_since_us)
		return MOVE_ORDER_NOW;
	if (copied_us > s->leaving_since_us + MOVE_NOTICE_MAX_US)
		return MOVE_ORDER_TOO_LATE;
	if (c->p_running < P_RUNNING_MIN &&
	    copied_us + ANSWER_TIME_US < notice_end_us(s))
		return MOVE_ORDER_LATER;
	return MOVE_ORDER_NOW;
}

bool move_second_copy_due(const struct move_links *l,
			  const struct move_source *s, uint64_t grown_tokens,
			  int64_t round_trip_us, int64_t now)
{
	int64_t copy_us = move_copy_us(l, grown_tokens) + round_trip_us;
	int64_t prefill_us =
		(int64_t)(grown_tokens * 1000 / PREFILL_ALONE_PER_MS);

	/* The copy waits behind those of other hosts, half of the rest of the
	 * source's memory on average. */
	if (s->tokens > grown_tokens)
		copy_us += move_copy_us(l, s->tokens - grown_tokens) / 2;
	return copy_us < prefill_us &&
	       (!s->leaving_since_us ||
		now + copy_us + ANSWER_TIME_US < notice_end_us(s));
}

int64_t move_target_wait_us(uint64_t prefill_tokens, double pace)
{
	uint64_t us = prefill_tokens * 1000 / PREFILL_BESIDE_PER_MS;

	return (int64_t)((double)us * pace);
}

bool move_resume_due(const struct move_source *s, uint64_t prefill_tokens,
		     double pace, int64_t now)
{
	return !s->leaving_since_us ||
	       move_target_wait_us(prefill_tokens, pace) <= WAIT_COVERED_US ||
	       now + ANSWER_TIME_US >= notice_end_us(s);
}

double move_target_weight(uint64_t prefill_tokens, double pace)
{
	double wait = (double)move_target_wait_us(prefill_tokens, pace) /
		      (double)WAIT_COVERED_US;

	return 1 / (1 + wait * wait);
}

int64_t move_event_delay_us(int64_t copying_us, int64_t since_resume_us,
			    int64_t target_gap_us)
{
	int64_t max = MIN(target_gap_us, EVENT_DELAY_MAX_US);
	int64_t delay_us = copying_us * EVENT_ADVANCE_PERCENT / 100 +
			   since_resume_us * EVENT_DELAY_PERCENT / 100;

	return CLAMP(delay_us, 0, max);
}
