#include "entry/entry.h"

#include <string.h>
#include <sodium.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "entry/leave.h"
#include "obs/stats.h"

/* HTTP interface for callers and endpoints. */

void api_error(struct httpd_req *http, int err, const char *outcome,
	       const char *detail, unsigned int retry_after_s,
	       const char *request_id)
{
	const struct err_info *info = err_info(err);
	const char *outcome_text =
		outcome ? outcome : (info->not_run ? "not-run" : "unknown");
	AUTO_JSON json_t *body = json_pack(
		"{s:{s:s, s:s, s:s, s:s}}", "error", "kind", info->kind, "type",
		info->kind, "message", detail ? detail : info->text, "outcome",
		outcome_text);
	AUTO_FREE char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	char after[16];
	const char *headers[12];
	size_t n = 0;

	headers[n++] = "Content-Type";
	headers[n++] = "application/json";
	headers[n++] = "Mustardwall-Outcome";
	headers[n++] = outcome_text;
	if (request_id) {
		headers[n++] = "X-Request-Id";
		headers[n++] = request_id;
	}
	if (info->retryable &&
	    (info->http_status == 429 || info->http_status == 503)) {
		snprintf(after, sizeof(after), "%u", MAX(retry_after_s, 1));
		headers[n++] = "Retry-After";
		headers[n++] = after;
	}
	headers[n] = NULL;
	httpd_reply(http, info->http_status, headers, text ? text : "{}",
		    text ? strlen(text) : 2);
}

static const char *bearer_key(struct httpd_req *http)
{
	const char *auth = httpd_header(http, "Authorization");

	if (!auth || g_ascii_strncasecmp(auth, "Bearer ", 7) != 0)
		return NULL;
	return auth + 7;
}

const char *api_refusal_outcome(const struct httpd_req *http)
{
	const char *key = httpd_header(http, "Idempotency-Key");

	return key && *key ? "unknown" : NULL;
}

const char *api_account(struct entry *e, struct httpd_req *http)
{
	struct tree *t = e->session.cfg.tree;
	const char *key = bearer_key(http), *account;
	char hash[SCHEMA_HASH_HEX_LEN + 1];

	if (!t) {
		api_error(http, -MW_EFENCED, api_refusal_outcome(http),
			  "The host has no configuration yet.", 1, NULL);
		return NULL;
	}
	if (!key || !*key) {
		api_error(http, -MW_EAUTH, api_refusal_outcome(http), NULL, 0,
			  NULL);
		return NULL;
	}
	/*
	 * Keys are looked up by their hash, so the duration of the look-up
	 * reveals nothing about a stored key.
	 */
	tree_key_hash(key, hash);
	account = tree_account_by_key(t, hash);
	if (!account)
		api_error(http, -MW_EAUTH, api_refusal_outcome(http), NULL, 0,
			  NULL);
	return account;
}

/* Checks the key of an endpoint; answers with an error if it is wrong. */
static bool check_endpoint_key(struct entry *e, struct httpd_req *http)
{
	const char *key = bearer_key(http);
	const char *expected_key = e->conf->endpoint_key;

	if (!expected_key)
		return true;
	if (key && strlen(key) == strlen(expected_key) &&
	    sodium_memcmp(key, expected_key, strlen(expected_key)) == 0)
		return true;
	api_error(http, -MW_EAUTH, NULL, NULL, 0, NULL);
	return false;
}

static void reply_json(struct httpd_req *http, int status, const char *text)
{
	static const char *const headers[] = {"Content-Type",
					      "application/json", NULL};

	httpd_reply(http, status, headers, text, strlen(text));
}

static void handle_announce(struct entry *e, struct httpd_req *http)
{
	Mw__EndpointInfo info;
	size_t len;
	const char *body;

	if (!check_endpoint_key(e, http))
		return;
	body = httpd_body(http, &len);
	int err = e->ep_ops->parse_announce(body, len, &info);
	if (err < 0) {
		api_error(http, err, NULL, "the announcement is malformed", 0,
			  NULL);
		return;
	}
	session_forward_announce(e, &info);
	if (!strcmp(info.dc, e->conf->dc))
		view_update(e, &info, true, clock_mono_us());
	ep_info_release(&info);
	reply_json(http, 200, "{}\n");
}

/* Answer to a leave, sent once the leave is confirmed or has failed. */
struct leave_reply {
	struct httpd_req *http; /* NULL once the endpoint has disconnected */
};

static void on_leave_closed(void *arg, struct httpd_req *http)
{
	struct leave_reply *l = arg;

	(void)http;
	l->http = NULL;
}

static void on_leave_done(int err, void *ctx)
{
	struct leave_reply *l = ctx;

	if (l->http && err < 0)
		api_error(l->http, -MW_EAGAIN, NULL,
			  "the leave could not be recorded", 1, NULL);
	else if (l->http)
		reply_json(l->http, 200, "{}\n");
	g_free(l);
}

static void handle_leave(struct entry *e, struct httpd_req *http)
{
	static const struct httpd_req_ops ops = {.closed = on_leave_closed};
	Mw__LeaveFwd msg;
	size_t len;
	const char *body;

	if (!check_endpoint_key(e, http))
		return;
	body = httpd_body(http, &len);
	int err = e->ep_ops->parse_leave(body, len, &msg);
	if (err < 0) {
		api_error(http, err, NULL, "the leave is malformed", 0, NULL);
		return;
	}
	struct leave_reply *l = g_new0(struct leave_reply, 1);
	l->http = http;
	httpd_set_owner(http, &ops, l);
	view_mark_leaving(e, msg.id, msg.incarnation, clock_mono_us());
	entry_event(e, EV_KIND_ENDPOINT_LEAVING, NULL, NULL, msg.id,
		    "deadline %" G_GUINT64_FORMAT " ms", msg.deadline_ms);
	leave_take(e, &msg, on_leave_done, l);
	ep_leave_release(&msg);
}

static void handle_cache_events(struct entry *e, struct httpd_req *http)
{
	size_t len;
	const char *body;

	if (!check_endpoint_key(e, http))
		return;
	body = httpd_body(http, &len);
	view_apply_cache_events(e, body, len);
	reply_json(http, 200, "{}\n");
}

struct model_list {
	json_t *data;
	struct tree *tree;
};

static void add_model(const char *name, bool leaf, void *arg)
{
	struct model_list *l = arg;
	const struct route_cfg *rt = tree_route(l->tree, name);

	(void)leaf;
	if (!rt || rt->kind != ROUTE_KIND_MODEL || !*rt->model)
		return;
	json_array_append_new(l->data,
			      json_pack("{s:s, s:s, s:s}", "id", name, "object",
					"model", "owned_by", "mustardwall"));
}

static void handle_models(struct entry *e, struct httpd_req *http)
{
	struct model_list l = {json_array(), e->session.cfg.tree};

	if (!api_account(e, http)) {
		json_decref(l.data);
		return;
	}
	tree_for_each(l.tree, SCHEMA_ROUTE, add_model, &l);
	AUTO_JSON json_t *obj =
		json_pack("{s:s, s:o}", "object", "list", "data", l.data);
	AUTO_FREE char *text = json_dumps(obj, JSON_COMPACT);
	reply_json(http, 200, text ? text : "{}");
}

static void handle_generation(struct entry *e, struct httpd_req *http,
			      bool chat)
{
	const char *last_event_id = httpd_header(http, "Last-Event-ID");

	if (last_event_id && *last_event_id)
		request_resume(e, http, last_event_id, chat);
	else
		request_handle(e, http, chat);
}

static void handle_chat_completions(struct entry *e, struct httpd_req *http)
{
	handle_generation(e, http, true);
}

static void handle_completions(struct entry *e, struct httpd_req *http)
{
	handle_generation(e, http, false);
}

static void handle_healthz(struct entry *e, struct httpd_req *http)
{
	(void)e;
	reply_json(http, 200, "{\"status\":\"ok\"}\n");
}

static void handle_readyz(struct entry *e, struct httpd_req *http)
{
	int64_t now = clock_mono_us();
	char text[128];
	bool ready = entry_ready(e, now);

	snprintf(text, sizeof(text),
		 "{\"ready\":%s,\"mode\":\"%s\",\"draining\":%s}\n",
		 ready ? "true" : "false", host_mode_name(entry_mode(e, now)),
		 e->draining ? "true" : "false");
	reply_json(http, ready ? 200 : 503, text);
}

static void handle_metrics(struct entry *e, struct httpd_req *http)
{
	static const char *const headers[] = {
		"Content-Type", "text/plain; version=0.0.4", NULL};
	AUTO_BUF struct buf b = BUF_INIT;

	stats_set_gauges(e->open_requests, httpd_open_requests(e->callers));
	counter_write(&b);
	httpd_reply(http, 200, headers, buf_head(&b), buf_unread(&b));
}

static const struct {
	const char *method;
	const char *path;
	void (*fn)(struct entry *e, struct httpd_req *http);
} paths[] = {
	{"POST", "/v1/chat/completions", handle_chat_completions},
	{"POST", "/v1/completions", handle_completions},
	{"GET", "/v1/chat/completions", handle_chat_completions},
	{"GET", "/v1/completions", handle_completions},
	{"GET", "/v1/models", handle_models},
	{"POST", "/v1/announce", handle_announce},
	{"POST", "/v1/leave", handle_leave},
	{"POST", "/v1/cache-events", handle_cache_events},
	{"GET", "/healthz", handle_healthz},
	{"GET", "/readyz", handle_readyz},
	{"GET", "/metrics", handle_metrics},
};

void api_handle(void *ctx, struct httpd_req *http)
{
	struct entry *e = ctx;
	const char *path = httpd_path(http), *method = httpd_method(http);
	bool path_exists = false;

	if (!strncmp(path, "/svc/", 5)) {
		service_handle(e, http);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		if (strcmp(paths[i].path, path) != 0)
			continue;
		path_exists = true;
		if (!strcmp(paths[i].method, method)) {
			paths[i].fn(e, http);
			return;
		}
	}
	api_error(http, path_exists ? -MW_EMETHOD : -MW_ENOTFOUND, NULL, NULL,
		  0, NULL);
}
