/*
 * Fuzzes the HTTP server of the stand-in endpoint.  The first byte, modulo 3,
 * selects what the rest is: the bytes of a connection (0), or the body of a
 * completion (1) or of an order (2).  Afterwards the server must answer another
 * request and must have ended the requests of closed connections.
 */
#include "tests/fuzz/replay.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <ev.h>

#include "base/buf.h"
#include "base/clock.h"
#include "standin/endpoint.h"

/* Time for an answer to the input, which may be an incomplete request. */
#define INPUT_TIMEOUT_US (20 * USEC_PER_MSEC)
#define ANSWER_TIMEOUT_US (5 * USEC_PER_SEC)

static struct ev_loop *loop;
static struct endpoint endpoint;

static void start(void)
{
	struct endpoint_config cfg = {
		.batch = {.blocks = 100,
			  .block_tokens = 16,
			  .max_batch = 8,
			  .cache_blocks = 20,
			  .base_us = 100,
			  .prefill_chunk = 512},
		.ann = {.id = "e", .dc = "d", .key = "", .interval_ms = 1000},
		.listen = (char[]){"127.0.0.1:0"},
		.models = (char[]){"m1"},
		.version = (char[]){"1"},
		.role = (char[]){""},
		.out_median = 5,
		.out_cap = 10,
		.max_waiting = 8,
	};

	if (loop)
		return;
	loop = ev_loop_new(EVFLAG_AUTO);
	endpoint.faults.die_after = -1;
	FUZZ_CHECK(!endpoint_start(&endpoint, loop, &cfg));
}

static int dial(void)
{
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
		.sin_port = htons((uint16_t)httpd_port(endpoint.httpd))};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	FUZZ_CHECK(!connect(fd, (struct sockaddr *)&sa, sizeof(sa)));
	return fd;
}

/* Sends bytes; returns 1 if an answer starts with `expected` in timeout_us. */
static int exchange(const void *data, size_t size, int64_t timeout_us,
		    const char *expected)
{
	int fd = dial(), found = 0;
	size_t sent = 0;
	char in[4096];
	int64_t end = clock_mono_us() + timeout_us;

	while (clock_mono_us() < end && !found) {
		ssize_t n = 0;
		if (sent < size)
			n = send(fd, (const char *)data + sent, size - sent,
				 MSG_NOSIGNAL | MSG_DONTWAIT);
		sent += n > 0 ? (size_t)n : 0;
		ev_run(loop, EVRUN_NOWAIT);
		n = recv(fd, in, sizeof(in), MSG_DONTWAIT);
		found = n >= (ssize_t)strlen(expected) &&
			!memcmp(in, expected, strlen(expected));
		if (!n)
			break;
	}
	close(fd);
	return found;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const char health[] = "GET /v1/health HTTP/1.1\r\n"
				     "Host: a\r\n\r\n";
	AUTO_BUF struct buf b = BUF_INIT;

	if (!size)
		return 0;
	start();
	if (data[0] % 3)
		buf_addf(&b,
			 "POST /v1/%s HTTP/1.1\r\nHost: a\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 data[0] % 3 == 1 ? "completions" : "orders", size - 1);
	buf_add(&b, data + 1, size - 1);
	exchange(buf_head(&b), buf_unread(&b), INPUT_TIMEOUT_US, "HTTP/1.1 ");
	FUZZ_CHECK(exchange(health, strlen(health), ANSWER_TIMEOUT_US,
			    "HTTP/1.1 200"));
	int64_t end = clock_mono_us() + ANSWER_TIMEOUT_US;
	while (httpd_open_requests(endpoint.httpd) && clock_mono_us() < end)
		ev_run(loop, EVRUN_NOWAIT);
	FUZZ_CHECK(!httpd_open_requests(endpoint.httpd));
	return 0;
}
