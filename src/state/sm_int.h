#ifndef STATE_SM_INT_H
#define STATE_SM_INT_H

#include "state/sm.h"

/* Definition of struct sm, for sm.c and sm_snap.c only. */
struct sm {
	uint64_t term, index; /* of the last applied command */
	uint64_t now_ms;      /* newest time seen in a command */
	struct tree *tree;
	struct history *history;
	struct ledger *ledger;
	struct members *members;
	struct orders *orders;
	struct crash_marks *crash;
	struct departures *departures;
};

#endif
