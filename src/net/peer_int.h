#ifndef NET_PEER_INT_H
#define NET_PEER_INT_H

#include <sys/socket.h>
#include <glib.h>

#include "base/buf.h"
#include "base/list.h"
#include "net/peer.h"

/*
 * Shared by peer.c (peers, calls, addresses to dial) and peer_conn.c (one TCP
 * connection).
 *
 * A connection is closed only from the event loop: by its own watchers, or by
 * the prepare watcher of peer_net for connections that conn_fail() has marked.
 * So no public function releases a connection or a peer that its caller uses.
 */

/* An address that is dialled, and redialled after its connection closes. */
struct dial_target {
	struct list in_net; /* peer_net.dials */
	struct peer_net *net;
	struct conn *conn; /* NULL while the retry timer runs */
	ev_timer retry_timer;
	int backoff_ms; /* upper bound of the next delay */
	char addr[64];
};

struct peer {
	struct list in_net; /* peer_net.peers */
	struct list conns;  /* conn.in_peer, newest first */
	struct peer_net *net;
	uint64_t id;
	Mw__Frame *hello;	/* the frame that contains the peer's Hello */
	struct conn *send_conn; /* sends all frames; NULL: to be chosen */
	struct peer_stats stats;
};

struct conn {
	struct list in_net;   /* peer_net.conns */
	struct list in_peer;  /* peer.conns, once verified */
	struct list in_dirty; /* peer_net.dirty: conn_flush() is due */
	struct list calls;    /* call.in_conn: calls sent here */
	struct peer_net *net;
	struct peer *peer;	  /* NULL until verified */
	struct dial_target *dial; /* NULL if accepted, or after peer_undial() */
	Mw__Frame *hello;	  /* received Hello; moved to the peer */
	struct frame_conn frame;
	struct buf in, out;
	struct membudget_holder mem; /* of the buffers */
	ev_io read_watch, write_watch;
	ev_timer check_timer;
	ev_tstamp started_at, last_rx, last_tx;
	ev_tstamp last_progress; /* last write, or first byte unsent */
	int fd;
	int connecting;
	int err; /* if not 0, the connection will be closed with it */
	char addr[64];
};

struct peer_net {
	struct peer_config cfg;
	char *host, *dc, *role, *admin_addr, *peer_addr;
	struct frame_key key;
	char addr[64];
	int listen_fd;
	ev_io accept_watch;
	ev_timer accept_retry;
	ev_prepare prepare;
	struct list dials, conns, dirty, peers;
	GHashTable *by_host; /* host name -> struct peer, not owned */
	GHashTable *by_id;   /* peer id -> struct peer, not owned */
	GHashTable *calls;   /* rpc id -> struct call, owned */
	uint64_t next_peer_id, next_rpc_id;
	int n_conns;
	int n_unverified; /* accepted connections that are not verified */
};

/* Parses "ip:port" or "[ip]:port"; returns 0 or -MW_EINVAL. */
int peer_addr_parse(const char *text, struct sockaddr_storage *ss,
		    socklen_t *len);
/* Writes the address in the form that peer_addr_parse() reads. */
void peer_addr_format(const struct sockaddr_storage *ss, char *out, size_t n);

/* Starts to connect to an address; returns NULL on failure. */
struct conn *conn_dial(struct peer_net *n, struct dial_target *d);

/* Creates the connection of an accepted socket, which it then owns. */
struct conn *conn_accepted(struct peer_net *n, int fd, const char *addr);

/* Queues a frame; errors as for peer_send. */
int conn_send(struct conn *c, Mw__Frame *f);

/* Marks a connection to be closed from the loop. */
void conn_fail(struct conn *c, int err);

/* Writes queued frames or closes; called before the loop polls. */
void conn_flush(struct conn *c);

/* Releases a connection; runs no callback and leaves its calls pending. */
void conn_free(struct conn *c);

/*
 * Attaches a connection to its peer, or to a new one, after the other side has
 * proved that it holds the key.  Returns 0, or an error if the connection must
 * be closed.
 */
int peer_conn_verified(struct conn *c);

/* Delivers a frame of a verified connection. */
void peer_conn_frame(struct conn *c, const Mw__Frame *f);

/*
 * Detaches and releases a connection, fails its calls, and reports the peer as
 * down if this was its last connection; err is the reason.
 */
void peer_conn_closed(struct conn *c, int err);

#endif
