#include "forward/place.h"

#include <math.h>
#include <glib.h>

/*
 * Prompt tokens that an engine reads in a millisecond beside its generations:
 * it reads 112 tokens in 8 ms and then makes a token for each in 7 ms or more.
 */
#define READ_TOKENS_PER_MS 7

/*
 * Part of the slots and of the memory that less urgent work may fill, percent;
 * the rest is for short urgent answers.  Generations are expected at their
 * size at the end, which they do not reach together, so endpoints that take
 * over what others run find room all the same.
 */
#define SHARED_PERCENT 88

/*
 * An engine whose own queue holds so many requests gets no more work that may
 * wait: it is short of memory, whatever the hosts have counted.
 */
#define WAITING_MAX 2

/*
 * Prompt tokens that wait to be read at one engine.  They take a good second;
 * what waits longer is lost when the engine leaves, and could as well wait on
 * a host, which may send it to any engine.  Work that may wait leaves room for
 * the prompt of a short urgent answer.
 */
#define READ_MAX_TOKENS 8400
#define READ_SHARED_TOKENS 6000

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

/* A request that waits in an engine's queue waits for memory or for a prompt
 * of 2,000 tokens to be read. */
#define WAITING_COST_US 250000

/* A request in a plain endpoint's slot delays the next one by its work. */
#define CALL_COST_US 10000

static bool has_room(const struct place_target *t,
		     const struct place_request *ask)
{
	unsigned int slots = t->slots;
	uint64_t memory = t->memory_tokens;

	if (!ask->generation)
		return true;
	if (!ask->urgent) {
		slots = slots * SHARED_PERCENT / 100;
		memory = memory * SHARED_PERCENT / 100;
	}
	if (t->open_requests >= slots ||
	    (!ask->urgent && t->engine_queue >= WAITING_MAX))
		return false;
	uint64_t unread = ask->urgent ? READ_MAX_TOKENS : READ_SHARED_TOKENS;
	if (t->prefill_tokens &&
	    t->prefill_tokens + ask->prompt_tokens > unread)
		return false;
	/* A request alone may be larger than the part it may fill. */
	return !t->open_requests ||
	       t->needed_tokens + ask->need_tokens <= memory;
}

struct place_capacity place_sum_capacity(const struct place_target *targets,
					 size_t n)
{
	struct place_capacity s = {0};

	for (size_t i = 0; i < n; i++) {
		const struct place_target *t = &targets[i];
		uint64_t memory = t->memory_tokens * SHARED_PERCENT / 100;
		unsigned int slots = t->slots * SHARED_PERCENT / 100;

		if (!t->usable)
			continue;
		s.memory_tokens += t->memory_tokens;
		s.usable++;
		if (t->open_requests >= slots || t->needed_tokens >= memory)
			s.full++;
		else if (t->engine_queue >= WAITING_MAX)
			s.queueing++;
		else if (t->prefill_tokens >= READ_SHARED_TOKENS)
			s.prefilling++;
		else
			s.room_tokens +=
				MIN(memory - t->needed_tokens,
				    READ_SHARED_TOKENS - t->prefill_tokens);
	}
	return s;
}

static int64_t placement_cost(const struct place_target *t,
			      const struct place_request *ask)
{
	int64_t us = distance_us[t->distance < 2 ? t->distance : 2];

	if (!ask->generation) {
		/* Beyond the slots requests wait. */
		int64_t over =
			(int64_t)t->open_requests - (int64_t)t->slots + 1;
		us += CALL_COST_US * (int64_t)t->open_requests /
		      (t->slots ? t->slots : 1);
		return over > 0 ? us + CALL_COST_US * over : us;
	}
	us += (int64_t)t->prefill_tokens * 1000 / READ_TOKENS_PER_MS;
	us += (int64_t)t->open_requests * STREAM_COST_US;
	us += (int64_t)t->engine_queue * WAITING_COST_US;
	/* Towards full memory the risk of preemption grows. */
	if (t->memory_tokens)
		us += (int64_t)(t->needed_tokens * 100000 / t->memory_tokens);
	return us;
}

enum place_result place_choose(const struct place_target *targets, size_t n,
			       const struct place_request *ask, size_t *index)
{
	enum place_result result = PLACE_NO_ENDPOINT;
	int64_t best = 0;

	for (size_t i = 0; i < n; i++) {
		const struct place_target *t = &targets[i];

		if (!t->usable || t->excluded)
			continue;
		if (!has_room(t, ask)) {
			if (result == PLACE_NO_ENDPOINT)
				result = PLACE_NO_ROOM;
			continue;
		}
		int64_t c = placement_cost(t, ask);
		if (result == PLACE_OK &&
		    (c > best ||
		     (c == best &&
		      t->tie_breaker >= targets[*index].tie_breaker)))
			continue;
		result = PLACE_OK;
		best = c;
		*index = i;
	}
	return result;
}

/*
 * Groups that are used: a copy to another data centre would hold both links for
 * twice as long, and what waits behind it for either is lost with its source.
 */
#define MOVE_GROUPS 2

static uint64_t move_room_tokens(const struct place_target *t)
{
	uint64_t memory = t->memory_tokens * MOVING_PERCENT / 100;

	if (!t->usable || t->excluded || t->open_requests >= t->slots)
		return 0;
	return memory > t->needed_tokens ? memory - t->needed_tokens : 0;
}

/*
 * Of random variables with an exponential distribution the least one is that
 * of a rate with the probability of its share in the sum of rates.
 */
static double draw_exponential(const struct place_target *t, double rate)
{
	double u = ((double)t->tie_breaker + 1) / ((double)UINT32_MAX + 2);

	return -log(u) / rate;
}

/* The group of targets that are tried together; less goes first. */
static unsigned int move_group(const struct place_target *t)
{
	if (t->distance)
		return 2;
	return t->reserved ? 1 : 0;
}

enum place_result place_choose_move_target(const struct place_target *targets,
					   size_t n, uint64_t need_tokens,
					   size_t *index)
{
	enum place_result result = PLACE_NO_ENDPOINT;
	unsigned int group = MOVE_GROUPS;
	double best = 0;

	for (size_t i = 0; i < n; i++) {
		uint64_t room = move_room_tokens(&targets[i]);
		unsigned int g = move_group(&targets[i]);

		if (targets[i].usable && !targets[i].excluded &&
		    result == PLACE_NO_ENDPOINT)
			result = PLACE_NO_ROOM;
		if (room < need_tokens || !room || g > group ||
		    g >= MOVE_GROUPS)
			continue;
		double d = draw_exponential(&targets[i], (double)room);
		if (g == group && d >= best)
			continue;
		result = PLACE_OK;
		group = g;
		best = d;
		*index = i;
	}
	return result;
}
