#include "net/fetch.h"

#include <assert.h>
#include <errno.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <strings.h>
#include <glib.h>
#include <curl/curl.h>

#include "base/clock.h"
#include "base/list.h"
#include "net/bytes_read.h"
#include "net/sockbuf.h"
#include "net/status.h"

/*
 * libcurl rejects most calls from inside its own callbacks.  So starts,
 * cancels, pauses and resumes are recorded in the transfer, which is added
 * to the `pending` list; apply_pending() applies them outside of libcurl.
 */

#define DEFAULT_CONNECT_TIMEOUT_MS 1000L
/* Limits the memory of a transfer and the data delivered after a pause. */
#define RECV_BUFFER_BYTES 8192L
/*
 * Header lines of one answer, with those of interim answers and trailers;
 * libcurl keeps all of them, with about 100 bytes more for each.  Servers send
 * some ten.
 */
#define HEAD_MAX_BYTES ((size_t)64 << 10)
#define HEAD_MAX_LINES 256
/* Those of all open transfers together: an eighth of the smallest host's
 * memory.  Beyond it the transfers end that have more than HEAD_SMALL_BYTES. */
#define HEADS_MAX_BYTES ((size_t)12 << 20)
#define HEAD_SMALL_BYTES ((size_t)4 << 10)
#define HEAD_LINE_OVERHEAD_BYTES 100
/*
 * Bytes that libcurl has read and passed on neither as header lines nor as a
 * body: a line without an end, chunk extensions.  A chunk for each byte of a
 * body takes six times its bytes.
 */
#define UNUSED_MAX_BYTES ((uint64_t)32 << 10)
#define UNUSED_MAX_FACTOR 16
/* Series of reads of which the last one is checked, if all were of use. */
#define UNUSED_CHECK_INTERVAL 8
/* Body of an answer whose owner does not read it. */
#define UNREAD_BODY_MAX_BYTES ((size_t)64 << 10)
/* Bodies that owners collect, of all open transfers together.  The buffers, as
 * they grow, may take twice as much: a quarter of the smallest host's memory.
 */
#define BODIES_MAX_BYTES ((size_t)12 << 20)
/* What a body takes while its buffer grows. */
#define BODY_COPIES 2
/* Body passed on before other work of the loop is done; libcurl reads on while
 * the server sends faster than that. */
#define BURST_BYTES ((size_t)128 << 10)
/* Idle easy handles that are kept for later transfers. */
#define SPARE_HANDLES 64

struct fetcher {
	struct ev_loop *loop;
	struct membudget_holder mem; /* of body_bytes */
	CURLM *multi;
	ev_timer timer;		/* libcurl's next timeout */
	ev_timer pending_timer; /* runs apply_pending() when the loop polls */
	struct list pending;	/* transfers with changes to apply */
	struct list transfers;	/* transfers not ended */
	struct list free_transfers; /* ended, for fetch_alloc() */
	CURL *spare[SPARE_HANDLES];
	int n_spare;
	bool limit_sockets;
	int curl_depth;	   /* depth of calls into libcurl */
	size_t head_bytes; /* of all transfers */
	size_t body_bytes; /* of all transfers that have a limit */
};

struct fetch {
	struct list link;
	struct list pending_link;
	struct fetcher *fr;
	CURL *easy;
	struct curl_slist *headers;
	const struct fetch_ops *ops;
	void *arg;
	int status;
	const char *fault; /* why this module ended the transfer, or NULL */
	size_t head_bytes; /* kept by libcurl */
	unsigned int head_lines;
	uint64_t used_bytes; /* passed on as header lines or body */
	int fd;		     /* its socket, -1: none yet */
	uint64_t fd_bytes;   /* read from it before the transfer */
	uint64_t checked_used_bytes;
	size_t body_max;	/* 0: no limit */
	size_t collected_bytes; /* of the body, if it has a limit */
	size_t burst_bytes;	/* passed on in this iteration of the loop */
	unsigned int unchecked; /* series of reads */
	unsigned in_multi : 1;	/* added to the multi handle */
	unsigned cancelled : 1; /* no callback may be called */
	unsigned paused : 1;	/* requested by the owner */
	unsigned paused_in_curl : 1; /* applied to libcurl */
};

struct socket_watch {
	ev_io io;
	struct fetcher *fr;
};

static void add_pending(struct fetch *f)
{
	struct fetcher *fr = f->fr;

	if (list_empty(&f->pending_link))
		list_add_tail(&fr->pending, &f->pending_link);
	if (!ev_is_active(&fr->pending_timer)) {
		ev_timer_set(&fr->pending_timer, 0.0, 0.0);
		ev_timer_start(fr->loop, &fr->pending_timer);
	}
}

/* Counts the bodies that owners collect; whether there is room. */
static bool count_bodies(struct fetcher *fr)
{
	return membudget_set(&fr->mem, fr->body_bytes * BODY_COPIES,
			     clock_mono_us());
}

/* The owner has the body now, and counts it if it keeps it. */
static void uncount_collected(struct fetch *f)
{
	f->fr->body_bytes -= f->collected_bytes;
	f->collected_bytes = 0;
	count_bodies(f->fr);
}

static void fetch_end(struct fetch *f)
{
	struct fetcher *fr = f->fr;

	if (f->in_multi)
		curl_multi_remove_handle(fr->multi, f->easy);
	curl_slist_free_all(f->headers);
	if (fr->n_spare < SPARE_HANDLES) {
		curl_easy_reset(f->easy);
		fr->spare[fr->n_spare++] = f->easy;
	} else {
		curl_easy_cleanup(f->easy);
	}
	fr->head_bytes -= f->head_bytes;
	f->head_bytes = 0;
	uncount_collected(f);
	list_del(&f->pending_link);
	list_del(&f->link);
	list_add(&fr->free_transfers, &f->link);
}

static void fetch_finish(struct fetch *f, CURLcode rc)
{
	/* libcurl takes a head that ends early for a whole answer. */
	if (rc == CURLE_OK && !f->status) {
		rc = CURLE_RECV_ERROR;
		f->fault = "answer ended inside its head";
	}
	struct fetch_result r = {
		.status = f->status,
		.error_text = f->fault ? f->fault : curl_easy_strerror(rc)};
	curl_off_t connected = 0;
	long sent = 0, os_errno = 0;

	curl_easy_getinfo(f->easy, CURLINFO_REQUEST_SIZE, &sent);
	curl_easy_getinfo(f->easy, CURLINFO_CONNECT_TIME_T, &connected);
	curl_easy_getinfo(f->easy, CURLINFO_OS_ERRNO, &os_errno);
	r.sent = sent > 0;
	r.connection_refused =
		rc == CURLE_COULDNT_CONNECT && os_errno == ECONNREFUSED;
	if (rc == CURLE_OK)
		r.err = FETCH_OK;
	else if (!r.sent && (rc == CURLE_COULDNT_CONNECT ||
			     (rc == CURLE_OPERATION_TIMEDOUT && !connected)))
		r.err = FETCH_CONNECT;
	else if (rc == CURLE_OPERATION_TIMEDOUT)
		r.err = FETCH_TIMEOUT;
	else
		r.err = FETCH_BROKEN;
	uncount_collected(f);
	if (!f->cancelled) {
		f->ops->done(f->arg, f, &r);
		f->cancelled = 1;
	}
	fetch_end(f);
}

static void apply_pending(struct fetcher *fr)
{
	while (!list_empty(&fr->pending)) {
		struct fetch *f =
			list_first(&fr->pending, struct fetch, pending_link);
		list_del(&f->pending_link);
		if (f->cancelled) {
			fetch_end(f);
			continue;
		}
		if (f->fault) {
			fetch_finish(f, CURLE_WRITE_ERROR);
			continue;
		}
		if (!f->in_multi) {
			f->in_multi = 1;
			if (curl_multi_add_handle(fr->multi, f->easy)) {
				f->in_multi = 0;
				fetch_finish(f, CURLE_FAILED_INIT);
				continue;
			}
		}
		f->burst_bytes = 0;
		if (f->paused != f->paused_in_curl) {
			f->paused_in_curl = f->paused;
			fr->curl_depth++;
			curl_easy_pause(f->easy, f->paused ? CURLPAUSE_RECV
							   : CURLPAUSE_CONT);
			fr->curl_depth--;
		}
	}
}

static void handle_results(struct fetcher *fr)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(fr->multi, &left))) {
		struct fetch *f;

		if (msg->msg != CURLMSG_DONE)
			continue;
		CURLcode rc = msg->data.result;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &f);
		fetch_finish(f, rc);
	}
	apply_pending(fr);
}

static void socket_action(struct fetcher *fr, curl_socket_t fd, int mask)
{
	int running;

	fr->curl_depth++;
	curl_multi_socket_action(fr->multi, fd, mask, &running);
	fr->curl_depth--;
	handle_results(fr);
}

static struct fetch *easy_fetch(CURL *easy)
{
	struct fetch *f = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &f);
	return f;
}

/* Whether the server sends too much that is neither header lines nor body. */
static bool sends_unused_bytes(struct fetch *f)
{
	uint64_t n;

	if (f->fd < 0 || !net_bytes_read(f->fd, &n))
		return false;
	/* Counted too low, or another connection has the descriptor. */
	f->fd_bytes = MIN(f->fd_bytes, n);
	return n - f->fd_bytes >
	       UNUSED_MAX_BYTES + UNUSED_MAX_FACTOR * f->used_bytes;
}

/*
 * libcurl calls this after each series of reads.  It reads on without a return
 * to the loop while the server sends faster than that, so a check outside of
 * libcurl would come too late.
 */
static int on_curl_progress(void *cls, curl_off_t dltotal, curl_off_t dlnow,
			    curl_off_t ultotal, curl_off_t ulnow)
{
	struct fetch *f = cls;
	bool used = f->used_bytes != f->checked_used_bytes;

	(void)dltotal;
	(void)dlnow;
	(void)ultotal;
	(void)ulnow;
	if (f->cancelled || (used && ++f->unchecked < UNUSED_CHECK_INTERVAL))
		return f->cancelled;
	f->unchecked = 0;
	f->checked_used_bytes = f->used_bytes;
	if (!sends_unused_bytes(f))
		return 0;
	f->fault = "bytes that are no answer";
	return 1;
}

static void on_io(EV_P_ ev_io *w, int revents)
{
	struct socket_watch *s = w->data;
	int mask = (revents & EV_READ ? CURL_CSELECT_IN : 0) |
		   (revents & EV_WRITE ? CURL_CSELECT_OUT : 0);

	(void)loop;
	socket_action(s->fr, w->fd, mask);
}

static void on_timer(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	socket_action(w->data, CURL_SOCKET_TIMEOUT, 0);
}

static void on_pending_timer(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	handle_results(w->data);
}

static int on_curl_timer(CURLM *multi, long ms, void *cls)
{
	struct fetcher *fr = cls;

	(void)multi;
	ev_timer_stop(fr->loop, &fr->timer);
	if (ms < 0)
		return 0;
	ev_timer_set(&fr->timer, (double)ms / 1000.0, 0.0);
	ev_timer_start(fr->loop, &fr->timer);
	return 0;
}

static int on_curl_socket(CURL *easy, curl_socket_t fd, int what, void *cls,
			  void *watch_ptr)
{
	struct fetcher *fr = cls;
	struct socket_watch *s = watch_ptr;

	if (what == CURL_POLL_REMOVE) {
		if (s) {
			ev_io_stop(fr->loop, &s->io);
			g_free(s);
			curl_multi_assign(fr->multi, fd, NULL);
		}
		return 0;
	}
	int events = (what & CURL_POLL_IN ? EV_READ : 0) |
		     (what & CURL_POLL_OUT ? EV_WRITE : 0);
	struct fetch *f = easy_fetch(easy);
	if (f && f->fd != fd) {
		f->fd = fd;
		if (!net_bytes_read(fd, &f->fd_bytes))
			f->fd_bytes = 0;
	}
	if (!s) {
		s = g_new0(struct socket_watch, 1);
		s->fr = fr;
		ev_io_init(&s->io, on_io, fd, events);
		s->io.data = s;
		curl_multi_assign(fr->multi, fd, s);
	} else {
		ev_io_stop(fr->loop, &s->io);
		ev_io_set(&s->io, fd, events);
	}
	ev_io_start(fr->loop, &s->io);
	return 0;
}

/* Counts a header line; whether the limits hold. */
static bool count_header(struct fetch *f, size_t n)
{
	struct fetcher *fr = f->fr;

	f->used_bytes += n;
	f->head_bytes += n + HEAD_LINE_OVERHEAD_BYTES;
	fr->head_bytes += n + HEAD_LINE_OVERHEAD_BYTES;
	f->head_lines++;
	return f->head_lines <= HEAD_MAX_LINES &&
	       f->head_bytes <= HEAD_MAX_BYTES &&
	       (fr->head_bytes <= HEADS_MAX_BYTES ||
		f->head_bytes <= HEAD_SMALL_BYTES);
}

static size_t on_curl_header(char *p, size_t size, size_t n, void *cls)
{
	struct fetch *f = cls;
	long status = 0;

	n *= size;
	if (f->cancelled)
		return 0;
	if (!count_header(f, n)) {
		f->fault = "head of the answer too large";
		return 0;
	}
	/* An empty line ends a header block; blocks of 1xx are skipped. */
	if (n > 2 || (n && p[0] != '\r' && p[0] != '\n'))
		return n;
	if (f->status)
		return n; /* of trailers */
	curl_easy_getinfo(f->easy, CURLINFO_RESPONSE_CODE, &status);
	/* No request asks for another protocol, so 101 answers none. */
	if (status_is_interim((int)status) &&
	    status != STATUS_SWITCHING_PROTOCOLS)
		return n;
	if (!status_is_final((int)status)) {
		f->fault = "status of the answer out of range";
		return 0;
	}
	f->status = (int)status;
	if (f->ops->headers)
		f->ops->headers(f->arg, f, f->status);
	return f->cancelled ? 0 : n;
}

/* Counts a part of a body that the owner collects; whether the limits hold. */
static bool count_collected(struct fetch *f, size_t n)
{
	struct fetch *largest = f, *other;

	f->collected_bytes += n;
	f->fr->body_bytes += n;
	if (f->collected_bytes > f->body_max) {
		f->fault = "body too large";
		return false;
	}
	if (f->fr->body_bytes <= BODIES_MAX_BYTES && count_bodies(f->fr))
		return true;
	list_for_each_entry (other, &f->fr->transfers, link)
		if (other->collected_bytes > largest->collected_bytes &&
		    !other->cancelled && !other->fault)
			largest = other;
	largest->fault = "bodies of all answers too large";
	if (largest != f)
		add_pending(largest);
	return largest != f;
}

static size_t on_curl_data(char *p, size_t size, size_t n, void *cls)
{
	struct fetch *f = cls;

	n *= size;
	if (f->cancelled)
		return 0;
	f->used_bytes += n;
	f->burst_bytes += n;
	if (f->fault || (f->body_max && !count_collected(f, n)))
		return 0;
	if (f->ops->data)
		f->ops->data(f->arg, f, p, n);
	if (f->cancelled)
		return 0;
	bool burst = f->burst_bytes > BURST_BYTES;
	if (burst)
		add_pending(f); /* continues, unless its owner paused it */
	if ((f->paused || burst) && !f->paused_in_curl) {
		f->paused_in_curl = 1;
		curl_easy_pause(f->easy, CURLPAUSE_RECV);
	}
	return n;
}

void fetcher_set_budget(struct fetcher *fr, struct membudget *b)
{
	membudget_add(b, &fr->mem, MEMBUDGET_HELD, 0, clock_mono_us());
}

void fetcher_limit_sockets(struct fetcher *fr)
{
	fr->limit_sockets = true;
}

size_t fetcher_paused_bytes(const struct fetcher *fr)
{
	return fr->limit_sockets ? 2 * SOCKBUF_RECEIVE_BYTES : 0;
}

static int on_curl_socket_made(void *cls, curl_socket_t fd, curlsocktype type)
{
	(void)cls;
	(void)type;
	sockbuf_limit(fd);
	return CURL_SOCKOPT_OK;
}

struct fetcher *fetcher_new(struct ev_loop *loop, int max_idle)
{
	struct fetcher *fr = g_new0(struct fetcher, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	fr->loop = loop;
	list_init(&fr->pending);
	list_init(&fr->transfers);
	list_init(&fr->free_transfers);
	fr->multi = curl_multi_init();
	ev_timer_init(&fr->timer, on_timer, 0.0, 0.0);
	ev_timer_init(&fr->pending_timer, on_pending_timer, 0.0, 0.0);
	fr->timer.data = fr->pending_timer.data = fr;
	curl_multi_setopt(fr->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
	curl_multi_setopt(fr->multi, CURLMOPT_SOCKETDATA, fr);
	curl_multi_setopt(fr->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt(fr->multi, CURLMOPT_TIMERDATA, fr);
	curl_multi_setopt(fr->multi, CURLMOPT_PIPELINING,
			  (long)CURLPIPE_NOTHING);
	if (max_idle)
		curl_multi_setopt(fr->multi, CURLMOPT_MAXCONNECTS,
				  (long)max_idle);
	return fr;
}

void fetcher_free(struct fetcher *fr)
{
	struct list *pos, *tmp;

	assert(!fr->curl_depth);
	list_for_each_safe (pos, tmp, &fr->transfers)
		fetch_end(list_entry(pos, struct fetch, link));
	membudget_remove(&fr->mem);
	list_for_each_safe (pos, tmp, &fr->free_transfers)
		g_free(list_entry(pos, struct fetch, link));
	while (fr->n_spare)
		curl_easy_cleanup(fr->spare[--fr->n_spare]);
	curl_multi_cleanup(fr->multi);
	ev_timer_stop(fr->loop, &fr->timer);
	ev_timer_stop(fr->loop, &fr->pending_timer);
	g_free(fr);
}

static void add_header(struct fetch *f, const char *line)
{
	f->headers = curl_slist_append(f->headers, line);
}

static void set_headers(struct fetch *f, const struct fetch_spec *spec)
{
	int has_type = 0;

	for (const char *const *h = spec->headers; h && h[0]; h += 2) {
		/* "Name;" is libcurl's form of an empty value. */
		g_autofree char *line =
			h[1][0] ? g_strdup_printf("%s: %s", h[0], h[1])
				: g_strdup_printf("%s;", h[0]);
		add_header(f, line);
		has_type |= !strcasecmp(h[0], "Content-Type");
	}
	/* Suppresses the headers that libcurl adds by default. */
	if (!has_type)
		add_header(f, "Content-Type:");
	add_header(f, "Expect:");
	add_header(f, "Accept:");
	curl_easy_setopt(f->easy, CURLOPT_HTTPHEADER, f->headers);
}

static void set_method(struct fetch *f, const struct fetch_spec *spec)
{
	int repeatable = !(spec->flags & FETCH_NEW_CONNECTION) &&
			 ((spec->flags & FETCH_REPEATABLE) ||
			  !strcmp(spec->method, "GET") ||
			  !strcmp(spec->method, "HEAD") ||
			  !strcmp(spec->method, "DELETE"));

	if (!strcmp(spec->method, "POST") || spec->body_len) {
		curl_easy_setopt(f->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)spec->body_len);
		curl_easy_setopt(f->easy, CURLOPT_COPYPOSTFIELDS,
				 spec->body_len ? spec->body : "");
	}
	if (!strcmp(spec->method, "HEAD"))
		curl_easy_setopt(f->easy, CURLOPT_NOBODY, 1L);
	else
		curl_easy_setopt(f->easy, CURLOPT_CUSTOMREQUEST, spec->method);
	if (!repeatable) {
		curl_easy_setopt(f->easy, CURLOPT_FRESH_CONNECT, 1L);
		/* Leaves the connection pool to requests that reuse it. */
		curl_easy_setopt(f->easy, CURLOPT_FORBID_REUSE, 1L);
	}
}

static struct fetch *fetch_alloc(struct fetcher *fr)
{
	if (list_empty(&fr->free_transfers))
		return g_new0(struct fetch, 1);
	struct fetch *f = list_first(&fr->free_transfers, struct fetch, link);
	list_del(&f->link);
	memset(f, 0, sizeof(*f));
	return f;
}

struct fetch *fetch_start(struct fetcher *fr, const struct fetch_spec *spec,
			  const struct fetch_ops *ops, void *arg)
{
	struct fetch *f = fetch_alloc(fr);
	CURL *e = fr->n_spare ? fr->spare[--fr->n_spare] : curl_easy_init();

	f->fr = fr;
	f->fd = -1;
	f->body_max = spec->body_max ? spec->body_max
		      : ops->data    ? 0
				     : UNREAD_BODY_MAX_BYTES;
	f->easy = e;
	f->ops = ops;
	f->arg = arg;
	list_init(&f->pending_link);
	list_add_tail(&fr->transfers, &f->link);
	curl_easy_setopt(e, CURLOPT_PRIVATE, f);
	curl_easy_setopt(e, CURLOPT_URL, spec->url);
	if (spec->target)
		curl_easy_setopt(e, CURLOPT_REQUEST_TARGET, spec->target);
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(e, CURLOPT_BUFFERSIZE, RECV_BUFFER_BYTES);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS,
			 spec->connect_timeout_ms
				 ? (long)spec->connect_timeout_ms
				 : DEFAULT_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)spec->timeout_ms);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_curl_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, f);
	curl_easy_setopt(e, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(e, CURLOPT_XFERINFOFUNCTION, on_curl_progress);
	curl_easy_setopt(e, CURLOPT_XFERINFODATA, f);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_curl_data);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, f);
	if (fr->limit_sockets)
		curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION,
				 on_curl_socket_made);
	set_method(f, spec);
	set_headers(f, spec);
	add_pending(f);
	return f;
}

void fetch_cancel(struct fetch *f)
{
	f->cancelled = 1;
	if (f->fr->curl_depth)
		add_pending(f);
	else
		fetch_end(f);
}

void fetch_limit_body(struct fetch *f, size_t body_max)
{
	f->body_max = body_max;
}

void fetch_pause(struct fetch *f)
{
	f->paused = 1;
	add_pending(f);
}

void fetch_resume(struct fetch *f)
{
	f->paused = 0;
	add_pending(f);
}

const char *fetch_header(struct fetch *f, const char *name)
{
	struct curl_header *h;

	if (curl_easy_header(f->easy, name, 0, CURLH_HEADER, -1, &h))
		return NULL;
	return h->value;
}

void fetch_each_header(struct fetch *f,
		       void (*fn)(const char *name, const char *value,
				  void *arg),
		       void *arg)
{
	struct curl_header *h = NULL;

	while ((h = curl_easy_nextheader(f->easy, CURLH_HEADER, -1, h)))
		fn(h->name, h->value, arg);
}
