#ifndef FORWARD_DRAIN_H
#define FORWARD_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Planned stop of a host: which requests it still takes, and when it ends what
 * is left.  Pure functions, no I/O.
 *
 * The process is killed some time after SIGTERM.  The balancer needs a part of
 * that time to choose other hosts for new connections, and callers use open
 * connections until they are closed, so requests arrive all the while.  Each
 * request that is taken gets a final answer: it is taken only if it must end,
 * by its deadline, before the host gives final answers to all that is left.
 * Only while the balancer may still choose this host, a forecast is enough, as
 * most callers would otherwise be refused by a host that could serve them.
 *
 * Times are in microseconds of the monotonic clock.
 */

/* Time for which the balancer may choose this host for new connections: it
 * checks readiness once a second, and needs two negative answers.  The signal
 * may have come 0.3 s before its handler runs. */
#define DRAIN_CHOSEN_US INT64_C(2700000)

/* Zero while no stop is planned. */
struct drain {
	bool active;
	int64_t start_us;
	int64_t quiesce_us; /* stop to listen, close idle connections */
	int64_t answer_us;  /* give final answers to all open requests */
	int64_t end_us;	    /* the process ends at the latest */
};

/* Begins the stop; the process is killed some time after now + limit_us. */
void drain_begin(struct drain *d, int64_t limit_us, int64_t now);

/*
 * Whether to take a request that arrives now.  deadline_us: it has ended by
 * then, with an error at the latest.  forecast_us: it will very likely have
 * ended by then; 0: unknown.
 */
bool drain_admits(const struct drain *d, int64_t deadline_us,
		  int64_t forecast_us, int64_t now);

#endif
