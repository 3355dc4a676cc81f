#include "entry/call.h"

#include <string.h>
#include <sodium.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "obs/stats.h"
#include "policy/path.h"

#define SERVICE_PREFIX "/svc/"
#define CONNECT_TIMEOUT_MS 1000

void call_end(struct call *c)
{
	struct entry *e = c->entry;

	if (c->fetch)
		fetch_cancel(c->fetch);
	if (c->rs.ep)
		route_stream_finished(&c->rs);
	ev_timer_stop(e->loop, &c->timer);
	list_del(&c->node);
	e->open_requests--;
	buf_release(&c->answer);
	residence_release(&c->residence);
	g_free(c->path);
	g_free(c->method);
	g_free(c->content_type);
	g_free(c->answer_type);
	g_free(c->body);
	g_free(c);
}

void call_reply_error(struct call *c, int err, const char *outcome,
		      const char *detail)
{
	stats_call_failed(err);
	entry_event(c->entry, EV_KIND_REFUSED, c->id, c->account, c->endpoint,
		    "%s, outcome %s", err_info(err)->kind,
		    outcome ? outcome : "by kind");
	if (c->http)
		api_error(c->http, err, outcome, detail, 1, c->id);
	c->http = NULL;
}

void call_reply_answer(struct call *c, const char *outcome)
{
	const char *headers[] = {"Content-Type",
				 c->answer_type ? c->answer_type
						: "application/octet-stream",
				 "X-Request-Id",
				 c->id,
				 "Mustardwall-Outcome",
				 outcome,
				 NULL};

	stats_call_answered(c->once, clock_mono_us() - c->arrived_us);
	entry_event(c->entry, EV_KIND_FINISHED, c->id, c->account, c->endpoint,
		    "status %d, outcome %s", c->status, outcome);
	if (c->http)
		httpd_reply(c->http, c->status, headers, buf_head(&c->answer),
			    buf_unread(&c->answer));
	c->http = NULL;
}

void call_fail(struct call *c, int err, const char *outcome, const char *detail)
{
	call_reply_error(c, err, outcome, detail);
	call_end(c);
}

void call_answer(struct call *c, const char *outcome)
{
	call_reply_answer(c, outcome);
	call_end(c);
}

static void on_call_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct call *c = w->data;

	(void)loop;
	(void)revents;
	c->timer_fn(c);
}

void call_schedule(struct call *c, int64_t delay_us, void (*fn)(struct call *))
{
	c->timer_fn = fn;
	ev_timer_stop(c->entry->loop, &c->timer);
	ev_timer_init(&c->timer, on_call_timer, (double)delay_us / 1e6, 0.);
	c->timer.data = c;
	ev_timer_start(c->entry->loop, &c->timer);
}

static void on_closed(void *arg, struct httpd_req *http)
{
	struct call *c = arg;

	(void)http;
	c->http = NULL;
	/* A once-only call goes on, so that the ledger gets its outcome. */
	if (!c->once)
		call_end(c);
}

static void on_headers(void *arg, struct fetch *f, int status)
{
	struct call *c = arg;
	const char *type = fetch_header(f, "Content-Type");

	c->status = status;
	view_apply_pause(c->entry, c->endpoint, c->incarnation, status,
			 fetch_header(f, "Retry-After"), clock_mono_us());
	g_free(c->answer_type);
	c->answer_type = g_strdup(type);
}

static void on_data(void *arg, struct fetch *f, const char *p, size_t n)
{
	struct call *c = arg;

	(void)f;
	buf_add(&c->answer, p, n);
}

/*
 * Schedules a retry if the call may be sent again and the retry budget allows
 * it.  not_run: this attempt certainly did not run.
 */
static bool try_retry(struct call *c, bool not_run)
{
	struct entry *e = c->entry;
	int64_t now = clock_mono_us(), delay;
	struct failed_request rc = {.repeatable = c->repeatable,
				    .not_run = not_run,
				    .retries = c->retries,
				    .deadline_us = c->deadline_us};

	if ((int)c->retries >= c->retries_max ||
	    !retry_allow(&e->retry, &rc, e->rand, now, &delay))
		return false;
	c->retries++;
	stats_call_retried();
	entry_event(e, EV_KIND_RETRIED, c->id, c->account, c->endpoint,
		    "retry %u in %" G_GINT64_FORMAT " ms", c->retries,
		    delay / USEC_PER_MSEC);
	buf_release(&c->answer);
	call_schedule(c, delay, call_send);
	return true;
}

static void handle_failure(struct call *c, const struct fetch_result *res)
{
	bool not_sent = res->err == FETCH_CONNECT && !res->sent;

	if (!not_sent)
		c->may_have_run = true;
	if (not_sent)
		view_mark_unreachable(c->entry, c->endpoint, c->incarnation,
				      clock_mono_us());
	if (try_retry(c, not_sent))
		return;
	if (c->once && not_sent)
		once_close_key(c, "no connection to the service");
	else if (c->once)
		once_record_unknown(c);
	else if (not_sent)
		call_fail(c, -MW_ENOENDPOINT,
			  c->may_have_run ? "unknown" : "not-run", NULL);
	else
		call_fail(c,
			  res->err == FETCH_TIMEOUT ? -MW_ETIMEOUT
						    : -MW_EUPSTREAM,
			  "unknown", NULL);
}

static void on_done(void *arg, struct fetch *f, const struct fetch_result *res)
{
	struct call *c = arg;

	(void)f;
	c->fetch = NULL;
	if (c->rs.ep)
		route_stream_finished(&c->rs);
	if (res->err != FETCH_OK) {
		handle_failure(c, res);
		return;
	}
	if (c->once)
		once_record_answer(c);
	else
		call_answer(c, "ran");
}

struct residence_subject call_residence(const struct call *c)
{
	return (struct residence_subject){&c->residence, c->account, c->route};
}

static bool exclude_endpoint(void *ctx, const char *endpoint)
{
	const struct call *c = ctx;
	struct entry *e = c->entry;
	const struct endpoint *ep = view_find(e, endpoint);
	const struct route_ep *rep = route_find_endpoint(e->route, endpoint);
	struct residence_subject s = call_residence(c);

	if (!residence_allows_send(&s, e->session.cfg.tree, ep ? ep->dc : "",
				   ep ? ep->addr : "", route_ep_addr(rep)))
		return true;
	return ep && (!view_may_use(ep) ||
		      tree_dc_settings(e->session.cfg.tree, ep->dc)->evacuated);
}

static int choose_endpoint(struct call *c, int64_t now)
{
	struct entry *e = c->entry;
	struct route_ep *rep;
	struct route_query q = {.model = c->service,
				.local_only = true,
				.exclude = exclude_endpoint,
				.exclude_ctx = c};
	int err = route_choose(e->route, &q, now, &rep);

	if (err < 0)
		return err;
	g_strlcpy(c->endpoint, route_ep_id(rep), sizeof(c->endpoint));
	g_strlcpy(c->addr, route_ep_addr(rep), sizeof(c->addr));
	c->incarnation = route_ep_incarnation(rep);
	route_stream_started(e->route, rep, &c->rs, &q, 0, now);
	return 0;
}

void call_send(struct call *c)
{
	static const struct fetch_ops ops = {
		.headers = on_headers, .data = on_data, .done = on_done};
	struct entry *e = c->entry;
	int64_t now = clock_mono_us();

	if (choose_endpoint(c, now) < 0) {
		if (try_retry(c, true))
			return;
		if (c->once)
			once_close_key(c, "no endpoint of the service");
		else
			call_fail(c, -MW_ENOENDPOINT,
				  c->may_have_run ? "unknown" : "not-run",
				  NULL);
		return;
	}
	const char *headers[] = {"X-Request-Id",
				 c->id,
				 "Content-Type",
				 c->content_type ? c->content_type
						 : "application/octet-stream",
				 *c->key ? "Idempotency-Key" : NULL,
				 c->key,
				 NULL};
	g_autofree char *url = g_strconcat(c->addr, "/", NULL);
	int64_t left_ms = (c->deadline_us - now) / USEC_PER_MSEC;
	struct fetch_spec spec = {
		.method = c->method,
		.url = url,
		.target = c->path,
		.headers = headers,
		.body = c->body,
		.body_len = c->body_len,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.timeout_ms = (int)MAX(left_ms, 1),
		.body_max = CALL_BODY_MAX_BYTES,
		/* On a kept connection the service may still send a second copy
		 * of another caller's answer, which bears no mark of its own.
		 */
		.flags = FETCH_NEW_CONNECTION,
	};
	entry_event(e, EV_KIND_DISPATCHED, c->id, c->account, c->endpoint,
		    "%s %s", c->method, c->service);
	c->fetch = fetch_start(e->fetcher, &spec, &ops, c);
}

/*
 * Finds the service route with the longest name that is a prefix of the path,
 * by whole segments.  Sets *rest to the remaining path.
 */
static const struct route_cfg *find_route(struct tree *t, const char *path,
					  const char **rest)
{
	g_autofree char *name = g_strdup(path);

	for (;;) {
		const struct route_cfg *rt = tree_route(t, name);
		if (rt && rt->kind == ROUTE_KIND_SERVICE && *rt->service) {
			*rest = path + strlen(name);
			return rt;
		}
		char *slash = strrchr(name, '/');
		if (!slash)
			return NULL;
		*slash = '\0';
	}
}

static bool account_may_call(struct tree *t, const char *account,
			     const char *route)
{
	const struct account_cfg *a = tree_account(t, account);

	return a && !a->disabled && account_allows_route(a, route);
}

static struct call *call_new(struct entry *e, struct httpd_req *http)
{
	static const struct httpd_req_ops ops = {.closed = on_closed};
	struct call *c = g_new0(struct call, 1);
	uint8_t id[16];
	size_t len;
	const char *body = httpd_body(http, &len);

	c->entry = e;
	c->http = http;
	c->arrived_us = clock_mono_us();
	randombytes_buf(id, sizeof(id));
	sodium_bin2hex(c->id, sizeof(c->id), id, sizeof(id));
	c->attempt = ++e->attempts;
	c->method = g_strdup(httpd_method(http));
	c->content_type = g_strdup(httpd_header(http, "Content-Type"));
	c->body = g_malloc(len + 1);
	memcpy(c->body, body, len);
	c->body_len = len;
	list_init(&c->rs.node);
	list_add_tail(&e->calls, &c->node);
	e->open_requests++;
	httpd_set_owner(http, &ops, c);
	return c;
}

static bool is_safe_method(const char *method)
{
	return !strcmp(method, "GET") || !strcmp(method, "HEAD");
}

/*
 * Hashes the method, route, path and body.  A repeated idempotency key must
 * come with the same hash.
 */
static void hash_call(struct call *c)
{
	crypto_generichash_state st;

	crypto_generichash_init(&st, NULL, 0, sizeof(c->body_hash));
	crypto_generichash_update(&st, (const uint8_t *)c->method,
				  strlen(c->method) + 1);
	crypto_generichash_update(&st, (const uint8_t *)c->route,
				  strlen(c->route) + 1);
	crypto_generichash_update(&st, (const uint8_t *)c->path,
				  strlen(c->path) + 1);
	crypto_generichash_update(&st, (const uint8_t *)c->body, c->body_len);
	crypto_generichash_final(&st, c->body_hash, sizeof(c->body_hash));
}

static int set_idempotency_key(struct call *c, const char *key,
			       const char **detail)
{
	if (c->repeatable)
		return 0;
	*detail = "this route needs the header Idempotency-Key";
	if (!key || !*key)
		return -MW_EINVAL;
	*detail = "Idempotency-Key is longer than 255 bytes";
	if (strlen(key) > CALL_KEY_CHARS)
		return -MW_EINVAL;
	g_strlcpy(c->key, key, sizeof(c->key));
	c->once = true;
	return 0;
}

static int prepare_call(struct call *c, const char **detail)
{
	struct entry *e = c->entry;
	struct hostcfg *cfg = &e->session.cfg;
	const char *target = httpd_target(c->http), *rest;
	size_t path_len = strcspn(target, "?");
	g_autofree char *path = NULL;
	enum host_mode mode = entry_mode(e, c->arrived_us);

	*detail = "malformed path";
	if (!path_can_be_sent(target) || path_len < strlen(SERVICE_PREFIX) ||
	    strncmp(target, SERVICE_PREFIX, strlen(SERVICE_PREFIX)) != 0)
		return -MW_EINVAL;
	*detail = NULL;
	if (e->draining)
		return -MW_EDRAINING;
	if (!cfg->tree)
		return -MW_EFENCED;
	path = g_strndup(target + strlen(SERVICE_PREFIX),
			 path_len - strlen(SERVICE_PREFIX));
	const struct route_cfg *rt = find_route(cfg->tree, path, &rest);
	if (!rt || (*rest && *rest != '/'))
		return -MW_ENOTFOUND;
	g_strlcpy(c->route, rt->name, sizeof(c->route));
	g_strlcpy(c->service, rt->service, sizeof(c->service));
	const char *query = strchr(target, '?');
	c->path = g_strconcat(*rest ? rest : "/", query, NULL);
	c->repeatable = rt->repeatable || is_safe_method(c->method);
	c->retries_max = (int)rt->retries_max;
	c->deadline_us = c->arrived_us + rt->deadline_ms * USEC_PER_MSEC;
	if (!account_may_call(cfg->tree, c->account, c->route))
		return -MW_EPERM;
	residence_admit(&c->residence, cfg->tree, c->account, c->route);
	struct residence_subject s = call_residence(c);
	if (!residence_allows(&s, cfg->tree, e->conf->dc)) {
		*detail = ENTRY_OUTSIDE_TEXT;
		return -MW_EREGIONDOWN;
	}
	int err = set_idempotency_key(
		c, httpd_header(c->http, "Idempotency-Key"), detail);
	if (err < 0)
		return err;
	*detail = NULL;
	hash_call(c);
	return hostcfg_admit(cfg, mode, c->account, c->route);
}

void service_handle(struct entry *e, struct httpd_req *http)
{
	const char *account = api_account(e, http);
	const char *detail;

	if (!account)
		return;
	struct call *c = call_new(e, http);
	g_strlcpy(c->account, account, sizeof(c->account));
	retry_count_request(&e->retry, c->arrived_us);
	int err = prepare_call(c, &detail);
	if (err < 0) {
		call_fail(c, err, api_refusal_outcome(http), detail);
		return;
	}
	entry_event(e, EV_KIND_REQUEST, c->id, c->account, NULL, "%s %s%s",
		    c->method, c->route, c->once ? ", once" : "");
	if (c->once)
		once_begin(c);
	else
		call_send(c);
}
