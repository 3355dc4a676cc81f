#include <check.h>
#include <stdlib.h>
#include <glib.h>

#include "policy/credit.h"

#define SEC INT64_C(1000000)

static struct credit_ep_info endpoint_info(uint64_t incarnation, bool loading)
{
	struct credit_ep_info i = {"e1", incarnation, 1000,   16,
				   0,	 "v1",	      loading};

	return i;
}

/*
 * A request that needs exactly `tokens` tokens of memory, all at once; the
 * forecast adds half a block, that is 8 tokens.
 */
static struct credit_need make_need(uint32_t tokens, unsigned rank)
{
	struct credit_need n = {.prompt_tokens = tokens - 8, .rank = rank};

	n.output_forecast.survival[0] = 1;
	return n;
}

/*
 * Without a hub a host reserves no more than its safe share; otherwise the
 * hosts together would overload the endpoint.
 */
START_TEST(test_safe_share)
{
	struct credit_cfg cfg = {.hosts = 9};
	struct credit *c = credit_new(&credit_leased, &cfg);
	struct credit_ep_info i = endpoint_info(1, false);
	struct credit_ep *ep = credit_set_endpoint(c, &i, 0);
	struct credit_need big = make_need(16 * 300, 0),
			   small = make_need(16 * 10, 0);
	struct credit_reservation res[12] = {0};
	int n = 0;
	int64_t now = 10 * SEC;

	ck_assert_uint_eq(credit_limit_blocks(c, ep, now), 100);
	/* The first request is admitted even if it exceeds the share. */
	ck_assert(credit_fits(c, ep, &big, now));
	while (n < 12 && credit_fits(c, ep, &small, now))
		credit_reserve(ep, &res[n++], &small);
	/* Urgent requests may use the margin in addition. */
	ck_assert_int_eq(n, 11);
	credit_release(&res[0]);
	credit_release(&res[0]);
	ck_assert_uint_eq(credit_reserved_blocks(ep), 100);
	ck_assert(credit_fits(c, ep, &small, now));
	credit_set_hosts(c, 90);
	ck_assert(!credit_fits(c, ep, &small, now));
	credit_free(c);
	ck_assert_ptr_null(res[1].ep);
}
END_TEST

/* A grant is not used beyond its size or after its lease has expired. */
START_TEST(test_grant_lease)
{
	struct credit_cfg cfg = {.hosts = 100};
	struct credit *c = credit_new(&credit_leased, &cfg);
	struct credit_ep_info i = endpoint_info(1, false);
	struct credit_ep *ep = credit_set_endpoint(c, &i, 0);
	struct credit_need n0 = make_need(16 * 100, 0),
			   n1 = make_need(16 * 100, 1);
	struct credit_reservation a = {0}, b = {0};
	int64_t now = 10 * SEC;

	credit_set_grant(ep, 200, now + 2 * SEC);
	credit_reserve(ep, &a, &n0);
	/* The rest is headroom for urgent requests of small accounts. */
	n1.headroom_blocks = 1;
	ck_assert(!credit_fits(c, ep, &n1, now));
	n0.bulk = true;
	n0.headroom_blocks = 1;
	ck_assert(!credit_fits(c, ep, &n0, now));
	n0.bulk = false;
	n0.headroom_blocks = 0;
	ck_assert(credit_fits(c, ep, &n0, now));
	credit_reserve(ep, &b, &n0);
	ck_assert(!credit_fits(c, ep, &n0, now));
	credit_release(&b);
	ck_assert(!credit_fits(c, ep, &n0, now + 2 * SEC));
	/* With a grant of 0 blocks the safe share does not apply. */
	credit_release(&a);
	credit_set_grant(ep, 0, now + 2 * SEC);
	ck_assert(!credit_fits(c, ep, &n0, now));
	credit_revoke_grants(c);
	ck_assert(credit_fits(c, ep, &n0, now));
	credit_free(c);
}
END_TEST

/*
 * An urgent request may be placed in memory of generations of lower ranks,
 * which the endpoint preempts if need be, instead of waiting for them to end.
 * Requests of lower ranks and of bulk accounts may not.
 */
START_TEST(test_urgent_beyond_credit)
{
	struct credit_cfg cfg = {.hosts = 1};
	struct credit *c = credit_new(&credit_leased, &cfg);
	struct credit_ep_info i = endpoint_info(1, false);
	struct credit_ep *ep = credit_set_endpoint(c, &i, 0);
	struct credit_need lower = make_need(16 * 300, 1);
	struct credit_need urgent = make_need(16 * 200, 0);
	struct credit_reservation res[3] = {0}, more[3] = {0};
	int64_t now = 10 * SEC;

	for (unsigned k = 0; k < 3; k++) {
		ck_assert(credit_fits(c, ep, &lower, now));
		credit_reserve(ep, &res[k], &lower);
	}
	ck_assert_float_eq(credit_free_blocks(c, ep, now), 0);
	ck_assert(!credit_fits(c, ep, &lower, now));
	urgent.bulk = true;
	ck_assert(!credit_fits(c, ep, &urgent, now));
	urgent.bulk = false;
	for (unsigned k = 0; k < 3; k++) {
		ck_assert(credit_fits(c, ep, &urgent, now));
		credit_reserve(ep, &more[k], &urgent);
	}
	ck_assert(credit_fits(c, ep, &urgent, now));
	credit_release(&more[0]);
	credit_release(&more[1]);
	credit_release(&res[0]);
	credit_release(&res[1]);
	credit_release(&res[2]);
	ck_assert_float_eq(credit_free_blocks(c, ep, now), 700);
	urgent.prompt_tokens += 16 * 700;
	ck_assert(!credit_fits(c, ep, &urgent, now));
	ck_assert_float_eq(credit_typical_blocks(ep, false), 200);
	ck_assert_float_eq(credit_typical_blocks(ep, true), 300);
	/* Requests of bulk accounts do not change the typical size. */
	lower = make_need(16 * 100, 1);
	lower.bulk = true;
	credit_reserve(ep, &res[0], &lower);
	ck_assert_float_eq(credit_typical_blocks(ep, true), 300);
	credit_free(c);
}
END_TEST

/* The limit ramps up on an endpoint that has joined or loaded a model. */
START_TEST(test_ramp_up)
{
	struct credit_cfg cfg = {.hosts = 1};
	struct credit *c = credit_new(&credit_leased, &cfg);
	struct credit_ep_info i = endpoint_info(1, true);
	struct credit_ep *ep = credit_set_endpoint(c, &i, 0);
	struct credit_need n = make_need(160, 0);
	int64_t now = 100 * SEC;

	ck_assert(!credit_fits(c, ep, &n, now));
	credit_set_loading(ep, false, now);
	ck_assert_uint_eq(credit_limit_blocks(c, ep, now), 900 / 8);
	ck_assert_uint_eq(credit_limit_blocks(c, ep, now + 2 * SEC), 900 / 4);
	ck_assert_uint_eq(credit_limit_blocks(c, ep, now + 4 * SEC), 900 / 2);
	ck_assert_uint_eq(credit_limit_blocks(c, ep, now + 6 * SEC), 900);
	i.loading = false;
	i.model_version = "v2";
	now += 10 * SEC;
	credit_set_endpoint(c, &i, now);
	ck_assert_uint_eq(credit_limit_blocks(c, ep, now), 900 / 8);
	credit_free(c);
}
END_TEST

/*
 * Reservations of an old incarnation do not block the new one, and updates of
 * a growing generation are due at most every two blocks.
 */
START_TEST(test_updates_and_new_incarnation)
{
	struct credit *c = credit_new(&credit_leased, NULL);
	struct credit_ep_info i = endpoint_info(1, false);
	struct credit_ep *ep = credit_set_endpoint(c, &i, 0);
	struct credit_need n = make_need(320, 0);
	struct credit_reservation res = {0};
	unsigned due = 0;

	credit_reserve(ep, &res, &n);
	ck_assert_uint_eq(credit_reserved_blocks(ep), 20);
	for (uint32_t out = 1; out <= 4000; out++) {
		if (!credit_update_due(&res, out))
			continue;
		due++;
		credit_update(&res, out, &n.output_forecast);
		ck_assert_float_ge(res.mean_blocks[0] * 16, 312 + out);
	}
	ck_assert_uint_le(due, 130);
	ck_assert_uint_eq(credit_reserved_blocks(ep),
			  credit_reservation_blocks(&res));
	i = endpoint_info(2, false);
	ep = credit_set_endpoint(c, &i, 0);
	ck_assert_uint_eq(credit_reserved_blocks(ep), 0);
	ck_assert_ptr_null(res.ep);
	credit_update(&res, 1, &n.output_forecast);
	credit_release(&res);
	credit_free(c);
}
END_TEST

/*
 * The host does not exceed the endpoint's batch size, and a request larger than
 * the endpoint's memory is placed instead of waiting forever.
 */
START_TEST(test_batch_size_and_oversized_request)
{
	struct credit *c = credit_new(&credit_leased, NULL);
	struct credit_ep_info i = endpoint_info(1, false);
	struct credit_need small = make_need(16, 0),
			   huge = make_need(16 * 5000, 0);
	struct credit_reservation res[64] = {0};
	struct credit_ep *ep;
	int n = 0;

	i.max_batch = 32;
	ep = credit_set_endpoint(c, &i, 0);
	credit_set_grant(ep, 900, 20 * SEC);
	ck_assert(credit_fits(c, ep, &huge, 10 * SEC));
	while (n < 64 && credit_fits(c, ep, &small, 10 * SEC))
		credit_reserve(ep, &res[n++], &small);
	ck_assert_int_eq(n, 32);
	/* Headroom takes batch slots, but at most a fifth of them. */
	for (unsigned kept = 4; kept <= 40; kept += 36) {
		while (n)
			credit_release(&res[--n]);
		small.bulk = true;
		small.headroom_slots = kept;
		while (n < 64 && credit_fits(c, ep, &small, 10 * SEC))
			credit_reserve(ep, &res[n++], &small);
		ck_assert_int_eq(n, kept == 4 ? 28 : 26);
	}
	credit_free(c);
}
END_TEST

/*
 * A reservation counts the expected length and not the longest one: of
 * generations of which 30% become long, fewer fit than of short ones, but more
 * than twice as many as of generations that all become long.
 */
START_TEST(test_sum_of_forecasts)
{
	struct credit *c = credit_new(&credit_leased, NULL);
	struct credit_ep_info i = endpoint_info(1, false);
	struct credit_ep *ep = credit_set_endpoint(c, &i, 0);
	struct credit_need n = {.prompt_tokens = 100, .bulk = true};
	struct credit_reservation res[200] = {0};
	unsigned fit[3] = {0};

	for (unsigned k = 0; k < 3; k++) {
		static const float tail[] = {0, 0.3f, 1};
		unsigned m = 0;

		for (unsigned t = 0; t < EST_STEPS; t++)
			n.output_forecast.survival[t] = t < 2	? 1
							: t < 5 ? tail[k]
								: 0;
		while (m < 200 && credit_fits(c, ep, &n, 100 * SEC))
			credit_reserve(ep, &res[m++], &n);
		fit[k] = m;
		while (m)
			credit_release(&res[--m]);
		ck_assert_uint_eq(credit_reserved_blocks(ep), 0);
	}
	ck_assert_uint_gt(fit[0], fit[1]);
	ck_assert_uint_gt(fit[1], 2 * fit[2]);
	credit_free(c);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("credit");
	TCase *tc = tcase_create("credit");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, test_safe_share);
	tcase_add_test(tc, test_grant_lease);
	tcase_add_test(tc, test_urgent_beyond_credit);
	tcase_add_test(tc, test_ramp_up);
	tcase_add_test(tc, test_updates_and_new_incarnation);
	tcase_add_test(tc, test_batch_size_and_oversized_request);
	tcase_add_test(tc, test_sum_of_forecasts);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
