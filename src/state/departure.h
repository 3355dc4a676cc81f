#ifndef STATE_DEPARTURE_H
#define STATE_DEPARTURE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/mw.pb-c.h"

/*
 * Departures: the registry rows (policy/registry.h) of endpoints that have
 * announced that they leave, one for each id.  An endpoint whose leave was
 * acknowledged does not repeat it, so no process learns it again after all have
 * lost their memory; announcements from before the leave may still arrive.
 *
 * A row is newer if its incarnation is higher, or equal with a higher seq.
 */
struct departures;

/*
 * Time for which a departure is kept.  An announcement may arrive seconds late;
 * registries forget a row after the same time (REGISTRY_EXPIRY_US).
 */
#define DEPARTURE_KEEP_MS 60000
#define DEPARTURES_MAX 4096    /* a new one replaces the oldest */
#define DEPARTURE_NAME_MAX 256 /* bytes of an id, address or other name */

struct departures *departures_new(void);
void departures_free(struct departures *d);

/*
 * Records a row whose state is "leaving"; an older one than that recorded for
 * the id has no effect.  Copies the fields that registries need.  Returns 0 or
 * -MW_EINVAL.
 */
int departure_record(struct departures *d, uint64_t now_ms,
		     const Mw__EndpointInfo *info);

/* Removes departures from before before_ms. */
void departures_expire(struct departures *d, uint64_t before_ms);

size_t departures_count(const struct departures *d);

/* The row recorded for an id, or NULL.  Valid until the next change. */
const Mw__EndpointInfo *departure_find(const struct departures *d,
				       const char *id);

/* Calls fn for each departure, the oldest first. */
void departures_for_each(const struct departures *d,
			 void (*fn)(const Mw__SnapDeparture *rec, void *arg),
			 void *arg);

/* Adds one from a snapshot, in saved order.  Returns 0 or -MW_ECORRUPT. */
int departure_load(struct departures *d, const Mw__SnapDeparture *rec);

#endif
