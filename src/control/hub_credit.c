#include <assert.h>
#include <math.h>
#include <string.h>
#include "control/hub_int.h"

/*
 * Credits.  An allocation computes for each endpoint the target of each host:
 *
 *	what its running work holds
 *	+ its share of the floors, then of the rest in the order of the ranks
 *	+ an even share of what is left, so that new work need not wait for the
 *	  next report
 *
 * Within a rank, memory is divided by weighted max-min fairness: each host gets
 * at most its demand, in proportion to its weight.  Each backlogged account
 * spreads its weight evenly over the hosts where it has work waiting.
 *
 * A grant is cut to what the limit leaves after the committed blocks of all
 * other hosts: for each host the largest of its unexpired grants and of what it
 * holds.  So the sum of committed blocks exceeds the limit only if the memory
 * held does.
 */

#define ALLOCATION_INTERVAL_US 250000

/*
 * A host that has stopped reporting counts as holding its memory for this long:
 * until the readers of its streams time out.
 */
#define HELD_TIMEOUT_US INT64_C(30000000)

/* Bound on the number of models, whose names come from announcements. */
#define MODELS_MAX 1024

struct hub_model_demand {
	unsigned slot, rank;
	uint64_t blocks, request_blocks;
};

void hub_model_free(void *p)
{
	struct hub_model *m = p;

	g_array_free(m->demands, TRUE);
	g_free(m->fair_weights);
	g_free(m->name);
	g_free(m);
}

struct hub_model *hub_get_model(struct hub *hub, const char *name)
{
	struct hub_model *m = g_hash_table_lookup(hub->models, name);

	if (m || g_hash_table_size(hub->models) >= MODELS_MAX)
		return m;
	m = g_new0(struct hub_model, 1);
	m->name = g_strdup(name);
	m->demands = g_array_new(FALSE, FALSE, sizeof(struct hub_model_demand));
	g_hash_table_insert(hub->models, m->name, m);
	return m;
}

void hub_ep_set_models(struct hub *hub, struct hub_ep *ep)
{
	if (!ep->models)
		ep->models = g_ptr_array_new();
	g_ptr_array_set_size(ep->models, 0);
	for (size_t i = 0; i < ep->info->n_models; i++) {
		struct hub_model *m = hub_get_model(hub, ep->info->models[i]);

		if (m)
			g_ptr_array_add(ep->models, m);
	}
}

struct hub_cell *hub_get_cell(struct hub *hub, struct hub_ep *ep, unsigned slot)
{
	if (slot >= ep->n_cells) {
		size_t n = hub->slots->len;

		assert(slot < n);
		ep->cells = g_renew(struct hub_cell, ep->cells, n);
		memset(ep->cells + ep->n_cells, 0,
		       (n - ep->n_cells) * sizeof(*ep->cells));
		ep->n_cells = n;
	}
	return &ep->cells[slot];
}

void hub_cell_update_committed(struct hub_ep *ep, struct hub_cell *cell,
			       int64_t now)
{
	uint64_t counted = cell->held_blocks;
	unsigned keep = 0;

	for (unsigned i = 0; i < cell->n_grants; i++)
		if (cell->grants[i].expires_us > now)
			cell->grants[keep++] = cell->grants[i];
	cell->n_grants = keep;
	if (keep && cell->grants[0].blocks > counted)
		counted = cell->grants[0].blocks;
	ep->committed_blocks =
		ep->committed_blocks - cell->committed_blocks + counted;
	cell->committed_blocks = counted;
}

void hub_clear_slot(struct hub *hub, unsigned slot)
{
	GHashTableIter iter;
	void *val;

	g_hash_table_iter_init(&iter, hub->eps);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct hub_ep *ep = val;

		if (slot >= ep->n_cells)
			continue;
		ep->committed_blocks -= ep->cells[slot].committed_blocks;
		memset(&ep->cells[slot], 0, sizeof(ep->cells[slot]));
	}
	hub_spill_clear_slot(hub, slot);
}

static bool accepts_work(const struct hub_ep *ep)
{
	return !ep->dead_us && (!strcmp(ep->info->state, "serving") ||
				!strcmp(ep->info->state, "stale"));
}

static void reset_models(struct hub *hub)
{
	size_t n = (size_t)HUB_RANKS * hub->slots->len;
	GHashTableIter iter;
	void *val;

	g_hash_table_iter_init(&iter, hub->models);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct hub_model *m = val;

		if (m->n_fair_weights != n)
			m->fair_weights = g_renew(double, m->fair_weights, n);
		m->n_fair_weights = n;
		for (size_t i = 0; i < n; i++)
			m->fair_weights[i] = 0;
		m->free_blocks = 0;
		g_array_set_size(m->demands, 0);
	}
}

/* Collects demand and weights of the live hosts; returns their number. */
static unsigned collect_demand(struct hub *hub, int64_t now)
{
	unsigned n_live = 0;

	for (unsigned s = 0; s < hub->slots->len; s++) {
		const struct hub_host *h = g_ptr_array_index(hub->slots, s);
		const struct hub_usage *u;

		if (!h || !hub_host_live(hub, h, now))
			continue;
		n_live++;
		for (unsigned i = 0; i < h->demands->len; i++) {
			const struct hub_demand *d = &g_array_index(
				h->demands, struct hub_demand, i);
			struct hub_model_demand md = {s, d->rank, d->blocks,
						      d->request_blocks};

			g_array_append_val(d->model->demands, md);
		}
		list_for_each_entry (u, &h->backlogged, node)
			u->account->n_backlogged_hosts++;
	}
	for (unsigned s = 0; s < hub->slots->len; s++) {
		const struct hub_host *h = g_ptr_array_index(hub->slots, s);
		const struct hub_usage *u;

		if (!h || !hub_host_live(hub, h, now))
			continue;
		list_for_each_entry (u, &h->backlogged, node) {
			const struct hub_account *a = u->account;

			a->model->fair_weights[a->rank * hub->slots->len + s] +=
				a->weight / a->n_backlogged_hosts;
		}
	}
	for (unsigned s = 0; s < hub->slots->len; s++) {
		const struct hub_host *h = g_ptr_array_index(hub->slots, s);
		const struct hub_usage *u;

		if (h)
			list_for_each_entry (u, &h->backlogged, node)
				u->account->n_backlogged_hosts = 0;
	}
	return n_live;
}

/*
 * Adds to shares[] a division of `amount` in proportion to the weights, of
 * which no host gets more than its demand.  open_weight is scratch space for n
 * numbers: the weights of hosts whose demand is not met yet.
 */
static void divide_by_weight(double *shares, const double *demand,
			     const double *weights, double *open_weight,
			     size_t n, double amount)
{
	double sum_demand = 0, sum_weight = 0, min_weight = 0;
	bool found = true;
	size_t n_demanding = 0;

	for (size_t i = 0; i < n; i++) {
		sum_demand += demand[i];
		n_demanding += demand[i] > 0;
		if (demand[i] > 0)
			sum_weight += weights[i];
	}
	if (sum_demand <= 0)
		return;
	if (sum_demand <= amount || sum_weight <= 0) {
		double factor = sum_demand <= amount ? 1 : amount / sum_demand;

		for (size_t i = 0; i < n; i++)
			shares[i] += demand[i] * factor;
		return;
	}
	/*
	 * A report does not list all accounts: a host whose waiting accounts
	 * are missing still gets a tenth of the mean weight.
	 */
	min_weight = sum_weight / (double)n_demanding / 10;
	sum_weight = 0;
	for (size_t i = 0; i < n; i++) {
		open_weight[i] = 0;
		if (demand[i] > 0)
			open_weight[i] = weights[i] > min_weight ? weights[i]
								 : min_weight;
		sum_weight += open_weight[i];
	}
	while (found && sum_weight > 0) {
		double blocks_left = amount, weight_left = sum_weight;

		found = false;
		for (size_t i = 0; i < n; i++) {
			if (open_weight[i] <= 0 ||
			    demand[i] >
				    blocks_left * open_weight[i] / weight_left)
				continue;
			shares[i] += demand[i];
			amount -= demand[i];
			sum_weight -= open_weight[i];
			open_weight[i] = 0;
			found = true;
		}
	}
	for (size_t i = 0; i < n; i++)
		if (open_weight[i] > 0)
			shares[i] += amount * open_weight[i] / sum_weight;
}

/* Demand and weights of the hosts on one endpoint. */
struct ep_demand {
	double *blocks, *weight; /* [rank][slot] */
	double *buffer;		 /* [slot], scratch of divide_by_weight() */
	double sum[HUB_RANKS];	 /* of the blocks */
};

/*
 * Adds a model's demand to that on one of its endpoints, in proportion to the
 * endpoint's part of the model's free memory.  This part is doubled, because
 * hosts choose the endpoints and may use one more than another, and is at least
 * one whole request.
 */
static void add_model_demand(struct hub *hub, struct hub_ep *ep, double avail,
			     const struct hub_model *m,
			     struct ep_demand *demand)
{
	size_t n = hub->slots->len;

	for (unsigned i = 0; i < m->demands->len; i++) {
		const struct hub_model_demand *d =
			&g_array_index(m->demands, struct hub_model_demand, i);
		struct hub_cell *cell = hub_get_cell(hub, ep, d->slot);
		double blocks;

		if (!d->blocks)
			continue;
		blocks = m->free_blocks > 0 ? 2 * (double)d->blocks * avail /
						      m->free_blocks
					    : 0;
		if (blocks < (double)d->request_blocks)
			blocks = (double)d->request_blocks;
		demand->blocks[d->rank * n + d->slot] += blocks;
		demand->sum[d->rank] += blocks;
		if (d->request_blocks > cell->request_blocks)
			cell->request_blocks =
				d->request_blocks > UINT32_MAX
					? UINT32_MAX
					: (uint32_t)d->request_blocks;
	}
	for (size_t i = 0; i < HUB_RANKS * n; i++)
		demand->weight[i] += m->fair_weights[i];
}

/* Divides the amount over the ranks: floors first, then by rank from 0 up. */
static void divide_by_rank(const struct hub *hub,
			   const struct ep_demand *demand, double amount,
			   double alloc[HUB_RANKS])
{
	double rest = amount;

	for (unsigned r = 0; r < HUB_RANKS; r++) {
		double floor = amount * hub->cfg.floor_percent[r] / 100;

		alloc[r] = fmin(demand->sum[r], floor);
		rest -= alloc[r];
	}
	for (unsigned r = 0; r < HUB_RANKS; r++) {
		double add = fmin(demand->sum[r] - alloc[r], fmax(rest, 0));

		alloc[r] += add;
		rest -= add;
	}
}

/* Rounds down to a power of 2, so that small changes need not be sent. */
static uint64_t even_share(double amount, unsigned hosts)
{
	uint64_t share = hosts && amount > 0 ? (uint64_t)(amount / hosts) : 0;

	return share ? UINT64_C(1) << (63 - __builtin_clzll(share)) : 0;
}

/*
 * While part of the endpoint is lent, rounds down to 1/16 of its limit only.
 * Rounding to a power of 2 on top of the loan would leave the hosts of this
 * data centre so little that new work waits for the next report.
 */
static uint64_t even_share_when_lending(const struct hub *hub,
					const struct hub_ep *ep, double amount,
					unsigned hosts)
{
	uint64_t share = hosts && amount > 0 ? (uint64_t)(amount / hosts) : 0;
	uint64_t step = hub_ep_limit(hub, ep) / 16;

	return step && share >= step ? share - share % step : share;
}

static int compare_deficit(const void *a, const void *b)
{
	const struct hub_cell *x = *(struct hub_cell *const *)a;
	const struct hub_cell *y = *(struct hub_cell *const *)b;

	return (x->deficit_blocks < y->deficit_blocks) -
	       (x->deficit_blocks > y->deficit_blocks);
}

/*
 * A share smaller than the host's next request is useless to it.  Pools such
 * shares and grants them as whole requests, largest deficit first: the sum of
 * the shares that a host has lost to the pool.
 */
static void round_to_whole_requests(struct hub *hub, struct hub_ep *ep,
				    const double *shares, size_t n)
{
	GPtrArray *small = hub->small_cells;
	double pool = 0;

	g_ptr_array_set_size(small, 0);
	for (size_t s = 0; s < n; s++) {
		struct hub_cell *cell = &ep->cells[s];

		cell->target_is_one_request = false;
		if (!cell->request_blocks ||
		    shares[s] >= cell->request_blocks) {
			cell->deficit_blocks = 0;
			continue;
		}
		g_ptr_array_add(small, cell);
		pool += shares[s];
		/* Bounded, so that a past wait gives no lasting priority. */
		cell->deficit_blocks = fmin(cell->deficit_blocks + shares[s],
					    4.0 * cell->request_blocks);
		cell->target_blocks = cell->held_blocks;
	}
	g_ptr_array_sort(small, compare_deficit);
	for (unsigned i = 0; i < small->len; i++) {
		struct hub_cell *cell = g_ptr_array_index(small, i);

		if (pool < cell->request_blocks)
			continue;
		cell->target_blocks = cell->held_blocks + cell->request_blocks;
		cell->target_is_one_request = true;
		pool -= cell->request_blocks;
	}
}

static void allocate_endpoint(struct hub *hub, struct hub_ep *ep,
			      struct ep_demand *demand, double *shares,
			      unsigned n_live, int64_t now)
{
	size_t n = hub->slots->len;
	uint64_t limit = hub_ep_limit(hub, ep), held = 0, even;
	double avail, reserve, alloc[HUB_RANKS], assigned = 0;

	memset(demand->blocks, 0, HUB_RANKS * n * sizeof(*demand->blocks));
	memset(demand->weight, 0, HUB_RANKS * n * sizeof(*demand->weight));
	memset(demand->sum, 0, sizeof(demand->sum));
	memset(shares, 0, n * sizeof(*shares));

	for (unsigned s = 0; s < n; s++) {
		const struct hub_host *h = g_ptr_array_index(hub->slots, s);
		struct hub_cell *cell = hub_get_cell(hub, ep, s);

		if (h && h->last_report_us != INT64_MIN &&
		    now - h->last_report_us > HELD_TIMEOUT_US)
			cell->held_blocks = 0;
		hub_cell_update_committed(ep, cell, now);
		cell->request_blocks = 0;
		held += cell->held_blocks;
	}
	avail = held < limit ? (double)(limit - held) : 0;
	if (!accepts_work(ep))
		avail = 0;
	for (unsigned i = 0; i < ep->models->len; i++)
		add_model_demand(hub, ep, avail,
				 g_ptr_array_index(ep->models, i), demand);
	reserve = avail * hub->cfg.even_share_percent / 100;
	ep->scarce = demand->sum[0] + demand->sum[1] + demand->sum[2] +
			     demand->sum[3] >
		     avail - reserve;
	divide_by_rank(hub, demand, avail - reserve, alloc);
	for (unsigned r = 0; r < HUB_RANKS; r++) {
		divide_by_weight(shares, demand->blocks + r * n,
				 demand->weight + r * n, demand->buffer, n,
				 alloc[r]);
		assigned += alloc[r];
	}
	assigned += hub_spill_allocate(hub, ep, avail - reserve - assigned,
				       shares, now);
	even = ep->lending ? even_share_when_lending(hub, ep, avail - assigned,
						     n_live)
			   : even_share(avail - assigned, n_live);
	for (unsigned s = 0; s < n; s++) {
		const struct hub_host *h = g_ptr_array_index(hub->slots, s);

		if (h && hub_host_live(hub, h, now))
			shares[s] += (double)even;
		ep->cells[s].target_blocks =
			ep->cells[s].held_blocks + (uint64_t)shares[s];
	}
	round_to_whole_requests(hub, ep, shares, n);
}

void hub_allocate(struct hub *hub, int64_t now)
{
	size_t n = hub->slots->len;
	double *shares;
	struct ep_demand demand;
	GHashTableIter iter;
	void *val;
	unsigned n_live;

	if (now - hub->last_allocation_us < ALLOCATION_INTERVAL_US)
		return;
	hub->last_allocation_us = now;
	reset_models(hub);
	n_live = collect_demand(hub, now);

	g_hash_table_iter_init(&iter, hub->eps);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct hub_ep *ep = val;
		uint64_t limit = hub_ep_limit(hub, ep), held = 0;

		for (size_t s = 0; s < ep->n_cells; s++)
			held += ep->cells[s].held_blocks;
		for (unsigned i = 0; i < ep->models->len; i++)
			if (accepts_work(ep) && held < limit)
				((struct hub_model *)g_ptr_array_index(
					 ep->models, i))
					->free_blocks += (double)(limit - held);
	}

	g_array_set_size(hub->allocation_buffer, (2 * HUB_RANKS + 2) * n);
	demand.blocks = (double *)hub->allocation_buffer->data;
	demand.weight = demand.blocks + HUB_RANKS * n;
	demand.buffer = demand.weight + HUB_RANKS * n;
	shares = demand.buffer + n;
	g_hash_table_iter_init(&iter, hub->eps);
	while (g_hash_table_iter_next(&iter, NULL, &val))
		allocate_endpoint(hub, val, &demand, shares, n_live, now);
}

static void record_grant(struct hub_cell *cell, uint64_t blocks,
			 int64_t expires_us)
{
	/* A smaller grant that expires earlier no longer has an effect. */
	while (cell->n_grants &&
	       cell->grants[cell->n_grants - 1].blocks <= blocks)
		cell->n_grants--;
	if (cell->n_grants == HUB_GRANTS) {
		/* The array is full: extends the last, larger grant instead. */
		cell->grants[cell->n_grants - 1].expires_us = expires_us;
		return;
	}
	cell->grants[cell->n_grants].blocks = blocks;
	cell->grants[cell->n_grants].expires_us = expires_us;
	cell->n_grants++;
}

/*
 * Returns whether the last grant suffices, so that a change need not be sent.
 * A grant above the new one does, unless the endpoint is scarce or lent and the
 * excess is over a quarter of it.  A grant below the new one does if the host
 * has no request waiting and keeps a quarter of the new one's free part.
 */
static bool last_grant_suffices(const struct hub_ep *ep,
				const struct hub_cell *cell, uint64_t blocks)
{
	uint64_t room =
		blocks > cell->held_blocks ? blocks - cell->held_blocks : 0;

	if (cell->granted_blocks >= blocks)
		return (!ep->scarce && !ep->lending) ||
		       cell->granted_blocks - blocks <=
			       cell->granted_blocks / 4;
	return !cell->request_blocks &&
	       cell->granted_blocks >= cell->held_blocks + room / 4;
}

uint64_t hub_cell_grant_up_to(struct hub_ep *ep, struct hub_cell *cell,
			      uint64_t limit, uint64_t blocks,
			      int64_t expires_us, int64_t now)
{
	uint64_t other_blocks, max_blocks;

	hub_cell_update_committed(ep, cell, now);
	other_blocks = ep->committed_blocks - cell->committed_blocks;
	max_blocks = other_blocks < limit ? limit - other_blocks : 0;
	if (blocks > max_blocks)
		blocks = max_blocks;
	record_grant(cell, blocks, expires_us);
	cell->granted_blocks = blocks;
	hub_cell_update_committed(ep, cell, now);
	return blocks;
}

uint64_t hub_cell_make_grant(struct hub *hub, struct hub_ep *ep, unsigned slot,
			     bool may_keep, int64_t now)
{
	struct hub_cell *cell = hub_get_cell(hub, ep, slot);
	uint64_t limit = hub_ep_limit(hub, ep), other_blocks, max_blocks,
		 blocks;

	hub_cell_update_committed(ep, cell, now);
	other_blocks = ep->committed_blocks - cell->committed_blocks;
	max_blocks = other_blocks < limit ? limit - other_blocks : 0;
	blocks = cell->target_blocks > max_blocks ? max_blocks
						  : cell->target_blocks;
	if (cell->target_is_one_request && blocks == cell->target_blocks) {
		cell->deficit_blocks -= cell->request_blocks;
		cell->target_is_one_request = false;
	}
	if (may_keep && cell->granted_blocks <= max_blocks &&
	    last_grant_suffices(ep, cell, blocks))
		blocks = cell->granted_blocks;
	record_grant(cell, blocks, now + hub->lease_us);
	cell->granted_blocks = blocks;
	hub_cell_update_committed(ep, cell, now);
	return blocks;
}
