#include <check.h>
#include <stdlib.h>
#include <glib.h>

#include "base/err.h"
#include "policy/limit.h"
#include "policy/retry.h"

#define SEC INT64_C(1000000)

/*
 * A retry must not run a request twice unless it is repeatable, nor repeat
 * output that the caller has received, nor exceed the limits on retries and
 * time.
 */
START_TEST(test_retry_rules)
{
	struct failed_request ok = {.repeatable = true};
	GRand *rand = g_rand_new_with_seed(1);
	struct failed_request c;
	struct retry_budget r;
	int64_t delay;

	retry_init(&r, NULL);
	r.tokens = 20;
	ck_assert(retry_allow(&r, &ok, rand, 0, &delay));
	c = ok;
	c.delivered = true;
	ck_assert(!retry_allow(&r, &c, rand, 0, &delay));
	c = ok;
	c.repeatable = false;
	ck_assert(!retry_allow(&r, &c, rand, 0, &delay));
	c.not_run = true;
	ck_assert(retry_allow(&r, &c, rand, 0, &delay));
	/* With an empty budget a refused connection is still retried. */
	r.tokens = 0;
	ck_assert(!retry_allow(&r, &c, rand, 0, &delay));
	c.unsent = true;
	ck_assert(retry_allow(&r, &c, rand, 0, &delay));
	r.tokens = 20;
	c = ok;
	c.retries = 3;
	ck_assert(!retry_allow(&r, &c, rand, 0, &delay));
	c = ok;
	c.deadline_us = 100;
	ck_assert(!retry_allow(&r, &c, rand, 100, &delay));
	g_rand_free(rand);
}
END_TEST

/* Retries stay within the budget if every request fails: no retry storm. */
START_TEST(test_retry_budget)
{
	GRand *rand = g_rand_new_with_seed(2);
	struct failed_request c = {.repeatable = true};
	struct retry_budget r;
	unsigned retries = 0;
	int64_t delay, sum = 0;

	retry_init(&r, NULL);
	for (int i = 0; i < 10000; i++) {
		retry_count_request(&r, i);
		if (!retry_allow(&r, &c, rand, i, &delay))
			continue;
		retries++;
		sum += delay;
		ck_assert_int_le(delay, 50000);
	}
	ck_assert_uint_le(retries, 1010);
	ck_assert_uint_ge(retries, 990);
	/* Full jitter: uniform from 0 to the backoff, 25 ms on average. */
	ck_assert_int_gt(sum / retries, 22000);
	ck_assert_int_lt(sum / retries, 28000);
	/* During a grant of the hub only its tokens fill the budget. */
	retry_add_granted_tokens(&r, 3, 20 * SEC);
	r.tokens = 3;
	for (int i = 0; i < 1000; i++)
		retry_count_request(&r, 10 * SEC);
	for (retries = 0; retry_allow(&r, &c, rand, 10 * SEC, &delay);)
		retries++;
	ck_assert_uint_eq(retries, 3);
	g_rand_free(rand);
}
END_TEST

/*
 * An account above its rates is refused without effect on other accounts, also
 * if there are more accounts than buckets.
 */
START_TEST(test_limits)
{
	struct limits *l = limit_new(100);
	struct limit_rates rates = {.requests_per_s = 10,
				    .tokens_per_s = 1000,
				    .token_burst = 1000};
	unsigned retry, admitted = 0;
	char name[16];

	for (int64_t t = 0; t < 10 * SEC; t += 10000)
		admitted += limit_admit_request(l, "a", &rates, t, &retry) == 0;
	ck_assert_uint_ge(admitted, 100);
	ck_assert_uint_le(admitted, 111);
	ck_assert_int_eq(limit_admit_request(l, "b", &rates, 10 * SEC, &retry),
			 0);
	limit_debit_tokens(l, "b", &rates, 6000, 10 * SEC);
	ck_assert_int_eq(limit_admit_request(l, "b", &rates, 10 * SEC, &retry),
			 -MW_ELIMIT);
	ck_assert_uint_eq(retry, 5);
	ck_assert_int_eq(limit_admit_request(l, "b", &rates, 16 * SEC, &retry),
			 0);
	for (int i = 0; i < 1000; i++) {
		g_snprintf(name, sizeof(name), "x%d", i);
		ck_assert_int_eq(
			limit_admit_request(l, name, &rates, 0, &retry), 0);
	}
	limit_free(l);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("retry");
	TCase *tc = tcase_create("retry");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, test_retry_rules);
	tcase_add_test(tc, test_retry_budget);
	tcase_add_test(tc, test_limits);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
