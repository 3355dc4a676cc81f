#ifndef CONTROL_CTL_ADMIN_H
#define CONTROL_CTL_ADMIN_H

#include "control/ctl.h"

/* Operators' interface of a control process. */
int ctl_admin_start(struct ctl *c);

/* A request that another process has passed on. */
void ctl_admin_frame(struct ctl *c, struct peer *from, const Mw__Frame *f);

/* A call of this process itself; as the operators' interface does. */
void ctl_admin_call(struct ctl *c, const Mw__AdminCall *call, admin_reply_fn fn,
		    void *arg);

#endif
