#include "forward/demand.h"

#include <glib.h>

void demand_add(struct demands *d, const struct residency *allowed,
		uint64_t tokens)
{
	size_t i = 0;

	while (i < d->n && !residency_equal(&d->list[i].allowed, allowed))
		i++;
	if (i == DEMANDS_MAX) /* an approximation, which only quotas use */
		i--;
	else if (i == d->n)
		d->list[d->n++].allowed = *allowed;
	d->list[i].tokens += tokens;
}

uint64_t demand_sum(const struct demands *d)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < d->n; i++)
		sum += d->list[i].tokens;
	return sum;
}

void demand_add_amount(struct demand_amounts *a, int region, uint64_t tokens)
{
	a->tokens[region == RESIDENCY_UNKNOWN ? RESIDENCY_REGIONS_MAX
					      : region] += tokens;
}

uint64_t demand_same(const struct demands *d, const struct residency *allowed)
{
	for (size_t i = 0; i < d->n; i++)
		if (residency_equal(&d->list[i].allowed, allowed))
			return d->list[i].tokens;
	return 0;
}

static uint64_t sum_amounts(const struct demand_amounts *a,
			    const struct residency *allowed)
{
	uint64_t sum = 0;

	for (int i = 0; i <= RESIDENCY_REGIONS_MAX; i++)
		if (a->tokens[i] && residency_allows(allowed, i))
			sum += a->tokens[i];
	return sum;
}

uint64_t demand_competing(const struct demands *d,
			  const struct residency *allowed,
			  const struct demand_amounts *a)
{
	uint64_t same = demand_same(d, allowed);
	uint64_t own_part = MIN(same, sum_amounts(a, allowed));
	double others = 0;

	for (size_t i = 0; i < d->n; i++) {
		const struct demand *o = &d->list[i];
		uint64_t total = sum_amounts(a, &o->allowed);
		struct residency both =
			residency_intersect(o->allowed, *allowed);

		if (total && !residency_equal(&o->allowed, allowed))
			others += (double)MIN(o->tokens, total) *
				  (double)sum_amounts(a, &both) / (double)total;
	}
	if (!own_part)
		return same + (uint64_t)others;
	return same + (uint64_t)(others * (double)same / (double)own_part);
}
