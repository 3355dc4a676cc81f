#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <ev.h>
#include <glib.h>

#include "base/buf.h"
#include "base/clock.h"
#include "base/err.h"
#include "net/fetch.h"
#include "net/httpd.h"

/* A server and a client on one loop. */
static struct ev_loop *loop;
static struct httpd *server;
static struct fetcher *client;
static struct httpd_req *open_req; /* unanswered request, or NULL */
static int drained, closed;
static enum httpd_closer closer; /* of the last `closed` callback */

static struct call {
	struct fetch *f;
	struct buf body;
	struct fetch_result r;
	int done;
	int first_us;  /* time from start to the first byte */
	int64_t start; /* microseconds, monotonic clock */
} calls[2];

static void on_drained(void *arg, struct httpd_req *req)
{
	(void)arg;
	(void)req;
	drained++;
}

static void on_closed(void *arg, struct httpd_req *req)
{
	(void)arg;
	ck_assert_ptr_eq(req, open_req);
	open_req = NULL;
	closer = httpd_closer(req);
	closed++;
}

static const struct httpd_req_ops ops = {on_drained, on_closed};

static void handle(void *ctx, struct httpd_req *req)
{
	size_t len;
	const char *body = httpd_body(req, &len);
	const char *const headers[] = {"X-Path", httpd_path(req), "X-Query",
				       httpd_query(req, "q") ?: "none", NULL};

	(void)ctx;
	if (!strcmp(httpd_path(req), "/echo x")) {
		httpd_reply(req, 201, headers, body, len);
		return;
	}
	if (g_str_has_prefix(httpd_path(req), "/status/")) {
		struct buf answer = BUF_INIT;

		buf_addstr(&answer, "odd");
		httpd_reply_buf(req, atoi(httpd_path(req) + 8), headers,
				&answer);
		buf_release(&answer);
		return;
	}
	httpd_set_owner(req, &ops, NULL);
	open_req = req;
	if (!strcmp(httpd_path(req), "/stream"))
		httpd_stream_begin(req, 200, NULL);
}

static void on_data(void *arg, struct fetch *f, const char *p, size_t n)
{
	struct call *c = arg;

	(void)f;
	if (!c->first_us)
		c->first_us = (int)(clock_mono_us() - c->start) + 1;
	buf_add(&c->body, p, n);
}

static void on_done(void *arg, struct fetch *f, const struct fetch_result *r)
{
	struct call *c = arg;

	if (r->status == 201)
		ck_assert_str_eq(fetch_header(f, "x-query"), "a b");
	c->r = *r;
	c->done = 1;
	c->f = NULL;
}

static const struct fetch_ops fetch_cb = {NULL, on_data, on_done};

static struct call *start(int i, const char *method, const char *path,
			  const void *body, size_t len)
{
	struct call *c = &calls[i];
	char url[128];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", httpd_port(server),
		 path);
	buf_release(&c->body);
	memset(c, 0, sizeof(*c));
	c->start = clock_mono_us();
	c->f = fetch_start(client,
			   &(struct fetch_spec){.method = method,
						.url = url,
						.body = body,
						.body_len = len},
			   &fetch_cb, c);
	return c;
}

/* Runs the loop until the condition holds, for at most 5 s. */
#define RUN_UNTIL(cond)                                                        \
	do {                                                                   \
		int64_t end = clock_mono_us() + 5 * USEC_PER_SEC;              \
		int met = 0;                                                   \
		while (!(met = !!(cond)) && clock_mono_us() < end)             \
			ev_run(loop, EVRUN_NOWAIT);                            \
		ck_assert_msg(met, #cond);                                     \
	} while (0)

static void setup(void)
{
	loop = ev_loop_new(EVFLAG_AUTO);
	client = fetcher_new(loop, 0);
	ck_assert_int_eq(httpd_new(loop, "127.0.0.1", 0,
				   &(struct httpd_config){.max_body = 100000,
							  .max_stream = 8000,
							  .max_requests = 1,
							  .sndbuf = 4096},
				   handle, NULL, &server),
			 0);
	open_req = NULL;
	drained = closed = 0;
}

static void teardown(void)
{
	fetcher_free(client);
	httpd_free(server);
	ev_loop_destroy(loop);
	for (int i = 0; i < 2; i++)
		buf_release(&calls[i].body);
}

/* Guards against lost body bytes and wrong decoding of path or query. */
START_TEST(test_echo)
{
	static char big[90000];

	memset(big, 'z', sizeof(big));
	for (int i = 0; i < 3; i++) {
		struct call *c = start(0, i ? "POST" : "PUT",
				       "/echo%20x?q=a+b&r=1", big, sizeof(big));
		RUN_UNTIL(c->done);
		ck_assert_int_eq(c->r.status, 201);
		ck_assert_uint_eq(buf_unread(&c->body), sizeof(big));
	}
}
END_TEST

/* Guards against an answer whose status HTTP does not have, as of an older
 * record, and against its headers and body under another status. */
START_TEST(test_invalid_status)
{
	static const char *const paths[] = {"/status/0", "/status/99",
					    "/status/101", "/status/600",
					    "/status/999"};

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		struct call *c = start(0, "GET", paths[i], NULL, 0);
		RUN_UNTIL(c->done);
		ck_assert_int_eq(c->r.status, 502);
		ck_assert_uint_eq(buf_unread(&c->body), 0);
	}
	struct call *c = start(0, "GET", "/status/599", NULL, 0);
	RUN_UNTIL(c->done);
	ck_assert_int_eq(c->r.status, 599);
	ck_assert_uint_eq(buf_unread(&c->body), 3);
}
END_TEST

/* Guards against unbounded bodies and unbounded numbers of requests. */
START_TEST(test_limits)
{
	static char big[100001];
	struct call *c = start(0, "POST", "/hold", big, sizeof(big));

	RUN_UNTIL(c->done);
	ck_assert_int_eq(c->r.status, 413);
	c = start(0, "GET", "/hold", NULL, 0);
	RUN_UNTIL(open_req);
	struct call *d = start(1, "GET", "/hold", NULL, 0);
	RUN_UNTIL(d->done);
	ck_assert_int_eq(d->r.status, 429);
	httpd_reply(open_req, 204, NULL, NULL, 0);
	RUN_UNTIL(c->done);
	ck_assert_int_eq(c->r.status, 204);
	ck_assert_int_eq(closed, 0);
}
END_TEST

/* Guards against stream bytes that are buffered until the next write. */
START_TEST(test_stream_is_prompt)
{
	struct call *c = start(0, "GET", "/stream", NULL, 0);
	size_t sent = 0;

	RUN_UNTIL(open_req);
	for (int i = 0; i < 100; i++) {
		sent += 7;
		ck_assert_int_eq(httpd_stream_write(open_req, "token\n\n", 7),
				 7);
		RUN_UNTIL(buf_unread(&c->body) == sent);
	}
	httpd_stream_end(open_req);
	RUN_UNTIL(c->done);
	ck_assert_int_eq(c->r.err, FETCH_OK);
	RUN_UNTIL(httpd_open_requests(server) == 0);
}
END_TEST

/* Guards against unbounded buffering for a client that does not read. */
START_TEST(test_backpressure)
{
	struct call *c = start(0, "GET", "/stream", NULL, 0);
	char piece[1000];
	size_t sent = 0;
	int refused = 0;

	memset(piece, 'p', sizeof(piece));
	RUN_UNTIL(open_req);
	fetch_pause(c->f);
	for (int i = 0; i < 100000 && refused < 1000; i++) {
		ssize_t n = httpd_stream_write(open_req, piece, sizeof(piece));

		ck_assert(n == -MW_EAGAIN || (n > 0 && n <= 8000));
		if (n > 0)
			sent += sizeof(piece);
		else
			refused++;
		ev_run(loop, EVRUN_NOWAIT);
	}
	ck_assert_int_eq(refused, 1000);
	drained = 0;
	fetch_resume(c->f);
	RUN_UNTIL(drained);
	httpd_stream_end(open_req);
	RUN_UNTIL(c->done);
	ck_assert_uint_eq(buf_unread(&c->body), sent);
	ck_assert_int_eq(c->r.err, FETCH_OK);
}
END_TEST

/*
 * Guards against a request that stays open after its client has closed the
 * connection, before the answer or in a stream.
 */
START_TEST(test_closed_by_client)
{
	const char *const paths[] = {"/hold", "/stream"};

	for (int i = 0; i < 2; i++) {
		struct call *c = start(0, "GET", paths[i], NULL, 0);
		RUN_UNTIL(open_req);
		fetch_cancel(c->f);
		RUN_UNTIL(closed == i + 1);
		ck_assert_int_eq(closer, HTTPD_CLIENT);
		RUN_UNTIL(httpd_open_requests(server) == 0);
	}
}
END_TEST

/* Guards against an aborted stream that looks complete to the client. */
START_TEST(test_abort)
{
	struct call *c = start(0, "GET", "/stream", NULL, 0);

	RUN_UNTIL(open_req);
	httpd_stream_write(open_req, "x", 1);
	RUN_UNTIL(buf_unread(&c->body) == 1);
	httpd_abort(open_req);
	RUN_UNTIL(c->done);
	ck_assert_int_eq(c->r.err, FETCH_BROKEN);
	ck_assert_int_eq(c->r.sent, 1);
	ck_assert_int_eq(closed, 0);
}
END_TEST

/* Connects to the server without running the loop. */
static int connect_raw(void)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_port =
					 htons((uint16_t)httpd_port(server)),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	return fd;
}

static void send_raw(int fd, const char *path)
{
	char text[128];
	int n = snprintf(text, sizeof(text),
			 "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path);

	ck_assert_int_eq(write(fd, text, (size_t)n), n);
}

/* A client that sends a request just before the server closes its connection;
 * 0: none. */
static int late_client;

/* Replaces the function of the C library, also for the server. */
int shutdown(int fd, int how)
{
	int client_fd = late_client;

	late_client = 0;
	if (client_fd)
		send_raw(client_fd, "/hold");
	return (int)syscall(SYS_shutdown, fd, how);
}

/* Reads what has arrived of an answer; its status, 0: none. */
static int answer_status(int fd)
{
	char text[256] = "";
	int status = 0;

	if (recv(fd, text, sizeof(text) - 1, MSG_DONTWAIT) > 0)
		sscanf(text, "HTTP/1.1 %d", &status);
	return status;
}

/* Guards against a planned stop that cuts requests off which have arrived on
 * connections that are not accepted yet. */
START_TEST(test_quiesce_accepts_backlog)
{
	int fds[20], status;

	for (int i = 0; i < 20; i++) {
		fds[i] = connect_raw();
		send_raw(fds[i], "/echo%20x?q=a+b");
	}
	httpd_quiesce(server);
	for (int i = 0; i < 20; i++) {
		RUN_UNTIL((status = answer_status(fds[i])) != 0);
		ck_assert_int_eq(status, 201);
	}
	ck_assert(!httpd_is_drained(server));
	for (int i = 0; i < 20; i++)
		close(fds[i]);
	RUN_UNTIL(httpd_is_drained(server));
}
END_TEST

/* Guards against a planned stop that closes a connection on which a request
 * has arrived and is not read yet. */
START_TEST(test_close_idle_spares_unread)
{
	int fd = connect_raw(), idle = connect_raw(), status;

	for (int i = 0; i < 2; i++) {
		send_raw(fd, "/echo%20x?q=a+b");
		if (i) {
			httpd_quiesce(server);
			httpd_close_idle(server);
		}
		RUN_UNTIL((status = answer_status(fd)) != 0);
		ck_assert_int_eq(status, 201);
	}
	RUN_UNTIL((httpd_close_idle(server), httpd_is_drained(server)));
	ck_assert_int_eq(recv(idle, &status, 1, MSG_DONTWAIT), 0);
	close(fd);
	close(idle);
}
END_TEST

/* Guards against a planned stop that closes a connection before its first
 * request can have come. */
START_TEST(test_close_idle_spares_new)
{
	int fd = connect_raw(), status;

	httpd_quiesce(server);
	for (int i = 0; i < 20; i++) {
		httpd_close_idle(server);
		ev_run(loop, EVRUN_NOWAIT);
	}
	send_raw(fd, "/echo%20x?q=a+b");
	RUN_UNTIL((status = answer_status(fd)) != 0);
	ck_assert_int_eq(status, 201);
	RUN_UNTIL((httpd_close_idle(server), httpd_is_drained(server)));
	close(fd);
}
END_TEST

/* Guards against a request that arrives while its connection is closed as idle,
 * and is passed on although it can't be answered any more. */
START_TEST(test_close_idle_passes_nothing_on)
{
	int fd = connect_raw(), status;

	send_raw(fd, "/echo%20x?q=a+b");
	RUN_UNTIL((status = answer_status(fd)) != 0);
	late_client = fd;
	httpd_close_idle(server);
	ck_assert_int_eq(late_client, 0);
	httpd_quiesce(server);
	RUN_UNTIL(httpd_is_drained(server));
	ck_assert_ptr_null(open_req);
	ck_assert_int_eq(closed, 0);
	close(fd);
}
END_TEST

/* Guards against an answer that is lost as the process ends after giving it. */
START_TEST(test_free_sends_replies)
{
	int fd = connect_raw(), status;

	send_raw(fd, "/hold");
	RUN_UNTIL(open_req);
	/* The next one must not be passed to an owner that ends. */
	send_raw(fd, "/hold");
	struct httpd_req *first = open_req;
	httpd_reply(open_req, 204, NULL, "", 0);
	httpd_free(server);
	ck_assert_ptr_eq(open_req, first);
	status = answer_status(fd);
	ck_assert_int_eq(status, 204);
	ck_assert_int_eq(closed, 0);
	close(fd);
	ck_assert_int_eq(
		httpd_new(loop, "127.0.0.1", 0, NULL, handle, NULL, &server),
		0);
}
END_TEST

/* Guards against a request that a stop of this process cuts off and that looks
 * as if its client had left. */
START_TEST(test_free_names_closer)
{
	int fd = connect_raw();

	send_raw(fd, "/hold");
	RUN_UNTIL(open_req);
	httpd_free(server);
	ck_assert_int_eq(closed, 1);
	ck_assert_int_eq(closer, HTTPD_SERVER);
	close(fd);
	ck_assert_int_eq(
		httpd_new(loop, "127.0.0.1", 0, NULL, handle, NULL, &server),
		0);
}
END_TEST

/* Guards against a request that a process ends without an answer as it stops.
 */
START_TEST(test_answer_open)
{
	int fd = connect_raw(), status;

	send_raw(fd, "/hold");
	RUN_UNTIL(open_req);
	httpd_answer_open(server, 503, "{}");
	ck_assert_ptr_null(open_req);
	ck_assert_int_eq(closed, 1);
	ck_assert_int_eq(closer, HTTPD_SERVER);
	httpd_answer_open(server, 503, "{}");
	httpd_free(server);
	ck_assert_int_eq(closed, 1);
	status = answer_status(fd);
	ck_assert_int_eq(status, 503);
	close(fd);
	ck_assert_int_eq(
		httpd_new(loop, "127.0.0.1", 0, NULL, handle, NULL, &server),
		0);
}
END_TEST

static int open_raw(const char *bytes, size_t size)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				 .sin_port =
					 htons((uint16_t)httpd_port(server))};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(connect(fd, (void *)&sa, sizeof(sa)), 0);
	ck_assert_int_eq(send(fd, bytes, size, MSG_NOSIGNAL), (int)size);
	return fd;
}

/* Waits for the answer and closes the connection; returns the status. */
static int raw_answer(int fd)
{
	char in[4096];
	ssize_t n;

	RUN_UNTIL((n = recv(fd, in, sizeof(in) - 1, MSG_DONTWAIT)) > 0);
	close(fd);
	in[n] = '\0';
	return atoi(in + strlen("HTTP/1.1 "));
}

/* Sends bytes and returns the status of the answer. */
static int raw_status(const char *bytes, size_t size)
{
	return raw_answer(open_raw(bytes, size));
}

#define RAW(text, status)                                                      \
	{                                                                      \
		text, sizeof(text) - 1, status                                 \
	}

/* Guards against requests of which two readers see different parts. */
START_TEST(test_ambiguous_requests)
{
	static const struct {
		const char *bytes;
		size_t size;
		int status;
	} requests[] = {
		RAW("POST /echo%20x?q=a+b&r=1 HTTP/1.1\r\nHost: a\r\n"
		    "Content-Length: 2\r\n\r\nhi",
		    201),
		RAW("POST /echo%20x?q=a+b&r=1 HTTP/1.1\r\nHost: a\r\n"
		    "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
		    201),
		RAW("POST /echo%20x?q=a+b&r=1 HTTP/1.1\r\nHost: a\r\n"
		    "Content-Length: 2\r\nContent-Length: 1\r\n\r\nhi",
		    400),
		RAW("POST /echo%20x?q=a+b&r=1 HTTP/1.1\r\nHost: a\r\n"
		    "content-length: 1\r\nX-A: 1\r\nContent-Length: 2\r\n\r\n"
		    "hi",
		    400),
		RAW("GET /echo%20x?q=a+b&r=1\0/b HTTP/1.1\r\nHost: a\r\n\r\n",
		    400),
	};

	for (size_t i = 0; i < sizeof(requests) / sizeof(requests[0]); i++)
		ck_assert_msg(raw_status(requests[i].bytes, requests[i].size) ==
				      requests[i].status,
			      "request %zu", i);
}
END_TEST

static void replace_server(const struct httpd_config *cfg)
{
	httpd_free(server);
	ck_assert_int_eq(
		httpd_new(loop, "127.0.0.1", 0, cfg, handle, NULL, &server), 0);
}

/* A request with `lines` header lines of `size` bytes each. */
static int status_with_headers(int lines, int size)
{
	GString *s = g_string_new("GET /echo%20x HTTP/1.1\r\n");

	for (int i = 0; i < lines; i++)
		g_string_append_printf(s, "x%03d:%*s\r\n", i % 1000, size - 7,
				       "1");
	g_string_append(s, "\r\n");
	int status = raw_status(s->str, s->len);
	g_string_free(s, TRUE);
	return status;
}

/* Guards against headers without a limit where the memory would do, and against
 * a limit that counts something else than bytes. */
START_TEST(test_header_bytes)
{
	replace_server(&(struct httpd_config){.conn_memory = 64 << 10,
					      .max_header = 8000});
	ck_assert_int_eq(status_with_headers(800, 9), 201);
	ck_assert_int_eq(status_with_headers(75, 100), 201);
	ck_assert_int_eq(status_with_headers(85, 100), 431);
	ck_assert_int_eq(status_with_headers(1, 7900), 201);
	ck_assert_int_eq(status_with_headers(1, 8100), 431);
	ck_assert_int_eq(status_with_headers(1, 20000), 431);
}
END_TEST

/* Whether the server has closed the connection, after its answer. */
static bool is_closed(int fd)
{
	char text[512];
	ssize_t n;

	do
		n = recv(fd, text, sizeof(text), MSG_DONTWAIT);
	while (n > 0);
	return n == 0;
}

/* Guards against memory that idle connections hold without a bound, and against
 * closing one before its answer. */
START_TEST(test_kept_connections)
{
	int fds[6], status;

	replace_server(&(struct httpd_config){.max_kept = 4});
	for (int i = 0; i < 6; i++) {
		fds[i] = connect_raw();
		send_raw(fds[i], "/echo%20x");
		RUN_UNTIL((status = answer_status(fds[i])) != 0);
		ck_assert_int_eq(status, 201);
		if (i >= 4)
			RUN_UNTIL(is_closed(fds[i]));
	}
	for (int i = 0; i < 4; i++) {
		ck_assert(!is_closed(fds[i]));
		close(fds[i]);
	}
}
END_TEST

/*
 * Guards against bodies that are bounded one by one only, and against room that
 * is not given back when a sender goes, an owner drops the body or it is
 * refused.
 */
START_TEST(test_bodies_are_bounded_together)
{
	static char big[60000];
	struct httpd_config cfg = {.max_body = 100000, .max_bodies = 100000};
	struct call *c;

	httpd_free(server);
	ck_assert_int_eq(
		httpd_new(loop, "127.0.0.1", 0, &cfg, handle, NULL, &server),
		0);
	/* A body that is announced counts before it comes. */
	static const char announced[] = "POST /hold HTTP/1.1\r\nHost: a\r\n"
					"Content-Length: 60000\r\n\r\nxx";
	int fd = open_raw(announced, sizeof(announced) - 1);
	RUN_UNTIL(httpd_open_requests(server));
	c = start(0, "POST", "/echo%20x?q=a+b", big, sizeof(big));
	RUN_UNTIL(c->done);
	ck_assert_int_eq(c->r.status, 503);
	/* Small ones are not held up. */
	c = start(0, "POST", "/echo%20x?q=a+b", big, 10000);
	RUN_UNTIL(c->done);
	ck_assert_int_eq(c->r.status, 201);
	/* One without a length counts as it comes. */
	static const char chunked[] = "POST /hold HTTP/1.1\r\nHost: a\r\n"
				      "Transfer-Encoding: chunked\r\n\r\n"
				      "ea60\r\n";
	int chunked_fd = open_raw(chunked, sizeof(chunked) - 1);
	memset(big, 'z', sizeof(big));
	ck_assert_int_eq(send(chunked_fd, big, sizeof(big), 0), sizeof(big));
	ck_assert_int_eq(send(chunked_fd, "\r\n0\r\n\r\n", 7, 0), 7);
	ck_assert_int_eq(raw_answer(chunked_fd), 503);
	close(fd);
	RUN_UNTIL(!httpd_open_requests(server));
	/* As often as it would take if room were lost. */
	for (int i = 0; i < 3; i++) {
		c = start(0, "POST", "/hold", big, sizeof(big));
		RUN_UNTIL(open_req);
		httpd_drop_body(open_req);
		struct call *d =
			start(1, "POST", "/echo%20x?q=a+b", big, sizeof(big));
		RUN_UNTIL(d->done);
		ck_assert_int_eq(d->r.status, 201);
		httpd_reply(open_req, 200, NULL, "", 0);
		open_req = NULL;
		RUN_UNTIL(c->done);
		ck_assert_int_eq(c->r.status, 200);
	}
}
END_TEST

/* Guards against connections that stay open without a request, against closing
 * one while a request is open, and against a shorter limit of the library. */
START_TEST(test_idle_time)
{
	replace_server(&(struct httpd_config){.idle_timeout_s = 1});
	httpd_set_idle(server, 500 * USEC_PER_MSEC);
	int busy = connect_raw(), used = connect_raw(), unused = connect_raw();
	int status = 0;

	send_raw(busy, "/hold");
	send_raw(used, "/echo%20x");
	RUN_UNTIL(open_req && (status = answer_status(used)) != 0);
	ck_assert_int_eq(status, 201);
	int64_t start = clock_mono_us();
	RUN_UNTIL(is_closed(used) && is_closed(unused));
	ck_assert_int_ge(clock_mono_us() - start, 400 * USEC_PER_MSEC);
	ck_assert_int_le(clock_mono_us() - start, 950 * USEC_PER_MSEC);
	httpd_reply(open_req, 204, NULL, NULL, 0);
	RUN_UNTIL((status = answer_status(busy)) != 0);
	ck_assert_int_eq(status, 204);

	httpd_set_idle(server, 4 * (int64_t)USEC_PER_SEC);
	int later = connect_raw();
	send_raw(busy, "/echo%20x");
	RUN_UNTIL(answer_status(busy));
	start = clock_mono_us();
	RUN_UNTIL(clock_mono_us() - start >= 3 * (int64_t)USEC_PER_SEC);
	send_raw(busy, "/echo%20x");
	send_raw(later, "/echo%20x");
	RUN_UNTIL(answer_status(busy));
	RUN_UNTIL(answer_status(later));
	close(busy);
	close(later);
	close(used);
	close(unused);
}
END_TEST

/*
 * Guards against unfinished bodies that keep the room of a whole one, against a
 * whole request that is refused meanwhile, and against room that is not given
 * back.
 */
START_TEST(test_budget_sheds_unfinished_bodies)
{
	static char big[3000000];
	static const char head[] = "POST /hold HTTP/1.1\r\nHost: a\r\n"
				   "Content-Length: 3000000\r\n\r\n";
	struct membudget budget;
	int fds[4], n_closed = 0;

	membudget_init(&budget, 16); /* 10 MB for clients */
	replace_server(&(struct httpd_config){.max_body = sizeof(big),
					      .budget = &budget});
	for (int i = 0; i < 4; i++) {
		size_t sent = 0;

		fds[i] = open_raw(head, sizeof(head) - 1);
		while (sent < sizeof(big) - 1) {
			ssize_t n = send(fds[i], big, sizeof(big) - 1 - sent,
					 MSG_DONTWAIT | MSG_NOSIGNAL);
			if (n < 0 && errno != EAGAIN)
				break;
			sent += n > 0 ? (size_t)n : 0;
			ev_run(loop, EVRUN_NOWAIT);
		}
	}
	RUN_UNTIL(budget.used > 5000000 && budget.shed);
	ck_assert_uint_le(budget.used, budget.capacity);
	struct call *c = start(0, "POST", "/echo%20x?q=a+b", big, 2000000);
	RUN_UNTIL(c->done);
	ck_assert_int_eq(c->r.status, 201);
	for (int i = 0; i < 4; i++)
		n_closed += is_closed(fds[i]);
	ck_assert_int_gt(n_closed, 0);
	for (int i = 0; i < 4; i++)
		close(fds[i]);
	RUN_UNTIL(!httpd_open_requests(server));
	ck_assert_uint_lt(budget.used, 50000);
	replace_server(NULL);
	ck_assert_uint_eq(budget.used, 0);
	membudget_release(&budget);
}
END_TEST

/* Guards against bytes that an owner keeps for a slow reader and nobody counts,
 * and against a stream that looks complete although it was cut for want of
 * memory. */
START_TEST(test_kept_bytes)
{
	struct membudget budget;
	size_t before;

	membudget_init(&budget, 16); /* 10 MB for clients */
	replace_server(&(struct httpd_config){.budget = &budget,
					      .limit_sockets = true});
	struct call *c = start(0, "GET", "/stream", NULL, 0);
	RUN_UNTIL(open_req);
	before = budget.used;
	ck_assert(httpd_keep(open_req, 5000000));
	ck_assert_uint_eq(budget.used, before + 5000000);
	ck_assert(!httpd_keep(open_req, 11000000));
	ck_assert_uint_eq(budget.used, before + 5000000);
	ck_assert(httpd_keep(open_req, 1000));
	ck_assert_int_gt(httpd_stream_write(open_req, "x", 1), 0);
	httpd_shed(open_req);
	ck_assert_int_eq(closed, 0);
	RUN_UNTIL(closed == 1);
	ck_assert_int_eq(closer, HTTPD_SERVER);
	RUN_UNTIL(c->done);
	ck_assert_int_eq(c->r.err, FETCH_BROKEN);
	RUN_UNTIL(!httpd_open_requests(server));
	ck_assert_uint_lt(budget.used, 5000);
	replace_server(NULL);
	ck_assert_uint_eq(budget.used, 0);
	membudget_release(&budget);
}
END_TEST

static void ignore_shed(void *arg)
{
	(void)arg;
}

/* Guards against a stream in work that ends at its next event, for which there
 * is room, as its socket holds bytes for which there was none, and against
 * other connections that are closed at each new attempt to count these. */
START_TEST(test_refused_socket_bytes)
{
	static char pipelined[40000];
	struct membudget_holder other = {.shed = ignore_shed};
	struct membudget budget;
	int fd;

	membudget_init(&budget, 16);
	replace_server(&(struct httpd_config){.budget = &budget,
					      .limit_sockets = true});
	fd = connect_raw();
	send_raw(fd, "/stream");
	RUN_UNTIL(open_req);
	size_t used = budget.used;
	budget.capacity = used + 10000;
	ck_assert_int_eq(write(fd, pipelined, sizeof(pipelined)),
			 sizeof(pipelined));
	int64_t start_us = clock_mono_us();
	RUN_UNTIL(clock_mono_us() - start_us > 600 * USEC_PER_MSEC);
	ck_assert_uint_eq(budget.used, used);
	ck_assert_int_gt(httpd_stream_write(open_req, "event", 5), 0);
	start_us = clock_mono_us();
	membudget_add(&budget, &other, MEMBUDGET_ARRIVING, 0, start_us);
	ck_assert(membudget_set(&other, 5000, start_us));
	RUN_UNTIL(clock_mono_us() - start_us > 600 * USEC_PER_MSEC);
	ck_assert_uint_eq(budget.shed, 0);
	ck_assert_int_eq(closed, 0);
	membudget_remove(&other);
	/* They count once there is room. */
	budget.capacity = 10000000;
	RUN_UNTIL(budget.used > used + 20000);
	httpd_abort(open_req);
	RUN_UNTIL(!httpd_open_requests(server));
	close(fd);
	replace_server(NULL);
	ck_assert_uint_eq(budget.used, 0);
	membudget_release(&budget);
}
END_TEST

/* Guards against limits of a published document that do not hold, and against a
 * limit that it has withdrawn. */
START_TEST(test_sizes)
{
	static char body[5000];

	replace_server(&(struct httpd_config){.max_header = 10000,
					      .max_body = sizeof(body)});
	for (int i = 0; i < 3; i++) {
		bool limited = i == 1;

		httpd_set_sizes(server, limited ? 4000 : 0, limited ? 4000 : 0);
		ck_assert_int_eq(status_with_headers(60, 80),
				 limited ? 431 : 201);
		struct call *c =
			start(0, "POST", "/echo%20x?q=a+b", body, sizeof(body));
		RUN_UNTIL(c->done);
		ck_assert_int_eq(c->r.status, limited ? 413 : 201);
	}
}
END_TEST

/* Guards against headers that arrive for ever, and against closing a connection
 * on which no request has begun, before its idle time. */
START_TEST(test_header_time)
{
	struct membudget budget;
	int64_t start = clock_mono_us();

	membudget_init(&budget, 0);
	replace_server(&(struct httpd_config){.budget = &budget});
	httpd_set_header_time(server, 500 * USEC_PER_MSEC);
	int unused = connect_raw();
	int slow = open_raw("GET / HTTP/1.1\r\nHost", 20);
	RUN_UNTIL(is_closed(slow));
	ck_assert_int_ge(clock_mono_us() - start, 450 * USEC_PER_MSEC);
	ck_assert(!is_closed(unused));
	close(slow);
	close(unused);
	replace_server(NULL);
	membudget_release(&budget);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("httpd");
	TCase *tc = tcase_create("httpd");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 30);
	tcase_add_test(tc, test_echo);
	tcase_add_test(tc, test_invalid_status);
	tcase_add_test(tc, test_limits);
	tcase_add_test(tc, test_stream_is_prompt);
	tcase_add_test(tc, test_backpressure);
	tcase_add_test(tc, test_closed_by_client);
	tcase_add_test(tc, test_abort);
	tcase_add_test(tc, test_quiesce_accepts_backlog);
	tcase_add_test(tc, test_close_idle_spares_unread);
	tcase_add_test(tc, test_close_idle_spares_new);
	tcase_add_test(tc, test_close_idle_passes_nothing_on);
	tcase_add_test(tc, test_free_sends_replies);
	tcase_add_test(tc, test_free_names_closer);
	tcase_add_test(tc, test_answer_open);
	tcase_add_test(tc, test_ambiguous_requests);
	tcase_add_test(tc, test_header_bytes);
	tcase_add_test(tc, test_kept_connections);
	tcase_add_test(tc, test_idle_time);
	tcase_add_test(tc, test_bodies_are_bounded_together);
	tcase_add_test(tc, test_budget_sheds_unfinished_bodies);
	tcase_add_test(tc, test_header_time);
	tcase_add_test(tc, test_kept_bytes);
	tcase_add_test(tc, test_refused_socket_bytes);
	tcase_add_test(tc, test_sizes);
	suite_add_tcase(s, tc);
	SRunner *sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
