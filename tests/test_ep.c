#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "endpoint/ep.h"

#define GENERATION "0123456789abcdef0123456789abcdef"
#define LOAD                                                                   \
	"{\"running\":3,\"waiting\":1,\"blocks_used\":120,\"blocks\":512,"     \
	"\"state\":\"serving\""

static int parse(const char *data, struct ep_event *ev)
{
	return ep_openai.parse_event("load", data, strlen(data), ev);
}

/* Guards against rejecting load reports that have no generation part. */
START_TEST(test_load_without_generation)
{
	struct ep_event ev;

	ck_assert_int_eq(parse(LOAD "}", &ev), 0);
	ck_assert_int_eq(ev.kind, EP_LOAD);
	ck_assert_uint_eq(ev.load.running, 3);
	ck_assert_str_eq(ev.load.generation, "");
	ep_event_release(&ev);
}
END_TEST

/* Guards against losing the preemption counters of a load report. */
START_TEST(test_load_reports_preemption)
{
	struct ep_event ev;

	ck_assert_int_eq(parse(LOAD ",\"generation\":{\"g\":\"" GENERATION
				    "\",\"preemptions\":2,\"stall_us\":7000,"
				    "\"stalled\":true}}",
			       &ev),
			 0);
	ck_assert_str_eq(ev.load.generation, GENERATION);
	ck_assert_uint_eq(ev.load.preemptions, 2);
	ck_assert_uint_eq(ev.load.stall_us, 7000);
	ck_assert(ev.load.stalled);
	ep_event_release(&ev);
}
END_TEST

/* Guards against accepting a load report with a malformed generation. */
START_TEST(test_malformed_generation_is_rejected)
{
	static const char *const bad[] = {
		LOAD ",\"generation\":{}}",
		LOAD ",\"generation\":{\"g\":\"12\"}}",
		LOAD ",\"generation\":{\"g\":\"" GENERATION
		     "\",\"preemptions\":-1}}",
		LOAD ",\"generation\":{\"g\":\"" GENERATION
		     "\",\"preemptions\":1,\"stall_us\":1,\"stalled\":1}}",
	};
	struct ep_event ev;

	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		ck_assert_int_eq(parse(bad[i], &ev), -MW_EINVAL);
		ep_event_release(&ev);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("ep");
	TCase *tc = tcase_create("events");

	tcase_add_test(tc, test_load_without_generation);
	tcase_add_test(tc, test_load_reports_preemption);
	tcase_add_test(tc, test_malformed_generation_is_rejected);
	suite_add_tcase(s, tc);
	SRunner *sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
