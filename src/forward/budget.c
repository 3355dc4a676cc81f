#include "forward/budget.h"

/* Of the spare repeats a part is kept back for hosts that just started. */
#define SPARE_PERCENT 60

void budget_hosts(struct budget *b, double spare, unsigned int hosts)
{
	b->max = spare * SPARE_PERCENT / 100 / (hosts ? hosts : 1);
	if (b->tokens > b->max)
		b->tokens = b->max;
}

void budget_init(struct budget *b, double spare, unsigned int hosts)
{
	*b = (struct budget){0};
	budget_hosts(b, spare, hosts);
	b->tokens = b->max;
}

void budget_request(struct budget *b)
{
	b->requests++;
	b->tokens += BUDGET_PERCENT / 100.0;
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
