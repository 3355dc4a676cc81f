#include "forward/fwd.h"

#include <signal.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "forward/crashes.h"
#include "forward/regions.h"
#include "forward/source_stop.h"
#include "obs/counter.h"
#include "obs/slog.h"

/* Interval of the work that is due at a time rather than on an event. */
#define TICK_INTERVAL_S 0.02

/*
 * After a stall of the process that is longer than this, it asks what was
 * ordered meanwhile.  Orders must be in force on hosts within 5 s; a host with
 * little processor time is without it for less than 1 s at a time.
 */
#define STALL_MIN_US (3 * USEC_PER_SEC)

/* Idle connections to endpoints that are kept open for copy orders. */
#define IDLE_CONNS_MAX 16

/* Time for which a connection may be without traffic, unless the plan has more.
 */
#define IDLE_TIMEOUT_S 30

/*
 * Connections of callers, each of which may hold iface.conn_memory_bytes; fewer
 * if the limits of the machine say so.  While there are more than four fifths
 * of them, they are closed after each answer, so that others get in.
 */
#define CONNS_MAX 1250

/* Connections for readiness and for metrics, each. */
#define PROBE_CONNS_MAX 64

static bool is_ready(struct fwd *f)
{
	return f->plan && !f->drain.active;
}

static void on_ready(void *ctx, struct httpd_req *http)
{
	struct fwd *f = ctx;
	bool path_found = !strcmp(httpd_path(http), f->iface->ready_path);

	httpd_reply(http,
		    !path_found	  ? 404
		    : is_ready(f) ? 200
				  : 503,
		    NULL, "", 0);
}

static void on_admin(void *ctx, struct httpd_req *http)
{
	static const char *const h[] = {"Content-Type", "text/plain", NULL};
	AUTO_BUF struct buf b = BUF_INIT;
	struct fwd *f = ctx;

	if (strcmp(httpd_path(http), "/metrics") != 0) {
		httpd_reply(http, 404, NULL, "", 0);
		return;
	}
	counter_set(C_OPEN_REQUESTS, NULL, (int64_t)f->n_requests);
	counter_set(C_TREE_VERSION, NULL, (int64_t)f->tree_version);
	counter_set(C_MEMORY_USED, "arriving",
		    (int64_t)f->memory.by_kind[MEMBUDGET_ARRIVING]);
	counter_set(C_MEMORY_USED, "answer",
		    (int64_t)f->memory.by_kind[MEMBUDGET_ANSWER]);
	counter_set(C_MEMORY_USED, "held",
		    (int64_t)f->memory.by_kind[MEMBUDGET_HELD]);
	counter_set(C_LOG_DROPPED, NULL, (int64_t)slog_dropped());
	counter_write(&b);
	httpd_reply(http, 200, h, buf_head(&b), buf_unread(&b));
}

/*
 * Takes the next steps of a planned stop (drain.h).  Ends the event loop when
 * all connections of callers have ended, as an answer is complete only when its
 * caller has got it, or at the end of the time.
 */
static void drain_tick(struct fwd *f, int64_t now)
{
	const struct drain *d = &f->drain;

	if (now >= d->quiesce_us) {
		if (!f->quiesced)
			httpd_quiesce(f->caller_httpd);
		f->quiesced = true;
		/* Each time, as more connections have become idle. */
		httpd_close_idle(f->caller_httpd);
	}
	if (now >= d->answer_us)
		request_answer_all(f, now);
	if (now < d->end_us && !httpd_is_drained(f->caller_httpd))
		return;
	struct slog l = slog_begin("stop");
	slog_int(&l, "open", (int64_t)f->n_requests);
	slog_int(&l, "idle_closed", httpd_idle_closed(f->caller_httpd));
	slog_int(&l, "drained", httpd_is_drained(f->caller_httpd));
	slog_int(&l, "since_us", now - d->start_us);
	slog_end(&l);
	ev_break(f->loop, EVBREAK_ALL);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct fwd *f = w->data;
	int64_t now = clock_mono_us();

	(void)loop;
	(void)revents;
	control_link_tick(f, now);
	request_tick(f, now);
	endpoints_tick(f, now);
	paces_tick(f, now);
	faults_tick(f, now);
	crashes_tick(f, now);
	if (f->drain.active)
		drain_tick(f, now);
}

/*
 * Called before the events of an iteration are handled, as the priority of the
 * watcher is the highest one.
 */
static void on_check(struct ev_loop *loop, ev_check *w, int revents)
{
	struct fwd *f = w->data;
	int64_t now = clock_mono_us(), gap_us = now - f->last_check_us;

	(void)loop;
	(void)revents;
	if (f->last_check_us && gap_us > STALL_MIN_US)
		control_link_handle_stall(f, gap_us, now);
	f->last_check_us = now;
}

/* Called before the loop waits for events, after it has handled all pending
 * ones. */
static void on_flush(struct ev_loop *loop, ev_prepare *w, int revents)
{
	(void)loop;
	(void)revents;
	request_refuse_displaced(w->data, clock_mono_us());
	control_link_flush(w->data, clock_mono_us());
}

/* Swaps the regions of the settings in use for those of `next`. */
static void reload_regions(struct fwd *f, struct conf *next)
{
	struct conf *conf = f->conf;
	char *before = conf->dc_regions;

	conf->dc_regions = next->dc_regions;
	next->dc_regions = before;
	memcpy(conf->dc_region_list, next->dc_region_list,
	       sizeof(conf->dc_region_list));
	conf->dc_region_nr = next->dc_region_nr;
	regions_load(f);
}

/*
 * Takes over, from settings that are sound as a whole, what can change while
 * the process runs: the time for a stop, the limits of repeats and the regions
 * of the data centres.
 */
static void reload_settings(struct fwd *f)
{
	struct conf *conf = f->conf, next;
	g_autofree char *error = NULL;

	if (f->iface->read_settings(&next, &error) < 0) {
		struct slog l = slog_begin("reload_refused");
		slog_str(&l, "error", error);
		slog_end(&l);
	} else {
		conf->drain_timeout_ms = next.drain_timeout_ms;
		conf->repeat_percent = next.repeat_percent;
		conf->repeat_spare = next.repeat_spare;
		if (strcmp(conf->dc_regions, next.dc_regions) != 0)
			reload_regions(f, &next);
		struct slog l = slog_begin("reload");
		slog_int(&l, "drain_timeout_ms", conf->drain_timeout_ms);
		slog_int(&l, "repeat_percent", conf->repeat_percent);
		slog_int(&l, "repeat_spare", conf->repeat_spare);
		slog_end(&l);
	}
	conf_release(&next);
}

static void on_hangup(struct ev_loop *loop, ev_signal *w, int revents)
{
	(void)loop;
	(void)revents;
	reload_settings(w->data);
}

static void on_term(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct fwd *f = w->data;

	(void)loop;
	(void)revents;
	if (f->drain.active)
		return;
	/* The settings may have changed without a signal. */
	reload_settings(f);
	drain_begin(&f->drain, f->conf->drain_timeout_ms * USEC_PER_MSEC,
		    clock_mono_us());
	struct slog l = slog_begin("drain");
	slog_int(&l, "open", (int64_t)f->n_requests);
	slog_end(&l);
}

static int start_http(struct fwd *f)
{
	const struct conf_addr *a = &f->conf->listen_addr;
	const struct conf_addr *ready = &f->conf->ready_addr;
	int conns =
		membudget_conns(CONNS_MAX, f->conf->memory_limit_mb,
				f->iface->conn_memory_bytes, f->conf->max_fds);
	struct httpd_config cfg = {.max_body = PLAN_BODY_MAX_BYTES,
				   .max_header = PLAN_HEADER_MAX_BYTES,
				   .max_conns = conns,
				   .max_kept = conns / 5 * 4,
				   .budget = &f->memory,
				   .limit_sockets =
					   f->conf->memory_limit_mb > 0,
				   .idle_timeout_s = IDLE_TIMEOUT_S,
				   .conn_memory = f->iface->conn_memory_bytes};
	struct httpd_config probe_cfg = {.max_conns = PROBE_CONNS_MAX};
	int r = httpd_new(f->loop, a->ip, a->port, &cfg, request_accept, f,
			  &f->caller_httpd);

	if (r == 0)
		r = httpd_new(f->loop, ready->ip, ready->port, &probe_cfg,
			      on_ready, f, &f->ready_httpd);
	if (r == 0)
		r = httpd_new(f->loop, f->conf->admin_addr.ip,
			      f->conf->admin_addr.port, &probe_cfg, on_admin, f,
			      &f->admin_httpd);
	return r;
}

static void watch_signal(struct fwd *f, ev_signal *w, int signum,
			 void (*fn)(struct ev_loop *, ev_signal *, int))
{
	ev_signal_init(w, fn, signum);
	w->data = f;
	ev_signal_start(f->loop, w);
}

int fwd_new(struct conf *conf, struct ev_loop *loop, const struct iface *iface,
	    struct fwd **out)
{
	struct fwd *f = g_new0(struct fwd, 1);

	*out = f;
	f->conf = conf;
	f->loop = loop;
	f->iface = iface;
	f->incarnation = (uint64_t)clock_wall_us();
	f->start_us = clock_mono_us();
	f->rand = conf->seed ? g_rand_new_with_seed((guint32)conf->seed)
			     : g_rand_new();
	slog_setup(conf->host, conf->dc, "entry", f->incarnation);
	list_init(&f->requests);
	list_init(&f->unadmitted);
	list_init(&f->waiting);
	list_init(&f->source_stops);
	f->est = est_new(NULL);
	f->length = length_new(f->est);
	f->est_call_ms = est_new(NULL);
	membudget_init(&f->memory, conf->memory_limit_mb);
	f->fetcher = fetcher_new(loop, IDLE_CONNS_MAX);
	fetcher_set_budget(f->fetcher, &f->memory);
	if (conf->memory_limit_mb > 0)
		fetcher_limit_sockets(f->fetcher);
	endpoints_start(f);
	regions_load(f);
	crashes_start(f);
	plan_parse_init(f);
	int r = control_link_start(f);
	if (r == 0)
		r = start_http(f);
	if (r < 0)
		return r;
	ev_timer_init(&f->tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
	f->tick.data = f;
	ev_timer_start(loop, &f->tick);
	ev_prepare_init(&f->flush, on_flush);
	f->flush.data = f;
	ev_prepare_start(loop, &f->flush);
	ev_check_init(&f->check, on_check);
	ev_set_priority(&f->check, EV_MAXPRI);
	f->check.data = f;
	ev_check_start(loop, &f->check);
	watch_signal(f, &f->sigterm, SIGTERM, on_term);
	watch_signal(f, &f->sigint, SIGINT, on_term);
	watch_signal(f, &f->sighup, SIGHUP, on_hangup);
	struct slog l = slog_begin("start");
	slog_str(&l, "listen", conf->listen);
	slog_int(&l, "open_cluster", conf->open_cluster);
	slog_end(&l);
	return 0;
}

void fwd_free(struct fwd *f)
{
	struct request *r, *tmp;

	ev_timer_stop(f->loop, &f->tick);
	ev_prepare_stop(f->loop, &f->flush);
	ev_check_stop(f->loop, &f->check);
	if (f->caller_httpd)
		httpd_free(f->caller_httpd);
	if (f->ready_httpd)
		httpd_free(f->ready_httpd);
	if (f->admin_httpd)
		httpd_free(f->admin_httpd);
	list_for_each_entry_safe (r, tmp, &f->requests, node)
		request_free(r);
	control_link_stop(f);
	crashes_stop(f);
	fetcher_free(f->fetcher);
	membudget_release(&f->memory);
	source_stop_release(f);
	plan_parse_stop(f);
	endpoints_stop(f);
	plan_unref(f->plan);
	length_free(f->length);
	est_free(f->est);
	est_free(f->est_call_ms);
	g_rand_free(f->rand);
	/* The signals stay watched until the process ends: stopping a watcher
	 * restores the default action. */
	g_free(f);
}
