/*
 * mw-store: the weight store.  GET /weights/<model>/<version> streams bytes;
 * all streams together stay below a limited rate.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/list.h"
#include "base/log.h"
#include "standin/args.h"
#include "standin/hist.h"
#include "standin/reply.h"

#define TICK_S 0.02
#define PIECE_BYTES 16384
/* A loop that was held up does not make up for more than this. */
#define MAX_TICK_US (200 * USEC_PER_MSEC)

static char *listen_addr = "127.0.0.1:0", *history;
static gint64 bytes = 16 * 1024 * 1024, rate = 64 * 1024 * 1024;

static struct hist *hist;
static struct list streams = LIST_INIT(streams);
static int nstreams;
static int64_t last_tick;
static double allowance; /* bytes that may be sent now */

struct stream {
	struct list link;
	struct httpd_req *req;
	char *path;
	int64_t sent;
};

static void stream_free(struct stream *s, const char *ev)
{
	hist_put(hist, ev,
		 json_pack("{s:s,s:I}", "path", s->path, "bytes",
			   (json_int_t)s->sent));
	list_del(&s->link);
	nstreams--;
	g_free(s->path);
	g_free(s);
}

static void on_closed(void *arg, struct httpd_req *req)
{
	(void)req;
	stream_free(arg, "aborted");
}

static const struct httpd_req_ops req_ops = {NULL, on_closed};

static void handle(void *ctx, struct httpd_req *req)
{
	static const char prefix[] = "/weights/";
	const char *path = httpd_path(req);
	char total[24];
	const char *const headers[] = {"Content-Type",
				       "application/octet-stream",
				       "X-Weight-Bytes", total, NULL};

	(void)ctx;
	if (strcmp(httpd_method(req), "GET") != 0 ||
	    strncmp(path, prefix, strlen(prefix)) != 0 ||
	    !strchr(path + strlen(prefix), '/')) {
		reply_error(req, 404, 1, "not_found", "no such weights");
		return;
	}
	struct stream *s = g_new0(struct stream, 1);
	s->req = req;
	s->path = g_strdup(path);
	list_add_tail(&streams, &s->link);
	nstreams++;
	httpd_set_owner(req, &req_ops, s);
	snprintf(total, sizeof(total), "%lld", (long long)bytes);
	httpd_stream_begin(req, 200, headers);
	hist_put(hist, "start", json_pack("{s:s}", "path", path));
}

/* Writes at most `share` bytes; returns what was written. */
static int64_t feed(struct stream *s, int64_t share)
{
	static const char piece[PIECE_BYTES];
	int64_t done = 0;

	while (done < share && s->sent < bytes) {
		int64_t n = share - done;
		if (n > PIECE_BYTES)
			n = PIECE_BYTES;
		if (n > bytes - s->sent)
			n = bytes - s->sent;
		if (httpd_stream_write(s->req, piece, (size_t)n) < 0)
			break;
		s->sent += n;
		done += n;
	}
	return done;
}

static void on_tick(EV_P_ ev_timer *w, int revents)
{
	int64_t now = clock_mono_us(), us = now - last_tick;
	struct stream *s, *tmp;

	(void)loop;
	(void)w;
	(void)revents;
	last_tick = now;
	if (us > MAX_TICK_US)
		us = MAX_TICK_US;
	allowance += (double)rate * (double)us / (double)USEC_PER_SEC;
	/* Unused allowance is not saved up. */
	double most = (double)rate * TICK_S * 2;
	if (allowance > most)
		allowance = most;
	int left = nstreams;
	list_for_each_entry_safe (s, tmp, &streams, link) {
		allowance -= (double)feed(s, (int64_t)(allowance / left--));
		if (s->sent < bytes)
			continue;
		httpd_stream_end(s->req);
		stream_free(s, "sent");
	}
}

static const GOptionEntry options[] = {
	{"listen", 0, 0, G_OPTION_ARG_STRING, &listen_addr, "address",
	 "IP:PORT"},
	{"bytes", 0, 0, G_OPTION_ARG_INT64, &bytes, "size of all weights", "N"},
	{"rate", 0, 0, G_OPTION_ARG_INT64, &rate, "total bytes/s", "N"},
	{"history", 0, 0, G_OPTION_ARG_STRING, &history, "history file",
	 "FILE"},
	{NULL, 0, 0, 0, NULL, NULL, NULL}};

int main(int argc, char **argv)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	static struct httpd *server;
	ev_timer tick;
	char ip[64];
	int port;

	args_parse(&argc, &argv, "Stand-in weight store.", options);
	log_setup("mw-store", LOG_INFO);
	signal(SIGPIPE, SIG_IGN);
	hist = hist_open(history);
	if (args_addr(listen_addr, ip, &port) ||
	    httpd_new(loop, ip, port, NULL, handle, NULL, &server))
		return EXIT_FAILURE;
	last_tick = clock_mono_us();
	ev_timer_init(&tick, on_tick, TICK_S, TICK_S);
	ev_timer_start(loop, &tick);
	log_info("store", "listens on %s:%d", ip, httpd_port(server));
	ev_run(loop, 0);
	return EXIT_SUCCESS;
}
