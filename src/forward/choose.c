#include "forward/request.h"

#include <string.h>

#include "base/clock.h"
#include "forward/leave.h"
#include "forward/move_order.h"
#include "forward/place.h"
#include "forward/regions.h"
#include "forward/spread.h"
#include "obs/counter.h"
#include "policy/usage_interval.h"

#include <xxhash.h>

/*
 * Choice of an endpoint for a request: gathers the input of place.c from the
 * endpoints' state.  Also counts KV copies as load on their endpoints.
 */

/* A request is urgent if its route's target latency is less than this. */
#define URGENT_TARGET_US (2 * USEC_PER_SEC)

/* Endpoints of the request's service; targets[i] describes endpoints[i]. */
struct candidates {
	struct place_target *targets;
	struct fwd_endpoint **endpoints;
	size_t n;
	const char *group_dcs[SPREAD_GROUPS_MAX]; /* data centre by group */
	unsigned int n_groups;
};

/* Whether the events of the request would come later than its route's target
 * there, as the endpoint is slow. */
static bool is_late(const struct request *r, const struct fwd_endpoint *ep)
{
	return r->generation && r->route->target_gap_us &&
	       pace_factor(&ep->pace) > 1 &&
	       pace_busy_gap_us(&ep->pace, r->service->tokens_per_event,
				ep->open_here + ep->open_elsewhere + 1) >
		       r->route->target_gap_us;
}

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

/*
 * Requests a second that all hosts have for each of the service's endpoints
 * with a free slot: those that arrive, and those that wait and are all placed
 * when there is room.
 */
static double wanted_per_endpoint(const struct candidates *c,
				  const struct request *r,
				  const struct rate_hosts *hosts)
{
	const struct service_state *s =
		endpoints_service_state(r->fwd, r->service->name);
	double wanted =
		(double)hosts->arrivals * USEC_PER_SEC / RATE_WINDOW_US +
		(double)r->fwd->n_waiting;
	unsigned int with_room = 0;

	if (hosts->recent)
		wanted += (double)hosts->arrivals_elsewhere * USEC_PER_SEC /
				  RATE_WINDOW_US +
			  (double)demand_sum(&s->queued_elsewhere) /
				  (double)MAX(r->need_tokens, 1);
	else
		wanted *= hosts->n;
	for (size_t i = 0; i < c->n; i++)
		with_room += c->targets[i].usable &&
			     c->targets[i].open_requests < c->targets[i].slots;
	return wanted / MAX(with_room, 1);
}

/* Marks the targets whose limits leave no request for this host. */
static void apply_limits(struct candidates *c, struct request *r, int64_t now)
{
	struct fwd *f = r->fwd;
	const char *service = r->service->name;
	struct rate_hosts hosts = endpoints_rate_hosts(f, service, now);
	const struct warmup_pace *pace = endpoints_warmup_pace(f, service);
	double wanted = wanted_per_endpoint(c, r, &hosts);

	for (size_t i = 0; i < c->n; i++)
		hosts.endpoints += c->targets[i].usable &&
				   rate_is_below_limit(&c->endpoints[i]->rate,
						       &hosts, now);
	for (size_t i = 0; i < c->n; i++) {
		struct fwd_endpoint *ep = c->endpoints[i];

		c->targets[i].rate_limited =
			!rate_has_room(&ep->rate, &hosts, now) ||
			!warmup_has_room(&ep->warmup, pace, wanted, now);
		c->targets[i].cold = warmup_is_cold(&ep->warmup, pace, now);
	}
}

bool request_is_permitted(struct request *r, const struct fwd_endpoint *ep)
{
	return request_region_allowed(r, ep);
}

/* Whether any request may be sent to the endpoint, which may fail most of them
 * (failures.h). */
static bool is_usable(struct fwd *f, const struct fwd_endpoint *ep, int64_t now)
{
	return !endpoints_is_evacuated(f, ep) && ep->serving && !ep->is_gone &&
	       now >= ep->avoid_until_us && now >= ep->paused_until_us;
}

/*
 * Whether the endpoint may get the request now, if no other one that does not
 * fail may.  Whether it has room for it is decided later, by place.c.
 */
static bool may_send(struct request *r, const struct fwd_endpoint *ep,
		     int64_t now)
{
	return now >= r->fwd->hold_until_us && request_is_permitted(r, ep) &&
	       is_usable(r->fwd, ep, now);
}

bool request_may_use_endpoint(struct request *r, const struct fwd_endpoint *ep,
			      int64_t now)
{
	return may_send(r, ep, now) && !ep->failures.avoided;
}

/* Whether an attempt did not reach the endpoint, before a stream began. */
static bool is_unreached(const struct request *r, const struct fwd_endpoint *ep)
{
	return r->unreached && r->state != REQUEST_STREAM &&
	       r->state != REQUEST_PAUSED &&
	       g_ptr_array_find_with_equal_func(r->unreached, ep->id,
						g_str_equal, NULL);
}

bool request_any_untried(struct request *r, int64_t now)
{
	GHashTableIter iter;
	struct fwd_endpoint *ep;

	g_hash_table_iter_init(&iter, r->fwd->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep))
		if (!strcmp(ep->service, r->service->name) &&
		    request_may_use_endpoint(r, ep, now) &&
		    !is_unreached(r, ep))
			return true;
	return false;
}

static bool is_excluded(const struct request *r, const struct fwd_endpoint *ep,
			const char *except_id)
{
	return *except_id &&
	       (!strcmp(ep->id, except_id) || is_unreached(r, ep));
}

/*
 * Lets the request use endpoints that fail if no other one may get it: all that
 * it may use fail, or the others have ended.  Generations are not moved there.
 */
static void use_failing(struct candidates *c, struct request *r, int64_t now)
{
	bool any = r->move.state != MOVE_NONE;

	for (size_t i = 0; i < c->n; i++)
		any |= c->targets[i].usable;
	for (size_t i = 0; !any && i < c->n; i++)
		c->targets[i].usable = may_send(r, c->endpoints[i], now);
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
			.usable = request_may_use_endpoint(r, ep, now),
			.excluded = is_excluded(r, ep, except_id),
			.distance = leave_distance(f, near_dc, ep),
			.slots = ep->slots,
			.memory_tokens = r->service->memory_tokens,
			.open_requests = ep->open_here + ep->open_elsewhere,
			.needed_tokens = ep->needed_here_tokens +
					 ep->needed_elsewhere_tokens,
			.engine_queue = ep->engine_queue,
			.prefill_tokens = ep->prefill_here_tokens +
					  ep->prefill_elsewhere_tokens,
			.pace = pace_factor(&ep->pace),
			.late = is_late(r, ep),
			.failure_cost_us = failures_cost_us(&ep->failures,
							    r->attempts > 0),
			.tie_breaker = g_rand_int(f->rand),
			.group = group_of(&c, ep->dc),
			.region = ep->region == RESIDENCY_UNKNOWN
					  ? 0
					  : (unsigned int)ep->region + 1,
		};
	}
	use_failing(&c, r, now);
	if (r->generation)
		place_add_unseen_load(c.targets, c.n,
				      unseen_hosts_ratio(&f->unseen_hosts));
	for (size_t i = 0; i < c.n; i++)
		c.targets[i].needed_tokens = MAX(c.targets[i].needed_tokens,
						 c.endpoints[i]->used_tokens);
	apply_limits(&c, r, now);
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

static bool is_leaving_with_work(const struct fwd *f,
				 const struct fwd_endpoint *ep)
{
	return (!ep->serving || endpoints_is_evacuated(f, ep)) &&
	       !ep->has_left &&
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
				is_leaving_with_work(r->fwd, c->endpoints[j]) &&
				rendezvous_score(c->endpoints[j],
						 c->endpoints[i]) > own;
	}
}

bool request_any_usable(struct request *r, int64_t *back_us, int64_t now)
{
	GHashTableIter iter;
	struct fwd_endpoint *ep;
	int64_t back = INT64_MAX;

	*back_us = 0;
	g_hash_table_iter_init(&iter, r->fwd->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep)) {
		if (strcmp(ep->service, r->service->name) != 0)
			continue;
		if (may_send(r, ep, now))
			return true;
		if (request_is_permitted(r, ep) && ep->serving && !ep->is_gone)
			back = MIN(back, MAX(ep->paused_until_us,
					     ep->avoid_until_us));
	}
	if (back != INT64_MAX && back > now)
		*back_us = back - now;
	return false;
}

/* The room or the memory of the service's usable endpoints by region, whatever
 * regions the request may use. */
static struct demand_amounts sum_by_region(struct request *r, bool memory,
					   int64_t now)
{
	struct candidates c = gather_candidates(r, "", r->fwd->conf->dc, now);
	struct demand_amounts a = {0};

	for (size_t i = 0; i < c.n; i++) {
		c.targets[i].usable = is_usable(r->fwd, c.endpoints[i], now) &&
				      !c.endpoints[i]->failures.avoided;
		struct place_capacity s = place_sum_capacity(&c.targets[i], 1);
		demand_add_amount(&a, c.endpoints[i]->region,
				  memory ? s.memory_tokens : s.room_tokens);
	}
	candidates_release(&c);
	return a;
}

uint64_t request_competing(struct request *r, const struct demands *d,
			   bool memory, int64_t now)
{
	const struct residency *allowed = request_residency(r);

	if (!d->n ||
	    (d->n == 1 && residency_equal(&d->list[0].allowed, allowed)))
		return demand_sum(d);
	struct demand_amounts a = sum_by_region(r, memory, now);
	return demand_competing(d, allowed, &a);
}

/* Generations that are moved wait at a target behind the prompts there. */
static void weigh_by_prefill(struct candidates *c, const struct request *r)
{
	const struct move_links links = {r->service->kv_token_bytes,
					 r->service->link_mbps};

	for (size_t i = 0; move_links_known(&links) && i < c->n; i++)
		c->targets[i].move_weight = move_target_weight(
			c->targets[i].prefill_tokens, c->targets[i].pace);
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
	uint64_t queued_tokens =
		with_queued && r->generation && hosts.recent
			? request_competing(r, &s->queued_elsewhere, false, now)
			: 0;
	int64_t lag_us = usage_lag_us(hosts.n, r->fwd->use_report_rows,
				      control_link_controls(r->fwd));

	if (!hosts.recent)
		lag_us = MIN(now - r->fwd->totals_received_us, RATE_WINDOW_US);
	return place_unseen(arrivals * USEC_PER_SEC / RATE_WINDOW_US, lag_us,
			    queued_tokens,
			    place_sum_capacity(c->targets, c->n).room_tokens,
			    r->need_tokens);
}

static bool is_in_region_of_host(const struct fwd *f,
				 const struct fwd_endpoint *ep)
{
	const char *own = conf_region(f->conf, f->conf->dc);
	const char *other = conf_region(f->conf, ep->dc);

	return !strcmp(ep->dc, f->conf->dc) ||
	       (own && other && !strcmp(own, other));
}

/*
 * Moves stay in the data centre because endpoints that are reclaimed have no
 * time for slower copies.  The endpoints of an evacuated one go on running, and
 * all targets are elsewhere: those of the host's region are preferred.
 */
static enum place_result choose_target(struct candidates *c,
				       const struct request *r, size_t *index)
{
	const struct fwd_endpoint *source =
		endpoints_find(r->fwd, r->move.source_id);
	bool leaves_dc = source && source->serving &&
			 endpoints_is_evacuated(r->fwd, source);

	for (size_t i = 0; leaves_dc && i < c->n; i++)
		if (is_in_region_of_host(r->fwd, c->endpoints[i]))
			c->targets[i].distance = 0;
	enum place_result res = place_choose_move_target(c->targets, c->n,
							 r->need_tokens, index);
	if (!leaves_dc || res == PLACE_OK)
		return res;
	for (size_t i = 0; i < c->n; i++)
		c->targets[i].distance = 0;
	return place_choose_move_target(c->targets, c->n, r->need_tokens,
					index);
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

/*
 * Keeps the last room of each other data centre for its own requests.  Those of
 * the service are taken to arrive evenly over the data centres.  What waits in
 * queues is not counted, as its hosts would then keep each other from room that
 * is free.
 */
static void keep_last_room(struct candidates *c, struct request *r, int64_t now)
{
	double unseen = count_unseen_of(r, c, false, now);
	uint64_t free_tokens[SPREAD_GROUPS_MAX] = {0};

	for (size_t i = 0; i < c->n; i++)
		free_tokens[c->targets[i].group] +=
			place_sum_capacity(&c->targets[i], 1).room_tokens;
	for (size_t i = 0; i < c->n; i++)
		c->targets[i].kept =
			c->targets[i].distance &&
			!leave_has_room(free_tokens[c->targets[i].group],
					unseen / MAX(c->n_groups, 1u),
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
	int64_t cost_us[LEAVE_CLASSES];
	size_t index = 0;

	placement.margin_tokens = margin_tokens(r, &c, now);
	placement.unseen = count_unseen(r, &c, now);
	if (leave_costs(r, cost_us, now)) {
		placement.distance_us = cost_us;
		/* Urgent generations have room of their own at each endpoint
		 * (place.c), and would be refused rather than wait. */
		if (r->generation && !placement.urgent &&
		    r->move.state == MOVE_NONE &&
		    now - r->arrived_us < LEAVE_KEPT_US)
			keep_last_room(&c, r, now);
	}
	if (r->move.state != MOVE_NONE) {
		reserve_for_other_sources(&c, r);
		weigh_by_prefill(&c, r);
	}
	enum place_result res =
		r->move.state != MOVE_NONE
			? choose_target(&c, r, &index)
			: place_choose(c.targets, c.n, &placement, &index);
	struct fwd_endpoint *ep = res == PLACE_OK ? c.endpoints[index] : NULL;

	if (ep && c.targets[index].late && r->move.state == MOVE_NONE)
		counter_add(C_PACE_LATE, NULL, 1);
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
