#ifndef CONTROL_HUB_H
#define CONTROL_HUB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "base/clock.h"
#include "wire/mw.pb-c.h"

/*
 * Hub of a data centre: endpoint registry, credits and DC-wide counters.
 * Soft state, rebuilt from the reports of the hosts.  Does no I/O.
 *
 * Invariants:
 * - For each endpoint, the sum over hosts of the largest unexpired credit is
 *   at most blocks * (100 - margin) / 100.  Credits of a hub before this one
 *   have ended when this one gives its first credit.
 * - A leave is final for an incarnation.
 *
 * Messages are kept small by deltas: a report lists what has changed since
 * the last report that was answered, a grant lists what has changed since the
 * grant that the host names in grant_seq.  After a gap everything is listed.
 * Registry versions are epoch << 32 plus a counter.  A registry row without
 * address changes only the state of an endpoint that the host knows.
 */

struct hub;
struct tree;

struct hub_cfg {
	const char *name; /* host that runs the hub */
	const char *dc;
	unsigned lease_ms;	   /* 0: 2000 */
	unsigned margin_percent;   /* 0: 10 */
	unsigned floor_percent[4]; /* by rank, as in struct queue_rank_cfg */
	unsigned even_share_percent;	   /* split evenly over the hosts, 0: 10 */
	unsigned retry_percent;	   /* 0: 10 */
	uint32_t epoch;		   /* differs from that of the hub before */
	/* Weight of an account for fair share; NULL: 1 for all. */
	double (*weight)(void *ctx, const char *account);
	void *weight_ctx;
};

struct hub *hub_new(const struct hub_cfg *cfg, int64_t now);
void hub_free(struct hub *hub);

/*
 * Sets the registered hosts of the data centre and its anchor (may be NULL).
 * Reports of other hosts are answered without credits.
 */
void hub_set_hosts(struct hub *hub, const char *const *hosts, size_t n,
		   const char *anchor);

/*
 * Member version of that set.  While a host reports a newer one, the component
 * has no weight, because the set may be out of date.
 */
void hub_set_member_version(struct hub *hub, uint64_t version);

/* Facts the hub passes on in its grants. */
void hub_set_version(struct hub *hub, uint64_t version);
void hub_set_leader_contact(struct hub *hub, bool contact);

/* Sets the floors of all ranks; floors of ranks that are gone become 0. */
void hub_set_floors(struct hub *hub, struct tree *tree);

/* Sets the floor of a rank, which an accepted change may alter. */
void hub_set_floor(struct hub *hub, unsigned rank, unsigned percent);

/*
 * Takes an announcement.  Returns 0; -MW_EINVAL if it is malformed or for
 * another data centre; -MW_ECONFLICT if it is older than what is known.
 */
int hub_announce(struct hub *hub, int64_t now, const Mw__EndpointInfo *info);

/* Takes a leave; it is final for the incarnation.  Returns as above. */
int hub_leave(struct hub *hub, int64_t now, const Mw__LeaveFwd *leave);

/*
 * Takes a host's report and returns the answer, or NULL if the report is
 * older than one seen before.  The caller frees the answer with
 * mw__hub_grant__free_unpacked(grant, NULL).
 */
Mw__HubGrant *hub_report(struct hub *hub, int64_t now,
			 const Mw__HubReport *report);

/*
 * Ages the registry (suspected after 6 s, removed after 20 s).  Called at
 * least once a second; hub_report calls it as well.
 */
void hub_tick(struct hub *hub, int64_t now);

/*
 * A report counts for the island rule for so long from the answer that it
 * shows to have received, as it may have been delayed on its way.  Reports are
 * sent each second; with HOSTCFG_CONTACT_US and drift it stays below 5 s.
 */
#define HUB_FRESH_US (2500 * USEC_PER_MSEC)

/* Twice the weight of the informed hosts with a fresh report, and of all. */
unsigned hub_component_weight2(const struct hub *hub, int64_t now);
unsigned hub_registered_weight2(const struct hub *hub);

/* Returns whether the component has more than half of the weight. */
bool hub_component_ok(const struct hub *hub, int64_t now);

/* Registry version and row by id (NULL if not known), for status pages. */
uint64_t hub_registry_version(const struct hub *hub);
const Mw__EndpointInfo *hub_endpoint(const struct hub *hub, const char *id);

/* Sum over hosts of the largest unexpired credit, and its upper limit. */
uint64_t hub_granted_blocks(const struct hub *hub, const char *id, int64_t now);
uint64_t hub_limit_blocks(const struct hub *hub, const char *id);

#endif
