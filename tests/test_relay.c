#include "stream_caller.h"

#include "forward/accounts.h"
#include "forward/crashes.h"
#include "forward/request.h"
#include "obs/counter.h"

/*
 * Streams that a forwarder passes on to a caller, with the HTTP server and a
 * client in one process.  The tests pass on the events of the endpoint.
 */

/* Larger than a stream's buffer of 64 KiB. */
#define LARGE_EVENT 200000

static char service_name[] = "model", route_name[] = "chat";

static struct world {
	struct conf conf;
	struct fwd f;
	struct plan plan;
	struct plan_service service;
	struct plan_route route;
	struct httpd *server;
	struct request *r; /* NULL once it has ended */
	struct buf expected;
	bool closed;
} w;

static void on_drained(void *arg, struct httpd_req *http)
{
	(void)http;
	relay_drained(arg, clock_mono_us());
}

static void on_closed(void *arg, struct httpd_req *http)
{
	(void)http;
	w.closed = true;
	w.r = NULL;
	request_free(arg);
}

static const struct httpd_req_ops http_ops = {on_drained, on_closed};

/* Begins the stream of a request that is at an endpoint. */
static void handle(void *ctx, struct httpd_req *http)
{
	struct request *r = g_new0(struct request, 1);

	(void)ctx;
	r->fwd = &w.f;
	r->http = http;
	r->plan = &w.plan;
	r->service = &w.service;
	r->route = &w.route;
	r->state = REQUEST_STREAM;
	r->attempts = 1;
	r->arrived_us = clock_mono_us();
	r->deadline_us = r->arrived_us + 60 * USEC_PER_SEC;
	r->stream_begun = true;
	list_init(&r->delayed);
	list_init(&r->wait_node);
	list_init(&r->endpoint_node);
	list_add_tail(&w.f.requests, &r->node);
	w.f.n_requests++;
	w.r = r;
	httpd_set_owner(http, &http_ops, r);
	httpd_stream_begin(http, 200, NULL);
}

static void state_free(void *p)
{
	struct service_state *s = p;

	accounts_release(&s->accounts);
	g_free(s);
}

static void begin(void)
{

	memset(&w, 0, sizeof(w));
	w.f.conf = &w.conf;
	w.f.plan = &w.plan;
	w.plan.refs = 2; /* that of the request is given back */
	w.f.loop = ev_loop_new(EVFLAG_AUTO);
	w.f.fetcher = fetcher_new(w.f.loop, 0);
	w.f.rand = g_rand_new_with_seed(1);
	w.f.endpoints = g_hash_table_new(g_str_hash, g_str_equal);
	w.f.services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     state_free);
	list_init(&w.f.requests);
	list_init(&w.f.waiting);
	list_init(&w.f.source_stops);
	w.service.name = service_name;
	w.route.name = route_name;
	w.route.kind = PLAN_STREAM;
	membudget_init(&w.f.memory, 16);
	crashes_start(&w.f);
	struct httpd_config cfg = {.sndbuf = 4096, .budget = &w.f.memory};
	ck_assert_int_eq(httpd_new(w.f.loop, "127.0.0.1", 0, &cfg, handle, NULL,
				   &w.server),
			 0);
	caller_start(w.f.fetcher, httpd_port(w.server));
	RUN_UNTIL(w.f.loop, w.r);
}

/* Ends what is open; nothing may be counted any more. */
static void end(void)
{
	httpd_free(w.server);
	ck_assert_uint_eq(w.f.memory.used, 0);
	ck_assert_uint_eq(w.f.n_requests, 0);
	fetcher_free(w.f.fetcher);
	crashes_stop(&w.f);
	membudget_release(&w.f.memory);
	g_hash_table_destroy(w.f.endpoints);
	g_hash_table_destroy(w.f.services);
	g_rand_free(w.f.rand);
	buf_release(&w.expected);
	ev_loop_destroy(w.f.loop);
}

/* The endpoint sends an event of some size, whose text depends on its id. */
static void send_event(uint64_t id, size_t size)
{
	AUTO_BUF struct buf b = BUF_INIT;

	buf_addf(&b, "id: %" G_GUINT64_FORMAT "\ndata: ", id);
	while (buf_unread(&b) < size)
		buf_addf(&b, "%zu-%" G_GUINT64_FORMAT " ", buf_unread(&b), id);
	buf_addstr(&b, "\n\n");
	buf_add(&w.expected, buf_head(&b), buf_unread(&b));
	relay_data(w.r, buf_head(&b), buf_unread(&b), clock_mono_us());
}

static void check_received(void)
{
	RUN_UNTIL(w.f.loop, caller.done);
	ck_assert_int_eq(caller.result.err, FETCH_OK);
	ck_assert(!w.closed);
	ck_assert_uint_eq(buf_unread(&caller.received),
			  buf_unread(&w.expected));
	ck_assert_mem_eq(buf_head(&caller.received), buf_head(&w.expected),
			 buf_unread(&w.expected));
}

static void end_at_endpoint(void)
{
	struct request *r = w.r;

	w.r = NULL;
	relay_endpoint_done(r, true, "", clock_mono_us());
}

/* Guards against a stream that stalls as more waits than its buffer holds, one
 * that ends before all has been passed on, and one that is shed as its bytes
 * are counted twice while they move to its buffer. */
START_TEST(test_more_than_the_buffer_waits)
{
	for (int limited = 0; limited <= 1; limited++) {
		begin();
		for (uint64_t id = 1; id <= 40; id++)
			send_event(id, 10000);
		ck_assert_uint_gt(buf_unread(&w.r->unsent_events), 300000);
		/* For what libmicrohttpd's own buffer holds meanwhile. */
		if (limited)
			w.f.memory.capacity = w.f.memory.used + 20000;
		end_at_endpoint();
		check_received();
		end();
	}
}
END_TEST

/* Guards against an event that is larger than the buffer and is never passed
 * on, as a buffer that is empty cannot drain. */
START_TEST(test_event_larger_than_the_buffer)
{
	begin();
	send_event(1, LARGE_EVENT);
	RUN_UNTIL(w.f.loop, !buf_unread(&w.r->unsent_events));
	send_event(2, 100);
	send_event(3, 2 * LARGE_EVENT);
	end_at_endpoint();
	check_received();
	end();
}
END_TEST

/* A stream whose connection is shed, and that another endpoint could continue
 * if its caller were still there. */
static void begin_shed(void)
{
	begin();
	w.route.resumable = true;
	w.route.max_endpoints = 3;
	w.conf.repeat_spare = 100;
	/* No region is allowed, so that a repeat is refused once it is taken
	 * from the budget. */
	w.r->residency.restricted = true;
	send_event(1, 100);
	RUN_UNTIL(w.f.loop,
		  buf_unread(&caller.received) == buf_unread(&w.expected));
	httpd_shed(w.r->http);
}

/* The request ends with its connection, and has cost no repeat. */
static void check_no_repeat(void)
{
	ck_assert_uint_eq(
		endpoints_service_state(&w.f, service_name)->budget.repeats, 0);
	RUN_UNTIL(w.f.loop, w.closed && caller.done);
	ck_assert_int_eq(caller.result.err, FETCH_BROKEN);
	end();
}

/* Guards against a repeat for a caller whose connection was just shed, and
 * against its stream being recorded as answered. */
START_TEST(test_shed_stream)
{
	int64_t ok = counter_value(C_FORWARDED, "ok");

	begin_shed();
	send_event(2, 100);
	check_no_repeat();
	begin_shed();
	relay_endpoint_done(w.r, false, "closed", clock_mono_us());
	check_no_repeat();
	begin_shed();
	relay_endpoint_done(w.r, true, "", clock_mono_us());
	check_no_repeat();
	ck_assert_int_eq(counter_value(C_FORWARDED, "ok"), ok);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_more_than_the_buffer_waits,
				      test_event_larger_than_the_buffer,
				      test_shed_stream};

	return check_main("relay", tests, G_N_ELEMENTS(tests));
}
