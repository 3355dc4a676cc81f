#include "check_main.h"

#include <glib.h>
#include <string.h>

#include "policy/membudget.h"

#define KB ((size_t)1 << 10)
#define MB ((size_t)1 << 20)
#define S INT64_C(1000000)
#define HOLDERS 64

static struct membudget budget;
static struct membudget_holder holders[HOLDERS];
static int shed[HOLDERS], n_shed; /* indexes, in order */

static void on_shed(void *arg)
{
	shed[n_shed++ % HOLDERS] = GPOINTER_TO_INT(arg);
}

static void setup(void)
{
	membudget_init(&budget, 16); /* 10 MB for holders */
	memset(holders, 0, sizeof(holders));
	n_shed = 0;
	for (int i = 0; i < HOLDERS; i++) {
		holders[i].shed = on_shed;
		holders[i].arg = GINT_TO_POINTER(i);
	}
}

static void teardown(void)
{
	membudget_release(&budget);
}

static void hold(int i, enum membudget_kind kind, uint32_t peer, size_t bytes,
		 int64_t now)
{
	membudget_add(&budget, &holders[i], kind, peer, now);
	ck_assert(membudget_set(&holders[i], bytes, now));
}

/* Guards against requests that are shed although they have made progress, while
 * stalled ones keep their memory. */
START_TEST(test_stalled_are_shed_first)
{
	hold(0, MEMBUDGET_HELD, 1, 2 * MB, 0);
	hold(1, MEMBUDGET_ARRIVING, 2, 1 * MB, 0);
	hold(2, MEMBUDGET_ARRIVING, 3, 4 * MB, 0);
	membudget_progress(&holders[2], 4 * MB, 2 * S);
	hold(3, MEMBUDGET_ARRIVING, 4, 1 * MB, 2 * S);
	ck_assert(!n_shed);
	ck_assert(membudget_set(&holders[3], 1 * MB, 2 * S));
	hold(4, MEMBUDGET_ARRIVING, 4, 1 * MB, 2 * S);
	ck_assert_int_eq(n_shed, 1);
	ck_assert_int_eq(shed[0], 1);
}
END_TEST

/* Guards against small requests that are shed before large ones, and against
 * one address whose many bodies take the room of others. */
START_TEST(test_large_then_many_of_one_address)
{
	hold(0, MEMBUDGET_ARRIVING, 1, 1500 * KB, 0);
	hold(1, MEMBUDGET_ARRIVING, 2, 1400 * KB, 0);
	hold(2, MEMBUDGET_ARRIVING, 2, 1300 * KB, 0);
	hold(3, MEMBUDGET_ARRIVING, 3, 4000 * KB, 0);
	hold(4, MEMBUDGET_ARRIVING, 4, 500 * KB, 0);
	hold(5, MEMBUDGET_ARRIVING, 5, 900 * KB, 0);
	ck_assert_int_eq(n_shed, 1);
	ck_assert_int_eq(shed[0], 3);
	hold(6, MEMBUDGET_HELD, 6, 4000 * KB, 0);
	ck_assert_int_eq(n_shed, 2);
	/* The second of address 2 remains alone. */
	ck_assert(shed[1] == 1 || shed[1] == 2);
}
END_TEST

/* Guards against many small requests behind one balancer that are shed before a
 * large one of another address. */
START_TEST(test_balancer_is_not_shed_first)
{
	for (int i = 0; i < 20; i++)
		hold(i, MEMBUDGET_ARRIVING, 1, 200 * KB, 0);
	hold(20, MEMBUDGET_ARRIVING, 2, 3 * MB, 0);
	hold(21, MEMBUDGET_HELD, 3, 2500 * KB, 0);
	ck_assert_int_eq(n_shed, 1);
	ck_assert_int_eq(shed[0], 20);
}
END_TEST

/* Guards against ending work that may have begun, and against large bodies that
 * leave nothing for small requests. */
START_TEST(test_held_is_never_shed)
{
	hold(0, MEMBUDGET_HELD, 1, 4 * MB, 0);
	hold(1, MEMBUDGET_HELD, 1, 4 * MB, 0);
	membudget_add(&budget, &holders[2], MEMBUDGET_ANSWER, 2, 9 * S);
	ck_assert(!membudget_set(&holders[2], 1 * MB, 9 * S));
	ck_assert_int_eq((int)holders[2].bytes, 0);
	ck_assert(membudget_set(&holders[2], 60 * KB, 9 * S));
	ck_assert(!n_shed);
}
END_TEST

/* Guards against bodies that keep their memory for ever by sending a byte now
 * and then, and against ending those that arrive at a usable rate. */
START_TEST(test_trickling_expires)
{
	hold(0, MEMBUDGET_ARRIVING, 1, 1 * MB, 0);
	hold(1, MEMBUDGET_ARRIVING, 1, 1 * MB, 0);
	for (int s = 1; s <= 70; s++) {
		membudget_progress(&holders[0], 1000, s * S);
		membudget_progress(&holders[1], 20000, s * S);
		ck_assert_int_eq(membudget_is_expired(&holders[0], s * S),
				 s >= 60);
		ck_assert(!membudget_is_expired(&holders[1], s * S));
	}
	ck_assert(membudget_is_slow(&holders[0], 70 * S));
	ck_assert(!membudget_is_slow(&holders[1], 70 * S));
}
END_TEST

/* Guards against limits that are too small for ordinary clients of a process
 * without stated limits, and against more buffers or descriptors than stated.
 */
START_TEST(test_conns)
{
	ck_assert_int_eq(membudget_conns(1250, 0, 64 * KB, 0), 1250);
	ck_assert_int_eq(membudget_conns(1250, 88, 64 * KB, 0), 704);
	ck_assert_int_eq(membudget_conns(1250, 0, 64 * KB, 1200), 500);
	ck_assert_int_eq(membudget_conns(1250, 1, 64 * KB, 10), 16);
}
END_TEST

/* Guards against bytes that are lost or counted twice: any order of arrivals,
 * growth, changes of kind, ends and sheds gives the whole budget back. */
START_TEST(test_random_accounting)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed((guint32)_i + 1);
	int64_t now = 0;

	for (int step = 0; step < 20000; step++) {
		struct membudget_holder *h =
			&holders[g_rand_int_range(rand, 0, HOLDERS)];
		size_t bytes = (size_t)g_rand_int_range(rand, 0, 2 << 20);
		size_t sum = 0;

		now += g_rand_int_range(rand, 0, 300000);
		if (!h->budget)
			membudget_add(&budget, h, g_rand_int(rand) % 3,
				      g_rand_int(rand) % 5, now);
		else if (g_rand_int(rand) % 4 == 0)
			membudget_remove(h);
		else if (g_rand_int(rand) % 5 == 0)
			membudget_set_kind(h, g_rand_int(rand) % 3, now);
		else if (membudget_set(h, bytes, now))
			membudget_progress(h, bytes, now);
		for (int i = 0; i < HOLDERS; i++)
			sum += holders[i].bytes;
		ck_assert_uint_eq(sum, budget.used);
		ck_assert_uint_le(budget.used, budget.capacity);
	}
	ck_assert_int_gt(n_shed, 0);
	for (int i = 0; i < HOLDERS; i++)
		membudget_remove(&holders[i]);
	ck_assert_uint_eq(budget.used, 0);
	for (int i = 0; i < MEMBUDGET_KINDS; i++)
		ck_assert_uint_eq(budget.by_kind[i], 0);
	ck_assert_uint_eq(g_hash_table_size(budget.peers), 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("membudget");
	TCase *tc = tcase_create("membudget");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, test_stalled_are_shed_first);
	tcase_add_test(tc, test_large_then_many_of_one_address);
	tcase_add_test(tc, test_balancer_is_not_shed_first);
	tcase_add_test(tc, test_held_is_never_shed);
	tcase_add_test(tc, test_trickling_expires);
	tcase_add_test(tc, test_conns);
	tcase_add_loop_test(tc, test_random_accounting, 0, 20);
	suite_add_tcase(s, tc);
	SRunner *runner = srunner_create(s);
	srunner_run_all(runner, CK_ENV);
	int failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}
