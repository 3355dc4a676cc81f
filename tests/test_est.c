#include <check.h>
#include <stdlib.h>
#include <glib.h>

#include "policy/est.h"

#define SEC INT64_C(1000000)

/* Draws a length of an account with mostly short and some long answers. */
static uint32_t draw_length(GRand *r)
{
	return g_rand_double(r) < 0.9 ? g_rand_int_range(r, 20, 80)
				      : g_rand_int_range(r, 2000, 6000);
}

/*
 * A quantile is not exceeded much more often than its probability allows, at
 * the start and during a generation.  Log2 buckets cause the difference.
 */
START_TEST(test_quantile_and_forecast)
{
	struct output_estimator *e = est_new(NULL);
	GRand *r = g_rand_new_with_seed(_i);
	unsigned exceeded[2] = {0, 0}, n = 2000, n_long = 0;

	for (int i = 0; i < 2000; i++)
		est_observe(e, "a", "/r", draw_length(r), i * SEC / 10);
	for (unsigned i = 0; i < n; i++) {
		struct est_query q = {"a", "/r", 0, 0};
		uint32_t len = draw_length(r);

		exceeded[0] += len > est_quantile(e, &q, 0.95, 200 * SEC);
		if (len <= 200)
			continue;
		q.produced = 200;
		n_long++;
		exceeded[1] += len - 200 > est_quantile(e, &q, 0.9, 200 * SEC);
	}
	ck_assert_uint_le(exceeded[0], n * 7 / 100);
	ck_assert_uint_le(exceeded[1], n_long * 20 / 100);
	/* The forecast agrees with the distribution of the lengths. */
	for (unsigned k = 0; k < EST_STEPS; k++) {
		struct est_query q = {"a", "/r", 0, 0};
		struct est_forecast f;
		unsigned longer = 0;

		est_forecast(e, &q, 200 * SEC, &f);
		for (unsigned i = 0; i < n; i++)
			longer += draw_length(r) > est_step_tokens[k];
		ck_assert_float_eq_tol(f.survival[k], (float)longer / n, 0.15f);
	}
	g_rand_free(r);
	est_free(e);
}
END_TEST

/*
 * The estimate of the remaining output must not shrink for a generation that
 * has run long, also if it is longer than all observed ones, but max_tokens
 * limits it.
 */
START_TEST(test_long_generation)
{
	struct output_estimator *e = est_new(NULL);
	GRand *r = g_rand_new_with_seed(7);
	struct est_query q = {"a", "/r", 0, 0},
			 beyond_all = {"a", "/r", 500000, 0};
	uint32_t at_start;

	for (int i = 0; i < 1000; i++)
		est_observe(e, "a", "/r", draw_length(r), 0);
	at_start = est_expected(e, &q, 0);
	ck_assert_uint_gt(at_start, 200);
	ck_assert_uint_lt(at_start, 900);
	q.produced = 150;
	ck_assert_uint_gt(est_expected(e, &q, 0), 3 * at_start);
	ck_assert_uint_ge(est_expected(e, &beyond_all, 0), 100000);
	q.max_tokens = 160;
	ck_assert_uint_eq(est_expected(e, &q, 0), 10);
	g_rand_free(r);
	est_free(e);
}
END_TEST

/*
 * An account without observations uses the lengths of its route, a route
 * without observations the global ones, and the number of histograms is
 * limited.
 */
START_TEST(test_fallback_and_eviction)
{
	struct est_cfg cfg = {.max_histograms = 100};
	struct output_estimator *e = est_new(&cfg);
	struct est_query new_acct = {"b", "/r", 0, 0},
			 new_route = {"b", "/x", 0, 0};
	char name[16];

	for (int i = 0; i < 200; i++)
		est_observe(e, "a", "/r", 3000, 0);
	ck_assert_uint_gt(est_expected(e, &new_acct, 0), 2000);
	ck_assert_uint_gt(est_expected(e, &new_route, 0), 2000);
	for (int i = 0; i < 500; i++) {
		g_snprintf(name, sizeof(name), "acct%d", i);
		est_observe(e, name, "/r", 10, 0);
	}
	ck_assert_uint_le(est_n_histograms(e), 100);
	est_free(e);
}
END_TEST

/* Estimates follow a change of the workload, and old observations decay. */
START_TEST(test_decay)
{
	struct output_estimator *e = est_new(NULL);
	struct est_query q = {"a", "/r", 0, 0};

	for (int i = 0; i < 5000; i++)
		est_observe(e, "a", "/r", 4000, 0);
	for (int i = 0; i < 1200; i++)
		est_observe(e, "a", "/r", 40, 0);
	ck_assert_uint_lt(est_expected(e, &q, 0), 800);
	est_observe(e, "a", "/r", 4000, 24 * 3600 * SEC);
	ck_assert_uint_gt(est_expected(e, &q, 24 * 3600 * SEC), 400);
	est_free(e);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("est");
	TCase *tc = tcase_create("est");
	SRunner *sr;
	int failed;

	tcase_add_loop_test(tc, test_quantile_and_forecast, 1, 6);
	tcase_add_test(tc, test_long_generation);
	tcase_add_test(tc, test_fallback_and_eviction);
	tcase_add_test(tc, test_decay);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
