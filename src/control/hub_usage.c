#include <stdlib.h>
#include <string.h>
#include "control/hub_int.h"
#include "policy/fair_key.h"

/*
 * Served tokens of the accounts, summed over all hosts.  A total is the sum of
 * the increases that the hosts report.  The first count of a host only sets its
 * starting point, so a total has no meaning of its own, only the difference
 * between two totals.
 */

#define USAGE_KEEP_US INT64_C(120000000)
#define PURGE_INTERVAL_US INT64_C(10000000)

/* Bounds on the account rows of one grant, in rows and bytes. */
#define ROWS_MAX 64
#define ROWS_MAX_BYTES 256
#define KEY_MAX_LEN 255

void hub_usage_free(void *p)
{
	struct hub_usage *use = p;

	list_del(&use->node);
	g_free(use);
}

void hub_account_free(void *p)
{
	struct hub_account *a = p;

	g_free(a->key);
	g_free(a);
}

/* Finds or adds an account; NULL for a malformed key or too many models. */
static struct hub_account *get_account(struct hub *hub, const char *key)
{
	struct hub_account *a = g_hash_table_lookup(hub->accounts, key);
	g_autofree char *model = NULL;
	struct fair_key k;
	struct hub_model *m;

	if (a)
		return a;
	if (strlen(key) > KEY_MAX_LEN || fair_key_parse(&k, key) < 0 ||
	    k.rank >= HUB_RANKS)
		return NULL;
	model = g_strndup(k.model, k.model_len);
	m = hub_get_model(hub, model);
	if (!m)
		return NULL;
	a = g_new0(struct hub_account, 1);
	a->key = g_strdup(key);
	a->rank = k.rank;
	a->model = m;
	a->weight = 1;
	if (hub->cfg.account_weight)
		a->weight = hub->cfg.account_weight(hub->cfg.account_weight_ctx,
						    k.account);
	g_hash_table_insert(hub->accounts, a->key, a);
	return a;
}

static void set_backlogged(struct hub_host *h, struct hub_usage *use, bool on)
{
	list_del(&use->node);
	if (on)
		list_add_tail(&h->backlogged, &use->node);
}

void hub_process_usage(struct hub *hub, struct hub_host *h,
		       const Mw__HubReport *report, int64_t now)
{
	/* Not a delta: accounts not listed have no backlog. */
	while (!report->base_seq && !list_empty(&h->backlogged))
		list_del(h->backlogged.next);
	for (size_t i = 0; i < report->n_accounts; i++) {
		const Mw__AccountUse *row = report->accounts[i];
		struct hub_account *a = get_account(hub, row->account);
		struct hub_usage *use;

		if (!a)
			continue;
		use = g_hash_table_lookup(h->usage, a->key);
		if (!use) {
			use = g_new0(struct hub_usage, 1);
			use->account = a;
			use->tokens = row->tokens;
			use->sent_total_tokens = a->total_tokens;
			list_init(&use->node);
			g_hash_table_insert(h->usage, a->key, use);
		}
		/* A lower count: the host restarted and counts from 0. */
		a->total_tokens += row->tokens >= use->tokens
					   ? row->tokens - use->tokens
					   : row->tokens;
		use->tokens = row->tokens;
		set_backlogged(h, use, row->backlogged);
		use->last_report_us = a->last_report_us = now;
	}
}

/* Tokens that were added to an account total since it was sent to a host. */
struct usage_delta {
	struct hub_usage *use;
	uint64_t tokens;
};

/* Largest increase first. */
static int compare_delta(const void *a, const void *b)
{
	const struct usage_delta *x = a, *y = b;
	if (x->tokens != y->tokens)
		return x->tokens < y->tokens ? 1 : -1;
	return strcmp(x->use->account->key, y->use->account->key);
}

void hub_grant_add_usage(struct hub *hub, struct hub_host *h,
			 Mw__HubGrant *grant)
{
	g_autoptr(GArray) deltas =
		g_array_new(FALSE, FALSE, sizeof(struct usage_delta));
	size_t bytes = 0, max;
	struct hub_usage *use;

	(void)hub;
	list_for_each_entry (use, &h->backlogged, node) {
		struct usage_delta n = {use, use->account->total_tokens -
						     use->sent_total_tokens};

		if (n.tokens)
			g_array_append_val(deltas, n);
	}
	g_array_sort(deltas, compare_delta);
	max = deltas->len < ROWS_MAX ? deltas->len : ROWS_MAX;
	if (!max)
		return;
	grant->accounts = calloc(max, sizeof(*grant->accounts));
	for (size_t i = 0; i < max; i++) {
		struct usage_delta *n =
			&g_array_index(deltas, struct usage_delta, i);
		Mw__AccountUse *row;

		bytes += strlen(n->use->account->key) + 12;
		if (bytes > ROWS_MAX_BYTES)
			break;
		row = malloc(sizeof(*row));
		mw__account_use__init(row);
		row->account = strdup(n->use->account->key);
		row->tokens = n->use->account->total_tokens;
		row->backlogged = true;
		n->use->sent_total_tokens = row->tokens;
		grant->accounts[grant->n_accounts++] = row;
	}
}

static gboolean is_usage_expired(void *key, void *val, void *ctx)
{
	(void)key;
	return ((struct hub_usage *)val)->last_report_us < *(int64_t *)ctx;
}

/*
 * An account was reported at least as recently as its usage rows, so no row
 * that points to it remains when it is removed.
 */
static gboolean is_account_expired(void *key, void *val, void *ctx)
{
	(void)key;
	return ((struct hub_account *)val)->last_report_us < *(int64_t *)ctx;
}

void hub_purge_usage(struct hub *hub, int64_t now)
{
	int64_t expiry = now - USAGE_KEEP_US;

	if (now - hub->last_purge_us < PURGE_INTERVAL_US)
		return;
	hub->last_purge_us = now;
	for (unsigned s = 0; s < hub->slots->len; s++) {
		struct hub_host *h = g_ptr_array_index(hub->slots, s);

		if (h)
			g_hash_table_foreach_remove(h->usage, is_usage_expired,
						    &expiry);
	}
	g_hash_table_foreach_remove(hub->accounts, is_account_expired, &expiry);
}
