#include "entry/request.h"
#include "entry/work_stats.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>
#include <time.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "obs/stats.h"

/*
 * Relay of one generation from its endpoint to its caller.
 *
 * Invariants:
 * - A token is relayed only if its event names the request's generation and the
 *   next index.  Events of other generations and repeated indexes are dropped
 *   and counted.  A gap closes the connection, and the stream is read again
 *   from the next index.
 * - The connection to the endpoint may break at any time.  The same generation
 *   is then resumed.  If its endpoint has lost it, the request fails, or is
 *   placed again if no token has reached the caller.
 */

#define SUBMIT_CONNECT_TIMEOUT_MS 1000
#define RECONNECTS_MAX 3
#define REFUSAL_MAX_BYTES 4096

static void on_headers(void *arg, struct fetch *f, int status);
static void on_data(void *arg, struct fetch *f, const char *p, size_t n);
static void on_done(void *arg, struct fetch *f, const struct fetch_result *res);

static const struct fetch_ops ops = {
	.headers = on_headers,
	.data = on_data,
	.done = on_done,
};

void stream_open(struct request *r, bool resume)
{
	struct entry *e = r->entry;
	struct ep_request req;
	char url[512];
	static const char *const headers[] = {"Content-Type",
					      "application/json", NULL};

	if (resume) {
		e->ep_ops->resume(r->generation, r->next_index, &req);
	} else {
		struct ep_submit s = {
			.model = r->model,
			.adapter = *r->adapter ? r->adapter : NULL,
			.prompt = r->messages ? NULL : r->prompt,
			.messages = r->messages,
			.generation = r->generation,
			/* The endpoint's own data centre goes first. */
			.priority = r->rank + (r->remote ? QUEUE_RANKS : 0),
			.max_tokens = r->max_tokens,
		};
		e->ep_ops->submit(&s, &req);
	}
	snprintf(url, sizeof(url), "%s%s", r->addr, req.path);
	struct fetch_spec spec = {
		.method = req.method,
		.url = url,
		.headers = buf_unread(&req.body) ? headers : NULL,
		.body = buf_head(&req.body),
		.body_len = buf_unread(&req.body),
		.connect_timeout_ms = SUBMIT_CONNECT_TIMEOUT_MS,
	};
	r->status = 0;
	r->fetch = fetch_start(e->fetcher, &spec, &ops, r);
	remote_count_bytes(r, true, buf_unread(&req.body));
	buf_release(&req.body);
}

void stream_close(struct request *r)
{
	if (r->fetch)
		fetch_cancel(r->fetch);
	r->fetch = NULL;
	r->paused = false;
	sse_release(&r->sse);
}

/* Makes the sealed part of the cursor, which all events of a stream share. */
static int seal_cursor(struct request *r)
{
	struct cursor c;

	memset(&c, 0, sizeof(c));
	g_strlcpy(c.endpoint, r->endpoint, sizeof(c.endpoint));
	g_strlcpy(c.addr, r->addr, sizeof(c.addr));
	g_strlcpy(c.generation, r->generation, sizeof(c.generation));
	g_strlcpy(c.account, r->account, sizeof(c.account));
	g_strlcpy(c.route, r->route, sizeof(c.route));
	c.incarnation = r->incarnation;
	return cursor_seal(&c, r->entry->conf->cluster_key, r->cursor,
			   sizeof(r->cursor));
}

static void on_headers(void *arg, struct fetch *f, int status)
{
	struct request *r = arg;
	const char *inc = fetch_header(f, "X-Endpoint-Incarnation");
	const char *reader = fetch_header(f, "X-Reader");

	r->status = status;
	r->not_run = fetch_header(f, "X-Not-Run") != NULL;
	view_apply_pause(r->entry, r->endpoint, r->incarnation, status,
			 fetch_header(f, "Retry-After"), clock_mono_us());
	if (status != 200)
		return;
	r->reader = reader ? g_ascii_strtoull(reader, NULL, 10) : 0;
	/* A restarted endpoint has lost the generation; handle it as gone. */
	if (inc && g_ascii_strtoull(inc, NULL, 10) != r->incarnation)
		r->status = 410;
}

/* Appends the text as a JSON string. */
static void add_json_string(struct buf *b, const char *text)
{
	char quoted[512];
	AUTO_JSON json_t *s = json_string(text);
	size_t n =
		s ? json_dumpb(s, quoted, sizeof(quoted), JSON_ENCODE_ANY) : 0;

	if (n && n <= sizeof(quoted)) {
		buf_add(b, quoted, n);
		return;
	}
	AUTO_FREE char *all = s ? json_dumps(s, JSON_ENCODE_ANY) : NULL;
	buf_addstr(b, all ? all : "\"\"");
}

/* Formats the part between id and text that all events of a stream share. */
static void format_chunk_prefix(struct request *r)
{
	struct buf *b = &r->chunk_prefix;

	buf_addf(b, "\ndata: {\"id\":\"%s-%s\",\"object\":\"%s\",",
		 r->chat ? "chatcmpl" : "cmpl", r->id,
		 r->chat ? "chat.completion.chunk" : "text_completion");
	buf_addf(b, "\"created\":%lld,\"model\":", (long long)time(NULL));
	add_json_string(b, r->route);
	buf_addstr(b, ",\"choices\":[{\"index\":0,");
	buf_addstr(b, r->chat ? "\"delta\":{\"content\":" : "\"text\":");
}

static void begin_stream(struct request *r)
{
	static const char *const fixed[] = {"Content-Type", "text/event-stream",
					    "Cache-Control", "no-cache", NULL};
	const char *headers[8];
	size_t n = 0;

	for (; fixed[n]; n++)
		headers[n] = fixed[n];
	headers[n++] = "X-Request-Id";
	headers[n++] = r->id;
	headers[n] = NULL;
	httpd_stream_begin(r->http, 200, headers);
	r->stream_begun = true;
	format_chunk_prefix(r);
}

static void add_usage(struct buf *b, const struct request *r)
{
	buf_addf(b,
		 ",\"usage\":{\"prompt_tokens\":%" PRIu64
		 ",\"completion_tokens\":%" PRIu64 ",\"total_tokens\":%" PRIu64
		 ",\"cached_tokens\":%" PRIu64 ",\"preemptions\":%" PRIu64
		 ",\"stall_us\":%" PRIu64 "}",
		 r->usage.prompt_tokens, r->usage.completion_tokens,
		 r->usage.prompt_tokens + r->usage.completion_tokens,
		 r->usage.cached_tokens, r->usage.preemptions,
		 r->usage.stall_us);
}

/* Formats one token as a server-sent event; the last one adds the usage. */
static void add_chunk(struct buf *b, const struct request *r,
		      const struct ep_event *ev)
{
	buf_addstr(b, "id: ");
	buf_addstr(b, r->cursor);
	buf_addf(b, ":%" PRIu64, ev->index);
	buf_add(b, buf_head(&r->chunk_prefix), buf_unread(&r->chunk_prefix));
	add_json_string(b, ev->text ? ev->text : "");
	buf_addstr(b, r->chat ? "},\"finish_reason\":" : ",\"finish_reason\":");
	if (*ev->fin)
		buf_addf(b, "\"%s\"}]", ev->fin);
	else
		buf_addstr(b, "null}]");
	if (*ev->fin)
		add_usage(b, r);
	buf_addstr(b, "}\n\n");
	if (*ev->fin)
		buf_addstr(b, "data: [DONE]\n\n");
}

/* Replies with the complete answer to a request without a stream. */
static void reply_unstreamed(struct request *r)
{
	AUTO_BUF struct buf b = BUF_INIT;
	const char *headers[] = {"Content-Type",
				 "application/json",
				 "X-Request-Id",
				 r->id,
				 "Mustardwall-Outcome",
				 "ran",
				 NULL};

	buf_addf(&b,
		 "{\"id\":\"%s-%s\",\"object\":\"%s\",\"created\":%lld,"
		 "\"model\":",
		 r->chat ? "chatcmpl" : "cmpl", r->id,
		 r->chat ? "chat.completion" : "text_completion",
		 (long long)time(NULL));
	add_json_string(&b, r->route);
	buf_addstr(&b, ",\"choices\":[{\"index\":0,");
	buf_addstr(&b, r->chat ? "\"message\":{\"role\":\"assistant\","
				 "\"content\":"
			       : "\"text\":");
	add_json_string(&b,
			r->answer_text.data ? buf_head(&r->answer_text) : "");
	buf_addf(&b, "%s,\"finish_reason\":\"%s\"}]", r->chat ? "}" : "",
		 r->finish_reason);
	add_usage(&b, r);
	buf_addstr(&b, "}\n");
	httpd_reply(r->http, 200, headers, buf_head(&b), buf_unread(&b));
	r->http = NULL;
}

/* Counts what is kept for the caller; false: the budget has no room for it. */
static bool count_unsent(struct request *r)
{
	size_t n = buf_unread(&r->unsent_output);

	if (n && r->fetch)
		n += fetcher_paused_bytes(r->entry->fetcher);
	return httpd_keep(r->http, n);
}

static void send_to_caller(struct request *r, const struct buf *b)
{
	bool waits = buf_unread(&r->unsent_output);

	if (!waits &&
	    httpd_stream_write(r->http, buf_head(b), buf_unread(b)) >= 0)
		return;
	/* The caller reads slowly: the endpoint keeps the rest. */
	buf_add(&r->unsent_output, buf_head(b), buf_unread(b));
	/* An empty buffer, which has no room for a long chunk, never drains. */
	if (!waits)
		httpd_stream_write_kept(r->http, &r->unsent_output);
	if (!count_unsent(r))
		httpd_shed(r->http);
	if (!r->paused && r->fetch) {
		r->paused = true;
		fetch_pause(r->fetch);
		if (r->rs.ep)
			route_stream_set_paused(&r->rs, true, clock_mono_us());
	}
}

void stream_drained(struct request *r)
{
	if (buf_unread(&r->unsent_output)) {
		bool all = httpd_stream_write_kept(r->http, &r->unsent_output);
		count_unsent(r);
		if (!all)
			return;
	}
	if (r->finished) {
		httpd_stream_end(r->http);
		r->http = NULL;
		request_end(r);
		return;
	}
	if (r->paused && r->fetch) {
		r->paused = false;
		fetch_resume(r->fetch);
		if (r->rs.ep)
			route_stream_set_paused(&r->rs, false, clock_mono_us());
	}
}

static void deliver(struct request *r, const struct ep_event *ev)
{
	struct buf *b = &r->entry->chunk;

	if (!r->http)
		return;
	if (!r->stream) {
		/* Nothing has reached the caller: a retry is possible. */
		if (ev->text)
			buf_addstr(&r->answer_text, ev->text);
		return;
	}
	r->delivered = true;
	if (!r->stream_begun)
		begin_stream(r);
	add_chunk(b, r, ev);
	send_to_caller(r, b);
	buf_consume(b, buf_unread(b));
}

static void record_completion(struct request *r, int64_t now)
{
	struct entry *e = r->entry;

	if (r->resumed)
		return;
	est_observe(e->est, r->account, r->route,
		    (uint32_t)r->usage.completion_tokens, now);
	limit_debit_tokens(e->limits, r->account, &r->rates,
			   r->usage.prompt_tokens + r->usage.completion_tokens,
			   now);
	if (suspect_request_finished(e->suspects, r->fingerprint)) {
		Mw__SuspectCleared cleared = MW__SUSPECT_CLEARED__INIT;
		Mw__Command cmd = MW__COMMAND__INIT;
		cleared.fingerprint = r->fingerprint;
		cmd.body_case = MW__COMMAND__BODY_SUSPECT_CLEARED;
		cmd.suspect_cleared = &cleared;
		session_propose(e, &cmd, 5000, NULL, NULL);
	}
}

/* Records the usage and the end of the generation. */
static void handle_last_token(struct request *r, const struct ep_event *ev,
			      int64_t now)
{
	r->finished = true;
	r->usage = ev->usage;
	g_strlcpy(r->finish_reason, ev->fin, sizeof(r->finish_reason));
	record_completion(r, now);
	stats_finished(r->rank, &r->usage, now - r->arrived_us);
	entry_event(r->entry, EV_KIND_FINISHED, r->id, r->account, r->endpoint,
		    "%" PRIu64 " tokens, %" PRIu64
		    " preemptions, stalled %" PRIu64 " ms",
		    r->usage.completion_tokens, r->usage.preemptions,
		    r->usage.stall_us / 1000);
}

static void record_token(struct request *r, int64_t now)
{
	struct entry *e = r->entry;

	if (!r->first_token_us) {
		r->first_token_us = now;
		stats_first_token(r->rank, now - r->arrived_us);
		entry_event(e, EV_KIND_FIRST_TOKEN, r->id, r->account,
			    r->endpoint, "after %" PRId64 " ms",
			    (now - r->arrived_us) / USEC_PER_MSEC);
	} else {
		stats_token_gap(r->rank, now - r->last_token_us);
	}
	r->last_token_us = now;
	work_count_token(e->work, r->account, now);
	if (r->rs.ep)
		route_stream_token(&r->rs, now);
	uint32_t produced = (uint32_t)r->next_index;
	if (r->credit.ep && credit_update_due(&r->credit, produced)) {
		struct est_forecast forecast;
		request_forecast(r, now, &forecast);
		credit_update(&r->credit, produced, &forecast);
		if (r->in_queue)
			e->queue_ops->update_output(r->pool->queue, &r->item,
						    produced, now);
	}
}

/*
 * Emits an event when the generation was preempted and when it runs again. Load
 * reports may be missed, and one may cover several preemptions.  For a resumed
 * stream the first report only sets the base, unless the generation is stalled:
 * the host that relayed it before has emitted the events of earlier
 * preemptions.
 */
static void record_preemption(struct request *r, const struct ep_load *load)
{
	struct entry *e = r->entry;

	if (strcmp(load->generation, r->generation) != 0 ||
	    load->preemptions < r->preemptions)
		return;
	bool has_base = r->stall_reported || !r->resumed;
	if ((has_base || load->stalled) && load->preemptions > r->preemptions)
		entry_event(e, EV_KIND_PREEMPTED, r->id, r->account,
			    r->endpoint,
			    "after %" PRIu64 " tokens, preemption %" PRIu64,
			    r->next_index, load->preemptions);
	if (has_base && !load->stalled && load->stall_us > r->stall_us)
		entry_event(e, EV_KIND_READMITTED, r->id, r->account,
			    r->endpoint, "it was stalled for %" PRIu64 " ms",
			    (load->stall_us - r->stall_us) / USEC_PER_MSEC);
	r->preemptions = load->preemptions;
	r->stall_reported = true;
	r->stall_us = load->stall_us;
}

static void handle_load_report(struct request *r, const struct ep_load *load,
			       int64_t now)
{
	record_preemption(r, load);
	if (!r->rs.ep)
		return;
	struct route_load l = {.running = load->running,
			       .waiting = load->waiting,
			       .blocks_used = load->blocks_used,
			       .blocks = load->blocks};
	route_load_report(r->entry->route, r->rs.ep, &l, now);
	route_set_observed_state(r->rs.ep, r->incarnation,
				 load->leaving ? ROUTE_LEAVING : ROUTE_SERVING,
				 now);
}

/* Returns a negative number to stop reading this connection. */
static int handle_token(struct request *r, const struct ep_event *ev)
{
	int64_t now = clock_mono_us();

	if (strcmp(ev->generation, r->generation) != 0) {
		stats_dropped_event();
		return 0;
	}
	if (ev->index < r->next_index) {
		stats_dropped_event();
		return 0;
	}
	if (ev->index > r->next_index)
		return -MW_EAGAIN;
	if (r->finished)
		return 0;
	r->state = REQ_STREAMING;
	r->next_index = ev->index + 1;
	record_token(r, now);
	if (*ev->fin)
		handle_last_token(r, ev, now);
	/* Each index is relayed once, in order. */
	assert(r->next_index == ev->index + 1);
	deliver(r, ev);
	return 0;
}

static int on_event(void *ctx, const char *id, const char *type,
		    const char *data, size_t len)
{
	(void)id;
	struct request *r = ctx;
	struct ep_event ev;
	int err = r->entry->ep_ops->parse_event(type, data, len, &ev);

	if (err < 0)
		return err;
	if (ev.kind == EP_TOKEN)
		err = handle_token(r, &ev);
	else if (ev.kind == EP_LOAD)
		handle_load_report(r, &ev.load, clock_mono_us());
	ep_event_release(&ev);
	return err;
}

/* Closes the connection and resumes the same generation from next_index. */
static void reconnect(struct request *r)
{
	struct entry *e = r->entry;

	stream_close(r);
	if (r->reconnects++ >= RECONNECTS_MAX) {
		dispatch_handle_failure(r, -MW_EUPSTREAM, FAILED_UNKNOWN);
		return;
	}
	entry_event(e, EV_KIND_RESUMED, r->id, r->account, r->endpoint,
		    "from index %" PRIu64, r->next_index);
	stats_reconnected();
	stream_open(r, true);
}

static void end_if_finished(struct request *r)
{
	if (!r->finished)
		return;
	if (r->http && !r->stream)
		reply_unstreamed(r);
	if (r->http && buf_unread(&r->unsent_output)) {
		stream_close(r);
		return; /* stream_drained() ends the request */
	}
	if (r->http) {
		httpd_stream_end(r->http);
		r->http = NULL;
	}
	request_end(r);
}

static void handle_refusal(struct request *r);

static void add_to_refusal(struct request *r, const char *p, size_t n)
{
	if (buf_unread(&r->refusal_body) + n <= REFUSAL_MAX_BYTES) {
		buf_add(&r->refusal_body, p, n);
		return;
	}
	/* It may never end. */
	fetch_cancel(r->fetch);
	r->fetch = NULL;
	handle_refusal(r);
}

static void on_data(void *arg, struct fetch *f, const char *p, size_t n)
{
	struct request *r = arg;

	(void)f;
	remote_count_bytes(r, false, n);
	if (r->status != 200) {
		add_to_refusal(r, p, n);
		return;
	}
	if (r->finished)
		return;
	if (r->stream && !r->cursor[0] && seal_cursor(r) < 0) {
		request_fail(r, -MW_EINTERNAL, NULL, 0);
		return;
	}
	if (sse_feed(&r->sse, p, n, on_event, r) < 0) {
		reconnect(r);
		return;
	}
	end_if_finished(r);
}

static void handle_refusal(struct request *r)
{
	struct entry *e = r->entry;
	struct ep_refusal ref;

	e->ep_ops->parse_refusal(
		r->status, r->not_run,
		r->refusal_body.data ? buf_head(&r->refusal_body) : "",
		buf_unread(&r->refusal_body), &ref);
	if (!strcmp(ref.kind, "leaving"))
		view_mark_leaving(e, r->endpoint, r->incarnation,
				  clock_mono_us());
	entry_event(e, EV_KIND_ENDPOINT_REFUSED, r->id, r->account, r->endpoint,
		    "status %d, %s", r->status, ref.kind);
	if (r->resumed || r->delivered || r->reconnects) {
		/* The endpoint no longer has the generation. */
		dispatch_handle_failure(r, -MW_ELOST, FAILED_UNKNOWN);
		return;
	}
	dispatch_handle_failure(r, -MW_ENOENDPOINT,
				ref.not_run ? FAILED_NOT_RUN : FAILED_UNKNOWN);
}

/* Handles a connection that was lost or never established. */
static void handle_connection_error(struct request *r,
				    const struct fetch_result *res)
{
	struct entry *e = r->entry;
	bool refused_connection = res->err == FETCH_CONNECT && !res->sent;
	/*
	 * If another data centre does not answer at all, the link may be cut.
	 * That must not count as an endpoint crash caused by the request.
	 */
	bool died = !r->remote || res->connection_refused;

	if (refused_connection && r->state == REQ_SENT && !r->reconnects) {
		/* Nothing of the request has left this host. */
		view_mark_unreachable(e, r->endpoint, r->incarnation,
				      clock_mono_us());
		dispatch_handle_failure(r, -MW_ENOENDPOINT, FAILED_UNSENT);
		return;
	}
	if (refused_connection) {
		/* It had the request and now refuses connections. */
		view_mark_unreachable(e, r->endpoint, r->incarnation,
				      clock_mono_us());
		dispatch_handle_failure(r, -MW_ELOST,
					died ? FAILED_DIED : FAILED_UNKNOWN);
		return;
	}
	reconnect(r);
}

static void on_done(void *arg, struct fetch *f, const struct fetch_result *res)
{
	struct request *r = arg;

	(void)f;
	r->fetch = NULL;
	if (r->finished) {
		end_if_finished(r);
		return;
	}
	if (res->err == FETCH_OK && r->status != 200 && r->status)
		handle_refusal(r);
	else if (res->err == FETCH_OK)
		reconnect(r);
	else
		handle_connection_error(r, res);
}
