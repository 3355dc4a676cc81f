/*
 * Membership changes.  The newest voter list in the log is in force, committed
 * or not.  A new list is appended only when the previous one is committed.
 *
 * A replacement goes through a joint list (rep/quorum.h): the old voter and the
 * learner that takes its place count in one half each, and the new half alone
 * follows once the joint list is committed.  No list has fewer voters than the
 * one before, and what the joint list needs beyond the old one is a majority of
 * the new half.  The steps are ordered so that the group survives the failure
 * of a member in between:
 *  - The new member is a learner first.  The joint list follows once it has
 *    caught up: until then the old voter may return with its copy.
 *  - The replacement of a reachable voter waits while any other voter is
 *    unreachable: the new half would need the learner at once.  If the old
 *    voter is unreachable, the members that the old half needs are a majority
 *    of the new half too.
 *  - The promotion of a learner that replaces none waits while a voter is
 *    unreachable and the number of voters is odd, as it raises the majority.
 *  - A waiting change is cancelled by the replacement of an unreachable voter,
 *    which could not begin otherwise.  The list that begins the replacement
 *    drops the waiting learner.
 *  - A step is taken only when the members it counts on have acknowledged a
 *    message that was sent after the step became due.  When acknowledgements
 *    from within min_election_us sufficed, a group was blocked if one of those
 *    voters had just failed.
 *
 * Lists that are not joint differ by at most one voter from the one before.
 * That is how an operator adds and removes voters, and how a group replaces one
 * while some of its members run a version without joint lists.
 */
#include <string.h>

#include "rep/rep_int.h"
#include "rep/rep_wire.h"

/*
 * A learner may take part in a step once it lacks at most so much of what is
 * committed; the step then waits until its disk has all that was committed
 * when the step became due.  The bytes take 0.8 s at 10 Mbit/s, the slowest
 * links.
 */
#define CATCH_UP_ENTRIES 256
#define CATCH_UP_BYTES (1u << 20)

/* Puts a voter list in force; members that stay keep their peer state. */
void rep_set_voters(struct rep *r, const struct rep_voters *vs, uint64_t index)
{
	struct rep_peer old[REP_MAX_VOTERS];
	uint32_t n_old = r->n_peers;

	memcpy(old, r->peers, sizeof(old));
	memset(r->peers, 0, sizeof(r->peers));
	r->n_peers = 0;
	r->voters = *vs;
	r->voters_index = index;
	r->change_due_us = 0;
	for (uint32_t i = 0; i < vs->n; i++) {
		struct rep_peer *p = &r->peers[r->n_peers];
		uint32_t k = 0;

		if (vs->v[i].id == r->cfg.id)
			continue;
		r->n_peers++;
		while (k < n_old && old[k].id != vs->v[i].id)
			k++;
		if (k < n_old) {
			*p = old[k];
			old[k].snap.data = NULL;
		} else {
			p->id = vs->v[i].id;
			rep_peer_reset(r, p);
		}
	}
	for (uint32_t k = 0; k < n_old; k++)
		rep_snap_release(&old[k].snap);
}

/* Returns the voter list in force at `index`, which is not below base_index. */
void rep_voters_at(const struct rep *r, uint64_t index, struct rep_voters *vs,
		   uint64_t *voters_index)
{
	for (; index > r->base_index; index--) {
		const struct rep_entry *e = rep_entry_at(r, index);

		if (e && e->kind == REP_ENTRY_VOTERS &&
		    !rep_voters_unpack(e->data, e->len, vs)) {
			*voters_index = index;
			return;
		}
	}
	*vs = r->base_voters;
	*voters_index = r->base_voters_index;
}

bool rep_voters_settled(const struct rep *r)
{
	for (uint32_t i = 0; i < r->voters.n; i++)
		if (r->voters.v[i].learner || r->voters.v[i].replaces)
			return false;
	return r->voters_index <= r->commit;
}

int64_t rep_silent_since_us(const struct rep *r, uint32_t id)
{
	const struct rep_peer *p = NULL;

	for (uint32_t i = 0; i < r->n_peers; i++)
		if (r->peers[i].id == id)
			p = &r->peers[i];
	if (r->role != REP_LEADER || !p)
		return 0;
	if (p->acked_send_us)
		return p->acked_send_us;
	if (id != r->contact_id || p->since_us != r->elected_us)
		return p->since_us;
	return MAX(r->leader_contact_us,
		   r->elected_us - r->cfg.min_election_us);
}

static bool acked_since(const struct rep *r, uint32_t id, int64_t since)
{
	for (uint32_t i = 0; i < r->n_peers; i++)
		if (r->peers[i].id == id)
			return rep_peer_is_reachable(r, &r->peers[i]) &&
			       r->peers[i].acked_send_us >= since;
	return id == r->cfg.id;
}

/* The members of the list that acked_since() holds for. */
static uint32_t members_heard(const struct rep *r, const struct rep_voters *vs,
			      int64_t since)
{
	uint32_t set = 0;

	for (uint32_t i = 0; i < vs->n; i++)
		set |= (uint32_t)acked_since(r, vs->v[i].id, since) << i;
	return set;
}

static void append_list(struct rep *r, const struct rep_voters *vs)
{
	g_autoptr(GByteArray) data = g_byte_array_new();

	rep_voters_pack(vs, data);
	rep_log_append(r,
		       rep_entry_new(rep_last_index(r) + 1, r->vote.term,
				     REP_ENTRY_VOTERS, data->data, data->len));
}

/*
 * Appends a new voter list.  Fails with -MW_EAGAIN unless a majority of its
 * voters has acknowledged a message sent at `since` or later, as a list that
 * cannot be committed would block the group.
 */
static int append_voters(struct rep *r, const struct rep_voters *vs,
			 int64_t since)
{
	if (!quorum_reached(vs, members_heard(r, vs, since)))
		return -MW_EAGAIN;
	append_list(r, vs);
	return 0;
}

/* Returns 0 if a new voter list may be appended now, or an error. */
static int check_change_allowed(const struct rep *r)
{
	if (r->role != REP_LEADER)
		return -MW_ENOTLEADER;
	/*
	 * Until its no-op is committed, a leader may not know the newest
	 * committed list.
	 */
	if (!rep_leader_ready(r) || r->voters_index > r->commit ||
	    quorum_is_joint(&r->voters))
		return -MW_EAGAIN;
	return 0;
}

/*
 * A new leader considers no member unreachable within min_election_us, as some
 * have not replied yet.
 */
static bool is_unreachable(const struct rep *r, uint32_t id)
{
	return id && !acked_since(r, id, 0) &&
	       r->now - r->elected_us >= r->cfg.min_election_us;
}

/*
 * Whether the replacement by learner v may go through a joint list: no
 * reachable member is known to run a version without them.  One that is not
 * reachable may run it: it refuses the entry and all after it, and so cannot be
 * elected.
 */
static bool may_join(const struct rep *r, const struct rep_voter *v)
{
	for (uint32_t i = 0; i < r->n_peers; i++) {
		const struct rep_peer *p = &r->peers[i];

		if (rep_peer_is_reachable(r, p) && !p->reads_joint)
			return false;
	}
	return rep_is_voter(&r->voters, v->replaces) &&
	       r->voters.n <= REP_MAX_JOINT;
}

/*
 * Returns the next step of the change of member v, when it counts on messages
 * acknowledged that were sent at `since` or later.
 */
static enum rep_change_kind
change_kind(const struct rep *r, const struct rep_voter *v, int64_t since)
{
	const struct rep_voters *vs = &r->voters;
	uint32_t silent = 0;

	for (uint32_t i = 0; i < vs->n; i++)
		silent |= (uint32_t)is_unreachable(r, vs->v[i].id) << i;
	return quorum_next_change(vs, v, members_heard(r, vs, since), silent,
				  may_join(r, v));
}

static bool change_must_wait(const struct rep *r, const struct rep_voter *v)
{
	return (v->learner || v->replaces) &&
	       change_kind(r, v, 0) == REP_CHANGE_WAITS;
}

bool rep_member_change_waits(const struct rep *r, uint32_t id)
{
	const struct rep_voter *v = rep_voter_find(&r->voters, id);

	return r->role == REP_LEADER && v && change_must_wait(r, v);
}

/*
 * Drops a learner that is unreachable, so that another one can take its place.
 * *replaces becomes the voter that it replaces, if it is the learner itself.
 */
static int drop_failed_learner(struct rep *r, struct rep_voters *vs,
			       uint32_t *replaces)
{
	for (uint32_t i = 0; *replaces && i < vs->n; i++) {
		const struct rep_voter *v = &vs->v[i];
		const struct rep_peer *p = rep_peer_find(r, v->id);

		if (!v->learner || !p || !is_unreachable(r, v->id) ||
		    r->now - p->since_us < r->cfg.min_election_us ||
		    (v->id != *replaces && v->replaces != *replaces))
			continue;
		*replaces = v->replaces;
		quorum_drop(vs, v->id);
		return 0;
	}
	return -MW_EAGAIN;
}

/*
 * Removes the waiting change from the list, if the replacement of `replaces`
 * may cancel it.  Only the replacement of an unreachable voter that is not
 * being replaced yet may: otherwise two changes that are requested repeatedly
 * could cancel each other forever.
 */
static int cancel_waiting_change(const struct rep *r, struct rep_voters *vs,
				 uint32_t replaces)
{
	if (!rep_is_voter(vs, replaces) || !is_unreachable(r, replaces))
		return -MW_EAGAIN;
	for (uint32_t i = 0; i < vs->n; i++) {
		struct rep_voter *v = &vs->v[i];

		if (!v->learner && !v->replaces)
			continue;
		if (!change_must_wait(r, v))
			return -MW_EAGAIN;
		if (v->learner)
			quorum_drop(vs, v->id);
		else
			v->replaces = 0;
		return 0; /* at most one change is in progress */
	}
	return -MW_EAGAIN;
}

static int add_learner(struct rep *r, uint32_t id, const char *addr,
		       uint32_t replaces)
{
	struct rep_voters vs = r->voters;
	struct rep_voter *v;
	int err = check_change_allowed(r);

	if (err)
		return err;
	if (!rep_voters_settled(r) &&
	    drop_failed_learner(r, &vs, &replaces) < 0)
		err = cancel_waiting_change(r, &vs, replaces);
	if (err)
		return err;
	if (!id || rep_voter_find(&r->voters, id) || vs.n >= REP_MAX_VOTERS ||
	    strlen(addr) >= REP_ADDR_SIZE)
		return -MW_EINVAL;
	if (replaces && !rep_voter_find(&vs, replaces))
		return -MW_ENOTFOUND;
	v = &vs.v[vs.n++];
	memset(v, 0, sizeof(*v));
	v->id = id;
	v->learner = true;
	v->replaces = replaces;
	g_strlcpy(v->addr, addr, sizeof(v->addr));
	return append_voters(r, &vs, 0);
}

int rep_add_voter(struct rep *r, int64_t now, uint32_t id, const char *addr)
{
	r->now = now;
	return add_learner(r, id, addr, 0);
}

int rep_replace_voter(struct rep *r, int64_t now, uint32_t old_id, uint32_t id,
		      const char *addr)
{
	r->now = now;
	if (!old_id)
		return -MW_ENOTFOUND;
	return add_learner(r, id, addr, old_id);
}

int rep_remove_voter(struct rep *r, int64_t now, uint32_t id)
{
	struct rep_voters vs = r->voters;
	int err;

	r->now = now;
	err = check_change_allowed(r);
	if (err)
		return err;
	if (!rep_voter_find(&vs, id))
		return -MW_ENOTFOUND;
	quorum_drop(&vs, id);
	if (!quorum_size(&vs, QUORUM_NEW))
		return -MW_EINVAL;
	return append_voters(r, &vs, 0);
}

/* Whether the disk of member `id` has nearly all, and all up to `index`. */
static bool is_caught_up(struct rep *r, uint32_t id, uint64_t index)
{
	const struct rep_peer *p = rep_peer_find(r, id);

	return p && rep_peer_is_reachable(r, p) && p->match >= index &&
	       p->match >= r->base_index &&
	       p->match + CATCH_UP_ENTRIES >= rep_last_index(r) &&
	       rep_bytes_between(r, p->match, r->commit) <= CATCH_UP_BYTES;
}

/*
 * Applies the next step of an add or replace to *vs, if the members that it
 * counts on have acknowledged a message sent at `since` or later and a learner
 * has synced all up to `index`.  The step is derived from the list in the log,
 * so that a new leader continues the change.
 */
static enum rep_change_kind next_change_step(struct rep *r, int64_t since,
					     uint64_t index,
					     struct rep_voters *vs)
{
	struct rep_voter *v = NULL;
	enum rep_change_kind kind;

	for (uint32_t i = 0; i < vs->n && !v; i++)
		if (vs->v[i].learner || vs->v[i].replaces)
			v = &vs->v[i];
	if (!v || (v->learner && (!is_caught_up(r, v->id, index) ||
				  !acked_since(r, v->id, since))))
		return REP_CHANGE_WAITS;
	kind = change_kind(r, v, since);
	if (kind == REP_CHANGE_JOINS)
		quorum_join(vs, v->id);
	else if (kind == REP_CHANGE_REMOVES)
		quorum_drop(vs, v->replaces);
	else if (kind == REP_CHANGE_PROMOTES)
		v->learner = false;
	return kind;
}

void rep_member_tick(struct rep *r)
{
	struct rep_voters vs = r->voters;
	enum rep_change_kind kind = REP_CHANGE_WAITS;

	if (!rep_voters_settled(r) && !check_change_allowed(r))
		kind = next_change_step(r, 0, 0, &vs);
	if (kind == REP_CHANGE_WAITS) {
		r->change_due_us = 0;
		return;
	}
	/* Wait for new acknowledgements, again if the step becomes another. */
	if (!r->change_due_us || r->change_kind != kind) {
		r->change_due_us = r->now;
		r->change_kind = kind;
		r->change_due_commit = r->commit;
		rep_send_heartbeats(r);
		return;
	}
	vs = r->voters;
	if (next_change_step(r, r->change_due_us, r->change_due_commit, &vs) !=
	    REP_CHANGE_WAITS)
		append_voters(r, &vs, r->change_due_us);
}

void rep_leave_joint(struct rep *r)
{
	struct rep_voters vs = r->voters;

	if (r->voters_index > r->commit || !quorum_is_joint(&vs))
		return;
	quorum_leave(&vs);
	append_list(r, &vs);
}
