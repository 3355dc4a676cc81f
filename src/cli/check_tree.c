#include "cli/check_tree.h"

#include <string.h>

#include "base/cleanup.h"
#include "forward/plan_check.h"

struct tree_check {
	struct tree *tree;
	GPtrArray *out;
	struct plan *plan; /* routes and accounts with their regions only */
	struct residency_map regions;
	/* struct route_cfg and account_cfg of the leaves, as in the plan */
	GPtrArray *routes, *accounts;
};

static const struct plan_names tree_names = {
	.routes = "routes",
	.accounts = "accounts",
	.regions = "allowed_regions",
};

/* Whether the node itself has the setting, not a folder or a template. */
static bool is_own_setting(const struct tree *t, const char *folder,
			   const char *name, const char *key)
{
	g_autofree char *path = g_strdup_printf("%s/%s", folder, name);
	const char *from = NULL;
	AUTO_JSON json_t *v = tree_resolve(t, path, key, &from);

	return v && from && !strcmp(from, path);
}

/* ---- routes ---- */

static void check_unused_settings(const struct tree_check *c,
				  const struct route_cfg *r)
{
	static const struct {
		enum route_kind kind;
		const char *key;
	} unused[] = {{ROUTE_KIND_MODEL, "service"},
		      {ROUTE_KIND_MODEL, "repeatable"},
		      {ROUTE_KIND_SERVICE, "model"},
		      {ROUTE_KIND_SERVICE, "adapter"}};

	for (size_t i = 0; i < G_N_ELEMENTS(unused); i++)
		if (r->kind == unused[i].kind &&
		    is_own_setting(c->tree, "routes", r->name, unused[i].key))
			finding_warn(c->out, "routes", r->name, unused[i].key,
				     "has no effect on a route of kind %s",
				     r->kind == ROUTE_KIND_MODEL ? "model"
								 : "service");
}

static void check_route_limits(const struct tree_check *c,
			       const struct route_cfg *r)
{
	const struct model_cfg *m = r->kind == ROUTE_KIND_MODEL
					    ? tree_model(c->tree, r->model)
					    : NULL;

	if (m && r->max_tokens > m->context_tokens)
		finding_warn(c->out, "routes", r->name, "max_tokens",
			     "%lld is above context_tokens of models/%s, %lld",
			     (long long)r->max_tokens, m->name,
			     (long long)m->context_tokens);
	if (r->resume_window_ms > r->deadline_ms)
		finding_warn(c->out, "routes", r->name, "resume_window_ms",
			     "%lld is above deadline_ms, %lld",
			     (long long)r->resume_window_ms,
			     (long long)r->deadline_ms);
	if (r->retries_max && !tree_system(c->tree)->retry_budget_percent &&
	    is_own_setting(c->tree, "routes", r->name, "retries_max"))
		finding_warn(c->out, "routes", r->name, "retries_max",
			     "has no effect: retry_budget_percent of system "
			     "is 0");
}

static void check_route(const char *name, bool leaf, void *arg)
{
	struct tree_check *c = arg;
	const struct route_cfg *r = tree_route(c->tree, name);

	if (!leaf)
		return;
	struct plan_route *p = plan_add_route(c->plan, name, "", "");
	for (const char *const *n = r->allowed_regions; *n; n++)
		plan_add_region(c->plan, &p->regions, *n);
	g_ptr_array_add(c->routes, (void *)r);
	check_unused_settings(c, r);
	check_route_limits(c, r);
}

/* ---- accounts ---- */

static bool has_keys(const struct tree *t, const char *name)
{
	g_autofree char *path = g_strdup_printf("accounts/%s", name);
	AUTO_JSON json_t *keys = tree_resolve(t, path, "key_hash", NULL);

	return json_array_size(keys) > 0;
}

static bool may_call(const struct tree_check *c, const struct account_cfg *a)
{
	for (guint i = 0; i < c->routes->len; i++) {
		const struct route_cfg *r = c->routes->pdata[i];
		const struct rank_cfg *rank = tree_route_rank(c->tree, r);

		/* Services have no ranks. */
		if (account_allows_route(a, r->name) &&
		    (r->kind == ROUTE_KIND_SERVICE ||
		     account_allows_rank(a, rank->name)))
			return true;
	}
	return false;
}

static void check_account_queue(const struct tree_check *c,
				const struct account_cfg *a)
{
	const struct rank_cfg *const *ranks;
	size_t n = tree_ranks(c->tree, &ranks);
	int64_t room = 0;

	for (size_t i = 0; i < n; i++)
		if (account_allows_rank(a, ranks[i]->name))
			room += ranks[i]->queue_max;
	if (a->queue_max > room)
		finding_warn(c->out, "accounts", a->name, "queue_max",
			     "%lld is above queue_max of its ranks, %lld "
			     "together",
			     (long long)a->queue_max, (long long)room);
}

static void check_account(const char *name, bool leaf, void *arg)
{
	struct tree_check *c = arg;
	const struct account_cfg *a = tree_account(c->tree, name);

	if (!leaf)
		return;
	struct plan_account *p = plan_add_account(c->plan, name);
	for (const char *const *n = a->allowed_regions; *n; n++)
		plan_add_region(c->plan, &p->regions, *n);
	g_ptr_array_add(c->accounts, (void *)a);
	if (has_keys(c->tree, name) && !may_call(c, a))
		finding_warn(c->out, "accounts", name, "key_hash",
			     "no route may be called with its keys");
	check_account_queue(c, a);
}

/* ---- regions and system ---- */

static void add_region(struct tree_check *c, const char *dc)
{
	const char *region = tree_dc_settings(c->tree, dc)->region;

	if (*region)
		residency_map_add(&c->regions, dc, region);
}

static void add_dc(const char *name, bool leaf, void *arg)
{
	if (leaf)
		add_region(arg, name);
}

static bool may_use(void *arg, guint route, guint account)
{
	const struct tree_check *c = arg;
	const struct route_cfg *r = c->routes->pdata[route];

	return account_allows_route(c->accounts->pdata[account], r->name);
}

static void check_regions(struct tree_check *c)
{
	struct plan_check pc = {.plan = c->plan,
				.names = &tree_names,
				.may_use = may_use,
				.arg = c};

	/* A data centre without a node has the settings of the top folder. */
	add_region(c, "");
	tree_for_each(c->tree, SCHEMA_DC, add_dc, c);
	/* A full map may lack some. */
	if (c->regions.n_dcs < CONF_DC_REGIONS_MAX)
		pc.regions = &c->regions;
	plan_check_regions(&pc, c->out);
}

static void check_system(const struct tree_check *c)
{
	const struct system_cfg *s = tree_system(c->tree);

	if (s->ledger_max_keys_per_account > s->ledger_max_keys)
		finding_add(c->out, FINDING_WARNING,
			    "system:ledger_max_keys_per_account",
			    "%lld is above ledger_max_keys, %lld",
			    (long long)s->ledger_max_keys_per_account,
			    (long long)s->ledger_max_keys);
}

void check_tree(struct tree *t, GPtrArray *out)
{
	g_autoptr(GPtrArray) routes = g_ptr_array_new();
	g_autoptr(GPtrArray) accounts = g_ptr_array_new();
	struct tree_check c = {.tree = t,
			       .out = out,
			       .plan = plan_new(),
			       .routes = routes,
			       .accounts = accounts};

	tree_for_each(t, SCHEMA_ROUTE, check_route, &c);
	tree_for_each(t, SCHEMA_ACCOUNT, check_account, &c);
	check_regions(&c);
	check_system(&c);
	plan_unref(c.plan);
}
