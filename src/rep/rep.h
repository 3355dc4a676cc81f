#ifndef REP_REP_H
#define REP_REP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/*
 * Replicated log: a deterministic implementation of Raft.  It does no I/O and
 * reads no clock.  The caller passes `now`, the monotonic time of this host in
 * microseconds, and random numbers come from the seed in the configuration.
 *
 * Usage: call rep_tick, rep_step, rep_propose, rep_synced or a function that
 * changes the voters, then fetch the output with rep_take_output and carry it
 * out in the order that struct rep_output gives.  Proposals made between two
 * calls of rep_take_output are sent in the same message, up to the limits of a
 * batch.
 *
 * Allocation failure ends the process, as in GLib.
 */

#define REP_MAX_VOTERS 9 /* 7 voters, one learner, one spare */
#define REP_MAX_JOINT (REP_MAX_VOTERS - 1) /* members of a joint list */
#define REP_ADDR_SIZE 64
#define REP_MAX_ENTRY (3u << 20) /* bytes of one entry */
/* An append message ends with the entry that reaches either limit. */
#define REP_MAX_BATCH (256u << 10) /* bytes of entry data */
#define REP_MAX_BATCH_ENTRIES 1024
#define REP_CHUNK (256u << 10) /* bytes of snapshot data in one message */
#define REP_MAX_SNAPSHOT (256u << 20) /* bytes */

enum rep_role {
	REP_FOLLOWER,
	REP_PRECANDIDATE,
	REP_CANDIDATE,
	REP_LEADER,
};

enum rep_entry_kind {
	REP_ENTRY_NOOP = 1,
	REP_ENTRY_DATA = 2,
	REP_ENTRY_VOTERS = 3,
};

/* One log entry: immutable, with an atomic reference count. */
struct rep_entry {
	uint64_t index, term;
	uint32_t kind; /* enum rep_entry_kind */
	uint32_t len;
	uint8_t data[];
};

struct rep_entry *rep_entry_new(uint64_t index, uint64_t term, uint32_t kind,
				const void *data, uint32_t len);
struct rep_entry *rep_entry_ref(struct rep_entry *e);
void rep_entry_unref(void *e);

/*
 * A list is joint if a member has a side.  A joint list stands for an old list,
 * without the incoming voters, and a new one, without the outgoing voters; both
 * are in force (rep/quorum.h).
 */
enum rep_side {
	REP_SIDE_BOTH,
	REP_SIDE_INCOMING, /* votes in the new list only */
	REP_SIDE_OUTGOING, /* votes in the old list only */
	REP_SIDE_END
};

/*
 * A member of the group, voter or learner.  A learner receives the log but does
 * not count for a majority.  `replaces` is the id of the voter whose place it
 * takes, or 0.
 */
struct rep_voter {
	uint32_t id; /* not 0; not reused after the loss of the disk */
	bool learner;
	uint32_t replaces;
	uint32_t side; /* enum rep_side; 0 for a learner */
	char addr[REP_ADDR_SIZE];
};

struct rep_voters {
	uint32_t n;
	struct rep_voter v[REP_MAX_VOTERS];
};

/* Persistent state of a voter besides its log and snapshot. */
struct rep_vote {
	uint32_t id;   /* own voter id; belongs to this disk */
	uint32_t vote; /* id that got the vote of `term`, or 0 */
	uint64_t term;
	bool joined; /* bootstrapped or added as a learner; required to vote */
};

/*
 * Snapshot of the state machine after the entry at `index`.  It owns one
 * reference to `data`.
 */
struct rep_snap {
	uint64_t index, term;
	uint64_t voters_index; /* index of the entry with this voter list */
	struct rep_voters voters;
	GBytes *data;
};

/* Drops the reference to data and clears *s. */
void rep_snap_release(struct rep_snap *s);

enum rep_msg_type {
	REP_PREVOTE = 1,
	REP_PREVOTE_REPLY,
	REP_VOTE,
	REP_VOTE_REPLY,
	REP_APPEND, /* a heartbeat if it has no entries */
	REP_APPEND_REPLY,
	REP_SNAP, /* one chunk of a snapshot */
	REP_SNAP_REPLY,
	REP_MSG_TYPE_END
};

struct rep_msg {
	uint32_t type; /* enum rep_msg_type */
	uint32_t from, to;
	uint64_t term;
	/*
	 * Append: the entry before the first one sent; vote request: the last
	 * entry of the log.
	 */
	uint64_t prev_index, prev_term;
	uint64_t commit;
	/*
	 * Append reply: last index that is synced and equal to the leader's log
	 * or, if !ok, an index to retry from.
	 */
	uint64_t match;
	/* Replies: granted or accepted; vote requests: startup round. */
	bool ok;
	bool learner; /* the receiver is a learner in the sender's voter list */
	bool reads_joint; /* append and snapshot replies: knows joint lists */
	/*
	 * Send time on the clock of the leader or candidate; replies repeat it.
	 */
	int64_t sent_us;
	GPtrArray *entries; /* struct rep_entry *, or NULL */
	/* Snapshot chunk: snap.data holds the bytes from snap_off on. */
	struct rep_snap snap;
	uint64_t snap_off; /* replies: bytes received so far */
	uint64_t snap_len; /* bytes of the whole snapshot */
};

struct rep_msg *rep_msg_new(uint32_t type, uint32_t from, uint32_t to,
			    uint64_t term);
void rep_msg_free(void *m);

struct rep_cfg {
	uint32_t id; /* own voter id, not 0 */
	uint64_t seed;
	/* In the fields below, 0 selects the default that the comment gives. */
	int64_t heartbeat_us; /* 200 ms */
	/*
	 * 1.5 s.  Minimum election timeout: a voter grants no vote within this
	 * time, on its own clock, after a message from a leader.  Election
	 * timeouts are random between this and 4/3 of it (2 s), but a failed
	 * election is repeated earlier.  The leader's lease is this time less
	 * the allowed clock drift, and counts from the send time of the
	 * acknowledged message.
	 */
	int64_t min_election_us;
	uint32_t max_inflight; /* 16; unacknowledged messages to a follower */
	uint32_t keep_entries; /* 1024; entries kept below a snapshot */
	uint32_t chunk; /* REP_CHUNK; bytes of snapshot data in a message */
	uint32_t max_uncommitted; /* 8192; entries appended and not committed */
	/*
	 * The id was generated for this disk, so that an empty voter has never
	 * voted under it: a leader that has it as a voter may let it take part.
	 */
	bool id_of_disk;
};

/* State read by disk_load. */
struct rep_stored {
	struct rep_vote vote;
	struct rep_snap snap; /* index 0 if none */
	GPtrArray *entries;   /* struct rep_entry *, from snap.index + 1 on */
};

void rep_stored_release(struct rep_stored *s);

/*
 * Output of the core, to be carried out in this order:
 *  1. save_vote: write and sync `vote`.  Messages of this and of later outputs
 *     must not be sent before that, and not at all if it fails.
 *  2. install: write and sync the snapshot, drop the whole log and restore the
 *     state machine from the snapshot.
 *  3. append: write the entries.  An entry whose index is already in the log
 *     replaces it and all later entries.
 *  4. Send msgs; this may happen before steps 2 and 3 are synced.
 *  5. Apply the entries of commit in order, after the install.
 * Once steps 2 and 3 are synced, call rep_synced(r, now, write_seq) unless
 * write_seq is 0.  The writes of several outputs may be under way, in their
 * order; steps 4 and 5 need not wait for them, but for the votes.
 */
struct rep_output {
	bool save_vote;
	struct rep_vote vote;
	bool has_install;
	struct rep_snap install;
	GPtrArray *append; /* struct rep_entry * */
	uint64_t write_seq;
	GPtrArray *msgs;   /* struct rep_msg * */
	GPtrArray *commit; /* struct rep_entry *, of all kinds */
};

void rep_output_release(struct rep_output *out);

struct rep;

/*
 * Creates a core from the state on disk, all zero and NULL on a new disk.  The
 * caller restores its state machine from stored->snap first; the entries after
 * the snapshot are returned in rep_output.commit again as they are committed.
 * The core takes its own references to snapshot and entries.  Returns NULL if
 * vote.id is set and differs from cfg->id, or if the stored parts are
 * inconsistent.
 */
struct rep *rep_new(const struct rep_cfg *cfg, const struct rep_stored *stored,
		    int64_t now);
void rep_free(struct rep *r);

/*
 * First start of a group: each initial voter calls this once with the same list
 * and an empty disk.  An empty voter that is not bootstrapped waits for a
 * message from a leader that has it as a learner or, with id_of_disk, as a
 * voter; until then it neither votes nor acknowledges anything.  Returns
 * -MW_EINVAL if the voter has state already or the list is invalid.
 */
int rep_bootstrap(struct rep *r, int64_t now, const struct rep_voters *voters);

/* Runs the timers; must be called at least every 50 ms. */
void rep_tick(struct rep *r, int64_t now);

/*
 * Sends the commit index to all followers now instead of with the next
 * heartbeat.  Does nothing unless this voter is the leader.
 */
void rep_broadcast_commit(struct rep *r, int64_t now);

/*
 * Records that the disk of voter `id` is lost, as the process at its address
 * has another id.  Such a voter cannot be a leader, so a startup election does
 * not need its vote.
 */
void rep_note_disk_lost(struct rep *r, uint32_t id);

/* Processes a message from another member.  Does not take ownership of m. */
void rep_step(struct rep *r, int64_t now, const struct rep_msg *m);

/*
 * Appends an entry and stores its index.  Returns -MW_ENOTLEADER, -MW_ETOOBIG,
 * or -MW_EAGAIN while too many entries are uncommitted; nothing is appended
 * then.  After success another leader may still replace the entry: the proposal
 * is committed only if the entry committed at *index has the term in which it
 * was appended.
 */
int rep_propose(struct rep *r, int64_t now, const void *data, size_t len,
		uint64_t *index);

/* Reports that the writes of all outputs up to write_seq `upto` are synced. */
void rep_synced(struct rep *r, int64_t now, uint64_t upto);

/*
 * Compacts the log in memory once the caller has saved and synced a snapshot of
 * its state machine at `index`, which must be applied.  Some older entries are
 * kept for followers that lag.  The core takes its own reference to data.
 * Returns -MW_EINVAL if index is not committed or not above the last snapshot,
 * -MW_ETOOBIG if data is larger than REP_MAX_SNAPSHOT.
 */
int rep_compact(struct rep *r, uint64_t index, GBytes *data);

/*
 * Fills all fields of a snapshot of the state at `index` but data, which
 * becomes NULL.  Returns -MW_EINVAL if index is not committed or not above the
 * last snapshot.
 */
int rep_snap_header_at(const struct rep *r, uint64_t index,
		       struct rep_snap *snap);

/*
 * Voter changes, on the leader only.  A new voter joins as a learner and is
 * promoted when it has caught up.  A replacement goes through a joint list, so
 * that the number of voters never changes.  A learner that fails is removed
 * with rep_remove_voter.
 *
 * While another voter is unreachable, the replacement of a reachable voter
 * waits, and so does a promotion that would raise the majority
 * (rep_member_change_waits).  Removing the unreachable voter ends the wait.
 * Replacing it cancels the waiting change, by dropping its learner; the
 * cancelled change has to be requested again.
 *
 * While a voter that the change counts on runs a version without joint lists, a
 * replacement promotes and removes in two steps: the removal first if the old
 * voter is unreachable.
 *
 * Return 0 when the change was appended; -MW_ENOTLEADER; -MW_EAGAIN while a
 * voter list is uncommitted, before the first entry of the term is committed,
 * if no majority of the new list is reachable, and for add and replace while
 * another change is in progress that cannot be cancelled; -MW_ENOTFOUND if the
 * voter to remove or replace is not a member; -MW_EINVAL if the id is 0 or in
 * use, the address is too long, the group is full or no voter would remain.
 */
int rep_add_voter(struct rep *r, int64_t now, uint32_t id, const char *addr);
int rep_remove_voter(struct rep *r, int64_t now, uint32_t id);
int rep_replace_voter(struct rep *r, int64_t now, uint32_t old_id, uint32_t id,
		      const char *addr);

/*
 * Returns whether this voter is the leader and the next step of the change of
 * member `id` waits for an unreachable voter.
 */
bool rep_member_change_waits(const struct rep *r, uint32_t id);

/*
 * Time since which member `id` has not answered this leader: the send time of
 * the newest message that it acknowledged.  Without one it is the time at which
 * it was added or this leader elected or, for the leader before, that of its
 * last message, but at most min_election_us before the election.  Returns 0
 * unless this voter is the leader and the other one a member.
 */
int64_t rep_silent_since_us(const struct rep *r, uint32_t id);

/* Moves the pending output to *out; free it with rep_output_release. */
void rep_take_output(struct rep *r, struct rep_output *out);

enum rep_role rep_role(const struct rep *r);
uint64_t rep_term(const struct rep *r);
uint32_t rep_leader(const struct rep *r); /* 0 if unknown */
uint64_t rep_commit_index(const struct rep *r);
uint64_t rep_last_index(const struct rep *r);
uint64_t rep_snap_index(const struct rep *r);
size_t rep_log_bytes(const struct rep *r); /* bytes of the entries in memory */
/* Bootstrapped or added as a learner. */
bool rep_joined(const struct rep *r);
/* The newest voter list in the log, which is in force even if uncommitted. */
const struct rep_voters *rep_voters(const struct rep *r);
/* The newest voter list is committed and no add or replace is in progress. */
bool rep_voters_settled(const struct rep *r);

/*
 * The voter list in force is the one of the bootstrap, at index 1 of the log.
 */
bool rep_has_bootstrap_voters(const struct rep *r);

/*
 * This voter is the leader and an entry of its own term is committed, so its
 * commit index covers all entries committed in earlier terms.
 */
bool rep_leader_ready(const struct rep *r);

/*
 * This voter has once, since its start, committed all that a leader had
 * committed.  Before that its state is the one of its disk, which may lack any
 * number of entries.
 */
bool rep_is_caught_up(const struct rep *r);

/*
 * The leader lease: while it is valid, no other voter can be elected.
 * rep_lease_until returns its end on the clock of this host, 0 if there is no
 * lease and INT64_MAX if this voter alone is the majority.
 */
bool rep_lease_valid(const struct rep *r, int64_t now);
int64_t rep_lease_until(const struct rep *r);

/*
 * Sends heartbeats now, so that their replies advance
 * rep_leadership_confirmed_us.  Does nothing unless this voter is the leader.
 */
void rep_request_confirmation(struct rep *r, int64_t now);

/*
 * Send time of the newest message that a majority has acknowledged.  No other
 * leader had been elected by then, so the log of this leader held every entry
 * committed by then.  Returns 0 unless this voter is the leader, INT64_MAX if
 * it alone is the majority.
 */
int64_t rep_leadership_confirmed_us(const struct rep *r);

/*
 * Term of the entry at index, which may be the last one that was compacted; 0
 * if it is not in memory.
 */
uint64_t rep_term_at(const struct rep *r, uint64_t index);

/* Returns the member with this id, or NULL. */
static inline const struct rep_voter *
rep_voter_find(const struct rep_voters *vs, uint32_t id)
{
	for (uint32_t i = 0; i < vs->n; i++)
		if (vs->v[i].id == id)
			return &vs->v[i];
	return NULL;
}

#endif
