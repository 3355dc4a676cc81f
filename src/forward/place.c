#include "forward/place.h"

/*
 * Prompt tokens that an engine reads in a millisecond beside its generations:
 * it reads 112 tokens in 8 ms and then makes a token for each in 7 ms or more.
 */
#define READ_TOKENS_PER_MS 7

/*
 * Part of the slots and of the memory that less urgent work may fill, percent.
 * Short urgent answers come 1.4 times as often as long ones and stay a
 * fiftieth of their time, so less than a tenth is enough for them.
 */
#define SHARED_PERCENT 92

/* Expected memory may reach this part of an engine: sums of means are exceeded
 * now and then, and an engine that is out of memory preempts. */
#define MEMORY_PERCENT 94

/*
 * An engine whose own queue holds so many requests gets no more work that may
 * wait: it is short of memory, whatever the hosts have counted.
 */
#define WAITING_MAX 2

/*
 * A generation that is moved may go beyond: the forecast is for the end of all
 * that run, and they do not end together.
 */
#define MOVING_PERCENT 100

/*
 * Cost of each step away, in microseconds of delay: the round trip (2 and 24
 * ms), and the price of the bytes, which for a long answer is as much again.
 */
static const int64_t distance_us[] = {0, 6000, 40000};

/* A generation slows each token of the others by 0.12 ms; over 30 tokens. */
#define STREAM_COST_US 3600

/*
 * All hosts move generations of a leaving endpoint within the same moment and
 * do not know of each other's choices yet, so they are spread over the
 * endpoints whose costs differ by less than this.
 */
#define MOVING_SPREAD_US 120000

/* What a token's memory takes longer to another data centre. */
#define MOVING_FAR_TOKEN_US 55

/* A request that waits in an engine's queue waits for memory or for a prompt
 * of 2,000 tokens to be read. */
#define WAITING_COST_US 250000

/* A request in a plain endpoint's slot delays the next one by its work. */
#define CALL_COST_US 10000

static bool has_room(const struct place_target *t, const struct place_ask *ask)
{
	unsigned int slots = t->slots;
	uint64_t memory = t->memory_tokens * MEMORY_PERCENT / 100;

	if (!ask->generation)
		return true;
	if (ask->moving) {
		memory = t->memory_tokens * MOVING_PERCENT / 100;
	} else if (!ask->urgent) {
		slots = slots * SHARED_PERCENT / 100;
		memory = memory * SHARED_PERCENT / 100;
	}
	if (t->open >= slots || (!ask->urgent && t->waiting >= WAITING_MAX))
		return false;
	/* A request alone may be larger than the part it may fill. */
	return !t->open || t->tokens + ask->need_tokens <= memory;
}

static int64_t cost(const struct place_target *t, const struct place_ask *ask)
{
	int64_t us = distance_us[t->distance < 2 ? t->distance : 2];

	us += t->slow_us;
	if (ask->moving) {
		us += (int64_t)(t->tie % MOVING_SPREAD_US);
		if (t->distance)
			us += (int64_t)ask->need_tokens * MOVING_FAR_TOKEN_US;
	}
	if (!ask->generation) {
		/* Beyond the slots requests wait. */
		int64_t over = (int64_t)t->open - (int64_t)t->slots + 1;
		us += CALL_COST_US * (int64_t)t->open /
		      (t->slots ? t->slots : 1);
		return over > 0 ? us + CALL_COST_US * over : us;
	}
	us += (int64_t)t->prefill * 1000 / READ_TOKENS_PER_MS;
	us += (int64_t)t->open * STREAM_COST_US;
	us += (int64_t)t->waiting * WAITING_COST_US;
	/* Towards full memory the risk of preemption grows. */
	if (t->memory_tokens)
		us += (int64_t)(t->tokens * 100000 / t->memory_tokens);
	return us;
}

enum place_result place_choose(const struct place_target *targets, size_t n,
			       const struct place_ask *ask, size_t *index)
{
	enum place_result result = PLACE_NONE;
	int64_t best = 0;

	for (size_t i = 0; i < n; i++) {
		const struct place_target *t = &targets[i];

		if (!t->usable || t->excluded)
			continue;
		if (!has_room(t, ask)) {
			if (result == PLACE_NONE)
				result = PLACE_FULL;
			continue;
		}
		int64_t c = cost(t, ask);
		if (result == PLACE_OK &&
		    (c > best || (c == best && t->tie >= targets[*index].tie)))
			continue;
		result = PLACE_OK;
		best = c;
		*index = i;
	}
	return result;
}

/*
 * Memory that may be taken once a copy is added, percent.  Endpoints are
 * reclaimed a sixth at a time, so what is left must take their work as well.
 */
#define BACKUP_PERCENT 60

/* A copy to another data centre takes twice as long; percent of a memory. */
#define BACKUP_FAR_PERCENT 40

bool place_backup(const struct place_target *targets, size_t n,
		  uint64_t need_tokens, size_t *index)
{
	uint64_t best = 0;
	bool found = false;

	for (size_t i = 0; i < n; i++) {
		const struct place_target *t = &targets[i];
		uint64_t after = t->tokens + need_tokens;
		uint64_t rank;

		if (!t->usable || t->excluded ||
		    after > t->memory_tokens * BACKUP_PERCENT / 100)
			continue;
		rank = after + (t->distance ? t->memory_tokens *
						      BACKUP_FAR_PERCENT / 100
					    : 0);
		if (found && rank >= best)
			continue;
		found = true;
		best = rank;
		*index = i;
	}
	return found;
}
