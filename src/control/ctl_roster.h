#ifndef CONTROL_CTL_ROSTER_H
#define CONTROL_CTL_ROSTER_H

#include "control/ctl.h"

/*
 * Discovery of control processes with --seeds: dials their addresses, exchanges
 * lists of them with all peers and, on the leader, carries out the changes of
 * the voters that roster.h decides.
 */
struct ctl_roster;

struct ctl_roster *ctl_roster_new(struct ctl *c);
void ctl_roster_free(struct ctl_roster *r);

/* A peer connected or disconnected. */
void ctl_roster_peer_up(struct ctl_roster *r, struct peer *p);
void ctl_roster_peer_down(struct ctl_roster *r, struct peer *p, int64_t now);

/* Adds the control processes that a peer listed, and dials them. */
void ctl_roster_add_listed(struct ctl_roster *r, const Mw__Roster *msg,
			   int64_t now);

/* Does the periodic work; to be called more often than each 200 ms. */
void ctl_roster_tick(struct ctl_roster *r, int64_t now);

#endif
