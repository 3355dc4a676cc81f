#ifndef CONTROL_CTL_DOCUMENT_H
#define CONTROL_CTL_DOCUMENT_H

#include "control/ctl.h"

/*
 * Documents that operators publish as a whole, with revisions of their own.
 * A document is the node documents/NAME of the tree; publishing one is a
 * change of the tree, so it has its version, history and time line.
 *
 * Of all published revisions the highest one holds.  A revision that is not
 * higher than the one held is accepted and changes nothing, so that an
 * operator may send it again after a lost answer.
 *
 * All of this is for the leader; other processes pass calls on to it.
 */

/* body is NULL for a publication; it is valid during the call. */
typedef void (*ctl_document_fn)(int err, const char *body, size_t len,
				void *ctx);

/*
 * Calls fn with 0 once the document is committed, or held already; with
 * -MW_ENOLEADER, -MW_EUNKNOWN, -MW_EQUEUEFULL, -MW_ETOOBIG or -MW_ESCHEMA
 * otherwise.  body is JSON text without control characters.
 */
void ctl_document_publish(struct ctl *c, const char *name, uint64_t revision,
			  const char *body, size_t len, ctl_document_fn fn,
			  void *ctx);

/*
 * Calls fn with the newest document, once a majority has confirmed that this
 * process still led after the call; -MW_ENOTFOUND before the first one,
 * -MW_ENOLEADER if it is not confirmed in time.
 */
void ctl_document_read(struct ctl *c, const char *name, ctl_document_fn fn,
		       void *ctx);

/* The same as calls of the operators' interface; see admin_ops.forward. */
void ctl_document_post(struct ctl *c, const Mw__AdminCall *call,
		       admin_reply_fn fn, void *arg);
void ctl_document_get(struct ctl *c, const Mw__AdminCall *call,
		      admin_reply_fn fn, void *arg);

/* Answers a host that asks for a document (Mw__DocumentGet). */
void ctl_document_serve(struct ctl *c, struct peer *from, const Mw__Frame *f);

/* Answers the reads that are confirmed; cheap if none waits. */
void ctl_document_confirm(struct ctl *c, int64_t now);
void ctl_document_tick(struct ctl *c, int64_t now);
/* Leadership was lost. */
void ctl_document_drop_all(struct ctl *c);

#endif
