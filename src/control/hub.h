#ifndef CONTROL_HUB_H
#define CONTROL_HUB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "base/clock.h"
#include "wire/mw.pb-c.h"

/*
 * Hub of a data centre (DC): keeps the endpoint registry, grants hosts credits
 * for endpoint memory, and sums counters over all hosts.  The state is held in
 * memory only and rebuilt from announcements and host reports.  Does no I/O.
 *
 * Invariants:
 * - For each endpoint, the sum over hosts of the largest unexpired credit is
 *   at most blocks * (100 - margin_percent) / 100.  A new hub grants its first
 *   credit only after all credits of the previous hub have expired.
 * - Once an incarnation of an endpoint has left, it never serves again.
 * - Of the endpoints that announce one address, one at most gets memory and new
 *   requests (policy/owner.h).
 *
 * Messages are deltas: a report lists the rows that changed since the last
 * answered report (base_seq), and a grant lists the credits that changed since
 * the grant that the host names in grant_seq.  If a message was lost, the next
 * report and grant list everything.  Registry rows are listed if they are newer
 * than the registry version that the host reports, which is epoch << 32 plus a
 * counter.  A row without an address changes only the state of an endpoint that
 * the host has already.
 *
 * Times are in microseconds of the monotonic clock; endpoint memory is counted
 * in blocks of the size that the endpoint announces (block_tokens).
 */

struct hub;
struct tree;

struct hub_cfg {
	const char *name; /* of the host that runs the hub */
	const char *dc;
	unsigned lease_ms;	   /* 0: 2000 */
	unsigned margin_percent;   /* of memory not granted, 0: 10 */
	unsigned floor_percent[4]; /* by rank, as in struct queue_rank_cfg */
	/* Free memory divided evenly over the hosts, 0: 10. */
	unsigned even_share_percent;
	unsigned retry_percent; /* retries per 100 requests, 0: 10 */
	uint32_t epoch;		/* differs from that of the previous hub */
	/* Fair-share weight of an account; NULL: 1 for all accounts. */
	double (*account_weight)(void *ctx, const char *account);
	void *account_weight_ctx;
};

/*
 * Copies the names in cfg; account_weight and account_weight_ctx must stay
 * valid until hub_free().
 */
struct hub *hub_new(const struct hub_cfg *cfg, int64_t now);
void hub_free(struct hub *hub);

/*
 * Sets the registered hosts of the data centre and its anchor, the host whose
 * weight breaks ties between two halves (NULL: none).  Copies the names.
 * Reports of unregistered hosts are answered without credits.
 */
void hub_set_hosts(struct hub *hub, const char *const *hosts, size_t n,
		   const char *anchor);

/*
 * Sets the member version of the set given to hub_set_hosts().  While a host
 * reports a newer one, hub_component_weight2() is 0, because the set may be
 * out of date.
 */
void hub_set_member_version(struct hub *hub, uint64_t version);

/*
 * Sets the version of the configuration tree in force at the hub, and whether
 * the hub is in contact with the leader.  Grants carry both, or what a host of
 * the component reports: a newer version, or a lease from the leader.
 */
void hub_set_tree_version(struct hub *hub, uint64_t version);
void hub_set_leader_contact(struct hub *hub, bool contact);

/* Sets the floors of all ranks; a rank that the tree lacks gets floor 0. */
void hub_set_floors(struct hub *hub, struct tree *tree);

/*
 * Sets the part of an endpoint's free memory that is reserved for a rank while
 * it has demand.  Rank 0 and unknown ranks are ignored.
 */
void hub_set_floor(struct hub *hub, unsigned rank, unsigned percent);

/*
 * Applies an endpoint's announcement to the registry.  Returns 0, -MW_EINVAL
 * if it is malformed or for another data centre, or -MW_ECONFLICT if it is not
 * newer than the last one applied (by incarnation, then by seq).
 */
int hub_handle_announcement(struct hub *hub, int64_t now,
			    const Mw__EndpointInfo *info);

/*
 * Applies an endpoint's leave, which is final for this incarnation and all
 * earlier ones.  With deadline_ms REGISTRY_LEFT_DEADLINE_MS it is that of a
 * host that got the answer of another server at its address.  Returns 0, or
 * -MW_EINVAL if it is malformed or for another data centre.
 */
int hub_handle_leave(struct hub *hub, int64_t now, const Mw__LeaveFwd *leave);

/*
 * Applies a host's report and returns the grant that answers it, or NULL if
 * the host name is invalid or the report is not newer than the last one
 * applied.  The caller frees the grant with
 * mw__hub_grant__free_unpacked(grant, NULL).
 */
Mw__HubGrant *hub_handle_report(struct hub *hub, int64_t now,
				const Mw__HubReport *report);

/*
 * Updates the state of endpoints that have stopped announcing: stale after
 * 3 s, suspect after 6 s (neither if it is leaving), dead after 20 s.  Must be
 * called at least once a second; hub_handle_report() calls it as well.
 */
void hub_tick(struct hub *hub, int64_t now);

/*
 * How long a report counts for the island rule.  The time runs from when the
 * hub sent the grant that the report confirms, because the report itself may
 * have been delayed in transit.  Reports are sent once a second.  The sum of
 * this time and HOSTCFG_HUB_ANSWER_VALID_US stays below 5 s, clock drift
 * included.
 */
#define HUB_REPORT_FRESH_US (2500 * USEC_PER_MSEC)

/*
 * Twice the weight of the component (informed hosts with a fresh report), and
 * of all registered hosts.  A host weighs 1 and the anchor 1.5.
 */
unsigned hub_component_weight2(const struct hub *hub, int64_t now);
unsigned hub_registered_weight2(const struct hub *hub);

/* Returns whether the component has more than half of the total weight. */
bool hub_component_has_majority(const struct hub *hub, int64_t now);

/*
 * Registry version, and the row of an endpoint by id (NULL if there is none),
 * for status pages.  The row is owned by the hub and valid until the next call
 * that changes it.
 */
uint64_t hub_registry_version(const struct hub *hub);
const Mw__EndpointInfo *hub_find_endpoint(const struct hub *hub,
					  const char *id);

/*
 * Sum over hosts of the largest unexpired credit on an endpoint, and its upper
 * limit, in blocks; 0 if the endpoint is not registered.
 */
uint64_t hub_granted_blocks(const struct hub *hub, const char *id, int64_t now);
uint64_t hub_limit_blocks(const struct hub *hub, const char *id);

#endif
