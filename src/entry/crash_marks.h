#ifndef ENTRY_CRASH_MARKS_H
#define ENTRY_CRASH_MARKS_H

#include <stdint.h>

#include "entry/request.h"

/*
 * Crash marks of an entry host.  A mark names a request that was running on an
 * endpoint when it died.  It is counted on this host at once.  The control
 * processes forward it to the other hosts, so that a resend through one of them
 * is recognised, and it is proposed to the log until it is committed.
 */

#define MARKS_MAX 256 /* uncommitted marks; the oldest is dropped first */

/* Makes a mark for a request whose endpoint has died. */
void marks_report(struct request *r);

/* Handles a mark of another host; a hub on this host forwards a new one. */
void marks_handle_mark(struct entry *e, struct peer *from, Mw__CrashMark *mark);

/* Applies the committed marks of a lease grant, if newer than the last. */
void marks_apply_grant(struct entry *e, const Mw__Grant *g);

/* Proposes uncommitted marks again when due; called by the host's tick. */
void marks_tick(struct entry *e, int64_t now);

void marks_release(struct entry *e);

#endif
