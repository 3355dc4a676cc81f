#ifndef REP_REP_INT_H
#define REP_REP_INT_H

#include <assert.h>

#include "base/clock.h"
#include "base/err.h"
#include "rep/rep.h"

/*
 * Internals of the core, shared by the rep_*.c files.
 *
 * Invariants:
 *  - base_index <= snap.index <= commit <= last index, and the entries of the
 *    log are consecutive from base_index + 1.
 *  - Entries up to the commit index are never replaced.
 *  - synced covers only entries that the present log holds: a truncation
 *    lowers it, also for writes that are still under way.
 *  - A follower acknowledges min(leader_match, synced), never more.
 *  - vote changes are handed out in the same output as, or before, any
 *    message that depends on them.
 */

enum peer_state {
	PEER_PROBE,  /* match unknown: one message at a time */
	PEER_STREAM, /* several messages on the way, next is optimistic */
	PEER_SNAP,   /* needs entries that were dropped */
};

#define PEER_MAX_INFLIGHT 64

/* What the leader or candidate knows about another member. */
struct rep_peer {
	uint32_t id;
	enum peer_state state;
	uint64_t match, next;
	bool probe_sent;
	bool granted;	       /* vote or pre-vote of this round */
	int64_t acked_send_us; /* newest own send time it acknowledged, 0 if
				  none */
	uint32_t inflight_head, n_inflight;
	uint64_t inflight_last[PEER_MAX_INFLIGHT]; /* last index of each message
						      on the way */
	struct rep_snap snap;			   /* being sent */
	uint64_t snap_off;
	bool chunk_sent;
	int64_t chunk_us;
};

struct rep_pending_write {
	uint64_t seq, last;
};

struct rep {
	struct rep_cfg cfg;
	GRand *rng;
	int64_t now; /* of the present call */

	struct rep_vote vote;
	enum rep_role role;
	uint32_t leader;

	/* log */
	GPtrArray *log;
	uint64_t base_index, base_term;
	size_t log_bytes;
	uint64_t commit, synced;
	struct rep_snap snap; /* index 0 if none */

	/* members: newest list in the log and the one valid at base_index */
	struct rep_voters voters, base_voters;
	uint64_t voters_index, base_voters_index;
	struct rep_peer peers[REP_MAX_VOTERS];
	uint32_t n_peers;

	/* follower */
	uint32_t lost_ids[REP_MAX_VOTERS]; /* ids of lost disks */
	uint32_t n_lost_ids;
	bool no_leader_since_start; /* no leader was heard since the start */
	bool startup_round;	    /* the present round needs all voters */
	int64_t startup_round_us;   /* next early round */
	int64_t leader_contact_us;  /* last message of a leader, or the start */
	int64_t election_us;	    /* when to start an election */
	uint64_t leader_match;	    /* equal to the leader's log up to here */
	int64_t pending_ack_us; /* send time to echo when entries are synced */
	struct rep_snap incoming; /* snapshot being received; data unused */
	uint32_t incoming_from;
	uint64_t incoming_term, incoming_len;
	GByteArray *incoming_data;

	/* candidate */
	int64_t vote_round_us; /* identifies the pre-vote round */
	bool self_granted;

	/* leader */
	int64_t elected_us, heartbeat_us;
	uint64_t term_start; /* index of the no-op of this term */
	/* since when a step of a change is due, 0 if none; its kind */
	int64_t change_due_us;
	bool change_removes;

	struct rep_out out;
	uint64_t write_seq;
	GArray *writes; /* struct rep_pending_write, not yet synced */
};

/* rep.c */
void rep_send(struct rep *r, struct rep_msg *m);
struct rep_msg *rep_msg_to(struct rep *r, uint32_t type, uint32_t to);
void rep_set_term(struct rep *r, uint64_t term, uint32_t vote);
void rep_set_commit(struct rep *r, uint64_t commit);
struct rep_peer *rep_peer_find(struct rep *r, uint32_t id);

/* rep_log.c */
uint64_t rep_last_term(const struct rep *r);
struct rep_entry *rep_entry_at(const struct rep *r, uint64_t index);
void rep_log_append(struct rep *r, struct rep_entry *e); /* takes e */
void rep_log_truncate(struct rep *r, uint64_t from);
void rep_log_drop_to(struct rep *r, uint64_t index);
void rep_log_reset(struct rep *r, uint64_t index, uint64_t term);
void rep_snap_copy(struct rep_snap *to, const struct rep_snap *from);

/* rep_election.c */
void rep_become_follower(struct rep *r, uint64_t term, uint32_t leader);
void rep_on_leader_contact(struct rep *r, const struct rep_msg *m);
void rep_reset_election(struct rep *r);
void rep_schedule_startup_round(struct rep *r);
void rep_election_tick(struct rep *r);
void rep_on_prevote(struct rep *r, const struct rep_msg *m);
void rep_on_vote(struct rep *r, const struct rep_msg *m);
void rep_on_vote_reply(struct rep *r, const struct rep_msg *m);

/* rep_append.c */
void rep_peer_reset(struct rep *r, struct rep_peer *p);
void rep_leader_tick(struct rep *r);
void rep_send_pending(struct rep *r);
void rep_send_heartbeats(struct rep *r);
void rep_on_append(struct rep *r, const struct rep_msg *m);
void rep_on_append_reply(struct rep *r, const struct rep_msg *m);
void rep_send_ack(struct rep *r, uint32_t to, int64_t sent_us);
void rep_maybe_commit(struct rep *r);
int64_t rep_quorum_ack_us(const struct rep *r);
bool rep_peer_is_reachable(const struct rep *r, const struct rep_peer *p);

/* rep_snapshot.c */
void rep_peer_start_snap(struct rep *r, struct rep_peer *p);
void rep_peer_stop_snap(struct rep_peer *p);
void rep_send_chunk(struct rep *r, struct rep_peer *p);
void rep_on_snap(struct rep *r, const struct rep_msg *m);
void rep_on_snap_reply(struct rep *r, const struct rep_msg *m);
void rep_incoming_release(struct rep *r);

/* rep_member.c */
void rep_set_voters(struct rep *r, const struct rep_voters *vs, uint64_t index);
void rep_voters_at(const struct rep *r, uint64_t index, struct rep_voters *vs,
		   uint64_t *voters_index);
bool rep_is_voter(const struct rep_voters *vs, uint32_t id);
uint32_t rep_n_voters(const struct rep_voters *vs);
uint32_t rep_majority(const struct rep_voters *vs);
void rep_member_tick(struct rep *r);

#endif
