#include "control/ctl.h"

#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"

/*
 * Lease renewals, registration and deregistration of hosts, and distribution of
 * crash marks.
 */

#define FORWARD_TIMEOUT_MS 1500

/*
 * A renewal being processed: its host is being registered, or it was forwarded
 * to the leader.
 */
struct renewal {
	struct ctl *ctl;
	struct peer_rpc rpc;
	Mw__Renew *msg;
	char relay_host[64]; /* control host that forwarded it, or "" */
	bool adds_host;	     /* its name is not registered yet */
};

static Mw__Renew *copy_renew(const Mw__Renew *r)
{
	size_t len = mw__renew__get_packed_size(r);
	g_autofree uint8_t *bytes = g_malloc(len + 1);

	mw__renew__pack(r, bytes);
	return mw__renew__unpack(NULL, len, bytes);
}

static void reply_grant(struct ctl *c, struct peer_rpc rpc, Mw__Grant *g)
{
	Mw__Frame f = MW__FRAME__INIT;

	f.body_case = MW__FRAME__BODY_GRANT;
	f.grant = g;
	peer_reply(c->peers, rpc, &f);
}

static void reply_error(struct ctl *c, struct peer_rpc rpc, int err)
{
	Mw__Grant g = MW__GRANT__INIT;

	g.err = err;
	g.term = rep_term(c->rep);
	reply_grant(c, rpc, &g);
}

struct suspect_list {
	Mw__SuspectInfo *rows;
	Mw__SuspectInfo **ptrs;
	size_t n;
};

static void add_suspect(const Mw__SnapCrash *mark, void *arg)
{
	struct suspect_list *l = arg;
	Mw__SuspectInfo *s = &l->rows[l->n];

	mw__suspect_info__init(s);
	s->fingerprint = mark->fingerprint;
	s->account = mark->account;
	s->deaths = (uint32_t)mark->n_deaths;
	if (mark->n_deaths) {
		s->endpoint = mark->deaths[mark->n_deaths - 1]->endpoint;
		s->endpoint_incarnation =
			mark->deaths[mark->n_deaths - 1]->incarnation;
	}
	l->ptrs[l->n++] = s;
}

/* Adds all crash marks, which are few, if the host's version is older. */
static void fill_suspects(struct ctl *c, const Mw__Renew *r, Mw__Grant *g,
			  struct suspect_list *l)
{
	const struct crash_marks *crash = sm_crash_marks(c->sm);

	g->suspect_version = crash_version(crash);
	if (r->suspect_version >= g->suspect_version)
		return;
	l->rows = g_new0(Mw__SuspectInfo, crash_count_marks(crash) + 1);
	l->ptrs = g_new0(Mw__SuspectInfo *, crash_count_marks(crash) + 1);
	crash_for_each(crash, add_suspect, l);
	g->suspects = l->ptrs;
	g->n_suspects = l->n;
}

/* Adds the entry hosts of the data centre, if the host's list is older. */
static void fill_hosts(struct ctl *c, const Mw__Renew *r, Mw__Grant *g)
{
	const struct members *m = sm_members(c->sm);
	const char *anchor = member_anchor(m, r->dc);

	g->member_version = member_version(m);
	g->anchor = (char *)(anchor ? anchor : "");
	if (r->member_version >= g->member_version)
		return;
	g->hosts = g_new0(Mw__HostInfo *, member_count(m) + 1);
	for (size_t i = 0; i < member_count(m); i++) {
		const struct member_host *h = member_at(m, i);
		if (!strcmp(h->info->dc, r->dc) &&
		    member_weight2(m, r->dc, h->info->host))
			g->hosts[g->n_hosts++] = h->info;
	}
}

static void reply_to_renewal(struct ctl *c, const struct renewal *rn, int err)
{
	Mw__Grant g = MW__GRANT__INIT;
	struct suspect_list suspects = {0};

	g.err = err;
	g.term = rep_term(c->rep);
	g.leader = c->conf->host;
	g.leader_addr = c->conf->peer_listen;
	g.lease_ms = (uint32_t)(LEASE_DURATION_US / USEC_PER_MSEC);
	g.version = tree_version(sm_tree(c->sm));
	if (c->change) {
		g.pending = change_version(c->change);
		g.pending_id = (char *)change_id(c->change);
		g.pending_attempt = change_attempt(c->change);
	}
	if (err == 0) {
		fill_hosts(c, rn->msg, &g);
		fill_suspects(c, rn->msg, &g, &suspects);
	}
	reply_grant(c, rn->rpc, &g);
	g_free(g.hosts);
	g_free(suspects.rows);
	g_free(suspects.ptrs);
}

static int apply_renewal(struct ctl *c, const struct renewal *rn)
{
	struct lease_requirements state = {
		.members = sm_members(c->sm),
		.version = tree_version(sm_tree(c->sm)),
		.pending = c->change ? change_version(c->change) : 0,
		.pending_attempt = c->change ? change_attempt(c->change) : 0,
	};

	return lease_renew(c->leases, clock_mono_us(), rn->msg, rn->relay_host,
			   &state);
}

static void renewal_free(struct renewal *rn)
{
	mw__renew__free_unpacked(rn->msg, NULL);
	g_free(rn);
}

static void on_registered(int err, const Mw__Result *r, void *ctx)
{
	struct renewal *rn = ctx;
	struct ctl *c = rn->ctl;

	if (rn->adds_host && c->leases)
		lease_host_add_end(c->leases);
	if (err == 0 && r)
		err = r->err;
	if (err == 0 && ctl_is_leader(c, clock_mono_us())) {
		log_info("lease", "registered host %s in %s", rn->msg->host,
			 rn->msg->dc);
		ctl_event(c, EV_KIND_HOST_REGISTERED, NULL, NULL, "%s in %s",
			  rn->msg->host, rn->msg->dc);
		reply_to_renewal(c, rn, apply_renewal(c, rn));
	} else {
		reply_error(c, rn->rpc, err < 0 ? err : -MW_ENOLEADER);
	}
	renewal_free(rn);
}

static void register_host(struct ctl *c, struct renewal *rn)
{
	Mw__Command cmd = MW__COMMAND__INIT;
	Mw__HostRegister reg = MW__HOST_REGISTER__INIT;
	Mw__HostInfo info = MW__HOST_INFO__INIT;
	const Mw__Renew *r = rn->msg;

	if (!lease_may_register(c->leases, sm_members(c->sm), r,
				c->change != NULL, clock_mono_us())) {
		reply_error(c, rn->rpc, -MW_EAGAIN);
		renewal_free(rn);
		return;
	}
	if (!member_find(sm_members(c->sm), r->host)) {
		rn->adds_host = true;
		lease_host_add_begin(c->leases, sm_members(c->sm), r->dc);
	}
	info.host = r->host;
	info.dc = r->dc;
	info.role = r->role;
	info.peer_addr = r->peer_addr;
	info.admin_addr = r->admin_addr;
	info.incarnation = r->incarnation;
	reg.info = &info;
	cmd.body_case = MW__COMMAND__BODY_HOST_REGISTER;
	cmd.host_register = &reg;
	ctl_propose(c, &cmd, on_registered, rn);
}

static void on_leader_reply(int err, const Mw__Frame *reply, void *ctx)
{
	struct renewal *rn = ctx;

	if (err == 0 && reply->body_case == MW__FRAME__BODY_GRANT)
		reply_grant(rn->ctl, rn->rpc, reply->grant);
	else
		reply_error(rn->ctl, rn->rpc, -MW_ENOLEADER);
	renewal_free(rn);
}

static void forward_to_leader(struct ctl *c, struct renewal *rn)
{
	struct peer *leader = ctl_leader_peer(c);
	Mw__Frame f = MW__FRAME__INIT;

	f.body_case = MW__FRAME__BODY_RENEW;
	f.renew = rn->msg;
	if (leader &&
	    peer_call(leader, &f, FORWARD_TIMEOUT_MS, on_leader_reply, rn) == 0)
		return;
	reply_error(c, rn->rpc, -MW_ENOLEADER);
	renewal_free(rn);
}

void ctl_renew(struct ctl *c, struct peer *from, const Mw__Frame *f)
{
	struct renewal *rn = g_new0(struct renewal, 1);
	const char *host = peer_hello(from)->host;

	rn->ctl = c;
	rn->rpc = peer_rpc(from, f);
	rn->msg = copy_renew(f->renew);
	if (strcmp(host, rn->msg->host) != 0)
		g_strlcpy(rn->relay_host, host, sizeof(rn->relay_host));
	if (!ctl_is_leader(c, clock_mono_us())) {
		/* A renewal is forwarded only once, so that none can loop. */
		if (*rn->relay_host || c->leading) {
			reply_error(c, rn->rpc, -MW_ENOLEADER);
			renewal_free(rn);
		} else {
			forward_to_leader(c, rn);
		}
		return;
	}
	int err = apply_renewal(c, rn);
	if (err == -MW_ENOTFOUND) {
		register_host(c, rn);
		return;
	}
	reply_to_renewal(c, rn, err);
	renewal_free(rn);
}

void ctl_note_host_removal(struct ctl *c, const Mw__HostGone *gone)
{
	const struct member_host *h =
		member_find(sm_members(c->sm), gone->host);

	if (h && h->info->incarnation == gone->incarnation)
		lease_keep_view(c->leases, sm_members(c->sm), h->info->dc);
}

static void deregister_host(struct ctl *c, const struct member_host *h)
{
	Mw__Command cmd = MW__COMMAND__INIT;
	Mw__HostGone gone = MW__HOST_GONE__INIT;

	log_warn("lease", "host %s in %s no longer renews; deregistering it",
		 h->info->host, h->info->dc);
	ctl_event(c, EV_KIND_HOST_GONE, NULL, NULL,
		  "%s in %s: no lease for 60 s", h->info->host, h->info->dc);
	gone.host = h->info->host;
	gone.incarnation = h->info->incarnation;
	ctl_note_host_removal(c, &gone);
	cmd.body_case = MW__COMMAND__BODY_HOST_GONE;
	cmd.host_gone = &gone;
	ctl_propose(c, &cmd, NULL, NULL);
}

void ctl_lease_tick(struct ctl *c, int64_t now)
{
	if (now - c->dead_host_check_us < USEC_PER_SEC || c->change)
		return;
	c->dead_host_check_us = now;
	const struct member_host *dead =
		lease_dead_host(c->leases, sm_members(c->sm), now);
	if (dead)
		deregister_host(c, dead);
}

/* ---- crash marks ---- */

/*
 * Forwards a crash mark to all connected entry hosts but the sender, because
 * the request may be sent again to another host before that host receives the
 * committed mark with its lease grant.  An entry host sends a mark to all
 * control processes and each of them forwards it to all hosts, so one control
 * process that works suffices when others are frozen or cut off.
 */
void ctl_forward_crash_mark(struct ctl *c, struct peer *from,
			    const Mw__Frame *f)
{
	Mw__Frame out = MW__FRAME__INIT;

	out.body_case = MW__FRAME__BODY_CRASH_MARK;
	out.crash_mark = f->crash_mark;
	for (struct peer *p = peer_next(c->peers, NULL); p;
	     p = peer_next(c->peers, p))
		if (p != from && !strcmp(peer_hello(p)->role, "entry"))
			peer_send(p, &out);
}
