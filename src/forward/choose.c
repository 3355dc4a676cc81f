#include "forward/request.h"

#include <string.h>

#include "base/clock.h"
#include "forward/place.h"

#include <xxhash.h>

/*
 * What this host knows of the endpoints, as place.c needs it, and the copies
 * of memory that are counted there.
 */

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
			.usable = t->serving && now >= t->avoid_until_us &&
				  !health_is_bad(&t->health, now),
			.excluded = !strcmp(t->id, except),
			.distance = distance(near, t),
			.slots = t->slots,
			.memory_tokens = r->service->memory_tokens,
			.open = t->open + t->others_open,
			.tokens = MAX(t->tokens + t->others_tokens,
				      t->used_tokens),
			.waiting = t->waiting,
			.prefill = t->prefill + t->others_prefill,
			.tie = g_rand_int(f->rand),
		};
	}
	return c;
}

bool request_is_urgent(const struct request *r)
{
	return r->route->aim_us < URGENT_AIM_US;
}

/*
 * The same draw on all hosts, so that they agree without a message: each target
 * near endpoints that leave together belongs to one of them.
 */
static uint64_t claim(const struct target *source, const struct target *t)
{
	XXH64_hash_t seed = XXH64(source->id, strlen(source->id), 0);

	return XXH64(t->id, strlen(t->id), seed);
}

static bool leaves_with_work(const struct target *t)
{
	return !t->serving && !t->left && t->tokens + t->others_tokens;
}

static void share_targets(struct choice *c, const struct request *r)
{
	const struct target *source = endpoints_target(r->fwd, r->move.source);

	for (size_t i = 0; source && i < c->n; i++) {
		uint64_t own = claim(source, c->targets[i]);

		for (size_t j = 0; j < c->n && !c->list[i].taken; j++)
			c->list[i].taken =
				c->targets[j] != source &&
				!strcmp(c->targets[j]->dc, source->dc) &&
				leaves_with_work(c->targets[j]) &&
				claim(c->targets[j], c->targets[i]) > own;
	}
}

struct place_sums request_sums(struct request *r, int64_t now)
{
	struct choice c = list_targets(r, "", r->fwd->conf->dc, now);
	struct place_sums s = place_sum(c.list, c.n);

	choice_release(&c);
	return s;
}

struct target *request_choose(struct request *r, const char *except,
			      const char *near, bool *any, int64_t now)
{
	struct place_ask ask = {.generation = r->generation,
				.urgent = request_is_urgent(r),
				.prompt_tokens = r->ask.prompt_tokens,
				.need_tokens = r->need_tokens};
	struct choice c = list_targets(r, except, near, now);
	size_t index = 0;

	if (r->move.state != MOVE_NONE)
		share_targets(&c, r);
	enum place_result res =
		r->move.state != MOVE_NONE
			? place_move(c.list, c.n, r->need_tokens, &index)
			: place_choose(c.list, c.n, &ask, &index);
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
