#include "forward/place.h"

#include <limits.h>
#include <math.h>
#include <glib.h>

#include "forward/spread.h"

/*
 * Prompt tokens that an engine processes in a millisecond beside its
 * generations: it processes 112 tokens in 8 ms, and then produces one token
 * for each generation in 7 ms or more.
 */
#define PREFILL_TOKENS_PER_MS 7

/*
 * Part of the slots and of the memory that deferrable generations may fill; the
 * rest is reserved for short urgent answers.  No reserve for moves is needed:
 * each generation is counted at the size that it has when it ends, and they
 * reach that size at different times, so there is room for generations of
 * endpoints that leave.
 */
#define DEFERRABLE_PERCENT 88

/*
 * An engine with so many requests in its own queue gets no deferrable
 * generations: it is short of memory, even if the hosts' counts say otherwise.
 */
#define ENGINE_QUEUE_MAX 2

/*
 * Prompt tokens that wait to be processed at one engine; they take 1.2 s.  A
 * request that waits there for longer is lost when the engine leaves, while one
 * that waits on a host can be sent to any engine.  The lower bound for
 * deferrable generations leaves room for the prompt of a short urgent answer.
 */
#define PREFILL_MAX_TOKENS 8400
#define PREFILL_DEFERRABLE_MAX_TOKENS 6000

/*
 * Part of the memory that a moved generation may fill, beyond
 * DEFERRABLE_PERCENT: needed_tokens is the sum of the sizes that generations
 * have when they end, and they do not end at the same time.
 */
#define MOVE_MEMORY_PERCENT 100

/*
 * Cost by distance, in microseconds of delay: the round trip (2 and 24 ms) and
 * the price of the bytes, which for a long answer is about as much again.  By
 * distance: same data centre, same region, other region.  With --leave-dc they
 * are computed for each request (policy/leave_dc.h).
 */
static const int64_t distance_cost_us[] = {0, 6000, 40000};

/* A generation delays each token of those that run beside it by 0.12 ms; the
 * cost is that of 30 tokens. */
#define GENERATION_COST_US 3600

/* A request in an engine's queue waits for memory, or until a prompt of 2,000
 * tokens is processed. */
#define ENGINE_QUEUE_COST_US 250000

/* Delay by a request in a slot of an endpoint other than a model endpoint: the
 * time that the endpoint works on it. */
#define CALL_COST_US 10000

static double pace_of(const struct place_target *t)
{
	return t->pace > 0 ? t->pace : 1;
}

/* The tokens that take as long there as `tokens` do at an endpoint of ordinary
 * speed. */
static uint64_t prefill_max(const struct place_target *t, uint64_t tokens)
{
	return (uint64_t)((double)tokens / pace_of(t));
}

static bool has_room(const struct place_target *t,
		     const struct place_request *request)
{
	unsigned int slots = t->slots;
	uint64_t memory = t->memory_tokens;

	if (t->rate_limited || t->kept)
		return false;
	if (!request->generation)
		return true;
	if (!request->urgent) {
		slots = slots * DEFERRABLE_PERCENT / 100;
		memory = memory * DEFERRABLE_PERCENT / 100;
	}
	if (t->open_requests >= slots ||
	    (!request->urgent && t->engine_queue >= ENGINE_QUEUE_MAX))
		return false;
	uint64_t max =
		prefill_max(t, request->urgent ? PREFILL_MAX_TOKENS
					       : PREFILL_DEFERRABLE_MAX_TOKENS);
	if (t->prefill_tokens &&
	    t->prefill_tokens + request->prompt_tokens > max)
		return false;
	memory = MIN(memory, t->memory_tokens - MIN(t->memory_tokens,
						    request->margin_tokens));
	/* A request may be larger than `memory` if it runs there alone. */
	return !t->open_requests ||
	       t->needed_tokens + request->need_tokens <= memory;
}

struct place_capacity place_sum_capacity(const struct place_target *targets,
					 size_t n)
{
	struct place_capacity s = {0};

	for (size_t i = 0; i < n; i++) {
		const struct place_target *t = &targets[i];
		uint64_t memory = t->memory_tokens * DEFERRABLE_PERCENT / 100;
		unsigned int slots = t->slots * DEFERRABLE_PERCENT / 100;
		uint64_t max = prefill_max(t, PREFILL_DEFERRABLE_MAX_TOKENS);

		if (!t->usable)
			continue;
		s.memory_tokens += t->memory_tokens;
		s.usable++;
		if (t->rate_limited || t->open_requests >= slots ||
		    t->needed_tokens >= memory)
			s.full++;
		else if (t->engine_queue >= ENGINE_QUEUE_MAX)
			s.queueing++;
		else if (t->prefill_tokens >= max)
			s.prefilling++;
		else
			s.room_tokens += MIN(memory - t->needed_tokens,
					     max - t->prefill_tokens);
	}
	return s;
}

void place_add_unseen_load(struct place_target *targets, size_t n, double ratio)
{
	double open = 0, needed = 0;
	unsigned int usable = 0;

	if (ratio <= 0)
		return;
	for (size_t i = 0; i < n; i++) {
		usable += targets[i].usable;
		open += targets[i].open_requests;
		needed += (double)targets[i].needed_tokens;
	}
	for (size_t i = 0; usable && i < n; i++) {
		targets[i].open_requests +=
			(unsigned int)(open * ratio / usable);
		targets[i].needed_tokens += (uint64_t)(needed * ratio / usable);
	}
}

/* The cost without that of the distance. */
static int64_t placement_cost(const struct place_target *t,
			      const struct place_request *request)
{
	int64_t us = t->failure_cost_us;

	if (!request->generation) {
		/* Requests beyond the slots wait until a slot is free. */
		int64_t beyond_slots =
			(int64_t)t->open_requests - (int64_t)t->slots + 1;
		us += CALL_COST_US * (int64_t)t->open_requests /
		      (t->slots ? t->slots : 1);
		return beyond_slots > 0 ? us + CALL_COST_US * beyond_slots : us;
	}
	us += (int64_t)t->prefill_tokens * 1000 / PREFILL_TOKENS_PER_MS;
	us += (int64_t)t->open_requests * GENERATION_COST_US;
	us += (int64_t)t->engine_queue * ENGINE_QUEUE_COST_US;
	us = (int64_t)((double)us * pace_of(t));
	/* Up to 0.1 s: the fuller the memory, the likelier is preemption. */
	if (t->memory_tokens)
		us += (int64_t)(t->needed_tokens * 100000 / t->memory_tokens);
	return us;
}

/* What a request like this one adds to the cost of an endpoint of pace 1. */
static int64_t arrival_cost(const struct place_target *t,
			    const struct place_request *request)
{
	if (!request->generation)
		return CALL_COST_US / (t->slots ? t->slots : 1);
	return (int64_t)request->prompt_tokens * 1000 / PREFILL_TOKENS_PER_MS +
	       GENERATION_COST_US;
}

double place_unseen(double arrivals_per_s, int64_t lag_us,
		    uint64_t queued_tokens, uint64_t room_tokens,
		    uint64_t need_tokens)
{
	double queued = (double)MIN(queued_tokens, room_tokens) /
			(double)MAX(need_tokens, 1);

	return arrivals_per_s * (double)lag_us / G_USEC_PER_SEC + queued;
}

/* Data centres, as the targets name them. */
struct place_groups {
	const int64_t *distance_us; /* by distance */
	unsigned int own;	    /* the host's */
	unsigned int own_region;
	unsigned int region[SPREAD_GROUPS_MAX + 1];
};

static int64_t group_distance_us(const void *arg, unsigned int from,
				 unsigned int to)
{
	const struct place_groups *p = arg;

	if (from == to)
		return p->distance_us[0];
	return p->distance_us
		[p->region[from] && p->region[from] == p->region[to] ? 1 : 2];
}

/*
 * The data centres of the service's endpoints, whether or not these are usable.
 * The host's has a number of its own if it has no endpoint.
 */
static struct spread_groups find_groups(const struct place_target *targets,
					size_t n, const int64_t *distance_us,
					struct place_groups *p)
{
	struct spread_groups groups = {.distance_us = group_distance_us,
				       .arg = p};

	*p = (struct place_groups){.own = UINT_MAX, .distance_us = distance_us};
	for (size_t i = 0; i < n; i++) {
		const struct place_target *t = &targets[i];
		unsigned int g = MIN(t->group, SPREAD_GROUPS_MAX - 1);

		groups.n = MAX(groups.n, g + 1);
		p->region[g] = t->region;
		if (!t->distance)
			p->own = g;
		if (t->distance == 1)
			p->own_region = t->region;
	}
	if (p->own == UINT_MAX) {
		p->own = groups.n++;
		p->region[p->own] = p->own_region;
	}
	groups.own = p->own;
	return groups;
}

/* Targets of a higher tier are used only if those below have no room. */
static unsigned int tier_of(const struct place_target *t)
{
	return (t->cold ? 2 : 0) + (t->late ? 1 : 0);
}

enum place_result place_choose(const struct place_target *targets, size_t n,
			       const struct place_request *request,
			       size_t *index)
{
	enum place_result result = PLACE_NO_ENDPOINT;
	g_autofree struct spread_item *items = g_new(struct spread_item, n + 1);
	const int64_t *distance_us =
		request->distance_us ? request->distance_us : distance_cost_us;
	size_t n_items = 0;
	unsigned int tier = UINT_MAX;

	for (size_t i = 0; i < n; i++) {
		const struct place_target *t = &targets[i];

		if (!t->usable || t->excluded)
			continue;
		result = PLACE_NO_ROOM;
		if (!has_room(t, request) || tier_of(t) > tier)
			continue;
		if (tier_of(t) < tier) {
			tier = tier_of(t);
			n_items = 0;
		}
		items[n_items++] = (struct spread_item){
			.cost_us = placement_cost(t, request),
			.pace = request->generation ? pace_of(t) : 1,
			.distance_us = distance_us[MIN(t->distance, 2)],
			.group = MIN(t->group, SPREAD_GROUPS_MAX - 1),
			.tie_breaker = t->tie_breaker,
			.index = i};
	}
	if (!n_items)
		return result;
	struct place_groups p;
	struct spread_groups groups = find_groups(targets, n, distance_us, &p);
	*index = spread_choose(items, n_items, &groups, request->unseen,
			       arrival_cost(&targets[items[0].index], request),
			       request->random);
	return PLACE_OK;
}

/*
 * Groups of the targets of moves: a higher one is used only if those below have
 * no room.
 */
enum {
	MOVE_WARM,
	MOVE_RESERVED,
	MOVE_COLD,
	MOVE_COLD_RESERVED,
	MOVE_GROUPS,
};

/*
 * Targets of group MOVE_GROUPS and above, those in other data centres, are
 * not used: such a copy would occupy the links of source and target for twice
 * as long, and generations whose copies wait for either link are lost when
 * their source ends.
 */
static uint64_t move_room_tokens(const struct place_target *t)
{
	uint64_t memory = t->memory_tokens * MOVE_MEMORY_PERCENT / 100;

	if (!t->usable || t->excluded || t->rate_limited ||
	    t->open_requests >= t->slots)
		return 0;
	return memory > t->needed_tokens ? memory - t->needed_tokens : 0;
}

/*
 * Draws from an exponential distribution.  Of several such draws, each one is
 * the least with a probability of its rate's share in the sum of the rates, so
 * taking the least is a weighted random choice in one pass.
 */
static double draw_exponential(const struct place_target *t, double rate)
{
	double u = ((double)t->tie_breaker + 1) / ((double)UINT32_MAX + 2);

	return -log(u) / rate;
}

static unsigned int move_group(const struct place_target *t)
{
	if (t->distance)
		return MOVE_GROUPS;
	if (t->cold)
		return t->reserved ? MOVE_COLD_RESERVED : MOVE_COLD;
	return t->reserved ? MOVE_RESERVED : MOVE_WARM;
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
		double weight =
			targets[i].move_weight > 0 ? targets[i].move_weight : 1;
		double d = draw_exponential(&targets[i], (double)room * weight);
		if (g == group && d >= best)
			continue;
		result = PLACE_OK;
		group = g;
		best = d;
		*index = i;
	}
	return result;
}
