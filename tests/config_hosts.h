#ifndef TESTS_CONFIG_HOSTS_H
#define TESTS_CONFIG_HOSTS_H

/*
 * Randomised test of the configuration: entry hosts, the checks and the driver.
 */

enum call { CALL_RENEW, CALL_REPORT, CALL_TREE, CALLS };

struct host {
	struct hostcfg cfg;
	bool exists; /* has been started at least once */
	uint64_t incarnation, report_seq, answered;
	int64_t report_sent_us;
	uint64_t call[CALLS]; /* ids of open calls, 0: none */
	/* Version in force since this start, for check (c). */
	uint64_t version_in_force;
	/* Highest one under a lease or in an island, over all starts. */
	uint64_t highest_in_force;
	struct tree *checked_tree; /* last one found equal to an accepted one */
	int renewal_count; /* selects the control process without a lease */
	struct hub_order *order;
	char report_hub[16]; /* name of the hub that the newest report went to
			      */
	bool peers_set;	 /* --peers names the other hosts of the data centre */
	struct hub *hub; /* on this host, while hosts report to it */
	uint64_t hub_member_version; /* version of the member list that hub has
				      */
	int64_t hub_last_used_us;
};

static struct host hosts[HOSTS_MAX];
static int64_t faults_end;
static int n_own_hub, n_entry_hub, n_island_entry;

static struct host *host_at(int n)
{
	return &hosts[n - n_controls];
}

static void host_call(int n, int to, enum call kind, const Mw__Frame *f,
		      int timeout_ms)
{
	struct host *h = host_at(n);

	h->call[kind] = ++next_call;
	send_frame(n, to, f, next_call, false);
	start_timer(EV_TIMEOUT, n, timeout_ms * MSEC, next_call);
}

/* Control process to send a renewal to, chosen as in session.c. */
static int renewal_peer(int n)
{
	struct host *h = host_at(n);

	int near = control_of_dc(nodes[n].dc);

	if (local(n) - h->cfg.last_grant_us < 2 * LEASE_RENEW_INTERVAL_US) {
		for (int i = 0; i < n_controls && !nodes[near].alive; i++)
			near = i;
		return near;
	}
	return h->renewal_count++ % n_controls;
}

static void request_tree_from(int n, int to)
{
	struct host *h = host_at(n);
	Mw__Frame f = MW__FRAME__INIT;
	Mw__TreeGet get = MW__TREE_GET__INIT;

	if (h->call[CALL_TREE])
		return;
	get.have = h->cfg.tree ? tree_version(h->cfg.tree) : 0;
	f.body_case = MW__FRAME__BODY_TREE_GET;
	f.tree_get = &get;
	host_call(n, to, CALL_TREE, &f, 3000);
}

static void request_tree(int n)
{
	const char *host = host_at(n)->cfg.tree_host;
	int to = *host ? node_by_name(host) : -1;

	if (to < 0 || to == n || !linked(n, to))
		to = renewal_peer(n);
	request_tree_from(n, to);
}

static void send_renewal(int n)
{
	struct host *h = host_at(n);
	Mw__Frame f = MW__FRAME__INIT;
	Mw__Renew r = MW__RENEW__INIT;

	if (h->call[CALL_RENEW])
		return;
	r.host = nodes[n].name;
	r.dc = nodes[n].dc;
	r.incarnation = h->incarnation;
	r.role = "entry";
	hostcfg_fill_renew(&h->cfg, local(n), &r);
	f.body_case = MW__FRAME__BODY_RENEW;
	f.renew = &r;
	host_call(n, renewal_peer(n), CALL_RENEW, &f, 2000);
}

#include "config_hubs.h"

static void handle_prepare(int n, int from, const Mw__Prepare *p)
{
	struct host *h = host_at(n);
	Mw__Frame f = MW__FRAME__INIT;
	Mw__PrepareAck ack = MW__PREPARE_ACK__INIT;

	ack.host = nodes[n].name;
	ack.incarnation = h->incarnation;
	ack.version = p->version;
	ack.change_id = p->change_id;
	ack.term = p->term;
	ack.attempt = p->attempt;
	int r = hostcfg_prepare(&h->cfg, p);
	if (r == 1)
		request_tree(n);
	if (r == 1 || r == -MW_ECONFLICT)
		return;
	ack.err = r;
	trace("%s acks %s %d", nodes[n].name, p->change_id, r);
	f.body_case = MW__FRAME__BODY_PREPARE_ACK;
	f.prepare_ack = &ack;
	send_frame(n, from, &f, 0, false);
}

static void serve_tree_to_host(int n, const struct ev *e)
{
	Mw__Frame f = MW__FRAME__INIT;
	Mw__TreeSnapshot s = MW__TREE_SNAPSHOT__INIT;

	hostcfg_fill_snapshot(&host_at(n)->cfg, &s);
	f.body_case = MW__FRAME__BODY_TREE_SNAPSHOT;
	f.tree_snapshot = &s;
	send_frame(n, e->from, &f, e->call, true);
}

/* Closes the call that e replies to; returns false if it is not open. */
static bool close_call(struct host *h, enum call kind, const struct ev *e)
{
	if (!e->reply || h->call[kind] != e->call)
		return false;
	h->call[kind] = 0;
	return true;
}

static void host_frame(int n, const struct ev *e, const Mw__Frame *f)
{
	struct host *h = host_at(n);
	int r;

	switch (f->body_case) {
	case MW__FRAME__BODY_GRANT:
		if (!close_call(h, CALL_RENEW, e) ||
		    f->grant->err == -MW_ENOLEADER ||
		    f->grant->err == -MW_EFENCED)
			break;
		r = hostcfg_apply_grant(&h->cfg, local(n), f->grant);
		if (r)
			trace("%s gets a grant: %d", nodes[n].name, r);
		if (r == 1)
			request_tree(n);
		break;
	case MW__FRAME__BODY_PREPARE:
		handle_prepare(n, e->from, f->prepare);
		break;
	case MW__FRAME__BODY_ACTIVATE:
		r = hostcfg_activate(&h->cfg, f->activate);
		if (r == 1)
			request_tree(n);
		if (r == 2)
			send_renewal(n);
		break;
	case MW__FRAME__BODY_TREE_GET:
		serve_tree_to_host(n, e);
		break;
	case MW__FRAME__BODY_TREE_SNAPSHOT:
		if (!close_call(h, CALL_TREE, e))
			break;
		r = hostcfg_apply_snapshot(&h->cfg, f->tree_snapshot);
		if (r < 0)
			violated("%s refused a snapshot", nodes[n].name);
		if (r == 1)
			send_renewal(n);
		break;
	case MW__FRAME__BODY_HUB_GRANT:
		if (close_call(h, CALL_REPORT, e))
			apply_hub_grant(n, f->hub_grant);
		break;
	case MW__FRAME__BODY_ACK:
		if (!close_call(h, CALL_REPORT, e))
			break;
		hostcfg_undo_report(&h->cfg);
		handle_report_failure(n);
		break;
	case MW__FRAME__BODY_HUB_REPORT:
		local_hub_handle_report(n, e, f);
		break;
	default:
		break;
	}
}

static void host_release(struct host *h)
{
	if (!h->exists)
		return;
	hostcfg_release(&h->cfg);
	hub_order_free(h->order);
	hub_free(h->hub);
}

static void host_start(int n)
{
	struct host *h = host_at(n);
	uint64_t incarnation = h->incarnation + 1,
		 highest = h->highest_in_force;

	nodes[n].alive = true;
	nodes[n].boot++;
	nodes[n].paused_until = 0;
	host_release(h);
	memset(h, 0, sizeof(*h));
	h->exists = true;
	h->order = hub_order_new(nodes[n].name, local(n));
	h->peers_set = chance(0.5);
	h->incarnation = incarnation;
	h->highest_in_force = highest;
	hostcfg_init(&h->cfg, local(n));
	start_timer(EV_RENEW, n, random_between(0, SEC), 0);
	start_timer(EV_REPORT, n, random_between(0, SEC), 0);
	start_timer(EV_REQUESTS, n, random_between(0, 100 * MSEC), 0);
	trace("start %s/%" PRIu64, nodes[n].name, incarnation);
}

/* ---- checks ---- */

static bool same_request_settings(struct tree *a, struct tree *b, int account)
{
	char name[16];

	g_snprintf(name, sizeof(name), "a%d", account);
	return tree_request_equal(a, b, name, ROUTE);
}

static void check_admitted(int n, enum host_mode mode, int account)
{
	struct host *h = host_at(n);
	uint64_t v = tree_version(h->cfg.tree);
	const struct accepted *own = accepted_at(v);
	size_t len;

	if (h->checked_tree != h->cfg.tree) {
		if (!own || !own->tree ||
		    strcmp(tree_json(h->cfg.tree, &len),
			   tree_json(own->tree, &len)) != 0)
			violated("(b) %s admits requests under version %" PRIu64
				 ", which was not accepted",
				 nodes[n].name, v);
		h->checked_tree = h->cfg.tree;
	}
	for (uint64_t w = v + 1; w < accepted->len; w++) {
		const struct accepted *a = accepted_at(w);
		if (a->left_out[dc_index(nodes[n].dc)] &&
		    h->cfg.newest_version < w)
			continue;
		if (a->at_us + 5 * SEC < sim_now &&
		    !same_request_settings(h->cfg.tree, a->tree, account))
			violated("(a) %s (%s) admits requests under version "
				 "%" PRIu64 ", %s accepted as %" PRIu64
				 " at %.3f",
				 nodes[n].name, host_mode_name(mode), v, a->id,
				 w, (double)a->at_us / 1e6);
	}
	if (v < h->highest_in_force &&
	    !accepted_at(h->highest_in_force)
		     ->left_out[dc_index(nodes[n].dc)] &&
	    !same_request_settings(h->cfg.tree,
				   accepted_at(h->highest_in_force)->tree,
				   account))
		violated("(c) %s admits requests under version %" PRIu64
			 " and had %" PRIu64 " in force before",
			 nodes[n].name, v, h->highest_in_force);
}

/*
 * Checks (h): when the leader appends a change, each host that it counts as
 * acknowledged holds the change, and no other host has a lease, except in data
 * centres that the change leaves out.
 */
static void check_append(const struct control *c)
{
	for (int i = n_controls; i < node_count(); i++) {
		struct host *h = host_at(i);
		if (!nodes[i].alive || !h->cfg.tree ||
		    change_leaves_out(c->change, nodes[i].dc) ||
		    h->cfg.newest_version >= change_version(c->change) ||
		    h->cfg.pending_attempt == change_attempt(c->change))
			continue;
		if (change_has_ack(c->change, nodes[i].name, h->incarnation))
			violated(
				"(h) %s acknowledged %s and no longer holds it",
				nodes[i].name, change_id(c->change));
		if (local(i) < h->cfg.lease_until_us)
			violated("(h) %s has a lease and has not received %s",
				 nodes[i].name, change_id(c->change));
	}
}

static enum host_mode check_host(int n)
{
	struct host *h = host_at(n);
	enum host_mode mode = hostcfg_mode(&h->cfg, local(n));
	uint64_t v = h->cfg.tree ? tree_version(h->cfg.tree) : 0;
	char name[16];

	if (v < h->version_in_force)
		violated("(c) %s went back from version %" PRIu64
			 " to %" PRIu64,
			 nodes[n].name, h->version_in_force, v);
	h->version_in_force = v;
	n_island += mode == HOST_ISLAND;
	n_island_entry +=
		mode == HOST_ISLAND && !nodes[control_of_dc(nodes[n].dc)].alive;
	for (int a = 0; a < ACCOUNTS && h->cfg.tree; a++) {
		g_snprintf(name, sizeof(name), "a%d", a);
		if (hostcfg_admit(&h->cfg, mode, name, ROUTE) == 0)
			check_admitted(n, mode, a);
	}
	if (v > h->highest_in_force &&
	    (mode == HOST_LEASED || mode == HOST_ISLAND))
		h->highest_in_force = v;
	return mode;
}

#include "config_faults.h"

/* ---- driver ---- */

static void deliver(const struct ev *e)
{
	Mw__Frame *f;
	gsize len;

	if (e->boot != nodes[e->to].boot || !nodes[e->to].alive ||
	    link_cut[e->from][e->to])
		return;
	const uint8_t *data = g_bytes_get_data(e->frame, &len);
	f = mw__frame__unpack(NULL, len, data);
	if (e->to < n_controls)
		control_frame(e->to, e, f);
	else
		host_frame(e->to, e, f);
	mw__frame__free_unpacked(f, NULL);
}

static void host_event(const struct ev *e)
{
	struct host *h = host_at(e->to);

	if (e->boot != nodes[e->to].boot || !nodes[e->to].alive)
		return;
	switch (e->kind) {
	case EV_RENEW:
		send_renewal(e->to);
		start_timer(EV_RENEW, e->to, SEC, 0);
		break;
	case EV_REPORT:
		send_report(e->to);
		local_hub_tick(e->to);
		if (hostcfg_mode(&h->cfg, local(e->to)) == HOST_STALE)
			request_tree(e->to);
		start_timer(EV_REPORT, e->to, SEC, 0);
		break;
	case EV_REQUESTS:
		check_host(e->to);
		check_one_majority();
		/* A host whose requests wait for credit reports early. */
		if (chance(0.1))
			send_report(e->to);
		start_timer(EV_REQUESTS, e->to, 100 * MSEC, 0);
		break;
	default:
		for (int k = 0; k < CALLS; k++)
			if (h->call[k] == e->arg) {
				h->call[k] = 0;
				if (k == CALL_REPORT)
					handle_report_failure(e->to);
			}
	}
}

static void run_until(int64_t end, bool faults)
{
	while (heap->len && g_array_index(heap, struct ev, 0).t <= end) {
		struct ev e = ev_pop();
		sim_now = e.t;
		elect();
		if (e.kind < EV_COMMIT && sim_now < nodes[e.to].paused_until) {
			e.t = nodes[e.to].paused_until;
			ev_push(e);
			continue;
		}
		if (e.kind == EV_MSG)
			deliver(&e);
		else if (e.kind < EV_CTL)
			host_event(&e);
		else if (e.kind == EV_CTL && e.boot == nodes[e.to].boot)
			control_tick(e.to);
		else if (e.kind == EV_COMMIT)
			on_commit(e.arg);
		else if (faults && e.kind == EV_FAULT)
			inject_fault(e.arg);
		else if (faults)
			run_operator();
		if (e.frame)
			g_bytes_unref(e.frame);
	}
	sim_now = end;
}

static void commit_setup(void)
{
	Mw__Command cmd = MW__COMMAND__INIT;
	Mw__Change c = MW__CHANGE__INIT;
	Mw__Edit edit[3 + ACCOUNTS], *edits[3 + ACCOUNTS];
	char names[ACCOUNTS][16];

	for (int i = 0; i < 3 + ACCOUNTS; i++) {
		mw__edit__init(&edit[i]);
		edits[i] = &edit[i];
		edit[i].value = "{}";
	}
	edit[0].path = "models/m";
	edit[1].path = "routes/" ROUTE;
	edit[1].value = "{\"model\":\"m\"}";
	edit[2].path = "accounts/x";
	for (int i = 0; i < ACCOUNTS; i++) {
		g_snprintf(names[i], sizeof(names[i]), "accounts/a%d", i);
		edit[3 + i].path = names[i];
	}
	c.id = "setup";
	c.base_version = 1;
	c.operator_name = "op";
	c.edits = edits;
	c.n_edits = 3 + ACCOUNTS;
	cmd.body_case = MW__COMMAND__BODY_CHANGE;
	cmd.change = &c;
	size_t len = mw__command__get_packed_size(&cmd);
	uint8_t *data = g_malloc(len);
	mw__command__pack(&cmd, data);
	commit_entry(1, data, len);
	if (!accepted_at(2))
		violated("the first change was not accepted");
}

static void world_start(void)
{
	int host = 0;

	sim_now = 0;
	loss_rate = duplicate_rate = slow_rate = 0;
	hub_disconnect_chance = 0.05;
	sim_term = 1;
	sim_leader = 0;
	ref_sm = sm_new();
	n_controls = NDC + pick(2) * 2;
	for (int i = 0; i < n_controls; i++) {
		struct node *n = &nodes[i];
		g_snprintf(n->name, sizeof(n->name), "k%d", i);
		g_snprintf(n->dc, sizeof(n->dc), "dc%d", i % NDC);
	}
	for (int d = 0; d < NDC; d++)
		for (int k = 1 + pick(4); k >= 0; k--, host++) {
			struct node *n = &nodes[n_controls + host];
			g_snprintf(n->name, sizeof(n->name), "h%d", host);
			g_snprintf(n->dc, sizeof(n->dc), "dc%d", d);
		}
	n_hosts = host;
	commit_setup();
	for (int i = 0; i < node_count(); i++) {
		nodes[i].base_us = random_between(100 * SEC, 2000 * SEC);
		nodes[i].rate = random_between(9901, 10099) / 10000.0;
	}
	for (int i = 0; i < n_controls; i++) {
		struct control *c = &ctls[i];
		memset(c, 0, sizeof(*c));
		nodes[i].alive = true;
		g_queue_init(&c->waiting);
		c->leader = -1;
		c->sm = sm_new();
		c->pending_proposals = g_hash_table_new(NULL, NULL);
		start_hub(i);
		apply_upto(i, 1);
		start_timer(EV_CTL, i, random_between(0, 100 * MSEC), 0);
	}
	for (int i = n_controls; i < node_count(); i++)
		if (chance(0.8))
			host_start(i);
	ev_push((struct ev){.t = 8 * SEC, .kind = EV_FAULT});
	ev_push((struct ev){.t = 5 * SEC, .kind = EV_OPERATOR});
}

static void check_serving(const char *when)
{
	for (int i = n_controls; i < node_count(); i++) {
		if (!nodes[i].alive)
			continue;
		enum host_mode mode = check_host(i);
		const struct hostcfg *cfg = &host_at(i)->cfg;
		if (mode != HOST_LEASED ||
		    tree_version(cfg->tree) != tree_version(sm_tree(ref_sm)))
			violated("(g) %s is %s at version %" PRIu64
				 " of %" PRIu64 " %s",
				 nodes[i].name, host_mode_name(mode),
				 cfg->tree ? tree_version(cfg->tree) : 0,
				 tree_version(sm_tree(ref_sm)), when);
	}
}

/*
 * Checks (g): the live hosts of a data centre that is cut off serve as an
 * island if they have a majority of its weight; otherwise all of them are
 * fenced.
 */
static void check_island(const char *dc, const char *when)
{
	const struct members *m = sm_members(ref_sm);
	enum host_mode expected;
	uint32_t live_weight2 = 0;

	for (int i = n_controls; i < node_count(); i++)
		if (nodes[i].alive && !strcmp(nodes[i].dc, dc))
			live_weight2 += member_weight2(m, dc, nodes[i].name);
	expected = member_is_majority(live_weight2, member_total_weight2(m, dc))
			   ? HOST_ISLAND
			   : HOST_FENCED;
	for (int i = n_controls; i < node_count(); i++)
		if (nodes[i].alive && !strcmp(nodes[i].dc, dc) &&
		    check_host(i) != expected)
			violated("(g) %s is %s, not %s, %s", nodes[i].name,
				 host_mode_name(check_host(i)),
				 host_mode_name(expected), when);
}

/*
 * Checks that a data centre that is cut off and has no control process serves
 * as an island with a hub on an entry host, also after that host has stopped,
 * and that all hosts have a lease again after the faults have ended.
 */
static void check_island_hubs(const char *dc)
{
	int first = -1;

	memset(link_cut, 0, sizeof(link_cut));
	kill_controls_of(dc);
	if (nodes[control_of_dc(dc)].alive)
		return;
	unsigned set = nodes_of(dc);
	cut_links(set, ((1u << node_count()) - 1) & ~set, true);
	run_until(sim_now + 15 * SEC, false);
	check_island(dc, "with a hub on an entry host");
	for (int i = n_controls; i < node_count(); i++)
		if ((set >> i & 1) && nodes[i].alive &&
		    (first < 0 || strcmp(nodes[i].name, nodes[first].name) < 0))
			first = i;
	if (first >= 0)
		host_stop(first);
	run_until(sim_now + 15 * SEC, false);
	check_island(dc, "after the hub has stopped");
	start_controls();
	run_until(sim_now + 15 * SEC, false);
	check_island(dc, "with a control process that has restarted");
	memset(link_cut, 0, sizeof(link_cut));
	if (first >= 0)
		host_start(first);
	run_until(sim_now + 15 * SEC, false);
	check_serving("after the island");
}

static void world_end(void)
{
	for (int i = 0; i < n_controls; i++) {
		struct control *c = &ctls[i];
		if (sm_applied_index(c->sm) > committed->len)
			violated("%s applied an entry that was not committed",
				 nodes[i].name);
		end_leading(i);
		hub_free(c->hub);
		sm_free(c->sm);
		g_hash_table_destroy(c->pending_proposals);
	}
	while (proposals->len)
		proposal_free(g_ptr_array_steal_index(proposals, 0));
	for (int i = 0; i < n_hosts; i++) {
		host_release(&hosts[i]);
		memset(&hosts[i], 0, sizeof(hosts[i]));
	}
	for (guint i = 0; i < ops->len; i++) {
		struct op *o = ops->pdata[i];
		mw__change__free_unpacked(o->msg, NULL);
		g_free(o);
	}
	g_ptr_array_set_size(ops, 0);
	g_hash_table_remove_all(relayed_calls);
	sim_clear();
}

static void run_seed(uint64_t seed, int64_t seconds)
{
	sim_seed = seed;
	rnd = g_rand_new_with_seed((guint32)seed);
	world_start();
	faults_end = seconds * SEC;
	run_until(faults_end, true);
	/* All faults end; control processes and hosts that are down start. */
	memset(link_cut, 0, sizeof(link_cut));
	loss_rate = duplicate_rate = slow_rate = hub_disconnect_chance = 0;
	for (int i = 0; i < node_count(); i++) {
		nodes[i].paused_until = 0;
		if (i < n_controls && !nodes[i].alive)
			control_start(i);
		if (i >= n_controls && !nodes[i].alive && host_at(i)->exists)
			host_start(i);
	}
	ctls[sim_leader].lease_frozen_until = 0;
	trace("faults end");
	run_until(sim_now + 10 * SEC, false);
	check_serving("10 s after the faults");
	struct op *o = new_op(tree_version(sm_tree(ref_sm)), 0);
	/* A registration under way may delay the change; it is sent again. */
	for (int i = 0; i < 5; i++) {
		if (!o->accepted)
			submit_to(sim_leader, o);
		run_until(sim_now + SEC, false);
	}
	if (!o->accepted)
		violated("(g) no change is accepted after the faults");
	check_serving("after the last change");
	if (seed % 2)
		check_island_hubs(nodes[pick(n_controls)].dc);
	world_end();
	g_rand_free(rnd);
}

static int64_t env_or(const char *name, int64_t value)
{
	const char *s = getenv(name);

	return s ? strtoll(s, NULL, 10) : value;
}

int main(void)
{
	int64_t first = env_or("MW_SEED", 1);
	int64_t count = env_or("MW_SEEDS", getenv("MW_SEED") ? 1 : 300);
	int64_t seconds = env_or("MW_SECONDS", 0);

	sim_verbose = env_or("MW_VERBOSE", 0) != 0;
	heap = g_array_new(FALSE, TRUE, sizeof(struct ev));
	committed = g_array_new(FALSE, TRUE, sizeof(struct entry_rec));
	accepted = g_array_new(FALSE, TRUE, sizeof(struct accepted));
	proposals = g_ptr_array_new();
	ops = g_ptr_array_new();
	relayed_calls = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	/* Every sixth run is long enough for hosts to be deregistered. */
	for (int64_t s = first; s < first + count; s++)
		run_seed((uint64_t)s, seconds ? seconds : s % 6 ? 30 : 180);
	printf("%" PRId64 " seeds: accepted %d, refused %d, deregistered %d, "
	       "island checks %d (%d without a control process), reports to "
	       "entry hosts %d, to the own host %d, trace %016" PRIx64 "\n",
	       count, n_accepted, n_refused, n_deregistered, n_island,
	       n_island_entry, n_entry_hub, n_own_hub, sim_hash);
	return 0;
}

#endif
