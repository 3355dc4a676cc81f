#ifndef CONTROL_ROSTER_H
#define CONTROL_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include "rep/rep.h"

/*
 * Which change of the voters the leader makes next, for a group that was
 * formed from seeds.  A decision without I/O.
 *
 * A voter is named by the identity of its disk.  A control process whose disk
 * is empty has a new identity and is a candidate; it never votes as the one
 * that it was.  The group has 2 x tolerate + 1 voters when there are as many
 * control processes, otherwise fewer.
 */

/* A control process that is connected and is no voter. */
struct roster_candidate {
	uint32_t id;
	const char *addr; /* for other processes, ip:port */
	const char *dc;
};

/* What the leader knows of a voter. */
struct roster_voter {
	uint32_t id;
	const char *addr;
	const char *dc; /* "" if it never connected */
	bool connected;
	int64_t lost_us; /* since when it is not, if it is not */
};

/*
 * A voter that is not connected for so long is replaced if there is a
 * candidate.  Above a restart (1 s) and a freeze or cut of some seconds, so
 * that a voter which keeps its disk is waited for; below the time that a
 * second loss may take to follow the first one (4 s).
 */
#define ROSTER_SILENT_US INT64_C(3500000)

enum roster_kind {
	ROSTER_NONE,
	ROSTER_ADD,	/* `id` joins */
	ROSTER_REPLACE, /* `id` takes the place of `old_id` */
};

struct roster_step {
	enum roster_kind kind;
	uint32_t id, old_id;
	const char *addr;
	const char *why;
};

/* The next step at `now`; strings belong to the arguments. */
struct roster_step roster_next(const struct roster_voter *voters, size_t nv,
			       const struct roster_candidate *cands, size_t nc,
			       uint32_t tolerate, int64_t now);

#endif
