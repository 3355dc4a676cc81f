#ifndef TESTS_CONFIG_FAULTS_H
#define TESTS_CONFIG_FAULTS_H

/* Randomised test of the configuration: operators and faults. */

/* ---- operators ---- */

/* Submits a change to control process n; ignored unless that is the leader. */
static void submit_to(int n, struct op *o)
{
	struct control *c = &ctls[n];

	if (!nodes[n].alive || sim_now < nodes[n].paused_until || !is_leader(c))
		return;
	g_queue_push_tail(&c->waiting, o);
	change_tick(n);
}

static void submit_to_leader(struct op *o)
{
	submit_to(chance(0.9) ? sim_leader : pick(n_controls), o);
}

/* left_out: bit mask of data centres. */
static struct op *new_op(uint64_t base, unsigned left_out)
{
	static const char *const dcs[NDC] = {"dc0", "dc1", "dc2"};
	struct op *o = g_new0(struct op, 1);
	Mw__Change c = MW__CHANGE__INIT;
	Mw__Edit edit = MW__EDIT__INIT, *edits[] = {&edit};
	char path[32], value[16];
	char *left[NDC];

	g_snprintf(o->id, sizeof(o->id), "c%u", ops->len);
	g_snprintf(path, sizeof(path), "accounts/a%d", pick(ACCOUNTS));
	g_snprintf(value, sizeof(value), "%d", 1 + pick(1000));
	edit.path = path;
	edit.key = "weight";
	edit.value = value;
	c.id = o->id;
	c.base_version = base;
	c.operator_name = "op";
	c.edits = edits;
	c.n_edits = 1;
	c.left_out = left;
	for (int d = 0; d < NDC; d++)
		if (left_out & (1u << d))
			left[c.n_left_out++] = (char *)dcs[d];
	size_t len = mw__change__get_packed_size(&c);
	g_autofree uint8_t *bytes = g_malloc(len + 1);
	mw__change__pack(&c, bytes);
	o->msg = mw__change__unpack(NULL, len, bytes);
	g_ptr_array_add(ops, o);
	return o;
}

static void run_operator(void)
{
	uint64_t v = tree_version(sm_tree(ref_sm));
	unsigned left_out = chance(0.15) ? 1u << pick(NDC) : 0;

	if (ops->len && chance(0.4)) {
		int back = chance(0.5) ? 0 : pick(4);
		submit_to_leader(ops->pdata[MAX((int)ops->len - 1 - back, 0)]);
	} else {
		submit_to_leader(new_op(v, left_out));
		if (chance(0.3))
			submit_to_leader(new_op(v - (v > 2 && chance(0.3)), 0));
	}
	ev_push((struct ev){.t = sim_now + random_between(SEC / 10, 3 * SEC),
			    .kind = EV_OPERATOR});
}

/* ---- faults ---- */

/* Cuts the links from set a to set b, bit masks of nodes; both: and back. */
static void cut_links(unsigned a, unsigned b, bool both)
{
	for (int i = 0; i < node_count(); i++)
		for (int j = 0; j < node_count(); j++)
			if ((a >> i & 1) && (b >> j & 1)) {
				link_cut[i][j] = true;
				link_cut[j][i] |= both;
			}
}

static unsigned nodes_of(const char *dc)
{
	unsigned set = 0;

	for (int i = 0; i < node_count(); i++)
		if (!strcmp(nodes[i].dc, dc))
			set |= 1u << i;
	return set;
}

static void inject_partition(void)
{
	unsigned all = (1u << node_count()) - 1, set = 0;
	int n = pick(node_count());
	unsigned dc = nodes_of(nodes[n].dc);

	switch (pick(5)) {
	case 0: /* one node from all others */
		set = 1u << n;
		break;
	case 1: /* one node from other data centres */
		cut_links(1u << n, all & ~dc, chance(0.7));
		return;
	case 2: /* part of a data centre, from the rest of it or from all */
		for (int i = 0; i < node_count(); i++)
			if ((dc >> i & 1) && chance(0.5))
				set |= 1u << i;
		if (chance(0.5)) {
			cut_links(set, dc & ~set, true);
			return;
		}
		break;
	default: /* a data centre from all others */
		set = dc;
	}
	cut_links(set, all & ~set, chance(0.8));
}

/* Kills a control process; its disk, the state machine here, is kept. */
static void control_stop(int n)
{
	end_leading(n);
	ctls[n].leader = -1;
	nodes[n].alive = false;
	nodes[n].boot++;
	trace("kill %s", nodes[n].name);
}

static void control_start(int n)
{
	nodes[n].alive = true;
	nodes[n].boot++;
	nodes[n].paused_until = 0;
	ctls[n].cold = true;
	ctls[n].reported_member_version = 0;
	start_hub(n);
	start_timer(EV_CTL, n, random_between(0, 100 * MSEC), 0);
	trace("start %s", nodes[n].name);
}

/* Whether a majority of the control processes stays alive without n. */
static bool majority_lives_without(int n)
{
	int alive = 0;

	for (int i = 0; i < n_controls; i++)
		alive += i != n && nodes[i].alive;
	return alive * 2 > n_controls;
}

/*
 * Kills the control processes of a data centre, as far as a majority stays, so
 * that its entry hosts run the hub; mostly also cuts the data centre off.
 */
static void kill_controls_of(const char *dc)
{
	unsigned set = nodes_of(dc);

	for (int i = 0; i < n_controls; i++)
		if ((set >> i & 1) && nodes[i].alive &&
		    majority_lives_without(i))
			control_stop(i);
	if (chance(0.7))
		cut_links(set, ((1u << node_count()) - 1) & ~set, chance(0.8));
}

static void start_controls(void)
{
	for (int i = 0; i < n_controls; i++)
		if (!nodes[i].alive)
			control_start(i);
}

static void host_stop(int n)
{
	if (n < n_controls)
		return;
	nodes[n].alive = false;
	nodes[n].boot++;
	trace("kill %s", nodes[n].name);
}

/*
 * A partition or killed control processes, and up to two stopped hosts, without
 * other faults and for long enough that hosts are deregistered.
 */
static void inject_long_fault(void)
{
	memset(link_cut, 0, sizeof(link_cut));
	loss_rate = duplicate_rate = slow_rate = 0;
	for (int i = n_controls; i < node_count(); i++)
		if (!nodes[i].alive && host_at(i)->exists)
			host_start(i);
	start_controls();
	if (chance(0.4))
		kill_controls_of(nodes[pick(node_count())].dc);
	else if (chance(0.7))
		inject_partition();
	for (int k = pick(3); k > 0; k--) {
		int n = n_controls + pick(n_hosts);
		if (nodes[n].alive)
			host_stop(n);
	}
	ev_push((struct ev){.t = sim_now + random_between(30 * SEC, 100 * SEC),
			    .kind = EV_FAULT});
}

/*
 * Second step of a fault in which host n was cut off alone, and so may lack
 * changes that its data centre agreed on: the data centre becomes an island
 * that includes n, while other hosts of it restart or stop.
 */
static void island_with_stale_host(int n)
{
	unsigned dc = nodes_of(nodes[n].dc);

	memset(link_cut, 0, sizeof(link_cut));
	cut_links(dc, ((1u << node_count()) - 1) & ~dc, true);
	for (int i = 0; i < n_controls && chance(0.5); i++)
		if ((dc >> i & 1) && nodes[i].alive &&
		    majority_lives_without(i))
			control_stop(i);
	for (int i = n_controls; i < node_count(); i++) {
		if (!(dc >> i & 1) || i == n || !host_at(i)->exists)
			continue;
		if (nodes[i].alive && chance(0.6))
			host_stop(i);
		if (!nodes[i].alive && chance(0.6))
			host_start(i);
	}
}

/* stale_host: host for island_with_stale_host(), or 0. */
static void inject_fault(uint64_t stale_host)
{
	int n = pick(node_count());
	struct node *nd = &nodes[n];

	if (stale_host) {
		island_with_stale_host((int)stale_host);
		ev_push((struct ev){.t = sim_now +
					 random_between(9 * SEC, 15 * SEC),
				    .kind = EV_FAULT});
		return;
	}
	if (chance(0.12)) {
		n = n_controls + pick(n_hosts);
		memset(link_cut, 0, sizeof(link_cut));
		loss_rate = duplicate_rate = slow_rate = 0;
		cut_links(1u << n, ((1u << node_count()) - 1) & ~(1u << n),
			  true);
		ev_push((struct ev){.t = sim_now +
					 random_between(4 * SEC, 9 * SEC),
				    .kind = EV_FAULT,
				    .arg = (uint64_t)n});
		return;
	}
	if (faults_end > 60 * SEC && chance(0.2)) {
		inject_long_fault();
		return;
	}
	if (chance(0.15)) {
		kill_controls_of(nd->dc);
		ev_push((struct ev){.t = sim_now +
					 random_between(3 * SEC, 15 * SEC),
				    .kind = EV_FAULT});
		return;
	}
	if (chance(0.2))
		start_controls();
	switch (pick(9)) {
	case 0:
	case 1:
		inject_partition();
		break;
	case 2:
	case 3:
		memset(link_cut, 0, sizeof(link_cut));
		break;
	case 4:
		if (n < n_controls && nodes[n].alive && chance(0.5)) {
			end_leading(n);
			start_hub(n); /* a restart; the disk is kept */
			break;
		}
		/* fall through */
	case 5:
		if (n < n_controls)
			break;
		if (nd->alive)
			host_stop(n);
		if (chance(0.6) || !host_at(n)->exists)
			host_start(n);
		break;
	case 6:
		nd->paused_until =
			MIN(sim_now + random_between(100 * MSEC, 9 * SEC),
			    faults_end);
		break;
	case 7:
		ctls[sim_leader].lease_frozen_until = sim_now + 4 * SEC;
		break;
	default:
		loss_rate = chance(0.5) ? 0 : random_between(0, 300) / 1000.0;
		duplicate_rate = chance(0.5) ? 0 : 0.1;
		slow_rate = chance(0.5) ? 0 : random_between(0, 200) / 1000.0;
		for (int i = n_controls; i < node_count(); i++)
			if (!nodes[i].alive && host_at(i)->exists &&
			    chance(0.5))
				host_start(i);
	}
	ev_push((struct ev){.t = sim_now + random_between(SEC / 5, 5 * SEC),
			    .kind = EV_FAULT});
}

#endif
