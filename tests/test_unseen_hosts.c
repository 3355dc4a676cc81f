#include "check_main.h"

#include <glib.h>

#include "forward/place.h"
#include "policy/unseen_hosts.h"

#define SEC INT64_C(1000000)

/* Guards against hosts that ended taken for unseen, against a control process
 * that ended whose hosts report to another one, and against a belief that does
 * not end. */
START_TEST(test_ratio)
{
	struct unseen_hosts u = {0};

	unseen_hosts_update(&u, 0, 1, 1);
	ck_assert(unseen_hosts_ratio(&u) == 0);
	unseen_hosts_update(&u, 6, 69, 2 * SEC);
	ck_assert(unseen_hosts_ratio(&u) == 0);
	unseen_hosts_update(&u, 6, 57, 3 * SEC);
	ck_assert(unseen_hosts_ratio(&u) == 0);
	unseen_hosts_update(&u, 6, 69, 4 * SEC);
	unseen_hosts_update(&u, 5, 69, 5 * SEC);
	ck_assert(unseen_hosts_ratio(&u) == 0);
	unseen_hosts_update(&u, 3, 34, 6 * SEC);
	ck_assert_double_eq_tol(unseen_hosts_ratio(&u), 34.5 / 34, 1e-9);
	/* Hosts of this part end. */
	unseen_hosts_update(&u, 3, 23, 7 * SEC);
	ck_assert_double_eq_tol(unseen_hosts_ratio(&u), 34.5 / 23, 1e-9);
	unseen_hosts_update(&u, 6, 60, 8 * SEC);
	ck_assert(unseen_hosts_ratio(&u) == 0);
	unseen_hosts_update(&u, 3, 30, 9 * SEC);
	ck_assert(unseen_hosts_ratio(&u) > 0);
	unseen_hosts_update(&u, 3, 30, 8 * SEC + UNSEEN_HOSTS_BELIEVED_US);
	ck_assert(unseen_hosts_ratio(&u) == 0);
}
END_TEST

/*
 * Hosts in two parts place generations on engines; each part sees only what its
 * own hosts have placed.  The load is 1.3 times what the engines can take.
 */
#define ENGINES 54
#define MEMORY 26900
#define NEED 3500
#define LASTS 100    /* steps of 0.1 s */
#define STEPS 400    /* the first LASTS fill the engines */
#define PER_STEP 5.4 /* arrivals */

struct outcome {
	unsigned int placed, overfull; /* generations; engines x steps */
};

static void look(const unsigned int *open, bool corrects,
		 struct place_target *t, GRand *rand)
{
	for (unsigned int e = 0; e < ENGINES; e++)
		t[e] = (struct place_target){.usable = true,
					     .slots = 24,
					     .memory_tokens = MEMORY,
					     .open_requests = open[e],
					     .needed_tokens = open[e] * NEED,
					     .tie_breaker = g_rand_int(rand)};
	if (corrects)
		place_add_unseen_load(t, ENGINES, 1);
}

static struct outcome play(unsigned int parts, bool corrects)
{
	const struct place_request request = {
		.generation = true, .prompt_tokens = 300, .need_tokens = NEED};
	unsigned int open[2][ENGINES] = {{0}}, ends[STEPS + LASTS][2][ENGINES];
	struct place_target t[ENGINES];
	struct outcome o = {0};
	g_autoptr(GRand) rand = g_rand_new_with_seed(1);
	double due = 0;
	size_t e;

	memset(ends, 0, sizeof(ends));
	for (unsigned int step = 0; step < STEPS; step++) {
		for (e = 0; e < ENGINES; e++) {
			for (unsigned int p = 0; p < parts; p++)
				open[p][e] -= ends[step][p][e];
			o.overfull += (open[0][e] + open[1][e]) * NEED > MEMORY;
		}
		for (due += PER_STEP; due >= 1; due--) {
			unsigned int p = g_rand_int(rand) % parts;

			look(open[p], corrects, t, rand);
			if (place_choose(t, ENGINES, &request, &e) != PLACE_OK)
				continue;
			open[p][e]++;
			ends[step + LASTS][p][e]++;
			o.placed++;
		}
	}
	return o;
}

/* Guards against engines that are filled twice while control is cut in two, and
 * against callers refused although there is room. */
START_TEST(test_cut_in_two)
{
	struct outcome whole = play(1, false);
	struct outcome before = play(2, false);
	struct outcome after = play(2, true);

	ck_assert_uint_gt(before.overfull, ENGINES * STEPS / 4);
	ck_assert_uint_lt(after.overfull, before.overfull / 10);
	ck_assert_uint_ge(after.placed, whole.placed * 9 / 10);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_ratio, test_cut_in_two};

	return check_main("unseen_hosts", tests,
			  sizeof(tests) / sizeof(*tests));
}
