#include "control/ctl_roster.h"

#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "control/roster.h"
#include "obs/slog.h"

/* The leader looks at the voters this often. */
#define LOOK_INTERVAL_US (200 * USEC_PER_MSEC)

/* Repeats the roster to all, in case a frame was lost with a connection. */
#define TELL_INTERVAL_US (2 * USEC_PER_SEC)

/*
 * A process that was not connected for so long is dialled no more, unless it
 * is a seed or a voter.  Above all cuts after which it is expected back.
 */
#define FORGET_US (60 * USEC_PER_SEC)

struct known {
	char addr[64]; /* key */
	char dc[64];
	uint32_t id; /* voter id when it was last connected */
	bool seed;
	int64_t seen_us; /* last time it was connected or named */
	int64_t lost_us;
};

struct ctl_roster {
	struct ctl *ctl;
	GHashTable *known; /* address to struct known */
	int64_t looked_us;
	int64_t told_us;
};

static bool is_control(const struct peer *p)
{
	return !strcmp(peer_hello(p)->role, "control");
}

/* Notes an address and dials it; its own is left out. */
static struct known *note(struct ctl_roster *r, const char *addr, int64_t now)
{
	struct known *k = g_hash_table_lookup(r->known, addr);

	if (k || !*addr || !strcmp(addr, peer_net_addr(r->ctl->peers)))
		return k;
	k = g_new0(struct known, 1);
	g_strlcpy(k->addr, addr, sizeof(k->addr));
	k->seen_us = now;
	k->lost_us = now;
	int err = peer_dial(r->ctl->peers, addr);
	if (err < 0) {
		log_warn("roster", "%s cannot be dialled: %s", addr,
			 err_info(err)->kind);
		g_free(k);
		return NULL;
	}
	g_hash_table_insert(r->known, k->addr, k);
	return k;
}

struct ctl_roster *ctl_roster_new(struct ctl *c)
{
	struct ctl_roster *r = g_new0(struct ctl_roster, 1);
	int64_t now = clock_mono_us();

	r->ctl = c;
	r->known = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	for (size_t i = 0; i < c->conf->seed_nr; i++) {
		const struct conf_addr *a = &c->conf->seed_list[i];
		g_autofree char *addr =
			g_strdup_printf("%s:%u", a->ip, a->port);
		struct known *k = note(r, addr, now);
		if (k)
			k->seed = true;
	}
	/* After a restart the log names the voters, also if the seeds changed.
	 */
	const struct rep_voters *vs = rep_voters(c->rep);
	for (uint32_t i = 0; i < vs->n; i++)
		note(r, vs->v[i].addr, now);
	return r;
}

void ctl_roster_free(struct ctl_roster *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->known);
	g_free(r);
}

/* Sends the connected control processes, and this one, to one peer. */
static void tell(struct ctl_roster *r, struct peer *to)
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

static void tell_all(struct ctl_roster *r, int64_t now)
{
	r->told_us = now;
	for (struct peer *p = peer_next(r->ctl->peers, NULL); p;
	     p = peer_next(r->ctl->peers, p))
		tell(r, p);
}

/* A voter's address that answers with another identity has a new disk. */
static void note_lost_disk(struct ctl_roster *r, const Mw__Hello *h)
{
	const struct rep_voters *vs = rep_voters(r->ctl->rep);

	for (uint32_t i = 0; i < vs->n; i++)
		if (h->voter && vs->v[i].id != h->voter &&
		    !strcmp(vs->v[i].addr, h->peer_addr))
			rep_note_gone(r->ctl->rep, vs->v[i].id);
}

void ctl_roster_peer_up(struct ctl_roster *r, struct peer *p)
{
	const Mw__Hello *h = peer_hello(p);
	int64_t now = clock_mono_us();

	if (is_control(p)) {
		note_lost_disk(r, h);
		struct known *k = note(r, h->peer_addr, now);
		if (k) {
			k->id = h->voter;
			k->seen_us = now;
			g_strlcpy(k->dc, h->dc, sizeof(k->dc));
		}
		tell_all(r, now);
	} else {
		tell(r, p);
	}
}

void ctl_roster_peer_down(struct ctl_roster *r, struct peer *p, int64_t now)
{
	struct known *k =
		g_hash_table_lookup(r->known, peer_hello(p)->peer_addr);

	if (k)
		k->seen_us = k->lost_us = now;
}

void ctl_roster_take(struct ctl_roster *r, const Mw__Roster *msg, int64_t now)
{
	struct conf_addr parsed;

	for (size_t i = 0; i < msg->n_controls; i++) {
		const char *addr = msg->controls[i]->peer_addr;
		if (conf_parse_addr(addr, &parsed) < 0) {
			log_warn("roster", "'%s' is no address", addr);
			continue;
		}
		struct known *k = note(r, addr, now);
		if (k)
			k->seen_us = now;
	}
}

/* Since when a voter is lost; a leader counts from its election at the least.
 */
static int64_t lost_since(struct ctl_roster *r, const struct known *k)
{
	int64_t since = r->ctl->leading_since_us;

	return k && k->lost_us > since ? k->lost_us : since;
}

static size_t list_voters(struct ctl_roster *r, struct roster_voter *out)
{
	struct ctl *c = r->ctl;
	const struct rep_voters *vs = rep_voters(c->rep);
	size_t n = 0;

	for (uint32_t i = 0; i < vs->n; i++) {
		const struct rep_voter *v = &vs->v[i];
		bool self = v->id == (uint32_t)c->conf->voter;
		struct peer *p = self ? NULL : ctl_voter_peer(c, v->id);
		struct known *k = g_hash_table_lookup(r->known, v->addr);

		out[n++] = (struct roster_voter){
			.id = v->id,
			.addr = v->addr,
			.dc = self ? c->conf->dc
			      : p  ? peer_hello(p)->dc
			      : k  ? k->dc
				   : "",
			.connected = self || p,
			.lost_us = lost_since(r, k),
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

static void change_voters(struct ctl_roster *r, int64_t now)
{
	struct ctl *c = r->ctl;
	struct roster_voter voters[REP_MAX_VOTERS];
	struct roster_candidate cands[REP_MAX_VOTERS];
	size_t nv = list_voters(r, voters);
	size_t nc = list_candidates(r, cands, G_N_ELEMENTS(cands));
	struct roster_step s = roster_next(voters, nv, cands, nc,
					   (uint32_t)c->conf->tolerate, now);
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
	slog_str(&l, "reason", s.why);
	if (err < 0)
		slog_str(&l, "error", err_info(err)->kind);
	slog_end(&l);
	if (err == 0)
		ctl_event(c, EV_KIND_VOTER, NULL, NULL,
			  "add voter %u for %u: %s", s.id, s.old_id, s.why);
}

static void forget(struct ctl_roster *r, int64_t now)
{
	GHashTableIter iter;
	struct known *k;

	g_hash_table_iter_init(&iter, r->known);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&k)) {
		bool voter = false;
		const struct rep_voters *vs = rep_voters(r->ctl->rep);

		for (uint32_t i = 0; i < vs->n; i++)
			voter |= !strcmp(vs->v[i].addr, k->addr);
		if (voter || k->seed || now - k->seen_us < FORGET_US ||
		    peer_find_addr(r->ctl->peers, k->addr))
			continue;
		peer_undial(r->ctl->peers, k->addr);
		g_hash_table_iter_remove(&iter);
	}
}

void ctl_roster_tick(struct ctl_roster *r, int64_t now)
{
	struct ctl *c = r->ctl;

	if (now - r->looked_us < LOOK_INTERVAL_US)
		return;
	r->looked_us = now;
	for (struct peer *p = peer_next(c->peers, NULL); p;
	     p = peer_next(c->peers, p)) {
		struct known *k =
			g_hash_table_lookup(r->known, peer_hello(p)->peer_addr);
		if (k)
			k->seen_us = now;
	}
	/* The voters of the log may be at addresses that nobody else names. */
	const struct rep_voters *vs = rep_voters(c->rep);
	for (uint32_t i = 0; i < vs->n; i++)
		note(r, vs->v[i].addr, now);
	if (now - r->told_us >= TELL_INTERVAL_US)
		tell_all(r, now);
	forget(r, now);
	if (ctl_is_leader(c, now))
		change_voters(r, now);
}
