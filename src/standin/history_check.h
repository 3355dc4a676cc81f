#ifndef STANDIN_HISTORY_CHECK_H
#define STANDIN_HISTORY_CHECK_H

#include <jansson.h>

/*
 * Checks histories of callers, operators, endpoints and services against the
 * invariants.  One event is one JSON object with "t" (wall time in
 * microseconds) and "ev":
 *
 *   call           n, account, key ("" if none), prompt_hash (generations)
 *   answer         n, kind, outcome, status, attempts, violations, tag, body
 *   run            key, account; by a service
 *   up, left       an endpoint has started, or its leave was answered
 *   refused        an endpoint refused work because it is leaving
 *   start          g (generation id), prompt_hash; by an endpoint
 *   crash          prompt_hash; an endpoint dies of this request
 *   cut, heal      a data centre is cut off from the others, or restored
 *   host_lost, host_back   an entry host is killed or frozen, or no longer
 *   change         id, base, value; an operator sends it, again after "unknown"
 *   change_answer  id, outcome (accepted, refused or unknown), kind, version
 *   history        id, outcome, version; the control group's list at the end
 *   sample         host, version, value; what is in force on a host
 *   state          host, version, ready; whether a host takes new work, and the
 *                  version in force then; t is before the host was asked
 *
 * Events of other kinds are ignored.  "value" is the value of the one setting
 * that the operators change; each change has a value of its own.
 */
struct history_check;

struct history_check *history_check_new(void);
void history_check_free(struct history_check *h);

/* Adds an event.  `n` is unique within a source only; events of one source
 * are added in the order in which they were written. */
void history_check_add(struct history_check *h, int source,
		       const json_t *event);

/* Returns the violations found: an array of {"rule":S,"text":S}. */
json_t *history_check_run(struct history_check *h);

/* Returns the number of events of a kind that were added. */
int history_check_count(const struct history_check *h, const char *ev);

#endif
