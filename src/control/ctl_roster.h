#ifndef CONTROL_CTL_ROSTER_H
#define CONTROL_CTL_ROSTER_H

#include "control/ctl.h"

/*
 * Control processes that were found through --seeds: whom to dial, whom to
 * tell, and which change of the voters follows (roster.h).
 */
struct ctl_roster;

struct ctl_roster *ctl_roster_new(struct ctl *c);
void ctl_roster_free(struct ctl_roster *r);

/* A process connected or went away. */
void ctl_roster_peer_up(struct ctl_roster *r, struct peer *p);
void ctl_roster_peer_down(struct ctl_roster *r, struct peer *p, int64_t now);

/* Another process named control processes. */
void ctl_roster_take(struct ctl_roster *r, const Mw__Roster *msg, int64_t now);

void ctl_roster_tick(struct ctl_roster *r, int64_t now);

#endif
