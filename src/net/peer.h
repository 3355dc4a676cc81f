#ifndef NET_PEER_H
#define NET_PEER_H

#include <stddef.h>
#include <stdint.h>
#include <ev.h>

#include "base/hlc.h"
#include "policy/membudget.h"
#include "wire/frame.h"
#include "wire/mw.pb-c.h"

/*
 * TCP connections between mustardwall processes, on one libev loop.
 *
 * A struct peer is one run of another process, identified by host name and
 * incarnation.  It is valid from its up callback until its down callback.  It
 * may have several connections: two processes that dial each other keep both.
 * All frames of one direction use the same connection until it closes, so they
 * arrive in order.  A higher incarnation of the same host replaces the peer; a
 * connection from a lower one is refused.
 *
 * No callback runs inside peer_send, peer_call, peer_reply, peer_dial or
 * peer_undial.  Callbacks may call any of these, but not peer_net_free.
 */

struct peer_net;
struct peer;

struct peer_ops {
	void (*up)(struct peer *p, void *ctx);
	/* p is released after the call; err is the reason, -MW_E... */
	void (*down)(struct peer *p, int err, void *ctx);
	/*
	 * Receives a frame that is neither a reply nor a keep-alive.  If f->rpc
	 * is not 0, the sender expects a peer_reply, now or later.  f is
	 * released after the call.
	 */
	void (*frame)(struct peer *p, const Mw__Frame *f, void *ctx);
};

/* Strings are copied.  A limit of 0 selects the default given here. */
struct peer_config {
	struct ev_loop *loop;
	const struct frame_key *key;
	struct hlc *hlc; /* timestamps all frames; must outlive the peer_net */
	const char *listen; /* "ip:port", port 0: any free port; NULL: none */

	/* Sent in the Hello.  Host names are unique in a cluster. */
	const char *host, *dc, *role, *admin_addr;
	const char *peer_addr; /* NULL: the listening address */
	uint64_t incarnation;
	uint32_t voter;

	int ping_ms; /* idle time before a keep-alive is sent; 1000 */
	/*
	 * Closes a connection on which nothing was received for this time, or
	 * nothing sent although frames are queued; 3000.
	 */
	int silence_ms;
	/*
	 * Gives up a connection that is not established after this time, and
	 * dials again; 400.  Shorter than the kernel's first retransmission of
	 * a SYN, after 1 s: a SYN is lost while the other machine starts.
	 */
	int connect_ms;
	int backoff_min_ms;	 /* delay of the first redial; 100 */
	int backoff_max_ms;	 /* limit of the doubling delay; 5000 */
	size_t max_unsent_bytes; /* send buffer of a connection; 16 MiB */

	/*
	 * On which connections draw; NULL: none.  Those that are not verified
	 * are shed as requests that arrive.  Others are not: their bounds are
	 * max_unsent_bytes and FRAME_MAX_BYTES.
	 */
	struct membudget *budget;

	struct peer_ops ops;
	void *ctx; /* passed to ops */
};

struct peer_stats {
	/* Of verified connections, with framing. */
	uint64_t bytes_in, bytes_out;
	uint64_t frames_in, frames_out;
	uint64_t calls, timeouts;
	uint64_t late_replies; /* replies to calls no longer pending */
	size_t unsent_bytes;   /* in the send buffers */
	int conns;
};

/*
 * Creates *out, which the caller frees with peer_net_free.  Returns 0,
 * -MW_EINVAL (malformed listening address) or -MW_EIO (socket error).
 */
int peer_net_new(const struct peer_config *cfg, struct peer_net **out);

/*
 * Ends all calls that wait for an answer, with -MW_EIO, so that what their
 * contexts hold can be freed before peer_net_free.  Calls that their callbacks
 * begin are left.
 */
void peer_net_fail_calls(struct peer_net *n);

/* Closes all connections and the listening socket; runs no callbacks. */
void peer_net_free(struct peer_net *n);

/* Returns the listening address, "ip:port", or "" if there is none. */
const char *peer_net_addr(const struct peer_net *n);

/* Number of connections, with those being opened or not yet verified. */
int peer_net_conns(const struct peer_net *n);

/*
 * peer_dial adds "ip:port" to the addresses that are dialled, and redialled
 * whenever the connection closes; adding an address twice has no effect.
 * peer_undial removes it and closes the connection that was dialled to it.
 * Return 0, -MW_EINVAL (malformed address) or -MW_ENOTFOUND (not added).
 */
int peer_dial(struct peer_net *n, const char *addr);
int peer_undial(struct peer_net *n, const char *addr);

/* Find a connected peer by host name or by its Hello's peer_addr; or NULL. */
struct peer *peer_find(struct peer_net *n, const char *host);
struct peer *peer_find_addr(struct peer_net *n, const char *addr);

/* Iterates over connected peers: prev is NULL at first; NULL at the end. */
struct peer *peer_next(struct peer_net *n, struct peer *prev);

/* Returns the peer's Hello, which is valid as long as the peer. */
const Mw__Hello *peer_hello(const struct peer *p);
void peer_stats(const struct peer *p, struct peer_stats *out);

/*
 * Queues a one-way frame, of which the caller sets body and target.  Returns
 * 0, -MW_ETOOBIG, or -MW_EIO if the connection is being closed; a full send
 * buffer closes it too.
 */
int peer_send(struct peer *p, Mw__Frame *f);

/*
 * Receives the outcome of a call.  If err is 0, reply is the answer, released
 * after the call.  Otherwise reply is NULL and the peer may or may not have
 * handled the frame: -MW_ETIMEOUT, or -MW_EIO if the connection closed.
 */
typedef void (*peer_reply_fn)(int err, const Mw__Frame *reply, void *ctx);

/*
 * Queues a frame and expects a reply.  fn runs once, later, unless an error
 * is returned (as for peer_send) or the call is cancelled.
 */
int peer_call(struct peer *p, Mw__Frame *f, int timeout_ms, peer_reply_fn fn,
	      void *ctx);

/* Cancels all pending calls with this ctx; their callbacks do not run. */
void peer_cancel(struct peer_net *n, const void *ctx);

/* Identifies a received call; may be used after the peer is down. */
struct peer_rpc {
	uint64_t peer, rpc;
};

/* Returns the identifier that peer_reply needs for a received call f. */
struct peer_rpc peer_rpc(const struct peer *p, const Mw__Frame *f);

/* Answers a call.  Errors as for peer_send; -MW_ENOTFOUND: peer is down. */
int peer_reply(struct peer_net *n, struct peer_rpc to, Mw__Frame *reply);

#endif
