#ifndef CONTROL_HUB_CLIENT_H
#define CONTROL_HUB_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "policy/credit.h"
#include "policy/queue.h"
#include "policy/retry.h"
#include "policy/route.h"
#include "wire/mw.pb-c.h"

/*
 * A host's exchange with its hub: makes the reports, as deltas if the hub has
 * the previous report, and applies the grants to the policy modules.  Does no
 * I/O.
 */
struct hub_client;

/*
 * The names are copied.  The policy modules are owned by the caller and must
 * outlive the client; retry may be NULL.
 */
struct hub_client_cfg {
	const char *host;
	const char *dc;
	uint64_t incarnation;
	struct credit *credit;
	struct route *route;
	struct retry_budget *retry;
};

/* The queue of one model on this host; owned by the caller. */
struct hub_client_queue {
	const char *model;
	struct queue *queue;
};

struct hub_client *hub_client_new(const struct hub_client_cfg *cfg);
void hub_client_free(struct hub_client *c);

/*
 * Makes the next report, which must be sent at once: leases count from `now`.
 * Reports are due about once a second.  `has_lease` tells whether the host has
 * a lease from the leader, `version` is that of its configuration tree in
 * force. The caller frees the report with mw__hub_report__free_unpacked(report,
 * NULL).
 */
Mw__HubReport *hub_client_make_report(struct hub_client *c, int64_t now,
				      const struct hub_client_queue *queues,
				      size_t n, bool has_lease,
				      uint64_t version);

/*
 * Applies the grant that answers the newest report.  Returns 0, or -MW_EINVAL
 * for an answer to another report, which is ignored.
 */
int hub_client_apply_grant(struct hub_client *c, int64_t now,
			   const Mw__HubGrant *grant,
			   const struct hub_client_queue *queues, size_t n);

/* Returns whether a hub has answered a report sent in the last 2 s. */
bool hub_client_in_contact(const struct hub_client *c, int64_t now);

/*
 * Returns whether a host whose work waits for credit may report now, before the
 * next regular report.  `urgent`: work of rank 0 waits whose account is below
 * its fair share.  `reported_us` is the time of the last report.
 */
bool hub_client_report_due(int64_t reported_us, bool urgent, int64_t now);

#endif
