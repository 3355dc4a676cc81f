#ifndef CONTROL_LEASE_H
#define CONTROL_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "state/member.h"
#include "wire/mw.pb-c.h"

/*
 * Leases of entry hosts, as tracked by the control leader.  Does no I/O; times
 * are monotonic, in microseconds.
 *
 * A host measures its lease from the time at which it sent the renewal; the
 * leader measures it from its answer, which is later, and adds the clock drift.
 * So a lease that has ended here has ended on the host.
 *
 * Invariants:
 * - A lease is granted only to a registered incarnation that has the newest
 *   tree in force and, while a change is being prepared, has acknowledged that
 *   change.
 * - A data centre is connected only if the hosts that hold leases have more
 *   than half of the weight in the registered set and in each earlier set that
 *   a host of the data centre may still use (an unconfirmed view).  Views are
 *   kept in memory only and are lost when the leader changes.  Since a host
 *   name is added only when all hosts have the current set, a new leader has to
 *   check just one earlier set: the one without the host that was added last,
 *   until all hosts have reported a member version that includes this host.
 */

/*
 * Duration of a lease.  Longer than a failover of the leader (an election of up
 * to 2 s, then a renewal of up to 1 s), so that hosts keep their leases during
 * it.  Including clock drift, shorter than the 5 s within which a change must
 * be in force.
 */
#define LEASE_DURATION_US (4 * USEC_PER_SEC)

/* Interval at which a host renews its lease. */
#define LEASE_RENEW_INTERVAL_US USEC_PER_SEC

/*
 * A host of a connected data centre is deregistered after this time without a
 * renewal.
 */
#define LEASE_DEREGISTER_US (60 * USEC_PER_SEC)

/*
 * Time for which the data centre must have been connected without interruption
 * before one of its hosts is deregistered.  Longer than
 * HOSTCFG_UNINFORMED_AFTER_US, after which a host without lease counts in no
 * island, whichever set of hosts it has.
 */
#define LEASE_DC_CONNECTED_US (40 * USEC_PER_SEC)

struct lease_table;

/* Lease of one host, and what its last renewal reported. */
struct lease_host {
	char host[MEMBER_NAME_MAX + 1];
	char dc[MEMBER_NAME_MAX + 1];
	uint64_t incarnation;
	int64_t lease_end_us;	 /* end of the lease including drift, 0: none */
	int64_t last_renewal_us; /* time of the last renewal, granted or not */
	uint64_t version;	 /* tree version in force on the host */
	uint64_t member_version; /* of the set of hosts that it has */
	bool ready;
	bool island; /* it serves without a lease, in an island */
	char relay[MEMBER_NAME_MAX + 1]; /* control host that relayed, or "" */
};

/* State of the leader that a renewal is checked against. */
struct lease_requirements {
	const struct members *members;
	uint64_t version;	  /* newest accepted tree version */
	uint64_t pending;	  /* version being prepared, 0: none */
	uint64_t pending_attempt; /* of that preparation: change_attempt() */
};

/*
 * Table of a process that became leader at `now`, without leases.  Leases that
 * a former leader granted may last until lease_former_leases_end_us().
 */
struct lease_table *lease_new(int64_t now);
void lease_free(struct lease_table *t);

/* Time from which no lease granted by a former leader is valid. */
int64_t lease_former_leases_end_us(const struct lease_table *t);

/*
 * Processes a renewal.  relay is the control host that forwarded it, or "" or
 * NULL.  Returns
 *   0              the lease is extended;
 *   -MW_EINVAL     a name is too long;
 *   -MW_ENOTFOUND  this incarnation is not registered in this data centre;
 *   -MW_EFENCED    a newer incarnation is registered;
 *   -MW_EAGAIN     the host has to install the newest tree or acknowledge the
 *                  pending change first; its present lease is not extended.
 */
int lease_renew(struct lease_table *t, int64_t now, const Mw__Renew *renew,
		const char *relay, const struct lease_requirements *state);

/*
 * Returns the lease of a host, owned by the table, or NULL if no renewal of the
 * registered host has reached this leader.
 */
const struct lease_host *lease_find(const struct lease_table *t,
				    const char *host);

/*
 * Whether the host may still act under a lease.  Until
 * lease_former_leases_end_us() this is assumed for every host, because a former
 * leader may have granted one.
 */
bool lease_may_be_held(const struct lease_table *t, const char *host,
		       uint64_t incarnation, int64_t now);

/*
 * Whether the hosts of the data centre with a lease from this leader have more
 * than half of the weight in the registered set and in all unconfirmed views.
 */
bool lease_dc_connected(struct lease_table *t, const struct members *m,
			const char *dc, int64_t now);

/*
 * To be called before the registered set of a data centre changes: keeps the
 * current set as a view until each host has reported a newer member version.
 */
void lease_keep_view(struct lease_table *t, const struct members *m,
		     const char *dc);

/*
 * Whether a host whose renewal was refused with -MW_ENOTFOUND may be registered
 * now.  None is registered while a configuration change is being prepared
 * (`changing`) or a lease of a former leader may be valid.  A new name, which
 * changes the weights of its data centre, also waits until each host there
 * holds a lease and has reported the current set, and until no other name is
 * being added.
 */
bool lease_may_register(struct lease_table *t, const struct members *m,
			const Mw__Renew *r, bool changing, int64_t now);

/*
 * Called when the registration of a new name is proposed, and when that
 * proposal has ended, with any outcome.  lease_host_add_begin() includes
 * lease_keep_view().
 */
void lease_host_add_begin(struct lease_table *t, const struct members *m,
			  const char *dc);
void lease_host_add_end(struct lease_table *t);

/*
 * Returns a registered host that may be deregistered, or NULL: one that has
 * sent no renewal for LEASE_DEREGISTER_US, in a data centre that has been
 * connected for LEASE_DC_CONNECTED_US.  To be called about once a second,
 * because these calls also record since when each data centre is connected.
 */
const struct member_host *lease_dead_host(struct lease_table *t,
					  const struct members *m, int64_t now);

#endif
