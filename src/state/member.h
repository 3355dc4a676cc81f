#ifndef STATE_MEMBER_H
#define STATE_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/mw.pb-c.h"

/*
 * Registered hosts of each data centre.
 *
 * Weights are doubled so that they are whole: an entry host weighs 2, the
 * anchor host of its data centre 3, a control process 0 because it serves no
 * callers.  The total of a data centre with entry hosts is odd, so of two
 * disjoint components at most one is above half, and of two complementary
 * ones exactly one is.
 *
 * A component must evaluate the rule with the newest member version that any
 * of its hosts knows.
 */
struct members;

#define MEMBER_WEIGHT2 2
#define MEMBER_ANCHOR_WEIGHT2 3
#define MEMBER_HOSTS_MAX 4096
#define MEMBER_NAME_MAX 64

struct member_host {
	Mw__HostInfo *info;
	uint64_t since_version; /* member version of the registration */
	bool anchor;
};

struct members *members_new(void);
void members_free(struct members *m);

/* Rises with each change of the registered hosts. */
uint64_t member_version(const struct members *m);

/*
 * Registers a host incarnation.  A lower incarnation than the registered one
 * is refused with -MW_ECONFLICT; an equal one updates the addresses.  *replaced
 * is set to the incarnation that was replaced, or to 0.  Returns 0,
 * -MW_ECONFLICT, -MW_EINVAL or -MW_ELIMIT.
 */
int member_register(struct members *m, const Mw__HostInfo *info,
		    uint64_t *replaced);

/*
 * Removes a host incarnation; its data centre gets another anchor if needed:
 * the entry host that has been registered longest.  Returns 0, or
 * -MW_ENOTFOUND if this incarnation is not registered.
 */
int member_remove(struct members *m, const char *host, uint64_t incarnation);

const struct member_host *member_find(const struct members *m,
				      const char *host);
bool member_is_registered(const struct members *m, const char *host,
			  uint64_t incarnation);

/* Name of the anchor host of a data centre, or NULL. */
const char *member_anchor(const struct members *m, const char *dc);

/* Hosts in order of name. */
size_t member_count(const struct members *m);
const struct member_host *member_at(const struct members *m, size_t i);

/* Doubled weight of a host, 0 if it is not registered in the data centre. */
uint32_t member_weight2(const struct members *m, const char *dc,
			const char *host);

/* Doubled weight of all hosts of a data centre. */
uint32_t member_total2(const struct members *m, const char *dc);

/* Whether a component holds more than half of the registered weight. */
static inline bool member_majority(uint32_t component2, uint32_t total2)
{
	return (uint64_t)component2 * 2 > total2;
}

/* Doubled weight from HostInfo rows as sent to hosts (Grant, TreeSnapshot). */
uint32_t member_info_weight2(const Mw__HostInfo *info, const char *anchor);

/* Snapshot: adds a saved host.  Returns 0 or -MW_ECORRUPT. */
int member_load(struct members *m, const Mw__SnapHost *rec);

/* Checks the loaded hosts and sets the version.  Returns 0 or -MW_ECORRUPT. */
int member_load_end(struct members *m, uint64_t version);

#endif
