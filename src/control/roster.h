#ifndef CONTROL_ROSTER_H
#define CONTROL_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include "rep/rep.h"

/*
 * Decides which change of the voters the leader makes next, in a group that was
 * formed from --seeds.  Does no I/O.
 *
 * A voter is identified by an id stored on its disk.  A control process that
 * lost its disk gets a new id and is a candidate; it never votes under its
 * former id.  The group has 2 * tolerate + 1 voters, or fewer if there are not
 * that many control processes.
 */

/* A connected control process that is not a voter. */
struct roster_candidate {
	uint32_t id;
	const char *addr; /* at which other processes reach it, ip:port */
	const char *dc;
};

/* State of a voter as the leader has it. */
struct roster_voter {
	uint32_t id;
	const char *addr;
	const char *dc; /* "" if it never connected */
	bool connected;
	int64_t silent_since_us; /* last answer to the leader, or its election
				  */
};

/*
 * A voter that has not answered for this time is replaced if there is a
 * candidate.  Longer than a restart (1 s).  A successor that starts as the
 * voter fails must count within 4 s, after which another voter may be lost:
 * this leaves 1.5 s to connect, get the copy and change the list.
 */
#define ROSTER_REPLACE_AFTER_US INT64_C(2500000)

enum roster_kind {
	ROSTER_NONE,
	ROSTER_ADD,	/* add `id` */
	ROSTER_REPLACE, /* add `id` and remove `old_id` */
};

struct roster_step {
	enum roster_kind kind;
	uint32_t id, old_id;
	const char *addr;
	const char *reason;
};

/*
 * Returns the next step at `now`, a monotonic time in microseconds as is
 * silent_since_us.  The step's addr belongs to the candidate, its reason is a
 * constant.
 */
struct roster_step roster_next_step(const struct roster_voter *voters,
				    size_t nv,
				    const struct roster_candidate *cands,
				    size_t nc, uint32_t tolerate, int64_t now);

#endif
