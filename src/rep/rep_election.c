/*
 * Elections with pre-vote.  A voter grants a vote only if it has received no
 * message from a leader within min_election_us.  This makes the leader's lease
 * safe and keeps a voter that returns from a partition from deposing a healthy
 * leader.
 *
 * After a restart a voter does not know when it last received such a message,
 * so it grants no vote within min_election_us of its start either.  If all
 * voters have just started, none of them can be a leader with a lease, and they
 * elect one without that wait in a startup round.  A startup round needs the
 * votes of all voters but those whose disk is known to be lost, instead of a
 * majority.
 */
#include "rep/rep_int.h"

static int64_t random_between(struct rep *r, int64_t from, int64_t to)
{
	return from + (int64_t)(g_rand_double(r->rng) * (double)(to - from));
}

void rep_reset_election(struct rep *r)
{
	int64_t min = r->cfg.min_election_us;

	r->election_due_us = r->now + random_between(r, min, min * 4 / 3);
}

void rep_become_follower(struct rep *r, uint64_t term, uint32_t leader)
{
	if (term > r->vote.term)
		rep_set_term(r, term, 0);
	for (uint32_t i = 0; i < r->n_peers; i++)
		rep_peer_stop_snap(&r->peers[i]);
	r->role = REP_FOLLOWER;
	r->leader = leader;
	r->leader_match = r->commit;
	r->pending_ack_us = 0;
	rep_reset_election(r);
}

/*
 * Random delay before a startup round, so that the voters rarely start theirs
 * at the same time.
 */
#define STARTUP_ROUND_MIN_US (60 * USEC_PER_MSEC)
#define STARTUP_ROUND_MAX_US (200 * USEC_PER_MSEC)

void rep_schedule_startup_round(struct rep *r)
{
	r->no_leader_since_start = true;
	r->startup_round_us = r->now + random_between(r, STARTUP_ROUND_MIN_US,
						      STARTUP_ROUND_MAX_US);
}

/* Records a message from the leader of the current term. */
void rep_on_leader_contact(struct rep *r, const struct rep_msg *m)
{
	r->no_leader_since_start = false;
	/*
	 * The term has a leader.  A late vote must not complete the own
	 * campaign: the leader may have removed voters, and what is a majority
	 * of the list that is left need not share a voter with its own.
	 */
	r->campaign_term = 0;
	assert(r->role != REP_LEADER);
	assert(!r->leader || r->leader == m->from);
	if (r->role != REP_FOLLOWER || r->leader != m->from)
		rep_become_follower(r, r->vote.term, m->from);
	r->leader_contact_us = r->now;
	r->contact_id = m->from;
	rep_reset_election(r);
}

static bool withholds_vote(const struct rep *r)
{
	return r->role == REP_LEADER ||
	       r->now - r->leader_contact_us < r->cfg.min_election_us;
}

static bool up_to_date(const struct rep *r, const struct rep_msg *m)
{
	uint64_t term = rep_last_term(r);

	return m->prev_term > term ||
	       (m->prev_term == term && m->prev_index >= rep_last_index(r));
}

/*
 * Whether this voter may start an election.  A voter that an uncommitted entry
 * removes may: it may be the only reachable one with that entry, and so the
 * only one that can be elected.  The voter list before that entry decides, not
 * the one at the commit index, which is unknown after a restart.
 */
static bool may_campaign(const struct rep *r)
{
	struct rep_voters vs;
	uint64_t index;

	if (rep_is_voter(&r->voters, r->cfg.id))
		return true;
	if (r->voters_index <= r->commit)
		return false;
	rep_voters_at(r, r->voters_index - 1, &vs, &index);
	return rep_is_voter(&vs, r->cfg.id);
}

/*
 * Whether a vote may be granted in a startup round, before min_election_us has
 * passed.  The first voter list must be synced: otherwise, if the new leader
 * failed at once, the group would not know its voters.
 */
static bool may_grant_startup_vote(const struct rep *r, const struct rep_msg *m)
{
	return m->ok && r->no_leader_since_start && r->vote.joined &&
	       r->role != REP_LEADER && r->synced > 0;
}

static bool is_disk_lost(const struct rep *r, uint32_t id)
{
	for (uint32_t i = 0; i < r->n_lost_ids; i++)
		if (r->lost_ids[i] == id)
			return true;
	return false;
}

void rep_note_disk_lost(struct rep *r, uint32_t id)
{
	if (r->n_lost_ids < REP_MAX_VOTERS && id != r->cfg.id &&
	    !is_disk_lost(r, id))
		r->lost_ids[r->n_lost_ids++] = id;
}

/*
 * A pre-vote counts for so long from its request on, also in later rounds of
 * the same series: if requests and answers each wait 0.5 s for a process that
 * runs late, no round would be complete before the next one begins.
 */
static int64_t prevote_valid_us(const struct rep *r)
{
	return r->cfg.min_election_us;
}

static bool is_granted(const struct rep *r, uint32_t id, bool prevote)
{
	for (uint32_t i = 0; i < r->n_peers; i++) {
		const struct rep_peer *p = &r->peers[i];

		if (p->id == id)
			return prevote ? p->prevote_us &&
						 r->now - p->prevote_us <
							 prevote_valid_us(r)
				       : p->voted;
	}
	return id == r->cfg.id;
}

/*
 * A startup round needs the votes of all voters whose disk is not lost, and at
 * least of a majority.
 */
static bool quorum_granted(const struct rep *r, bool prevote)
{
	bool startup = prevote ? r->startup_round : r->campaign_startup;
	uint32_t granted = 0;

	for (uint32_t i = 0; i < r->voters.n; i++) {
		const struct rep_voter *v = &r->voters.v[i];

		if (is_granted(r, v->id, prevote))
			granted |= 1u << i;
		else if (startup && !v->learner && !is_disk_lost(r, v->id))
			return false;
	}
	return quorum_reached(&r->voters, granted);
}

static void become_leader(struct rep *r)
{
	assert(r->role != REP_LEADER && r->campaign_term == r->vote.term &&
	       r->vote.vote == r->cfg.id);
	r->role = REP_LEADER;
	r->campaign_term = 0; /* a term is led at most once */
	r->no_leader_since_start = r->startup_round = false;
	r->leader = r->cfg.id;
	r->elected_us = r->now;
	r->next_heartbeat_us = r->now;
	r->change_due_us = 0;
	for (uint32_t i = 0; i < r->n_peers; i++)
		rep_peer_reset(r, &r->peers[i]);
	r->noop_index = rep_last_index(r) + 1;
	rep_log_append(r, rep_entry_new(r->noop_index, r->vote.term,
					REP_ENTRY_NOOP, NULL, 0));
	rep_send_heartbeats(r);
}

static void request_votes(struct rep *r, uint32_t type, uint64_t term)
{
	r->leader = 0;
	for (uint32_t i = 0; i < r->n_peers; i++) {
		struct rep_peer *p = &r->peers[i];
		struct rep_msg *m;

		if (!rep_is_voter(&r->voters, p->id))
			continue;
		m = rep_msg_to(r, type, p->id);
		m->term = term;
		m->ok = r->startup_round;
		m->prev_index = rep_last_index(r);
		m->prev_term = rep_last_term(r);
		m->sent_us = r->now;
		rep_send(r, m);
	}
}

static void become_candidate(struct rep *r)
{
	int64_t min = r->cfg.min_election_us;

	r->role = REP_CANDIDATE;
	rep_set_term(r, r->vote.term + 1, r->cfg.id);
	r->campaign_term = r->vote.term;
	r->campaign_startup = r->startup_round;
	for (uint32_t i = 0; i < r->n_peers; i++)
		r->peers[i].voted = false;
	/*
	 * Longer than between pre-votes: the votes are written to disk first,
	 * and a term that ends early is lost for all.
	 */
	r->election_due_us = r->now + random_between(r, min / 2, min);
	request_votes(r, REP_VOTE, r->vote.term);
	if (quorum_granted(r, false))
		become_leader(r);
}

/* Begins a round of pre-votes, or a series of them. */
static void request_prevotes(struct rep *r, bool startup)
{
	int64_t min = r->cfg.min_election_us;

	if (r->role != REP_PRECANDIDATE || r->startup_round != startup) {
		r->prevotes_from_us = r->now;
		for (uint32_t i = 0; i < r->n_peers; i++)
			r->peers[i].prevote_us = 0;
	}
	r->role = REP_PRECANDIDATE;
	r->startup_round = startup;
	/*
	 * A retry needs no full timeout: that of the other voters has mostly
	 * passed.
	 */
	if (!startup)
		r->election_due_us =
			r->now + random_between(r, min / 8, min / 4);
	request_votes(r, REP_PREVOTE, r->vote.term + 1);
}

static void begin_startup_round(struct rep *r)
{
	r->startup_round_us = r->now + random_between(r, STARTUP_ROUND_MIN_US,
						      STARTUP_ROUND_MAX_US);
	if (!r->vote.joined || !may_campaign(r) || !r->synced)
		return;
	request_prevotes(r, true);
}

void rep_election_tick(struct rep *r)
{
	if (r->no_leader_since_start && r->now < r->election_due_us &&
	    r->now >= r->startup_round_us) {
		begin_startup_round(r);
		return;
	}
	if (r->now < r->election_due_us)
		return;
	/*
	 * Elections by majority begin here.  Startup rounds end, as they would
	 * interfere with them.  With a stalled disk this voter could not save
	 * its own vote.
	 */
	r->startup_round_us = INT64_MAX;
	r->leader = 0;
	if (!r->vote.joined || !may_campaign(r) ||
	    rep_disk_stalled_us(r) >= r->cfg.min_election_us) {
		r->startup_round = false;
		r->role = REP_FOLLOWER;
		rep_reset_election(r);
		return;
	}
	request_prevotes(r, false);
	if (quorum_granted(r, true))
		become_candidate(r);
}

/*
 * Decides between two voters that ask each other for a pre-vote: without that
 * both would become candidates of the same term, each with its own vote, and
 * again in the next term.  The one with the longer log goes first, else the one
 * with the lower id.  The other one waits for as long as a candidate does.
 */
static bool is_outranked(const struct rep *r, const struct rep_msg *m)
{
	if (m->prev_term != rep_last_term(r) ||
	    m->prev_index != rep_last_index(r))
		return true; /* up_to_date() holds, so its log is longer */
	return m->from < r->cfg.id;
}

static bool in_majority_round(const struct rep *r, const struct rep_msg *m)
{
	return r->role == REP_PRECANDIDATE && !r->startup_round && !m->ok &&
	       m->term == r->vote.term + 1;
}

static void give_way(struct rep *r)
{
	int64_t min = r->cfg.min_election_us;

	r->role = REP_FOLLOWER;
	r->election_due_us = r->now + random_between(r, min / 2, min);
}

void rep_on_prevote(struct rep *r, const struct rep_msg *m)
{
	struct rep_msg *reply = rep_msg_to(r, REP_PREVOTE_REPLY, m->from);

	reply->ok = m->term > r->vote.term &&
		    (!withholds_vote(r) || may_grant_startup_vote(r, m)) &&
		    up_to_date(r, m);
	if (reply->ok && in_majority_round(r, m)) {
		if (is_outranked(r, m))
			give_way(r);
		else
			reply->ok = false;
	}
	if (reply->ok)
		reply->term = m->term;
	reply->sent_us = m->sent_us;
	rep_send(r, reply);
}

void rep_on_vote(struct rep *r, const struct rep_msg *m)
{
	struct rep_msg *reply;
	bool ok;

	if (withholds_vote(r) && !may_grant_startup_vote(r, m))
		return;
	if (m->term > r->vote.term)
		rep_become_follower(r, m->term, 0);
	ok = m->term == r->vote.term && up_to_date(r, m) &&
	     (!r->vote.vote || r->vote.vote == m->from);
	if (ok) {
		assert(r->vote.joined);
		rep_set_term(r, m->term, m->from);
		r->startup_round_us = INT64_MAX;
		rep_reset_election(r);
	}
	reply = rep_msg_to(r, REP_VOTE_REPLY, m->from);
	reply->ok = ok;
	rep_send(r, reply);
}

void rep_on_vote_reply(struct rep *r, const struct rep_msg *m)
{
	struct rep_peer *p = rep_peer_find(r, m->from);

	if (!m->ok || !p)
		return;
	if (m->type == REP_PREVOTE_REPLY) {
		if (r->role != REP_PRECANDIDATE ||
		    m->term != r->vote.term + 1 ||
		    m->sent_us < r->prevotes_from_us || m->sent_us > r->now)
			return;
		p->prevote_us = MAX(p->prevote_us, m->sent_us);
		if (quorum_granted(r, true))
			become_candidate(r);
		return;
	}
	/*
	 * A vote of the current term counts until there is a leader or a higher
	 * term, also after the candidate has begun to ask for another term.
	 */
	if (r->role == REP_LEADER || r->leader || m->term != r->vote.term ||
	    r->campaign_term != m->term)
		return;
	p->voted = true;
	if (quorum_granted(r, false))
		become_leader(r);
}
