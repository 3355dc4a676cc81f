#ifndef TESTS_CONFIG_CTL_HUB_H
#define TESTS_CONFIG_CTL_HUB_H

/* Randomised test of the configuration: the hub on a control process. */

/* Passes the control process's configuration state to its hub. */
static void update_hub(int n)
{
	struct control *c = &ctls[n];
	const struct members *m = sm_members(c->sm);
	const char *hosts[HOSTS_MAX];
	size_t n_hosts = 0;

	hub_set_leader_contact(c->hub,
			       is_leader(c) || (!c->leading && c->leader >= 0));
	hub_tick(c->hub, local(n));
	if (c->cold)
		return;
	hub_set_tree_version(c->hub, tree_version(sm_tree(c->sm)));
	if (member_version(m) == c->hub_member_version)
		return;
	c->hub_member_version = member_version(m);
	for (size_t i = 0; i < member_count(m); i++)
		if (!strcmp(member_at(m, i)->info->dc, nodes[n].dc))
			hosts[n_hosts++] = member_at(m, i)->info->host;
	hub_set_hosts(c->hub, hosts, n_hosts, member_anchor(m, nodes[n].dc));
	hub_set_member_version(c->hub, member_version(m));
}

/* Starts the hub of a control process, as its start does. */
static void start_hub(int n)
{
	struct hub_cfg cfg = {.name = nodes[n].name,
			      .dc = nodes[n].dc,
			      .epoch = nodes[n].boot + 1};

	hub_free(ctls[n].hub);
	ctls[n].hub = hub_new(&cfg, local(n));
	ctls[n].hub_member_version = 0;
	update_hub(n);
}

/* Answers or refuses a host's report, as ctl_hub_report() does. */
static void handle_hub_report(int n, const struct ev *e, const Mw__HubReport *r)
{
	struct control *c = &ctls[n];
	Mw__Frame out = MW__FRAME__INIT;
	Mw__Ack ack = MW__ACK__INIT;
	Mw__HubGrant *g;

	if (r->member_version > c->reported_member_version)
		c->reported_member_version = r->member_version;
	if (!is_leader(c) && (c->leading || c->leader < 0) &&
	    c->reported_member_version > c->hub_member_version) {
		out.body_case = MW__FRAME__BODY_ACK;
		out.ack = &ack;
		send_frame(n, e->from, &out, e->call, true);
		return;
	}
	g = hub_handle_report(c->hub, local(n), r);
	if (!g)
		return;
	out.body_case = MW__FRAME__BODY_HUB_GRANT;
	out.hub_grant = g;
	send_frame(n, e->from, &out, e->call, true);
	mw__hub_grant__free_unpacked(g, NULL);
}

#endif
