#include "forward/owner_check.h"

#include <string.h>

#include "base/clock.h"
#include "obs/slog.h"

/* The longest round trip is 24 ms; a health check may wait for a slot. */
#define ASK_CONNECT_TIMEOUT_MS 300
#define ASK_TIMEOUT_MS 600

/* Open questions of one host; as many endpoints may be replaced at once. */
#define ASKED_MAX 16

/* For an endpoint whose service is not configured (any more). */
#define DEFAULT_PATH "/"

struct owner_check {
	struct list node; /* in fwd::owner_checks */
	struct fwd *fwd;
	struct fetch *fetch;
	char endpoint[128];
	uint64_t incarnation;
	int64_t asked_us;
	enum owner_answer answer;
};

void owner_checks_start(struct fwd *f)
{
	list_init(&f->owner_checks);
}

static void check_free(struct owner_check *c)
{
	if (c->fetch)
		fetch_cancel(c->fetch);
	list_del(&c->node);
	c->fwd->n_owner_checks--;
	g_free(c);
}

void owner_checks_stop(struct fwd *f)
{
	while (!list_empty(&f->owner_checks))
		check_free(
			list_first(&f->owner_checks, struct owner_check, node));
}

static void mark_replaced(struct fwd *f, const char *id, uint64_t incarnation,
			  int64_t now)
{
	const struct registry_row *row = registry_find(f->registry, id);
	bool is_news = row && !row->left;

	row = registry_mark_replaced(f->registry, id, incarnation, now);
	if (row && is_news)
		control_link_send_endpoint(f, row->info);
}

struct void_claims {
	int64_t asked_us;
	GPtrArray *ids;
};

/* An answer says nothing about claims that arrived after the question. */
static void add_void_claim(const struct registry_row *row, void *arg)
{
	struct void_claims *v = arg;

	if (row->received_us <= v->asked_us)
		g_ptr_array_add(v->ids, g_strdup(row->info->id));
}

static void void_claims(struct owner_check *c, int64_t now)
{
	struct registry *r = c->fwd->registry;
	g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
	struct void_claims v = {.asked_us = c->asked_us, .ids = ids};

	registry_for_each_claim(r, c->endpoint, add_void_claim, &v);
	for (guint i = 0; i < ids->len; i++)
		mark_replaced(
			c->fwd, ids->pdata[i],
			registry_find(r, ids->pdata[i])->info->incarnation,
			now);
}

static void on_headers(void *arg, struct fetch *fetch, int status)
{
	struct owner_check *c = arg;

	struct fwd_endpoint *ep = endpoints_find(c->fwd, c->endpoint);
	struct endpoint_notice notice =
		c->fwd->iface->decode_notice(fetch, status);

	c->answer = c->fwd->iface->decode_owner(fetch, status, c->endpoint);
	if (c->answer == OWNER_IS_HOLDER && notice.has_cold && ep &&
	    ep->incarnation == c->incarnation)
		endpoints_apply_cold(c->fwd, ep, notice.cold_us, c->asked_us,
				     "health check", clock_mono_us());
}

static void on_done(void *arg, struct fetch *fetch,
		    const struct fetch_result *res)
{
	static const char *const names[] = {"no answer", "holder", "other"};
	struct owner_check *c = arg;
	struct fwd_endpoint *ep = endpoints_find(c->fwd, c->endpoint);
	int64_t now = clock_mono_us();

	(void)fetch;
	c->fetch = NULL;
	struct slog l = slog_begin("owner_check");
	slog_str(&l, "endpoint", c->endpoint);
	slog_int(&l, "endpoint_incarnation", (int64_t)c->incarnation);
	slog_str(&l, "answer", names[c->answer]);
	slog_int(&l, "status", res->status);
	slog_str(&l, "detail", res->error_text);
	slog_int(&l, "open_here", ep ? ep->open_here : 0);
	slog_int(&l, "wait_us", now - c->asked_us);
	slog_end(&l);
	if (ep) {
		ep->owner_asked = false;
		owner_pace_asked(&ep->owner_pace, c->answer, now);
	}
	if (ep && ep->incarnation == c->incarnation) {
		if (c->answer == OWNER_IS_HOLDER)
			void_claims(c, now);
		else if (c->answer == OWNER_IS_OTHER)
			mark_replaced(c->fwd, c->endpoint, c->incarnation, now);
	}
	check_free(c);
}

static const struct fetch_ops ask_ops = {.headers = on_headers,
					 .done = on_done};

static void ask(struct fwd *f, struct fwd_endpoint *ep, int64_t now)
{
	const struct plan_service *s =
		f->plan ? plan_service(f->plan, ep->service) : NULL;
	const char *path = s && s->health_path ? s->health_path : DEFAULT_PATH;
	g_autofree char *url = g_strdup_printf("http://%s%s", ep->addr, path);
	headers *h = f->iface->owner_headers(ep->id);
	struct owner_check *c = g_new0(struct owner_check, 1);

	c->fwd = f;
	g_strlcpy(c->endpoint, ep->id, sizeof(c->endpoint));
	c->incarnation = ep->incarnation;
	c->asked_us = now;
	list_add_tail(&f->owner_checks, &c->node);
	f->n_owner_checks++;
	ep->owner_asked = true;
	g_ptr_array_add(h, NULL);
	struct fetch_spec spec = {
		.method = "GET",
		.url = url,
		.headers = (const char *const *)h->pdata,
		.connect_timeout_ms = ASK_CONNECT_TIMEOUT_MS,
		.timeout_ms = ASK_TIMEOUT_MS,
		.flags = FETCH_NEW_CONNECTION,
	};
	c->fetch = fetch_start(f->fetcher, &spec, &ask_ops, c);
	g_ptr_array_unref(h);
}

void owner_checks_tick(struct fwd *f, int64_t now)
{
	GHashTableIter iter;
	struct fwd_endpoint *ep;

	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep)) {
		if (!ep->contested || ep->owner_asked ||
		    now < ep->owner_pace.due_us ||
		    f->n_owner_checks >= ASKED_MAX)
			continue;
		/* Only its own work depends on one that holds no address. */
		if (ep->holds || ep->open_here)
			ask(f, ep, now);
	}
}
