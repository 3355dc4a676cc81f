#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "base/err.h"
#include "policy/route.h"

#define SEC INT64_C(1000000)

static const char *const models[] = {"m"};
static const struct route_ops *const all_ops[] = {
	&route_prefix_load, &route_round_robin, &route_least_requests};

static struct route *new_route(const struct route_ops *ops)
{
	struct route_tuning cfg = {.dc = "d1",
				   .spill_bytes_per_s = 1000,
				   .spill_burst_bytes = 1000};

	return route_new(ops, &cfg);
}

static struct route_ep *add_endpoint(struct route *r, const char *id,
				     uint64_t inc, enum route_state state,
				     const char *dc)
{
	struct route_ep_info i = {.id = id,
				  .incarnation = inc,
				  .addr = "a",
				  .dc = dc,
				  .models = models,
				  .n_models = 1,
				  .state = state,
				  .blocks = 1000,
				  .block_tokens = 16};

	return route_upsert_endpoint(r, &i, 0);
}

static struct route_query new_query(void)
{
	struct route_query q = {.model = "m", .bytes = 600};

	return q;
}

/*
 * Guards against requests to an endpoint that was not confirmed as serving in
 * the last 3 s, or that has left, with each struct route_ops.  Random registry
 * rows, confirmations and delayed messages arrive between the choices.
 */
START_TEST(test_only_confirmed_endpoints)
{
	struct route *r = new_route(all_ops[_i % 3]);
	GRand *rand = g_rand_new_with_seed(_i);
	int64_t now = 0, confirmed[8] = {0};
	uint64_t inc[8] = {0};
	bool left[8] = {false}, serving[8] = {false};
	unsigned chosen = 0;
	char id[4] = "e0";

	for (int i = 0; i < 20000; i++) {
		unsigned e = g_rand_int_range(rand, 0, 8);
		unsigned action = g_rand_int_range(rand, 0, 12);
		struct route_query q = new_query();
		struct route_ep *ep;

		now += g_rand_int_range(rand, 0, SEC / 2);
		id[1] = (char)('0' + e);
		ep = route_find_endpoint(r, id);
		if (!ep || action == 0) {
			inc[e]++;
			add_endpoint(r, id, inc[e], ROUTE_SERVING, "d1");
			left[e] = false;
			serving[e] = true;
			confirmed[e] = -100 * SEC;
		} else if (action == 1) {
			add_endpoint(r, id, inc[e], ROUTE_LEAVING, "d1");
			left[e] = true;
		} else if (action == 2) {
			/* A delayed row must not revive an endpoint. */
			add_endpoint(r, id, inc[e] - 1, ROUTE_SERVING, "d1");
			if (left[e])
				add_endpoint(r, id, inc[e], ROUTE_SERVING,
					     "d1");
		} else if (action == 3 && left[e]) {
			route_remove_endpoint(r, id);
			add_endpoint(r, id, inc[e], ROUTE_SERVING, "d1");
			confirmed[e] = -100 * SEC;
			serving[e] = true;
		} else if (action == 4) {
			add_endpoint(r, id, inc[e], ROUTE_STALE, "d1");
			serving[e] = false;
		} else if (action == 5) {
			route_confirm_registry(r, now);
			for (int k = 0; k < 8; k++)
				if (serving[k])
					confirmed[k] = now;
		} else if (action == 6) {
			route_set_observed_state(ep, inc[e] - 1, ROUTE_SERVING,
						 now);
		} else if (action == 7) {
			route_set_observed_state(ep, inc[e], ROUTE_SERVING,
						 now);
			confirmed[e] = now;
			serving[e] = true;
		}
		if (route_choose(r, &q, now, &ep) < 0)
			continue;
		chosen++;
		e = route_ep_id(ep)[1] - '0';
		ck_assert(!left[e] && serving[e]);
		ck_assert_int_lt(now - confirmed[e], 3 * SEC);
	}
	ck_assert_uint_gt(chosen, 1000);
	route_free(r);
	g_rand_free(rand);
}
END_TEST

/* Guards against requests with the same prefix on different endpoints. */
START_TEST(test_prefix_affinity)
{
	struct route *r = new_route(&route_prefix_load);
	struct route_ep *first = NULL, *ep, *other;
	uint64_t p[8], half_shared[8];
	struct route_query q = new_query();
	struct route_stream s = {0};
	char id[8];

	for (int i = 0; i < 10; i++) {
		g_snprintf(id, sizeof(id), "e%d", i);
		add_endpoint(r, id, 1, ROUTE_SERVING, "d1");
	}
	route_confirm_registry(r, 0);
	for (int i = 0; i < 8; i++) {
		p[i] = 1000 + i;
		half_shared[i] = i < 4 ? p[i] : 5000u + i;
	}
	q.prefixes = p;
	q.n_prefixes = 8;
	for (int i = 0; i < 20; i++) {
		ck_assert_int_eq(route_choose(r, &q, 0, &ep), 0);
		if (!first)
			first = ep;
		ck_assert_ptr_eq(ep, first);
	}
	/* A cached prefix outweighs the rendezvous endpoint. */
	other = route_find_endpoint(
		r, first == route_find_endpoint(r, "e3") ? "e4" : "e3");
	route_cache_added(r, other, 5, p[7]);
	route_choose(r, &q, 0, &ep);
	ck_assert_ptr_eq(ep, other);
	/* Event 4, an addition, arrives after event 6, the removal. */
	route_cache_removed(r, other, 6, p[7]);
	route_cache_added(r, other, 4, p[7]);
	route_choose(r, &q, 0, &ep);
	ck_assert_ptr_eq(ep, first);
	/* Half of the prefix in common also outweighs it. */
	route_cache_added(r, other, 9, p[3]);
	q.prefixes = half_shared;
	route_choose(r, &q, 0, &ep);
	ck_assert_ptr_eq(ep, other);
	/* Load outweighs affinity. */
	route_stream_started(r, other, &s, &q, 900, 0);
	route_choose(r, &q, 0, &ep);
	ck_assert_ptr_ne(ep, other);
	route_stream_finished(&s);
	route_free(r);
}
END_TEST

/*
 * Guards against herding: this host's dispatches count towards the load before
 * a load report includes them.
 */
START_TEST(test_unreported_dispatches_count)
{
	struct route *r = new_route(&route_prefix_load);
	struct route_load load = {1, 0, 100, 1000};
	struct route_stream s[90] = {0};
	struct route_query q = new_query();
	unsigned n[3] = {0};
	char id[4] = "e0";

	for (int i = 0; i < 3; i++) {
		id[1] = (char)('0' + i);
		route_load_report(r,
				  add_endpoint(r, id, 1, ROUTE_SERVING, "d1"),
				  &load, 0);
	}
	route_confirm_registry(r, 0);
	for (int i = 0; i < 90; i++) {
		struct route_ep *ep;

		ck_assert_int_eq(route_choose(r, &q, i, &ep), 0);
		route_stream_started(r, ep, &s[i], &q, 20, i);
		n[route_ep_id(ep)[1] - '0']++;
	}
	for (int i = 0; i < 3; i++) {
		ck_assert_uint_ge(n[i], 20);
		ck_assert_uint_le(n[i], 40);
	}
	route_free(r);
	ck_assert_ptr_null(s[0].ep);
}
END_TEST

/* Guards against requests to an endpoint that is stalled or very slow. */
START_TEST(test_stalled_and_slow)
{
	struct route *r = new_route(&route_prefix_load);
	struct route_stream s[4] = {0};
	struct route_query q = new_query();
	struct route_ep *e[4], *ep;
	char id[4] = "e0";
	int64_t now = 0;

	for (int i = 0; i < 4; i++) {
		id[1] = (char)('0' + i);
		e[i] = add_endpoint(r, id, 1, ROUTE_SERVING, "d1");
		route_stream_started(r, e[i], &s[i], &q, 10, 0);
	}
	/* A token takes 50 ms, on e1 four times as long. */
	for (now = 0; now < 4 * SEC; now += 50000)
		for (int i = 0; i < 4; i++)
			if (i != 1 || now % 200000 == 0)
				route_stream_token(&s[i], now);
	route_confirm_registry(r, now);
	route_stream_set_paused(&s[2], true, now);
	for (int k = 0; k < 20; k++) {
		now += 50000;
		route_stream_token(&s[3], now);
		if (k % 4 == 3)
			route_stream_token(&s[1], now);
		ck_assert_int_eq(route_choose(r, &q, now, &ep), 0);
		ck_assert_ptr_ne(ep, e[1]);
	}
	/* Neither e0 nor e2 sent a token for 1 s; e2's stream is paused. */
	ck_assert(route_is_stalled(r, e[0], now));
	ck_assert(!route_is_stalled(r, e[2], now));
	ck_assert_ptr_ne(ep, e[0]);
	route_stream_token(&s[0], now);
	ck_assert(!route_is_stalled(r, e[0], now));
	route_free(r);
}
END_TEST

/* Guards against requests to an endpoint that asked for a pause, and against a
 * pause that outlives the endpoint's incarnation. */
START_TEST(test_paused)
{
	struct route *r = new_route(&route_prefix_load);
	struct route_query q = new_query();
	struct route_ep *e = add_endpoint(r, "e", 1, ROUTE_SERVING, "d1"), *ep;

	route_confirm_registry(r, 0);
	route_pause(e, 2 * SEC, 0);
	route_pause(e, SEC, 0);
	ck_assert_int_lt(route_choose(r, &q, 2 * SEC - 1, &ep), 0);
	ck_assert_int_eq(route_choose(r, &q, 2 * SEC, &ep), 0);
	route_pause(e, 2 * SEC, 2 * SEC);
	ck_assert_int_lt(route_choose(r, &q, 2 * SEC, &ep), 0);
	add_endpoint(r, "e", 2, ROUTE_SERVING, "d1");
	route_confirm_registry(r, 2 * SEC);
	ck_assert_int_eq(route_choose(r, &q, 2 * SEC, &ep), 0);
	route_free(r);
}
END_TEST

/*
 * Guards against requests to another data centre while a local endpoint has
 * room, before the wait is over, or beyond the byte budget.
 */
START_TEST(test_spill_when_local_full)
{
	struct route *r = new_route(&route_prefix_load);
	struct credit *c = credit_new(&credit_leased, NULL);
	struct route_ep *local = add_endpoint(r, "n", 1, ROUTE_SERVING, "d1"),
			*ep;
	struct route_ep *remote = add_endpoint(r, "f", 1, ROUTE_SERVING, "d2");
	struct route_query q = new_query();
	struct route_stream s = {0};
	struct credit_ep_info local_info = {"n", 1, 1000, 16, 0, NULL, false};
	struct credit_ep_info remote_info = {"f", 1, 1000, 16, 0, NULL, false};
	int64_t now = 100 * SEC;

	q.credit = c;
	q.need.prompt_tokens = 100;
	route_set_credit(local, credit_set_endpoint(c, &local_info, 0));
	route_set_credit(remote, credit_set_endpoint(c, &remote_info, 0));
	route_confirm_registry(r, now);
	ck_assert_int_eq(route_choose(r, &q, now, &ep), 0);
	ck_assert_ptr_eq(ep, local);
	credit_set_grant(credit_find_endpoint(c, "n"), 0, now + SEC);
	ck_assert_int_eq(route_choose(r, &q, now, &ep), -MW_EAGAIN);
	q.waited_us = SEC;
	ck_assert_int_eq(route_choose(r, &q, now, &ep), 0);
	ck_assert_ptr_eq(ep, remote);
	route_stream_started(r, ep, &s, &q, 7, now);
	ck_assert_int_eq(route_choose(r, &q, now, &ep), -MW_EAGAIN);
	ck_assert_int_eq(route_choose(r, &q, now + SEC / 2, &ep), 0);
	ck_assert_int_eq(route_choose(r, &q, now + 3 * SEC, &ep),
			 -MW_ENOENDPOINT);
	route_free(r);
	credit_free(c);
}
END_TEST

/*
 * Guards against headroom that is kept on each endpoint instead of once per
 * host, and against lower ranks or backlogged accounts that use it up.
 */
START_TEST(test_headroom_once_per_host)
{
	struct route *r = new_route(&route_prefix_load);
	struct credit *c = credit_new(&credit_leased, NULL);
	struct route_query urgent = new_query(), lower = new_query();
	struct credit_reservation first, res[64];
	struct credit_ep_info info[2] = {
		{"a", 1, 1000, 16, 0, NULL, false},
		{"b", 1, 1000, 16, 0, NULL, false},
	};
	struct route_ep *ep[2], *got;
	int64_t now = 100 * SEC;
	unsigned n = 0;

	for (unsigned k = 0; k < 2; k++) {
		ep[k] = add_endpoint(r, info[k].id, 1, ROUTE_SERVING, "d1");
		route_set_credit(ep[k], credit_set_endpoint(c, &info[k], 0));
	}
	route_confirm_registry(r, now);
	urgent.credit = lower.credit = c;
	/* 50 blocks a request; 900 of an endpoint's 1,000 are usable. */
	urgent.need.prompt_tokens = lower.need.prompt_tokens = 50 * 16 - 8;
	lower.need.rank = 1;
	lower.need.bulk = true;
	ck_assert_int_eq(route_choose(r, &urgent, now, &got), 0);
	credit_reserve(credit_find_endpoint(c, route_ep_id(got)), &first,
		       &urgent.need);
	while (route_choose(r, &lower, now, &got) == 0)
		credit_reserve(credit_find_endpoint(c, route_ep_id(got)),
			       &res[n++], &lower.need);
	/* Both endpoints are full but for room for one urgent request. */
	ck_assert_uint_eq(n, 36 - 1 - 1);
	ck_assert_int_eq(route_choose(r, &urgent, now, &got), 0);

	/* And a tenth of 1,800 blocks for accounts below their share. */
	while (n--)
		credit_release(&res[n]);
	lower.need.bulk = false;
	credit_reserve(credit_find_endpoint(c, "a"), &res[0], &lower.need);
	lower.need.bulk = lower.need.keep_headroom = true;
	for (n = 1; route_choose(r, &lower, now, &got) == 0; n++)
		credit_reserve(credit_find_endpoint(c, route_ep_id(got)),
			       &res[n], &lower.need);
	ck_assert_uint_eq(n, 36 - 1 - 5);
	lower.need.keep_headroom = false;
	ck_assert_int_eq(route_choose(r, &lower, now, &got), 0);

	/* On a small credit the headroom is at most a tenth of it. */
	while (n--)
		credit_release(&res[n]);
	credit_release(&first);
	credit_set_grant(credit_find_endpoint(c, "a"), 100, now + SEC);
	credit_set_grant(credit_find_endpoint(c, "b"), 0, now + SEC);
	lower.need.prompt_tokens = 45 * 16 - 8;
	for (n = 0; route_choose(r, &lower, now, &got) == 0; n++)
		credit_reserve(credit_find_endpoint(c, route_ep_id(got)),
			       &res[n], &lower.need);
	ck_assert_uint_eq(n, 2);
	route_free(r);
	credit_free(c);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("route");
	TCase *tc = tcase_create("route");
	SRunner *sr;
	int failed;

	tcase_add_loop_test(tc, test_only_confirmed_endpoints, 0, 9);
	tcase_add_test(tc, test_prefix_affinity);
	tcase_add_test(tc, test_unreported_dispatches_count);
	tcase_add_test(tc, test_stalled_and_slow);
	tcase_add_test(tc, test_paused);
	tcase_add_test(tc, test_spill_when_local_full);
	tcase_add_test(tc, test_headroom_once_per_host);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
