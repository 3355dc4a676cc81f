#include "control/ctl.h"

#include <assert.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>
#include <sodium.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "control/ctl_admin.h"
#include "control/ctl_departure.h"
#include "control/ctl_document.h"
#include "control/ctl_evacuate.h"
#include "control/ctl_feed.h"
#include "control/ctl_poll.h"
#include "control/ctl_roster.h"
#include "control/ctl_status.h"
#include "iface/iface.h"
#include "obs/counter.h"
#include "obs/slog.h"

#define TICK_INTERVAL_S 0.02
#define EVENTS_KEPT 20000
/* Memory of a connection of operators and endpoints. */
#define IFACE_CONN_MEMORY_BYTES (40 << 10)
#define IFACE_CONNS_MAX 4096
#define TIMELINE_MAX_BYTES (64 << 20)
/* Of all documents that are being received; 16 of 2,500 routes are 10 MB. */
#define IFACE_BODIES_BYTES (12u << 20)
#define PROPOSE_TIMEOUT_MS 3500

/*
 * Time after SIGTERM in which requests that have arrived are finished; a change
 * takes a few round trips to the other voters and the hosts, of 24 ms at most.
 * Until then a leader goes on leading.
 */
#define STOP_FINISH_US (300 * USEC_PER_MSEC)

/* Records of calls with an idempotency key, crashes and departures. */
#define EXPIRE_INTERVAL_US (60 * USEC_PER_SEC)

void ctl_event(struct ctl *c, enum event_kind kind, const char *change,
	       const char *endpoint, const char *fmt, ...)
{
	struct event_subject s = {.change = change, .endpoint = endpoint};
	char detail[EVENT_DETAIL_LEN];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(detail, sizeof(detail), fmt, ap);
	va_end(ap);
	event_emit(c->events, hlc_now(&c->hlc, clock_wall_us()), kind, &s, "%s",
		   detail);
}

int ctl_send_host(struct ctl *c, const char *host, Mw__Frame *f)
{
	struct peer *p = peer_find(c->peers, host);
	const struct lease_host *h;

	if (p)
		return peer_send(p, f);
	h = c->leases ? lease_find(c->leases, host) : NULL;
	p = h && *h->relay ? peer_find(c->peers, h->relay) : NULL;
	if (!p)
		return -MW_ENOTFOUND;
	f->target = (char *)host;
	int r = peer_send(p, f);
	f->target = (char *)protobuf_c_empty_string;
	return r;
}

/*
 * Voters are found by the id that they prove in their Hello, not by their
 * address: a process that lost its disk may listen on the same address under
 * a new id, and a new voter does not have the list of voters yet.
 */
struct peer *ctl_voter_peer(struct ctl *c, uint32_t id)
{
	for (struct peer *p = peer_next(c->peers, NULL); p;
	     p = peer_next(c->peers, p))
		if (peer_hello(p)->voter == id)
			return p;
	return NULL;
}

struct peer *ctl_leader_peer(struct ctl *c)
{
	uint32_t id = rep_leader(c->rep);

	if (!id || id == (uint32_t)c->conf->voter)
		return NULL;
	return ctl_voter_peer(c, id);
}

const char *ctl_leader_host(struct ctl *c)
{
	uint32_t id = rep_leader(c->rep);

	if (id && id == (uint32_t)c->conf->voter)
		return c->conf->host;
	struct peer *p = ctl_leader_peer(c);
	return p ? peer_hello(p)->host : "";
}

bool ctl_is_leader(struct ctl *c, int64_t now)
{
	return c->leading && rep_lease_valid(c->rep, now);
}

/* ---- leadership ---- */

/* Adds the operator whose key file was given at the bootstrap. */
static void add_first_operator(struct ctl *c)
{
	char hash[SCHEMA_HASH_HEX_LEN + 1], value[SCHEMA_HASH_HEX_LEN + 8];
	Mw__Change change = MW__CHANGE__INIT;
	Mw__Edit keys = MW__EDIT__INIT, write = MW__EDIT__INIT;
	Mw__Edit *edits[] = {&keys, &write};

	if (!c->conf->operator_key || tree_version(sm_tree(c->sm)) > 1)
		return;
	tree_key_hash(c->conf->operator_key, hash);
	snprintf(value, sizeof(value), "[\"%s\"]", hash);
	keys.path = write.path = "operators/admin";
	keys.key = "key_hash";
	keys.value = value;
	write.key = "may_write";
	write.value = "true";
	change.id = "bootstrap-operator";
	change.base_version = 1;
	change.edits = edits;
	change.n_edits = 2;
	change.operator_name = "bootstrap";
	ctl_change_submit(c, &change, NULL, NULL);
}

static void begin_leading(struct ctl *c, int64_t now)
{
	c->leading = true;
	c->leading_term = rep_term(c->rep);
	c->leading_since_us = now;
	struct slog l = slog_begin("leader");
	slog_int(&l, "term", (int64_t)c->leading_term);
	slog_int(&l, "log_index", (int64_t)rep_last_index(c->rep));
	slog_end(&l);
	c->leases = lease_new(now);
	log_info("log", "leader in term %" G_GUINT64_FORMAT, c->leading_term);
	ctl_event(c, EV_KIND_LEADER, NULL, NULL, "%s, term %" G_GUINT64_FORMAT,
		  c->conf->host, c->leading_term);
	ctl_order_takeover(c, now);
	add_first_operator(c);
}

static void end_leading(struct ctl *c)
{
	log_info("log", "no longer leader");
	struct slog l = slog_begin("leader_lost");
	slog_int(&l, "term", (int64_t)c->leading_term);
	slog_end(&l);
	ctl_document_fail_all(c);
	c->leading = false;
	ctl_change_fail_all(c);
	ctl_order_fail_all(c);
	ctl_evacuate_fail_all(c);
	ctl_log_fail_pending(c);
	lease_free(c->leases);
	c->leases = NULL;
}

static void watch_leadership(struct ctl *c, int64_t now)
{
	bool leader = rep_leader_ready(c->rep);

	if (c->leading && (!leader || rep_term(c->rep) != c->leading_term))
		end_leading(c);
	if (!c->leading && leader)
		begin_leading(c, now);
}

static void expire_records(struct ctl *c, int64_t now)
{
	const struct system_cfg *sys = tree_system(sm_tree(c->sm));
	Mw__Command cmd = MW__COMMAND__INIT;
	Mw__Expire expire = MW__EXPIRE__INIT;
	int64_t keep_ms = sys->ledger_retention_s * 1000;

	if (now - c->last_expire_us < EXPIRE_INTERVAL_US)
		return;
	c->last_expire_us = now;
	if (!ledger_count(sm_ledger(c->sm)) &&
	    !crash_count_marks(sm_crash_marks(c->sm)) &&
	    !departures_count(sm_departures(c->sm)))
		return;
	expire.ledger_before_ms =
		(uint64_t)(clock_wall_us() / USEC_PER_MSEC - keep_ms);
	cmd.body_case = MW__COMMAND__BODY_EXPIRE;
	cmd.expire = &expire;
	ctl_propose(c, &cmd, NULL, NULL);
}

/* ---- proposals ---- */

/* A call that is answered once the log or the leader has a result. */
struct pending_reply {
	struct ctl *ctl;
	struct peer_rpc rpc;
};

static void reply_result(struct ctl *c, struct peer_rpc rpc, int err,
			 const Mw__Result *r)
{
	Mw__Frame f = MW__FRAME__INIT;
	Mw__ProposeResult pr = MW__PROPOSE_RESULT__INIT;

	pr.err = err;
	pr.result = (Mw__Result *)r;
	f.body_case = MW__FRAME__BODY_PROPOSE_RESULT;
	f.propose_result = &pr;
	peer_reply(c->peers, rpc, &f);
}

static void on_applied(int err, const Mw__Result *r, void *ctx)
{
	struct pending_reply *reply_to = ctx;

	reply_result(reply_to->ctl, reply_to->rpc, err, r);
	g_free(reply_to);
}

static void on_propose_relayed(int err, const Mw__Frame *reply, void *ctx)
{
	struct pending_reply *reply_to = ctx;

	if (err == 0 && reply->body_case == MW__FRAME__BODY_PROPOSE_RESULT)
		reply_result(reply_to->ctl, reply_to->rpc,
			     reply->propose_result->err,
			     reply->propose_result->result);
	else
		reply_result(reply_to->ctl, reply_to->rpc, -MW_EUNKNOWN, NULL);
	g_free(reply_to);
}

/* Whether other processes may propose it; the other commands have frames of
 * their own. */
static bool may_propose(const Mw__Command *cmd)
{
	switch (cmd->body_case) {
	case MW__COMMAND__BODY_BEGIN:
	case MW__COMMAND__BODY_END:
	case MW__COMMAND__BODY_CLOSE:
	case MW__COMMAND__BODY_HOST_GONE:
	case MW__COMMAND__BODY_CRASH_MARK:
	case MW__COMMAND__BODY_SUSPECT_CLEARED:
	case MW__COMMAND__BODY_DEPARTURE:
		return true;
	default:
		return false;
	}
}

static void handle_propose(struct ctl *c, struct peer *from, const Mw__Frame *f,
			   int64_t now)
{
	Mw__Command *cmd = f->propose->command;
	struct peer_rpc rpc = peer_rpc(from, f);
	/* A control process has relayed it already; it is not relayed twice. */
	bool relayed = !strcmp(peer_hello(from)->role, "control");

	if (!cmd || !may_propose(cmd)) {
		reply_result(c, rpc, -MW_EINVAL, NULL);
		return;
	}
	struct pending_reply *reply_to = g_new(struct pending_reply, 1);
	reply_to->ctl = c;
	reply_to->rpc = rpc;
	if (ctl_is_leader(c, now)) {
		if (cmd->body_case == MW__COMMAND__BODY_HOST_GONE)
			ctl_note_host_removal(c, cmd->host_gone);
		ctl_propose(c, cmd, on_applied, reply_to);
		return;
	}
	struct peer *leader = relayed || c->leading ? NULL : ctl_leader_peer(c);
	Mw__Frame relay = MW__FRAME__INIT;
	relay.body_case = MW__FRAME__BODY_PROPOSE;
	relay.propose = f->propose;
	if (leader && peer_call(leader, &relay, PROPOSE_TIMEOUT_MS,
				on_propose_relayed, reply_to) == 0)
		return;
	reply_result(c, rpc, -MW_ENOLEADER, NULL);
	g_free(reply_to);
}

static void serve_tree(struct ctl *c, struct peer *from, const Mw__Frame *f)
{
	struct tree *t = sm_tree(c->sm);
	Mw__Frame reply = MW__FRAME__INIT;
	Mw__TreeSnapshot snap = MW__TREE_SNAPSHOT__INIT;
	size_t len;

	snap.version = tree_version(t);
	if (f->tree_get->have < snap.version) {
		snap.tree.data = (uint8_t *)tree_json(t, &len);
		snap.tree.len = len;
	}
	reply.body_case = MW__FRAME__BODY_TREE_SNAPSHOT;
	reply.tree_snapshot = &snap;
	peer_reply(c->peers, peer_rpc(from, f), &reply);
}

/* ---- frames ---- */

static void handle_prepare_ack(struct ctl *c, const Mw__Frame *f)
{
	struct peer *leader;
	Mw__Frame relay = MW__FRAME__INIT;

	if (c->leading) {
		ctl_change_ack(c, f->prepare_ack);
		return;
	}
	leader = ctl_leader_peer(c);
	relay.body_case = MW__FRAME__BODY_PREPARE_ACK;
	relay.prepare_ack = f->prepare_ack;
	if (leader)
		peer_send(leader, &relay);
}

/* Relays a frame of the leader to a host that the leader cannot reach. */
static void relay_to_host(struct ctl *c, const Mw__Frame *f)
{
	struct peer *p = peer_find(c->peers, f->target);
	Mw__Frame relay = MW__FRAME__INIT;

	if (!p)
		return;
	relay.body_case = f->body_case;
	if (f->body_case == MW__FRAME__BODY_PREPARE)
		relay.prepare = f->prepare;
	else if (f->body_case == MW__FRAME__BODY_ACTIVATE)
		relay.activate = f->activate;
	else
		return;
	peer_send(p, &relay);
}

static void on_frame(struct peer *p, const Mw__Frame *f, void *ctx)
{
	struct ctl *c = ctx;
	int64_t now = clock_mono_us();

	if (*f->target) {
		relay_to_host(c, f);
		return;
	}
	switch (f->body_case) {
	case MW__FRAME__BODY_REP:
		ctl_log_step(c, f->rep);
		break;
	case MW__FRAME__BODY_RENEW:
		ctl_renew(c, p, f);
		break;
	case MW__FRAME__BODY_PREPARE_ACK:
		handle_prepare_ack(c, f);
		break;
	case MW__FRAME__BODY_PROPOSE:
		handle_propose(c, p, f, now);
		break;
	case MW__FRAME__BODY_TREE_GET:
		serve_tree(c, p, f);
		break;
	case MW__FRAME__BODY_DOCUMENT_GET:
		ctl_document_serve(c, p, f);
		break;
	case MW__FRAME__BODY_HUB_REPORT:
		ctl_hub_report(c, p, f, now);
		break;
	case MW__FRAME__BODY_SPILL_ASK:
		ctl_spill_serve(c, p, f, now);
		break;
	case MW__FRAME__BODY_ANNOUNCE:
		ctl_hub_announce(c, f, now);
		break;
	case MW__FRAME__BODY_LEAVE:
		ctl_hub_leave(c, p, f, now);
		break;
	case MW__FRAME__BODY_CRASH_MARK:
		ctl_forward_crash_mark(c, p, f);
		break;
	case MW__FRAME__BODY_BOOTSTRAP_GET:
		ctl_boot_serve(c, p, f);
		break;
	case MW__FRAME__BODY_ENDPOINT_GET:
		ctl_order_serve_lookup(c, p, f);
		break;
	case MW__FRAME__BODY_ADMIN_CALL:
		ctl_admin_handle_frame(c, p, f);
		break;
	case MW__FRAME__BODY_ROSTER:
		if (c->roster)
			ctl_roster_add_listed(c->roster, f->roster, now);
		break;
	case MW__FRAME__BODY_ENDPOINT_ROWS:
		ctl_feed_merge_rows(c->feed, p, f, now);
		break;
	case MW__FRAME__BODY_USE_REPORT:
		ctl_feed_handle_use_report(c->feed, p, f->use_report, now);
		break;
	default:
		log_debug("peer", "unexpected frame %d from %s",
			  (int)f->body_case, peer_hello(p)->host);
	}
}

static void on_peer_up(struct peer *p, void *ctx)
{
	struct ctl *c = ctx;
	struct slog l = slog_begin("peer_up");

	slog_str(&l, "peer", peer_hello(p)->host);
	slog_str(&l, "peer_role", peer_hello(p)->role);
	slog_end(&l);
	ctl_event(c, EV_KIND_PEER_UP, NULL, NULL, "%s", peer_hello(p)->host);
	if (c->roster)
		ctl_roster_peer_up(c->roster, p);
	ctl_feed_peer_up(c->feed, p);
}

static void on_peer_down(struct peer *p, int err, void *ctx)
{
	struct ctl *c = ctx;
	struct slog l = slog_begin("peer_down");

	slog_str(&l, "peer", peer_hello(p)->host);
	slog_str(&l, "peer_role", peer_hello(p)->role);
	slog_str(&l, "reason", err_info(err)->kind);
	slog_end(&l);
	if (c->roster)
		ctl_roster_peer_down(c->roster, p, clock_mono_us());
	ctl_feed_peer_down(c->feed, p);
	log_info("peer", "lost %s: %s", peer_hello(p)->host,
		 err_info(err)->kind);
	ctl_event(ctx, EV_KIND_PEER_DOWN, NULL, NULL, "%s: %s",
		  peer_hello(p)->host, err_info(err)->kind);
}

/* ---- loop ---- */

/*
 * What is committed is kept whatever the memory is, within its own bounds: log
 * and snapshot (ctl_log.c) and CTL_VERSIONS_BYTES.  It is counted, so that
 * clients get the less the more it takes.
 */
static void count_state(struct ctl *c, int64_t now)
{
	membudget_set(&c->state_memory,
		      rep_log_bytes(c->rep) + c->last_snapshot_bytes +
			      c->versions_bytes + c->compressed_document.len,
		      now);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct ctl *c = w->data;
	int64_t now = clock_mono_us();

	(void)loop;
	(void)revents;
	ctl_boot_tick(c, now);
	rep_tick(c->rep, now);
	ctl_log_pump(c);
	watch_leadership(c, now);
	if (ctl_is_leader(c, now)) {
		ctl_lease_tick(c, now);
		ctl_change_tick(c, now);
		ctl_order_tick(c, now);
		expire_records(c, now);
	}
	if (c->roster)
		ctl_roster_tick(c->roster, now);
	ctl_departure_tick(c, now);
	ctl_evacuate_tick(c, now);
	ctl_document_tick(c, now);
	count_state(c, now);
	ctl_feed_tick(c->feed, now);
	if (c->poll)
		ctl_poll_tick(c->poll, now);
	ctl_status_tick(c, now);
	ctl_hub_update(c, now);
	ctl_spill_tick(c, now);
	if (now - c->last_event_flush_us > USEC_PER_SEC) {
		c->last_event_flush_us = now;
		event_ring_flush(c->events);
	}
}

/*
 * Ends the loop of a process that is to stop when all requests that it has read
 * are answered.  At STOP_FINISH_US the outcome of those left is unknown.
 */
static void stop_when_answered(struct ctl *c, int64_t now)
{
	struct httpd *const servers[] = {c->iface_httpd, c->admin};
	bool drained = true;

	for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
		if (!servers[i])
			continue;
		httpd_close_idle(servers[i]);
		drained = drained && httpd_is_drained(servers[i]);
	}
	if (!drained && now - c->stop_us < STOP_FINISH_US)
		return;
	if (c->iface_httpd)
		httpd_answer_open(c->iface_httpd, 503, "{}");
	int status;
	AUTO_FREE char *json =
		admin_error_json(-MW_EUNKNOWN, NULL, NULL, &status);
	if (c->admin)
		httpd_answer_open(c->admin, status, json);
	struct slog l = slog_begin("stop");
	slog_str(&l, "reason", "signal");
	slog_int(&l, "drained", drained);
	slog_int(&l, "since_us", now - c->stop_us);
	slog_end(&l);
	ev_break(c->loop, EVBREAK_ALL);
}

/*
 * Runs before the loop waits, so that the output of all events of one iteration
 * is written to disk and sent together.
 */
static void on_before_wait(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct ctl *c = w->data;
	int64_t now = clock_mono_us();

	(void)loop;
	(void)revents;
	ctl_log_pump(c);
	ctl_document_confirm(c, now);
	if (c->feed)
		ctl_feed_flush(c->feed, now);
	if (c->stop_us)
		stop_when_answered(c, now);
}

/*
 * SIGHUP reloads nothing and is only logged: settings files are read at start
 * only, and other control processes are found by the roster (ctl_roster.c).
 */
static void on_sighup(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct slog l = slog_begin("reload");

	(void)loop;
	(void)w;
	(void)revents;
	slog_end(&l);
}

static void on_stop_signal(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct ctl *c = w->data;

	(void)loop;
	(void)revents;
	if (c->stop_us)
		return;
	c->stop_us = clock_mono_us();
	log_info("shutdown", "stopping");
	ctl_event(c, EV_KIND_STOP, NULL, NULL, "signal");
	if (c->iface_httpd)
		httpd_quiesce(c->iface_httpd);
	if (c->admin)
		httpd_quiesce(c->admin);
}

static int start_peers(struct ctl *c)
{
	struct frame_key key;
	struct peer_config cfg = {
		.loop = c->loop,
		.key = &key,
		.hlc = &c->hlc,
		.listen = c->conf->peer_listen,
		.host = c->conf->host,
		.dc = c->conf->dc,
		.role = "control",
		.admin_addr = c->conf->admin_listen,
		.incarnation = c->incarnation,
		.voter = (uint32_t)c->conf->voter,
		.budget = &c->memory,
		.ops = {.up = on_peer_up,
			.down = on_peer_down,
			.frame = on_frame},
		.ctx = c,
	};

	memcpy(key.bytes, c->conf->cluster_key, sizeof(key.bytes));
	int r = peer_net_new(&cfg, &c->peers);
	sodium_memzero(&key, sizeof(key));
	for (size_t i = 0; r == 0 && i < c->conf->control_nr; i++) {
		const struct conf_control *ctl = &c->conf->controls[i];
		g_autofree char *addr = g_strdup_printf(
			"%s:%u", ctl->dial_addr.ip, ctl->dial_addr.port);
		if (strcmp(ctl->host, c->conf->host) != 0)
			r = peer_dial(c->peers, addr);
	}
	return r;
}

static void start_watchers(struct ctl *c)
{
	ev_timer_init(&c->tick_timer, on_tick, TICK_INTERVAL_S,
		      TICK_INTERVAL_S);
	c->tick_timer.data = c;
	ev_timer_start(c->loop, &c->tick_timer);
	ev_prepare_init(&c->before_wait, on_before_wait);
	c->before_wait.data = c;
	ev_prepare_start(c->loop, &c->before_wait);
	ev_signal_init(&c->sigterm, on_stop_signal, SIGTERM);
	c->sigterm.data = c;
	ev_signal_start(c->loop, &c->sigterm);
	ev_signal_init(&c->sigint, on_stop_signal, SIGINT);
	c->sigint.data = c;
	ev_signal_start(c->loop, &c->sigint);
	ev_signal_init(&c->sighup, on_sighup, SIGHUP);
	ev_signal_start(c->loop, &c->sighup);
}

static int open_events(struct ctl *c)
{
	c->events = event_ring_new(EVENTS_KEPT, c->conf->host, c->conf->dc);
	int r = event_ring_open(c->events, c->conf->data, TIMELINE_MAX_BYTES);
	if (r == 0)
		hlc_observe(&c->hlc, clock_wall_us(),
			    event_ring_last_stamp(c->events));
	return r;
}

/* Serves the interface: documents of operators, announcements of endpoints. */
static int start_iface_httpd(struct ctl *c)
{
	const struct conf_addr *a = &c->conf->listen_addr;
	int conns = membudget_conns(IFACE_CONNS_MAX, c->conf->memory_limit_mb,
				    IFACE_CONN_MEMORY_BYTES, c->conf->max_fds);
	struct httpd_config cfg = {.max_body = c->iface->max_document_bytes,
				   .max_bodies = IFACE_BODIES_BYTES,
				   .max_conns = conns,
				   .max_kept = conns / 5 * 4,
				   .budget = &c->memory,
				   .limit_sockets =
					   c->conf->memory_limit_mb > 0,
				   .conn_memory = IFACE_CONN_MEMORY_BYTES};

	return httpd_new(c->loop, a->ip, a->port, &cfg,
			 c->iface->control_handler, c, &c->iface_httpd);
}

int ctl_new(struct conf *conf, struct ev_loop *loop, const struct iface *iface,
	    struct ctl **out)
{
	struct ctl *c = g_new0(struct ctl, 1);
	int r;

	*out = c;
	c->conf = conf;
	c->loop = loop;
	c->iface = iface;
	c->incarnation = (uint64_t)clock_wall_us();
	slog_setup(conf->host, conf->dc, "control", c->incarnation);
	c->status = ctl_status_new(clock_mono_us());
	list_init(&c->disk_writes);
	list_init(&c->held_msgs);
	list_init(&c->changes);
	list_init(&c->orders);
	list_init(&c->publications);
	list_init(&c->document_reads);
	list_init(&c->document_waits);
	list_init(&c->departures);
	list_init(&c->evacuation_calls);
	list_init(&c->evacuation_orders);
	ctl_log_fail_pending(c);
	c->boot_incarnations = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	membudget_init(&c->memory, conf->memory_limit_mb);
	membudget_add(&c->memory, &c->state_memory, MEMBUDGET_HELD, 0,
		      clock_mono_us());
	c->fetcher = fetcher_new(loop, 0);
	if (conf->memory_limit_mb > 0)
		fetcher_limit_sockets(c->fetcher);
	if (g_mkdir_with_parents(conf->data, 0700) < 0) {
		log_error("disk", "cannot create %s", conf->data);
		return -MW_EIO;
	}
	if ((r = open_events(c)) < 0 || (r = ctl_log_open(c)) < 0)
		return r;
	ctl_hub_start(c);
	c->feed = ctl_feed_new(c);
	ctl_departure_load(c);
	if (iface)
		c->poll = ctl_poll_new(c);
	if ((r = start_peers(c)) < 0)
		return r;
	if (conf->seed_nr)
		c->roster = ctl_roster_new(c);
	start_watchers(c);
	r = ctl_admin_start(c);
	if (r == 0 && iface)
		r = start_iface_httpd(c);
	if (r < 0)
		return r;
	struct slog l = slog_begin("start");
	slog_int(&l, "voter", (int64_t)(uint32_t)conf->voter);
	slog_int(&l, "joined", rep_joined(c->rep));
	slog_int(&l, "open_cluster", conf->open_cluster);
	slog_end(&l);
	ctl_event(c, EV_KIND_START, NULL, NULL, "control process, voter %d",
		  conf->voter);
	log_info("control", "voter %d on %s in %s", conf->voter, conf->host,
		 conf->dc);
	return 0;
}

int ctl_run(struct ctl *c)
{
	ev_run(c->loop, 0);
	return c->exit_error;
}

void ctl_free(struct ctl *c)
{
	if (c->peers)
		peer_net_fail_calls(c->peers);
	if (c->iface_httpd)
		httpd_free(c->iface_httpd);
	if (c->admin)
		httpd_free(c->admin);
	if (c->leading)
		end_leading(c);
	ctl_departure_stop(c);
	ctl_evacuate_stop(c);
	ctl_document_stop(c);
	ctl_roster_free(c->roster);
	if (c->peers)
		peer_net_free(c->peers);
	ctl_feed_free(c->feed);
	if (c->hub)
		hub_free(c->hub);
	if (c->hub)
		ev_timer_stop(c->loop, &c->tick_timer);
	ev_prepare_stop(c->loop, &c->before_wait);
	for (size_t i = 0; i < CTL_VERSIONS_KEPT; i++)
		tree_unref(c->versions[i]);
	ctl_log_close(c);
	fetcher_free(c->fetcher);
	membudget_release(&c->memory);
	ctl_poll_free(c->poll);
	g_hash_table_destroy(c->pending_proposals);
	g_hash_table_destroy(c->boot_incarnations);
	ctl_status_free(c->status);
	g_free(c->compressed_document.text);
	if (c->events)
		event_ring_free(c->events);
	/* The signals stay watched until the process ends: stopping a watcher
	 * restores the default action. */
	g_free(c);
}
