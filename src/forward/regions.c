#include "forward/regions.h"

#include <stdlib.h>
#include <string.h>

#include "forward/request.h"

/* Sets that are bound to the map before are of no more use. */
static void forget_sets(struct fwd *f)
{
	GHashTableIter iter;
	struct service_state *s;

	g_hash_table_iter_init(&iter, f->services);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s)) {
		s->n_quotas = 0;
		s->queued_elsewhere.n = 0;
	}
}

void regions_load(struct fwd *f)
{
	const struct conf *c = f->conf;
	GHashTableIter iter;
	struct fwd_endpoint *ep;
	bool first = !f->regions_version;

	f->regions = (struct residency_map){0};
	for (size_t i = 0; i < c->dc_region_nr; i++)
		residency_map_add(&f->regions, c->dc_region_list[i].dc,
				  c->dc_region_list[i].region);
	f->regions_version++;
	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep))
		ep->region = residency_map_dc(&f->regions, ep->dc);
	forget_sets(f);
	if (first && !c->dc_region_nr)
		return;
	struct slog l = slog_begin("regions");
	const char *own = conf_region(c, c->dc);
	slog_str(&l, "own", own ? own : "");
	slog_int(&l, "dcs", (int64_t)f->regions.n_dcs);
	slog_int(&l, "regions", (int64_t)f->regions.n_regions);
	slog_int(&l, "changes", (int64_t)f->regions_version - 1);
	slog_end(&l);
}

void regions_bind_plan(struct fwd *f, struct plan *p)
{
	if (p->regions_version == f->regions_version)
		return;
	plan_bind_regions(p, &f->regions);
	p->regions_version = f->regions_version;
}

static struct residency lists_allow(struct fwd *f, struct plan *p,
				    const struct plan_route *route,
				    const struct plan_account *account)
{
	struct residency allowed = {0};

	regions_bind_plan(f, p);
	if (route)
		allowed = route->regions.allowed;
	if (account)
		allowed =
			residency_intersect(allowed, account->regions.allowed);
	return allowed;
}

/* The account in a plan other than that of admission: its key may have been
 * replaced, and its name too. */
static const struct plan_account *account_in(const struct plan *p,
					     const struct request *r)
{
	const struct plan_account *by_key;

	if (!r->account)
		return NULL;
	by_key = plan_account(p, r->ask.key);
	if (by_key && !strcmp(by_key->name, r->account->name))
		return by_key;
	const struct plan_account *by_name =
		plan_account_by_name(p, r->account->name);
	return by_name ? by_name : by_key;
}

const struct residency *request_residency(struct request *r)
{
	struct fwd *f = r->fwd;
	struct plan *p = f->plan;

	if (r->residency_version == f->regions_version &&
	    r->residency_revision == p->revision)
		return &r->residency;
	r->residency = lists_allow(f, r->plan, r->route, r->account);
	if (p != r->plan)
		r->residency = residency_intersect(
			r->residency,
			lists_allow(f, p,
				    plan_route(p, r->ask.host, r->ask.target),
				    account_in(p, r)));
	r->residency_version = f->regions_version;
	r->residency_revision = p->revision;
	return &r->residency;
}

bool request_region_allowed(struct request *r, const struct fwd_endpoint *ep)
{
	return residency_allows(request_residency(r), ep->region);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

char *regions_names(const struct fwd *f, const struct residency *allowed)
{
	const char *names[RESIDENCY_REGIONS_MAX + 1] = {NULL};
	size_t n = 0;

	for (size_t i = 0; i < f->regions.n_regions; i++)
		if (residency_allows(allowed, (int)i))
			names[n++] = f->regions.regions[i];
	qsort(names, n, sizeof(*names), compare_names);
	return g_strjoinv(",", (char **)names);
}

struct residency regions_parse(const struct fwd *f, const char *names)
{
	g_auto(GStrv) list = g_strsplit(names, ",", -1);
	struct residency r = residency_from_names(
		&f->regions, (const char *const *)list, g_strv_length(list));

	r.restricted = true;
	return r;
}

static void log_list(struct slog *l, const char *key,
		     const struct plan_regions *list)
{
	g_autoptr(GString) text = g_string_new(NULL);

	for (size_t i = 0; i < list->n; i++)
		g_string_append_printf(text, "%s%s", i ? "," : "",
				       list->names[i]);
	if (list->n)
		slog_str(l, key, text->str);
}

void request_log_regions(struct slog *l, struct request *r)
{
	const struct residency *allowed;
	struct fwd *f = r->fwd;

	if (!r->plan || !r->service)
		return;
	allowed = request_residency(r);
	if (!allowed->restricted)
		return;
	g_autofree char *names = regions_names(f, allowed);
	log_list(l, "route_regions", &r->route->regions);
	if (r->account)
		log_list(l, "account_regions", &r->account->regions);
	slog_str(l, "allowed_regions", names);
	slog_int(l, "plan_in_force", (int64_t)f->plan->revision);
}
