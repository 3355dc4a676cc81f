/*
 * mw-relay: a TCP relay that can delay, or cut silently.
 *
 * Each --link NAME=LISTEN_IP:PORT>IP:PORT,... listens and relays.  Control by
 * HTTP, POST /link/NAME with JSON:
 *   {"cut":"both"|"up"|"down"|"none"}  swallow bytes, keep connections open;
 *     with "hold":true, bytes are kept and delivered after the cut
 *   {"delay_ms":N}                     added one-way delay in each direction
 *   {"close":true}                     close all connections now
 * "up" is from the connecting side to the target.  GET /links shows state and
 * byte counts.  NAME "*" stands for all links.  While a link is cut, new
 * connections are accepted but not relayed, as on a path that drops packets;
 * when it is restored they are connected.  Bytes swallowed are lost, so a
 * connection that lost bytes is closed when the cut ends.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/buf.h"
#include "base/cleanup.h"
#include "base/clock.h"
#include "base/list.h"
#include "base/log.h"
#include "standin/args.h"
#include "standin/reply.h"

/* Bytes that may wait in one direction; then the source is not read. */
#define PIPE_MAX (1024 * 1024)
#define READ_BYTES 65536
#define CUT_UP 1
#define CUT_DOWN 2

struct chunk {
	struct chunk *next;
	int64_t due;
	size_t len, off;
	char data[];
};

struct conn;

/* One direction: bytes read from src, sent to dst when they are due. */
struct pipe {
	struct conn *c;
	ev_io in;
	ev_io out;
	ev_timer timer;
	struct chunk *head, **tail;
	size_t queued;
	int dir; /* CUT_UP or CUT_DOWN */
	int eof; /* src has ended */
	int eof_sent;
};

struct link;

struct conn {
	struct list link;
	struct link *l;
	int fd[2]; /* the connecting side, the target (-1: not connected) */
	struct pipe up, down;
	int connecting;
	int lost_bytes; /* during a cut */
};

struct link {
	struct list link;
	char *name, *listen, *target;
	int fd;
	ev_io accept;
	struct sockaddr_in to;
	struct list conns;
	int nconns;
	int cut;
	int hold; /* a cut keeps the bytes */
	int delay_ms;
	int64_t bytes[2], swallowed[2];
};

static struct list links = LIST_INIT(links);
/* Closed connections; freed between two turns of the loop, so that callbacks
 * and loops over a link's connections may go on using them. */
static struct list closed = LIST_INIT(closed);
static ev_prepare reaper;
static struct ev_loop *the_loop;
static char **link_specs;
static char *control = "127.0.0.1:0";

static void conn_close(struct conn *c)
{
	struct pipe *pipes[] = {&c->up, &c->down};

	for (int i = 0; i < 2; i++) {
		struct chunk *k = pipes[i]->head, *next;
		ev_io_stop(the_loop, &pipes[i]->in);
		ev_io_stop(the_loop, &pipes[i]->out);
		ev_timer_stop(the_loop, &pipes[i]->timer);
		for (; k; k = next) {
			next = k->next;
			free(k);
		}
		pipes[i]->head = NULL;
		if (c->fd[i] >= 0)
			close(c->fd[i]);
	}
	list_del(&c->link);
	c->l->nconns--;
	list_add_tail(&closed, &c->link);
}

static void on_reap(EV_P_ ev_prepare *w, int revents)
{
	struct list *pos, *tmp;

	(void)loop;
	(void)w;
	(void)revents;
	list_for_each_safe (pos, tmp, &closed)
		free(list_entry(pos, struct conn, link));
	list_init(&closed);
}

static int pipe_src(const struct pipe *p)
{
	return p->c->fd[p->dir == CUT_UP ? 0 : 1];
}

static int pipe_dst(const struct pipe *p)
{
	return p->c->fd[p->dir == CUT_UP ? 1 : 0];
}

static int pipe_is_cut(const struct pipe *p)
{
	return (p->c->l->cut & p->dir) != 0;
}

/* Sends what is due; returns 0 if the connection was closed. */
static int pipe_flush(struct pipe *p)
{
	struct conn *c = p->c;
	int64_t now = clock_mono_us();

	/* While connecting, up.out waits for the connection. */
	if (c->connecting || pipe_dst(p) < 0)
		return 1;
	ev_io_stop(the_loop, &p->out);
	ev_timer_stop(the_loop, &p->timer);
	if (pipe_is_cut(p))
		return 1;
	while (p->head) {
		struct chunk *k = p->head;
		if (k->due > now) {
			ev_timer_set(&p->timer, (double)(k->due - now) / 1e6,
				     0.0);
			ev_timer_start(the_loop, &p->timer);
			break;
		}
		ssize_t n = send(pipe_dst(p), k->data + k->off, k->len - k->off,
				 MSG_NOSIGNAL);
		if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
			ev_io_start(the_loop, &p->out);
			break;
		}
		if (n < 0) {
			conn_close(c);
			return 0;
		}
		k->off += (size_t)n;
		p->queued -= (size_t)n;
		c->l->bytes[p->dir == CUT_UP ? 0 : 1] += n;
		if (k->off < k->len)
			continue;
		p->head = k->next;
		if (!p->head)
			p->tail = &p->head;
		free(k);
	}
	if (p->eof && !p->head && !p->eof_sent) {
		p->eof_sent = 1;
		shutdown(pipe_dst(p), SHUT_WR);
		if (c->up.eof_sent && c->down.eof_sent) {
			conn_close(c);
			return 0;
		}
	}
	if (!p->eof && p->queued < PIPE_MAX)
		ev_io_start(the_loop, &p->in);
	return 1;
}

static void on_readable(EV_P_ ev_io *w, int revents)
{
	struct pipe *p = w->data;
	struct conn *c = p->c;
	struct chunk *k = malloc(sizeof(*k) + READ_BYTES);

	(void)revents;
	if (!k)
		abort();
	ssize_t n = recv(pipe_src(p), k->data, READ_BYTES, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
		free(k);
		return;
	}
	if (n <= 0) {
		free(k);
		ev_io_stop(EV_A_ w);
		if (pipe_is_cut(p) && !c->l->hold) {
			/* The other side must not learn of it now. */
			c->lost_bytes = 1;
		} else if (n < 0) {
			conn_close(c);
		} else {
			p->eof = 1;
			pipe_flush(p);
		}
		return;
	}
	if (pipe_is_cut(p) && !c->l->hold) {
		c->l->swallowed[p->dir == CUT_UP ? 0 : 1] += n;
		c->lost_bytes = 1;
		free(k);
		return;
	}
	struct chunk *fit = realloc(k, sizeof(*k) + (size_t)n);
	k = fit ? fit : k;
	k->next = NULL;
	k->off = 0;
	k->len = (size_t)n;
	k->due = clock_mono_us() + c->l->delay_ms * USEC_PER_MSEC;
	*p->tail = k;
	p->tail = &k->next;
	p->queued += (size_t)n;
	if (p->queued >= PIPE_MAX)
		ev_io_stop(EV_A_ w);
	if (p->head == k)
		pipe_flush(p);
}

static void on_timer(EV_P_ ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	pipe_flush(w->data);
}

static void on_writable(EV_P_ ev_io *w, int revents)
{
	struct pipe *p = w->data;
	struct conn *c = p->c;
	int err = 0;
	socklen_t len = sizeof(err);

	(void)revents;
	if (p == &c->up && c->connecting) {
		ev_io_stop(EV_A_ w);
		getsockopt(c->fd[1], SOL_SOCKET, SO_ERROR, &err, &len);
		if (err) {
			conn_close(c);
			return;
		}
		c->connecting = 0;
		ev_io_start(EV_A_ & c->down.in);
	}
	pipe_flush(p);
}

static void connect_target(struct conn *c)
{
	int one = 1;

	c->fd[1] =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->fd[1] < 0 || (connect(c->fd[1], (struct sockaddr *)&c->l->to,
				     sizeof(c->l->to)) &&
			     errno != EINPROGRESS)) {
		conn_close(c);
		return;
	}
	setsockopt(c->fd[1], IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c->connecting = 1;
	ev_io_set(&c->up.out, c->fd[1], EV_WRITE);
	ev_io_set(&c->down.in, c->fd[1], EV_READ);
	ev_io_start(the_loop, &c->up.out);
}

static void pipe_init(struct pipe *p, struct conn *c, int dir)
{
	p->c = c;
	p->dir = dir;
	p->tail = &p->head;
	ev_io_init(&p->in, on_readable, c->fd[0], EV_READ);
	ev_io_init(&p->out, on_writable, c->fd[0], EV_WRITE);
	ev_timer_init(&p->timer, on_timer, 0.0, 0.0);
	p->in.data = p->out.data = p->timer.data = p;
}

static void on_accept(EV_P_ ev_io *w, int revents)
{
	struct link *l = w->data;
	int one = 1;
	int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)revents;
	if (fd < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	struct conn *c = g_new0(struct conn, 1);
	c->l = l;
	c->fd[0] = fd;
	c->fd[1] = -1;
	pipe_init(&c->up, c, CUT_UP);
	pipe_init(&c->down, c, CUT_DOWN);
	list_add_tail(&l->conns, &c->link);
	l->nconns++;
	ev_io_start(EV_A_ & c->up.in);
	if (!l->cut)
		connect_target(c);
}

/* Connections that lost bytes cannot go on; the others do. */
static void restore(struct link *l)
{
	struct conn *c, *tmp;

	list_for_each_entry_safe (c, tmp, &l->conns, link) {
		if (c->lost_bytes)
			conn_close(c);
		else if (c->fd[1] < 0)
			connect_target(c);
		else if (pipe_flush(&c->up))
			pipe_flush(&c->down);
	}
}

static void set_cut(struct link *l, const char *cut)
{
	if (!strcmp(cut, "both"))
		l->cut = CUT_UP | CUT_DOWN;
	else if (!strcmp(cut, "up"))
		l->cut = CUT_UP;
	else if (!strcmp(cut, "down"))
		l->cut = CUT_DOWN;
	else
		l->cut = 0;
	if (!l->cut)
		restore(l);
}

static void apply(struct link *l, const json_t *j)
{
	struct conn *c, *tmp;

	if (json_is_true(json_object_get(j, "close")))
		list_for_each_entry_safe (c, tmp, &l->conns, link)
			conn_close(c);
	l->delay_ms = (int)json_int(j, "delay_ms", l->delay_ms);
	l->hold = json_is_true(json_object_get(j, "hold"));
	if (json_str(j, "cut", NULL))
		set_cut(l, json_str(j, "cut", ""));
}

static json_t *show_links(void)
{
	static const char *const cuts[] = {"none", "up", "down", "both"};
	json_t *out = json_object();
	struct link *l;

	list_for_each_entry (l, &links, link)
		json_object_set_new(
			out, l->name,
			json_pack("{s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:I,s:I}",
				  "listen", l->listen, "target", l->target,
				  "cut", cuts[l->cut], "delay_ms", l->delay_ms,
				  "connections", l->nconns, "bytes_up",
				  (json_int_t)l->bytes[0], "bytes_down",
				  (json_int_t)l->bytes[1], "swallowed_up",
				  (json_int_t)l->swallowed[0], "swallowed_down",
				  (json_int_t)l->swallowed[1]));
	return out;
}

static void handle(void *ctx, struct httpd_req *req)
{
	static const char prefix[] = "/link/";
	const char *path = httpd_path(req);
	struct link *l;
	int found = 0;

	(void)ctx;
	if (!strcmp(path, "/links")) {
		reply_json(req, 200, show_links());
		return;
	}
	AUTO_JSON json_t *j = reply_parse(req);
	if (j && !strncmp(path, prefix, strlen(prefix))) {
		const char *name = path + strlen(prefix);
		list_for_each_entry (l, &links, link) {
			if (strcmp(name, "*") != 0 &&
			    strcmp(name, l->name) != 0)
				continue;
			apply(l, j);
			found = 1;
		}
	}
	if (found)
		reply_json(req, 200, show_links());
	else
		reply_error(req, 404, 1, "not_found", "no such link");
}

static int to_sockaddr(const char *s, struct sockaddr_in *sa)
{
	char ip[64];
	int port;

	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	if (args_addr(s, ip, &port) ||
	    inet_pton(AF_INET, ip, &sa->sin_addr) != 1)
		return -1;
	sa->sin_port = htons((uint16_t)port);
	return 0;
}

/* NAME=LISTEN>TARGET */
static int link_new(const char *spec)
{
	g_auto(GStrv) a = g_strsplit(spec, "=", 2);
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);
	int one = 1;

	if (g_strv_length(a) != 2)
		return -1;
	g_auto(GStrv) b = g_strsplit(a[1], ">", 2);
	struct link *l = g_new0(struct link, 1);
	list_add_tail(&links, &l->link);
	list_init(&l->conns);
	if (g_strv_length(b) != 2 || to_sockaddr(b[0], &sa) ||
	    to_sockaddr(b[1], &l->to))
		return -1;
	l->name = g_strdup(a[0]);
	l->listen = g_strdup(b[0]);
	l->target = g_strdup(b[1]);
	l->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(l->fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(l->fd, 256) || getsockname(l->fd, (void *)&sa, &len))
		return -1;
	log_info("relay", "%s listens on port %d", l->name, ntohs(sa.sin_port));
	ev_io_init(&l->accept, on_accept, l->fd, EV_READ);
	l->accept.data = l;
	ev_io_start(the_loop, &l->accept);
	return 0;
}

static const GOptionEntry options[] = {
	{"link", 0, 0, G_OPTION_ARG_STRING_ARRAY, &link_specs,
	 "NAME=IP:PORT>IP:PORT, may be repeated", "SPEC"},
	{"control", 0, 0, G_OPTION_ARG_STRING, &control, "control address",
	 "IP:PORT"},
	{NULL, 0, 0, 0, NULL, NULL, NULL}};

int main(int argc, char **argv)
{
	static struct httpd *server;
	char ip[64];
	int port;

	the_loop = ev_default_loop(EVFLAG_AUTO);
	ev_prepare_init(&reaper, on_reap);
	ev_prepare_start(the_loop, &reaper);
	args_parse(&argc, &argv, "TCP relay with faults.", options);
	log_setup("mw-relay", LOG_INFO);
	signal(SIGPIPE, SIG_IGN);
	for (char **s = link_specs; s && *s; s++) {
		if (link_new(*s)) {
			log_error("relay", "bad link: %s", *s);
			return EXIT_FAILURE;
		}
	}
	if (args_addr(control, ip, &port) ||
	    httpd_new(the_loop, ip, port, NULL, handle, NULL, &server))
		return EXIT_FAILURE;
	log_info("relay", "control listens on %s:%d", ip, httpd_port(server));
	ev_run(the_loop, 0);
	return EXIT_SUCCESS;
}
