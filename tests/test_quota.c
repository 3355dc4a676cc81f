#include "check_main.h"

#include <glib.h>

#include "forward/quota.h"

#define MS 1000 /* in microseconds */
#define HOSTS 70
#define NEED 4000 /* tokens of one generation */

/*
 * Guards against all hosts placing their whole queues on one endpoint that
 * joins: it has room for six generations, and sixty wait.
 */
START_TEST(test_hosts_share_room)
{
	GRand *rand = g_rand_new_with_seed(7);
	unsigned int placed = 0;

	for (int round = 0; round < 100; round++) {
		for (int h = 0; h < HOSTS; h++) {
			struct quota q = {0};
			uint64_t own = h < 60 ? NEED : 0;
			quota_begin_round(&q, 6 * NEED, own, 60 * NEED - own,
					  1);
			placed += own &&
				  quota_take(&q, NEED, g_rand_double(rand));
		}
	}
	ck_assert_uint_gt(placed, 500);
	ck_assert_uint_lt(placed, 700);
	g_rand_free(rand);
}
END_TEST

/* Guards against requests that wait although the room is enough for all. */
START_TEST(test_room_for_all)
{
	struct quota q = {0};

	quota_begin_round(&q, 10 * NEED, 3 * NEED, 5 * NEED, 1);
	for (int i = 0; i < 3; i++)
		ck_assert(quota_take(&q, NEED, 0.999));
}
END_TEST

/*
 * Guards against a second share of the room before the other hosts have
 * received the placements of the first one.
 */
START_TEST(test_one_share_per_round)
{
	struct quota q = {0};

	quota_begin_round(&q, 2 * NEED, 2 * NEED, 2 * NEED, 1);
	ck_assert(quota_take(&q, NEED, 0.5));
	ck_assert(!quota_take(&q, NEED, 0.5));
	quota_begin_round(&q, 2 * NEED, NEED, 2 * NEED, 100 * MS);
	ck_assert(!quota_take(&q, NEED, 0));
	quota_begin_round(&q, 3 * NEED, NEED, 2 * NEED, 201 * MS);
	ck_assert(quota_take(&q, NEED, 0.999));
}
END_TEST

/*
 * Guards against requests that wait and are then refused: if generations hold
 * memory for ten seconds, a tenth of it becomes free within one second.
 */
START_TEST(test_worth_waiting)
{
	ck_assert(quota_wait_is_worthwhile(39000, 400000, 1000 * MS));
	ck_assert(!quota_wait_is_worthwhile(41000, 400000, 1000 * MS));
	ck_assert(!quota_wait_is_worthwhile(1, 0, 1000 * MS));
}
END_TEST

/*
 * Guards against a host that refuses all requests while it is cut off, because
 * the last totals that it received had long queues.
 */
START_TEST(test_old_totals)
{
	ck_assert_uint_eq(quota_queued_elsewhere(NEED, 50 * NEED, 200 * MS, 8),
			  50 * NEED);
	ck_assert_uint_eq(quota_queued_elsewhere(NEED, 50 * NEED, 5000 * MS, 8),
			  7 * NEED);
	ck_assert_uint_eq(quota_queued_elsewhere(0, 50 * NEED, 5000 * MS, 8),
			  0);
	ck_assert_uint_eq(quota_queued_elsewhere(NEED, 0, 5000 * MS, 0), 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_hosts_share_room,	  test_room_for_all,
		test_one_share_per_round, test_worth_waiting,
		test_old_totals,
	};

	return check_main("quota", tests, G_N_ELEMENTS(tests));
}
