#include "admin/admin.h"

#include <string.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/err.h"
#include "obs/counter.h"

static void reply(struct httpd_req *http, int status, const char *json,
		  size_t len)
{
	static const char *const headers[] = {"Content-Type",
					      "application/json", NULL};

	httpd_reply(http, status, headers, json, len);
}

static void reply_json(struct httpd_req *http, int status, json_t *obj)
{
	AUTO_FREE char *text = obj ? json_dumps(obj, JSON_COMPACT) : NULL;

	reply(http, text ? status : 500, text ? text : "{}",
	      text ? strlen(text) : 2);
}

void admin_add_process(json_t *list, const char *host, const char *dc,
		       const char *role, const char *addr)
{
	json_t *p;
	size_t i;

	json_array_foreach(list, i, p)
	{
		if (!strcmp(json_string_value(json_object_get(p, "host")),
			    host))
			return;
	}
	json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:s}", "host",
					      host, "dc", dc, "role", role,
					      "admin_addr", addr));
}

char *admin_error_json(int err, const Mw__Result *r, const char *detail,
		       int *status)
{
	const struct err_info *info = err_info(err);
	AUTO_JSON json_t *e = json_pack("{s:s, s:s, s:b}", "kind", info->kind,
					"message", detail ? detail : info->text,
					"not_run", info->not_run);
	AUTO_JSON json_t *obj = json_object();

	*status = info->http_status;
	if (r && *r->path)
		json_object_set_new(e, "path", json_string(r->path));
	if (r && *r->reason)
		json_object_set_new(e, "reason", json_string(r->reason));
	if (r && r->version)
		json_object_set_new(e, "version",
				    json_integer((json_int_t)r->version));
	if (r && *r->change_id)
		json_object_set_new(e, "change_id", json_string(r->change_id));
	json_object_set(obj, "error", e);
	return json_dumps(obj, JSON_COMPACT);
}

static void reply_error(struct httpd_req *http, int err, const char *detail)
{
	int status;
	AUTO_FREE char *text = admin_error_json(err, NULL, detail, &status);

	reply(http, status, text, strlen(text));
}

/* Returns the operator's name, or NULL after sending an error response. */
static const char *authorize(const struct admin *a, struct httpd_req *http,
			     bool write)
{
	struct tree *t = a->ops->tree(a->ctx);
	const char *auth = httpd_header(http, "Authorization");
	char hash[SCHEMA_HASH_HEX_LEN + 1];

	if (!t) {
		reply_error(http, -MW_EAGAIN, "no configuration yet");
		return NULL;
	}
	if (!auth || g_ascii_strncasecmp(auth, "Bearer ", 7) != 0) {
		reply_error(http, -MW_EAUTH, NULL);
		return NULL;
	}
	tree_key_hash(auth + 7, hash);
	const char *name = tree_operator_by_key(t, hash);
	if (!name) {
		reply_error(http, -MW_EAUTH, NULL);
		return NULL;
	}
	const struct operator_cfg *op = tree_operator(t, name);
	if (write && (!op || !op->may_write)) {
		reply_error(http, -MW_EPERM,
			    "The operator may not make changes.");
		return NULL;
	}
	return name;
}

/* ---- local requests ---- */

static void get_status(struct admin *a, struct httpd_req *http)
{
	AUTO_JSON json_t *obj = json_object();

	a->ops->status(a->ctx, obj);
	reply_json(http, 200, obj);
}

static bool is_at_or_below(const char *path, const char *top)
{
	size_t n = strlen(top);

	return !strncmp(path, top, n) && (path[n] == '\0' || path[n] == '/');
}

static void get_subtree(struct httpd_req *http, struct tree *t,
			const char *path)
{
	size_t len;
	const char *text = tree_json(t, &len), *name;
	AUTO_JSON json_t *all = json_loadb(text, len, 0, NULL);
	AUTO_JSON json_t *nodes = json_object();
	json_t *v;

	json_object_foreach(json_object_get(all, "nodes"), name, v)
	{
		if (is_at_or_below(name, path))
			json_object_set(nodes, name, v);
	}
	if (!json_object_size(nodes)) {
		reply_error(http, -MW_ENOTFOUND, "No such node.");
		return;
	}
	AUTO_JSON json_t *obj =
		json_pack("{s:I, s:O}", "version", (json_int_t)tree_version(t),
			  "nodes", nodes);
	reply_json(http, 200, obj);
}

static bool add_resolved_setting(json_t *settings, struct tree *t,
				 const char *path, const char *key)
{
	const char *from;
	json_t *v = tree_resolve(t, path, key, &from);

	if (!v)
		return false;
	json_t *entry = json_pack("{s:o}", "value", v);
	json_object_set_new(entry, "from",
			    from ? json_string(from) : json_null());
	json_object_set_new(settings, key, entry);
	return true;
}

static void get_resolved(struct httpd_req *http, struct tree *t,
			 const char *path, const char *key)
{
	AUTO_JSON json_t *settings = json_object();

	for (int k = 0; k < SCHEMA_KIND_COUNT; k++) {
		const struct schema_kind_info *kind = &schema_kinds[k];
		if (!is_at_or_below(path, kind->folder))
			continue;
		for (size_t i = 0; i < kind->nkeys; i++)
			if (!key || !strcmp(key, kind->keys[i].name))
				add_resolved_setting(settings, t, path,
						     kind->keys[i].name);
	}
	if (!json_object_size(settings)) {
		reply_error(http, -MW_ENOTFOUND, "No such node or key.");
		return;
	}
	AUTO_JSON json_t *obj = json_pack("{s:I, s:s, s:O}", "version",
					  (json_int_t)tree_version(t), "path",
					  path, "settings", settings);
	reply_json(http, 200, obj);
}

static void get_tree(struct admin *a, struct httpd_req *http)
{
	struct tree *t = a->ops->tree(a->ctx);
	const char *path = httpd_query(http, "path");
	const char *version = httpd_query(http, "version");
	const char *key = httpd_query(http, "key");
	size_t len;

	uint64_t wanted = version ? g_ascii_strtoull(version, NULL, 10) : 0;
	if (version && wanted != tree_version(t))
		t = a->ops->tree_at ? a->ops->tree_at(a->ctx, wanted) : NULL;
	if (!t) {
		reply_error(http, -MW_ENOTFOUND,
			    "This process does not keep that version.");
		return;
	}
	if (path && httpd_query(http, "resolved")) {
		get_resolved(http, t, path, key);
	} else if (path) {
		get_subtree(http, t, path);
	} else {
		const char *text = tree_json(t, &len);
		reply(http, 200, text, len);
	}
}

static void get_endpoints(struct admin *a, struct httpd_req *http)
{
	AUTO_JSON json_t *obj = a->ops->endpoints(a->ctx);

	reply_json(http, 200, obj);
}

static void get_timeline(struct admin *a, struct httpd_req *http)
{
	static const char *const names[] = {"request", "account", "endpoint",
					    "change",  "kind",	  "since",
					    "until",   "limit",	  NULL};
	struct event_query q = EVENT_QUERY_INIT;

	for (size_t i = 0; names[i]; i++) {
		const char *v = httpd_query(http, names[i]);
		if (v && event_query_set(&q, names[i], v) < 0) {
			reply_error(http, -MW_EINVAL, "A filter is malformed.");
			return;
		}
	}
	AUTO_JSON json_t *obj = json_pack("{s:s, s:o}", "host", a->host,
					  "events", event_query(a->events, &q));
	reply_json(http, 200, obj);
}

static void post_drain(struct admin *a, struct httpd_req *http)
{
	size_t open = a->ops->drain(a->ctx);
	AUTO_JSON json_t *obj =
		json_pack("{s:s, s:s, s:I}", "host", a->host, "state",
			  "draining", "open_requests", (json_int_t)open);

	reply_json(http, 200, obj);
}

static void get_metrics(struct admin *a, struct httpd_req *http)
{
	static const char *const headers[] = {
		"Content-Type", "text/plain; version=0.0.4", NULL};
	AUTO_BUF struct buf b = BUF_INIT;

	a->ops->metrics(a->ctx);
	counter_write(&b);
	httpd_reply(http, 200, headers, buf_head(&b), buf_unread(&b));
}

/* ---- forwarded requests ---- */

struct forwarded {
	struct httpd_req *http; /* NULL once the connection is closed */
};

static void forwarded_closed(void *arg, struct httpd_req *http)
{
	struct forwarded *f = arg;

	(void)http;
	f->http = NULL;
}

static void on_forwarded(void *arg, int status, const char *json, size_t len)
{
	struct forwarded *f = arg;

	if (f->http)
		reply(f->http, status, json, len);
	g_free(f);
}

static void forward(struct admin *a, struct httpd_req *http,
		    const char *operator_name)
{
	static const struct httpd_req_ops ops = {.closed = forwarded_closed};
	Mw__AdminCall call = MW__ADMIN_CALL__INIT;
	const char *query = strchr(httpd_target(http), '?');
	struct forwarded *f = g_new0(struct forwarded, 1);
	size_t len;

	f->http = http;
	httpd_set_owner(http, &ops, f);
	call.path = (char *)httpd_path(http) + strlen("/admin/");
	call.query = (char *)(query ? query + 1 : "");
	call.body.data = (uint8_t *)httpd_body(http, &len);
	call.body.len = len;
	call.operator_name = (char *)operator_name;
	a->ops->forward(a->ctx, &call, on_forwarded, f);
}

static const struct {
	const char *method;
	const char *path;
	bool write;
	void (*fn)(struct admin *a, struct httpd_req *http); /* NULL: forward */
} paths[] = {
	{"GET", "/admin/status", false, get_status},
	{"GET", "/admin/tree", false, get_tree},
	{"GET", "/admin/endpoints", false, get_endpoints},
	{"GET", "/admin/timeline", false, get_timeline},
	{"POST", "/admin/drain", true, post_drain},
	{"POST", "/admin/change", true, NULL},
	{"GET", "/admin/history", false, NULL},
	{"POST", "/admin/host/remove", true, NULL},
	{"GET", "/admin/voters", false, NULL},
	{"POST", "/admin/voter/add", true, NULL},
	{"POST", "/admin/voter/remove", true, NULL},
	{"POST", "/admin/order", true, NULL},
	{"POST", "/admin/evacuate", true, NULL},
};

void admin_handle(void *ctx, struct httpd_req *http)
{
	struct admin *a = ctx;
	const char *path = httpd_path(http), *method = httpd_method(http);
	bool path_found = false;

	/* Scrapers have no operator key; counters hold no secrets. */
	if (!strcmp(path, "/metrics") && !strcmp(method, "GET")) {
		get_metrics(a, http);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		if (strcmp(paths[i].path, path) != 0)
			continue;
		path_found = true;
		if (strcmp(paths[i].method, method) != 0)
			continue;
		const char *name = authorize(a, http, paths[i].write);
		if (!name)
			return;
		if (paths[i].fn)
			paths[i].fn(a, http);
		else
			forward(a, http, name);
		return;
	}
	reply_error(http, path_found ? -MW_EMETHOD : -MW_ENOTFOUND, NULL);
}
