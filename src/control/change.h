#ifndef CONTROL_CHANGE_H
#define CONTROL_CHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "control/lease.h"
#include "state/tree.h"
#include "wire/mw.pb-c.h"

/*
 * Preparation of one configuration change on the control leader.  Does no I/O;
 * times are monotonic, in microseconds.
 *
 * A change may be appended to the log once each registered entry host, except
 * in data centres that the change leaves out, has acknowledged it or is
 * certainly fenced.  A host is certainly fenced if its lease has ended and its
 * data centre is connected, because then it cannot be part of an island.  A
 * change that does not get this far is refused, and nothing is appended.
 */

/*
 * Time limit of a preparation.  Longer than it takes for the lease of a dead
 * host to end, 4.08 s at most.
 */
#define CHANGE_PREPARE_MAX_US (4600 * USEC_PER_MSEC)

enum change_verdict {
	CHANGE_WAIT,
	CHANGE_COMMIT, /* append it now */
	CHANGE_REFUSE, /* discard it; change_reason() returns why */
};

struct change;

/*
 * Starts the preparation of a change that has passed sm_check_change().  Copies
 * the message and takes a reference to tree, the result of the change.
 *
 * The attempt number distinguishes this preparation from earlier ones of the
 * same id and version.  It consists of the term and of serial, a counter of the
 * leader's preparations, so it also rises from one leader to the next.
 */
struct change *change_new(const Mw__Change *c, struct tree *tree, uint64_t term,
			  uint64_t serial, int64_t now);
void change_free(struct change *c);

/* Tree version that the change results in. */
uint64_t change_version(const struct change *c);
uint64_t change_attempt(const struct change *c);
const char *change_id(const struct change *c);
const Mw__Change *change_message(const struct change *c);
/* Returns the tree without a new reference. */
struct tree *change_tree(const struct change *c);
/* Whether the operator excluded this data centre from the change. */
bool change_leaves_out(const struct change *c, const char *dc);

/*
 * Records a host's answer to a prepare: an acknowledgement, or an error, with
 * which the change is refused.  Answers to another attempt are ignored.
 */
void change_record_ack(struct change *c, const Mw__PrepareAck *ack);
bool change_has_ack(const struct change *c, const char *host,
		    uint64_t incarnation);

/*
 * Returns what to do with the change at `now`.  CHANGE_COMMIT and CHANGE_REFUSE
 * are final: later calls return the same.
 */
enum change_verdict change_decide(struct change *c, struct lease_table *leases,
				  const struct members *m, int64_t now);

/*
 * After CHANGE_REFUSE: returns the error number and sets *where to the data
 * centre or host concerned ("" if none) and *reason to a sentence.  Both belong
 * to the change.
 */
int change_reason(const struct change *c, const char **where,
		  const char **reason);

#endif
