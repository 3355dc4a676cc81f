/*
 * Replicated log: construction, message dispatch, proposals, compaction and
 * output.  rep_int.h lists the invariants.
 */
#include "rep/rep.h"

#include <string.h>

#include "rep/rep_int.h"
#include "rep/rep_wire.h"

#define DEFAULT_HEARTBEAT_US (200 * USEC_PER_MSEC)
/*
 * The lease is derived from this and ends earlier on every clock; see rep_cfg.
 */
#define DEFAULT_MIN_ELECTION_US (1500 * USEC_PER_MSEC)
#define DEFAULT_MAX_INFLIGHT 16
#define DEFAULT_KEEP_ENTRIES 1024
#define DEFAULT_MAX_UNCOMMITTED 8192
/* At most this many times keep_entries are kept for reachable followers. */
#define FOLLOWER_KEEP_FACTOR 16
/*
 * Bytes of entries kept below a snapshot.  A new member gets them after a
 * snapshot that is older or instead of one: 0.8 s at 10 Mbit/s, the slowest
 * links.
 */
#define KEEP_BYTES (1u << 20)
/*
 * For reachable followers, among them one that receives a snapshot: what
 * arrives during the transfer of a large snapshot (13 s at 10 Mbit/s).
 */
#define FOLLOWER_KEEP_BYTES (16u << 20)
/*
 * Entries that are appended and not committed: more than a follower receives
 * within the election timeout at 100 Mbit/s.
 */
#define MAX_UNCOMMITTED_BYTES (32u << 20)

static void out_init(struct rep_output *out)
{
	memset(out, 0, sizeof(*out));
	out->append = g_ptr_array_new_with_free_func(rep_entry_unref);
	out->msgs = g_ptr_array_new_with_free_func(rep_msg_free);
	out->commit = g_ptr_array_new_with_free_func(rep_entry_unref);
}

/* Checks that the stored parts belong to this voter and are consistent. */
static bool stored_state_valid(const struct rep_cfg *cfg,
			       const struct rep_stored *s)
{
	uint64_t index = s->snap.index, term = s->snap.term;
	guint n = s->entries ? s->entries->len : 0;

	if (s->vote.id && s->vote.id != cfg->id)
		return false;
	if (!s->vote.joined && (n || index))
		return false;
	for (guint i = 0; i < n; i++) {
		const struct rep_entry *e = s->entries->pdata[i];
		struct rep_voters vs;

		if (e->index != ++index || e->term < term)
			return false;
		term = e->term;
		if (e->kind == REP_ENTRY_VOTERS &&
		    rep_voters_unpack(e->data, e->len, &vs))
			return false;
	}
	return term <= s->vote.term;
}

struct rep *rep_new(const struct rep_cfg *cfg, const struct rep_stored *stored,
		    int64_t now)
{
	const guint32 seed[] = {(guint32)cfg->seed, (guint32)(cfg->seed >> 32),
				cfg->id};
	struct rep *r;

	if (!cfg->id || !stored_state_valid(cfg, stored))
		return NULL;
	r = g_new0(struct rep, 1);
	r->cfg = *cfg;
	if (!r->cfg.heartbeat_us)
		r->cfg.heartbeat_us = DEFAULT_HEARTBEAT_US;
	if (!r->cfg.min_election_us)
		r->cfg.min_election_us = DEFAULT_MIN_ELECTION_US;
	if (!r->cfg.max_inflight || r->cfg.max_inflight > PEER_MAX_INFLIGHT)
		r->cfg.max_inflight = DEFAULT_MAX_INFLIGHT;
	if (!r->cfg.keep_entries)
		r->cfg.keep_entries = DEFAULT_KEEP_ENTRIES;
	if (!r->cfg.chunk || r->cfg.chunk > REP_CHUNK)
		r->cfg.chunk = REP_CHUNK;
	if (!r->cfg.max_uncommitted)
		r->cfg.max_uncommitted = DEFAULT_MAX_UNCOMMITTED;
	r->rng = g_rand_new_with_seed_array(seed, G_N_ELEMENTS(seed));
	r->now = now;
	r->log = g_ptr_array_new_with_free_func(rep_entry_unref);
	r->writes = g_array_new(FALSE, FALSE, sizeof(struct rep_pending_write));
	out_init(&r->out);

	r->vote = stored->vote;
	r->vote.id = cfg->id;
	rep_snap_copy(&r->snap, &stored->snap);
	r->base_index = r->commit = stored->snap.index;
	r->base_term = stored->snap.term;
	r->base_voters = stored->snap.voters;
	r->base_voters_index = stored->snap.voters_index;
	rep_set_voters(r, &r->base_voters, r->base_voters_index);
	for (guint i = 0; stored->entries && i < stored->entries->len; i++)
		rep_log_append(r, rep_entry_ref(stored->entries->pdata[i]));
	g_ptr_array_set_size(r->out.append, 0);
	r->synced = rep_last_index(r);
	/*
	 * This voter may have extended a leader's lease just before it
	 * restarted.
	 */
	r->leader_contact_us = now;
	rep_become_follower(r, r->vote.term, 0);
	rep_schedule_startup_round(r);
	return r;
}

void rep_free(struct rep *r)
{
	if (!r)
		return;
	for (uint32_t i = 0; i < r->n_peers; i++)
		rep_peer_stop_snap(&r->peers[i]);
	rep_incoming_release(r);
	rep_snap_release(&r->snap);
	rep_output_release(&r->out);
	g_ptr_array_unref(r->log);
	g_array_unref(r->writes);
	g_rand_free(r->rng);
	g_free(r);
}

int rep_bootstrap(struct rep *r, int64_t now, const struct rep_voters *voters)
{
	g_autoptr(GByteArray) data = g_byte_array_new();
	struct rep_voters vs = {0};
	uint32_t last = 0;

	r->now = now;
	if (r->vote.joined || r->vote.term || rep_last_index(r))
		return -MW_EINVAL;
	if (!voters->n || voters->n > REP_MAX_VOTERS ||
	    !rep_voter_find(voters, r->cfg.id))
		return -MW_EINVAL;
	/* Sort by id, as the entry must be the same on every voter. */
	while (vs.n < voters->n) {
		const struct rep_voter *min = NULL;

		for (uint32_t i = 0; i < voters->n; i++) {
			const struct rep_voter *v = &voters->v[i];
			if (v->id > last && (!min || v->id < min->id))
				min = v;
		}
		if (!min || min->learner || min->replaces)
			return -MW_EINVAL;
		last = min->id;
		vs.v[vs.n++] = *min;
	}
	rep_voters_pack(&vs, data);
	r->vote.joined = true;
	rep_set_term(r, 1, 0);
	rep_log_append(r, rep_entry_new(1, 1, REP_ENTRY_VOTERS, data->data,
					data->len));
	return 0;
}

bool rep_has_bootstrap_voters(const struct rep *r)
{
	return r->vote.joined && r->voters_index == 1;
}

void rep_tick(struct rep *r, int64_t now)
{
	r->now = now;
	if (r->role == REP_LEADER)
		rep_leader_tick(r);
	else
		rep_election_tick(r);
}

void rep_broadcast_commit(struct rep *r, int64_t now)
{
	r->now = now;
	if (r->role == REP_LEADER)
		rep_send_heartbeats(r);
}

/*
 * Checks that the entries of a message follow prev_index with ascending terms
 * up to that of the message, and that their voter lists are valid.
 */
static bool entries_valid(const struct rep_msg *m)
{
	uint64_t index = m->prev_index, term = m->prev_term;

	if (!index && term)
		return false;
	for (guint i = 0; m->entries && i < m->entries->len; i++) {
		const struct rep_entry *e = m->entries->pdata[i];
		struct rep_voters vs;

		if (e->index != ++index || e->term < term || e->term > m->term)
			return false;
		term = e->term;
		if (e->kind == REP_ENTRY_VOTERS &&
		    rep_voters_unpack(e->data, e->len, &vs))
			return false;
	}
	return true;
}

/*
 * Rejects a message from the leader of an earlier term; the reply carries the
 * current term, at which that leader steps down.
 */
static void reject_stale_term(struct rep *r, const struct rep_msg *m)
{
	struct rep_msg *reply = rep_msg_to(r, REP_APPEND_REPLY, m->from);

	reply->prev_index = m->prev_index;
	rep_send(r, reply);
}

void rep_step(struct rep *r, int64_t now, const struct rep_msg *m)
{
	bool from_leader = m->type == REP_APPEND || m->type == REP_SNAP;

	r->now = now;
	if (m->to != r->cfg.id || !m->from || m->from == r->cfg.id ||
	    !m->term || !entries_valid(m))
		return;
	if (!r->vote.joined) {
		/*
		 * A voter without state may have lost its disk and with it its
		 * votes, so it must not vote under its old id.  Learners always
		 * have a new id.  One whose id belongs to the disk is a voter
		 * already if it failed after the others had learned its id and
		 * before it had bootstrapped.
		 */
		if (!from_leader || !(m->learner || r->cfg.id_of_disk))
			return;
		r->vote.joined = true;
		rep_set_term(r, m->term, m->from);
	}
	if (m->type == REP_PREVOTE) {
		rep_on_prevote(r, m);
		return;
	}
	if (m->type == REP_VOTE) {
		rep_on_vote(r, m);
		return;
	}
	if (m->type == REP_PREVOTE_REPLY && m->ok) {
		rep_on_vote_reply(r, m);
		return;
	}
	if (m->term > r->vote.term)
		rep_become_follower(r, m->term, from_leader ? m->from : 0);
	if (m->term < r->vote.term) {
		if (from_leader)
			reject_stale_term(r, m);
		return;
	}
	switch (m->type) {
	case REP_VOTE_REPLY:
		rep_on_vote_reply(r, m);
		break;
	case REP_APPEND:
		rep_on_append(r, m);
		break;
	case REP_APPEND_REPLY:
		rep_on_append_reply(r, m);
		break;
	case REP_SNAP:
		rep_on_snap(r, m);
		break;
	case REP_SNAP_REPLY:
		rep_on_snap_reply(r, m);
		break;
	default:
		break;
	}
}

int rep_propose(struct rep *r, int64_t now, const void *data, size_t len,
		uint64_t *index)
{
	uint64_t settled;

	r->now = now;
	if (r->role != REP_LEADER)
		return -MW_ENOTLEADER;
	if (len > REP_MAX_ENTRY)
		return -MW_ETOOBIG;
	/* The own disk may be behind the commit index; its queue is bounded. */
	settled = MIN(r->commit, r->synced);
	if (rep_last_index(r) - settled >= r->cfg.max_uncommitted ||
	    (r->log_bytes >= MAX_UNCOMMITTED_BYTES &&
	     rep_bytes_between(r, settled, rep_last_index(r)) >=
		     MAX_UNCOMMITTED_BYTES))
		return -MW_EAGAIN;
	*index = rep_last_index(r) + 1;
	rep_log_append(r, rep_entry_new(*index, r->vote.term, REP_ENTRY_DATA,
					data, (uint32_t)len));
	return 0;
}

void rep_synced(struct rep *r, int64_t now, uint64_t upto)
{
	uint64_t before = r->synced;
	guint n = 0;

	r->now = now;
	for (; n < r->writes->len; n++) {
		struct rep_pending_write *w =
			&g_array_index(r->writes, struct rep_pending_write, n);
		if (w->seq > upto)
			break;
		r->synced = MAX(r->synced, w->last);
	}
	g_array_remove_range(r->writes, 0, n);
	if (r->synced == before)
		return;
	assert(r->synced <= rep_last_index(r));
	if (r->role == REP_LEADER)
		rep_advance_commit(r);
	else if (r->leader && r->pending_ack_us)
		rep_send_ack(r, r->leader, r->pending_ack_us);
}

/*
 * Returns the lowest index after which the entries up to `index` are neither
 * more than max_entries nor larger than max_bytes.
 */
static uint64_t keep_from(const struct rep *r, uint64_t index,
			  uint64_t max_entries, size_t max_bytes)
{
	uint64_t from = index;
	size_t bytes = 0;

	while (from > r->base_index && index - from < max_entries) {
		bytes += rep_entry_at(r, from)->len;
		if (bytes > max_bytes)
			break;
		from--;
	}
	return from;
}

/*
 * Returns the index up to which a snapshot at `index` allows entries to be
 * dropped.  A follower that receives a snapshot needs the entries after it:
 * without them it needs another snapshot, and under steady load it never
 * catches up.
 */
static uint64_t compaction_limit(const struct rep *r, uint64_t index)
{
	uint64_t keep = r->cfg.keep_entries, limit = index;

	for (uint32_t i = 0; r->role == REP_LEADER && i < r->n_peers; i++) {
		const struct rep_peer *p = &r->peers[i];
		uint64_t covered = MAX(p->match, p->snap.index);

		if (rep_peer_is_reachable(r, p))
			limit = MIN(limit, covered);
	}
	limit = MAX(limit, keep_from(r, index, FOLLOWER_KEEP_FACTOR * keep,
				     FOLLOWER_KEEP_BYTES));
	return MIN(limit, keep_from(r, index, keep, KEEP_BYTES));
}

int rep_compact(struct rep *r, uint64_t index, GBytes *data)
{
	struct rep_snap s = {0};
	int err = rep_snap_header_at(r, index, &s);

	if (err)
		return err;
	if (g_bytes_get_size(data) > REP_MAX_SNAPSHOT)
		return -MW_ETOOBIG;
	s.data = data;
	rep_snap_copy(&r->snap, &s);
	r->synced = MAX(r->synced, index);
	rep_log_drop_to(r, compaction_limit(r, index));
	return 0;
}

int rep_snap_header_at(const struct rep *r, uint64_t index,
		       struct rep_snap *snap)
{
	if (index > r->commit || index <= r->snap.index)
		return -MW_EINVAL;
	memset(snap, 0, sizeof(*snap));
	snap->index = index;
	snap->term = rep_term_at(r, index);
	rep_voters_at(r, index, &snap->voters, &snap->voters_index);
	return 0;
}

void rep_take_output(struct rep *r, struct rep_output *out)
{
	if (r->role == REP_LEADER)
		rep_send_pending(r);
	r->out.vote = r->vote;
	if (r->out.append->len || r->out.has_install) {
		struct rep_pending_write w = {++r->write_seq, rep_last_index(r),
					      r->now};

		g_array_append_val(r->writes, w);
		r->out.write_seq = w.seq;
	}
	*out = r->out;
	out_init(&r->out);
}

struct rep_msg *rep_msg_to(struct rep *r, uint32_t type, uint32_t to)
{
	struct rep_msg *m = rep_msg_new(type, r->cfg.id, to, r->vote.term);

	m->reads_joint = true;
	return m;
}

void rep_send(struct rep *r, struct rep_msg *m)
{
	g_ptr_array_add(r->out.msgs, m);
}

void rep_set_term(struct rep *r, uint64_t term, uint32_t vote)
{
	assert(term >= r->vote.term && r->vote.joined);
	assert(term > r->vote.term || !r->vote.vote || r->vote.vote == vote);
	if (r->vote.term == term && r->vote.vote == vote)
		return; /* part of an earlier output */
	r->vote.term = term;
	r->vote.vote = vote;
	r->out.save_vote = true;
}

/*
 * Advances the commit index and adds the newly committed entries to the output.
 */
void rep_set_commit(struct rep *r, uint64_t commit)
{
	assert(commit <= rep_last_index(r));
	while (r->commit < commit) {
		struct rep_entry *e = rep_entry_at(r, ++r->commit);
		g_ptr_array_add(r->out.commit, rep_entry_ref(e));
	}
}

int64_t rep_disk_stalled_us(const struct rep *r)
{
	if (!r->writes->len)
		return 0;
	return r->now -
	       g_array_index(r->writes, struct rep_pending_write, 0).since_us;
}

struct rep_peer *rep_peer_find(struct rep *r, uint32_t id)
{
	for (uint32_t i = 0; i < r->n_peers; i++)
		if (r->peers[i].id == id)
			return &r->peers[i];
	return NULL;
}

enum rep_role rep_role(const struct rep *r)
{
	return r->role;
}

uint64_t rep_term(const struct rep *r)
{
	return r->vote.term;
}

uint32_t rep_leader(const struct rep *r)
{
	return r->leader;
}

uint64_t rep_commit_index(const struct rep *r)
{
	return r->commit;
}

uint64_t rep_snap_index(const struct rep *r)
{
	return r->snap.index;
}

size_t rep_log_bytes(const struct rep *r)
{
	return r->log_bytes;
}

bool rep_joined(const struct rep *r)
{
	return r->vote.joined;
}

const struct rep_voters *rep_voters(const struct rep *r)
{
	return &r->voters;
}

bool rep_leader_ready(const struct rep *r)
{
	return r->role == REP_LEADER && r->commit >= r->noop_index;
}

bool rep_is_caught_up(const struct rep *r)
{
	return r->caught_up || rep_leader_ready(r);
}

void rep_request_confirmation(struct rep *r, int64_t now)
{
	r->now = now;
	if (r->role == REP_LEADER)
		rep_send_heartbeats(r);
}

int64_t rep_leadership_confirmed_us(const struct rep *r)
{
	return r->role == REP_LEADER ? rep_quorum_ack_us(r) : 0;
}

int64_t rep_lease_until(const struct rep *r)
{
	int64_t acked;

	/*
	 * The voters of a list without this leader may restart together and
	 * elect another one in a startup round.
	 */
	if (r->role != REP_LEADER || !rep_is_voter(&r->voters, r->cfg.id))
		return 0;
	acked = rep_quorum_ack_us(r);
	if (acked == INT64_MAX || !acked)
		return acked;
	return acked + r->cfg.min_election_us -
	       r->cfg.min_election_us * CLOCK_DRIFT_PERCENT / 100;
}

bool rep_lease_valid(const struct rep *r, int64_t now)
{
	return now < rep_lease_until(r);
}
