#ifndef POLICY_MEMBUDGET_H
#define POLICY_MEMBUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#include "base/list.h"

/*
 * Memory that callers can make one process hold: requests that arrive, bodies
 * that are kept for a repeat, answers that wait for their readers, connections.
 * Every holder draws on one budget.  When it runs short, holders are shed in
 * this order, and what is held for work that may have begun is never shed:
 *  1. what has stalled or trickles, then requests that still arrive, then
 *     answers that their readers take;
 *  2. the large before the small (by powers of two);
 *  3. those of the address that holds most, so that the order among callers
 *     behind one balancer is decided by the rules before;
 *  4. the one without progress for longest.
 * What is announced but has not arrived is not counted, so a client that
 * announces much and sends nothing takes nothing from others.
 *
 * No I/O; the owner of a holder ends its connection in `shed`.
 */

/* A budget when no limit is stated: more than callers of one host send. */
#define MEMBUDGET_DEFAULT_MB 1024

/* Larger holders leave an eighth of the budget to the others, so that small
 * requests are served while bodies in use fill the rest. */
#define MEMBUDGET_SMALL_BYTES ((size_t)64 << 10)

/* A holder has stalled after this time without progress. */
#define MEMBUDGET_STALL_US INT64_C(1000000)
/* It trickles if its average rate is below this; 4 MiB take 4 minutes. */
#define MEMBUDGET_TRICKLE_PER_S INT64_C(16384)
/* Time after which a request that trickles is ended, also without shortage. */
#define MEMBUDGET_TRICKLE_MAX_US INT64_C(60000000)

enum membudget_kind {
	MEMBUDGET_ARRIVING, /* of a request that is not whole */
	MEMBUDGET_ANSWER,   /* waits for its reader */
	MEMBUDGET_HELD,	    /* not to be shed */
};
#define MEMBUDGET_KINDS 3

struct membudget {
	size_t capacity;
	size_t used;
	size_t by_kind[MEMBUDGET_KINDS];
	uint64_t shed; /* holders, since the start */
	struct list holders;
	GHashTable *peers; /* address to struct peer_use */
};

struct membudget_holder {
	struct list link;
	struct membudget *budget; /* NULL: not added */
	enum membudget_kind kind;
	uint32_t peer;
	size_t bytes;
	uint64_t progressed; /* bytes received or sent since since_us */
	int64_t since_us;    /* of its kind */
	int64_t progress_us; /* of the last progress */
	bool leaving;	     /* shed; its bytes are no longer counted */
	/* Ends it; may remove holders, also this one, and calls nothing else of
	 * this module. */
	void (*shed)(void *arg);
	void *arg;
};

/* For a process of limit_mb; 0: none stated.  Part of the memory remains for
 * the program, its plan and its libraries. */
void membudget_init(struct membudget *b, int limit_mb);
void membudget_release(struct membudget *b);

/*
 * Connections that one listener may have, of `most` by default, so that neither
 * their buffers of conn_bytes (unless limit_mb is 0) nor the descriptors
 * (unless max_fds is 0) on both sides run out.
 */
int membudget_conns(int most, int limit_mb, size_t conn_bytes, int max_fds);

/* Adds a holder without bytes.  peer is its client's address, 0: none. */
void membudget_add(struct membudget *b, struct membudget_holder *h,
		   enum membudget_kind kind, uint32_t peer, int64_t now);
/* Gives its bytes back; no effect if it is not added. */
void membudget_remove(struct membudget_holder *h);

/*
 * Sets the bytes of a holder, which sheds others if there is no room.  Returns
 * false if the holder itself is the one to shed, or nothing can be; it then
 * keeps the bytes that it had.  A holder that is not added has no limit.
 */
bool membudget_set(struct membudget_holder *h, size_t bytes, int64_t now);

/* Whether a holder can have so many bytes more without shedding others. */
bool membudget_has_room(const struct membudget_holder *h, size_t more);

/* Changes the kind and begins a new measurement of its progress. */
void membudget_set_kind(struct membudget_holder *h, enum membudget_kind kind,
			int64_t now);

/* n bytes were received or sent. */
void membudget_progress(struct membudget_holder *h, size_t n, int64_t now);

/* Whether the holder has stalled or trickles. */
bool membudget_is_slow(const struct membudget_holder *h, int64_t now);
/* Whether it trickles, and has for so long that it is to be ended. */
bool membudget_is_expired(const struct membudget_holder *h, int64_t now);

/* Bytes that all holders of an address have. */
size_t membudget_peer_bytes(const struct membudget *b, uint32_t peer);

#endif
