#include "state/history.h"

#include <string.h>
#include <glib.h>
#include <xxhash.h>

struct history {
	GPtrArray *entries; /* Mw__SnapHistory, oldest first */
	GHashTable *by_id;
};

static void free_entry(void *e)
{
	mw__snap_history__free_unpacked(e, NULL);
}

struct history *history_new(void)
{
	struct history *h = g_new0(struct history, 1);

	h->entries = g_ptr_array_new_with_free_func(free_entry);
	h->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return h;
}

void history_free(struct history *h)
{
	if (!h)
		return;
	g_hash_table_destroy(h->by_id);
	g_ptr_array_free(h->entries, TRUE);
	g_free(h);
}

const Mw__SnapHistory *history_find(const struct history *h, const char *id)
{
	return g_hash_table_lookup(h->by_id, id);
}

const Mw__SnapHistory *history_find_accepted(const struct history *h,
					     uint64_t version)
{
	for (size_t i = h->entries->len; i-- > 0;) {
		const Mw__SnapHistory *e = history_at(h, i);

		if (!e->err && e->version == version)
			return e;
	}
	return NULL;
}

void history_add(struct history *h, Mw__SnapHistory *e)
{
	g_ptr_array_add(h->entries, e);
	g_hash_table_insert(h->by_id, e->id, e);
	if (h->entries->len > HISTORY_MAX) {
		g_hash_table_remove(h->by_id, history_at(h, 0)->id);
		g_ptr_array_remove_index(h->entries, 0);
	}
}

size_t history_count(const struct history *h)
{
	return h->entries->len;
}

const Mw__SnapHistory *history_at(const struct history *h, size_t i)
{
	return g_ptr_array_index(h->entries, i);
}

/* Hashes the terminating NUL too, so that field boundaries count. */
static void digest_string(XXH64_state_t *x, const char *s)
{
	XXH64_update(x, s, strlen(s) + 1);
}

uint64_t history_change_digest(const Mw__Change *change)
{
	uint64_t head[2] = {GUINT64_TO_LE(change->base_version),
			    GUINT64_TO_LE(change->n_edits)};
	XXH64_state_t *x = XXH64_createState();
	uint64_t digest;

	XXH64_reset(x, 0);
	XXH64_update(x, head, sizeof(head));
	for (size_t i = 0; i < change->n_edits; i++) {
		digest_string(x, change->edits[i]->path);
		digest_string(x, change->edits[i]->key);
		digest_string(x, change->edits[i]->value);
	}
	for (size_t i = 0; i < change->n_left_out; i++)
		digest_string(x, change->left_out[i]);
	digest = XXH64_digest(x);
	XXH64_freeState(x);
	return digest;
}
