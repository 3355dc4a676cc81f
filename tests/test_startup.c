#include "check_main.h"

#include "base/clock.h"
#include "forward/startup.h"

#define S USEC_PER_SEC
#define START (100 * S)

/* Guards against a request that waits on a host which is cut off and will not
 * learn a plan, and against a wait that leaves its caller no time. */
START_TEST(test_wait_is_bounded)
{
	for (int64_t at = 0; at < 5 * S; at += S / 10)
		for (int64_t left = S / 10; left < 40 * S; left += left / 2) {
			int64_t us = startup_wait_us(START, left, START + at);

			ck_assert_int_ge(us, 0);
			ck_assert_int_le(us, left / 2);
			ck_assert_int_le(at + us,
					 at < STARTUP_US ? STARTUP_US : at);
		}
	ck_assert_int_eq(startup_wait_us(START, 40 * S, START + STARTUP_US), 0);
}
END_TEST

/*
 * Plays the return of all power: a host has a plan 0.5 s after its start.
 * Guards against refusals of callers whose deadline leaves time for an answer.
 */
START_TEST(test_power_returns)
{
	const int64_t plan_us = S / 2, deadline_us = 3 * S / 2;
	int refused = 0;

	for (int64_t at = 0; at < plan_us; at += S / 100)
		refused +=
			at + startup_wait_us(START, deadline_us, START + at) <
			plan_us;
	ck_assert_int_eq(refused, 0);
}
END_TEST

/* Guards against a caller that names no deadline and is refused, or waits on
 * for the whole start. */
START_TEST(test_no_deadline)
{
	ck_assert_int_eq(startup_wait_us(START, 0, START), S);
	ck_assert_int_eq(startup_wait_us(START, -S, START + S), S);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_wait_is_bounded, test_power_returns,
				      test_no_deadline};

	return check_main("startup", tests, sizeof(tests) / sizeof(*tests));
}
