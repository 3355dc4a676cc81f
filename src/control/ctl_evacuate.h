#ifndef CONTROL_CTL_EVACUATE_H
#define CONTROL_CTL_EVACUATE_H

#include "control/ctl.h"

/*
 * Orders of operators that nothing more be sent to the endpoints of a data
 * centre, and their withdrawal.  An order is a change of the node dcs/DC of the
 * tree, so it is as durable as any change, and reaches the hosts as one.
 *
 * The process that gets an order keeps it until the leader has begun to commit
 * it, for EVACUATION_WAIT_MAX_US at most.  The leader begins no order that is
 * older than that, however long its frame was delayed (policy/evacuation.h).
 * An order that was begun is never refused later; if its outcome is not known,
 * the operator may repeat it.
 */

/*
 * Call of the operators' interface; see admin_ops.forward.  The body is
 * {"dc":DC,"end":B}; `end` withdraws the order.  The answer has status 200 if
 * the order is committed or changes nothing, 404 for an unknown data centre,
 * and 503 or 504 otherwise; the member not_run of the error tells whether it
 * had certainly no effect.
 */
void ctl_evacuate_post(struct ctl *c, const Mw__AdminCall *call,
		       admin_reply_fn fn, void *arg);

/* Calls of other control processes to the leader: its time, and an order. */
void ctl_evacuate_ticket(struct ctl *c, const Mw__AdminCall *call,
			 admin_reply_fn fn, void *arg);
void ctl_evacuate_order(struct ctl *c, const Mw__AdminCall *call,
			admin_reply_fn fn, void *arg);

/* Call when another tree is in force, also one from a snapshot. */
void ctl_evacuate_tree_changed(struct ctl *c);
/* Sends the orders that wait to the leader, and drops those that are too old.
 */
void ctl_evacuate_tick(struct ctl *c, int64_t now);
/* Ends the queued orders of the leader; called when leadership is lost. */
void ctl_evacuate_fail_all(struct ctl *c);
/* Ends all calls, when the process ends. */
void ctl_evacuate_stop(struct ctl *c);

/*
 * A list of the evacuated data centres with the operator, the time of the
 * order and the requests that still run there, for status answers.
 */
json_t *ctl_evacuate_status(struct ctl *c);

#endif
