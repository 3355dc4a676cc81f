#include "forward/plan_check.h"

#include <limits.h>
#include <string.h>

#include "base/clock.h"

/* ---- regions ---- */

static bool has_data_centre(const struct plan_check *c, const char *region)
{
	for (size_t i = 0; c->regions && i < c->regions->n_regions; i++)
		if (!strcmp(c->regions->regions[i], region))
			return true;
	return !c->regions;
}

static void check_region_names(const struct plan_check *c, const char *folder,
			       const char *name,
			       const struct plan_regions *list, GPtrArray *out)
{
	for (size_t i = 0; i < list->n; i++)
		if (!has_data_centre(c, list->names[i]))
			finding_warn(out, folder, name, c->names->regions,
				     "region '%s' has no data centre",
				     list->names[i]);
}

/* Numbers for the names of regions, which are interned. */
struct region_index {
	GHashTable *numbers; /* name to number, from 1 */
	guint **accounts;    /* numbers of each account's regions */
	guint *route_of;     /* number to 1 + the last route that allows it */
};

static guint region_number(struct region_index *x, const char *name)
{
	gpointer n = g_hash_table_lookup(x->numbers, name);

	if (!n) {
		n = GUINT_TO_POINTER(g_hash_table_size(x->numbers) + 1);
		g_hash_table_insert(x->numbers, (void *)name, n);
	}
	return GPOINTER_TO_UINT(n);
}

static guint *region_numbers(struct region_index *x,
			     const struct plan_regions *list)
{
	guint *numbers = g_new(guint, list->n);

	for (size_t i = 0; i < list->n; i++)
		numbers[i] = region_number(x, list->names[i]);
	return numbers;
}

static void region_index_init(struct region_index *x, const struct plan *p)
{
	x->numbers = g_hash_table_new(NULL, NULL);
	x->accounts = g_new0(guint *, p->accounts->len);
	for (guint i = 0; i < p->accounts->len; i++) {
		const struct plan_account *a = p->accounts->pdata[i];
		x->accounts[i] = region_numbers(x, &a->regions);
	}
	for (guint i = 0; i < p->routes->len; i++) {
		const struct plan_route *r = p->routes->pdata[i];
		for (size_t k = 0; k < r->regions.n; k++)
			region_number(x, r->regions.names[k]);
	}
	x->route_of = g_new0(guint, g_hash_table_size(x->numbers) + 1);
}

static void region_index_release(struct region_index *x, const struct plan *p)
{
	for (guint i = 0; i < p->accounts->len; i++)
		g_free(x->accounts[i]);
	g_free(x->accounts);
	g_free(x->route_of);
	g_hash_table_destroy(x->numbers);
}

/* Prepares have_common_region() for a route. */
static void select_route(struct region_index *x, const struct plan *p,
			 guint route)
{
	const struct plan_route *r = p->routes->pdata[route];

	for (size_t k = 0; k < r->regions.n; k++)
		x->route_of[region_number(x, r->regions.names[k])] = route + 1;
}

/* Whether a request with the regions of both may run somewhere. */
static bool have_common_region(const struct region_index *x,
			       const struct plan *p, guint route, guint account)
{
	const struct plan_route *r = p->routes->pdata[route];
	const struct plan_account *a = p->accounts->pdata[account];

	if (!r->regions.n || !a->regions.n)
		return true;
	for (size_t i = 0; i < a->regions.n; i++)
		if (x->route_of[x->accounts[account][i]] == route + 1)
			return true;
	return false;
}

/* One finding for each route: there may be many accounts. */
static void check_common_regions(const struct plan_check *c,
				 struct region_index *x, guint route,
				 GPtrArray *out)
{
	const struct plan_route *r = c->plan->routes->pdata[route];
	const struct plan_account *first = NULL;
	guint n = 0;

	select_route(x, c->plan, route);
	for (guint i = 0; i < c->plan->accounts->len; i++) {
		if (have_common_region(x, c->plan, route, i) ||
		    (c->may_use && !c->may_use(c->arg, route, i)))
			continue;
		first = first ? first : c->plan->accounts->pdata[i];
		n++;
	}
	if (n)
		finding_warn(out, c->names->routes, r->name, c->names->regions,
			     "no region in common with %s/%s%s: all its "
			     "requests are rejected",
			     c->names->accounts, first->name,
			     n > 1 ? " and others" : "");
}

void plan_check_regions(const struct plan_check *c, GPtrArray *out)
{
	const struct plan *p = c->plan;
	struct region_index x;

	region_index_init(&x, p);
	for (guint i = 0; i < p->routes->len; i++) {
		const struct plan_route *r = p->routes->pdata[i];

		check_region_names(c, c->names->routes, r->name, &r->regions,
				   out);
		if (r->regions.n)
			check_common_regions(c, &x, i, out);
	}
	region_index_release(&x, p);
	for (guint i = 0; i < p->accounts->len; i++) {
		const struct plan_account *a = p->accounts->pdata[i];

		check_region_names(c, c->names->accounts, a->name, &a->regions,
				   out);
	}
}

/* ---- entries that can never match ---- */

static void check_match(const struct plan_check *c, const struct plan_route *r,
			GPtrArray *out)
{
	const struct plan_names *names = c->names;

	if (!*r->host)
		finding_warn(out, names->routes, r->name, names->host,
			     "no request has an empty host");
	if (r->prefix_len && *r->prefix != '/')
		finding_warn(out, names->routes, r->name, names->prefix,
			     "matches no path: paths begin with '/'");
	else if (strchr(r->prefix, '?'))
		finding_warn(out, names->routes, r->name, names->prefix,
			     "matches no path: the query is not compared");
}

/* Of routes with the same host and prefix, the first one is chosen. */
static void check_shadowed(const struct plan_check *c, GPtrArray *out)
{
	g_autoptr(GHashTable) seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < c->plan->routes->len; i++) {
		struct plan_route *r = c->plan->routes->pdata[i];
		char *key = g_strdup_printf("%s %s", r->host, r->prefix);
		const struct plan_route *first = g_hash_table_lookup(seen, key);

		if (!first) {
			g_hash_table_insert(seen, key, r);
			continue;
		}
		g_free(key);
		finding_warn(out, c->names->routes, r->name, c->names->prefix,
			     "never chosen: %s/%s has the same host and prefix",
			     c->names->routes, first->name);
	}
}

static void check_services(const struct plan_check *c, GPtrArray *out)
{
	g_autoptr(GHashTable) used = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < c->plan->routes->len; i++) {
		const struct plan_route *r = c->plan->routes->pdata[i];

		for (size_t k = 0; k < r->n_backends; k++)
			if (r->backends[k].weight)
				g_hash_table_add(
					used, (void *)r->backends[k].service);
	}
	for (guint i = 0; i < c->plan->services->len; i++) {
		const struct plan_service *s = c->plan->services->pdata[i];
		g_autofree char *path =
			g_strdup_printf("%s/%s", c->names->services, s->name);

		if (!g_hash_table_contains(used, s))
			finding_add(out, FINDING_WARNING, path,
				    "no route sends requests to it");
	}
}

/* Returns for each account whether a route may run its requests. */
static bool *find_served_accounts(const struct plan *p)
{
	bool *served = g_new0(bool, p->accounts->len);
	struct region_index x;

	region_index_init(&x, p);
	for (guint i = 0; i < p->routes->len; i++) {
		select_route(&x, p, i);
		for (guint k = 0; k < p->accounts->len; k++)
			served[k] =
				served[k] || have_common_region(&x, p, i, k);
	}
	region_index_release(&x, p);
	return served;
}

static bool has_private_route(const struct plan *p)
{
	for (guint i = 0; i < p->routes->len; i++) {
		const struct plan_route *r = p->routes->pdata[i];

		if (!r->is_public)
			return true;
	}
	return false;
}

static void check_keys(const struct plan_check *c, GPtrArray *out)
{
	g_autoptr(GHashTable) with_key = g_hash_table_new(NULL, NULL);
	const struct plan *p = c->plan;
	const struct plan_names *names = c->names;
	bool private_route = has_private_route(p);
	g_autofree bool *served = find_served_accounts(p);
	GHashTableIter it;
	void *account;

	g_hash_table_iter_init(&it, p->by_key);
	while (g_hash_table_iter_next(&it, NULL, &account))
		g_hash_table_add(with_key, account);
	if (p->needs_keys && private_route && !g_hash_table_size(with_key))
		finding_add(out, FINDING_WARNING, names->accounts,
			    "no account has a key: only public routes can be "
			    "called");
	for (guint i = 0; i < p->accounts->len; i++) {
		const struct plan_account *a = p->accounts->pdata[i];

		if (!g_hash_table_contains(with_key, a))
			finding_warn(out, names->accounts, a->name, names->keys,
				     "the account has no key");
		else if (!served[i])
			finding_warn(out, names->accounts, a->name, names->keys,
				     "no route may be called with its keys");
		else if (!private_route)
			finding_warn(out, names->accounts, a->name, names->keys,
				     "all routes are public: no route needs "
				     "its keys");
	}
}

/* ---- limits ---- */

static long long to_ms(int64_t us)
{
	return us / (int64_t)USEC_PER_MSEC;
}

static void check_route_limits(const struct plan_check *c,
			       const struct plan_route *r, GPtrArray *out)
{
	const struct plan_names *names = c->names;

	if (r->target_latency_us > r->timeout_us &&
	    r->target_latency_us != c->default_latency_us)
		finding_warn(out, names->routes, r->name, names->target_latency,
			     "%lld ms is above %s, %lld ms",
			     to_ms(r->target_latency_us), names->timeout,
			     to_ms(r->timeout_us));
	if (r->target_gap_us > r->timeout_us)
		finding_warn(out, names->routes, r->name, names->target_gap,
			     "%lld ms is above %s, %lld ms",
			     to_ms(r->target_gap_us), names->timeout,
			     to_ms(r->timeout_us));
	if (r->target_gap_us > 0 && r->kind != PLAN_STREAM)
		finding_warn(out, names->routes, r->name, names->target_gap,
			     "has no effect: the route has no streams");
	if (r->max_endpoints > INT_MAX)
		finding_warn(out, names->routes, r->name, names->max_endpoints,
			     "a number below 0 is not supported");
	else if (!r->max_endpoints)
		finding_warn(out, names->routes, r->name, names->max_endpoints,
			     "0 has no effect: a request is sent once");
}

static void check_size(const struct plan_check *c, const char *key, size_t size,
		       size_t max, GPtrArray *out)
{
	g_autofree char *path = g_strdup_printf("%s:%s", c->names->limits, key);

	if (size > max)
		finding_add(out, FINDING_WARNING, path,
			    "hosts accept %zu bytes only", max);
}

static void check_limits(const struct plan_check *c, GPtrArray *out)
{
	const struct plan *p = c->plan;
	const struct plan_names *n = c->names;

	check_size(c, n->max_header, p->max_header, PLAN_HEADER_MAX_BYTES, out);
	check_size(c, n->max_body, p->max_body, PLAN_BODY_MAX_BYTES, out);
	if (p->max_header && p->max_body && p->max_header > p->max_body) {
		g_autofree char *path =
			g_strdup_printf("%s:%s", n->limits, n->max_header);
		finding_add(out, FINDING_WARNING, path,
			    "%zu bytes are above %s, %zu bytes", p->max_header,
			    n->max_body, p->max_body);
	}
	/* A connection without a complete request counts as idle. */
	if (p->header_us && p->idle_us && p->header_us > p->idle_us) {
		g_autofree char *path =
			g_strdup_printf("%s:%s", n->limits, n->header_time);
		finding_add(out, FINDING_WARNING, path,
			    "%lld ms are above %s, %lld ms, after which the "
			    "connection is closed",
			    to_ms(p->header_us), n->idle_time,
			    to_ms(p->idle_us));
	}
}

void plan_check_all(const struct plan_check *c, GPtrArray *out)
{
	for (guint i = 0; i < c->plan->routes->len; i++) {
		check_match(c, c->plan->routes->pdata[i], out);
		check_route_limits(c, c->plan->routes->pdata[i], out);
	}
	check_shadowed(c, out);
	check_services(c, out);
	check_keys(c, out);
	plan_check_regions(c, out);
	check_limits(c, out);
}
