#ifndef CONTROL_CTL_DEPARTURE_H
#define CONTROL_CTL_DEPARTURE_H

#include "control/ctl.h"
#include "policy/registry.h"

/*
 * Records in the replicated log which endpoints leave (state/departure.h), so
 * that a leave that was acknowledged is known after all processes have ended,
 * and on the disks of a majority.
 */

/* Time to record a leave; endpoints wait a second for the acknowledgement. */
#define CTL_DEPARTURE_WAIT_US INT64_C(600000)

/* err is 0, or -MW_EAGAIN if the leave may be forgotten. */
typedef void (*ctl_departure_fn)(int err, void *ctx);

/*
 * Records the row of an endpoint that leaves, which is copied.  fn is called
 * once: at once if the log has it, otherwise after the commit or
 * CTL_DEPARTURE_WAIT_US later.
 */
void ctl_departure_record(struct ctl *c, const struct registry_row *row,
			  int64_t now, ctl_departure_fn fn, void *ctx);

/*
 * Call when this leave was committed: adds it to the registry in use, that of
 * the hub or, with an interface, of the feed.
 */
void ctl_departure_applied(struct ctl *c, const Mw__EndpointInfo *info);
/* The same for all leaves of the state machine, as after a snapshot. */
void ctl_departure_load(struct ctl *c);

/* Tries again what found no leader, and ends what waits for too long. */
void ctl_departure_tick(struct ctl *c, int64_t now);

/* Ends all calls; call it when no reply and no proposal is pending. */
void ctl_departure_stop(struct ctl *c);

#endif
