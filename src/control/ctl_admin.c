#include "control/ctl_admin.h"
#include "control/hub_spill.h"

#include <string.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "control/change_parse.h"
#include "control/ctl_document.h"
#include "control/ctl_evacuate.h"
#include "control/ctl_status.h"
#include "obs/counter.h"

/*
 * Operators' interface of a control process: the state of this process, and the
 * requests that need the log.  The latter are forwarded to the leader; a
 * request that has been forwarded already is not forwarded again.
 */

#define LEADER_TIMEOUT_MS 9000
#define HISTORY_DEFAULT 50

/* A request that is answered when its proposal or change has a result. */
struct pending_answer {
	struct ctl *ctl;
	admin_reply_fn fn;
	void *arg;
	char *name; /* change id, host or order id */
};

static struct pending_answer *pending_answer_new(struct ctl *c,
						 admin_reply_fn fn, void *arg,
						 const char *name)
{
	struct pending_answer *pending = g_new0(struct pending_answer, 1);

	pending->ctl = c;
	pending->fn = fn;
	pending->arg = arg;
	pending->name = g_strdup(name);
	return pending;
}

static void pending_answer_free(struct pending_answer *pending)
{
	g_free(pending->name);
	g_free(pending);
}

static void answer_error(admin_reply_fn fn, void *arg, int err,
			 const Mw__Result *r, const char *detail)
{
	int status;
	AUTO_FREE char *json = admin_error_json(err, r, detail, &status);

	fn(arg, status, json, strlen(json));
}

/*
 * As answer_error(), for a request that certainly had no effect: the error has
 * the member not_run, so that the caller may repeat the request.
 */
static void answer_refused(admin_reply_fn fn, void *arg, int err,
			   const char *detail)
{
	int status;
	AUTO_FREE char *json = admin_error_json(err, NULL, detail, &status);
	AUTO_JSON json_t *obj = json_loads(json, 0, NULL);

	json_object_set_new(json_object_get(obj, "error"), "not_run",
			    json_true());
	AUTO_FREE char *text = json_dumps(obj, JSON_COMPACT);
	fn(arg, status, text, strlen(text));
}

static void answer_json(admin_reply_fn fn, void *arg, json_t *obj)
{
	AUTO_FREE char *text = obj ? json_dumps(obj, JSON_COMPACT) : NULL;

	if (text)
		fn(arg, 200, text, strlen(text));
	else
		answer_error(fn, arg, -MW_EINTERNAL, NULL, NULL);
	json_decref(obj);
}

/* ---- changes ---- */

static void on_change_result(int err, const Mw__Result *r, void *ctx)
{
	struct pending_answer *pending = ctx;

	if (err < 0)
		answer_error(pending->fn, pending->arg, err, NULL, NULL);
	else if (r->err < 0)
		answer_error(pending->fn, pending->arg, r->err, r, NULL);
	else
		answer_json(pending->fn, pending->arg,
			    json_pack("{s:I, s:s}", "version",
				      (json_int_t)r->version, "change_id",
				      pending->name));
	pending_answer_free(pending);
}

static void post_change(struct ctl *c, const Mw__AdminCall *call,
			admin_reply_fn fn, void *arg)
{
	AUTO_JSON json_t *obj =
		json_loadb((const char *)call->body.data, call->body.len,
			   JSON_REJECT_DUPLICATES, NULL);
	struct parsed_change p = {0};
	const char *error = change_parse(obj, &p);

	if (error) {
		answer_error(fn, arg, -MW_EINVAL, NULL, error);
	} else {
		p.msg.operator_name = call->operator_name;
		ctl_change_submit(c, &p.msg, on_change_result,
				  pending_answer_new(c, fn, arg, p.msg.id));
	}
	change_parsed_release(&p);
}

/* ---- history ---- */

static json_t *history_row(const Mw__SnapHistory *h)
{
	json_t *left_out = json_array();
	json_t *row;

	for (size_t i = 0; i < h->n_left_out; i++)
		json_array_append_new(left_out, json_string(h->left_out[i]));
	row = json_pack("{s:s, s:I, s:I, s:s, s:s, s:s, s:o, s:s, s:I, s:I}",
			"change_id", h->id, "base_version",
			(json_int_t)h->base_version, "version",
			(json_int_t)h->version, "outcome",
			h->err ? err_info(h->err)->kind : "accepted",
			"operator", h->operator_name, "comment", h->comment,
			"left_out", left_out, "summary", h->summary, "edits",
			(json_int_t)h->edits, "time_ms", (json_int_t)h->now_ms);
	if (row && *h->winner)
		json_object_set_new(row, "winner", json_string(h->winner));
	if (row && *h->path)
		json_object_set_new(row, "path", json_string(h->path));
	if (row && *h->reason)
		json_object_set_new(row, "reason", json_string(h->reason));
	return row;
}

static void get_history(struct ctl *c, const Mw__AdminCall *call,
			admin_reply_fn fn, void *arg)
{
	const struct history *h = sm_history(c->sm);
	size_t n = history_count(h), limit = HISTORY_DEFAULT;
	json_t *list = json_array();

	if (!strncmp(call->query, "limit=", 6))
		limit = (size_t)g_ascii_strtoull(call->query + 6, NULL, 10);
	for (size_t i = n > limit ? n - limit : 0; i < n; i++)
		json_array_append_new(list, history_row(history_at(h, i)));
	answer_json(fn, arg, json_pack("{s:o}", "changes", list));
}

/* ---- hosts ---- */

static void on_host_removed(int err, const Mw__Result *r, void *ctx)
{
	struct pending_answer *pending = ctx;

	if (err == 0)
		err = r->err;
	if (err < 0)
		answer_error(pending->fn, pending->arg, err, NULL, NULL);
	else
		answer_json(pending->fn, pending->arg,
			    json_pack("{s:s}", "host", pending->name));
	pending_answer_free(pending);
}

static void post_host_remove(struct ctl *c, const Mw__AdminCall *call,
			     admin_reply_fn fn, void *arg)
{
	AUTO_JSON json_t *obj = json_loadb((const char *)call->body.data,
					   call->body.len, 0, NULL);
	const char *host = json_string_value(json_object_get(obj, "host"));
	const struct member_host *m =
		host ? member_find(sm_members(c->sm), host) : NULL;
	Mw__Command cmd = MW__COMMAND__INIT;
	Mw__HostGone gone = MW__HOST_GONE__INIT;

	if (!host) {
		answer_error(fn, arg, -MW_EINVAL, NULL, "host is missing");
		return;
	}
	if (!m) {
		answer_error(fn, arg, -MW_ENOTFOUND, NULL,
			     "The host is not registered.");
		return;
	}
	if (lease_may_be_held(c->leases, host, m->info->incarnation,
			      clock_mono_us())) {
		answer_refused(fn, arg, -MW_EINPROGRESS,
			       "The host still holds a lease.");
		return;
	}
	gone.host = (char *)host;
	gone.incarnation = m->info->incarnation;
	ctl_note_host_removal(c, &gone);
	cmd.body_case = MW__COMMAND__BODY_HOST_GONE;
	cmd.host_gone = &gone;
	ctl_propose(c, &cmd, on_host_removed,
		    pending_answer_new(c, fn, arg, host));
}

/* ---- voters ---- */

static json_t *voters_json(struct ctl *c)
{
	const struct rep_voters *vs = rep_voters(c->rep);
	json_t *list = json_array();

	for (uint32_t i = 0; i < vs->n; i++) {
		const struct rep_voter *v = &vs->v[i];
		struct peer *p = ctl_voter_peer(c, v->id);
		bool self = v->id == (uint32_t)c->conf->voter;
		const char *host = self ? c->conf->host
				   : p	? peer_hello(p)->host
					: "";
		const char *dc = self ? c->conf->dc
				 : p  ? peer_hello(p)->dc
				      : "";
		json_array_append_new(
			list,
			json_pack("{s:I, s:s, s:s, s:s, s:b, s:b}", "id",
				  (json_int_t)v->id, "host", host, "dc", dc,
				  "addr", v->addr, "learner", v->learner,
				  "waiting",
				  rep_member_change_waits(c->rep, v->id)));
	}
	return json_pack("{s:s, s:I, s:o}", "leader", ctl_leader_host(c),
			 "term", (json_int_t)rep_term(c->rep), "voters", list);
}

static void get_voters(struct ctl *c, const Mw__AdminCall *call,
		       admin_reply_fn fn, void *arg)
{
	(void)call;
	answer_json(fn, arg, voters_json(c));
}

/* Message for a change of the control group that is refused for now. */
static char *voter_refusal(struct ctl *c)
{
	const struct rep_voters *vs = rep_voters(c->rep);

	for (uint32_t i = 0; i < vs->n; i++)
		if (rep_member_change_waits(c->rep, vs->v[i].id))
			return g_strdup_printf(
				"Voter %u waits while another voter does not "
				"answer; remove that one first.",
				vs->v[i].id);
	return g_strdup("Another change of the control group is under way, or "
			"too few voters answer.");
}

static void post_voter(struct ctl *c, const Mw__AdminCall *call,
		       admin_reply_fn fn, void *arg, bool add)
{
	AUTO_JSON json_t *obj = json_loadb((const char *)call->body.data,
					   call->body.len, 0, NULL);
	json_t *idv = json_object_get(obj, "id");
	const char *addr = json_string_value(json_object_get(obj, "addr"));
	struct conf_addr parsed;

	if (!json_is_integer(idv) || json_integer_value(idv) < 1 ||
	    json_integer_value(idv) > UINT32_MAX ||
	    (add && (!addr || conf_parse_addr(addr, &parsed) < 0))) {
		answer_error(fn, arg, -MW_EINVAL, NULL,
			     "id above 0 and, to add, addr as ip:port are "
			     "needed");
		return;
	}
	uint32_t id = (uint32_t)json_integer_value(idv);
	bool present = rep_voter_find(rep_voters(c->rep), id) != NULL;
	int err = 0;
	if (add && !present) {
		peer_dial(c->peers, addr);
		err = rep_add_voter(c->rep, clock_mono_us(), id, addr);
	} else if (!add && present) {
		err = rep_remove_voter(c->rep, clock_mono_us(), id);
	}
	if (err == -MW_EAGAIN) {
		g_autofree char *why = voter_refusal(c);
		answer_refused(fn, arg, -MW_EINPROGRESS, why);
		return;
	}
	if (err < 0) {
		answer_error(fn, arg, err, NULL, NULL);
		return;
	}
	ctl_event(c, EV_KIND_VOTER, NULL, NULL, "%s voter %u",
		  add ? "add" : "remove", id);
	answer_json(fn, arg, voters_json(c));
}

static void post_voter_add(struct ctl *c, const Mw__AdminCall *call,
			   admin_reply_fn fn, void *arg)
{
	post_voter(c, call, fn, arg, true);
}

static void post_voter_remove(struct ctl *c, const Mw__AdminCall *call,
			      admin_reply_fn fn, void *arg)
{
	post_voter(c, call, fn, arg, false);
}

/* ---- orders ---- */

static void on_order_result(int err, const Mw__Result *r, void *ctx)
{
	struct pending_answer *pending = ctx;

	if (err == 0)
		err = r->err;
	if (err < 0) {
		answer_error(pending->fn, pending->arg, err, err ? r : NULL,
			     NULL);
	} else {
		const Mw__SnapOrder *o =
			order_find(sm_orders(pending->ctl->sm), pending->name);
		bool done = o && o->done;
		answer_json(pending->fn, pending->arg,
			    json_pack("{s:s, s:I, s:s, s:s}", "order_id",
				      pending->name, "fence",
				      (json_int_t)r->fence, "state",
				      done ? "done" : "open", "outcome",
				      !done    ? ""
				      : o->err ? err_info(o->err)->kind
					       : "ok"));
	}
	pending_answer_free(pending);
}

static char *member_string(json_t *obj, const char *key)
{
	const char *s = json_string_value(json_object_get(obj, key));

	return (char *)(s ? s : "");
}

static void post_order(struct ctl *c, const Mw__AdminCall *call,
		       admin_reply_fn fn, void *arg)
{
	AUTO_JSON json_t *obj = json_loadb((const char *)call->body.data,
					   call->body.len, 0, NULL);
	Mw__OrderIntent o = MW__ORDER_INTENT__INIT;

	o.order_id = member_string(obj, "order_id");
	o.endpoint = member_string(obj, "endpoint");
	o.order = member_string(obj, "order");
	o.model = member_string(obj, "model");
	o.adapter = member_string(obj, "adapter");
	o.version = member_string(obj, "version");
	o.role = member_string(obj, "role");
	if (!*o.order_id || !*o.endpoint || !*o.order) {
		answer_error(fn, arg, -MW_EINVAL, NULL,
			     "order_id, endpoint and order are needed");
		return;
	}
	ctl_order_submit(c, &o, on_order_result,
			 pending_answer_new(c, fn, arg, o.order_id));
}

/* ---- dispatch ---- */

static const struct {
	const char *path;
	bool leader_only;
	void (*fn)(struct ctl *c, const Mw__AdminCall *call, admin_reply_fn fn,
		   void *arg);
} admin_calls[] = {
	{"change", true, post_change},
	{"history", false, get_history},
	{"host/remove", true, post_host_remove},
	{"voters", true, get_voters},
	{"voter/add", true, post_voter_add},
	{"voter/remove", true, post_voter_remove},
	{"order", true, post_order},
	{"document/publish", true, ctl_document_post},
	{"document/read", true, ctl_document_get},
	{"document/version", true, ctl_document_get_version},
	{"evacuate", false, ctl_evacuate_post},
	{"evacuate/ticket", true, ctl_evacuate_ticket},
	{"evacuate/order", false, ctl_evacuate_order},
};

/* A request that the leader is to answer. */
struct forwarded_call {
	admin_reply_fn fn;
	void *arg;
};

static void on_leader_reply(int err, const Mw__Frame *reply, void *ctx)
{
	struct forwarded_call *p = ctx;

	if (err < 0 || reply->body_case != MW__FRAME__BODY_ADMIN_REPLY)
		answer_error(p->fn, p->arg, -MW_EUNKNOWN, NULL, NULL);
	else
		p->fn(p->arg, (int)reply->admin_reply->status,
		      (const char *)reply->admin_reply->json.data,
		      reply->admin_reply->json.len);
	g_free(p);
}

static void forward_to_leader(struct ctl *c, const Mw__AdminCall *call,
			      admin_reply_fn fn, void *arg)
{
	struct peer *leader = call->relayed ? NULL : ctl_leader_peer(c);
	Mw__AdminCall copy = *call;
	Mw__Frame f = MW__FRAME__INIT;
	struct forwarded_call *p = g_new(struct forwarded_call, 1);

	p->fn = fn;
	p->arg = arg;
	copy.relayed = true;
	f.body_case = MW__FRAME__BODY_ADMIN_CALL;
	f.admin_call = &copy;
	if (leader &&
	    peer_call(leader, &f, LEADER_TIMEOUT_MS, on_leader_reply, p) == 0)
		return;
	g_free(p);
	answer_error(fn, arg, -MW_ENOLEADER, NULL, NULL);
}

static void handle_call(void *ctx, const Mw__AdminCall *call, admin_reply_fn fn,
			void *arg)
{
	struct ctl *c = ctx;

	for (size_t i = 0; i < G_N_ELEMENTS(admin_calls); i++) {
		if (strcmp(admin_calls[i].path, call->path) != 0)
			continue;
		if (admin_calls[i].leader_only &&
		    !ctl_is_leader(c, clock_mono_us()))
			forward_to_leader(c, call, fn, arg);
		else
			admin_calls[i].fn(c, call, fn, arg);
		return;
	}
	answer_error(fn, arg, -MW_ENOTFOUND, NULL, NULL);
}

/* ---- requests forwarded by other processes ---- */

struct remote_caller {
	struct ctl *ctl;
	struct peer_rpc rpc;
};

static void reply_remote(void *arg, int status, const char *json, size_t len)
{
	struct remote_caller *r = arg;
	Mw__Frame f = MW__FRAME__INIT;
	Mw__AdminReply reply = MW__ADMIN_REPLY__INIT;

	reply.status = (uint32_t)status;
	reply.json.data = (uint8_t *)json;
	reply.json.len = len;
	f.body_case = MW__FRAME__BODY_ADMIN_REPLY;
	f.admin_reply = &reply;
	peer_reply(r->ctl->peers, r->rpc, &f);
	g_free(r);
}

void ctl_admin_call(struct ctl *c, const Mw__AdminCall *call, admin_reply_fn fn,
		    void *arg)
{
	handle_call(c, call, fn, arg);
}

void ctl_admin_handle_frame(struct ctl *c, struct peer *from,
			    const Mw__Frame *f)
{
	struct remote_caller *r = g_new(struct remote_caller, 1);

	r->ctl = c;
	r->rpc = peer_rpc(from, f);
	handle_call(c, f->admin_call, reply_remote, r);
}

/* ---- state of this process ---- */

static struct tree *local_tree(void *ctx)
{
	struct ctl *c = ctx;

	/* Before a voter has joined, it has only the built-in tree. */
	return rep_joined(c->rep) ? sm_tree(c->sm) : NULL;
}

static struct tree *local_tree_at(void *ctx, uint64_t version)
{
	struct ctl *c = ctx;
	struct tree *t = c->versions[version % CTL_VERSIONS_KEPT];

	return t && tree_version(t) == version ? t : NULL;
}

static json_t *processes_json(struct ctl *c)
{
	const struct members *m = sm_members(c->sm);
	json_t *list = json_array();

	admin_add_process(list, c->conf->host, c->conf->dc, "control",
			  c->conf->admin_listen);
	for (struct peer *p = peer_next(c->peers, NULL); p;
	     p = peer_next(c->peers, p)) {
		const Mw__Hello *h = peer_hello(p);
		admin_add_process(list, h->host, h->dc, h->role, h->admin_addr);
	}
	for (size_t i = 0; i < member_count(m); i++) {
		const Mw__HostInfo *h = member_at(m, i)->info;
		admin_add_process(list, h->host, h->dc, h->role, h->admin_addr);
	}
	return list;
}

static void local_status(void *ctx, json_t *out)
{
	struct ctl *c = ctx;
	int64_t now = clock_mono_us();
	bool contact = ctl_is_leader(c, now) || ctl_leader_peer(c);
	json_t *st = json_pack(
		"{s:s, s:s, s:s, s:I, s:s, s:s, s:I, s:I, s:I, s:s, s:s, s:I, "
		"s:I, s:I, s:I, s:o}",
		"host", c->conf->host, "dc", c->conf->dc, "role", "control",
		"incarnation", (json_int_t)c->incarnation, "admin_addr",
		c->conf->admin_listen, "state",
		contact ? "serving" : "starting", "version",
		(json_int_t)tree_version(sm_tree(c->sm)), "pending",
		(json_int_t)(c->change ? change_version(c->change) : 0),
		"lease_ms", (json_int_t)0, "hub", c->conf->host, "leader",
		ctl_leader_host(c), "term", (json_int_t)rep_term(c->rep),
		"open_requests", (json_int_t)0, "queued", (json_int_t)0,
		"log_index", (json_int_t)rep_last_index(c->rep), "processes",
		processes_json(c));

	json_object_update(out, st);
	json_decref(st);
	ctl_status_fill(c, out, now);
	json_object_set_new(
		out, "spill",
		json_pack("{s:I, s:I}", "lent_blocks",
			  (json_int_t)hub_spill_lent_blocks(c->hub, now),
			  "borrowed_blocks",
			  (json_int_t)hub_spill_borrowed_blocks(c->hub, now)));
}

static json_t *local_endpoints(void *ctx)
{
	struct ctl *c = ctx;

	return json_pack("{s:s, s:b, s:[]}", "dc", c->conf->dc, "fresh", 1,
			 "endpoints");
}

static size_t local_drain(void *ctx)
{
	struct ctl *c = ctx;

	ev_feed_signal_event(c->loop, SIGTERM);
	return 0;
}

static void local_metrics(void *ctx)
{
	struct ctl *c = ctx;

	counter_set(C_TREE_VERSION, NULL,
		    (int64_t)tree_version(sm_tree(c->sm)));
	counter_set(C_REP_TERM, NULL, (int64_t)rep_term(c->rep));
	counter_set(C_REP_COMMIT, NULL, (int64_t)rep_commit_index(c->rep));
	counter_set(C_SPILL_LENT, NULL,
		    (int64_t)hub_spill_lent_blocks(c->hub, clock_mono_us()));
	counter_set(
		C_SPILL_BORROWED, NULL,
		(int64_t)hub_spill_borrowed_blocks(c->hub, clock_mono_us()));
}

static const struct admin_ops ops = {
	.tree = local_tree,
	.tree_at = local_tree_at,
	.status = local_status,
	.endpoints = local_endpoints,
	.drain = local_drain,
	.forward = handle_call,
	.metrics = local_metrics,
};

int ctl_admin_start(struct ctl *c)
{
	struct httpd_config cfg = {.max_body = 1 << 20, .max_requests = 256};

	c->admin_api = (struct admin){.ops = &ops,
				      .ctx = c,
				      .host = c->conf->host,
				      .events = c->events};
	return httpd_new(c->loop, c->conf->admin_addr.ip,
			 c->conf->admin_addr.port, &cfg, admin_handle,
			 &c->admin_api, &c->admin);
}
