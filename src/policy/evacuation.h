#ifndef POLICY_EVACUATION_H
#define POLICY_EVACUATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The data centres whose endpoints get nothing more by order of an operator, as
 * of one version of the tree of settings.  Pure functions, no I/O.
 *
 * Control processes may hold old versions of the tree, after a partition or a
 * freeze, so an older version never replaces a newer one.
 */
struct evacuation {
	uint64_t version; /* of the tree; 0: nothing is known yet */
	char **dcs;	  /* NULL-terminated; NULL: none */
};

void evacuation_release(struct evacuation *e);

/*
 * Replaces the set by that of a newer version; the names are copied.  Returns
 * false, and changes nothing, if the version is not newer.
 */
bool evacuation_set(struct evacuation *e, uint64_t version,
		    const char *const *dcs, size_t n);

bool evacuation_contains(const struct evacuation *e, const char *dc);

/* Calls fn for each data centre that only one of the sets contains. */
void evacuation_diff(const struct evacuation *before,
		     const struct evacuation *after,
		     void (*fn)(const char *dc, bool begins, void *ctx),
		     void *ctx);

/*
 * An order that has not begun to take effect this long after it came in is
 * dropped.  Its operator tries another process after a second, and may withdraw
 * the order there; it must not take effect after that.
 */
#define EVACUATION_WAIT_MAX_US INT64_C(900000)

/*
 * Time that an order has left on the leader.  A frame may be delayed for longer
 * than the limit, by a partition or a frozen process, and processes have no
 * common clock.  So the process that got the order first asks the leader for
 * the time ticket_us of the leader's clock; used_us is the age of the order
 * when that answer arrived, so its age at `now` is at most
 * used_us + (now - ticket_us).
 */
int64_t evacuation_time_left_us(int64_t used_us, int64_t ticket_us,
				int64_t now);

#endif
