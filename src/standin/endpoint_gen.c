#include "standin/endpoint.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "standin/reply.h"

/*
 * Token text is not stored.  It is computed from the prompt, the generation id
 * and the index: the word depends on the prompt and the index, so that the
 * same prompt gives the same words.  The tag after '~' is 4 hex digits of a
 * hash of the generation id, then 4 of the index, so that a reader that sees
 * only the text can detect gaps and a stream joined from two generations.
 */

#define EVENT_MAX 512

struct gen {
	struct batch_gen b;
	struct endpoint *e;
	char id[33];
	uint64_t prompt_hash;
	int drawn; /* length without max_tokens */
	int crashes;
	struct httpd_req *req; /* the present reader's stream, or NULL */
	int reader;
	int pos;   /* next index to write */
	int begun; /* the stream's headers have been written */
	ev_timer late;
	int64_t unread_since;
	int64_t next_report;
	int stall_told; /* the reader was told of a preemption */
};

static void step_next(struct endpoint *e);

int epg_draw_length(const struct endpoint_config *cfg, uint64_t prompt_hash)
{
	guint32 seed[3] = {(guint32)cfg->seed, (guint32)prompt_hash,
			   (guint32)(prompt_hash >> 32)};
	GRand *r = g_rand_new_with_seed_array(seed, 3);
	double u = 1.0 - g_rand_double(r), v = g_rand_double(r), x;

	g_rand_free(r);
	if (cfg->out_dist && !strcmp(cfg->out_dist, "pareto"))
		/* The median of a Pareto tail is min * 2^(1/alpha). */
		x = cfg->out_median / pow(2.0, 1.0 / cfg->out_alpha) *
		    pow(u, -1.0 / cfg->out_alpha);
	else
		x = cfg->out_median * exp(cfg->out_sigma * sqrt(-2.0 * log(u)) *
					  cos(2.0 * G_PI * v));
	if (x < 1.0)
		return 1;
	return x > cfg->out_cap ? cfg->out_cap : (int)x;
}

int epg_format_token(char *dst, size_t size, const char *id,
		     uint64_t prompt_hash, int index)
{
	static const char *const words[] = {
		"valve", "seal",  "burner", "check",  "panel", "test",
		"label", "relay", "filter", "socket", "earth", "pass",
		"gauge", "lead",  "clean",  "refit"};
	uint64_t i = (uint64_t)index;
	unsigned w = (unsigned)(XXH64(&i, sizeof(i), prompt_hash) & 15);
	unsigned tag = (unsigned)(XXH64(id, 32, 0) & 0xffff);

	return snprintf(dst, size,
			"id: %d\ndata: {\"g\":\"%s\",\"i\":%d,"
			"\"t\":\"%s~%04x%04x \"",
			index, id, index, words[w], tag,
			(unsigned)index & 0xffff);
}

static int format_fin(char *dst, size_t size, const struct gen *g)
{
	const struct batch_gen *b = &g->b;

	return snprintf(dst, size,
			",\"fin\":\"%s\",\"usage\":{\"prompt_tokens\":%d,"
			"\"completion_tokens\":%d,\"cached_tokens\":%d,"
			"\"preemptions\":%d,\"stall_us\":%lld}",
			b->produced < g->drawn ? "length" : "stop",
			b->prompt_tokens, b->produced, b->cached_tokens,
			b->preemptions, (long long)b->stall_us);
}

static int stream_write(struct gen *g, const char *p, int n)
{
	return httpd_stream_write(g->req, p, (size_t)n) < 0 ? -MW_EAGAIN : 0;
}

/*
 * A load report that is due tells of the load; one for a preemption or its end
 * is sent at once and tells of the generation too.
 */
static void write_report(struct gen *g, const struct batch_load *l, int stalled)
{
	const struct batch_gen *b = &g->b;
	char ev[EVENT_MAX], own[160] = "";

	if (b->preemptions)
		snprintf(own, sizeof(own),
			 ",\"generation\":{\"g\":\"%s\",\"preemptions\":%d,"
			 "\"stall_us\":%lld,\"stalled\":%s}",
			 g->id, b->preemptions, (long long)b->stall_us,
			 stalled ? "true" : "false");
	int n = snprintf(ev, sizeof(ev),
			 "event: load\ndata: {\"running\":%d,\"waiting\":%d,"
			 "\"blocks_used\":%d,\"blocks\":%d,\"state\":\"%s\"%s}"
			 "\n\n",
			 l->running, l->waiting, l->blocks_used,
			 g->e->cfg.batch.blocks, endpoint_state(g->e), own);

	/* A report that does not fit is left out; the next one is newer. */
	(void)stream_write(g, ev, n);
}

/* An event of another generation, or of one that never was. */
static void write_crossed(struct gen *g)
{
	GHashTableIter it;
	gpointer value;
	char id[33], ev[EVENT_MAX];
	int index = g->pos;

	g_strlcpy(id, g->id, sizeof(id));
	g_strreverse(id);
	g_hash_table_iter_init(&it, g->e->gens);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gen *o = value;
		if (o == g || !o->b.produced)
			continue;
		g_strlcpy(id, o->id, sizeof(id));
		break;
	}
	int n = epg_format_token(ev, sizeof(ev), id, g->prompt_hash, index);
	n += snprintf(ev + n, sizeof(ev) - (size_t)n, "}\n\n");
	(void)stream_write(g, ev, n);
	hist_put(g->e->hist, "crossed",
		 json_pack("{s:s,s:s,s:i}", "g", g->id, "other", id, "i",
			   index));
}

static int crossed_due(struct endpoint *e)
{
	if (e->faults.crossed > 0) {
		e->faults.crossed--;
		return 1;
	}
	return e->faults.crossed_every &&
	       e->tokens % e->faults.crossed_every == 0;
}

/* A token whose text carries the time of its write; see load.c. */
static int format_stamped(char *dst, size_t size, const struct gen *g)
{
	return snprintf(dst, size,
			"id: %d\ndata: "
			"{\"g\":\"%s\",\"i\":%d,\"t\":\"@%lld~%04x%04x \"",
			g->pos, g->id, g->pos, (long long)clock_mono_us(),
			(unsigned)(XXH64(g->id, 32, 0) & 0xffff),
			(unsigned)g->pos & 0xffff);
}

static int write_token(struct gen *g)
{
	char ev[EVENT_MAX];
	int n, last = g->b.state == BATCH_DONE && g->pos >= g->b.produced - 1;

	if (g->pos < g->b.produced && g->e->cfg.stamp)
		n = format_stamped(ev, sizeof(ev), g);
	else if (g->pos < g->b.produced)
		n = epg_format_token(ev, sizeof(ev), g->id, g->prompt_hash,
				     g->pos);
	else /* resumed behind the last token */
		n = snprintf(ev, sizeof(ev),
			     "id: %d\ndata: {\"g\":\"%s\",\"i\":%d,\"t\":\"\"",
			     g->pos, g->id, g->pos);
	if (last)
		n += format_fin(ev + n, sizeof(ev) - (size_t)n, g);
	n += snprintf(ev + n, sizeof(ev) - (size_t)n, "}\n\n");
	return stream_write(g, ev, n);
}

static void drop_reader(struct gen *g, int64_t now)
{
	ev_timer_stop(g->e->loop, &g->late);
	g->req = NULL;
	g->unread_since = now;
}

/* Writes what the reader has not got, as far as its buffer has room. */
static void pump(struct gen *g)
{
	struct endpoint *e = g->e;
	int64_t now = clock_mono_us();

	if (!g->req || !g->begun || e->faults.silent)
		return;
	if (e->cfg.load_report_ms && now >= g->next_report &&
	    g->b.state != BATCH_DONE) {
		struct batch_load l = endpoint_lagged_load(e);
		g->next_report = now + e->cfg.load_report_ms * USEC_PER_MSEC;
		write_report(g, &l, g->b.preempted_at != 0);
	}
	while (g->pos < g->b.produced || g->b.state == BATCH_DONE) {
		int last =
			g->b.state == BATCH_DONE && g->pos >= g->b.produced - 1;

		if (g->pos < g->b.produced && crossed_due(e))
			write_crossed(g);
		if (write_token(g))
			return; /* goes on when the buffer has drained */
		g->pos++;
		if (last) {
			httpd_stream_end(g->req);
			drop_reader(g, now);
			return;
		}
	}
}

static void on_stream_drained(void *arg, struct httpd_req *req)
{
	(void)req;
	pump(arg);
}

static void on_stream_closed(void *arg, struct httpd_req *req)
{
	struct gen *g = arg;

	(void)req;
	drop_reader(g, clock_mono_us());
	hist_put(g->e->hist, "reader_gone",
		 json_pack("{s:s,s:i,s:i}", "g", g->id, "reader", g->reader,
			   "pos", g->pos));
}

static const struct httpd_req_ops stream_ops = {on_stream_drained,
						on_stream_closed};

static void begin_stream(struct gen *g)
{
	char inc[32], reader[16];
	const char *const headers[] = {"Content-Type",
				       "text/event-stream",
				       "Cache-Control",
				       "no-store",
				       "X-Endpoint-Incarnation",
				       inc,
				       "X-Reader",
				       reader,
				       NULL};

	snprintf(inc, sizeof(inc), "%lld",
		 (long long)g->e->cfg.ann.incarnation);
	snprintf(reader, sizeof(reader), "%d", g->reader);
	httpd_stream_begin(g->req, 200, headers);
	g->begun = 1;
	pump(g);
}

static void on_late(EV_P_ ev_timer *w, int revents)
{
	struct gen *g = w->data;

	(void)revents;
	if (!g->e->faults.silent) {
		begin_stream(g);
		return;
	}
	ev_timer_set(w, 0.1, 0.0);
	ev_timer_start(EV_A_ w);
}

static void attach_reader(struct gen *g, struct httpd_req *req, int from)
{
	struct endpoint *e = g->e;

	if (g->req) {
		struct httpd_req *old = g->req;
		drop_reader(g, clock_mono_us());
		httpd_abort(old);
	}
	g->req = req;
	g->reader++;
	g->pos = from;
	g->begun = 0;
	g->next_report =
		clock_mono_us() + e->cfg.load_report_ms * USEC_PER_MSEC;
	httpd_set_owner(req, &stream_ops, g);
	hist_put(e->hist, "read",
		 json_pack("{s:s,s:i,s:i}", "g", g->id, "reader", g->reader,
			   "from", from));
	if (e->faults.late_count > 0) {
		e->faults.late_count--;
		ev_timer_set(&g->late, e->faults.late_ms / 1000.0, 0.0);
		ev_timer_start(e->loop, &g->late);
	} else {
		begin_stream(g);
	}
}

static void gen_free(gpointer p)
{
	struct gen *g = p;

	ev_timer_stop(g->e->loop, &g->late);
	if (g->req)
		httpd_abort(g->req);
	g_free(g->b.units);
	g_free(g);
}

/* The prompt as bytes: the member itself, or all messages in order, each as
 * role, newline, content, newline.  NULL if there is neither. */
static GString *prompt_bytes(const json_t *j)
{
	const char *prompt = json_str(j, "prompt", NULL);
	const json_t *messages = json_object_get(j, "messages"), *m;
	size_t i;

	if (prompt)
		return g_string_new(prompt);
	if (!json_is_array(messages))
		return NULL;
	GString *s = g_string_new(NULL);
	json_array_foreach(messages, i, m)
	{
		g_string_append(s, json_str(m, "role", ""));
		g_string_append_c(s, '\n');
		g_string_append(s, json_str(m, "content", ""));
		g_string_append_c(s, '\n');
	}
	return s;
}

static int id_is_valid(const char *id)
{
	return strlen(id) == 32 && strspn(id, "0123456789abcdef") == 32;
}

static char *format_hash(uint64_t hash)
{
	return g_strdup_printf("%016llx", (unsigned long long)hash);
}

static struct gen *gen_new(struct endpoint *e, const char *id, GString *prompt,
			   const json_t *j)
{
	struct gen *g = g_new0(struct gen, 1);
	int max = (int)json_int(j, "max_tokens", e->cfg.out_cap);

	g->e = e;
	g_strlcpy(g->id, id, sizeof(g->id));
	g->prompt_hash = XXH64(prompt->str, prompt->len, 0);
	g->drawn = epg_draw_length(&e->cfg, g->prompt_hash);
	g->crashes =
		e->cfg.crash_marker && strstr(prompt->str, e->cfg.crash_marker);
	ev_timer_init(&g->late, on_late, 0.0, 0.0);
	g->late.data = g;
	g->b.priority = (int)json_int(j, "priority", 0);
	g->b.prompt_tokens = (int)(prompt->len / BATCH_BYTES_PER_TOKEN) + 1;
	g->b.target = g->drawn < max ? g->drawn : max;
	if (g->b.target < 1)
		g->b.target = 1;
	g->b.nunits = (int)(prompt->len / BATCH_UNIT_BYTES);
	g->b.units = g_new0(uint64_t, (gsize)g->b.nunits + 1);
	/* One pass over the prompt: the digest at each unit's end. */
	XXH64_state_t *st = XXH64_createState();
	XXH64_reset(st, 0);
	for (int i = 0; i < g->b.nunits; i++) {
		XXH64_update(st, prompt->str + (size_t)i * BATCH_UNIT_BYTES,
			     BATCH_UNIT_BYTES);
		g->b.units[i] = XXH64_digest(st);
	}
	XXH64_freeState(st);
	return g;
}

void epg_submit(struct endpoint *e, struct httpd_req *req, const json_t *j)
{
	const char *id = json_str(j, "generation", "");
	GString *prompt = prompt_bytes(j);

	if (!prompt || !id_is_valid(id)) {
		if (prompt)
			g_string_free(prompt, TRUE);
		reply_error(req, 400, 1, "invalid_request",
			    "prompt or generation is missing");
		return;
	}
	if (g_hash_table_contains(e->gens, id)) {
		g_string_free(prompt, TRUE);
		reply_error(req, 409, 0, "exists", "the id exists already");
		return;
	}
	struct gen *g = gen_new(e, id, prompt, j);
	g_string_free(prompt, TRUE);
	if (batch_submit(e->batch, &g->b)) {
		gen_free(g);
		reply_error(req, 413, 1, "too_large", "the prompt cannot fit");
		return;
	}
	g_hash_table_insert(e->gens, g->id, g);
	g_autofree char *hash = format_hash(g->prompt_hash);
	hist_put(e->hist, "start",
		 json_pack("{s:s,s:i,s:s,s:i,s:i,s:s,s:i}", "g", g->id,
			   "priority", g->b.priority, "model",
			   json_str(j, "model", ""), "prompt_tokens",
			   g->b.prompt_tokens, "target", g->b.target,
			   "prompt_hash", hash, "tag",
			   (int)(XXH64(g->id, 32, 0) & 0xffff)));
	attach_reader(g, req, 0);
	step_next(e);
}

void epg_resume(struct endpoint *e, struct httpd_req *req, const char *id,
		int from)
{
	struct gen *g = g_hash_table_lookup(e->gens, id);

	if (!g) {
		reply_error(req, 404, 0, "not_found", "no such generation");
		return;
	}
	if (from < 0 || from > g->b.produced) {
		reply_error(req, 400, 0, "invalid_request",
			    "the index has not been reached");
		return;
	}
	attach_reader(g, req, from);
}

void epg_cancel(struct endpoint *e, struct httpd_req *req, const char *id,
		int reader)
{
	struct gen *g = g_hash_table_lookup(e->gens, id);

	if (!g) {
		reply_error(req, 404, 0, "not_found", "no such generation");
		return;
	}
	if (reader >= 0 && reader < g->reader) {
		reply_error(req, 409, 0, "newer_reader",
			    "another reader has taken the stream over");
		return;
	}
	hist_put(e->hist, "cancel",
		 json_pack("{s:s,s:i,s:i}", "g", id, "reader", reader, "tokens",
			   g->b.produced));
	batch_cancel(e->batch, &g->b);
	g_hash_table_remove(e->gens, id);
	reply_json(req, 200, json_pack("{s:b}", "cancelled", 1));
}

/* Tells the reader of a preemption, or that the generation runs again. */
static void tell_stall(struct gen *g, int stalled)
{
	if (!g->req || !g->begun || g->e->faults.silent)
		return;
	struct batch_load l = endpoint_lagged_load(g->e);
	write_report(g, &l, stalled);
	g->stall_told = stalled;
}

static void on_token(void *ctx, struct batch_gen *b)
{
	struct endpoint *e = ctx;
	struct gen *g = (struct gen *)b;

	e->tokens++;
	if (g->crashes) {
		g_autofree char *hash = format_hash(g->prompt_hash);

		hist_put(e->hist, "crash",
			 json_pack("{s:s}", "prompt_hash", hash));
		epf_die(e, "crash marker");
	}
	if (e->faults.die_after >= 0 && e->faults.die_after-- <= 0)
		epf_die(e, "token count");
	if (b->state == BATCH_DONE)
		hist_put(e->hist, "finish",
			 json_pack("{s:s,s:i,s:i,s:I}", "g", g->id, "tokens",
				   b->produced, "preemptions", b->preemptions,
				   "stall_us", (json_int_t)b->stall_us));
	if (g->stall_told)
		tell_stall(g, 0);
	pump(g);
}

static void on_preempted(void *ctx, struct batch_gen *b)
{
	struct endpoint *e = ctx;
	struct gen *g = (struct gen *)b;

	hist_put(e->hist, "preempt",
		 json_pack("{s:s,s:i}", "g", g->id, "tokens", b->produced));
	tell_stall(g, 1);
}

static void on_cache(void *ctx, int add, uint64_t hash)
{
	struct endpoint *e = ctx;
	char hex[17];

	snprintf(hex, sizeof(hex), "%016llx", (unsigned long long)hash);
	e->cache_seq++;
	if (e->faults.drop_cache_events > 0) {
		e->faults.drop_cache_events--;
		return;
	}
	if (g_rand_double(e->rnd) < e->cfg.cache_event_gap)
		return;
	g_queue_push_tail(&e->cache_events,
			  json_pack("{s:I,s:s,s:s}", "seq",
				    (json_int_t)e->cache_seq, "op",
				    add ? "add" : "remove", "hash", hex));
}

static const struct batch_ops batch_cb = {on_token, on_preempted, on_cache};

/* Starts the next step unless one is running. */
static void step_next(struct endpoint *e)
{
	int64_t now = clock_mono_us(), start = now;

	if (e->stepping || e->faults.stalled)
		return;
	/* A step that was noticed late does not slow down the next one. */
	if (e->step_end && now - e->step_end < 5 * USEC_PER_MSEC)
		start = e->step_end;
	int64_t us = batch_begin(e->batch, start);
	if (!us) {
		e->step_end = 0;
		return;
	}
	e->stepping = 1;
	e->step_end = start + us;
	struct itimerspec ts = {
		.it_value = {.tv_sec = e->step_end / USEC_PER_SEC,
			     .tv_nsec = e->step_end % USEC_PER_SEC * 1000}};
	timerfd_settime(e->step_fd, TFD_TIMER_ABSTIME, &ts, NULL);
}

static void on_step(EV_P_ ev_io *w, int revents)
{
	struct endpoint *e = w->data;
	uint64_t n;

	(void)loop;
	(void)revents;
	if (read(w->fd, &n, sizeof(n)) != sizeof(n) || !e->stepping)
		return;
	if (e->faults.stalled)
		return; /* epg_wake() goes on */
	e->stepping = 0;
	batch_end(e->batch, clock_mono_us());
	step_next(e);
}

void epg_wake(struct endpoint *e)
{
	GHashTableIter it;
	gpointer value;

	if (!e->faults.stalled && e->stepping &&
	    clock_mono_us() >= e->step_end) {
		e->stepping = 0;
		batch_end(e->batch, clock_mono_us());
	}
	step_next(e);
	g_hash_table_iter_init(&it, e->gens);
	while (g_hash_table_iter_next(&it, NULL, &value))
		pump(value);
}

void epg_report_all(struct endpoint *e)
{
	struct batch_load l = endpoint_lagged_load(e);
	GHashTableIter it;
	gpointer value;

	if (e->faults.silent)
		return;
	g_hash_table_iter_init(&it, e->gens);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gen *g = value;
		if (g->req && g->begun)
			write_report(g, &l, g->b.preempted_at != 0);
	}
}

/* Removes generations that have been without a reader for too long. */
static gboolean sweep_one(gpointer key, gpointer value, gpointer arg)
{
	struct gen *g = value;
	struct endpoint *e = g->e;

	(void)key;
	if (g->req || *(int64_t *)arg - g->unread_since <
			      e->cfg.unread_keep_ms * USEC_PER_MSEC)
		return FALSE;
	if (g->b.state != BATCH_DONE) {
		hist_put(e->hist, "expire",
			 json_pack("{s:s,s:i}", "g", g->id, "tokens",
				   g->b.produced));
		batch_cancel(e->batch, &g->b);
	}
	return TRUE;
}

static void on_sweep(EV_P_ ev_timer *w, int revents)
{
	struct endpoint *e = w->data;
	int64_t now = clock_mono_us();

	(void)loop;
	(void)revents;
	g_hash_table_foreach_remove(e->gens, sweep_one, &now);
}

int epg_open(const struct endpoint *e)
{
	GHashTableIter it;
	gpointer value;
	int n = 0;

	g_hash_table_iter_init(&it, e->gens);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct gen *g = value;
		n += g->req || g->b.state != BATCH_DONE ||
		     g->pos < g->b.produced;
	}
	return n;
}

void epg_init(struct endpoint *e)
{
	e->batch = batch_new(&e->cfg.batch, &batch_cb, e);
	e->gens =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, gen_free);
	e->step_fd =
		timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	ev_io_init(&e->step_watch, on_step, e->step_fd, EV_READ);
	e->step_watch.data = e;
	ev_io_start(e->loop, &e->step_watch);
	ev_timer_init(&e->sweep_timer, on_sweep, 0.5, 0.5);
	e->sweep_timer.data = e;
	ev_timer_start(e->loop, &e->sweep_timer);
}

void epg_free(struct endpoint *e)
{
	g_hash_table_destroy(e->gens);
	batch_free(e->batch);
	ev_io_stop(e->loop, &e->step_watch);
	ev_timer_stop(e->loop, &e->sweep_timer);
	close(e->step_fd);
}
