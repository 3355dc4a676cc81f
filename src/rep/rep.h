#ifndef REP_REP_H
#define REP_REP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/*
 * Replicated log: a deterministic Raft core.  It does no I/O and reads no
 * clock; `now` is monotonic time in microseconds on this host, and random
 * numbers come from the seed in the configuration.
 *
 * Use: call rep_tick, rep_step, rep_propose, rep_synced or a voter change,
 * then take the output with rep_take_out and carry it out (struct rep_out
 * gives the order).  Proposals made between two calls of rep_take_out travel
 * in one message.
 *
 * Allocation failure ends the process, as with GLib.
 */

#define REP_MAX_VOTERS 9 /* 7, one joining and one spare */
#define REP_ADDR_SIZE 64
#define REP_MAX_ENTRY (3u << 20)   /* bytes of one proposal */
#define REP_MAX_BATCH (256u << 10) /* a message ends after the entry that */
#define REP_MAX_BATCH_ENTRIES 1024 /* reaches one of these two */
#define REP_CHUNK (256u << 10)	   /* bytes of one snapshot chunk */
#define REP_MAX_SNAPSHOT (256u << 20)

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

/* One log entry, reference counted (atomically) and not changed once made. */
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
 * A member of the group.  A learner receives the log and does not count for a
 * majority.  `replaces` is the id of a voter that the leader removes as the
 * second part of a replacement, or 0.
 */
struct rep_voter {
	uint32_t id; /* never 0, never used again after its disk was lost */
	bool learner;
	uint32_t replaces;
	char addr[REP_ADDR_SIZE];
};

struct rep_voters {
	uint32_t n;
	struct rep_voter v[REP_MAX_VOTERS];
};

/* What must survive a crash besides log and snapshot. */
struct rep_vote {
	uint32_t id;   /* own voter id; an identity of this disk */
	uint32_t vote; /* id voted for in `term`, or 0 */
	uint64_t term;
	bool joined; /* bootstrapped or accepted as a learner: may vote */
};

/* State up to and including `index`; reference counted through data. */
struct rep_snap {
	uint64_t index, term;
	uint64_t voters_index; /* index of the entry that set voters */
	struct rep_voters voters;
	GBytes *data;
};

void rep_snap_release(struct rep_snap *s);

enum rep_msg_type {
	REP_PREVOTE = 1,
	REP_PREVOTE_REPLY,
	REP_VOTE,
	REP_VOTE_REPLY,
	REP_APPEND, /* without entries: a heartbeat */
	REP_APPEND_REPLY,
	REP_SNAP, /* one chunk of a snapshot */
	REP_SNAP_REPLY,
	REP_MSG_TYPE_END
};

struct rep_msg {
	uint32_t type; /* enum rep_msg_type */
	uint32_t from, to;
	uint64_t term;
	uint64_t prev_index, prev_term; /* append; last entry in a vote */
	uint64_t commit;
	uint64_t match; /* synced and equal to the leader's; hint if !ok */
	bool ok;
	bool learner;	 /* the receiver is a learner in the sender's log */
	int64_t sent_us; /* leader's or candidate's clock, echoed in replies */
	GPtrArray *entries; /* struct rep_entry *; NULL if none */
	/* snapshot chunk: snap.data holds bytes from snap_off on */
	struct rep_snap snap;
	uint64_t snap_off; /* in replies: bytes received so far */
	uint64_t snap_len; /* bytes of the whole snapshot */
};

struct rep_msg *rep_msg_new(uint32_t type, uint32_t from, uint32_t to,
			    uint64_t term);
void rep_msg_free(void *m);

struct rep_cfg {
	uint32_t id;
	uint64_t seed;
	/* 0 in any of the following selects the default */
	int64_t heartbeat_us; /* 200 ms */
	/*
	 * 1.5 s.  A voter grants no vote within this time of hearing a leader,
	 * on its own clock; election timeouts are random between this and 4/3
	 * of it (2 s).  The lease is this time less clock drift, counted from
	 * when the leader sent the acknowledged message.
	 */
	int64_t min_election_us;
	uint32_t max_inflight;	  /* append messages to one follower: 16 */
	uint32_t keep_entries;	  /* kept in memory below a snapshot: 1024 */
	uint32_t chunk;		  /* REP_CHUNK */
	uint32_t max_uncommitted; /* proposals not yet committed: 8192 */
};

/* What disk_load found. */
struct rep_stored {
	struct rep_vote vote;
	struct rep_snap snap; /* index 0 if none */
	GPtrArray *entries;   /* struct rep_entry *, from snap.index + 1 on */
};

void rep_stored_release(struct rep_stored *s);

/*
 * Output, to be carried out in this order:
 *  1. save_vote: write and sync `vote`.  Messages of this output must not be
 *     sent before, and must never be sent if it fails.
 *  2. install: write and sync the snapshot, drop the whole log, restore the
 *     state machine.
 *  3. append: write the entries.  An entry whose index is already in the log
 *     replaces it and everything after it.
 *  4. send msgs; this may happen before 2 and 3 are synced.
 *  5. apply commit in order (after the install).
 *  After 2 and 3 are synced: rep_synced(r, now, write_seq), if it is not 0.
 */
struct rep_out {
	bool save_vote;
	struct rep_vote vote;
	bool has_install;
	struct rep_snap install;
	GPtrArray *append; /* struct rep_entry * */
	uint64_t write_seq;
	GPtrArray *msgs;   /* struct rep_msg * */
	GPtrArray *commit; /* struct rep_entry *, every kind */
};

void rep_out_release(struct rep_out *out);

struct rep;

/*
 * Starts from what is on disk (all zero and NULL on a new disk).  The caller
 * restores its state machine from stored->snap first; entries after it are
 * handed out again once they are known to be committed.  Returns NULL if
 * vote.id is set and is not cfg->id, or if the stored parts do not fit
 * together.
 */
struct rep *rep_new(const struct rep_cfg *cfg, const struct rep_stored *stored,
		    int64_t now);
void rep_free(struct rep *r);

/*
 * First start of a group: every initial voter calls this once with the same
 * list, on an empty disk.  Without it, an empty voter waits until a leader
 * sends to it as a learner and neither votes nor acknowledges anything.
 * Returns -MW_EINVAL if there is state already or the list is not valid.
 */
int rep_bootstrap(struct rep *r, int64_t now, const struct rep_voters *voters);

/* To be called at least every 50 ms. */
void rep_tick(struct rep *r, int64_t now);

/*
 * As leader, tells the followers the commit index now instead of with the
 * next heartbeat.
 */
void rep_spread_commit(struct rep *r, int64_t now);

/*
 * The disk of this voter is lost: the process at its address has another id.
 * It cannot lead, so early rounds do not wait for its consent.
 */
void rep_note_gone(struct rep *r, uint32_t id);

/* Takes a message from another voter; the caller keeps ownership. */
void rep_step(struct rep *r, int64_t now, const struct rep_msg *m);

/*
 * Appends an entry.  Returns -MW_ENOTLEADER, -MW_ETOOBIG, or -MW_EAGAIN while
 * too many proposals are uncommitted; nothing was appended then.  After 0 the
 * entry at *index is this one only if it is committed with the same term.
 */
int rep_propose(struct rep *r, int64_t now, const void *data, size_t len,
		uint64_t *index);

/* All writes of outputs up to write_seq `upto` are synced. */
void rep_synced(struct rep *r, int64_t now, uint64_t upto);

/*
 * The caller has saved and synced a snapshot of its state machine at `index`,
 * which must be applied; older entries are dropped, but some are kept for
 * followers that are a little behind.  Returns -MW_EINVAL if index is not
 * committed or not above the last snapshot, -MW_ETOOBIG above
 * REP_MAX_SNAPSHOT.
 */
int rep_compact(struct rep *r, uint64_t index, GBytes *data);

/* Fills the header of a snapshot of the state applied up to index. */
int rep_snap_at(const struct rep *r, uint64_t index, struct rep_snap *snap);

/*
 * Voter changes, on the leader only.  A new voter joins as a learner and is
 * promoted when it has caught up.  A replacement then removes the old voter:
 * before the promotion if the old voter is silent, so that the majority never
 * grows because of a lost voter, otherwise after it.  A learner that fails is
 * removed with rep_remove_voter.
 *
 * While another voter is silent, a promotion that would raise the majority
 * waits, and so does the removal of a healthy voter that would not lower it
 * (rep_member_waits).  Removing the silent voter ends the wait.  Replacing it
 * drops the waiting learner or gives the waiting removal up; that change then
 * has to be asked for again.
 *
 * Return 0 when the change was appended; -MW_ENOTLEADER; -MW_EAGAIN while a
 * list is not committed, before the first entry of the term is committed, if
 * no majority of the new list is heard, and for add and replace while another
 * one is under way, but for the case above; -MW_ENOTFOUND; -MW_EINVAL.
 */
int rep_add_voter(struct rep *r, int64_t now, uint32_t id, const char *addr);
int rep_remove_voter(struct rep *r, int64_t now, uint32_t id);
int rep_replace_voter(struct rep *r, int64_t now, uint32_t old_id, uint32_t id,
		      const char *addr);

/* As leader: the next step of this member waits for a silent voter. */
bool rep_member_waits(const struct rep *r, uint32_t id);

/* Moves the collected output to *out; release it with rep_out_release. */
void rep_take_out(struct rep *r, struct rep_out *out);

enum rep_role rep_role(const struct rep *r);
uint64_t rep_term(const struct rep *r);
uint32_t rep_leader(const struct rep *r); /* 0 if not known */
uint64_t rep_commit_index(const struct rep *r);
uint64_t rep_last_index(const struct rep *r);
uint64_t rep_snap_index(const struct rep *r);
size_t rep_log_bytes(const struct rep *r); /* entries in memory */
bool rep_joined(const struct rep *r);
const struct rep_voters *rep_voters(const struct rep *r);
/* The newest voter list is committed; no add or replace is under way. */
bool rep_voters_settled(const struct rep *r);

/* The voters in force are those of the bootstrap: no list is in the log. */
bool rep_first_voters(const struct rep *r);

/* Leader with a committed entry of its own term: its state is complete. */
bool rep_leader_ready(const struct rep *r);

/*
 * True while no other leader can exist.  Time is this host's; 0 is returned
 * by rep_lease_until if there is no lease.
 */
bool rep_lease_valid(const struct rep *r, int64_t now);
int64_t rep_lease_until(const struct rep *r);

/*
 * As leader, sends heartbeats now, so that rep_confirmed_us() rises.
 */
void rep_probe(struct rep *r, int64_t now);

/*
 * The newest time at which a message left that a majority has acknowledged:
 * no other leader had been elected by then, so the log held everything that
 * was committed.  0 without leadership, INT64_MAX for a group of one.
 */
int64_t rep_confirmed_us(const struct rep *r);

/* Term of the entry at index, 0 if it is not in memory. */
uint64_t rep_term_at(const struct rep *r, uint64_t index);

static inline const struct rep_voter *
rep_voter_find(const struct rep_voters *vs, uint32_t id)
{
	for (uint32_t i = 0; i < vs->n; i++)
		if (vs->v[i].id == id)
			return &vs->v[i];
	return NULL;
}

#endif
