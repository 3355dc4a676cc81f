#include "forward/crashes.h"

#include <assert.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "forward/leave.h"
#include "forward/regions.h"
#include "forward/repeat.h"
#include "forward/startup.h"
#include "policy/path.h"
#include "obs/counter.h"
#include "obs/slog.h"

/* Time to connect to an endpoint before the next one is tried; the longest
 * round trip is 24 ms. */
#define CONNECT_TIMEOUT_MS 400

/* Open requests on one host; each has buffers of about 10 KiB. */
#define REQUESTS_MAX 3000

/* Requests that may wait for the first plan. */
#define UNADMITTED_MAX 256

/* Body of an answer that is not a stream; larger ones count as failed. */
#define BODY_MAX_BYTES (4u << 20)

/*
 * Times after which refused callers are told to retry.  Those of generations
 * are spread at random, so that the callers do not return all at once.
 * Endpoints finish generations after seconds, other calls after milliseconds.
 */
#define RETRY_GENERATION_MIN_US (900 * USEC_PER_MSEC)
#define RETRY_GENERATION_SPREAD_US (2600 * USEC_PER_MSEC)
#define RETRY_CALL_US (200 * USEC_PER_MSEC)
#define RETRY_STARTING_US (700 * USEC_PER_MSEC)

/* Part of the time until a paused endpoint is back by which the returns of
 * refused callers are spread, so that they do not all meet at it. */
#define RETRY_BACK_SPREAD 0.25

/* Number of ranks that a route can have.  The account's rank is multiplied by
 * it, so it precedes that of the route. */
#define ROUTE_RANKS 3

/* Quantile of the length with which a request whose deadline is after a planned
 * stop is forecast to end: one in fifty lasts longer. */
#define SHUTDOWN_QUANTILE 0.98

/* Time that an engine takes for a token while it runs several generations. */
#define TOKEN_TIME_US 10000

/* Quantile of the output length for which memory is forecast: one generation in
 * three is longer. */
#define NEED_QUANTILE 0.66

static void on_closed(void *arg, struct httpd_req *http);
static void on_drained(void *arg, struct httpd_req *http);

static const struct httpd_req_ops http_ops = {
	.drained = on_drained,
	.closed = on_closed,
};

static const char *const state_names[] = {"unadmitted", "waiting", "sent",
					  "stream", "paused"};

/* Logs the ids of the prompt's parts, to find what failed requests share. */
static void log_prompt_parts(struct slog *l, const struct request *r)
{
	g_autoptr(GString) ids = g_string_new(NULL);

	for (size_t i = 0; i < r->ask.n_parts; i++)
		g_string_append_printf(ids, "%s%" G_GINT64_MODIFIER "x",
				       i ? "," : "", r->ask.parts[i].id);
	if (ids->len)
		slog_str(l, "parts", ids->str);
}

void request_log(struct request *r, const char *kind, const char *outcome,
		 int64_t now)
{
	bool succeeded = !strcmp(outcome, "ok");
	struct slog l = succeeded ? slog_begin_routine(kind) : slog_begin(kind);

	slog_str(&l, "request", r->ask.id);
	slog_str(&l, "route", r->route ? r->route->name : "");
	slog_str(&l, "account", r->account ? r->account->name : "");
	slog_int(&l, "rank", r->rank);
	slog_int(&l, "plan", r->plan ? (int64_t)r->plan->revision : 0);
	slog_str(&l, "state", state_names[r->state]);
	slog_str(&l, "outcome", outcome);
	slog_int(&l, "age_us", now - r->arrived_us);
	if (*r->endpoint_id)
		slog_str(&l, "endpoint", r->endpoint_id);
	slog_int(&l, "attempts", r->attempts);
	if (r->fwd->drain.active)
		slog_int(&l, "since_sigterm_us", now - r->fwd->drain.start_us);
	if (r->status)
		slog_int(&l, "status", r->status);
	if (r->events) {
		slog_int(&l, "events", (int64_t)r->events);
		slog_int(&l, "first_event_us",
			 r->first_event_us - r->arrived_us);
		slog_int(&l, "pause_us", r->longest_gap_us);
		slog_int(&l, "pause_ended_us", now - r->longest_gap_end_us);
	}
	if (!succeeded) {
		request_log_regions(&l, r);
		log_prompt_parts(&l, r);
	}
	slog_end(&l);
}

/* ---- load on the endpoint ---- */

struct length_query request_length_query(const struct request *r)
{
	return (struct length_query){
		.account = r->account ? r->account->name : "",
		.route = r->route->name,
		.hint = r->ask.length_hint,
		.produced = (uint32_t)(r->events *
				       MAX(r->service->tokens_per_event, 1u)),
		.max_tokens = r->ask.max_tokens};
}

/* Prompt and output, when the generation ends. */
static uint64_t forecast_total_tokens(struct request *r, int64_t now)
{
	unsigned int tokens_per_event =
		r->service->tokens_per_event ? r->service->tokens_per_event : 1;
	struct est_query q = {.account = "",
			      .route = r->route->name,
			      .produced =
				      (uint32_t)(r->events * tokens_per_event),
			      .max_tokens = r->ask.max_tokens};

	if (r->ask.length_hint) {
		const struct length_query lq = request_length_query(r);
		struct length_estimate e =
			length_estimate(r->fwd->length, &lq, now);
		return length_reserve(r->ask.prompt_tokens, &e);
	}
	return r->ask.prompt_tokens + q.produced +
	       est_quantile(r->fwd->est, &q, NEED_QUANTILE, now);
}

void request_update_need(struct request *r, int64_t now)
{
	struct fwd_endpoint *ep = endpoints_find(r->fwd, r->endpoint_id);
	uint64_t need;

	if (!r->generation)
		return;
	need = forecast_total_tokens(r, now);
	if (ep && r->need_tokens) {
		ep->needed_here_tokens =
			ep->needed_here_tokens + need - r->need_tokens;
		r->fwd->use_unreported = true;
	}
	r->need_tokens = need;
}

void request_attach(struct request *r, struct fwd_endpoint *ep)
{
	g_strlcpy(r->endpoint_id, ep->id, sizeof(r->endpoint_id));
	r->incarnation = ep->incarnation;
	r->pace_event_us = 0;
	r->pace_first = false;
	ep->open_here++;
	ep->needed_here_tokens += r->need_tokens;
	ep->prefill_here_tokens += r->prefill_tokens;
	list_add_tail(&ep->requests, &r->endpoint_node);
	r->fwd->use_unreported = true;
}

void request_prefill_done(struct request *r)
{
	struct fwd_endpoint *ep = endpoints_find(r->fwd, r->endpoint_id);

	if (ep)
		ep->prefill_here_tokens -= r->prefill_tokens;
	r->prefill_tokens = 0;
}

void request_detach(struct request *r)
{
	struct fwd_endpoint *ep = endpoints_find(r->fwd, r->endpoint_id);

	if (r->fetch) {
		fetch_cancel(r->fetch);
		r->fetch = NULL;
	}
	if (!*r->endpoint_id)
		return;
	list_del(&r->endpoint_node);
	if (ep) {
		ep->open_here--;
		ep->needed_here_tokens -= r->need_tokens;
		ep->prefill_here_tokens -= r->prefill_tokens;
	}
	g_strlcpy(r->previous_endpoint_id, r->endpoint_id,
		  sizeof(r->previous_endpoint_id));
	*r->endpoint_id = '\0';
	r->prefill_tokens = 0;
	r->fwd->use_unreported = true;
}

/* ---- end ---- */

void request_free(struct request *r)
{
	struct fwd *f = r->fwd;

	request_detach(r);
	move_release(r);
	relay_release(r);
	if (r->state == REQUEST_WAITING && r->wait_node.next != &r->wait_node)
		f->n_waiting--;
	if (r->state == REQUEST_UNADMITTED)
		f->n_unadmitted--;
	list_del(&r->wait_node);
	list_del(&r->node);
	ev_timer_stop(f->loop, &r->timer);
	buf_release(&r->body);
	buf_release(&r->partial_event);
	buf_release(&r->unsent_events);
	plan_unref(r->plan);
	if (r->unreached)
		g_ptr_array_unref(r->unreached);
	f->n_requests--;
	g_free(r);
}

/*
 * Chooses the time after which the caller should retry; 0 if the error allows
 * no retry, or names no time for it.
 */
static int64_t choose_retry_after_us(struct request *r, int err, int64_t now)
{
	int64_t time_left_us = r->deadline_us - now;
	int64_t us = RETRY_CALL_US;

	/* When a region is back is known only of pauses. */
	if (err == -MW_EREGIONDOWN && !r->back_after_us)
		return 0;
	if (!err_info(err)->retryable && err != -MW_EAGAIN)
		return 0;
	if (!r->plan) /* just started, as other hosts may have been too */
		us = RETRY_STARTING_US;
	else if (r->back_after_us)
		us = r->back_after_us +
		     (int64_t)(g_rand_double(r->fwd->rand) * RETRY_BACK_SPREAD *
			       (double)r->back_after_us);
	else if (r->generation && err != -MW_EDRAINING)
		us = RETRY_GENERATION_MIN_US +
		     (int64_t)(g_rand_double(r->fwd->rand) *
			       RETRY_GENERATION_SPREAD_US);
	/* The caller waits at most about a third of its remaining time. */
	return time_left_us > 0 ? MIN(us, time_left_us * 3 / 10) : us;
}

void request_refuse(struct request *r, int err, const char *why, int64_t now)
{
	struct fwd *f = r->fwd;

	if (r->stream_begun) {
		relay_abort(r, why, now);
		return;
	}
	int64_t after =
		r->may_have_run ? 0 : choose_retry_after_us(r, err, now);
	struct slog l = slog_begin("refused");

	slog_str(&l, "request", r->ask.id);
	slog_str(&l, "route", r->route ? r->route->name : "");
	slog_str(&l, "account", r->account ? r->account->name : "");
	slog_int(&l, "plan", r->plan ? (int64_t)r->plan->revision : 0);
	slog_str(&l, "error", err_info(err)->kind);
	slog_str(&l, "reason", why);
	slog_int(&l, "may_have_run", r->may_have_run);
	slog_int(&l, "retry_after_us", after);
	slog_int(&l, "age_us", now - r->arrived_us);
	if (f->drain.active)
		slog_int(&l, "since_sigterm_us", now - f->drain.start_us);
	slog_int(&l, "attempts", r->attempts);
	slog_int(&l, "unreached", r->failed_deliveries);
	slog_str(&l, "endpoint",
		 *r->endpoint_id ? r->endpoint_id : r->previous_endpoint_id);
	slog_int(&l, "waiting", (int64_t)f->n_waiting);
	request_log_regions(&l, r);
	log_prompt_parts(&l, r);
	slog_end(&l);
	counter_add(C_REFUSED, err_info(err)->kind, 1);
	f->iface->reply_error(r->http, err, r->may_have_run, after,
			      f->drain.active);
	request_free(r);
}

/* The connection has ended before the answer. */
static void on_closed(void *arg, struct httpd_req *http)
{
	static const char *const kinds[] = {
		[HTTPD_CLIENT] = "caller_left",
		[HTTPD_TIMEOUT] = "connection_timeout",
		[HTTPD_SERVER] = "cut_off",
	};
	struct request *r = arg;
	const char *kind = kinds[httpd_closer(http)];

	request_log(r, kind, "cancelled", clock_mono_us());
	counter_add(C_FORWARDED, kind, 1);
	request_free(r);
}

static void on_drained(void *arg, struct httpd_req *http)
{
	(void)http;
	relay_drained(arg, clock_mono_us());
}

static void on_deadline(EV_P_ ev_timer *w, int revents)
{
	struct request *r = w->data;
	int64_t now = clock_mono_us();

	(void)loop;
	(void)revents;
	if (r->state == REQUEST_STREAM || r->state == REQUEST_PAUSED) {
		relay_abort(r, "timeout", now);
		return;
	}
	if (r->state == REQUEST_SENT)
		r->may_have_run = true;
	request_refuse(r, r->may_have_run ? -MW_ETIMEOUT : -MW_EDEADLINE,
		       "timeout", now);
}

/* ---- attempt ---- */

/* Only genuine answers of the endpoint itself count. */
static void apply_notice(struct request *r, const char *endpoint_id,
			 uint64_t incarnation, const struct answer *answer,
			 int64_t now)
{
	struct fwd_endpoint *ep = endpoints_find(r->fwd, endpoint_id);

	if (!ep || ep->incarnation != incarnation || answer->wrong_endpoint ||
	    answer->wrong_request)
		return;
	/* A refusal need not name a limit that still holds. */
	if (answer->has_seal || (answer->not_run && answer->notice.has_limit))
		endpoints_apply_limit(r->fwd, ep, &answer->notice, now);
	if (answer->has_seal || answer->not_run)
		endpoints_apply_notice(r->fwd, ep, &answer->notice,
				       answer->not_run ? "refusal" : "answer",
				       now);
}

static void on_headers(void *arg, struct fetch *fetch, int status)
{
	struct request *r = arg;
	int64_t now = clock_mono_us();

	if (fetch == r->move.target_fetch) {
		struct answer a =
			r->fwd->iface->decode_answer(fetch, status, &r->ask);
		apply_notice(r, r->move.target.endpoint_id,
			     r->move.target.incarnation, &a, now);
		move_target_answered(r, status, a.has_seal && !a.wrong_request,
				     now);
		return;
	}
	r->status = status;
	r->answer = r->fwd->iface->decode_answer(fetch, status, &r->ask);
	apply_notice(r, r->endpoint_id, r->incarnation, &r->answer, now);
	if (r->answer.wrong_request || !r->answer.has_seal || status != 200 ||
	    r->route->kind != PLAN_STREAM)
		fetch_limit_body(fetch, BODY_MAX_BYTES);
	else
		relay_begin(r, now);
}

static void on_data(void *arg, struct fetch *fetch, const char *p, size_t n)
{
	struct request *r = arg;

	if (fetch == r->move.target_fetch) {
		move_target_data(r, p, n, clock_mono_us());
		return;
	}
	if (r->state == REQUEST_STREAM) {
		relay_data(r, p, n, clock_mono_us());
		return;
	}
	buf_add(&r->body, p, n);
}

static void forward_answer(struct request *r, struct fetch *fetch, int64_t now)
{
	struct fwd *f = r->fwd;

	counter_add(C_FORWARDED, r->status < 500 ? "ok" : "endpoint_error", 1);
	counter_observe(C_CALL_US, "forwarded", now - r->arrived_us);
	est_observe(f->est_call_ms, "", r->route->name,
		    (uint32_t)((now - r->arrived_us) / USEC_PER_MSEC), now);
	headers *h = f->iface->answer_headers(fetch);

	if (f->drain.active)
		headers_add(h, "Connection", "close");
	g_ptr_array_add(h, NULL);
	request_log(r, "answered", r->status < 500 ? "ok" : "endpoint_error",
		    now);
	if (!r->answer.unframed)
		crashes_request_served(r, now);
	httpd_reply_buf(r->http, r->status, (const char *const *)h->pdata,
			&r->body);
	g_ptr_array_unref(h);
	request_free(r);
}

/*
 * Whether the request may be sent to an endpoint again, after an attempt that
 * may have run or not, and was delivered or not.  Takes a repeat from the
 * service's budget if it is charged.
 */
static bool may_repeat(struct request *r, bool may_have_run, bool delivered,
		       int64_t now)
{
	/* Its caller would not get the answer. */
	if (httpd_is_shed(r->http))
		return false;
	r->failed_deliveries += !delivered;
	const struct repeat_facts facts = {
		.delivered = delivered,
		.may_have_run = may_have_run,
		.may_run_again = r->route->kind == PLAN_IDEMPOTENT ||
				 r->route->resumable,
		.attempts = r->attempts,
		.max_attempts = r->route->max_endpoints,
		.failed_deliveries = r->failed_deliveries,
		.untried = !delivered && request_any_untried(r, now),
		.left_us = r->deadline_us - now};
	enum repeat_verdict v = repeat_decide(&facts);

	if (v == REPEAT_CHARGED)
		return budget_take_repeat(
			&endpoints_service_state(r->fwd, r->service->name)
				 ->budget);
	return v == REPEAT_FREE;
}

static void repeat_request(struct request *r, const char *why, int64_t now)
{
	request_log(r, "repeat", why, now);
	counter_add(C_REPEATS, NULL, 1);
	request_detach(r);
	buf_consume(&r->body, buf_unread(&r->body));
	r->status = 0;
	request_place(r, now);
}

bool request_continue(struct request *r, const char *why, int64_t now)
{
	if (!r->route->resumable || r->move.state != MOVE_NONE ||
	    !may_repeat(r, true, true, now))
		return false;
	r->may_have_run = true;
	r->admitted_us = now; /* it may wait for room once more */
	repeat_request(r, why, now);
	return true;
}

/* Records what the attempt says about the endpoint, whose answer is complete.
 */
static void record_answer(struct request *r, bool usable, int64_t now)
{
	struct fwd_endpoint *ep = endpoints_find(r->fwd, r->endpoint_id);

	if (!ep)
		return;
	if (!r->answer.wrong_request && ep->incarnation == r->incarnation &&
	    failures_is_error(r->status, r->answer.not_run,
			      r->answer.notice.pause_us))
		faults_record_error(r->fwd, ep, now);
	else if (usable && r->status < 500)
		endpoints_record_success(r->fwd, ep, now);
}

/* Leaves the request's endpoint, which its attempt did not reach, out of its
 * further choices. */
static void note_unreached(struct request *r)
{
	counter_add(C_UNREACHED, NULL, 1);
	if (!r->unreached)
		r->unreached = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(r->unreached, g_strdup(r->endpoint_id));
}

static void attempt_failed(struct request *r, const struct fetch_result *res,
			   int64_t now)
{
	struct fwd_endpoint *ep = endpoints_find(r->fwd, r->endpoint_id);
	bool delivered = res->sent != 0;
	bool may_have_run = delivered && !r->answer.not_run;

	if (ep && res->err != FETCH_OK && ep->incarnation == r->incarnation &&
	    res->err != FETCH_TIMEOUT)
		endpoints_record_failure(r->fwd, ep, now);
	if (delivered && res->err == FETCH_BROKEN)
		crashes_attempt_broken(r, now);
	if (!delivered)
		note_unreached(r);
	if (ep && r->answer.wrong_endpoint && ep->incarnation == r->incarnation)
		endpoints_mark_gone(r->fwd, ep);
	r->may_have_run |= may_have_run;
	r->trial = r->trial && !delivered;
	if (may_repeat(r, may_have_run, delivered, now)) {
		if (!delivered)
			r->not_before_us =
				now + repeat_backoff_us(r->failed_deliveries,
							r->deadline_us - now);
		repeat_request(
			r, res->err == FETCH_OK ? "refused" : res->error_text,
			now);
		return;
	}
	if (r->may_have_run)
		request_refuse(r,
			       res->err == FETCH_TIMEOUT ? -MW_ETIMEOUT
							 : -MW_EUPSTREAM,
			       res->error_text, now);
	else
		request_refuse(r, -MW_ENOENDPOINT,
			       r->answer.not_run ? "endpoint refused"
						 : res->error_text,
			       now);
}

static void on_done(void *arg, struct fetch *fetch,
		    const struct fetch_result *res)
{
	struct request *r = arg;
	int64_t now = clock_mono_us();

	if (fetch == r->move.target_fetch) {
		r->move.target_fetch = NULL;
		move_target_failed(r, now);
		return;
	}
	r->fetch = NULL;
	if (r->state == REQUEST_STREAM) {
		relay_endpoint_done(r, res->err == FETCH_OK, res->error_text,
				    now);
		return;
	}
	bool usable = res->err == FETCH_OK && r->answer.has_seal &&
		      !r->answer.wrong_request && !r->answer.not_run &&
		      !r->answer.wrong_endpoint;
	if (res->err == FETCH_OK)
		record_answer(r, usable, now);
	if (usable && r->status >= 500 && may_repeat(r, true, true, now)) {
		r->may_have_run = true;
		repeat_request(r, "endpoint error", now);
		return;
	}
	if (usable && r->stream_begun)
		relay_abort(r, "the stream was not continued", now);
	else if (usable)
		forward_answer(r, fetch, now);
	else
		attempt_failed(r, res, now);
}

void request_answer_all(struct fwd *f, int64_t now)
{
	struct request *r, *tmp;

	list_for_each_entry_safe (r, tmp, &f->requests, node) {
		if (r->state == REQUEST_STREAM || r->state == REQUEST_PAUSED)
			continue;
		r->may_have_run |= r->state == REQUEST_SENT;
		request_refuse(r, -MW_EDRAINING, "no time left before the stop",
			       now);
	}
}

void request_end_attempts(struct fwd_endpoint *ep, const char *why, int64_t now)
{
	const struct fetch_result res = {
		.err = FETCH_BROKEN, .sent = 1, .error_text = why};
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &ep->requests) {
		struct request *r =
			list_entry(pos, struct request, endpoint_node);

		if (!r->fetch || r->incarnation != ep->incarnation)
			continue;
		fetch_cancel(r->fetch);
		r->fetch = NULL;
		if (r->state == REQUEST_STREAM)
			relay_endpoint_done(r, false, why, now);
		else
			attempt_failed(r, &res, now);
	}
}

static const struct fetch_ops attempt_ops = {
	.headers = on_headers,
	.data = on_data,
	.done = on_done,
};

/* The event after which a run is to go on; 0: it begins. */
static uint64_t last_event_id(const struct request *r)
{
	if (r->stream_begun)
		return r->last_event_id;
	return r->route->resumable ? r->ask.last_event_id : 0;
}

struct fetch *request_start_attempt(struct request *r, struct fwd_endpoint *ep,
				    const char *resume_from, int64_t now)
{
	struct fwd *f = r->fwd;
	struct attempt a = {.endpoint = ep->id,
			    .account = r->account ? r->account->name : NULL,
			    .rank = r->rank,
			    .time_left_us = r->deadline_us - now,
			    .resume_from = resume_from,
			    .last_event_id = last_event_id(r)};
	headers *h = f->iface->request_headers(r->http, &r->ask, &a);
	g_autofree char *url = g_strdup_printf("http://%s/", ep->addr);
	struct fetch_spec spec = {
		.method = r->ask.method,
		.url = url,
		.target = r->ask.target,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.timeout_ms = (int)(a.time_left_us / USEC_PER_MSEC) + 1,
		.flags = FETCH_NEW_CONNECTION,
	};

	g_ptr_array_add(h, NULL);
	spec.headers = (const char *const *)h->pdata;
	spec.body = httpd_body(r->http, &spec.body_len);
	r->attempts++;
	struct slog l = slog_begin_routine("placed");
	slog_str(&l, "request", r->ask.id);
	slog_str(&l, "endpoint", ep->id);
	slog_int(&l, "attempt", r->attempts);
	slog_int(&l, "open", ep->open_here + ep->open_elsewhere);
	slog_int(&l, "tokens",
		 (int64_t)(ep->needed_here_tokens +
			   ep->needed_elsewhere_tokens));
	slog_int(&l, "need", (int64_t)r->need_tokens);
	slog_int(&l, "wait_us", now - r->arrived_us);
	slog_int(&l, "prefill",
		 (int64_t)(ep->prefill_here_tokens +
			   ep->prefill_elsewhere_tokens));
	if (resume_from)
		slog_str(&l, "resume_from", resume_from);
	slog_end(&l);
	rate_record_sent(&ep->rate, now);
	if (!resume_from)
		endpoints_record_sent(f, ep, 1, now);
	struct fetch *fetch = fetch_start(f->fetcher, &spec, &attempt_ops, r);
	g_ptr_array_unref(h);
	return fetch;
}

void request_send(struct request *r, struct fwd_endpoint *ep, int64_t now)
{
	r->prefill_tokens = r->ask.prompt_tokens;
	r->answer = (struct answer){0};
	r->sent_us = now;
	r->state = REQUEST_SENT;
	counter_observe(C_QUEUE_WAIT_US, "forwarded", now - r->arrived_us);
	request_attach(r, ep);
	leave_record(r, ep, now);
	paces_note_sent(r, ep);
	r->fetch = request_start_attempt(r, ep, NULL, now);
}

/* ---- admission ---- */

static bool route_needs_key(const struct plan *p, const struct plan_route *r)
{
	return p->needs_keys && !r->is_public;
}

/* Whether the path selects a route of the same host that needs a key. */
static bool path_needs_key(const char *path, void *ctx)
{
	const struct request *r = ctx;
	const struct plan_route *route = plan_route(r->plan, r->ask.host, path);

	return route && route_needs_key(r->plan, route);
}

static int admit(struct request *r, const char **why)
{
	struct fwd *f = r->fwd;

	*why = "not ready";
	if (!f->plan)
		return -MW_EAGAIN;
	r->plan = plan_ref(f->plan);
	*why = "too many requests";
	if (f->n_requests > REQUESTS_MAX)
		return -MW_EQUEUEFULL;
	*why = "no such route";
	r->route = plan_route(r->plan, r->ask.host, r->ask.target);
	if (!r->route)
		return -MW_ENOTFOUND;
	*why = "a path with two meanings";
	if (!route_needs_key(r->plan, r->route) &&
	    path_any_reading(r->ask.target, path_needs_key, r))
		return -MW_EINVAL;
	*why = "unknown key";
	r->account = r->ask.key ? plan_account(r->plan, r->ask.key) : NULL;
	if (!r->account && route_needs_key(r->plan, r->route))
		return -MW_EAUTH;
	*why = "route without service";
	r->service = plan_choose_backend(r->route, g_rand_int(f->rand));
	return r->service ? 0 : -MW_ENOENDPOINT;
}

/*
 * Time by which the request has very likely ended: a generation by the lengths
 * of earlier ones of its route, a call by the durations of earlier ones; 0 for
 * other streams, whose length is not known.
 */
static int64_t forecast_end_us(struct request *r, int64_t now)
{
	struct fwd *f = r->fwd;
	struct est_query q = {.account = "",
			      .route = r->route->name,
			      .max_tokens = r->ask.max_tokens};

	if (r->generation)
		return now + r->route->target_latency_us +
		       est_quantile(f->est, &q, SHUTDOWN_QUANTILE, now) *
			       (int64_t)TOKEN_TIME_US;
	if (r->route->kind == PLAN_STREAM)
		return 0;
	q.max_tokens = 0;
	return now + est_quantile(f->est_call_ms, &q, SHUTDOWN_QUANTILE, now) *
			     (int64_t)USEC_PER_MSEC;
}

static void start_deadline_timer(struct request *r, int64_t now)
{
	int64_t limit = r->route->timeout_us;

	if (r->ask.max_wait_us && r->ask.max_wait_us < limit)
		limit = r->ask.max_wait_us;
	r->deadline_us = r->arrived_us + limit;
	ev_timer_init(&r->timer, on_deadline,
		      (double)MAX(r->deadline_us - now, 0) / USEC_PER_SEC, 0.);
	r->timer.data = r;
	ev_timer_start(r->fwd->loop, &r->timer);
}

/* Admits and places a request that was decoded, or refuses it. */
static void admit_and_place(struct request *r, int64_t now)
{
	struct fwd *f = r->fwd;
	const char *why = "";
	int err = admit(r, &why);

	if (err < 0) {
		request_refuse(r, err, why, now);
		return;
	}
	r->admitted_us = now;
	r->rank = r->route->rank;
	if (r->account && r->account->rank > 0)
		r->rank += (unsigned int)r->account->rank * ROUTE_RANKS;
	r->generation = r->service->runs_model && r->ask.prompt_tokens;
	start_deadline_timer(r, now);
	request_update_need(r, now);
	struct service_state *s = endpoints_service_state(f, r->service->name);
	budget_add_request(&s->budget);
	rate_window_add(&s->arrivals, now);
	if (!drain_admits(&f->drain, r->deadline_us, forecast_end_us(r, now),
			  now))
		request_refuse(r, -MW_EDRAINING, "shutting down", now);
	else
		request_place(r, now);
}

void request_admit_all(struct fwd *f, int64_t now)
{
	struct request *r, *tmp;

	list_for_each_entry_safe (r, tmp, &f->unadmitted, wait_node) {
		list_del(&r->wait_node);
		f->n_unadmitted--;
		r->state = REQUEST_WAITING;
		admit_and_place(r, now);
	}
}

/* Keeps the request until there is a plan; false if it is to be refused. */
static bool await_plan(struct request *r, int64_t now)
{
	struct fwd *f = r->fwd;

	if (f->plan || f->drain.active || !r->startup_wait_us ||
	    f->n_unadmitted >= UNADMITTED_MAX)
		return false;
	r->state = REQUEST_UNADMITTED;
	list_add_tail(&f->unadmitted, &r->wait_node);
	f->n_unadmitted++;
	request_log(r, "queued", "no plan", now);
	return true;
}

void request_accept(void *ctx, struct httpd_req *http)
{
	struct fwd *f = ctx;
	struct request *r = g_new0(struct request, 1);
	int64_t now = clock_mono_us();

	r->fwd = f;
	r->http = http;
	r->arrived_us = r->admitted_us = now;
	r->state = REQUEST_WAITING;
	list_add_tail(&f->requests, &r->node);
	list_init(&r->wait_node);
	list_init(&r->endpoint_node);
	list_init(&r->delayed);
	f->n_requests++;
	httpd_set_owner(http, &http_ops, r);
	int err = f->iface->decode_request(http, &r->ask);
	if (err == 0 && !path_can_be_sent(r->ask.target))
		err = -MW_EINVAL;
	r->deadline_us = now + r->ask.max_wait_us;
	if (err < 0) {
		request_refuse(r, err, "malformed", now);
		return;
	}
	r->startup_wait_us =
		startup_wait_us(f->start_us, r->ask.max_wait_us, now);
	if (!await_plan(r, now))
		admit_and_place(r, now);
}
