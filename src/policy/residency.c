#include "policy/residency.h"

#include <string.h>
#include <glib.h>

static int find_region(const struct residency_map *m, const char *name)
{
	for (size_t i = 0; i < m->n_regions; i++)
		if (!strcmp(m->regions[i], name))
			return (int)i;
	return RESIDENCY_UNKNOWN;
}

void residency_map_add(struct residency_map *m, const char *dc,
		       const char *region)
{
	int index = find_region(m, region);

	/* There are at most as many regions as data centres. */
	if (m->n_dcs == CONF_DC_REGIONS_MAX)
		return;
	if (index == RESIDENCY_UNKNOWN) {
		index = (int)m->n_regions++;
		g_strlcpy(m->regions[index], region, sizeof(m->regions[index]));
	}
	g_strlcpy(m->dcs[m->n_dcs].dc, dc, sizeof(m->dcs[m->n_dcs].dc));
	m->dcs[m->n_dcs++].region = index;
}

int residency_map_dc(const struct residency_map *m, const char *dc)
{
	for (size_t i = 0; i < m->n_dcs; i++)
		if (!strcmp(m->dcs[i].dc, dc))
			return m->dcs[i].region;
	return RESIDENCY_UNKNOWN;
}

struct residency residency_from_names(const struct residency_map *m,
				      const char *const *names, size_t n)
{
	struct residency r = {.restricted = n > 0};

	for (size_t i = 0; i < n; i++) {
		int region = find_region(m, names[i]);

		if (region != RESIDENCY_UNKNOWN)
			r.regions[region / 64] |= UINT64_C(1) << region % 64;
	}
	return r;
}

struct residency residency_intersect(struct residency a, struct residency b)
{
	if (!a.restricted)
		return b;
	if (!b.restricted)
		return a;
	for (size_t i = 0; i < RESIDENCY_WORDS; i++)
		a.regions[i] &= b.regions[i];
	return a;
}

bool residency_allows(const struct residency *r, int region)
{
	if (!r->restricted)
		return true;
	if (region < 0 || region >= RESIDENCY_REGIONS_MAX)
		return false;
	return r->regions[region / 64] >> region % 64 & 1;
}

bool residency_is_empty(const struct residency *r)
{
	static const struct residency none = {.restricted = true};

	return residency_equal(r, &none);
}

bool residency_equal(const struct residency *a, const struct residency *b)
{
	return a->restricted == b->restricted &&
	       (!a->restricted ||
		!memcmp(a->regions, b->regions, sizeof(a->regions)));
}
