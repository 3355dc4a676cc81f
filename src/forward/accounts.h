#ifndef FORWARD_ACCOUNTS_H
#define FORWARD_ACCOUNTS_H

#include <glib.h>

#include "forward/account_share.h"
#include "forward/demand.h"
#include "wire/mw.pb-c.h"

/*
 * What the client accounts of a service use and ask for, on this host and by
 * the last totals on all others: the claims of account_share.h.  Hosts report
 * it only while room is short, and for a while afterwards.
 */

struct fwd;
struct request;

/* An account of a service; requests without one share the name "". */
struct account_state {
	char *name;
	struct account_recent received; /* by requests sent from this host */
	struct account_recent refused;
	/* Requests of this host, by the last accounts_count(). */
	double held;
	struct demands queued; /* urgent ones not counted */
	struct account_average used_average, queued_average;
	/* All other hosts, by the last totals. */
	double used_elsewhere, refused_elsewhere;
	struct demands queued_elsewhere;
	double order; /* account_share_order(), by the last accounts_count() */
};

struct accounts {
	GHashTable *by_name; /* struct account_state */
	int64_t short_us;    /* when a generation last waited for room here or
				elsewhere, 0: never */
	int64_t counted_us;
	int64_t logged_us;
};

/* The claims of a service; states[i] is the account of claims[i]. */
struct account_claims {
	struct account_claim *claims;
	struct account_state **states;
	size_t n;
	double queued; /* sum of the claims */
};

void accounts_init(struct accounts *a);
void accounts_release(struct accounts *a);

/* The state of the request's account; added if there is none. */
struct account_state *accounts_of(struct request *r);

/* Whether room for the service is, or has lately been, short. */
bool accounts_is_short(const struct accounts *a, int64_t now);

/* The request was sent to an endpoint, or rejected for want of room. */
void accounts_record_sent(struct request *r, int64_t now);
void accounts_record_refused(struct request *r, int64_t now);

/* Counts what the service's requests on this host hold and ask for. */
void accounts_count(struct fwd *f, const char *service, int64_t now);

/*
 * Gathers the claims of the accounts of the request's service to room for
 * requests with the request's set of regions; to be released.  The request
 * itself counts as queued.
 */
void accounts_gather(struct account_claims *c, struct request *r, int64_t now);
void accounts_claims_release(struct account_claims *c);
/* Index of the account's claim. */
size_t accounts_index(const struct account_claims *c,
		      const struct account_state *s);

/* Adds rows to a usage report while room is short. */
void accounts_report(struct fwd *f, const char *service, Mw__QueueRow *row,
		     int64_t now);
/* Before new totals are applied. */
void accounts_clear_elsewhere(struct accounts *a);
/* Applies a row of the totals. */
void accounts_apply(struct fwd *f, struct accounts *a, const Mw__QueueRow *row,
		    int64_t now);

#endif
