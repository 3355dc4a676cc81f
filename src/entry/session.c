#include "entry/entry.h"
#include "entry/crash_marks.h"

#include <assert.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "control/lease.h"
#include "obs/stats.h"
#include "policy/registry.h"

/*
 * Messages between an entry host and the control group: lease renewals,
 * configuration changes and proposals.  session_hub.c has those between the
 * host and the hub of its data centre.
 *
 * Renewals go to a connected control process, one of the own data centre if
 * possible, which forwards them to the leader.  When renewals fail, each
 * attempt goes to another control process.  So a host keeps its lease as long
 * as some path to the leader exists.
 */

#define RENEW_TIMEOUT_MS 1000
#define RENEW_RETRY_S 0.2 /* after a failed renewal */
#define TREE_TIMEOUT_MS 3000

static const struct conf_control *find_control(struct entry *e,
					       const char *host)
{
	for (size_t i = 0; i < e->conf->control_nr; i++)
		if (!strcmp(e->conf->controls[i].host, host))
			return &e->conf->controls[i];
	return NULL;
}

/* Prefers control processes of the own data centre, in configured order. */
struct peer *session_find_control(struct entry *e)
{
	struct peer *other = NULL;

	for (size_t i = 0; i < e->conf->control_nr; i++) {
		const struct conf_control *c = &e->conf->controls[i];
		struct peer *p = peer_find(e->peers, c->host);
		if (!p)
			continue;
		if (!strcmp(c->dc, e->conf->dc))
			return p;
		if (!other)
			other = p;
	}
	return other;
}

/*
 * Without a grant for two intervals, each attempt goes to the next connected
 * control process, because the present one may be cut off from the leader.
 */
static struct peer *renewal_peer(struct entry *e)
{
	struct session *s = &e->session;
	static unsigned int next_control;
	int64_t age = clock_mono_us() - s->cfg.last_grant_us;
	struct peer *p = NULL;

	if (age < 2 * LEASE_RENEW_INTERVAL_US)
		return session_find_control(e);
	for (size_t i = 0; i < e->conf->control_nr && !p; i++)
		p = peer_find(
			e->peers,
			e->conf->controls[next_control++ % e->conf->control_nr]
				.host);
	return p;
}

static void send_renewal(struct entry *e);

/* Makes the next renewal due after delay_s at the latest. */
static void renew_soon(struct entry *e, double delay_s)
{
	ev_timer *w = &e->session.renew_timer;

	if (ev_timer_remaining(e->loop, w) <= delay_s)
		return;
	ev_timer_stop(e->loop, w);
	ev_timer_set(w, delay_s, (double)LEASE_RENEW_INTERVAL_US / 1e6);
	ev_timer_start(e->loop, w);
}

static void on_snapshot(int err, const Mw__Frame *reply, void *ctx)
{
	struct entry *e = ctx;
	struct hostcfg *cfg = &e->session.cfg;

	e->session.tree_get_in_flight = false;
	if (err < 0 || reply->body_case != MW__FRAME__BODY_TREE_SNAPSHOT)
		return;
	uint64_t old_member_version = cfg->member_version;
	int r = hostcfg_apply_snapshot(cfg, reply->tree_snapshot);
	if (cfg->member_version != old_member_version)
		session_members_changed(e);
	if (r < 0) {
		log_error("config", "rejected a tree snapshot: %s",
			  err_info(r)->kind);
		return;
	}
	if (r == 1) {
		entry_change_event(e, EV_KIND_CHANGE_ACTIVE, "",
				   "version %" G_GUINT64_FORMAT
				   " from a snapshot",
				   tree_version(cfg->tree));
		log_info("config", "version %" G_GUINT64_FORMAT " in force",
			 tree_version(cfg->tree));
		entry_apply_settings(e);
		/* The leader grants a lease only once this is reported. */
		send_renewal(e);
	}
}

void session_request_tree_from(struct entry *e, struct peer *p)
{
	struct session *s = &e->session;
	Mw__Frame f = MW__FRAME__INIT;
	Mw__TreeGet get = MW__TREE_GET__INIT;

	if (s->tree_get_in_flight || !p)
		return;
	get.have = s->cfg.tree ? tree_version(s->cfg.tree) : 0;
	f.body_case = MW__FRAME__BODY_TREE_GET;
	f.tree_get = &get;
	if (peer_call(p, &f, TREE_TIMEOUT_MS, on_snapshot, e) == 0)
		s->tree_get_in_flight = true;
}

/*
 * Requests the tree from the host of the island that the hub has named as a
 * holder of it, if that host is connected, else from a control process.
 */
void session_request_tree(struct entry *e)
{
	const char *host = e->session.cfg.tree_host;
	struct peer *p = *host ? peer_find(e->peers, host) : NULL;

	session_request_tree_from(e, p ? p : renewal_peer(e));
}

static void on_grant(int err, const Mw__Frame *reply, void *ctx)
{
	struct entry *e = ctx;
	struct session *s = &e->session;

	s->renewal_in_flight = false;
	if (err < 0 || reply->body_case != MW__FRAME__BODY_GRANT) {
		renew_soon(e, RENEW_RETRY_S);
		return;
	}
	const Mw__Grant *g = reply->grant;
	if (g->err == -MW_ENOLEADER || g->err == -MW_ENOTLEADER) {
		/*
		 * An election takes up to half of a lease, so the renewal must
		 * reach the new leader soon.
		 */
		renew_soon(e, RENEW_RETRY_S);
		return;
	}
	if (g->err == -MW_EFENCED) {
		log_error("lease", "another process is running as host %s",
			  e->conf->host);
		return;
	}
	bool had_lease = clock_mono_us() < s->cfg.lease_until_us;
	uint64_t old_member_version = s->cfg.member_version;
	int r = hostcfg_apply_grant(&s->cfg, clock_mono_us(), g);
	marks_apply_grant(e, g);
	if (r == 1)
		session_request_tree(e);
	if (!had_lease && clock_mono_us() < s->cfg.lease_until_us) {
		entry_event(e, EV_KIND_LEASE, NULL, NULL, NULL,
			    "leader %s, term %" G_GUINT64_FORMAT, g->leader,
			    g->term);
		entry_pump_soon(e);
	}
	/*
	 * The next host can register only after all hosts have confirmed this
	 * set.
	 */
	if (s->cfg.member_version != old_member_version) {
		session_members_changed(e);
		send_renewal(e);
	}
}

static void fill_renew(struct entry *e, Mw__Renew *r)
{
	int64_t now = clock_mono_us();

	r->host = e->conf->host;
	r->dc = e->conf->dc;
	r->incarnation = e->incarnation;
	r->peer_addr = e->conf->peer_listen;
	r->admin_addr = e->conf->admin_listen;
	r->role = "entry";
	r->ready = entry_ready(e, now);
	r->island = entry_mode(e, now) == HOST_ISLAND;
	r->suspect_version = e->session.suspect_version;
	hostcfg_fill_renew(&e->session.cfg, now, r);
}

static void send_renewal(struct entry *e)
{
	struct session *s = &e->session;
	Mw__Frame f = MW__FRAME__INIT;
	Mw__Renew renew = MW__RENEW__INIT;
	struct peer *p = renewal_peer(e);

	if (!p || s->renewal_in_flight || e->stopping)
		return;
	fill_renew(e, &renew);
	f.body_case = MW__FRAME__BODY_RENEW;
	f.renew = &renew;
	if (peer_call(p, &f, RENEW_TIMEOUT_MS, on_grant, e) < 0)
		return;
	s->renewal_in_flight = true;
}

static void on_renew_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct entry *e = w->data;

	(void)loop;
	(void)revents;
	send_renewal(e);
}

/* ---- configuration changes ---- */

static void handle_prepare(struct entry *e, struct peer *from,
			   const Mw__Frame *in)
{
	const Mw__Prepare *p = in->prepare;
	Mw__Frame f = MW__FRAME__INIT;
	Mw__PrepareAck ack = MW__PREPARE_ACK__INIT;

	ack.host = e->conf->host;
	ack.incarnation = e->incarnation;
	ack.version = p->version;
	ack.change_id = p->change_id;
	ack.term = p->term;
	ack.attempt = p->attempt;
	int r = hostcfg_prepare(&e->session.cfg, p);
	if (r == 1)
		session_request_tree(e);
	/* Not acknowledged: the leader sends the prepare again. */
	if (r == 1 || r == -MW_ECONFLICT)
		return;
	ack.err = r;
	f.body_case = MW__FRAME__BODY_PREPARE_ACK;
	f.prepare_ack = &ack;
	peer_send(from, &f);
	entry_change_event(e, EV_KIND_CHANGE_PREPARED, p->change_id,
			   "version %" G_GUINT64_FORMAT ", %s", p->version,
			   err_info(ack.err)->kind);
}

static void handle_activate(struct entry *e, const Mw__Activate *a)
{
	int r = hostcfg_activate(&e->session.cfg, a);

	if (r == 1) {
		session_request_tree(e);
	} else if (r == 2) {
		entry_change_event(e, EV_KIND_CHANGE_ACTIVE, a->change_id,
				   "version %" G_GUINT64_FORMAT, a->version);
		log_info("config", "version %" G_GUINT64_FORMAT " in force",
			 a->version);
		entry_apply_settings(e);
	} else if (a->abort) {
		entry_change_event(e, EV_KIND_CHANGE_ABORTED, a->change_id,
				   "version %" G_GUINT64_FORMAT, a->version);
	}
	/* The leader extends the lease only once this version is reported. */
	if (r == 2)
		send_renewal(e);
}

/* Answers a host of the same island that lacks the tree or a change. */
static void reply_tree(struct entry *e, struct peer *from, const Mw__Frame *in)
{
	struct hostcfg *cfg = &e->session.cfg;
	Mw__Frame f = MW__FRAME__INIT;
	Mw__TreeSnapshot snap = MW__TREE_SNAPSHOT__INIT;

	hostcfg_fill_snapshot(cfg, &snap);
	f.body_case = MW__FRAME__BODY_TREE_SNAPSHOT;
	f.tree_snapshot = &snap;
	peer_reply(e->peers, peer_rpc(from, in), &f);
}

/* ---- incoming frames, start and stop ---- */

void session_peer_up(struct entry *e, struct peer *p)
{
	if (find_control(e, peer_hello(p)->host))
		send_renewal(e);
	session_hub_peer_up(e, p);
}

void session_reply_ack(struct entry *e, struct peer_rpc rpc, int err)
{
	Mw__Frame reply = MW__FRAME__INIT;
	Mw__Ack ack = MW__ACK__INIT;

	ack.err = err;
	reply.body_case = MW__FRAME__BODY_ACK;
	reply.ack = &ack;
	peer_reply(e->peers, rpc, &reply);
}

/*
 * Answers the leader, which looks up endpoints here if their data centre has no
 * control process.
 */
static void reply_endpoint(struct entry *e, struct peer *from,
			   const Mw__Frame *in)
{
	const struct endpoint *ep = view_find(e, in->endpoint_get->id);
	Mw__Frame f = MW__FRAME__INIT;
	Mw__AnnounceFwd fwd = MW__ANNOUNCE_FWD__INIT;

	if (ep && strcmp(ep->state, "dead") != 0)
		fwd.info = ep->info;
	f.body_case = MW__FRAME__BODY_ANNOUNCE;
	f.announce = &fwd;
	peer_reply(e->peers, peer_rpc(from, in), &f);
}

static void handle_leave(struct entry *e, const Mw__LeaveFwd *leave,
			 int64_t now)
{
	if (leave->deadline_ms == REGISTRY_LEFT_DEADLINE_MS)
		view_mark_replaced(e, leave->id, leave->incarnation, now);
	else
		view_mark_leaving(e, leave->id, leave->incarnation, now);
}

void session_peer_frame(struct entry *e, struct peer *p, const Mw__Frame *f)
{
	int64_t now = clock_mono_us();

	switch (f->body_case) {
	case MW__FRAME__BODY_PREPARE:
		handle_prepare(e, p, f);
		break;
	case MW__FRAME__BODY_ACTIVATE:
		handle_activate(e, f->activate);
		break;
	case MW__FRAME__BODY_TREE_GET:
		reply_tree(e, p, f);
		break;
	case MW__FRAME__BODY_HUB_REPORT:
		local_hub_answer_report(e, p, f, now);
		break;
	case MW__FRAME__BODY_ANNOUNCE:
		session_handle_announce(e, p, f, now);
		break;
	case MW__FRAME__BODY_LEAVE:
		handle_leave(e, f->leave, now);
		local_hub_handle_leave(e, f->leave, now);
		if (f->rpc)
			session_reply_ack(e, peer_rpc(p, f), 0);
		break;
	case MW__FRAME__BODY_ENDPOINT_GET:
		reply_endpoint(e, p, f);
		break;
	case MW__FRAME__BODY_CRASH_MARK:
		marks_handle_mark(e, p, f->crash_mark);
		break;
	default:
		log_debug("peer", "unexpected frame %d from %s",
			  (int)f->body_case, peer_hello(p)->host);
	}
}

int session_start(struct entry *e)
{
	struct session *s = &e->session;

	hostcfg_init(&s->cfg, clock_mono_us());
	for (size_t i = 0; i < e->conf->control_nr; i++) {
		const struct conf_addr *a = &e->conf->controls[i].dial_addr;
		g_autofree char *addr =
			g_strdup_printf("%s:%u", a->ip, a->port);
		int r = peer_dial(e->peers, addr);
		if (r < 0)
			return r;
	}
	for (size_t i = 0; i < e->conf->peer_nr; i++) {
		const struct conf_addr *a = &e->conf->peer_list[i].addr;
		g_autofree char *addr =
			g_strdup_printf("%s:%u", a->ip, a->port);
		if (!strcmp(e->conf->peer_list[i].host, e->conf->host))
			continue;
		int r = peer_dial(e->peers, addr);
		if (r < 0)
			return r;
	}
	ev_timer_init(&s->renew_timer, on_renew_timer, 0.,
		      (double)LEASE_RENEW_INTERVAL_US / 1e6);
	s->renew_timer.data = e;
	ev_timer_start(e->loop, &s->renew_timer);
	session_hub_start(e);
	return 0;
}

void session_stop(struct entry *e)
{
	ev_timer_stop(e->loop, &e->session.renew_timer);
	session_hub_stop(e);
	hostcfg_release(&e->session.cfg);
}

/* ---- proposals ---- */

struct proposal {
	session_result_fn fn;
	void *ctx;
};

static void on_propose_result(int err, const Mw__Frame *reply, void *ctx)
{
	struct proposal *p = ctx;

	if (p->fn) {
		if (err < 0)
			p->fn(-MW_EUNKNOWN, NULL, p->ctx);
		else if (reply->body_case != MW__FRAME__BODY_PROPOSE_RESULT)
			p->fn(-MW_EINTERNAL, NULL, p->ctx);
		else
			p->fn(reply->propose_result->err,
			      reply->propose_result->result, p->ctx);
	}
	g_free(p);
}

void session_propose(struct entry *e, Mw__Command *cmd, int timeout_ms,
		     session_result_fn fn, void *ctx)
{
	Mw__Frame f = MW__FRAME__INIT;
	Mw__Propose propose = MW__PROPOSE__INIT;
	struct peer *to = session_find_control(e);
	struct proposal *p = g_new(struct proposal, 1);

	p->fn = fn;
	p->ctx = ctx;
	propose.command = cmd;
	f.body_case = MW__FRAME__BODY_PROPOSE;
	f.propose = &propose;
	if (to && peer_call(to, &f, timeout_ms, on_propose_result, p) == 0)
		return;
	g_free(p);
	if (fn)
		fn(-MW_ENOLEADER, NULL, ctx);
}
