#include "check_main.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "forward/place.h"
#include "forward/spread.h"

/*
 * Plays hosts that place prompts on engines and see each other's placements
 * LAG_MS later.  Engines end and new, empty ones come all the time, as the
 * platform reclaims them.
 */
#define HOSTS_MAX 400
#define ENGINES 96
#define GROUPS 6
#define LAG_MS 130
#define RUN_MS 20000
#define PROMPT 2600 /* tokens */
#define NEED 1500   /* tokens of memory */
#define GENERATE_MS 4000
#define READ_PER_MS 7	  /* tokens, of one engine */
#define RENEW_EACH_MS 180 /* an engine is replaced */
#define ARRIVAL_EACH_MS 6 /* 0.6 of what the engines can read */
#define LATE_MS 1500	  /* to read a prompt, those before it included */

struct placement {
	int at_ms;
	unsigned int host, engine;
	bool has_ended; /* with its engine */
};

struct play {
	unsigned int n_hosts;
	bool expects; /* hosts expect arrivals that they do not see */
	GRand *rand;
	uint64_t unread[ENGINES];      /* tokens */
	struct placement runs[RUN_MS]; /* in order; from `oldest` on, running */
	size_t n_runs, oldest;
	unsigned int placed, late, refused;
};

static unsigned int draw(struct play *p, unsigned int n)
{
	return (unsigned int)g_rand_int_range(p->rand, 0, (gint)n);
}

/* What a host sees: all work but that of other hosts in the last LAG_MS. */
static void look(struct play *p, unsigned int host, struct place_target *t,
		 int now_ms)
{
	for (unsigned int e = 0; e < ENGINES; e++)
		t[e] = (struct place_target){
			.usable = true,
			.slots = 24,
			.memory_tokens = 34000,
			.prefill_tokens = p->unread[e],
			.group = e % GROUPS,
			.distance = e % GROUPS == host % GROUPS ? 0 : 2,
			.tie_breaker = g_rand_int(p->rand)};
	for (size_t i = p->oldest; i < p->n_runs; i++) {
		const struct placement *run = &p->runs[i];
		struct place_target *of = &t[run->engine];

		if (run->has_ended)
			continue;
		if (run->host != host && now_ms - run->at_ms < LAG_MS) {
			of->prefill_tokens -= MIN(of->prefill_tokens, PROMPT);
			continue;
		}
		of->open_requests++;
		of->needed_tokens += NEED;
	}
}

static void place(struct play *p, int now_ms)
{
	struct place_target t[ENGINES];
	unsigned int host = draw(p, p->n_hosts);
	double others = (double)(p->n_hosts - 1) / p->n_hosts;
	struct place_request request = {
		.generation = true,
		.urgent = true,
		.prompt_tokens = PROMPT,
		.need_tokens = NEED,
		.unseen = p->expects ? place_unseen(1000.0 / ARRIVAL_EACH_MS *
							    others,
						    LAG_MS * 1000, 0, 0, NEED)
				     : 0,
		.random = g_rand_double(p->rand)};
	size_t e;

	look(p, host, t, now_ms);
	if (place_choose(t, ENGINES, &request, &e) != PLACE_OK) {
		p->refused++;
		return;
	}
	p->placed++;
	p->unread[e] += PROMPT;
	p->late += p->unread[e] / READ_PER_MS > LATE_MS;
	p->runs[p->n_runs++] = (struct placement){
		.at_ms = now_ms, .host = host, .engine = (unsigned int)e};
}

static void end_runs(struct play *p, int now_ms)
{
	while (p->oldest < p->n_runs &&
	       now_ms - p->runs[p->oldest].at_ms >= GENERATE_MS)
		p->oldest++;
}

/* A new engine takes the place of one. */
static void renew_engine(struct play *p)
{
	unsigned int e = draw(p, ENGINES);

	p->unread[e] = 0;
	for (size_t i = p->oldest; i < p->n_runs; i++)
		p->runs[i].has_ended |= p->runs[i].engine == e;
}

/* Returns the share of the prompts that are read late or refused. */
static double play(unsigned int n_hosts, bool expects)
{
	struct play *p = g_new0(struct play, 1);

	p->n_hosts = n_hosts;
	p->expects = expects;
	p->rand = g_rand_new_with_seed(n_hosts);
	for (int ms = 1; ms < RUN_MS; ms++) {
		end_runs(p, ms);
		if (ms % RENEW_EACH_MS == 0)
			renew_engine(p);
		if (ms % ARRIVAL_EACH_MS == 0)
			place(p, ms);
		for (unsigned int e = 0; e < ENGINES; e++)
			p->unread[e] -= MIN(p->unread[e], READ_PER_MS);
	}
	double bad = (double)(p->late + p->refused) / (p->placed + p->refused);
	g_rand_free(p->rand);
	g_free(p);
	return bad;
}

/*
 * Guards against hundreds of hosts that choose the same endpoints, as each sees
 * the others' placements late: with them a prompt must not be read late more
 * often, beyond one in fifty, than with the 24 hosts of a small deployment.
 */
START_TEST(test_many_hosts_like_few)
{
	double few = play(24, true);

	ck_assert_double_le(play(88, true), few + 0.02);
	ck_assert_double_le(play(300, true), few + 0.02);
	ck_assert_double_le(play(400, true), few + 0.02);
	ck_assert_double_le(few, 0.02);
}
END_TEST

/* The load of the test before is one that needs it. */
START_TEST(test_load_needs_it)
{
	ck_assert_double_ge(play(300, false), 0.1);
}
END_TEST

static int64_t far_us(const void *arg, unsigned int from, unsigned int to)
{
	(void)arg;
	return from == to ? 0 : 40000;
}

static size_t choose(const int64_t *costs, size_t n, double unseen,
		     double random)
{
	const struct spread_groups groups = {.n = 1, .distance_us = far_us};
	struct spread_item items[8];

	for (size_t i = 0; i < n; i++)
		items[i] = (struct spread_item){
			.cost_us = costs[i], .pace = 1, .index = i};
	return spread_choose(items, n, &groups, unseen, 100, random);
}

/* Guards against a random choice where a host sees all, and against one that
 * leaves out endpoints below the level or takes one above it. */
START_TEST(test_level)
{
	const int64_t costs[] = {50, 0, 300};

	for (double r = 0; r < 1; r += 0.1) {
		ck_assert_uint_eq(choose(costs, 3, 0, r), 1);
		ck_assert_uint_eq(choose(costs, 3, 0.4, r), 1);
	}
	/* 150 more are spread up to a level of 100: as 2 to 1. */
	ck_assert_uint_eq(choose(costs, 3, 1.5, 0.65), 1);
	ck_assert_uint_eq(choose(costs, 3, 1.5, 0.68), 0);
	ck_assert_uint_eq(choose(costs, 3, 1.5, 0.999), 0);
	/* 1000 more up to 450. */
	ck_assert_uint_eq(choose(costs, 3, 10, 0.999), 2);
}
END_TEST

/* The share of a host's requests that go to the other of two data centres, of
 * two endpoints each; those of its own have a higher cost by own_us. */
static double far_share(int64_t own_us, double unseen)
{
	const struct spread_groups groups = {.n = 2, .distance_us = far_us};
	int far = 0;

	for (int k = 0; k < 1000; k++) {
		struct spread_item items[] = {
			{.pace = 1, .distance_us = 40000, .group = 1},
			{.cost_us = own_us, .pace = 1, .index = 1},
			{.pace = 1,
			 .distance_us = 40000,
			 .group = 1,
			 .index = 2},
			{.cost_us = own_us, .pace = 1, .index = 3}};
		far += spread_choose(items, 4, &groups, unseen, 360000,
				     k / 1000.0) %
			       2 ==
		       0;
	}
	return far / 1000.0;
}

/* Guards against requests to a far data centre while the near one is as free,
 * to a near one that is much fuller, and against hosts of all data centres that
 * meet in the one that is a little less loaded. */
START_TEST(test_groups)
{
	ck_assert_double_eq(far_share(0, 0), 0);
	ck_assert_double_eq(far_share(0, 20), 0);
	ck_assert_double_eq(far_share(39000, 0), 0);
	ck_assert_double_eq(far_share(90000, 0), 1);
	/* One arrival more than fills the difference of 50 ms. */
	ck_assert_double_ge(far_share(90000, 0.1), 0.9);
	ck_assert_double_le(far_share(90000, 2), 0.35);
	ck_assert_double_le(far_share(90000, 20), 0.05);
	/* A near one that is full for long gets nothing. */
	ck_assert_double_eq(far_share(9000000, 20), 1);
}
END_TEST

/* The share of requests that go to an idle endpoint of the own data centre, the
 * others being loaded by 300 ms; `own` is the number of that data centre. */
static double idle_share(unsigned int own)
{
	const struct spread_groups groups = {
		.n = 3, .own = own, .distance_us = far_us};
	int idle = 0;

	for (int k = 0; k < 1000; k++) {
		struct spread_item items[6];

		for (unsigned int i = 0; i < 6; i++)
			items[i] = (struct spread_item){
				.cost_us = i == 2 * own ? 0 : 300000,
				.distance_us = i / 2 == own ? 0 : 40000,
				.pace = 1,
				.group = i / 2,
				.tie_breaker = (unsigned int)k + i,
				.index = i};
		idle += spread_choose(items, 6, &groups, 2, 360000,
				      k / 1000.0) == 2 * own;
	}
	return idle / 1000.0;
}

/* Guards against hosts that choose differently because they number the data
 * centres differently. */
START_TEST(test_numbers_of_groups)
{
	double first = idle_share(0);

	ck_assert_double_gt(first, 0.3);
	ck_assert_double_eq_tol(idle_share(1), first, 0.02);
	ck_assert_double_eq_tol(idle_share(2), first, 0.02);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_many_hosts_like_few,
				      test_load_needs_it, test_level,
				      test_groups, test_numbers_of_groups};

	return check_main("spread", tests, sizeof(tests) / sizeof(*tests));
}
