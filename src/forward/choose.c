#include "forward/request.h"

#include <string.h>

#include "base/clock.h"
#include "forward/move_order.h"
#include "forward/place.h"
#include "forward/spread.h"
#include "policy/usage_interval.h"

#include <xxhash.h>

/*
 * Choice of an endpoint for a request: gathers the input of place.c from the
 * endpoints' state.  Also counts KV copies as load on their endpoints.
 */

/* A request is urgent if its route's target latency is less than this. */
#define URGENT_TARGET_US (2 * USEC_PER_SEC)

static unsigned int distance(const char *dc, const struct fwd_endpoint *ep)
{
	return strcmp(ep->dc, dc) ? 2 : 0;
}

/* Endpoints of the request's service; targets[i] describes endpoints[i]. */
struct candidates {
	struct place_target *targets;
	struct fwd_endpoint **endpoints;
	size_t n;
	const char *group_dcs[SPREAD_GROUPS_MAX]; /* data centre by group */
	unsigned int n_groups;
};

static void candidates_release(struct candidates *c)
{
	g_free(c->targets);
	g_free(c->endpoints);
}

/* Further data centres share the last group. */
static unsigned int group_of(struct candidates *c, const char *dc)
{
	unsigned int g = 0;

	while (g < c->n_groups && strcmp(c->group_dcs[g], dc) != 0)
		g++;
	if (g < c->n_groups)
		return g;
	if (c->n_groups == SPREAD_GROUPS_MAX)
		return SPREAD_GROUPS_MAX - 1;
	c->group_dcs[c->n_groups++] = dc;
	return g;
}

/* Marks the targets whose limits leave no request for this host. */
static void apply_limits(struct candidates *c, struct fwd *f,
			 const char *service, int64_t now)
{
	struct rate_hosts hosts = endpoints_rate_hosts(f, service, now);

	for (size_t i = 0; i < c->n; i++)
		hosts.endpoints += c->targets[i].usable &&
				   rate_is_below_limit(&c->endpoints[i]->rate,
						       &hosts, now);
	for (size_t i = 0; i < c->n; i++)
		c->targets[i].rate_limited =
			!rate_has_room(&c->endpoints[i]->rate, &hosts, now);
}

/*
 * Whether the endpoint may get the request now.  Whether it has room for it is
 * decided later, by place.c.
 */
static bool may_send(const struct request *r, const struct fwd_endpoint *ep,
		     int64_t now)
{
	(void)r;
	return ep->serving && !ep->is_gone && now >= ep->avoid_until_us &&
	       now >= ep->paused_until_us &&
	       !health_is_unhealthy(&ep->health, now);
}

static struct candidates gather_candidates(struct request *r,
					   const char *except_id,
					   const char *near_dc, int64_t now)
{
	struct fwd *f = r->fwd;
	guint max = g_hash_table_size(f->endpoints);
	struct candidates c = {.targets = g_new0(struct place_target, max + 1),
			       .endpoints =
				       g_new0(struct fwd_endpoint *, max + 1)};
	GHashTableIter iter;
	struct fwd_endpoint *ep;

	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep)) {
		if (strcmp(ep->service, r->service->name) != 0)
			continue;
		c.endpoints[c.n] = ep;
		c.targets[c.n++] = (struct place_target){
			.usable = may_send(r, ep, now),
			.excluded = !strcmp(ep->id, except_id),
			.distance = distance(near_dc, ep),
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
			.group = group_of(&c, ep->dc),
		};
	}
	apply_limits(&c, f, r->service->name, now);
	return c;
}

bool request_is_urgent(const struct request *r)
{
	return r->route->target_latency_us < URGENT_TARGET_US;
}

/*
 * Rendezvous hashing: when several endpoints of a data centre leave at the same
 * time, each target there is reserved for the source with the highest score.
 * All hosts compute the same scores, so they agree without a message.
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

/* Marks the targets that are reserved for sources other than the request's. */
static void reserve_for_other_sources(struct candidates *c,
				      const struct request *r)
{
	const struct fwd_endpoint *source =
		endpoints_find(r->fwd, r->move.source_id);

	for (size_t i = 0; source && i < c->n; i++) {
		uint64_t own = rendezvous_score(source, c->endpoints[i]);

		for (size_t j = 0; j < c->n && !c->targets[i].reserved; j++)
			c->targets[i].reserved =
				c->endpoints[j] != source &&
				!strcmp(c->endpoints[j]->dc, source->dc) &&
				is_leaving_with_work(c->endpoints[j]) &&
				rendezvous_score(c->endpoints[j],
						 c->endpoints[i]) > own;
	}
}

/* Generations that are moved wait at a target behind the prompts there. */
static void weigh_by_prefill(struct candidates *c, const struct request *r)
{
	const struct move_links links = {r->service->kv_token_bytes,
					 r->service->link_mbps};

	for (size_t i = 0; move_links_known(&links) && i < c->n; i++)
		c->targets[i].move_weight =
			move_target_weight(c->targets[i].prefill_tokens);
}

struct place_capacity request_capacity(struct request *r, int64_t now)
{
	struct candidates c = gather_candidates(r, "", r->fwd->conf->dc, now);
	struct place_capacity s = place_sum_capacity(c.targets, c.n);

	candidates_release(&c);
	return s;
}

/* Requests that other hosts place while this one does not see them: new ones,
 * and if with_queued those that wait there. */
static double count_unseen_of(struct request *r, const struct candidates *c,
			      bool with_queued, int64_t now)
{
	struct rate_hosts hosts =
		endpoints_rate_hosts(r->fwd, r->service->name, now);
	const struct service_state *s =
		endpoints_service_state(r->fwd, r->service->name);
	double arrivals = hosts.recent ? hosts.arrivals_elsewhere
				       : (double)hosts.arrivals * (hosts.n - 1);
	int64_t lag_us = usage_lag_us(hosts.n, r->fwd->use_report_rows,
				      control_link_controls(r->fwd));

	if (!hosts.recent)
		lag_us = MIN(now - r->fwd->totals_received_us, RATE_WINDOW_US);
	return place_unseen(arrivals * USEC_PER_SEC / RATE_WINDOW_US, lag_us,
			    with_queued && r->generation && hosts.recent
				    ? s->queued_elsewhere_tokens
				    : 0,
			    place_sum_capacity(c->targets, c->n).room_tokens,
			    r->need_tokens);
}

static double count_unseen(struct request *r, const struct candidates *c,
			   int64_t now)
{
	return count_unseen_of(r, c, true, now);
}

/* Memory that the request leaves free at each endpoint. */
static uint64_t margin_tokens(struct request *r, const struct candidates *c,
			      int64_t now)
{
	size_t usable = 0;

	if (!r->ask.length_hint || request_is_urgent(r))
		return 0;
	for (size_t i = 0; i < c->n; i++)
		usable += c->targets[i].usable;
	/* What waits elsewhere is placed within quotas of the free room. */
	return length_margin(count_unseen_of(r, c, false, now), usable,
			     r->need_tokens);
}

struct fwd_endpoint *request_choose_endpoint(struct request *r,
					     const char *except_id,
					     const char *near_dc,
					     bool *any_usable, int64_t now)
{
	struct place_request placement = {.generation = r->generation,
					  .urgent = request_is_urgent(r),
					  .prompt_tokens = r->ask.prompt_tokens,
					  .need_tokens = r->need_tokens,
					  .random =
						  g_rand_double(r->fwd->rand)};
	struct candidates c = gather_candidates(r, except_id, near_dc, now);
	size_t index = 0;

	placement.margin_tokens = margin_tokens(r, &c, now);
	placement.unseen = count_unseen(r, &c, now);
	if (r->move.state != MOVE_NONE) {
		reserve_for_other_sources(&c, r);
		weigh_by_prefill(&c, r);
	}
	enum place_result res =
		r->move.state != MOVE_NONE
			? place_choose_move_target(c.targets, c.n,
						   r->need_tokens, &index)
			: place_choose(c.targets, c.n, &placement, &index);
	struct fwd_endpoint *ep = res == PLACE_OK ? c.endpoints[index] : NULL;

	*any_usable = res != PLACE_NO_ENDPOINT;
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
