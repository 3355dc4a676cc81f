#include "check_main.h"

#include "forward/repeat.h"

#define MS INT64_C(1000) /* in microseconds */

static const struct repeat_facts idempotent = {.delivered = true,
					       .may_have_run = true,
					       .may_run_again = true,
					       .untried = true,
					       .attempts = 1,
					       .max_attempts = 2,
					       .left_us = 1000 * MS};

/* Guards against a second run of a request that may not run twice, against more
 * attempts than the route allows, and against repeats outside the budget. */
START_TEST(test_runs_once)
{
	struct repeat_facts f = idempotent;

	ck_assert_int_eq(repeat_decide(&f), REPEAT_CHARGED);
	f.attempts = 2;
	ck_assert_int_eq(repeat_decide(&f), REPEAT_NO);
	f.may_have_run = false;
	ck_assert_int_eq(repeat_decide(&f), REPEAT_CHARGED);
	f.attempts = 3;
	ck_assert_int_eq(repeat_decide(&f), REPEAT_NO);
	f = idempotent;
	f.may_run_again = false;
	ck_assert_int_eq(repeat_decide(&f), REPEAT_NO);
	f.may_have_run = false;
	ck_assert_int_eq(repeat_decide(&f), REPEAT_CHARGED);
	f = idempotent;
	f.left_us = 9 * MS;
	ck_assert_int_eq(repeat_decide(&f), REPEAT_NO);
}
END_TEST

/*
 * Guards against a refusal after some connections that failed within a
 * millisecond, while an endpoint was running and the host's part of the budget
 * was used up, against attempts at the same endpoints outside the budget, and
 * against attempts until no time is left.
 */
START_TEST(test_crashed_together)
{
	struct repeat_facts f = {
		.max_attempts = 1, .untried = true, .left_us = 1000 * MS};

	/* Eight endpoints, of which the last one is running. */
	for (unsigned int k = 1; k <= 7; k++) {
		f.attempts = f.failed_deliveries = k;
		ck_assert_int_eq(repeat_decide(&f), REPEAT_FREE);
		f.left_us -= MS + repeat_backoff_us(k, f.left_us);
	}
	ck_assert_int_ge(f.left_us, 500 * MS);
	f.untried = false;
	ck_assert_int_eq(repeat_decide(&f), REPEAT_CHARGED);
	f.failed_deliveries = 3;
	ck_assert_int_eq(repeat_decide(&f), REPEAT_FREE);
	f.untried = true;
	f.left_us = 9 * MS;
	ck_assert_int_eq(repeat_decide(&f), REPEAT_NO);
}
END_TEST

/* Guards against a wait after a single endpoint that has ended, and against one
 * that takes the time for the attempt. */
START_TEST(test_backoff)
{
	ck_assert_int_eq(repeat_backoff_us(2, 1000 * MS), 0);
	ck_assert_int_eq(repeat_backoff_us(3, 1000 * MS), 20 * MS);
	ck_assert_int_eq(repeat_backoff_us(90, 9000 * MS), 160 * MS);
	ck_assert_int_eq(repeat_backoff_us(90, 16 * MS), 2 * MS);
	ck_assert_int_eq(repeat_backoff_us(90, -MS), 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_runs_once,
		test_crashed_together,
		test_backoff,
	};

	return check_main("repeat", tests, sizeof(tests) / sizeof(*tests));
}
