/*
 * mw-service: the stand-in plain service.  It runs every operation it is sent
 * and records it with its idempotency key; it does not deduplicate.  So the
 * history shows whether a once-only call ran twice.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/log.h"
#include "standin/announce.h"
#include "standin/args.h"
#include "standin/hist.h"
#include "standin/reply.h"

/* Leaves the loop time to send the answer to the fault request itself. */
#define FAULT_DELAY_S 0.02
#define EXIT_CHECK_S 0.05

static struct ann_config ann_cfg = {
	.id = "service-1", .dc = "dc1", .interval_ms = 2000};
static char *listen_addr = "127.0.0.1:0", *advertise, *names = "book";
static char *balance = "round-robin", *key_file, *history;
static int delay_ms = 5, max_running = 64, seed = 1, verbose;

static struct ev_loop *the_loop;
static struct httpd *server;
static struct hist *hist;
static struct ann *ann;
static char *addr;
static int running, leaving, left;
static int64_t operations;

/* Each count is the number of operations that the fault still hits. */
static struct {
	int die_before, die_after, lost, late, late_ms;
} faults;

struct op {
	struct httpd_req *req; /* NULL once the client has gone */
	char *path, *key, *account, *request_id;
	int is_read;
	uint64_t body_hash;
	int64_t number;
};

static void op_free(struct op *op)
{
	running--;
	g_free(op->path);
	g_free(op->key);
	g_free(op->account);
	g_free(op->request_id);
	g_free(op);
}

static void on_closed(void *arg, struct httpd_req *req)
{
	struct op *op = arg;

	(void)req;
	op->req = NULL; /* the operation still runs */
}

static const struct httpd_req_ops req_ops = {NULL, on_closed};

static void answer(int revents, void *arg)
{
	struct op *op = arg;

	(void)revents;
	if (op->req)
		reply_json(op->req, 200,
			   json_pack("{s:b,s:s,s:I,s:s,s:s}", "ok", 1, "op",
				     op->path, "number", (json_int_t)op->number,
				     "key", op->key, "request_id",
				     op->request_id));
	op_free(op);
}

static void die(const char *why)
{
	hist_put(hist, "die", json_pack("{s:s}", "why", why));
	_exit(137);
}

static void run(int revents, void *arg)
{
	struct op *op = arg;

	(void)revents;
	if (faults.die_before && !--faults.die_before)
		die("before running");
	op->number = ++operations;
	hist_put(hist, op->is_read ? "read" : "run",
		 json_pack("{s:s,s:s,s:s,s:s,s:I,s:I}", "op", op->path, "key",
			   op->key, "account", op->account, "request_id",
			   op->request_id, "number", (json_int_t)op->number,
			   "body_hash", (json_int_t)(op->body_hash >> 1)));
	if (faults.die_after && !--faults.die_after)
		die("after running");
	if (faults.lost > 0) {
		faults.lost--;
		if (op->req)
			httpd_abort(op->req);
		op_free(op);
	} else if (faults.late > 0) {
		faults.late--;
		ev_once(the_loop, -1, 0, faults.late_ms / 1000.0, answer, op);
	} else {
		answer(0, op);
	}
}

static void on_die(int revents, void *arg)
{
	(void)revents;
	(void)arg;
	die("fault");
}

static void on_freeze(int revents, void *arg)
{
	long ms = (long)(intptr_t)arg;
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000L};

	(void)revents;
	nanosleep(&ts, NULL);
}

static void leave(void);

static void handle_fault(struct httpd_req *req)
{
	AUTO_JSON json_t *j = reply_parse(req);
	const char *kind = json_str(j, "fault", "");
	int count = (int)json_int(j, "count", 1);
	int ms = (int)json_int(j, "ms", 0);

	if (!strcmp(kind, "die"))
		ev_once(the_loop, -1, 0, FAULT_DELAY_S, on_die, NULL);
	else if (!strcmp(kind, "die_before"))
		faults.die_before = count;
	else if (!strcmp(kind, "die_after"))
		faults.die_after = count;
	else if (!strcmp(kind, "lost"))
		faults.lost = count;
	else if (!strcmp(kind, "delay"))
		delay_ms = ms;
	else if (!strcmp(kind, "late"))
		faults.late = count, faults.late_ms = ms;
	else if (!strcmp(kind, "freeze"))
		ev_once(the_loop, -1, 0, FAULT_DELAY_S, on_freeze,
			(void *)(intptr_t)ms);
	else if (!strcmp(kind, "leave"))
		leave();
	else {
		reply_error(req, 400, 1, "invalid_request", "unknown fault");
		return;
	}
	hist_put(hist, "fault", json_incref(j));
	reply_json(req, 200, json_object());
}

static json_t *describe(void *ctx)
{
	json_t *list = json_array();
	g_auto(GStrv) parts = g_strsplit(names, ",", 0);

	(void)ctx;
	for (char **p = parts; *p; p++)
		json_array_append_new(list, json_string(*p));
	return json_pack("{s:s,s:s,s:s,s:o,s:[],s:s,s:s,s:i,s:i,s:i,"
			 "s:{s:i,s:i,s:i}}",
			 "addr", addr, "kind", "service", "state",
			 leaving ? "leaving" : "serving", "models", list,
			 "adapters", "model_version", "", "role", "", "blocks",
			 0, "block_tokens", 0, "max_batch", max_running, "load",
			 "running", running, "waiting", 0, "blocks_used", 0);
}

static void handle(void *ctx, struct httpd_req *req)
{
	const char *path = httpd_path(req);
	const char *key = httpd_header(req, "Idempotency-Key");
	const char *id = httpd_header(req, "X-Request-Id");
	size_t len;

	(void)ctx;
	if (!strcmp(path, "/fault") && !strcmp(httpd_method(req), "POST")) {
		handle_fault(req);
		return;
	}
	if (!strcmp(path, "/v1/health")) {
		reply_json(req, 200, ann_body(ann));
		return;
	}
	if (leaving || running >= max_running) {
		reply_error(req, 503, 1, leaving ? "leaving" : "busy",
			    "not now");
		return;
	}
	struct op *op = g_new0(struct op, 1);
	const char *body = httpd_body(req, &len);
	running++;
	op->req = req;
	op->path = g_strdup(httpd_target(req));
	op->key = g_strdup(key ? key : "");
	op->request_id = g_strdup(id ? id : "");
	op->is_read = !strcmp(httpd_method(req), "GET");
	op->body_hash = XXH64(body, len, 0);
	AUTO_JSON json_t *j = reply_parse(req);
	op->account = g_strdup(json_str(j, "account", ""));
	httpd_set_owner(req, &req_ops, op);
	ev_once(the_loop, -1, 0, delay_ms / 1000.0, run, op);
}

static void on_exit_check(EV_P_ ev_timer *w, int revents)
{
	(void)w;
	(void)revents;
	if (left && !running && !httpd_open_requests(server)) {
		hist_put(hist, "exit", NULL);
		ev_break(EV_A_ EVBREAK_ALL);
	}
}

static void on_left(void *ctx)
{
	(void)ctx;
	hist_put(hist, "left", NULL);
	left = 1;
}

static void leave(void)
{
	if (leaving)
		return;
	leaving = 1;
	hist_put(hist, "leaving", NULL);
	ann_leave(ann, 0, on_left);
}

static void on_term(EV_P_ ev_signal *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
	leave();
}

static const GOptionEntry options[] = {
	{"id", 0, 0, G_OPTION_ARG_STRING, &ann_cfg.id, "id", "S"},
	{"dc", 0, 0, G_OPTION_ARG_STRING, &ann_cfg.dc, "data centre", "S"},
	{"listen", 0, 0, G_OPTION_ARG_STRING, &listen_addr, "address",
	 "IP:PORT"},
	{"advertise", 0, 0, G_OPTION_ARG_STRING, &advertise,
	 "address to announce instead", "IP:PORT"},
	{"names", 0, 0, G_OPTION_ARG_STRING, &names, "service names", "A,B"},
	{"entries", 0, 0, G_OPTION_ARG_STRING, &ann_cfg.entries, "entry hosts",
	 "IP:PORT,..."},
	{"balance", 0, 0, G_OPTION_ARG_STRING, &balance,
	 "round-robin or random", "S"},
	{"key-file", 0, 0, G_OPTION_ARG_STRING, &key_file,
	 "file with the endpoint key", "FILE"},
	{"announce-ms", 0, 0, G_OPTION_ARG_INT, &ann_cfg.interval_ms,
	 "time between announcements", "MS"},
	{"incarnation", 0, 0, G_OPTION_ARG_INT64, &ann_cfg.incarnation,
	 "default: the wall time in ms", "N"},
	{"delay-ms", 0, 0, G_OPTION_ARG_INT, &delay_ms, "time of an operation",
	 "MS"},
	{"max-running", 0, 0, G_OPTION_ARG_INT, &max_running,
	 "operations at a time", "N"},
	{"history", 0, 0, G_OPTION_ARG_STRING, &history, "history file",
	 "FILE"},
	{"seed", 0, 0, G_OPTION_ARG_INT, &seed, "seed of the balancing", "N"},
	{"verbose", 0, 0, G_OPTION_ARG_NONE, &verbose, "log more", NULL},
	{NULL, 0, 0, 0, NULL, NULL, NULL}};

int main(int argc, char **argv)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	ev_signal term;
	ev_timer check;
	char ip[64];
	int port;

	args_parse(&argc, &argv, "Stand-in plain service.", options);
	log_setup("mw-service", verbose ? LOG_DEBUG : LOG_INFO);
	signal(SIGPIPE, SIG_IGN);
	the_loop = loop;
	hist = hist_open(history);
	if (args_addr(listen_addr, ip, &port) ||
	    httpd_new(loop, ip, port, NULL, handle, NULL, &server))
		return EXIT_FAILURE;
	addr = advertise ? g_strdup_printf("http://%s", advertise)
			 : g_strdup_printf("http://%s:%d", ip,
					   httpd_port(server));
	ann_cfg.key = args_key(key_file);
	ann_cfg.random = !strcmp(balance, "random");
	ann_cfg.seed = (uint32_t)seed;
	if (!ann_cfg.incarnation)
		ann_cfg.incarnation = clock_wall_us() / USEC_PER_MSEC;
	ann = ann_new(loop, fetcher_new(loop, 0), &ann_cfg, describe, NULL);
	ev_signal_init(&term, on_term, SIGTERM);
	ev_signal_start(loop, &term);
	ev_timer_init(&check, on_exit_check, EXIT_CHECK_S, EXIT_CHECK_S);
	ev_timer_start(loop, &check);
	log_info("service", "%s listens on %s:%d", ann_cfg.id, ip,
		 httpd_port(server));
	ev_run(loop, 0);
	return EXIT_SUCCESS;
}
