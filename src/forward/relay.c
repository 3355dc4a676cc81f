#include "forward/crashes.h"

#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "obs/counter.h"
#include "obs/slog.h"

/*
 * Passes streams of events on from an endpoint to the caller, each event once
 * and in order.  Events are passed on whole, so that another endpoint can
 * continue the stream after any of them (move.c); only one of more than
 * EVENT_KEPT_BYTES is passed on while it arrives, and no other endpoint
 * continues the stream before its end.  The caller's answer ends as complete
 * only if that of the endpoint did.
 */

/* A larger event aborts the stream; as large as the body of a call. */
#define EVENT_MAX_BYTES ((size_t)4 << 20)

/* Kept for an event until it is whole.  A token takes less than 1 KiB, and the
 * caller's buffer has 64 KiB. */
#define EVENT_KEPT_BYTES ((size_t)16 << 10)

/* Events after which the memory forecast is updated. */
#define FORECAST_INTERVAL_EVENTS 16

static void begin_answer(struct request *r)
{
	struct fwd *f = r->fwd;
	headers *h = f->iface->answer_headers(r->fetch);

	if (f->drain.active)
		headers_add(h, "Connection", "close");
	g_ptr_array_add(h, NULL);
	r->stream_begun = true;
	r->last_event_id = r->ask.last_event_id;
	httpd_stream_begin(r->http, r->status, (const char *const *)h->pdata);
	g_ptr_array_unref(h);
}

void relay_begin(struct request *r, int64_t now)
{
	struct fwd *f = r->fwd;

	r->state = REQUEST_STREAM;
	if (!r->stream_begun)
		begin_answer(r);
	struct fwd_endpoint *ep = endpoints_find(f, r->endpoint_id);
	if (ep)
		endpoints_record_success(f, ep, now);
	if (ep && (!ep->serving || endpoints_is_evacuated(f, ep)))
		move_begin(r, now);
}

/*
 * Sends bytes to the caller.  Keeps what its buffer has no room for until
 * relay_drained(), and pauses the transfer from the endpoint.
 */
static void write_to_caller(struct request *r, const char *p, size_t n)
{
	bool waits = buf_unread(&r->unsent_events);

	if (!waits && httpd_stream_write(r->http, p, n) >= 0)
		return;
	buf_add(&r->unsent_events, p, n);
	/* An empty buffer, which has no room for large parts, never drains. */
	if (!waits)
		httpd_stream_write_kept(r->http, &r->unsent_events);
	if (r->fetch)
		fetch_pause(r->fetch);
}

bool relay_count_kept(struct request *r)
{
	size_t n = buf_unread(&r->partial_event) +
		   buf_unread(&r->unsent_events) + r->delayed_bytes +
		   buf_unread(&r->move.target_events);

	if (buf_unread(&r->unsent_events) && r->fetch)
		n += fetcher_paused_bytes(r->fwd->fetcher);
	return httpd_keep(r->http, n);
}

/*
 * The budget has no room for the events.  If none of them waits for the caller,
 * another endpoint may continue the stream after the last one that was passed
 * on.  Else the caller, whose stream ends as incomplete, may ask for the rest.
 */
static void end_without_room(struct request *r, int64_t now)
{
	if (!httpd_is_shed(r->http) && !buf_unread(&r->unsent_events) &&
	    list_empty(&r->delayed) && !relay_event_is_cut(r)) {
		relay_drop_part(r);
		if (request_continue(r, "no memory for its events", now))
			return;
	}
	request_log(r, "no_event_memory", "cancelled", now);
	httpd_shed(r->http);
}

/*
 * When a part of an event is passed on: later than now only while the stream
 * moves, see move_event_delay(), and until the delayed ones before it are.
 */
static int64_t choose_due_us(const struct request *r, int64_t now)
{
	int64_t due_us = now + move_event_delay(r, now);

	if (list_empty(&r->delayed))
		return due_us;
	return MAX(
		due_us,
		list_entry(r->delayed.prev, struct delayed_part, node)->due_us);
}

static void delayed_free(struct request *r, struct delayed_part *d)
{
	r->delayed_bytes -= buf_unread(&d->bytes);
	list_del(&d->node);
	buf_release(&d->bytes);
	g_free(d);
}

static void send_due(struct request *r, int64_t now)
{
	struct delayed_part *d, *tmp;

	list_for_each_entry_safe (d, tmp, &r->delayed, node) {
		if (d->due_us > now)
			return;
		write_to_caller(r, buf_head(&d->bytes), buf_unread(&d->bytes));
		delayed_free(r, d);
	}
}

static void pass_on(struct request *r, const char *p, size_t n, int64_t due_us,
		    int64_t now)
{
	if (due_us <= now) {
		send_due(r, now);
		write_to_caller(r, p, n);
		return;
	}
	struct delayed_part *d = g_new0(struct delayed_part, 1);
	d->due_us = due_us;
	buf_add(&d->bytes, p, n);
	r->delayed_bytes += n;
	list_add_tail(&r->delayed, &d->node);
}

void relay_tick(struct request *r, int64_t now)
{
	if (list_empty(&r->delayed))
		return;
	send_due(r, now);
	if (!relay_count_kept(r))
		httpd_shed(r->http);
}

void relay_release(struct request *r)
{
	struct delayed_part *d, *tmp;

	list_for_each_entry_safe (d, tmp, &r->delayed, node)
		delayed_free(r, d);
}

static void record_event_gap(struct request *r, int64_t now)
{
	int64_t gap_us = now - r->last_event_us;

	counter_observe(C_TOKEN_GAP_US, "forwarded", gap_us);
	if (gap_us <= r->longest_gap_us)
		return;
	r->longest_gap_us = gap_us;
	r->longest_gap_end_us = now;
}

/* Whether the caller has got this event before a move. */
static bool was_passed_on(const struct request *r)
{
	return r->scan.has_id && r->events && r->scan.id <= r->last_event_id;
}

/* Records an event with an id that was passed on whole. */
static void record_event(struct request *r, int64_t now)
{
	r->last_event_id = r->scan.id;
	if (!r->events) {
		r->first_event_us = now;
		counter_observe(C_FIRST_TOKEN_US, "forwarded",
				now - r->arrived_us);
		struct slog l = slog_begin_routine("first_event");
		slog_str(&l, "request", r->ask.id);
		slog_str(&l, "endpoint", r->endpoint_id);
		slog_int(&l, "age_us", now - r->arrived_us);
		slog_int(&l, "since_sent_us", now - r->sent_us);
		slog_end(&l);
	}
	if (r->events)
		record_event_gap(r, now);
	r->events++;
	r->last_event_us = now;
	if (r->events == CRASHES_SERVED_EVENTS)
		crashes_request_served(r, now);
	if (r->events % FORECAST_INTERVAL_EVENTS == 0)
		request_update_need(r, now);
}

/*
 * Passes on what was received of the event if it is whole, or too long to be
 * kept.  An event that was passed on before a move is dropped.
 */
static void forward_part(struct request *r, bool whole, int64_t now)
{
	if (!whole && buf_unread(&r->partial_event) <= EVENT_KEPT_BYTES &&
	    r->part == PART_KEPT)
		return;
	if (r->part == PART_KEPT) {
		request_prefill_done(r);
		r->part = was_passed_on(r) ? PART_DROPPED : PART_PASSED;
	}
	int64_t due_us = choose_due_us(r, now);
	if (r->part == PART_PASSED)
		pass_on(r, buf_head(&r->partial_event),
			buf_unread(&r->partial_event), due_us, now);
	buf_consume(&r->partial_event, buf_unread(&r->partial_event));
	if (!whole)
		return;
	paces_observe_event(r, now);
	if (r->part == PART_PASSED && r->scan.has_id && !was_passed_on(r))
		record_event(r, due_us);
	r->part = PART_KEPT;
}

bool relay_event_is_cut(const struct request *r)
{
	return r->part == PART_PASSED;
}

void relay_drop_part(struct request *r)
{
	buf_consume(&r->partial_event, buf_unread(&r->partial_event));
	r->scan = (struct event_scan){0};
	r->part = PART_KEPT;
}

void relay_data(struct request *r, const char *p, size_t n, int64_t now)
{
	/* The request ends as soon as its connection is seen to be closed. */
	if (httpd_is_shed(r->http))
		return;
	while (n) {
		bool whole;
		size_t len = event_scan_feed(&r->scan, p, n, &whole);

		buf_add(&r->partial_event, p, len);
		if (r->scan.bytes > EVENT_MAX_BYTES) {
			relay_abort(r, "event too large", now);
			return;
		}
		forward_part(r, whole, now);
		/* The rest is from the source, which the target replaces. */
		if (whole && move_event_ended(r, now))
			return;
		p += len;
		n -= len;
	}
	if (!relay_count_kept(r))
		end_without_room(r, now);
}

/* Ends an answer that is complete, and frees the request. */
static void finish_stream(struct request *r, int64_t now)
{
	unsigned int tokens_per_event =
		r->service->tokens_per_event ? r->service->tokens_per_event : 1;

	if (r->generation && r->ask.length_hint) {
		const struct length_query q = request_length_query(r);
		length_observe(r->fwd->length, &q, q.produced, now);
	} else if (r->generation)
		est_observe(r->fwd->est, "", r->route->name,
			    (uint32_t)(r->events * tokens_per_event), now);
	request_log(r, "answered", "ok", now);
	if (!r->answer.unframed)
		crashes_request_served(r, now);
	counter_add(C_FORWARDED, "ok", 1);
	httpd_stream_end(r->http);
	request_free(r);
}

void relay_abort(struct request *r, const char *why, int64_t now)
{
	request_log(r, "broken_off", why, now);
	counter_add(C_FORWARDED, "broken_off", 1);
	httpd_abort(r->http);
	request_free(r);
}

void relay_endpoint_done(struct request *r, bool complete, const char *why,
			 int64_t now)
{
	struct fwd_endpoint *ep = endpoints_find(r->fwd, r->endpoint_id);
	bool shed = httpd_is_shed(r->http);

	/* A server that crashes may close its connections in order. */
	if (complete && r->answer.unframed && !r->events) {
		complete = false;
		why = "closed before the first event";
	}
	/* The caller has not got all, and the scan may lack events. */
	if (complete && shed)
		return;
	if (complete && !event_scan_is_inside(&r->scan)) {
		r->stream_ended = true;
		relay_tick(r, INT64_MAX);
		if (!buf_unread(&r->unsent_events) && !httpd_is_shed(r->http))
			finish_stream(r, now);
		return;
	}
	if (complete)
		why = "closed inside an event";
	/* Another endpoint would send this event again, whole. */
	bool event_is_cut = relay_event_is_cut(r);
	if (!event_is_cut) {
		relay_drop_part(r);
		if (move_source_ended(r))
			return;
	}
	if (ep && ep->incarnation == r->incarnation)
		endpoints_record_failure(r->fwd, ep, now);
	crashes_attempt_broken(r, now);
	if (shed)
		return; /* on_closed() ends it */
	if (event_is_cut || !request_continue(r, why, now))
		relay_abort(r, why, now);
}

void relay_drained(struct request *r, int64_t now)
{
	if (httpd_is_shed(r->http))
		return;
	if (buf_unread(&r->unsent_events)) {
		bool all = httpd_stream_write_kept(r->http, &r->unsent_events);
		relay_count_kept(r);
		if (!all)
			return;
	}
	if (r->stream_ended)
		finish_stream(r, now);
	else if (r->fetch)
		fetch_resume(r->fetch);
}
