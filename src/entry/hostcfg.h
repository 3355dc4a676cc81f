#ifndef ENTRY_HOSTCFG_H
#define ENTRY_HOSTCFG_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "state/tree.h"
#include "wire/mw.pb-c.h"

/*
 * Lease and configuration of one entry host.  Does no I/O; `now` is
 * monotonic time in microseconds.
 *
 * Invariants:
 * - The version in force never falls.
 * - With a lease the host has in force the newest accepted version, or has
 *   acknowledged the only change that can follow it.
 * - A host that has heard of a newer version than it has in force takes no
 *   new work until it has installed that version.
 * - A pending change is dropped only for a newer preparation, for its own
 *   outcome, or when its leader says that this preparation is over.
 * - In an island only informed hosts count.  A host is informed by a lease, or
 *   by an island majority of other informed hosts after
 * HOSTCFG_INFORM_DELAY_US.  It stops being informed when it has neither for
 * HOSTCFG_OUT_US.  So whatever a majority acknowledged is known to some host
 * that counts in each later majority.
 */

#define HOSTCFG_ID_CHARS 128

/* An answer of the hub counts for so long from the sending of the report. */
#define HOSTCFG_CONTACT_US (2 * USEC_PER_SEC)

/*
 * The hub before counts the last report that it got for at most 2.5 s
 * (HUB_REPORT_FRESH_US) from its sending; with the drift of both clocks.
 */
#define HOSTCFG_HUB_CHANGE_US (2600 * USEC_PER_MSEC)

/*
 * A restarted host may have acknowledged a change that another host
 * acknowledges only now.  The longest preparation (3.6 s) and the age of the
 * reports that the hub counts (2.5 s) pass before it trusts a majority.
 */
#define HOSTCFG_INFORM_DELAY_US (6500 * USEC_PER_MSEC)

/*
 * Shorter than LEASE_DC_CONNECTED_US, for which a data centre was connected
 * before a host is deregistered.  So a deregistered host counts in no island.
 */
#define HOSTCFG_OUT_US (30 * USEC_PER_SEC)

enum host_mode {
	HOST_STARTING, /* no tree yet */
	HOST_LEASED,
	HOST_ISLAND, /* the data centre is cut off and serves on its own */
	HOST_STALE,  /* a newer version is known but not installed */
	HOST_FENCED, /* no lease and no island */
};

const char *host_mode_name(enum host_mode mode);

struct hostcfg {
	struct tree *tree;    /* in force; NULL before the first snapshot */
	struct tree *pending; /* acknowledged, outcome not known; or NULL */
	char pending_id[HOSTCFG_ID_CHARS + 1];
	uint64_t pending_attempt;
	uint64_t term;	 /* highest leader term seen */
	uint64_t newest; /* highest version known to be accepted */
	int64_t lease_until_us;
	int64_t last_grant_us;
	int64_t renew_sent_us;		/* of the newest renewal */
	uint64_t renew_pending_attempt; /* pending_attempt that it reported */

	/* Island rule, from the newest answer of the hub. */
	bool informed;
	int64_t start_us;
	int64_t last_serving_us; /* last seen with a lease or in an island */
	int64_t hub_sent_us;
	bool has_hub_answer;
	bool hub_leader_contact;
	uint32_t component_weight2, registered_weight2;
	uint64_t hub_pending_attempt;
	char tree_host[65]; /* holds what this host lacks, or "" */

	/* The hub that was reported to last. */
	struct {
		char hub[65];
		int64_t us, left_us;
	} prev_report; /* the values of the next three before the newest report
			*/
	char report_hub[65];
	int64_t last_report_us;	     /* when */
	int64_t other_hub_report_us; /* last report to another hub, or the start
				      */

	/* Registered hosts of the data centre, the newest set that is known. */
	uint64_t member_version;
	Mw__Grant *members; /* holds hosts and anchor; NULL at first */
};

void hostcfg_init(struct hostcfg *h, int64_t now);
void hostcfg_release(struct hostcfg *h);

/*
 * Fills version and pending change of a renewal that is about to be sent; the
 * lease that it brings counts from now.
 */
void hostcfg_fill_renew(struct hostcfg *h, int64_t now, Mw__Renew *r);

/*
 * Takes the answer to the newest renewal.  Returns 1 if the host needs a tree
 * snapshot, 0 if not, or a negative error number of the grant.
 */
int hostcfg_grant(struct hostcfg *h, int64_t now, const Mw__Grant *g);

/*
 * Fills the state that the hub evaluates the island rule with, in a report
 * that is about to be sent to this hub.  A host that has changed its hub is
 * reported as not informed for HOSTCFG_HUB_CHANGE_US, until the hub before does
 * not count it any more; so is one that has started, as its hub is not known.
 */
void hostcfg_fill_report(struct hostcfg *h, int64_t now, const char *hub,
			 Mw__HubReport *r);

/* The hub refused the newest report, so it does not count it. */
void hostcfg_report_refused(struct hostcfg *h);

/*
 * Takes the hub's answer to the report that was sent at sent_us.  Returns 1 if
 * the host needs a tree snapshot, else 0.
 */
int hostcfg_hub(struct hostcfg *h, int64_t sent_us, const Mw__HubGrant *g);

/*
 * Takes a prepare.  Returns 0 if it may be acknowledged, 1 if the host needs a
 * tree snapshot before it can tell (no acknowledgement), -MW_ECONFLICT if it
 * is older than what the host knows (no acknowledgement either), or -MW_ESCHEMA
 * or -MW_EINVAL if the change is refused.
 */
int hostcfg_prepare(struct hostcfg *h, const Mw__Prepare *p);

/*
 * Takes an activate or an abort.  Returns 1 if the host needs a snapshot, 2 if
 * a version came into force, else 0.
 */
int hostcfg_activate(struct hostcfg *h, const Mw__Activate *a);

/*
 * Takes a snapshot of the accepted tree from a control process (stale unset)
 * or from a peer of the same island (stale set), which adds its pending
 * change and the registered hosts that it knows.  Returns 1 if a version came
 * into force, 0 if it was not newer, or a negative error number.
 */
int hostcfg_snapshot(struct hostcfg *h, const Mw__TreeSnapshot *s);

/* Mode now; called at least once a second, as it keeps `informed`. */
enum host_mode hostcfg_mode(struct hostcfg *h, int64_t now);

/* Fills an answer for a peer of the island; it points into h. */
void hostcfg_fill_snapshot(const struct hostcfg *h, Mw__TreeSnapshot *s);

/*
 * Whether a request of this account and route may be taken in this mode:
 * 0, -MW_EFENCED, or -MW_EPENDING if a change whose outcome cannot be learnt
 * affects it.
 */
int hostcfg_admit(struct hostcfg *h, enum host_mode mode, const char *account,
		  const char *route);

#endif
