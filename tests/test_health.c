#include "check_main.h"

#include "forward/failures.h"
#include "forward/health.h"

#define MS INT64_C(1000) /* in microseconds */

/* Whether the endpoint is avoided beside one without failures. */
static bool is_avoided(const struct health *h, int64_t now)
{
	struct failures f[2] = {0};
	const struct failures_item items[] = {
		{&f[0], health_recent_failures(h, now) + h->failed_elsewhere,
		 health_recent_successes(h, now) + h->succeeded_elsewhere},
		{&f[1], 0, 20}};

	failures_update(items, 2, now);
	return f[0].avoided;
}

/*
 * Guards against many hosts that each lose several requests at the same broken
 * endpoint before they avoid it.
 */
START_TEST(test_failures_elsewhere_count)
{
	struct health h = {0};

	h.failed_elsewhere = 4;
	ck_assert(is_avoided(&h, 5000 * MS));
	h.failed_elsewhere = 1;
	ck_assert(!is_avoided(&h, 5000 * MS));
	health_record_failure(&h, 5000 * MS);
	health_record_failure(&h, 5000 * MS);
	ck_assert(is_avoided(&h, 5000 * MS));
}
END_TEST

/* Guards against avoiding an endpoint that loses only some of its answers. */
START_TEST(test_partial_loss)
{
	struct health h = {.failed_elsewhere = 20, .succeeded_elsewhere = 60};

	ck_assert(!is_avoided(&h, 5000 * MS));
	h.succeeded_elsewhere = 10;
	ck_assert(is_avoided(&h, 5000 * MS));
}
END_TEST

/* Guards against avoiding an endpoint that has recovered. */
START_TEST(test_recovery)
{
	struct health h = {0};

	for (int i = 0; i < 5; i++)
		health_record_failure(&h, 5000 * MS);
	ck_assert(is_avoided(&h, 5900 * MS));
	ck_assert_uint_eq(health_recent_failures(&h, 6100 * MS), 5);
	ck_assert(!is_avoided(&h, 7100 * MS));
	ck_assert_uint_eq(health_recent_failures(&h, 7100 * MS), 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_failures_elsewhere_count,
		test_partial_loss,
		test_recovery,
	};

	return check_main("health", tests, sizeof(tests) / sizeof(*tests));
}
