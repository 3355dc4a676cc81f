#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "base/err.h"
#include "base/clock.h"
#include "control/hub_client.h"
#include "policy/fair_key.h"

/* Bounds on the accounts in one report, and on those read from one queue. */
#define USAGE_ROWS_MAX 8
#define USAGE_ROWS_SCANNED 512

/* A row that a new hub does not list within this time is removed. */
#define UNCONFIRMED_KEEP_US INT64_C(20000000)

/* The hub is in contact this long after the sending of an answered report. */
#define CONTACT_TIMEOUT_US INT64_C(2000000)

/* A row of the hub's endpoint registry, as last received. */
struct registry_row {
	char *id;
	uint64_t incarnation;
	struct credit_ep *credit;
	uint64_t reported_held_blocks; /* as last reported */
	uint64_t credit_blocks;	       /* of the last grant */
	uint32_t hub_epoch;	       /* of the hub that listed it last */
	/* When a hub first answered without listing it; 0: listed. */
	int64_t unconfirmed_since_us;
};

/* Usage of an account as last reported to the hub. */
struct reported_usage {
	uint64_t tokens;
	bool backlogged;
};

struct hub_client {
	struct hub_client_cfg cfg;
	char *host, *dc;
	GHashTable *rows;	  /* endpoint id -> struct registry_row */
	GHashTable *reported;	  /* fair key -> struct reported_usage */
	GHashTable *block_tokens; /* model -> block size in tokens */
	uint64_t seq, registry_version;
	uint64_t last_grant_seq; /* seq of the newest grant, 0: none */
	bool last_was_delta;	 /* the last report was a delta */
	bool needs_full_report;	 /* the hub lacks the base of a delta */
	int64_t report_sent_us;
	int64_t last_contact_us; /* sending time of the last answered report */
};

static void row_free(void *p)
{
	struct registry_row *row = p;

	g_free(row->id);
	g_free(row);
}

struct hub_client *hub_client_new(const struct hub_client_cfg *cfg)
{
	struct hub_client *c = g_new0(struct hub_client, 1);

	c->cfg = *cfg;
	c->host = g_strdup(cfg->host);
	c->dc = g_strdup(cfg->dc);
	c->last_contact_us = INT64_MIN;
	c->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
	c->reported =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->block_tokens =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return c;
}

void hub_client_free(struct hub_client *c)
{
	if (!c)
		return;
	g_hash_table_destroy(c->rows);
	g_hash_table_destroy(c->reported);
	g_hash_table_destroy(c->block_tokens);
	g_free(c->host);
	g_free(c->dc);
	g_free(c);
}

static void add_demand(struct hub_client *c, Mw__HubReport *report,
		       const struct hub_client_queue *hq, size_t max)
{
	uint64_t bt =
		(uintptr_t)g_hash_table_lookup(c->block_tokens, hq->model);
	struct queue_stats st;

	hq->queue->ops->stats(hq->queue, &st);
	if (!bt)
		bt = 16;
	for (unsigned r = 0; r < QUEUE_RANKS && report->n_demand < max; r++) {
		Mw__Demand *d;

		if (!st.items[r])
			continue;
		d = malloc(sizeof(*d));
		mw__demand__init(d);
		d->model = strdup(hq->model);
		d->rank = r;
		d->blocks = st.tokens[r] / bt + 1;
		d->unit = st.tokens[r] / st.items[r] / bt + 1;
		report->demand[report->n_demand++] = d;
	}
}

/* Small changes are not sent: up to 1/8, unless nothing is held any more. */
static bool must_report(uint64_t held, uint64_t reported)
{
	uint64_t diff = held > reported ? held - reported : reported - held;

	return diff > reported / 8 || (diff && !held);
}

static void add_held_blocks(struct hub_client *c, Mw__HubReport *report,
			    bool delta)
{
	GHashTableIter iter;
	void *val;

	report->endpoints = calloc(g_hash_table_size(c->rows) + 1,
				   sizeof(*report->endpoints));
	g_hash_table_iter_init(&iter, c->rows);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct registry_row *row = val;
		uint64_t held =
			row->credit ? credit_reserved_blocks(row->credit) : 0;
		Mw__EndpointUse *u;

		if (delta ? !must_report(held, row->reported_held_blocks)
			  : !held)
			continue;
		u = malloc(sizeof(*u));
		mw__endpoint_use__init(u);
		u->endpoint = strdup(row->id);
		u->held = row->reported_held_blocks = held;
		u->streams = credit_generations(row->credit);
		report->endpoints[report->n_endpoints++] = u;
	}
}

/* A change of an account's usage that the hub has not been sent. */
struct usage_change {
	char key[FAIR_KEY_MAX];
	struct reported_usage current;
	uint64_t priority;
};

/* Highest priority first. */
static int compare_priority(const void *a, const void *b)
{
	const struct usage_change *x = a, *y = b;

	if (x->priority != y->priority)
		return x->priority < y->priority ? 1 : -1;
	return strcmp(x->key, y->key);
}

static void collect_usage_changes(struct hub_client *c,
				  const struct hub_client_queue *hq,
				  GArray *changes)
{
	g_autofree struct queue_usage *rows =
		g_new(struct queue_usage, USAGE_ROWS_SCANNED);
	size_t n =
		hq->queue->ops->list_usage(hq->queue, rows, USAGE_ROWS_SCANNED);

	for (size_t i = 0; i < n; i++) {
		const struct reported_usage *reported;
		struct usage_change u = {
			.current = {rows[i].tokens, rows[i].backlogged}};

		if (fair_key_format(u.key, rows[i].rank, hq->model,
				    rows[i].account) < 0)
			continue;
		reported = g_hash_table_lookup(c->reported, u.key);
		if (!reported && !u.current.backlogged)
			continue;
		if (reported && reported->tokens == u.current.tokens &&
		    reported->backlogged == u.current.backlogged)
			continue;
		u.priority = reported && u.current.tokens > reported->tokens
				     ? u.current.tokens - reported->tokens
				     : 0;
		/* Changes of the backlog come before those of the tokens. */
		if (!reported || reported->backlogged != u.current.backlogged)
			u.priority = UINT64_MAX;
		g_array_append_val(changes, u);
	}
}

static void add_usage(struct hub_client *c, Mw__HubReport *report,
		      const struct hub_client_queue *queues, size_t n)
{
	g_autoptr(GArray) changes =
		g_array_new(FALSE, FALSE, sizeof(struct usage_change));
	size_t max;

	for (size_t i = 0; i < n; i++)
		collect_usage_changes(c, &queues[i], changes);
	g_array_sort(changes, compare_priority);
	max = changes->len < USAGE_ROWS_MAX ? changes->len : USAGE_ROWS_MAX;
	report->accounts = calloc(max + 1, sizeof(*report->accounts));
	for (size_t i = 0; i < max; i++) {
		const struct usage_change *u =
			&g_array_index(changes, struct usage_change, i);
		Mw__AccountUse *row = malloc(sizeof(*row));
		struct reported_usage *reported =
			g_new(struct reported_usage, 1);

		mw__account_use__init(row);
		row->account = strdup(u->key);
		row->tokens = u->current.tokens;
		row->backlogged = u->current.backlogged;
		report->accounts[report->n_accounts++] = row;
		*reported = u->current;
		g_hash_table_replace(c->reported, g_strdup(u->key), reported);
	}
}

Mw__HubReport *hub_client_make_report(struct hub_client *c, int64_t now,
				      const struct hub_client_queue *queues,
				      size_t n, bool has_lease,
				      uint64_t version)
{
	Mw__HubReport *report = malloc(sizeof(*report));
	bool delta =
		c->seq && c->last_grant_seq == c->seq && !c->needs_full_report;
	size_t max = n * QUEUE_RANKS;

	mw__hub_report__init(report);
	if (!delta)
		g_hash_table_remove_all(c->reported);
	report->host = strdup(c->host);
	report->incarnation = c->cfg.incarnation;
	report->base_seq = delta ? c->seq : 0;
	report->grant_seq = c->last_grant_seq;
	report->seq = ++c->seq;
	report->has_lease = has_lease;
	report->version = version;
	report->registry_version = c->registry_version;
	report->demand = calloc(max + 1, sizeof(*report->demand));
	for (size_t i = 0; i < n; i++)
		add_demand(c, report, &queues[i], max);
	add_held_blocks(c, report, delta);
	add_usage(c, report, queues, n);
	if (c->cfg.retry)
		retry_take_counts(c->cfg.retry, &report->requests,
				  &report->retries);
	c->report_sent_us = now;
	c->last_was_delta = delta;
	return report;
}

static enum route_state parse_state(const char *s)
{
	static const struct {
		const char *name;
		enum route_state state;
	} states[] = {
		{"serving", ROUTE_SERVING}, {"loading", ROUTE_LOADING},
		{"leaving", ROUTE_LEAVING}, {"stale", ROUTE_STALE},
		{"suspect", ROUTE_SUSPECT}, {"dead", ROUTE_DEAD},
	};

	for (size_t i = 0; i < sizeof(states) / sizeof(*states); i++)
		if (!strcmp(s, states[i].name))
			return states[i].state;
	return ROUTE_SUSPECT;
}

static void remove_endpoint(struct hub_client *c,
			    const struct registry_row *row)
{
	struct route_ep *ep = route_find_endpoint(c->cfg.route, row->id);

	if (ep) {
		route_set_credit(ep, NULL);
		route_remove_endpoint(c->cfg.route, row->id);
	}
	credit_remove_endpoint(c->cfg.credit, row->id);
}

/* Applies a row with all fields to the credits and the routing table. */
static void apply_full_row(struct hub_client *c, const Mw__EndpointInfo *info,
			   struct registry_row *row, int64_t now)
{
	struct route_ep_info ri = {
		.id = info->id,
		.incarnation = info->incarnation,
		.addr = info->addr,
		.dc = *info->dc ? info->dc : c->dc,
		.models = (const char *const *)info->models,
		.n_models = info->n_models,
		.state = parse_state(info->state),
		.blocks = info->blocks,
		.block_tokens = info->block_tokens,
		.max_batch = info->max_batch,
		.model_version = info->model_version,
	};
	struct credit_ep_info ci = {
		.id = info->id,
		.incarnation = info->incarnation,
		.blocks = info->blocks,
		.block_tokens = info->block_tokens,
		.max_batch = info->max_batch,
		.model_version = info->model_version,
		.loading = ri.state == ROUTE_LOADING,
	};

	if (info->incarnation != row->incarnation)
		row->credit_blocks = row->reported_held_blocks = 0;
	row->incarnation = info->incarnation;
	row->credit = credit_set_endpoint(c->cfg.credit, &ci, now);
	route_set_credit(route_upsert_endpoint(c->cfg.route, &ri, now),
			 row->credit);
	for (size_t i = 0; info->block_tokens && i < info->n_models; i++)
		g_hash_table_replace(c->block_tokens, g_strdup(info->models[i]),
				     (void *)(uintptr_t)info->block_tokens);
}

static void apply_row(struct hub_client *c, const Mw__EndpointInfo *info,
		      uint32_t epoch, int64_t now)
{
	struct registry_row *row = g_hash_table_lookup(c->rows, info->id);
	struct route_ep *ep;

	if (!strcmp(info->state, "dead")) {
		if (row) {
			remove_endpoint(c, row);
			g_hash_table_remove(c->rows, info->id);
		}
		return;
	}
	if (!*info->addr) {
		ep = route_find_endpoint(c->cfg.route, info->id);
		if (row && ep && row->incarnation == info->incarnation) {
			route_set_observed_state(ep, info->incarnation,
						 parse_state(info->state),
						 c->report_sent_us);
			credit_set_loading(row->credit,
					   !strcmp(info->state, "loading"),
					   now);
		}
		return;
	}
	/* A row of an earlier incarnation than the known one is ignored. */
	if (row && info->incarnation < row->incarnation)
		return;
	if (!row) {
		row = g_new0(struct registry_row, 1);
		row->id = g_strdup(info->id);
		g_hash_table_insert(c->rows, row->id, row);
	}
	row->hub_epoch = epoch;
	row->unconfirmed_since_us = 0;
	apply_full_row(c, info, row, now);
}

/*
 * Marks rows that the hub does not list as stale, and removes them after
 * UNCONFIRMED_KEEP_US.  They are not removed at once, because a new hub lists
 * endpoints only after their next announcements.
 */
static void expire_unconfirmed(struct hub_client *c, uint32_t epoch,
			       int64_t now)
{
	GHashTableIter iter;
	void *val;

	g_hash_table_iter_init(&iter, c->rows);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct registry_row *row = val;
		struct route_ep *ep;

		if (row->hub_epoch == epoch)
			continue;
		if (!row->unconfirmed_since_us) {
			row->unconfirmed_since_us = now;
			ep = route_find_endpoint(c->cfg.route, row->id);
			if (ep)
				route_set_observed_state(ep, row->incarnation,
							 ROUTE_STALE, now);
		} else if (now - row->unconfirmed_since_us >=
			   UNCONFIRMED_KEEP_US) {
			remove_endpoint(c, row);
			g_hash_table_iter_remove(&iter);
		}
	}
}

static void apply_rows(struct hub_client *c, const Mw__HubGrant *grant,
		       int64_t now)
{
	uint32_t epoch = (uint32_t)(grant->registry_version >> 32);

	/* The grant lists all rows: any row not in it becomes unconfirmed. */
	if (grant->registry_full) {
		GHashTableIter iter;
		void *val;

		g_hash_table_iter_init(&iter, c->rows);
		while (g_hash_table_iter_next(&iter, NULL, &val))
			((struct registry_row *)val)->hub_epoch = ~epoch;
	}
	for (size_t i = 0; i < grant->n_deltas; i++)
		apply_row(c, grant->deltas[i], epoch, now);
	expire_unconfirmed(c, epoch, now);
	c->registry_version = grant->registry_version;
	if (grant->registry_fresh)
		route_confirm_registry(c->cfg.route, c->report_sent_us);
}

static void apply_credits(struct hub_client *c, const Mw__HubGrant *grant)
{
	int64_t until = c->report_sent_us + grant->lease_ms * USEC_PER_MSEC;
	GHashTableIter iter;
	void *val;

	if (!grant->lease_ms)
		return;
	if (!grant->base_seq) {
		g_hash_table_iter_init(&iter, c->rows);
		while (g_hash_table_iter_next(&iter, NULL, &val))
			((struct registry_row *)val)->credit_blocks = 0;
	}
	for (size_t i = 0; i < grant->n_credits; i++) {
		struct registry_row *row = g_hash_table_lookup(
			c->rows, grant->credits[i]->endpoint);

		if (row)
			row->credit_blocks = grant->credits[i]->blocks;
	}
	g_hash_table_iter_init(&iter, c->rows);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct registry_row *row = val;

		if (row->credit && !row->unconfirmed_since_us)
			credit_set_grant(row->credit, row->credit_blocks,
					 until);
	}
}

static void apply_usage(const Mw__HubGrant *grant,
			const struct hub_client_queue *queues, size_t n,
			int64_t now)
{
	for (size_t i = 0; i < grant->n_accounts; i++) {
		const Mw__AccountUse *u = grant->accounts[i];
		struct fair_key k;

		if (fair_key_parse(&k, u->account) < 0)
			continue;
		for (size_t j = 0; j < n; j++) {
			struct queue *q = queues[j].queue;

			if (strlen(queues[j].model) != k.model_len ||
			    memcmp(queues[j].model, k.model, k.model_len) != 0)
				continue;
			q->ops->set_dc_served(q, k.rank, k.account, u->tokens,
					      now);
		}
	}
}

int hub_client_apply_grant(struct hub_client *c, int64_t now,
			   const Mw__HubGrant *grant,
			   const struct hub_client_queue *queues, size_t n)
{
	if (grant->seq != c->seq)
		return -MW_EINVAL;
	/*
	 * A hub that lacks the base of the delta, as a new hub does, answers
	 * with a grant that has no base either.
	 */
	c->needs_full_report = c->last_was_delta && !grant->base_seq;
	c->last_grant_seq = grant->seq;
	c->last_contact_us = c->report_sent_us;
	apply_rows(c, grant, now);
	apply_credits(c, grant);
	apply_usage(grant, queues, n, now);
	if (c->cfg.retry)
		retry_add_granted_tokens(c->cfg.retry, grant->retry_tokens,
					 c->report_sent_us +
						 CONTACT_TIMEOUT_US);
	return 0;
}

bool hub_client_in_contact(const struct hub_client *c, int64_t now)
{
	return c->last_contact_us != INT64_MIN &&
	       now - c->last_contact_us < CONTACT_TIMEOUT_US;
}

/*
 * Shortest time between reports of a host whose work waits for credit.  With
 * 250 ms for all work, a surge of requests causes 2.0 to 2.9 KB/s of control
 * traffic, above the limit of 2 KB/s for a host.  With 500 ms for all work,
 * urgent work that arrives at the start of a surge waits as long as the rest
 * (docs/policy-real.md).
 */
#define EARLY_REPORT_INTERVAL_US INT64_C(500000)
#define URGENT_REPORT_INTERVAL_US INT64_C(250000)

bool hub_client_report_due(int64_t reported_us, bool urgent, int64_t now)
{
	return now - reported_us >=
	       (urgent ? URGENT_REPORT_INTERVAL_US : EARLY_REPORT_INTERVAL_US);
}
