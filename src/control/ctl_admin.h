#ifndef CONTROL_CTL_ADMIN_H
#define CONTROL_CTL_ADMIN_H

#include "control/ctl.h"

/*
 * Starts the operators' HTTP interface of a control process.  Returns 0 or a
 * negative error number.
 */
int ctl_admin_start(struct ctl *c);

/* Handles a request that another process has forwarded, and replies to it. */
void ctl_admin_handle_frame(struct ctl *c, struct peer *from,
			    const Mw__Frame *f);

/*
 * Makes the same call from within this process.  fn is called once, now or
 * later; json is valid during that call.
 */
void ctl_admin_call(struct ctl *c, const Mw__AdminCall *call, admin_reply_fn fn,
		    void *arg);

#endif
