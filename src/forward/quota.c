#include "forward/quota.h"

/* Totals arrive every 0.1 s.  Queues last for about a second, so older totals
 * say nothing about the present ones. */
#define TOTALS_VALID_US 1000000

/* Time for which a long generation holds its memory. */
#define MEMORY_HELD_US 10000000

bool quota_round_is_due(const struct quota *q, int64_t now)
{
	return !q->round_start_us || now - q->round_start_us >= QUOTA_ROUND_US;
}

void quota_begin_round(struct quota *q, uint64_t room_tokens,
		       uint64_t own_tokens, uint64_t elsewhere_tokens,
		       int64_t now)
{
	uint64_t queued_tokens = own_tokens + elsewhere_tokens;

	if (!quota_round_is_due(q, now))
		return;
	q->round_start_us = now;
	q->enough_for_all = queued_tokens <= room_tokens;
	q->left_tokens = q->enough_for_all
				 ? (double)room_tokens
				 : (double)own_tokens * ((double)room_tokens /
							 (double)queued_tokens);
}

bool quota_take(struct quota *q, uint64_t tokens, double random)
{
	bool fits = q->left_tokens >= (double)tokens;

	if (!fits && random * (double)tokens >= q->left_tokens) {
		q->left_tokens = 0;
		return false;
	}
	q->left_tokens = fits ? q->left_tokens - (double)tokens : 0;
	return true;
}

uint64_t quota_worthwhile_tokens(uint64_t memory_tokens, int64_t wait_us)
{
	return (uint64_t)((double)memory_tokens * (double)wait_us /
			  MEMORY_HELD_US);
}

bool quota_wait_is_worthwhile(uint64_t queued_tokens, uint64_t memory_tokens,
			      int64_t wait_us)
{
	return (double)queued_tokens * MEMORY_HELD_US <=
	       (double)memory_tokens * (double)wait_us;
}

uint64_t quota_queued_elsewhere(uint64_t own_tokens, uint64_t reported_tokens,
				int64_t reported_age_us, unsigned int n_hosts)
{
	if (reported_age_us <= TOTALS_VALID_US)
		return reported_tokens;
	return n_hosts > 1 ? own_tokens * (n_hosts - 1) : 0;
}
