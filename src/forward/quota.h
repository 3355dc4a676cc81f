#ifndef FORWARD_QUOTA_H
#define FORWARD_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Quota of a host: how many of the deferrable generations in its queue it may
 * place in a round.  Pure functions, no I/O.
 *
 * When an endpoint joins or frees its memory, all hosts see the room at the
 * same moment, while each knows what the other hosts placed only with a delay.
 * If each placed its whole queue, twenty requests would meet at an engine with
 * room for six, and a request in an engine's queue cannot be sent to another
 * one.  So each host may place, once in each round, the share of its queue that
 * the room has in the queues of all hosts.  A round is longer than the delay
 * with which hosts receive each other's placements.
 *
 * Rooms, queues and requests are counted in tokens of memory that generations
 * are expected to need.
 */

/* Usage reports and totals are sent at least every 0.1 s while they change, and
 * take 12 ms between regions. */
#define QUOTA_ROUND_US 200000

/* Zero before the first round. */
struct quota {
	int64_t round_start_us;
	bool enough_for_all; /* the room is enough for all queues */
	double left_tokens;  /* that may still be placed in this round */
};

/* Whether the next call of quota_begin_round() begins a round. */
bool quota_round_is_due(const struct quota *q, int64_t now);

/*
 * Begins a round if the last one began QUOTA_ROUND_US ago or earlier.  The room
 * is that of all endpoints; own_tokens wait on this host and elsewhere_tokens
 * on all other hosts.
 */
void quota_begin_round(struct quota *q, uint64_t room_tokens,
		       uint64_t own_tokens, uint64_t elsewhere_tokens,
		       int64_t now);

/*
 * Takes the tokens of a request from the quota; false if the request may not be
 * placed in this round.  If fewer tokens are left than it needs, it is accepted
 * with a probability of the part that is left, and the quota is used up.
 * `random` is uniform between 0 and 1.
 */
bool quota_take(struct quota *q, uint64_t tokens, double random);

/*
 * Tokens that wait on other hosts: reported_tokens, unless their report is more
 * than 1 s old, as on a host that is cut off from the control processes.  Then
 * each other host is assumed to have as many as this one.
 */
uint64_t quota_queued_elsewhere(uint64_t own_tokens, uint64_t reported_tokens,
				int64_t reported_age_us, unsigned int n_hosts);

/* Tokens that are likely to be placed within wait_us, given the memory of all
 * endpoints. */
uint64_t quota_worthwhile_tokens(uint64_t memory_tokens, int64_t wait_us);

/*
 * Whether a new request is likely to be placed within wait_us.  queued_tokens
 * wait on all hosts; memory_tokens is the memory of all endpoints.
 */
bool quota_wait_is_worthwhile(uint64_t queued_tokens, uint64_t memory_tokens,
			      int64_t wait_us);

#endif
