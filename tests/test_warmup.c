#include "check_main.h"

#include <glib.h>
#include <string.h>

#include "policy/warmup.h"

#define MS INT64_C(1000)
#define SEC (1000 * MS)

/* A deployment's limit: 24 x 1.5 + 5. */
#define PER_S 24
#define BOUND 41

#define HOSTS_MAX 300
#define ENDPOINTS 10
#define SEEDS 50
#define STEP_US (5 * MS)
#define TICK_STEPS 4 /* of 5 ms: hosts place what waits every 20 ms */
#define RUN_US (12 * SEC)
#define SENDS_MAX 20000

/*
 * Hosts whose queues are full send to each endpoint whatever they may.  Hosts
 * tick at different times and know nothing of each other but their number.
 */
struct site {
	const struct warmup_limits *limits;
	struct warmup_pace pace; /* for pace_hosts hosts */
	unsigned int pace_hosts;
	unsigned int n_hosts;
	struct warmup_hosts hosts[HOSTS_MAX];
	struct warmup state[HOSTS_MAX][ENDPOINTS];
	double wanted_per_s;
	unsigned int n_sent[ENDPOINTS];
	int64_t sent_us[ENDPOINTS][SENDS_MAX];
};

static const unsigned int fleets[] = {1, 10, 70, 300};

static const struct warmup_limits model_limits = {
	.per_s = PER_S, .bound = BOUND, .bounds_warm = true};

static struct site *site_new(unsigned int n_hosts, GRand *rand)
{
	struct site *s = g_new0(struct site, 1);

	s->limits = &model_limits;
	s->n_hosts = n_hosts;
	for (unsigned int h = 0; h < n_hosts; h++)
		for (unsigned int e = 0; e < ENDPOINTS; e++)
			warmup_init(&s->state[h][e], g_rand_double(rand));
	return s;
}

/* The hosts from first on count n hosts, and have done so for long. */
static void count_hosts(struct site *s, unsigned int first, unsigned int n,
			int64_t now)
{
	for (unsigned int h = first; h < s->n_hosts; h++) {
		warmup_hosts_update(&s->hosts[h], n, now - WARMUP_SETTLE_US);
		warmup_hosts_update(&s->hosts[h], n, now);
	}
}

static void turn_cold(struct site *s, unsigned int h, int64_t now)
{
	for (unsigned int e = 0; e < ENDPOINTS; e++)
		warmup_announce(&s->state[h][e], 60 * SEC, now, now);
}

static void step(struct site *s, int64_t now)
{
	for (unsigned int h = 0; h < s->n_hosts; h++) {
		unsigned int n = warmup_hosts_max(&s->hosts[h]);

		if ((now / STEP_US + h) % TICK_STEPS)
			continue;
		if (n != s->pace_hosts)
			s->pace = warmup_pace(s->limits, n);
		s->pace_hosts = n;
		for (unsigned int e = 0; e < ENDPOINTS; e++) {
			if (!warmup_has_room(&s->state[h][e], &s->pace,
					     s->wanted_per_s, now))
				continue;
			warmup_record_sent(&s->state[h][e], &s->pace, 1, now);
			ck_assert_uint_lt(s->n_sent[e], SENDS_MAX);
			s->sent_us[e][s->n_sent[e]++] = now;
		}
	}
}

/* Most requests that an endpoint got in a second that begins at from_us or
 * later. */
static unsigned int most_in_a_second(const struct site *s, int64_t from_us)
{
	unsigned int most = 0;

	for (unsigned int e = 0; e < ENDPOINTS; e++)
		for (unsigned int i = 0, j = 0; i < s->n_sent[e]; i++) {
			while (s->sent_us[e][i] - s->sent_us[e][j] >= SEC)
				j++;
			if (s->sent_us[e][j] >= from_us)
				most = MAX(most, i - j + 1);
		}
	return most;
}

static void run_return(unsigned int n)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		unsigned int sent = 0;
		g_autofree struct site *s = site_new(n, rand);

		count_hosts(s, 0, n, 100 * SEC);
		for (unsigned int h = 0; h < n; h++)
			turn_cold(s, h, 100 * SEC);
		for (int64_t t = 0; t < RUN_US; t += STEP_US)
			step(s, 100 * SEC + t);
		ck_assert_uint_le(most_in_a_second(s, 0), BOUND);
		for (unsigned int e = 0; e < ENDPOINTS; e++)
			sent += s->n_sent[e];
		/* An ordinary load is 2.4 a second. */
		ck_assert_uint_ge(sent, 5 * ENDPOINTS * RUN_US / SEC);
	}
}

/* Guards against more than the bound while a data centre returns to 1, 10, 70
 * and 300 hosts with full queues, and against a limit that lets nothing by. */
START_TEST(test_return)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++)
		run_return(fleets[i]);
}
END_TEST

/* Guards against hosts that start together after a power loss, and each believe
 * that there are few because control has not counted all. */
START_TEST(test_power_loss)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		g_autofree struct site *s = site_new(70, rand);

		for (unsigned int h = 0; h < s->n_hosts; h++)
			turn_cold(s, h, 100 * SEC);
		for (int64_t t = 0; t < RUN_US; t += STEP_US) {
			unsigned int counted =
				(unsigned int)(1 + 69 * MIN(t, 2 * SEC) /
							   (2 * SEC));

			for (unsigned int h = 0; h < s->n_hosts && t >= SEC / 2;
			     h++)
				warmup_hosts_update(&s->hosts[h], counted,
						    100 * SEC + t);
			step(s, 100 * SEC + t);
		}
		ck_assert_uint_le(most_in_a_second(s, 0), BOUND);
	}
}
END_TEST

/* Guards against a period without a margin for chance: all hosts know of only
 * 70 while there are half as many more, also where the bound is no more than
 * the rate of the service. */
START_TEST(test_stale_count)
{
	const struct warmup_limits tight = {.per_s = PER_S, .bound = PER_S};
	const struct warmup_limits *const limits[] = {&model_limits, &tight};

	for (guint32 seed = 1; seed <= 2 * SEEDS; seed++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		g_autofree struct site *s = site_new(105, rand);

		s->limits = limits[seed % 2];
		count_hosts(s, 0, 70, 100 * SEC);
		for (unsigned int h = 0; h < s->n_hosts; h++)
			turn_cold(s, h, 100 * SEC);
		for (int64_t t = 0; t < RUN_US; t += STEP_US)
			step(s, 100 * SEC + t);
		ck_assert_uint_le(most_in_a_second(s, 0),
				  (unsigned int)s->limits->bound);
	}
}
END_TEST

/* Guards against hosts that are cut off and do not know of those added. */
START_TEST(test_cut_off_and_added)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		g_autofree struct site *s = site_new(105, rand);

		/* The first 35 know of 70 hosts; control has counted all. */
		count_hosts(s, 0, 70, 100 * SEC);
		count_hosts(s, 35, 105, 200 * SEC);
		for (unsigned int h = 0; h < s->n_hosts; h++)
			turn_cold(s, h, 200 * SEC);
		for (int64_t t = 0; t < RUN_US; t += STEP_US)
			step(s, 200 * SEC + t);
		ck_assert_uint_le(most_in_a_second(s, 0), BOUND);
	}
}
END_TEST

/* The queues fill at from_us; the endpoints are cold from cold_us on. */
static void run_learned_late(unsigned int n, int64_t from_us, int64_t cold_us)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		g_autofree struct site *s = site_new(n, rand);
		int64_t learn_us[HOSTS_MAX];

		count_hosts(s, 0, n, 90 * SEC);
		/* Ten requests wait on each host, for 20 endpoints. */
		s->wanted_per_s = MAX(10.0 * n / 20, BOUND);
		for (unsigned int h = 0; h < n; h++)
			learn_us[h] =
				cold_us +
				(h % 3 ? 1700 * MS
				       : g_rand_int_range(rand, 0, 1700) * MS);
		for (int64_t t = from_us; t < cold_us + RUN_US / 2;
		     t += STEP_US) {
			for (unsigned int h = 0; h < n; h++)
				if (t >= learn_us[h] &&
				    t < learn_us[h] + STEP_US)
					turn_cold(s, h, t);
			step(s, t);
		}
		ck_assert_uint_le(most_in_a_second(s, cold_us), BOUND);
	}
}

/* Guards against more than the bound by hosts that learn 1.7 s late that an
 * endpoint is cold, whose queues have been full or fill just then. */
START_TEST(test_learned_late)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++) {
		run_learned_late(fleets[i], 100 * SEC, 104 * SEC);
		run_learned_late(fleets[i], 104 * SEC, 104 * SEC);
	}
}
END_TEST

/* Requests out of a hundred that find a warm endpoint closed, while 70 hosts
 * send per_s a second to it. */
static unsigned int percent_closed(double per_s)
{
	const struct warmup_pace pace = warmup_pace(&model_limits, 105);
	g_autoptr(GRand) rand = g_rand_new_with_seed(1);
	struct warmup state[70];
	unsigned int tried = 0, closed = 0;

	for (unsigned int h = 0; h < 70; h++)
		warmup_init(&state[h], g_rand_double(rand));
	for (int64_t t = 100 * SEC; t < 1100 * SEC; t += STEP_US) {
		if (g_rand_double(rand) >= per_s * STEP_US / SEC)
			continue;
		struct warmup *w = &state[g_rand_int_range(rand, 0, 70)];
		tried++;
		if (warmup_has_room(w, &pace, per_s, t))
			warmup_record_sent(w, &pace, 1, t);
		else
			closed++;
	}
	return closed * 100 / tried;
}

/* Guards against a limit that ordinary load meets: 2.4 requests a second to a
 * warm endpoint; others take what finds it closed.  Eight times as many are a
 * wave. */
START_TEST(test_warm_load)
{
	ck_assert_uint_le(percent_closed(2.4), 1);
	ck_assert_uint_le(percent_closed(19), 35);
}
END_TEST

/*
 * Guards against a limit of warm endpoints of services without a model.  An
 * ordinary load of 88 requests a second over 6 endpoints would find all of them
 * closed in 2.4 of 100 cases, and over 4 endpoints in 85 (70 hosts).
 */
START_TEST(test_plain_service)
{
	const struct warmup_limits limits = {.per_s = PER_S, .bound = BOUND};
	const struct warmup_pace pace = warmup_pace(&limits, 105);
	struct warmup w;
	int64_t now = 100 * SEC;

	warmup_init(&w, 0.5);
	for (int i = 0; i < 880; i++, now += SEC / 88) {
		ck_assert(warmup_has_room(&w, &pace, 88, now));
		warmup_record_sent(&w, &pace, 1, now);
	}
	/* Cold, it is limited at once. */
	warmup_announce(&w, 60 * SEC, now, now);
	for (int i = 0; i < 2; i++)
		if (warmup_has_room(&w, &pace, 88, now))
			warmup_record_sent(&w, &pace, 1, now);
	ck_assert(!warmup_has_room(&w, &pace, 88, now));
}
END_TEST

/* Guards against a resume that is not counted: it is taken with the copy. */
START_TEST(test_copy_counts_twice)
{
	const struct warmup_pace pace = warmup_pace(&model_limits, 15);
	struct warmup w;
	unsigned int sent = 0;

	warmup_init(&w, 0);
	warmup_announce(&w, 60 * SEC, 0, 1);
	for (int64_t t = 10 * SEC; t < 20 * SEC; t += STEP_US)
		if (warmup_has_room(&w, &pace, 0, t)) {
			warmup_record_sent(&w, &pace, 2, t);
			sent += 2;
		}
	ck_assert_uint_le(sent, 10 * SEC / pace.period_us + 2);
	ck_assert_uint_ge(sent, 10 * SEC / pace.period_us - 2);
}
END_TEST

/* Guards against an endpoint that gets nothing while it is cold as it got much
 * while it was warm. */
START_TEST(test_cold_after_load)
{
	const struct warmup_pace pace = warmup_pace(&model_limits, 15);
	struct warmup w;
	bool has_room = false;

	warmup_init(&w, 0);
	for (int i = 0; i < 100; i++)
		warmup_record_sent(&w, &pace, 1, 10 * SEC);
	warmup_announce(&w, 60 * SEC, 0, 10 * SEC);
	for (int64_t t = 10 * SEC; t < 10 * SEC + 3 * pace.period_us;
	     t += STEP_US)
		has_room |= warmup_has_room(&w, &pace, 0, t);
	ck_assert(has_room);
}
END_TEST

/* Guards against an endpoint that gets nothing while it is cold as a request
 * was sent to it before the hosts were counted, when slots were far apart. */
START_TEST(test_cold_after_count)
{
	const struct warmup_pace assumed =
		warmup_pace(&model_limits, WARMUP_HOSTS_MAX);
	const struct warmup_pace pace = warmup_pace(&model_limits, 15);
	struct warmup w;
	bool has_room = false;

	warmup_init(&w, 0.5);
	warmup_record_sent(&w, &assumed, 1, 10 * SEC);
	warmup_announce(&w, 60 * SEC, 0, 12 * SEC);
	for (int64_t t = 12 * SEC; t < 12 * SEC + 2 * pace.period_us;
	     t += STEP_US)
		has_room |= warmup_has_room(&w, &pace, 0, t);
	ck_assert(has_room);
}
END_TEST

/* Guards against a failed endpoint that is used as a warm one because of an
 * announcement made before the failure, and against one that stays cold. */
START_TEST(test_assumed)
{
	const struct warmup_pace pace = warmup_pace(&model_limits, 15);
	struct warmup w;

	warmup_init(&w, 0.5);
	ck_assert(!warmup_is_cold(&w, &pace, 10 * SEC));
	warmup_assume_cold(&w, 30 * SEC, 10 * SEC);
	ck_assert(warmup_is_cold(&w, &pace, 10 * SEC));
	warmup_announce(&w, 0, 9 * SEC, 11 * SEC);
	ck_assert(warmup_is_cold(&w, &pace, 11 * SEC));
	/* A shorter time of before does not end it, either. */
	warmup_announce(&w, 2 * SEC, 9 * SEC, 11 * SEC);
	ck_assert(warmup_is_cold(&w, &pace, 14 * SEC));
	warmup_announce(&w, 0, 12 * SEC, 14 * SEC);
	ck_assert(!warmup_is_cold(&w, &pace, 14 * SEC));
	warmup_assume_cold(&w, 30 * SEC, 20 * SEC);
	ck_assert(warmup_is_cold(&w, &pace, 49 * SEC));
	ck_assert(!warmup_is_cold(&w, &pace, 50 * SEC));
}
END_TEST

/* Guards against a limit where a service has none: nothing is ever refused. */
START_TEST(test_no_limit)
{
	const struct warmup_limits none = {.bound = 5, .bounds_warm = true};
	const struct warmup_pace pace = warmup_pace(&none, 70);
	struct warmup w;

	warmup_init(&w, 0.5);
	warmup_assume_cold(&w, 30 * SEC, 10 * SEC);
	ck_assert(!warmup_is_cold(&w, &pace, 11 * SEC));
	for (int i = 0; i < 1000; i++) {
		ck_assert(warmup_has_room(&w, &pace, 1e6, 11 * SEC));
		warmup_record_sent(&w, &pace, 2, 11 * SEC);
	}
}
END_TEST

/* Guards against a count of hosts that is believed too early, or falls. */
START_TEST(test_hosts)
{
	struct warmup_hosts h = {0};

	ck_assert_uint_eq(warmup_hosts_max(&h), WARMUP_HOSTS_MAX);
	warmup_hosts_update(&h, 2, 10 * SEC);
	warmup_hosts_update(&h, 70, 12 * SEC);
	warmup_hosts_update(&h, 70, 14 * SEC);
	ck_assert_uint_eq(warmup_hosts_max(&h), WARMUP_HOSTS_MAX);
	warmup_hosts_update(&h, 70, 15 * SEC);
	ck_assert_uint_eq(warmup_hosts_max(&h), 105);
	warmup_hosts_update(&h, 3, 20 * SEC);
	ck_assert_uint_eq(warmup_hosts_max(&h), 105);
	warmup_hosts_update(&h, 400, 21 * SEC);
	ck_assert_uint_eq(warmup_hosts_max(&h), 600);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_return,
		test_power_loss,
		test_stale_count,
		test_cold_after_load,
		test_cold_after_count,
		test_cut_off_and_added,
		test_learned_late,
		test_warm_load,
		test_plain_service,
		test_copy_counts_twice,
		test_assumed,
		test_no_limit,
		test_hosts,
	};

	return check_main("warmup", tests, sizeof(tests) / sizeof(*tests));
}
