/*
 * Replication of entries: append messages and their replies, progress of the
 * followers, commit.
 */
#include <string.h>

#include "rep/rep_int.h"

/*
 * No further entries are sent to a follower while so many bytes are
 * unacknowledged.  Heartbeats are sent after them on the same connection, and
 * their answers must be back within min_election_us: at 10 Mbit/s these bytes
 * and one more batch take 0.4 s.
 */
#define MAX_INFLIGHT_BYTES (256u << 10)

/*
 * A leader whose own disk has not finished a write for this many times
 * min_election_us (6 s) lets another voter lead, if the others commit without
 * it.  Shorter stalls cost nothing, as commits need a majority only; without an
 * end the log in memory would reach its bound and refuse all proposals.
 */
#define DISK_STALL_ELECTIONS 4

/* A snapshot chunk is sent again if no reply arrives within this time. */
#define CHUNK_RESEND_US (1 * USEC_PER_SEC)

void rep_peer_reset(struct rep *r, struct rep_peer *p)
{
	rep_peer_stop_snap(p);
	p->state = PEER_PROBE;
	p->match = 0;
	p->next = rep_last_index(r) + 1;
	p->probe_sent = false;
	p->acked_send_us = 0;
	p->reads_joint = false;
	p->since_us = r->now;
	p->n_inflight = 0;
}

bool rep_peer_is_reachable(const struct rep *r, const struct rep_peer *p)
{
	return p->acked_send_us &&
	       r->now - p->acked_send_us < r->cfg.min_election_us;
}

/* The peer of the i-th member of the list in force, or NULL for this one. */
static const struct rep_peer *rep_peer_at(const struct rep *r, uint32_t i)
{
	for (uint32_t k = 0; k < r->n_peers; k++)
		if (r->peers[k].id == r->voters.v[i].id)
			return &r->peers[k];
	return NULL;
}

/*
 * Returns the send time of the newest message that a majority of the voters,
 * including this one, has acknowledged in this term; 0 if there is none,
 * INT64_MAX if this voter alone is the majority.
 */
int64_t rep_quorum_ack_us(const struct rep *r)
{
	uint64_t acked[REP_MAX_VOTERS];

	for (uint32_t i = 0; i < r->voters.n; i++) {
		const struct rep_peer *p = rep_peer_at(r, i);

		acked[i] = p ? (uint64_t)p->acked_send_us : INT64_MAX;
	}
	return (int64_t)quorum_value(&r->voters, acked);
}

/*
 * Commits the entries that are synced on a majority, if the last of them is of
 * the current term: entries of earlier terms are committed only with a later
 * entry (Raft, section 5.4.2).
 */
void rep_advance_commit(struct rep *r)
{
	uint64_t match[REP_MAX_VOTERS], upto;

	for (uint32_t i = 0; i < r->voters.n; i++) {
		const struct rep_peer *p = rep_peer_at(r, i);

		match[i] = p ? p->match : r->synced;
	}
	upto = quorum_value(&r->voters, match);
	if (upto <= r->commit || rep_term_at(r, upto) != r->vote.term)
		return;
	rep_set_commit(r, upto);
	rep_leave_joint(r);
	if (r->voters_index <= r->commit &&
	    !rep_is_voter(&r->voters, r->cfg.id)) {
		/*
		 * This leader is removed; send the commit index before stepping
		 * down.
		 */
		rep_send_heartbeats(r);
		rep_become_follower(r, r->vote.term, 0);
	}
}

static struct rep_msg *new_append_msg(struct rep *r, struct rep_peer *p)
{
	struct rep_msg *m = rep_msg_to(r, REP_APPEND, p->id);

	m->commit = r->commit;
	m->learner = !rep_is_voter(&r->voters, p->id);
	m->sent_us = r->now;
	return m;
}

/*
 * Heartbeats extend the lease and reveal lost messages, as a follower rejects
 * one whose prev_index is beyond its log.
 */
void rep_send_heartbeats(struct rep *r)
{
	for (uint32_t i = 0; i < r->n_peers; i++) {
		struct rep_peer *p = &r->peers[i];
		struct rep_msg *m;

		if (p->state != PEER_SNAP && p->next - 1 < r->base_index)
			rep_peer_start_snap(r, p);
		m = new_append_msg(r, p);
		/* With prev_index 0 every log accepts the message. */
		if (p->state != PEER_SNAP) {
			m->prev_index = p->next - 1;
			m->prev_term = rep_term_at(r, p->next - 1);
		}
		rep_send(r, m);
	}
}

/*
 * Last index to send to a member.  A learner gets what is committed: with more
 * its log could be ahead of those of all voters that are left, and it would
 * refuse its vote in a joint list without being eligible itself.
 */
static uint64_t last_to_send(const struct rep *r, const struct rep_peer *p)
{
	return rep_is_voter(&r->voters, p->id) ? rep_last_index(r) : r->commit;
}

/* Sends the next batch of entries and returns the index after it. */
static uint64_t send_entries(struct rep *r, struct rep_peer *p)
{
	struct rep_msg *m = new_append_msg(r, p);
	uint64_t index = p->next;
	size_t bytes = 0;

	m->prev_index = index - 1;
	m->prev_term = rep_term_at(r, index - 1);
	m->entries = g_ptr_array_new_with_free_func(rep_entry_unref);
	while (index <= last_to_send(r, p) && bytes < REP_MAX_BATCH &&
	       m->entries->len < REP_MAX_BATCH_ENTRIES) {
		struct rep_entry *e = rep_entry_at(r, index++);

		bytes += e->len;
		g_ptr_array_add(m->entries, rep_entry_ref(e));
	}
	rep_send(r, m);
	return index;
}

static void send_pending_to_peer(struct rep *r, struct rep_peer *p)
{
	while (p->state != PEER_SNAP && p->next <= last_to_send(r, p)) {
		uint64_t after;

		if (p->next - 1 < r->base_index) {
			rep_peer_start_snap(r, p);
			break;
		}
		if (p->state == PEER_PROBE) {
			if (!p->probe_sent)
				send_entries(r, p);
			p->probe_sent = true;
			return;
		}
		if (p->n_inflight >= r->cfg.max_inflight ||
		    (p->n_inflight &&
		     rep_bytes_between(r, p->match, p->next - 1) >=
			     MAX_INFLIGHT_BYTES))
			return;
		after = send_entries(r, p);
		p->inflight_last[(p->inflight_head + p->n_inflight++) %
				 PEER_MAX_INFLIGHT] = after - 1;
		p->next = after;
	}
	if (p->state == PEER_SNAP && !p->chunk_sent)
		rep_send_chunk(r, p);
}

void rep_send_pending(struct rep *r)
{
	for (uint32_t i = 0; i < r->n_peers; i++)
		send_pending_to_peer(r, &r->peers[i]);
}

void rep_leader_tick(struct rep *r)
{
	int64_t acked = rep_quorum_ack_us(r);

	if (r->now - MAX(acked, r->elected_us) > r->cfg.min_election_us) {
		/*
		 * No acknowledgement by a majority: it may follow another
		 * leader.
		 */
		rep_become_follower(r, r->vote.term, 0);
		return;
	}
	if (r->commit > r->synced &&
	    rep_disk_stalled_us(r) >
		    DISK_STALL_ELECTIONS * r->cfg.min_election_us) {
		rep_become_follower(r, r->vote.term, 0);
		return;
	}
	for (uint32_t i = 0; i < r->n_peers; i++) {
		struct rep_peer *p = &r->peers[i];
		if (p->chunk_sent &&
		    r->now - p->chunk_sent_us > CHUNK_RESEND_US)
			p->chunk_sent = false;
	}
	if (r->now >= r->next_heartbeat_us) {
		r->next_heartbeat_us = r->now + r->cfg.heartbeat_us;
		for (uint32_t i = 0; i < r->n_peers; i++)
			r->peers[i].probe_sent = false;
		rep_send_heartbeats(r);
	}
	rep_member_tick(r);
}

/* Acknowledges the entries that are equal to the leader's log and synced. */
void rep_send_ack(struct rep *r, uint32_t to, int64_t sent_us)
{
	struct rep_msg *reply = rep_msg_to(r, REP_APPEND_REPLY, to);

	reply->ok = true;
	reply->match = MIN(r->leader_match, r->synced);
	reply->sent_us = sent_us;
	rep_send(r, reply);
}

static void reject_append(struct rep *r, const struct rep_msg *m, uint64_t hint)
{
	struct rep_msg *reply = rep_msg_to(r, REP_APPEND_REPLY, m->from);

	reply->prev_index = m->prev_index;
	reply->match = hint;
	reply->sent_us = m->sent_us;
	rep_send(r, reply);
}

/*
 * Returns the index before the run of entries that have the same term as the
 * entry at prev, but not less than the commit index.
 */
static uint64_t conflict_hint(const struct rep *r, uint64_t prev)
{
	uint64_t term = rep_term_at(r, prev);

	while (prev > r->commit && rep_term_at(r, prev) == term)
		prev--;
	return prev;
}

void rep_on_append(struct rep *r, const struct rep_msg *m)
{
	uint64_t prev = m->prev_index, last;
	bool added = false;

	rep_on_leader_contact(r, m);
	if (prev > rep_last_index(r)) {
		reject_append(r, m, rep_last_index(r));
		return;
	}
	if (prev >= r->base_index && rep_term_at(r, prev) != m->prev_term) {
		assert(prev > r->commit);
		reject_append(r, m, conflict_hint(r, prev));
		return;
	}
	last = prev;
	for (guint i = 0; m->entries && i < m->entries->len; i++) {
		struct rep_entry *e = m->entries->pdata[i];

		last = e->index;
		if (e->index <= r->base_index)
			continue; /* committed and therefore equal */
		if (e->index <= rep_last_index(r)) {
			if (rep_term_at(r, e->index) == e->term)
				continue;
			assert(e->index > r->leader_match);
			rep_log_truncate(r, e->index);
		}
		rep_log_append(r, rep_entry_ref(e));
		added = true;
	}
	r->leader_match = MAX(r->leader_match, last);
	rep_set_commit(r, MIN(m->commit, r->leader_match));
	/* A leader without a committed entry of its term may lack some that are
	 * committed, too. */
	r->caught_up |=
		r->commit >= m->commit && rep_term_at(r, m->commit) == m->term;
	if (added)
		r->pending_ack_us = MAX(r->pending_ack_us, m->sent_us);
	else
		rep_send_ack(r, m->from, m->sent_us);
}

static void on_append_rejected(struct rep_peer *p, const struct rep_msg *m)
{
	if (p->state == PEER_SNAP || m->prev_index <= p->match)
		return; /* outdated reply */
	if (p->state == PEER_PROBE && m->prev_index != p->next - 1)
		return;
	p->next = MAX(MIN(m->prev_index, m->match + 1), p->match + 1);
	p->state = PEER_PROBE;
	p->probe_sent = false;
	p->n_inflight = 0;
}

void rep_on_append_reply(struct rep *r, const struct rep_msg *m)
{
	struct rep_peer *p = rep_peer_find(r, m->from);

	if (r->role != REP_LEADER || !p || m->match > rep_last_index(r))
		return;
	p->reads_joint = m->reads_joint;
	if (m->sent_us <= r->now)
		p->acked_send_us = MAX(p->acked_send_us, m->sent_us);
	if (!m->ok) {
		on_append_rejected(p, m);
		return;
	}
	p->match = MAX(p->match, m->match);
	while (p->n_inflight &&
	       p->inflight_last[p->inflight_head] <= p->match) {
		p->inflight_head = (p->inflight_head + 1) % PEER_MAX_INFLIGHT;
		p->n_inflight--;
	}
	if (p->state == PEER_PROBE ||
	    (p->state == PEER_SNAP && p->match >= p->snap.index)) {
		/*
		 * If the entries after the snapshot were compacted,
		 * rep_send_pending starts another one.
		 */
		rep_peer_stop_snap(p);
		p->state = PEER_REPLICATE;
		p->n_inflight = 0;
		p->next = p->match + 1;
	}
	p->next = MAX(p->next, p->match + 1);
	rep_advance_commit(r);
}
