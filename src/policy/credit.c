#include <assert.h>
#include <math.h>
#include <string.h>
#include <glib.h>
#include "policy/credit.h"

/*
 * Headroom takes at most one in this many of the host's batch slots, so that a
 * small batch is not mostly left empty.
 */
#define HEADROOM_MAX_SLOTS_DIVISOR 5

/* Requests over which credit_typical_blocks() averages, exponentially. */
#define TYPICAL_SIZE_REQUESTS 16

struct credit_ep {
	char *id;
	uint64_t incarnation;
	uint32_t blocks, block_tokens, max_batch;
	char *model_version;
	bool loading;
	bool remote;
	int64_t ramp_start_us;
	uint64_t granted_blocks;
	int64_t granted_until_us;
	/* Sums over the reservations at each step. */
	double mean_blocks[EST_STEPS], variance[EST_STEPS];
	double lower_rank_blocks; /* now in use by ranks above 0 */
	double typical_blocks[2]; /* credit_typical_blocks(): rank 0, lower
				     ranks */
	double deviations;
	unsigned n_reservations;
	struct list reservations;
};

struct credit {
	const struct credit_ops *ops;
	struct credit_cfg cfg;
	GHashTable *endpoints;
};

static void release_all(struct credit_ep *ep)
{
	struct credit_reservation *res, *tmp;

	list_for_each_entry_safe (res, tmp, &ep->reservations, node)
		credit_release(res);
	assert(ep->n_reservations == 0);
}

static void ep_free(void *p)
{
	struct credit_ep *ep = p;

	release_all(ep);
	g_free(ep->id);
	g_free(ep->model_version);
	g_free(ep);
}

struct credit *credit_new(const struct credit_ops *ops,
			  const struct credit_cfg *cfg)
{
	struct credit *c = g_new0(struct credit, 1);

	c->ops = ops;
	if (cfg)
		c->cfg = *cfg;
	if (!c->cfg.margin_percent)
		c->cfg.margin_percent = 10;
	if (!c->cfg.hosts)
		c->cfg.hosts = 1;
	if (c->cfg.std_deviations <= 0)
		c->cfg.std_deviations = 1;
	if (!c->cfg.ramp_start_shift)
		c->cfg.ramp_start_shift = 3;
	if (!c->cfg.ramp_doubling_us)
		c->cfg.ramp_doubling_us = 2000000;
	c->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ep_free);
	return c;
}

void credit_free(struct credit *c)
{
	if (!c)
		return;
	g_hash_table_destroy(c->endpoints);
	g_free(c);
}

void credit_set_hosts(struct credit *c, unsigned hosts)
{
	c->cfg.hosts = hosts ? hosts : 1;
}

struct credit_ep *credit_set_endpoint(struct credit *c,
				      const struct credit_ep_info *info,
				      int64_t now)
{
	struct credit_ep *ep = g_hash_table_lookup(c->endpoints, info->id);
	bool is_new = false;

	if (!ep) {
		ep = g_new0(struct credit_ep, 1);
		ep->id = g_strdup(info->id);
		ep->deviations = c->cfg.std_deviations;
		list_init(&ep->reservations);
		g_hash_table_insert(c->endpoints, ep->id, ep);
		is_new = true;
	} else if (info->incarnation != ep->incarnation) {
		release_all(ep);
		ep->granted_until_us = 0;
		is_new = true;
	}
	if (is_new || (ep->loading && !info->loading) ||
	    g_strcmp0(ep->model_version, info->model_version))
		ep->ramp_start_us = now;
	if (g_strcmp0(ep->model_version, info->model_version)) {
		g_free(ep->model_version);
		ep->model_version = g_strdup(info->model_version);
	}
	ep->incarnation = info->incarnation;
	ep->blocks = info->blocks;
	ep->block_tokens = info->block_tokens ? info->block_tokens : 16;
	ep->max_batch = info->max_batch;
	ep->loading = info->loading;
	return ep;
}

void credit_set_loading(struct credit_ep *ep, bool loading, int64_t now)
{
	if (ep->loading && !loading)
		ep->ramp_start_us = now;
	ep->loading = loading;
}

void credit_set_remote(struct credit_ep *ep, bool remote)
{
	ep->remote = remote;
}

struct credit_ep *credit_find_endpoint(struct credit *c, const char *id)
{
	return g_hash_table_lookup(c->endpoints, id);
}

void credit_remove_endpoint(struct credit *c, const char *id)
{
	g_hash_table_remove(c->endpoints, id);
}

void credit_set_grant(struct credit_ep *ep, uint64_t blocks, int64_t until_us)
{
	ep->granted_blocks = blocks;
	ep->granted_until_us = until_us;
}

uint64_t credit_granted_blocks(const struct credit_ep *ep, int64_t now)
{
	return now < ep->granted_until_us ? ep->granted_blocks : 0;
}

void credit_revoke_grants(struct credit *c)
{
	GHashTableIter iter;
	void *val;

	g_hash_table_iter_init(&iter, c->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &val))
		((struct credit_ep *)val)->granted_until_us = 0;
}

static uint64_t usable_blocks(const struct credit *c,
			      const struct credit_ep *ep)
{
	return (uint64_t)ep->blocks * (100 - c->cfg.margin_percent) / 100;
}

/* Returns the grant or the safe share, not reduced by ramp-up. */
static uint64_t limit_without_ramp(const struct credit *c,
				   const struct credit_ep *ep, int64_t now)
{
	if (now < ep->granted_until_us)
		return ep->granted_blocks;
	/* Only hosts of the endpoint's own DC have a safe share. */
	if (ep->remote)
		return 0;
	return usable_blocks(c, ep) / c->cfg.hosts;
}

static unsigned ramp_shift(const struct credit *c, const struct credit_ep *ep,
			   int64_t now)
{
	int64_t steps = (now - ep->ramp_start_us) / c->cfg.ramp_doubling_us;

	if (steps < 0)
		steps = 0;
	return steps >= c->cfg.ramp_start_shift
		       ? 0
		       : c->cfg.ramp_start_shift - (unsigned)steps;
}

uint64_t credit_limit_blocks(const struct credit *c, const struct credit_ep *ep,
			     int64_t now)
{
	return limit_without_ramp(c, ep, now) >> ramp_shift(c, ep, now);
}

uint64_t credit_blocks_for_tokens(const struct credit_ep *ep, uint64_t tokens)
{
	return (tokens + ep->block_tokens - 1) / ep->block_tokens;
}

/*
 * Computes mean and variance of the blocks of one generation at each step.  On
 * average the last block is half empty, hence the 0.5.
 */
static void forecast_blocks(const struct credit_ep *ep, uint32_t context,
			    const struct est_forecast *f, float *mean,
			    float *var)
{
	for (unsigned k = 0; k < EST_STEPS; k++) {
		float p = k ? f->survival[k] : 1;
		float blocks = (float)(context + est_step_tokens[k]) /
				       (float)ep->block_tokens +
			       0.5f;

		mean[k] = p * blocks;
		var[k] = p * (1 - p) * blocks * blocks;
	}
}

static float max_blocks(const float *blocks)
{
	float max = 0;

	for (unsigned k = 0; k < EST_STEPS; k++)
		if (blocks[k] > max)
			max = blocks[k];
	return max;
}

/*
 * Returns the blocks beyond the credit that urgent requests of accounts below
 * their share may use: the host's part of the margin, or the blocks of its
 * generations of lower ranks if that is more.  Endpoints serve urgent requests
 * first and preempt these generations if memory runs out.
 */
static double blocks_beyond_credit(const struct credit *c,
				   const struct credit_ep *ep, uint64_t limit)
{
	double margin = (double)limit * c->cfg.margin_percent / 100;

	return limit ? fmax(margin, ep->lower_rank_blocks) : 0;
}

static bool leased_fits(const struct credit *c, const struct credit_ep *ep,
			const struct credit_need *need, int64_t now)
{
	uint64_t full = limit_without_ramp(c, ep, now), limit, slots,
		 reserved_slots;
	float mean[EST_STEPS], var[EST_STEPS], needed, cap;
	unsigned steps = EST_STEPS;
	double available;

	if (ep->loading || (ep->remote && now >= ep->granted_until_us))
		return false;
	forecast_blocks(ep, need->prompt_tokens, &need->output_forecast, mean,
			var);
	/*
	 * The need of a request is limited to the usable memory of an
	 * endpoint; a larger request would never be placed.
	 */
	cap = fmaxf((float)usable_blocks(c, ep) - (float)need->headroom_blocks,
		    1);
	for (unsigned k = 0; k < EST_STEPS; k++)
		mean[k] = fminf(mean[k], cap);
	needed = max_blocks(mean);
	/*
	 * If nothing else is reserved, a request is admitted without a grant,
	 * because the safe share may be smaller than any request, and during
	 * ramp-up if it fits the whole grant.
	 */
	if (!ep->n_reservations &&
	    (now >= ep->granted_until_us || (double)full >= needed))
		return true;

	limit = full >> ramp_shift(c, ep, now);
	slots = ep->max_batch;
	if (slots && usable_blocks(c, ep)) {
		/* The host's slots are in proportion to its memory. */
		slots = (slots * limit + usable_blocks(c, ep) - 1) /
			usable_blocks(c, ep);
		if (!slots)
			slots = 1;
	}
	reserved_slots = need->headroom_slots;
	if (reserved_slots > slots / HEADROOM_MAX_SLOTS_DIVISOR)
		reserved_slots = slots / HEADROOM_MAX_SLOTS_DIVISOR;
	if (ep->max_batch && ep->n_reservations + reserved_slots >= slots)
		return false;
	available = (double)limit - need->headroom_blocks;
	/*
	 * Urgent requests of accounts below their share are few and short, so
	 * they must fit only now and at the next step.  They may use the memory
	 * into which running generations are expected to grow later.  On an
	 * endpoint of another DC, blocks beyond the credit are for the requests
	 * of that DC.
	 */
	if (!need->rank && !need->bulk && !ep->remote) {
		available += blocks_beyond_credit(c, ep, limit);
		steps = 2;
	}
	for (unsigned k = 0; k < steps; k++)
		if (ep->mean_blocks[k] + mean[k] +
			    ep->deviations * sqrt(ep->variance[k] + var[k]) >
		    available)
			return false;
	return true;
}

static bool admit_all(const struct credit *c, const struct credit_ep *ep,
		      const struct credit_need *need, int64_t now)
{
	(void)c;
	(void)need;
	return !ep->loading && (!ep->remote || now < ep->granted_until_us);
}

const struct credit_ops credit_leased = {"leased", leased_fits};
const struct credit_ops credit_admit_all = {"admit_all", admit_all};

bool credit_fits(const struct credit *c, const struct credit_ep *ep,
		 const struct credit_need *need, int64_t now)
{
	return c->ops->fits(c, ep, need, now);
}

/* Adds (sign 1) the reservation to the endpoint's sums or subtracts it (-1). */
static void add_to_sums(struct credit_reservation *res, int sign)
{
	struct credit_ep *ep = res->ep;

	if (res->lower_rank)
		ep->lower_rank_blocks += sign * (double)res->mean_blocks[0];
	if (!ep->n_reservations || ep->lower_rank_blocks < 0)
		ep->lower_rank_blocks = 0;
	for (unsigned k = 0; k < EST_STEPS; k++) {
		ep->mean_blocks[k] += sign * (double)res->mean_blocks[k];
		ep->variance[k] += sign * (double)res->variance[k];
		/* Rounding errors must not accumulate. */
		if (!ep->n_reservations || ep->mean_blocks[k] < 0)
			ep->mean_blocks[k] = 0;
		if (!ep->n_reservations || ep->variance[k] < 0)
			ep->variance[k] = 0;
	}
}

static void update_average(double *typical, double blocks)
{
	*typical += *typical > 0 ? (blocks - *typical) / TYPICAL_SIZE_REQUESTS
				 : blocks;
}

void credit_reserve(struct credit_ep *ep, struct credit_reservation *res,
		    const struct credit_need *need)
{
	memset(res, 0, sizeof(*res));
	res->ep = ep;
	res->prompt_tokens = need->prompt_tokens;
	res->lower_rank = need->rank > 0;
	list_add_tail(&ep->reservations, &res->node);
	ep->n_reservations++;
	credit_update(res, 0, &need->output_forecast);
	if (!need->bulk)
		update_average(&ep->typical_blocks[need->rank > 0],
			       max_blocks(res->mean_blocks));
}

double credit_typical_blocks(const struct credit_ep *ep, bool lower)
{
	return ep->typical_blocks[lower];
}

double credit_free_blocks(const struct credit *c, const struct credit_ep *ep,
			  int64_t now)
{
	double limit = (double)credit_limit_blocks(c, ep, now), max = 0;

	if (ep->loading)
		return 0;
	for (unsigned k = 0; k < EST_STEPS; k++)
		max = fmax(max, ep->mean_blocks[k] +
					ep->deviations * sqrt(ep->variance[k]));
	return fmax(limit - max, 0);
}

void credit_update(struct credit_reservation *res, uint32_t output,
		   const struct est_forecast *f)
{
	if (!res->ep)
		return;
	add_to_sums(res, -1);
	forecast_blocks(res->ep, res->prompt_tokens + output, f,
			res->mean_blocks, res->variance);
	add_to_sums(res, 1);
	res->next_update_tokens = output + 2 * res->ep->block_tokens;
}

uint64_t credit_reservation_blocks(const struct credit_reservation *res)
{
	return (uint64_t)ceilf(max_blocks(res->mean_blocks));
}

void credit_release(struct credit_reservation *res)
{
	if (!res->ep)
		return;
	res->ep->n_reservations--;
	add_to_sums(res, -1);
	list_del(&res->node);
	res->ep = NULL;
}

uint64_t credit_reserved_blocks(const struct credit_ep *ep)
{
	double max = 0;

	for (unsigned k = 0; k < EST_STEPS; k++)
		max = fmax(max, ep->mean_blocks[k] +
					ep->deviations * sqrt(ep->variance[k]));
	return (uint64_t)ceil(max);
}

unsigned credit_generations(const struct credit_ep *ep)
{
	return ep->n_reservations;
}

const char *credit_endpoint_id(const struct credit_ep *ep)
{
	return ep->id;
}

void credit_for_each_endpoint(struct credit *c,
			      void (*fn)(struct credit_ep *, void *), void *ctx)
{
	GHashTableIter iter;
	void *val;

	g_hash_table_iter_init(&iter, c->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &val))
		fn(val, ctx);
}
