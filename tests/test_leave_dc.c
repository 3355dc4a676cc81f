#include "check_main.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <glib.h>

#include "forward/place.h"
#include "forward/spread.h"
#include "policy/leave_dc.h"

/* Guards against a price that is charged in the data centre, and against one
 * that ignores the size of the request or the age of the figures. */
START_TEST(test_costs)
{
	struct leave_prices p =
		leave_prices_init(true, 900, 12000, 100000, 400000);
	uint64_t answer = leave_generation_bytes(3000, 744, 4);

	ck_assert_uint_eq(answer, 12000 + 186 * 150);
	ck_assert_uint_eq(leave_generation_bytes(10, 3, 0), 40 + 3 * 150);
	ck_assert_int_eq(leave_cost_us(&p, LEAVE_SAME_DC, answer, 0), 0);
	ck_assert_int_eq(leave_cost_us(&p, LEAVE_SAME_DC, answer, 5000000), 0);
	ck_assert_int_eq(leave_cost_us(&p, LEAVE_SAME_REGION, 0, 0), 1800);
	ck_assert_int_eq(leave_cost_us(&p, LEAVE_OTHER_REGION, answer, 0),
			 24000 + 15960);
	ck_assert_int_gt(leave_cost_us(&p, LEAVE_SAME_REGION, 0, 1000001),
			 50000000);
}
END_TEST

/* Guards against requests that take the last room of a data centre. */
START_TEST(test_last_room)
{
	ck_assert(!leave_has_room(0, 0, 2000));
	ck_assert(!leave_has_room(3999, 0, 2000));
	ck_assert(leave_has_room(4000, 0, 2000));
	ck_assert(!leave_has_room(7999, 3, 2000));
	ck_assert(leave_has_room(8000, 3, 2000));
}
END_TEST

/* Guards against a log line for each request, and for none. */
START_TEST(test_share_log)
{
	struct leave_share s = {0};

	ck_assert(leave_share_count(&s, true, 1000));
	leave_share_logged(&s, 1000);
	ck_assert(!leave_share_count(&s, true, 2000));
	ck_assert(!leave_share_count(&s, true, 900000));
	ck_assert(leave_share_count(&s, true, 1001000));
	leave_share_logged(&s, 1001000);
	for (int i = 0; i < 40; i++)
		leave_share_count(&s, true, 1002000);
	ck_assert_double_gt(s.share, 0.98);
}
END_TEST

/*
 * A closed loop: hosts place generations on the engines of six data centres in
 * three regions, and see each other's placements LAG_MS later.
 */
#define DCS 6
#define ENGINES_PER_DC 10
#define ENGINES (DCS * ENGINES_PER_DC)
#define LAG_MS 500
#define RUN_MS 20000
#define PROMPT 2200
#define NEED 2600
#define GENERATE_MS 3000
#define READ_PER_MS 7
#define MEMORY 27000
#define RUNS_MAX 8000
#define WAIT_MAX_MS 1000
#define WINDOW_MS 1000

enum policy {
	BY_COST,  /* leave_dc.c */
	FIXED,	  /* the fixed costs of place.c */
	OVERFLOW, /* leaves only if the data centre is 80 % full */
	EQUAL,	  /* any endpoint */
	TWO,	  /* the less loaded of two endpoints */
};

struct load {
	const char *name;
	double per_ms[2];   /* arrivals of data centre 0, and of each other */
	int from_ms, to_ms; /* when those of data centre 0 apply */
	bool wave;	    /* they come and go each 2 s */
	bool half_down;	    /* half of the engines of data centre 0 are down */
	bool half_cut;	    /* half of the hosts see only their own requests */
	int lost_percent;   /* of the placements, which others never see */
};

struct run {
	int at_ms;
	unsigned int host, engine;
	bool unseen;
};

struct play {
	const struct load *load;
	enum policy policy;
	unsigned int n_hosts;
	GRand *rand;
	double prefill[ENGINES];
	struct run runs[RUNS_MAX];
	size_t n_runs, oldest;
	double wait_ms, worst_ms;
	unsigned int placed, refused, left;
	unsigned int left_in[RUN_MS / WINDOW_MS + 1]; /* from data centre 0 */
	unsigned int from_0_in[RUN_MS / WINDOW_MS + 1];
};

static unsigned int region_of(unsigned int dc)
{
	return dc / 2 + 1;
}

static bool is_down(const struct play *p, unsigned int e)
{
	return p->load->half_down && e < ENGINES_PER_DC / 2;
}

static bool is_cut(const struct play *p, unsigned int host)
{
	return p->load->half_cut && host % 2;
}

static void look(const struct play *p, unsigned int host, unsigned int dc,
		 struct place_target *t, int now_ms)
{
	for (unsigned int e = 0; e < ENGINES; e++) {
		unsigned int there = e / ENGINES_PER_DC;

		t[e] = (struct place_target){
			.usable = !is_down(p, e),
			.slots = 24,
			.memory_tokens = MEMORY,
			.group = there,
			.region = region_of(there),
			.distance = there == dc				? 0
				    : region_of(there) == region_of(dc) ? 1
									: 2,
			.tie_breaker = g_rand_int(p->rand)};
	}
	for (size_t i = p->oldest; i < p->n_runs; i++) {
		const struct run *run = &p->runs[i];
		struct place_target *of = &t[run->engine];
		int age_ms = now_ms - run->at_ms;

		if (run->host != host &&
		    (age_ms < LAG_MS || run->unseen || is_cut(p, host)))
			continue;
		of->open_requests++;
		of->needed_tokens += NEED;
		if (age_ms < PROMPT / READ_PER_MS)
			of->prefill_tokens += PROMPT;
	}
}

static double arrivals_per_ms(const struct play *p)
{
	return p->load->per_ms[1] * DCS;
}

static void keep_last_room(struct place_target *t, double unseen)
{
	uint64_t free_tokens[DCS] = {0};

	for (unsigned int e = 0; e < ENGINES; e++)
		free_tokens[t[e].group] +=
			place_sum_capacity(&t[e], 1).room_tokens;
	for (unsigned int e = 0; e < ENGINES; e++)
		t[e].kept = t[e].distance &&
			    !leave_has_room(free_tokens[t[e].group],
					    unseen / DCS, NEED);
}

static enum place_result choose_by_cost(struct play *p, unsigned int host,
					struct place_target *t,
					struct place_request request, size_t *e)
{
	const struct leave_prices prices =
		leave_prices_init(true, 900, 12000, 100000, 400000);
	int64_t cost_us[LEAVE_CLASSES];

	for (int c = 0; c < LEAVE_CLASSES; c++)
		cost_us[c] = leave_cost_us(
			&prices, (enum leave_class)c,
			leave_generation_bytes(PROMPT, NEED - PROMPT, 4),
			is_cut(p, host) ? 5000000 : LAG_MS * 1000);
	request.distance_us = cost_us;
	keep_last_room(t, request.unseen);
	return place_choose(t, ENGINES, &request, e);
}

static enum place_result choose_other(struct play *p, struct place_target *t,
				      struct place_request *request, size_t *e)
{
	static const int64_t free_of_charge[3] = {0, 0, 0};

	request->distance_us = free_of_charge;
	if (p->policy == EQUAL || p->policy == TWO) {
		int want = p->policy == TWO ? 2 : 1;
		size_t picked[2];

		for (int tries = 0, n = 0; tries < 200; tries++) {
			size_t i =
				(size_t)g_rand_int_range(p->rand, 0, ENGINES);
			struct place_target one = t[i];
			size_t unused;
			if (place_choose(&one, 1, request, &unused) != PLACE_OK)
				continue;
			picked[n++] = i;
			if (n < want)
				continue;
			*e = want == 1 || t[picked[0]].needed_tokens <=
						     t[picked[1]].needed_tokens
				     ? picked[0]
				     : picked[1];
			return PLACE_OK;
		}
		return PLACE_NO_ROOM;
	}
	/* OVERFLOW */
	uint64_t needed = 0, memory = 0;
	for (unsigned int i = 0; i < ENGINES; i++)
		if (!t[i].distance && t[i].usable) {
			needed += t[i].needed_tokens;
			memory += t[i].memory_tokens;
		}
	for (unsigned int i = 0; i < ENGINES; i++)
		t[i].kept =
			(t[i].distance != 0) == (needed * 100 < memory * 80);
	return place_choose(t, ENGINES, request, e);
}

static void place(struct play *p, unsigned int dc, int now_ms)
{
	struct place_target t[ENGINES];
	/* Hosts are numbered so that host % DCS is the data centre; fewer
	 * hosts than data centres serve all of them. */
	unsigned int host =
		p->n_hosts < DCS ? (unsigned int)g_rand_int_range(
					   p->rand, 0, (gint)p->n_hosts)
				 : dc + DCS * (unsigned int)g_rand_int_range(
						      p->rand, 0,
						      (gint)(p->n_hosts / DCS));
	double others = (double)(p->n_hosts - 1) / p->n_hosts;
	struct place_request request = {
		.generation = true,
		.prompt_tokens = PROMPT,
		.need_tokens = NEED,
		.unseen = place_unseen(arrivals_per_ms(p) * 1000 * others,
				       LAG_MS * 1000, 0, 0, NEED),
		.random = g_rand_double(p->rand)};
	enum place_result res;
	size_t e = 0;

	look(p, host, dc, t, now_ms);
	if (p->policy == BY_COST)
		res = choose_by_cost(p, host, t, request, &e);
	else if (p->policy == FIXED)
		res = place_choose(t, ENGINES, &request, &e);
	else
		res = choose_other(p, t, &request, &e);
	if (!dc)
		p->from_0_in[now_ms / WINDOW_MS]++;
	if (res != PLACE_OK || p->prefill[e] / READ_PER_MS > WAIT_MAX_MS) {
		p->refused++;
		return;
	}
	unsigned int there = (unsigned int)e / ENGINES_PER_DC;
	double way_ms = there == dc			    ? 0
			: region_of(there) == region_of(dc) ? 1.8
							    : 24;
	double wait_ms = p->prefill[e] / READ_PER_MS + way_ms;
	p->wait_ms += wait_ms;
	p->worst_ms = MAX(p->worst_ms, wait_ms);
	p->placed++;
	p->left += there != dc;
	p->left_in[now_ms / WINDOW_MS] += !dc && there != dc;
	p->prefill[e] += PROMPT;
	p->runs[p->n_runs++] =
		(struct run){.at_ms = now_ms,
			     .host = host,
			     .engine = (unsigned int)e,
			     .unseen = g_rand_int_range(p->rand, 0, 100) <
				       p->load->lost_percent};
}

static double rate_of(const struct play *p, unsigned int dc, int now_ms)
{
	const struct load *l = p->load;
	bool high = now_ms >= l->from_ms && now_ms < l->to_ms &&
		    (!l->wave || now_ms / 2000 % 2 == 0);

	return l->per_ms[dc == 0 && high ? 0 : 1];
}

static struct play *play(const struct load *load, enum policy policy,
			 unsigned int n_hosts, uint32_t seed)
{
	struct play *p = g_new0(struct play, 1);

	p->load = load;
	p->policy = policy;
	p->n_hosts = n_hosts;
	p->rand = g_rand_new_with_seed(seed);
	for (int ms = 0; ms < RUN_MS; ms++) {
		while (p->oldest < p->n_runs &&
		       ms - p->runs[p->oldest].at_ms >= GENERATE_MS)
			p->oldest++;
		for (unsigned int dc = 0; dc < DCS; dc++)
			if (g_rand_double(p->rand) < rate_of(p, dc, ms) &&
			    p->n_runs < RUNS_MAX)
				place(p, dc, ms);
		for (unsigned int e = 0; e < ENGINES; e++)
			p->prefill[e] = MAX(p->prefill[e] - READ_PER_MS, 0);
	}
	g_rand_free(p->rand);
	return p;
}

/* What callers lose: a refusal counts as the longest wait that is allowed. */
static double loss(const struct play *p)
{
	return (p->wait_ms + (double)p->refused * WAIT_MAX_MS) /
	       (p->placed + p->refused);
}

/* 0.011 a ms is the load of a data centre; its engines read 0.032 a ms. */
static const struct load loads[] = {
	{.name = "even", .per_ms = {.011, .011}},
	{.name = "three times",
	 .per_ms = {.033, .011},
	 .from_ms = 4000,
	 .to_ms = 12000},
	{.name = "waves",
	 .per_ms = {.033, .011},
	 .from_ms = 4000,
	 .to_ms = 12000,
	 .wave = true},
	{.name = "half down", .per_ms = {.011, .011}, .half_down = true},
	{.name = "half cut",
	 .per_ms = {.033, .011},
	 .from_ms = 4000,
	 .to_ms = 12000,
	 .half_cut = true},
	{.name = "lost sums",
	 .per_ms = {.033, .011},
	 .from_ms = 4000,
	 .to_ms = 12000,
	 .lost_percent = 10},
	{.name = "all full", .per_ms = {.026, .026}},
};

static const unsigned int hosts[] = {1, 10, 70, 300};

/*
 * Guards against a decision that makes callers wait longer than simpler ones,
 * in sum over the loads.
 */
START_TEST(test_callers_wait_less)
{
	static const char *const names[] = {"by cost", "fixed", "overflow",
					    "equal", "two"};
	double sums[5] = {0};

	for (size_t h = 0; h < G_N_ELEMENTS(hosts); h++)
		for (size_t l = 0; l < G_N_ELEMENTS(loads); l++) {
			printf("%3u hosts, %-11s", hosts[h], loads[l].name);
			for (int policy = BY_COST; policy <= TWO; policy++) {
				struct play *p =
					play(&loads[l], (enum policy)policy,
					     hosts[h], 1);
				double ms = loss(p);
				double left = 100.0 * p->left / (p->placed + 1);

				g_free(p);
				sums[policy] += ms;
				printf("  %s %.0f ms %2.0f%%", names[policy],
				       ms, left);
			}
			printf("\n");
		}
	/* For requests of this size the fixed costs are nearly the same, so
	 * that both differ by chance: by -2.5 to 2.0 % with seeds 1 to 4. */
	ck_assert_double_le(sums[BY_COST], sums[FIXED] * 1.02);
	for (int policy = OVERFLOW; policy <= TWO; policy++)
		ck_assert_double_le(sums[BY_COST], sums[policy]);
}
END_TEST

#define RETURN_SEEDS 12

/* Requests of data centre 0 that leave it in a second, and its share. */
struct leaving {
	double before, peak, after; /* means of the seeds */
	unsigned int turns;	    /* of the trend while the load is high */
};

static void add_leaving(struct leaving *l, const struct play *p)
{
	double last = 0;
	int trend = 0;

	for (int w = 1; w < 4; w++)
		l->before += p->left_in[w] / 3.0 / RETURN_SEEDS;
	for (int w = 5; w < 12; w++) {
		double share = (double)p->left_in[w] / MAX(p->from_0_in[w], 1);

		l->peak += p->left_in[w] / 7.0 / RETURN_SEEDS;
		/* A change of 0.15 is within what chance does. */
		if (w > 5 && fabs(share - last) > 0.15) {
			l->turns += trend * (share - last) < 0;
			trend = share > last ? 1 : -1;
		}
		last = share;
	}
	for (int w = 17; w < 20; w++)
		l->after += p->left_in[w] / 3.0 / RETURN_SEEDS;
}

/* Guards against requests that go on leaving 5 s after the load has gone, and
 * against a share that swings with the age of the figures. */
START_TEST(test_share_returns)
{
	for (size_t h = 1; h < G_N_ELEMENTS(hosts); h++) {
		struct leaving l = {0};

		for (uint32_t seed = 1; seed <= RETURN_SEEDS; seed++) {
			struct play *p =
				play(&loads[1], BY_COST, hosts[h], seed);
			add_leaving(&l, p);
			g_free(p);
		}
		printf("%3u hosts, leaving in a second: %.1f before, %.1f "
		       "during, %.1f after the load, %u turns\n",
		       hosts[h], l.before, l.peak, l.after, l.turns);
		ck_assert_double_ge(l.peak, l.before + 3);
		ck_assert_double_le(l.after - l.before,
				    (l.peak - l.before) / 10);
		ck_assert_uint_le(l.turns, 2 * RETURN_SEEDS);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_costs, test_last_room,
				      test_share_log, test_callers_wait_less,
				      test_share_returns};

	return check_main("leave_dc", tests, sizeof(tests) / sizeof(*tests));
}
