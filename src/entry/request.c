#include "entry/request.h"
#include "entry/work_stats.h"

#include <assert.h>
#include <string.h>
#include <sodium.h>
#include <xxhash.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "entry/aside.h"
#include "obs/stats.h"

/* Bytes between two prefix hashes; see docs/endpoint-protocol.md. */
#define PREFIX_BYTES 256
#define PREFIXES_MAX 64

/* Estimates prompt tokens until the endpoint has counted them. */
#define BYTES_PER_TOKEN 4

static void random_hex(char *out, size_t chars)
{
	uint8_t bytes[32];

	assert(chars / 2 <= sizeof(bytes));
	randombytes_buf(bytes, chars / 2);
	sodium_bin2hex(out, chars + 1, bytes, chars / 2);
}

static void on_closed(void *arg, struct httpd_req *http);
static void on_drained(void *arg, struct httpd_req *http);

static const struct httpd_req_ops http_ops = {
	.drained = on_drained,
	.closed = on_closed,
};

struct request *request_new(struct entry *e, struct httpd_req *http)
{
	struct request *r = g_new0(struct request, 1);

	r->entry = e;
	r->http = http;
	r->arrived_us = clock_mono_us();
	random_hex(r->id, REQUEST_ID_CHARS);
	list_init(&r->rs.node);
	list_init(&r->credit.node);
	list_add_tail(&e->requests, &r->node);
	e->open_requests++;
	httpd_set_owner(http, &http_ops, r);
	return r;
}

/* Requests of an account that wait on this host. */
struct account_backlog {
	size_t n_requests, bytes;
};

static struct account_backlog *get_backlog(struct request *r)
{
	GHashTable *backlogs = r->entry->account_backlogs;
	struct account_backlog *backlog =
		g_hash_table_lookup(backlogs, r->account);

	if (!backlog) {
		backlog = g_new0(struct account_backlog, 1);
		g_hash_table_insert(backlogs, g_strdup(r->account), backlog);
	}
	return backlog;
}

static void add_to_backlog(struct request *r, struct account_backlog *backlog)
{
	backlog->n_requests++;
	backlog->bytes += r->item.bytes;
	r->in_backlog = true;
}

/* Returns 0, or -MW_EQUEUEFULL if the account's bounds are reached. */
static int admit_to_backlog(struct request *r)
{
	struct account_backlog *backlog = get_backlog(r);

	if (backlog->n_requests >= r->queue_max ||
	    backlog->bytes + r->item.bytes > r->queue_max_bytes)
		return -MW_EQUEUEFULL;
	add_to_backlog(r, backlog);
	return 0;
}

void request_leave_backlog(struct request *r)
{
	GHashTable *backlogs = r->entry->account_backlogs;

	if (!r->in_backlog)
		return;
	struct account_backlog *backlog =
		g_hash_table_lookup(backlogs, r->account);
	r->in_backlog = false;
	backlog->n_requests--;
	backlog->bytes -= r->item.bytes;
	if (!backlog->n_requests)
		g_hash_table_remove(backlogs, r->account);
}

void request_end(struct request *r)
{
	request_leave_backlog(r);
	struct entry *e = r->entry;

	stream_close(r);
	dispatch_release(r);
	if (r->in_queue && !r->dispatched)
		e->queue_ops->remove(r->pool->queue, &r->item, clock_mono_us());
	else if (r->in_queue)
		e->queue_ops->finish(r->pool->queue, &r->item,
				     (uint32_t)r->next_index, clock_mono_us());
	aside_drop(r);
	ev_timer_stop(e->loop, &r->timer);
	list_del(&r->node);
	e->open_requests--;
	json_decref(r->messages);
	g_free(r->prompt);
	residence_release(&r->residence);
	g_free(r->prefixes);
	sse_release(&r->sse);
	buf_release(&r->unsent_output);
	buf_release(&r->answer_text);
	buf_release(&r->chunk_prefix);
	buf_release(&r->refusal_body);
	g_free(r);
	entry_pump_soon(e);
}

/* Ends a stream that has begun with an error event. */
static void send_error_event(struct request *r, int err, const char *detail)
{
	const struct err_info *info = err_info(err);
	AUTO_JSON json_t *obj = json_pack(
		"{s:{s:s, s:s, s:s}}", "error", "kind", info->kind, "message",
		detail ? detail : info->text, "request_id", r->id);
	AUTO_FREE char *text = obj ? json_dumps(obj, JSON_COMPACT) : NULL;
	AUTO_BUF struct buf b = BUF_INIT;

	buf_addf(&b, "event: error\ndata: %s\n\n", text ? text : "{}");
	if (buf_unread(&r->unsent_output) ||
	    httpd_stream_write(r->http, buf_head(&b), buf_unread(&b)) < 0) {
		/*
		 * The caller's stream buffer is full, or tokens wait that the
		 * event would overtake: close the connection.
		 */
		httpd_abort(r->http);
	} else {
		httpd_stream_end(r->http);
	}
}

void request_fail(struct request *r, int err, const char *detail,
		  unsigned int retry_after_s)
{
	struct entry *e = r->entry;
	/*
	 * The outcome "not-run" is allowed only if every endpoint to which
	 * bytes of the request were sent has refused it as not run.
	 */
	bool sent = r->state == REQ_SENT || r->state == REQ_STREAMING ||
		    r->delivered || r->may_have_run;

	stats_failed(err, r->rank);
	if (err == -MW_EQUEUEFULL)
		work_count_refusal(e->work, r->rank, clock_mono_us());
	entry_event(e, EV_KIND_REFUSED, r->id, r->account, r->endpoint,
		    "%s: %s", err_info(err)->kind,
		    detail ? detail : err_info(err)->text);
	if (r->http) {
		struct httpd_req *http = r->http;
		if (r->stream_begun)
			send_error_event(r, err, detail);
		else
			api_error(http, err, sent ? "unknown" : NULL, detail,
				  retry_after_s, r->id);
		r->http = NULL;
	}
	r->state = REQ_ENDED;
	request_end(r);
}

static void on_drained(void *arg, struct httpd_req *http)
{
	(void)http;
	stream_drained(arg);
}

static void on_resume_window_expired(struct ev_loop *loop, ev_timer *w,
				     int revents)
{
	struct request *r = w->data;

	(void)loop;
	(void)revents;
	dispatch_cancel(r);
	request_end(r);
}

static void on_closed(void *arg, struct httpd_req *http)
{
	struct request *r = arg;
	struct entry *e = r->entry;

	(void)http;
	r->http = NULL;
	entry_event(e, EV_KIND_CANCELLED, r->id, r->account, r->endpoint,
		    "after %" G_GUINT64_FORMAT " tokens", r->next_index);
	stats_failed(-MW_ECANCELLED, r->rank);
	if (r->finished || !*r->generation) {
		request_end(r);
		return;
	}
	stream_close(r);
	if (!r->stream || !r->delivered || r->resume_window_ms <= 0) {
		dispatch_cancel(r);
		request_end(r);
		return;
	}
	/* The endpoint goes on generating; any entry host can resume it. */
	r->state = REQ_DETACHED;
	ev_timer_stop(e->loop, &r->timer);
	ev_timer_init(&r->timer, on_resume_window_expired,
		      r->resume_window_ms / 1000.0, 0.);
	r->timer.data = r;
	ev_timer_start(e->loop, &r->timer);
}

/*
 * Returns the prompt text, from which prefix hashes and the token estimate are
 * made, or NULL if the body has none.  The caller owns it and *messages, which
 * is set for a chat.
 */
static char *prompt_text(json_t *body, bool chat, json_t **messages)
{
	json_t *m = json_object_get(body, "messages");
	json_t *p = json_object_get(body, "prompt");
	size_t i;
	json_t *v;

	*messages = NULL;
	if (!chat)
		return json_is_string(p) ? g_strdup(json_string_value(p))
					 : NULL;
	if (!json_is_array(m) || !json_array_size(m))
		return NULL;
	GString *text = g_string_new(NULL);
	json_array_foreach(m, i, v)
	{
		const char *role =
			json_string_value(json_object_get(v, "role"));
		const char *content =
			json_string_value(json_object_get(v, "content"));
		if (!role || !content) {
			g_string_free(text, TRUE);
			return NULL;
		}
		/* The bytes that endpoints hash for their prefix caches. */
		g_string_append_printf(text, "%s\n%s\n", role, content);
	}
	*messages = json_incref(m);
	return g_string_free(text, FALSE);
}

static void hash_prefixes(struct request *r)
{
	size_t len = strlen(r->prompt);
	size_t n = MIN(len / PREFIX_BYTES, PREFIXES_MAX);

	if (!n)
		return;
	XXH64_state_t *st = XXH64_createState();
	r->prefixes = g_new(uint64_t, n);
	r->n_prefixes = n;
	XXH64_reset(st, 0);
	for (size_t i = 0; i < n; i++) {
		XXH64_update(st, r->prompt + i * PREFIX_BYTES, PREFIX_BYTES);
		r->prefixes[i] = XXH64_digest(st);
	}
	XXH64_freeState(st);
}

/*
 * Identifies a request by account, model and prompt, so that every host
 * recognises a resend of one that crashes endpoints.  All hosts hash with the
 * same cluster key.
 */
static void compute_fingerprint(struct request *r)
{
	uint8_t hash[REQUEST_ID_CHARS / 2];
	crypto_generichash_state st;
	const uint8_t *key = r->entry->conf->cluster_key;

	crypto_generichash_init(&st, key, CONF_KEY_BYTES, sizeof(hash));
	crypto_generichash_update(&st, (const uint8_t *)r->account,
				  strlen(r->account) + 1);
	crypto_generichash_update(&st, (const uint8_t *)r->model,
				  strlen(r->model) + 1);
	crypto_generichash_update(&st, (const uint8_t *)r->prompt,
				  strlen(r->prompt));
	crypto_generichash_final(&st, hash, sizeof(hash));
	sodium_bin2hex(r->fingerprint, sizeof(r->fingerprint), hash,
		       sizeof(hash));
}

bool request_may_run_in(const struct request *r, const char *dc)
{
	struct residence_subject s = {&r->residence, r->account, r->route};

	return residence_allows(&s, r->entry->session.cfg.tree, dc);
}

bool request_is_restricted(const struct request *r)
{
	struct residence_subject s = {&r->residence, r->account, r->route};

	return residence_is_restricted(&s, r->entry->session.cfg.tree);
}

bool request_may_send(const struct request *r, const struct endpoint *ep,
		      const char *addr)
{
	struct residence_subject s = {&r->residence, r->account, r->route};

	return residence_allows_send(&s, r->entry->session.cfg.tree,
				     ep ? ep->dc : "", ep ? ep->addr : "",
				     addr);
}

/* Index of a rank, 0 being the most urgent; the last one for other names. */
static unsigned int rank_index(struct tree *t, const char *name)
{
	const struct rank_cfg *const *ranks;
	size_t n = tree_ranks(t, &ranks);
	unsigned int last = (unsigned int)MIN(n, QUEUE_RANKS) - 1;

	if (!name || !*name)
		return last;
	for (size_t i = 0; i < n; i++)
		if (!strcmp(ranks[i]->name, name))
			return MIN((unsigned int)i, last);
	return last;
}

/* Applies the tree's settings for the account and the route. */
static int apply_settings(struct request *r, struct tree *t)
{
	const struct account_cfg *a = tree_account(t, r->account);
	const struct route_cfg *rt = tree_route(t, r->route);

	if (!a || a->disabled)
		return -MW_EPERM;
	if (!rt || rt->kind != ROUTE_KIND_MODEL || !*rt->model)
		return -MW_ENOTFOUND;
	const struct rank_cfg *rank = tree_route_rank(t, rt);
	if (!account_allows_route(a, r->route) ||
	    (rank && !account_allows_rank(a, rank->name)))
		return -MW_EPERM;
	g_strlcpy(r->model, rt->model, sizeof(r->model));
	g_strlcpy(r->adapter, rt->adapter, sizeof(r->adapter));
	r->rank = rank_index(t, rt->rank);
	r->retries_max = (int)rt->retries_max;
	r->resume_window_ms = (int)rt->resume_window_ms;
	r->deadline_us = r->arrived_us + rt->deadline_ms * USEC_PER_MSEC;
	if (!r->max_tokens || r->max_tokens > rt->max_tokens)
		r->max_tokens = (uint32_t)rt->max_tokens;
	r->queue_max = (size_t)a->queue_max;
	r->queue_max_bytes = (size_t)a->queue_max_bytes;
	const struct model_cfg *m = tree_model(t, rt->model);
	if (m && r->prompt_tokens >= (uint64_t)m->context_tokens)
		return -MW_ETOOBIG;
	if (m && r->prompt_tokens + (uint64_t)r->max_tokens >
			 (uint64_t)m->context_tokens)
		r->max_tokens = (uint32_t)m->context_tokens - r->prompt_tokens;
	residence_admit(&r->residence, t, r->account, r->route);
	r->rates.requests_per_s = (double)a->rate_rps;
	r->rates.tokens_per_s = (double)a->rate_tokens_s;
	return 0;
}

static int parse_body(struct request *r, const char **detail)
{
	size_t len;
	const char *text = httpd_body(r->http, &len);
	json_error_t jerr;
	AUTO_JSON json_t *body =
		json_loadb(text, len, JSON_REJECT_DUPLICATES, &jerr);

	*detail = "the body is not a JSON object";
	if (!json_is_object(body))
		return -MW_EINVAL;
	const char *model = json_string_value(json_object_get(body, "model"));
	*detail = "model is missing or too long";
	if (!model || !*model || strlen(model) >= sizeof(r->route))
		return -MW_EINVAL;
	json_t *max = json_object_get(body, "max_tokens");
	*detail = "max_tokens is not a whole number above 0";
	if (max && (!json_is_integer(max) || json_integer_value(max) < 1))
		return -MW_EINVAL;
	*detail = r->chat ? "messages must be a list of objects with role and "
			    "content"
			  : "prompt must be a string";
	r->prompt = prompt_text(body, r->chat, &r->messages);
	if (!r->prompt)
		return -MW_EINVAL;
	g_strlcpy(r->route, model, sizeof(r->route));
	r->stream = json_is_true(json_object_get(body, "stream"));
	r->max_tokens =
		max ? (uint32_t)MIN(json_integer_value(max), UINT32_MAX) : 0;
	r->prompt_tokens = (uint32_t)(strlen(r->prompt) / BYTES_PER_TOKEN) + 1;
	return 0;
}

/* Makes all checks that can refuse a request before it is queued. */
static int admit(struct request *r, int64_t now, const char **detail,
		 unsigned int *retry_after_s)
{
	struct entry *e = r->entry;
	struct hostcfg *cfg = &e->session.cfg;
	enum host_mode mode = entry_mode(e, now);
	int err;

	*detail = NULL;
	*retry_after_s = 1;
	if (e->draining)
		return -MW_EDRAINING;
	if (e->open_requests > (size_t)e->conf->max_requests)
		return -MW_EQUEUEFULL;
	err = parse_body(r, detail);
	if (err < 0)
		return err;
	*detail = NULL;
	err = hostcfg_admit(cfg, mode, r->account, r->route);
	if (err < 0)
		return err;
	err = apply_settings(r, cfg->tree);
	if (err < 0)
		return err;
	if (!request_may_run_in(r, e->conf->dc)) {
		*detail = ENTRY_OUTSIDE_TEXT;
		return -MW_EREGIONDOWN;
	}
	compute_fingerprint(r);
	err = suspect_check(e->suspects, r->fingerprint);
	if (err < 0)
		return err;
	r->needs_loan = !view_has_endpoint_for(e, r->model);
	if (r->needs_loan && !remote_can_borrow(e, now))
		return -MW_ENOENDPOINT;
	if (r->needs_loan && !remote_has_lender_for(r)) {
		*detail = ENTRY_NO_LENDER_TEXT;
		return -MW_EREGIONDOWN;
	}
	return limit_admit_request(e->limits, r->account, &r->rates, now,
				   retry_after_s);
}

void request_enqueue(struct request *r, int64_t now)
{
	struct entry *e = r->entry;
	struct est_query q = {.account = r->account,
			      .route = r->route,
			      .max_tokens = r->max_tokens};
	unsigned int retry_after = 1;

	r->state = REQ_QUEUED;
	r->pool = entry_get_pool(e, r->model);
	r->item.account = r->account;
	r->item.rank = r->rank;
	r->item.bytes = strlen(r->prompt) + sizeof(*r);
	r->item.prompt_tokens = r->prompt_tokens;
	r->item.est_output_tokens = est_expected(e->est, &q, now);
	r->item.deadline_us = r->deadline_us;
	r->item.expected_service_us = 0;
	int err = admit_to_backlog(r);
	if (err == 0)
		err = e->queue_ops->push(r->pool->queue, &r->item, now,
					 &retry_after);
	if (err < 0) {
		request_fail(r, err, NULL, retry_after);
		return;
	}
	r->in_queue = true;
	r->dispatched = false;
	entry_pump_soon(e);
}

void request_requeue(struct request *r, int64_t now)
{
	struct entry *e = r->entry;

	assert(r->in_queue && r->dispatched);
	r->state = REQ_QUEUED;
	/* Bounds were checked on arrival: no refusal may follow now. */
	add_to_backlog(r, get_backlog(r));
	e->queue_ops->requeue(r->pool->queue, &r->item, now);
	r->dispatched = false;
	entry_pump_soon(e);
}

void request_handle(struct entry *e, struct httpd_req *http, bool chat)
{
	const char *account = api_account(e, http);
	const char *detail;
	unsigned int retry_after;

	if (!account)
		return;
	struct request *r = request_new(e, http);
	r->chat = chat;
	g_strlcpy(r->account, account, sizeof(r->account));
	retry_count_request(&e->retry, r->arrived_us);
	int err = admit(r, r->arrived_us, &detail, &retry_after);
	if (err < 0) {
		request_fail(r, err, detail, retry_after);
		return;
	}
	hash_prefixes(r);
	stats_arrived(r->rank);
	entry_event(e, EV_KIND_REQUEST, r->id, r->account, NULL,
		    "route %s, rank %u, about %u prompt tokens", r->route,
		    r->rank, r->prompt_tokens);
	request_enqueue(r, r->arrived_us);
}

void request_resume(struct entry *e, struct httpd_req *http,
		    const char *last_event_id, bool chat)
{
	const char *account = api_account(e, http);
	struct cursor c;
	uint64_t next;

	if (!account)
		return;
	memset(&c, 0, sizeof(c));
	int err = cursor_open(last_event_id, e->conf->cluster_key, &c, &next);
	if (err == 0 && strcmp(c.account, account) != 0)
		err = -MW_EPERM;
	if (err < 0) {
		api_error(http, err, NULL, "Last-Event-ID is not valid here", 0,
			  NULL);
		return;
	}
	/* Every host mode allows a resume; only new work needs a lease. */
	struct request *r = request_new(e, http);
	r->chat = chat;
	r->stream = true;
	r->resumed = true;
	r->delivered = true;
	r->next_index = next;
	g_strlcpy(r->account, c.account, sizeof(r->account));
	g_strlcpy(r->route, c.route, sizeof(r->route));
	g_strlcpy(r->endpoint, c.endpoint, sizeof(r->endpoint));
	g_strlcpy(r->addr, c.addr, sizeof(r->addr));
	g_strlcpy(r->generation, c.generation, sizeof(r->generation));
	r->incarnation = c.incarnation;
	struct tree *t = e->session.cfg.tree;
	const struct route_cfg *rt = t ? tree_route(t, r->route) : NULL;
	r->resume_window_ms = rt ? (int)rt->resume_window_ms : 0;
	/* The deadline counts anew, as the host does not know the arrival. */
	if (rt)
		r->deadline_us =
			r->arrived_us + rt->deadline_ms * USEC_PER_MSEC;
	/* Every local endpoint has a row, so one without is remote. */
	const struct endpoint *ep = view_find(e, r->endpoint);
	const char *dc = ep ? ep->dc : "";
	if (!request_may_run_in(r, e->conf->dc) ||
	    !request_may_send(r, ep, r->addr)) {
		request_fail(r, -MW_EREGIONDOWN,
			     "the stream may not be resumed here", 0);
		return;
	}
	entry_event(e, EV_KIND_RESUMED, r->id, r->account, r->endpoint,
		    "generation %s from index %" G_GUINT64_FORMAT,
		    r->generation, next);
	stats_resumed();
	r->state = REQ_STREAMING;
	remote_record_placement(r, dc);
	stream_open(r, true);
}
