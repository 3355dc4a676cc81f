#ifndef POLICY_BLAME_H
#define POLICY_BLAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Which traits of requests make endpoints crash.  A trait is something that
 * requests may have in common: a part of their prompts, or all of a request.
 * No I/O.
 *
 * When an endpoint crashes, each request there whose answer had not begun is a
 * suspect, with all its traits.  A crash counts for a trait until a request
 * with that trait gets an answer.  Traits that have the same crashes in common
 * are blamed together: a request is refused if it has all of them.  So a sound
 * part that always occurred beside the one that crashes endpoints is tested,
 * and cleared, by the next request that has only the sound part.
 *
 * A suspicion is weighed against what else runs with the trait.  Crashes that
 * follow each other closely are one incident, whose cause may be any other: a
 * trait suspected for one incident alone holds back new requests, but ends
 * nothing.  One of them is sent as a trial; an answer to it, or to a request
 * that still runs, clears the trait, and a crash is a second incident.  From
 * then on requests are refused, but for a trial after a long time without a
 * crash, and longer after each further one.  A trait that most answered
 * requests had needs more incidents before it is suspected.
 *
 * Crashes become known from this host's own requests, from other hosts and from
 * the replicated log, of which a host gets a snapshot after each change.
 *
 * Times `now` are monotonic, in microseconds; crashes have a time of the wall
 * clock, in milliseconds.
 */

/* Crashes, at different times, from which on a part or a request is blamed. */
#define BLAME_PART_CRASHES 2
#define BLAME_REQUEST_CRASHES 3

/* Endpoints that crash within this time may have another cause in common. */
#define BLAME_SEPARATE_MS 150

/*
 * Crashes no further apart than this are one incident.  A trial comes later
 * than this after the last crash, so that a crash in it is another incident;
 * hosts find crashes up to 0.3 s late.
 */
#define BLAME_INCIDENT_MS 700
#define BLAME_TRIAL_WAIT_MS 1000

/* Hosts begin trials at different times within this time, so that the others
 * receive the notice of the first one. */
#define BLAME_TRIAL_SPREAD_MS 600

/* A trial decides within this time, or there is another: most prompts are read
 * within 2 s. */
#define BLAME_TRIAL_MS 3000

/*
 * Time without a crash before a trial of a trait with two incidents or more:
 * the time between its first and its last crash, times this, and no less than
 * this.  So a trait that crashes endpoints has a few trials in BLAME_VALID_MS.
 */
#define BLAME_REFUSED_FACTOR 5
#define BLAME_REFUSED_MIN_MS 20000

/* Incidents from which on a trait is suspected that half of the answered
 * requests had, of this number or more, in the last half to one minute. */
#define BLAME_COMMON_INCIDENTS 4
#define BLAME_COMMON_MIN 16
#define BLAME_COMMON_US INT64_C(30000000)

/* A trait without a crash for this time is no longer blamed. */
#define BLAME_VALID_MS (10 * 60 * 1000)

/* A trait that was served this recently is sound. */
#define BLAME_SOUND_US INT64_C(2000000)

/* Bytes of a trait's name, with its terminator. */
#define BLAME_TRAIT_MAX 128

/* Names of traits begin with one of these. */
#define BLAME_PART_PREFIX "part:"
#define BLAME_REQUEST_PREFIX "request:"

struct blame;

/* Creates an empty set for at most max_traits traits with crashes (0: 4096). */
struct blame *blame_new(size_t max_traits);
void blame_free(struct blame *b);

/*
 * Records the crash of an endpoint incarnation against a trait.  Returns
 * whether it counts: false if it was recorded before, or if the trait is sound.
 */
bool blame_record_crash(struct blame *b, const char *trait,
			const char *endpoint, uint64_t incarnation,
			int64_t at_ms, int64_t now);

/*
 * Records that a request with the trait got an answer.  Returns whether the log
 * has crashes against the trait, which are to be cleared there too; not more
 * than once a second.
 */
bool blame_record_success(struct blame *b, const char *trait, int64_t now);

/* Counts a request that got an answer, whatever its traits. */
void blame_count_answer(struct blame *b, int64_t now);

/* Whether a request with the trait was served here lately. */
bool blame_was_served(struct blame *b, const char *trait, int64_t now);

/*
 * Clears the crashes that are recorded against the trait: another host has
 * served it.  Later crashes count.
 */
void blame_clear(struct blame *b, const char *trait);

/*
 * Enclose the blame_add_from_log() calls for one snapshot of the log.  Crashes
 * that are neither in it nor on their way to the log are dropped.
 */
void blame_snapshot_begin(struct blame *b);
void blame_add_from_log(struct blame *b, const char *trait,
			const char *endpoint, uint64_t incarnation,
			int64_t at_ms, int64_t now);
void blame_snapshot_end(struct blame *b, int64_t now);

/* Whether no trait has any crash, so that no request is refused. */
bool blame_is_empty(const struct blame *b);

/* Whether crashes in the log count against the trait. */
bool blame_is_in_log(const struct blame *b, const char *trait);

/*
 * Whether a request with these traits is suspected: returns the number of
 * crashes that it is blamed for, and 0 if it is not.  *trait is then set to the
 * trait with these crashes, which is valid until the next change; trait may be
 * NULL.
 */
unsigned int blame_refuses(struct blame *b, const char *const *traits, size_t n,
			   int64_t now_ms, const char **trait);

/* What to do with a new request. */
enum blame_verdict {
	BLAME_SEND, /* it is not suspected */
	BLAME_HOLD, /* it waits until the suspicion has ended or is proved */
	BLAME_TRY,  /* send it, and call blame_tried() */
	BLAME_REFUSE,
};

/*
 * Judges a new request that blame_refuses() has named the trait of, of which
 * `running` others wait for an answer that was not begun.  A trial of this host
 * begins delay_ms (up to BLAME_TRIAL_SPREAD_MS) after it is due.
 */
enum blame_verdict blame_judge(const struct blame *b, const char *trait,
			       unsigned int running, int64_t delay_ms,
			       int64_t now_ms);

/* This host, or another one, has begun a trial. */
void blame_tried(struct blame *b, const char *trait, int64_t now_ms);

#endif
