#ifndef STATE_HISTORY_H
#define STATE_HISTORY_H

#include <stddef.h>
#include <stdint.h>

#include "wire/mw.pb-c.h"

/*
 * Outcomes of the last changes, accepted and refused, oldest first.  A resent
 * change id gets its first outcome from here.  A change that has dropped out
 * of the list cannot be applied twice: its base version is no longer current.
 */
struct history;

#define HISTORY_MAX 1000

struct history *history_new(void);
void history_free(struct history *h);

/* Returns the entry with this change id, or NULL. */
const Mw__SnapHistory *history_find(const struct history *h, const char *id);

/* Returns the accepted entry that led to a version, or NULL. */
const Mw__SnapHistory *history_find_accepted(const struct history *h,
					     uint64_t version);

/* Takes ownership of e; drops the oldest entry beyond HISTORY_MAX. */
void history_add(struct history *h, Mw__SnapHistory *e);

size_t history_count(const struct history *h);
const Mw__SnapHistory *history_at(const struct history *h, size_t i);

/* Checksum of what a change does; tells a resend from a reused id. */
uint64_t history_change_digest(const Mw__Change *change);

#endif
