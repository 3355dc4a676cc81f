#include "forward/turn.h"

/* Sums over the other hosts come every 0.1 s; older ones say nothing of queues
 * that last for a second. */
#define TOLD_VALID_US 1000000

/* Long generations keep their memory for some ten seconds. */
#define TURNOVER_US 10000000

void quota_begin_round(struct quota *t, uint64_t room, uint64_t own,
		       uint64_t others, int64_t now)
{
	uint64_t wanted = own + others;

	if (t->round_start_us && now - t->round_start_us < TURN_ROUND_US)
		return;
	t->round_start_us = now;
	t->enough_for_all = wanted <= room;
	t->left_tokens =
		t->enough_for_all
			? (double)room
			: (double)own * ((double)room / (double)wanted);
}

bool quota_take(struct quota *t, uint64_t tokens, double draw)
{
	bool whole = t->left_tokens >= (double)tokens;

	if (!whole && draw * (double)tokens >= t->left_tokens) {
		t->left_tokens = 0;
		return false;
	}
	t->left_tokens = whole ? t->left_tokens - (double)tokens : 0;
	return true;
}

bool quota_wait_is_worthwhile(uint64_t queued, uint64_t memory, int64_t wait_us)
{
	return (double)queued * TURNOVER_US <= (double)memory * (double)wait_us;
}

uint64_t quota_queued_elsewhere(uint64_t own, uint64_t told,
				int64_t told_age_us, unsigned int hosts)
{
	if (told_age_us <= TOLD_VALID_US)
		return told;
	return hosts > 1 ? own * (hosts - 1) : 0;
}
