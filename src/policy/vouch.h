#ifndef POLICY_VOUCH_H
#define POLICY_VOUCH_H

#include <stddef.h>
#include <stdint.h>

/*
 * Which traits of requests (blame.h) a host vouches for.  No I/O.
 *
 * A host among hundreds serves a shared part of a prompt every few seconds
 * only, so it cannot tell by itself that a part which other hosts report as a
 * suspect is sound.  Of all hosts together some have served it a moment ago.
 * A host that has vouches for the part: it tells all others, which then clear
 * the crashes counted against it.  This takes less than BLAME_SEPARATE_MS, the
 * least time between two crashes for which a part is blamed, so a part that is
 * served all the time is never blamed.
 *
 * Many hosts could vouch for the same part.  Each waits for a random time, and
 * does not if it hears of another one meanwhile or has heard lately.
 *
 * All times are monotonic, in microseconds.
 */

/* Longest random delay; the way of a notice takes up to 50 ms more. */
#define VOUCH_DELAY_MAX_US INT64_C(90000)

/* A trait that was vouched for is not vouched for again for this time: crashes
 * that come almost at once are cleared by one notice. */
#define VOUCH_QUIET_US INT64_C(40000)

struct vouch;

/* Keeps at most max_traits traits (0: 1024); further ones are not vouched for.
 */
struct vouch *vouch_new(size_t max_traits);
void vouch_free(struct vouch *v);

/* This host can vouch for a suspect; `random` is uniform between 0 and 1. */
void vouch_consider(struct vouch *v, const char *trait, double random,
		    int64_t now);

/* Another host has vouched for the trait. */
void vouch_heard(struct vouch *v, const char *trait, int64_t now);

/*
 * Returns a trait to vouch for now, or NULL if none is due; each trait once.
 * The string is valid until the next call of a function of this module.
 */
const char *vouch_next(struct vouch *v, int64_t now);

#endif
