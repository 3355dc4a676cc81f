#ifndef CONTROL_CTL_POLL_H
#define CONTROL_CTL_POLL_H

#include "control/ctl.h"

/*
 * Polls the model endpoints of this data centre for their load, on behalf of
 * all entry hosts.  The totals that the hosts report themselves lack the work
 * that endpoints still hold for failed hosts, and copies that have not expired
 * yet.
 */
struct ctl_poll;

struct ctl_poll *ctl_poll_new(struct ctl *c);
void ctl_poll_free(struct ctl_poll *p);
void ctl_poll_tick(struct ctl_poll *p, int64_t now);

/* The published plan, or NULL; owned by p, valid until the next call. */
const struct plan *ctl_poll_plan(struct ctl_poll *p);

#endif
