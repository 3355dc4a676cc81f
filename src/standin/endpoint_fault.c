#include "standin/endpoint.h"

#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/cleanup.h"
#include "base/log.h"
#include "standin/reply.h"

/* Leaves the loop time to send the answer to the fault request itself. */
#define FAULT_DELAY_S 0.02

struct delayed {
	struct endpoint *e;
	int ms;
};

void epf_die(struct endpoint *e, const char *why)
{
	hist_put(e->hist, "die", json_pack("{s:s}", "why", why));
	_exit(137);
}

static void on_die(int revents, void *arg)
{
	(void)revents;
	epf_die(arg, "fault");
}

/* Stops the whole process, as a host that has no processor time. */
static void on_freeze(int revents, void *arg)
{
	struct delayed *d = arg;
	struct timespec ts = {d->ms / 1000, d->ms % 1000 * 1000000L};

	(void)revents;
	nanosleep(&ts, NULL);
	g_free(d);
}

static void on_stall_end(int revents, void *arg)
{
	struct endpoint *e = arg;

	(void)revents;
	e->faults.stalled = 0;
	epg_wake(e);
}

static void on_silent_end(int revents, void *arg)
{
	struct endpoint *e = arg;
	GPtrArray *held = e->held;

	(void)revents;
	e->faults.silent = 0;
	ann_silence(e->ann, 0);
	e->held = g_ptr_array_new();
	for (guint i = 0; i < held->len; i++) {
		struct httpd_req *req = g_ptr_array_index(held, i);
		httpd_set_owner(req, NULL, NULL);
		eph_handle(e, req);
	}
	g_ptr_array_free(held, TRUE);
	epg_wake(e);
}

static void on_reclaimed(int revents, void *arg)
{
	(void)revents;
	epf_die(arg, "reclaim deadline");
}

/* Returns 0 if the kind is not known. */
static int apply(struct endpoint *e, const char *kind, const json_t *j)
{
	struct endpoint_faults *f = &e->faults;
	int ms = (int)json_int(j, "ms", 0);
	int count = (int)json_int(j, "count", 1);

	if (!strcmp(kind, "die")) {
		if (json_object_get(j, "tokens"))
			f->die_after = json_int(j, "tokens", 0);
		else
			ev_once(e->loop, -1, 0, FAULT_DELAY_S, on_die, e);
	} else if (!strcmp(kind, "freeze")) {
		struct delayed *d = g_new0(struct delayed, 1);
		d->e = e;
		d->ms = ms;
		ev_once(e->loop, -1, 0, FAULT_DELAY_S, on_freeze, d);
	} else if (!strcmp(kind, "stall")) {
		f->stalled = 1;
		ev_once(e->loop, -1, 0, ms / 1000.0, on_stall_end, e);
	} else if (!strcmp(kind, "silent")) {
		f->silent = 1;
		ann_silence(e->ann, 1);
		if (ms)
			ev_once(e->loop, -1, 0, ms / 1000.0, on_silent_end, e);
	} else if (!strcmp(kind, "late")) {
		f->late_ms = ms;
		f->late_count = count;
	} else if (!strcmp(kind, "crossed")) {
		f->crossed = count;
	} else if (!strcmp(kind, "drop_cache_events")) {
		f->drop_cache_events = count;
	} else if (!strcmp(kind, "leave")) {
		endpoint_leave(e, 0);
	} else if (!strcmp(kind, "reclaim")) {
		int deadline = (int)json_int(j, "deadline_ms", 1000);
		endpoint_leave(e, deadline);
		ev_once(e->loop, -1, 0, deadline / 1000.0, on_reclaimed, e);
	} else {
		return 0;
	}
	return 1;
}

void epf_fault(struct endpoint *e, struct httpd_req *req)
{
	AUTO_JSON json_t *j = reply_parse(req);
	const char *kind = json_str(j, "fault", "");

	if (!j || !apply(e, kind, j)) {
		reply_error(req, 400, 1, "invalid_request", "unknown fault");
		return;
	}
	hist_put(e->hist, "fault", json_incref(j));
	log_info("fault", "%s", kind);
	reply_json(req, 200, json_object());
}
