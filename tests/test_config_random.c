/*
 * Randomised test of the agreement on configuration changes.  The modules under
 * src run unchanged; this file drives them as ctl_lease.c, ctl_change.c,
 * session.c and ctl.c do.  The log is a reliable list of committed entries
 * (test_rep_random tests the real one); control processes learn of commits by
 * heartbeats of the leader.
 *
 * Checks, by the letters of their messages:
 *   a  5 s after a change is accepted, no host admits requests that the change
 *      affects under older settings, unless the change left out the host's data
 *      centre and the host has not received it
 *   b  hosts admit requests only under accepted versions
 *   c  a host's version in force does not go back; after a restart the host
 *      does not admit requests that the older version treats otherwise
 *   d  a change that is reported as accepted is, under a version of its own
 *   e  a change is accepted once, and no two from one base version
 *   f  a resent change gets the same version; one that was refused stays so
 *   g  after the faults all hosts have leases and changes are accepted; a data
 *      centre that is cut off serves as an island
 *   h  at the append of a change, hosts that count as acknowledged hold it and
 *      other hosts have no lease
 *   i  no two hubs of a data centre count a majority (config_hubs.h)
 *
 * MW_SEED: first seed, MW_SEEDS: number, MW_SECONDS: length of the faults of
 * each, MW_VERBOSE: print the trace.  A failing run prints its seed.
 */
#include "config_sim.h"

#define LEADER_LEASE_US (1500 * MSEC)
#define ROUTE "chat"

/* ---- operators ---- */

struct op {
	char id[32];
	Mw__Change *msg;
	bool accepted;
	uint64_t version;
};

static GPtrArray *ops;
static int n_accepted, n_refused, n_island, n_deregistered;

static void op_answer(struct op *o, int err, const Mw__Result *r)
{
	const struct accepted *a;

	if (err == 0 && r)
		err = r->err;
	trace("answer %s err %d", o->id, err);
	if (err == 0) {
		a = accepted_at(r->version);
		if (!a || !a->tree || strcmp(a->id, o->id) != 0)
			violated("(d) %s was answered as accepted, but is not",
				 o->id);
		if (o->accepted && o->version != r->version)
			violated("(f) resend of %s got another version", o->id);
		o->accepted = true;
		o->version = r->version;
		n_accepted++;
		return;
	}
	if (err == -MW_ENOLEADER || err == -MW_EUNKNOWN)
		return;
	n_refused++;
	for (guint v = 0; v < accepted->len; v++)
		if (!strcmp(accepted_at(v)->id, o->id))
			violated("(f) %s is accepted and was refused with %d",
				 o->id, err);
}

/* ---- control processes ---- */

struct proposal {
	uint64_t id, term;
	int from;
	uint8_t *data;
	size_t len;
	enum { ON_NONE, ON_CHANGE, ON_REGISTER } on;
	/* For ON_REGISTER: the renewal to answer. */
	int requester;
	uint64_t call;
	Mw__Renew *renew;
	bool adding; /* the host was not registered before */
};

struct control {
	struct hub *hub;
	uint64_t hub_member_version, reported_member_version;
	bool cold; /* restarted, has not received the commit index yet */
	struct sm *sm;
	guint applied;
	uint64_t term;
	int leader; /* node it follows, -1: none */
	int64_t leader_heartbeat_us;
	int64_t lease_until; /* end of the leader lease, real time */
	/* The leader lease is not extended before this real time. */
	int64_t lease_frozen_until;
	bool leading;
	uint64_t serial;
	struct lease_table *leases;
	struct change *change;
	struct op *current;
	bool appended;
	GQueue waiting; /* struct op */
	int64_t last_prepare_us, last_dead_host_check_us, last_heartbeat_us;
	GHashTable *pending_proposals; /* log index to struct proposal */
};

static struct control ctls[CONTROLS_MAX];
static GPtrArray *proposals;	  /* not yet committed, in order */
static GHashTable *relayed_calls; /* call id to struct relayed_call */
static uint64_t next_call, next_proposal, sim_term;
static int sim_leader;

/* A renewal that a control process relays to the leader. */
struct relayed_call {
	int host;
	uint64_t call;
};

static bool is_leader(const struct control *c)
{
	return c->leading && sim_now < c->lease_until;
}

static int control_of_dc(const char *dc)
{
	for (int i = 0; i < n_controls; i++)
		if (!strcmp(nodes[i].dc, dc))
			return i;
	return 0;
}

static int node_by_name(const char *name)
{
	for (int i = 0; i < node_count(); i++)
		if (!strcmp(nodes[i].name, name))
			return i;
	return -1;
}

static void proposal_free(struct proposal *p)
{
	if (p->renew)
		mw__renew__free_unpacked(p->renew, NULL);
	g_free(p->data);
	g_free(p);
}

static void propose(int n, Mw__Command *cmd, struct proposal *p)
{
	cmd->now_ms = (uint64_t)(sim_now / MSEC) + 1;
	p->len = mw__command__get_packed_size(cmd);
	p->data = g_malloc(p->len + 1);
	mw__command__pack(cmd, p->data);
	p->id = ++next_proposal;
	p->term = ctls[n].term;
	p->from = n;
	g_ptr_array_add(proposals, p);
	ev_push((struct ev){.t = sim_now + random_between(2 * MSEC, 60 * MSEC),
			    .kind = EV_COMMIT,
			    .arg = p->id});
}

static void reply_grant(int n, int to, uint64_t call, const Mw__Grant *g)
{
	Mw__Frame f = MW__FRAME__INIT;

	f.body_case = MW__FRAME__BODY_GRANT;
	f.grant = (Mw__Grant *)g;
	send_frame(n, to, &f, call, true);
}

static void reply_error(int n, int to, uint64_t call, int err)
{
	Mw__Grant g = MW__GRANT__INIT;

	g.err = err;
	g.term = ctls[n].term;
	reply_grant(n, to, call, &g);
}

/* Answers a renewal; only a granted one gets the hosts of the data centre. */
static void answer_renewal(int n, int to, uint64_t call, const Mw__Renew *r,
			   int err)
{
	struct control *c = &ctls[n];
	const struct members *m = sm_members(c->sm);
	const char *anchor = member_anchor(m, r->dc);
	Mw__HostInfo *infos[HOSTS_MAX];
	Mw__Grant g = MW__GRANT__INIT;

	g.err = err;
	g.term = c->term;
	g.lease_ms = (uint32_t)(LEASE_DURATION_US / MSEC);
	g.version = tree_version(sm_tree(c->sm));
	if (c->change) {
		g.pending = change_version(c->change);
		g.pending_id = (char *)change_id(c->change);
		g.pending_attempt = change_attempt(c->change);
	}
	if (err == 0) {
		g.member_version = member_version(m);
		g.anchor = (char *)(anchor ? anchor : "");
		g.hosts = infos;
		for (size_t i = 0; i < member_count(m) &&
				   r->member_version < g.member_version;
		     i++)
			if (!strcmp(member_at(m, i)->info->dc, r->dc))
				infos[g.n_hosts++] = member_at(m, i)->info;
	}
	reply_grant(n, to, call, &g);
}

static int renew_lease(int n, const Mw__Renew *r)
{
	struct control *c = &ctls[n];
	struct lease_requirements s = {
		.members = sm_members(c->sm),
		.version = tree_version(sm_tree(c->sm)),
		.pending = c->change ? change_version(c->change) : 0,
		.pending_attempt = c->change ? change_attempt(c->change) : 0,
	};

	return lease_renew(c->leases, local(n), r, "", &s);
}

static void register_host(int n, int from, uint64_t call, Mw__Renew *r)
{
	struct control *c = &ctls[n];
	const struct members *m = sm_members(c->sm);
	Mw__Command cmd = MW__COMMAND__INIT;
	Mw__HostRegister reg = MW__HOST_REGISTER__INIT;
	Mw__HostInfo info = MW__HOST_INFO__INIT;
	struct proposal *p;

	if (!lease_may_register(c->leases, m, r, c->change != NULL, local(n))) {
		reply_error(n, from, call, -MW_EAGAIN);
		return;
	}
	p = g_new0(struct proposal, 1);
	if (!member_find(m, r->host)) {
		p->adding = true;
		lease_host_add_begin(c->leases, m, r->dc);
	}
	info.host = r->host;
	info.dc = r->dc;
	info.role = "entry";
	info.incarnation = r->incarnation;
	reg.info = &info;
	cmd.body_case = MW__COMMAND__BODY_HOST_REGISTER;
	cmd.host_register = &reg;
	p->on = ON_REGISTER;
	p->requester = from;
	p->call = call;
	size_t len = mw__renew__get_packed_size(r);
	g_autofree uint8_t *bytes = g_malloc(len + 1);
	mw__renew__pack(r, bytes);
	p->renew = mw__renew__unpack(NULL, len, bytes);
	propose(n, &cmd, p);
}

static void handle_renewal(int n, const struct ev *e, const Mw__Frame *f)
{
	struct control *c = &ctls[n];

	if (is_leader(c)) {
		int err = renew_lease(n, f->renew);
		if (err < 0)
			trace("%s/%" PRIu64 " renews: %d", f->renew->host,
			      f->renew->incarnation, err);
		if (err == -MW_ENOTFOUND)
			register_host(n, e->from, e->call, f->renew);
		else
			answer_renewal(n, e->from, e->call, f->renew, err);
	} else if (e->from < n_controls || c->leading || c->leader < 0) {
		reply_error(n, e->from, e->call, -MW_ENOLEADER);
	} else {
		struct relayed_call *r = g_new(struct relayed_call, 1);
		*r = (struct relayed_call){e->from, e->call};
		g_hash_table_insert(relayed_calls,
				    GSIZE_TO_POINTER(++next_call), r);
		send_frame(n, c->leader, f, next_call, false);
	}
}

/* ---- changes ---- */

static void check_append(const struct control *c);

static void send_host(int n, const char *host, Mw__Frame *f)
{
	int to = node_by_name(host), hub = control_of_dc(nodes[to].dc);

	if (hub == n || (linked(n, to) && !chance(0.1))) {
		send_frame(n, to, f, 0, false);
	} else {
		f->target = (char *)host;
		send_frame(n, hub, f, 0, false);
		f->target = (char *)protobuf_c_empty_string;
	}
}

/*
 * Sends the change to the hosts that have not acknowledged it: first its edits,
 * on repeats the full tree.
 */
static void send_prepares(int n, bool full_tree)
{
	struct control *c = &ctls[n];
	const struct members *m = sm_members(c->sm);
	Mw__Frame f = MW__FRAME__INIT;
	Mw__Prepare p = MW__PREPARE__INIT;

	c->last_prepare_us = local(n);
	p.term = c->term;
	p.version = change_version(c->change);
	p.change_id = (char *)change_id(c->change);
	p.attempt = change_attempt(c->change);
	if (full_tree)
		p.tree.data = (uint8_t *)tree_json(change_tree(c->change),
						   &p.tree.len);
	else
		p.change = c->current->msg;
	f.body_case = MW__FRAME__BODY_PREPARE;
	f.prepare = &p;
	for (size_t i = 0; i < member_count(m); i++) {
		const Mw__HostInfo *h = member_at(m, i)->info;
		if (!change_leaves_out(c->change, h->dc) &&
		    !change_has_ack(c->change, h->host, h->incarnation))
			send_host(n, h->host, &f);
	}
}

static void send_activate(int n, uint64_t version, const char *id,
			  uint64_t attempt, bool abort)
{
	const struct members *m = sm_members(ctls[n].sm);
	Mw__Frame f = MW__FRAME__INIT;
	Mw__Activate a = MW__ACTIVATE__INIT;

	a.term = ctls[n].term;
	a.version = version;
	a.change_id = (char *)id;
	a.attempt = attempt;
	a.abort = abort;
	f.body_case = MW__FRAME__BODY_ACTIVATE;
	f.activate = &a;
	for (size_t i = 0; i < member_count(m); i++)
		send_host(n, member_at(m, i)->info->host, &f);
}

static void finish_change(struct control *c, int err, const Mw__Result *r)
{
	struct op *o = c->current;

	c->current = NULL;
	c->appended = false;
	change_free(c->change);
	c->change = NULL;
	if (o)
		op_answer(o, err, r);
}

static void decide_change(int n)
{
	struct control *c = &ctls[n];
	Mw__Command cmd = MW__COMMAND__INIT;
	Mw__Result r = MW__RESULT__INIT;
	const char *where, *reason;
	struct proposal *p;

	if (!c->change || c->appended)
		return;
	switch (change_decide(c->change, c->leases, sm_members(c->sm),
			      local(n))) {
	case CHANGE_WAIT:
		break;
	case CHANGE_COMMIT:
		c->appended = true;
		cmd.body_case = MW__COMMAND__BODY_CHANGE;
		cmd.change = c->current->msg;
		p = g_new0(struct proposal, 1);
		p->on = ON_CHANGE;
		trace("append %s", c->current->id);
		check_append(c);
		propose(n, &cmd, p);
		break;
	case CHANGE_REFUSE:
		r.err = change_reason(c->change, &where, &reason);
		trace("refuse %s: %s %s", c->current->id, where, reason);
		send_activate(n, change_version(c->change),
			      change_id(c->change), change_attempt(c->change),
			      true);
		finish_change(c, 0, &r);
		break;
	}
}

static void start_next(int n)
{
	struct control *c = &ctls[n];
	struct op *o = g_queue_pop_head(&c->waiting);
	struct tree_err terr;
	struct tree *t;
	Mw__Result *result = sm_check_change(c->sm, o->msg);

	if (result) {
		op_answer(o, 0, result);
		mw__result__free_unpacked(result, NULL);
		return;
	}
	if (tree_apply(sm_tree(c->sm), o->msg, &t, &terr) < 0)
		violated("%s: %s %s", o->id, terr.path, terr.reason);
	c->current = o;
	c->change = change_new(o->msg, t, c->term, ++c->serial, local(n));
	tree_unref(t);
	trace("prepare %s by %s", o->id, nodes[n].name);
	send_prepares(n, false);
}

static void change_tick(int n)
{
	struct control *c = &ctls[n];

	decide_change(n);
	if (c->change && !c->appended &&
	    local(n) - c->last_prepare_us > 500 * MSEC)
		send_prepares(n, true);
	while (!c->change && !g_queue_is_empty(&c->waiting) &&
	       local(n) >= lease_former_leases_end_us(c->leases)) {
		start_next(n);
		decide_change(n);
	}
}

/* ---- log ---- */

static void finish_proposal(struct proposal *p, int err, const Mw__Result *r)
{
	struct control *c = &ctls[p->from];

	if (p->on == ON_CHANGE) {
		finish_change(c, err, r);
	} else if (p->on == ON_REGISTER) {
		if (p->adding && c->leases)
			lease_host_add_end(c->leases);
		if (err == 0)
			err = r->err;
		if (err == 0 && is_leader(c))
			answer_renewal(p->from, p->requester, p->call, p->renew,
				       renew_lease(p->from, p->renew));
		else
			reply_error(p->from, p->requester, p->call,
				    -MW_ENOLEADER);
	}
	proposal_free(p);
}

static void apply_upto(int n, guint upto)
{
	struct control *c = &ctls[n];

	while (c->applied < upto) {
		const struct entry_rec *e =
			&g_array_index(committed, struct entry_rec, c->applied);
		Mw__Command *cmd = mw__command__unpack(NULL, e->len, e->data);
		Mw__Result *r =
			sm_apply(c->sm, e->term, ++c->applied, e->data, e->len);
		if (cmd->body_case == MW__COMMAND__BODY_CHANGE && r->err == 0 &&
		    c->leading) {
			bool own = c->change && !strcmp(change_id(c->change),
							cmd->change->id);
			send_activate(n, r->version, cmd->change->id,
				      own ? change_attempt(c->change) : 0,
				      false);
		}
		struct proposal *p = g_hash_table_lookup(
			c->pending_proposals, GUINT_TO_POINTER(c->applied));
		if (p) {
			g_hash_table_remove(c->pending_proposals,
					    GUINT_TO_POINTER(c->applied));
			finish_proposal(p, 0, r);
		}
		mw__result__free_unpacked(r, NULL);
		mw__command__free_unpacked(cmd, NULL);
	}
}

static void commit_oldest(void)
{
	struct proposal *p = g_ptr_array_steal_index(proposals, 0);
	struct control *c = &ctls[p->from];

	commit_entry(p->term, g_memdup2(p->data, p->len), p->len);
	if (c->leading && c->term == p->term)
		g_hash_table_insert(c->pending_proposals,
				    GUINT_TO_POINTER(committed->len), p);
	else
		proposal_free(p);
}

static void end_leading(int n)
{
	struct control *c = &ctls[n];
	GHashTableIter iter;
	void *val;

	if (!c->leading)
		return;
	trace("%s no longer leads", nodes[n].name);
	c->leading = false;
	if (c->current && !c->appended)
		finish_change(c, -MW_ENOLEADER, NULL);
	while (!g_queue_is_empty(&c->waiting))
		op_answer(g_queue_pop_head(&c->waiting), -MW_ENOLEADER, NULL);
	g_hash_table_iter_init(&iter, c->pending_proposals);
	while (g_hash_table_iter_next(&iter, NULL, &val))
		finish_proposal(val, -MW_EUNKNOWN, NULL);
	g_hash_table_remove_all(c->pending_proposals);
	if (c->current)
		finish_change(c, -MW_EUNKNOWN, NULL);
	lease_free(c->leases);
	c->leases = NULL;
}

static bool majority_linked(int n)
{
	int links = 0;

	for (int i = 0; i < n_controls; i++)
		links += i == n ||
			 (linked(n, i) && sim_now >= nodes[i].paused_until);
	return links * 2 > n_controls;
}

/* Replaces a leader whose lease has ended. */
static void elect(void)
{
	int n = pick(n_controls);

	if (sim_now < ctls[sim_leader].lease_until || !nodes[n].alive ||
	    sim_now < nodes[n].paused_until || !majority_linked(n))
		return;
	/* Entries of the old leader may have reached a majority or not. */
	for (guint k = proposals->len ? (guint)pick((int)proposals->len + 1)
				      : 0;
	     k; k--)
		commit_oldest();
	while (proposals->len)
		proposal_free(g_ptr_array_steal_index(proposals, 0));
	end_leading(n);
	sim_leader = n;
	struct control *c = &ctls[n];
	c->cold = false;
	c->term = ++sim_term;
	c->lease_frozen_until = 0;
	c->lease_until = sim_now + LEADER_LEASE_US;
	apply_upto(n, committed->len);
	c->leading = true;
	c->leader = n;
	c->leases = lease_new(local(n));
	trace("%s leads in term %" PRIu64, nodes[n].name, c->term);
}

static void on_commit(uint64_t id)
{
	struct proposal *p = proposals->len ? proposals->pdata[0] : NULL;

	if (!p || p->id > id)
		return;
	if (majority_linked(p->from) &&
	    sim_now >= nodes[p->from].paused_until && ctls[p->from].leading) {
		commit_oldest();
		apply_upto(p->from, committed->len);
	}
	/* Proposals up to this one are still open: try again later. */
	if (proposals->len &&
	    ((struct proposal *)proposals->pdata[0])->id <= id)
		ev_push((struct ev){.t = sim_now + 50 * MSEC,
				    .kind = EV_COMMIT,
				    .arg = id});
}

/* ---- frames and timer of a control process ---- */

#include "config_ctl_hub.h"

/* Heartbeats have no frame type of their own: they are texts in target. */
static void send_heartbeats(int n)
{
	Mw__Frame f = MW__FRAME__INIT;
	char text[64];

	g_snprintf(text, sizeof(text), "hb %" PRIu64 " %u", ctls[n].term,
		   committed->len);
	f.target = text;
	for (int i = 0; i < n_controls; i++)
		if (i != n)
			send_frame(n, i, &f, 0, false);
}

static void handle_heartbeat(int n, int from, const char *text)
{
	struct control *c = &ctls[n];
	uint64_t term;
	guint upto;

	if (sscanf(text, "hb %" SCNu64 " %u", &term, &upto) != 2 ||
	    term < c->term)
		return;
	if (term > c->term)
		end_leading(n);
	c->cold = false;
	c->term = term;
	c->leader = from;
	c->leader_heartbeat_us = local(n);
	apply_upto(n, MIN(upto, committed->len));
}

static void control_tick(int n)
{
	struct control *c = &ctls[n];
	int64_t now = local(n);

	if (c->leading && n == sim_leader && sim_now >= c->lease_frozen_until &&
	    sim_now < c->lease_until && majority_linked(n))
		c->lease_until = sim_now + LEADER_LEASE_US;
	if (!c->leading && c->leader >= 0 &&
	    now - c->leader_heartbeat_us > 3 * SEC)
		c->leader = -1;
	if (is_leader(c)) {
		if (now - c->last_heartbeat_us > 200 * MSEC) {
			c->last_heartbeat_us = now;
			send_heartbeats(n);
		}
		if (now - c->last_dead_host_check_us >= SEC && !c->change) {
			c->last_dead_host_check_us = now;
			const struct member_host *h = lease_dead_host(
				c->leases, sm_members(c->sm), now);
			if (h) {
				Mw__Command cmd = MW__COMMAND__INIT;
				Mw__HostGone gone = MW__HOST_GONE__INIT;
				gone.host = h->info->host;
				gone.incarnation = h->info->incarnation;
				cmd.body_case = MW__COMMAND__BODY_HOST_GONE;
				cmd.host_gone = &gone;
				n_deregistered++;
				trace("dead %s", gone.host);
				lease_keep_view(c->leases, sm_members(c->sm),
						h->info->dc);
				propose(n, &cmd, g_new0(struct proposal, 1));
			}
		}
		change_tick(n);
	}
	update_hub(n);
	start_timer(EV_CTL, n, 100 * MSEC, 0);
}

static void serve_tree(int n, const struct ev *e, uint64_t have)
{
	struct tree *t = sm_tree(ctls[n].sm);
	Mw__Frame f = MW__FRAME__INIT;
	Mw__TreeSnapshot s = MW__TREE_SNAPSHOT__INIT;

	s.version = tree_version(t);
	if (have < s.version)
		s.tree.data = (uint8_t *)tree_json(t, &s.tree.len);
	f.body_case = MW__FRAME__BODY_TREE_SNAPSHOT;
	f.tree_snapshot = &s;
	send_frame(n, e->from, &f, e->call, true);
}

static void control_frame(int n, const struct ev *e, Mw__Frame *f)
{
	struct control *c = &ctls[n];
	struct relayed_call *r;

	switch (f->body_case) {
	case MW__FRAME__BODY_RENEW:
		handle_renewal(n, e, f);
		break;
	case MW__FRAME__BODY_GRANT:
		r = g_hash_table_lookup(relayed_calls,
					GSIZE_TO_POINTER(e->call));
		if (r)
			send_frame(n, r->host, f, r->call, true);
		break;
	case MW__FRAME__BODY_PREPARE:
	case MW__FRAME__BODY_ACTIVATE:
		send_frame(n, node_by_name(f->target), f, 0, false);
		break;
	case MW__FRAME__BODY_PREPARE_ACK:
		if (!c->leading) {
			if (c->leader >= 0)
				send_frame(n, c->leader, f, 0, false);
		} else if (c->change && !c->appended) {
			change_record_ack(c->change, f->prepare_ack);
			if (is_leader(c))
				change_tick(n);
		}
		break;
	case MW__FRAME__BODY_TREE_GET:
		serve_tree(n, e, f->tree_get->have);
		break;
	case MW__FRAME__BODY_HUB_REPORT:
		handle_hub_report(n, e, f->hub_report);
		break;
	default:
		handle_heartbeat(n, e->from, f->target);
	}
}

#include "config_hosts.h"
