#ifndef POLICY_SUSPECT_H
#define POLICY_SUSPECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Crash suspects of an entry host: requests that were running on an endpoint
 * when it died.  A request with at least one such death is marked, and refused
 * from SUSPECT_DEATHS on.  Deaths come from the replicated log of the control
 * processes, from other hosts (CrashMark) and from this host's own requests.
 *
 * Requests are identified by a fingerprint (hex of a keyed hash of account and
 * body).  A death is identified by endpoint and incarnation and counts once.
 */

#define SUSPECT_DEATHS 2 /* deaths from which on a request is refused */

struct suspects;

/*
 * Creates an empty set of at most max_marks marks (0: 4096); beyond that a new
 * mark replaces the oldest.
 */
struct suspects *suspect_new(size_t max_marks);
void suspect_free(struct suspects *s);

/*
 * Records a death that this host observed or received in a CrashMark.  Returns
 * whether it is new.
 */
bool suspect_record_death(struct suspects *s, const char *fingerprint,
			  const char *account, const char *endpoint,
			  uint64_t incarnation, int64_t now);

/*
 * Records a mark of the log: `deaths` is the number counted there, endpoint and
 * incarnation identify one of them (endpoint may be NULL or empty).
 */
void suspect_add_from_log(struct suspects *s, const char *fingerprint,
			  const char *account, uint32_t deaths,
			  const char *endpoint, uint64_t incarnation,
			  int64_t now);

/*
 * Enclose the suspect_add_from_log() calls for a complete snapshot of the marks
 * in the log.  suspect_snapshot_end() drops marks that were in an earlier
 * snapshot but not in this one, except those with more recorded deaths than the
 * log counted: the log does not contain these yet.
 */
void suspect_snapshot_begin(struct suspects *s);
void suspect_snapshot_end(struct suspects *s);

/* Drops the mark of a request that was cleared in the log. */
void suspect_cleared(struct suspects *s, const char *fingerprint);

/* Returns the deaths counted for the request, 0 if it is not marked. */
unsigned suspect_deaths(const struct suspects *s, const char *fingerprint);

/* Returns 0, or -MW_EPOISON if the request is refused. */
int suspect_check(const struct suspects *s, const char *fingerprint);

/*
 * Returns whether the request may be placed on the endpoint.  A marked request
 * may not join another marked request, since a crash would be counted for both.
 */
bool suspect_may_place(const struct suspects *s, const char *fingerprint,
		       const char *endpoint);

/*
 * Record that a request was sent to, or has left, an endpoint.  To be called
 * for unmarked requests, too: they may be marked while they run.
 */
void suspect_request_placed(struct suspects *s, const char *fingerprint,
			    const char *endpoint);
void suspect_request_left(struct suspects *s, const char *fingerprint,
			  const char *endpoint);

/*
 * Records that a request has finished normally.  If a single death was counted
 * for it, its mark is dropped here and true is returned: the caller clears it
 * in the log as well.
 */
bool suspect_request_finished(struct suspects *s, const char *fingerprint);

/* Returns the number of marked requests. */
size_t suspect_count(const struct suspects *s);

#endif
