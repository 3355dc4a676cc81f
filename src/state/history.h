#ifndef STATE_HISTORY_H
#define STATE_HISTORY_H

#include <stddef.h>
#include <stdint.h>

#include "wire/mw.pb-c.h"

/*
 * Outcomes of the last HISTORY_MAX changes, accepted and refused, oldest
 * first.  A change that is sent again with the same id gets the recorded
 * outcome.  An accepted change that has left the list is not applied again
 * either: its base version is no longer current.
 */
struct history;

#define HISTORY_MAX 1000

struct history *history_new(void);
void history_free(struct history *h);

/* Returns the entry with this change id, or NULL. */
const Mw__SnapHistory *history_find(const struct history *h, const char *id);

/* Returns the accepted change that produced a version, or NULL. */
const Mw__SnapHistory *history_find_accepted(const struct history *h,
					     uint64_t version);

/* Takes ownership of e; removes the oldest entry above HISTORY_MAX. */
void history_add(struct history *h, Mw__SnapHistory *e);

size_t history_count(const struct history *h);
const Mw__SnapHistory *history_at(const struct history *h, size_t i);

/*
 * Hash of the base version, edits and left-out data centres of a change.
 * It distinguishes a change that is sent again from a reused change id.
 */
uint64_t history_change_digest(const Mw__Change *change);

#endif
