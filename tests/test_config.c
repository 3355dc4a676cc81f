#include "state_util.h"

#include "control/hub.h"
#include "control/lease.h"
#include "entry/hostcfg.h"

/*
 * Regression tests for faults in the protocol of configuration changes and
 * leases, each of which test_config_random detects.
 */
#define SEC USEC_PER_SEC

/* The tree data is static and stays valid until the next call for `version`. */
static void fill_snapshot(uint64_t version, Mw__TreeSnapshot *s)
{
	static char json[8][4096];
	struct tree *t = tree_new_initial();
	struct tree_err err;
	char value[16];

	for (uint64_t v = 1; v < version; v++) {
		snprintf(value, sizeof(value), "%d", (int)v);
		ck_assert_int_eq(
			edit_tree(&t, "accounts/a", "weight", value, &err), 0);
	}
	ck_assert_uint_lt(version, 8);
	mw__tree_snapshot__init(s);
	s->version = version;
	const char *text = tree_json(t, &s->tree.len);

	ck_assert_uint_lt(s->tree.len, sizeof(json[0]));
	memcpy(json[version], text, s->tree.len);
	s->tree.data = (uint8_t *)json[version];
	tree_unref(t);
}

static void install_snapshot(struct hostcfg *h, uint64_t version)
{
	Mw__TreeSnapshot s;

	fill_snapshot(version, &s);
	ck_assert_int_eq(hostcfg_apply_snapshot(h, &s), 1);
}

static int deliver_prepare(struct hostcfg *h, uint64_t version,
			   uint64_t attempt)
{
	Mw__Prepare p = MW__PREPARE__INIT;
	Mw__TreeSnapshot s;

	fill_snapshot(version, &s);
	p.term = 1;
	p.version = version;
	p.attempt = attempt;
	p.change_id = "x";
	p.tree = s.tree;
	return hostcfg_prepare(h, &p);
}

/* Sends a renewal at `now` and grants a lease of 3 s at once. */
static void grant_lease(struct hostcfg *h, int64_t now, uint64_t version)
{
	Mw__Renew r = MW__RENEW__INIT;
	Mw__Grant g = MW__GRANT__INIT;

	hostcfg_fill_renew(h, now, &r);
	g.term = 1;
	g.lease_ms = 3000;
	g.version = version;
	g.pending_attempt = h->pending_attempt;
	hostcfg_apply_grant(h, now, &g);
}

static void deliver_hub_grant(struct hostcfg *h, int64_t now, uint64_t version,
			      uint64_t attempt)
{
	Mw__HubGrant g = MW__HUB_GRANT__INIT;

	g.component_weight2 = 5;
	g.registered_weight2 = 7;
	g.version = version;
	g.pending_attempt = attempt;
	hostcfg_apply_hub_grant(h, now, &g);
}

/* A host with version 2 in force, whose lease ends at 3 s. */
static void host_init(struct hostcfg *h)
{
	hostcfg_init(h, 0);
	install_snapshot(h, 2);
	grant_lease(h, 0, 2);
	ck_assert_int_eq(hostcfg_mode(h, SEC), HOST_LEASED);
}

/*
 * Guards against a lease that a host counts from the receipt of the grant, not
 * from the sending of the renewal: it would outlast the leader's view of it.
 */
START_TEST(test_lease_from_sending)
{
	Mw__Renew r = MW__RENEW__INIT;
	Mw__Grant g = MW__GRANT__INIT;
	struct hostcfg h;

	host_init(&h);
	hostcfg_fill_renew(&h, 2 * SEC, &r);
	g.term = 1;
	g.lease_ms = 3000;
	g.version = 2;
	ck_assert_int_eq(hostcfg_apply_grant(&h, 4 * SEC, &g), 0);
	ck_assert_int_eq(hostcfg_mode(&h, 5 * SEC - 1), HOST_LEASED);
	ck_assert_int_eq(hostcfg_mode(&h, 5 * SEC), HOST_FENCED);
	hostcfg_release(&h);
}
END_TEST

/* Guards against acknowledging a change whose base version the host lacks. */
START_TEST(test_prepare_base)
{
	struct hostcfg h;

	host_init(&h);
	ck_assert_int_eq(deliver_prepare(&h, 4, 9), 1);
	ck_assert_ptr_null(h.pending);
	ck_assert_int_eq(hostcfg_mode(&h, SEC), HOST_STALE);
	install_snapshot(&h, 3);
	ck_assert_int_eq(deliver_prepare(&h, 4, 9), 0);
	hostcfg_release(&h);
}
END_TEST

/*
 * Guards against delayed messages of an earlier preparation of the same id and
 * version, which made the host drop the change that it had acknowledged again
 * in a later preparation.
 */
START_TEST(test_attempts)
{
	Mw__Activate a = MW__ACTIVATE__INIT;
	Mw__Grant g = MW__GRANT__INIT;
	Mw__Renew r = MW__RENEW__INIT;
	struct hostcfg h;

	host_init(&h);
	ck_assert_int_eq(deliver_prepare(&h, 3, 9), 0);
	hostcfg_fill_renew(&h, SEC, &r);
	ck_assert_int_eq(deliver_prepare(&h, 3, 10), 0);
	a.term = 1;
	a.version = 3;
	a.change_id = "x";
	a.attempt = 9;
	a.abort = true;
	hostcfg_activate(&h, &a);
	ck_assert_ptr_nonnull(h.pending);
	g.term = 1;
	g.version = 2;
	hostcfg_apply_grant(&h, SEC, &g);
	ck_assert_ptr_nonnull(h.pending);
	/* A delayed prepare does not replace a newer one. */
	ck_assert_int_eq(deliver_prepare(&h, 3, 9), -MW_ECONFLICT);
	ck_assert_uint_eq(h.pending_attempt, 10);
	hostcfg_release(&h);
}
END_TEST

/*
 * Guards against a host that was fenced while a change was prepared or
 * accepted, and then serves with the old tree in an island whose hosts have the
 * change.
 */
START_TEST(test_join_island_with_old_tree)
{
	Mw__TreeSnapshot s, p;
	struct hostcfg h;

	host_init(&h);
	deliver_hub_grant(&h, 4 * SEC, 2, 0);
	ck_assert_int_eq(hostcfg_mode(&h, 5 * SEC), HOST_ISLAND);
	deliver_hub_grant(&h, 5 * SEC, 2, 9);
	ck_assert_int_eq(hostcfg_mode(&h, 5 * SEC), HOST_FENCED);
	fill_snapshot(2, &s);
	fill_snapshot(3, &p);
	s.stale = true;
	s.pending_tree = p.tree;
	s.pending_id = "x";
	s.pending_attempt = 9;
	ck_assert_int_eq(hostcfg_apply_snapshot(&h, &s), 0);
	ck_assert_int_eq(hostcfg_mode(&h, 5 * SEC), HOST_ISLAND);
	ck_assert_uint_eq(tree_version(h.pending), 3);
	deliver_hub_grant(&h, 5 * SEC, 2, 10);
	ck_assert_int_eq(hostcfg_mode(&h, 5 * SEC), HOST_FENCED);
	deliver_hub_grant(&h, 6 * SEC, 3, 0);
	ck_assert_int_eq(hostcfg_mode(&h, 6 * SEC), HOST_STALE);
	hostcfg_release(&h);
}
END_TEST

/*
 * Guards against a host that forgot an acknowledged change in a restart and
 * then forms the majority of an island with hosts that never received it.
 */
START_TEST(test_restart_in_island)
{
	Mw__HubReport r = MW__HUB_REPORT__INIT;
	struct hostcfg h;

	hostcfg_init(&h, 0);
	install_snapshot(&h, 2);
	hostcfg_fill_report(&h, SEC, "ctl", &r);
	ck_assert(!r.informed);
	deliver_hub_grant(&h, 6 * SEC, 2, 0);
	ck_assert_int_eq(hostcfg_mode(&h, 6 * SEC), HOST_FENCED);
	deliver_hub_grant(&h, 7 * SEC, 2, 9);
	ck_assert_int_eq(hostcfg_mode(&h, 7 * SEC), HOST_FENCED);
	ck_assert(!h.informed);
	deliver_hub_grant(&h, 8 * SEC, 2, 0);
	ck_assert_int_eq(hostcfg_mode(&h, 8 * SEC), HOST_ISLAND);
	hostcfg_release(&h);
}
END_TEST

/*
 * Guards against an island of deregistered hosts whose hub still has an earlier
 * set of hosts: without a lease or an island for HOSTCFG_UNINFORMED_AFTER_US, a
 * host no longer counts.
 */
START_TEST(test_deregistered_island)
{
	Mw__HubReport r = MW__HUB_REPORT__INIT;
	struct hostcfg h;

	host_init(&h);
	for (int64_t now = SEC; now < 34 * SEC; now += SEC)
		hostcfg_mode(&h, now);
	hostcfg_fill_report(&h, 34 * SEC, "ctl", &r);
	ck_assert(!r.informed);
	grant_lease(&h, 35 * SEC, 2);
	hostcfg_fill_report(&h, 35 * SEC, "ctl", &r);
	ck_assert(r.informed);
	hostcfg_release(&h);
}
END_TEST

/*
 * Guards against a host that two hubs count at the same time.  The former hub
 * counts its last report for HUB_REPORT_FRESH_US, even if the host restarts.
 */
START_TEST(test_move)
{
	struct hostcfg h;

	host_init(&h);
	grant_lease(&h, SEC, 2);
	static const struct {
		int64_t ms;
		const char *hub;
		bool informed;
	} steps[] = {
		{1000, "a", false}, /* it may have had another hub before */
		{2700, "a", true},  {3000, "b", false}, {5200, "b", false},
		{5400, "b", true},  {6000, "a", false}, {7900, "a", false},
		{8100, "a", true},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		Mw__HubReport r = MW__HUB_REPORT__INIT;
		hostcfg_fill_report(&h, steps[i].ms * USEC_PER_MSEC,
				    steps[i].hub, &r);
		ck_assert_msg(r.informed == steps[i].informed, "step %zu", i);
	}
	hostcfg_release(&h);
}
END_TEST

/*
 * Guards against an island that stops serving whenever its hosts report to a
 * process that precedes the hub in their order and refuses the report.
 */
START_TEST(test_refused_report)
{
	Mw__HubReport r = MW__HUB_REPORT__INIT;
	struct hostcfg h;

	host_init(&h);
	grant_lease(&h, SEC, 2);
	hostcfg_fill_report(&h, 4 * SEC, "a", &r);
	hostcfg_fill_report(&h, 5 * SEC, "ctl", &r);
	ck_assert(!r.informed);
	hostcfg_undo_report(&h);
	hostcfg_fill_report(&h, 5 * SEC, "a", &r);
	ck_assert(r.informed);
	/* A report without an answer may have been counted. */
	hostcfg_fill_report(&h, 6 * SEC, "ctl", &r);
	hostcfg_fill_report(&h, 7 * SEC, "a", &r);
	ck_assert(!r.informed);
	hostcfg_release(&h);
}
END_TEST

/*
 * Guards against an island that stays without weight because the host that
 * became its hub has restarted or missed the newest set of hosts: it takes the
 * set from another host's snapshot.
 */
START_TEST(test_members_of_peer)
{
	Mw__HostInfo info = MW__HOST_INFO__INIT, *infos[] = {&info};
	Mw__Grant set = MW__GRANT__INIT;
	Mw__TreeSnapshot s;
	struct hostcfg h;

	hostcfg_init(&h, 0);
	fill_snapshot(2, &s);
	info.host = "h0";
	set.member_version = 7;
	set.hosts = infos;
	set.n_hosts = 1;
	set.anchor = "h0";
	s.stale = true;
	s.members = &set;
	ck_assert_int_eq(hostcfg_apply_snapshot(&h, &s), 1);
	ck_assert_uint_eq(h.member_version, 7);
	ck_assert_str_eq(h.members->hosts[0]->host, "h0");
	/* An older set changes nothing. */
	set.member_version = 6;
	info.host = "h1";
	hostcfg_apply_snapshot(&h, &s);
	ck_assert_uint_eq(h.member_version, 7);
	ck_assert_str_eq(h.members->hosts[0]->host, "h0");
	/* The host includes the set in its own snapshots. */
	mw__tree_snapshot__init(&s);
	hostcfg_fill_snapshot(&h, &s);
	ck_assert_uint_eq(s.members->member_version, 7);
	hostcfg_release(&h);
}
END_TEST

/* ---- hub ---- */

static const char *const host_names[] = {"h0", "h1", "h2"};

static struct hub *new_hub(uint64_t members)
{
	struct hub_cfg cfg = {.name = "k", .dc = "w", .epoch = 1};
	struct hub *hub = hub_new(&cfg, 0);

	hub_set_hosts(hub, host_names, 3, "h0");
	hub_set_member_version(hub, members);
	return hub;
}

static Mw__HubReport make_report(int host, uint64_t seq)
{
	Mw__HubReport r = MW__HUB_REPORT__INIT;

	r.host = (char *)host_names[host];
	r.incarnation = 1;
	r.seq = seq;
	r.grant_seq = seq - 1;
	r.informed = true;
	r.version = 2;
	return r;
}

static void deliver_report(struct hub *hub, int64_t now, const Mw__HubReport *r)
{
	Mw__HubGrant *g = hub_handle_report(hub, now, r);

	mw__hub_grant__free_unpacked(g, NULL);
}

/* Guards against counting a host by a report that was delayed in transit. */
START_TEST(test_delayed_report)
{
	struct hub *hub = new_hub(1);
	Mw__HubReport r;

	for (uint64_t i = 1; i <= 2; i++) {
		r = make_report(0, i);
		deliver_report(hub, (int64_t)i * SEC, &r);
	}
	ck_assert_uint_eq(hub_component_weight2(hub, 2 * SEC), 3);
	/* Sent soon after the answer at 2 s, received at 10 s. */
	r = make_report(0, 3);
	deliver_report(hub, 10 * SEC, &r);
	ck_assert_uint_eq(hub_component_weight2(hub, 10 * SEC), 0);
	hub_free(hub);
}
END_TEST

/*
 * Guards against hub answers without the newest version, preparation or leader
 * contact that a host of the component reported.
 */
START_TEST(test_newest_state_of_component)
{
	struct hub *hub = new_hub(5);
	Mw__HubGrant *g = NULL;

	for (uint64_t i = 1; i <= 3; i++) {
		Mw__HubReport r = make_report(0, i), q = make_report(1, i);
		r.version = 4;
		q.version = 4;
		q.pending = 5;
		q.pending_attempt = 77;
		q.has_lease = i == 3;
		deliver_report(hub, (int64_t)i * SEC, &r);
		mw__hub_grant__free_unpacked(g, NULL);
		g = hub_handle_report(hub, (int64_t)i * SEC, &q);
		ck_assert_uint_eq(g->leader_contact, i == 3);
		if (i < 2)
			continue;
		ck_assert_uint_eq(g->version, 4);
		ck_assert_uint_eq(g->pending_attempt, 77);
		ck_assert_str_eq(g->tree_host, "h1");
	}
	ck_assert_uint_eq(g->component_weight2, 5);
	mw__hub_grant__free_unpacked(g, NULL);
	/* A host has a newer set of hosts than the hub. */
	Mw__HubReport r = make_report(0, 4);
	r.member_version = 6;
	deliver_report(hub, 4 * SEC, &r);
	ck_assert_uint_eq(hub_component_weight2(hub, 4 * SEC), 0);
	hub_free(hub);
}
END_TEST

/* ---- leases ---- */

static int renew_lease(struct lease_table *t, struct members *m,
		       const char *host, int64_t now, uint64_t member_version)
{
	struct lease_requirements s = {.members = m, .version = 1};
	Mw__Renew r = MW__RENEW__INIT;

	r.host = (char *)host;
	r.dc = "w";
	r.incarnation = 1;
	r.version = 1;
	r.member_version = member_version;
	return lease_renew(t, now, &r, "", &s);
}

static void register_member(struct members *m, const char *host)
{
	Mw__HostInfo info = MW__HOST_INFO__INIT;
	uint64_t gone;

	info.host = (char *)host;
	info.dc = "w";
	info.role = "entry";
	info.incarnation = 1;
	ck_assert_int_eq(member_register(m, &info, &gone), 0);
}

/*
 * Guards against a new leader that takes {h1, h2} for a majority while the
 * anchor h0 has only the set {h0, h1} and serves as an island on its own.
 */
START_TEST(test_view_of_former_leader)
{
	struct lease_table *t = lease_new(0);
	struct members *m = members_new();

	for (int i = 0; i < 3; i++)
		register_member(m, host_names[i]);
	renew_lease(t, m, "h1", 10 * SEC, 3);
	renew_lease(t, m, "h2", 10 * SEC, 3);
	ck_assert(!lease_dc_connected(t, m, "w", 10 * SEC));
	/* Once h0 has reported the set, the others suffice without it. */
	renew_lease(t, m, "h0", 10 * SEC, 3);
	renew_lease(t, m, "h1", 15 * SEC, 3);
	renew_lease(t, m, "h2", 15 * SEC, 3);
	ck_assert(lease_dc_connected(t, m, "w", 15 * SEC));
	lease_free(t);
	members_free(m);
}
END_TEST

/*
 * Guards against adding a second name before all hosts have the first.  A
 * change in another data centre may raise the member version before the first
 * name is applied, so a newer reported version alone does not prove that.
 */
START_TEST(test_one_new_name_at_a_time)
{
	struct lease_table *t = lease_new(0);
	struct members *m = members_new();
	Mw__Renew r = MW__RENEW__INIT;

	register_member(m, "h0");
	renew_lease(t, m, "h0", 10 * SEC, 1);
	r.host = "h1";
	r.dc = "w";
	ck_assert(lease_may_register(t, m, &r, false, 10 * SEC));
	ck_assert(!lease_may_register(t, m, &r, true, 10 * SEC));
	lease_host_add_begin(t, m, "w");
	renew_lease(t, m, "h0", 10 * SEC, 2);
	r.host = "h2";
	ck_assert(!lease_may_register(t, m, &r, false, 10 * SEC));
	register_member(m, "h1");
	lease_host_add_end(t);
	ck_assert(!lease_may_register(t, m, &r, false, 10 * SEC));
	renew_lease(t, m, "h0", 10 * SEC, 3);
	renew_lease(t, m, "h1", 10 * SEC, 3);
	ck_assert(lease_may_register(t, m, &r, false, 10 * SEC));
	lease_free(t);
	members_free(m);
}
END_TEST

/*
 * Guards against deregistering a host that served in an island until the data
 * centre was connected again.
 */
START_TEST(test_dead_after_cut)
{
	struct lease_table *t = lease_new(0);
	struct members *m = members_new();

	for (int i = 0; i < 3; i++)
		register_member(m, host_names[i]);
	for (int64_t now = 0; now <= 142 * SEC; now += SEC) {
		/* All renew until 10 s, none until 100 s, then all but h2. */
		for (int i = 0; i < 3; i++)
			if (now < 10 * SEC || (now >= 100 * SEC && i < 2))
				renew_lease(t, m, host_names[i], now, 3);
		const struct member_host *d = lease_dead_host(t, m, now);
		if (now < 140 * SEC)
			ck_assert_ptr_null(d);
	}
	ck_assert_ptr_nonnull(lease_dead_host(t, m, 142 * SEC));
	lease_free(t);
	members_free(m);
}
END_TEST

RUN_TESTS("config", test_lease_from_sending, test_prepare_base, test_attempts,
	  test_join_island_with_old_tree, test_restart_in_island,
	  test_deregistered_island, test_move, test_refused_report,
	  test_members_of_peer, test_delayed_report,
	  test_newest_state_of_component, test_view_of_former_leader,
	  test_one_new_name_at_a_time, test_dead_after_cut)
