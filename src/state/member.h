#ifndef STATE_MEMBER_H
#define STATE_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/mw.pb-c.h"

/*
 * Registered hosts of each data centre and their weights.
 *
 * When a data centre is partitioned, a component of connected hosts has the
 * majority if its weight is above half of the registered weight.  An entry
 * host weighs 1, the anchor host of its data centre 1.5, and a control process
 * 0 because it serves no clients; the code uses twice these values, which are
 * integers.  The doubled total of a data centre with entry hosts is odd:
 * of two disjoint components at most one has the majority, and of two
 * components that together hold all hosts exactly one has it.
 *
 * A component must evaluate this rule with the newest member version that any
 * of its hosts has received.
 */
struct members;

#define MEMBER_WEIGHT2 2
#define MEMBER_ANCHOR_WEIGHT2 3
#define MEMBER_HOSTS_MAX 4096
#define MEMBER_NAME_MAX 64 /* bytes of a host, data centre or address */

struct member_host {
	Mw__HostInfo *info;
	uint64_t since_version; /* when it joined its dc and role */
	bool anchor;
};

struct members *members_new(void);
void members_free(struct members *m);

/* Version of the set of registered hosts; each change increases it. */
uint64_t member_version(const struct members *m);

/*
 * Registers a host incarnation; info is copied.  A lower incarnation than the
 * registered one is refused with -MW_ECONFLICT; an equal one may change the
 * addresses, but not the role or the data centre.  *replaced is set to the
 * incarnation that was replaced, or to 0.  Returns 0, -MW_ECONFLICT,
 * -MW_EINVAL or -MW_ELIMIT.
 */
int member_register(struct members *m, const Mw__HostInfo *info,
		    uint64_t *replaced);

/*
 * Removes a host incarnation.  If it was the anchor of its data centre, the
 * entry host registered there for the longest time becomes the anchor.
 * Returns 0, or -MW_ENOTFOUND if this incarnation is not registered.
 */
int member_remove(struct members *m, const char *host, uint64_t incarnation);

const struct member_host *member_find(const struct members *m,
				      const char *host);
bool member_is_registered(const struct members *m, const char *host,
			  uint64_t incarnation);

/* Name of the anchor host of a data centre, or NULL. */
const char *member_anchor(const struct members *m, const char *dc);

/* Hosts, sorted by name. */
size_t member_count(const struct members *m);
const struct member_host *member_at(const struct members *m, size_t i);

/* Doubled weight of a host, 0 if it is not registered in the data centre. */
uint32_t member_weight2(const struct members *m, const char *dc,
			const char *host);

/* Total of the doubled weights of a data centre. */
uint32_t member_total_weight2(const struct members *m, const char *dc);

/* Whether a component has the majority; both weights are doubled. */
static inline bool member_is_majority(uint32_t component2, uint32_t total2)
{
	return (uint64_t)component2 * 2 > total2;
}

/* Doubled weight of a host from a HostInfo of a Grant or a TreeSnapshot. */
uint32_t member_info_weight2(const Mw__HostInfo *info, const char *anchor);

/* Adds a host from a snapshot, sorted by name.  Returns 0 or -MW_ECORRUPT. */
int member_load(struct members *m, const Mw__SnapHost *rec);

/* Checks all loaded hosts, sets the version.  Returns 0 or -MW_ECORRUPT. */
int member_load_end(struct members *m, uint64_t version);

#endif
