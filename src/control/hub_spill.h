#ifndef CONTROL_HUB_SPILL_H
#define CONTROL_HUB_SPILL_H

#include "control/hub.h"

/*
 * Bounded spill between data centres: when hosts report work that the endpoints
 * of their data centre cannot take, their hub, the borrower, asks the hubs of
 * other data centres to lend endpoint memory (SpillAsk, answered by SpillLoan).
 * A lender treats the borrower as one more host, with the lowest priority: it
 * lends for one lease what its own hosts have no demand for, at most
 * lend_percent of an endpoint.  So one lease after its own hosts need the
 * memory the lender has it back, except that of generations still running. Does
 * no I/O.
 *
 * Invariants:
 * - The lender's credits stay within the limit (see hub.h), where the borrower
 *   counts as one host.
 * - For each lent endpoint, the sum over the borrower's hosts of the largest
 *   unexpired credit is at most the largest unexpired loan: a credit is cut to
 *   the newest loan and expires no later than it.
 * - The evidence that a lent endpoint serves is dated from the announcement
 *   that the lender received; the transit time of messages only makes it older.
 */

/* Interval of asks while there is demand or borrowed memory is held. */
#define HUB_ASK_INTERVAL_US (1 * USEC_PER_SEC)

/* Sets the percentage of an endpoint's limit that may be lent; 0: none. */
void hub_set_lend_percent(struct hub *hub, unsigned percent);

/*
 * Borrower: makes the ask to the hub of a data centre, or returns NULL if none
 * is due.  Demand that loans of the data centres in `nearer` cover already is
 * left out.  The caller frees the ask with
 * mw__spill_ask__free_unpacked(ask, NULL).
 */
Mw__SpillAsk *hub_spill_make_ask(struct hub *hub, int64_t now, const char *dc,
				 const char *const *nearer, size_t n_nearer);

/*
 * Borrower: applies the answer to the newest ask to that data centre.  Returns
 * 0, or -MW_EINVAL for an answer to another ask, which is ignored.
 */
int hub_spill_apply_loan(struct hub *hub, int64_t now, const char *dc,
			 const Mw__SpillLoan *loan);

/*
 * Lender: records the loans that answer an ask and returns them, or NULL if the
 * ask is malformed or not newer than the last one.  The caller frees the answer
 * with mw__spill_loan__free_unpacked(loan, NULL).
 */
Mw__SpillLoan *hub_spill_answer_ask(struct hub *hub, int64_t now,
				    const Mw__SpillAsk *ask);

/*
 * Blocks lent (granted to or held by borrowers) and borrowed (in unexpired
 * loans) at the time `now`, summed over all endpoints.
 */
uint64_t hub_spill_lent_blocks(const struct hub *hub, int64_t now);
uint64_t hub_spill_borrowed_blocks(const struct hub *hub, int64_t now);

/*
 * Sum over the hosts of this data centre of the largest unexpired credit on an
 * endpoint of another data centre, in blocks.
 */
uint64_t hub_spill_granted_blocks(const struct hub *hub, const char *id,
				  int64_t now);

#endif
