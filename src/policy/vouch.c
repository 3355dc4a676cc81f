#include "policy/vouch.h"

#include <math.h>
#include <stdbool.h>
#include <glib.h>

#define MAX_TRAITS_DEFAULT 1024

/* The density of delays rises by this power of e up to the longest delay; of
 * exp(5) = 150 hosts, about one is in the first fifth. */
#define DELAY_EXPONENT 5.0

struct entry {
	int64_t due_us; /* when to vouch; 0: not to */
	int64_t quiet_until_us;
};

struct vouch {
	GHashTable *entries; /* trait to struct entry */
	size_t max_traits;
};

struct vouch *vouch_new(size_t max_traits)
{
	struct vouch *v = g_new0(struct vouch, 1);

	v->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	v->max_traits = max_traits ? max_traits : MAX_TRAITS_DEFAULT;
	return v;
}

void vouch_free(struct vouch *v)
{
	if (!v)
		return;
	g_hash_table_destroy(v->entries);
	g_free(v);
}

static gboolean is_over(gpointer key, gpointer value, gpointer arg)
{
	const struct entry *e = value;
	const int64_t *now = arg;

	(void)key;
	return !e->due_us && *now >= e->quiet_until_us;
}

/* Returns NULL if there is no room for another trait. */
static struct entry *get_or_add(struct vouch *v, const char *trait, int64_t now)
{
	struct entry *e = g_hash_table_lookup(v->entries, trait);

	if (e)
		return e;
	if (g_hash_table_size(v->entries) >= v->max_traits)
		g_hash_table_foreach_remove(v->entries, is_over, &now);
	if (g_hash_table_size(v->entries) >= v->max_traits)
		return NULL;
	e = g_new0(struct entry, 1);
	g_hash_table_insert(v->entries, g_strdup(trait), e);
	return e;
}

/*
 * Most hosts draw a delay near the longest one, so that whether ten or a
 * hundred can vouch, a few are well before the others.
 */
static int64_t draw_delay_us(double random)
{
	double part = log1p(random * expm1(DELAY_EXPONENT)) / DELAY_EXPONENT;

	return (int64_t)(part * (double)VOUCH_DELAY_MAX_US);
}

void vouch_consider(struct vouch *v, const char *trait, double random,
		    int64_t now)
{
	struct entry *e = get_or_add(v, trait, now);

	if (!e || e->due_us || now < e->quiet_until_us)
		return;
	e->due_us = now + 1 + draw_delay_us(random);
}

void vouch_heard(struct vouch *v, const char *trait, int64_t now)
{
	struct entry *e = get_or_add(v, trait, now);

	if (!e)
		return;
	e->due_us = 0;
	e->quiet_until_us = now + VOUCH_QUIET_US;
}

const char *vouch_next(struct vouch *v, int64_t now)
{
	GHashTableIter iter;
	void *trait;
	struct entry *e;

	g_hash_table_iter_init(&iter, v->entries);
	while (g_hash_table_iter_next(&iter, &trait, (void **)&e)) {
		if (!e->due_us || now < e->due_us)
			continue;
		e->due_us = 0;
		e->quiet_until_us = now + VOUCH_QUIET_US;
		return trait;
	}
	return NULL;
}
