#include "standin/batch.h"

#include <assert.h>
#include <glib.h>

#include "base/err.h"

/*
 * Invariants:
 *  - blocks == free + own blocks of running generations + cache_used;
 *  - both lists are sorted by (priority, seq), so the last running generation
 *    is the least urgent and youngest: the one that is preempted;
 *  - a running generation holds references to its first nrefs units; a unit
 *    without references is in the `lru` list and can be evicted.
 */

/* Part of the blocks kept free at admission, so that a generation is not
 * admitted only to be preempted at once. */
#define WATERMARK_DIVISOR 100

struct unit {
	uint64_t hash;
	int refs;
	struct list lru;
};

struct batch {
	struct batch_config cfg;
	const struct batch_ops *ops;
	void *ctx;
	struct list waiting, running, lru;
	GHashTable *units;
	int unit_blocks;
	int free;
	int cache_used;
	int cache_pinned; /* blocks of units with references */
	int nrunning, nwaiting;
	int preemptions;
	int in_step;
	uint64_t next_seq;
};

struct batch *batch_new(const struct batch_config *cfg,
			const struct batch_ops *ops, void *ctx)
{
	if (cfg->blocks < 1 || cfg->block_tokens < 1 || cfg->max_batch < 1 ||
	    cfg->prefill_chunk < 1 || BATCH_UNIT_TOKENS % cfg->block_tokens)
		return NULL;
	struct batch *b = g_new0(struct batch, 1);
	b->cfg = *cfg;
	b->ops = ops;
	b->ctx = ctx;
	b->free = cfg->blocks;
	b->unit_blocks = BATCH_UNIT_TOKENS / cfg->block_tokens;
	b->units = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	list_init(&b->waiting);
	list_init(&b->running);
	list_init(&b->lru);
	return b;
}

void batch_free(struct batch *b)
{
	g_hash_table_destroy(b->units);
	g_free(b);
}

static int blocks_for(const struct batch *b, int tokens)
{
	return (tokens + b->cfg.block_tokens - 1) / b->cfg.block_tokens;
}

/* Own blocks that g needs to produce its next token. */
static int blocks_needed(const struct batch *b, const struct batch_gen *g)
{
	return blocks_for(b, g->prompt_tokens + g->produced + 1 -
				     g->nrefs * BATCH_UNIT_TOKENS);
}

static void insert_sorted(struct list *head, struct batch_gen *g)
{
	struct list *pos = head->prev;

	while (pos != head) {
		struct batch_gen *o = list_entry(pos, struct batch_gen, link);
		if (o->priority < g->priority ||
		    (o->priority == g->priority && o->seq < g->seq))
			break;
		pos = pos->prev;
	}
	list_add(pos, &g->link);
}

static void unit_ref(struct batch *b, struct unit *u)
{
	if (!u->refs++) {
		list_del(&u->lru);
		b->cache_pinned += b->unit_blocks;
	}
}

static void unit_unref(struct batch *b, struct unit *u)
{
	if (!--u->refs) {
		list_add_tail(&b->lru, &u->lru);
		b->cache_pinned -= b->unit_blocks;
	}
}

static int evict_unit(struct batch *b)
{
	if (list_empty(&b->lru))
		return 0;
	struct unit *u = list_first(&b->lru, struct unit, lru);
	uint64_t hash = u->hash;
	list_del(&u->lru);
	g_hash_table_remove(b->units, &hash);
	b->cache_used -= b->unit_blocks;
	b->free += b->unit_blocks;
	if (b->ops->cache)
		b->ops->cache(b->ctx, 0, hash);
	return 1;
}

/* References the cached leading units; one token is always left to compute. */
static void ref_prefix(struct batch *b, struct batch_gen *g)
{
	while (g->nrefs < g->nunits &&
	       (g->nrefs + 1) * BATCH_UNIT_TOKENS < g->prompt_tokens) {
		struct unit *u =
			g_hash_table_lookup(b->units, &g->units[g->nrefs]);
		if (!u)
			break;
		unit_ref(b, u);
		g->nrefs++;
	}
}

/* The deepest unit goes first, as it is of no use without those before it. */
static void unref_prefix(struct batch *b, struct batch_gen *g)
{
	while (g->nrefs)
		unit_unref(b, g_hash_table_lookup(b->units,
						  &g->units[--g->nrefs]));
}

/* Moves the computed prompt of g into the cache, as far as it has room. */
static void cache_prompt(struct batch *b, struct batch_gen *g)
{
	while (g->nrefs < g->nunits &&
	       (g->nrefs + 1) * BATCH_UNIT_TOKENS < g->prompt_tokens) {
		uint64_t hash = g->units[g->nrefs];
		struct unit *u = g_hash_table_lookup(b->units, &hash);

		if (u) {
			b->free += b->unit_blocks;
			unit_ref(b, u);
		} else {
			while (b->cache_used + b->unit_blocks >
			       b->cfg.cache_blocks)
				if (!evict_unit(b))
					return;
			u = g_new0(struct unit, 1);
			u->hash = hash;
			u->refs = 1;
			list_init(&u->lru);
			g_hash_table_insert(b->units, &u->hash, u);
			b->cache_used += b->unit_blocks;
			b->cache_pinned += b->unit_blocks;
			if (b->ops->cache)
				b->ops->cache(b->ctx, 1, hash);
		}
		g->blocks -= b->unit_blocks;
		g->nrefs++;
	}
}

/* Takes g out of the running list and frees its memory. */
static void release(struct batch *b, struct batch_gen *g)
{
	list_del(&g->link);
	b->nrunning--;
	b->free += g->blocks;
	g->blocks = 0;
	unref_prefix(b, g);
}

static void preempt(struct batch *b, struct batch_gen *g, int64_t now)
{
	release(b, g);
	g->state = BATCH_WAITING;
	g->preemptions++;
	if (!g->preempted_at)
		g->preempted_at = now;
	insert_sorted(&b->waiting, g);
	b->nwaiting++;
	b->preemptions++;
	if (b->ops->preempted)
		b->ops->preempted(b->ctx, g);
}

int batch_submit(struct batch *b, struct batch_gen *g)
{
	if (blocks_for(b, g->prompt_tokens + 1) > b->cfg.blocks)
		return -MW_ETOOBIG;
	g->seq = b->next_seq++;
	g->state = BATCH_WAITING;
	insert_sorted(&b->waiting, g);
	b->nwaiting++;
	return 0;
}

void batch_cancel(struct batch *b, struct batch_gen *g)
{
	if (g->state == BATCH_RUNNING) {
		release(b, g);
	} else if (g->state == BATCH_WAITING) {
		list_del(&g->link);
		b->nwaiting--;
	}
	g->state = BATCH_DONE;
}

/*
 * Gives every running generation room for its next token.  Returns the number
 * of preemptions.  A generation that fills the whole memory alone ends.
 */
static int grow(struct batch *b, int64_t now)
{
	struct list *pos, *tmp;
	int preempted = 0;

	for (pos = b->running.next; pos != &b->running; pos = tmp) {
		struct batch_gen *g = list_entry(pos, struct batch_gen, link);
		int need = blocks_needed(b, g) - g->blocks;

		while (need > b->free && g->state == BATCH_RUNNING) {
			if (evict_unit(b))
				continue;
			struct batch_gen *victim = list_entry(
				b->running.prev, struct batch_gen, link);
			if (victim == g && b->nrunning == 1) {
				g->out_of_memory = 1;
				need = 0;
				break;
			}
			preempt(b, victim, now);
			preempted++;
		}
		if (g->state != BATCH_RUNNING)
			break; /* it was the last one */
		tmp = pos->next;
		if (need > 0) {
			g->blocks += need;
			b->free -= need;
		}
	}
	return preempted;
}

static void admit(struct batch *b)
{
	int keep = b->cfg.blocks / WATERMARK_DIVISOR;

	while (b->nwaiting && b->nrunning < b->cfg.max_batch) {
		struct batch_gen *g =
			list_first(&b->waiting, struct batch_gen, link);

		ref_prefix(b, g);
		int need = blocks_needed(b, g);
		int have = b->free + b->cache_used - b->cache_pinned;
		if (need + (b->nrunning ? keep : 0) > have) {
			unref_prefix(b, g);
			break;
		}
		while (b->free < need)
			evict_unit(b);
		b->free -= need;
		g->blocks = need;
		g->to_prefill = g->prompt_tokens + g->produced -
				g->nrefs * BATCH_UNIT_TOKENS;
		if (!g->admitted)
			g->cached_tokens = g->nrefs * BATCH_UNIT_TOKENS;
		g->admitted = 1;
		g->state = BATCH_RUNNING;
		list_del(&g->link);
		b->nwaiting--;
		insert_sorted(&b->running, g);
		b->nrunning++;
	}
}

int64_t batch_begin(struct batch *b, int64_t now)
{
	struct batch_gen *g;
	int left = b->cfg.prefill_chunk;

	assert(!b->in_step);
	/* Admitting right after a preemption would only cause the next one. */
	if (!grow(b, now))
		admit(b);
	if (!b->nrunning)
		return 0;
	b->in_step = 1;
	list_for_each_entry (g, &b->running, link) {
		g->step_tokens = g->to_prefill < left ? g->to_prefill : left;
		left -= g->step_tokens;
	}
	return b->cfg.base_us + (int64_t)b->cfg.per_seq_us * b->nrunning +
	       (int64_t)b->cfg.prefill_us * (b->cfg.prefill_chunk - left);
}

static void produce(struct batch *b, struct batch_gen *g, int64_t now)
{
	g->produced++;
	if (g->preempted_at) {
		g->stall_us += now - g->preempted_at;
		g->preempted_at = 0;
	}
	if (g->produced >= g->target || g->out_of_memory) {
		release(b, g);
		g->state = BATCH_DONE;
	}
	b->ops->token(b->ctx, g);
}

void batch_end(struct batch *b, int64_t now)
{
	struct batch_gen *g, *tmp;

	assert(b->in_step);
	b->in_step = 0;
	list_for_each_entry_safe (g, tmp, &b->running, link) {
		int computing = g->to_prefill > 0;

		g->to_prefill -= g->step_tokens;
		g->step_tokens = 0;
		if (g->to_prefill)
			continue;
		if (computing)
			cache_prompt(b, g);
		produce(b, g, now);
	}
}

struct batch_load batch_load(const struct batch *b)
{
	return (struct batch_load){
		.running = b->nrunning,
		.waiting = b->nwaiting,
		.blocks_used = b->cfg.blocks - b->free -
			       (b->cache_used - b->cache_pinned),
		.preemptions = b->preemptions,
	};
}

void batch_check(const struct batch *b)
{
	struct batch_gen *g;
	int own = 0, n = 0;

	list_for_each_entry (g, &b->running, link) {
		assert(g->state == BATCH_RUNNING && g->blocks >= 0);
		own += g->blocks;
		n++;
	}
	assert(n == b->nrunning && n <= b->cfg.max_batch);
	assert(b->free >= 0);
	assert(b->free + own + b->cache_used == b->cfg.blocks);
	assert(b->cache_used <= b->cfg.cache_blocks);
	assert((int)g_hash_table_size(b->units) * b->unit_blocks ==
	       b->cache_used);
}
