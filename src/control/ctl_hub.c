#include "control/ctl.h"

#include <string.h>
#include <sodium.h>

#include "base/clock.h"
#include "base/err.h"

/*
 * Connects the hub of the data centre to the control process that runs it:
 * passes member list and tree to the hub, and answers hub messages of peers.
 */

#define LEAVE_TIMEOUT_MS 1000

void ctl_hub_update(struct ctl *c, int64_t now)
{
	const struct members *m = sm_members(c->sm);
	const char *dc = c->conf->dc;
	bool contact = ctl_is_leader(c, now) ||
		       (!c->leading && ctl_leader_peer(c) != NULL);

	c->leader_contact = contact;
	hub_set_leader_contact(c->hub, contact);
	hub_set_tree_version(c->hub, tree_version(sm_tree(c->sm)));
	hub_set_floors(c->hub, sm_tree(c->sm));
	hub_tick(c->hub, now);
	if (member_version(m) == c->hub_member_version)
		return;
	c->hub_member_version = member_version(m);
	const char **hosts = g_new0(const char *, member_count(m) + 1);
	size_t n = 0;
	for (size_t i = 0; i < member_count(m); i++) {
		const struct member_host *h = member_at(m, i);
		if (member_weight2(m, dc, h->info->host))
			hosts[n++] = h->info->host;
	}
	hub_set_hosts(c->hub, hosts, n, member_anchor(m, dc));
	hub_set_member_version(c->hub, member_version(m));
	g_free(hosts);
}

/*
 * Returns the peer that messages to the hub of data centre dc are sent to: its
 * control process or, if that is not connected, the first connected entry host
 * of the data centre.  NULL if none is connected.
 */
static struct peer *find_hub_peer(struct ctl *c, const char *dc)
{
	const struct members *m = sm_members(c->sm);

	for (size_t i = 0; i < c->conf->control_nr; i++) {
		const struct conf_control *ctl = &c->conf->controls[i];
		struct peer *p = peer_find(c->peers, ctl->host);
		if (p && !strcmp(ctl->dc, dc))
			return p;
	}
	for (size_t i = 0; i < member_count(m); i++) {
		const Mw__HostInfo *info = member_at(m, i)->info;
		struct peer *p = strcmp(info->dc, dc) != 0
					 ? NULL
					 : peer_find(c->peers, info->host);
		if (p)
			return p;
	}
	return NULL;
}

void ctl_hub_announce(struct ctl *c, const Mw__Frame *f, int64_t now)
{
	Mw__EndpointInfo *info = f->announce->info;

	if (!info)
		return;
	if (!strcmp(info->dc, c->conf->dc)) {
		hub_handle_announcement(c->hub, now, info);
		return;
	}
	Mw__Frame forward = MW__FRAME__INIT;
	struct peer *p = find_hub_peer(c, info->dc);
	forward.body_case = MW__FRAME__BODY_ANNOUNCE;
	forward.announce = f->announce;
	if (p)
		peer_send(p, &forward);
}

static void reply_ack(struct ctl *c, struct peer_rpc rpc, int err)
{
	Mw__Frame f = MW__FRAME__INIT;
	Mw__Ack ack = MW__ACK__INIT;

	ack.err = err;
	f.body_case = MW__FRAME__BODY_ACK;
	f.ack = &ack;
	peer_reply(c->peers, rpc, &f);
}

struct leave_relay {
	struct ctl *ctl;
	struct peer_rpc rpc;
};

static void on_leave_reply(int err, const Mw__Frame *reply, void *ctx)
{
	struct leave_relay *r = ctx;

	if (err == 0 && reply->body_case == MW__FRAME__BODY_ACK)
		err = reply->ack->err;
	reply_ack(r->ctl, r->rpc, err);
	g_free(r);
}

void ctl_hub_leave(struct ctl *c, struct peer *from, const Mw__Frame *f,
		   int64_t now)
{
	struct peer *p;
	Mw__Frame forward = MW__FRAME__INIT;

	if (!strcmp(f->leave->dc, c->conf->dc)) {
		int err = hub_handle_leave(c->hub, now, f->leave);
		/* An outdated leave changes nothing: success for the sender. */
		reply_ack(c, peer_rpc(from, f), err == -MW_ECONFLICT ? 0 : err);
		return;
	}
	p = find_hub_peer(c, f->leave->dc);
	struct leave_relay *r = g_new(struct leave_relay, 1);
	r->ctl = c;
	r->rpc = peer_rpc(from, f);
	forward.body_case = MW__FRAME__BODY_LEAVE;
	forward.leave = f->leave;
	if (p &&
	    peer_call(p, &forward, LEAVE_TIMEOUT_MS, on_leave_reply, r) == 0)
		return;
	reply_ack(c, r->rpc, -MW_EAGAIN);
	g_free(r);
}

void ctl_hub_departed(struct ctl *c, const Mw__EndpointInfo *info)
{
	Mw__LeaveFwd leave = MW__LEAVE_FWD__INIT;

	if (strcmp(info->dc, c->conf->dc) != 0)
		return;
	leave.id = info->id;
	leave.incarnation = info->incarnation;
	leave.seq = info->seq;
	leave.dc = info->dc;
	leave.deadline_ms = info->leave_deadline_ms;
	hub_handle_leave(c->hub, clock_mono_us(), &leave);
}

/*
 * Records the member version of a report, and returns whether the hub may
 * answer reports: with leader contact, or if no host has reported a newer
 * member list than the hub has.  Without the leader, a control process that has
 * restarted or missed a change of the member list cannot get the current one,
 * and the hub would compute a component weight of 0.  The report is then
 * refused, so that the hosts use the hub of an entry host.
 */
static bool may_answer_reports(struct ctl *c, const Mw__HubReport *report)
{
	if (report->member_version > c->reported_member_version)
		c->reported_member_version = report->member_version;
	return c->leader_contact ||
	       c->reported_member_version <= c->hub_member_version;
}

void ctl_hub_report(struct ctl *c, struct peer *from, const Mw__Frame *f,
		    int64_t now)
{
	if (!may_answer_reports(c, f->hub_report)) {
		reply_ack(c, peer_rpc(from, f), -MW_EAGAIN);
		return;
	}
	Mw__Frame reply = MW__FRAME__INIT;
	Mw__HubGrant *g = hub_handle_report(c->hub, now, f->hub_report);

	if (!g)
		return;
	reply.body_case = MW__FRAME__BODY_HUB_GRANT;
	reply.hub_grant = g;
	peer_reply(c->peers, peer_rpc(from, f), &reply);
	mw__hub_grant__free_unpacked(g, NULL);
}

static double account_weight(void *ctx, const char *account)
{
	struct ctl *c = ctx;
	const struct account_cfg *a = tree_account(sm_tree(c->sm), account);

	return a ? (double)a->weight / 100.0 : 1.0;
}

void ctl_hub_start(struct ctl *c)
{
	struct hub_cfg cfg = {.name = c->conf->host,
			      .dc = c->conf->dc,
			      .account_weight = account_weight,
			      .account_weight_ctx = c};

	randombytes_buf(&cfg.epoch, sizeof(cfg.epoch));
	c->hub = hub_new(&cfg, clock_mono_us());
}
