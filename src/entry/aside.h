#ifndef ENTRY_ASIDE_H
#define ENTRY_ASIDE_H

#include "entry/request.h"

/*
 * Requests with allowed regions that wait for a loan outside their queue.
 *
 * A host without an endpoint of its own serves a model through endpoints that
 * other data centres lend.  While none of those is in the regions of a request,
 * others may still use them, so the request leaves the queue and is put back
 * when an endpoint may serve it.  Until then it counts in the backlog of its
 * account, in the demand for loans and in the status answers, and ends as it
 * would in the queue: on its deadline, its rank's age limit or when no loan
 * came in time.  A request that waits for room, for a stream at an endpoint in
 * its regions or for the spill budget stays in the queue, since others would
 * take these first.  Requests without lists are never set aside.
 */

/* Requests of a model that wait so at a time; each is looked at every 20 ms. */
#define ASIDE_MAX 512

/* Whether the host has an endpoint of its own for the request's model. */
bool aside_has_own_endpoint(const struct request *r);

/*
 * Takes the head of its queue out if it has to wait for a loan, and returns
 * true; else returns false.  Beyond ASIDE_MAX the request is refused instead.
 * err is the result of route_choose().
 */
bool aside_take(struct request *r, int err, int64_t now);

/* Ends overdue requests and puts those back that an endpoint may serve. */
void aside_return(struct pool *p, int64_t now);

/* Whether the request is set aside. */
bool aside_holds(const struct request *r);

/* Forgets a request that ends; does nothing if it is not set aside. */
void aside_drop(struct request *r);

/* The request that has waited longest; NULL: none. */
const struct request *aside_first(const struct pool *p);

/* Requests of a rank; *bytes is increased by their memory.  bytes may be NULL.
 */
size_t aside_count(const struct pool *p, unsigned int rank, size_t *bytes);

#endif
