#include "state_util.h"

#include "base/clock.h"
#include "entry/aside.h"
#include "entry/call.h"
#include "entry/request.h"
#include "entry/work_stats.h"

/*
 * Requests with allowed regions in the queue of a host without an endpoint of
 * its own.  The host is in dc1 (north); dc2 (south) and dc3 (north) may lend.
 */

#define SOUTH_ADDR "http://127.0.0.1:9"
#define NORTH_ADDR "http://127.0.0.1:10"

static struct entry e;
static struct conf conf;
static int64_t now; /* time of the set-up */

static void set(const char *path, const char *key, const char *value)
{
	struct tree_err err = {0};

	int rc = edit_tree(&e.session.cfg.tree, path, key, value, &err);

	ck_assert_msg(!rc, "%s %s: %s", path, key, err.reason);
}

static void set_up_tree(void)
{
	e.session.cfg.tree = tree_new_initial();
	set("dcs/dc1", "region", "\"north\"");
	set("dcs/dc2", "region", "\"south\"");
	set("dcs/dc3", "region", "\"north\"");
	set("accounts/free", "weight", "100");
	set("accounts/bound", "allowed_regions", "[\"north\"]");
	set("models/m", "context_tokens", "1000");
	set("routes/r", "model", "\"m\"");
}

static void set_up(void)
{
	const struct route_tuning tuning = {.dc = "dc1"};
	const struct spill_cfg spill = {.bytes_per_s = 1 << 20,
					.burst_bytes = 1 << 20,
					.rank_percent = {100, 100, 100, 100}};

	memset(&e, 0, sizeof(e));
	memset(&conf, 0, sizeof(conf));
	conf.dc = (char *)"dc1";
	strcpy(conf.controls[0].dc, "dc2");
	strcpy(conf.controls[1].dc, "dc3");
	conf.control_nr = 2;
	e.conf = &conf;
	e.loop = ev_loop_new(EVFLAG_AUTO);
	e.fetcher = fetcher_new(e.loop, 0);
	e.ep_ops = &ep_openai;
	e.events = event_ring_new(64, "h", "d");
	e.rand = g_rand_new_with_seed(1);
	e.queue_ops = &queue_fair;
	e.suspects = suspect_new(16);
	e.account_backlogs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e.pools = g_hash_table_new(g_str_hash, g_str_equal);
	e.est = est_new(NULL);
	e.credit = credit_new(&credit_leased, NULL);
	e.route = route_new(&route_prefix_load, &tuning);
	spill_configure(route_spill_budget(e.route), &spill, clock_mono_us());
	e.work = work_new();
	list_init(&e.requests);
	view_init(&e);
	remote_init(&e);
	/* Active: the pump is called by the tests. */
	ev_timer_init(&e.pump_timer, NULL, 3600., 0.);
	ev_timer_start(e.loop, &e.pump_timer);
	set_up_tree();
	now = clock_mono_us();
}

static void tear_down(void)
{
	struct request *r, *tmp;
	struct pool *p = entry_get_pool(&e, "m");
	struct queue_stats st;

	list_for_each_entry_safe (r, tmp, &e.requests, node)
		request_end(r);
	/* Each way to end removes a request from every list and count. */
	e.queue_ops->stats(p->queue, &st);
	ck_assert(list_empty(&p->aside) && !p->n_aside && !st.items[0]);
	ck_assert(!e.open_requests && !g_hash_table_size(e.account_backlogs));
	fetcher_free(e.fetcher);
	p->queue->ops->destroy(p->queue);
	g_free(p);
	g_hash_table_destroy(e.pools);
	g_hash_table_destroy(e.account_backlogs);
	view_release(&e);
	remote_release(&e);
	route_free(e.route);
	credit_free(e.credit);
	work_free(e.work);
	est_free(e.est);
	suspect_free(e.suspects);
	g_rand_free(e.rand);
	event_ring_free(e.events);
	tree_unref(e.session.cfg.tree);
	ev_loop_destroy(e.loop);
}

/* Adds an endpoint of this data centre, or one that is lent for lease_ms. */
static void add_endpoint(const char *id, const char *dc, const char *addr,
			 int64_t lease_ms)
{
	static char *models[] = {"m"};
	Mw__EndpointInfo info = MW__ENDPOINT_INFO__INIT;
	Mw__SpillRow row = MW__SPILL_ROW__INIT, *rows = &row;
	Mw__HubGrant grant = MW__HUB_GRANT__INIT;
	int64_t t = clock_mono_us();

	info.id = (char *)id;
	info.dc = (char *)dc;
	info.addr = (char *)addr;
	info.kind = "model";
	info.state = "serving";
	info.incarnation = info.seq = 1;
	info.blocks = 1000;
	info.block_tokens = 16;
	info.models = models;
	info.n_models = 1;
	row.info = &info;
	row.blocks = 1000;
	row.lease_ms = lease_ms;
	grant.spill = &rows;
	grant.n_spill = 1;
	if (strcmp(dc, "dc1") != 0)
		remote_apply_grant(&e, &grant, t, t);
	else
		view_update(&e, &info, true, t);
}

static void lend(const char *id, const char *dc, const char *addr)
{
	add_endpoint(id, dc, addr, 60000);
}

/* Gives the policy a row of the same incarnation with another address. */
static void upsert_older_row(const char *id, const char *dc)
{
	const struct route_ep_info older = {.id = id,
					    .incarnation = 1,
					    .addr = SOUTH_ADDR,
					    .dc = dc,
					    .models =
						    (const char *const[]){"m"},
					    .n_models = 1,
					    .state = ROUTE_SERVING,
					    .blocks = 1000,
					    .block_tokens = 16};

	route_upsert_endpoint(e.route, &older, 0);
}

static struct request *push_due(const char *account, int64_t deadline)
{
	struct request *r = g_new0(struct request, 1);

	r->entry = &e;
	list_init(&r->rs.node);
	list_init(&r->credit.node);
	list_add_tail(&e.requests, &r->node);
	e.open_requests++;
	strcpy(r->id, account);
	strcpy(r->account, account);
	strcpy(r->route, "r");
	strcpy(r->model, "m");
	strcpy(r->fingerprint, account);
	r->prompt = g_strdup("text");
	r->prompt_tokens = 2;
	r->max_tokens = 10;
	r->queue_max = 1000;
	r->queue_max_bytes = 1 << 24;
	r->needs_loan = true;
	r->arrived_us = now;
	r->deadline_us = deadline;
	residence_admit(&r->residence, e.session.cfg.tree, account, "r");
	request_enqueue(r, clock_mono_us());
	return r;
}

static struct request *push(const char *account)
{
	return push_due(account, 0);
}

static bool exists(const struct request *r)
{
	const struct request *i;

	list_for_each_entry (i, &e.requests, node)
		if (i == r)
			return true;
	return false;
}

/*
 * Guards against requests that wait for a loan in their regions and hold up
 * others that a borrowed endpoint could serve.
 */
START_TEST(test_passes_others)
{
	lend("south1", "dc2", SOUTH_ADDR);
	struct request *bound[5];
	for (size_t i = 0; i < G_N_ELEMENTS(bound); i++)
		bound[i] = push("bound");
	struct request *other = push("free");
	dispatch_pump(&e, now);
	ck_assert_int_eq(other->state, REQ_SENT);
	ck_assert_str_eq(other->endpoint, "south1");
	for (size_t i = 0; i < G_N_ELEMENTS(bound); i++) {
		ck_assert_int_eq(bound[i]->state, REQ_QUEUED);
		ck_assert(bound[i]->in_backlog);
	}
	/* They are placed when a loan in their regions arrives. */
	lend("north1", "dc3", NORTH_ADDR);
	dispatch_pump(&e, clock_mono_us() + USEC_PER_SEC / 2);
	for (size_t i = 0; i < G_N_ELEMENTS(bound); i++)
		ck_assert_str_eq(bound[i]->endpoint, "north1");
}
END_TEST

/* Guards against a wait beyond the time for a loan, and beyond a deadline. */
START_TEST(test_wait_ends)
{
	lend("south1", "dc2", SOUTH_ADDR);
	struct request *first = push("bound");
	struct request *due = push_due("bound", now + USEC_PER_SEC);
	dispatch_pump(&e, now);
	ck_assert(exists(first) && exists(due));
	dispatch_pump(&e, now + 3 * USEC_PER_SEC / 2);
	ck_assert(exists(first) && !exists(due));
	dispatch_pump(&e, now + 4 * USEC_PER_SEC);
	ck_assert(!exists(first));
	ck_assert_uint_eq(g_hash_table_size(e.account_backlogs), 0);
}
END_TEST

/* Guards against a wait for another age limit after a loan was given. */
START_TEST(test_age_after_return)
{
	struct request *r = push("bound");
	int64_t until = (int64_t)r->item.expiry_node.key;
	dispatch_pump(&e, now);
	ck_assert(r->aside);
	lend("north1", "dc3", NORTH_ADDR);
	/* Without room it stays in the queue. */
	credit_set_grant(credit_find_endpoint(e.credit, "north1"), 0, now);
	dispatch_pump(&e, now + USEC_PER_SEC);
	ck_assert(r->in_queue && !r->aside);
	ck_assert_int_eq((int64_t)r->item.expiry_node.key, until);
}
END_TEST

/* Guards against the loss of its place to others that use a limit up. */
START_TEST(test_keeps_place_at_limits)
{
	struct spill_reservation res = {0};
	lend("north1", "dc3", NORTH_ADDR);
	set("endpoints/dc3/north1", "max_streams", "1");
	struct request *placed = push("bound");
	struct request *r = push("bound");
	dispatch_pump(&e, now);
	ck_assert_int_eq(placed->state, REQ_SENT);
	ck_assert(r->in_queue && !r->aside);
	set("endpoints/dc3/north1", "max_streams", "100");
	spill_reserve(route_spill_budget(e.route), &res, 0, 1 << 21, now);
	dispatch_pump(&e, now);
	ck_assert(r->in_queue && !r->aside);
}
END_TEST

/* Guards against the same while work may not yet go to other data centres. */
START_TEST(test_keeps_place_before_spill)
{
	add_endpoint("own1", "dc1", SOUTH_ADDR, 0);
	lend("north1", "dc3", NORTH_ADDR);
	set("dcs/dc1", "evacuated", "true");
	struct request *r = push("bound");
	dispatch_pump(&e, now);
	ck_assert(r->in_queue && !r->aside);
}
END_TEST

/* Guards against a wait in the queue for a loan that has ended. */
START_TEST(test_ended_loan)
{
	add_endpoint("north1", "dc3", NORTH_ADDR, 1);
	lend("south1", "dc2", SOUTH_ADDR);
	struct request *bound = push("bound");
	struct request *other = push("free");
	dispatch_pump(&e, now + USEC_PER_SEC);
	ck_assert(bound->aside);
	ck_assert_str_eq(other->endpoint, "south1");
}
END_TEST

/* Guards against a wait of a request that has since been found to crash. */
START_TEST(test_poison_ends_wait)
{
	struct request *r = push("bound");
	dispatch_pump(&e, now);
	ck_assert(r->aside);
	suspect_add_from_log(e.suspects, "bound", "bound", SUSPECT_DEATHS, NULL,
			     0, now);
	dispatch_pump(&e, now + USEC_PER_SEC);
	ck_assert(!exists(r));
}
END_TEST

/* Guards against waiting requests without a limit on their number. */
START_TEST(test_number_is_limited)
{
	for (size_t i = 0; i < ASIDE_MAX + 1; i++) {
		push("bound");
		dispatch_pump(&e, now);
	}
	struct pool *p = entry_get_pool(&e, "m");
	ck_assert_uint_eq(aside_count(p, 0, NULL), ASIDE_MAX);
	ck_assert_uint_eq(e.open_requests, ASIDE_MAX);
}
END_TEST

/* Guards against a change for requests without lists. */
START_TEST(test_without_lists)
{
	struct request *first = push("free");
	set("dcs/dc2", "evacuated", "true");
	set("dcs/dc3", "evacuated", "true");
	dispatch_pump(&e, now);
	ck_assert(first->in_queue && !first->aside);
	ck_assert_ptr_eq(queue_fair.peek(first->pool->queue, now),
			 &first->item);
}
END_TEST

/* Guards against a wait for a loan that no data centre may give. */
START_TEST(test_refused_at_once)
{
	set("dcs/dc3", "region", "\"south\"");
	struct request *bound = push("bound");
	struct request *other = push("free");
	dispatch_pump(&e, now);
	ck_assert(!exists(bound) && exists(other));
}
END_TEST

/* Guards against demand for loans that ends while the request waits. */
START_TEST(test_reports_demand)
{
	Mw__HubReport report = MW__HUB_REPORT__INIT;
	set("dcs/dc1", "spill_bytes_per_s", "1000000");
	set("dcs/dc1", "spill_burst_bytes", "1000000");
	push("bound");
	push("bound");
	dispatch_pump(&e, now);
	remote_fill_report(&e, &report, now + 10 * USEC_PER_SEC);
	ck_assert_uint_eq(report.n_spill, 1);
	ck_assert_uint_eq(report.spill[0]->blocks, 2 * report.spill[0]->unit);
	for (size_t i = 0; i < report.n_spill; i++)
		mw__demand__free_unpacked(report.spill[i], NULL);
	free(report.spill);
}
END_TEST

/*
 * Guards against a check of one row and a send to the address of another: the
 * table keeps the newest row, the policy the one that arrived last.
 */
START_TEST(test_address_of_checked_row)
{
	lend("north1", "dc3", NORTH_ADDR);
	upsert_older_row("north1", "dc2");
	struct request *bound = push("bound");
	struct request *other = push("free");
	dispatch_pump(&e, now);
	ck_assert_int_eq(bound->state, REQ_QUEUED);
	ck_assert_str_eq(bound->addr, "");
	/* Without lists the last row still counts. */
	ck_assert_str_eq(other->addr, SOUTH_ADDR);
	lend("north1", "dc3", NORTH_ADDR);
	dispatch_pump(&e, clock_mono_us() + USEC_PER_SEC / 2);
	ck_assert_str_eq(bound->addr, NORTH_ADDR);
}
END_TEST

/*
 * Guards against a resume at the address in a cursor that is not the address of
 * the row whose region was checked.
 */
START_TEST(test_address_of_cursor)
{
	struct request r = {.entry = &e, .account = "bound", .route = "r"};

	lend("north1", "dc3", NORTH_ADDR);
	const struct endpoint *ep = view_find(&e, "north1");
	ck_assert(request_may_send(&r, ep, NORTH_ADDR));
	ck_assert(!request_may_send(&r, ep, SOUTH_ADDR));
	ck_assert(!request_may_send(&r, NULL, NORTH_ADDR));
	strcpy(r.account, "free");
	ck_assert(request_may_send(&r, ep, SOUTH_ADDR));
	ck_assert(request_may_send(&r, NULL, SOUTH_ADDR));
}
END_TEST

/* Guards against the same for calls to plain services. */
START_TEST(test_address_of_call)
{
	struct call *c = g_new0(struct call, 1);

	lend("s1", "dc1", NORTH_ADDR);
	upsert_older_row("s1", "dc1");
	c->entry = &e;
	list_init(&c->rs.node);
	list_init(&e.calls);
	list_add_tail(&e.calls, &c->node);
	e.open_requests++;
	strcpy(c->account, "bound");
	strcpy(c->service, "m");
	call_send(c);
	/* It failed, as there is no other endpoint and no retry. */
	ck_assert(list_empty(&e.calls));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_passes_others,
				      test_wait_ends,
				      test_age_after_return,
				      test_keeps_place_at_limits,
				      test_keeps_place_before_spill,
				      test_ended_loan,
				      test_poison_ends_wait,
				      test_number_is_limited,
				      test_without_lists,
				      test_refused_at_once,
				      test_reports_demand,
				      test_address_of_checked_row,
				      test_address_of_cursor,
				      test_address_of_call};
	Suite *s = suite_create("region_queue");
	TCase *tc = tcase_create("region_queue");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++)
		tcase_add_test(tc, tests[i]);
	suite_add_tcase(s, tc);
	SRunner *sr = srunner_create(s);
	srunner_set_fork_status(sr, CK_NOFORK);
	srunner_run_all(sr, CK_ENV);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
