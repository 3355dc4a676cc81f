#include "policy/queue.h"

void queue_defaults(struct queue_cfg *cfg)
{
	if (cfg->prompt_weight <= 0)
		cfg->prompt_weight = 0.25;
	if (cfg->output_weight <= 0)
		cfg->output_weight = 1;
	if (cfg->max_remote_lead <= 0)
		cfg->max_remote_lead = 65536;
	if (cfg->burst == 0)
		cfg->burst = 1024;
	if (cfg->burst < 0)
		cfg->burst = 0;
	for (unsigned r = 0; r < QUEUE_RANKS; r++) {
		struct queue_rank_cfg *rc = &cfg->rank[r];

		if (!rc->max_items)
			rc->max_items = 4096;
		if (!rc->max_bytes)
			rc->max_bytes = (size_t)16 << 20;
		if (!rc->account_max_items)
			rc->account_max_items = 512;
		if (!rc->account_max_bytes)
			rc->account_max_bytes = (size_t)2 << 20;
		if (!rc->max_age_us)
			rc->max_age_us = INT64_C(120000000);
	}
}
