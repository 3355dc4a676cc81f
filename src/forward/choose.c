#include "forward/request.h"

#include <string.h>

#include "base/clock.h"
#include "forward/place.h"

/*
 * What this host knows of the endpoints, as place.c needs it, and the copies
 * of memory that are counted there.
 */

/*
 * A generation that is expected to make fewer tokens ends within the notice
 * that a leaving endpoint gives; 100 tokens take about a second.
 */
#define BACKUP_MIN_TOKENS 100

/* Work whose answer is aimed at within this time is urgent. */
#define URGENT_AIM_US (2 * USEC_PER_SEC)

static unsigned int distance(const char *dc, const struct target *t)
{
	return strcmp(t->dc, dc) ? 2 : 0;
}

/* What place.c needs to know of the endpoints of the request's service. */
struct choice {
	struct place_target *list;
	struct target **targets;
	size_t n;
};

static void choice_release(struct choice *c)
{
	g_free(c->list);
	g_free(c->targets);
}

static struct choice list_targets(struct request *r, const char *except,
				  const char *near, int64_t now)
{
	struct fwd *f = r->fwd;
	guint max = g_hash_table_size(f->targets);
	struct choice c = {.list = g_new0(struct place_target, max + 1),
			   .targets = g_new0(struct target *, max + 1)};
	GHashTableIter iter;
	struct target *t;

	g_hash_table_iter_init(&iter, f->targets);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&t)) {
		if (strcmp(t->service, r->service->name) != 0)
			continue;
		c.targets[c.n] = t;
		c.list[c.n++] = (struct place_target){
			.usable = t->serving && now >= t->avoid_until_us,
			.excluded = !strcmp(t->id, except),
			.distance = distance(near, t),
			.slots = t->slots,
			.memory_tokens = r->service->memory_tokens,
			.open = t->open + t->others_open,
			.tokens = MAX(t->tokens + t->others_tokens,
				      t->used_tokens),
			.waiting = t->waiting,
			.prefill = t->prefill + t->others_prefill,
			.slow_us = t->slow_us,
			.tie = g_rand_int(f->rand),
		};
	}
	return c;
}

struct target *request_choose(struct request *r, const char *except,
			      const char *near, bool *any, int64_t now)
{
	struct place_ask ask = {.generation = r->generation,
				.urgent = r->route->aim_us < URGENT_AIM_US,
				.moving = r->move.state != MOVE_NONE,
				.prompt_tokens = r->ask.prompt_tokens,
				.need_tokens = r->need_tokens};
	struct choice c = list_targets(r, except, near, now);
	size_t index = 0;
	enum place_result res = place_choose(c.list, c.n, &ask, &index);
	struct target *t = res == PLACE_OK ? c.targets[index] : NULL;

	*any = res != PLACE_NONE;
	choice_release(&c);
	return t;
}

void request_take_copy(struct request *r, struct copy *c, struct target *t)
{
	g_strlcpy(c->endpoint, t->id, sizeof(c->endpoint));
	c->incarnation = t->incarnation;
	c->tokens = r->need_tokens;
	t->tokens += c->tokens;
	r->fwd->use_changed = true;
}

void request_drop_copy(struct request *r, struct copy *c)
{
	struct target *t = endpoints_target(r->fwd, c->endpoint);

	if (t)
		t->tokens -= c->tokens;
	*c = (struct copy){0};
	r->fwd->use_changed = true;
}

/* Only generations that last are worth a copy. */
const char *request_begin_backup(struct request *r, struct copy *c,
				 const struct target *source, int64_t now)
{
	size_t index = 0;

	request_drop_copy(r, c);
	if (!r->generation || !r->service->backups ||
	    r->need_tokens < r->ask.prompt_tokens + BACKUP_MIN_TOKENS)
		return NULL;
	struct choice ch = list_targets(r, source->id, source->dc, now);
	bool found = place_backup(ch.list, ch.n, r->need_tokens, &index);
	struct target *t = found ? ch.targets[index] : NULL;
	choice_release(&ch);
	if (!t)
		return NULL;
	request_take_copy(r, c, t);
	return t->addr;
}
