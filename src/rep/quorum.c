#include "rep/quorum.h"

#include <string.h>

bool quorum_is_joint(const struct rep_voters *vs)
{
	for (uint32_t i = 0; i < vs->n; i++)
		if (vs->v[i].side)
			return true;
	return false;
}

bool quorum_votes(const struct rep_voter *v, enum quorum_half half)
{
	return !v->learner &&
	       v->side != (half == QUORUM_OLD ? REP_SIDE_INCOMING
					      : REP_SIDE_OUTGOING);
}

uint32_t quorum_size(const struct rep_voters *vs, enum quorum_half half)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < vs->n; i++)
		n += quorum_votes(&vs->v[i], half);
	return n;
}

static bool half_reached(const struct rep_voters *vs, uint32_t set,
			 enum quorum_half half)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < vs->n; i++)
		n += quorum_votes(&vs->v[i], half) && set >> i & 1;
	return n > quorum_size(vs, half) / 2;
}

bool quorum_reached(const struct rep_voters *vs, uint32_t set)
{
	return half_reached(vs, set, QUORUM_OLD) &&
	       half_reached(vs, set, QUORUM_NEW);
}

uint64_t quorum_value(const struct rep_voters *vs, const uint64_t *values)
{
	uint64_t best = 0;

	for (uint32_t i = 0; i < vs->n; i++) {
		uint32_t set = 0;

		if (values[i] <= best)
			continue;
		for (uint32_t k = 0; k < vs->n; k++)
			set |= (uint32_t)(values[k] >= values[i]) << k;
		if (quorum_reached(vs, set))
			best = values[i];
	}
	return best;
}

bool rep_is_voter(const struct rep_voters *vs, uint32_t id)
{
	const struct rep_voter *v = rep_voter_find(vs, id);

	return v && !v->learner;
}

void quorum_drop(struct rep_voters *vs, uint32_t id)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < vs->n; i++)
		if (vs->v[i].id != id)
			vs->v[n++] = vs->v[i];
	vs->n = n;
	for (uint32_t i = 0; i < n; i++)
		if (vs->v[i].replaces == id)
			vs->v[i].replaces = 0;
}

void quorum_join(struct rep_voters *vs, uint32_t id)
{
	uint32_t old = 0;

	for (uint32_t i = 0; i < vs->n; i++) {
		if (vs->v[i].id != id)
			continue;
		old = vs->v[i].replaces;
		vs->v[i].learner = false;
		vs->v[i].side = REP_SIDE_INCOMING;
	}
	for (uint32_t i = 0; i < vs->n; i++)
		if (vs->v[i].id == old)
			vs->v[i].side = REP_SIDE_OUTGOING;
}

void quorum_leave(struct rep_voters *vs)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < vs->n; i++) {
		if (vs->v[i].side == REP_SIDE_OUTGOING)
			continue;
		vs->v[n] = vs->v[i];
		if (vs->v[n].side)
			vs->v[n].replaces = 0;
		vs->v[n++].side = REP_SIDE_BOTH;
	}
	vs->n = n;
}

enum rep_change_kind quorum_next_change(const struct rep_voters *vs,
					const struct rep_voter *v,
					uint32_t heard, uint32_t silent,
					bool joint)
{
	bool all_heard = true, old_heard = true, old_silent = false;

	joint = joint && v->learner && v->replaces;
	for (uint32_t i = 0; i < vs->n; i++) {
		if (vs->v[i].learner)
			continue;
		if (vs->v[i].id == v->replaces) {
			old_heard = heard >> i & 1;
			old_silent = silent >> i & 1;
		} else {
			all_heard = all_heard && heard >> i & 1;
		}
	}
	if (joint)
		return all_heard || old_silent ? REP_CHANGE_JOINS
					       : REP_CHANGE_WAITS;
	if (!old_silent && !(all_heard && old_heard) &&
	    quorum_size(vs, QUORUM_OLD) % 2)
		return REP_CHANGE_WAITS;
	return !v->learner || old_silent ? REP_CHANGE_REMOVES
					 : REP_CHANGE_PROMOTES;
}
