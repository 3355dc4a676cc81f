#include "entry/crash_marks.h"
#include "entry/entry.h"

#include <assert.h>
#include <inttypes.h>
#include <stdarg.h>
#include <string.h>
#include <sodium.h>

#include "entry/admin.h"
#include "entry/call.h"
#include "entry/request.h"
#include "entry/work_stats.h"

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "obs/stats.h"
#include "state/member.h"

/* Interval of the periodic work, such as dispatch, timeouts and event flush. */
#define TICK_INTERVAL_S 0.1

#define EVENT_RING_SIZE 20000
#define SUSPECTS_MAX 4096
#define ACCOUNTS_MAX 8192
#define MAX_CONNECTIONS 32768
/* Default of struct httpd_config. */
#define CONN_MEMORY_BYTES (16 << 10)
#define TIMELINE_MAX_BYTES (64 << 20)

void entry_event(struct entry *e, enum event_kind kind, const char *request,
		 const char *account, const char *endpoint, const char *fmt,
		 ...)
{
	struct event_subject s = {
		.request = request, .account = account, .endpoint = endpoint};
	char detail[EVENT_DETAIL_LEN];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(detail, sizeof(detail), fmt, ap);
	va_end(ap);
	event_emit(e->events, hlc_now(&e->hlc, clock_wall_us()), kind, &s, "%s",
		   detail);
}

void entry_change_event(struct entry *e, enum event_kind kind,
			const char *change, const char *fmt, ...)
{
	struct event_subject s = {.change = change};
	char detail[EVENT_DETAIL_LEN];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(detail, sizeof(detail), fmt, ap);
	va_end(ap);
	event_emit(e->events, hlc_now(&e->hlc, clock_wall_us()), kind, &s, "%s",
		   detail);
}

enum host_mode entry_mode(struct entry *e, int64_t now)
{
	return hostcfg_mode(&e->session.cfg, now);
}

/* Logs a change of the mode, with the state that decides the mode. */
static void log_mode(struct entry *e, int64_t now)
{
	struct session *s = &e->session;
	const struct hostcfg *c = &s->cfg;
	enum host_mode mode = entry_mode(e, now);

	if (mode == s->logged_mode)
		return;
	log_info("config",
		 "%s after %s: lease ended %" PRId64
		 " ms ago, hub %s heard %" PRId64
		 " ms ago and %s the leader, %sinformed, version %" PRIu64 "%s",
		 host_mode_name(mode), host_mode_name(s->logged_mode),
		 (now - c->lease_until_us) / USEC_PER_MSEC,
		 *s->hub ? s->hub : "-",
		 (now - c->hub_report_sent_us) / USEC_PER_MSEC,
		 c->hub_leader_contact ? "hears" : "does not hear",
		 c->informed ? "" : "not ", c->tree ? tree_version(c->tree) : 0,
		 c->pending ? ", a change is pending" : "");
	s->logged_mode = mode;
}

bool entry_ready(struct entry *e, int64_t now)
{
	enum host_mode mode = entry_mode(e, now);

	return !e->draining && (mode == HOST_LEASED || mode == HOST_ISLAND);
}

static void on_pump(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct entry *e = w->data;

	(void)loop;
	(void)revents;
	dispatch_pump(e, clock_mono_us());
}

void entry_pump_soon(struct entry *e)
{
	if (ev_is_active(&e->pump_timer) || e->stopping)
		return;
	ev_timer_set(&e->pump_timer, 0., 0.);
	ev_timer_start(e->loop, &e->pump_timer);
}

/* ---- shutdown ---- */

static void on_deregistered(int err, const Mw__Result *r, void *ctx)
{
	struct entry *e = ctx;

	(void)err;
	(void)r;
	ev_break(e->loop, EVBREAK_ALL);
}

/*
 * Deregisters the host, so that configuration changes need not wait for the end
 * of its lease and its credits are granted to other hosts at once.
 */
static void deregister_host(struct entry *e)
{
	Mw__Command cmd = MW__COMMAND__INIT;
	Mw__HostGone gone = MW__HOST_GONE__INIT;

	e->stopping = true;
	gone.host = e->conf->host;
	gone.incarnation = e->incarnation;
	cmd.body_case = MW__COMMAND__BODY_HOST_GONE;
	cmd.host_gone = &gone;
	session_propose(e, &cmd, 2000, on_deregistered, e);
}

/*
 * Gives a final answer to the requests that are open at the end of the drain
 * time, except to streams that have begun: their callers resume them at another
 * host.
 */
static void answer_open_requests(struct entry *e)
{
	static const char detail[] = "The host is shutting down.";
	struct request *r, *next_request;
	struct call *c;

	list_for_each_entry_safe (r, next_request, &e->requests, node)
		if (r->http && !r->stream_begun)
			request_fail(
				r, r->dispatched ? -MW_EUNKNOWN : -MW_EDRAINING,
				detail, 1);
	list_for_each_entry (c, &e->calls, node) {
		bool sent = c->once || c->fetch || c->may_have_run;

		if (c->http)
			call_reply_error(c, sent ? -MW_EUNKNOWN : -MW_EDRAINING,
					 sent ? "unknown" : "not-run", detail);
	}
	int status;
	AUTO_FREE char *json =
		admin_error_json(-MW_EUNKNOWN, NULL, detail, &status);
	httpd_answer_open(e->admin, status, json);
}

static void check_drained(struct entry *e, int64_t now)
{
	size_t open = e->open_requests;

	if (!e->draining || e->stopping)
		return;
	if (now < e->drain_until_us &&
	    (open || httpd_open_requests(e->callers) ||
	     !list_empty(&e->forwarded_calls)))
		return;
	if (open)
		log_warn("shutdown",
			 "%zu requests were still open at the end "
			 "of the drain time",
			 open);
	else
		log_info("shutdown", "no request was cut");
	entry_event(e, EV_KIND_STOP, NULL, NULL, NULL,
		    "%zu requests cut at shutdown", open);
	answer_open_requests(e);
	deregister_host(e);
}

void entry_drain(struct entry *e)
{
	if (e->draining)
		return;
	e->draining = true;
	e->drain_until_us =
		clock_mono_us() + e->conf->drain_timeout_ms * USEC_PER_MSEC;
	log_info("shutdown", "draining %zu open requests", e->open_requests);
	entry_event(e, EV_KIND_DRAIN, NULL, NULL, NULL, "%zu requests open",
		    e->open_requests);
}

static void on_signal(struct ev_loop *loop, ev_signal *w, int revents)
{
	(void)loop;
	(void)revents;
	entry_drain(w->data);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct entry *e = w->data;
	int64_t now = clock_mono_us();

	(void)loop;
	(void)revents;
	dispatch_pump(e, now);
	dispatch_check_timeouts(e, now);
	view_tick(e, now);
	marks_tick(e, now);
	log_mode(e, now);
	check_drained(e, now);
	event_ring_flush(e->events);
}

/* ---- set-up ---- */

static void peer_up(struct peer *p, void *ctx)
{
	struct entry *e = ctx;

	entry_event(e, EV_KIND_PEER_UP, NULL, NULL, NULL, "%s",
		    peer_hello(p)->host);
	session_peer_up(e, p);
}

static void peer_down(struct peer *p, int err, void *ctx)
{
	struct entry *e = ctx;

	log_info("peer", "lost %s: %s", peer_hello(p)->host,
		 err_info(err)->kind);
	entry_event(e, EV_KIND_PEER_DOWN, NULL, NULL, NULL, "%s: %s",
		    peer_hello(p)->host, err_info(err)->kind);
}

static void peer_frame(struct peer *p, const Mw__Frame *f, void *ctx)
{
	session_peer_frame(ctx, p, f);
}

static int start_peers(struct entry *e)
{
	struct frame_key key;
	struct peer_config cfg = {
		.loop = e->loop,
		.key = &key,
		.hlc = &e->hlc,
		.listen = e->conf->peer_listen,
		.host = e->conf->host,
		.dc = e->conf->dc,
		.role = "entry",
		.admin_addr = e->conf->admin_listen,
		.incarnation = e->incarnation,
		.budget = &e->memory,
		.ops = {.up = peer_up, .down = peer_down, .frame = peer_frame},
		.ctx = e,
	};

	memcpy(key.bytes, e->conf->cluster_key, sizeof(key.bytes));
	int r = peer_net_new(&cfg, &e->peers);
	sodium_memzero(&key, sizeof(key));
	return r;
}

static int start_http(struct entry *e)
{
	const struct conf *c = e->conf;
	int conns = membudget_conns(MAX_CONNECTIONS, c->memory_limit_mb,
				    CONN_MEMORY_BYTES, c->max_fds);
	struct httpd_config callers = {
		.max_body = (size_t)c->max_body,
		.max_stream = (size_t)c->stream_buffer,
		.max_requests = c->max_requests,
		.max_conns = conns,
		.max_kept = conns / 5 * 4,
		.budget = &e->memory,
		.limit_sockets = c->memory_limit_mb > 0,
	};
	struct httpd_config admin = {
		.max_body = 1 << 20, .max_requests = 256, .budget = &e->memory};
	int r = httpd_new(e->loop, c->listen_addr.ip, c->listen_addr.port,
			  &callers, api_handle, e, &e->callers);

	if (r < 0)
		return r;
	e->admin_api = (struct admin){.ops = &entry_admin_ops,
				      .ctx = e,
				      .host = c->host,
				      .events = e->events};
	return httpd_new(e->loop, c->admin_addr.ip, c->admin_addr.port, &admin,
			 admin_handle, &e->admin_api, &e->admin);
}

static void choose_policy(struct entry *e)
{
	const struct route_ops *routes = &route_prefix_load;
	const struct credit_ops *credits = &credit_leased;
	struct route_tuning rc = {.dc = e->conf->dc};

	e->queue_ops = &queue_fair;
	if (strcmp(e->conf->policy, "mustardwall") != 0) {
		e->queue_ops = &queue_fifo;
		credits = &credit_admit_all;
		routes = !strcmp(e->conf->policy, "round-robin")
				 ? &route_round_robin
				 : &route_least_requests;
	}
	e->est = est_new(NULL);
	e->credit = credit_new(credits, NULL);
	e->route = route_new(routes, &rc);
	e->suspects = suspect_new(SUSPECTS_MAX);
	e->limits = limit_new(ACCOUNTS_MAX);
	retry_init(&e->retry, NULL);
}

static void pool_free(void *p)
{
	struct pool *pool = p;

	pool->entry->queue_ops->destroy(pool->queue);
	g_free(pool);
}

static void start_timers(struct entry *e)
{
	ev_timer_init(&e->pump_timer, on_pump, 0., 0.);
	e->pump_timer.data = e;
	ev_timer_init(&e->tick_timer, on_tick, TICK_INTERVAL_S,
		      TICK_INTERVAL_S);
	e->tick_timer.data = e;
	ev_timer_start(e->loop, &e->tick_timer);
	ev_signal_init(&e->sigterm, on_signal, SIGTERM);
	e->sigterm.data = e;
	ev_signal_start(e->loop, &e->sigterm);
	ev_signal_init(&e->sigint, on_signal, SIGINT);
	e->sigint.data = e;
	ev_signal_start(e->loop, &e->sigint);
}

static int open_events(struct entry *e)
{
	e->events = event_ring_new(EVENT_RING_SIZE, e->conf->host, e->conf->dc);
	if (!*e->conf->data)
		return 0;
	int r = event_ring_open(e->events, e->conf->data, TIMELINE_MAX_BYTES);
	if (r == 0)
		hlc_observe(&e->hlc, clock_wall_us(),
			    event_ring_last_stamp(e->events));
	return r;
}

int entry_new(struct conf *conf, struct ev_loop *loop, struct entry **out)
{
	struct entry *e = g_new0(struct entry, 1);
	int r;

	*out = e;
	e->conf = conf;
	e->loop = loop;
	e->ep_ops = &ep_openai;
	/* Wall time in microseconds, so that each start has a higher number. */
	e->incarnation = (uint64_t)clock_wall_us();
	e->started_us = clock_mono_us();
	e->rand = conf->seed ? g_rand_new_with_seed((guint32)conf->seed)
			     : g_rand_new();
	list_init(&e->requests);
	list_init(&e->pending_marks);
	list_init(&e->calls);
	list_init(&e->probes);
	list_init(&e->forwarded_calls);
	e->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	e->account_backlogs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->work = work_new();
	choose_policy(e);
	view_init(e);
	remote_init(e);
	membudget_init(&e->memory, conf->memory_limit_mb);
	e->fetcher = fetcher_new(loop, 0);
	fetcher_set_budget(e->fetcher, &e->memory);
	if (conf->memory_limit_mb > 0)
		fetcher_limit_sockets(e->fetcher);
	start_timers(e);
	if ((r = open_events(e)) < 0 || (r = start_peers(e)) < 0 ||
	    (r = session_start(e)) < 0 || (r = start_http(e)) < 0)
		return r;
	entry_event(e, EV_KIND_START, NULL, NULL, NULL,
		    "entry host, incarnation %" G_GUINT64_FORMAT,
		    e->incarnation);
	log_info("entry", "host %s in %s listens on %s", conf->host, conf->dc,
		 conf->listen);
	return 0;
}

void entry_free(struct entry *e)
{
	e->stopping = true;
	admin_end_forwarded(e);
	if (e->callers)
		httpd_free(e->callers);
	if (e->admin)
		httpd_free(e->admin);
	while (!list_empty(&e->requests))
		request_end(list_first(&e->requests, struct request, node));
	while (!list_empty(&e->calls))
		call_end(list_first(&e->calls, struct call, node));
	if (e->peers)
		peer_net_free(e->peers);
	session_stop(e);
	marks_release(e);
	view_stop(e);
	fetcher_free(e->fetcher);
	membudget_release(&e->memory);
	buf_release(&e->chunk);
	g_hash_table_destroy(e->pools);
	g_hash_table_destroy(e->account_backlogs);
	view_release(e);
	remote_release(e);
	work_free(e->work);
	ev_timer_stop(e->loop, &e->pump_timer);
	ev_timer_stop(e->loop, &e->tick_timer);
	est_free(e->est);
	route_free(e->route);
	credit_free(e->credit);
	suspect_free(e->suspects);
	limit_free(e->limits);
	event_ring_free(e->events);
	g_rand_free(e->rand);
	/* The signals stay watched until the process ends: stopping a watcher
	 * restores the default action. */
	g_free(e);
}
