#ifndef CONTROL_CTL_DOCUMENT_H
#define CONTROL_CTL_DOCUMENT_H

#include "control/ctl.h"

/*
 * Documents that operators publish as a whole, with revisions of their own.
 * A document is the node documents/NAME of the tree; publishing one is a
 * change of the tree, so it has its version, history and time line.
 *
 * The highest published revision is in force.  Publishing a revision that is
 * not higher succeeds and changes nothing, so that an operator may repeat a
 * publication after a lost answer.
 *
 * Documents are published and read on the leader; other processes forward such
 * calls to it.
 */

/* body is NULL for a publication and on errors; it is valid during the call. */
typedef void (*ctl_document_fn)(int err, const char *body, size_t len,
				void *ctx);

/*
 * Calls fn once, with 0 when the revision is committed or not higher than the
 * one in force; otherwise with -MW_ENOLEADER, -MW_EUNKNOWN, -MW_EQUEUEFULL,
 * -MW_ETOOBIG or -MW_ESCHEMA.  body is JSON text without control characters; it
 * is copied.
 */
void ctl_document_publish(struct ctl *c, const char *name, uint64_t revision,
			  const char *body, size_t len, ctl_document_fn fn,
			  void *ctx);

/*
 * Calls fn with the newest document, once a majority has confirmed that this
 * process still led after the call; -MW_ENOTFOUND before the first one,
 * -MW_ENOLEADER if there is no confirmation in time.
 */
void ctl_document_read(struct ctl *c, const char *name, ctl_document_fn fn,
		       void *ctx);

/*
 * Publication and read as calls of the operators' interface; see
 * admin_ops.forward.  For a publication, the query is "NAME REVISION" and the
 * body the document; for a read, the query is the name.
 */
void ctl_document_post(struct ctl *c, const Mw__AdminCall *call,
		       admin_reply_fn fn, void *arg);
void ctl_document_get(struct ctl *c, const Mw__AdminCall *call,
		      admin_reply_fn fn, void *arg);

/* Answers with the tree's version, confirmed as in ctl_document_read(). */
void ctl_document_get_version(struct ctl *c, const Mw__AdminCall *call,
			      admin_reply_fn fn, void *arg);

/*
 * Answers a host's request for a document (Mw__DocumentGet) from the state of
 * this process, which need not be the leader.
 *
 * A host without a document begins to send with the answer.  It gets one only
 * once this process has all that was committed before the request, as the
 * leader confirms: with an older state the host would send to endpoints that
 * are evacuated by now.
 */
void ctl_document_serve(struct ctl *c, struct peer *from, const Mw__Frame *f);

/* Answers reads that are confirmed or timed out; cheap if none is open. */
void ctl_document_confirm(struct ctl *c, int64_t now);
/* As leader, submits queued publications one at a time. */
void ctl_document_tick(struct ctl *c, int64_t now);
/*
 * Ends queued publications and open reads with -MW_ENOLEADER; called when
 * leadership is lost.
 */
void ctl_document_fail_all(struct ctl *c);
/* Drops the requests of hosts that are not answered, when the process ends. */
void ctl_document_stop(struct ctl *c);

#endif
