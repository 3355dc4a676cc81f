#include <assert.h>
#include <string.h>
#include <xxhash.h>
#include "policy/pause.h"
#include "policy/route_int.h"

/* Endpoints whose departed incarnation is recorded; the oldest are dropped. */
#define LEFT_INCARNATIONS_MAX 4096

/* Weight of a new observation in the moving averages of an endpoint. */
#define EWMA_ALPHA 0.05

static void finish_all_streams(struct route_ep *ep)
{
	struct route_stream *s, *tmp;

	list_for_each_entry_safe (s, tmp, &ep->streams, node)
		route_stream_finished(s);
	assert(ep->n_streams == 0 && ep->reserved_blocks == 0);
}

static void ep_free(void *p)
{
	struct route_ep *ep = p;

	finish_all_streams(ep);
	g_free(ep->id);
	g_free(ep->addr);
	g_free(ep->dc);
	g_free(ep->model_version);
	g_strfreev(ep->models);
	g_free(ep);
}

static void model_free(void *p)
{
	struct route_model *m = p;

	g_ptr_array_free(m->eps, TRUE);
	g_free(m->name);
	g_free(m);
}

struct route *route_new(const struct route_ops *ops,
			const struct route_tuning *cfg)
{
	struct route *r = g_new0(struct route, 1);
	struct route_tuning *c = &r->cfg;

	r->ops = ops;
	*c = *cfg;
	r->dc = g_strdup(cfg->dc);
	c->dc = r->dc;
	if (c->prefix_weight <= 0)
		c->prefix_weight = 1;
	if (c->rendezvous_weight <= 0)
		c->rendezvous_weight = 0.3;
	if (!c->cache_entries)
		c->cache_entries = 65536;
	if (!c->spill_after_us)
		c->spill_after_us = 500000;
	if (!c->stall_factor)
		c->stall_factor = 3;
	if (!c->stall_min_us)
		c->stall_min_us = 300000;
	if (!c->stall_first_token_us)
		c->stall_first_token_us = 3000000;
	if (!c->load_report_age_us)
		c->load_report_age_us = 1000000;
	r->eps = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ep_free);
	r->models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  model_free);
	r->left_incarnations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&r->left_order);
	r->prefix_index = prefix_index_new(c->cache_entries);
	struct spill_cfg spill = {.bytes_per_s = c->spill_bytes_per_s,
				  .burst_bytes = c->spill_burst_bytes};
	for (unsigned i = 0; i < QUEUE_RANKS; i++)
		spill.rank_percent[i] = 100;
	spill_init(&r->spill, &spill);
	r->candidates =
		g_array_new(FALSE, FALSE, sizeof(struct route_candidate));
	return r;
}

void route_free(struct route *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->models);
	g_hash_table_destroy(r->eps);
	g_queue_clear(&r->left_order);
	g_hash_table_destroy(r->left_incarnations);
	prefix_index_free(r->prefix_index);
	g_array_free(r->candidates, TRUE);
	g_free(r->dc);
	g_free(r);
}

static void record_left_incarnation(struct route *r, const struct route_ep *ep)
{
	uint64_t *inc = g_hash_table_lookup(r->left_incarnations, ep->id);
	char *id;

	if (inc) {
		if (*inc < ep->incarnation)
			*inc = ep->incarnation;
		return;
	}
	if (r->left_order.length >= LEFT_INCARNATIONS_MAX)
		g_hash_table_remove(r->left_incarnations,
				    g_queue_pop_head(&r->left_order));
	id = g_strdup(ep->id);
	inc = g_new(uint64_t, 1);
	*inc = ep->incarnation;
	g_hash_table_insert(r->left_incarnations, id, inc);
	g_queue_push_tail(&r->left_order, id);
}

static bool has_left(const struct route *r, const char *id,
		     uint64_t incarnation)
{
	const uint64_t *inc = g_hash_table_lookup(r->left_incarnations, id);

	return inc && incarnation <= *inc;
}

static void index_models(struct route *r, struct route_ep *ep, bool add)
{
	for (char **m = ep->models; m && *m; m++) {
		struct route_model *model = g_hash_table_lookup(r->models, *m);

		if (!add) {
			if (model)
				g_ptr_array_remove_fast(model->eps, ep);
			if (model && !model->eps->len)
				g_hash_table_remove(r->models, *m);
			continue;
		}
		if (!model) {
			model = g_new0(struct route_model, 1);
			model->name = g_strdup(*m);
			model->eps = g_ptr_array_new();
			g_hash_table_insert(r->models, model->name, model);
		}
		g_ptr_array_add(model->eps, ep);
	}
}

static void set_models(struct route *r, struct route_ep *ep,
		       const struct route_ep_info *info)
{
	size_t i = 0;

	if (ep->models) {
		while (i < info->n_models && ep->models[i] &&
		       !strcmp(ep->models[i], info->models[i]))
			i++;
		if (i == info->n_models && !ep->models[i])
			return;
	}
	index_models(r, ep, false);
	g_strfreev(ep->models);
	ep->models = g_new0(char *, info->n_models + 1);
	for (i = 0; i < info->n_models; i++)
		ep->models[i] = g_strdup(info->models[i]);
	index_models(r, ep, true);
}

static void replace_string(char **field, const char *value)
{
	if (!g_strcmp0(*field, value))
		return;
	g_free(*field);
	*field = g_strdup(value);
}

/* Discards what was observed of an earlier incarnation. */
static void reset_for_incarnation(struct route *r, struct route_ep *ep,
				  uint64_t incarnation)
{
	finish_all_streams(ep);
	ep->incarnation = incarnation;
	ep->serial = ++r->last_serial;
	ep->confirmed_us = INT64_MIN;
	memset(&ep->load, 0, sizeof(ep->load));
	ep->load_sampled_us = INT64_MIN;
	ep->token_interval_us = ep->first_token_us = 0;
	ep->backoff_until_us = ep->paused_until_us = 0;
	ep->cache_event_seq = ep->cache_uncertain_seq = 0;
}

static void set_state(struct route_ep *ep, enum route_state state)
{
	if (ep->state != ROUTE_LEAVING)
		ep->state = state;
}

struct route_ep *route_upsert_endpoint(struct route *r,
				       const struct route_ep_info *info,
				       int64_t now)
{
	struct route_ep *ep = g_hash_table_lookup(r->eps, info->id);

	(void)now;
	if (!ep) {
		ep = g_new0(struct route_ep, 1);
		ep->id = g_strdup(info->id);
		ep->id_hash = XXH64(ep->id, strlen(ep->id), 0);
		list_init(&ep->streams);
		g_hash_table_insert(r->eps, ep->id, ep);
		reset_for_incarnation(r, ep, info->incarnation);
		ep->state = info->state;
	} else if (info->incarnation < ep->incarnation) {
		return ep;
	} else if (info->incarnation > ep->incarnation) {
		reset_for_incarnation(r, ep, info->incarnation);
		ep->state = info->state;
	} else {
		set_state(ep, info->state);
	}
	if (has_left(r, ep->id, ep->incarnation))
		ep->state = ROUTE_LEAVING;
	if (ep->state == ROUTE_LEAVING)
		record_left_incarnation(r, ep);
	replace_string(&ep->addr, info->addr);
	replace_string(&ep->dc, info->dc);
	replace_string(&ep->model_version, info->model_version);
	ep->remote = info->remote;
	ep->blocks = info->blocks;
	ep->max_batch = info->max_batch;
	set_models(r, ep, info);
	return ep;
}

struct route_ep *route_find_endpoint(struct route *r, const char *id)
{
	return g_hash_table_lookup(r->eps, id);
}

void route_remove_endpoint(struct route *r, const char *id)
{
	struct route_ep *ep = g_hash_table_lookup(r->eps, id);

	if (!ep)
		return;
	if (ep->state == ROUTE_LEAVING)
		record_left_incarnation(r, ep);
	index_models(r, ep, false);
	g_hash_table_remove(r->eps, id);
}

const char *route_ep_id(const struct route_ep *ep)
{
	return ep->id;
}

const char *route_ep_dc(const struct route_ep *ep)
{
	return ep->dc;
}

const char *route_ep_addr(const struct route_ep *ep)
{
	return ep->addr;
}

uint64_t route_ep_incarnation(const struct route_ep *ep)
{
	return ep->incarnation;
}

void route_set_credit(struct route_ep *ep, const struct credit_ep *credit)
{
	ep->credit = credit;
}

void route_confirm_registry(struct route *r, int64_t at)
{
	GHashTableIter iter;
	void *val;

	g_hash_table_iter_init(&iter, r->eps);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct route_ep *ep = val;

		if (!ep->remote &&
		    (ep->state == ROUTE_SERVING ||
		     ep->state == ROUTE_LOADING) &&
		    at > ep->confirmed_us)
			ep->confirmed_us = at;
	}
}

void route_set_observed_state(struct route_ep *ep, uint64_t incarnation,
			      enum route_state state, int64_t now)
{
	if (incarnation != ep->incarnation)
		return;
	set_state(ep, state);
	if (ep->state == ROUTE_SERVING && now > ep->confirmed_us)
		ep->confirmed_us = now;
}

void route_load_report(struct route *r, struct route_ep *ep,
		       const struct route_load *load, int64_t now)
{
	ep->load = *load;
	ep->load_sampled_us = now - r->cfg.load_report_age_us;
}

void route_set_spill_after(struct route *r, int64_t us)
{
	r->cfg.spill_after_us = us;
}

int64_t route_spill_after(const struct route *r)
{
	return r->cfg.spill_after_us;
}

struct spill_budget *route_spill_budget(struct route *r)
{
	return &r->spill;
}

bool route_is_remote(const struct route *r, const struct route_ep *ep)
{
	return g_strcmp0(ep->dc, r->dc) != 0;
}

bool route_has_local(const struct route *r, const char *model)
{
	const struct route_model *m = g_hash_table_lookup(r->models, model);

	for (unsigned i = 0; m && i < m->eps->len; i++) {
		const struct route_ep *ep = g_ptr_array_index(m->eps, i);

		if (!route_is_remote(r, ep) && ep->state != ROUTE_LEAVING &&
		    ep->state != ROUTE_DEAD)
			return true;
	}
	return false;
}

bool route_eligible(const struct route_ep *ep, int64_t now)
{
	return ep->state == ROUTE_SERVING && ep->confirmed_us != INT64_MIN &&
	       now - ep->confirmed_us < ROUTE_CONFIRMATION_TTL_US;
}

static void apply_cache_event(struct route *r, struct route_ep *ep,
			      uint64_t seq, uint64_t hash, bool cached)
{
	/* A lost event may have removed any entry from before the gap. */
	if (ep->cache_event_seq && seq > ep->cache_event_seq + 1)
		ep->cache_uncertain_seq = ep->cache_event_seq;
	if (seq > ep->cache_event_seq)
		ep->cache_event_seq = seq;
	prefix_index_apply(r->prefix_index, hash, ep->serial, seq, cached);
}

void route_cache_added(struct route *r, struct route_ep *ep, uint64_t seq,
		       uint64_t hash)
{
	apply_cache_event(r, ep, seq, hash, true);
}

void route_cache_removed(struct route *r, struct route_ep *ep, uint64_t seq,
			 uint64_t hash)
{
	apply_cache_event(r, ep, seq, hash, false);
}

void route_stream_started(struct route *r, struct route_ep *ep,
			  struct route_stream *s, const struct route_query *q,
			  uint64_t blocks, int64_t now)
{
	s->ep = ep;
	s->started_us = now;
	s->has_token = false;
	s->blocks = blocks;
	s->paused = false;
	s->spill.active = false;
	list_add_tail(&ep->streams, &s->node);
	ep->n_streams++;
	ep->reserved_blocks += blocks;
	if (route_is_remote(r, ep))
		spill_reserve(&r->spill, &s->spill, q->need.rank, q->bytes,
			      now);
	/*
	 * The endpoint will cache the prefix, but its events may arrive after
	 * the next request with this prefix: assume the entries now.
	 */
	for (size_t k = 0; q->prefixes && k < prefix_probe_count(q->n_prefixes);
	     k++)
		prefix_index_apply(
			r->prefix_index,
			q->prefixes[prefix_probe_index(q->n_prefixes, k)],
			ep->serial, 0, true);
}

static void update_ewma(double *avg, double x)
{
	*avg = *avg > 0 ? *avg + EWMA_ALPHA * (x - *avg) : x;
}

void route_pause(struct route_ep *ep, int64_t asked_us, int64_t now)
{
	ep->paused_until_us = pause_extend(ep->paused_until_us, asked_us, now);
}

void route_stream_token(struct route_stream *s, int64_t now)
{
	struct route_ep *ep = s->ep;

	if (!ep)
		return;
	if (s->has_token) {
		update_ewma(&ep->token_interval_us,
			    (double)(now - s->last_token_us));
	} else {
		update_ewma(&ep->first_token_us, (double)(now - s->started_us));
		if (!s->paused)
			ep->n_decoding++;
	}
	s->has_token = true;
	s->last_token_us = now;
	ep->last_token_us = now;
}

void route_stream_finished(struct route_stream *s)
{
	struct route_ep *ep = s->ep;

	if (!ep)
		return;
	list_del(&s->node);
	ep->n_streams--;
	ep->n_paused -= s->paused;
	ep->n_decoding -= s->has_token && !s->paused;
	ep->reserved_blocks -= s->blocks;
	s->ep = NULL;
}

void route_stream_set_paused(struct route_stream *s, bool paused, int64_t now)
{
	struct route_ep *ep = s->ep;

	if (!ep || s->paused == paused)
		return;
	s->paused = paused;
	if (paused) {
		ep->n_paused++;
		ep->n_decoding -= s->has_token;
		return;
	}
	ep->n_paused--;
	/* Exclude the pause from the token interval and the stall time. */
	if (s->has_token) {
		s->last_token_us = now;
		if (!ep->n_decoding++)
			ep->last_token_us = now;
	}
}

bool route_is_stalled(const struct route *r, const struct route_ep *ep,
		      int64_t now)
{
	double limit;

	if (ep->n_decoding) {
		limit = r->cfg.stall_factor * ep->token_interval_us;
		if (limit < (double)r->cfg.stall_min_us)
			limit = (double)r->cfg.stall_min_us;
		return (double)(now - ep->last_token_us) > limit;
	}
	if (ep->n_streams > ep->n_paused) {
		const struct route_stream *s;

		limit = r->cfg.stall_factor * ep->first_token_us;
		if (limit < (double)r->cfg.stall_first_token_us)
			limit = (double)r->cfg.stall_first_token_us;
		/* The list is in order of dispatch: this finds the oldest. */
		list_for_each_entry (s, &ep->streams, node)
			if (!s->paused)
				return (double)(now - s->started_us) > limit;
	}
	return false;
}
