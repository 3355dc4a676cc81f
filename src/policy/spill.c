#include <string.h>
#include "policy/spill.h"

/* Headers and framing of a request and its response. */
#define REQUEST_OVERHEAD_BYTES 700

/*
 * Bytes for one token as an event of the endpoint protocol, until requests have
 * ended and given an average.
 */
#define INITIAL_BYTES_PER_TOKEN 150

/* Weight of a new observation in the average bytes for one token. */
#define BYTES_PER_TOKEN_ALPHA 0.1

/*
 * Shorter responses are not averaged: the prompt and the headers, which are
 * counted as well, distort their bytes per token.
 */
#define MIN_SAMPLE_TOKENS 16

static void refill(struct spill_bucket *b, int64_t now)
{
	if (now > b->refilled_us) {
		b->balance_bytes += (double)(now - b->refilled_us) / 1e6 *
				    b->rate_bytes_per_s;
		b->refilled_us = now;
	}
	if (b->balance_bytes > b->burst_bytes)
		b->balance_bytes = b->burst_bytes;
}

static void set_limits(struct spill_budget *b, const struct spill_cfg *cfg)
{
	b->cfg = *cfg;
	b->total.rate_bytes_per_s = (double)cfg->bytes_per_s;
	b->total.burst_bytes = cfg->burst_bytes
				       ? (double)cfg->burst_bytes
				       : 10 * b->total.rate_bytes_per_s;
	if (!cfg->bytes_per_s)
		b->total.burst_bytes = 0;
	for (unsigned r = 0; r < QUEUE_RANKS; r++) {
		double part = cfg->rank_percent[r] / 100.0;

		b->rank[r].rate_bytes_per_s = b->total.rate_bytes_per_s * part;
		b->rank[r].burst_bytes = b->total.burst_bytes * part;
	}
}

void spill_init(struct spill_budget *b, const struct spill_cfg *cfg)
{
	memset(b, 0, sizeof(*b));
	b->bytes_per_output_token = INITIAL_BYTES_PER_TOKEN;
	set_limits(b, cfg);
	b->total.balance_bytes = b->total.burst_bytes;
	for (unsigned r = 0; r < QUEUE_RANKS; r++)
		b->rank[r].balance_bytes = b->rank[r].burst_bytes;
}

void spill_configure(struct spill_budget *b, const struct spill_cfg *cfg,
		     int64_t now)
{
	bool off = !b->cfg.bytes_per_s;

	if (!memcmp(&b->cfg, cfg, sizeof(*cfg)))
		return;
	refill(&b->total, now);
	for (unsigned r = 0; r < QUEUE_RANKS; r++)
		refill(&b->rank[r], now);
	set_limits(b, cfg);
	/* Nothing was charged while spilling was off: start full. */
	if (off)
		b->total.balance_bytes = b->total.burst_bytes;
	for (unsigned r = 0; r < QUEUE_RANKS; r++)
		if (off)
			b->rank[r].balance_bytes = b->rank[r].burst_bytes;
}

uint64_t spill_forecast(const struct spill_budget *b, uint64_t prompt_bytes,
			double output_tokens)
{
	/* JSON escapes of quotes and line ends add about 1/16 to a prompt. */
	return REQUEST_OVERHEAD_BYTES + prompt_bytes + prompt_bytes / 16 +
	       (uint64_t)(output_tokens * b->bytes_per_output_token);
}

uint64_t spill_available(struct spill_budget *b, unsigned rank, int64_t now)
{
	double room;

	if (!b->cfg.bytes_per_s || rank >= QUEUE_RANKS)
		return 0;
	refill(&b->total, now);
	refill(&b->rank[rank], now);
	room = b->total.balance_bytes < b->rank[rank].balance_bytes
		       ? b->total.balance_bytes
		       : b->rank[rank].balance_bytes;
	return room > 0 ? (uint64_t)room : 0;
}

bool spill_allows(struct spill_budget *b, unsigned rank, uint64_t bytes,
		  int64_t now)
{
	return b->cfg.bytes_per_s && spill_available(b, rank, now) >= bytes;
}

static void charge(struct spill_budget *b, unsigned rank, double bytes)
{
	b->total.balance_bytes -= bytes;
	b->rank[rank].balance_bytes -= bytes;
}

void spill_reserve(struct spill_budget *b, struct spill_reservation *res,
		   unsigned rank, uint64_t bytes, int64_t now)
{
	rank = rank < QUEUE_RANKS ? rank : QUEUE_RANKS - 1;
	refill(&b->total, now);
	refill(&b->rank[rank], now);
	*res = (struct spill_reservation){true, rank, bytes, 0};
	charge(b, rank, (double)bytes);
	b->requests_charged += bytes > 0;
}

void spill_record_bytes(struct spill_budget *b, struct spill_reservation *res,
			uint64_t bytes)
{
	uint64_t over;

	if (!res->active)
		return;
	over = res->used_bytes > res->forecast ? res->used_bytes
					       : res->forecast;
	res->used_bytes += bytes;
	b->bytes_transferred += bytes;
	if (res->used_bytes > over)
		charge(b, res->rank, (double)(res->used_bytes - over));
}

void spill_settle(struct spill_budget *b, struct spill_reservation *res,
		  uint64_t output_tokens)
{
	if (!res->active)
		return;
	res->active = false;
	if (res->used_bytes < res->forecast)
		charge(b, res->rank,
		       -(double)(res->forecast - res->used_bytes));
	if (output_tokens >= MIN_SAMPLE_TOKENS)
		b->bytes_per_output_token +=
			BYTES_PER_TOKEN_ALPHA *
			((double)res->used_bytes / (double)output_tokens -
			 b->bytes_per_output_token);
}
