#include "forward/budget.h"

/* Part of the share of requests that is used.  The bound holds in any window of
 * time and while the number of hosts changes, so some is kept back. */
#define USED_SHARE_PERCENT 80

/* Part of the spare repeats that is used; the rest is for hosts that have just
 * started, which begin with a full bucket. */
#define USED_SPARE_PERCENT 60

void budget_set_hosts(struct budget *b, const struct budget_bounds *all,
		      unsigned int n_hosts)
{
	b->repeats_per_request = all->percent / 100 * USED_SHARE_PERCENT / 100;
	b->max_available =
		all->spare * USED_SPARE_PERCENT / 100 / (n_hosts ? n_hosts : 1);
	if (b->available > b->max_available)
		b->available = b->max_available;
}

void budget_init(struct budget *b, const struct budget_bounds *all,
		 unsigned int n_hosts)
{
	*b = (struct budget){0};
	budget_set_hosts(b, all, n_hosts);
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
