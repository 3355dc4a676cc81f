#ifndef ENTRY_RESIDENCE_H
#define ENTRY_RESIDENCE_H

#include <stdbool.h>

#include "state/tree.h"

/*
 * Data residency in the product's own interface: in which data centres a
 * request may run.  Pure functions, no I/O.
 *
 * Route and account nodes of the tree may have `allowed_regions`, data centre
 * nodes have `region`.  Four lists count together: those of route and account
 * when the request was admitted, and those in the tree in force.  A route or
 * account that is no longer in the tree adds none.  If any list has an entry,
 * the request is restricted: a data centre without a known region is not
 * allowed, and without a tree nothing is.
 */

/* The lists at admission.  Zero: none. */
struct residence {
	char **account, **route; /* NULL-terminated; NULL: no list */
};

/* Whose lists in the tree in force count besides. */
struct residence_subject {
	const struct residence *admitted; /* NULL: not known */
	const char *account, *route;
};

/* Copies the lists; the tree may be replaced later. */
void residence_admit(struct residence *r, struct tree *t, const char *account,
		     const char *route);
void residence_release(struct residence *r);

bool residence_is_restricted(const struct residence_subject *s, struct tree *t);

/* dc may be "" if it is not known. */
bool residence_allows(const struct residence_subject *s, struct tree *t,
		      const char *dc);

/*
 * Whether a request may be sent to addr, given the row that places an endpoint
 * in dc at row_addr.  Rows arrive in any order, and cursors keep an address, so
 * the two may differ: then a restricted request is not allowed.
 */
bool residence_allows_send(const struct residence_subject *s, struct tree *t,
			   const char *dc, const char *row_addr,
			   const char *addr);

#endif
