#ifndef NET_FETCH_H
#define NET_FETCH_H

#include <stddef.h>
#include <ev.h>

/*
 * HTTP/1.1 client on a libev loop: libcurl multi.  Connections are kept alive
 * and reused, TCP_NODELAY is set, redirects and proxies are not followed.
 *
 * A transfer calls `headers` once the final status and headers are known,
 * `data` for each piece of the body, and `done` exactly once; it is freed when
 * `done` returns.  After fetch_cancel() no callback is called.  No callback is
 * called from within a call to this module.  Callbacks may start, cancel,
 * pause and resume any transfer.
 *
 * libcurl sends a request again by itself when a reused connection closes
 * before the first byte of an answer.  A request that must not be sent twice
 * therefore needs a new connection: this is the rule for all methods but GET,
 * HEAD and DELETE, unless FETCH_REPEATABLE is given.
 */
struct fetcher;
struct fetch;

enum fetch_err {
	FETCH_OK,      /* a complete answer, whatever its status */
	FETCH_CONNECT, /* no connection */
	FETCH_TIMEOUT, /* connected, but timeout_ms passed */
	FETCH_BROKEN,  /* the connection or the answer broke off */
};

struct fetch_result {
	enum fetch_err err;
	int status;	  /* 0 if no headers arrived */
	int sent;	  /* 1 if any byte of the request may have left */
	int refused;	  /* 1 if the other host refused the connection */
	const char *text; /* libcurl's text for the error */
};

struct fetch_ops {
	/* All but `done` are optional. */
	void (*headers)(void *arg, struct fetch *f, int status);
	void (*data)(void *arg, struct fetch *f, const char *p, size_t n);
	void (*done)(void *arg, struct fetch *f, const struct fetch_result *r);
};

#define FETCH_REPEATABLE 1u /* may be sent again on another connection */
#define FETCH_FRESH 2u	    /* on a connection of its own, also for GET */

struct fetch_spec {
	const char *method;
	const char *url;	    /* http://ip:port/path */
	const char *const *headers; /* name, value, ..., NULL; or NULL */
	const void *body;	    /* copied */
	size_t body_len;
	int connect_timeout_ms; /* 0: 1000 */
	int timeout_ms;		/* whole transfer; 0: none */
	unsigned flags;
};

/* max_idle: bound of the connections kept; 0: libcurl's rule. */
struct fetcher *fetcher_new(struct ev_loop *loop, int max_idle);

/* Cancels all transfers and frees. */
void fetcher_free(struct fetcher *fr);

/* Never fails at once: errors are reported through `done`. */
struct fetch *fetch_start(struct fetcher *fr, const struct fetch_spec *spec,
			  const struct fetch_ops *ops, void *arg);

/* Ends the transfer and closes its connection; not after `done`. */
void fetch_cancel(struct fetch *f);

/*
 * Stops and continues reading.  Some data may still be delivered after
 * fetch_pause(): at most what libcurl has read already (8 KiB).
 */
void fetch_pause(struct fetch *f);
void fetch_resume(struct fetch *f);

/* A header of the answer (any case), or NULL; from `headers` to `done`. */
const char *fetch_header(struct fetch *f, const char *name);

/* Calls fn for each header of the answer; from `headers` to `done`. */
void fetch_each_header(struct fetch *f,
		       void (*fn)(const char *name, const char *value,
				  void *arg),
		       void *arg);

#endif
