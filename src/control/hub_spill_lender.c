#include "control/hub_spill.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "control/hub_int.h"

/* Spill: the lender, and functions shared with the borrower (hub_spill.h). */

/* Bounds on the demand rows of one message, and on the new rows of a loan. */
#define SPILL_DEMANDS_MAX 32
#define LOAN_ROWS_MAX 8

/* Lent only while fewer than max_batch / BATCH_DIVISOR requests run. */
#define BATCH_DIVISOR 2

void hub_set_lend_percent(struct hub *hub, unsigned percent)
{
	hub->lend_percent = percent < 100 ? percent : 100;
}

void hub_parse_spill_demands(struct hub *hub, GArray *to,
			     Mw__Demand *const *from, size_t n)
{
	g_array_set_size(to, 0);
	for (size_t i = 0; i < n && i < SPILL_DEMANDS_MAX; i++) {
		struct hub_demand d = {NULL, from[i]->rank, from[i]->blocks,
				       from[i]->unit};

		if (strlen(from[i]->model) > HUB_NAME_MAX)
			continue;
		d.model = hub_get_model(hub, from[i]->model);
		if (d.rank < HUB_RANKS && d.model && d.blocks)
			g_array_append_val(to, d);
	}
}

bool hub_ep_serves(const struct hub_ep *ep, const char *model)
{
	for (size_t i = 0; i < ep->info->n_models; i++)
		if (!strcmp(ep->info->models[i], model))
			return true;
	return false;
}

uint64_t hub_find_known_version(Mw__EndpointUse *const *known, size_t n,
				const char *id)
{
	for (size_t i = 0; i < n; i++)
		if (!strcmp(known[i]->endpoint, id))
			return known[i]->version;
	return 0;
}

Mw__SpillRow *hub_make_spill_row(const struct hub_ep *ep, const char *dc,
				 uint64_t version, bool full)
{
	Mw__EndpointInfo info = MW__ENDPOINT_INFO__INIT;
	Mw__SpillRow *row = malloc(sizeof(*row));
	size_t len;

	info.id = ep->info->id;
	info.incarnation = ep->info->incarnation;
	if (full || strcmp(ep->info->state, "serving") != 0)
		info.state = ep->info->state;
	if (full) {
		info.version = version;
		info.addr = ep->info->addr;
		info.dc = (char *)dc;
		info.kind = ep->info->kind;
		info.models = ep->info->models;
		info.n_models = ep->info->n_models;
		info.blocks = ep->info->blocks;
		info.block_tokens = ep->info->block_tokens;
		info.max_batch = ep->info->max_batch;
		info.model_version = ep->info->model_version;
	}
	mw__spill_row__init(row);
	len = mw__endpoint_info__get_packed_size(&info);
	g_autofree uint8_t *bytes = g_malloc(len + 1);
	mw__endpoint_info__pack(&info, bytes);
	row->info = mw__endpoint_info__unpack(NULL, len, bytes);
	return row;
}

uint32_t hub_us_to_ms_floor(int64_t us)
{
	return us > 0 ? (uint32_t)(us / USEC_PER_MSEC) : 0;
}

uint32_t hub_us_to_ms_ceil(int64_t us)
{
	return hub_us_to_ms_floor(us + USEC_PER_MSEC - 1);
}

static bool is_live_borrower(const struct hub *hub, const struct hub_host *h,
			     int64_t now)
{
	return h && h->borrower && now - h->last_report_us <= hub->lease_us;
}

/*
 * Returns whether an endpoint may serve other data centres.  Credits cover its
 * memory only; the batch is checked here, because each step takes longer for
 * all requests the fuller the batch is.
 */
static bool is_lendable(const struct hub_ep *ep)
{
	const Mw__EndpointInfo *i = ep->info;

	return !ep->dead_us && !strcmp(i->state, "serving") &&
	       !strcmp(i->kind, "model") && !i->waiting &&
	       (!i->max_batch || i->running < i->max_batch / BATCH_DIVISOR);
}

/*
 * Demand of a borrower on one endpoint, spread over a model's endpoints as for
 * the hosts of this data centre (see add_model_demand()).  Sets *min_request to
 * the smallest request in it, 0 if there is none.
 */
static double borrower_demand(const struct hub_ep *ep, const struct hub_host *h,
			      double avail, double *min_request)
{
	double sum = 0;

	*min_request = 0;
	for (unsigned i = 0; i < h->demands->len; i++) {
		const struct hub_demand *d =
			&g_array_index(h->demands, struct hub_demand, i);
		double demand;

		if (!hub_ep_serves(ep, d->model->name))
			continue;
		demand = d->model->free_blocks > 0
				 ? 2 * (double)d->blocks * avail /
					   d->model->free_blocks
				 : 0;
		demand = fmax(demand, (double)d->request_blocks);
		sum += fmin(demand,
			    fmax((double)d->blocks, (double)d->request_blocks));
		if (*min_request == 0 ||
		    (double)d->request_blocks < *min_request)
			*min_request = (double)d->request_blocks;
	}
	return sum;
}

double hub_spill_allocate(struct hub *hub, struct hub_ep *ep, double rest,
			  double *shares, int64_t now)
{
	double lend_limit =
		(double)hub_ep_limit(hub, ep) * hub->lend_percent / 100;
	double lent = 0, avail = rest;
	unsigned n_demanding = 0;

	ep->lending = false;
	if (ep->scarce || !is_lendable(ep))
		return 0;
	for (unsigned s = 0; s < hub->slots->len; s++) {
		const struct hub_host *h = g_ptr_array_index(hub->slots, s);

		if (!h || !h->borrower)
			continue;
		lend_limit -= (double)ep->cells[s].held_blocks;
		n_demanding += is_live_borrower(hub, h, now) && h->demands->len;
	}
	rest = fmin(rest, lend_limit);
	for (unsigned s = 0; n_demanding && s < hub->slots->len; s++) {
		const struct hub_host *h = g_ptr_array_index(hub->slots, s);
		double min_request, demand, share;

		if (!is_live_borrower(hub, h, now) || !h->demands->len)
			continue;
		demand = borrower_demand(ep, h, avail, &min_request);
		share = floor(fmin(demand, (rest - lent) / n_demanding--));
		if (demand <= 0 || share < min_request)
			continue;
		shares[s] += share;
		lent += share;
		ep->lending = true;
	}
	return lent;
}

static int compare_blocks(const void *a, const void *b)
{
	const Mw__SpillRow *x = *(Mw__SpillRow *const *)a;
	const Mw__SpillRow *y = *(Mw__SpillRow *const *)b;

	if (x->blocks != y->blocks)
		return x->blocks < y->blocks ? 1 : -1;
	return strcmp(x->info->id, y->info->id);
}

static void apply_held_blocks(struct hub *hub, const struct hub_host *h,
			      const Mw__SpillAsk *ask, int64_t now)
{
	GHashTableIter iter;
	void *val;

	g_hash_table_iter_init(&iter, hub->eps);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct hub_cell *cell = hub_get_cell(hub, val, h->slot);

		cell->held_blocks = 0;
		hub_cell_update_committed(val, cell, now);
	}
	for (size_t i = 0; i < ask->n_known && i < HUB_KNOWN_MAX; i++) {
		const Mw__EndpointUse *u = ask->known[i];
		struct hub_ep *ep = g_hash_table_lookup(hub->eps, u->endpoint);
		struct hub_cell *cell;

		if (!ep)
			continue;
		cell = hub_get_cell(hub, ep, h->slot);
		cell->held_blocks = MIN(u->held, ep->info->blocks);
		hub_cell_update_committed(ep, cell, now);
	}
}

/*
 * Endpoints without free memory for the borrower are listed only if it knows
 * them and either has work there or must learn that they no longer serve.
 */
static bool must_list(const struct hub_ep *ep, const struct hub_cell *cell,
		      bool known)
{
	if (cell->target_blocks > cell->held_blocks)
		return true;
	return known &&
	       (cell->held_blocks || strcmp(ep->info->state, "serving") != 0);
}

Mw__SpillLoan *hub_spill_answer_ask(struct hub *hub, int64_t now,
				    const Mw__SpillAsk *ask)
{
	g_autofree char *name = g_strdup_printf("dc:%s", ask->dc);
	struct hub_host *h;
	Mw__SpillLoan *loan;
	GHashTableIter iter;
	void *val;
	size_t n = 0;

	if (!*ask->dc || strlen(ask->dc) > HUB_NAME_MAX ||
	    !strcmp(ask->dc, hub->dc))
		return NULL;
	h = hub_get_host(hub, name);
	h->borrower = true;
	/*
	 * Epochs are random, not ordered: a different one means that the
	 * borrower's hub was replaced.
	 */
	if (ask->epoch == h->incarnation && ask->seq <= h->seq)
		return NULL;
	h->incarnation = ask->epoch;
	h->seq = ask->seq;
	h->last_report_us = now;
	hub_tick(hub, now);
	hub_parse_spill_demands(hub, h->demands, ask->demand, ask->n_demand);
	apply_held_blocks(hub, h, ask, now);

	loan = malloc(sizeof(*loan));
	mw__spill_loan__init(loan);
	loan->seq = ask->seq;
	/* As for hosts: credits of the previous hub may still be valid. */
	if (now - hub->start_us < hub->lease_us)
		return loan;
	/*
	 * Allocates anew at once.  Targets computed before this ask would leave
	 * out its demand, and the borrower asks again only after a second.
	 */
	hub->last_allocation_us = now - USEC_PER_SEC;
	hub_allocate(hub, now);
	loan->rows =
		calloc(g_hash_table_size(hub->eps) + 1, sizeof(*loan->rows));
	g_hash_table_iter_init(&iter, hub->eps);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct hub_ep *ep = val;
		struct hub_cell *cell = hub_get_cell(hub, ep, h->slot);
		uint64_t known_version = hub_find_known_version(
			ask->known, ask->n_known, ep->info->id);
		Mw__SpillRow *row;

		if (ep->dead_us || !must_list(ep, cell, known_version))
			continue;
		row = hub_make_spill_row(ep, hub->dc, ep->full_version,
					 known_version != ep->full_version);
		row->blocks = cell->target_blocks;
		row->lease_ms = hub->cfg.lease_ms;
		row->age_ms = hub_us_to_ms_ceil(now - ep->last_announce_us);
		loan->rows[n++] = row;
	}
	qsort(loan->rows, n, sizeof(*loan->rows), compare_blocks);
	/*
	 * Sends the rows that the borrower knows and the LOAN_ROWS_MAX rows
	 * with most memory.  Nothing is granted for rows that are not sent.
	 */
	for (size_t i = 0; i < n; i++) {
		Mw__SpillRow *row = loan->rows[i];
		struct hub_ep *ep =
			g_hash_table_lookup(hub->eps, row->info->id);

		if (i >= LOAN_ROWS_MAX &&
		    !hub_find_known_version(ask->known, ask->n_known,
					    row->info->id)) {
			mw__spill_row__free_unpacked(row, NULL);
			continue;
		}
		row->blocks =
			hub_cell_grant_up_to(ep, hub_get_cell(hub, ep, h->slot),
					     hub_ep_limit(hub, ep), row->blocks,
					     now + hub->lease_us, now);
		loan->rows[loan->n_rows++] = row;
	}
	return loan;
}

uint64_t hub_spill_lent_blocks(const struct hub *hub, int64_t now)
{
	GHashTableIter iter;
	void *val;
	uint64_t sum = 0;

	g_hash_table_iter_init(&iter, hub->eps);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct hub_ep *ep = val;

		for (unsigned s = 0; s < ep->n_cells; s++) {
			const struct hub_host *h =
				g_ptr_array_index(hub->slots, s);

			if (!h || !h->borrower)
				continue;
			hub_cell_update_committed(ep, &ep->cells[s], now);
			sum += ep->cells[s].committed_blocks;
		}
	}
	return sum;
}
