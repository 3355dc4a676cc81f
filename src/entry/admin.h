#ifndef ENTRY_ADMIN_H
#define ENTRY_ADMIN_H

#include "admin/admin.h"
#include "entry/entry.h"

/*
 * Operations behind the operators' interface on an entry host.  The context of
 * each is a struct entry.
 */
extern const struct admin_ops entry_admin_ops;

/*
 * Ends the operators' calls that wait for a control process; their outcome is
 * unknown.  To be called before peer_net_free(), which runs no callbacks, and
 * with no run of the loop in between.
 */
void admin_end_forwarded(struct entry *e);

#endif
