#include "entry/entry.h"

#include <sodium.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "control/hub.h"

/*
 * Hub of the data centre on this entry host, for hosts that reach no process
 * that precedes it in the order of candidates (control/hub_order.h).  It exists
 * only while hosts report to it.  So a hub that takes over is always new, and
 * grants no credits during its first lease, until those of its predecessor have
 * expired.
 *
 * The set of registered hosts comes from grants and from peers.  A restarted
 * host without a set refuses reports, so that the next host in the order
 * becomes the hub.
 */

/* The hub ends after this time without a report. */
#define LOCAL_HUB_IDLE_US (5 * USEC_PER_SEC)

bool local_hub_can_serve(const struct entry *e)
{
	return e->session.cfg.members && !e->stopping;
}

static double account_weight(void *ctx, const char *account)
{
	struct entry *e = ctx;
	struct tree *t = e->session.cfg.tree;
	const struct account_cfg *a = t ? tree_account(t, account) : NULL;

	return a ? (double)a->weight / 100.0 : 1.0;
}

static void start_hub(struct entry *e, int64_t now)
{
	struct hub_cfg cfg = {.name = e->conf->host,
			      .dc = e->conf->dc,
			      .account_weight = account_weight,
			      .account_weight_ctx = e};

	randombytes_buf(&cfg.epoch, sizeof(cfg.epoch));
	e->session.local_hub = hub_new(&cfg, now);
	e->session.local_hub_member_version = 0;
	log_info("hub", "this host is now a hub of %s", e->conf->dc);
	entry_event(e, EV_KIND_HUB_ROLE, NULL, NULL, NULL,
		    "%s is now a hub of %s", e->conf->host, e->conf->dc);
}

static void update_hub_hosts(struct entry *e)
{
	struct session *s = &e->session;
	const Mw__Grant *m = s->cfg.members;

	if (s->cfg.member_version == s->local_hub_member_version)
		return;
	g_autofree const char **hosts = g_new0(const char *, m->n_hosts + 1);
	for (size_t i = 0; i < m->n_hosts; i++)
		hosts[i] = m->hosts[i]->host;
	hub_set_hosts(s->local_hub, hosts, m->n_hosts,
		      *m->anchor ? m->anchor : NULL);
	hub_set_member_version(s->local_hub, s->cfg.member_version);
	s->local_hub_member_version = s->cfg.member_version;
}

/*
 * The hub reports the version in force on this host and not a newer one that
 * this host has only received the number of: no host could fetch it from here,
 * and hosts that hold it as a pending change include it in their reports.
 */
static void update_hub(struct entry *e, int64_t now)
{
	struct session *s = &e->session;

	update_hub_hosts(e);
	if (s->cfg.tree)
		hub_set_floors(s->local_hub, s->cfg.tree);
	hub_set_tree_version(s->local_hub,
			     s->cfg.tree ? tree_version(s->cfg.tree) : 0);
	hub_set_leader_contact(s->local_hub, now < s->cfg.lease_until_us);
}

Mw__HubGrant *local_hub_apply_report(struct entry *e, int64_t now,
				     const Mw__HubReport *report)
{
	struct session *s = &e->session;

	if (!s->local_hub)
		start_hub(e, now);
	s->local_hub_last_used_us = now;
	update_hub(e, now);
	return hub_handle_report(s->local_hub, now, report);
}

void local_hub_answer_report(struct entry *e, struct peer *from,
			     const Mw__Frame *f, int64_t now)
{
	Mw__Frame reply = MW__FRAME__INIT;

	if (!local_hub_can_serve(e)) {
		session_reply_ack(e, peer_rpc(from, f), -MW_EAGAIN);
		return;
	}
	Mw__HubGrant *g = local_hub_apply_report(e, now, f->hub_report);
	/*
	 * The weight of the component is 0 until this host has the newest set
	 * of registered hosts.
	 */
	if (f->hub_report->member_version > e->session.cfg.member_version)
		session_request_tree_from(e, from);
	if (!g)
		return;
	reply.body_case = MW__FRAME__BODY_HUB_GRANT;
	reply.hub_grant = g;
	peer_reply(e->peers, peer_rpc(from, f), &reply);
	mw__hub_grant__free_unpacked(g, NULL);
}

void local_hub_handle_announcement(struct entry *e,
				   const Mw__EndpointInfo *info, int64_t now)
{
	if (e->session.local_hub)
		hub_handle_announcement(e->session.local_hub, now, info);
}

void local_hub_handle_leave(struct entry *e, const Mw__LeaveFwd *leave,
			    int64_t now)
{
	if (e->session.local_hub)
		hub_handle_leave(e->session.local_hub, now, leave);
}

void local_hub_tick(struct entry *e, int64_t now)
{
	struct session *s = &e->session;

	if (!s->local_hub)
		return;
	if (now - s->local_hub_last_used_us < LOCAL_HUB_IDLE_US) {
		update_hub(e, now);
		hub_tick(s->local_hub, now);
		return;
	}
	local_hub_free(e);
	log_info("hub", "this host is no longer a hub of %s", e->conf->dc);
	entry_event(e, EV_KIND_HUB_ROLE, NULL, NULL, NULL,
		    "%s is no longer a hub of %s", e->conf->host, e->conf->dc);
}

void local_hub_free(struct entry *e)
{
	hub_free(e->session.local_hub);
	e->session.local_hub = NULL;
}
