#include <math.h>
#include <glib.h>
#include "base/err.h"
#include "base/list.h"
#include "policy/limit.h"

#define RETRY_AFTER_MAX_S 60

struct account_buckets {
	char *name;
	struct list lru_node;
	double request_balance, token_balance;
	int64_t refilled_us;
};

struct limits {
	GHashTable *accounts;
	struct list lru; /* least recently used first */
	size_t max_accounts;
};

static void buckets_free(void *p)
{
	struct account_buckets *a = p;

	list_del(&a->lru_node);
	g_free(a->name);
	g_free(a);
}

struct limits *limit_new(size_t max_accounts)
{
	struct limits *l = g_new0(struct limits, 1);

	l->max_accounts = max_accounts ? max_accounts : 8192;
	list_init(&l->lru);
	l->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    buckets_free);
	return l;
}

void limit_free(struct limits *l)
{
	if (!l)
		return;
	g_hash_table_destroy(l->accounts);
	g_free(l);
}

static double request_burst(const struct limit_rates *r)
{
	double b = r->request_burst > 0 ? r->request_burst : r->requests_per_s;

	return b < 1 ? 1 : b;
}

static double token_burst(const struct limit_rates *r)
{
	return r->token_burst > 0 ? r->token_burst : 10 * r->tokens_per_s;
}

/* Returns the account's buckets, refilled for the time until now. */
static struct account_buckets *refill(struct limits *l, const char *name,
				      const struct limit_rates *r, int64_t now)
{
	struct account_buckets *a = g_hash_table_lookup(l->accounts, name);
	double s;

	if (!a) {
		if (g_hash_table_size(l->accounts) >= l->max_accounts) {
			a = list_first(&l->lru, struct account_buckets,
				       lru_node);
			g_hash_table_remove(l->accounts, a->name);
		}
		a = g_new0(struct account_buckets, 1);
		a->name = g_strdup(name);
		a->request_balance = request_burst(r);
		a->token_balance = token_burst(r);
		a->refilled_us = now;
		list_init(&a->lru_node);
		g_hash_table_insert(l->accounts, a->name, a);
	}
	list_del(&a->lru_node);
	list_add_tail(&l->lru, &a->lru_node);
	s = now > a->refilled_us ? (double)(now - a->refilled_us) / 1e6 : 0;
	if (now > a->refilled_us)
		a->refilled_us = now;
	a->request_balance = fmin(a->request_balance + s * r->requests_per_s,
				  request_burst(r));
	a->token_balance =
		fmin(a->token_balance + s * r->tokens_per_s, token_burst(r));
	return a;
}

static unsigned retry_after_seconds(double s)
{
	if (s >= RETRY_AFTER_MAX_S)
		return RETRY_AFTER_MAX_S;
	return s <= 1 ? 1 : (unsigned)ceil(s);
}

int limit_admit_request(struct limits *l, const char *account,
			const struct limit_rates *rates, int64_t now,
			unsigned *retry_after_s)
{
	struct account_buckets *a;

	*retry_after_s = 1;
	if (rates->requests_per_s <= 0 && rates->tokens_per_s <= 0)
		return 0;
	a = refill(l, account, rates, now);
	if (rates->requests_per_s > 0 && a->request_balance < 1) {
		*retry_after_s = retry_after_seconds((1 - a->request_balance) /
						     rates->requests_per_s);
		return -MW_ELIMIT;
	}
	if (rates->tokens_per_s > 0 && a->token_balance <= 0) {
		*retry_after_s = retry_after_seconds(-a->token_balance /
						     rates->tokens_per_s);
		return -MW_ELIMIT;
	}
	if (rates->requests_per_s > 0)
		a->request_balance -= 1;
	return 0;
}

void limit_debit_tokens(struct limits *l, const char *account,
			const struct limit_rates *rates, uint64_t tokens,
			int64_t now)
{
	if (rates->tokens_per_s <= 0)
		return;
	refill(l, account, rates, now)->token_balance -= (double)tokens;
}
