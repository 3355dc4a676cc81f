#include <check.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <ev.h>

#include "base/buf.h"
#include "base/clock.h"
#include "net/fetch.h"

/*
 * The server is a plain socket that each test serves by hand, so that it can
 * violate HTTP.
 */
static struct ev_loop *loop;
static struct fetcher *client;
static int listen_fd, port;
static int accepted, requests; /* counted by the server */
static int done, status;
static struct fetch_result result;
/* Cancelled when data of any transfer arrives. */
static struct fetch *cancel_on_data;

static void on_data(void *arg, struct fetch *f, const char *p, size_t n)
{
	(void)arg;
	(void)f;
	(void)p;
	(void)n;
	if (cancel_on_data) {
		fetch_cancel(cancel_on_data);
		cancel_on_data = NULL;
	}
}

static void on_done(void *arg, struct fetch *f, const struct fetch_result *r)
{
	(void)f;
	result = *r;
	status = r->status;
	done++;
	if (arg)
		*(int *)arg = 1;
}

static const struct fetch_ops ops = {NULL, on_data, on_done};

static struct membudget *budget_when_done;
static size_t used_when_done;

static void limit_on_headers(void *arg, struct fetch *f, int code)
{
	(void)arg;
	(void)code;
	fetch_limit_body(f, 100000);
}

static void note_used_when_done(void *arg, struct fetch *f,
				const struct fetch_result *r)
{
	on_done(arg, f, r);
	used_when_done = budget_when_done->used;
}

static const struct fetch_ops limited_ops = {limit_on_headers, on_data,
					     note_used_when_done};

static struct fetch *start(const char *method, unsigned flags, int timeout_ms,
			   int *flag)
{
	char url[64];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/", port);
	return fetch_start(client,
			   &(struct fetch_spec){.method = method,
						.url = url,
						.flags = flags,
						.timeout_ms = timeout_ms,
						.connect_timeout_ms = 200},
			   &ops, flag);
}

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
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sa);

	loop = ev_loop_new(EVFLAG_AUTO);
	client = fetcher_new(loop, 0);
	listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	ck_assert_int_eq(bind(listen_fd, (void *)&sa, sizeof(sa)), 0);
	ck_assert_int_eq(listen(listen_fd, 16), 0);
	ck_assert_int_eq(getsockname(listen_fd, (void *)&sa, &len), 0);
	port = ntohs(sa.sin_port);
	accepted = requests = done = status = 0;
	cancel_on_data = NULL;
}

static void teardown(void)
{
	fetcher_free(client);
	close(listen_fd);
	ev_loop_destroy(loop);
}

/*
 * Waits until a complete request has arrived on fd, or on a new connection if
 * fd is -1; returns its descriptor.
 */
static int serve(int fd)
{
	char in[2048] = "";
	size_t n = 0;

	if (fd < 0) {
		RUN_UNTIL((fd = accept4(listen_fd, NULL, NULL,
					SOCK_NONBLOCK)) >= 0);
		accepted++;
	}
	while (!strstr(in, "\r\n\r\n")) {
		ssize_t r;
		RUN_UNTIL((r = recv(fd, in + n, sizeof(in) - 1 - n, 0)) > 0);
		n += (size_t)r;
		in[n] = '\0';
	}
	requests++;
	return fd;
}

static void answer(int fd, const char *text)
{
	ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
			 (int)strlen(text));
}

#define OK_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

/*
 * Guards against a POST that libcurl sends twice: it would do so if the POST
 * used the kept connection of the GET and the server closed that without an
 * answer.
 */
START_TEST(test_post_is_never_sent_twice)
{
	start("GET", 0, 0, NULL);
	int fd = serve(-1);
	answer(fd, OK_ANSWER);
	RUN_UNTIL(done == 1);
	start("POST", 0, 0, NULL);
	int fd2 = serve(-1);
	close(fd2);
	RUN_UNTIL(done == 2);
	ck_assert_int_eq(result.err, FETCH_BROKEN);
	ck_assert_int_eq(result.sent, 1);
	ck_assert_int_eq(requests, 2);
	ck_assert_int_eq(accepted, 2);
	close(fd);
}
END_TEST

/*
 * Guards against a repeatable request that is reported as not sent: it is sent
 * on a kept connection, which the server closes; libcurl then sends it again,
 * and the new connection is refused.
 */
START_TEST(test_sent_on_kept_connection)
{
	start("GET", 0, 0, NULL);
	int fd = serve(-1);
	answer(fd, OK_ANSWER);
	RUN_UNTIL(done == 1);
	start("POST", FETCH_REPEATABLE, 0, NULL);
	serve(fd);
	close(listen_fd);
	close(fd);
	RUN_UNTIL(done == 2);
	ck_assert_int_ne(result.err, FETCH_OK);
	ck_assert_int_eq(result.sent, 1);
	listen_fd = socket(AF_INET, SOCK_STREAM, 0);
}
END_TEST

/*
 * Guards against wrong error kinds: from them callers derive whether a request
 * may be reported as not run.
 */
START_TEST(test_error_kinds)
{
	start("POST", 0, 100, NULL);
	int fd = serve(-1);
	RUN_UNTIL(done == 1);
	ck_assert_int_eq(result.err, FETCH_TIMEOUT);
	ck_assert_int_eq(result.sent, 1);
	close(fd);

	start("GET", 0, 0, NULL);
	fd = serve(-1);
	answer(fd, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi");
	close(fd);
	RUN_UNTIL(done == 2);
	ck_assert_int_eq(result.err, FETCH_BROKEN);
	ck_assert_int_eq(result.status, 200);

	close(listen_fd);
	start("POST", 0, 0, NULL);
	RUN_UNTIL(done == 3);
	ck_assert_int_eq(result.err, FETCH_CONNECT);
	ck_assert_int_eq(result.connection_refused, 1);
	ck_assert_int_eq(result.sent, 0);
	listen_fd = socket(AF_INET, SOCK_STREAM, 0);
}
END_TEST

static int headers_called;

static void count_headers(void *arg, struct fetch *f, int code)
{
	(void)arg;
	(void)f;
	(void)code;
	headers_called++;
}

static void count_data(void *arg, struct fetch *f, const char *p, size_t n)
{
	headers_called++;
	on_data(arg, f, p, n);
}

static const struct fetch_ops counting_ops = {count_headers, count_data,
					      on_done};

/* Sends the bytes as an answer and keeps the connection open. */
static void get_answer(const char *bytes)
{
	char url[64];

	done = status = headers_called = 0;
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/", port);
	fetch_start(client,
		    &(struct fetch_spec){.method = "POST",
					 .url = url,
					 .timeout_ms = 4000,
					 .connect_timeout_ms = 200},
		    &counting_ops, NULL);
	int fd = serve(-1);
	answer(fd, bytes);
	RUN_UNTIL(done == 1);
	close(fd);
}

/*
 * Guards against an answer with a status that HTTP does not have, or for
 * another protocol, that is passed on or waited for.
 */
START_TEST(test_odd_status)
{
	static const char *const odd[] = {
		"000",	"001", "099", "101", "600", "999",  "1000", "20",
		"2000", "-20", "+20", "2x0", "",    "20 0", "0x200"};

	for (size_t i = 0; i < sizeof(odd) / sizeof(*odd); i++) {
		for (int interim = 0; interim < 2; interim++) {
			char bytes[200];

			snprintf(bytes, sizeof(bytes),
				 "%sHTTP/1.1 %s Odd\r\nContent-Length: 9\r\n"
				 "\r\nodd",
				 interim ? "HTTP/1.1 103 Early\r\n\r\n" : "",
				 odd[i]);
			get_answer(bytes);
			ck_assert_msg(result.err == FETCH_BROKEN, "%s: %d",
				      odd[i], (int)result.err);
			ck_assert_int_eq(result.status, 0);
			ck_assert_int_eq(result.sent, 1);
			ck_assert_msg(!headers_called, "%s", odd[i]);
		}
	}
	get_answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Wait\r\n\r\n"
		   "HTTP/1.1 599 Full\r\nContent-Length: 0\r\n\r\n");
	ck_assert_int_eq(result.err, FETCH_OK);
	ck_assert_int_eq(result.status, 599);
	get_answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		   "2\r\nhi\r\n0\r\nX-Trailer: 1\r\n\r\n");
	ck_assert_int_eq(result.err, FETCH_OK);
	ck_assert_int_eq(result.status, 200);
}
END_TEST

/* Guards against callbacks of a transfer cancelled in another's callback. */
START_TEST(test_cancel_in_callback)
{
	int flag = 0;
	struct fetch *other = start("GET", 0, 0, &flag);
	int fd1 = serve(-1);

	start("GET", 0, 0, NULL);
	int fd2 = serve(-1);
	cancel_on_data = other;
	answer(fd2, OK_ANSWER);
	RUN_UNTIL(done == 1);
	answer(fd1, OK_ANSWER);
	int64_t end = clock_mono_us() + 50 * USEC_PER_MSEC;
	while (clock_mono_us() < end)
		ev_run(loop, EVRUN_NOWAIT);
	ck_assert_int_eq(done, 1);
	ck_assert_int_eq(flag, 0);
	close(fd1);
	close(fd2);
}
END_TEST

/*
 * Guards against an answer that is counted as collected while its owner passes
 * it on and counts it too: it or others would be shed for want of room.
 */
START_TEST(test_body_is_given_back_before_done)
{
	struct membudget budget;
	char url[64];

	membudget_init(&budget, 16);
	fetcher_set_budget(client, &budget);
	budget_when_done = &budget;
	used_when_done = 1;
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/", port);
	fetch_start(client,
		    &(struct fetch_spec){.method = "GET",
					 .url = url,
					 .connect_timeout_ms = 200},
		    &limited_ops, NULL);
	int fd = serve(-1);
	answer(fd, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhi");
	RUN_UNTIL(budget.used);
	answer(fd, "hi");
	RUN_UNTIL(done == 1);
	ck_assert_uint_eq(used_when_done, 0);
	ck_assert_uint_eq(budget.used, 0);
	close(fd);
	fetcher_free(client);
	membudget_release(&budget);
	client = fetcher_new(loop, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("fetch");
	TCase *tc = tcase_create("fetch");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 30);
	tcase_add_test(tc, test_post_is_never_sent_twice);
	tcase_add_test(tc, test_sent_on_kept_connection);
	tcase_add_test(tc, test_error_kinds);
	tcase_add_test(tc, test_odd_status);
	tcase_add_test(tc, test_cancel_in_callback);
	tcase_add_test(tc, test_body_is_given_back_before_done);
	suite_add_tcase(s, tc);
	SRunner *sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
