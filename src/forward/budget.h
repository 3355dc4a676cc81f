#ifndef FORWARD_BUDGET_H
#define FORWARD_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Repeats that this host may send to one service.  In any window all hosts
 * together may send a share of the requests, and some more.  Each host spends
 * its own share of both, so the sum holds also while hosts are cut off from
 * each other.  A decision without I/O.
 */

/* Seconds over which the bound of the sum holds. */
#define BUDGET_WINDOW_S 10

struct budget {
	double repeats_per_request; /* repeats to requests */
	double available;
	double max_available;
	uint64_t requests, repeats; /* since the start, for reports */
};

/* What all hosts together may send. */
struct budget_bounds {
	double percent; /* repeats to requests */
	double spare;	/* and so many besides within the window */
};

void budget_init(struct budget *b, const struct budget_bounds *all,
		 unsigned int hosts);

/* The number of hosts is known better. */
void budget_set_hosts(struct budget *b, const struct budget_bounds *all,
		      unsigned int hosts);

void budget_add_request(struct budget *b);

/* Takes a token for a repeat; false if none is left. */
bool budget_take_repeat(struct budget *b);

#endif
