#include "check_main.h"

#include <string.h>
#include <glib.h>

#include "forward/place.h"
#include "policy/pace.h"

/*
 * Plays hosts that place generations on engines whose steps take longer at a
 * third of them.  Hosts see each other's placements LAG_US later, and each
 * other's observations with the totals.
 */
#define HOSTS 70
#define ENGINES 57
#define SLOW_ENGINES 19 /* every third one */
#define GROUPS 6
#define LAG_US 130000
#define TOTALS_US 100000
#define RUN_US (30 * G_USEC_PER_SEC)
#define WARM_US (5 * G_USEC_PER_SEC) /* not counted */
#define ARRIVAL_US 16000
#define PROMPT 2200 /* tokens */
#define CHUNK 112
#define TOKENS_PER_EVENT 4
#define LONG_TOKENS 400
#define SHORT_TOKENS 80
#define GAP_US 180000
#define STREAMS_MAX ((int)(RUN_US / ARRIVAL_US) + 1)

struct stream {
	unsigned int host, engine;
	bool is_long, late;
	int unread, tokens; /* of the prompt, and still to be produced */
	int64_t sent_us, first_us, last_us; /* 0: none yet */
	struct pace_load load;		    /* when it was sent */
};

struct scene {
	double slow;		/* factor of a third of the engines */
	int64_t from_us, to_us; /* when they are slow */
	int64_t lost_us;	/* totals are lost from then on, 0: never */
	bool unused;		/* the estimate */
};

struct play {
	struct scene scene;
	GRand *rand;
	struct stream streams[STREAMS_MAX];
	size_t n, oldest;
	int64_t step_end_us[ENGINES];
	struct pace pace[HOSTS][ENGINES];
	unsigned int refused;
	/* When the hosts' factors of the slow engines are 1.5 on average, and
	 * when they are below 1.25 again. */
	int64_t known_us, forgotten_us;
};

static double factor_of(const struct play *p, unsigned int e, int64_t now)
{
	const struct scene *s = &p->scene;

	return e % 3 == 0 && now >= s->from_us && now < s->to_us ? s->slow : 1;
}

static struct pace_load load_of(const struct play *p, unsigned int e,
				unsigned int host, int64_t now)
{
	struct pace_load l = {0};

	for (size_t i = p->oldest; i < p->n; i++) {
		const struct stream *s = &p->streams[i];

		if (s->engine != e || !s->tokens ||
		    (s->host != host && now - s->sent_us < LAG_US))
			continue;
		l.generations++;
		l.prefill_tokens += s->first_us ? 0 : PROMPT;
	}
	return l;
}

static void place(struct play *p, int64_t now)
{
	struct place_target t[ENGINES];
	unsigned int host = (unsigned int)g_rand_int_range(p->rand, 0, HOSTS);
	bool is_long = g_rand_double(p->rand) < 0.4;
	uint64_t need = PROMPT + (is_long ? LONG_TOKENS : SHORT_TOKENS);
	struct place_request request = {
		.generation = true,
		.urgent = true,
		.prompt_tokens = PROMPT,
		.need_tokens = need,
		.unseen = place_unseen(1e6 / ARRIVAL_US, LAG_US, 0, 0, need),
		.random = g_rand_double(p->rand)};
	size_t e;

	for (unsigned int i = 0; i < ENGINES; i++) {
		const struct pace *pace = &p->pace[host][i];
		struct pace_load l = load_of(p, i, host, now);
		t[i] = (struct place_target){
			.usable = true,
			.slots = 24,
			.memory_tokens = 26917,
			.open_requests = l.generations,
			.needed_tokens = l.generations * need,
			.prefill_tokens = l.prefill_tokens,
			.group = i % GROUPS,
			.distance = i % GROUPS == host % GROUPS ? 0 : 2,
			.tie_breaker = g_rand_int(p->rand)};
		if (p->scene.unused)
			continue;
		t[i].pace = pace_factor(pace);
		t[i].late = is_long && t[i].pace > 1 &&
			    pace_busy_gap_us(pace, TOKENS_PER_EVENT,
					     l.generations + 1) > GAP_US;
	}
	if (place_choose(t, ENGINES, &request, &e) != PLACE_OK) {
		p->refused++;
		return;
	}
	p->streams[p->n] = (struct stream){
		.host = host,
		.engine = (unsigned int)e,
		.is_long = is_long,
		.unread = PROMPT,
		.tokens = is_long ? LONG_TOKENS : SHORT_TOKENS,
		.sent_us = now,
		.load = {t[e].open_requests + 1, t[e].prefill_tokens + PROMPT}};
	p->n++;
}

static void produce(struct play *p, struct stream *s, int64_t now)
{
	struct pace *pace = &p->pace[s->host][s->engine];

	if (--s->tokens % TOKENS_PER_EVENT)
		return;
	if (s->last_us) {
		struct pace_load l = load_of(p, s->engine, s->host, now);
		pace_observe_gap(pace, now - s->last_us, TOKENS_PER_EVENT, &l,
				 now);
		s->late |= now - s->last_us > GAP_US;
	} else {
		s->first_us = now;
		pace_observe_first(pace, now - s->sent_us, &s->load, now);
	}
	s->last_us = now;
}

/* Ends the engine's step and begins the next one. */
static void step(struct play *p, unsigned int e, int64_t now)
{
	int read = CHUNK;
	unsigned int n = 0;

	if (now < p->step_end_us[e])
		return;
	for (size_t i = p->oldest; i < p->n; i++) {
		struct stream *s = &p->streams[i];

		if (s->engine != e || !s->tokens)
			continue;
		int part = MIN(read, s->unread);
		s->unread -= part;
		read -= part;
		n++;
		if (!s->unread)
			produce(p, s, now);
	}
	double us = 7000 + 120.0 * n + 8000.0 * (CHUNK - read) / CHUNK;
	p->step_end_us[e] =
		now + (int64_t)(us * factor_of(p, e, now) *
				g_rand_double_range(p->rand, 0.6, 1.4));
}

static void send_totals(struct play *p, int64_t now)
{
	double mean = 0;

	for (unsigned int e = 0; e < ENGINES; e++) {
		struct pace_sums all = {0}, own[HOSTS];

		for (unsigned int h = 0; h < HOSTS; h++) {
			own[h] = pace_bound(pace_own(&p->pace[h][e], now));
			all.observed_us += own[h].observed_us;
			all.expected_us += own[h].expected_us;
		}
		for (unsigned int h = 0; h < HOSTS; h++)
			p->pace[h][e].elsewhere = (struct pace_sums){
				all.observed_us - own[h].observed_us,
				all.expected_us - own[h].expected_us};
	}
	for (unsigned int h = 0; h < HOSTS; h++) {
		struct pace *list[ENGINES];

		for (unsigned int e = 0; e < ENGINES; e++)
			list[e] = &p->pace[h][e];
		pace_update(list, ENGINES,
			    !p->scene.lost_us || now < p->scene.lost_us, now);
		for (unsigned int e = 0; e < ENGINES; e += 3)
			mean += pace_factor(list[e]) / SLOW_ENGINES / HOSTS;
	}
	if (mean >= 1.5 && !p->known_us)
		p->known_us = now;
	if (mean <= 1.25 && now >= p->scene.to_us && !p->forgotten_us)
		p->forgotten_us = now;
}

struct result {
	double late;	   /* share of the long streams */
	int64_t first_us;  /* time to the first event at p99 */
	double slow_share; /* requests of a slow engine by those of another */
	int64_t known_us, forgotten_us;
	uint64_t refused;
};

static int compare_times(const void *a, const void *b)
{
	const int64_t *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

static struct result evaluate(const struct play *p)
{
	g_autofree int64_t *first = g_new0(int64_t, STREAMS_MAX);
	size_t n = 0;
	unsigned int n_long = 0, late = 0, placed[2] = {0};

	for (size_t i = 0; i < p->n; i++) {
		const struct stream *s = &p->streams[i];

		if (s->sent_us < WARM_US || !s->first_us)
			continue;
		first[n++] = s->first_us - s->sent_us;
		n_long += s->is_long;
		late += s->is_long && s->late;
		placed[s->engine % 3 == 0]++;
	}
	qsort(first, n, sizeof(*first), compare_times);
	return (struct result){.late = (double)late / n_long,
			       .first_us = first[n * 99 / 100],
			       .slow_share = 2.0 * placed[1] / placed[0],
			       .known_us = p->known_us,
			       .forgotten_us = p->forgotten_us,
			       .refused = p->refused};
}

static struct result play(struct scene scene)
{
	struct play *p = g_new0(struct play, 1);

	p->scene = scene;
	p->scene.to_us = scene.to_us ? scene.to_us : RUN_US;
	p->rand = g_rand_new_with_seed(7);
	for (int64_t now = 1000; now < RUN_US; now += 1000) {
		if (now % ARRIVAL_US == 0)
			place(p, now);
		for (unsigned int e = 0; e < ENGINES; e++)
			step(p, e, now);
		if (now % TOTALS_US == 0)
			send_totals(p, now);
		while (p->oldest < p->n && !p->streams[p->oldest].tokens)
			p->oldest++;
	}
	struct result r = evaluate(p);
	g_rand_free(p->rand);
	g_free(p);
	return r;
}

/*
 * Guards against slow engines that get as much work as fast ones, which makes
 * long streams there late, and against ones that get none: an engine that is
 * 2.4 times as slow should get 0.42 of the requests of a fast one.
 */
START_TEST(test_slow_third)
{
	struct result before =
		play((struct scene){.slow = 2.4, .unused = true});
	struct result with = play((struct scene){.slow = 2.4});
	struct result lost =
		play((struct scene){.slow = 2.4, .lost_us = 4000000});

	ck_assert_double_ge(before.late, 0.1);
	ck_assert_double_le(with.late, before.late / 2);
	ck_assert_int_le(with.first_us, before.first_us);
	ck_assert_uint_le(with.refused, before.refused);
	ck_assert_double_ge(with.slow_share, 0.3);
	ck_assert_double_le(with.slow_share, 0.55);
	/* Hosts that know only what they have seen themselves: each sends one
	 * request a second, to 57 engines. */
	ck_assert_double_le(lost.late, before.late);
	ck_assert_int_le(lost.first_us, before.first_us);
}
END_TEST

/* Guards against chance that makes equal engines look unequal. */
START_TEST(test_alike)
{
	struct result before = play((struct scene){.slow = 1, .unused = true});
	struct result with = play((struct scene){.slow = 1});
	struct result lost =
		play((struct scene){.slow = 1, .lost_us = 4000000});

	ck_assert_mem_eq(&before, &with, sizeof(with));
	ck_assert_mem_eq(&before, &lost, sizeof(lost));
}
END_TEST

/* Guards against factors that hosts learn late. */
START_TEST(test_turn)
{
	const struct scene scene = {
		.slow = 2.4, .from_us = 10000000, .to_us = 20000000};
	struct result r = play(scene);

	ck_assert_int_ge(r.known_us, scene.from_us);
	ck_assert_int_le(r.known_us, scene.from_us + 3000000);
	ck_assert_int_le(r.forgotten_us, scene.to_us + 3000000);
}
END_TEST

/* Records the gaps of a stream over two seconds that end at `now`. */
static void observe_stream(struct pace *p, double factor, int64_t now)
{
	const struct pace_load load = {1, 0};

	for (int64_t t = now - 2000000; t < now; t += 28480)
		pace_observe_gap(p, (int64_t)(28480 * factor), 4, &load, t);
}

/* Guards against a slow endpoint that is never tried again, and against one
 * that counts as ordinary as soon as the others are idle. */
START_TEST(test_fades)
{
	struct pace p[3] = {0}, *const list[] = {&p[0], &p[1], &p[2]};

	for (int i = 0; i < 3; i++)
		observe_stream(&p[i], i ? 1 : 8, 10000000);
	pace_update(list, 3, true, 10000000);
	ck_assert_double_ge(pace_factor(&p[0]), 3);
	ck_assert_double_le(pace_factor(&p[0]), PACE_FACTOR_MAX);
	ck_assert_double_eq(pace_factor(&p[1]), 1);
	/* It goes on working while the others are idle. */
	observe_stream(&p[0], 8, 13000000);
	pace_update(list, 3, true, 13000000);
	ck_assert_double_ge(pace_factor(&p[0]), 3);
	pace_update(list, 3, true, 19000000);
	ck_assert_double_le(pace_factor(&p[0]), 2.6);
	pace_update(list, 3, true, 25000000);
	ck_assert_double_eq(pace_factor(&p[0]), 1);
}
END_TEST

/* Guards against factors that few observations get in a service whose engines
 * are all slower than expected. */
START_TEST(test_slow_service)
{
	const struct pace_load load = {1, 0};
	struct pace p[3] = {0}, *const list[] = {&p[0], &p[1], &p[2]};

	for (int i = 0; i < 2; i++)
		observe_stream(&p[i], 4, 10000000);
	for (int k = 0; k < 15; k++)
		pace_observe_gap(&p[2], 4 * 28480, 4, &load, 9999999);
	pace_update(list, 3, true, 10000000);
	for (int i = 0; i < 3; i++)
		ck_assert_double_eq(pace_factor(&p[i]), 1);
	ck_assert_double_gt(p[2].factor, 0);
}
END_TEST

/* Guards against one host whose figures decide over all the others'. */
START_TEST(test_wrong_host)
{
	const struct pace_sums wrong = {UINT64_MAX / 4, UINT64_MAX / 8};
	const struct pace_sums absurd = {UINT64_MAX / 4, 1};
	struct pace p[3] = {0}, *const list[] = {&p[0], &p[1], &p[2]};
	struct pace_sums b = pace_bound(wrong);

	ck_assert_uint_le(b.expected_us, 2000000);
	ck_assert_uint_le(pace_bound(absurd).observed_us, 16);
	ck_assert_uint_eq(pace_bound((struct pace_sums){5, 0}).observed_us, 0);
	/* Beside nine hosts with a stream each. */
	for (int i = 0; i < 3; i++)
		p[i].elsewhere = (struct pace_sums){18000000, 18000000};
	p[0].elsewhere.observed_us += 16 * b.expected_us;
	p[0].elsewhere.expected_us += b.expected_us;
	pace_update(list, 3, true, 10000000);
	ck_assert_double_le(pace_factor(&p[0]), 2.5);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_slow_third,	 test_alike,
				      test_turn,	 test_fades,
				      test_slow_service, test_wrong_host};

	return check_main("endpoint_pace", tests,
			  sizeof(tests) / sizeof(*tests));
}
