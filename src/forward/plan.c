#include "forward/plan.h"

#include <string.h>

#include "base/err.h"

static void service_free(void *p)
{
	struct plan_service *s = p;

	g_free(s->name);
	g_free(s->health_path);
	g_free(s);
}

static void route_free(void *p)
{
	struct plan_route *r = p;

	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
	g_free(r->backends);
	g_free(r->regions.names);
	g_free(r);
}

static void account_free(void *p)
{
	struct plan_account *a = p;

	g_free(a->name);
	g_free(a->regions.names);
	g_free(a);
}

static void ptr_array_free(void *p)
{
	g_ptr_array_unref(p);
}

struct plan *plan_new(void)
{
	struct plan *p = g_new0(struct plan, 1);

	p->refs = 1;
	p->services = g_ptr_array_new_with_free_func(service_free);
	p->routes = g_ptr_array_new_with_free_func(route_free);
	p->accounts = g_ptr_array_new_with_free_func(account_free);
	p->region_names = g_string_chunk_new(256);
	p->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   ptr_array_free);
	return p;
}

struct plan *plan_ref(struct plan *p)
{
	p->refs++;
	return p;
}

void plan_unref(struct plan *p)
{
	if (!p || --p->refs)
		return;
	g_hash_table_destroy(p->by_key);
	g_hash_table_destroy(p->by_host);
	g_ptr_array_unref(p->services);
	g_ptr_array_unref(p->routes);
	g_ptr_array_unref(p->accounts);
	g_string_chunk_free(p->region_names);
	g_free(p);
}

struct plan_service *plan_add_service(struct plan *p, const char *name)
{
	struct plan_service *s = g_new0(struct plan_service, 1);

	s->name = g_strdup(name);
	g_ptr_array_add(p->services, s);
	return s;
}

struct plan_route *plan_add_route(struct plan *p, const char *name,
				  const char *host, const char *prefix)
{
	struct plan_route *r = g_new0(struct plan_route, 1);

	r->name = g_strdup(name);
	r->host = g_ascii_strdown(host, -1);
	r->prefix = g_strdup(prefix);
	r->prefix_len = strlen(prefix);
	g_ptr_array_add(p->routes, r);
	return r;
}

struct plan_account *plan_add_account(struct plan *p, const char *name)
{
	struct plan_account *a = g_new0(struct plan_account, 1);

	a->name = g_strdup(name);
	a->rank = -1;
	g_ptr_array_add(p->accounts, a);
	return a;
}

void plan_add_backend(struct plan_route *r, const struct plan_service *s,
		      unsigned int weight)
{
	r->backends = g_renew(struct plan_route_backend, r->backends,
			      r->n_backends + 1);
	r->backends[r->n_backends++] =
		(struct plan_route_backend){.service = s, .weight = weight};
	r->weight_sum += weight;
}

int plan_add_key(struct plan *p, const char *key, struct plan_account *a)
{
	struct plan_account *other = g_hash_table_lookup(p->by_key, key);

	if (other)
		return other == a ? 0 : -MW_EINVAL;
	g_hash_table_insert(p->by_key, g_strdup(key), a);
	return 0;
}

void plan_add_region(struct plan *p, struct plan_regions *list,
		     const char *name)
{
	list->names = g_renew(const char *, list->names, list->n + 1);
	list->names[list->n++] =
		g_string_chunk_insert_const(p->region_names, name);
	list->allowed.restricted = true;
}

static void bind_regions(struct plan_regions *list,
			 const struct residency_map *m)
{
	list->allowed = residency_from_names(m, list->names, list->n);
}

void plan_bind_regions(struct plan *p, const struct residency_map *m)
{
	for (guint i = 0; i < p->routes->len; i++) {
		struct plan_route *r = p->routes->pdata[i];
		bind_regions(&r->regions, m);
	}
	for (guint i = 0; i < p->accounts->len; i++) {
		struct plan_account *a = p->accounts->pdata[i];
		bind_regions(&a->regions, m);
	}
}

/* Longest prefix first; equal lengths by text, for a stable order. */
static int compare_prefix_length(const void *a, const void *b)
{
	const struct plan_route *const *x = a, *const *y = b;

	if ((*x)->prefix_len != (*y)->prefix_len)
		return (*x)->prefix_len < (*y)->prefix_len ? 1 : -1;
	return strcmp((*x)->prefix, (*y)->prefix);
}

void plan_index_routes(struct plan *p)
{
	g_ptr_array_sort(p->routes, compare_prefix_length);
	for (guint i = 0; i < p->routes->len; i++) {
		struct plan_route *r = p->routes->pdata[i];
		GPtrArray *list = g_hash_table_lookup(p->by_host, r->host);

		if (!list) {
			list = g_ptr_array_new();
			g_hash_table_insert(p->by_host, r->host, list);
		}
		g_ptr_array_add(list, r);
	}
}

const struct plan_service *plan_service(const struct plan *p, const char *name)
{
	for (guint i = 0; i < p->services->len; i++) {
		const struct plan_service *s = p->services->pdata[i];
		if (!strcmp(s->name, name))
			return s;
	}
	return NULL;
}

const struct plan_route *plan_route(const struct plan *p, const char *host,
				    const char *target)
{
	g_autofree char *name = g_ascii_strdown(host, -1);
	const char *port = strrchr(name, ':');
	GPtrArray *list = g_hash_table_lookup(p->by_host, name);
	size_t path_len = strcspn(target, "?");

	if (!list && port) {
		name[port - name] = '\0';
		list = g_hash_table_lookup(p->by_host, name);
	}
	for (guint i = 0; list && i < list->len; i++) {
		const struct plan_route *r = list->pdata[i];
		if (r->prefix_len <= path_len &&
		    !strncmp(r->prefix, target, r->prefix_len))
			return r;
	}
	return NULL;
}

const struct plan_account *plan_account(const struct plan *p, const char *key)
{
	return g_hash_table_lookup(p->by_key, key);
}

const struct plan_account *plan_account_by_name(const struct plan *p,
						const char *name)
{
	for (guint i = 0; i < p->accounts->len; i++) {
		const struct plan_account *a = p->accounts->pdata[i];
		if (!strcmp(a->name, name))
			return a;
	}
	return NULL;
}

const struct plan_service *plan_choose_backend(const struct plan_route *r,
					       uint32_t spread)
{
	uint64_t pos = (uint64_t)spread * r->weight_sum >> 32;

	for (size_t i = 0; i < r->n_backends; i++) {
		if (pos < r->backends[i].weight)
			return r->backends[i].service;
		pos -= r->backends[i].weight;
	}
	return r->n_backends ? r->backends[0].service : NULL;
}
