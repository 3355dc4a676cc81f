#ifndef FORWARD_BUDGET_H
#define FORWARD_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Token bucket for the repeated requests that this host sends to one service.
 * Pure functions, no I/O.
 *
 * In any window of BUDGET_WINDOW_S all hosts together may repeat a share of
 * their requests, and a number of requests besides.  Each host uses only its
 * own part of both, so the bound on the sum holds also while hosts are cut off
 * from each other.
 */

/* Seconds over which the bound on the sum of all hosts holds. */
#define BUDGET_WINDOW_S 10

struct budget {
	double repeats_per_request;
	double available; /* repeats that may be sent now */
	double max_available;
	uint64_t requests, repeats; /* since the start */
};

/* What all hosts together may repeat. */
struct budget_bounds {
	double percent; /* of the requests */
	double spare;	/* repeats besides, in each window */
};

void budget_init(struct budget *b, const struct budget_bounds *all,
		 unsigned int n_hosts);

/* Adapts the budget to a new number of hosts; 0 counts as 1. */
void budget_set_hosts(struct budget *b, const struct budget_bounds *all,
		      unsigned int n_hosts);

/* Counts a request, not a repeat, and adds its share to the budget. */
void budget_add_request(struct budget *b);

/* Takes one repeat from the budget; false if there is none. */
bool budget_take_repeat(struct budget *b);

#endif
