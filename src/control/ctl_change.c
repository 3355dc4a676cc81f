#include "control/ctl.h"

#include <assert.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "control/ctl_evacuate.h"
#include "control/ctl_feed.h"

/*
 * Configuration changes on the leader, one at a time: prepared on the hosts and
 * then appended to the log under the rule in change.h.
 */

#define CHANGES_QUEUED_MAX 256

/* Interval at which unacknowledged prepares are sent again. */
#define PREPARE_RETRY_US (500 * USEC_PER_MSEC)

static Mw__Change *copy_change(const Mw__Change *msg)
{
	size_t len = mw__change__get_packed_size(msg);
	g_autofree uint8_t *bytes = g_malloc(len + 1);

	mw__change__pack(msg, bytes);
	return mw__change__unpack(NULL, len, bytes);
}

static void submission_free(struct ctl_change *sub)
{
	mw__change__free_unpacked(sub->msg, NULL);
	g_free(sub);
}

/* Reports the result to the submitter and frees the submission. */
static void reply_and_free(struct ctl_change *sub, int err, const Mw__Result *r)
{
	if (sub->fn)
		sub->fn(err, r, sub->ctx);
	submission_free(sub);
}

/*
 * Sends the edits, or the full tree to a host that may not have the base
 * version.  The edits come first because of their size: with 2,200 accounts the
 * tree is 250 KB, which would be sent to each host for each change.
 */
static void send_prepare(struct ctl *c, const struct member_host *h,
			 bool full_tree)
{
	Mw__Frame f = MW__FRAME__INIT;
	Mw__Prepare p = MW__PREPARE__INIT;
	size_t len;

	p.term = rep_term(c->rep);
	p.version = change_version(c->change);
	p.change_id = (char *)change_id(c->change);
	p.attempt = change_attempt(c->change);
	if (full_tree) {
		p.tree.data =
			(uint8_t *)tree_json(change_tree(c->change), &len);
		p.tree.len = len;
	} else {
		p.change = c->current->msg;
	}
	f.body_case = MW__FRAME__BODY_PREPARE;
	f.prepare = &p;
	ctl_send_host(c, h->info->host, &f);
}

static void for_each_entry_host(struct ctl *c,
				void (*fn)(struct ctl *c,
					   const struct member_host *h))
{
	const struct members *m = sm_members(c->sm);

	for (size_t i = 0; i < member_count(m); i++) {
		const struct member_host *h = member_at(m, i);
		if (member_weight2(m, h->info->dc, h->info->host))
			fn(c, h);
	}
}

static void prepare_host(struct ctl *c, const struct member_host *h)
{
	if (!change_leaves_out(c->change, h->info->dc))
		send_prepare(c, h, false);
}

static void prepare_host_if_unacked(struct ctl *c, const struct member_host *h)
{
	if (!change_leaves_out(c->change, h->info->dc) &&
	    !change_has_ack(c->change, h->info->host, h->info->incarnation))
		send_prepare(c, h, true);
}

static void send_activate(struct ctl *c, uint64_t version, const char *id,
			  uint64_t attempt, bool abort)
{
	const struct members *m = sm_members(c->sm);
	Mw__Frame f = MW__FRAME__INIT;
	Mw__Activate a = MW__ACTIVATE__INIT;

	a.term = rep_term(c->rep);
	a.version = version;
	a.change_id = (char *)id;
	a.attempt = attempt;
	a.abort = abort;
	f.body_case = MW__FRAME__BODY_ACTIVATE;
	f.activate = &a;
	for (size_t i = 0; i < member_count(m); i++) {
		const struct member_host *h = member_at(m, i);
		if (member_weight2(m, h->info->dc, h->info->host))
			ctl_send_host(c, h->info->host, &f);
	}
}

static void refuse_current(struct ctl *c, int err, const char *where,
			   const char *reason)
{
	struct ctl_change *sub = c->current;
	struct change *change = c->change;
	Mw__Result r = MW__RESULT__INIT;

	log_info("change", "refused %s: %s (%s %s)", change_id(c->change),
		 err_info(err)->kind, reason, where);
	ctl_event(c, EV_KIND_CHANGE_REFUSED, change_id(c->change), NULL,
		  "%s %s", reason, where);
	send_activate(c, change_version(c->change), change_id(c->change),
		      change_attempt(c->change), true);
	r.err = err;
	r.version = tree_version(sm_tree(c->sm));
	r.path = (char *)where;
	r.reason = (char *)reason;
	c->current = NULL;
	c->change = NULL;
	reply_and_free(sub, 0, &r);
	change_free(change); /* holds where and reason */
}

static void on_appended(int err, const Mw__Result *r, void *ctx)
{
	struct ctl *c = ctx;
	struct ctl_change *sub = c->current;

	c->current = NULL;
	change_free(c->change);
	c->change = NULL;
	c->change_appended = false;
	if (sub)
		reply_and_free(sub, err, r);
}

static void append_current(struct ctl *c)
{
	Mw__Command cmd = MW__COMMAND__INIT;

	c->change_appended = true;
	cmd.body_case = MW__COMMAND__BODY_CHANGE;
	cmd.change = c->current->msg;
	ctl_propose(c, &cmd, on_appended, c);
}

/* Reports a result that needed no preparation on the hosts. */
static void reply_refused(struct ctl *c, struct ctl_change *sub,
			  const Mw__Result *r)
{
	if (r->err < 0)
		ctl_event(c, EV_KIND_CHANGE_REFUSED, sub->msg->id, NULL,
			  "%s, %s %s", err_info(r->err)->kind, r->path,
			  r->reason);
	reply_and_free(sub, 0, r);
}

/*
 * Starts the preparation of the next queued change, or answers it at once if
 * sm_check_change() has a result for it or the tree does not accept it.
 */
static void start_next(struct ctl *c, int64_t now)
{
	struct ctl_change *sub =
		list_first(&c->changes, struct ctl_change, node);
	struct tree_err terr;
	struct tree *t;

	list_del(&sub->node);
	if (sub->not_after_us && now > sub->not_after_us) {
		reply_and_free(sub, -MW_EDEADLINE, NULL);
		return;
	}
	if (sub->blind)
		sub->msg->base_version = tree_version(sm_tree(c->sm));
	Mw__Result *result = sm_check_change(c->sm, sub->msg);
	if (result) {
		reply_refused(c, sub, result);
		mw__result__free_unpacked(result, NULL);
		return;
	}
	int err = tree_apply(sm_tree(c->sm), sub->msg, &t, &terr);
	if (err < 0) {
		Mw__Result r = MW__RESULT__INIT;
		r.err = err;
		r.path = terr.path;
		r.reason = terr.reason;
		r.version = tree_version(sm_tree(c->sm));
		reply_refused(c, sub, &r);
		return;
	}
	c->current = sub;
	c->change = change_new(sub->msg, t, rep_term(c->rep),
			       ++c->change_serial, now);
	tree_unref(t);
	ctl_event(c, EV_KIND_CHANGE_PROPOSED, sub->msg->id, NULL,
		  "from version %" G_GUINT64_FORMAT " by %s",
		  sub->msg->base_version, sub->msg->operator_name);
	c->last_prepare_us = now;
	for_each_entry_host(c, prepare_host);
}

static void decide_current(struct ctl *c, int64_t now)
{
	const char *where, *reason;

	if (!c->change || c->change_appended)
		return;
	switch (change_decide(c->change, c->leases, sm_members(c->sm), now)) {
	case CHANGE_WAIT:
		break;
	case CHANGE_COMMIT:
		append_current(c);
		break;
	case CHANGE_REFUSE: {
		int err = change_reason(c->change, &where, &reason);
		refuse_current(c, err, where, reason);
		break;
	}
	}
}

/*
 * Whether any entry host is registered.  Without one, no lease of a former
 * leader can be valid, so a new leader need not wait for their end: hosts that
 * only follow the tree hold no leases.
 */
static bool has_entry_hosts(struct ctl *c)
{
	const struct members *m = sm_members(c->sm);

	for (size_t i = 0; i < member_count(m); i++) {
		const Mw__HostInfo *info = member_at(m, i)->info;
		if (member_weight2(m, info->dc, info->host))
			return true;
	}
	return false;
}

/* Ends the queued changes that have not begun in time. */
static void drop_expired(struct ctl *c, int64_t now)
{
	struct ctl_change *sub, *tmp;

	list_for_each_entry_safe (sub, tmp, &c->changes, node) {
		if (!sub->not_after_us || now <= sub->not_after_us)
			continue;
		list_del(&sub->node);
		reply_and_free(sub, -MW_EDEADLINE, NULL);
		return; /* the callback may have changed the list */
	}
}

void ctl_change_tick(struct ctl *c, int64_t now)
{
	drop_expired(c, now);
	decide_current(c, now);
	if (c->change && !c->change_appended &&
	    now - c->last_prepare_us > PREPARE_RETRY_US) {
		c->last_prepare_us = now;
		for_each_entry_host(c, prepare_host_if_unacked);
	}
	while (!c->change && !list_empty(&c->changes) &&
	       (!has_entry_hosts(c) ||
		now >= lease_former_leases_end_us(c->leases))) {
		start_next(c, now);
		decide_current(c, now);
	}
}

static struct ctl_change *submission_new(const Mw__Change *msg,
					 ctl_result_fn fn, void *ctx)
{
	struct ctl_change *sub = g_new0(struct ctl_change, 1);

	sub->msg = copy_change(msg);
	sub->fn = fn;
	sub->ctx = ctx;
	return sub;
}

static void enqueue(struct ctl *c, struct ctl_change *sub)
{
	struct ctl_change *entry;
	size_t queued = 0;

	list_for_each_entry (entry, &c->changes, node)
		queued++;
	if (queued >= CHANGES_QUEUED_MAX) {
		reply_and_free(sub, -MW_EQUEUEFULL, NULL);
		return;
	}
	list_add_tail(&c->changes, &sub->node);
	ctl_change_tick(c, clock_mono_us());
}

void ctl_change_submit(struct ctl *c, const Mw__Change *msg, ctl_result_fn fn,
		       void *ctx)
{
	enqueue(c, submission_new(msg, fn, ctx));
}

void ctl_change_submit_blind(struct ctl *c, const Mw__Change *msg,
			     ctl_result_fn fn, void *ctx)
{
	struct ctl_change *sub = submission_new(msg, fn, ctx);

	sub->blind = true;
	enqueue(c, sub);
}

void ctl_change_submit_urgent(struct ctl *c, const Mw__Change *msg,
			      int64_t not_after_us, ctl_result_fn fn, void *ctx)
{
	struct ctl_change *sub = submission_new(msg, fn, ctx);

	sub->blind = true;
	sub->not_after_us = not_after_us;
	list_add(&c->changes, &sub->node);
	ctl_change_tick(c, clock_mono_us());
}

void ctl_change_ack(struct ctl *c, const Mw__PrepareAck *ack)
{
	if (!c->change || c->change_appended)
		return;
	change_record_ack(c->change, ack);
	/* Without a valid lease another process may be the leader already. */
	if (ctl_is_leader(c, clock_mono_us()))
		ctl_change_tick(c, clock_mono_us());
}

/*
 * Each version with another document holds that document twice, as a value and
 * in its JSON form, so the versions are bounded by their size, too.
 */
static void drop_large_versions(struct ctl *c)
{
	uint64_t newest = tree_version(sm_tree(c->sm));
	size_t bytes = 0, kept = 0;

	for (uint64_t age = 0; age < CTL_VERSIONS_KEPT; age++) {
		struct tree **slot =
			&c->versions[(newest - age) % CTL_VERSIONS_KEPT];
		size_t len = 0;

		if (*slot)
			tree_json(*slot, &len);
		bytes += len;
		if (age && bytes > CTL_VERSIONS_BYTES)
			g_clear_pointer(slot, tree_unref);
		else
			kept += len;
	}
	c->versions_bytes = kept;
}

void ctl_keep_version(struct ctl *c)
{
	struct tree *t = sm_tree(c->sm);
	struct tree **slot = &c->versions[tree_version(t) % CTL_VERSIONS_KEPT];

	if (*slot == t)
		return;
	tree_unref(*slot);
	*slot = tree_ref(t);
	drop_large_versions(c);
	ctl_evacuate_tree_changed(c);
}

void ctl_change_applied(struct ctl *c, const Mw__Change *msg,
			const Mw__Result *r)
{
	hub_set_tree_version(c->hub, tree_version(sm_tree(c->sm)));
	ctl_keep_version(c);
	if (r->err < 0)
		return;
	ctl_feed_tree_changed(c->feed);
	ctl_event(c, EV_KIND_CHANGE_ACCEPTED, msg->id, NULL,
		  "version %" G_GUINT64_FORMAT, r->version);
	if (!c->leading)
		return;
	/*
	 * Attempt 0 matches no prepared change: the hosts fetch a snapshot.
	 * It is used if a former leader prepared this change.
	 */
	bool is_current = c->change && !strcmp(change_id(c->change), msg->id);
	send_activate(c, r->version, msg->id,
		      is_current ? change_attempt(c->change) : 0, false);
	/* An operator may read the new version from any control process. */
	rep_broadcast_commit(c->rep, clock_mono_us());
}

void ctl_change_fail_all(struct ctl *c)
{
	struct ctl_change *sub, *tmp;

	/* A change that was appended is answered when its proposal ends. */
	if (c->current && !c->change_appended) {
		reply_and_free(c->current, -MW_ENOLEADER, NULL);
		c->current = NULL;
		change_free(c->change);
		c->change = NULL;
	}
	list_for_each_entry_safe (sub, tmp, &c->changes, node) {
		list_del(&sub->node);
		reply_and_free(sub, -MW_ENOLEADER, NULL);
	}
}
