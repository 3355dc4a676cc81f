#include "stream_caller.h"

#include "base/err.h"
#include "entry/request.h"
#include "entry/work_stats.h"

/*
 * Streams of the product's own interface, with a host's caller, an endpoint and
 * the host's code for requests in one process.
 */

static struct world {
	struct conf conf;
	struct entry e;
	struct httpd *endpoint;
	struct httpd_req *stream; /* of the endpoint */
	struct request *r;
	uint64_t tokens; /* that the host has parsed */
} w;

static int resume(const char *generation, uint64_t from, struct ep_request *out)
{
	(void)generation;
	(void)from;
	*out = (struct ep_request){.method = "GET", .path = "/"};
	return 0;
}

/* Data are the text of a token; "last" ends the generation. */
static int parse_event(const char *type, const char *data, size_t len,
		       struct ep_event *out)
{
	(void)type;
	*out = (struct ep_event){.kind = EP_TOKEN,
				 .index = w.tokens++,
				 .text = g_strndup(data, len)};
	g_strlcpy(out->generation, "g", sizeof(out->generation));
	if (!strcmp(data, "last"))
		g_strlcpy(out->fin, "stop", sizeof(out->fin));
	return 0;
}

static const struct ep_ops ep_ops = {.resume = resume,
				     .parse_event = parse_event};

static void handle_endpoint(void *ctx, struct httpd_req *http)
{
	(void)ctx;
	w.stream = http;
	httpd_stream_begin(http, 200, NULL);
}

static void handle_caller(void *ctx, struct httpd_req *http)
{
	struct request *r = request_new(&w.e, http);

	(void)ctx;
	r->stream = r->resumed = true;
	g_strlcpy(r->generation, "g", sizeof(r->generation));
	g_strlcpy(r->route, "r", sizeof(r->route));
	snprintf(r->addr, sizeof(r->addr), "http://127.0.0.1:%d",
		 httpd_port(w.endpoint));
	w.r = r;
	stream_open(r, true);
}

static void begin(void)
{
	struct entry *e = &w.e;

	memset(&w, 0, sizeof(w));
	e->conf = &w.conf;
	e->loop = ev_loop_new(EVFLAG_AUTO);
	e->fetcher = fetcher_new(e->loop, 0);
	e->events = event_ring_new(100, "h", "dc");
	e->work = work_new();
	e->ep_ops = &ep_ops;
	e->route = route_new(&route_prefix_load,
			     &(struct route_tuning){.dc = "dc"});
	e->endpoints = g_hash_table_new(g_str_hash, g_str_equal);
	e->stopping = true; /* no pump */
	list_init(&e->requests);
	membudget_init(&e->memory, 16);
	struct httpd_config cfg = {.sndbuf = 4096, .budget = &e->memory};
	ck_assert_int_eq(httpd_new(e->loop, "127.0.0.1", 0, &cfg, handle_caller,
				   NULL, &e->callers),
			 0);
	cfg = (struct httpd_config){.max_stream = 4 << 20};
	ck_assert_int_eq(httpd_new(e->loop, "127.0.0.1", 0, &cfg,
				   handle_endpoint, NULL, &w.endpoint),
			 0);
	caller_start(e->fetcher, httpd_port(e->callers));
	RUN_UNTIL(w.e.loop, w.stream);
}

/* Ends what is open; nothing may be counted any more. */
static void end(void)
{
	struct entry *e = &w.e;

	httpd_free(e->callers);
	ck_assert_uint_eq(e->memory.used, 0);
	ck_assert_uint_eq(e->open_requests, 0);
	httpd_free(w.endpoint);
	fetcher_free(e->fetcher);
	membudget_release(&e->memory);
	g_hash_table_destroy(e->endpoints);
	route_free(e->route);
	work_free(e->work);
	event_ring_free(e->events);
	buf_release(&e->chunk);
	ev_loop_destroy(e->loop);
}

/* The endpoint sends a token of len bytes that begins with its number. */
static void send_token(unsigned int i, size_t len)
{
	AUTO_BUF struct buf b = BUF_INIT;

	buf_addf(&b, "data: %06u", i);
	while (buf_unread(&b) < len + strlen("data: "))
		buf_addstr(&b, "x");
	buf_addstr(&b, "\n\n");
	ck_assert_int_gt(
		httpd_stream_write(w.stream, buf_head(&b), buf_unread(&b)), 0);
}

static void send_last(void)
{
	ck_assert_int_gt(httpd_stream_write(w.stream, "data: last\n\n", 12), 0);
	httpd_stream_end(w.stream);
}

/* The caller has received n tokens of len bytes, in order, and the end. */
static void check_received(unsigned int n, size_t len)
{
	const char *p;

	RUN_UNTIL(w.e.loop, caller.done);
	ck_assert_int_eq(caller.result.err, FETCH_OK);
	p = buf_head(&caller.received);
	for (unsigned int i = 0; i < n; i++) {
		p = strstr(p, "\"text\":\"");
		ck_assert_ptr_nonnull(p);
		p += strlen("\"text\":\"");
		ck_assert_uint_eq(strtoul(p, NULL, 10), i);
		ck_assert_uint_eq(strcspn(p, "\""), len);
	}
	p = strstr(p, "\"text\":\"");
	ck_assert_ptr_nonnull(p);
	ck_assert(g_str_has_prefix(p, "\"text\":\"last\""));
	ck_assert(g_str_has_suffix(p, "data: [DONE]\n\n"));
}

/* Guards against a stream that stalls as more waits than its buffer holds. */
START_TEST(test_more_than_the_buffer_waits)
{
	begin();
	/* Short ones arrive at once, and their chunks are far longer. */
	for (unsigned int i = 0; i < 5000; i++)
		send_token(i, 6);
	send_last();
	RUN_UNTIL(w.e.loop, buf_unread(&w.r->unsent_output) > 70000);
	check_received(5000, 6);
	end();
}
END_TEST

/* Guards against a chunk that never fits into the buffer, although it is empty:
 * the longest token with its frame. */
START_TEST(test_token_larger_than_the_buffer)
{
	begin();
	for (unsigned int i = 0; i < 4; i++)
		send_token(i, EP_TEXT_MAX_BYTES);
	send_last();
	check_received(4, EP_TEXT_MAX_BYTES);
	end();
}
END_TEST

/* Guards against an error event that overtakes tokens which wait, after which
 * the stream would look complete without them. */
START_TEST(test_failure_while_tokens_wait)
{
	begin();
	for (unsigned int i = 0; i < 10; i++)
		send_token(i, 30000);
	/* The buffer has room for the error event, not for what waits. */
	fetch_pause(caller.fetch);
	RUN_UNTIL(w.e.loop, buf_unread(&w.r->unsent_output));
	fetch_resume(caller.fetch);
	RUN_UNTIL(w.e.loop, httpd_stream_write(w.r->http, "", 0) < 64000);
	ck_assert_uint_gt(buf_unread(&w.r->unsent_output), 0);
	request_fail(w.r, -MW_EUPSTREAM, NULL, 0);
	RUN_UNTIL(w.e.loop, caller.done);
	ck_assert_int_eq(caller.result.err, FETCH_BROKEN);
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_more_than_the_buffer_waits,
				      test_token_larger_than_the_buffer,
				      test_failure_while_tokens_wait};

	return check_main("entry_stream", tests, G_N_ELEMENTS(tests));
}
