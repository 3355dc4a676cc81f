#include <stdlib.h>
#include <string.h>
#include "base/clock.h"
#include "base/err.h"
#include "control/hub_int.h"
#include "state/tree.h"

/* An unregistered host keeps its slot this long after its last report. */
#define SLOT_KEEP_US INT64_C(60000000)

/* Bounds on the demand rows of one report, and on a host name. */
#define DEMANDS_MAX 256
#define NAME_MAX_LEN 128

/* Bound on the retry tokens that the hub accumulates, for each host. */
#define RETRY_TOKENS_PER_HOST 20

static void host_free(void *p)
{
	struct hub_host *h = p;

	g_array_free(h->demands, TRUE);
	g_array_free(h->spill_demands, TRUE);
	g_hash_table_destroy(h->usage);
	g_free(h->name);
	g_free(h);
}

struct hub *hub_new(const struct hub_cfg *cfg, int64_t now)
{
	struct hub *hub = g_new0(struct hub, 1);

	hub->cfg = *cfg;
	hub->name = g_strdup(cfg->name);
	hub->dc = g_strdup(cfg->dc);
	if (!hub->cfg.lease_ms)
		hub->cfg.lease_ms = 2000;
	if (!hub->cfg.margin_percent)
		hub->cfg.margin_percent = 10;
	if (!hub->cfg.even_share_percent)
		hub->cfg.even_share_percent = 10;
	if (!hub->cfg.retry_percent)
		hub->cfg.retry_percent = 10;
	hub->start_us = now;
	hub->lease_us = clock_with_drift(hub->cfg.lease_ms * USEC_PER_MSEC);
	hub->last_allocation_us = hub->last_purge_us = now - USEC_PER_SEC;
	hub->version = (uint64_t)hub->cfg.epoch << 32;
	hub->eps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 hub_ep_free);
	list_init(&hub->rows_by_version);
	hub->left_incarnations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&hub->left_ids);
	hub->hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
	hub->slots = g_ptr_array_new();
	hub->allocation_buffer = g_array_new(FALSE, FALSE, sizeof(double));
	hub->small_cells = g_ptr_array_new();
	hub_spill_init(hub);
	hub->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      hub_account_free);
	hub->models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    hub_model_free);
	return hub;
}

void hub_free(struct hub *hub)
{
	if (!hub)
		return;
	g_hash_table_destroy(hub->eps);
	hub_spill_free(hub);
	g_queue_clear(&hub->left_ids);
	g_hash_table_destroy(hub->left_incarnations);
	g_hash_table_destroy(hub->hosts);
	g_ptr_array_free(hub->slots, TRUE);
	g_array_free(hub->allocation_buffer, TRUE);
	g_ptr_array_free(hub->small_cells, TRUE);
	g_hash_table_destroy(hub->accounts);
	g_hash_table_destroy(hub->models);
	g_free(hub->anchor);
	g_free(hub->name);
	g_free(hub->dc);
	g_free(hub);
}

static struct hub_host *host_add(struct hub *hub, const char *name)
{
	struct hub_host *h = g_new0(struct hub_host, 1);

	h->name = g_strdup(name);
	h->last_report_us = INT64_MIN;
	h->made_after_us = INT64_MIN;
	h->demands = g_array_new(FALSE, FALSE, sizeof(struct hub_demand));
	h->spill_demands = g_array_new(FALSE, FALSE, sizeof(struct hub_demand));
	list_init(&h->backlogged);
	h->usage = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 hub_usage_free);
	while (h->slot < hub->slots->len &&
	       g_ptr_array_index(hub->slots, h->slot))
		h->slot++;
	if (h->slot == hub->slots->len)
		g_ptr_array_add(hub->slots, NULL);
	g_ptr_array_index(hub->slots, h->slot) = h;
	g_hash_table_insert(hub->hosts, h->name, h);
	return h;
}

struct hub_host *hub_get_host(struct hub *hub, const char *name)
{
	struct hub_host *h = g_hash_table_lookup(hub->hosts, name);

	return h ? h : host_add(hub, name);
}

void hub_set_hosts(struct hub *hub, const char *const *hosts, size_t n,
		   const char *anchor)
{
	GHashTableIter iter;
	void *val;

	g_hash_table_iter_init(&iter, hub->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &val))
		((struct hub_host *)val)->registered = false;
	hub->n_registered = 0;
	for (size_t i = 0; i < n; i++) {
		struct hub_host *h = g_hash_table_lookup(hub->hosts, hosts[i]);

		if (!h)
			h = host_add(hub, hosts[i]);
		hub->n_registered += !h->registered;
		h->registered = true;
	}
	g_free(hub->anchor);
	hub->anchor = g_strdup(anchor);
}

void hub_set_tree_version(struct hub *hub, uint64_t version)
{
	hub->tree_version = version;
}

void hub_set_member_version(struct hub *hub, uint64_t version)
{
	hub->member_version = version;
}

void hub_set_leader_contact(struct hub *hub, bool contact)
{
	hub->leader_contact = contact;
}

void hub_set_floor(struct hub *hub, unsigned rank, unsigned percent)
{
	if (rank > 0 && rank < HUB_RANKS)
		hub->cfg.floor_percent[rank] = percent;
}

void hub_set_floors(struct hub *hub, struct tree *tree)
{
	const struct rank_cfg *const *ranks;
	size_t n = tree_ranks(tree, &ranks);

	for (unsigned i = 1; i < HUB_RANKS; i++)
		hub_set_floor(hub, i,
			      i < n ? (unsigned)ranks[i]->floor_percent : 0);
}

/* Twice the weight, as the anchor weighs 1.5. */
static unsigned host_weight2(const struct hub *hub, const struct hub_host *h)
{
	return hub->anchor && !strcmp(hub->anchor, h->name) ? 3 : 2;
}

static bool counts_in_component(const struct hub_host *h, int64_t now)
{
	return h->registered && h->informed && h->made_after_us != INT64_MIN &&
	       now - h->made_after_us <= HUB_REPORT_FRESH_US;
}

unsigned hub_component_weight2(const struct hub *hub, int64_t now)
{
	GHashTableIter iter;
	void *val;
	unsigned sum = 0;

	g_hash_table_iter_init(&iter, hub->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		const struct hub_host *h = val;
		if (!counts_in_component(h, now))
			continue;
		if (h->member_version > hub->member_version)
			return 0;
		sum += host_weight2(hub, h);
	}
	return sum;
}

/*
 * Fills in the newest configuration version and prepared change in the
 * component, and the host that has it.
 */
static void add_component_state(const struct hub *hub, int64_t now,
				Mw__HubGrant *g)
{
	const struct hub_host *newest = NULL, *pending = NULL;
	GHashTableIter iter;
	void *val;

	g->version = hub->tree_version;
	g->leader_contact = hub->leader_contact;
	g_hash_table_iter_init(&iter, hub->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		const struct hub_host *h = val;
		if (!counts_in_component(h, now))
			continue;
		if (h->has_lease)
			g->leader_contact = true;
		if (!newest || h->tree_version > newest->tree_version)
			newest = h;
		if (h->pending_version &&
		    (!pending || h->pending_attempt > pending->pending_attempt))
			pending = h;
	}
	if (newest && newest->tree_version > g->version)
		g->version = newest->tree_version;
	if (pending && pending->pending_version > g->version) {
		g->pending_attempt = pending->pending_attempt;
		newest = pending;
	}
	if (newest)
		g->tree_host = strdup(newest->name);
}

static void apply_config_state(struct hub_host *h, const Mw__HubReport *r)
{
	h->informed = r->informed;
	h->has_lease = r->has_lease;
	h->tree_version = r->version;
	h->pending_version = r->pending;
	h->pending_attempt = r->pending_attempt;
	h->member_version = r->member_version;
}

unsigned hub_registered_weight2(const struct hub *hub)
{
	GHashTableIter iter;
	void *val;
	unsigned sum = 0;

	g_hash_table_iter_init(&iter, hub->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &val))
		if (((struct hub_host *)val)->registered)
			sum += host_weight2(hub, val);
	return sum;
}

bool hub_component_has_majority(const struct hub *hub, int64_t now)
{
	return 2 * hub_component_weight2(hub, now) >
	       hub_registered_weight2(hub);
}

/* Removes unregistered hosts that have stopped reporting. */
static void remove_expired_hosts(struct hub *hub, int64_t now)
{
	for (unsigned s = 0; s < hub->slots->len; s++) {
		struct hub_host *h = g_ptr_array_index(hub->slots, s);

		if (!h || h->registered ||
		    (h->last_report_us != INT64_MIN &&
		     now - h->last_report_us < SLOT_KEEP_US))
			continue;
		hub_clear_slot(hub, s);
		g_ptr_array_index(hub->slots, s) = NULL;
		g_hash_table_remove(hub->hosts, h->name);
	}
}

static void apply_demands(struct hub *hub, struct hub_host *h,
			  const Mw__HubReport *report)
{
	g_array_set_size(h->demands, 0);
	for (size_t i = 0; i < report->n_demand && i < DEMANDS_MAX; i++) {
		const Mw__Demand *d = report->demand[i];
		struct hub_demand hd = {NULL, d->rank, d->blocks, d->unit};

		hd.model = hub_get_model(hub, d->model);
		if (d->rank < HUB_RANKS && hd.model)
			g_array_append_val(h->demands, hd);
	}
}

static void apply_held_blocks(struct hub *hub, struct hub_host *h,
			      const Mw__HubReport *report, int64_t now)
{
	GHashTableIter iter;
	void *val;

	/* Not a delta: the host holds nothing on endpoints not listed. */
	if (!report->base_seq) {
		g_hash_table_iter_init(&iter, hub->eps);
		while (g_hash_table_iter_next(&iter, NULL, &val)) {
			struct hub_cell *cell = hub_get_cell(hub, val, h->slot);

			cell->held_blocks = 0;
			hub_cell_update_committed(val, cell, now);
		}
	}
	for (size_t i = 0; i < report->n_endpoints; i++) {
		const Mw__EndpointUse *u = report->endpoints[i];
		struct hub_ep *ep = g_hash_table_lookup(hub->eps, u->endpoint);
		struct hub_cell *cell;

		if (!ep)
			continue;
		cell = hub_get_cell(hub, ep, h->slot);
		/* A wrong report must not exceed the endpoint's memory. */
		cell->held_blocks =
			u->held < ep->info->blocks ? u->held : ep->info->blocks;
		hub_cell_update_committed(ep, cell, now);
	}
}

static uint32_t allot_retry_tokens(struct hub *hub, const Mw__HubReport *report)
{
	unsigned hosts = hub->n_registered ? hub->n_registered : 1;
	double tokens;

	hub->retry_tokens +=
		(double)report->requests * hub->cfg.retry_percent / 100;
	if (hub->retry_tokens > (double)hosts * RETRY_TOKENS_PER_HOST)
		hub->retry_tokens = (double)hosts * RETRY_TOKENS_PER_HOST;
	/* Replaces the tokens that the host used; adds part of the rest. */
	tokens = (double)report->retries + hub->retry_tokens / (4.0 * hosts);
	if (tokens > hub->retry_tokens)
		tokens = hub->retry_tokens;
	hub->retry_tokens -= (uint32_t)tokens;
	return (uint32_t)tokens;
}

static void add_credits(struct hub *hub, struct hub_host *h, bool delta,
			Mw__HubGrant *grant, int64_t now)
{
	GHashTableIter iter;
	void *val;

	grant->lease_ms = hub->cfg.lease_ms;
	grant->credits = calloc(g_hash_table_size(hub->eps) + 1,
				sizeof(*grant->credits));
	g_hash_table_iter_init(&iter, hub->eps);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct hub_ep *ep = val;
		Mw__Credit *c;
		uint64_t before, blocks;

		if (ep->dead_us || !ep->info->blocks)
			continue;
		before = hub_get_cell(hub, ep, h->slot)->granted_blocks;
		blocks = hub_cell_make_grant(hub, ep, h->slot, delta, now);
		if (delta ? blocks == before : !blocks)
			continue;
		c = malloc(sizeof(*c));
		mw__credit__init(c);
		c->endpoint = strdup(ep->info->id);
		c->blocks = blocks;
		grant->credits[grant->n_credits++] = c;
	}
}

Mw__HubGrant *hub_handle_report(struct hub *hub, int64_t now,
				const Mw__HubReport *report)
{
	struct hub_host *h;
	Mw__HubGrant *grant;
	bool delta;

	if (!*report->host || strlen(report->host) > NAME_MAX_LEN)
		return NULL;
	remove_expired_hosts(hub, now);
	h = hub_get_host(hub, report->host);
	if (h->borrower)
		return NULL;
	if (report->incarnation < h->incarnation ||
	    (report->incarnation == h->incarnation && report->seq <= h->seq))
		return NULL;
	if (report->incarnation != h->incarnation) {
		h->incarnation = report->incarnation;
		h->grant_seq = 0;
		h->made_after_us = INT64_MIN;
	} else if (report->grant_seq == h->seq &&
		   h->last_report_us != INT64_MIN) {
		/*
		 * The host had received the last grant when it made this
		 * report, so it was made after that grant was sent.
		 */
		h->made_after_us = h->last_report_us;
	}
	apply_config_state(h, report);
	h->last_report_us = now;
	hub_tick(hub, now);
	apply_demands(hub, h, report);
	apply_held_blocks(hub, h, report, now);
	hub_process_usage(hub, h, report, now);

	grant = malloc(sizeof(*grant));
	mw__hub_grant__init(grant);
	grant->hub = strdup(hub->name);
	grant->seq = report->seq;
	delta = h->grant_seq && report->grant_seq == h->grant_seq &&
		report->base_seq == h->seq;
	h->seq = report->seq;
	/*
	 * During its first lease a hub grants no credits, because those of the
	 * previous hub may still be valid.  Until then hosts use their safe
	 * share (see policy/credit.h).
	 */
	if (h->registered && now - hub->start_us >= hub->lease_us) {
		hub_allocate(hub, now);
		add_credits(hub, h, delta, grant, now);
		grant->base_seq = delta ? h->grant_seq : 0;
		h->grant_seq = report->seq;
		hub_spill_process_report(hub, h, report, grant, now);
	} else {
		h->grant_seq = 0;
	}
	hub_grant_add_usage(hub, h, grant);
	hub_grant_add_rows(hub, grant, report->registry_version);
	grant->retry_tokens = allot_retry_tokens(hub, report);
	grant->component_weight2 = hub_component_weight2(hub, now);
	grant->registered_weight2 = hub_registered_weight2(hub);
	add_component_state(hub, now, grant);
	return grant;
}

uint64_t hub_granted_blocks(const struct hub *hub, const char *id, int64_t now)
{
	const struct hub_ep *ep = g_hash_table_lookup(hub->eps, id);
	uint64_t sum = 0;

	for (size_t s = 0; ep && s < ep->n_cells; s++) {
		const struct hub_cell *cell = &ep->cells[s];
		uint64_t max_blocks = 0;

		for (unsigned i = 0; i < cell->n_grants; i++)
			if (cell->grants[i].expires_us > now &&
			    cell->grants[i].blocks > max_blocks)
				max_blocks = cell->grants[i].blocks;
		sum += max_blocks;
	}
	return sum;
}

uint64_t hub_limit_blocks(const struct hub *hub, const char *id)
{
	const struct hub_ep *ep = g_hash_table_lookup(hub->eps, id);

	return ep ? hub_ep_limit(hub, ep) : 0;
}
