#ifndef POLICY_REGISTRY_H
#define POLICY_REGISTRY_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "wire/mw.pb-c.h"

/*
 * Endpoints as announced by themselves.  Each process that needs them keeps a
 * registry and merges the rows that it hears; the merge is the same whatever
 * the order, so registries that heard the same rows are equal.
 *
 * A row is newer if its incarnation is higher, or equal with a higher seq.  An
 * incarnation that has left does not come back.  An address belongs to the
 * highest incarnation that announced it.
 *
 * Silence does not remove an endpoint soon: one that is cut off from the
 * control processes may still serve the entry hosts, which find out by using
 * it.
 */

/* After so long without an announcement a row is dropped. */
#define REGISTRY_EXPIRY_US INT64_C(60000000)

enum registry_change {
	REGISTRY_OLD,	    /* older than what is known: no effect */
	REGISTRY_REFRESHED, /* newer, but says the same */
	REGISTRY_CHANGED,   /* others want to know */
};

struct registry_row {
	Mw__EndpointInfo *info;
	int64_t received_us;
	bool left; /* this incarnation has left or lost its address */
};

struct registry;

struct registry *registry_new(void);
void registry_free(struct registry *r);

/* Copies info. */
enum registry_change registry_take(struct registry *r,
				   const Mw__EndpointInfo *info, int64_t now);

/*
 * The endpoint has left without an announcement of its own.  Returns the row
 * as others should hear it, or NULL if the id is not known.
 */
const struct registry_row *registry_leave(struct registry *r, const char *id,
					  int64_t now);

const struct registry_row *registry_find(const struct registry *r,
					 const char *id);

/* Iterates over all rows, those that have left included. */
void registry_each(const struct registry *r,
		   void (*fn)(const struct registry_row *row, void *arg),
		   void *arg);

/*
 * Drops rows that nobody announces any more.  One that served becomes stale
 * first, and stale() is told so that others hear of it.  Processes that hear
 * only of changes pass NULL and keep what serves.
 */
void registry_expire(struct registry *r, int64_t now,
		     void (*stale)(const struct registry_row *row, void *arg),
		     void *arg);

/* leave_deadline_ms of an endpoint that has said goodbye. */
#define REGISTRY_LEFT_DEADLINE_MS UINT64_MAX

#define REGISTRY_SERVING "serving"
#define REGISTRY_LEAVING "leaving"
#define REGISTRY_STALE "stale"

#endif
