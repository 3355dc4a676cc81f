#include "net/peer_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/err.h"
#include "obs/counter.h"

#define READ_BYTES (64 * 1024)

/* While the other side is not verified: two of the largest frames. */
#define UNVERIFIED_READ_BYTES (2 * FRAME_HELLO_MAX_BYTES)

/* Of a connection and its socket, besides its buffers. */
#define CONN_BYTES 4096

/* Maximum reads per wake-up, so that one busy peer cannot starve others. */
#define READS_PER_WAKEUP 4

int peer_addr_parse(const char *text, struct sockaddr_storage *ss,
		    socklen_t *len)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)ss;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)ss;
	char ip[INET6_ADDRSTRLEN];
	const char *colon = strrchr(text, ':');
	const char *end;
	char *rest;

	memset(ss, 0, sizeof(*ss));
	if (!colon || colon[1] < '0' || colon[1] > '9')
		return -MW_EINVAL;
	unsigned long port = strtoul(colon + 1, &rest, 10);
	if (*rest || port > 65535)
		return -MW_EINVAL;
	end = colon;
	int is_v6 = *text == '[' && colon > text && colon[-1] == ']';
	if (is_v6) {
		text++;
		end--;
	}
	if (end - text >= (ptrdiff_t)sizeof(ip))
		return -MW_EINVAL;
	memcpy(ip, text, (size_t)(end - text));
	ip[end - text] = '\0';
	if (is_v6) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons((uint16_t)port);
		*len = sizeof(*v6);
		return inet_pton(AF_INET6, ip, &v6->sin6_addr) == 1
			       ? 0
			       : -MW_EINVAL;
	}
	v4->sin_family = AF_INET;
	v4->sin_port = htons((uint16_t)port);
	*len = sizeof(*v4);
	return inet_pton(AF_INET, ip, &v4->sin_addr) == 1 ? 0 : -MW_EINVAL;
}

void peer_addr_format(const struct sockaddr_storage *ss, char *out, size_t n)
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)ss;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)ss;
	char ip[INET6_ADDRSTRLEN] = "";

	if (ss->ss_family == AF_INET6) {
		inet_ntop(AF_INET6, &v6->sin6_addr, ip, sizeof(ip));
		snprintf(out, n, "[%s]:%u", ip, ntohs(v6->sin6_port));
		return;
	}
	inet_ntop(AF_INET, &v4->sin_addr, ip, sizeof(ip));
	snprintf(out, n, "%s:%u", ip, ntohs(v4->sin_port));
}

static ev_tstamp ms_to_seconds(int ms)
{
	return ms / 1000.0;
}

static void mark_dirty(struct conn *c)
{
	if (list_empty(&c->in_dirty))
		list_add_tail(&c->net->dirty, &c->in_dirty);
}

void conn_fail(struct conn *c, int err)
{
	if (!c->err)
		c->err = err;
	mark_dirty(c);
}

/* The buffers keep within their own bounds if there is no room. */
static void count_memory(struct conn *c)
{
	membudget_set(&c->mem,
		      CONN_BYTES + buf_unread(&c->in) + buf_unread(&c->out),
		      clock_mono_us());
}

static void on_shed(void *arg)
{
	conn_fail(arg, -MW_ELIMIT);
}

/* Not before it is verified may a connection keep memory from callers. */
static void add_memory(struct conn *c)
{
	int64_t now = clock_mono_us();
	bool accepted = c->frame.side == FRAME_ACCEPTER;

	if (!c->net->cfg.budget)
		return;
	c->mem.shed = on_shed;
	c->mem.arg = c;
	membudget_add(c->net->cfg.budget, &c->mem,
		      accepted ? MEMBUDGET_ARRIVING : MEMBUDGET_HELD, 0, now);
	/* What the first frames may take counts before they arrive. */
	if (!membudget_set(&c->mem,
			   CONN_BYTES + (accepted ? UNVERIFIED_READ_BYTES : 0),
			   now) &&
	    accepted)
		on_shed(c);
}

int conn_send(struct conn *c, Mw__Frame *f)
{
	struct ev_loop *loop = c->net->cfg.loop;

	if (c->err)
		return -MW_EIO;
	if (buf_unread(&c->out) > c->net->cfg.max_unsent_bytes) {
		conn_fail(c, -MW_EQUEUEFULL);
		return -MW_EIO;
	}
	if (!buf_unread(&c->out))
		c->last_progress = ev_now(loop);
	f->hlc = hlc_now(c->net->cfg.hlc, clock_wall_us());
	int err = frame_encode(&c->frame, f, &c->out);
	if (err < 0)
		return err;
	c->last_tx = ev_now(loop);
	if (c->peer)
		c->peer->stats.frames_out++;
	counter_add(C_PEER_FRAMES, "out", 1);
	if (c->peer)
		count_memory(c);
	mark_dirty(c);
	return 0;
}

static int send_hello(struct conn *c)
{
	const struct peer_net *n = c->net;
	Mw__Hello hello = MW__HELLO__INIT;
	Mw__Frame f = MW__FRAME__INIT;

	hello.host = n->host;
	hello.dc = n->dc;
	hello.role = n->role;
	hello.incarnation = n->cfg.incarnation;
	hello.peer_addr = n->peer_addr;
	hello.admin_addr = n->admin_addr;
	hello.voter = n->cfg.voter;
	f.body_case = MW__FRAME__BODY_HELLO;
	f.hello = &hello;
	return conn_send(c, &f);
}

/*
 * Sends a frame without body: a keep-alive, and the dialer's proof that it
 * holds the key.
 */
static int send_ping(struct conn *c)
{
	Mw__Frame f = MW__FRAME__INIT;

	return conn_send(c, &f);
}

/* Writes until the socket would block; returns 0 or an error. */
static int conn_write(struct conn *c)
{
	struct ev_loop *loop = c->net->cfg.loop;

	while (buf_unread(&c->out)) {
		ssize_t n = send(c->fd, buf_head(&c->out), buf_unread(&c->out),
				 MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			ev_io_start(loop, &c->write_watch);
			return 0;
		}
		if (n < 0)
			return -MW_EIO;
		c->last_progress = ev_now(loop);
		if (c->peer)
			c->peer->stats.bytes_out += (uint64_t)n;
		counter_add(C_PEER_BYTES, "out", (uint64_t)n);
		buf_consume(&c->out, (size_t)n);
		if (c->peer)
			count_memory(c);
	}
	ev_io_stop(loop, &c->write_watch);
	return 0;
}

void conn_flush(struct conn *c)
{
	list_del(&c->in_dirty);
	int err = c->err;
	if (!err && !c->connecting && !ev_is_active(&c->write_watch))
		err = conn_write(c);
	if (err)
		peer_conn_closed(c, err);
}

static int handle_hello(struct conn *c, Mw__Frame *f)
{
	c->hello = f;
	return c->frame.side == FRAME_ACCEPTER ? send_hello(c) : send_ping(c);
}

/* Handles all complete frames in the receive buffer; returns 0 or an error. */
static int conn_decode(struct conn *c)
{
	Mw__Frame *f;
	int err = 0;

	while (!err && !(err = c->err)) {
		size_t before = buf_unread(&c->in);
		int rc = frame_decode(&c->frame, &c->in, &f);
		if (rc <= 0)
			return rc;
		hlc_observe(c->net->cfg.hlc, clock_wall_us(), f->hlc);
		counter_add(C_PEER_FRAMES, "in", 1);
		int is_hello = f->body_case == MW__FRAME__BODY_HELLO;
		if (is_hello)
			err = handle_hello(c, f);
		if (!err && !c->peer && frame_verified(&c->frame))
			err = peer_conn_verified(c);
		if (!err && c->peer) {
			c->peer->stats.bytes_in += before - buf_unread(&c->in);
			c->peer->stats.frames_in++;
		}
		if (is_hello)
			continue; /* f belongs to the connection or the peer */
		if (!err)
			peer_conn_frame(c, f);
		mw__frame__free_unpacked(f, NULL);
	}
	return err;
}

static int conn_read(struct conn *c)
{
	static char chunk[READ_BYTES];

	for (int i = 0; i < READS_PER_WAKEUP; i++) {
		size_t most = c->peer ? sizeof(chunk) : UNVERIFIED_READ_BYTES;
		ssize_t n = recv(c->fd, chunk, most, 0);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			return 0;
		if (n <= 0)
			return -MW_EIO;
		c->last_rx = ev_now(c->net->cfg.loop);
		counter_add(C_PEER_BYTES, "in", (uint64_t)n);
		buf_add(&c->in, chunk, (size_t)n);
		int err = conn_decode(c);
		if (err < 0)
			return err;
		if (c->peer)
			count_memory(c);
		if (n < (ssize_t)most)
			return 0;
	}
	return 0;
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct conn *c = w->data;
	(void)loop;
	(void)events;
	int err = conn_read(c);
	if (err < 0)
		peer_conn_closed(c, err);
}

static void start_check_timer(struct conn *c)
{
	const struct peer_config *cfg = &c->net->cfg;
	/* At half the ping period both limits are exceeded only a little. */
	ev_tstamp interval =
		ms_to_seconds(MIN(cfg->ping_ms, cfg->silence_ms / 2)) / 2;

	ev_timer_stop(cfg->loop, &c->check_timer);
	ev_timer_set(&c->check_timer, interval, interval);
	ev_timer_start(cfg->loop, &c->check_timer);
}

static int conn_connected(struct conn *c)
{
	int err = 0;
	socklen_t len = sizeof(err);

	if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &err, &len) < 0 || err)
		return -MW_EIO;
	c->connecting = 0;
	start_check_timer(c);
	ev_io_start(c->net->cfg.loop, &c->read_watch);
	return send_hello(c);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	struct conn *c = w->data;
	int err = 0;
	(void)loop;
	(void)events;
	if (c->connecting)
		err = conn_connected(c);
	if (!err)
		err = conn_write(c);
	if (err < 0)
		peer_conn_closed(c, err);
}

/*
 * Returns an error if the other side has sent nothing for silence_ms, has not
 * read for as long, or is not verified in that time; sends keep-alives.
 */
static int check_timeouts(struct conn *c)
{
	const struct peer_config *cfg = &c->net->cfg;
	ev_tstamp now = ev_now(cfg->loop);
	ev_tstamp limit = ms_to_seconds(cfg->silence_ms);

	if (!c->peer)
		return now - c->started_at >= limit ? -MW_ETIMEOUT : 0;
	/*
	 * If this process itself was paused, frames are still in the socket
	 * buffer: they are read before the other side counts as silent.
	 */
	int err = conn_read(c);
	if (err < 0)
		return err;
	err = conn_write(c);
	if (err < 0)
		return err;
	if (now - c->last_rx >= limit)
		return -MW_ETIMEOUT;
	if (buf_unread(&c->out) && now - c->last_progress >= limit)
		return -MW_ETIMEOUT;
	if (now - c->last_tx >= ms_to_seconds(cfg->ping_ms))
		return send_ping(c);
	return 0;
}

static void on_check_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct conn *c = w->data;
	(void)loop;
	(void)events;
	int err = c->connecting ? -MW_ETIMEOUT : check_timeouts(c);
	if (err < 0)
		peer_conn_closed(c, err);
}

static struct conn *conn_new(struct peer_net *n, int fd, enum frame_side side,
			     const char *addr)
{
	const struct peer_config *cfg = &n->cfg;
	struct conn *c = g_new0(struct conn, 1);
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->net = n;
	c->fd = fd;
	g_strlcpy(c->addr, addr, sizeof(c->addr));
	frame_init(&c->frame, &n->key, side);
	list_add_tail(&n->conns, &c->in_net);
	list_init(&c->in_peer);
	list_init(&c->in_dirty);
	list_init(&c->calls);
	c->started_at = c->last_rx = c->last_tx = ev_now(cfg->loop);
	ev_io_init(&c->read_watch, on_readable, fd, EV_READ);
	ev_io_init(&c->write_watch, on_writable, fd, EV_WRITE);
	c->read_watch.data = c->write_watch.data = c;
	ev_init(&c->check_timer, on_check_timer);
	c->check_timer.data = c;
	start_check_timer(c);
	n->n_conns++;
	n->n_unverified += side == FRAME_ACCEPTER;
	add_memory(c);
	return c;
}

struct conn *conn_accepted(struct peer_net *n, int fd, const char *addr)
{
	struct conn *c = conn_new(n, fd, FRAME_ACCEPTER, addr);

	ev_io_start(n->cfg.loop, &c->read_watch);
	return c;
}

struct conn *conn_dial(struct peer_net *n, struct dial_target *d)
{
	struct sockaddr_storage ss;
	socklen_t len = 0;

	if (peer_addr_parse(d->addr, &ss, &len) < 0)
		return NULL;
	int fd = socket(ss.ss_family,
			SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&ss, len) < 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	struct conn *c = conn_new(n, fd, FRAME_DIALER, d->addr);
	c->dial = d;
	c->connecting = 1;
	ev_timer_stop(n->cfg.loop, &c->check_timer);
	ev_timer_set(&c->check_timer, ms_to_seconds(n->cfg.connect_ms), 0.);
	ev_timer_start(n->cfg.loop, &c->check_timer);
	ev_io_start(n->cfg.loop, &c->write_watch);
	return c;
}

void conn_free(struct conn *c)
{
	struct ev_loop *loop = c->net->cfg.loop;

	/* Queued frames are sent as far as the socket accepts them now. */
	if (c->peer && !c->err)
		conn_write(c);
	ev_io_stop(loop, &c->read_watch);
	ev_io_stop(loop, &c->write_watch);
	ev_timer_stop(loop, &c->check_timer);
	list_del(&c->in_net);
	list_del(&c->in_peer);
	list_del(&c->in_dirty);
	close(c->fd);
	c->net->n_conns--;
	if (!c->peer && c->frame.side == FRAME_ACCEPTER)
		c->net->n_unverified--;
	if (c->hello)
		mw__frame__free_unpacked(c->hello, NULL);
	membudget_remove(&c->mem);
	buf_release(&c->in);
	buf_release(&c->out);
	g_free(c);
}
