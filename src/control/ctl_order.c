#include "control/ctl.h"

#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "endpoint/ep.h"

/*
 * Orders to endpoints, sent by the leader only.
 *
 * The intent is committed to the log before the order is sent, and its entry
 * determines the fencing token that the order carries; the result is committed
 * afterwards.  An order that a former leader left without a result may have
 * been sent: it is recorded with an unknown outcome and not sent again.  The
 * endpoint's announcements (models, role) show whether it took effect.
 */

#define ORDER_TIMEOUT_MS 2000
#define LOOKUP_TIMEOUT_MS 1000
#define LOOKUP_HOSTS_PER_DC 2 /* entry hosts that get a look-up request */

/*
 * Longest lease of a former leader, measured by its own clock; the same as in
 * the replicated log.
 */
#define LEADER_LEASE_US (1500 * USEC_PER_MSEC)

/*
 * An order that could not be sent within this time is recorded as timed out.
 * It is this long because loading a model on a whole fleet takes hours at the
 * rate of the weight store.
 */
#define ORDER_WAIT_MAX_US (24 * 3600 * USEC_PER_SEC)

enum order_step {
	ORDER_LOOKUP,  /* looking up the endpoint's address */
	ORDER_INTENT,  /* committing the intent */
	ORDER_WAITING, /* see may_send() */
	ORDER_SENT,    /* waiting for the endpoint's response */
};

struct order {
	struct list node;
	struct ctl *ctl;
	Mw__OrderIntent *msg;
	enum order_step step;
	char addr[64];
	char dc[64];
	int lookups_pending; /* look-up requests without an answer */
	uint64_t fence;	     /* fencing token, once the intent is committed */
	int64_t submitted_us;
	int64_t load_us; /* once sent: time for which it occupies the store */
	struct fetch *fetch;
	int http_status;
	ctl_result_fn fn; /* NULL once it has been called */
	void *ctx;
};

static void order_free(struct order *o)
{
	list_del(&o->node);
	if (o->fetch)
		fetch_cancel(o->fetch);
	peer_cancel(o->ctl->peers, o);
	mw__order_intent__free_unpacked(o->msg, NULL);
	g_free(o);
}

/* Reports to the submitter; later calls do nothing. */
static void reply_once(struct order *o, int err, const Mw__Result *r)
{
	ctl_result_fn fn = o->fn;

	o->fn = NULL;
	if (fn)
		fn(err, r, o->ctx);
}

/* Commits the result of an order whose intent is committed, and frees it. */
static void record_result(struct order *o, int err)
{
	Mw__Command cmd = MW__COMMAND__INIT;
	Mw__OrderDone done = MW__ORDER_DONE__INIT;

	done.order_id = o->msg->order_id;
	done.err = err;
	cmd.body_case = MW__COMMAND__BODY_ORDER_DONE;
	cmd.order_done = &done;
	ctl_event(o->ctl, EV_KIND_ORDER_DONE, NULL, o->msg->endpoint, "%s: %s",
		  o->msg->order_id, err_info(err)->kind);
	ctl_propose(o->ctl, &cmd, NULL, NULL);
	order_free(o);
}

/* ---- sending ---- */

/*
 * Time for which a load occupies the weight store; 0 for other orders, for an
 * unknown model and if the store has no rate limit.  ctx is the struct ctl.
 */
static int64_t store_load_us(const Mw__OrderIntent *msg, void *ctx)
{
	const struct ctl *c = ctx;
	struct tree *t = sm_tree(c->sm);
	const struct model_cfg *m = tree_model(t, msg->model);
	int64_t rate = tree_system(t)->store_bytes_per_s;

	if (strncmp(msg->order, "load_", 5) != 0 || !m || rate <= 0)
		return 0;
	return (int64_t)((double)m->weight_bytes / (double)rate * 1e6);
}

static void on_headers(void *arg, struct fetch *f, int status)
{
	struct order *o = arg;

	(void)f;
	o->http_status = status;
}

static void on_response(void *arg, struct fetch *f,
			const struct fetch_result *res)
{
	struct order *o = arg;
	bool refused = res->err == FETCH_OK && o->http_status != 200;

	(void)f;
	o->fetch = NULL;
	pace_end_order(&o->ctl->store_pace, clock_mono_us(), o->load_us,
		       !refused && (res->err == FETCH_OK || res->sent));
	if (res->err == FETCH_OK && o->http_status == 200)
		record_result(o, 0);
	else if (res->err == FETCH_OK && o->http_status == 409)
		record_result(o, -MW_EFENCED);
	else if (res->err == FETCH_OK)
		record_result(o, -MW_EUPSTREAM);
	else if (!res->sent)
		record_result(o, -MW_ENOENDPOINT);
	else
		record_result(o, -MW_EUNKNOWN); /* it may have taken effect */
}

static void send_order(struct order *o, int64_t now)
{
	static const struct fetch_ops ops = {.headers = on_headers,
					     .done = on_response};
	static const char *const headers[] = {"Content-Type",
					      "application/json", NULL};
	struct ctl *c = o->ctl;
	struct ep_order msg = {
		.order_id = o->msg->order_id,
		.order = o->msg->order,
		.model = o->msg->model,
		.adapter = o->msg->adapter,
		.version = o->msg->version,
		.role = o->msg->role,
		.fence = o->fence,
	};
	/*
	 * No connection may be made after the lease of this leader ends: the
	 * next leader relies on it, see fence_wait_end_us().
	 */
	int64_t left_ms = (rep_lease_until(c->rep) - now) / USEC_PER_MSEC;
	struct ep_request req;
	char url[512];

	if (left_ms <= 0)
		return;
	ep_openai.order(&msg, &req);
	snprintf(url, sizeof(url), "%s%s", o->addr, req.path);
	struct fetch_spec spec = {
		.method = req.method,
		.url = url,
		.headers = headers,
		.body = buf_head(&req.body),
		.body_len = buf_unread(&req.body),
		.connect_timeout_ms = (int)left_ms,
		.timeout_ms = ORDER_TIMEOUT_MS,
	};
	o->step = ORDER_SENT;
	o->load_us = store_load_us(o->msg, c);
	pace_start_load(&c->store_pace, now, o->load_us);
	ctl_event(c, EV_KIND_ORDER_SENT, NULL, o->msg->endpoint,
		  "%s, fence %" G_GUINT64_FORMAT, o->msg->order_id, o->fence);
	o->fetch = fetch_start(c->fetcher, &spec, &ops, o);
	buf_release(&req.body);
}

/*
 * Time until which an order of a former leader may still arrive at an endpoint:
 * the end of that leader's lease, then the timeout of an order sent under it.
 * An endpoint that ignores fencing tokens gets no order before.
 */
static int64_t fence_wait_end_us(const struct ctl *c)
{
	return c->leading_since_us + clock_with_drift(LEADER_LEASE_US) +
	       ORDER_TIMEOUT_MS * USEC_PER_MSEC;
}

static bool may_send(struct ctl *c, const struct order *o, int64_t now)
{
	const struct endpoint_cfg *cfg =
		tree_endpoint(sm_tree(c->sm), o->dc, o->msg->endpoint);

	if (!cfg->checks_fence && now < fence_wait_end_us(c))
		return false;
	return !store_load_us(o->msg, c) ||
	       pace_may_start_load(&c->store_pace, now);
}

void ctl_order_tick(struct ctl *c, int64_t now)
{
	struct order *o, *tmp;

	list_for_each_entry_safe (o, tmp, &c->orders, node) {
		if (o->step != ORDER_WAITING)
			continue;
		if (now - o->submitted_us > ORDER_WAIT_MAX_US) {
			record_result(o, -MW_ETIMEOUT);
			continue;
		}
		if (!may_send(c, o, now))
			continue;
		send_order(o, now);
	}
}

/* ---- intent ---- */

static void on_intent(int err, const Mw__Result *r, void *ctx)
{
	struct order *o = ctx;

	if (err == 0 && r->err == 0) {
		o->fence = r->fence;
		o->step = ORDER_WAITING;
		ctl_event(o->ctl, EV_KIND_ORDER_INTENT, NULL, o->msg->endpoint,
			  "%s %s, fence %" G_GUINT64_FORMAT, o->msg->order_id,
			  o->msg->order, o->fence);
		reply_once(o, err, r);
		ctl_order_tick(o->ctl, clock_mono_us());
		return;
	}
	reply_once(o, err, r);
	order_free(o);
}

static void propose_intent(struct order *o)
{
	Mw__Command cmd = MW__COMMAND__INIT;

	o->step = ORDER_INTENT;
	cmd.body_case = MW__COMMAND__BODY_ORDER_INTENT;
	cmd.order_intent = o->msg;
	ctl_propose(o->ctl, &cmd, on_intent, o);
}

/* ---- endpoint look-up ---- */

static void set_endpoint(struct order *o, const char *addr, const char *dc,
			 uint64_t incarnation)
{
	g_strlcpy(o->addr, addr, sizeof(o->addr));
	g_strlcpy(o->dc, dc, sizeof(o->dc));
	o->msg->endpoint_incarnation = incarnation;
	propose_intent(o);
}

static void on_lookup(int err, const Mw__Frame *reply, void *ctx)
{
	struct order *o = ctx;

	o->lookups_pending--;
	if (o->step != ORDER_LOOKUP)
		return;
	if (err == 0 && reply->body_case == MW__FRAME__BODY_ANNOUNCE &&
	    reply->announce->info && *reply->announce->info->addr) {
		const Mw__EndpointInfo *i = reply->announce->info;
		set_endpoint(o, i->addr, i->dc, i->incarnation);
		return;
	}
	if (!o->lookups_pending) {
		reply_once(o, -MW_ENOTFOUND, NULL);
		order_free(o);
	}
}

static void request_lookup(struct order *o, struct peer *p, Mw__Frame *f)
{
	if (peer_call(p, f, LOOKUP_TIMEOUT_MS, on_lookup, o) == 0)
		o->lookups_pending++;
}

/*
 * Sends the look-up to some entry hosts of each data centre as well, because
 * the control process there may be dead or frozen.
 */
static void look_up_at_hosts(struct order *o, Mw__Frame *f)
{
	g_autoptr(GHashTable) lookups_by_dc =
		g_hash_table_new(g_str_hash, g_str_equal);
	struct peer_net *n = o->ctl->peers;

	for (struct peer *p = peer_next(n, NULL); p; p = peer_next(n, p)) {
		const Mw__Hello *h = peer_hello(p);
		int k = GPOINTER_TO_INT(
			g_hash_table_lookup(lookups_by_dc, h->dc));

		if (strcmp(h->role, "entry") != 0 || k >= LOOKUP_HOSTS_PER_DC)
			continue;
		g_hash_table_insert(lookups_by_dc, h->dc,
				    GINT_TO_POINTER(k + 1));
		request_lookup(o, p, f);
	}
}

/* Sends the look-up to the hubs (of --control) and to some entry hosts. */
static void look_up_endpoint(struct order *o)
{
	struct ctl *c = o->ctl;
	Mw__Frame f = MW__FRAME__INIT;
	Mw__EndpointGet get = MW__ENDPOINT_GET__INIT;

	get.id = o->msg->endpoint;
	f.body_case = MW__FRAME__BODY_ENDPOINT_GET;
	f.endpoint_get = &get;
	for (size_t i = 0; i < c->conf->control_nr; i++) {
		struct peer *p = peer_find(c->peers, c->conf->controls[i].host);
		if (p)
			request_lookup(o, p, &f);
	}
	look_up_at_hosts(o, &f);
	if (!o->lookups_pending) {
		reply_once(o, -MW_ENOTFOUND, NULL);
		order_free(o);
	}
}

void ctl_order_serve_lookup(struct ctl *c, struct peer *from,
			    const Mw__Frame *f)
{
	const Mw__EndpointInfo *info =
		hub_find_endpoint(c->hub, f->endpoint_get->id);
	Mw__Frame reply = MW__FRAME__INIT;
	Mw__AnnounceFwd fwd = MW__ANNOUNCE_FWD__INIT;

	fwd.info = (Mw__EndpointInfo *)info;
	reply.body_case = MW__FRAME__BODY_ANNOUNCE;
	reply.announce = &fwd;
	peer_reply(c->peers, peer_rpc(from, f), &reply);
}

/* ---- submission ---- */

static bool is_valid_order(const char *name)
{
	static const char *const names[] = {"load_model", "load_adapter",
					    "load_version", "set_role"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (!strcmp(names[i], name))
			return true;
	return false;
}

static struct order *find_submitted(struct ctl *c, const char *id)
{
	struct order *o;

	list_for_each_entry (o, &c->orders, node)
		if (!strcmp(o->msg->order_id, id))
			return o;
	return NULL;
}

/*
 * Answers an order whose id was submitted before with the state of the first
 * one; it is not sent again.  Returns false if the id is new.
 */
static bool answer_resend(struct ctl *c, const Mw__OrderIntent *msg,
			  ctl_result_fn fn, void *ctx)
{
	const Mw__SnapOrder *recorded =
		order_find(sm_orders(c->sm), msg->order_id);
	Mw__Result r = MW__RESULT__INIT;

	if (find_submitted(c, msg->order_id) && !recorded) {
		fn(-MW_EINPROGRESS, NULL, ctx);
		return true;
	}
	if (!recorded)
		return false;
	r.fence = recorded->fence;
	if (strcmp(recorded->intent->endpoint, msg->endpoint) != 0 ||
	    strcmp(recorded->intent->order, msg->order) != 0 ||
	    strcmp(recorded->intent->model, msg->model) != 0)
		r.err = -MW_EKEYREUSED;
	fn(0, &r, ctx);
	return true;
}

static Mw__OrderIntent *copy_intent(const Mw__OrderIntent *msg)
{
	size_t len = mw__order_intent__get_packed_size(msg);
	g_autofree uint8_t *bytes = g_malloc(len + 1);

	mw__order_intent__pack(msg, bytes);
	return mw__order_intent__unpack(NULL, len, bytes);
}

void ctl_order_submit(struct ctl *c, const Mw__OrderIntent *msg,
		      ctl_result_fn fn, void *ctx)
{
	const Mw__EndpointInfo *info = hub_find_endpoint(c->hub, msg->endpoint);

	if (!is_valid_order(msg->order)) {
		fn(-MW_EINVAL, NULL, ctx);
		return;
	}
	if (answer_resend(c, msg, fn, ctx))
		return;
	struct order *o = g_new0(struct order, 1);
	o->ctl = c;
	o->msg = copy_intent(msg);
	o->fn = fn;
	o->ctx = ctx;
	o->submitted_us = clock_mono_us();
	list_add_tail(&c->orders, &o->node);
	if (info)
		set_endpoint(o, info->addr, info->dc, info->incarnation);
	else
		look_up_endpoint(o);
}

/* ---- change of leader ---- */

static void collect_order_id(const Mw__SnapOrder *order, void *arg)
{
	g_ptr_array_add(arg, g_strdup(order->intent->order_id));
}

/*
 * Closes the orders that a former leader left without a result: they may have
 * been sent, so they are not repeated and their outcome is unknown.
 */
void ctl_order_takeover(struct ctl *c, int64_t now)
{
	g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);

	/* The wall clock at `now`, some milliseconds ago. */
	int64_t wall_us = clock_wall_us() - (clock_mono_us() - now);

	pace_take_over(&c->store_pace, now, (uint64_t)(wall_us / USEC_PER_MSEC),
		       sm_orders(c->sm), store_load_us, c);
	order_for_each_open(sm_orders(c->sm), collect_order_id, ids);
	for (guint i = 0; i < ids->len; i++) {
		Mw__Command cmd = MW__COMMAND__INIT;
		Mw__OrderDone done = MW__ORDER_DONE__INIT;
		done.order_id = ids->pdata[i];
		done.err = -MW_EUNKNOWN;
		cmd.body_case = MW__COMMAND__BODY_ORDER_DONE;
		cmd.order_done = &done;
		ctl_propose(c, &cmd, NULL, NULL);
	}
}

void ctl_order_fail_all(struct ctl *c)
{
	struct order *o, *tmp;

	list_for_each_entry_safe (o, tmp, &c->orders, node) {
		if (o->step == ORDER_INTENT)
			continue; /* on_intent() ends it with its proposal */
		reply_once(o, -MW_ENOLEADER, NULL);
		order_free(o);
	}
}
