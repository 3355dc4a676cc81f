#ifndef FORWARD_SOURCE_STOP_H
#define FORWARD_SOURCE_STOP_H

#include <stdint.h>

struct fwd;
struct fwd_endpoint;

/*
 * Stops generations at an endpoint (the source) that another endpoint
 * continues.
 *
 * The host closes its connection to the source, by which most endpoints end the
 * run.  One that does not would work on it as long as it lasts, so the source
 * is also ordered to stop it.  Endpoints that have dropped several runs by then
 * get no more orders.
 */

/*
 * Orders the source to stop the generation request_id, which runs at the
 * endpoint with the address target_addr now.  The connection to the source is
 * closed already.  Errors are logged only.
 */
void source_stop(struct fwd *f, struct fwd_endpoint *source,
		 const char *request_id, const char *target_addr, int64_t now);

/* Frees the orders that are not answered. */
void source_stop_release(struct fwd *f);

#endif
