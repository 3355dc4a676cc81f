#ifndef REP_QUORUM_H
#define REP_QUORUM_H

#include "rep/rep.h"

/*
 * Majorities of a voter list, and which list may follow which.  Pure: no state,
 * no clock.
 *
 * A joint list needs a majority of the old and of the new list for an election,
 * a commit and a lease.  Any two lists that follow each other have no two
 * majorities without a common voter.
 *
 * Sets of members are bit masks over the positions in the list.
 */

enum quorum_half {
	QUORUM_OLD,
	QUORUM_NEW, /* the same as QUORUM_OLD unless the list is joint */
};

bool quorum_is_joint(const struct rep_voters *vs);

/* Whether a member votes in this half of the list. */
bool quorum_votes(const struct rep_voter *v, enum quorum_half half);

/* Number of voters of one half. */
uint32_t quorum_size(const struct rep_voters *vs, enum quorum_half half);

/* Whether `set` has a majority of both halves; false without voters. */
bool quorum_reached(const struct rep_voters *vs, uint32_t set);

/* The greatest value that a majority of both halves has; 0 without voters. */
uint64_t quorum_value(const struct rep_voters *vs, const uint64_t *values);

/* Whether member `id` votes in either half. */
bool rep_is_voter(const struct rep_voters *vs, uint32_t id);

/*
 * Turns the list into the joint one in which learner `id` takes the place of
 * the voter that it replaces, which must be in the list.
 */
void quorum_join(struct rep_voters *vs, uint32_t id);

/* Turns a joint list into its new half. */
void quorum_leave(struct rep_voters *vs);

/* Drops a member, and the mark of one that was to replace it. */
void quorum_drop(struct rep_voters *vs, uint32_t id);

/*
 * How the change of member v may go on.  `heard` are the members that have
 * answered since the step became due, `silent` those that the leader considers
 * unreachable.
 */
enum rep_change_kind {
	REP_CHANGE_WAITS, /* another voter does not answer */
	REP_CHANGE_PROMOTES,
	REP_CHANGE_REMOVES,
	REP_CHANGE_JOINS,
};

/*
 * `joint` tells whether all members that the step counts on know joint lists.
 * A learner must have caught up and have answered for each step but
 * REP_CHANGE_WAITS, which the caller checks.
 */
enum rep_change_kind quorum_next_change(const struct rep_voters *vs,
					const struct rep_voter *v,
					uint32_t heard, uint32_t silent,
					bool joint);

#endif
