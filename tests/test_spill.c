#include <check.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "base/err.h"
#include "policy/credit.h"
#include "policy/route.h"
#include "policy/spill.h"

#define SEC INT64_C(1000000)

static struct spill_cfg new_config(uint64_t rate, uint64_t burst)
{
	struct spill_cfg cfg = {.bytes_per_s = rate, .burst_bytes = burst};

	for (unsigned r = 0; r < QUEUE_RANKS; r++)
		cfg.rank_percent[r] = 100;
	return cfg;
}

/*
 * Guards against more bytes than burst + rate * time plus the excess of running
 * requests over their forecasts.
 */
START_TEST(test_bytes_are_bounded)
{
	struct spill_cfg cfg = new_config(10000, 50000);
	struct spill_budget b;
	struct spill_reservation res[64] = {0};
	uint64_t unsent[64] = {0}, tokens[64] = {0};
	GRand *rand = g_rand_new_with_seed((guint32)_i);
	int64_t now = 0;

	spill_init(&b, &cfg);
	for (int step = 0; step < 20000; step++) {
		unsigned i = (unsigned)g_rand_int_range(rand, 0, 64);
		unsigned rank = i % QUEUE_RANKS;

		now += g_rand_int_range(rand, 0, 20000);
		if (!res[i].active) {
			tokens[i] = (uint64_t)g_rand_int_range(rand, 1, 100);
			uint64_t bytes =
				spill_forecast(&b, 100, (double)tokens[i]);

			if (!spill_allows(&b, rank, bytes, now))
				continue;
			spill_reserve(&b, &res[i], rank, bytes, now);
			/* Actual: a quarter to three times the forecast. */
			unsent[i] =
				(uint64_t)((double)bytes *
					   g_rand_double_range(rand, 0.25, 3));
		} else if (unsent[i]) {
			uint64_t n = MIN(unsent[i], 500);

			spill_record_bytes(&b, &res[i], n);
			unsent[i] -= n;
		} else {
			spill_settle(&b, &res[i], tokens[i]);
			spill_settle(&b, &res[i], tokens[i]);
		}
		ck_assert_double_le(b.total.balance_bytes, 50000);
		/* Bytes beyond the allowance must show as a debt. */
		ck_assert_double_le((double)b.bytes_transferred,
				    50000 + 10000 * (double)now / 1e6 -
					    fmin(b.total.balance_bytes, 0) + 1);
	}
	ck_assert_uint_gt(b.requests_charged, 100);
	/* And most of the rate is usable. */
	ck_assert_double_ge((double)b.bytes_transferred,
			    0.5 * 10000 * (double)now / 1e6);
	g_rand_free(rand);
}
END_TEST

/*
 * Guards against a debt that is lost, and against a forecast that is not
 * refunded or refunded twice.
 */
START_TEST(test_settled_by_actual_bytes)
{
	struct spill_cfg cfg = new_config(1000, 10000);
	struct spill_budget b;
	struct spill_reservation res = {0};

	spill_init(&b, &cfg);
	ck_assert_uint_eq(spill_available(&b, 0, 0), 10000);
	spill_reserve(&b, &res, 0, 8000, 0);
	ck_assert_uint_eq(spill_available(&b, 0, 0), 2000);
	spill_record_bytes(&b, &res, 3000);
	ck_assert_uint_eq(spill_available(&b, 0, 0), 2000);
	spill_settle(&b, &res, 20);
	ck_assert_uint_eq(spill_available(&b, 0, 0), 7000);
	spill_settle(&b, &res, 20);
	ck_assert_uint_eq(spill_available(&b, 0, 0), 7000);

	spill_reserve(&b, &res, 0, 7000, 0);
	spill_record_bytes(&b, &res, 6000);
	spill_record_bytes(&b, &res, 4000);
	ck_assert_uint_eq(spill_available(&b, 0, 0), 0);
	ck_assert(!spill_allows(&b, 0, 1, 0));
	/* The refill makes up for 3,000 bytes beyond the forecast in 3 s. */
	ck_assert_uint_eq(spill_available(&b, 0, 3 * SEC), 0);
	ck_assert_uint_eq(spill_available(&b, 0, 4 * SEC), 1000);
	spill_settle(&b, &res, 20);
	ck_assert_uint_eq(spill_available(&b, 0, 4 * SEC), 1000);
	ck_assert_uint_eq(b.bytes_transferred, 13000);
	/* A request whose charge has ended counts nothing. */
	spill_record_bytes(&b, &res, 100);
	ck_assert_uint_eq(b.bytes_transferred, 13000);
}
END_TEST

/* Guards against spill without a budget, or by a rank beyond its share. */
START_TEST(test_limits)
{
	struct spill_cfg cfg = new_config(0, 10000);
	struct spill_budget b;
	struct spill_reservation res = {0};

	spill_init(&b, &cfg);
	ck_assert(!spill_allows(&b, 0, 0, SEC));
	ck_assert_uint_eq(spill_available(&b, 0, SEC), 0);

	cfg = new_config(1000, 10000);
	cfg.rank_percent[1] = 20;
	cfg.rank_percent[2] = 0;
	spill_configure(&b, &cfg, SEC);
	ck_assert_uint_eq(spill_available(&b, 0, SEC), 10000);
	ck_assert_uint_eq(spill_available(&b, 1, SEC), 2000);
	ck_assert(!spill_allows(&b, 2, 1, SEC));
	spill_reserve(&b, &res, 1, 2000, SEC);
	ck_assert_uint_eq(spill_available(&b, 1, SEC), 0);
	ck_assert_uint_eq(spill_available(&b, 0, SEC), 8000);
	/* Configuring the same limits again does not refill. */
	spill_configure(&b, &cfg, SEC);
	ck_assert_uint_eq(spill_available(&b, 0, SEC), 8000);
	/* A smaller burst cuts the balance; rate 0 stops at once. */
	cfg.burst_bytes = 500;
	spill_configure(&b, &cfg, SEC);
	ck_assert_uint_eq(spill_available(&b, 0, SEC), 500);
	cfg.bytes_per_s = 0;
	spill_configure(&b, &cfg, SEC);
	ck_assert(!spill_allows(&b, 0, 0, 100 * SEC));
	ck_assert_uint_eq(spill_available(&b, QUEUE_RANKS, SEC), 0);
}
END_TEST

static struct route_ep *add_endpoint(struct route *r, struct credit *c,
				     const char *id, const char *dc)
{
	static const char *const models[] = {"m"};
	struct route_ep_info info = {.id = id,
				     .incarnation = 1,
				     .addr = "http://10.0.0.1:1",
				     .dc = dc,
				     .models = models,
				     .n_models = 1,
				     .state = ROUTE_SERVING,
				     .blocks = 1000,
				     .remote = strcmp(dc, "d1") != 0};
	struct credit_ep_info ci = {id, 1, 1000, 16, 0, NULL, false};
	struct route_ep *ep = route_upsert_endpoint(r, &info, 0);
	struct credit_ep *cep = credit_set_endpoint(c, &ci, -100 * SEC);

	credit_set_remote(cep, info.remote);
	route_set_credit(ep, cep);
	return ep;
}

/*
 * Guards against requests to a remote endpoint without a granted credit (by the
 * safe share), on a confirmation by the local registry, before the wait is
 * over, or for calls that must stay in their data centre.
 */
START_TEST(test_route_to_remote)
{
	struct route_tuning rc = {.dc = "d1", .spill_bytes_per_s = 10000};
	struct route *r = route_new(&route_prefix_load, &rc);
	struct credit *c = credit_new(&credit_leased, NULL);
	struct route_ep *remote = add_endpoint(r, c, "remote", "d2"), *local,
			*ep;
	struct route_query q = {.model = "m", .credit = c, .bytes = 1000};
	struct route_stream s = {0};
	int64_t now = 100 * SEC;

	q.need.prompt_tokens = 100;
	route_confirm_registry(r, now);
	credit_set_grant(credit_find_endpoint(c, "remote"), 500, now + 2 * SEC);
	ck_assert_int_eq(route_choose(r, &q, now, &ep), -MW_ENOENDPOINT);
	route_set_observed_state(remote, 1, ROUTE_SERVING, now - SEC);
	/* No wait: there is no local endpoint. */
	ck_assert_int_eq(route_choose(r, &q, now, &ep), 0);
	ck_assert_ptr_eq(ep, remote);
	q.local_only = true;
	ck_assert_int_eq(route_choose(r, &q, now, &ep), -MW_ENOENDPOINT);
	q.local_only = false;
	/* The credit expires before the confirmation does. */
	route_set_observed_state(remote, 1, ROUTE_SERVING, now + 2 * SEC);
	ck_assert_int_eq(route_choose(r, &q, now + 2 * SEC - 1, &ep), 0);
	ck_assert_int_eq(route_choose(r, &q, now + 2 * SEC, &ep), -MW_EAGAIN);
	ck_assert_uint_eq(credit_limit_blocks(c,
					      credit_find_endpoint(c, "remote"),
					      now + 3 * SEC),
			  0);

	local = add_endpoint(r, c, "local", "d1");
	route_set_observed_state(local, 1, ROUTE_SERVING, now);
	credit_set_grant(credit_find_endpoint(c, "local"), 0, now + 2 * SEC);
	ck_assert_int_eq(route_choose(r, &q, now, &ep), -MW_EAGAIN);
	q.waited_us = SEC / 2;
	ck_assert_int_eq(route_choose(r, &q, now, &ep), 0);
	ck_assert_ptr_eq(ep, remote);
	/* The local endpoint comes first as soon as it has room. */
	credit_set_grant(credit_find_endpoint(c, "local"), 500, now + 2 * SEC);
	ck_assert_int_eq(route_choose(r, &q, now, &ep), 0);
	ck_assert_ptr_eq(ep, local);
	route_stream_started(r, ep, &s, &q, 7, now);
	ck_assert(!s.spill.active);
	route_stream_finished(&s);
	credit_set_grant(credit_find_endpoint(c, "local"), 0, now + 2 * SEC);
	/* The forecast is charged and settled. */
	route_stream_started(r, remote, &s, &q, 7, now);
	ck_assert(s.spill.active);
	ck_assert_uint_eq(spill_available(route_spill_budget(r), 0, now),
			  99000);
	route_stream_finished(&s);
	spill_settle(route_spill_budget(r), &s.spill, 0);
	ck_assert_uint_eq(spill_available(route_spill_budget(r), 0, now),
			  100000);
	route_free(r);
	credit_free(c);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("spill");
	TCase *tc = tcase_create("spill");
	SRunner *sr;
	int failed;

	tcase_add_loop_test(tc, test_bytes_are_bounded, 0, 20);
	tcase_add_test(tc, test_settled_by_actual_bytes);
	tcase_add_test(tc, test_limits);
	tcase_add_test(tc, test_route_to_remote);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
