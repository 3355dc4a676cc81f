#include "standin/call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "standin/reply.h"
#include "endpoint/sse.h"

#define CONNECT_TIMEOUT_MS 1000
/* Pause after all entry hosts were tried, or a resume was refused. */
#define ROUND_PAUSE_MS 200
/* An answer without tokens is kept up to this size. */
#define BODY_KEEP_BYTES (1024 * 1024)
/* A slow reader reads this many tokens and then pauses. */
#define SLOW_STEP_TOKENS 4

struct call_pool {
	struct ev_loop *loop;
	struct fetcher *fr;
	char **entries;
	int nentries;
	unsigned next;
};

struct call {
	struct call_pool *p;
	struct call_spec spec;
	char **headers;
	char *path, *method, *body;
	char *last_id;
	const struct call_ops *ops;
	void *ctx;
	struct call_result r;
	struct fetch *f;
	struct sse sse;
	struct buf answer;
	ev_timer timer; /* next attempt */
	ev_timer slow;	/* end of a pause of a slow reader */
	int next_index; /* -1: not known */
	int unread;	/* tokens since the last pause */
	int failed;	/* an error event was received */
	int left;
	int64_t last_token;
};

static void send_attempt(struct call *c);

static void call_free(struct call *c)
{
	ev_timer_stop(c->p->loop, &c->timer);
	ev_timer_stop(c->p->loop, &c->slow);
	sse_release(&c->sse);
	buf_release(&c->answer);
	g_strfreev(c->headers);
	g_free(c->path);
	g_free(c->method);
	g_free(c->body);
	g_free(c->last_id);
	g_free(c);
}

static void finish(struct call *c, const char *kind)
{
	g_strlcpy(c->r.kind, kind, sizeof(c->r.kind));
	c->r.total_us = clock_mono_us() - c->spec.scheduled;
	c->ops->done(c->ctx, &c->r, c->answer.data ? buf_head(&c->answer) : "");
	call_free(c);
}

/* Checks one token; index -1 if only the text is known. */
static void check_token(struct call *c, int index, const char *text)
{
	const char *tag = strrchr(text, '~');
	unsigned gen, low;

	if (tag && strlen(tag) >= 9 &&
	    sscanf(tag, "~%4x%4x", &gen, &low) == 2) {
		if (c->r.generation_tag < 0)
			c->r.generation_tag = (int)gen;
		else if (c->r.generation_tag != (int)gen)
			c->r.violations |= CALL_MIXED;
		if (index < 0)
			index = (int)low;
		else if (((unsigned)index & 0xffff) != low)
			c->r.violations |= CALL_GAP;
	}
	if (index < 0)
		return;
	if (c->next_index >= 0 && index > c->next_index)
		c->r.violations |= CALL_GAP;
	else if (c->next_index >= 0 && index < c->next_index)
		c->r.violations |= CALL_REPEAT;
	c->next_index = index + 1;
}

static void take_token(struct call *c, const char *id, int index,
		       const char *text)
{
	int64_t now = clock_mono_us(), gap = -1;

	check_token(c, index, text);
	if (!c->r.tokens++) {
		c->r.first_us = now - c->spec.scheduled;
		if (c->r.first_us < 1)
			c->r.first_us = 1;
	} else {
		gap = now - c->last_token;
	}
	c->last_token = now;
	if (c->ops->token)
		c->ops->token(c->ctx, id, text, gap);
	if (c->spec.leave_after && c->r.tokens >= c->spec.leave_after)
		c->left = 1;
	if (c->spec.slow_tokens_per_s > 0 && ++c->unread >= SLOW_STEP_TOKENS &&
	    c->f) {
		fetch_pause(c->f);
		ev_timer_stop(c->p->loop, &c->slow);
		ev_timer_set(&c->slow, c->unread / c->spec.slow_tokens_per_s,
			     0.0);
		ev_timer_start(c->p->loop, &c->slow);
		c->unread = 0;
	}
}

/* The text of an event, in the project's form or in that of OpenAI. */
static const char *event_text(const json_t *j, const json_t *choice)
{
	const char *t = json_str(j, "t", NULL);

	if (!t)
		t = json_str(choice, "text", NULL);
	if (!t)
		t = json_str(json_object_get(choice, "delta"), "content", NULL);
	if (!t)
		t = json_str(json_object_get(choice, "message"), "content",
			     NULL);
	return t ? t : "";
}

static int on_event(void *ctx, const char *id, const char *event,
		    const char *data, size_t len)
{
	struct call *c = ctx;

	if (!strcmp(data, "[DONE]") || !strcmp(event, "load") || c->left)
		return 0;
	AUTO_JSON json_t *j = json_loadb(data, len, 0, NULL);
	const json_t *err = json_object_get(j, "error");
	if (err) {
		c->failed = 1;
		g_strlcpy(c->r.kind, json_str(err, "kind", "error"),
			  sizeof(c->r.kind));
		return 0;
	}
	const json_t *choice = json_array_get(json_object_get(j, "choices"), 0);
	const char *text = event_text(j, choice);
	if (*text) {
		take_token(c, id, (int)json_int(j, "i", -1), text);
		if (*id) {
			g_free(c->last_id);
			c->last_id = g_strdup(id);
		}
	}
	if (json_str(j, "fin", NULL) || json_str(choice, "finish_reason", NULL))
		c->r.complete = 1;
	return 0;
}

static void on_slow(EV_P_ ev_timer *w, int revents)
{
	struct call *c = w->data;

	(void)loop;
	(void)revents;
	if (c->f)
		fetch_resume(c->f);
}

static void on_headers(void *arg, struct fetch *f, int status)
{
	struct call *c = arg;
	const char *outcome = fetch_header(f, "Mustardwall-Outcome");

	c->r.status = status;
	g_strlcpy(c->r.outcome, outcome ? outcome : "", sizeof(c->r.outcome));
}

static void on_leave_timer(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	call_leave(w->data);
}

static void on_data(void *arg, struct fetch *f, const char *p, size_t n)
{
	struct call *c = arg;

	(void)f;
	if (c->spec.stream && c->r.status == 200)
		sse_feed(&c->sse, p, n, on_event, c);
	else if (buf_unread(&c->answer) + n <= BODY_KEEP_BYTES)
		buf_add(&c->answer, p, n);
	if (c->left && !ev_is_active(&c->timer)) {
		ev_set_cb(&c->timer, on_leave_timer);
		ev_timer_set(&c->timer, 0.0, 0.0);
		ev_timer_start(c->p->loop, &c->timer);
	}
}

/* Tokens of an answer that was not streamed. */
static void check_answer(struct call *c)
{
	AUTO_JSON json_t *j = json_loadb(buf_head(&c->answer),
					 buf_unread(&c->answer), 0, NULL);
	const json_t *choice = json_array_get(json_object_get(j, "choices"), 0);
	g_auto(GStrv) words = g_strsplit(event_text(j, choice), " ", 0);

	for (char **w = words; *w; w++)
		if (**w)
			take_token(c, "", -1, *w);
	c->r.complete = json_str(j, "fin", NULL) ||
			json_str(choice, "finish_reason", NULL);
	json_int_t want = json_int(json_object_get(j, "usage"),
				   "completion_tokens", c->r.tokens);
	if (want != c->r.tokens)
		c->r.violations |= CALL_GAP;
}

static void retry_after(struct call *c, int ms)
{
	ev_timer_set(&c->timer, ms / 1000.0, 0.0);
	ev_timer_start(c->p->loop, &c->timer);
}

/* Decides about an attempt without a complete 2xx answer. */
static void failed(struct call *c, const struct fetch_result *r,
		   const char *kind)
{
	int may_retry = c->r.attempts < c->spec.tries;
	int resuming = c->spec.stream && c->last_id;
	int broken = r->err != FETCH_OK;
	int not_run = !strcmp(c->r.outcome, "not-run");

	if (may_retry && r->err == FETCH_CONNECT) {
		retry_after(c, c->r.attempts % c->p->nentries ? 0
							      : ROUND_PAUSE_MS);
	} else if (may_retry && resuming && !c->failed &&
		   (broken || c->r.status >= 500 || c->r.status == 429)) {
		c->r.resumes++;
		retry_after(c, broken ? 0 : ROUND_PAUSE_MS);
	} else if (may_retry && c->spec.once &&
		   (broken || !strcmp(c->r.outcome, "unknown") ||
		    !strcmp(kind, "in_progress"))) {
		retry_after(c, c->spec.retry_ms);
	} else if (may_retry && c->spec.retry_refused && not_run && !broken &&
		   strcmp(kind, "not_run") != 0 &&
		   (c->r.status == 429 || c->r.status == 503)) {
		retry_after(c, c->spec.retry_ms);
	} else {
		finish(c, kind);
	}
}

static void on_done(void *arg, struct fetch *f, const struct fetch_result *r)
{
	static const char *const kinds[] = {[FETCH_CONNECT] = "connect",
					    [FETCH_TIMEOUT] = "timeout",
					    [FETCH_BROKEN] = "broken"};
	struct call *c = arg;
	int ok = r->status >= 200 && r->status < 300;

	(void)f;
	c->f = NULL;
	c->r.status = r->status;
	ev_timer_stop(c->p->loop, &c->slow);
	if (c->left) {
		finish(c, "left");
	} else if (ok && c->failed) {
		g_autofree char *kind = g_strdup(c->r.kind);
		finish(c, kind);
	} else if (ok && c->spec.stream && c->r.complete) {
		finish(c, "ok");
	} else if (r->err != FETCH_OK) {
		failed(c, r, kinds[r->err]);
	} else if (ok && c->spec.stream) {
		c->r.violations |= CALL_INCOMPLETE;
		finish(c, "incomplete");
	} else if (ok) {
		if (c->spec.is_generation) {
			check_answer(c);
			if (!c->r.complete)
				c->r.violations |= CALL_INCOMPLETE;
		}
		finish(c, "ok");
	} else {
		AUTO_JSON json_t *j =
			json_loadb(c->answer.data ? buf_head(&c->answer) : "",
				   buf_unread(&c->answer), 0, NULL);
		char kind[40];
		g_strlcpy(kind,
			  json_str(json_object_get(j, "error"), "kind",
				   "no_kind"),
			  sizeof(kind));
		failed(c, r, kind);
	}
}

static const struct fetch_ops fetch_cb = {on_headers, on_data, on_done};

static void send_attempt(struct call *c)
{
	int e = (int)(c->p->next++ % (unsigned)c->p->nentries);
	const char *entry = c->p->entries[e];
	g_autofree char *url = g_strdup_printf("http://%s%s", entry, c->path);
	GPtrArray *headers = g_ptr_array_new();

	for (char **h = c->headers; *h; h++)
		g_ptr_array_add(headers, *h);
	if (c->last_id) {
		g_ptr_array_add(headers, "Last-Event-ID");
		g_ptr_array_add(headers, c->last_id);
	}
	g_ptr_array_add(headers, NULL);
	sse_release(&c->sse);
	buf_consume(&c->answer, buf_unread(&c->answer));
	c->r.attempts++;
	c->r.entry = e;
	c->r.status = 0;
	c->r.outcome[0] = '\0';
	if (c->ops->sent)
		c->ops->sent(c->ctx, c->r.attempts, entry);
	c->f = fetch_start(
		c->p->fr,
		&(struct fetch_spec){
			.method = c->method,
			.url = url,
			.headers = (const char *const *)headers->pdata,
			.body = c->body,
			.body_len = c->body ? strlen(c->body) : 0,
			.connect_timeout_ms = CONNECT_TIMEOUT_MS,
			.timeout_ms = c->spec.timeout_ms},
		&fetch_cb, c);
	g_ptr_array_free(headers, TRUE);
}

static void on_timer(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	send_attempt(w->data);
}

struct call *call_start(struct call_pool *p, const struct call_spec *spec,
			const struct call_ops *ops, void *ctx)
{
	struct call *c = g_new0(struct call, 1);

	c->p = p;
	c->spec = *spec;
	c->headers = spec->headers
			     ? g_strdupv((char **)(uintptr_t)spec->headers)
			     : g_new0(char *, 1);
	c->path = g_strdup(spec->path);
	c->method = g_strdup(spec->method);
	c->body = g_strdup(spec->body);
	c->last_id = g_strdup(spec->last_event_id);
	c->ops = ops;
	c->ctx = ctx;
	c->next_index = spec->last_event_id ? -1 : 0;
	c->r.generation_tag = -1;
	ev_timer_init(&c->timer, on_timer, 0.0, 0.0);
	ev_timer_init(&c->slow, on_slow, 0.0, 0.0);
	c->timer.data = c->slow.data = c;
	send_attempt(c);
	return c;
}

void call_leave(struct call *c)
{
	if (c->f)
		fetch_cancel(c->f);
	c->f = NULL;
	finish(c, "left");
}

struct call_pool *call_pool_new(struct ev_loop *loop, const char *entries)
{
	struct call_pool *p = g_new0(struct call_pool, 1);

	p->loop = loop;
	p->fr = fetcher_new(loop, 0);
	p->entries = g_strsplit(entries, ",", 0);
	p->nentries = (int)g_strv_length(p->entries);
	return p;
}

void call_pool_free(struct call_pool *p)
{
	fetcher_free(p->fr);
	g_strfreev(p->entries);
	g_free(p);
}
