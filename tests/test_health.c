#include "check_main.h"

#include "forward/health.h"

#define MS INT64_C(1000)

/* Guards against hosts that each lose requests to the same broken endpoint. */
START_TEST(test_others_failures_count)
{
	struct health h = {0};

	h.failed_elsewhere = 4;
	ck_assert(health_is_unhealthy(&h, 5000 * MS));
	h.failed_elsewhere = 1;
	ck_assert(!health_is_unhealthy(&h, 5000 * MS));
	health_record_failure(&h, 5000 * MS);
	health_record_failure(&h, 5000 * MS);
	ck_assert(health_is_unhealthy(&h, 5000 * MS));
}
END_TEST

/* Guards against leaving endpoints that lose a part of their answers. */
START_TEST(test_part_is_lost)
{
	struct health h = {.failed_elsewhere = 20, .succeeded_elsewhere = 60};

	ck_assert(!health_is_unhealthy(&h, 5000 * MS));
	h.succeeded_elsewhere = 10;
	ck_assert(health_is_unhealthy(&h, 5000 * MS));
}
END_TEST

/* Guards against an endpoint that works again and gets no work. */
START_TEST(test_forgets)
{
	struct health h = {0};

	for (int i = 0; i < 5; i++)
		health_record_failure(&h, 5000 * MS);
	ck_assert(health_is_unhealthy(&h, 5900 * MS));
	ck_assert_uint_eq(health_recent_failures(&h, 6100 * MS), 5);
	ck_assert(!health_is_unhealthy(&h, 7100 * MS));
	ck_assert_uint_eq(health_recent_failures(&h, 7100 * MS), 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_others_failures_count,
		test_part_is_lost,
		test_forgets,
	};

	return check_main("health", tests, sizeof(tests) / sizeof(*tests));
}
