#ifndef ADMIN_ADMIN_H
#define ADMIN_ADMIN_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

#include "net/httpd.h"
#include "obs/event.h"
#include "state/tree.h"
#include "wire/mw.pb-c.h"

/*
 * HTTP interface for operators (docs/admin-api.md), the same on each process.
 * Requests that only a control process can answer are sent there by forward().
 */

/* Receives the response to a forwarded request; json may be NULL. */
typedef void (*admin_reply_fn)(void *arg, int status, const char *json,
			       size_t len);

struct admin_ops {
	struct tree *(*tree)(void *ctx); /* active version, or NULL */
	/*
	 * Returns a retained version, or NULL.  The member is NULL in
	 * processes that retain no earlier versions.
	 */
	struct tree *(*tree_at)(void *ctx, uint64_t version);
	void (*status)(void *ctx, json_t *out);
	json_t *(*endpoints)(void *ctx); /* new reference */
	/* Begins a graceful shutdown; returns the number of open requests. */
	size_t (*drain)(void *ctx);
	/*
	 * Forwards a request to a control process.  fn is called exactly once,
	 * possibly before this function returns.
	 */
	void (*forward)(void *ctx, const Mw__AdminCall *call, admin_reply_fn fn,
			void *arg);
	void (*metrics)(void *ctx);
};

struct admin {
	const struct admin_ops *ops;
	void *ctx;
	const char *host;
	struct event_ring *events;
};

/* httpd_handler; ctx is a struct admin. */
void admin_handle(void *ctx, struct httpd_req *http);

/* Adds a process to the list of a status response unless it is listed. */
void admin_add_process(json_t *list, const char *host, const char *dc,
		       const char *role, const char *addr);

/*
 * Encodes the body of an error response.  The caller frees it with free().
 * *status receives the HTTP status.  r may be NULL; otherwise the members
 * path, reason, version and change_id are copied from it.
 */
char *admin_error_json(int err, const Mw__Result *r, const char *detail,
		       int *status);

#endif
