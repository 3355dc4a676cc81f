#ifndef STREAM_CALLER_H
#define STREAM_CALLER_H

/* A caller of a stream, in the process of the server that it calls. */

#include "check_main.h"

#include <stdio.h>
#include <string.h>
#include <ev.h>

#include "base/buf.h"
#include "base/clock.h"
#include "net/fetch.h"

static struct caller {
	struct fetch *fetch;
	struct buf received;
	struct fetch_result result;
	bool done;
} caller;

/* Runs the loop until the condition holds, for at most 5 s. */
#define RUN_UNTIL(loop, cond)                                                  \
	do {                                                                   \
		int64_t end = clock_mono_us() + 5 * USEC_PER_SEC;              \
		while (!(cond) && clock_mono_us() < end)                       \
			ev_run(loop, EVRUN_NOWAIT);                            \
		ck_assert_msg(cond, #cond);                                    \
	} while (0)

static void on_caller_data(void *arg, struct fetch *f, const char *p, size_t n)
{
	(void)arg;
	(void)f;
	buf_add(&caller.received, p, n);
}

static void on_caller_done(void *arg, struct fetch *f,
			   const struct fetch_result *res)
{
	(void)arg;
	(void)f;
	caller.result = *res;
	caller.done = true;
}

static void caller_start(struct fetcher *fetcher, int port)
{
	static const struct fetch_ops ops = {NULL, on_caller_data,
					     on_caller_done};
	char url[64];

	buf_release(&caller.received);
	memset(&caller, 0, sizeof(caller));
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/", port);
	struct fetch_spec spec = {.method = "GET", .url = url};
	caller.fetch = fetch_start(fetcher, &spec, &ops, NULL);
}

#endif
