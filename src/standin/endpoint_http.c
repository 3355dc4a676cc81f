#include "standin/endpoint.h"

#include <stdlib.h>
#include <string.h>

#include "base/cleanup.h"
#include "standin/reply.h"

static int has(const GPtrArray *names, const char *name)
{
	for (guint i = 0; i < names->len; i++)
		if (!strcmp(g_ptr_array_index(names, i), name))
			return 1;
	return 0;
}

static void completions(struct endpoint *e, struct httpd_req *req)
{
	AUTO_JSON json_t *j = reply_parse(req);

	if (!j) {
		reply_error(req, 400, 1, "invalid_request", "not JSON");
		return;
	}
	const char *adapter = json_str(j, "adapter", NULL);
	if (e->leaving) {
		hist_put(e->hist, "refused",
			 json_pack("{s:s}", "kind", "leaving"));
		reply_error(req, 503, 1, "leaving", "the endpoint is leaving");
	} else if (e->loading)
		reply_error(req, 503, 1, "loading", "a model is being loaded");
	else if (!has(e->models, json_str(j, "model", "")))
		reply_error(req, 404, 1, "not_found", "no such model");
	else if (adapter && !has(e->adapters, adapter))
		reply_error(req, 404, 1, "not_found", "no such adapter");
	else if (batch_load(e->batch).waiting >= e->cfg.max_waiting)
		reply_error(req, 503, 1, "busy", "too many requests wait");
	else
		epg_submit(e, req, j);
}

static void generations(struct endpoint *e, struct httpd_req *req,
			const char *id)
{
	const char *from = httpd_query(req, "from");
	const char *reader = httpd_query(req, "reader");

	if (!strcmp(httpd_method(req), "GET"))
		epg_resume(e, req, id, from ? atoi(from) : 0);
	else if (!strcmp(httpd_method(req), "DELETE"))
		epg_cancel(e, req, id, reader ? atoi(reader) : -1);
	else
		reply_error(req, 405, 1, "method_not_allowed", "");
}

/* Like an announcement, but with the load as it is now. */
static void health(struct endpoint *e, struct httpd_req *req)
{
	struct batch_load l = batch_load(e->batch);
	json_t *j = ann_body(e->ann);

	json_object_set_new(j, "load",
			    json_pack("{s:i,s:i,s:i}", "running", l.running,
				      "waiting", l.waiting, "blocks_used",
				      l.blocks_used));
	reply_json(req, 200, j);
}

/* A request that arrives during silence waits for its end. */
static void on_held_closed(void *arg, struct httpd_req *req)
{
	struct endpoint *e = arg;

	g_ptr_array_remove(e->held, req);
}

static const struct httpd_req_ops held_ops = {NULL, on_held_closed};

void eph_handle(void *ctx, struct httpd_req *req)
{
	static const char gen_prefix[] = "/v1/generations/";
	struct endpoint *e = ctx;
	const char *path = httpd_path(req);
	int post = !strcmp(httpd_method(req), "POST");

	if (post && !strcmp(path, "/fault")) {
		epf_fault(e, req);
	} else if (e->faults.silent) {
		httpd_set_owner(req, &held_ops, e);
		g_ptr_array_add(e->held, req);
	} else if (post && !strcmp(path, "/v1/completions")) {
		completions(e, req);
	} else if (!strncmp(path, gen_prefix, strlen(gen_prefix))) {
		generations(e, req, path + strlen(gen_prefix));
	} else if (post && !strcmp(path, "/v1/orders")) {
		epo_order(e, req);
	} else if (!strcmp(path, "/v1/health")) {
		health(e, req);
	} else {
		reply_error(req, 404, 1, "not_found", "no such path");
	}
}
