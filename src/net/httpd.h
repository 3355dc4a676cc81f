#ifndef NET_HTTPD_H
#define NET_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>
#include <ev.h>

#include "base/buf.h"
#include "policy/membudget.h"

/*
 * HTTP/1.1 server on a libev loop, by libmicrohttpd without threads.
 *
 * A request is passed to the handler once its body is complete.  The handler,
 * or code to which it passes the request on, owns the request and answers it,
 * now or later: with httpd_reply(), or with httpd_stream_begin(), any number
 * of httpd_stream_write() and httpd_stream_end().  The owner must not use the
 * request after one of these:
 *  - httpd_reply(), httpd_stream_end() or httpd_abort() was called;
 *  - the `closed` callback was called, because the client closed the connection
 *    or by httpd_free().
 * Strings and bytes returned by the getters are valid as long as the request.
 *
 * Header lists are arrays of name, value, name, value, ..., NULL; NULL means
 * an empty list.  All functions must be called in the thread of the loop.  No
 * callback runs inside a function of this module, except `closed` inside
 * httpd_answer_open() and httpd_free().
 */
struct httpd;
struct httpd_req;

typedef void httpd_handler(void *ctx, struct httpd_req *req);

struct httpd_config {
	size_t max_body;    /* bytes; larger bodies get 413; 0: 1 MiB */
	size_t max_stream;  /* bytes in a stream's buffer; 0: 64 KiB */
	int max_requests;   /* open requests; more get 429; 0: no limit */
	int max_conns;	    /* connections; 0: 4096 */
	int max_kept;	    /* while there are more connections, each is closed
			       after its answer; 0: no limit */
	int sndbuf;	    /* SO_SNDBUF in bytes; 0: the system's */
	int idle_timeout_s; /* closes a connection without traffic; 0: 120;
			       httpd_set_idle() may make it longer */
	size_t conn_memory; /* bytes per connection, for headers; 0: 16 KiB.  A
			       line takes 64 bytes besides its own */
	size_t max_header;  /* bytes of a request's headers; longer ones get
			       431; 0: what conn_memory holds */
	/*
	 * Bytes of all bodies together that are held or announced by
	 * Content-Length; a request with one more gets 503 and may be sent
	 * again.  Bodies up to conn_memory do not count.  At least max_body;
	 * 0: no limit.
	 */
	size_t max_bodies;
	/*
	 * On which connections, requests and answers draw; NULL: none.  If it
	 * runs short, connections are closed in the order of membudget.h, and a
	 * request that is whole is refused with 503 before it is passed on.
	 * With a budget, while there are more than max_kept connections, those
	 * that have been without progress for 1 s are closed, and a request
	 * that trickles is ended after MEMBUDGET_TRICKLE_MAX_US.
	 */
	struct membudget *budget;
	/*
	 * Bounds the sockets' buffers (sockbuf.h), and counts what they hold
	 * for open requests, every 0.25 s.  Needs budget.
	 */
	bool limit_sockets;
};

/* Who ended a connection before its answer was complete. */
enum httpd_closer {
	HTTPD_CLIENT,  /* the client closed it, or it broke */
	HTTPD_TIMEOUT, /* no bytes were read or taken for idle_timeout_s */
	HTTPD_SERVER,  /* this server, as it stops */
};

struct httpd_req_ops {
	/*
	 * The buffer of the stream has fallen to a quarter of max_stream after
	 * a write that left it more than half full or was refused.  Optional.
	 */
	void (*drained)(void *arg, struct httpd_req *req);
	/* The connection closed before the answer was complete.  Optional. */
	void (*closed)(void *arg, struct httpd_req *req);
};

/*
 * Listens on ip:port (port 0: any free port).  cfg may be NULL.  Returns 0 and
 * sets *out, which the caller frees with httpd_free(); or returns -MW_EIO after
 * logging the error.
 */
int httpd_new(struct ev_loop *loop, const char *ip, int port,
	      const struct httpd_config *cfg, httpd_handler *handler, void *ctx,
	      struct httpd **out);

/*
 * Stops listening, after the loop has accepted the connections that were made
 * before; open connections stay in use.
 */
void httpd_quiesce(struct httpd *h);

/*
 * Closes the connections without an open request and without unread bytes,
 * except new ones on which the first request is expected.  A request that
 * arrives at the same time is not read, so its sender may send it again.
 */
void httpd_close_idle(struct httpd *h);

/*
 * From now on, closes connections on which no request has been open for
 * idle_us, up to 0.5 s later, and none of these sooner; 0: idle_timeout_s alone
 * counts.  A shorter time than before holds once the former one has passed:
 * clients that do not know it yet may still use their connections.
 */
void httpd_set_idle(struct httpd *h, int64_t idle_us);

/*
 * From now on, closes a connection, up to 0.25 s late, once a request's headers
 * have been arriving for us; 0: no limit.  Needs httpd_config.budget.
 */
void httpd_set_header_time(struct httpd *h, int64_t us);

/*
 * Replaces max_header and max_body of the configuration for requests whose
 * headers are complete from now on; 0: those of the configuration, which they
 * cannot exceed.
 */
void httpd_set_sizes(struct httpd *h, size_t max_header, size_t max_body);

/* Whether the server no longer listens and all connections have ended. */
bool httpd_is_drained(const struct httpd *h);

/*
 * Answers the requests whose owner has not begun an answer, after a call of
 * `closed` for each, by which the owner gives it up.
 */
void httpd_answer_open(struct httpd *h, int status, const char *json);

/*
 * Closes all connections; calls `closed` for requests still owned.  Sends what
 * the sockets take of answers that are complete.
 */
void httpd_free(struct httpd *h);

/* Who closed the connection; only in the `closed` callback. */
enum httpd_closer httpd_closer(const struct httpd_req *req);

/* Connections that httpd_close_idle() has closed since the start. */
unsigned int httpd_idle_closed(const struct httpd *h);

/* The port that the server listens on. */
int httpd_port(const struct httpd *h);

/* Number of open requests, including those whose answer is being sent. */
int httpd_open_requests(const struct httpd *h);

/* Sets the callbacks of one request and the arg passed to them. */
void httpd_set_owner(struct httpd_req *req, const struct httpd_req_ops *ops,
		     void *arg);

const char *httpd_method(const struct httpd_req *req);
/* The decoded path, without the query. */
const char *httpd_path(const struct httpd_req *req);
/* Path and query as they were sent. */
const char *httpd_target(const struct httpd_req *req);
/* A decoded query argument, or NULL. */
const char *httpd_query(const struct httpd_req *req, const char *name);
/* A request header (name in any case), or NULL. */
const char *httpd_header(const struct httpd_req *req, const char *name);
/* Calls fn for each header of the request, in order. */
void httpd_each_header(const struct httpd_req *req,
		       void (*fn)(const char *name, const char *value,
				  void *arg),
		       void *arg);
/* The body, followed by a NUL byte that is not counted in *len. */
const char *httpd_body(const struct httpd_req *req, size_t *len);
/* Releases the body, of which the owner needs no more; it is empty then. */
void httpd_drop_body(struct httpd_req *req);

/*
 * Sends a complete answer; headers and body are copied.  One whose status is
 * none of a final answer (net/status.h) is replaced by an empty 502.
 */
void httpd_reply(struct httpd_req *req, int status, const char *const *headers,
		 const void *body, size_t len);

/* The same with the bytes of a buffer, which is empty afterwards. */
void httpd_reply_buf(struct httpd_req *req, int status,
		     const char *const *headers, struct buf *body);

/* Starts a streamed answer; headers are copied. */
void httpd_stream_begin(struct httpd_req *req, int status,
			const char *const *headers);

/*
 * Adds bytes to the stream.  Returns the number of bytes buffered now, or
 * -MW_EAGAIN without adding any if the buffer would exceed max_stream.  Bytes
 * that the kernel has accepted do not count.
 */
ssize_t httpd_stream_write(struct httpd_req *req, const void *data, size_t len);

/*
 * Moves bytes that the owner keeps for the stream to its buffer: as many as
 * fit, in order.  Returns whether all were moved; if not, `drained` is called
 * once there is room for more.  The bytes moved count as kept no longer, so
 * that the move of bytes counted by httpd_keep() needs no room in the budget.
 */
bool httpd_stream_write_kept(struct httpd_req *req, struct buf *kept);

/* Ends the stream after its buffered bytes are sent. */
void httpd_stream_end(struct httpd_req *req);

/*
 * Counts n bytes that the owner keeps for the request in all, besides what was
 * passed to this module, for example of a stream whose buffer is full.  Returns
 * false if the budget has no room: it then counts as many as before, and the
 * owner has to do without them.
 */
bool httpd_keep(struct httpd_req *req, size_t n);

/* Closes the connection for want of memory; `closed` is called later. */
void httpd_shed(struct httpd_req *req);

/*
 * Whether the connection is being closed, for want of memory or for others, so
 * that nothing more reaches the client.  `closed` is called in the next
 * iteration of the loop, unless the owner ends the request before.
 */
bool httpd_is_shed(const struct httpd_req *req);

/* Closes the connection without completing the answer; no `closed` call. */
void httpd_abort(struct httpd_req *req);

#endif
