#include "standin/announce.h"

#include <string.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/list.h"
#include "base/log.h"

#define POST_CONNECT_TIMEOUT_MS 300
#define POST_TIMEOUT_MS 1000
/* Pause after a leave has failed at every address. */
#define LEAVE_PAUSE_S 0.2

struct ann {
	struct ev_loop *loop;
	struct fetcher *fr;
	struct ann_config cfg;
	ann_describe *describe;
	ann_left *left;
	void *ctx;
	char **entries;
	guint nentries;
	guint next;
	GRand *rnd;
	struct list posts; /* in flight */
	ev_timer tick;
	ev_timer leave_timer;
	int64_t seq;
	int announcing; /* calls in flight */
	int leaving;
	int deadline_ms;
	int64_t deadline_at; /* ev_now() in ms */
	int silent;
};

enum post_kind { POST_ANNOUNCE, POST_LEAVE, POST_CACHE };

struct post {
	struct list link;
	struct fetch *f;
	struct ann *a;
	enum post_kind kind;
	guint tries;
	char *body;
};

static void post_send(struct post *p);

static int64_t now_ms(const struct ann *a)
{
	return (int64_t)(ev_now(a->loop) * 1000.0);
}

static void post_free(struct post *p)
{
	if (p->kind == POST_ANNOUNCE)
		p->a->announcing--;
	list_del(&p->link);
	free(p->body);
	g_free(p);
}

static void on_post_done(void *arg, struct fetch *f,
			 const struct fetch_result *r)
{
	struct post *p = arg;
	struct ann *a = p->a;
	int ok = r->err == FETCH_OK && r->status == 200;

	(void)f;
	p->tries++;
	if (!ok && p->kind != POST_CACHE && p->tries < a->nentries) {
		post_send(p);
		return;
	}
	if (p->kind == POST_LEAVE) {
		if (ok) {
			a->leaving = 2;
			if (a->left)
				a->left(a->ctx);
		} else {
			ev_timer_set(&a->leave_timer, LEAVE_PAUSE_S, 0.0);
			ev_timer_start(a->loop, &a->leave_timer);
		}
	} else if (p->kind == POST_ANNOUNCE && !ok) {
		log_debug("announce", "no entry host answered with 200");
	}
	post_free(p);
}

static const struct fetch_ops post_ops = {NULL, NULL, on_post_done};

static const char *next_entry(struct ann *a)
{
	if (a->cfg.random)
		a->next = (guint)g_rand_int_range(a->rnd, 0, (int)a->nentries);
	return a->entries[a->next++ % a->nentries];
}

static void post_send(struct post *p)
{
	static const char *const paths[] = {"announce", "leave",
					    "cache-events"};
	struct ann *a = p->a;
	g_autofree char *url = g_strdup_printf("http://%s/v1/%s", next_entry(a),
					       paths[p->kind]);
	g_autofree char *auth = g_strdup_printf("Bearer %s", a->cfg.key);
	const char *const headers[] = {"Authorization", auth, "Content-Type",
				       "application/json", NULL};

	p->f = fetch_start(a->fr,
			   &(struct fetch_spec){.method = "POST",
						.url = url,
						.headers = headers,
						.body = p->body,
						.body_len = strlen(p->body),
						.connect_timeout_ms =
							POST_CONNECT_TIMEOUT_MS,
						.timeout_ms = POST_TIMEOUT_MS,
						.flags = FETCH_REPEATABLE},
			   &post_ops, p);
}

static void post_start(struct ann *a, enum post_kind kind, json_t *body)
{
	struct post *p = g_new0(struct post, 1);

	list_add_tail(&a->posts, &p->link);
	p->a = a;
	p->kind = kind;
	p->body = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	post_send(p);
}

json_t *ann_body(const struct ann *a)
{
	json_t *j = a->describe(a->ctx);

	json_object_set_new(j, "id", json_string(a->cfg.id));
	json_object_set_new(j, "incarnation", json_integer(a->cfg.incarnation));
	json_object_set_new(j, "seq", json_integer(a->seq));
	json_object_set_new(j, "dc", json_string(a->cfg.dc));
	return j;
}

void ann_now(struct ann *a)
{
	if (!a->nentries || a->silent)
		return;
	a->seq++;
	a->announcing++;
	post_start(a, POST_ANNOUNCE, ann_body(a));
}

static void on_tick(EV_P_ ev_timer *w, int revents)
{
	struct ann *a = w->data;

	(void)loop;
	(void)revents;
	if (!a->announcing)
		ann_now(a);
}

static void on_leave_timer(EV_P_ ev_timer *w, int revents)
{
	struct ann *a = w->data;
	int64_t left = a->deadline_at - now_ms(a);

	(void)loop;
	(void)revents;
	if (a->silent) {
		ev_timer_set(&a->leave_timer, LEAVE_PAUSE_S, 0.0);
		ev_timer_start(a->loop, &a->leave_timer);
		return;
	}
	if (!a->deadline_ms)
		left = 0;
	else if (left < 1)
		left = 1;
	a->seq++;
	post_start(a, POST_LEAVE,
		   json_pack("{s:s,s:I,s:I,s:s,s:I}", "id", a->cfg.id,
			     "incarnation", (json_int_t)a->cfg.incarnation,
			     "seq", (json_int_t)a->seq, "dc", a->cfg.dc,
			     "deadline_ms", (json_int_t)left));
}

void ann_leave(struct ann *a, int deadline_ms, ann_left *left)
{
	if (a->leaving)
		return;
	a->leaving = 1;
	a->left = left;
	a->deadline_ms = deadline_ms;
	a->deadline_at = now_ms(a) + deadline_ms;
	if (!a->nentries) {
		a->leaving = 2;
		if (left)
			left(a->ctx);
		return;
	}
	ev_timer_set(&a->leave_timer, 0.0, 0.0);
	ev_timer_start(a->loop, &a->leave_timer);
}

void ann_cache_events(struct ann *a, json_t *events)
{
	if (!a->nentries || a->silent) {
		json_decref(events);
		return;
	}
	post_start(a, POST_CACHE,
		   json_pack("{s:s,s:I,s:o}", "id", a->cfg.id, "incarnation",
			     (json_int_t)a->cfg.incarnation, "events", events));
}

void ann_silence(struct ann *a, int silent)
{
	a->silent = silent;
}

struct ann *ann_new(struct ev_loop *loop, struct fetcher *fr,
		    const struct ann_config *cfg, ann_describe *describe,
		    void *ctx)
{
	struct ann *a = g_new0(struct ann, 1);

	a->loop = loop;
	a->fr = fr;
	a->cfg = *cfg;
	a->describe = describe;
	a->ctx = ctx;
	a->entries = g_strsplit(cfg->entries ? cfg->entries : "", ",", 0);
	a->nentries = g_strv_length(a->entries);
	list_init(&a->posts);
	a->rnd = g_rand_new_with_seed(cfg->seed);
	a->next = a->nentries
			  ? (guint)g_rand_int_range(a->rnd, 0, (int)a->nentries)
			  : 0;
	ev_timer_init(&a->tick, on_tick, 0.0, cfg->interval_ms / 1000.0);
	ev_timer_init(&a->leave_timer, on_leave_timer, 0.0, 0.0);
	a->tick.data = a->leave_timer.data = a;
	ev_timer_start(loop, &a->tick);
	return a;
}

void ann_free(struct ann *a)
{
	struct post *p, *tmp;

	list_for_each_entry_safe (p, tmp, &a->posts, link) {
		fetch_cancel(p->f);
		post_free(p);
	}
	ev_timer_stop(a->loop, &a->tick);
	ev_timer_stop(a->loop, &a->leave_timer);
	g_strfreev(a->entries);
	g_rand_free(a->rnd);
	g_free(a);
}
