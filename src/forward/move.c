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
 * reclaimed with two seconds of notice while generations run for ten.
 *
 * Most generations have a continuous copy, which lacks the last
 * tokens only: the request is sent to the endpoint that keeps it, while the
 * source goes on until the target has answered, so that a refusal costs
 * nothing.  The source must not go on for long beside the target.
 *
 * The others are copied on order.  A copy takes about 0.2 s, more than the
 * pause that a caller may notice.  So the memory is copied while the
 * generation goes on (MOVE_COPY); then the generation stops and only what is
 * new is copied (MOVE_STOP); then the target goes on (MOVE_RESUME).
 */

/* An order is answered when the copy is complete; a full endpoint's memory
 * takes 2 s, twice that to another data centre. */
#define ORDER_TIMEOUT_MS 5000

/* Orders for one generation. */
#define ORDERS_MAX 8

/* The source is stopped after this although the target has not answered: two
 * endpoints may work on one request for 400 ms. */
#define OVERLAP_US (250 * USEC_PER_MSEC)

/*
 * A continuous copy takes this long per token once the prompt is read: 18,000
 * tokens a second within a data centre, half of that between two, beside
 * other copies on the same links.
 */
#define COPY_TOKEN_NEAR_US 85
#define COPY_TOKEN_FAR_US 170
#define COPY_BEGIN_US (250 * USEC_PER_MSEC)

/* A copy that is not complete is asked for again; the notice is 1.5 s or more.
 */
#define AGAIN_US (300 * USEC_PER_MSEC)
#define WAIT_MAX_US (1200 * USEC_PER_MSEC)

/* A leaving endpoint must get no work 2.5 s after its notice. */
#define SOURCE_AGAIN_US (1500 * USEC_PER_MSEC)

/* Room for a copy on order is looked for again after this. */
#define ROOM_AGAIN_US (120 * USEC_PER_MSEC)

static void order(struct request *r, bool last);
static void another_way(struct request *r, int64_t now);

static void log_move(struct request *r, const char *outcome, int64_t now)
{
	static const char *const names[] = {"none", "wait",  "copy",
					    "stop", "ready", "resume"};
	const struct target *t =
		endpoints_target(r->fwd, r->move.target.endpoint);
	struct slog l = slog_begin("move");

	counter_add(C_MOVES, outcome, 1);

	slog_str(&l, "request", r->ask.id);
	slog_str(&l, "step", names[r->move.state]);
	slog_str(&l, "source", r->move.source);
	slog_str(&l, "target", r->move.target.endpoint);
	slog_int(&l, "from_backup", r->move.from_backup);
	slog_str(&l, "outcome", outcome);
	slog_int(&l, "status", r->move.status);
	slog_int(&l, "since_us", now - r->move.began_us);
	slog_int(&l, "copy_age_us", now - r->backup_us);
	slog_int(&l, "events", (int64_t)r->events);
	if (t) {
		slog_int(&l, "target_open", t->open + t->others_open);
		slog_int(&l, "target_tokens",
			 (int64_t)(t->tokens + t->others_tokens));
		slog_int(&l, "target_used", (int64_t)t->used_tokens);
		slog_int(&l, "need", (int64_t)r->need_tokens);
	}
	slog_end(&l);
}

/* Whether the generation is still made by the source. */
static bool at_source(const struct request *r)
{
	return r->fetch != NULL;
}

/* ---- going on at the target ---- */

static void give_up(struct request *r, int64_t now)
{
	request_drop_copy(r, &r->move.target);
	if (at_source(r) && r->service->moves && r->move.tries < ORDERS_MAX) {
		r->move.state = MOVE_WAIT;
		r->move.due_us = now + ROOM_AGAIN_US;
		return;
	}
	log_move(r, "given up", now);
	r->move.state = MOVE_NONE;
	if (!at_source(r))
		relay_abort(r, "the generation could not be moved", now);
}

static void resume_at(struct request *r, struct target *t, int64_t now)
{
	const char *backup =
		request_begin_backup(r, &r->move.next_backup, t, now);

	log_move(r, "resume", now);
	r->move.state = MOVE_RESUME;
	r->move.due_us = now + OVERLAP_US;
	r->move.next = request_fetch(r, t, r->move.handle, backup, now);
}

static void resume(struct request *r, int64_t now)
{
	struct target *t = endpoints_target(r->fwd, r->move.target.endpoint);

	if (t && t->incarnation == r->move.target.incarnation)
		resume_at(r, t, now);
	else
		another_way(r, now);
}

bool move_answered(struct request *r, int status, bool whole, int64_t now)
{
	const char *id =
		r->move.at_source ? r->move.source : r->move.target.endpoint;
	struct target *t = endpoints_target(r->fwd, id);

	r->move.status = status;
	if (status != 200)
		return false; /* the text of the refusal follows */
	if (!whole || !t) {
		fetch_cancel(r->move.next);
		r->move.next = NULL;
		move_refused(r, now);
		return false;
	}
	log_move(r, "done", now);
	struct fetch *next = r->move.next;
	r->move.next = NULL;
	request_detach(r); /* ends the run at the source */
	request_drop_copy(r, &r->move.target);
	request_attach(r, t);
	r->fetch = next;
	request_drop_copy(r, &r->backup);
	r->backup = r->move.next_backup;
	r->move.next_backup = (struct copy){0};
	r->backup_us = now;
	/* Part of an event comes again from the target. */
	buf_consume(&r->event, buf_unread(&r->event));
	r->state = REQUEST_STREAM;
	r->move.state = MOVE_NONE;
	r->move.handle[0] = '\0';
	r->move.at_source = false;
	if (!t->serving)
		move_begin(r, now);
	return true;
}

void move_refused(struct request *r, int64_t now)
{
	struct target *source = endpoints_target(r->fwd, r->move.source);

	log_move(r, "refused", now);
	request_drop_copy(r, &r->move.next_backup);
	if (at_source(r) && r->move.from_backup &&
	    now + AGAIN_US <= r->move.began_us + WAIT_MAX_US) {
		r->move.state = MOVE_WAIT;
		r->move.due_us = now + AGAIN_US;
		return;
	}
	if (at_source(r) || r->move.from_backup || r->move.at_source ||
	    !source || now - r->move.began_us > SOURCE_AGAIN_US) {
		another_way(r, now);
		return;
	}
	/* The source keeps the memory of a generation that it stopped. */
	r->move.at_source = true;
	resume_at(r, source, now);
}

/* ---- ways ---- */

static bool choose_target(struct request *r, int64_t now)
{
	bool any;
	struct target *source = endpoints_target(r->fwd, r->move.source);
	g_autofree char *last = g_strdup(r->move.target.endpoint);
	struct target *t;

	request_drop_copy(r, &r->move.target);
	t = request_choose(r, last, source ? source->dc : "", &any, now);
	if (!t || !strcmp(t->id, r->move.source))
		return false;
	g_strlcpy(r->move.target_addr, t->addr, sizeof(r->move.target_addr));
	request_take_copy(r, &r->move.target, t);
	return true;
}

/* The memory is copied on order; only the source can do that. */
static void copy_on_order(struct request *r, int64_t now)
{
	r->move.from_backup = false;
	r->move.handle[0] = '\0';
	r->move.state = MOVE_COPY;
	if (!at_source(r) || !r->service->moves ||
	    r->move.tries >= ORDERS_MAX || !choose_target(r, now)) {
		give_up(r, now);
		return;
	}
	r->move.tries++;
	order(r, false);
}

static void another_way(struct request *r, int64_t now)
{
	request_drop_copy(r, &r->move.target);
	copy_on_order(r, now);
}

static struct target *backup_target(struct request *r)
{
	struct target *t = endpoints_target(r->fwd, r->backup.endpoint);

	return t && t->serving && t->incarnation == r->backup.incarnation
		       ? t
		       : NULL;
}

static void go_on_from_backup(struct request *r, struct target *t, int64_t now)
{
	r->move.from_backup = true;
	snprintf(r->move.handle, sizeof(r->move.handle), "%s/%s", t->addr,
		 r->ask.id);
	request_drop_copy(r, &r->move.target);
	request_take_copy(r, &r->move.target, t);
	resume_at(r, t, now);
}

static void begin(struct request *r, const struct target *source, int64_t now)
{
	g_strlcpy(r->move.source, source->id, sizeof(r->move.source));
	g_strlcpy(r->move.source_addr, source->addr,
		  sizeof(r->move.source_addr));
	r->move.handle[0] = '\0';
	r->move.at_source = false;
	r->move.tries = 0;
	r->move.status = 0;
	r->move.began_us = now;
}

/* When the continuous copy is complete but for the last tokens. */
static int64_t copy_ready_us(const struct request *r,
			     const struct target *source,
			     const struct target *backup)
{
	int64_t token_us = strcmp(source->dc, backup->dc) ? COPY_TOKEN_FAR_US
							  : COPY_TOKEN_NEAR_US;

	return MAX(r->backup_us, r->first_event_us) + COPY_BEGIN_US +
	       (int64_t)r->need_tokens * token_us;
}

void move_begin(struct request *r, int64_t now)
{
	const struct target *source = endpoints_target(r->fwd, r->target);
	struct target *t = backup_target(r);

	if (!source || r->move.state != MOVE_NONE || !r->generation || r->ended)
		return;
	begin(r, source, now);
	if (!t) {
		copy_on_order(r, now);
		return;
	}
	int64_t ready = copy_ready_us(r, source, t);
	if (ready <= now) {
		go_on_from_backup(r, t, now);
		return;
	}
	r->move.state = MOVE_WAIT;
	r->move.due_us = MIN(ready, now + WAIT_MAX_US);
}

void move_target(struct fwd *f, struct target *t, int64_t now)
{
	struct list *pos, *tmp;

	(void)f;
	t->leaving_us = 0;
	list_for_each_safe (pos, tmp, &t->requests) {
		struct request *r =
			list_entry(pos, struct request, target_node);
		if (r->state == REQUEST_STREAM)
			move_begin(r, now);
	}
}

void move_tick(struct request *r, int64_t now)
{
	struct target *t;

	if (now < r->move.due_us)
		return;
	if (r->move.state == MOVE_WAIT) {
		t = r->move.tries ? NULL : backup_target(r);
		if (t)
			go_on_from_backup(r, t, now);
		else
			copy_on_order(r, now);
	} else if (r->move.state == MOVE_RESUME && at_source(r)) {
		/* The target is slow; it goes on alone. */
		request_detach(r);
		r->state = REQUEST_PAUSED;
	}
}

bool move_source_ended(struct request *r, int64_t now)
{
	const struct target *source = endpoints_target(r->fwd, r->target);
	struct target *t = backup_target(r);

	if (r->move.state == MOVE_COPY || r->move.state == MOVE_STOP ||
	    r->move.state == MOVE_RESUME) {
		/* The order or the target answers later. */
		r->state = REQUEST_PAUSED;
		request_detach(r);
		return true;
	}
	if (r->move.state == MOVE_READY) {
		r->state = REQUEST_PAUSED;
		request_detach(r);
		resume(r, now);
		return true;
	}
	if (!t || !source || !r->generation)
		return false;
	begin(r, source, now);
	log_move(r, "source broke off", now);
	r->state = REQUEST_PAUSED;
	request_detach(r);
	go_on_from_backup(r, t, now);
	return true;
}

/* ---- orders ---- */

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
	if (!at_source(r)) {
		resume(r, now);
	} else if (r->move.state == MOVE_COPY) {
		r->move.state = MOVE_STOP;
		order(r, true);
	} else {
		/* The stream ends once its last events have arrived. */
		r->move.state = MOVE_READY;
	}
}

static void on_order_done(void *arg, struct fetch *fetch,
			  const struct fetch_result *res)
{
	struct request *r = arg;
	int64_t now = clock_mono_us();
	struct move_answer a = {0};
	int err = -MW_EIO;

	(void)fetch;
	r->move.order = NULL;
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
	if (*r->move.handle) {
		/* The first copy is there, whatever became of the source. */
		r->move.state = MOVE_READY;
		if (!at_source(r))
			resume(r, now);
	} else {
		if (err != -MW_EAGAIN)
			r->move.tries = ORDERS_MAX;
		give_up(r, now);
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
	r->move.order = fetch_start(f->fetcher, &spec, &order_ops, r);
}

static void on_freed(void *arg, struct fetch *f, const struct fetch_result *res)
{
	(void)f;
	(void)res;
	(void)arg;
}

static const struct fetch_ops free_ops = {.done = on_freed};

/* A copy on order that nothing uses takes memory until it expires. */
static void free_copy(struct request *r)
{
	struct fwd *f = r->fwd;
	const char *handle = strrchr(r->move.handle, '/');

	if (!handle || r->move.from_backup)
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

void move_release(struct request *r)
{
	if (r->move.order)
		fetch_cancel(r->move.order);
	if (r->move.next)
		fetch_cancel(r->move.next);
	if (r->move.state != MOVE_NONE)
		free_copy(r);
	request_drop_copy(r, &r->move.target);
	request_drop_copy(r, &r->move.next_backup);
	buf_release(&r->move.reply);
}
