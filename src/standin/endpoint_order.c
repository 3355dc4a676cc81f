#include "standin/endpoint.h"

#include <stdint.h>
#include <string.h>

#include "base/cleanup.h"
#include "base/log.h"
#include "standin/reply.h"

/*
 * Loads run one after another, after the order has been answered.  While a
 * model or a version is loaded, new work is refused; an adapter is loaded
 * beside the running work.  An order id that comes twice runs twice: the
 * history shows it.
 */

static void load_next(struct endpoint *e);

static void set_name(GPtrArray *names, const char *name)
{
	for (guint i = 0; i < names->len; i++)
		if (!strcmp(g_ptr_array_index(names, i), name))
			return;
	g_ptr_array_add(names, g_strdup(name));
}

static void load_done(struct endpoint *e, int ok)
{
	AUTO_JSON json_t *j = g_queue_pop_head(&e->orders);
	const char *order = json_str(j, "order", "");

	e->loading = 0;
	hist_put(e->hist, ok ? "loaded" : "load_failed",
		 json_pack("{s:s,s:s}", "order_id", json_str(j, "order_id", ""),
			   "order", order));
	if (ok && !strcmp(order, "load_model"))
		set_name(e->models, json_str(j, "model", ""));
	else if (ok && !strcmp(order, "load_adapter"))
		set_name(e->adapters, json_str(j, "adapter", ""));
	if (ok && json_str(j, "version", NULL) &&
	    strcmp(order, "load_adapter") != 0) {
		g_free(e->version);
		e->version = g_strdup(json_str(j, "version", ""));
	}
	ann_now(e->ann);
	load_next(e);
}

static void on_fetched(void *arg, struct fetch *f, const struct fetch_result *r)
{
	(void)f;
	load_done(arg, r->err == FETCH_OK && r->status == 200);
}

static const struct fetch_ops load_ops = {NULL, NULL, on_fetched};

static void on_load_timer(int revents, void *arg)
{
	(void)revents;
	load_done(arg, 1);
}

static void load_next(struct endpoint *e)
{
	const json_t *j = g_queue_peek_head(&e->orders);

	if (!j)
		return;
	const char *order = json_str(j, "order", "");
	int adapter = !strcmp(order, "load_adapter");
	e->loading = !adapter;
	ann_now(e->ann);
	if (e->loading)
		epg_report_all(e);
	if (!e->cfg.store) {
		ev_once(e->loop, -1, 0, e->cfg.load_ms / 1000.0, on_load_timer,
			e);
		return;
	}
	g_autofree char *url =
		g_strdup_printf("http://%s/weights/%s/%s", e->cfg.store,
				json_str(j, adapter ? "adapter" : "model",
					 g_ptr_array_index(e->models, 0)),
				json_str(j, "version", "1"));
	/* The weights are only counted, by the store. */
	fetch_start(e->fr,
		    &(struct fetch_spec){
			    .method = "GET", .url = url, .body_max = SIZE_MAX},
		    &load_ops, e);
}

void epo_order(struct endpoint *e, struct httpd_req *req)
{
	AUTO_JSON json_t *j = reply_parse(req);
	const char *order = json_str(j, "order", "");
	int64_t fence = json_int(j, "fence", 0);
	int stale = fence < e->max_fence;

	if (!j || !json_str(j, "order_id", NULL)) {
		reply_error(req, 400, 1, "invalid_request",
			    "order_id is missing");
		return;
	}
	int refused = stale && e->cfg.checks_fence;
	hist_put(e->hist, "order",
		 json_pack("{s:s,s:s,s:I,s:b,s:b}", "order_id",
			   json_str(j, "order_id", ""), "order", order, "fence",
			   (json_int_t)fence, "stale", stale, "accepted",
			   !refused));
	if (refused) {
		reply_error(req, 409, 1, "stale_fence",
			    "a newer fence has been seen");
		return;
	}
	if (!stale)
		e->max_fence = fence;
	if (!strcmp(order, "set_role")) {
		g_free(e->role);
		e->role = g_strdup(json_str(j, "role", ""));
		ann_now(e->ann);
	} else if (!strcmp(order, "load_model") ||
		   !strcmp(order, "load_version") ||
		   !strcmp(order, "load_adapter")) {
		g_queue_push_tail(&e->orders, json_incref(j));
		if (e->orders.length == 1)
			load_next(e);
	} else {
		reply_error(req, 400, 1, "invalid_request", "unknown order");
		return;
	}
	reply_json(req, 200, json_pack("{s:b}", "accepted", 1));
}
