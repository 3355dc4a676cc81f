#include <check.h>
#include <ev.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "entry/request.h"

static void stop_loop(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)w;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

/* Sets up only the parts of an entry host that a queued request uses. */
static void entry_set_up(struct entry *e, struct pool *p)
{
	const struct route_tuning tuning = {.dc = "dc1"};
	struct queue_cfg cfg = {.name = "m",
				.rank[0].max_age_us = 3600 * USEC_PER_SEC};

	memset(e, 0, sizeof(*e));
	memset(p, 0, sizeof(*p));
	e->loop = ev_loop_new(EVFLAG_AUTO);
	e->events = event_ring_new(64, "h", "d");
	e->rand = g_rand_new_with_seed(1);
	e->queue_ops = &queue_fair;
	e->suspects = suspect_new(16);
	e->account_backlogs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->pools = g_hash_table_new(g_str_hash, g_str_equal);
	e->est = est_new(NULL);
	e->route = route_new(&route_prefix_load, &tuning);
	retry_init(&e->retry, NULL);
	e->retry.tokens = 10;
	ev_timer_init(&e->pump_timer, stop_loop, 0., 0.);
	p->entry = e;
	g_hash_table_insert(e->pools, "m", p);
	p->queue = queue_fair.create(&cfg);
}

static void entry_tear_down(struct entry *e, struct pool *p)
{
	p->queue->ops->destroy(p->queue);
	g_hash_table_destroy(e->account_backlogs);
	g_hash_table_destroy(e->pools);
	est_free(e->est);
	route_free(e->route);
	suspect_free(e->suspects);
	g_rand_free(e->rand);
	event_ring_free(e->events);
	ev_loop_destroy(e->loop);
}

static void push(struct entry *e, struct pool *p, struct request *r,
		 int64_t now)
{
	unsigned int retry_after;

	memset(r, 0, sizeof(*r));
	r->entry = e;
	r->pool = p;
	r->retries_max = 3;
	r->queue_max = 10;
	r->queue_max_bytes = 1 << 20;
	r->prompt = "";
	g_strlcpy(r->model, "m", sizeof(r->model));
	/* Not NULL, as for a connected caller; never dereferenced. */
	r->http = (struct httpd_req *)r;
	list_init(&r->rs.node);
	list_init(&r->credit.node);
	g_strlcpy(r->account, "a", sizeof(r->account));
	g_strlcpy(r->endpoint, "e1", sizeof(r->endpoint));
	r->item.account = r->account;
	r->item.prompt_tokens = 100;
	r->item.est_output_tokens = 100;
	ck_assert_int_eq(queue_fair.push(p->queue, &r->item, now, &retry_after),
			 0);
	r->in_queue = true;
}

/*
 * Guards against a request that loses its place and its age in the queue when
 * an endpoint refuses it as busy: it would be served after all later requests.
 */
START_TEST(test_busy_keeps_place)
{
	struct entry e;
	struct pool p;
	struct request first, second;
	int64_t now = clock_mono_us(), arrived;

	entry_set_up(&e, &p);
	push(&e, &p, &first, now - 10 * USEC_PER_SEC);
	arrived = first.item.arrived_us;
	push(&e, &p, &second, now);
	queue_fair.dispatch(p.queue, &first.item, now);
	first.dispatched = true;
	first.state = REQ_SENT;

	dispatch_handle_failure(&first, -MW_ENOENDPOINT, FAILED_NOT_RUN);
	ck_assert_int_eq(first.state, REQ_BACKOFF);
	ev_run(e.loop, 0);
	ck_assert_int_eq(first.state, REQ_QUEUED);
	ck_assert(!first.dispatched);
	ck_assert(first.in_backlog);
	ck_assert_ptr_eq(queue_fair.peek(p.queue, clock_mono_us()),
			 &first.item);
	ck_assert_int_eq(first.item.arrived_us, arrived);

	queue_fair.remove(p.queue, &first.item, now);
	queue_fair.remove(p.queue, &second.item, now);
	entry_tear_down(&e, &p);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dispatch");
	TCase *tc = tcase_create("dispatch");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, test_busy_keeps_place);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
