#ifndef CONTROL_HUB_ORDER_H
#define CONTROL_HUB_ORDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Chooses the process that a host reports to as the hub of its data centre: the
 * first that answers of the data centre's control processes, in the configured
 * order, and then of its entry hosts by name, this host among them.  Does no
 * I/O.
 *
 * Connections to other entry hosts are needed only while no control process
 * answers, because each connection costs keep-alive traffic.
 */
struct hub_order;

/*
 * Entry hosts are chosen only after no control process has answered for this
 * long.  The grants of the last hub remain valid until then.
 */
#define HUB_CONTROL_WAIT_US (2 * USEC_PER_SEC)

/* A candidate that has not connected within this time is skipped. */
#define HUB_CONNECT_TIMEOUT_US USEC_PER_SEC

/* A candidate that did not answer a report gets none for this long. */
#define HUB_RETRY_DELAY_US (5 * USEC_PER_SEC)

struct hub_candidate {
	char name[65];
	char addr[64];		 /* ip:port, "" for control processes */
	bool control;		 /* a control process; else an entry host */
	bool self;		 /* this host */
	bool listed;		 /* added since the last hub_order_begin() */
	bool needs_connection;	 /* a connection to it is needed */
	int64_t needed_since_us; /* when it was first needed */
	int64_t last_failure_us; /* failed report, INT64_MIN: none */
};

/* `self` is the name of this host. */
struct hub_order *hub_order_new(const char *self, int64_t now);
void hub_order_free(struct hub_order *o);

/*
 * Replaces the set of candidates: begin, add each, end.  If a name is added
 * twice, its first address is used.  A name that was in the set before keeps
 * its state.
 */
void hub_order_begin(struct hub_order *o);
void hub_order_add(struct hub_order *o, const char *name, const char *addr,
		   bool control);
void hub_order_end(struct hub_order *o);

size_t hub_order_count(const struct hub_order *o);
const struct hub_candidate *hub_order_candidate(const struct hub_order *o,
						size_t i);

/* Returns whether the process of this name is connected. */
typedef bool (*hub_connected_fn)(void *ctx, const char *name);

/*
 * Returns the candidate to report to now, valid until hub_order_end(), or NULL
 * if the host must wait.  `can_serve` tells whether this host can be the hub.
 * Sets `needs_connection` of the candidates that must be connected.
 */
const struct hub_candidate *hub_order_choose(struct hub_order *o, int64_t now,
					     bool can_serve,
					     hub_connected_fn connected,
					     void *ctx);

/*
 * Records that the candidate answered a report, and clears `needs_connection`
 * of the candidates after it.  This is not done earlier, so that the present
 * hub stays connected if a candidate before it refuses the report.
 */
void hub_order_answered(struct hub_order *o, const char *name, int64_t now);

/* Records that the candidate did not answer a report, or refused it. */
void hub_order_failed(struct hub_order *o, const char *name, int64_t now);

/* Records that the candidate has reconnected, and clears its last failure. */
void hub_order_reconnected(struct hub_order *o, const char *name);

#endif
