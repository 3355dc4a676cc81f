#ifndef NET_HTTPD_H
#define NET_HTTPD_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>
#include <ev.h>

/*
 * HTTP/1.1 server on a libev loop: libmicrohttpd without threads.
 *
 * A request is handed to the handler once its body is complete.  Its owner
 * then answers with httpd_reply(), or with httpd_stream_begin(), any number
 * of httpd_stream_write() and httpd_stream_end(), now or later.  A request
 * belongs to its owner until one of these happens, and must not be touched
 * afterwards:
 *  - httpd_reply(), httpd_stream_end() or httpd_abort() was called;
 *  - the `closed` callback was called (client gone or httpd_free()).
 * Strings and bytes returned by the getters live as long as the request.
 *
 * Header lists are arrays of name, value, name, value, ..., NULL; NULL stands
 * for an empty list.  All calls come from the thread of the loop.  No callback
 * is called from within a call to this module, except `closed` by httpd_free().
 */
struct httpd;
struct httpd_req;

typedef void httpd_handler(void *ctx, struct httpd_req *req);

struct httpd_config {
	size_t max_body;    /* bytes; larger bodies get 413; 0: 1 MiB */
	size_t max_stream;  /* bound of a stream's buffer; 0: 64 KiB */
	int max_requests;   /* open requests; more get 429; 0: no limit */
	int max_conns;	    /* connections; 0: 4096 */
	int sndbuf;	    /* SO_SNDBUF in bytes; 0: the system's */
	int idle_timeout_s; /* without traffic in either direction; 0: 120 */
	size_t conn_memory; /* of a connection, holds its headers; 0: 16 KiB */
};

struct httpd_req_ops {
	/*
	 * The buffer of the stream has fallen to a quarter of max_stream after
	 * a write that left it more than half full or was refused.  Optional.
	 */
	void (*drained)(void *arg, struct httpd_req *req);
	/* The client went away before the answer was complete.  Optional. */
	void (*closed)(void *arg, struct httpd_req *req);
};

/*
 * Listens on ip:port (port 0 lets the system choose).  cfg may be NULL.
 * Returns 0 and *out, or -MW_EIO (logged).
 */
int httpd_new(struct ev_loop *loop, const char *ip, int port,
	      const struct httpd_config *cfg, httpd_handler *handler, void *ctx,
	      struct httpd **out);

/* Stops listening; open connections go on. */
void httpd_quiesce(struct httpd *h);

/*
 * Closes the connections on which no request is open.  A request that crosses
 * the close is not read, so its sender may send it again.
 */
void httpd_close_idle(struct httpd *h);

/* Closes all connections; `closed` is called for requests still owned. */
void httpd_free(struct httpd *h);

int httpd_port(const struct httpd *h);

/* Number of requests, including those whose answer is still being sent. */
int httpd_open_requests(const struct httpd *h);

/* Sets callbacks and the owner's pointer for one request. */
void httpd_own(struct httpd_req *req, const struct httpd_req_ops *ops,
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

/* Answers with a body of known length, which is copied. */
void httpd_reply(struct httpd_req *req, int status, const char *const *headers,
		 const void *body, size_t len);

void httpd_stream_begin(struct httpd_req *req, int status,
			const char *const *headers);

/*
 * Adds bytes to the stream.  Returns the bytes that are buffered now, or
 * -MW_EAGAIN if these would be more than max_stream; nothing is taken then.
 * Bytes that the kernel has accepted do not count.
 */
ssize_t httpd_stream_write(struct httpd_req *req, const void *data, size_t len);

/* Ends the stream; what is buffered is still sent. */
void httpd_stream_end(struct httpd_req *req);

/* Closes the connection without completing the answer. */
void httpd_abort(struct httpd_req *req);

#endif
