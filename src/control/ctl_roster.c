#include "control/ctl_roster.h"

#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "control/roster.h"
#include "obs/slog.h"

/* Interval of the work in ctl_roster_tick(). */
#define TICK_INTERVAL_US (200 * USEC_PER_MSEC)

/*
 * Interval at which the roster is sent to all peers again, because a frame may
 * have been lost with a connection.
 */
#define SEND_INTERVAL_US (2 * USEC_PER_SEC)

/*
 * An address that was neither connected nor listed by a peer for this time is
 * no longer dialled, unless it is that of a seed or a voter.  Longer than the
 * network cuts after which a process is expected back.
 */
#define FORGET_AFTER_US (60 * USEC_PER_SEC)

/* Address of a control process that this process dials. */
struct control_addr {
	char addr[64]; /* ip:port, key of ctl_roster::addrs */
	char dc[64];   /* "" until it was connected */
	uint32_t id;   /* voter id when it was last connected */
	bool seed;
	int64_t seen_us; /* last time it was connected or listed */
};

struct ctl_roster {
	struct ctl *ctl;
	GHashTable *addrs; /* address to struct control_addr */
	int64_t tick_us;   /* last work of ctl_roster_tick() */
	int64_t sent_us;   /* last roster to all peers */
};

static bool is_control(const struct peer *p)
{
	return !strcmp(peer_hello(p)->role, "control");
}

/*
 * Adds an address and dials it, unless it is there already.  Returns its entry,
 * or NULL if it is empty, this process's own or cannot be dialled.
 */
static struct control_addr *add_addr(struct ctl_roster *r, const char *addr,
				     int64_t now)
{
	struct control_addr *ca = g_hash_table_lookup(r->addrs, addr);

	if (ca || !*addr || !strcmp(addr, peer_net_addr(r->ctl->peers)))
		return ca;
	ca = g_new0(struct control_addr, 1);
	g_strlcpy(ca->addr, addr, sizeof(ca->addr));
	ca->seen_us = now;
	int err = peer_dial(r->ctl->peers, addr);
	if (err < 0) {
		log_warn("roster", "%s cannot be dialled: %s", addr,
			 err_info(err)->kind);
		g_free(ca);
		return NULL;
	}
	g_hash_table_insert(r->addrs, ca->addr, ca);
	return ca;
}

struct ctl_roster *ctl_roster_new(struct ctl *c)
{
	struct ctl_roster *r = g_new0(struct ctl_roster, 1);
	int64_t now = clock_mono_us();

	r->ctl = c;
	r->addrs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	for (size_t i = 0; i < c->conf->seed_nr; i++) {
		const struct conf_addr *a = &c->conf->seed_list[i];
		g_autofree char *addr =
			g_strdup_printf("%s:%u", a->ip, a->port);
		struct control_addr *ca = add_addr(r, addr, now);
		if (ca)
			ca->seed = true;
	}
	/* After a restart the log has the voters, even if the seeds changed. */
	const struct rep_voters *vs = rep_voters(c->rep);
	for (uint32_t i = 0; i < vs->n; i++)
		add_addr(r, vs->v[i].addr, now);
	return r;
}

void ctl_roster_free(struct ctl_roster *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->addrs);
	g_free(r);
}

/* Sends a list of this and the connected control processes to one peer. */
static void send_roster(struct ctl_roster *r, struct peer *to)
{
	struct ctl *c = r->ctl;
	Mw__HostInfo info[CONF_CONTROL_MAX * 4];
	Mw__HostInfo *list[G_N_ELEMENTS(info)];
	Mw__Roster msg = MW__ROSTER__INIT;
	Mw__Frame f = MW__FRAME__INIT;
	size_t n = 0;

	mw__host_info__init(&info[n]);
	info[n].host = c->conf->host;
	info[n].dc = c->conf->dc;
	info[n].peer_addr = (char *)peer_net_addr(c->peers);
	n++;
	for (struct peer *p = peer_next(c->peers, NULL);
	     p && n < G_N_ELEMENTS(info); p = peer_next(c->peers, p)) {
		const Mw__Hello *h = peer_hello(p);
		if (!is_control(p))
			continue;
		mw__host_info__init(&info[n]);
		info[n].host = h->host;
		info[n].dc = h->dc;
		info[n].peer_addr = h->peer_addr;
		n++;
	}
	for (size_t i = 0; i < n; i++)
		list[i] = &info[i];
	msg.controls = list;
	msg.n_controls = n;
	f.body_case = MW__FRAME__BODY_ROSTER;
	f.roster = &msg;
	peer_send(to, &f);
}

static void send_roster_to_all(struct ctl_roster *r, int64_t now)
{
	r->sent_us = now;
	for (struct peer *p = peer_next(r->ctl->peers, NULL); p;
	     p = peer_next(r->ctl->peers, p))
		send_roster(r, p);
}

/* A voter lost its disk if a process at its address has another voter id. */
static void report_lost_disk(struct ctl_roster *r, const Mw__Hello *h)
{
	const struct rep_voters *vs = rep_voters(r->ctl->rep);

	for (uint32_t i = 0; i < vs->n; i++)
		if (h->voter && vs->v[i].id != h->voter &&
		    !strcmp(vs->v[i].addr, h->peer_addr))
			rep_note_disk_lost(r->ctl->rep, vs->v[i].id);
}

void ctl_roster_peer_up(struct ctl_roster *r, struct peer *p)
{
	const Mw__Hello *h = peer_hello(p);
	int64_t now = clock_mono_us();

	if (is_control(p)) {
		report_lost_disk(r, h);
		struct control_addr *ca = add_addr(r, h->peer_addr, now);
		if (ca) {
			ca->id = h->voter;
			ca->seen_us = now;
			g_strlcpy(ca->dc, h->dc, sizeof(ca->dc));
		}
		send_roster_to_all(r, now);
	} else {
		send_roster(r, p);
	}
}

void ctl_roster_peer_down(struct ctl_roster *r, struct peer *p, int64_t now)
{
	struct control_addr *ca =
		g_hash_table_lookup(r->addrs, peer_hello(p)->peer_addr);

	if (ca)
		ca->seen_us = now;
}

void ctl_roster_add_listed(struct ctl_roster *r, const Mw__Roster *msg,
			   int64_t now)
{
	struct conf_addr parsed;

	for (size_t i = 0; i < msg->n_controls; i++) {
		const char *addr = msg->controls[i]->peer_addr;
		if (conf_parse_addr(addr, &parsed) < 0) {
			log_warn("roster", "'%s' is not an address", addr);
			continue;
		}
		struct control_addr *ca = add_addr(r, addr, now);
		if (ca)
			ca->seen_us = now;
	}
}

static size_t list_voters(struct ctl_roster *r, struct roster_voter *out,
			  int64_t now)
{
	struct ctl *c = r->ctl;
	const struct rep_voters *vs = rep_voters(c->rep);
	size_t n = 0;

	for (uint32_t i = 0; i < vs->n; i++) {
		const struct rep_voter *v = &vs->v[i];
		bool self = v->id == (uint32_t)c->conf->voter;
		struct peer *p = self ? NULL : ctl_voter_peer(c, v->id);
		struct control_addr *ca =
			g_hash_table_lookup(r->addrs, v->addr);

		out[n++] = (struct roster_voter){
			.id = v->id,
			.addr = v->addr,
			.dc = self ? c->conf->dc
			      : p  ? peer_hello(p)->dc
			      : ca ? ca->dc
				   : "",
			.connected = self || p,
			.silent_since_us =
				self ? now : rep_silent_since_us(c->rep, v->id),
		};
	}
	return n;
}

static size_t list_candidates(struct ctl_roster *r,
			      struct roster_candidate *out, size_t max)
{
	struct ctl *c = r->ctl;
	size_t n = 0;

	for (struct peer *p = peer_next(c->peers, NULL); p && n < max;
	     p = peer_next(c->peers, p)) {
		const Mw__Hello *h = peer_hello(p);
		if (!is_control(p) || !h->voter ||
		    rep_voter_find(rep_voters(c->rep), h->voter))
			continue;
		out[n++] = (struct roster_candidate){
			.id = h->voter, .addr = h->peer_addr, .dc = h->dc};
	}
	return n;
}

static void apply_roster_step(struct ctl_roster *r, int64_t now)
{
	struct ctl *c = r->ctl;
	struct roster_voter voters[REP_MAX_VOTERS];
	struct roster_candidate cands[REP_MAX_VOTERS];
	size_t nv = list_voters(r, voters, now);
	size_t nc = list_candidates(r, cands, G_N_ELEMENTS(cands));
	struct roster_step s = roster_next_step(
		voters, nv, cands, nc, (uint32_t)c->conf->tolerate, now);
	int err;

	if (s.kind == ROSTER_NONE)
		return;
	err = s.kind == ROSTER_ADD
		      ? rep_add_voter(c->rep, now, s.id, s.addr)
		      : rep_replace_voter(c->rep, now, s.old_id, s.id, s.addr);
	if (err == -MW_EAGAIN)
		return;
	struct slog l = slog_begin(err < 0 ? "voter_refused" : "voter_change");
	slog_int(&l, "voter", s.id);
	slog_int(&l, "replaces", s.old_id);
	slog_str(&l, "addr", s.addr);
	slog_str(&l, "reason", s.reason);
	if (err < 0)
		slog_str(&l, "error", err_info(err)->kind);
	slog_end(&l);
	if (err == 0)
		ctl_event(c, EV_KIND_VOTER, NULL, NULL,
			  "add voter %u for %u: %s", s.id, s.old_id, s.reason);
}

static void forget_lost_addrs(struct ctl_roster *r, int64_t now)
{
	GHashTableIter iter;
	struct control_addr *ca;

	g_hash_table_iter_init(&iter, r->addrs);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ca)) {
		bool voter = false;
		const struct rep_voters *vs = rep_voters(r->ctl->rep);

		for (uint32_t i = 0; i < vs->n; i++)
			voter |= !strcmp(vs->v[i].addr, ca->addr);
		if (voter || ca->seed || now - ca->seen_us < FORGET_AFTER_US ||
		    peer_find_addr(r->ctl->peers, ca->addr))
			continue;
		peer_undial(r->ctl->peers, ca->addr);
		g_hash_table_iter_remove(&iter);
	}
}

void ctl_roster_tick(struct ctl_roster *r, int64_t now)
{
	struct ctl *c = r->ctl;

	if (now - r->tick_us < TICK_INTERVAL_US)
		return;
	r->tick_us = now;
	for (struct peer *p = peer_next(c->peers, NULL); p;
	     p = peer_next(c->peers, p)) {
		struct control_addr *ca =
			g_hash_table_lookup(r->addrs, peer_hello(p)->peer_addr);
		if (ca)
			ca->seen_us = now;
	}
	/* The log may have voters whose addresses no peer lists. */
	const struct rep_voters *vs = rep_voters(c->rep);
	for (uint32_t i = 0; i < vs->n; i++)
		add_addr(r, vs->v[i].addr, now);
	if (now - r->sent_us >= SEND_INTERVAL_US)
		send_roster_to_all(r, now);
	forget_lost_addrs(r, now);
	if (ctl_is_leader(c, now))
		apply_roster_step(r, now);
}
