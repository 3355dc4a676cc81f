#include "check_main.h"

#include "policy/pause.h"

#define MS INT64_C(1000)
#define SEC (1000 * MS)

/* Guards against a pause that a later, shorter wish ends, and against one that
 * a wrong number makes endless, or a negative one shortens. */
START_TEST(test_extend)
{
	const int64_t now = 100 * SEC;
	int64_t until = pause_extend(0, 3 * SEC, now);

	ck_assert_int_eq(until, now + 3 * SEC);
	ck_assert_int_eq(pause_extend(until, SEC, now), until);
	ck_assert_int_eq(pause_extend(until, 0, now), until);
	ck_assert_int_eq(pause_extend(until, -5 * SEC, now), until);
	ck_assert_int_eq(pause_extend(until, 3 * SEC, now + SEC), until + SEC);
	ck_assert_int_eq(pause_extend(0, INT64_MAX, now), now + PAUSE_MAX_US);
}
END_TEST

/* Guards against wrong numbers, and against dates and signs that are taken for
 * seconds. */
START_TEST(test_parse)
{
	static const char *const bad[] = {"",
					  "-1",
					  "+1",
					  " 1",
					  "1s",
					  "soon",
					  "Fri, 31 Dec 1999 23:59:59 GMT"};
	int64_t us = -1;

	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		ck_assert(!pause_parse(bad[i], &us));
	ck_assert(pause_parse("1.25", &us));
	ck_assert_int_eq(us, 1250 * MS);
	ck_assert(pause_parse("0", &us));
	ck_assert_int_eq(us, 0);
	ck_assert(pause_parse("1e300", &us));
	ck_assert_int_eq(us, PAUSE_MAX_US);
	ck_assert(pause_parse("99999999999999999999", &us));
	ck_assert_int_eq(us, PAUSE_MAX_US);
}
END_TEST

/* Guards against callers that wait for endpoints that are known to be paused
 * for longer, and against refusals where the first one is back in time. */
START_TEST(test_refuse)
{
	const int64_t now = 100 * SEC;
	struct pause_state s = PAUSE_STATE_INIT;

	ck_assert_int_eq(pause_refuse_after(&s, now + 25 * MS, now), 0);
	pause_add_endpoint(&s, now + 4 * SEC, 0, now);
	pause_add_endpoint(&s, now + 2 * SEC, 0, now);
	ck_assert_int_eq(pause_refuse_after(&s, now + 25 * MS, now), 2 * SEC);
	ck_assert_int_eq(pause_refuse_after(&s, now + 3 * SEC, now), 0);
	ck_assert_int_eq(pause_refuse_after(&s, now - SEC, now), 2 * SEC);
}
END_TEST

/* Guards against refusals by pauses while an endpoint that is avoided after a
 * failure is back sooner, and without any pause. */
START_TEST(test_avoided_endpoints)
{
	const int64_t now = 100 * SEC;
	struct pause_state s = PAUSE_STATE_INIT, avoided = PAUSE_STATE_INIT;

	pause_add_endpoint(&s, now + 4 * SEC, now + SEC, now);
	ck_assert_int_eq(pause_refuse_after(&s, now, now), 4 * SEC);
	pause_add_endpoint(&s, now - SEC, now + 250 * MS, now);
	ck_assert_int_eq(pause_refuse_after(&s, now, now), 250 * MS);
	ck_assert_int_eq(pause_refuse_after(&s, now + SEC, now), 0);
	pause_add_endpoint(&avoided, 0, now + 250 * MS, now);
	ck_assert_int_eq(pause_refuse_after(&avoided, now, now), 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_extend, test_parse, test_refuse,
				      test_avoided_endpoints};

	return check_main("pause", tests, sizeof(tests) / sizeof(*tests));
}
