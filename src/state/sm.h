#ifndef STATE_SM_H
#define STATE_SM_H

#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"
#include "state/crash.h"
#include "state/departure.h"
#include "state/history.h"
#include "state/ledger.h"
#include "state/member.h"
#include "state/order.h"
#include "state/tree.h"
#include "wire/mw.pb-c.h"

/*
 * The replicated state machine.  It applies the committed entries of the log
 * in log order and is deterministic: replicas that have applied the same
 * commands have equal states.
 *
 * It reads no clock.  Its time is the newest now_ms of all commands (wall time
 * of the leader, in ms); a command with an older time is applied at that
 * newest time.  A leader whose clock is far ahead would make records expire
 * early, so it must check its clock before it stamps commands.
 */
struct sm;

/* Makes a state machine with the built-in initial tree of settings. */
struct sm *sm_new(void);
void sm_free(struct sm *sm);

/*
 * Applies one committed log entry.  term and index are those of the entry;
 * the index must be above that of the entry applied last.  Returns the
 * outcome, never NULL; the caller frees it with
 * mw__result__free_unpacked(r, NULL).
 *
 * Data that does not decode as a command gives -MW_EINVAL and changes only the
 * applied term and index.  An index that is too low gives -MW_EINTERNAL and
 * changes nothing.
 */
Mw__Result *sm_apply(struct sm *sm, uint64_t term, uint64_t index,
		     const uint8_t *data, size_t len);

/*
 * Checks a change against the current tree, so that the leader can refuse it
 * before it appends an entry to the log.  Returns NULL if the change would be
 * accepted, otherwise the outcome, which the caller frees.  A change id that
 * is in the history gets the outcome recorded there.
 */
Mw__Result *sm_check_change(const struct sm *sm, const Mw__Change *change);

/* Appends a snapshot of the state to out.  Equal states give equal bytes. */
void sm_snapshot(const struct sm *sm, struct buf *out);

/*
 * Makes a state machine from a snapshot; the caller frees *out.  Returns 0, or
 * -MW_ECORRUPT for input that is damaged, truncated or inconsistent.
 */
int sm_restore(const void *data, size_t len, struct sm **out);

/* Checksum of the whole state, for tests that compare replicas. */
uint64_t sm_hash(const struct sm *sm);

uint64_t sm_applied_index(const struct sm *sm);
uint64_t sm_now_ms(const struct sm *sm);

/*
 * Parts of the state, owned by the state machine.  An accepted change replaces
 * the tree: a caller that keeps it longer takes a reference with tree_ref().
 */
struct tree *sm_tree(const struct sm *sm);
const struct history *sm_history(const struct sm *sm);
const struct ledger *sm_ledger(const struct sm *sm);
const struct members *sm_members(const struct sm *sm);
const struct orders *sm_orders(const struct sm *sm);
const struct crash_marks *sm_crash_marks(const struct sm *sm);
const struct departures *sm_departures(const struct sm *sm);

#endif
