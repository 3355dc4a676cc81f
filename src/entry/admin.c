#include "entry/admin.h"

#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "entry/aside.h"
#include "entry/work_stats.h"
#include "obs/stats.h"

/* Operations behind the operators' interface on an entry host. */

/* Time limit of an operator call that a control process answers. */
#define FORWARD_TIMEOUT_MS 12000

static struct tree *admin_tree(void *ctx)
{
	struct entry *e = ctx;

	return e->session.cfg.tree;
}

static json_t *list_processes(struct entry *e)
{
	json_t *list = json_array();
	struct hostcfg *cfg = &e->session.cfg;

	admin_add_process(list, e->conf->host, e->conf->dc, "entry",
			  e->conf->admin_listen);
	for (struct peer *p = peer_next(e->peers, NULL); p;
	     p = peer_next(e->peers, p)) {
		const Mw__Hello *h = peer_hello(p);
		admin_add_process(list, h->host, h->dc, h->role, h->admin_addr);
	}
	for (size_t i = 0; cfg->members && i < cfg->members->n_hosts; i++) {
		const Mw__HostInfo *h = cfg->members->hosts[i];
		admin_add_process(list, h->host, h->dc, h->role, h->admin_addr);
	}
	return list;
}

/* Requests that wait in the queues of all models. */
static size_t count_queued(struct entry *e)
{
	GHashTableIter iter;
	struct pool *p;
	size_t n = 0;

	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&p)) {
		struct queue_stats st;
		e->queue_ops->stats(p->queue, &st);
		for (unsigned int i = 0; i < QUEUE_RANKS; i++)
			n += st.items[i] + aside_count(p, i, NULL);
	}
	return n;
}

static const char *state_name(struct entry *e, int64_t now)
{
	if (e->draining)
		return "draining";
	enum host_mode mode = entry_mode(e, now);
	return mode == HOST_LEASED ? "serving" : host_mode_name(mode);
}

/*
 * Adds for how long the host has had no lease and no contact with a hub, in
 * milliseconds; 0 if it has one.  Without any so far the time runs from the
 * start of the process.
 */
static void set_outage_ages(struct entry *e, json_t *out, int64_t now)
{
	const struct session *s = &e->session;
	int64_t lease_us = MAX(s->cfg.lease_until_us, e->started_us);
	int64_t hub_us = MAX(s->last_hub_answer_us, e->started_us);
	bool hub = hub_client_in_contact(s->hub_client, now);

	json_object_set_new(
		out, "no_lease_ms",
		json_integer(s->cfg.lease_until_us > now
				     ? 0
				     : (now - lease_us) / USEC_PER_MSEC));
	json_object_set_new(
		out, "no_hub_ms",
		json_integer(hub ? 0 : (now - hub_us) / USEC_PER_MSEC));
}

static void admin_status(void *ctx, json_t *out)
{
	struct entry *e = ctx;
	struct hostcfg *cfg = &e->session.cfg;
	int64_t now = clock_mono_us();
	int64_t left = cfg->lease_until_us - now;

	json_t *st = json_pack(
		"{s:s, s:s, s:s, s:I, s:s, s:s, s:I, s:I, s:I, s:s, s:s, s:I, "
		"s:I, s:I, s:o}",
		"host", e->conf->host, "dc", e->conf->dc, "role", "entry",
		"incarnation", (json_int_t)e->incarnation, "admin_addr",
		e->conf->admin_listen, "state", state_name(e, now), "version",
		(json_int_t)(cfg->tree ? tree_version(cfg->tree) : 0),
		"pending",
		(json_int_t)(cfg->pending ? tree_version(cfg->pending) : 0),
		"lease_ms", (json_int_t)(left > 0 ? left / USEC_PER_MSEC : 0),
		"hub", e->session.hub, "leader",
		cfg->members ? cfg->members->leader : "", "term",
		(json_int_t)cfg->term, "open_requests",
		(json_int_t)e->open_requests, "queued",
		(json_int_t)count_queued(e), "processes", list_processes(e));
	json_object_update(out, st);
	json_decref(st);
	set_outage_ages(e, out, now);
	work_status(e, out, now);
	json_object_set_new(out, "spill", remote_status(e, now));
}

static json_t *string_array(char **list, size_t n)
{
	json_t *a = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(a, json_string(list[i]));
	return a;
}

static json_t *endpoint_json(struct entry *e, const struct endpoint *ep,
			     int64_t now)
{
	const Mw__EndpointInfo *i = ep->info;
	struct credit_ep *c = credit_find_endpoint(e->credit, ep->id);

	return json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:s, s:o, s:o, s:s, s:I, "
		"s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
		"id", ep->id, "dc", ep->dc, "addr", ep->addr, "kind", ep->kind,
		"state", view_state(ep), "role", i->role, "models",
		string_array(i->models, i->n_models), "adapters",
		string_array(i->adapters, i->n_adapters), "model_version",
		i->model_version, "blocks", (json_int_t)i->blocks,
		"blocks_used", (json_int_t)i->blocks_used, "running",
		(json_int_t)i->running, "waiting", (json_int_t)i->waiting,
		"state_ms", (json_int_t)((now - ep->state_us) / USEC_PER_MSEC),
		"credit",
		(json_int_t)(c ? credit_limit_blocks(e->credit, c, now) : 0),
		"held", (json_int_t)(c ? credit_reserved_blocks(c) : 0),
		"age_ms", (json_int_t)((now - ep->updated_us) / USEC_PER_MSEC));
}

static json_t *admin_endpoints(void *ctx)
{
	struct entry *e = ctx;
	int64_t now = clock_mono_us();
	json_t *list = json_array();
	g_autoptr(GList) all = g_hash_table_get_values(e->endpoints);

	all = g_list_sort(all, (GCompareFunc)view_compare_ids);
	for (GList *l = all; l; l = l->next)
		json_array_append_new(list, endpoint_json(e, l->data, now));
	return json_pack("{s:s, s:b, s:o}", "dc", e->conf->dc, "fresh",
			 hub_client_in_contact(e->session.hub_client, now),
			 "endpoints", list);
}

static size_t admin_drain(void *ctx)
{
	struct entry *e = ctx;

	entry_drain(e);
	return e->open_requests;
}

/* An operator call that was sent to a control process. */
struct forwarded_call {
	struct list node; /* in entry::forwarded_calls */
	admin_reply_fn fn;
	void *arg;
};

static void fail_forward(struct forwarded_call *f, int err)
{
	int status;
	char *json = admin_error_json(err, NULL, NULL, &status);

	f->fn(f->arg, status, json, strlen(json));
	free(json);
}

static void on_admin_reply(int err, const Mw__Frame *reply, void *ctx)
{
	struct forwarded_call *f = ctx;

	list_del(&f->node);
	if (err < 0 || reply->body_case != MW__FRAME__BODY_ADMIN_REPLY)
		fail_forward(f, -MW_EUNKNOWN);
	else
		f->fn(f->arg, (int)reply->admin_reply->status,
		      (const char *)reply->admin_reply->json.data,
		      reply->admin_reply->json.len);
	g_free(f);
}

void admin_end_forwarded(struct entry *e)
{
	while (!list_empty(&e->forwarded_calls)) {
		struct forwarded_call *f = list_first(
			&e->forwarded_calls, struct forwarded_call, node);

		list_del(&f->node);
		fail_forward(f, -MW_EUNKNOWN);
		g_free(f);
	}
}

static void admin_forward(void *ctx, const Mw__AdminCall *call,
			  admin_reply_fn fn, void *arg)
{
	struct entry *e = ctx;
	struct peer *p = session_find_control(e);
	Mw__Frame frame = MW__FRAME__INIT;
	struct forwarded_call *f = g_new(struct forwarded_call, 1);

	f->fn = fn;
	f->arg = arg;
	frame.body_case = MW__FRAME__BODY_ADMIN_CALL;
	frame.admin_call = (Mw__AdminCall *)call;
	if (!e->stopping && p &&
	    peer_call(p, &frame, FORWARD_TIMEOUT_MS, on_admin_reply, f) == 0) {
		list_add_tail(&e->forwarded_calls, &f->node);
		return;
	}
	fail_forward(f, e->stopping ? -MW_EDRAINING : -MW_ENOLEADER);
	g_free(f);
}

static void admin_metrics(void *ctx)
{
	struct entry *e = ctx;
	struct hostcfg *cfg = &e->session.cfg;

	stats_set_gauges(e->open_requests, httpd_open_requests(e->callers));
	counter_set(C_TREE_VERSION, NULL,
		    cfg->tree ? (int64_t)tree_version(cfg->tree) : 0);
}

const struct admin_ops entry_admin_ops = {
	.tree = admin_tree,
	.status = admin_status,
	.endpoints = admin_endpoints,
	.drain = admin_drain,
	.forward = admin_forward,
	.metrics = admin_metrics,
};
