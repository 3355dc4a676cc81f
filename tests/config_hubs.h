#ifndef TESTS_CONFIG_HUBS_H
#define TESTS_CONFIG_HUBS_H

/*
 * Randomised test of the configuration: hubs on entry hosts, as in local_hub.c,
 * the choice of a host's hub, as in session_hub.c, and the check that at most
 * one hub of a data centre counts a majority.
 */

/* Probability that a connected process is taken to be disconnected. */
static double hub_disconnect_chance;

static bool hub_connected(void *ctx, const char *name)
{
	int from = *(int *)ctx, to = node_by_name(name);

	/* A random disconnect makes hosts use different hubs. */
	return linked(from, to) && !chance(hub_disconnect_chance);
}

static void list_candidates(int n)
{
	struct host *h = host_at(n);
	const Mw__Grant *m = h->cfg.members;

	hub_order_begin(h->order);
	for (int i = 0; i < n_controls; i++)
		if (!strcmp(nodes[i].dc, nodes[n].dc))
			hub_order_add(h->order, nodes[i].name, "", true);
	hub_order_add(h->order, nodes[n].name, "", false);
	/* Hosts named by --peers are available right after a restart. */
	for (int i = n_controls; i < node_count(); i++)
		if (h->peers_set && !strcmp(nodes[i].dc, nodes[n].dc))
			hub_order_add(h->order, nodes[i].name, "x", false);
	for (size_t i = 0; m && i < m->n_hosts; i++)
		hub_order_add(h->order, m->hosts[i]->host, "x", false);
	hub_order_end(h->order);
}

/* Passes the host's configuration state to its hub. */
static void local_hub_update(int n)
{
	struct host *h = host_at(n);
	const Mw__Grant *m = h->cfg.members;
	const char *names[HOSTS_MAX];

	hub_set_tree_version(h->hub,
			     h->cfg.tree ? tree_version(h->cfg.tree) : 0);
	hub_set_leader_contact(h->hub, local(n) < h->cfg.lease_until_us);
	if (h->hub_member_version == h->cfg.member_version)
		return;
	for (size_t i = 0; i < m->n_hosts; i++)
		names[i] = m->hosts[i]->host;
	hub_set_hosts(h->hub, names, m->n_hosts, *m->anchor ? m->anchor : NULL);
	hub_set_member_version(h->hub, h->cfg.member_version);
	h->hub_member_version = h->cfg.member_version;
}

static Mw__HubGrant *local_hub_apply_report(int n, const Mw__HubReport *r)
{
	struct host *h = host_at(n);

	if (!h->hub) {
		struct hub_cfg cfg = {.name = nodes[n].name,
				      .dc = nodes[n].dc,
				      .epoch = (uint32_t)pick(1 << 30)};
		h->hub = hub_new(&cfg, local(n));
		h->hub_member_version = 0;
	}
	h->hub_last_used_us = local(n);
	local_hub_update(n);
	return hub_handle_report(h->hub, local(n), r);
}

static void local_hub_tick(int n)
{
	struct host *h = host_at(n);

	if (!h->hub)
		return;
	if (local(n) - h->hub_last_used_us < 5 * SEC) {
		local_hub_update(n);
		hub_tick(h->hub, local(n));
		return;
	}
	hub_free(h->hub);
	h->hub = NULL;
}

static void request_tree_from(int n, int to);

/* Answers a report that another host sent to the hub on this host. */
static void local_hub_handle_report(int n, const struct ev *e,
				    const Mw__Frame *f)
{
	struct host *h = host_at(n);
	Mw__Frame out = MW__FRAME__INIT;
	Mw__Ack ack = MW__ACK__INIT;
	Mw__HubGrant *g = NULL;

	out.body_case = MW__FRAME__BODY_ACK;
	out.ack = &ack;
	if (h->cfg.members) {
		g = local_hub_apply_report(n, f->hub_report);
		if (f->hub_report->member_version > h->cfg.member_version)
			request_tree_from(n, e->from);
		if (!g)
			return;
		out.body_case = MW__FRAME__BODY_HUB_GRANT;
		out.hub_grant = g;
	}
	send_frame(n, e->from, &out, e->call, true);
	if (g)
		mw__hub_grant__free_unpacked(g, NULL);
}

static void apply_hub_grant(int n, const Mw__HubGrant *g)
{
	struct host *h = host_at(n);

	if (g->seq != h->report_seq)
		return;
	h->answered = g->seq;
	hub_order_answered(h->order, h->report_hub, local(n));
	if (hostcfg_apply_hub_grant(&h->cfg, h->report_sent_us, g) == 1)
		request_tree(n);
}

static void send_report(int n)
{
	struct host *h = host_at(n);
	Mw__Frame f = MW__FRAME__INIT;
	Mw__HubReport r = MW__HUB_REPORT__INIT;
	const struct hub_candidate *c;

	if (h->call[CALL_REPORT])
		return;
	list_candidates(n);
	c = hub_order_choose(h->order, local(n), h->cfg.members != NULL,
			     hub_connected, &n);
	if (!c)
		return;
	g_strlcpy(h->report_hub, c->name, sizeof(h->report_hub));
	r.host = nodes[n].name;
	r.incarnation = h->incarnation;
	r.seq = ++h->report_seq;
	r.grant_seq = h->answered;
	h->report_sent_us = local(n);
	hostcfg_fill_report(&h->cfg, local(n), c->name, &r);
	if (c->self) {
		Mw__HubGrant *g = local_hub_apply_report(n, &r);
		n_own_hub++;
		if (!g)
			return;
		apply_hub_grant(n, g);
		mw__hub_grant__free_unpacked(g, NULL);
		return;
	}
	n_entry_hub += !c->control;
	f.body_case = MW__FRAME__BODY_HUB_REPORT;
	f.hub_report = &r;
	host_call(n, node_by_name(c->name), CALL_REPORT, &f, 1500);
}

/* The hub did not answer or refused the report: reports to the next one. */
static void handle_report_failure(int n)
{
	hub_order_failed(host_at(n)->order, host_at(n)->report_hub, local(n));
	send_report(n);
}

/* ---- checks ---- */

/*
 * Checks that at most one hub of a data centre counts a majority at any time,
 * among hubs with the same set of registered hosts.  Hubs with different sets
 * are not compared: the leader takes the data centre as connected only if the
 * hosts with leases are a majority in each set (see lease_dc_connected).
 */
static void check_one_majority(void)
{
	struct {
		const char *dc, *name;
		uint64_t set_version;
	} counted[NODES_MAX];
	int n_counted = 0;

	for (int i = 0; i < node_count(); i++) {
		const struct hub *hub =
			i < n_controls ? ctls[i].hub : host_at(i)->hub;
		uint64_t set_version = i < n_controls
					       ? ctls[i].hub_member_version
					       : host_at(i)->hub_member_version;
		if (!hub || !nodes[i].alive ||
		    !hub_component_has_majority(hub, local(i)))
			continue;
		for (int k = 0; k < n_counted; k++)
			if (!strcmp(counted[k].dc, nodes[i].dc) &&
			    counted[k].set_version == set_version)
				violated("(i) %s and %s both count a majority "
					 "of %s",
					 counted[k].name, nodes[i].name,
					 nodes[i].dc);
		counted[n_counted].dc = nodes[i].dc;
		counted[n_counted].name = nodes[i].name;
		counted[n_counted++].set_version = set_version;
	}
}

#endif
