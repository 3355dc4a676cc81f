#include "check_main.h"

#include <glib.h>

#include "forward/demand.h"
#include "forward/quota.h"

enum { NORTH, SOUTH };

static const struct residency anywhere = {0};
static const struct residency north = {true, {1}};
static const struct residency south = {true, {2}};

/* Guards against a deployment without lists that is treated otherwise than by
 * the sum of its queues. */
START_TEST(test_without_lists)
{
	struct demands d = {0};
	struct demand_amounts none = {0}, some = {.tokens = {500, 700}};

	demand_add(&d, &anywhere, 3000);
	demand_add(&d, &anywhere, 200);
	ck_assert_uint_eq(d.n, 1);
	ck_assert_uint_eq(demand_competing(&d, &anywhere, &none), 3200);
	ck_assert_uint_eq(demand_competing(&d, &anywhere, &some), 3200);
	ck_assert_uint_eq(demand_same(&d, &anywhere), 3200);
	ck_assert_uint_eq(demand_same(&d, &north), 0);
}
END_TEST

/* Guards against a queue for one region that holds up requests for another, and
 * against one that is held up by, or holds up, those that may go anywhere for
 * more than the region's part. */
START_TEST(test_regions)
{
	struct demands d = {0};
	struct demand_amounts a = {0};

	demand_add(&d, &anywhere, 400);
	demand_add(&d, &north, 1000000);
	demand_add(&d, &south, 50);
	demand_add_amount(&a, SOUTH, 600);
	demand_add_amount(&a, RESIDENCY_UNKNOWN, 200);
	/* The north is full: its queue counts for nobody else. */
	ck_assert_uint_eq(demand_competing(&d, &south, &a), 50 + 300);
	ck_assert_uint_eq(demand_competing(&d, &anywhere, &a), 400 + 50);
	ck_assert_uint_eq(demand_competing(&d, &north, &a), 1000000);
	/* With some room there, it counts for no more than this. */
	demand_add_amount(&a, NORTH, 100);
	ck_assert_uint_eq(demand_competing(&d, &anywhere, &a), 400 + 50 + 100);
	ck_assert_uint_eq(demand_competing(&d, &south, &a),
			  50 + 400 * 600 / 900);
}
END_TEST

/* Guards against a write beyond the list, and against work that is lost. */
START_TEST(test_many_sets)
{
	struct demands d = {0};
	uint64_t sum = 0;

	for (uint64_t i = 1; i <= DEMANDS_MAX + 9; i++) {
		struct residency r = {true, {i}};
		demand_add(&d, &r, 10);
	}
	ck_assert_uint_eq(d.n, DEMANDS_MAX);
	for (size_t i = 0; i < d.n; i++)
		sum += d.list[i].tokens;
	ck_assert_uint_eq(sum, (DEMANDS_MAX + 9) * 10);
}
END_TEST

/*
 * Guards against hosts that together place more than the room by giving each
 * set of regions a quota of its own, and against a set that gets less than half
 * of what it could have alone.  70 hosts with random queues, seeds 1 to 50.
 */
START_TEST(test_closed_sum)
{
	enum { HOSTS = 70, SETS = 3 };
	const struct residency *sets[SETS] = {&anywhere, &north, &south};

	for (guint32 seed = 1; seed <= 50; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		struct demand_amounts room = {0};
		struct demands own[HOSTS] = {0}, all = {0};
		double placed[SETS] = {0};
		uint64_t rooms[SETS];

		demand_add_amount(&room, NORTH,
				  (uint64_t)g_rand_int_range(rand, 0, 300000));
		demand_add_amount(&room, SOUTH,
				  (uint64_t)g_rand_int_range(rand, 1, 300000));
		rooms[1] = room.tokens[NORTH];
		rooms[2] = room.tokens[SOUTH];
		rooms[0] = rooms[1] + rooms[2];
		int most[SETS];
		for (int s = 0; s < SETS; s++)
			most[s] = g_rand_int_range(rand, 1, 30000);
		for (int h = 0; h < HOSTS; h++)
			for (int s = 0; s < SETS; s++) {
				uint64_t t = (uint64_t)g_rand_int_range(
					rand, 0, most[s]);
				demand_add(&own[h], sets[s], t);
				demand_add(&all, sets[s], t);
			}
		for (int h = 0; h < HOSTS; h++)
			for (int s = 0; s < SETS; s++) {
				struct quota q = {0};
				uint64_t same = demand_same(&own[h], sets[s]);
				uint64_t sum =
					demand_competing(&all, sets[s], &room);

				quota_begin_round(&q, rooms[s], same,
						  sum - same, 1);
				placed[s] += MIN(q.left_tokens, (double)same);
			}
		for (int s = 0; s < SETS; s++) {
			double alone = (double)MIN(demand_same(&all, sets[s]),
						   rooms[s]);

			ck_assert_double_le(placed[s], (double)rooms[s] + 1);
			ck_assert_double_ge(placed[s], alone / 3);
		}
		ck_assert_double_le(placed[0] + placed[1] + placed[2],
				    1.1 * (double)rooms[0] + 1);
		g_rand_free(rand);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_without_lists, test_regions,
				      test_many_sets, test_closed_sum};

	return check_main("demand", tests, sizeof(tests) / sizeof(*tests));
}
