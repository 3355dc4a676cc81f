#include "control/hub_spill.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "control/hub_int.h"

/* Spill: the borrower; see hub_spill.h. */

/* A loan that no message lists any more is removed after this time. */
#define LOAN_KEEP_US INT64_C(20000000)

/* Bound on the demand rows of one message. */
#define SPILL_DEMANDS_MAX 32

/*
 * Bound on the remote endpoints sent to one host.  Each costs about 90 B/s of
 * the 2 KB/s of control traffic that a host may cause.
 */
#define HOST_ROWS_MAX 6

/*
 * New demand is sent without waiting for HUB_ASK_INTERVAL_US, but no sooner
 * after the last ask than this.
 */
#define ASK_MIN_INTERVAL_US INT64_C(250000)

/* The asks sent to one data centre. */
struct hub_lender {
	uint64_t seq;
	int64_t last_ask_us;
	bool active;	 /* the last ask named demand or held memory */
	bool had_demand; /* the last ask named demand */
};

static void loan_free(void *p)
{
	struct hub_loan *l = p;

	g_free(l->dc);
	hub_ep_free(&l->ep);
}

void hub_spill_init(struct hub *hub)
{
	hub->loans = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   loan_free);
	hub->lenders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void hub_spill_free(struct hub *hub)
{
	g_hash_table_destroy(hub->loans);
	g_hash_table_destroy(hub->lenders);
}

void hub_spill_clear_slot(struct hub *hub, unsigned slot)
{
	GHashTableIter iter;
	void *val;

	g_hash_table_iter_init(&iter, hub->loans);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct hub_ep *ep = val;

		if (slot >= ep->n_cells)
			continue;
		ep->committed_blocks -= ep->cells[slot].committed_blocks;
		memset(&ep->cells[slot], 0, sizeof(ep->cells[slot]));
	}
}

static struct hub_lender *get_lender(struct hub *hub, const char *dc)
{
	struct hub_lender *lender = g_hash_table_lookup(hub->lenders, dc);

	if (!lender) {
		lender = g_new0(struct hub_lender, 1);
		lender->last_ask_us = INT64_MIN / 2;
		g_hash_table_insert(hub->lenders, g_strdup(dc), lender);
	}
	return lender;
}

static uint64_t loan_held_blocks(const struct hub_loan *l)
{
	uint64_t held = 0;

	for (size_t s = 0; s < l->ep.n_cells; s++)
		held += l->ep.cells[s].held_blocks;
	return held;
}

/* Blocks that these data centres lend for a model and that are not held. */
static uint64_t lent_for_model(const struct hub *hub, const char *model,
			       const char *const *dcs, size_t n, int64_t now)
{
	GHashTableIter iter;
	void *val;
	uint64_t sum = 0;

	g_hash_table_iter_init(&iter, hub->loans);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		const struct hub_loan *l = val;
		uint64_t held = loan_held_blocks(l);

		if (now >= l->expires_us || l->blocks <= held ||
		    !hub_ep_serves(&l->ep, model))
			continue;
		for (size_t i = 0; i < n; i++)
			if (!strcmp(dcs[i], l->dc))
				sum += l->blocks - held;
	}
	return sum;
}

/* Finds or adds the row of a model and rank; NULL at SPILL_DEMANDS_MAX. */
static Mw__Demand *get_demand_row(Mw__SpillAsk *ask,
				  const struct hub_demand *demand)
{
	Mw__Demand *d;

	for (size_t k = 0; k < ask->n_demand; k++) {
		d = ask->demand[k];
		if (d && d->rank == demand->rank &&
		    !strcmp(d->model, demand->model->name))
			return d;
	}
	if (ask->n_demand == SPILL_DEMANDS_MAX)
		return NULL;
	d = malloc(sizeof(*d));
	mw__demand__init(d);
	d->model = strdup(demand->model->name);
	d->rank = demand->rank;
	ask->demand[ask->n_demand++] = d;
	return d;
}

/* Adds the spill demand of live hosts, one row for each model and rank. */
static void add_demand(const struct hub *hub, Mw__SpillAsk *ask, int64_t now)
{
	ask->demand = calloc(SPILL_DEMANDS_MAX, sizeof(*ask->demand));
	for (unsigned s = 0; s < hub->slots->len; s++) {
		const struct hub_host *h = g_ptr_array_index(hub->slots, s);

		if (!h || !hub_host_live(hub, h, now))
			continue;
		for (unsigned i = 0; i < h->spill_demands->len; i++) {
			const struct hub_demand *demand = &g_array_index(
				h->spill_demands, struct hub_demand, i);
			Mw__Demand *d = get_demand_row(ask, demand);

			if (!d)
				return;
			d->blocks += demand->blocks;
			if (demand->request_blocks > d->unit)
				d->unit = demand->request_blocks;
		}
	}
}

/* Subtracts what nearer data centres have lent already. */
static void subtract_lent(const struct hub *hub, Mw__SpillAsk *ask,
			  const char *const *nearer, size_t n, int64_t now)
{
	size_t keep = 0;

	for (size_t i = 0; i < ask->n_demand; i++) {
		Mw__Demand *d = ask->demand[i];
		assert(d);
		uint64_t lent = lent_for_model(hub, d->model, nearer, n, now);

		if (lent >= d->blocks) {
			mw__demand__free_unpacked(d, NULL);
			continue;
		}
		d->blocks -= lent;
		ask->demand[keep++] = d;
	}
	ask->n_demand = keep;
}

/*
 * Lists the endpoints that this data centre lends and the blocks held on each;
 * returns whether any are held.
 */
static bool add_known_endpoints(struct hub *hub, Mw__SpillAsk *ask,
				const char *dc, int64_t now)
{
	GHashTableIter iter;
	void *val;
	bool held = false;

	ask->known = calloc(HUB_KNOWN_MAX, sizeof(*ask->known));
	g_hash_table_iter_init(&iter, hub->loans);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct hub_loan *l = val;
		Mw__EndpointUse *u;

		if (strcmp(l->dc, dc) != 0 || ask->n_known == HUB_KNOWN_MAX)
			continue;
		if (now - l->last_listed_us >= LOAN_KEEP_US &&
		    !loan_held_blocks(l)) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		u = malloc(sizeof(*u));
		mw__endpoint_use__init(u);
		u->endpoint = strdup(l->ep.info->id);
		u->held = loan_held_blocks(l);
		u->version = l->version;
		held |= u->held > 0;
		ask->known[ask->n_known++] = u;
	}
	return held;
}

Mw__SpillAsk *hub_spill_make_ask(struct hub *hub, int64_t now, const char *dc,
				 const char *const *nearer, size_t n_nearer)
{
	struct hub_lender *lender = get_lender(hub, dc);
	Mw__SpillAsk *ask;
	bool has_demand, held;

	/*
	 * An island borrows nothing.  A new hub waits until the credits that
	 * the previous hub granted from its loans have expired.
	 */
	if (!hub->leader_contact || now - hub->start_us < hub->lease_us ||
	    now - lender->last_ask_us < ASK_MIN_INTERVAL_US)
		return NULL;
	ask = malloc(sizeof(*ask));
	mw__spill_ask__init(ask);
	add_demand(hub, ask, now);
	subtract_lent(hub, ask, nearer, n_nearer, now);
	held = add_known_endpoints(hub, ask, dc, now);
	has_demand = ask->n_demand > 0;
	/*
	 * When demand and held memory end, one empty ask is sent, so that the
	 * lender has all of its memory back at once.
	 */
	if ((!has_demand && !held && !lender->active) ||
	    (now - lender->last_ask_us < HUB_ASK_INTERVAL_US &&
	     (!has_demand || lender->had_demand))) {
		mw__spill_ask__free_unpacked(ask, NULL);
		return NULL;
	}
	lender->active = has_demand || held;
	lender->had_demand = has_demand;
	lender->last_ask_us = now;
	ask->dc = strdup(hub->dc);
	ask->epoch = hub->cfg.epoch;
	ask->seq = ++lender->seq;
	return ask;
}

static Mw__EndpointInfo *replace_info(Mw__EndpointInfo *old,
				      const Mw__EndpointInfo *info)
{
	size_t len = mw__endpoint_info__get_packed_size(info);
	g_autofree uint8_t *bytes = g_malloc(len + 1);

	mw__endpoint_info__pack(info, bytes);
	if (old)
		mw__endpoint_info__free_unpacked(old, NULL);
	return mw__endpoint_info__unpack(NULL, len, bytes);
}

/* Replaces the endpoint's data by that of a complete row. */
static void apply_full_row(struct hub_loan *l, const Mw__EndpointInfo *info)
{
	if (l->ep.info && l->ep.info->incarnation != info->incarnation) {
		/* The old incarnation's memory ended with it. */
		for (size_t s = 0; s < l->ep.n_cells; s++)
			l->ep.cells[s] = (struct hub_cell){0};
		l->ep.committed_blocks = 0;
		l->evidence_us = INT64_MIN;
	}
	l->ep.info = replace_info(l->ep.info, info);
	l->version = info->version;
}

static void set_state(struct hub_loan *l, const char *state)
{
	if (!strcmp(l->ep.info->state, state))
		return;
	if (l->ep.info->state != protobuf_c_empty_string)
		free(l->ep.info->state);
	l->ep.info->state = strdup(state);
}

static void apply_row(struct hub *hub, const char *dc, const Mw__SpillRow *row,
		      int64_t ask_sent_us, int64_t now)
{
	const Mw__EndpointInfo *info = row->info;
	struct hub_loan *l;

	if (!info || !*info->id || strlen(info->id) > HUB_NAME_MAX ||
	    g_hash_table_lookup(hub->eps, info->id))
		return;
	l = g_hash_table_lookup(hub->loans, info->id);
	if (l && strcmp(l->dc, dc) != 0)
		return;
	if (*info->addr) {
		if (!l) {
			l = g_new0(struct hub_loan, 1);
			l->dc = g_strdup(dc);
			l->evidence_us = INT64_MIN;
			list_init(&l->ep.version_node);
			g_hash_table_insert(hub->loans, g_strdup(info->id), l);
		}
		apply_full_row(l, info);
	}
	if (!l || l->ep.info->incarnation != info->incarnation)
		return;
	set_state(l, *info->state ? info->state : "serving");
	l->last_listed_us = now;
	l->blocks = row->blocks;
	l->expires_us = ask_sent_us + row->lease_ms * USEC_PER_MSEC;
	if (ask_sent_us - row->age_ms * USEC_PER_MSEC > l->evidence_us)
		l->evidence_us = ask_sent_us - row->age_ms * USEC_PER_MSEC;
}

int hub_spill_apply_loan(struct hub *hub, int64_t now, const char *dc,
			 const Mw__SpillLoan *loan)
{
	struct hub_lender *lender = get_lender(hub, dc);
	GHashTableIter iter;
	void *val;

	if (loan->seq != lender->seq)
		return -MW_EINVAL;
	/* Endpoints not listed are no longer lent. */
	g_hash_table_iter_init(&iter, hub->loans);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct hub_loan *l = val;

		if (!strcmp(l->dc, dc))
			l->blocks = 0;
	}
	for (size_t i = 0; i < loan->n_rows; i++)
		apply_row(hub, dc, loan->rows[i], lender->last_ask_us, now);
	return 0;
}

/* Spill demand of one host for an endpoint's models in one rank, in blocks. */
static uint64_t host_demand(const struct hub_host *h, const struct hub_ep *ep,
			    unsigned rank, uint64_t *request_blocks)
{
	uint64_t sum = 0;

	for (unsigned i = 0; i < h->spill_demands->len; i++) {
		const struct hub_demand *d =
			&g_array_index(h->spill_demands, struct hub_demand, i);

		if (d->rank != rank || !hub_ep_serves(ep, d->model->name))
			continue;
		sum += d->blocks;
		if (d->request_blocks > *request_blocks)
			*request_blocks = d->request_blocks;
	}
	return sum;
}

/*
 * The host's share of a loan beyond what all hosts hold: in proportion to its
 * demand in the most urgent rank that has any, and at least one request.
 */
static uint64_t host_share(struct hub *hub, const struct hub_host *h,
			   const struct hub_loan *l, int64_t now)
{
	uint64_t held = loan_held_blocks(l), free_blocks, host_sum = 0,
		 all_sum = 0, request_blocks = 0, share;

	free_blocks = l->blocks > held ? l->blocks - held : 0;
	for (unsigned r = 0; r < HUB_RANKS && !all_sum; r++) {
		for (unsigned s = 0; s < hub->slots->len; s++) {
			const struct hub_host *other =
				g_ptr_array_index(hub->slots, s);
			uint64_t other_request = 0;

			if (other && hub_host_live(hub, other, now))
				all_sum += host_demand(other, &l->ep, r,
						       &other_request);
		}
		host_sum = host_demand(h, &l->ep, r, &request_blocks);
	}
	if (!host_sum || !all_sum)
		return 0;
	share = (uint64_t)((double)free_blocks * (double)host_sum /
			   (double)all_sum);
	share = MAX(share, request_blocks);
	/* At most twice the demand, for headroom: the forecast varies. */
	return MIN(share, MAX(2 * host_sum, request_blocks));
}

static void apply_held_blocks(struct hub *hub, const struct hub_host *h,
			      const Mw__HubReport *report, int64_t now)
{
	GHashTableIter iter;
	void *val;

	g_hash_table_iter_init(&iter, hub->loans);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct hub_cell *cell = hub_get_cell(hub, val, h->slot);

		cell->held_blocks = 0;
		hub_cell_update_committed(val, cell, now);
	}
	for (size_t i = 0; i < report->n_spill_known && i < HUB_KNOWN_MAX;
	     i++) {
		const Mw__EndpointUse *u = report->spill_known[i];
		struct hub_loan *l =
			g_hash_table_lookup(hub->loans, u->endpoint);
		struct hub_cell *cell;

		if (!l)
			continue;
		cell = hub_get_cell(hub, &l->ep, h->slot);
		cell->held_blocks = MIN(u->held, l->ep.info->blocks);
		hub_cell_update_committed(&l->ep, cell, now);
	}
}

void hub_spill_process_report(struct hub *hub, struct hub_host *h,
			      const Mw__HubReport *report, Mw__HubGrant *grant,
			      int64_t now)
{
	GHashTableIter iter;
	void *val;
	size_t n_added = 0;

	if (!report->spill_part)
		return;
	hub_parse_spill_demands(hub, h->spill_demands, report->spill,
				report->n_spill);
	if (!g_hash_table_size(hub->loans))
		return;
	apply_held_blocks(hub, h, report, now);
	grant->spill = calloc(g_hash_table_size(hub->loans) + 1,
			      sizeof(*grant->spill));
	g_hash_table_iter_init(&iter, hub->loans);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct hub_loan *l = val;
		struct hub_cell *cell = hub_get_cell(hub, &l->ep, h->slot);
		uint64_t known_version = hub_find_known_version(
			report->spill_known, report->n_spill_known,
			l->ep.info->id);
		int64_t lease_left_us = l->expires_us - now;
		uint64_t share = host_share(hub, h, l, now);
		Mw__SpillRow *row;

		if (lease_left_us <= 0 ||
		    (!share && !cell->held_blocks &&
		     (!known_version || !strcmp(l->ep.info->state, "serving"))))
			continue;
		if (!known_version &&
		    report->n_spill_known + n_added >= HOST_ROWS_MAX)
			continue;
		n_added += !known_version;
		row = hub_make_spill_row(&l->ep, l->dc, l->version,
					 known_version != l->version);
		row->lease_ms = hub_us_to_ms_floor(lease_left_us);
		row->age_ms = hub_us_to_ms_ceil(now - l->evidence_us);
		row->blocks = hub_cell_grant_up_to(&l->ep, cell, l->blocks,
						   cell->held_blocks + share,
						   l->expires_us, now);
		grant->spill[grant->n_spill++] = row;
	}
}

uint64_t hub_spill_borrowed_blocks(const struct hub *hub, int64_t now)
{
	GHashTableIter iter;
	void *val;
	uint64_t sum = 0;

	g_hash_table_iter_init(&iter, hub->loans);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		const struct hub_loan *l = val;

		if (now < l->expires_us)
			sum += l->blocks;
	}
	return sum;
}

uint64_t hub_spill_granted_blocks(const struct hub *hub, const char *id,
				  int64_t now)
{
	const struct hub_loan *l = g_hash_table_lookup(hub->loans, id);
	uint64_t sum = 0;

	for (size_t s = 0; l && s < l->ep.n_cells; s++) {
		const struct hub_cell *cell = &l->ep.cells[s];
		uint64_t max_blocks = 0;

		for (unsigned i = 0; i < cell->n_grants; i++)
			if (cell->grants[i].expires_us > now)
				max_blocks =
					MAX(max_blocks, cell->grants[i].blocks);
		sum += max_blocks;
	}
	return sum;
}
