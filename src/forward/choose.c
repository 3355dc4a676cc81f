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

static unsigned int distance(const char *dc, const struct fwd_endpoint *ep)
{
	return strcmp(ep->dc, dc) ? 2 : 0;
}

/* What place.c needs to know of the endpoints of the request's service. */
struct candidates {
	struct place_target *list;
	struct fwd_endpoint **targets;
	size_t n;
};

static void candidates_release(struct candidates *c)
{
	g_free(c->list);
	g_free(c->targets);
}

static struct candidates gather_candidates(struct request *r,
					   const char *except, const char *near,
					   int64_t now)
{
	struct fwd *f = r->fwd;
	guint max = g_hash_table_size(f->endpoints);
	struct candidates c = {.list = g_new0(struct place_target, max + 1),
			       .targets =
				       g_new0(struct fwd_endpoint *, max + 1)};
	GHashTableIter iter;
	struct fwd_endpoint *ep;

	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep)) {
		if (strcmp(ep->service, r->service->name) != 0)
			continue;
		c.targets[c.n] = ep;
		c.list[c.n++] = (struct place_target){
			.usable = ep->serving && now >= ep->avoid_until_us &&
				  !health_is_unhealthy(&ep->health, now),
			.excluded = !strcmp(ep->id, except),
			.distance = distance(near, ep),
			.slots = ep->slots,
			.memory_tokens = r->service->memory_tokens,
			.open_requests = ep->open_here + ep->open_elsewhere,
			.needed_tokens =
				MAX(ep->needed_here_tokens +
					    ep->needed_elsewhere_tokens,
				    ep->used_tokens),
			.engine_queue = ep->engine_queue,
			.prefill_tokens = ep->prefill_here_tokens +
					  ep->prefill_elsewhere_tokens,
			.tie_breaker = g_rand_int(f->rand),
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
static uint64_t rendezvous_score(const struct fwd_endpoint *source,
				 const struct fwd_endpoint *ep)
{
	XXH64_hash_t seed = XXH64(source->id, strlen(source->id), 0);

	return XXH64(ep->id, strlen(ep->id), seed);
}

static bool is_leaving_with_work(const struct fwd_endpoint *ep)
{
	return !ep->serving && !ep->has_left &&
	       ep->needed_here_tokens + ep->needed_elsewhere_tokens;
}

static void reserve_for_other_sources(struct candidates *c,
				      const struct request *r)
{
	const struct fwd_endpoint *source =
		endpoints_find(r->fwd, r->move.source_id);

	for (size_t i = 0; source && i < c->n; i++) {
		uint64_t own = rendezvous_score(source, c->targets[i]);

		for (size_t j = 0; j < c->n && !c->list[i].reserved; j++)
			c->list[i].reserved =
				c->targets[j] != source &&
				!strcmp(c->targets[j]->dc, source->dc) &&
				is_leaving_with_work(c->targets[j]) &&
				rendezvous_score(c->targets[j], c->targets[i]) >
					own;
	}
}

struct place_capacity request_capacity(struct request *r, int64_t now)
{
	struct candidates c = gather_candidates(r, "", r->fwd->conf->dc, now);
	struct place_capacity s = place_sum_capacity(c.list, c.n);

	candidates_release(&c);
	return s;
}

struct fwd_endpoint *request_choose_endpoint(struct request *r,
					     const char *except,
					     const char *near, bool *any,
					     int64_t now)
{
	struct place_request ask = {.generation = r->generation,
				    .urgent = request_is_urgent(r),
				    .prompt_tokens = r->ask.prompt_tokens,
				    .need_tokens = r->need_tokens};
	struct candidates c = gather_candidates(r, except, near, now);
	size_t index = 0;

	if (r->move.state != MOVE_NONE)
		reserve_for_other_sources(&c, r);
	enum place_result res =
		r->move.state != MOVE_NONE
			? place_choose_move_target(c.list, c.n, r->need_tokens,
						   &index)
			: place_choose(c.list, c.n, &ask, &index);
	struct fwd_endpoint *ep = res == PLACE_OK ? c.targets[index] : NULL;

	*any = res != PLACE_NO_ENDPOINT;
	candidates_release(&c);
	return ep;
}

void request_add_copy(struct request *r, struct kv_copy *c,
		      struct fwd_endpoint *ep)
{
	g_strlcpy(c->endpoint_id, ep->id, sizeof(c->endpoint_id));
	c->incarnation = ep->incarnation;
	c->needed_tokens = r->need_tokens;
	ep->needed_here_tokens += c->needed_tokens;
	r->fwd->use_unreported = true;
}

void request_remove_copy(struct request *r, struct kv_copy *c)
{
	struct fwd_endpoint *ep = endpoints_find(r->fwd, c->endpoint_id);

	if (ep)
		ep->needed_here_tokens -= c->needed_tokens;
	*c = (struct kv_copy){0};
	r->fwd->use_unreported = true;
}
