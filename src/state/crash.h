#ifndef STATE_CRASH_H
#define STATE_CRASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/mw.pb-c.h"

/*
 * Crash marks: for each request fingerprint, the endpoint incarnations that
 * died while running the request.  The death of an endpoint incarnation counts
 * once for a fingerprint.  A request with CRASH_POISON_DEATHS deaths is
 * poisoned, that is, refused.
 */
struct crash_marks;

#define CRASH_POISON_DEATHS 2
#define CRASH_MARKS_MAX 4096
#define CRASH_DEATHS_MAX 8	/* a further death replaces the last one */
#define CRASH_SUSPECTS_MAX 4096 /* in one command */
#define CRASH_ID_MAX 128	/* bytes of a fingerprint or an endpoint */

struct crash_marks *crash_new(void);
void crash_free(struct crash_marks *c);

/* Version of the set of marks; each change increases it. */
uint64_t crash_version(const struct crash_marks *c);

/*
 * Counts the death of an endpoint incarnation against each suspect, that is,
 * each request that was running there.  When the set is full, a new mark
 * evicts the oldest mark that is not poisoned, or else the oldest mark.
 * Returns 0 or -MW_EINVAL.
 */
int crash_add_deaths(struct crash_marks *c, uint64_t now_ms,
		     const Mw__CrashMark *mark);

/*
 * Removes the mark of a request that finished.  A poisoned mark is removed
 * only with force, which an operator sets: the report that one copy of the
 * request finished may arrive after the death that poisoned it.  Returns 0,
 * -MW_ENOTFOUND or -MW_EPOISON.
 */
int crash_clear(struct crash_marks *c, const char *fingerprint, bool force);

/* Removes marks whose last death was before before_ms; returns their number. */
size_t crash_expire(struct crash_marks *c, uint64_t before_ms);

size_t crash_count_marks(const struct crash_marks *c);
uint32_t crash_deaths(const struct crash_marks *c, const char *fingerprint);
bool crash_is_poisoned(const struct crash_marks *c, const char *fingerprint);

/* Calls fn for each mark, sorted by the time of the last death. */
void crash_for_each(const struct crash_marks *c,
		    void (*fn)(const Mw__SnapCrash *mark, void *arg),
		    void *arg);

/* Adds a mark from a snapshot, in saved order.  Returns 0 or -MW_ECORRUPT. */
int crash_load(struct crash_marks *c, const Mw__SnapCrash *rec);
/* Sets the version after the last mark. */
void crash_load_end(struct crash_marks *c, uint64_t version);

#endif
