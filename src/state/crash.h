#ifndef STATE_CRASH_H
#define STATE_CRASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/mw.pb-c.h"

/*
 * Crash marks: for each request fingerprint the endpoint incarnations that
 * died while running it.  One endpoint incarnation counts once.
 */
struct crash;

#define CRASH_POISON_DEATHS 2 /* endpoint deaths after which it is refused */
#define CRASH_MARKS_MAX 4096
#define CRASH_DEATHS_MAX 8	/* further deaths are not counted */
#define CRASH_SUSPECTS_MAX 4096 /* in one command */
#define CRASH_ID_MAX 128

struct crash *crash_new(void);
void crash_free(struct crash *c);

/* Rises with each change of the set. */
uint64_t crash_version(const struct crash *c);

/*
 * Counts the death of an endpoint incarnation against each suspect.  When the
 * set is full, the oldest mark with a single death makes room, or else the
 * oldest one.  Returns 0 or -MW_EINVAL.
 */
int crash_add_deaths(struct crash *c, uint64_t now_ms,
		     const Mw__CrashMark *mark);

/*
 * Removes the mark of a request that finished.  A poisoned mark stays unless
 * force is set (by an operator), because the clearing of a finished copy may
 * arrive after the second death.  Returns 0, -MW_ENOTFOUND or -MW_EPOISON.
 */
int crash_clear(struct crash *c, const char *fingerprint, bool force);

/* Removes marks whose last death was before before_ms; returns the number. */
size_t crash_expire(struct crash *c, uint64_t before_ms);

size_t crash_count(const struct crash *c);
uint32_t crash_deaths(const struct crash *c, const char *fingerprint);
bool crash_is_poisoned(const struct crash *c, const char *fingerprint);

/* Marks in order of their last death. */
void crash_for_each(const struct crash *c,
		    void (*fn)(const Mw__SnapCrash *mark, void *arg),
		    void *arg);

/* Snapshot: adds a saved mark; returns 0 or -MW_ECORRUPT. */
int crash_load(struct crash *c, const Mw__SnapCrash *rec);
void crash_load_end(struct crash *c, uint64_t version);

#endif
