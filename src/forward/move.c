#include "forward/request.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "obs/counter.h"
#include "obs/slog.h"

/*
 * Generations whose endpoint leaves or breaks off go on at another one, which
 * has a copy of their memory.  The load that this answers: endpoints are
 * reclaimed with two seconds of notice while generations run for ten, and
 * their links copy one generation after another.
 *
 * The memory is copied on order while the generation goes on (MOVE_COPY).  The
 * request is then sent to the target, which reads what was made since, and the
 * source goes on until the target has answered (MOVE_RESUME), so that a refusal
 * costs nothing and the caller sees no pause.  The source must not go on for
 * long beside the target.
 *
 * There are no continuous copies: they would hold as much memory as the
 * generations themselves, and the moves would find no room.
 */

/* An order is answered when the copy is complete; a full endpoint's memory
 * takes 2 s, twice that to another data centre. */
#define ORDER_TIMEOUT_MS 5000

/* Orders for one generation. */
#define ORDERS_MAX 8

/* The source is stopped after this although the target has not answered: two
 * endpoints may work on one request for 400 ms. */
#define OVERLAP_US (250 * USEC_PER_MSEC)

/* Room for a copy on order is looked for again after this. */
#define ROOM_AGAIN_US (120 * USEC_PER_MSEC)

static void order(struct request *r);
static void copy_to_new_target(struct request *r, int64_t now);
static void delete_copy(struct request *r, const char *handle);

static void log_move(struct request *r, const char *outcome, int64_t now)
{
	static const char *const names[] = {"none", "wait", "copy", "resume"};
	const struct fwd_endpoint *ep =
		endpoints_find(r->fwd, r->move.target.endpoint_id);
	struct slog l = slog_begin("move");

	counter_add(C_MOVES, outcome, 1);

	slog_str(&l, "request", r->ask.id);
	slog_str(&l, "step", names[r->move.state]);
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

/* Whether the generation is still made by the source. */
static bool runs_at_source(const struct request *r)
{
	return r->fetch != NULL;
}

/* ---- going on at the target ---- */

static void retry_or_give_up(struct request *r, int64_t now)
{
	request_remove_copy(r, &r->move.target);
	if (runs_at_source(r) && r->service->moves &&
	    r->move.copy_attempts < ORDERS_MAX) {
		r->move.state = MOVE_WAIT;
		r->move.due_us = now + ROOM_AGAIN_US;
		return;
	}
	log_move(r, "given up", now);
	r->move.state = MOVE_NONE;
	if (!runs_at_source(r))
		relay_abort(r, "the generation could not be moved", now);
}

static void resume_at_target(struct request *r, int64_t now)
{
	struct fwd_endpoint *ep =
		endpoints_find(r->fwd, r->move.target.endpoint_id);

	if (!ep || ep->incarnation != r->move.target.incarnation) {
		copy_to_new_target(r, now);
		return;
	}
	log_move(r, "resume", now);
	r->move.state = MOVE_RESUME;
	r->move.due_us = now + OVERLAP_US;
	r->move.target_fetch =
		request_start_attempt(r, ep, r->move.handle, now);
}

void move_target_answered(struct request *r, int status, bool whole,
			  int64_t now)
{
	struct fwd_endpoint *ep =
		endpoints_find(r->fwd, r->move.target.endpoint_id);

	r->move.last_status = status;
	if (status != 200)
		return; /* the text of the refusal follows */
	if (!whole || !ep) {
		fetch_cancel(r->move.target_fetch);
		r->move.target_fetch = NULL;
		move_target_failed(r, now);
		return;
	}
	log_move(r, "done", now);
	struct fetch *next = r->move.target_fetch;
	r->move.target_fetch = NULL;
	request_detach(r); /* ends the run at the source */
	request_remove_copy(r, &r->move.target);
	request_attach(r, ep);
	r->fetch = next;
	/* Part of an event comes again from the target. */
	buf_consume(&r->partial_event, buf_unread(&r->partial_event));
	r->state = REQUEST_STREAM;
	r->move.state = MOVE_NONE;
	r->move.handle[0] = '\0';
	if (!ep->serving)
		move_begin(r, now);
}

void move_target_failed(struct request *r, int64_t now)
{
	g_autofree char *handle = g_strdup(r->move.handle);
	char target[sizeof(r->move.target.endpoint_id)];

	log_move(r, "refused", now);
	g_strlcpy(target, r->move.target.endpoint_id, sizeof(target));
	copy_to_new_target(r, now);
	/* The same target gets only what is new. */
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
	request_add_copy(r, &r->move.target, ep);
	return true;
}

/* Only the source can copy its memory. */
static void copy_to_new_target(struct request *r, int64_t now)
{
	request_remove_copy(r, &r->move.target);
	r->move.handle[0] = '\0';
	r->move.state = MOVE_COPY;
	if (!runs_at_source(r) || !r->service->moves ||
	    r->move.copy_attempts >= ORDERS_MAX ||
	    !choose_move_target(r, now)) {
		retry_or_give_up(r, now);
		return;
	}
	r->move.copy_attempts++;
	order(r);
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
	copy_to_new_target(r, now);
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

void move_tick(struct request *r, int64_t now)
{
	if (now < r->move.due_us)
		return;
	if (r->move.state == MOVE_WAIT) {
		copy_to_new_target(r, now);
	} else if (r->move.state == MOVE_RESUME && runs_at_source(r)) {
		/* The target is slow; it goes on alone. */
		request_detach(r);
		r->state = REQUEST_PAUSED;
	}
}

bool move_source_ended(struct request *r)
{
	if (r->move.state != MOVE_COPY && r->move.state != MOVE_RESUME)
		return false;
	/* The order or the target answers later. */
	r->state = REQUEST_PAUSED;
	request_detach(r);
	return true;
}

/* ---- orders ---- */

static void on_copy_order_data(void *arg, struct fetch *fetch, const char *p,
			       size_t n)
{
	struct request *r = arg;

	(void)fetch;
	if (buf_unread(&r->move.copy_reply) + n <= 4096)
		buf_add(&r->move.copy_reply, p, n);
}

static void on_copied(struct request *r, const struct move_answer *a,
		      int64_t now)
{
	snprintf(r->move.handle, sizeof(r->move.handle), "%s/%s",
		 r->move.source_addr, a->handle);
	log_move(r, "copied", now);
	resume_at_target(r, now);
}

static void on_copy_order_done(void *arg, struct fetch *fetch,
			       const struct fetch_result *res)
{
	struct request *r = arg;
	int64_t now = clock_mono_us();
	struct move_answer a = {0};
	int err = -MW_EIO;

	(void)fetch;
	r->move.copy_fetch = NULL;
	r->move.last_status = res->status;
	if (res->err == FETCH_OK)
		err = r->fwd->iface->move_answer(
			res->status, buf_head(&r->move.copy_reply),
			buf_unread(&r->move.copy_reply), &a);
	if (err == 0) {
		on_copied(r, &a, now);
		return;
	}
	log_move(r, err_info(err)->kind, now);
	if (err != -MW_EAGAIN)
		r->move.copy_attempts = ORDERS_MAX;
	retry_or_give_up(r, now);
}

static const struct fetch_ops copy_order_ops = {
	.data = on_copy_order_data,
	.done = on_copy_order_done,
};

static void order(struct request *r)
{
	struct fwd *f = r->fwd;
	struct move_order o = {.request_id = r->ask.id,
			       .target = r->move.target_addr};
	g_autofree char *path = NULL, *body = NULL;

	f->iface->move_request(&o, &path, &body);
	g_autofree char *url =
		g_strdup_printf("http://%s%s", r->move.source_addr, path);
	const char *const h[] = {"Content-Type", "application/json", NULL};
	struct fetch_spec spec = {.method = "POST",
				  .url = url,
				  .headers = h,
				  .body = body,
				  .body_len = strlen(body),
				  .connect_timeout_ms = 300,
				  .timeout_ms = ORDER_TIMEOUT_MS};
	buf_consume(&r->move.copy_reply, buf_unread(&r->move.copy_reply));
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

/* A copy on order that nothing uses takes memory until it expires. */
static void delete_copy(struct request *r, const char *handle)
{
	struct fwd *f = r->fwd;
	const char *name = strrchr(handle, '/');

	if (!name)
		return;
	g_autofree char *path = f->iface->free_copy(name + 1);
	g_autofree char *url =
		g_strdup_printf("http://%s%s", r->move.source_addr, path);
	struct fetch_spec spec = {.method = "DELETE",
				  .url = url,
				  .connect_timeout_ms = 300,
				  .timeout_ms = 1000,
				  .flags = FETCH_FRESH};
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
}
