#ifndef ENTRY_HOSTCFG_H
#define ENTRY_HOSTCFG_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "state/tree.h"
#include "wire/mw.pb-c.h"

/*
 * Lease and configuration of one entry host.  Does no I/O; times are
 * monotonic, in microseconds.
 *
 * A data centre that is cut off from the control leader forms an island if the
 * hosts that still reach its hub have a majority of the weight; the island
 * goes on serving without leases.
 *
 * Invariants:
 * - The version in force never decreases.
 * - While the host holds a lease, it has in force the newest accepted version,
 *   or has acknowledged the only change that can follow it.
 * - A host that has received the number of a version newer than the one in
 *   force takes no new work until it has installed that version.
 * - A pending change is discarded only when a newer preparation replaces it,
 *   when its outcome arrives, or when the leader reports that this preparation
 *   is over.
 * - Only informed hosts count towards the majority of an island.  A host
 *   becomes informed by a lease or, after HOSTCFG_INFORM_DELAY_US, by an island
 *   majority of other informed hosts.  It is no longer informed when it has had
 *   neither for HOSTCFG_UNINFORMED_AFTER_US.  So every change that a majority
 * acknowledged is held by at least one host that counts in each later majority.
 */

/* Longest change id, in bytes. */
#define HOSTCFG_ID_CHARS 128

/* How long an answer of the hub is valid after the report was sent. */
#define HOSTCFG_HUB_ANSWER_VALID_US (2 * USEC_PER_SEC)

/*
 * Time after the last report to another hub for which a host reports itself
 * as not informed.  The former hub counts that report for up to 2.5 s after it
 * was sent (HUB_REPORT_FRESH_US); the rest allows for the drift of both clocks.
 * So no two hubs count the same host at the same time.
 */
#define HOSTCFG_HUB_CHANGE_US (2600 * USEC_PER_MSEC)

/*
 * Time from the start of a host until an island majority may inform it.  The
 * former process may have acknowledged a change that another host acknowledges
 * only now.  The time has to cover the preparation of such a change
 * (CHANGE_PREPARE_MAX_US) and the age of the reports that the hub counts
 * (HUB_REPORT_FRESH_US).
 */
#define HOSTCFG_INFORM_DELAY_US (6500 * USEC_PER_MSEC)

/*
 * Time without lease and island after which a host is no longer informed.
 * Shorter than LEASE_DC_CONNECTED_US, the time for which a data centre must
 * have been connected before one of its hosts is deregistered.  So a
 * deregistered host counts in no island.
 */
#define HOSTCFG_UNINFORMED_AFTER_US (30 * USEC_PER_SEC)

enum host_mode {
	HOST_STARTING, /* has no configuration tree yet */
	HOST_LEASED,   /* holds a lease and the newest version */
	HOST_ISLAND,   /* no lease, but the data centre is an island */
	HOST_STALE,    /* has not installed the newest version it knows of */
	HOST_FENCED,   /* neither a lease nor an island; takes no new work */
};

/* Name of a mode in status answers, as "leased"; a static string. */
const char *host_mode_name(enum host_mode mode);

struct hostcfg {
	struct tree *tree;    /* in force; NULL before the first snapshot */
	struct tree *pending; /* acknowledged, outcome unknown; or NULL */
	char pending_id[HOSTCFG_ID_CHARS + 1];
	uint64_t pending_attempt;
	uint64_t term;		 /* highest leader term received */
	uint64_t newest_version; /* highest version that is known to be accepted
				  */
	int64_t lease_until_us;
	int64_t last_grant_us;		/* when the newest lease was received */
	int64_t renew_sent_us;		/* when the newest renewal was sent */
	uint64_t renew_pending_attempt; /* pending_attempt in that renewal */

	/* Island rule; the hub_ values are from its newest answer. */
	bool informed;
	int64_t start_us;
	int64_t last_serving_us;    /* last time with a lease or an island */
	int64_t hub_report_sent_us; /* when the answered report was sent */
	bool has_hub_answer;
	bool hub_leader_contact; /* its component reaches the leader */
	/* Weights are doubled, as the anchor host has weight 1.5. */
	uint32_t component_weight2, registered_weight2;
	uint64_t hub_pending_attempt; /* newest reported in the component */
	char tree_host[65]; /* host to fetch the missing tree from, or "" */

	/*
	 * Values of report_hub, last_report_us and other_hub_report_us before
	 * the newest report.
	 */
	struct {
		char report_hub[65];
		int64_t last_report_us, other_hub_report_us;
	} prev_report;
	char report_hub[65]; /* received the newest report */
	int64_t last_report_us;
	int64_t other_hub_report_us; /* last report to another hub, or start */

	/* Newest received set of registered hosts of the data centre. */
	uint64_t member_version;
	Mw__Grant *members; /* holds hosts and anchor; NULL at first */
};

/* Starts without tree, lease and hub; `now` is the start of the process. */
void hostcfg_init(struct hostcfg *h, int64_t now);
void hostcfg_release(struct hostcfg *h);

/*
 * Fills in the version, the pending change and the member version of a renewal
 * that is about to be sent.  The lease that it obtains runs from now.  r points
 * into h.
 */
void hostcfg_fill_renew(struct hostcfg *h, int64_t now, Mw__Renew *r);

/*
 * Applies the answer to the newest renewal; an answer of an older term is
 * ignored.  Returns 1 if the host needs a tree snapshot, 0 if not, or the
 * negative error number of the grant.
 */
int hostcfg_apply_grant(struct hostcfg *h, int64_t now, const Mw__Grant *g);

/*
 * Fills in the state for the island rule in a report that is about to be sent
 * to the given hub.  A host that has changed its hub is reported as not
 * informed for HOSTCFG_HUB_CHANGE_US, until the former hub no longer counts it.
 * So is a host that has just started, because its former hub is unknown.
 */
void hostcfg_fill_report(struct hostcfg *h, int64_t now, const char *hub,
			 Mw__HubReport *r);

/*
 * Undoes the record of the newest report after the hub has refused it: a
 * refused report is not counted.
 */
void hostcfg_undo_report(struct hostcfg *h);

/*
 * Applies the hub's answer to the report that was sent at sent_us.  Returns 1
 * if the host needs a tree snapshot, else 0.
 */
int hostcfg_apply_hub_grant(struct hostcfg *h, int64_t sent_us,
			    const Mw__HubGrant *g);

/*
 * Handles a prepare.  Returns 0 if it is to be acknowledged; -MW_ESCHEMA,
 * -MW_EINVAL or -MW_EAGAIN if the refusal is to be acknowledged.  There must be
 * no acknowledgement if it returns 1, as the host first needs a tree snapshot,
 * or -MW_ECONFLICT, as the prepare is outdated.
 */
int hostcfg_prepare(struct hostcfg *h, const Mw__Prepare *p);

/*
 * Handles an activate or an abort.  Returns 1 if the host needs a snapshot, 2
 * if a version came into force, else 0.
 */
int hostcfg_activate(struct hostcfg *h, const Mw__Activate *a);

/*
 * Applies a snapshot of the accepted tree, from a control process (stale unset)
 * or from a peer of the same island (stale set).  A peer adds its pending
 * change and its set of registered hosts.  Returns 1 if a version came into
 * force, 0 if it was not newer, or a negative error number.
 */
int hostcfg_apply_snapshot(struct hostcfg *h, const Mw__TreeSnapshot *s);

/*
 * Returns the present mode.  Must be called at least once a second, because it
 * also updates whether the host is informed.
 */
enum host_mode hostcfg_mode(struct hostcfg *h, int64_t now);

/* Fills in a snapshot for a peer of the island; s points into h. */
void hostcfg_fill_snapshot(const struct hostcfg *h, Mw__TreeSnapshot *s);

/*
 * Checks whether a request of this account and route may be accepted in this
 * mode.  Returns 0, -MW_EFENCED, or -MW_EPENDING if a pending change, whose
 * outcome is unknown during an island, affects the request.
 */
int hostcfg_admit(struct hostcfg *h, enum host_mode mode, const char *account,
		  const char *route);

#endif
