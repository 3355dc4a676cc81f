#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "base/err.h"
#include "policy/queue.h"

#define SEC INT64_C(1000000)

struct test_request {
	struct queue_item item;
	char account[16];
	uint32_t actual_output; /* tokens */
};

static struct test_request *push_request(struct queue *q, const char *account,
					 unsigned rank, uint32_t est,
					 uint32_t actual, int64_t now)
{
	struct test_request *r = g_new0(struct test_request, 1);
	unsigned retry;

	g_strlcpy(r->account, account, sizeof(r->account));
	r->item.account = r->account;
	r->item.rank = rank;
	r->item.bytes = 100;
	r->item.prompt_tokens = 100;
	r->item.est_output_tokens = est;
	r->actual_output = actual;
	if (q->ops->push(q, &r->item, now, &retry) < 0) {
		ck_assert_uint_ge(retry, 1);
		g_free(r);
		return NULL;
	}
	return r;
}

/*
 * Runs the next request to its end and sets its rank and account.  Returns its
 * actual cost in weighted tokens, 0 if the queue is empty.
 */
static double serve_next(struct queue *q, int64_t now, unsigned *rank,
			 char account[16])
{
	struct queue_item *it = q->ops->peek(q, now);
	struct test_request *r = (struct test_request *)it;
	double cost;

	*rank = 0;
	if (!it)
		return 0;
	*rank = it->rank;
	g_strlcpy(account, r->account, 16);
	q->ops->dispatch(q, it, now);
	q->ops->update_output(q, it, r->actual_output / 2, now);
	q->ops->finish(q, it, r->actual_output, now);
	cost = 0.25 * it->prompt_tokens + r->actual_output;
	g_free(r);
	return cost;
}

static void finish_and_free(struct queue *q, struct queue_item *it)
{
	q->ops->finish(q, it, ((struct test_request *)it)->actual_output, 1);
	g_free(it);
}

static void remove_all_and_destroy(struct queue *q)
{
	struct queue_item *it;

	while ((it = q->ops->peek(q, 0))) {
		q->ops->remove(q, it, 0);
		g_free(it);
	}
	q->ops->destroy(q);
}

static struct queue_cfg make_config(unsigned floor)
{
	struct queue_cfg cfg = {.name = "m"};

	cfg.rank[1].floor_percent = floor;
	for (unsigned r = 0; r < QUEUE_RANKS; r++)
		cfg.rank[r].account_max_items = 100000;
	for (unsigned r = 0; r < QUEUE_RANKS; r++)
		cfg.rank[r].max_items = 100000;
	return cfg;
}

/*
 * Accounts of equal weight get equal service although their requests differ in
 * length and the estimates of the output are wrong.
 */
START_TEST(test_fairness_within_rank)
{
	struct queue_cfg cfg = make_config(0);
	struct queue *q = queue_fair.create(&cfg);
	GRand *rand = g_rand_new_with_seed(_i);
	double served[8] = {0}, sum = 0, squares = 0;
	char name[16];
	unsigned rank;

	for (int n = 0; n < 20000; n++) {
		/* Account i sends requests of about 50 * (i + 1) tokens. */
		if (n % 50 == 0) {
			for (int i = 0; i < 8; i++) {
				uint32_t actual = g_rand_int_range(
					rand, 10, 100 * (i + 1));

				g_snprintf(name, sizeof(name), "%d", i);
				for (int k = 0; k < 50; k++)
					push_request(q, name, 0, 200, actual,
						     n * 1000);
			}
		}
		double cost = serve_next(q, n * 1000, &rank, name);

		served[atoi(name)] += cost;
	}
	for (int i = 0; i < 8; i++) {
		sum += served[i];
		squares += served[i] * served[i];
	}
	ck_assert_double_ge(sum * sum / (8 * squares), 0.98);
	remove_all_and_destroy(q);
	g_rand_free(rand);
}
END_TEST

static double account_weight(void *ctx, const char *account)
{
	(void)ctx;
	return account[0] == 'h' ? 3 : 1;
}

/* An account of weight 3 gets three times the service of one of weight 1. */
START_TEST(test_weights)
{
	struct queue_cfg cfg = make_config(0);
	struct queue *q;
	double heavy = 0, light = 0;
	unsigned rank;
	char name[16];

	cfg.weight = account_weight;
	q = queue_fair.create(&cfg);
	for (int i = 0; i < 1000; i++) {
		push_request(q, "heavy", 0, 100, 100, 0);
		push_request(q, "light", 0, 100, 100, 0);
	}
	for (int i = 0; i < 800; i++) {
		double cost = serve_next(q, i, &rank, name);

		*(name[0] == 'h' ? &heavy : &light) += cost;
	}
	ck_assert_double_eq_tol(heavy / light, 3, 0.1);
	remove_all_and_destroy(q);
}
END_TEST

/*
 * While both ranks are backlogged, the lower one gets its floor, neither more
 * nor less, in each window of 4000 requests.
 */
START_TEST(test_rank_floor)
{
	static const unsigned floors[] = {5, 10, 20, 40};
	unsigned floor = floors[_i % 4], rank;
	struct queue_cfg cfg = make_config(floor);
	struct queue *q = queue_fair.create(&cfg);
	GRand *rand = g_rand_new_with_seed(_i);
	double served[2] = {0}, window[2] = {0};
	char name[16];

	for (int i = 0; i < 12000; i++) {
		/* Short requests in the urgent rank, long ones in the lower. */
		push_request(q, i % 2 ? "a" : "b", 0, 60,
			     g_rand_int_range(rand, 5, 90), i);
		push_request(q, i % 2 ? "a" : "c", 1, 900,
			     g_rand_int_range(rand, 10, 3000), i);
		double cost = serve_next(q, i, &rank, name);

		served[rank] += cost;
		window[rank] += cost;
		if (i % 4000 == 3999) {
			double share = window[1] / (window[0] + window[1]);

			ck_assert_double_eq_tol(share, floor / 100.0,
						floor / 1000.0);
			window[0] = window[1] = 0;
		}
	}
	ck_assert_double_gt(served[0], 0);
	remove_all_and_destroy(q);
	g_rand_free(rand);
}
END_TEST

/*
 * An urgent request is served first if the lower rank was served beyond its
 * floor before.  Fails if a rank keeps an allowance that it did not need.
 */
START_TEST(test_urgent_rank_first)
{
	struct queue_cfg cfg = make_config(20);
	struct queue *q = queue_fair.create(&cfg);
	unsigned rank;
	char name[16];

	for (int i = 0; i < 500; i++)
		push_request(q, "bulk", 1, 500, 500, 0);
	for (int i = 0; i < 100; i++) {
		ck_assert_double_gt(serve_next(q, i, &rank, name), 0);
		ck_assert_uint_eq(rank, 1);
	}
	/* No floor allowance is left from service without urgent work. */
	push_request(q, "u", 0, 100, 100, 200);
	serve_next(q, 200, &rank, name);
	ck_assert_uint_eq(rank, 0);
	remove_all_and_destroy(q);
}
END_TEST

/*
 * An account that was idle gets no more than its share afterwards: idle time
 * must not accumulate service, which would delay other accounts.
 */
START_TEST(test_idle_account_saves_no_service)
{
	struct queue_cfg cfg = make_config(0);
	struct queue *q = queue_fair.create(&cfg);
	double served[2] = {0};
	unsigned rank;
	char name[16];

	/* "idle" has one request served and then none while "busy" has. */
	push_request(q, "idle", 0, 100, 100, 0);
	serve_next(q, 0, &rank, name);
	for (int i = 0; i < 3000; i++) {
		push_request(q, "busy", 0, 100, 100, i);
		if (i < 2000)
			serve_next(q, i, &rank, name);
	}
	for (int i = 0; i < 1000; i++)
		push_request(q, "idle", 0, 100, 100, 3000);
	for (int i = 0; i < 400; i++) {
		double cost = serve_next(q, 3000, &rank, name);

		served[name[0] == 'i'] += cost;
	}
	ck_assert_double_le(served[1], served[0] * 1.05);
	remove_all_and_destroy(q);
}
END_TEST

/*
 * A small account with several requests in quick succession goes ahead of large
 * accounts, but by no more than the configured burst.
 */
START_TEST(test_small_account_burst)
{
	struct queue_cfg cfg = make_config(0);
	struct queue *q = queue_fair.create(&cfg);
	struct queue_item *it, *run[30];
	unsigned ahead = 0, running = 0;

	for (int i = 0; i < 60; i++) {
		push_request(q, i % 2 ? "big1" : "big2", 0, 200, 200, 0);
		if (i >= 30)
			continue;
		run[running++] = it = q->ops->peek(q, 0);
		q->ops->dispatch(q, it, 0);
	}
	ck_assert(q->ops->peek(q, 0)->bulk);
	for (int i = 0; i < 30; i++) {
		push_request(q, "small", 0, 200, 200, 1);
		it = q->ops->peek(q, 1);
		if (strcmp(it->account, "small") != 0)
			break;
		ck_assert(!it->bulk);
		ahead++;
		q->ops->dispatch(q, it, 1);
		finish_and_free(q, it);
	}
	/* 1024 weighted tokens are 4.6 of its requests. */
	ck_assert_uint_ge(ahead, 4);
	ck_assert_uint_le(ahead, 6);
	while (running--)
		finish_and_free(q, run[running]);
	remove_all_and_destroy(q);
}
END_TEST

/*
 * Headroom for small accounts is requested while one of them is active, and not
 * otherwise, when it would leave memory unused.
 */
START_TEST(test_keep_headroom)
{
	struct queue_cfg cfg = make_config(0);
	struct queue *q = queue_fair.create(&cfg);
	struct queue_item *it, *running;

	/* No headroom while the backlogged account is the only one. */
	for (unsigned i = 0; i < 40; i++)
		push_request(q, "big", 0, 100, 100, 0);
	it = q->ops->peek(q, 0);
	ck_assert(it->bulk);
	running = it;
	q->ops->dispatch(q, running, 0);
	ck_assert(q->ops->peek(q, 10 * SEC)->bulk);
	ck_assert(!q->ops->peek(q, 10 * SEC)->keep_headroom);

	push_request(q, "small", 0, 10, 10, 10 * SEC);
	it = q->ops->peek(q, 10 * SEC);
	ck_assert_str_eq(it->account, "small");
	ck_assert(!it->bulk);
	q->ops->dispatch(q, it, 10 * SEC);
	finish_and_free(q, it);
	ck_assert(q->ops->peek(q, 19 * SEC)->keep_headroom);
	ck_assert(!q->ops->peek(q, 21 * SEC)->keep_headroom);

	/* A small account with a backlog of its own gets no headroom. */
	push_request(q, "small", 0, 10, 10, 30 * SEC);
	for (unsigned i = 0; i < 5; i++)
		push_request(q, "small", 0, 10, 10, 30 * SEC);
	it = q->ops->peek(q, 30 * SEC);
	ck_assert(it->bulk);
	ck_assert(!it->keep_headroom);
	finish_and_free(q, running);
	remove_all_and_destroy(q);
}
END_TEST

/*
 * An account that sends through two hosts gets one share in total, not one on
 * each host.  Two queues represent the hosts; their counters are added up each
 * second, as the hub does.
 */
START_TEST(test_fairness_across_hosts)
{
	struct queue_cfg cfg = make_config(0);
	struct queue *q[2] = {queue_fair.create(&cfg), queue_fair.create(&cfg)};
	double served[3] = {0};
	unsigned rank;
	char name[16];

	/* "0" sends to both hosts, "1" to the first, "2" to the second. */
	for (int t = 0; t < 60; t++) {
		uint64_t sum[3] = {0};

		for (int h = 0; h < 2; h++) {
			struct queue_usage use[8];

			for (int i = 0; i < 100; i++) {
				push_request(q[h], "0", 0, 100, 100, t * SEC);
				push_request(q[h], h ? "2" : "1", 0, 100, 100,
					     t * SEC);
			}
			for (int i = 0; i < 100; i++) {
				double c =
					serve_next(q[h], t * SEC, &rank, name);

				if (t >= 20)
					served[atoi(name)] += c;
			}
			for (size_t n = q[h]->ops->list_usage(q[h], use, 8);
			     n--;)
				sum[atoi(use[n].account)] += use[n].tokens;
		}
		for (int h = 0; h < 2; h++) {
			q[h]->ops->set_dc_served(q[h], 0, "0", sum[0], t * SEC);
			q[h]->ops->set_dc_served(q[h], 0, h ? "2" : "1",
						 sum[h ? 2 : 1], t * SEC);
		}
	}
	ck_assert_double_eq_tol(served[0] / served[1], 1, 0.1);
	ck_assert_double_eq_tol(served[0] / served[2], 1, 0.1);
	remove_all_and_destroy(q[0]);
	remove_all_and_destroy(q[1]);
}
END_TEST

/*
 * Items beyond the limits, or that would miss their deadline, are refused, and
 * waiting items expire at the age limit.  Otherwise the queue could grow
 * without bound and hold requests that can no longer be served in time.
 */
START_TEST(test_limits_and_refusal)
{
	struct queue_cfg cfg = {.name = "m"};
	struct queue *q;
	struct queue_item late = {.account = "b", .est_output_tokens = 100};
	struct queue_item *it;
	unsigned retry = 0, rank;
	char name[16];

	cfg.rank[0].account_max_items = 50;
	cfg.rank[0].max_items = 60;
	cfg.rank[0].max_age_us = 30 * SEC;
	q = queue_fair.create(&cfg);
	for (int i = 0; i < 50; i++)
		ck_assert_ptr_nonnull(push_request(q, "a", 0, 75, 75, 0));
	ck_assert_ptr_null(push_request(q, "a", 0, 75, 75, 0));
	for (int i = 0; i < 10; i++)
		ck_assert_ptr_nonnull(push_request(q, "c", 0, 75, 75, 0));
	ck_assert_ptr_null(push_request(q, "d", 0, 75, 75, 0));
	/* At 100 weighted tokens per second 56 items need about 56 s. */
	for (int i = 1; i <= 4; i++)
		serve_next(q, i * SEC, &rank, name);
	late.deadline_us = 7 * SEC;
	late.expected_service_us = SEC;
	ck_assert_int_eq(q->ops->push(q, &late, 4 * SEC, &retry),
			 -MW_EDEADLINE);
	ck_assert_uint_ge(retry, 1);
	ck_assert_uint_le(retry, 60);
	/* Items that were accepted expire at the age limit. */
	ck_assert_ptr_null(q->ops->pop_expired(q, 30 * SEC - 1));
	while ((it = q->ops->pop_expired(q, 30 * SEC)))
		g_free(it);
	ck_assert_ptr_null(q->ops->peek(q, 30 * SEC));
	q->ops->destroy(q);
}
END_TEST

/*
 * Counters stay correct and no item is lost under random operations, for both
 * implementations.
 */
START_TEST(test_random_operations)
{
	struct queue_cfg cfg = make_config(10);
	const struct queue_ops *ops = _i % 2 ? &queue_fair : &queue_fifo;
	struct queue *q = ops->create(&cfg);
	GRand *rand = g_rand_new_with_seed(_i);
	GPtrArray *waiting = g_ptr_array_new(), *running = g_ptr_array_new();
	struct queue_stats st;
	char name[16];
	int64_t now = 0;

	for (int i = 0; i < 20000; i++) {
		unsigned op = g_rand_int_range(rand, 0, 10), k;
		struct queue_item *it;

		now += g_rand_int_range(rand, 0, 10000);
		if (op < 4) {
			struct test_request *r;

			g_snprintf(name, sizeof(name), "%d",
				   g_rand_int_range(rand, 0, 40));
			r = push_request(q, name, g_rand_int_range(rand, 0, 3),
					 g_rand_int_range(rand, 1, 500),
					 g_rand_int_range(rand, 1, 900), now);
			if (r)
				g_ptr_array_add(waiting, r);
		} else if (op < 7 && (it = ops->peek(q, now))) {
			ops->dispatch(q, it, now);
			ck_assert(g_ptr_array_remove_fast(waiting, it));
			g_ptr_array_add(running, it);
		} else if (op == 7 && waiting->len) {
			k = g_rand_int_range(rand, 0, waiting->len);
			it = g_ptr_array_remove_index_fast(waiting, k);
			ops->remove(q, it, now);
			g_free(it);
		} else if (op == 8 && running->len) {
			k = g_rand_int_range(rand, 0, running->len);
			it = g_ptr_array_remove_index_fast(running, k);
			ops->requeue(q, it, now);
			g_ptr_array_add(waiting, it);
		} else if (op == 9 && running->len) {
			k = g_rand_int_range(rand, 0, running->len);
			it = g_ptr_array_remove_index_fast(running, k);
			ops->finish(q, it,
				    ((struct test_request *)it)->actual_output,
				    now);
			g_free(it);
		}
		while ((it = ops->pop_expired(q, now))) {
			ck_assert(g_ptr_array_remove_fast(waiting, it));
			g_free(it);
		}
		ops->stats(q, &st);
		ck_assert_uint_eq(st.items[0] + st.items[1] + st.items[2],
				  waiting->len);
		ck_assert_uint_eq(st.bytes[0] + st.bytes[1] + st.bytes[2],
				  waiting->len * 100);
	}
	while (running->len) {
		struct queue_item *it =
			g_ptr_array_remove_index_fast(running, 0);

		ops->finish(q, it, 1, now);
		g_free(it);
	}
	g_ptr_array_free(waiting, TRUE);
	g_ptr_array_free(running, TRUE);
	remove_all_and_destroy(q);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("queue");
	TCase *tc = tcase_create("queue");
	SRunner *sr;
	int failed;

	tcase_add_loop_test(tc, test_fairness_within_rank, 1, 5);
	tcase_add_test(tc, test_weights);
	tcase_add_loop_test(tc, test_rank_floor, 0, 8);
	tcase_add_test(tc, test_urgent_rank_first);
	tcase_add_test(tc, test_idle_account_saves_no_service);
	tcase_add_test(tc, test_small_account_burst);
	tcase_add_test(tc, test_keep_headroom);
	tcase_add_test(tc, test_fairness_across_hosts);
	tcase_add_test(tc, test_limits_and_refusal);
	tcase_add_loop_test(tc, test_random_operations, 0, 6);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
