#include "control/ctl.h"

#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"

/*
 * First start of a control group, from the list of --control or from --seeds.
 *
 * A voter that lost its disk must not vote again under its old id, even if it
 * is still started with --bootstrap.  So a process with an empty disk
 * bootstraps only after each other control process has answered either that its
 * disk is empty too, or that it is a member now and saw this incarnation with
 * an empty disk before it joined.  Any other answer means that the group
 * existed before.
 *
 * With --seeds the processes at the seed addresses form the group, once all of
 * them are connected and have answered.  Each uses the ids that are stored on
 * the disks, so all of them make the same list of voters.  A seed that finds a
 * member adopts its list if that is still the first one and has this seed as a
 * voter; otherwise it joins as any other control process does (roster.h).
 */

#define ROUND_INTERVAL_US (200 * USEC_PER_MSEC)
#define ROUND_TIMEOUT_MS 1000

/* One round of requests to all other processes for their bootstrap state. */
struct boot_round {
	struct ctl *ctl;
	size_t unanswered;
	size_t confirmed; /* answers that allow the bootstrap */
};

/* Records an incarnation of another process that is part of the first start. */
static void record_incarnation(struct ctl *c, uint64_t incarnation)
{
	g_hash_table_add(c->boot_incarnations,
			 g_memdup2(&incarnation, sizeof(incarnation)));
}

/*
 * Returns process k of the list of --control or --seeds, or NULL if it is not
 * connected; this process itself never is.
 */
static struct peer *boot_peer(struct ctl *c, size_t k)
{
	const struct conf_addr *a = &c->conf->seed_list[k];
	char addr[64];

	if (!c->conf->seed_nr)
		return peer_find(c->peers, c->conf->controls[k].host);
	snprintf(addr, sizeof(addr), "%s:%u", a->ip, a->port);
	return peer_find_addr(c->peers, addr);
}

static size_t boot_process_count(const struct ctl *c)
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

static bool is_own_addr(const struct ctl *c, const struct conf_addr *a)
{
	return a->port == c->conf->peer_addr.port &&
	       !strcmp(a->ip, c->conf->peer_addr.ip);
}

bool ctl_boot_is_seed(const struct ctl *c)
{
	for (size_t i = 0; i < c->conf->seed_nr; i++)
		if (is_own_addr(c, &c->conf->seed_list[i]))
			return true;
	return false;
}

/* Fills in the first voters; returns false while a seed is not connected. */
static bool boot_voters(struct ctl *c, struct rep_voters *voters)
{
	for (size_t i = 0; i < c->conf->control_nr; i++)
		add_voter(voters, c->conf->controls[i].voter_id,
			  &c->conf->controls[i].addr);
	for (size_t i = 0; i < c->conf->seed_nr; i++) {
		const struct conf_addr *a = &c->conf->seed_list[i];
		struct peer *p = boot_peer(c, i);
		if (!is_own_addr(c, a) && !p)
			return false;
		add_voter(voters,
			  is_own_addr(c, a) ? (uint32_t)c->conf->voter
					    : peer_hello(p)->voter,
			  a);
	}
	return true;
}

static void bootstrap_group(struct ctl *c, const struct rep_voters *voters)
{
	c->bootstrap_pending = false;
	int r = rep_bootstrap(c->rep, clock_mono_us(), voters);
	if (r < 0) {
		log_error("log", "the list of first voters is not valid or "
				 "lacks the id of this process");
		c->exit_error = r;
		ev_break(c->loop, EVBREAK_ALL);
		return;
	}
	log_info("log", "started a group of %u voters", voters->n);
}

static void bootstrap_if_connected(struct ctl *c)
{
	struct rep_voters voters = {0};

	if (boot_voters(c, &voters))
		bootstrap_group(c, &voters);
}

/*
 * Another seed is a member already: adopts its list of voters, or stops the
 * bootstrap and leaves it to the leader to add this process.
 */
static void adopt_member_list(struct ctl *c, const Mw__BootstrapState *s)
{
	struct rep_voters voters = {0};
	bool listed_as_voter = false;

	if (!s->n_voters || s->n_voters > REP_MAX_VOTERS)
		return;
	for (size_t i = 0; i < s->n_voters; i++) {
		struct rep_voter *v = &voters.v[voters.n++];
		v->id = s->voters[i]->id;
		v->learner = s->voters[i]->learner;
		v->replaces = s->voters[i]->replaces;
		g_strlcpy(v->addr, s->voters[i]->addr, sizeof(v->addr));
		listed_as_voter |=
			v->id == (uint32_t)c->conf->voter && !v->learner;
	}
	if (listed_as_voter && s->first) {
		bootstrap_group(c, &voters);
		return;
	}
	c->bootstrap_pending = false;
	log_info("log", "the group exists; waiting to be added as a voter");
}

/* The group existed before, so this voter lost its disk: ends the process. */
static void refuse_bootstrap(struct ctl *c)
{
	log_error("log",
		  "the group exists and this disk is empty: voter %d may not "
		  "vote again; add this process under a new id",
		  c->conf->voter);
	c->bootstrap_pending = false;
	c->exit_error = -MW_ECONFLICT;
	ev_break(c->loop, EVBREAK_ALL);
}

static void on_bootstrap_state(int err, const Mw__Frame *reply, void *ctx)
{
	struct boot_round *round = ctx;
	struct ctl *c = round->ctl;

	round->unanswered--;
	if (rep_joined(c->rep))
		c->bootstrap_pending = false;
	if (c->bootstrap_pending && err == 0 &&
	    reply->body_case == MW__FRAME__BODY_BOOTSTRAP_STATE) {
		const Mw__BootstrapState *s = reply->bootstrap_state;
		if (s->joined && c->conf->seed_nr) {
			adopt_member_list(c, s);
		} else if (s->joined && !s->known) {
			refuse_bootstrap(c);
		} else {
			record_incarnation(c, s->incarnation);
			round->confirmed++;
		}
	}
	if (round->unanswered)
		return;
	if (c->bootstrap_pending &&
	    round->confirmed + 1 == boot_process_count(c))
		bootstrap_if_connected(c);
	g_free(round);
}

void ctl_boot_tick(struct ctl *c, int64_t now)
{
	Mw__Frame f = MW__FRAME__INIT;
	Mw__BootstrapGet get = MW__BOOTSTRAP_GET__INIT;

	/* The leader of the group may be faster than the answers of others. */
	if (rep_joined(c->rep))
		c->bootstrap_pending = false;
	if (!c->bootstrap_pending || now - c->boot_round_us < ROUND_INTERVAL_US)
		return;
	c->boot_round_us = now;
	if (boot_process_count(c) == 1) {
		bootstrap_if_connected(c);
		return;
	}
	struct boot_round *round = g_new0(struct boot_round, 1);
	round->ctl = c;
	get.voter = (uint32_t)c->conf->voter;
	get.incarnation = c->incarnation;
	f.body_case = MW__FRAME__BODY_BOOTSTRAP_GET;
	f.bootstrap_get = &get;
	for (size_t i = 0; i < boot_process_count(c); i++) {
		struct peer *p = boot_peer(c, i);
		if (p && peer_call(p, &f, ROUND_TIMEOUT_MS, on_bootstrap_state,
				   round) == 0)
			round->unanswered++;
	}
	if (!round->unanswered)
		g_free(round);
}

void ctl_boot_serve(struct ctl *c, struct peer *from, const Mw__Frame *f)
{
	Mw__Frame reply = MW__FRAME__INIT;
	Mw__BootstrapState s = MW__BOOTSTRAP_STATE__INIT;
	int64_t incarnation = (int64_t)f->bootstrap_get->incarnation;

	s.joined = rep_joined(c->rep);
	s.known = g_hash_table_contains(c->boot_incarnations, &incarnation);
	s.incarnation = c->incarnation;
	s.first = rep_has_bootstrap_voters(c->rep);
	if (!s.joined)
		record_incarnation(c, f->bootstrap_get->incarnation);
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
