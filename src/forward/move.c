#include "forward/request.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "obs/slog.h"

/*
 * Generations whose endpoint leaves go on at another one, which gets a copy of
 * their memory.  The load that this answers: endpoints are reclaimed with two
 * seconds of notice while generations run for ten.
 *
 * A copy takes about 0.2 s, more than the pause that a caller may notice.  So
 * the memory is copied first while the generation goes on (MOVE_COPY); then
 * the generation stops and only what is new is copied (MOVE_STOP); then the
 * same request is sent to the target, which continues from the copy
 * (MOVE_RESUME).  If the endpoint is gone before that, the target continues
 * from the first copy and reads again what it lacks.
 */

/* An order is answered when the copy is complete; a full endpoint's memory
 * takes 2 s, twice that to another data centre. */
#define ORDER_TIMEOUT_MS 5000

/* Targets that are tried for one generation. */
#define TARGETS_MAX 3

static void order(struct request *r, bool last);

static void log_move(struct request *r, const char *outcome, int64_t now)
{
	static const char *const names[] = {"none", "copy", "ready", "stop",
					    "resume"};
	struct slog l = slog_begin("move");

	slog_str(&l, "request", r->ask.id);
	slog_str(&l, "step", names[r->move.state]);
	slog_str(&l, "source", r->move.source);
	slog_str(&l, "target", r->move.target);
	slog_str(&l, "outcome", outcome);
	slog_int(&l, "order_status", r->move.status);
	slog_int(&l, "since_us", now - r->move.began_us);
	slog_int(&l, "events", (int64_t)r->events);
	slog_end(&l);
}

/* Counts the copy at the target, so that nobody else takes the room. */
static void reserve(struct request *r, int sign)
{
	struct target *t = endpoints_target(r->fwd, r->move.target);

	if (!t)
		return;
	t->open += (unsigned int)sign;
	t->tokens += (uint64_t)((int64_t)r->move.reserved * sign);
	r->fwd->use_changed = true;
}

static void unreserve(struct request *r)
{
	if (!r->move.reserved)
		return;
	reserve(r, -1);
	r->move.reserved = 0;
}

static bool choose_target(struct request *r, int64_t now)
{
	bool any;
	struct target *source = endpoints_target(r->fwd, r->move.source);
	struct target *t = request_choose(r, r->move.target,
					  source ? source->dc : "", &any, now);

	if (!t || !strcmp(t->id, r->move.source))
		return false;
	g_strlcpy(r->move.target, t->id, sizeof(r->move.target));
	g_strlcpy(r->move.target_addr, t->addr, sizeof(r->move.target_addr));
	r->move.reserved = MAX(r->need_tokens, 1u);
	reserve(r, 1);
	return true;
}

void move_begin(struct request *r, int64_t now)
{
	const struct target *source = endpoints_target(r->fwd, r->target);

	if (!source || r->move.state != MOVE_NONE || !r->service->moves ||
	    !r->generation || r->ended)
		return;
	g_strlcpy(r->move.source, source->id, sizeof(r->move.source));
	g_strlcpy(r->move.source_addr, source->addr,
		  sizeof(r->move.source_addr));
	r->move.target[0] = '\0';
	r->move.handle[0] = '\0';
	r->move.tries = 0;
	r->move.began_us = now;
	if (!choose_target(r, now)) {
		log_move(r, "no target has room", now);
		return;
	}
	r->move.state = MOVE_COPY;
	order(r, false);
}

void move_target(struct fwd *f, struct target *t, int64_t now)
{
	struct list *pos, *tmp;

	(void)f;
	list_for_each_safe (pos, tmp, &t->requests) {
		struct request *r =
			list_entry(pos, struct request, target_node);
		if (r->state == REQUEST_STREAM)
			move_begin(r, now);
	}
}

static void resume(struct request *r, int64_t now)
{
	struct target *t = endpoints_target(r->fwd, r->move.target);

	log_move(r, "resume", now);
	request_detach(r);
	unreserve(r);
	r->state = REQUEST_PAUSED;
	r->move.state = MOVE_RESUME;
	if (!t) {
		relay_abort(r, "target of the move is gone", now);
		return;
	}
	request_send(r, t, r->move.handle, now);
}

/* Another target, or the end of the attempt to move. */
static void next_target(struct request *r, int64_t now)
{
	unreserve(r);
	if (++r->move.tries < TARGETS_MAX && choose_target(r, now)) {
		r->move.state = MOVE_COPY;
		order(r, false);
		return;
	}
	log_move(r, "given up", now);
	r->move.state = MOVE_NONE;
	if (r->state == REQUEST_PAUSED)
		relay_abort(r, "the generation could not be moved", now);
}

static void on_order_data(void *arg, struct fetch *fetch, const char *p,
			  size_t n)
{
	struct request *r = arg;

	(void)fetch;
	if (buf_unread(&r->move.reply) + n <= 4096)
		buf_add(&r->move.reply, p, n);
}

static void copied(struct request *r, const struct move_answer *a, int64_t now)
{
	snprintf(r->move.handle, sizeof(r->move.handle), "%s/%s",
		 r->move.source_addr, a->handle);
	log_move(r, "copied", now);
	if (r->move.state == MOVE_COPY) {
		r->move.state = MOVE_STOP;
		if (r->state == REQUEST_PAUSED) /* the source is gone already */
			resume(r, now);
		else
			order(r, true);
		return;
	}
	r->move.state = MOVE_READY;
	if (r->state == REQUEST_PAUSED)
		resume(r, now);
}

static void on_order_done(void *arg, struct fetch *fetch,
			  const struct fetch_result *res)
{
	struct request *r = arg;
	int64_t now = clock_mono_us();
	struct move_answer a = {0};
	int err = -MW_EIO;

	(void)fetch;
	r->move.fetch = NULL;
	r->move.status = res->status;
	if (res->err == FETCH_OK)
		err = r->fwd->iface->move_answer(
			res->status, buf_head(&r->move.reply),
			buf_unread(&r->move.reply), &a);
	if (err == 0 || (r->move.state == MOVE_STOP && *a.handle)) {
		copied(r, &a, now);
		return;
	}
	log_move(r, err_info(err)->kind, now);
	if (r->move.state == MOVE_STOP) {
		/* The first copy is there; the source may be gone. */
		r->move.state = MOVE_READY;
		if (r->state == REQUEST_PAUSED)
			resume(r, now);
		return;
	}
	if (err == -MW_EAGAIN)
		next_target(r, now);
	else {
		r->move.tries = TARGETS_MAX;
		next_target(r, now);
	}
}

static const struct fetch_ops order_ops = {
	.data = on_order_data,
	.done = on_order_done,
};

static void order(struct request *r, bool last)
{
	struct fwd *f = r->fwd;
	struct move_order o = {.request_id = r->ask.id,
			       .target = r->move.target_addr,
			       .last = last};
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
	buf_consume(&r->move.reply, buf_unread(&r->move.reply));
	r->move.fetch = fetch_start(f->fetcher, &spec, &order_ops, r);
}

bool move_source_ended(struct request *r, int64_t now)
{
	switch (r->move.state) {
	case MOVE_COPY:
		/* The copy may be complete although the source is gone. */
		r->state = REQUEST_PAUSED;
		return true;
	case MOVE_STOP:
		r->state = REQUEST_PAUSED;
		return true;
	case MOVE_READY:
		r->state = REQUEST_PAUSED;
		resume(r, now);
		return true;
	default:
		return false;
	}
}

void move_complete(struct request *r, int64_t now)
{
	log_move(r, "done", now);
	r->move.state = MOVE_NONE;
	r->move.handle[0] = '\0';
	/* The new endpoint may be leaving as well by now. */
	struct target *t = endpoints_target(r->fwd, r->target);
	if (t && !t->serving)
		move_begin(r, now);
}

bool move_failed(struct request *r, int64_t now)
{
	struct target *source = endpoints_target(r->fwd, r->move.source);

	log_move(r, "target refused", now);
	if (r->move.tries >= TARGETS_MAX || !source)
		return false;
	r->move.tries = TARGETS_MAX;
	request_detach(r);
	/* The source keeps the memory of a generation that it stopped. */
	request_send(r, source, r->move.handle, now);
	return true;
}

static void on_freed(void *arg, struct fetch *f, const struct fetch_result *res)
{
	(void)f;
	(void)res;
	(void)arg;
}

static const struct fetch_ops free_ops = {.done = on_freed};

void move_release(struct request *r)
{
	struct fwd *f = r->fwd;
	const char *handle = strrchr(r->move.handle, '/');

	if (r->move.fetch)
		fetch_cancel(r->move.fetch);
	unreserve(r);
	buf_release(&r->move.reply);
	if (!handle || r->move.state == MOVE_RESUME)
		return;
	g_autofree char *path = f->iface->free_copy(handle + 1);
	g_autofree char *url =
		g_strdup_printf("http://%s%s", r->move.source_addr, path);
	struct fetch_spec spec = {.method = "DELETE",
				  .url = url,
				  .connect_timeout_ms = 300,
				  .timeout_ms = 1000,
				  .flags = FETCH_FRESH};
	fetch_start(f->fetcher, &spec, &free_ops, NULL);
}
