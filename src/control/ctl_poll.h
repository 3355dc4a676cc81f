#ifndef CONTROL_CTL_POLL_H
#define CONTROL_CTL_POLL_H

#include "control/ctl.h"

/*
 * Asks the model endpoints of this data centre for their load, on behalf of
 * all entry hosts: the hosts' own sums lack what endpoints keep for hosts that
 * died and copies that have not expired yet.
 */
struct ctl_poll;

struct ctl_poll *ctl_poll_new(struct ctl *c);
void ctl_poll_free(struct ctl_poll *p);
void ctl_poll_tick(struct ctl_poll *p, int64_t now);

#endif
