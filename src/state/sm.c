#include "state/sm.h"

#include <stdio.h>
#include <string.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/err.h"
#include "state/pb.h"
#include "state/sm_int.h"

#define SUMMARY_MAX_BYTES 256 /* of the edits, in a history entry */

struct sm *sm_new(void)
{
	struct sm *sm = g_new0(struct sm, 1);

	sm->tree = tree_new_initial();
	sm->history = history_new();
	sm->ledger = ledger_new();
	sm->members = members_new();
	sm->orders = orders_new();
	sm->crash = crash_new();
	sm->departures = departures_new();
	return sm;
}

void sm_free(struct sm *sm)
{
	if (!sm)
		return;
	tree_unref(sm->tree);
	history_free(sm->history);
	ledger_free(sm->ledger);
	members_free(sm->members);
	orders_free(sm->orders);
	crash_free(sm->crash);
	departures_free(sm->departures);
	g_free(sm);
}

static Mw__Result *result_new(int err)
{
	Mw__Result *r = calloc(1, sizeof(*r));

	if (!r)
		g_error("out of memory");
	mw__result__init(r);
	r->err = err;
	return r;
}

/* Outcome of a change whose id is in the history. */
static Mw__Result *recorded_outcome(const Mw__SnapHistory *e,
				    const Mw__Change *change)
{
	bool same = e->digest == history_change_digest(change);
	Mw__Result *r = result_new(same ? e->err : -MW_EKEYREUSED);

	r->version = e->version;
	r->resent = same;
	r->reason = pb_string(
		same ? e->reason : "the change id was used for another change");
	if (!same)
		return r;
	r->change_id = pb_string(e->winner);
	r->path = pb_string(e->path);
	return r;
}

/* Outcome of a change with a new id; next is its tree, NULL if refused. */
static Mw__Result *change_outcome(const struct sm *sm, const Mw__Change *change,
				  int rc, const struct tree *next,
				  const struct tree_err *err)
{
	Mw__Result *r = result_new(rc);
	const Mw__SnapHistory *winner;

	r->version = tree_version(next ? next : sm->tree);
	if (!rc)
		return r;
	r->path = pb_string(err->path);
	r->reason = pb_string(err->reason);
	if (rc != -MW_ECONFLICT || change->base_version > r->version)
		return r;
	r->version = change->base_version + 1;
	winner = history_find_accepted(sm->history, r->version);
	r->change_id = pb_string(winner ? winner->id : "");
	return r;
}

/* The first edits as "path:key, path:key, ...", for operators to read. */
static char *summarize_edits(const Mw__Change *change)
{
	AUTO_BUF struct buf b = BUF_INIT;

	for (size_t i = 0; i < change->n_edits; i++) {
		const Mw__Edit *e = change->edits[i];

		if (b.len + strlen(e->path) + strlen(e->key) >
		    SUMMARY_MAX_BYTES) {
			buf_addstr(&b, ", ...");
			break;
		}
		buf_addf(&b, "%s%s%s%s", i ? ", " : "", e->path,
			 *e->key ? ":" : "", e->key);
	}
	return pb_string(b.data);
}

static void record_change(struct sm *sm, const Mw__Change *change,
			  const Mw__Result *r)
{
	Mw__SnapHistory *e = calloc(1, sizeof(*e));

	if (!e)
		g_error("out of memory");
	mw__snap_history__init(e);
	e->id = pb_string(change->id);
	e->digest = history_change_digest(change);
	e->base_version = change->base_version;
	e->version = r->version;
	e->err = r->err;
	e->winner = pb_string(r->change_id);
	e->path = pb_string(r->path);
	e->reason = pb_string(r->reason);
	e->operator_name = pb_string(change->operator_name);
	e->comment = pb_string(change->comment);
	e->summary = summarize_edits(change);
	e->edits = (uint32_t)change->n_edits;
	e->now_ms = sm->now_ms;
	if (change->n_left_out) {
		e->left_out = calloc(change->n_left_out, sizeof(char *));
		if (!e->left_out)
			g_error("out of memory");
		e->n_left_out = change->n_left_out;
	}
	for (size_t i = 0; i < change->n_left_out; i++)
		e->left_out[i] = pb_string(change->left_out[i]);
	history_add(sm->history, e);
}

static Mw__Result *apply_change(struct sm *sm, const Mw__Change *change)
{
	const Mw__SnapHistory *recorded = history_find(sm->history, change->id);
	AUTO_TREE struct tree *next = NULL;
	struct tree_err err;
	Mw__Result *r;
	int rc;

	if (recorded)
		return recorded_outcome(recorded, change);
	rc = tree_apply(sm->tree, change, &next, &err);
	r = change_outcome(sm, change, rc, next, &err);
	/*
	 * -MW_EINVAL means that the id, the comment or the list of data centres
	 * is malformed; these may be of any size, so they are not recorded.
	 */
	if (rc != -MW_EINVAL)
		record_change(sm, change, r);
	if (!rc) {
		tree_unref(sm->tree);
		sm->tree = steal_ptr(&next);
	}
	return r;
}

Mw__Result *sm_check_change(const struct sm *sm, const Mw__Change *change)
{
	const Mw__SnapHistory *recorded = history_find(sm->history, change->id);
	struct tree_err err;
	int rc;

	if (recorded)
		return recorded_outcome(recorded, change);
	rc = tree_check_change(sm->tree, change, &err);
	return rc ? change_outcome(sm, change, rc, NULL, &err) : NULL;
}

static Mw__Result *ledger_result(struct ledger_answer a)
{
	Mw__Result *r = result_new(a.err);

	r->ledger_state = a.state;
	r->first = a.first;
	r->status = a.status;
	r->content_type = pb_string(a.content_type);
	r->body = pb_bytes(a.body, a.body_len);
	r->body_dropped = a.body_dropped;
	return r;
}

static Mw__Result *apply_register(struct sm *sm, const Mw__HostRegister *reg)
{
	uint64_t replaced;
	int err = member_register(sm->members, reg->info, &replaced);
	Mw__Result *r = result_new(err);

	if (replaced)
		ledger_host_gone(sm->ledger, sm->now_ms, reg->info->host,
				 replaced);
	r->member_version = member_version(sm->members);
	return r;
}

static Mw__Result *apply_host_gone(struct sm *sm, const Mw__HostGone *gone)
{
	int err = member_remove(sm->members, gone->host, gone->incarnation);
	Mw__Result *r = result_new(err);

	if (!err)
		ledger_host_gone(sm->ledger, sm->now_ms, gone->host,
				 gone->incarnation);
	r->member_version = member_version(sm->members);
	return r;
}

static Mw__Result *order_result(int err, const Mw__SnapOrder *order)
{
	Mw__Result *r = result_new(err);

	if (order) {
		r->fence = order->fence;
		r->order_err = order->err;
	}
	return r;
}

/* Time in ms that is the given number of seconds before now, at least 0. */
static uint64_t ms_before_now(const struct sm *sm, int64_t seconds)
{
	uint64_t ms = (uint64_t)seconds * 1000;

	return sm->now_ms > ms ? sm->now_ms - ms : 0;
}

static void expire_departures(struct sm *sm)
{
	if (sm->now_ms > DEPARTURE_KEEP_MS)
		departures_expire(sm->departures,
				  sm->now_ms - DEPARTURE_KEEP_MS);
}

static Mw__Result *apply_expire(struct sm *sm, const Mw__Expire *expire)
{
	const struct system_cfg *cfg = tree_system(sm->tree);
	uint64_t cutoff_ms = ms_before_now(sm, cfg->ledger_retention_s);

	if (expire->ledger_before_ms < cutoff_ms)
		cutoff_ms = expire->ledger_before_ms;
	ledger_expire(sm->ledger, cutoff_ms);
	crash_expire(sm->crash, ms_before_now(sm, cfg->crash_mark_ttl_s));
	expire_departures(sm);
	return result_new(0);
}

static Mw__Result *apply_departure(struct sm *sm, const Mw__EndpointInfo *info)
{
	expire_departures(sm);
	return result_new(departure_record(sm->departures, sm->now_ms, info));
}

static Mw__Result *apply_command(struct sm *sm, uint64_t fence,
				 const Mw__Command *c)
{
	const struct system_cfg *cfg = tree_system(sm->tree);
	const struct ledger_limits limits = {
		.keys_per_account = (size_t)cfg->ledger_max_keys_per_account,
		.keys = (size_t)cfg->ledger_max_keys,
		.body_bytes = (size_t)cfg->ledger_max_body_bytes,
	};
	const Mw__SnapOrder *order = NULL;
	Mw__Result *r;
	int err;

	switch (c->body_case) {
	case MW__COMMAND__BODY_CHANGE:
		return apply_change(sm, c->change);
	case MW__COMMAND__BODY_BEGIN:
		return ledger_result(ledger_begin(
			sm->ledger, sm->now_ms, &limits,
			member_is_registered(sm->members, c->begin->host,
					     c->begin->incarnation),
			c->begin));
	case MW__COMMAND__BODY_END:
		return ledger_result(
			ledger_end(sm->ledger, sm->now_ms, &limits, c->end));
	case MW__COMMAND__BODY_CLOSE:
		return ledger_result(ledger_close(sm->ledger, sm->now_ms,
						  &limits, c->close));
	case MW__COMMAND__BODY_HOST_REGISTER:
		return apply_register(sm, c->host_register);
	case MW__COMMAND__BODY_HOST_GONE:
		return apply_host_gone(sm, c->host_gone);
	case MW__COMMAND__BODY_ORDER_INTENT:
		err = order_record_intent(sm->orders, sm->now_ms, fence,
					  c->order_intent, &order);
		return order_result(err, order);
	case MW__COMMAND__BODY_ORDER_DONE:
		err = order_record_result(sm->orders, sm->now_ms, c->order_done,
					  &order);
		return order_result(err, order);
	case MW__COMMAND__BODY_CRASH_MARK:
		crash_expire(sm->crash,
			     ms_before_now(sm, cfg->crash_mark_ttl_s));
		r = result_new(
			crash_add_deaths(sm->crash, sm->now_ms, c->crash_mark));
		r->suspect_version = crash_version(sm->crash);
		return r;
	case MW__COMMAND__BODY_SUSPECT_CLEARED:
		r = result_new(crash_clear(sm->crash,
					   c->suspect_cleared->fingerprint,
					   c->suspect_cleared->force));
		r->suspect_version = crash_version(sm->crash);
		return r;
	case MW__COMMAND__BODY_EXPIRE:
		return apply_expire(sm, c->expire);
	case MW__COMMAND__BODY_DEPARTURE:
		return apply_departure(sm, c->departure);
	default:
		return result_new(-MW_EINVAL);
	}
}

Mw__Result *sm_apply(struct sm *sm, uint64_t term, uint64_t index,
		     const uint8_t *data, size_t len)
{
	Mw__Command *c;
	Mw__Result *r;

	if (index <= sm->index)
		return result_new(-MW_EINTERNAL);
	sm->index = index;
	sm->term = term;
	c = mw__command__unpack(NULL, len, data);
	if (!c)
		return result_new(-MW_EINVAL);
	if (c->now_ms > sm->now_ms)
		sm->now_ms = c->now_ms;
	r = apply_command(sm, order_fence(term, index), c);
	mw__command__free_unpacked(c, NULL);
	return r;
}

uint64_t sm_applied_index(const struct sm *sm)
{
	return sm->index;
}

uint64_t sm_now_ms(const struct sm *sm)
{
	return sm->now_ms;
}

struct tree *sm_tree(const struct sm *sm)
{
	return sm->tree;
}

const struct history *sm_history(const struct sm *sm)
{
	return sm->history;
}

const struct ledger *sm_ledger(const struct sm *sm)
{
	return sm->ledger;
}

const struct members *sm_members(const struct sm *sm)
{
	return sm->members;
}

const struct orders *sm_orders(const struct sm *sm)
{
	return sm->orders;
}

const struct crash_marks *sm_crash_marks(const struct sm *sm)
{
	return sm->crash;
}

const struct departures *sm_departures(const struct sm *sm)
{
	return sm->departures;
}
