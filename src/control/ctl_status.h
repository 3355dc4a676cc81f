#ifndef CONTROL_CTL_STATUS_H
#define CONTROL_CTL_STATUS_H

#include "control/ctl.h"

/*
 * State of the fleet in a control process's status answer: the leader, and for
 * how long voters, hosts and data centres have been disconnected.  Ages are in
 * ms; -1 means that there was no contact since this process started.
 */

struct ctl_status;

struct ctl_status *ctl_status_new(int64_t now);
void ctl_status_free(struct ctl_status *s);

/* Records that a message of a voter has arrived. */
void ctl_status_record_message(struct ctl_status *s, uint32_t voter,
			       int64_t now);

/* Records disconnected data centres; acts at most once a second. */
void ctl_status_tick(struct ctl *c, int64_t now);

/*
 * Adds the members that docs/admin-api.md lists under "Control processes".
 * Those about hosts and data centres are added only on the leader.
 */
void ctl_status_fill(struct ctl *c, json_t *out, int64_t now);

#endif
