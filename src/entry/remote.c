#include "entry/request.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "entry/aside.h"
#include "obs/stats.h"

/*
 * Endpoints of other data centres that the hub has borrowed for this host.
 * They are in the same tables as local endpoints (view.c, route_, credit_),
 * marked as remote: they get work only while they have an unexpired credit, and
 * their state comes from the hub's grants, not from the local registry.
 */

/* An idle row that the hub no longer lists is removed after this time. */
#define UNLISTED_KEEP_US (20 * USEC_PER_SEC)

/*
 * A request for a model without a local endpoint waits this long for a borrowed
 * one.  The report, the hub's request to other hubs and the next report take 2
 * to 3 s at most.
 */
#define LOAN_WAIT_US (3 * USEC_PER_SEC)

/* Borrowed endpoints in one report. */
#define REPORTED_ROWS_MAX 64

/*
 * Reports are sent up to 4 times a second while work waits.  The spill part in
 * each of them would bring the control traffic of a host above 2 KB/s.  It is
 * sent at this interval, and at once if it has demand and none was sent for
 * NEW_DEMAND_INTERVAL_US.
 */
#define SPILL_REPORT_INTERVAL_US (700 * USEC_PER_MSEC)
#define NEW_DEMAND_INTERVAL_US (3 * USEC_PER_SEC)

/*
 * Memory requested for one request, in percent of its expected memory.  The
 * rest covers the credit headroom and the deviation of the forecast
 * (policy/credit.h).
 */
#define UNIT_MARGIN_PERCENT 150

struct remote_endpoint {
	char id[EP_ID_CHARS + 1];
	uint64_t version;	/* of the lender's row */
	int64_t last_listed_us; /* newest grant with this endpoint */
	int64_t loan_until_us;
};

void remote_init(struct entry *e)
{
	e->remote_endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void remote_release(struct entry *e)
{
	g_hash_table_destroy(e->remote_endpoints);
}

bool remote_owns_endpoint(const struct entry *e, const struct endpoint *ep)
{
	return *ep->dc && strcmp(ep->dc, e->conf->dc) != 0;
}

bool remote_has_loan(struct entry *e, const char *id, int64_t now)
{
	const struct remote_endpoint *r =
		g_hash_table_lookup(e->remote_endpoints, id);

	return r && now < r->loan_until_us;
}

void remote_configure(struct entry *e, int64_t now)
{
	struct hostcfg *h = &e->session.cfg;
	struct spill_cfg cfg = {0};
	const struct rank_cfg *const *ranks;
	uint64_t hosts = h->members ? MAX(1, h->members->n_hosts) : 1;
	const struct dc_cfg *dc;
	size_t n;

	if (!h->tree)
		return;
	dc = tree_dc_settings(h->tree, e->conf->dc);
	/* Equal parts, so that hosts need no coordination for each request. */
	cfg.bytes_per_s = (uint64_t)dc->spill_bytes_per_s / hosts;
	cfg.burst_bytes = (uint64_t)dc->spill_burst_bytes / hosts;
	n = tree_ranks(h->tree, &ranks);
	for (size_t i = 0; i < MIN(n, QUEUE_RANKS); i++)
		cfg.rank_percent[i] = (unsigned)ranks[i]->spill_percent;
	spill_configure(route_spill_budget(e->route), &cfg, now);
	route_set_spill_after(e->route, dc->spill_after_ms * USEC_PER_MSEC);
}

/* ---- report ---- */

/*
 * Memory in other data centres for the head of a queue and the requests behind
 * it of the same rank, within the spill budget; NULL if none is needed or
 * allowed.
 */
static Mw__Demand *pool_demand(struct entry *e, struct pool *p, int64_t now)
{
	struct spill_budget *budget = route_spill_budget(e->route);
	const struct queue_item *it = e->queue_ops->peek(p->queue, now);
	const struct request *r =
		it ? list_entry(it, struct request, item) : aside_first(p);
	struct queue_stats st;
	uint64_t bytes, count, unit, waiting;
	Mw__Demand *d;

	if (!r || !budget->cfg.bytes_per_s)
		return NULL;
	it = &r->item;
	if (now - r->arrived_us < route_spill_after(e->route) &&
	    route_has_local(e->route, p->name))
		return NULL;
	bytes = spill_forecast(budget, strlen(r->prompt),
			       it->est_output_tokens);
	count = spill_available(budget, it->rank, now) / bytes;
	if (!count)
		return NULL;
	e->queue_ops->stats(p->queue, &st);
	waiting = st.items[it->rank] + aside_count(p, it->rank, NULL);
	if (count > waiting)
		count = waiting;
	unit = ((uint64_t)it->prompt_tokens + it->est_output_tokens) *
		       UNIT_MARGIN_PERCENT / 100 / 16 +
	       1;
	d = malloc(sizeof(*d));
	mw__demand__init(d);
	d->model = strdup(p->name);
	d->rank = it->rank;
	d->unit = unit;
	d->blocks = unit * count;
	return d;
}

/*
 * Removes an endpoint that the hub has not listed for UNLISTED_KEEP_US and that
 * runs nothing; the caller removes its row from remote_endpoints.
 */
static bool remove_if_unused(struct entry *e, const struct remote_endpoint *r,
			     int64_t now)
{
	struct credit_ep *c = credit_find_endpoint(e->credit, r->id);
	struct route_ep *rep = route_find_endpoint(e->route, r->id);

	if (now - r->last_listed_us < UNLISTED_KEEP_US ||
	    (c && credit_generations(c)))
		return false;
	if (rep) {
		route_set_credit(rep, NULL);
		route_remove_endpoint(e->route, r->id);
	}
	credit_remove_endpoint(e->credit, r->id);
	g_hash_table_remove(e->endpoints, r->id);
	return true;
}

static void add_known_rows(struct entry *e, Mw__HubReport *report, int64_t now)
{
	GHashTableIter iter;
	struct remote_endpoint *r;

	report->spill_known =
		calloc(REPORTED_ROWS_MAX, sizeof(*report->spill_known));
	g_hash_table_iter_init(&iter, e->remote_endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&r)) {
		const struct credit_ep *c;
		Mw__EndpointUse *u;

		if (remove_if_unused(e, r, now)) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (report->n_spill_known == REPORTED_ROWS_MAX)
			continue;
		c = credit_find_endpoint(e->credit, r->id);
		u = malloc(sizeof(*u));
		mw__endpoint_use__init(u);
		u->endpoint = strdup(r->id);
		u->held = c ? credit_reserved_blocks(c) : 0;
		u->version = r->version;
		report->spill_known[report->n_spill_known++] = u;
	}
}

void remote_fill_report(struct entry *e, Mw__HubReport *report, int64_t now)
{
	GHashTableIter iter;
	struct pool *p;

	/* The number of hosts may have changed. */
	remote_configure(e, now);
	report->spill =
		calloc(g_hash_table_size(e->pools) + 1, sizeof(*report->spill));
	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&p)) {
		Mw__Demand *d = pool_demand(e, p, now);

		if (d)
			report->spill[report->n_spill++] = d;
	}
	/* Only demand after a time without any is reported at once. */
	if (now - e->spill_reported_us < SPILL_REPORT_INTERVAL_US &&
	    (!report->n_spill ||
	     now - e->spill_demand_reported_us < NEW_DEMAND_INTERVAL_US)) {
		while (report->n_spill)
			mw__demand__free_unpacked(
				report->spill[--report->n_spill], NULL);
		return;
	}
	if (!report->n_spill && !e->spill_demand_reported &&
	    !g_hash_table_size(e->remote_endpoints))
		return;
	report->spill_part = true;
	e->spill_reported_us = now;
	e->spill_demand_reported = report->n_spill > 0;
	if (e->spill_demand_reported)
		e->spill_demand_reported_us = now;
	if (g_hash_table_size(e->remote_endpoints))
		add_known_rows(e, report, now);
}

/* ---- grant ---- */

static enum route_state route_state_by_name(const char *state)
{
	if (!*state || !strcmp(state, "serving"))
		return ROUTE_SERVING;
	if (!strcmp(state, "leaving"))
		return ROUTE_LEAVING;
	return !strcmp(state, "loading") ? ROUTE_LOADING : ROUTE_STALE;
}

static void upsert_endpoint(struct entry *e, const Mw__EndpointInfo *info,
			    int64_t now)
{
	struct route_ep_info row = {
		.id = info->id,
		.incarnation = info->incarnation,
		.addr = info->addr,
		.dc = info->dc,
		.models = (const char *const *)info->models,
		.n_models = info->n_models,
		.state = route_state_by_name(info->state),
		.blocks = info->blocks,
		.block_tokens = info->block_tokens,
		.max_batch = info->max_batch,
		.model_version = info->model_version,
		.remote = true,
	};
	struct credit_ep_info c = {
		.id = info->id,
		.incarnation = info->incarnation,
		.blocks = info->blocks,
		.block_tokens = info->block_tokens,
		.max_batch = info->max_batch,
		.model_version = info->model_version,
		.loading = row.state == ROUTE_LOADING,
	};
	struct route_ep *rep;
	struct credit_ep *cep;

	view_update(e, info, false, now);
	rep = route_upsert_endpoint(e->route, &row, now);
	cep = credit_set_endpoint(e->credit, &c, now);
	credit_set_remote(cep, true);
	route_set_credit(rep, cep);
}

static void apply_spill_row(struct entry *e, const Mw__SpillRow *row,
			    int64_t sent, int64_t now)
{
	const Mw__EndpointInfo *info = row->info;
	const struct endpoint *ep;
	struct remote_endpoint *r;
	struct credit_ep *c;
	struct route_ep *rep;

	if (!info || !*info->id || strlen(info->id) > EP_ID_CHARS)
		return;
	ep = view_find(e, info->id);
	if (ep && !remote_owns_endpoint(e, ep))
		return;
	r = g_hash_table_lookup(e->remote_endpoints, info->id);
	if (*info->addr) {
		if (!*info->dc || !strcmp(info->dc, e->conf->dc))
			return;
		upsert_endpoint(e, info, now);
		if (!r) {
			r = g_new0(struct remote_endpoint, 1);
			g_strlcpy(r->id, info->id, sizeof(r->id));
			g_hash_table_insert(e->remote_endpoints, r->id, r);
		}
		r->version = info->version;
	}
	rep = route_find_endpoint(e->route, info->id);
	c = credit_find_endpoint(e->credit, info->id);
	if (!r || !rep || !c || route_ep_incarnation(rep) != info->incarnation)
		return;
	r->last_listed_us = now;
	r->loan_until_us = sent + row->lease_ms * USEC_PER_MSEC;
	credit_set_grant(c, row->blocks, r->loan_until_us);
	if (!strcmp(info->state, "leaving"))
		view_mark_leaving(e, info->id, info->incarnation, now);
	route_set_observed_state(rep, info->incarnation,
				 route_state_by_name(info->state),
				 sent - row->age_ms * USEC_PER_MSEC);
}

void remote_apply_grant(struct entry *e, const Mw__HubGrant *g, int64_t sent,
			int64_t now)
{
	for (size_t i = 0; i < g->n_spill; i++)
		apply_spill_row(e, g->spill[i], sent, now);
}

/* ---- requests ---- */

/*
 * Whether another data centre with a control process is not evacuated and, for
 * r unless it is NULL, in an allowed region.
 */
static bool has_lender(const struct entry *e, const struct request *r)
{
	struct tree *t = e->session.cfg.tree;
	const struct conf *conf = e->conf;

	for (size_t i = 0; i < conf->control_nr; i++) {
		const char *dc = conf->controls[i].dc;
		if (strcmp(dc, conf->dc) != 0 &&
		    !(t && tree_dc_settings(t, dc)->evacuated) &&
		    (!r || request_may_run_in(r, dc)))
			return true;
	}
	return !conf->control_nr; /* not known with --seeds */
}

bool remote_has_lender_for(const struct request *r)
{
	return has_lender(r->entry, r);
}

bool remote_must_borrow(const struct entry *e)
{
	struct tree *t = e->session.cfg.tree;

	return t && tree_dc_settings(t, e->conf->dc)->evacuated;
}

bool remote_can_borrow(struct entry *e, int64_t now)
{
	return has_lender(e, NULL) &&
	       route_spill_budget(e->route)->cfg.bytes_per_s &&
	       hub_client_in_contact(e->session.hub_client, now);
}

bool remote_refuse_overdue(struct request *r, int err, int64_t now)
{
	bool evacuated = view_all_evacuated(r->entry, r->model) ||
			 (aside_holds(r) && remote_must_borrow(r->entry));

	if (err != -MW_ENOENDPOINT || now - r->arrived_us < LOAN_WAIT_US ||
	    !(evacuated ||
	      (r->needs_loan && !route_has_local(r->entry->route, r->model))))
		return false;
	request_fail(r, err, "no data centre has lent an endpoint in time", 5);
	return true;
}

void remote_record_placement(struct request *r, const char *dc)
{
	struct spill_budget *b = route_spill_budget(r->entry->route);

	r->remote = strcmp(dc, r->entry->conf->dc) != 0;
	if (!r->remote)
		return;
	/* A resumed stream has no forecast and is charged as bytes arrive. */
	if (r->resumed) {
		spill_reserve(b, &r->rs.spill, r->rank, 0, clock_mono_us());
		return;
	}
	stats_spilled(r->rank);
	entry_event(r->entry, EV_KIND_SPILLED, r->id, r->account, r->endpoint,
		    "%s, %" G_GUINT64_FORMAT " bytes expected", dc,
		    r->rs.spill.forecast);
}

void remote_count_bytes(struct request *r, bool out, size_t n)
{
	if (!r->remote || !n)
		return;
	stats_spill_bytes(out, n);
	spill_record_bytes(route_spill_budget(r->entry->route), &r->rs.spill,
			   n);
}

void remote_settle(struct request *r)
{
	spill_settle(route_spill_budget(r->entry->route), &r->rs.spill,
		     r->resumed ? 0 : r->next_index);
	r->remote = false;
}

json_t *remote_status(struct entry *e, int64_t now)
{
	struct spill_budget *b = route_spill_budget(e->route);
	unsigned lent = 0;
	GHashTableIter iter;
	const struct remote_endpoint *r;

	(void)spill_available(b, 0, now);
	g_hash_table_iter_init(&iter, e->remote_endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&r))
		lent += now < r->loan_until_us;
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I}", "bytes_per_s",
			 (json_int_t)b->cfg.bytes_per_s, "burst_bytes",
			 (json_int_t)b->total.burst_bytes, "budget_bytes",
			 (json_int_t)b->total.balance_bytes, "bytes",
			 (json_int_t)b->bytes_transferred, "requests",
			 (json_int_t)b->requests_charged, "endpoints",
			 (json_int_t)lent);
}
