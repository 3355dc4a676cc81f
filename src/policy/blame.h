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

/* Increases when the result of blame_refuses() may have changed. */
uint64_t blame_version(const struct blame *b);

/*
 * Whether a request with these traits is refused: returns the number of crashes
 * that it is blamed for, and 0 if it is not.  *trait is then set to the trait
 * with these crashes, which is valid until the next change; trait may be NULL.
 */
unsigned int blame_refuses(struct blame *b, const char *const *traits, size_t n,
			   int64_t now_ms, const char **trait);

#endif
