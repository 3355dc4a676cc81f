#ifndef FORWARD_CRASH_REPORTS_H
#define FORWARD_CRASH_REPORTS_H

#include "forward/fwd.h"
#include "policy/blame.h"

/*
 * A host's reports on crashes for the replicated log: suspects, and traits that
 * are cleared.  Each is proposed until it is committed.
 */
struct crash_reports;

/* Reports that wait; the oldest is dropped first, and logged. */
#define CRASH_REPORTS_MAX 256

struct crash_reports *crash_reports_new(struct fwd *f);
/* To be called after control_link_stop(), which ends open proposals. */
void crash_reports_free(struct crash_reports *c);

/* Adds suspects; the mark is copied. */
void crash_reports_add_mark(struct crash_reports *c, const Mw__CrashMark *mark,
			    int64_t now);
/* Adds a clear, which is dropped if the log has cleared the trait first. */
void crash_reports_add_clear(struct crash_reports *c, const char *trait,
			     int64_t now);

/* Proposes what is due. */
void crash_reports_tick(struct crash_reports *c, const struct blame *blame,
			int64_t now);

#endif
