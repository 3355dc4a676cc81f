#ifndef NET_FETCH_H
#define NET_FETCH_H

#include <stddef.h>
#include <ev.h>

#include "policy/membudget.h"

/*
 * HTTP/1.1 client on a libev loop, by libcurl's multi interface.  Connections
 * are kept alive and reused, TCP_NODELAY is set, redirects are not followed and
 * proxies are not used.
 *
 * A transfer calls `headers` once the final status and headers have arrived,
 * `data` for each part of the body, and `done` exactly once; it is freed when
 * `done` returns.  After fetch_cancel() none of them is called.  No callback
 * runs inside a function of this module.  Callbacks may start, cancel, pause
 * and resume any transfer.
 *
 * A transfer ends as FETCH_BROKEN if its header lines exceed the limits in
 * fetch.c, those of interim answers and trailers included, or if the server
 * sends much else that is neither header lines nor body.  A body of which much
 * arrives at once is passed on in parts, and other work of the loop is done in
 * between.
 *
 * It ends so, too, before `headers` is called, if the status is none of a final
 * answer (net/status.h): such an answer says nothing of the request.
 *
 * libcurl resends a request when a reused connection closes before the first
 * byte of an answer.  A request that must not be sent twice therefore uses a
 * new connection: so do all methods but GET, HEAD and DELETE, unless
 * FETCH_REPEATABLE is given.
 */
struct fetcher;
struct fetch;

enum fetch_err {
	FETCH_OK,      /* a complete answer, of any status */
	FETCH_CONNECT, /* not connected, nothing sent */
	FETCH_TIMEOUT, /* timeout_ms passed after connecting */
	FETCH_BROKEN,  /* lost connection, malformed answer, or too large a head
			*/
};

struct fetch_result {
	enum fetch_err err;
	int status;		/* 0 if no headers arrived */
	int sent;		/* 1 if any of the request may have been sent */
	int connection_refused; /* 1 if the connection was refused */
	const char *error_text; /* libcurl's message, or this module's */
};

struct fetch_ops {
	/* All but `done` are optional. */
	void (*headers)(void *arg, struct fetch *f, int status);
	void (*data)(void *arg, struct fetch *f, const char *p, size_t n);
	void (*done)(void *arg, struct fetch *f, const struct fetch_result *r);
};

#define FETCH_REPEATABLE 1u	/* may be sent twice; reuses connections */
#define FETCH_NEW_CONNECTION 2u /* uses a new connection, also for GET */

struct fetch_spec {
	const char *method;
	const char *url;	    /* http://ip:port/path */
	const char *target;	    /* path and query, which are sent byte by
				     * byte; NULL: those of url */
	const char *const *headers; /* name, value, ..., NULL; or NULL */
	const void *body;	    /* copied */
	size_t body_len;
	int connect_timeout_ms; /* 0: 1000 */
	int timeout_ms;		/* whole transfer; 0: none */
	size_t body_max; /* a larger body ends it as FETCH_BROKEN; 0: 64 KiB
			  * without `data`, otherwise no limit */
	unsigned flags;
};

/* max_idle: maximum idle connections kept; 0: libcurl's default. */
struct fetcher *fetcher_new(struct ev_loop *loop, int max_idle);

/* Bodies that owners collect draw on the budget from now on. */
void fetcher_set_budget(struct fetcher *fr, struct membudget *b);

/* Bounds the sockets' buffers (sockbuf.h) of connections made from now on. */
void fetcher_limit_sockets(struct fetcher *fr);

/* Bytes that may arrive while a transfer is paused; 0: no bound. */
size_t fetcher_paused_bytes(const struct fetcher *fr);

/* Cancels all transfers and frees fr; not inside a callback. */
void fetcher_free(struct fetcher *fr);

/* Starts a transfer; all errors are reported through `done`, later. */
struct fetch *fetch_start(struct fetcher *fr, const struct fetch_spec *spec,
			  const struct fetch_ops *ops, void *arg);

/*
 * Aborts the transfer, which closes its connection; f is invalid afterwards.
 * Must not be called after `done`.
 */
void fetch_cancel(struct fetch *f);

/*
 * Limits the body, as body_max does; in `headers`, for an owner that collects
 * the body of some answers only.  Bodies with a limit count together: if those
 * of all open transfers exceed 12 MiB, the transfer with the largest one ends
 * as FETCH_BROKEN.
 */
void fetch_limit_body(struct fetch *f, size_t body_max);

/*
 * Stop and continue to receive.  After fetch_pause(), `data` may still be
 * called with what libcurl has read already, at most 8 KiB.
 */
void fetch_pause(struct fetch *f);
void fetch_resume(struct fetch *f);

/* An answer's header (name in any case) or NULL; from `headers` to `done`. */
const char *fetch_header(struct fetch *f, const char *name);

/* Calls fn for each header of the answer; from `headers` to `done`. */
void fetch_each_header(struct fetch *f,
		       void (*fn)(const char *name, const char *value,
				  void *arg),
		       void *arg);

#endif
