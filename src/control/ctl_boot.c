#include "control/ctl.h"

#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"

/*
 * First start of a control group, from the list of --control or from --seeds.
 *
 * A voter that lost its disk must not vote again under its old id, also if
 * --bootstrap is still among its flags.  So a process with an empty disk
 * bootstraps only after each other control process has answered that its disk
 * is empty too, or that it has joined after seeing this very incarnation with
 * an empty disk.  Any other answer means that the group exists already.
 *
 * With --seeds the processes at the seed addresses form the group, once each
 * of them has answered.  Their ids are those of their disks, so all of them
 * make the same list; one that comes later takes the list of a member, and one
 * that is not in that list joins as any other control process does (roster.h).
 */

#define ASK_INTERVAL_US (200 * USEC_PER_MSEC)
#define ASK_TIMEOUT_MS 1000

/* Answers to one round of questions. */
struct round {
	struct ctl *ctl;
	size_t open;
	size_t agreed;
};

static void note_seen(struct ctl *c, uint64_t incarnation)
{
	g_hash_table_add(c->boot_seen,
			 g_memdup2(&incarnation, sizeof(incarnation)));
}

/* Process k of the list of --control or --seeds; NULL: not connected. */
static struct peer *boot_peer(struct ctl *c, size_t k)
{
	const struct conf_addr *a = &c->conf->seed_list[k];
	char addr[64];

	if (!c->conf->seed_nr)
		return peer_find(c->peers, c->conf->controls[k].host);
	snprintf(addr, sizeof(addr), "%s:%u", a->ip, a->port);
	return peer_find_addr(c->peers, addr);
}

static size_t boot_count(const struct ctl *c)
{
	return c->conf->seed_nr ? c->conf->seed_nr : c->conf->control_nr;
}

static void add_voter(struct rep_voters *voters, uint32_t id,
		      const struct conf_addr *a)
{
	struct rep_voter *v = &voters->v[voters->n++];

	v->id = id;
	snprintf(v->addr, sizeof(v->addr), "%s:%u", a->ip, a->port);
}

static bool is_own(const struct ctl *c, const struct conf_addr *a)
{
	return a->port == c->conf->peer_addr.port &&
	       !strcmp(a->ip, c->conf->peer_addr.ip);
}

bool ctl_boot_is_seed(const struct ctl *c)
{
	for (size_t i = 0; i < c->conf->seed_nr; i++)
		if (is_own(c, &c->conf->seed_list[i]))
			return true;
	return false;
}

/* The first voters; false while a seed is not connected. */
static bool boot_voters(struct ctl *c, struct rep_voters *voters)
{
	for (size_t i = 0; i < c->conf->control_nr; i++)
		add_voter(voters, c->conf->controls[i].voter,
			  &c->conf->controls[i].addr);
	for (size_t i = 0; i < c->conf->seed_nr; i++) {
		const struct conf_addr *a = &c->conf->seed_list[i];
		struct peer *p = boot_peer(c, i);
		if (!is_own(c, a) && !p)
			return false;
		add_voter(voters,
			  is_own(c, a) ? (uint32_t)c->conf->voter
				       : peer_hello(p)->voter,
			  a);
	}
	return true;
}

static void bootstrap_with(struct ctl *c, const struct rep_voters *voters)
{
	c->boot_wanted = false;
	int r = rep_bootstrap(c->rep, clock_mono_us(), voters);
	if (r < 0) {
		log_error("log", "the first voters are no list that holds the "
				 "id of this process");
		c->failed = r;
		ev_break(c->loop, EVBREAK_ALL);
		return;
	}
	log_info("log", "started a group of %u voters", voters->n);
}

static void bootstrap(struct ctl *c)
{
	struct rep_voters voters = {0};

	if (boot_voters(c, &voters))
		bootstrap_with(c, &voters);
}

/* Another seed is a member: takes its list, or joins as a candidate. */
static void follow_member(struct ctl *c, const Mw__BootstrapState *s)
{
	struct rep_voters voters = {0};
	bool named = false;

	if (!s->n_voters || s->n_voters > REP_MAX_VOTERS)
		return;
	for (size_t i = 0; i < s->n_voters; i++) {
		struct rep_voter *v = &voters.v[voters.n++];
		v->id = s->voters[i]->id;
		v->learner = s->voters[i]->learner;
		v->replaces = s->voters[i]->replaces;
		g_strlcpy(v->addr, s->voters[i]->addr, sizeof(v->addr));
		named |= v->id == (uint32_t)c->conf->voter && !v->learner;
	}
	if (named && s->first) {
		bootstrap_with(c, &voters);
		return;
	}
	c->boot_wanted = false;
	log_info("log", "the group exists; this process waits to be added");
}

static void refuse(struct ctl *c)
{
	log_error("log",
		  "the group exists and this disk is empty: voter %d may not "
		  "vote again; add this process under a new id",
		  c->conf->voter);
	c->boot_wanted = false;
	c->failed = -MW_ECONFLICT;
	ev_break(c->loop, EVBREAK_ALL);
}

static void on_state(int err, const Mw__Frame *reply, void *ctx)
{
	struct round *round = ctx;
	struct ctl *c = round->ctl;

	round->open--;
	if (c->boot_wanted && err == 0 &&
	    reply->body_case == MW__FRAME__BODY_BOOTSTRAP_STATE) {
		const Mw__BootstrapState *s = reply->bootstrap_state;
		if (s->joined && c->conf->seed_nr) {
			follow_member(c, s);
		} else if (s->joined && !s->known) {
			refuse(c);
		} else {
			note_seen(c, s->incarnation);
			round->agreed++;
		}
	}
	if (round->open)
		return;
	if (c->boot_wanted && round->agreed + 1 == boot_count(c))
		bootstrap(c);
	g_free(round);
}

void ctl_boot_tick(struct ctl *c, int64_t now)
{
	Mw__Frame f = MW__FRAME__INIT;
	Mw__BootstrapGet get = MW__BOOTSTRAP_GET__INIT;

	if (!c->boot_wanted || now - c->boot_asked_us < ASK_INTERVAL_US)
		return;
	c->boot_asked_us = now;
	if (boot_count(c) == 1) {
		bootstrap(c);
		return;
	}
	struct round *round = g_new0(struct round, 1);
	round->ctl = c;
	get.voter = (uint32_t)c->conf->voter;
	get.incarnation = c->incarnation;
	f.body_case = MW__FRAME__BODY_BOOTSTRAP_GET;
	f.bootstrap_get = &get;
	for (size_t i = 0; i < boot_count(c); i++) {
		struct peer *p = boot_peer(c, i);
		if (p && peer_call(p, &f, ASK_TIMEOUT_MS, on_state, round) == 0)
			round->open++;
	}
	if (!round->open)
		g_free(round);
}

void ctl_boot_serve(struct ctl *c, struct peer *from, const Mw__Frame *f)
{
	Mw__Frame reply = MW__FRAME__INIT;
	Mw__BootstrapState s = MW__BOOTSTRAP_STATE__INIT;
	int64_t asking = (int64_t)f->bootstrap_get->incarnation;

	s.joined = rep_joined(c->rep);
	s.known = g_hash_table_contains(c->boot_seen, &asking);
	s.incarnation = c->incarnation;
	s.first = rep_first_voters(c->rep);
	if (!s.joined)
		note_seen(c, f->bootstrap_get->incarnation);
	const struct rep_voters *vs = rep_voters(c->rep);
	Mw__RepVoter rows[REP_MAX_VOTERS], *list[REP_MAX_VOTERS];
	for (uint32_t i = 0; s.joined && i < vs->n; i++) {
		mw__rep_voter__init(&rows[i]);
		rows[i].id = vs->v[i].id;
		rows[i].addr = (char *)vs->v[i].addr;
		rows[i].learner = vs->v[i].learner;
		rows[i].replaces = vs->v[i].replaces;
		list[i] = &rows[i];
		s.n_voters++;
	}
	s.voters = list;
	reply.body_case = MW__FRAME__BODY_BOOTSTRAP_STATE;
	reply.bootstrap_state = &s;
	peer_reply(c->peers, peer_rpc(from, f), &reply);
}
