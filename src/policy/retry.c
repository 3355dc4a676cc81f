#include <string.h>
#include "policy/retry.h"

void retry_init(struct retry_budget *r, const struct retry_cfg *cfg)
{
	memset(r, 0, sizeof(*r));
	if (cfg)
		r->cfg = *cfg;
	if (!r->cfg.budget_percent)
		r->cfg.budget_percent = 10;
	if (r->cfg.burst <= 0)
		r->cfg.burst = 20;
	if (!r->cfg.backoff_base_us)
		r->cfg.backoff_base_us = 50000;
	if (!r->cfg.backoff_max_us)
		r->cfg.backoff_max_us = 5000000;
	if (!r->cfg.max_retries)
		r->cfg.max_retries = 3;
	/*
	 * After a start a few retries are allowed at once: a tenth of the
	 * bucket.
	 */
	r->tokens = r->cfg.burst / 10;
}

static void add_tokens(struct retry_budget *r, double tokens)
{
	r->tokens += tokens;
	if (r->tokens > r->cfg.burst)
		r->tokens = r->cfg.burst;
}

void retry_count_request(struct retry_budget *r, int64_t now)
{
	r->unreported_requests++;
	if (now >= r->hub_grant_until_us)
		add_tokens(r, r->cfg.budget_percent / 100.0);
}

void retry_add_granted_tokens(struct retry_budget *r, uint32_t tokens,
			      int64_t until_us)
{
	add_tokens(r, tokens);
	r->hub_grant_until_us = until_us;
}

bool retry_allow(struct retry_budget *r, const struct failed_request *c,
		 GRand *rand, int64_t now, int64_t *delay_us)
{
	int64_t max = r->cfg.backoff_max_us;

	*delay_us = 0;
	if (c->delivered || !(c->repeatable || c->not_run))
		return false;
	if (c->retries >= r->cfg.max_retries || (r->tokens < 1 && !c->unsent))
		return false;
	if (c->retries < 30 && r->cfg.backoff_base_us << c->retries < max)
		max = r->cfg.backoff_base_us << c->retries;
	/*
	 * Full jitter: spreads the retries of requests that failed together
	 * over the interval.
	 */
	*delay_us = (int64_t)(g_rand_double(rand) * (double)max);
	if (c->deadline_us && now + *delay_us >= c->deadline_us)
		return false;
	if (c->unsent)
		return true;
	r->tokens -= 1;
	r->unreported_retries++;
	return true;
}

void retry_take_counts(struct retry_budget *r, uint64_t *requests,
		       uint64_t *retries)
{
	*requests = r->unreported_requests;
	*retries = r->unreported_retries;
	r->unreported_requests = r->unreported_retries = 0;
}
