#include "forward/request.h"

#include <stdio.h>
#include <string.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "forward/move_order.h"
#include "forward/source_stop.h"
#include "obs/counter.h"
#include "obs/slog.h"

/*
 * Moves of generations: when an endpoint (the source) leaves, its generations
 * continue at another endpoint (the target), which has got a copy of their KV
 * cache.  Endpoints are reclaimed with two seconds of notice while generations
 * run for ten, and an endpoint's link copies one generation after another.
 *
 * The host orders the source to copy the KV cache to the target while the
 * generation continues (MOVE_COPY).  It then sends the request to the target,
 * which processes the tokens that were produced since the copy began; the
 * source continues until the target has answered (MOVE_RESUME).  So a refusal
 * by the target loses nothing, and the caller sees no pause.  The time in which
 * both run is bounded by OVERLAP_US.
 *
 * If the service states the figures of its engines' copies (kv_token_bytes,
 * link_mbps), move_order.c decides when each copy is ordered and when the
 * target is asked, and the events of the source are delayed a little from the
 * order of the copy on: the target first produces again what the source
 * produced while it waited there. Without these figures all copies are ordered
 * at once.
 *
 * Copies are not kept up to date from the start of each generation: they would
 * take as much memory as the generations themselves, and moves would find no
 * room.
 */

/* A copy order is answered when the copy is complete.  The memory of a full
 * endpoint takes 2 s, and twice that to another data centre. */
#define COPY_ORDER_TIMEOUT_MS 5000

/* Time to connect to the source for orders; the longest round trip is 24 ms. */
#define ORDER_CONNECT_TIMEOUT_MS 300

/* Time for the deletion of a copy. */
#define DELETE_TIMEOUT_MS 1000

/* Body of the answer to a copy order; a larger one counts as failed. */
#define REPLY_MAX_BYTES 4096

/* Body of a target's refusal that is read to keep the order of events. */
#define REFUSAL_MAX_BYTES (64u << 10)

/* Copy orders that are sent for one move. */
#define COPY_ATTEMPTS_MAX 8

/* The source is stopped after this even if the target has not answered: two
 * endpoints may work on one request for at most 400 ms. */
#define OVERLAP_US (250 * USEC_PER_MSEC)

/* Time until a move without a target, or with a failed copy, is retried. */
#define RETRY_INTERVAL_US (120 * USEC_PER_MSEC)

/* Requests that a move sends to its target: the copy and the resume. */
#define COPY_REQUESTS 2

/* Round trip of an order that copies what was produced since the last one. */
#define SECOND_COPY_ROUND_TRIP_US (4 * USEC_PER_MSEC)

/* Until the next try to judge a generation that probably ends by itself. */
#define JUDGE_INTERVAL_US (100 * USEC_PER_MSEC)

/* Time that an engine takes for a token, before its own pace is known. */
#define TOKEN_TIME_US (10 * USEC_PER_MSEC)

/* Events from which the pace of a generation is computed. */
#define PACE_EVENTS_MIN 8

static void send_copy_order(struct request *r);
static void begin_copy(struct request *r, int64_t now);
static void resume_when_due(struct request *r, int64_t now);
static void delete_copy(struct request *r, const char *handle);

static void log_move(struct request *r, const char *outcome, int64_t now)
{
	static const char *const step_names[] = {"none", "wait", "copy",
						 "ready", "resume"};
	const struct fwd_endpoint *ep =
		endpoints_find(r->fwd, r->move.target.endpoint_id);
	struct slog l = slog_begin("move");

	counter_add(C_MOVES, outcome, 1);

	slog_str(&l, "request", r->ask.id);
	slog_str(&l, "step", step_names[r->move.state]);
	slog_str(&l, "source", r->move.source_id);
	slog_str(&l, "target", r->move.target.endpoint_id);
	slog_str(&l, "outcome", outcome);
	slog_int(&l, "status", r->move.last_status);
	slog_int(&l, "since_us", now - r->move.start_us);
	slog_int(&l, "events", (int64_t)r->events);
	if (ep) {
		slog_int(&l, "target_open", ep->open_here + ep->open_elsewhere);
		slog_int(&l, "target_tokens",
			 (int64_t)(ep->needed_here_tokens +
				   ep->needed_elsewhere_tokens));
		slog_int(&l, "target_used", (int64_t)ep->used_tokens);
		slog_int(&l, "need", (int64_t)r->need_tokens);
	}
	slog_end(&l);
}

/* ---- input of move_order.c ---- */

static struct move_links links_of(const struct request *r)
{
	return (struct move_links){.token_bytes = r->service->kv_token_bytes,
				   .mbps = r->service->link_mbps};
}

/* Whether copies are planned, and the caller's events are spaced meanwhile. */
static bool is_planned(const struct request *r)
{
	const struct move_links links = links_of(r);

	return move_links_known(&links);
}

static uint64_t tokens_of_events(const struct request *r, uint64_t events)
{
	return events * MAX(r->service->tokens_per_event, 1u);
}

static struct move_source source_of(const struct request *r)
{
	const struct fwd_endpoint *ep =
		endpoints_find(r->fwd, r->move.source_id);

	if (!ep)
		return (struct move_source){0};
	return (struct move_source){
		.leaving_since_us = ep->leaving_since_us,
		.tokens = ep->used_tokens ? ep->used_tokens
					  : ep->needed_here_tokens +
						    ep->needed_elsewhere_tokens,
		.generations = ep->open_here + ep->open_elsewhere};
}

/* The probability that the generation runs after so many more tokens. */
static double probability_of_running(const struct request *r, double tokens,
				     int64_t now)
{
	struct est_query q = {.account = "",
			      .route = r->route->name,
			      .produced =
				      (uint32_t)tokens_of_events(r, r->events),
			      .max_tokens = r->ask.max_tokens};
	struct est_forecast f;
	size_t i = 1;

	est_forecast(r->fwd->est, &q, now, &f);
	while (i < EST_STEPS - 1 && est_step_tokens[i] < tokens)
		i++;
	double low = est_step_tokens[i - 1], high = est_step_tokens[i];
	double part = CLAMP((tokens - low) / (high - low), 0, 1);
	return f.survival[i - 1] * (1 - part) + f.survival[i] * part;
}

static struct move_candidate candidate_of(const struct request *r, int64_t now)
{
	const struct move_source source = source_of(r);
	int64_t left_us = source.leaving_since_us + MOVE_NOTICE_MIN_US - now;
	uint64_t produced = tokens_of_events(r, r->events);
	double token_us = TOKEN_TIME_US;

	if (r->events >= PACE_EVENTS_MIN &&
	    r->last_event_us > r->first_event_us)
		token_us = (double)(r->last_event_us - r->first_event_us) /
			   (double)produced;
	return (struct move_candidate){
		.tokens = r->ask.prompt_tokens + produced,
		.p_running =
			source.leaving_since_us
				? probability_of_running(
					  r, MAX((double)left_us, 0) / token_us,
					  now)
				: 1};
}

static uint64_t prefill_at_target(const struct request *r)
{
	const struct fwd_endpoint *ep =
		endpoints_find(r->fwd, r->move.target.endpoint_id);

	return ep ? ep->prefill_here_tokens + ep->prefill_elsewhere_tokens : 0;
}

static double pace_of_target(const struct request *r)
{
	const struct fwd_endpoint *ep =
		endpoints_find(r->fwd, r->move.target.endpoint_id);

	return ep ? pace_factor(&ep->pace) : 1;
}

/* Whether the source still sends events of the generation. */
static bool runs_at_source(const struct request *r)
{
	return r->fetch != NULL;
}

/* Ends the generation at its source, if it runs there. */
static void leave_source(struct request *r, int64_t now)
{
	struct fwd_endpoint *source = endpoints_find(r->fwd, r->endpoint_id);
	bool runs = runs_at_source(r);
	uint64_t incarnation = r->incarnation;

	request_detach(r);
	if (runs && source && source->incarnation == incarnation)
		source_stop(r->fwd, source, r->ask.id, r->move.target_addr,
			    now);
}

/* ---- continuing at the target ---- */

/* Retries later if the source can still copy; otherwise ends the move, and the
 * request too if no endpoint runs it any more. */
static void retry_or_give_up(struct request *r, int64_t now)
{
	request_remove_copy(r, &r->move.target);
	if (runs_at_source(r) && r->service->can_move_generations &&
	    r->move.copy_attempts < COPY_ATTEMPTS_MAX) {
		r->move.state = MOVE_WAIT;
		r->move.due_us = now + RETRY_INTERVAL_US;
		return;
	}
	log_move(r, "given up", now);
	r->move.state = MOVE_NONE;
	if (!runs_at_source(r))
		relay_abort(r, "the generation could not be moved", now);
}

/* Whether the target takes the resume: it was counted with the copy, except if
 * the target has turned cold since. */
static bool take_resume(struct request *r, struct fwd_endpoint *ep, int64_t now)
{
	const struct warmup_pace *pace =
		endpoints_warmup_pace(r->fwd, ep->service);

	if (r->move.cold_target || !warmup_is_cold(&ep->warmup, pace, now))
		return true;
	if (!warmup_has_room(&ep->warmup, pace, 0, now))
		return false;
	endpoints_record_sent(r->fwd, ep, 1, now);
	return true;
}

static void resume_at_target(struct request *r, int64_t now)
{
	struct fwd_endpoint *ep =
		endpoints_find(r->fwd, r->move.target.endpoint_id);

	if (!ep || ep->incarnation != r->move.target.incarnation) {
		begin_copy(r, now);
		return;
	}
	/* What the request may use may have changed while the copy was made. */
	if (!request_is_permitted(r, ep)) {
		counter_add(C_RESIDENCY, "move", 1);
		log_move(r, "not allowed", now);
	}
	if (!request_may_use_endpoint(r, ep, now) || !take_resume(r, ep, now)) {
		move_target_failed(r, now);
		return;
	}
	log_move(r, "resume", now);
	r->move.state = MOVE_RESUME;
	r->move.resume_us = now;
	r->move.due_us = now + OVERLAP_US;
	r->move.refusal_bytes = 0;
	r->move.target_waits = false;
	r->move.target_fetch =
		request_start_attempt(r, ep, r->move.handle, now);
}

/* Continues the stream at the target, which has answered. */
static void switch_to_target(struct request *r, struct fwd_endpoint *ep,
			     int64_t now)
{
	struct fetch *next = r->move.target_fetch;

	log_move(r, "done", now);
	r->move.target_fetch = NULL;
	r->move.target_waits = false;
	leave_source(r, now);
	request_remove_copy(r, &r->move.target);
	request_attach(r, ep);
	r->fetch = next;
	/* The target sends the whole event of which the source sent a part. */
	relay_drop_part(r);
	r->state = REQUEST_STREAM;
	r->move.state = MOVE_NONE;
	r->move.handle[0] = '\0';
	if (!ep->serving || endpoints_is_evacuated(r->fwd, ep))
		move_begin(r, now);
}

int64_t move_event_delay(const struct request *r, int64_t now)
{
	bool asked = r->move.state == MOVE_RESUME;

	if ((!asked && r->move.state != MOVE_COPY &&
	     r->move.state != MOVE_READY) ||
	    !runs_at_source(r) || !is_planned(r))
		return 0;
	return move_event_delay_us(
		(asked ? r->move.resume_us : now) - r->move.copy_us,
		asked ? now - r->move.resume_us : 0, r->route->target_gap_us);
}

static void cancel_target(struct request *r, int64_t now)
{
	fetch_cancel(r->move.target_fetch);
	r->move.target_fetch = NULL;
	move_target_failed(r, now);
}

/* Continues at the target, whose answer waited, with what it has sent. */
static bool switch_to_waiting_target(struct request *r, int64_t now)
{
	struct fwd_endpoint *ep =
		endpoints_find(r->fwd, r->move.target.endpoint_id);

	if (!ep) {
		cancel_target(r, now);
		return false;
	}
	switch_to_target(r, ep, now);
	if (!buf_unread(&r->unsent_events))
		fetch_resume(r->fetch);
	AUTO_BUF struct buf events = r->move.target_events;
	r->move.target_events = (struct buf)BUF_INIT;
	if (buf_unread(&events))
		relay_data(r, buf_head(&events), buf_unread(&events), now);
	return true;
}

void move_target_data(struct request *r, const char *p, size_t n, int64_t now)
{
	if (r->move.target_waits) {
		buf_add(&r->move.target_events, p, n);
		if (is_planned(r) && !relay_event_is_cut(r))
			switch_to_waiting_target(r, now);
		else if (!relay_count_kept(r))
			cancel_target(r, now);
		else if (is_planned(r))
			fetch_pause(r->move.target_fetch);
		return;
	}
	/* The body of a refusal is not used, and may never end. */
	r->move.refusal_bytes += n;
	if (r->move.refusal_bytes > REFUSAL_MAX_BYTES)
		cancel_target(r, now);
}

bool move_event_ended(struct request *r, int64_t now)
{
	if (!r->move.target_waits ||
	    (is_planned(r) && !buf_unread(&r->move.target_events)))
		return false;
	return switch_to_waiting_target(r, now);
}

void move_target_answered(struct request *r, int status, bool valid,
			  int64_t now)
{
	struct fwd_endpoint *ep =
		endpoints_find(r->fwd, r->move.target.endpoint_id);

	r->move.last_status = status;
	/* After the body of a refusal move_target_failed() is called. */
	if (status != 200)
		return;
	if (!valid || !ep) {
		cancel_target(r, now);
	} else if (is_planned(r) && runs_at_source(r)) {
		/* The source goes on until the target sends its first event:
		 * an engine may answer before it has processed anything. */
		r->move.target_waits = true;
	} else if (relay_event_is_cut(r)) {
		r->move.target_waits = true;
		fetch_pause(r->move.target_fetch);
	} else {
		switch_to_target(r, ep, now);
	}
}

void move_target_failed(struct request *r, int64_t now)
{
	g_autofree char *handle = g_strdup(r->move.handle);
	char target[sizeof(r->move.target.endpoint_id)];

	log_move(r, "refused", now);
	r->move.target_waits = false;
	buf_release(&r->move.target_events);
	g_strlcpy(target, r->move.target.endpoint_id, sizeof(target));
	begin_copy(r, now);
	/* Only new tokens are copied to the same target again. */
	if (strcmp(r->move.target.endpoint_id, target) != 0)
		delete_copy(r, handle);
}

/* ---- copying ---- */

static bool choose_move_target(struct request *r, int64_t now)
{
	bool any;
	struct fwd_endpoint *source = endpoints_find(r->fwd, r->move.source_id);
	struct fwd_endpoint *ep = request_choose_endpoint(
		r, r->move.source_id, source ? source->dc : "", &any, now);

	if (!ep)
		return false;
	g_strlcpy(r->move.target_addr, ep->addr, sizeof(r->move.target_addr));
	r->move.cold_target = warmup_is_cold(
		&ep->warmup, endpoints_warmup_pace(r->fwd, ep->service), now);
	endpoints_record_sent(r->fwd, ep, COPY_REQUESTS, now);
	request_add_copy(r, &r->move.target, ep);
	return true;
}

/* Until when the source of the move wants no requests; 0: it takes them. */
static int64_t source_paused_until_us(const struct request *r, int64_t now)
{
	const struct fwd_endpoint *source =
		endpoints_find(r->fwd, r->move.source_id);

	return source && now < source->paused_until_us ? source->paused_until_us
						       : 0;
}

/* Whether the copy is ordered now; if not, the move waits or has ended. */
static bool is_copy_due(struct request *r, int64_t now)
{
	if (!is_planned(r) || !runs_at_source(r))
		return true;
	const struct move_links links = links_of(r);
	const struct move_source source = source_of(r);
	const struct move_candidate c = candidate_of(r, now);
	switch (move_order_judge(&links, &source, &c, now)) {
	case MOVE_ORDER_NOW:
		return true;
	case MOVE_ORDER_LATER:
		r->move.state = MOVE_WAIT;
		r->move.due_us = now + JUDGE_INTERVAL_US;
		return false;
	case MOVE_ORDER_TOO_LATE:
		break;
	}
	log_move(r, "too late", now);
	r->move.state = MOVE_NONE;
	return false;
}

/* Chooses a target and orders the source, which must still run, to copy. */
static void begin_copy(struct request *r, int64_t now)
{
	int64_t paused_until_us = source_paused_until_us(r, now);

	if (paused_until_us && runs_at_source(r)) {
		request_remove_copy(r, &r->move.target);
		r->move.handle[0] = '\0';
		r->move.state = MOVE_WAIT;
		r->move.due_us = paused_until_us;
		return;
	}
	request_remove_copy(r, &r->move.target);
	r->move.handle[0] = '\0';
	if (!is_copy_due(r, now))
		return;
	r->move.state = MOVE_COPY;
	if (!runs_at_source(r) || !r->service->can_move_generations ||
	    r->move.copy_attempts >= COPY_ATTEMPTS_MAX ||
	    !choose_move_target(r, now)) {
		retry_or_give_up(r, now);
		return;
	}
	r->move.copy_attempts++;
	r->move.second_copy = false;
	r->move.copy_us = now;
	send_copy_order(r);
}

/* Begins the move when the order of all hosts' copies says so. */
static void begin_copy_in_order(struct request *r, int64_t now)
{
	if (is_planned(r)) {
		const struct move_links links = links_of(r);
		const struct move_source source = source_of(r);
		const struct move_candidate c = candidate_of(r, now);

		r->move.state = MOVE_WAIT;
		r->move.due_us = now + move_order_delay_us(&links, &source, &c);
	}
	if (!is_planned(r) || r->move.due_us <= now)
		begin_copy(r, now);
}

void move_begin(struct request *r, int64_t now)
{
	const struct fwd_endpoint *source =
		endpoints_find(r->fwd, r->endpoint_id);

	if (!source || r->move.state != MOVE_NONE || !r->generation ||
	    r->stream_ended)
		return;
	g_strlcpy(r->move.source_id, source->id, sizeof(r->move.source_id));
	g_strlcpy(r->move.source_addr, source->addr,
		  sizeof(r->move.source_addr));
	r->move.copy_attempts = 0;
	r->move.last_status = 0;
	r->move.start_us = now;
	begin_copy_in_order(r, now);
}

void move_endpoint_generations(struct fwd *f, struct fwd_endpoint *ep,
			       int64_t now)
{
	struct list *pos, *tmp;

	(void)f;
	ep->move_due_us = 0;
	list_for_each_safe (pos, tmp, &ep->requests) {
		struct request *r =
			list_entry(pos, struct request, endpoint_node);
		if (r->state == REQUEST_STREAM)
			move_begin(r, now);
	}
}

/*
 * Stops a copy to an endpoint that the request may no longer be at.  It could
 * go on for longer than the 3 s within which a change of regions is in force.
 * Closing the order's connection tells the source that the copy is not wanted.
 */
static bool stop_forbidden_copy(struct request *r, int64_t now)
{
	const struct fwd_endpoint *target =
		endpoints_find(r->fwd, r->move.target.endpoint_id);

	if (!r->move.copy_fetch || !target || request_is_permitted(r, target))
		return false;
	fetch_cancel(r->move.copy_fetch);
	r->move.copy_fetch = NULL;
	counter_add(C_RESIDENCY, "copy", 1);
	log_move(r, "not allowed", now);
	retry_or_give_up(r, now);
	return true;
}

/* Whether the source stays after all, as its evacuation was withdrawn. */
static bool source_stays(const struct request *r)
{
	const struct fwd_endpoint *source =
		endpoints_find(r->fwd, r->move.source_id);

	return source && source->incarnation == r->incarnation &&
	       source->serving && !endpoints_is_evacuated(r->fwd, source);
}

void move_tick(struct request *r, int64_t now)
{
	if (stop_forbidden_copy(r, now))
		return;
	if (now < r->move.due_us)
		return;
	if (r->move.state == MOVE_WAIT && runs_at_source(r) &&
	    source_stays(r)) {
		r->move.state = MOVE_NONE;
	} else if (r->move.state == MOVE_WAIT) {
		begin_copy(r, now);
	} else if (r->move.state == MOVE_READY) {
		resume_when_due(r, now);
	} else if (r->move.state == MOVE_RESUME && runs_at_source(r) &&
		   relay_event_is_cut(r)) {
		/* Only the source can end the event that the caller has got a
		 * part of. */
		cancel_target(r, now);
	} else if (r->move.state == MOVE_RESUME && runs_at_source(r)) {
		/* The target has to answer alone. */
		leave_source(r, now);
		r->state = REQUEST_PAUSED;
	}
}

bool move_source_ended(struct request *r)
{
	if (r->move.state != MOVE_COPY && r->move.state != MOVE_READY &&
	    r->move.state != MOVE_RESUME)
		return false;
	/* Wait for the answer to the copy order, or for that of the target. */
	r->state = REQUEST_PAUSED;
	request_detach(r);
	return true;
}

/* ---- copy orders ---- */

static void on_copy_order_data(void *arg, struct fetch *fetch, const char *p,
			       size_t n)
{
	struct request *r = arg;

	(void)fetch;
	buf_add(&r->move.copy_reply, p, n);
}

/* The answer to a copy order: from the source. */
static void on_copy_order_headers(void *arg, struct fetch *fetch, int status)
{
	struct request *r = arg;
	struct fwd *f = r->fwd;
	struct fwd_endpoint *ep = endpoints_find(f, r->move.source_id);
	struct endpoint_notice notice = f->iface->decode_notice(fetch, status);

	if (ep && ep->incarnation == r->incarnation)
		endpoints_apply_notice(f, ep, &notice, "copy order",
				       clock_mono_us());
}

/* Copies the rest, asks the target, or waits until it is less busy. */
static void resume_when_due(struct request *r, int64_t now)
{
	const struct move_links links = links_of(r);
	const struct move_source source = source_of(r);
	uint64_t grown = tokens_of_events(r, r->events - r->move.copied_events);

	if (is_planned(r) && runs_at_source(r) &&
	    !move_resume_due(&source, prefill_at_target(r), pace_of_target(r),
			     now)) {
		r->move.state = MOVE_READY;
		r->move.due_us = now;
		return;
	}
	if (is_planned(r) && runs_at_source(r) && !r->move.second_copy &&
	    move_second_copy_due(&links, &source, grown,
				 SECOND_COPY_ROUND_TRIP_US, now)) {
		r->move.second_copy = true;
		r->move.state = MOVE_COPY;
		send_copy_order(r);
		return;
	}
	resume_at_target(r, now);
}

static void on_copied(struct request *r, const struct move_answer *answer,
		      int64_t now)
{
	snprintf(r->move.handle, sizeof(r->move.handle), "%s/%s",
		 r->move.source_addr, answer->handle);
	log_move(r, "copied", now);
	resume_when_due(r, now);
}

static void on_copy_order_done(void *arg, struct fetch *fetch,
			       const struct fetch_result *res)
{
	struct request *r = arg;
	int64_t now = clock_mono_us();
	struct move_answer answer = {0};
	int err = -MW_EIO;

	(void)fetch;
	r->move.copy_fetch = NULL;
	r->move.last_status = res->status;
	if (res->err == FETCH_OK)
		err = r->fwd->iface->decode_move_answer(
			res->status, buf_head(&r->move.copy_reply),
			buf_unread(&r->move.copy_reply), &answer);
	if (err == 0) {
		on_copied(r, &answer, now);
		return;
	}
	log_move(r, err_info(err)->kind, now);
	if (r->move.second_copy && *r->move.handle) {
		/* The first copy is still at the target. */
		resume_at_target(r, now);
		return;
	}
	if (err != -MW_EAGAIN)
		r->move.copy_attempts = COPY_ATTEMPTS_MAX;
	retry_or_give_up(r, now);
}

static const struct fetch_ops copy_order_ops = {
	.headers = on_copy_order_headers,
	.data = on_copy_order_data,
	.done = on_copy_order_done,
};

static void send_copy_order(struct request *r)
{
	struct fwd *f = r->fwd;
	struct move_order order = {.request_id = r->ask.id,
				   .target = r->move.target_addr};
	g_autofree char *path = NULL, *body = NULL;

	f->iface->encode_move_order(&order, &path, &body);
	g_autofree char *url =
		g_strdup_printf("http://%s%s", r->move.source_addr, path);
	const char *const request_headers[] = {"Content-Type",
					       "application/json", NULL};
	struct fetch_spec spec = {.method = "POST",
				  .url = url,
				  .headers = request_headers,
				  .body = body,
				  .body_len = strlen(body),
				  .connect_timeout_ms =
					  ORDER_CONNECT_TIMEOUT_MS,
				  .timeout_ms = COPY_ORDER_TIMEOUT_MS,
				  .body_max = REPLY_MAX_BYTES};
	buf_consume(&r->move.copy_reply, buf_unread(&r->move.copy_reply));
	r->move.copied_events = r->events;
	r->move.copy_fetch = fetch_start(f->fetcher, &spec, &copy_order_ops, r);
}

static void on_copy_deleted(void *arg, struct fetch *f,
			    const struct fetch_result *res)
{
	(void)f;
	(void)res;
	(void)arg;
}

static const struct fetch_ops delete_copy_ops = {.done = on_copy_deleted};

/* Deletes an unused copy, which otherwise holds memory until it expires. */
static void delete_copy(struct request *r, const char *handle)
{
	struct fwd *f = r->fwd;
	const char *name = strrchr(handle, '/');

	/* At a source that wants no requests the copy expires by itself. */
	if (!name || source_paused_until_us(r, clock_mono_us()))
		return;
	g_autofree char *path = f->iface->free_copy_path(name + 1);
	g_autofree char *url =
		g_strdup_printf("http://%s%s", r->move.source_addr, path);
	struct fetch_spec spec = {.method = "DELETE",
				  .url = url,
				  .connect_timeout_ms =
					  ORDER_CONNECT_TIMEOUT_MS,
				  .timeout_ms = DELETE_TIMEOUT_MS,
				  .flags = FETCH_NEW_CONNECTION};
	fetch_start(f->fetcher, &spec, &delete_copy_ops, NULL);
}

void move_release(struct request *r)
{
	if (r->move.copy_fetch)
		fetch_cancel(r->move.copy_fetch);
	if (r->move.target_fetch)
		fetch_cancel(r->move.target_fetch);
	if (r->move.state != MOVE_NONE)
		delete_copy(r, r->move.handle);
	request_remove_copy(r, &r->move.target);
	buf_release(&r->move.copy_reply);
	buf_release(&r->move.target_events);
}
