#include "check_main.h"

#include "forward/request.h"

#define NOW (100 * USEC_PER_SEC)

static char service_name[] = "model", heavy_name[] = "heavy",
	    small_name[] = "small";

/* A request of a heavy account that waits, and a new one of a small account. */
struct waiting {
	struct conf conf;
	struct plan plan;
	struct fwd f;
	struct plan_service service;
	struct plan_route route;
	struct plan_account heavy, small;
	struct request old, newcomer;
};

static void add_request(struct waiting *w, struct request *r,
			const struct plan_account *account, int64_t arrived_us)
{
	r->fwd = &w->f;
	r->plan = &w->plan;
	r->route = &w->route;
	r->service = &w->service;
	r->account = account;
	r->generation = true;
	r->state = REQUEST_WAITING;
	r->need_tokens = 1000;
	r->arrived_us = r->admitted_us = arrived_us;
	list_add_tail(&w->f.requests, &r->node);
	list_init(&r->wait_node);
}

static void state_free(void *p)
{
	struct service_state *s = p;

	accounts_release(&s->accounts);
	g_free(s);
}

static void waiting_free(struct waiting *w)
{
	g_hash_table_destroy(w->f.services);
	g_rand_free(w->f.rand);
	g_free(w);
}

static struct waiting *waiting_new(void)
{
	struct waiting *w = g_new0(struct waiting, 1);

	w->conf.account_shares = 1;
	w->f.conf = &w->conf;
	w->f.plan = &w->plan;
	w->f.n_hosts = 1;
	w->f.totals_received_us = NOW;
	w->f.rand = g_rand_new_with_seed(1);
	w->f.services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      state_free);
	list_init(&w->f.requests);
	w->service.name = service_name;
	w->route.target_latency_us = USEC_PER_SEC;
	w->heavy.name = heavy_name;
	w->small.name = small_name;
	add_request(w, &w->old, &w->heavy, NOW - USEC_PER_MSEC);
	add_request(w, &w->newcomer, &w->small, NOW);
	return w;
}

/* Guards against a stream that breaks off, as it waits for another endpoint
 * while a request of another account arrives. */
START_TEST(test_keeps_begun_streams)
{
	struct waiting *w = waiting_new();

	ck_assert(request_is_displaceable(&w->old, &w->newcomer));
	w->old.stream_begun = true;
	ck_assert(!request_is_displaceable(&w->old, &w->newcomer));
	w->old.stream_begun = false;
	w->old.may_have_run = true;
	ck_assert(!request_is_displaceable(&w->old, &w->newcomer));
	waiting_free(w);
}
END_TEST

/* Guards against a repeat that gets no part of its account's share, as it is
 * not in the queue yet. */
START_TEST(test_repeat_counts)
{
	struct waiting *w = waiting_new();
	struct account_claims c;

	w->newcomer.state = REQUEST_STREAM;
	w->route.target_latency_us = 20 * USEC_PER_SEC;
	accounts_gather(&c, &w->newcomer, NOW);
	ck_assert_double_eq(
		c.claims[accounts_index(&c, accounts_of(&w->newcomer))].queued,
		1000);
	accounts_claims_release(&c);
	waiting_free(w);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_keeps_begun_streams,
				      test_repeat_counts};

	return check_main("displaced", tests, sizeof(tests) / sizeof(*tests));
}
