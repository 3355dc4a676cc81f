#include "entry/entry.h"

#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "control/lease.h"

/*
 * Messages between an entry host and the hub of its data centre, which may run
 * on this host (local_hub.c).
 */

#define REPORT_INTERVAL_S 1.0
#define REPORT_TIMEOUT_MS 1500
#define LEAVE_TIMEOUT_MS 1500

/* ---- choice of the hub ---- */

/* Whether --peers names the host; such hosts stay connected at all times. */
static bool is_configured(const struct entry *e, const char *host)
{
	for (size_t i = 0; i < e->conf->peer_nr; i++)
		if (!strcmp(e->conf->peer_list[i].host, host))
			return true;
	return false;
}

/*
 * The candidates are the control processes of the data centre, this host, the
 * hosts that --peers names, and the registered hosts.
 */
static void update_candidates(struct entry *e)
{
	const struct conf *conf = e->conf;
	const Mw__Grant *m = e->session.cfg.members;
	struct hub_order *o = e->session.order;

	hub_order_begin(o);
	for (size_t i = 0; i < conf->control_nr; i++)
		if (!strcmp(conf->controls[i].dc, conf->dc))
			hub_order_add(o, conf->controls[i].host, "", true);
	hub_order_add(o, conf->host, "", false);
	for (size_t i = 0; i < conf->peer_nr; i++) {
		const struct conf_peer *p = &conf->peer_list[i];
		g_autofree char *addr =
			g_strdup_printf("%s:%u", p->addr.ip, p->addr.port);
		hub_order_add(o, p->host, addr, false);
	}
	for (size_t i = 0; m && i < m->n_hosts; i++)
		hub_order_add(o, m->hosts[i]->host, m->hosts[i]->peer_addr,
			      false);
	hub_order_end(o);
}

static void remove_dial(struct entry *e, const char *host, const char *addr)
{
	if (!is_configured(e, host))
		peer_undial(e->peers, addr);
	g_hash_table_remove(e->session.dials, host);
}

/*
 * Dials the candidates that need a connection and the host that holds the
 * configuration this host lacks.  Closes its other connections, except those
 * to the hosts that --peers names.
 */
static void dial_candidates(struct entry *e)
{
	struct session *s = &e->session;
	g_autoptr(GHashTable) needed =
		g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GList) dialled = NULL;

	for (size_t i = 0; i < hub_order_count(s->order); i++) {
		const struct hub_candidate *c =
			hub_order_candidate(s->order, i);
		const char *addr = g_hash_table_lookup(s->dials, c->name);

		bool has_tree = !strcmp(c->name, s->cfg.tree_host);
		if ((!c->needs_connection && !has_tree) || !*c->addr)
			continue;
		g_hash_table_add(needed, (char *)c->name);
		if (addr && !strcmp(addr, c->addr))
			continue;
		if (addr)
			remove_dial(e, c->name, addr);
		if (peer_dial(e->peers, c->addr) == 0)
			g_hash_table_insert(s->dials, g_strdup(c->name),
					    g_strdup(c->addr));
	}
	dialled = g_hash_table_get_keys(s->dials);
	for (GList *l = dialled; l; l = l->next)
		if (!g_hash_table_contains(needed, l->data))
			remove_dial(e, l->data,
				    g_hash_table_lookup(s->dials, l->data));
}

static bool is_connected(void *ctx, const char *host)
{
	struct entry *e = ctx;

	return peer_find(e->peers, host) != NULL;
}

static const struct hub_candidate *choose_hub(struct entry *e, int64_t now)
{
	const struct hub_candidate *c = hub_order_choose(
		e->session.order, now, local_hub_can_serve(e), is_connected, e);

	dial_candidates(e);
	return c;
}

/*
 * Connection to the hub that answered last or, if there is none, to the one
 * that the newest report was sent to.  NULL if it is not connected.
 */
static struct peer *hub_peer(struct entry *e)
{
	const char *hub = e->session.hub;

	if (!*hub)
		hub = e->session.report_hub;
	return *hub ? peer_find(e->peers, hub) : NULL;
}

static bool is_own_hub(const struct entry *e)
{
	return !strcmp(e->session.hub, e->conf->host);
}

static void set_hub(struct entry *e, const char *hub)
{
	struct session *s = &e->session;

	if (!strcmp(s->hub, hub))
		return;
	if (*hub) {
		log_info("hub", "%s is the hub of this host", hub);
		entry_event(e, EV_KIND_HUB, NULL, NULL, NULL,
			    "%s instead of %s", hub, *s->hub ? s->hub : "none");
	} else {
		log_warn("hub", "%s does not answer; no hub is reachable",
			 s->hub);
		entry_event(e, EV_KIND_HUB, NULL, NULL, NULL,
			    "none, because %s does not answer", s->hub);
	}
	g_strlcpy(s->hub, hub, sizeof(s->hub));
}

void session_members_changed(struct entry *e)
{
	const Mw__Grant *m = e->session.cfg.members;

	credit_set_hosts(e->credit, m ? MAX(1, m->n_hosts) : 1);
	update_candidates(e);
}

/* ---- reports ---- */

/* Lists the queues for a report or a grant; release with g_free(). */
static struct hub_client_queue *collect_queues(struct entry *e, size_t *n)
{
	struct hub_client_queue *queues = g_new0(
		struct hub_client_queue, g_hash_table_size(e->pools) + 1);
	GHashTableIter iter;
	struct pool *p;

	*n = 0;
	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&p)) {
		queues[*n].model = p->name;
		queues[(*n)++].queue = p->queue;
	}
	return queues;
}

static void apply_hub_grant(struct entry *e, const Mw__HubGrant *g, int64_t now)
{
	struct session *s = &e->session;
	size_t n;
	g_autofree struct hub_client_queue *queues = collect_queues(e, &n);

	if (hub_client_apply_grant(s->hub_client, now, g, queues, n) < 0)
		return;
	set_hub(e, g->hub);
	hub_order_answered(s->order, s->report_hub, now);
	s->last_hub_answer_us = now;
	for (size_t i = 0; i < g->n_deltas; i++)
		view_update(e, g->deltas[i], false, now);
	remote_apply_grant(e, g, s->report_sent_us, now);
	if (hostcfg_apply_hub_grant(&s->cfg, s->report_sent_us, g) == 1)
		session_request_tree(e);
	entry_pump_soon(e);
}

static void send_report(struct entry *e);

static void on_hub_grant(int err, const Mw__Frame *reply, void *ctx)
{
	struct entry *e = ctx;
	struct session *s = &e->session;
	int64_t now = clock_mono_us();

	s->report_in_flight = false;
	if (err == 0 && reply->body_case == MW__FRAME__BODY_HUB_GRANT) {
		apply_hub_grant(e, reply->hub_grant, now);
		return;
	}
	if (err == 0)
		hostcfg_undo_report(&s->cfg);
	hub_order_failed(s->order, s->report_hub, now);
	send_report(e);
}

static Mw__HubReport *make_report(struct entry *e, const char *hub, int64_t now)
{
	struct session *s = &e->session;
	size_t n;
	g_autofree struct hub_client_queue *queues = collect_queues(e, &n);
	Mw__HubReport *report = hub_client_make_report(
		s->hub_client, now, queues, n, now < s->cfg.lease_until_us,
		s->cfg.tree ? tree_version(s->cfg.tree) : 0);

	hostcfg_fill_report(&s->cfg, now, hub, report);
	remote_fill_report(e, report, now);
	s->report_sent_us = s->last_report_us = now;
	g_strlcpy(s->report_hub, hub, sizeof(s->report_hub));
	return report;
}

static void report_to_self(struct entry *e, int64_t now)
{
	Mw__HubReport *report = make_report(e, e->conf->host, now);
	Mw__HubGrant *g = local_hub_apply_report(e, now, report);

	if (g) {
		apply_hub_grant(e, g, now);
		mw__hub_grant__free_unpacked(g, NULL);
	}
	mw__hub_report__free_unpacked(report, NULL);
}

static void send_report(struct entry *e)
{
	struct session *s = &e->session;
	int64_t now = clock_mono_us();
	Mw__Frame f = MW__FRAME__INIT;

	if (s->report_in_flight)
		return;
	const struct hub_candidate *c = choose_hub(e, now);
	if (!c)
		return;
	if (c->self) {
		report_to_self(e, now);
		return;
	}
	struct peer *p = peer_find(e->peers, c->name);
	if (!p)
		return;
	Mw__HubReport *report = make_report(e, c->name, now);
	f.body_case = MW__FRAME__BODY_HUB_REPORT;
	f.hub_report = report;
	s->report_in_flight =
		peer_call(p, &f, REPORT_TIMEOUT_MS, on_hub_grant, e) == 0;
	mw__hub_report__free_unpacked(report, NULL);
}

/*
 * Sends the report from the event loop and not from here, because a hub on this
 * host answers at once, within the caller.
 */
void session_report_soon(struct entry *e, bool urgent, int64_t now)
{
	ev_timer *w = &e->session.report_timer;

	if (!hub_client_report_due(e->session.last_report_us, urgent, now) ||
	    ev_is_pending(w) || ev_timer_remaining(e->loop, w) <= 0)
		return;
	ev_timer_stop(e->loop, w);
	ev_timer_set(w, 0., REPORT_INTERVAL_S);
	ev_timer_start(e->loop, w);
}

static void on_report_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct entry *e = w->data;
	int64_t now = clock_mono_us();

	(void)loop;
	(void)revents;
	send_report(e);
	local_hub_tick(e, now);
	if (!hub_client_in_contact(e->session.hub_client, now))
		set_hub(e, "");
	if (e->session.cfg.newest_version > 0 &&
	    entry_mode(e, now) == HOST_STALE)
		session_request_tree(e);
}

void session_hub_peer_up(struct entry *e, struct peer *p)
{
	const char *host = peer_hello(p)->host;

	hub_order_reconnected(e->session.order, host);
	for (size_t i = 0; i < hub_order_count(e->session.order); i++)
		if (!strcmp(hub_order_candidate(e->session.order, i)->name,
			    host))
			send_report(e);
}

void session_hub_start(struct entry *e)
{
	struct session *s = &e->session;
	struct hub_client_cfg hub_cfg = {.host = e->conf->host,
					 .dc = e->conf->dc,
					 .incarnation = e->incarnation,
					 .credit = e->credit,
					 .route = e->route,
					 .retry = &e->retry};

	s->hub_client = hub_client_new(&hub_cfg);
	s->order = hub_order_new(e->conf->host, clock_mono_us());
	s->dials =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	update_candidates(e);
	ev_timer_init(&s->report_timer, on_report_timer, 0.2,
		      REPORT_INTERVAL_S);
	s->report_timer.data = e;
	ev_timer_start(e->loop, &s->report_timer);
}

void session_hub_stop(struct entry *e)
{
	struct session *s = &e->session;

	ev_timer_stop(e->loop, &s->report_timer);
	local_hub_free(e);
	hub_order_free(s->order);
	hub_client_free(s->hub_client);
	g_hash_table_destroy(s->dials);
}

/* ---- announcements and leaves ---- */

void session_forward_announce(struct entry *e, Mw__EndpointInfo *info)
{
	Mw__Frame f = MW__FRAME__INIT;
	Mw__AnnounceFwd fwd = MW__ANNOUNCE_FWD__INIT;
	bool own = !strcmp(info->dc, e->conf->dc);
	struct peer *p = own ? hub_peer(e) : NULL;

	if (own)
		local_hub_handle_announcement(e, info, clock_mono_us());
	if (own && is_own_hub(e))
		return;
	if (!p)
		p = session_find_control(e);
	if (!p)
		return;
	fwd.info = info;
	f.body_case = MW__FRAME__BODY_ANNOUNCE;
	f.announce = &fwd;
	peer_send(p, &f);
}

/*
 * An announcement comes from an entry host if this host is its hub, or from a
 * control process of another data centre.  The latter may not know which host
 * is the hub, so the announcement is forwarded to it.
 */
void session_handle_announce(struct entry *e, struct peer *from,
			     const Mw__Frame *f, int64_t now)
{
	Mw__EndpointInfo *info = f->announce->info;
	Mw__Frame forwarded = MW__FRAME__INIT;

	if (!info)
		return;
	local_hub_handle_announcement(e, info, now);
	struct peer *hub = is_own_hub(e) ? NULL : hub_peer(e);
	if (!hub || !strcmp(peer_hello(from)->role, "entry"))
		return;
	forwarded.body_case = MW__FRAME__BODY_ANNOUNCE;
	forwarded.announce = f->announce;
	peer_send(hub, &forwarded);
}

void session_forward_crash_mark(struct entry *e, struct peer *from,
				Mw__CrashMark *mark)
{
	struct peer *hub = is_own_hub(e) ? NULL : hub_peer(e);
	Mw__Frame f = MW__FRAME__INIT;

	f.body_case = MW__FRAME__BODY_CRASH_MARK;
	f.crash_mark = mark;
	for (struct peer *p = peer_next(e->peers, NULL); p;
	     p = peer_next(e->peers, p)) {
		bool control = !strcmp(peer_hello(p)->role, "control");

		if (p != from &&
		    (control ? !from : p == hub || e->session.local_hub))
			peer_send(p, &f);
	}
}

/* A leave that was sent to several processes; the first to confirm decides. */
struct leave_call {
	void (*fn)(int err, void *ctx);
	void *ctx;
	int open_calls;
	bool replied;
};

static void on_leave_ack(int err, const Mw__Frame *reply, void *ctx)
{
	struct leave_call *c = ctx;

	c->open_calls--;
	if (err == 0 && reply->body_case == MW__FRAME__BODY_ACK)
		err = reply->ack->err;
	if (!c->replied && (err == 0 || !c->open_calls)) {
		c->replied = true;
		c->fn(err, c->ctx);
	}
	if (!c->open_calls)
		g_free(c);
}

void session_forward_leave(struct entry *e, Mw__LeaveFwd *leave,
			   void (*fn)(int err, void *ctx), void *ctx)
{
	Mw__Frame f = MW__FRAME__INIT;
	struct leave_call *c = g_new0(struct leave_call, 1);
	struct peer *targets[3];
	size_t n = 0;

	c->fn = fn;
	c->ctx = ctx;
	f.body_case = MW__FRAME__BODY_LEAVE;
	f.leave = leave;
	bool own = !strcmp(leave->dc, e->conf->dc);
	bool local = own && is_own_hub(e);
	struct peer *hub = own ? hub_peer(e) : NULL;
	if (own)
		local_hub_handle_leave(e, leave, clock_mono_us());
	if (!hub && !local)
		hub = session_find_control(e);
	if (hub)
		targets[n++] = hub;
	for (size_t i = 0; i < e->conf->peer_nr && n < 3; i++) {
		struct peer *p =
			peer_find(e->peers, e->conf->peer_list[i].host);
		if (p && p != hub)
			targets[n++] = p;
	}
	for (size_t i = 0; i < n; i++)
		if (peer_call(targets[i], &f, LEAVE_TIMEOUT_MS, on_leave_ack,
			      c) == 0)
			c->open_calls++;
	/*
	 * No process could be called.  A hub on this host counts as a
	 * confirmation.
	 */
	if (!c->open_calls) {
		g_free(c);
		fn(local ? 0 : -MW_EAGAIN, ctx);
	}
}
