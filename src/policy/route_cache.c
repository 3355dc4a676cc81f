#include "policy/route_int.h"

/*
 * Bounded LRU map from prefix hash to the endpoints that cache the prefix,
 * built from their cache events.  Events may arrive out of order and with gaps,
 * so each reference keeps the sequence number of its event: an older event
 * about the same prefix and endpoint is ignored, and a removal is kept as a
 * tombstone, so that an addition that precedes it but arrives later has no
 * effect.
 */

#define REFS_PER_PREFIX 4 /* endpoints recorded for one prefix */

struct endpoint_ref {
	uint32_t ep_serial; /* route_ep.serial; 0: unused */
	bool cached;	    /* false: tombstone */
	uint64_t seq;
};

struct entry {
	uint64_t hash;
	struct list lru;
	struct endpoint_ref refs[REFS_PER_PREFIX];
};

struct prefix_index {
	GHashTable *entries;
	struct list lru; /* least recently used first */
	size_t max_entries;
};

struct prefix_index *prefix_index_new(size_t max_entries)
{
	struct prefix_index *index = g_new0(struct prefix_index, 1);

	index->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	list_init(&index->lru);
	index->max_entries = max_entries;
	return index;
}

void prefix_index_free(struct prefix_index *index)
{
	g_hash_table_destroy(index->entries);
	g_free(index);
}

static struct entry *lookup_entry(struct prefix_index *index, uint64_t hash)
{
	struct entry *e = g_hash_table_lookup(index->entries, &hash);

	if (e) {
		list_del(&e->lru);
		list_add_tail(&index->lru, &e->lru);
	}
	return e;
}

static struct entry *add_entry(struct prefix_index *index, uint64_t hash)
{
	struct entry *e;

	if (g_hash_table_size(index->entries) >= index->max_entries) {
		e = list_first(&index->lru, struct entry, lru);
		list_del(&e->lru);
		g_hash_table_remove(index->entries, &e->hash);
	}
	e = g_new0(struct entry, 1);
	e->hash = hash;
	list_add_tail(&index->lru, &e->lru);
	g_hash_table_insert(index->entries, &e->hash, e);
	return e;
}

void prefix_index_apply(struct prefix_index *index, uint64_t hash,
			uint32_t ep_serial, uint64_t seq, bool cached)
{
	struct entry *e = lookup_entry(index, hash);
	struct endpoint_ref *slot = NULL;

	if (!e)
		e = add_entry(index, hash);
	for (unsigned i = 0; i < REFS_PER_PREFIX; i++) {
		struct endpoint_ref *ref = &e->refs[i];

		if (ref->ep_serial == ep_serial) {
			if (seq <= ref->seq && ref->seq)
				return;
			slot = ref;
			break;
		}
		/* Prefers an unused slot, then a tombstone, then the oldest. */
		if (!slot ||
		    (slot->ep_serial &&
		     (!ref->ep_serial || ref->cached < slot->cached ||
		      (ref->cached == slot->cached && ref->seq < slot->seq))))
			slot = ref;
	}
	*slot = (struct endpoint_ref){ep_serial, cached, seq};
}

void prefix_index_find(struct prefix_index *index, uint64_t hash,
		       void (*fn)(void *ctx, uint32_t ep_serial, uint64_t seq),
		       void *ctx)
{
	struct entry *e = lookup_entry(index, hash);

	for (unsigned i = 0; e && i < REFS_PER_PREFIX; i++)
		if (e->refs[i].ep_serial && e->refs[i].cached)
			fn(ctx, e->refs[i].ep_serial, e->refs[i].seq);
}
