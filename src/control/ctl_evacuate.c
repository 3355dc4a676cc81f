#include "control/ctl_evacuate.h"

#include <stdio.h>
#include <string.h>
#include <jansson.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "control/ctl_feed.h"
#include "obs/counter.h"
#include "obs/slog.h"

/* Calls that wait in one process; operators have only a few. */
#define CALLS_MAX 256

/* Interval at which a call that found no leader looks for one again. */
#define RETRY_INTERVAL_US (50 * USEC_PER_MSEC)

/*
 * Time for the answer to an order that the leader may have begun.  A commit
 * takes a few round trips of 24 ms; after this the outcome is unknown.
 */
#define OUTCOME_TIMEOUT_MS 2500

/* Bytes of a name in an order, as settings.schema has it. */
#define OPERATOR_MAX_BYTES 128

/* A call of an operator to this process.  One whose order on this process is
 * open stays after its answer, until the order ends. */
struct evacuation_call {
	struct list node;
	struct ctl *ctl;
	char dc[SCHEMA_NAME_MAX + 1];
	char operator_name[OPERATOR_MAX_BYTES + 1];
	bool begins;
	int64_t arrived_us;
	int64_t next_try_us;
	bool open;	      /* a call to the leader, or an order, is open */
	bool may_have_effect; /* an order was sent, and its outcome is lost */
	bool own_order;	      /* what is open is an order on this process */
	bool answered;	      /* only on_own_order() is still to come */
	admin_reply_fn fn;
	void *arg;
};

/* On the leader: an order that is queued or being committed. */
struct evacuation_order {
	struct list node;
	struct ctl *ctl;
	char dc[SCHEMA_NAME_MAX + 1];
	char operator_name[OPERATOR_MAX_BYTES + 1];
	bool begins;
	int64_t not_after_us;
	ctl_result_fn fn;
	void *ctx;
};

static void submit_next(struct ctl *c);

/* ---- the tree ---- */

static bool tree_says_evacuated(struct ctl *c, const char *dc)
{
	return tree_dc_settings(sm_tree(c->sm), dc)->evacuated;
}

struct dc_list {
	struct tree *tree;
	GPtrArray *names;
};

static void add_if_evacuated(const char *name, bool leaf, void *arg)
{
	struct dc_list *list = arg;

	(void)leaf;
	if (tree_dc(list->tree, name)->evacuated)
		g_ptr_array_add(list->names, (void *)name);
}

static void log_change(const char *dc, bool begins, void *ctx)
{
	struct ctl *c = ctx;
	const struct dc_cfg *cfg = tree_dc_settings(sm_tree(c->sm), dc);
	struct slog l = slog_begin("evacuation");

	slog_str(&l, "evacuated_dc", dc);
	slog_str(&l, "outcome", begins ? "begin" : "end");
	slog_str(&l, "operator", cfg->evacuated_by);
	slog_int(&l, "since_ms", cfg->evacuated_since_ms);
	slog_int(&l, "tree_version", (int64_t)c->evacuation.version);
	slog_int(&l, "open", ctl_feed_open_requests(c->feed, dc));
	slog_end(&l);
	counter_add(C_EVACUATIONS, begins ? "begin" : "end", 1);
	if (begins)
		ctl_event(c, EV_KIND_EVACUATION, NULL, NULL,
			  "%s is evacuated by order of %s", dc,
			  cfg->evacuated_by);
	else
		ctl_event(c, EV_KIND_EVACUATION, NULL, NULL,
			  "the evacuation of %s has ended", dc);
}

void ctl_evacuate_tree_changed(struct ctl *c)
{
	struct tree *t = sm_tree(c->sm);
	g_autoptr(GPtrArray) names = g_ptr_array_new();
	struct dc_list list = {.tree = t, .names = names};
	struct evacuation before = c->evacuation;

	tree_for_each(t, SCHEMA_DC, add_if_evacuated, &list);
	c->evacuation = (struct evacuation){0};
	evacuation_set(&c->evacuation, tree_version(t),
		       (const char *const *)names->pdata, names->len);
	/* Before the start is complete, the tree is read from the disk. */
	if (c->feed)
		evacuation_diff(&before, &c->evacuation, log_change, c);
	evacuation_release(&before);
}

/* ---- known data centres ---- */

/*
 * Data centres in the configuration, those that endpoints have announced, and
 * those of processes; an evacuated one stays known without any of them.
 */
static bool is_known_dc(struct ctl *c, const char *dc)
{
	const struct members *m = sm_members(c->sm);

	if (!schema_name_ok(dc, strlen(dc)))
		return false;
	if (!strcmp(c->conf->dc, dc) || conf_region(c->conf, dc) ||
	    evacuation_contains(&c->evacuation, dc) ||
	    ctl_feed_has_dc(c->feed, dc))
		return true;
	for (size_t i = 0; i < member_count(m); i++)
		if (!strcmp(member_at(m, i)->info->dc, dc))
			return true;
	for (struct peer *p = peer_next(c->peers, NULL); p;
	     p = peer_next(c->peers, p))
		if (!strcmp(peer_hello(p)->dc, dc))
			return true;
	return false;
}

/* ---- orders, on the leader ---- */

static void order_end(struct evacuation_order *o, int err, const Mw__Result *r)
{
	o->fn(err, r, o->ctx);
	g_free(o);
}

static void on_committed(int err, const Mw__Result *r, void *ctx)
{
	struct evacuation_order *o = ctx;
	struct ctl *c = o->ctl;

	c->evacuating = NULL;
	if (err == 0 && r->err == -MW_ECONFLICT && c->leading) {
		/* It applies to the new version, too: ctl_evacuate_tick(). */
		list_add(&c->evacuation_orders, &o->node);
		return;
	}
	order_end(o, err, r);
	submit_next(c);
}

static void edit_init(Mw__Edit *e, char *path, const char *key, char *value)
{
	mw__edit__init(e);
	e->path = path;
	e->key = (char *)key;
	e->value = value;
}

/* Submits the change that sets or ends the evacuation. */
static void submit_order(struct ctl *c, struct evacuation_order *o)
{
	char path[SCHEMA_NAME_MAX + 8], since[32], id[SCHEMA_NAME_MAX + 64];
	AUTO_JSON json_t *name = json_string(o->operator_name);
	AUTO_FREE char *by = json_dumps(name, JSON_ENCODE_ANY);
	Mw__Change change = MW__CHANGE__INIT;
	Mw__Edit edits[3], *list[3] = {&edits[0], &edits[1], &edits[2]};

	snprintf(path, sizeof(path), "dcs/%s", o->dc);
	snprintf(since, sizeof(since), "%" G_GINT64_FORMAT,
		 (gint64)(clock_wall_us() / USEC_PER_MSEC));
	snprintf(id, sizeof(id),
		 "evacuate-%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, o->dc,
		 rep_term(c->rep), rep_last_index(c->rep));
	edit_init(&edits[0], path, "evacuated",
		  (char *)(o->begins ? "true" : "false"));
	edit_init(&edits[1], path, "evacuated_by",
		  o->begins && by ? by : (char *)"");
	edit_init(&edits[2], path, "evacuated_since_ms",
		  o->begins ? since : (char *)"");
	change.id = id;
	change.edits = list;
	change.n_edits = 3;
	change.operator_name = o->operator_name;
	change.comment =
		(char *)(o->begins ? "evacuation" : "end of the evacuation");
	c->evacuating = o;
	ctl_change_submit_urgent(c, &change, o->not_after_us, on_committed, o);
}

/*
 * Handles the queued orders one after another, so that each sees the effect of
 * those before it.
 */
static void submit_next(struct ctl *c)
{
	while (!c->evacuating && !list_empty(&c->evacuation_orders)) {
		struct evacuation_order *o = list_first(
			&c->evacuation_orders, struct evacuation_order, node);
		int64_t now = clock_mono_us();
		Mw__Result unchanged = MW__RESULT__INIT;

		list_del(&o->node);
		if (now > o->not_after_us) {
			order_end(o, -MW_EDEADLINE, NULL);
		} else if (!ctl_is_leader(c, now)) {
			order_end(o, -MW_ENOTLEADER, NULL);
		} else if (tree_says_evacuated(c, o->dc) == o->begins) {
			unchanged.version = tree_version(sm_tree(c->sm));
			order_end(o, 0, &unchanged);
		} else {
			submit_order(c, o);
		}
	}
}

/* Ends queued orders in time also while the one before them does not end. */
static void drop_expired(struct ctl *c, int64_t now)
{
	struct evacuation_order *o, *tmp;

	list_for_each_entry_safe (o, tmp, &c->evacuation_orders, node) {
		if (now <= o->not_after_us)
			continue;
		list_del(&o->node);
		order_end(o, -MW_EDEADLINE, NULL);
	}
}

static void order_submit(struct ctl *c, const char *dc, bool begins,
			 const char *operator_name, int64_t not_after_us,
			 ctl_result_fn fn, void *ctx)
{
	struct evacuation_order *o = g_new0(struct evacuation_order, 1);

	o->ctl = c;
	g_strlcpy(o->dc, dc, sizeof(o->dc));
	g_strlcpy(o->operator_name, operator_name, sizeof(o->operator_name));
	o->begins = begins;
	o->not_after_us = not_after_us;
	o->fn = fn;
	o->ctx = ctx;
	list_add_tail(&c->evacuation_orders, &o->node);
	submit_next(c);
}

void ctl_evacuate_fail_all(struct ctl *c)
{
	struct evacuation_order *o, *tmp;

	/* The one that is being committed ends with its change. */
	list_for_each_entry_safe (o, tmp, &c->evacuation_orders, node) {
		list_del(&o->node);
		order_end(o, -MW_ENOTLEADER, NULL);
	}
}

/* ---- calls of operators ---- */

static void call_log(const struct evacuation_call *call, const char *outcome,
		     int64_t now)
{
	struct slog l = slog_begin("evacuation_order");

	slog_str(&l, "evacuated_dc", call->dc);
	slog_str(&l, "order", call->begins ? "begin" : "end");
	slog_str(&l, "operator", call->operator_name);
	slog_str(&l, "outcome", outcome);
	slog_int(&l, "age_us", now - call->arrived_us);
	slog_end(&l);
}

static void call_free(struct evacuation_call *call)
{
	list_del(&call->node);
	g_free(call);
}

/* err is 0, or a negative error number; then detail may explain it. */
static void call_answer(struct evacuation_call *call, int err,
			const char *detail)
{
	int status = 200;
	AUTO_JSON json_t *done = json_pack("{s:s, s:b}", "dc", call->dc,
					   "evacuated", call->begins);
	AUTO_FREE char *json =
		err < 0 ? admin_error_json(err, NULL, detail, &status)
			: json_dumps(done, JSON_COMPACT);

	call_log(call, err < 0 ? err_info(err)->kind : "committed",
		 clock_mono_us());
	call->answered = true;
	call->fn(call->arg, status, json, strlen(json));
}

static void call_end(struct evacuation_call *call, int err, const char *detail)
{
	call_answer(call, err, detail);
	call_free(call);
}

static void call_end_unknown_dc(struct evacuation_call *call)
{
	g_autofree char *detail =
		g_strdup_printf("The data centre %s is not known.", call->dc);

	call_end(call, -MW_ENOTFOUND, detail);
}

/* The leader has certainly not begun the order: it is tried again in time. */
static void call_retry(struct evacuation_call *call, int64_t now)
{
	call->open = false;
	call->next_try_us = now + RETRY_INTERVAL_US;
}

/* The leader may have begun it; as it is idempotent it is tried again, too. */
static void call_retry_lost(struct evacuation_call *call, int64_t now)
{
	call->may_have_effect = true;
	call_retry(call, now);
}

/* Logs the outcome of an order whose operator has its answer already. */
static void log_late_outcome(const struct evacuation_call *call, int err,
			     const Mw__Result *r, int64_t now)
{
	const char *outcome = "lost";

	if (err == -MW_EUNKNOWN) /* the next leader may still commit it */
		outcome = err_info(err)->kind;
	else if (err == 0 && r->err == 0)
		outcome = "late";
	call_log(call, outcome, now);
}

/* The outcome of an order on this process, which leads. */
static void on_own_order(int err, const Mw__Result *r, void *ctx)
{
	struct evacuation_call *call = ctx;
	int64_t now = clock_mono_us();

	call->own_order = false;
	if (call->answered) {
		log_late_outcome(call, err, r, now);
		call_free(call);
		return;
	}
	if (err == -MW_ENOTLEADER || err == -MW_EDEADLINE ||
	    err == -MW_ENOLEADER)
		call_retry(call, now);
	else if (err < 0)
		call_retry_lost(call, now);
	else
		call_end(call, r->err, r->err < 0 ? r->reason : NULL);
}

static void on_order_reply(int err, const Mw__Frame *reply, void *ctx)
{
	struct evacuation_call *call = ctx;
	int64_t now = clock_mono_us();

	if (err < 0 || reply->body_case != MW__FRAME__BODY_ADMIN_REPLY) {
		call_retry_lost(call, now);
		return;
	}
	const Mw__AdminReply *answer = reply->admin_reply;
	AUTO_JSON json_t *obj = json_loadb((const char *)answer->json.data,
					   answer->json.len, 0, NULL);
	json_t *error = json_object_get(obj, "error");

	if (answer->status == 200)
		call_end(call, 0, NULL);
	else if (answer->status == 404)
		call_end_unknown_dc(call);
	else if (json_is_true(json_object_get(error, "not_run")))
		call_retry(call, now);
	else
		call_retry_lost(call, now);
}

static int call_leader(struct evacuation_call *call, const char *path,
		       const char *query, int timeout_ms, peer_reply_fn fn)
{
	struct peer *leader = ctl_leader_peer(call->ctl);
	Mw__Frame f = MW__FRAME__INIT;
	Mw__AdminCall msg = MW__ADMIN_CALL__INIT;

	msg.path = (char *)path;
	msg.query = (char *)query;
	msg.operator_name = call->operator_name;
	msg.relayed = true;
	f.body_case = MW__FRAME__BODY_ADMIN_CALL;
	f.admin_call = &msg;
	return leader ? peer_call(leader, &f, timeout_ms, fn, call)
		      : -MW_ENOLEADER;
}

static void on_ticket(int err, const Mw__Frame *reply, void *ctx)
{
	struct evacuation_call *call = ctx;
	struct ctl *c = call->ctl;
	int64_t now = clock_mono_us(), used_us = now - call->arrived_us;

	if (err < 0 || reply->body_case != MW__FRAME__BODY_ADMIN_REPLY ||
	    reply->admin_reply->status != 200 ||
	    used_us > EVACUATION_WAIT_MAX_US) {
		call_retry(call, now);
		return;
	}
	/* The query is "DC begin|end TERM TICKET USED KNOWN". */
	g_autofree char *ticket =
		g_strndup((const char *)reply->admin_reply->json.data,
			  reply->admin_reply->json.len);
	g_autofree char *query =
		g_strdup_printf("%s %s %s %" G_GINT64_FORMAT " %d", call->dc,
				call->begins ? "begin" : "end", ticket,
				(gint64)used_us, is_known_dc(c, call->dc));
	if (call_leader(call, "evacuate/order", query, OUTCOME_TIMEOUT_MS,
			on_order_reply) < 0)
		call_retry(call, now);
}

/* Begins the order if this process leads, or asks the leader for its time. */
static void call_try(struct evacuation_call *call, int64_t now)
{
	struct ctl *c = call->ctl;
	int64_t left_us = call->arrived_us + EVACUATION_WAIT_MAX_US - now;

	if (ctl_is_leader(c, now)) {
		if (!is_known_dc(c, call->dc)) {
			call_end_unknown_dc(call);
			return;
		}
		call->open = call->own_order = true;
		order_submit(c, call->dc, call->begins, call->operator_name,
			     call->arrived_us + EVACUATION_WAIT_MAX_US,
			     on_own_order, call);
		return;
	}
	call->next_try_us = now + RETRY_INTERVAL_US;
	call->open =
		call_leader(call, "evacuate/ticket", "",
			    (int)(left_us / USEC_PER_MSEC) + 1, on_ticket) == 0;
}

void ctl_evacuate_tick(struct ctl *c, int64_t now)
{
	struct evacuation_call *call, *tmp;

	drop_expired(c, now);
	submit_next(c);
	list_for_each_entry_safe (call, tmp, &c->evacuation_calls, node) {
		bool late = now - call->arrived_us > EVACUATION_WAIT_MAX_US;

		/* A commit may take as long as the disks of a majority. */
		if (late && call->own_order && !call->answered)
			call_answer(call, -MW_EUNKNOWN, NULL);
		if (call->open)
			continue;
		if (late)
			call_end(call,
				 call->may_have_effect ? -MW_EUNKNOWN
						       : -MW_EDEADLINE,
				 call->may_have_effect
					 ? NULL
					 : "No leader took the order in time.");
		else if (now >= call->next_try_us)
			call_try(call, now);
	}
}

void ctl_evacuate_post(struct ctl *c, const Mw__AdminCall *msg,
		       admin_reply_fn fn, void *arg)
{
	AUTO_JSON json_t *obj = json_loadb((const char *)msg->body.data,
					   msg->body.len, 0, NULL);
	const char *dc = json_string_value(json_object_get(obj, "dc"));
	json_t *end = json_object_get(obj, "end");
	struct evacuation_call *call, *other;
	size_t waiting = 0;
	int err = 0;

	list_for_each_entry (other, &c->evacuation_calls, node)
		waiting++;
	if (!dc || (end && !json_is_boolean(end)))
		err = -MW_EINVAL;
	else if (!schema_name_ok(dc, strlen(dc)))
		err = -MW_ENOTFOUND;
	else if (waiting >= CALLS_MAX)
		err = -MW_EQUEUEFULL;
	if (err < 0) {
		int status;
		AUTO_FREE char *json =
			admin_error_json(err, NULL, NULL, &status);
		fn(arg, status, json, strlen(json));
		return;
	}
	call = g_new0(struct evacuation_call, 1);
	call->ctl = c;
	g_strlcpy(call->dc, dc, sizeof(call->dc));
	g_strlcpy(call->operator_name, msg->operator_name,
		  sizeof(call->operator_name));
	call->begins = !json_is_true(end);
	call->arrived_us = clock_mono_us();
	call->fn = fn;
	call->arg = arg;
	list_add_tail(&c->evacuation_calls, &call->node);
	call_try(call, call->arrived_us);
}

void ctl_evacuate_stop(struct ctl *c)
{
	struct evacuation_call *call, *tmp;

	list_for_each_entry_safe (call, tmp, &c->evacuation_calls, node) {
		if (!call->answered)
			call_answer(call, -MW_EUNKNOWN, NULL);
		call_free(call);
	}
	evacuation_release(&c->evacuation);
}

/* ---- calls of other processes ---- */

/* An order of another process that is being committed. */
struct remote_order {
	admin_reply_fn fn;
	void *arg;
};

static void reply_error(admin_reply_fn fn, void *arg, int err)
{
	int status;
	AUTO_FREE char *json = admin_error_json(err, NULL, NULL, &status);

	fn(arg, status, json, strlen(json));
}

/* The answer is "TERM TICKET", the ticket being the time of this process. */
void ctl_evacuate_ticket(struct ctl *c, const Mw__AdminCall *call,
			 admin_reply_fn fn, void *arg)
{
	g_autofree char *ticket =
		g_strdup_printf("%" G_GUINT64_FORMAT " %" G_GINT64_FORMAT,
				rep_term(c->rep), (gint64)clock_mono_us());

	(void)call;
	fn(arg, 200, ticket, strlen(ticket));
}

static void on_remote_order(int err, const Mw__Result *r, void *ctx)
{
	struct remote_order *order = ctx;

	if (err == -MW_ENOTLEADER || err == -MW_ENOLEADER)
		err = -MW_EDEADLINE; /* it certainly had no effect */
	if (err == 0)
		err = r->err;
	if (err < 0)
		reply_error(order->fn, order->arg, err);
	else
		order->fn(order->arg, 200, "{}", 2);
	g_free(order);
}

void ctl_evacuate_order(struct ctl *c, const Mw__AdminCall *call,
			admin_reply_fn fn, void *arg)
{
	g_auto(GStrv) part = g_strsplit(call->query, " ", 6);
	int64_t now = clock_mono_us();

	if (g_strv_length(part) != 6) {
		reply_error(fn, arg, -MW_EINVAL);
		return;
	}
	int64_t left_us = evacuation_time_left_us(
		g_ascii_strtoll(part[4], NULL, 10),
		g_ascii_strtoll(part[3], NULL, 10), now);
	bool known = !strcmp(part[5], "1") || is_known_dc(c, part[0]);
	if (!left_us || !ctl_is_leader(c, now) ||
	    g_ascii_strtoull(part[2], NULL, 10) != rep_term(c->rep)) {
		reply_error(fn, arg, -MW_EDEADLINE);
		return;
	}
	if (!known || !schema_name_ok(part[0], strlen(part[0]))) {
		reply_error(fn, arg, -MW_ENOTFOUND);
		return;
	}
	struct remote_order *order = g_new(struct remote_order, 1);
	order->fn = fn;
	order->arg = arg;
	order_submit(c, part[0], !strcmp(part[1], "begin"), call->operator_name,
		     now + left_us, on_remote_order, order);
}

/* ---- status ---- */

json_t *ctl_evacuate_status(struct ctl *c)
{
	json_t *list = json_array();
	struct tree *t = sm_tree(c->sm);

	for (char **dc = c->evacuation.dcs; dc && *dc; dc++) {
		const struct dc_cfg *cfg = tree_dc(t, *dc);

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:I, s:I}", "dc", *dc, "operator",
				  cfg->evacuated_by, "since_ms",
				  (json_int_t)cfg->evacuated_since_ms,
				  "open_requests",
				  (json_int_t)ctl_feed_open_requests(c->feed,
								     *dc)));
	}
	return list;
}
