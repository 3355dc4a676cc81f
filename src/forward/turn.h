#ifndef FORWARD_TURN_H
#define FORWARD_TURN_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How much of its queue a host may place at a time.  A decision without I/O.
 *
 * The load that it answers: when an endpoint joins or frees its memory, all
 * hosts see the room in the same moment, and each knows only what the others
 * placed some time ago.  If each placed all that waits, twenty requests would
 * meet at an engine with room for six, and what waits in an engine's queue
 * cannot go elsewhere.  So each host places the share of its queue that the
 * room has in the queues of all hosts, once a round; a round is longer than the
 * hosts take to learn of each other's placements.
 */

/* Reports and sums pass on every 0.1 s each at most, and 12 ms between regions.
 */
#define TURN_ROUND_US 200000

struct quota {
	int64_t round_start_us;
	bool enough_for_all; /* the room is enough for all that wait */
	double left_tokens;  /* tokens that may still be placed in this round */
};

/*
 * Begins a round if one is due.  room: over all endpoints; own and others: what
 * waits on this host and on all others, in tokens.
 */
void quota_begin_round(struct quota *t, uint64_t room, uint64_t own,
		       uint64_t others, int64_t now);

/*
 * Whether a request of so many tokens may be placed now; takes them from the
 * round.  The last request of a round is let through with the probability of
 * the part that is left; draw is random, 0 to 1.
 */
bool quota_take(struct quota *t, uint64_t tokens, double draw);

/*
 * What waits on other hosts: as they told so long ago, or, on a host that is
 * cut off from control, as if each were like this one.
 */
uint64_t quota_queued_elsewhere(uint64_t own, uint64_t told,
				int64_t told_age_us, unsigned int hosts);

/*
 * Whether what comes now is likely to be placed within wait_us.  queued: what
 * waits on all hosts; memory: of all endpoints, in tokens.
 */
bool quota_wait_is_worthwhile(uint64_t queued, uint64_t memory,
			      int64_t wait_us);

#endif
