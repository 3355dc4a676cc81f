#ifndef FORWARD_OWNER_CHECK_H
#define FORWARD_OWNER_CHECK_H

#include "forward/fwd.h"

/*
 * Asks which server uses an address that several endpoints announce
 * (policy/owner.h), by a health check that expects the endpoint which holds the
 * address or has work of this host.  The outcome is recorded in the registry,
 * and sent to the control processes, which pass it on to all hosts.
 *
 * A host that learns it from another one asks on its own account before it ends
 * work there.
 */

void owner_checks_start(struct fwd *f);
void owner_checks_stop(struct fwd *f);
/* Asks where a question is due. */
void owner_checks_tick(struct fwd *f, int64_t now);

#endif
