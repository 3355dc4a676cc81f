#include "forward/budget.h"

/* Part of the share that is used: windows slide, and hosts come and go. */
#define SHARE_PERCENT 80

/* Of the spare repeats a part is kept back for hosts that just started. */
#define SPARE_PERCENT 60

void budget_hosts(struct budget *b, const struct budget_bounds *all,
		  unsigned int hosts)
{
	b->share = all->percent / 100 * SHARE_PERCENT / 100;
	b->max = all->spare * SPARE_PERCENT / 100 / (hosts ? hosts : 1);
	if (b->tokens > b->max)
		b->tokens = b->max;
}

void budget_init(struct budget *b, const struct budget_bounds *all,
		 unsigned int hosts)
{
	*b = (struct budget){0};
	budget_hosts(b, all, hosts);
	b->tokens = b->max;
}

void budget_request(struct budget *b)
{
	b->requests++;
	b->tokens += b->share;
	if (b->tokens > b->max)
		b->tokens = b->max;
}

bool budget_repeat(struct budget *b)
{
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	b->repeats++;
	return true;
}
