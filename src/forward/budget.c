#include "forward/budget.h"

/* Part of the share that is used: windows slide, and hosts come and go. */
#define SHARE_PERCENT 80

/* Of the spare repeats a part is kept back for hosts that just started. */
#define SPARE_PERCENT 60

void budget_set_hosts(struct budget *b, const struct budget_bounds *all,
		      unsigned int hosts)
{
	b->repeats_per_request = all->percent / 100 * SHARE_PERCENT / 100;
	b->max_available =
		all->spare * SPARE_PERCENT / 100 / (hosts ? hosts : 1);
	if (b->available > b->max_available)
		b->available = b->max_available;
}

void budget_init(struct budget *b, const struct budget_bounds *all,
		 unsigned int hosts)
{
	*b = (struct budget){0};
	budget_set_hosts(b, all, hosts);
	b->available = b->max_available;
}

void budget_add_request(struct budget *b)
{
	b->requests++;
	b->available += b->repeats_per_request;
	if (b->available > b->max_available)
		b->available = b->max_available;
}

bool budget_take_repeat(struct budget *b)
{
	if (b->available < 1)
		return false;
	b->available -= 1;
	b->repeats++;
	return true;
}
