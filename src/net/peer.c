#include "net/peer_int.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <sodium.h>

#include "base/cleanup.h"
#include "base/err.h"
#include "base/clock.h"
#include "base/log.h"
#include "obs/counter.h"

#define PART "peer"

/*
 * Maximum accepted connections whose other side has not proved yet that it
 * holds the key; more are closed at once.
 */
#define MAX_UNVERIFIED 256

/* Maximum connections with one peer; two are normal if both sides dial. */
#define MAX_CONNS_PER_PEER 4

/* Pause of accept() after an error such as no free file descriptors. */
#define ACCEPT_PAUSE_S 0.1

/* A verified connection that lasted this long resets the redial delay. */
#define BACKOFF_RESET_S 1.0

struct call {
	struct list in_conn; /* conn.calls */
	struct peer_net *net;
	uint64_t rpc_id, peer_id;
	int64_t sent_us;
	ev_timer timer;
	peer_reply_fn fn;
	void *ctx;
};

/* ---- calls -------------------------------------------------------------- */

static void call_free(void *data)
{
	struct call *call = data;

	ev_timer_stop(call->net->cfg.loop, &call->timer);
	list_del(&call->in_conn);
	g_free(call);
}

static void finish_call(struct call *call, int err, const Mw__Frame *reply)
{
	peer_reply_fn fn = call->fn;
	void *ctx = call->ctx;

	/* Removed first, since fn may cancel calls and start new ones. */
	g_hash_table_remove(call->net->calls, &call->rpc_id);
	fn(err, reply, ctx);
}

static void on_call_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	struct call *call = w->data;
	struct peer *p = g_hash_table_lookup(call->net->by_id, &call->peer_id);
	(void)loop;
	(void)events;
	if (p)
		p->stats.timeouts++;
	counter_add(C_PEER_CALL_TIMEOUTS, NULL, 1);
	finish_call(call, -MW_ETIMEOUT, NULL);
}

/* Returns the connection for sending, or NULL if all are being closed. */
static struct conn *choose_send_conn(struct peer *p)
{
	struct conn *c;

	if (p->send_conn && !p->send_conn->err)
		return p->send_conn;
	list_for_each_entry (c, &p->conns, in_peer) {
		if (!c->err) {
			p->send_conn = c;
			return c;
		}
	}
	return NULL;
}

static int send_to_peer(struct peer *p, Mw__Frame *f, struct conn **used)
{
	struct conn *c = choose_send_conn(p);

	if (!c)
		return -MW_EIO;
	if (used)
		*used = c;
	return conn_send(c, f);
}

int peer_send(struct peer *p, Mw__Frame *f)
{
	f->rpc = 0;
	f->reply = 0;
	return send_to_peer(p, f, NULL);
}

int peer_call(struct peer *p, Mw__Frame *f, int timeout_ms, peer_reply_fn fn,
	      void *ctx)
{
	struct peer_net *n = p->net;
	struct conn *c = NULL;

	f->rpc = n->next_rpc_id;
	f->reply = 0;
	int err = send_to_peer(p, f, &c);
	if (err < 0)
		return err;
	struct call *call = g_new0(struct call, 1);
	call->net = n;
	call->rpc_id = n->next_rpc_id++;
	call->peer_id = p->id;
	call->sent_us = clock_mono_us();
	call->fn = fn;
	call->ctx = ctx;
	list_add_tail(&c->calls, &call->in_conn);
	g_hash_table_insert(n->calls, &call->rpc_id, call);
	/* The loop's cached time lags if the caller has run for long. */
	ev_now_update(n->cfg.loop);
	ev_timer_init(&call->timer, on_call_timeout, timeout_ms / 1000.0, 0);
	call->timer.data = call;
	ev_timer_start(n->cfg.loop, &call->timer);
	p->stats.calls++;
	return 0;
}

void peer_cancel(struct peer_net *n, const void *ctx)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->calls);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((struct call *)value)->ctx == ctx)
			g_hash_table_iter_remove(&it);
}

struct peer_rpc peer_rpc(const struct peer *p, const Mw__Frame *f)
{
	return (struct peer_rpc){p->id, f->rpc};
}

int peer_reply(struct peer_net *n, struct peer_rpc to, Mw__Frame *reply)
{
	struct peer *p = g_hash_table_lookup(n->by_id, &to.peer);

	if (!p)
		return -MW_ENOTFOUND;
	reply->rpc = to.rpc;
	reply->reply = 1;
	return send_to_peer(p, reply, NULL);
}

void peer_conn_frame(struct conn *c, const Mw__Frame *f)
{
	struct peer_net *n = c->net;
	struct peer *p = c->peer;

	if (f->reply) {
		struct call *call = g_hash_table_lookup(n->calls, &f->rpc);
		if (!call || call->peer_id != p->id) {
			p->stats.late_replies++;
			return;
		}
		counter_observe(C_PEER_CALL_US, NULL,
				clock_mono_us() - call->sent_us);
		finish_call(call, 0, f);
		return;
	}
	if (f->body_case == MW__FRAME__BODY__NOT_SET && !f->rpc)
		return; /* keep-alive */
	n->cfg.ops.frame(p, f, n->cfg.ctx);
}

/* ---- peers -------------------------------------------------------------- */

static void peer_free(struct peer *p)
{
	mw__frame__free_unpacked(p->hello, NULL);
	g_free(p);
}

static struct peer *peer_new(struct conn *c)
{
	struct peer_net *n = c->net;
	struct peer *p = g_new0(struct peer, 1);

	p->net = n;
	p->id = n->next_peer_id++;
	p->hello = steal_ptr(&c->hello);
	list_init(&p->conns);
	list_add_tail(&n->peers, &p->in_net);
	g_hash_table_insert(n->by_host, p->hello->hello->host, p);
	g_hash_table_insert(n->by_id, &p->id, p);
	counter_set(C_PEERS, NULL, g_hash_table_size(n->by_id));
	return p;
}

/* Closes all connections of a peer, which releases it. */
static void peer_close(struct peer *p, int err)
{
	for (int last = 0; !last;) {
		struct conn *c = list_first(&p->conns, struct conn, in_peer);
		last = c->in_peer.next == &p->conns;
		peer_conn_closed(c, err);
	}
}

static void attach_conn(struct peer *p, struct conn *c)
{
	struct conn *oldest;
	int count = 1;

	list_for_each_entry (oldest, &p->conns, in_peer)
		count++;
	if (count > MAX_CONNS_PER_PEER) {
		oldest = list_entry(p->conns.prev, struct conn, in_peer);
		conn_fail(oldest, -MW_ELIMIT);
	}
	c->peer = p;
	membudget_set_kind(&c->mem, MEMBUDGET_HELD, clock_mono_us());
	c->net->n_unverified -= c->frame.side == FRAME_ACCEPTER;
	list_add(&p->conns, &c->in_peer);
	/*
	 * A peer that dials again has closed its earlier connection, although
	 * this side may not have seen the close yet.
	 */
	if (!p->send_conn || (c->frame.side == FRAME_ACCEPTER &&
			      p->send_conn->frame.side == FRAME_ACCEPTER))
		p->send_conn = c;
}

int peer_conn_verified(struct conn *c)
{
	struct peer_net *n = c->net;
	const Mw__Hello *h = c->hello->hello;

	if (!*h->host)
		return -MW_EINVAL;
	if (!strcmp(h->host, n->host)) {
		if (h->incarnation != n->cfg.incarnation)
			log_warn(PART, "%s uses the name of this host, %s",
				 c->addr, h->host);
		return -MW_EINVAL;
	}
	struct peer *p = g_hash_table_lookup(n->by_host, h->host);
	uint64_t current_incarnation = p ? p->hello->hello->incarnation : 0;
	if (p && h->incarnation < current_incarnation) {
		log_warn(PART,
			 "%s at %s refused: incarnation %llu is lower than "
			 "before",
			 h->host, c->addr, (unsigned long long)h->incarnation);
		return -MW_ECONFLICT;
	}
	if (p && h->incarnation > current_incarnation) {
		peer_close(p, -MW_ECANCELLED);
		p = NULL;
	}
	if (p) {
		attach_conn(p, c);
		return 0;
	}
	p = peer_new(c);
	attach_conn(p, c);
	log_info(PART, "%s (%s, %s) is up at %s", h->host, h->role, h->dc,
		 c->addr);
	if (n->cfg.ops.up)
		n->cfg.ops.up(p, n->cfg.ctx);
	return 0;
}

static void schedule_redial(struct dial_target *d, ev_tstamp lifetime_s)
{
	const struct peer_config *cfg = &d->net->cfg;

	d->conn = NULL;
	if (lifetime_s >= BACKOFF_RESET_S)
		d->backoff_ms = cfg->backoff_min_ms;
	/* Jitter: the delay is between half of backoff_ms and all of it. */
	double wait = d->backoff_ms *
		      (0.5 + randombytes_uniform(1000) / 2000.0) / 1000.0;
	d->backoff_ms = MIN(d->backoff_ms * 2, cfg->backoff_max_ms);
	ev_timer_set(&d->retry_timer, wait, 0);
	ev_timer_start(cfg->loop, &d->retry_timer);
}

static void fail_calls(struct list *calls)
{
	while (!list_empty(calls))
		finish_call(list_first(calls, struct call, in_conn), -MW_EIO,
			    NULL);
}

void peer_conn_closed(struct conn *c, int err)
{
	struct peer_net *n = c->net;
	struct peer *p = c->peer;
	struct list calls = LIST_INIT(calls);
	struct list *pos, *tmp;

	counter_add(C_PEER_CLOSED, err_info(err)->kind, 1);
	if (c->dial)
		schedule_redial(c->dial,
				p ? ev_now(n->cfg.loop) - c->started_at : 0);
	if (!p) {
		log_debug(PART, "connection with %s failed: %s", c->addr,
			  err_info(err)->kind);
		conn_free(c);
		return;
	}
	list_for_each_safe (pos, tmp, &c->calls) {
		list_del(pos);
		list_add_tail(&calls, pos);
	}
	if (p->send_conn == c)
		p->send_conn = NULL;
	conn_free(c);
	int last = list_empty(&p->conns);
	if (last) {
		g_hash_table_remove(n->by_host, p->hello->hello->host);
		g_hash_table_remove(n->by_id, &p->id);
		list_del(&p->in_net);
		counter_set(C_PEERS, NULL, g_hash_table_size(n->by_id));
	}
	fail_calls(&calls);
	if (!last)
		return;
	log_info(PART, "%s is down: %s", p->hello->hello->host,
		 err_info(err)->kind);
	if (n->cfg.ops.down)
		n->cfg.ops.down(p, err, n->cfg.ctx);
	peer_free(p);
}

struct peer *peer_find(struct peer_net *n, const char *host)
{
	return g_hash_table_lookup(n->by_host, host);
}

struct peer *peer_find_addr(struct peer_net *n, const char *addr)
{
	struct peer *p;

	list_for_each_entry (p, &n->peers, in_net) {
		if (!strcmp(p->hello->hello->peer_addr, addr))
			return p;
	}
	return NULL;
}

struct peer *peer_next(struct peer_net *n, struct peer *prev)
{
	struct list *next = prev ? prev->in_net.next : n->peers.next;

	return next == &n->peers ? NULL : list_entry(next, struct peer, in_net);
}

const Mw__Hello *peer_hello(const struct peer *p)
{
	return p->hello->hello;
}

void peer_stats(const struct peer *p, struct peer_stats *out)
{
	struct conn *c;

	*out = p->stats;
	list_for_each_entry (c, &p->conns, in_peer) {
		out->conns++;
		out->unsent_bytes += buf_unread(&c->out);
	}
}

/* ---- addresses to dial -------------------------------------------------- */

static void start_dialling(struct dial_target *d)
{
	d->conn = conn_dial(d->net, d);
	if (!d->conn)
		schedule_redial(d, 0);
}

static void on_retry(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	start_dialling(w->data);
}

static struct dial_target *find_dial(struct peer_net *n, const char *addr)
{
	struct dial_target *d;

	list_for_each_entry (d, &n->dials, in_net) {
		if (!strcmp(d->addr, addr))
			return d;
	}
	return NULL;
}

int peer_dial(struct peer_net *n, const char *addr)
{
	struct sockaddr_storage ss;
	socklen_t len = 0;

	if (peer_addr_parse(addr, &ss, &len) < 0)
		return -MW_EINVAL;
	if (find_dial(n, addr))
		return 0;
	struct dial_target *d = g_new0(struct dial_target, 1);
	d->net = n;
	d->backoff_ms = n->cfg.backoff_min_ms;
	g_strlcpy(d->addr, addr, sizeof(d->addr));
	ev_timer_init(&d->retry_timer, on_retry, 0, 0);
	d->retry_timer.data = d;
	list_add_tail(&n->dials, &d->in_net);
	start_dialling(d);
	return 0;
}

static void dial_free(struct dial_target *d)
{
	ev_timer_stop(d->net->cfg.loop, &d->retry_timer);
	list_del(&d->in_net);
	g_free(d);
}

int peer_undial(struct peer_net *n, const char *addr)
{
	struct dial_target *d = find_dial(n, addr);

	if (!d)
		return -MW_ENOTFOUND;
	if (d->conn) {
		d->conn->dial = NULL;
		conn_fail(d->conn, -MW_ECANCELLED);
	}
	dial_free(d);
	return 0;
}

/* ---- listening, creation and release ------------------------------------ */

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	struct peer_net *n = w->data;
	struct sockaddr_storage ss;
	char addr[64];
	(void)events;

	for (;;) {
		socklen_t len = sizeof(ss);
		int fd = accept4(w->fd, (struct sockaddr *)&ss, &len,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
			continue;
		if (fd < 0 && errno != EAGAIN) {
			/*
			 * The socket stays readable, for example without free
			 * descriptors, and would wake the loop at once.
			 */
			log_warn(PART, "accept: %s", strerror(errno));
			ev_io_stop(loop, w);
			ev_timer_set(&n->accept_retry, ACCEPT_PAUSE_S, 0);
			ev_timer_start(loop, &n->accept_retry);
		}
		if (fd < 0)
			return;
		if (n->n_unverified >= MAX_UNVERIFIED) {
			close(fd);
			continue;
		}
		peer_addr_format(&ss, addr, sizeof(addr));
		conn_accepted(n, fd, addr);
	}
}

static void on_accept_retry(struct ev_loop *loop, ev_timer *w, int events)
{
	struct peer_net *n = w->data;
	(void)events;
	ev_io_start(loop, &n->accept_watch);
}

static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct peer_net *n = w->data;
	(void)loop;
	(void)events;
	while (!list_empty(&n->dirty))
		conn_flush(list_first(&n->dirty, struct conn, in_dirty));
}

static int start_listening(struct peer_net *n, const char *text)
{
	struct sockaddr_storage ss;
	socklen_t len = 0;
	int on = 1;

	if (peer_addr_parse(text, &ss, &len) < 0)
		return -MW_EINVAL;
	int fd = socket(ss.ss_family,
			SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -MW_EIO;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	n->listen_fd = fd;
	if (bind(fd, (struct sockaddr *)&ss, len) < 0 ||
	    listen(fd, SOMAXCONN) < 0 ||
	    getsockname(fd, (struct sockaddr *)&ss, &len) < 0) {
		log_error(PART, "cannot listen on %s: %s", text,
			  strerror(errno));
		return -MW_EIO;
	}
	peer_addr_format(&ss, n->addr, sizeof(n->addr));
	ev_io_set(&n->accept_watch, fd, EV_READ);
	ev_io_start(n->cfg.loop, &n->accept_watch);
	return 0;
}

static void set_defaults(struct peer_config *cfg)
{
	if (!cfg->ping_ms)
		cfg->ping_ms = 1000;
	if (!cfg->silence_ms)
		cfg->silence_ms = 3000;
	if (!cfg->connect_ms)
		cfg->connect_ms = 400;
	if (!cfg->backoff_min_ms)
		cfg->backoff_min_ms = 100;
	if (!cfg->backoff_max_ms)
		cfg->backoff_max_ms = 5000;
	if (!cfg->max_unsent_bytes)
		cfg->max_unsent_bytes = (size_t)4 * FRAME_MAX_BYTES;
}

int peer_net_new(const struct peer_config *cfg, struct peer_net **out)
{
	struct peer_net *n = g_new0(struct peer_net, 1);

	n->cfg = *cfg;
	set_defaults(&n->cfg);
	n->key = *cfg->key;
	n->host = g_strdup(cfg->host);
	n->dc = g_strdup(cfg->dc ? cfg->dc : "");
	n->role = g_strdup(cfg->role ? cfg->role : "");
	n->admin_addr = g_strdup(cfg->admin_addr ? cfg->admin_addr : "");
	n->listen_fd = -1;
	n->next_peer_id = n->next_rpc_id = 1;
	list_init(&n->dials);
	list_init(&n->conns);
	list_init(&n->dirty);
	list_init(&n->peers);
	n->by_host = g_hash_table_new(g_str_hash, g_str_equal);
	n->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	n->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 call_free);
	ev_init(&n->accept_watch, on_accept);
	ev_init(&n->accept_retry, on_accept_retry);
	ev_prepare_init(&n->prepare, on_prepare);
	n->accept_watch.data = n->accept_retry.data = n->prepare.data = n;
	ev_prepare_start(n->cfg.loop, &n->prepare);
	int err = cfg->listen ? start_listening(n, cfg->listen) : 0;
	n->peer_addr = g_strdup(cfg->peer_addr ? cfg->peer_addr : n->addr);
	/* The caller's strings need not outlive this function. */
	n->cfg.host = n->host;
	n->cfg.dc = n->dc;
	n->cfg.role = n->role;
	n->cfg.admin_addr = n->admin_addr;
	n->cfg.peer_addr = n->peer_addr;
	n->cfg.listen = n->addr;
	n->cfg.key = &n->key;
	if (err < 0) {
		peer_net_free(n);
		return err;
	}
	*out = n;
	return 0;
}

void peer_net_fail_calls(struct peer_net *n)
{
	struct list calls = LIST_INIT(calls);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, n->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct call *call = value;

		list_del(&call->in_conn);
		list_add_tail(&calls, &call->in_conn);
	}
	fail_calls(&calls);
}

void peer_net_free(struct peer_net *n)
{
	if (!n)
		return;
	g_hash_table_destroy(n->calls);
	while (!list_empty(&n->conns))
		conn_free(list_first(&n->conns, struct conn, in_net));
	while (!list_empty(&n->peers)) {
		struct peer *p = list_first(&n->peers, struct peer, in_net);
		list_del(&p->in_net);
		peer_free(p);
	}
	while (!list_empty(&n->dials))
		dial_free(list_first(&n->dials, struct dial_target, in_net));
	g_hash_table_destroy(n->by_host);
	g_hash_table_destroy(n->by_id);
	ev_prepare_stop(n->cfg.loop, &n->prepare);
	ev_timer_stop(n->cfg.loop, &n->accept_retry);
	ev_io_stop(n->cfg.loop, &n->accept_watch);
	if (n->listen_fd >= 0)
		close(n->listen_fd);
	sodium_memzero(&n->key, sizeof(n->key));
	g_free(n->host);
	g_free(n->dc);
	g_free(n->role);
	g_free(n->admin_addr);
	g_free(n->peer_addr);
	g_free(n);
}

const char *peer_net_addr(const struct peer_net *n)
{
	return n->addr;
}

int peer_net_conns(const struct peer_net *n)
{
	return n->n_conns;
}
