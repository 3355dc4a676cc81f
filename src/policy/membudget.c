#include "policy/membudget.h"

#include <string.h>

#define MB ((size_t)1 << 20)

/* Part of the memory that holders may use.  Of 88 MB it leaves 33, of which an
 * entry host with a plan of 2,500 routes takes about 20. */
#define CAPACITY_NUM 5
#define CAPACITY_DEN 8

/* Buffers of connections, if all are full, take half of the memory at most. */
#define CONNS_PART 2

/* Descriptors for files, listeners, peers and probes. */
#define FDS_RESERVED 200
#define CONNS_MIN 16

/* A holder is measured for this time before its rate counts. */
#define TRICKLE_GRACE_US (2 * INT64_C(1000000))

struct peer_use {
	size_t bytes;
	unsigned int holders;
};

void membudget_init(struct membudget *b, int limit_mb)
{
	size_t mb = limit_mb > 0 ? (size_t)limit_mb : MEMBUDGET_DEFAULT_MB;

	memset(b, 0, sizeof(*b));
	b->capacity = mb * MB / CAPACITY_DEN * CAPACITY_NUM;
	list_init(&b->holders);
	b->peers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void membudget_release(struct membudget *b)
{
	while (!list_empty(&b->holders))
		membudget_remove(
			list_first(&b->holders, struct membudget_holder, link));
	g_clear_pointer(&b->peers, g_hash_table_destroy);
}

int membudget_conns(int most, int limit_mb, size_t conn_bytes, int max_fds)
{
	int64_t n = most;

	if (limit_mb > 0)
		n = MIN(n, (int64_t)((size_t)limit_mb * MB / CONNS_PART /
				     conn_bytes));
	if (max_fds > 0)
		n = MIN(n, (max_fds - FDS_RESERVED) / 2);
	return (int)MAX(n, CONNS_MIN);
}

static struct peer_use *find_peer(const struct membudget *b, uint32_t peer)
{
	return g_hash_table_lookup(b->peers, GUINT_TO_POINTER(peer));
}

size_t membudget_peer_bytes(const struct membudget *b, uint32_t peer)
{
	const struct peer_use *p = peer ? find_peer(b, peer) : NULL;

	return p ? p->bytes : 0;
}

/* Changes what is counted for a holder. */
static void count(struct membudget_holder *h, size_t bytes)
{
	struct membudget *b = h->budget;
	struct peer_use *p = h->peer ? find_peer(b, h->peer) : NULL;

	b->used += bytes - h->bytes;
	b->by_kind[h->kind] += bytes - h->bytes;
	if (p)
		p->bytes += bytes - h->bytes;
	h->bytes = bytes;
}

void membudget_add(struct membudget *b, struct membudget_holder *h,
		   enum membudget_kind kind, uint32_t peer, int64_t now)
{
	struct peer_use *p;

	h->budget = b;
	h->kind = kind;
	h->peer = peer;
	h->bytes = 0;
	h->leaving = false;
	h->progressed = 0;
	h->since_us = h->progress_us = now;
	list_add_tail(&b->holders, &h->link);
	if (!peer)
		return;
	p = find_peer(b, peer);
	if (!p) {
		p = g_new0(struct peer_use, 1);
		g_hash_table_insert(b->peers, GUINT_TO_POINTER(peer), p);
	}
	p->holders++;
}

void membudget_remove(struct membudget_holder *h)
{
	struct peer_use *p;

	if (!h->budget)
		return;
	count(h, 0);
	p = h->peer ? find_peer(h->budget, h->peer) : NULL;
	if (p && !--p->holders)
		g_hash_table_remove(h->budget->peers,
				    GUINT_TO_POINTER(h->peer));
	list_del(&h->link);
	h->budget = NULL;
}

static bool trickles(const struct membudget_holder *h, int64_t age_us)
{
	return (int64_t)h->progressed <
	       age_us / INT64_C(1000) * MEMBUDGET_TRICKLE_PER_S / 1000;
}

bool membudget_is_slow(const struct membudget_holder *h, int64_t now)
{
	int64_t age = now - h->since_us;

	if (h->kind == MEMBUDGET_HELD)
		return false;
	return now - h->progress_us >= MEMBUDGET_STALL_US ||
	       (age >= TRICKLE_GRACE_US && trickles(h, age));
}

bool membudget_is_expired(const struct membudget_holder *h, int64_t now)
{
	int64_t age = now - h->since_us;

	return h->budget && h->kind == MEMBUDGET_ARRIVING &&
	       age >= MEMBUDGET_TRICKLE_MAX_US && trickles(h, age);
}

/* What is compared first to last; the larger is shed first. */
struct rank {
	uint64_t v[4];
};

static struct rank rank_holder(const struct membudget_holder *h, int64_t now)
{
	uint64_t class = membudget_is_slow(h, now)	 ? 2
			 : h->kind == MEMBUDGET_ARRIVING ? 1
							 : 0;

	return (struct rank){{class, g_bit_storage(h->bytes),
			      membudget_peer_bytes(h->budget, h->peer),
			      (uint64_t)MAX(now - h->progress_us, 0)}};
}

static bool precedes(const struct rank *a, const struct rank *b)
{
	for (size_t i = 0; i < G_N_ELEMENTS(a->v); i++)
		if (a->v[i] != b->v[i])
			return a->v[i] > b->v[i];
	return false;
}

static struct membudget_holder *choose_victim(struct membudget *b, int64_t now)
{
	struct membudget_holder *h, *victim = NULL;
	struct rank first = {{0}};

	list_for_each_entry (h, &b->holders, link) {
		if (h->kind == MEMBUDGET_HELD || !h->bytes || h->leaving)
			continue;
		struct rank r = rank_holder(h, now);
		if (victim && !precedes(&r, &first))
			continue;
		victim = h;
		first = r;
	}
	return victim;
}

/* What may be in use with a holder of this size. */
static size_t use_limit(const struct membudget *b, size_t bytes)
{
	if (bytes <= MEMBUDGET_SMALL_BYTES)
		return b->capacity;
	return b->capacity - b->capacity / 8;
}

bool membudget_has_room(const struct membudget_holder *h, size_t more)
{
	const struct membudget *b = h->budget;

	return !b || b->used + more <= use_limit(b, h->bytes + more);
}

bool membudget_set(struct membudget_holder *h, size_t bytes, int64_t now)
{
	struct membudget *b = h->budget;
	size_t before = h->bytes;

	if (!b)
		return true;
	if (h->leaving)
		return false;
	size_t limit = use_limit(b, bytes);
	count(h, bytes);
	if (bytes <= before)
		return true;
	while (b->used > limit) {
		struct membudget_holder *victim = choose_victim(b, now);

		if (!victim || victim == h) {
			count(h, before);
			return false;
		}
		count(victim, 0);
		victim->leaving = true;
		b->shed++;
		victim->shed(victim->arg);
		if (!h->budget)
			return false;
	}
	return true;
}

void membudget_set_kind(struct membudget_holder *h, enum membudget_kind kind,
			int64_t now)
{
	size_t bytes = h->bytes;

	if (!h->budget)
		return;
	count(h, 0);
	h->kind = kind;
	count(h, bytes);
	h->progressed = 0;
	h->since_us = h->progress_us = now;
}

void membudget_progress(struct membudget_holder *h, size_t n, int64_t now)
{
	if (!n || !h->budget)
		return;
	h->progressed += n;
	h->progress_us = now;
}
