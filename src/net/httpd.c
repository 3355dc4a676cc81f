#include "net/httpd.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <glib.h>
#include <microhttpd.h>

#include "base/buf.h"
#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/list.h"
#include "base/log.h"
#include "net/bytes_read.h"
#include "net/sockbuf.h"
#include "net/status.h"
#include "obs/counter.h"

/*
 * A request without a reply yet, or without further bytes of its stream, is
 * suspended in libmicrohttpd, which then neither polls its connection nor
 * applies the idle timeout.  Therefore:
 *  - close_watch detects that the client has closed the connection;
 *  - each state change resumes the connection; libmicrohttpd then calls
 *    on_access() or on_read() again, which act on the new state.
 * MHD_run() is called from the prepare watcher, at most once per loop
 * iteration, so that all writes of an iteration are sent together and no
 * callback runs inside a function that the owner has called.  httpd_free()
 * calls it too.
 */

/* For request headers and the write buffer; a token is far smaller. */
#define CONN_MEMORY_BYTES (16 * 1024)
#define DEFAULT_MAX_BODY (1024 * 1024)
#define DEFAULT_MAX_STREAM (64 * 1024)
#define DEFAULT_MAX_CONNS 4096
#define DEFAULT_IDLE_TIMEOUT_S 120
#define LISTEN_BACKLOG 1024
/* Runs of libmicrohttpd in which a stop accepts the connections that wait; more
 * than a full backlog needs. */
#define ACCEPT_ROUNDS_MAX (2 * LISTEN_BACKLOG)
/* Runs in which httpd_free() passes an answer on: one queues it, one sends it.
 */
#define FLUSH_ROUNDS 3
/* Time in which the first request is expected on a new connection: its client
 * has a round trip of 24 ms at most. */
#define FIRST_REQUEST_US (100 * USEC_PER_MSEC)
/* Interval of closing the connections that were idle for too long. */
#define IDLE_CHECK_S 0.25
#define IDLE_MAX_US (3600 * (int64_t)USEC_PER_SEC)
/* Of a connection without a request, and of its socket. */
#define CONN_BYTES 4096
/* Of a request in work, besides its body: buffers of the transfer to an
 * endpoint. */
#define REQUEST_BYTES (24 * 1024)
/* libmicrohttpd and libcurl each have a copy of a header line. */
#define HEADER_COPIES 2
/* Time without progress after which an announced body no longer keeps room in
 * max_bodies from another. */
#define ANNOUNCED_STALL_US (3 * (int64_t)USEC_PER_SEC)
/* Least time between two log lines about closed connections. */
#define SHED_LOG_INTERVAL_US (5 * (int64_t)USEC_PER_SEC)
/* libmicrohttpd uses this buffer only for HTTP/1.0 clients. */
#define STREAM_BLOCK_BYTES 1024

struct httpd {
	struct ev_loop *loop;
	struct MHD_Daemon *mhd;
	struct httpd_config cfg;
	httpd_handler *handler;
	void *ctx;
	ev_io epoll_watch;
	ev_timer timer;
	ev_timer idle_timer;
	ev_prepare prepare;
	struct list reqs;  /* httpd_req.link */
	struct list conns; /* tcp_conn.link */
	int open_requests; /* requests not completed */
	int n_conns;	   /* in conns */
	size_t body_bytes; /* httpd_req.counted of all requests */
	int port;
	int listen_fd;	   /* -1: closed */
	int run_due;	   /* MHD_run() is to be called before the loop polls */
	bool quiescing;	   /* accepts what waits, then stops listening */
	bool freeing;	   /* no request is passed to the handler any more */
	int accept_rounds; /* of quiescing */
	unsigned int idle_closed;    /* connections, since the start */
	int64_t idle_us;	     /* of httpd_set_idle() */
	int64_t next_idle_us;	     /* shorter, from next_idle_at_us on */
	int64_t next_idle_at_us;     /* 0: none */
	int64_t header_us;	     /* of httpd_set_header_time() */
	size_t max_header, max_body; /* of httpd_set_sizes() */
	bool shed_due;		     /* a request with `shed` is still owned */
	unsigned int shed_logged;    /* connections, in the log */
	unsigned int shed;	     /* connections closed for others */
	int64_t shed_log_us;	     /* of the last line */
};

struct tcp_conn {
	struct list link;
	struct httpd *h;
	struct membudget_holder mem;
	uint32_t peer;	       /* address */
	size_t buffer_bytes;   /* the most that its buffer has held */
	uint64_t read_bytes;   /* when the last request ended */
	int64_t head_since_us; /* when headers began to arrive; 0: none */
	int fd;
	int open_requests; /* requests on it that are not completed */
	bool closed;	   /* by httpd_close_idle() */
	bool used;	   /* a request has come */
	bool in_request;   /* its headers are complete */
	int64_t opened_us;
	int64_t idle_since_us; /* if no request is open */
};

enum req_state {
	REQ_READING, /* the body is not complete */
	REQ_OWNED,   /* passed to the handler, no answer yet */
	REQ_REPLIED, /* a complete answer is ready */
	REQ_STREAM,  /* the owner writes a stream */
	REQ_ENDED,   /* the owner has ended the stream */
	REQ_CLOSED,  /* closed by the client or by the server */
};

struct httpd_req {
	struct list link;
	struct httpd *h;
	struct MHD_Connection *conn;
	const struct httpd_req_ops *ops;
	void *arg;
	char *method;
	char *path;
	char *target;
	const char *uri; /* libmicrohttpd's copy of the request line */
	struct buf body; /* received */
	size_t counted;	 /* bytes of the body in httpd.body_bytes */
	struct buf out;	 /* of a stream, not yet passed on */
	struct MHD_Response *response; /* ready, not yet queued */
	int status;
	int fd;
	struct tcp_conn *tcp;
	struct membudget_holder mem;
	size_t reply_bytes;   /* of a complete answer */
	size_t kept_bytes;    /* by the owner, see httpd_keep() */
	size_t queued_bytes;  /* in the socket, as counted */
	size_t refused_bytes; /* in the socket, when last refused */
	size_t max_body;      /* in force when its headers were complete */
	ev_io close_watch;
	enum req_state state;
	enum httpd_closer closer; /* in REQ_CLOSED */
	unsigned suspended : 1;
	unsigned started : 1;	     /* on_access() has received the headers */
	unsigned body_too_large : 1; /* the body exceeds max_body */
	unsigned body_refused : 1;   /* the bodies exceed max_bodies */
	unsigned drain_pending : 1;  /* `drained` is to be called */
	unsigned shed : 1;	     /* its connection is closed for others */
};

static void schedule_run(struct httpd *h)
{
	h->run_due = 1;
}

static void req_resume(struct httpd_req *req)
{
	if (!req->suspended)
		return;
	req->suspended = 0;
	MHD_resume_connection(req->conn);
	schedule_run(req->h);
}

static void req_suspend(struct httpd_req *req)
{
	req->suspended = 1;
	MHD_suspend_connection(req->conn);
}

static int req_is_owned(const struct httpd_req *req)
{
	return req->state == REQ_OWNED || req->state == REQ_STREAM;
}

/* Counts a connection that is closed, and logs such ones now and then. */
static void record_shed(struct httpd *h, const char *cause)
{
	int64_t now = clock_mono_us();

	counter_add(C_CONNS_SHED, cause, 1);
	h->shed++;
	if (h->shed_log_us && now - h->shed_log_us < SHED_LOG_INTERVAL_US)
		return;
	log_warn("httpd",
		 "port %d: closed %u connections since the last line, now for "
		 "%s; %zu of %zu KiB in use, %d connections",
		 h->port, h->shed - h->shed_logged, cause,
		 h->cfg.budget ? h->cfg.budget->used / 1024 : 0,
		 h->cfg.budget ? h->cfg.budget->capacity / 1024 : 0,
		 h->n_conns);
	h->shed_logged = h->shed;
	h->shed_log_us = now;
}

/* The request's owner is told later, outside of the functions of this module.
 */
static void req_close(struct httpd_req *req, const char *cause)
{
	if (req->shed)
		return;
	req->shed = 1;
	if (req->tcp) {
		req->tcp->closed = true;
		membudget_remove(&req->tcp->mem);
	}
	shutdown(req->fd, SHUT_RDWR);
	if (req->state == REQ_READING)
		buf_release(&req->body);
	req->h->shed_due = true;
	schedule_run(req->h);
	record_shed(req->h, cause);
}

static void on_req_shed(void *arg)
{
	struct httpd_req *req = arg;

	req_close(req, req->state == REQ_READING ? "request_memory"
						 : "answer_memory");
}

static void conn_close(struct tcp_conn *tcp, const char *cause)
{
	if (tcp->closed)
		return;
	tcp->closed = true;
	shutdown(tcp->fd, SHUT_RDWR);
	schedule_run(tcp->h);
	record_shed(tcp->h, cause);
}

static void on_conn_shed(void *arg)
{
	conn_close(arg, "connection_memory");
}

/* Sets what the request draws on the budget; false: it has to go. */
static bool update_memory(struct httpd_req *req)
{
	bool in_work = req_is_owned(req);
	size_t body = buf_unread(&req->body);

	/* libcurl copies the body for each attempt. */
	return membudget_set(&req->mem,
			     (in_work ? 2 * body + REQUEST_BYTES : body) +
				     buf_unread(&req->out) + req->reply_bytes +
				     req->kept_bytes + req->queued_bytes,
			     clock_mono_us());
}

bool httpd_keep(struct httpd_req *req, size_t n)
{
	size_t before = req->kept_bytes;

	if (n == before)
		return !req->shed;
	req->kept_bytes = n;
	if (update_memory(req))
		return true;
	req->kept_bytes = before;
	return false;
}

static void set_memory_kind(struct httpd_req *req, enum membudget_kind kind)
{
	if (req->mem.kind != kind)
		membudget_set_kind(&req->mem, kind, clock_mono_us());
}

/* Ends a request; calls `closed` if its answer was not complete. */
static void req_mark_closed(struct httpd_req *req, enum httpd_closer closer)
{
	int owned = req_is_owned(req);

	ev_io_stop(req->h->loop, &req->close_watch);
	req->state = REQ_CLOSED;
	req->closer = closer;
	if (owned && req->ops && req->ops->closed)
		req->ops->closed(req->arg, req);
}

static void on_close_watch(EV_P_ ev_io *w, int revents)
{
	struct httpd_req *req = w->data;
	char byte;
	ssize_t n = recv(w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	(void)revents;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n > 0) {
		/* A pipelined request, unread, would keep waking the loop. */
		ev_io_stop(EV_A_ w);
		return;
	}
	/* Also fails a write that libmicrohttpd is waiting to complete. */
	shutdown(w->fd, SHUT_RDWR);
	req_mark_closed(req, req->tcp && req->tcp->closed ? HTTPD_SERVER
							  : HTTPD_CLIENT);
	req_resume(req);
	schedule_run(req->h);
}

/* libmicrohttpd has no limit of its own for idle connections alone. */
static void allow_idle_time(const struct httpd *h, struct MHD_Connection *conn)
{
	int64_t s = h->idle_us / (int64_t)USEC_PER_SEC + 1;

	if (s > h->cfg.idle_timeout_s)
		MHD_set_connection_option(conn, MHD_CONNECTION_OPTION_TIMEOUT,
					  (unsigned int)s);
}

/* Gives back the room of announced bodies that do not arrive. */
static void close_stalled_bodies(struct httpd *h)
{
	int64_t now = clock_mono_us();
	struct httpd_req *req;

	list_for_each_entry (req, &h->reqs, link) {
		if (req->state != REQ_READING || !req->counted ||
		    !req->mem.budget ||
		    now - req->mem.progress_us < ANNOUNCED_STALL_US)
			continue;
		req_close(req, "announced_body");
		h->body_bytes -= req->counted;
		req->counted = 0;
	}
}

/*
 * Counts a body of n bytes in all.  Returns false if there is no room for it
 * beside those of the other requests.
 */
static bool count_body(struct httpd_req *req, size_t n)
{
	struct httpd *h = req->h;

	if (!h->cfg.max_bodies || n <= h->cfg.conn_memory || n <= req->counted)
		return true;
	if (h->body_bytes - req->counted + n > h->cfg.max_bodies)
		close_stalled_bodies(h);
	if (h->body_bytes - req->counted + n > h->cfg.max_bodies)
		return false;
	h->body_bytes += n - req->counted;
	req->counted = n;
	return true;
}

void httpd_drop_body(struct httpd_req *req)
{
	buf_release(&req->body);
	req->h->body_bytes -= req->counted;
	req->counted = 0;
	update_memory(req);
}

static void *on_uri(void *cls, const char *uri, struct MHD_Connection *conn)
{
	struct httpd *h = cls;
	struct httpd_req *req = g_new0(struct httpd_req, 1);

	req->h = h;
	req->conn = conn;
	req->target = g_strdup(uri);
	req->uri = uri;
	req->fd =
		MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)
			->connect_fd;
	ev_io_init(&req->close_watch, on_close_watch, req->fd, EV_READ);
	req->close_watch.data = req;
	list_add_tail(&h->reqs, &req->link);
	h->open_requests++;
	allow_idle_time(h, conn);
	req->tcp = MHD_get_connection_info(conn,
					   MHD_CONNECTION_INFO_SOCKET_CONTEXT)
			   ->socket_context;
	req->mem.shed = on_req_shed;
	req->mem.arg = req;
	if (h->cfg.budget)
		membudget_add(h->cfg.budget, &req->mem, MEMBUDGET_ARRIVING,
			      req->tcp ? req->tcp->peer : 0, clock_mono_us());
	if (req->tcp) {
		req->tcp->open_requests++;
		req->tcp->used = true;
		req->tcp->in_request = false;
	}
	return req;
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **con_cls,
			 enum MHD_RequestTerminationCode code)
{
	struct httpd_req *req = *con_cls;

	(void)cls;
	(void)conn;
	if (!req)
		return;
	*con_cls = NULL;
	req->suspended = 0;
	if ((req->tcp && req->tcp->closed) ||
	    code == MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN)
		req_mark_closed(req, HTTPD_SERVER);
	else if (code == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED)
		req_mark_closed(req, HTTPD_TIMEOUT);
	else
		req_mark_closed(req, HTTPD_CLIENT);
	req->h->open_requests--;
	if (req->tcp) {
		req->tcp->open_requests--;
		req->tcp->in_request = false;
		req->tcp->head_since_us = 0;
		req->tcp->idle_since_us = clock_mono_us();
		if (req->h->cfg.budget)
			net_bytes_read(req->fd, &req->tcp->read_bytes);
		membudget_set_kind(&req->tcp->mem, MEMBUDGET_ARRIVING,
				   req->tcp->idle_since_us);
	}
	list_del(&req->link);
	membudget_remove(&req->mem);
	if (req->response)
		MHD_destroy_response(req->response);
	httpd_drop_body(req);
	buf_release(&req->out);
	g_free(req->method);
	g_free(req->path);
	g_free(req->target);
	g_free(req);
}

static void set_headers(struct MHD_Response *r, const char *const *headers)
{
	for (; headers && headers[0]; headers += 2)
		MHD_add_response_header(r, headers[0], headers[1]);
}

/* Prepares an error answer to a request that the handler does not receive. */
static void prepare_status(struct httpd_req *req, int err, int status)
{
	const struct err_info *info = err_info(err);
	/*
	 * A call with an Idempotency-Key may have been sent through another
	 * host too, and have run there.
	 */
	int keyed = httpd_header(req, "Idempotency-Key") != NULL;
	const char *const headers[] = {"Content-Type",
				       "application/json",
				       "Mustardwall-Outcome",
				       keyed ? "unknown" : "not-run",
				       info->retryable ? "Retry-After" : NULL,
				       "1",
				       NULL};
	AUTO_BUF struct buf b = BUF_INIT;

	buf_addf(&b, "{\"error\":{\"kind\":\"%s\",\"message\":\"%s\"}}\n",
		 info->kind, info->text);
	req->response = MHD_create_response_from_buffer(
		buf_unread(&b), buf_head(&b), MHD_RESPMEM_MUST_COPY);
	set_headers(req->response, headers);
	req->status = status;
	req->state = REQ_REPLIED;
}

static void prepare_refusal(struct httpd_req *req, int err)
{
	prepare_status(req, err, err_info(err)->http_status);
}

static enum MHD_Result queue_response(struct httpd_req *req)
{
	const struct httpd *h = req->h;

	if (h->cfg.max_kept && h->n_conns > h->cfg.max_kept)
		MHD_add_response_header(req->response, "Connection", "close");
	enum MHD_Result rc = MHD_queue_response(
		req->conn, (unsigned int)req->status, req->response);

	MHD_destroy_response(req->response);
	req->response = NULL;
	return rc;
}

struct length_check {
	const char *first;
	bool differ;
};

static enum MHD_Result on_length(void *cls, enum MHD_ValueKind kind,
				 const char *name, const char *value)
{
	struct length_check *c = cls;

	(void)kind;
	if (strcasecmp(name, "Content-Length") != 0)
		return MHD_YES;
	if (c->first && (!value || strcmp(value, c->first) != 0))
		c->differ = true;
	c->first = value ? value : "";
	return MHD_YES;
}

/* A sender and a receiver that take different ones see different bodies. */
static bool lengths_differ(const struct httpd_req *req)
{
	struct length_check c = {0};

	MHD_get_connection_values(req->conn, MHD_HEADER_KIND, on_length, &c);
	return c.differ;
}

/*
 * Whether the target is the whole one that was sent.  libmicrohttpd ends the
 * string at a NUL byte; the version follows the target in its buffer.
 */
static bool target_is_whole(const struct httpd_req *req, const char *version)
{
	return (uintptr_t)version - (uintptr_t)req->uri ==
	       strlen(req->target) + 1;
}

static bool headers_too_large(const struct httpd_req *req)
{
	size_t max = req->h->max_header;

	return max &&
	       MHD_get_connection_info(req->conn,
				       MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
			       ->header_size > max;
}

/* Counts n bytes that the connection's buffer has held at once. */
static void count_buffer(struct httpd_req *req, size_t n)
{
	struct tcp_conn *tcp = req->tcp;

	if (!tcp || n <= tcp->buffer_bytes)
		return;
	tcp->buffer_bytes = n;
	if (!membudget_set(&tcp->mem, CONN_BYTES + n, clock_mono_us()))
		req_close(req, "connection_memory");
}

static void count_headers(struct httpd_req *req)
{
	size_t n = MHD_get_connection_info(
			   req->conn, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
			   ->header_size;
	count_buffer(req, n * HEADER_COPIES);
}

/* Handles the headers; refuses a request before its body if possible. */
static enum MHD_Result req_start(struct httpd_req *req, const char *method,
				 const char *path, const char *version)
{
	const char *len = httpd_header(req, "Content-Length");

	req->started = 1;
	req->max_body = req->h->max_body;
	if (req->tcp) {
		req->tcp->in_request = true;
		req->tcp->head_since_us = 0;
		membudget_set_kind(&req->tcp->mem, MEMBUDGET_HELD,
				   clock_mono_us());
	}
	count_headers(req);
	req->method = g_strdup(method);
	req->path = g_strdup(path);
	if (req->h->cfg.max_requests &&
	    req->h->open_requests > req->h->cfg.max_requests)
		prepare_refusal(req, MW_EQUEUEFULL);
	else if (lengths_differ(req) || !target_is_whole(req, version))
		prepare_refusal(req, MW_EINVAL);
	else if (headers_too_large(req))
		prepare_status(req, MW_ETOOBIG,
			       MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE);
	else if (len && strtoull(len, NULL, 10) > req->max_body)
		prepare_refusal(req, MW_ETOOBIG);
	else if (len && !count_body(req, strtoull(len, NULL, 10)))
		prepare_refusal(req, MW_EAGAIN);
	else
		return MHD_YES;
	return queue_response(req);
}

/* Passes a whole request to the handler, or refuses it for want of memory. */
static void pass_on(struct httpd_req *req)
{
	struct httpd *h = req->h;

	if (update_memory(req)) {
		set_memory_kind(req, MEMBUDGET_HELD);
		h->handler(h->ctx, req);
		return;
	}
	counter_add(C_MEMORY_REFUSED, NULL, 1);
	prepare_refusal(req, MW_EAGAIN);
	httpd_drop_body(req);
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *conn,
				 const char *path, const char *method,
				 const char *version, const char *data,
				 size_t *len, void **con_cls)
{
	struct httpd *h = cls;
	struct httpd_req *req = *con_cls;

	(void)conn;
	if (!req || req->state == REQ_CLOSED || req->shed ||
	    (req->tcp && req->tcp->closed) ||
	    (h->freeing && req->state == REQ_READING))
		return MHD_NO;
	if (!req->started)
		return req_start(req, method, path, version);
	if (*len) {
		if (buf_unread(&req->body) + *len > req->max_body)
			req->body_too_large = 1;
		else if (!count_body(req, buf_unread(&req->body) + *len))
			req->body_refused = 1;
		if (req->body_too_large || req->body_refused)
			httpd_drop_body(req);
		else
			buf_add(&req->body, data, *len);
		membudget_progress(&req->mem, *len, clock_mono_us());
		*len = 0;
		if (!update_memory(req))
			on_req_shed(req);
		/* libmicrohttpd reads bodies by way of the same buffer. */
		count_buffer(req,
			     MIN(buf_unread(&req->body), h->cfg.conn_memory));
		return req->shed ? MHD_NO : MHD_YES;
	}
	if (req->state == REQ_READING) {
		if (req->body_too_large) {
			prepare_refusal(req, MW_ETOOBIG);
		} else if (req->body_refused) {
			prepare_refusal(req, MW_EAGAIN);
		} else {
			req->state = REQ_OWNED;
			pass_on(req);
		}
	}
	if (req->state == REQ_CLOSED)
		return MHD_NO;
	if (req->response) {
		if (req->state == REQ_STREAM)
			ev_io_start(h->loop, &req->close_watch);
		return queue_response(req);
	}
	ev_io_start(h->loop, &req->close_watch);
	req_suspend(req);
	return MHD_YES;
}

/* Copies buffered bytes of a stream to libmicrohttpd. */
static ssize_t on_read(void *cls, uint64_t pos, char *dst, size_t max)
{
	struct httpd_req *req = cls;
	size_t n = buf_unread(&req->out);

	(void)pos;
	if (req->state == REQ_CLOSED)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (!n) {
		if (req->state == REQ_ENDED)
			return MHD_CONTENT_READER_END_OF_STREAM;
		req_suspend(req);
		return 0;
	}
	if (n > max)
		n = max;
	memcpy(dst, buf_head(&req->out), n);
	buf_consume(&req->out, n);
	/* libmicrohttpd sends a stream by way of the same buffer. */
	count_buffer(req, n);
	membudget_progress(&req->mem, n, clock_mono_us());
	if (!buf_unread(&req->out))
		set_memory_kind(req, MEMBUDGET_HELD);
	update_memory(req);
	if (req->drain_pending && req->state == REQ_STREAM &&
	    buf_unread(&req->out) <= req->h->cfg.max_stream / 4) {
		req->drain_pending = 0;
		if (req->ops && req->ops->drained)
			req->ops->drained(req->arg, req);
	}
	return (ssize_t)n;
}

static void add_conn_memory(struct tcp_conn *tcp, struct MHD_Connection *conn)
{
	const struct sockaddr_in *sa =
		(const void *)MHD_get_connection_info(
			conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS)
			->client_addr;

	if (!tcp->h->cfg.budget)
		return;
	if (sa && sa->sin_family == AF_INET)
		tcp->peer = sa->sin_addr.s_addr;
	tcp->mem.shed = on_conn_shed;
	tcp->mem.arg = tcp;
	membudget_add(tcp->h->cfg.budget, &tcp->mem, MEMBUDGET_ARRIVING,
		      tcp->peer, tcp->opened_us);
	if (!membudget_set(&tcp->mem, CONN_BYTES, tcp->opened_us))
		on_conn_shed(tcp);
}

static void on_connection(void *cls, struct MHD_Connection *conn,
			  void **socket_context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct httpd *h = cls;
	int one = 1;

	if (code != MHD_CONNECTION_NOTIFY_STARTED) {
		struct tcp_conn *tcp = *socket_context;
		if (tcp) {
			list_del(&tcp->link);
			membudget_remove(&tcp->mem);
			/* At its limit, libmicrohttpd polls the listener again
			 * only in the run after the one that closes. */
			if (h->n_conns-- >= h->cfg.max_conns / 2)
				schedule_run(h);
			g_free(tcp);
		}
		*socket_context = NULL;
		return;
	}
	int fd =
		MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)
			->connect_fd;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	struct tcp_conn *tcp = g_new0(struct tcp_conn, 1);
	tcp->fd = fd;
	tcp->opened_us = tcp->idle_since_us = clock_mono_us();
	list_add_tail(&h->conns, &tcp->link);
	h->n_conns++;
	tcp->h = h;
	add_conn_memory(tcp, conn);
	allow_idle_time(h, conn);
	*socket_context = tcp;
	if (h->cfg.sndbuf)
		setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &h->cfg.sndbuf,
			   sizeof(h->cfg.sndbuf));
}

static void on_epoll(EV_P_ ev_io *w, int revents)
{
	(void)loop;
	(void)revents;
	schedule_run(w->data);
}

static void on_timer(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	schedule_run(w->data);
}

static bool has_unread_bytes(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Closes a connection unless a request is open, or has come, on it. */
static bool close_if_idle(struct httpd *h, struct tcp_conn *tcp)
{
	if (tcp->closed || tcp->open_requests || has_unread_bytes(tcp->fd))
		return false;
	tcp->closed = true;
	shutdown(tcp->fd, SHUT_RDWR);
	schedule_run(h);
	return true;
}

/* Counts headers that arrive, and closes connections on which they do not end.
 * libmicrohttpd does not tell before they have. */
static void check_headers(struct httpd *h, int64_t now)
{
	struct tcp_conn *tcp;
	uint64_t n;

	list_for_each_entry (tcp, &h->conns, link) {
		if (tcp->closed || tcp->in_request ||
		    !net_bytes_read(tcp->fd, &n) || n <= tcp->read_bytes)
			continue;
		if (!tcp->head_since_us)
			tcp->head_since_us = now;
		if (h->header_us > 0 &&
		    now - tcp->head_since_us >= h->header_us) {
			conn_close(tcp, "header_time");
			continue;
		}
		tcp->buffer_bytes = MAX(
			tcp->buffer_bytes,
			MIN(n - tcp->read_bytes, (uint64_t)h->cfg.conn_memory));
		if (!membudget_set(&tcp->mem, CONN_BYTES + tcp->buffer_bytes,
				   now))
			on_conn_shed(tcp);
	}
}

/*
 * Counts what the sockets of requests hold besides.  A request in work is not
 * shed for it: its next event would be, were the refused bytes to stay in its
 * sum.  The same bytes do not shed others a second time, as the attempt is
 * repeated in each round.
 */
static void count_sockets(struct httpd *h)
{
	struct httpd_req *req;

	list_for_each_entry (req, &h->reqs, link) {
		if (req->shed || req->state == REQ_CLOSED)
			continue;
		size_t n = sockbuf_queued(req->fd), before = req->queued_bytes;
		if (n == before || (n == req->refused_bytes && n > before &&
				    req->mem.kind == MEMBUDGET_HELD &&
				    !membudget_has_room(&req->mem, n - before)))
			continue;
		req->queued_bytes = n;
		req->refused_bytes = 0;
		if (update_memory(req))
			continue;
		if (req->mem.kind != MEMBUDGET_HELD) {
			on_req_shed(req);
			continue;
		}
		req->queued_bytes = before; /* until there is room */
		req->refused_bytes = n;
	}
}

/* Whether no request is open or arrives on a connection, for so long that it
 * may be closed for others. */
static bool is_surplus(const struct tcp_conn *tcp, int64_t now)
{
	int64_t min = tcp->used ? MEMBUDGET_STALL_US : FIRST_REQUEST_US;

	return !tcp->closed && !tcp->open_requests &&
	       now - tcp->idle_since_us >= min && !has_unread_bytes(tcp->fd);
}

/* Closes connections on which a first request has come (used), or has not,
 * until n are left; those of addresses with much memory first. */
static int close_conns(struct httpd *h, bool used, int n_conns, int n,
		       int64_t now)
{
	struct tcp_conn *tcp;

	for (int round = 0; round < 2 && n_conns > n; round++) {
		size_t least = round ? 0 : h->cfg.budget->used / 8;

		list_for_each_entry (tcp, &h->conns, link) {
			if (n_conns <= n)
				break;
			if (tcp->used != used || !is_surplus(tcp, now) ||
			    membudget_peer_bytes(h->cfg.budget, tcp->peer) <
				    least)
				continue;
			conn_close(tcp, "connections");
			n_conns--;
		}
	}
	return n_conns;
}

/*
 * Closes connections without progress, so that others get in: those on which no
 * request has come, as many at once as a backlog of such connections needs,
 * then requests that do not arrive, then connections between two requests.
 */
static void close_surplus(struct httpd *h, int64_t now)
{
	int n_conns =
		close_conns(h, false, h->n_conns, h->cfg.max_kept / 2, now);
	struct httpd_req *req;

	list_for_each_entry (req, &h->reqs, link) {
		if (n_conns <= h->cfg.max_kept)
			return;
		if (req->state != REQ_READING || req->shed ||
		    !membudget_is_slow(&req->mem, now))
			continue;
		req_close(req, "connections");
		n_conns--;
	}
	close_conns(h, true, n_conns, h->cfg.max_kept, now);
}

static void on_idle_timer(EV_P_ ev_timer *w, int revents)
{
	struct httpd *h = w->data;
	struct httpd_req *req;
	struct tcp_conn *tcp;
	int64_t now = clock_mono_us();

	(void)loop;
	(void)revents;
	if (h->next_idle_at_us && now >= h->next_idle_at_us) {
		h->idle_us = h->next_idle_us;
		h->next_idle_at_us = 0;
	}
	if (h->idle_us > 0)
		list_for_each_entry (tcp, &h->conns, link)
			if (now - tcp->idle_since_us >= h->idle_us)
				close_if_idle(h, tcp);
	if (!h->cfg.budget)
		return;
	check_headers(h, now);
	if (h->cfg.limit_sockets)
		count_sockets(h);
	list_for_each_entry (req, &h->reqs, link)
		if (req->state == REQ_READING &&
		    membudget_is_expired(&req->mem, now))
			req_close(req, "request_time");
	if (h->cfg.max_kept && h->n_conns > h->cfg.max_kept)
		close_surplus(h, now);
}

/* MHD_run() accepts only a few connections at a time. */
static void stop_listening(struct httpd *h)
{
	struct pollfd p = {.fd = h->listen_fd, .events = POLLIN};

	if (poll(&p, 1, 0) > 0 && (p.revents & POLLIN) &&
	    h->accept_rounds++ < ACCEPT_ROUNDS_MAX) {
		h->run_due = 1;
		return;
	}
	h->quiescing = false;
	h->listen_fd = -1;
	int fd = MHD_quiesce_daemon(h->mhd);
	if (fd >= 0)
		close(fd);
	h->run_due = 1;
}

/* Tells the owners of requests whose connections were closed for others. */
static void end_shed(struct httpd *h)
{
	struct list *pos, *tmp;

	h->shed_due = false;
	list_for_each_safe (pos, tmp, &h->reqs) {
		struct httpd_req *req = list_entry(pos, struct httpd_req, link);
		if (!req->shed || req->state == REQ_CLOSED)
			continue;
		if (req_is_owned(req))
			req_mark_closed(req, HTTPD_SERVER);
		req_resume(req);
	}
}

static void on_prepare(EV_P_ ev_prepare *w, int revents)
{
	struct httpd *h = w->data;
	MHD_UNSIGNED_LONG_LONG ms;

	(void)revents;
	if (!h->run_due)
		return;
	h->run_due = 0;
	if (h->shed_due)
		end_shed(h);
	MHD_run(h->mhd);
	if (h->quiescing)
		stop_listening(h);
	ev_timer_stop(EV_A_ & h->timer);
	/* A state change by a callback in MHD_run() needs another run. */
	if (h->run_due)
		ms = 0;
	else if (MHD_get_timeout(h->mhd, &ms) != MHD_YES)
		return;
	ev_timer_set(&h->timer, (double)ms / 1000.0, 0.0);
	ev_timer_start(EV_A_ & h->timer);
}

/* Returns a listening socket and sets *port, or a negative value. */
static int open_listener(const char *ip, int *port, bool limit_sockets)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_port = htons((uint16_t)*port)};
	socklen_t sa_len = sizeof(sa);
	int one = 1;

	if (inet_pton(AF_INET, ip, &sa.sin_addr) != 1)
		return -1;
	AUTO_CLOSE int fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (limit_sockets)
		sockbuf_limit(fd);
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(fd, LISTEN_BACKLOG) ||
	    getsockname(fd, (struct sockaddr *)&sa, &sa_len))
		return -1;
	*port = ntohs(sa.sin_port);
	return steal_fd(&fd);
}

static void set_defaults(struct httpd_config *c)
{
	if (!c->max_body)
		c->max_body = DEFAULT_MAX_BODY;
	if (!c->max_stream)
		c->max_stream = DEFAULT_MAX_STREAM;
	if (!c->max_conns)
		c->max_conns = DEFAULT_MAX_CONNS;
	if (!c->conn_memory)
		c->conn_memory = CONN_MEMORY_BYTES;
	if (!c->idle_timeout_s)
		c->idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S;
}

int httpd_new(struct ev_loop *loop, const char *ip, int port,
	      const struct httpd_config *cfg, httpd_handler *handler, void *ctx,
	      struct httpd **out)
{
	int fd = open_listener(ip, &port, cfg && cfg->limit_sockets);

	if (fd < 0) {
		log_error("httpd", "cannot listen on %s:%d: %s", ip, port,
			  strerror(errno));
		return -MW_EIO;
	}
	struct httpd *h = g_new0(struct httpd, 1);
	if (cfg)
		h->cfg = *cfg;
	set_defaults(&h->cfg);
	httpd_set_sizes(h, 0, 0);
	h->loop = loop;
	h->handler = handler;
	h->ctx = ctx;
	h->port = port;
	h->listen_fd = fd;
	list_init(&h->reqs);
	list_init(&h->conns);
	h->mhd = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		on_access, h, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)h->cfg.max_conns,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, h->cfg.conn_memory,
		MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)h->cfg.idle_timeout_s,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, h,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, h,
		MHD_OPTION_URI_LOG_CALLBACK, on_uri, h, MHD_OPTION_END);
	if (!h->mhd) {
		log_error("httpd", "cannot start the HTTP server on %s:%d", ip,
			  port);
		close(fd);
		g_free(h);
		return -MW_EIO;
	}
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(h->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&h->epoll_watch, on_epoll, info->epoll_fd, EV_READ);
	ev_timer_init(&h->timer, on_timer, 0.0, 0.0);
	ev_timer_init(&h->idle_timer, on_idle_timer, 0.0, IDLE_CHECK_S);
	ev_prepare_init(&h->prepare, on_prepare);
	h->epoll_watch.data = h->timer.data = h->idle_timer.data =
		h->prepare.data = h;
	ev_io_start(loop, &h->epoll_watch);
	ev_prepare_start(loop, &h->prepare);
	if (h->cfg.budget)
		ev_timer_again(loop, &h->idle_timer);
	*out = h;
	return 0;
}

void httpd_quiesce(struct httpd *h)
{
	h->quiescing = h->listen_fd >= 0;
	schedule_run(h);
}

bool httpd_is_drained(const struct httpd *h)
{
	return h->listen_fd < 0 && list_empty(&h->conns);
}

void httpd_close_idle(struct httpd *h)
{
	struct tcp_conn *tcp;
	int64_t now = clock_mono_us();

	list_for_each_entry (tcp, &h->conns, link)
		if (tcp->used || now - tcp->opened_us >= FIRST_REQUEST_US)
			h->idle_closed += close_if_idle(h, tcp);
	schedule_run(h);
}

void httpd_set_idle(struct httpd *h, int64_t idle_us)
{
	idle_us = MIN(idle_us, IDLE_MAX_US);
	h->next_idle_at_us = 0;
	if (idle_us > 0 && idle_us < h->idle_us) {
		h->next_idle_us = idle_us;
		h->next_idle_at_us = clock_mono_us() + h->idle_us;
		return;
	}
	h->idle_us = idle_us;
	if (h->idle_us > 0 || h->cfg.budget)
		ev_timer_again(h->loop, &h->idle_timer);
	else
		ev_timer_stop(h->loop, &h->idle_timer);
}

void httpd_set_header_time(struct httpd *h, int64_t us)
{
	h->header_us = us;
}

void httpd_set_sizes(struct httpd *h, size_t max_header, size_t max_body)
{
	h->max_header = h->cfg.max_header;
	if (max_header && (!h->max_header || max_header < h->max_header))
		h->max_header = max_header;
	h->max_body =
		max_body ? MIN(max_body, h->cfg.max_body) : h->cfg.max_body;
}

unsigned int httpd_idle_closed(const struct httpd *h)
{
	return h->idle_closed;
}

enum httpd_closer httpd_closer(const struct httpd_req *req)
{
	return req->closer;
}

void httpd_answer_open(struct httpd *h, int status, const char *json)
{
	static const char *const headers[] = {"Content-Type",
					      "application/json", NULL};
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &h->reqs) {
		struct httpd_req *req = list_entry(pos, struct httpd_req, link);
		if (req->state != REQ_OWNED || !req->ops || !req->ops->closed)
			continue;
		req->closer = HTTPD_SERVER;
		req->ops->closed(req->arg, req);
		req->ops = NULL;
		httpd_reply(req, status, headers, json, strlen(json));
	}
}

void httpd_free(struct httpd *h)
{
	struct list *pos, *tmp;

	h->freeing = true;
	/*
	 * libmicrohttpd aborts the process if it is stopped with a suspended
	 * connection, so all are resumed first.
	 */
	list_for_each_safe (pos, tmp, &h->reqs) {
		struct httpd_req *req = list_entry(pos, struct httpd_req, link);
		if (req->state != REQ_REPLIED && req->state != REQ_ENDED)
			req_mark_closed(req, HTTPD_SERVER);
		req_resume(req);
	}
	for (int i = 0; i < FLUSH_ROUNDS; i++)
		MHD_run(h->mhd);
	ev_io_stop(h->loop, &h->epoll_watch);
	ev_timer_stop(h->loop, &h->timer);
	ev_timer_stop(h->loop, &h->idle_timer);
	ev_prepare_stop(h->loop, &h->prepare);
	MHD_stop_daemon(h->mhd);
	g_free(h);
}

int httpd_port(const struct httpd *h)
{
	return h->port;
}

int httpd_open_requests(const struct httpd *h)
{
	return h->open_requests;
}

void httpd_set_owner(struct httpd_req *req, const struct httpd_req_ops *ops,
		     void *arg)
{
	req->ops = ops;
	req->arg = arg;
}

const char *httpd_method(const struct httpd_req *req)
{
	return req->method;
}

const char *httpd_path(const struct httpd_req *req)
{
	return req->path;
}

const char *httpd_target(const struct httpd_req *req)
{
	return req->target;
}

const char *httpd_query(const struct httpd_req *req, const char *name)
{
	return MHD_lookup_connection_value(req->conn, MHD_GET_ARGUMENT_KIND,
					   name);
}

const char *httpd_header(const struct httpd_req *req, const char *name)
{
	return MHD_lookup_connection_value(req->conn, MHD_HEADER_KIND, name);
}

struct header_visitor {
	void (*fn)(const char *name, const char *value, void *arg);
	void *arg;
};

static enum MHD_Result on_each_header(void *cls, enum MHD_ValueKind kind,
				      const char *name, const char *value)
{
	struct header_visitor *w = cls;

	(void)kind;
	w->fn(name, value ? value : "", w->arg);
	return MHD_YES;
}

void httpd_each_header(const struct httpd_req *req,
		       void (*fn)(const char *name, const char *value,
				  void *arg),
		       void *arg)
{
	struct header_visitor w = {.fn = fn, .arg = arg};

	MHD_get_connection_values(req->conn, MHD_HEADER_KIND, on_each_header,
				  &w);
}

const char *httpd_body(const struct httpd_req *req, size_t *len)
{
	if (len)
		*len = buf_unread(&req->body);
	return req->body.data ? buf_head(&req->body) : "";
}

static void finish_reply(struct httpd_req *req, int status, size_t len)
{
	req->status = status;
	req->state = REQ_REPLIED;
	req->reply_bytes = len;
	set_memory_kind(req, MEMBUDGET_ANSWER);
	if (!update_memory(req))
		on_req_shed(req);
	ev_io_stop(req->h->loop, &req->close_watch);
	req_resume(req);
}

void httpd_reply(struct httpd_req *req, int status, const char *const *headers,
		 const void *body, size_t len)
{
	assert(req->state == REQ_OWNED);
	if (!status_is_final(status)) {
		log_error("httpd", "an answer with status %d is not sent",
			  status);
		status = 502;
		headers = NULL;
		len = 0;
	}
	/* The cast is safe: the bytes are copied. */
	req->response = MHD_create_response_from_buffer(
		len, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
	set_headers(req->response, headers);
	/* body may be a part of it, and was copied. */
	httpd_drop_body(req);
	finish_reply(req, status, len);
}

void httpd_reply_buf(struct httpd_req *req, int status,
		     const char *const *headers, struct buf *body)
{
	size_t len = buf_unread(body);

	/* Only a buffer that begins with its bytes can be given away. */
	if (!len || body->off || !status_is_final(status)) {
		httpd_reply(req, status, headers, buf_head(body), len);
		return;
	}
	assert(req->state == REQ_OWNED);
	req->response = MHD_create_response_from_buffer(
		len, g_realloc(body->data, len), MHD_RESPMEM_MUST_FREE);
	*body = (struct buf)BUF_INIT;
	set_headers(req->response, headers);
	httpd_drop_body(req);
	finish_reply(req, status, len);
}

void httpd_stream_begin(struct httpd_req *req, int status,
			const char *const *headers)
{
	assert(req->state == REQ_OWNED && status_is_final(status));
	req->response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, on_read, req, NULL);
	set_headers(req->response, headers);
	req->status = status;
	req->state = REQ_STREAM;
	req_resume(req);
}

static void add_to_stream(struct httpd_req *req, const void *data, size_t len)
{
	if (!buf_unread(&req->out))
		set_memory_kind(req, MEMBUDGET_ANSWER);
	buf_add(&req->out, data, len);
	if (!update_memory(req))
		on_req_shed(req);
	if (buf_unread(&req->out) > req->h->cfg.max_stream / 2)
		req->drain_pending = 1;
	req_resume(req);
}

ssize_t httpd_stream_write(struct httpd_req *req, const void *data, size_t len)
{
	assert(req->state == REQ_STREAM);
	if (buf_unread(&req->out) + len > req->h->cfg.max_stream) {
		req->drain_pending = 1;
		return -MW_EAGAIN;
	}
	add_to_stream(req, data, len);
	return (ssize_t)buf_unread(&req->out);
}

bool httpd_stream_write_kept(struct httpd_req *req, struct buf *kept)
{
	assert(req->state == REQ_STREAM);
	/* The buffer never holds more than max_stream. */
	size_t room = req->h->cfg.max_stream - buf_unread(&req->out);
	size_t n = MIN(buf_unread(kept), room);

	if (n < buf_unread(kept))
		req->drain_pending = 1;
	if (n) {
		req->kept_bytes -= MIN(n, req->kept_bytes);
		add_to_stream(req, buf_head(kept), n);
		buf_consume(kept, n);
	}
	return !buf_unread(kept);
}

void httpd_stream_end(struct httpd_req *req)
{
	assert(req->state == REQ_STREAM);
	req->state = REQ_ENDED;
	/* close_watch stays active for a client that closes without reading. */
	req_resume(req);
}

void httpd_shed(struct httpd_req *req)
{
	on_req_shed(req);
}

bool httpd_is_shed(const struct httpd_req *req)
{
	return req->shed;
}

void httpd_abort(struct httpd_req *req)
{
	assert(req_is_owned(req));
	ev_io_stop(req->h->loop, &req->close_watch);
	req->state = REQ_CLOSED;
	shutdown(req->fd, SHUT_RDWR);
	req_resume(req);
	schedule_run(req->h);
}
