#ifndef REP_REP_INT_H
#define REP_REP_INT_H

#include <assert.h>

#include "base/clock.h"
#include "base/err.h"
#include "rep/quorum.h"
#include "rep/rep.h"

/*
 * Internals of the replicated log, shared by the rep_*.c files.
 *
 * Invariants:
 *  - base_index <= snap.index <= commit <= last index, and the entries of the
 *    log are consecutive from base_index + 1.
 *  - Entries up to the commit index are never replaced.
 *  - `synced` covers only entries that are still in the log: a truncation
 *    lowers it, also for writes in progress.
 *  - A follower acknowledges at most min(leader_match, synced).
 *  - A change of `vote` is part of the same output as any message that depends
 *    on it, or of an earlier one.
 */

enum peer_state {
	PEER_PROBE,	/* match is unknown: one message at a time */
	PEER_REPLICATE, /* several messages in flight, sent ahead of match */
	PEER_SNAP, /* needs entries that were compacted; receives a snapshot */
};

#define PEER_MAX_INFLIGHT 64

/* State that this voter keeps about another member. */
struct rep_peer {
	uint32_t id;
	enum peer_state state;
	uint64_t match, next; /* last index known to be equal; next to send */
	bool probe_sent;      /* PEER_PROBE: sent since the last heartbeat */
	bool reads_joint;     /* knows joint lists, by its replies */
	/*
	 * Send time of the newest pre-vote request that it granted, 0 if none
	 * in this series of rounds.
	 */
	int64_t prevote_us;
	bool voted; /* for this voter in campaign_term */
	/*
	 * Send time, on the own clock, of the newest message it acknowledged; 0
	 * if none.
	 */
	int64_t acked_send_us;
	int64_t since_us; /* added to the list, or election of this leader */
	uint32_t inflight_head, n_inflight;
	/* Ring buffer: last index of each message in flight. */
	uint64_t inflight_last[PEER_MAX_INFLIGHT];
	struct rep_snap snap;  /* PEER_SNAP: snapshot to send */
	uint64_t snap_off;     /* bytes that it has received */
	bool chunk_sent;       /* a chunk is unacknowledged */
	int64_t chunk_sent_us; /* send time of the last chunk */
};

/* A write that was part of an output and is not synced. */
struct rep_pending_write {
	uint64_t seq;  /* rep_output.write_seq */
	uint64_t last; /* last index that the write makes durable */
	int64_t since_us;
};

struct rep {
	struct rep_cfg cfg;
	GRand *rng;
	int64_t now; /* time passed to the current call */

	struct rep_vote vote;
	enum rep_role role;
	uint32_t leader;

	/* log */
	GPtrArray *log;
	uint64_t base_index, base_term;
	size_t log_bytes;
	uint64_t commit, synced;
	struct rep_snap snap; /* newest own snapshot; index 0 if none */

	/* members: newest list in the log, list in force at base_index */
	struct rep_voters voters, base_voters;
	uint64_t voters_index, base_voters_index;
	struct rep_peer peers[REP_MAX_VOTERS];
	uint32_t n_peers;

	/* follower */
	uint32_t lost_ids[REP_MAX_VOTERS]; /* voters whose disk is lost */
	uint32_t n_lost_ids;
	bool caught_up; /* see rep_is_caught_up() */
	/* No message from a leader, and not elected, since the start. */
	bool no_leader_since_start;
	bool startup_round;	  /* the current round is a startup round */
	int64_t startup_round_us; /* time of the next startup round */
	/* Time of the last message from a leader, or of the start. */
	int64_t leader_contact_us;
	uint32_t contact_id;	 /* that leader; 0: none since the start */
	int64_t election_due_us; /* end of the election timeout */
	/* Last index known to be equal to the leader's log. */
	uint64_t leader_match;
	/* Send time for the reply due once entries are synced; 0 if none. */
	int64_t pending_ack_us;
	/* Snapshot that is being received; its data is in incoming_data. */
	struct rep_snap incoming;
	uint32_t incoming_from;
	uint64_t incoming_term, incoming_len;
	GByteArray *incoming_data;

	/* candidate */
	int64_t prevotes_from_us; /* start of this series of pre-vote rounds */
	uint64_t campaign_term;	  /* the last one in which it was a candidate */
	bool campaign_startup;	  /* by a startup round */

	/* leader */
	int64_t elected_us, next_heartbeat_us;
	uint64_t noop_index; /* index of the no-op entry of this term */
	/* voter change: time since which its next step is due, 0 if none */
	int64_t change_due_us;
	uint32_t change_kind;	    /* enum rep_change_kind of that step */
	uint64_t change_due_commit; /* commit index at change_due_us */

	struct rep_output out;
	uint64_t write_seq;
	GArray *writes; /* struct rep_pending_write, oldest first */
};

/* rep.c */
void rep_send(struct rep *r, struct rep_msg *m);
struct rep_msg *rep_msg_to(struct rep *r, uint32_t type, uint32_t to);
void rep_set_term(struct rep *r, uint64_t term, uint32_t vote);
void rep_set_commit(struct rep *r, uint64_t commit);
/* How long the oldest write of an output has not been synced; 0 if none. */
int64_t rep_disk_stalled_us(const struct rep *r);
struct rep_peer *rep_peer_find(struct rep *r, uint32_t id);

/* rep_log.c */
uint64_t rep_last_term(const struct rep *r);
struct rep_entry *rep_entry_at(const struct rep *r, uint64_t index);
/* Bytes of the entries from `after` + 1 to `upto` that are in memory. */
size_t rep_bytes_between(const struct rep *r, uint64_t after, uint64_t upto);
/* Takes ownership of e. */
void rep_log_append(struct rep *r, struct rep_entry *e);
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
void rep_advance_commit(struct rep *r);
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
void rep_member_tick(struct rep *r);
void rep_leave_joint(struct rep *r);

#endif
