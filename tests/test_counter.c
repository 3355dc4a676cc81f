#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "obs/counter.h"

static void teardown(void)
{
	counter_reset();
}

static int output_contains(const char *line)
{
	AUTO_BUF struct buf out = BUF_INIT;

	counter_write(&out);
	return strstr(out.data, line) != NULL;
}

/* Guards against output that is not in the Prometheus text format. */
START_TEST(test_text_format)
{
	ck_assert(output_contains(
		"# TYPE mustardwall_peers gauge\nmustardwall_peers 0\n"));
	counter_set(C_PEERS, NULL, 7);
	counter_set(C_PEERS, NULL, 3);
	counter_add(C_PEER_FRAMES, "in", 2);
	counter_add(C_PEER_FRAMES, "in", 3);
	counter_observe(C_PEER_CALL_US, NULL, 5);
	counter_observe(C_PEER_CALL_US, NULL, 20);
	ck_assert(output_contains("\nmustardwall_peers 3\n"));
	ck_assert(output_contains(
		"\nmustardwall_peer_frames_total{direction=\"in\"} 5\n"));
	ck_assert(output_contains(
		"mustardwall_peer_call_us_bucket{le=\"7\"} 1\n"
		"mustardwall_peer_call_us_bucket{le=\"15\"} 1\n"
		"mustardwall_peer_call_us_bucket{le=\"31\"} 2\n"
		"mustardwall_peer_call_us_bucket{le=\"+Inf\"} 2\n"
		"mustardwall_peer_call_us_sum 25\n"
		"mustardwall_peer_call_us_count 2\n"));
}
END_TEST

/* Guards against unbounded memory when a label takes many values. */
START_TEST(test_labels_are_bounded)
{
	char label[16];

	for (int i = 0; i < 1000; i++) {
		g_snprintf(label, sizeof(label), "r%d", i);
		counter_add(C_PEER_CLOSED, label, 1);
	}
	ck_assert_int_eq(counter_value(C_PEER_CLOSED, "r0"), 1);
	ck_assert_int_eq(counter_value(C_PEER_CLOSED, "r999"), 0);
	ck_assert_int_eq(counter_value(C_PEER_CLOSED, "other"),
			 1000 - COUNTER_MAX_LABEL_VALUES);
}
END_TEST

/* Guards against quantiles that are wrong by more than the bucket width. */
START_TEST(test_quantiles)
{
	ck_assert_int_eq(counter_quantile(C_PEER_CALL_US, NULL, 0.5), 0);
	for (int64_t base = 1; base < INT64_C(1) << 38; base *= 3) {
		counter_reset();
		for (int i = 0; i < 99; i++)
			counter_observe(C_PEER_CALL_US, NULL, base);
		counter_observe(C_PEER_CALL_US, NULL, INT64_MAX);
		int64_t p50 = counter_quantile(C_PEER_CALL_US, NULL, 0.5);
		ck_assert_int_ge(p50, base);
		ck_assert_int_le(p50, base + base / 8);
		ck_assert_int_eq(counter_quantile(C_PEER_CALL_US, NULL, 1),
				 (INT64_C(1) << 40) - 1);
	}
	counter_observe(C_PEER_CALL_US, NULL, -5);
	ck_assert_int_eq(counter_quantile(C_PEER_CALL_US, NULL, 0), 0);
}
END_TEST

/* Guards against a docs/counters.md that differs from the list of metrics. */
START_TEST(test_doc_is_current)
{
	AUTO_BUF struct buf expected = BUF_INIT;
	g_autofree char *actual = NULL;

	counter_write_doc(&expected);
	ck_assert(g_file_get_contents("docs/counters.md", &actual, NULL, NULL));
	ck_assert_msg(!strcmp(actual, expected.data),
		      "run: build/release/tests/test_counter --doc "
		      ">docs/counters.md");
}
END_TEST

int main(int argc, char **argv)
{
	if (argc > 1 && !strcmp(argv[1], "--doc")) {
		AUTO_BUF struct buf out = BUF_INIT;
		counter_write_doc(&out);
		fputs(out.data, stdout);
		return 0;
	}
	Suite *s = suite_create("counter");
	TCase *tc = tcase_create("counter");

	tcase_add_checked_fixture(tc, NULL, teardown);
	tcase_add_test(tc, test_text_format);
	tcase_add_test(tc, test_labels_are_bounded);
	tcase_add_test(tc, test_quantiles);
	tcase_add_test(tc, test_doc_is_current);
	suite_add_tcase(s, tc);
	SRunner *sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
