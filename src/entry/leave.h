#ifndef ENTRY_LEAVE_H
#define ENTRY_LEAVE_H

#include "entry/entry.h"

/*
 * Takes the leave of an endpoint: passes it on to the hub and to other hosts,
 * and has it recorded in the replicated log.  fn gets 0 once the log has it, or
 * -MW_EAGAIN; then the endpoint is to repeat it.
 *
 * On an island, which has no leader, the confirmation of the hub or of another
 * host is enough.  Such a leave is forgotten if all processes of the island end
 * before the endpoint does.
 */
void leave_take(struct entry *e, Mw__LeaveFwd *leave,
		void (*fn)(int err, void *ctx), void *ctx);

#endif
