#include "obs/stats.h"

#include "base/err.h"
#include "policy/queue.h"

static const char *rank_label(unsigned int rank)
{
	static const char *const labels[QUEUE_RANKS] = {"0", "1", "2", "3"};

	return labels[rank < QUEUE_RANKS ? rank : QUEUE_RANKS - 1];
}

void stats_arrived(unsigned int rank)
{
	counter_add(C_REQUESTS, rank_label(rank), 1);
}

void stats_placed(unsigned int rank, int64_t waited_us)
{
	counter_observe(C_QUEUE_WAIT_US, rank_label(rank), waited_us);
}

void stats_first_token(unsigned int rank, int64_t us)
{
	counter_observe(C_FIRST_TOKEN_US, rank_label(rank), us);
	counter_add(C_TOKENS, rank_label(rank), 1);
}

void stats_token_gap(unsigned int rank, int64_t us)
{
	counter_observe(C_TOKEN_GAP_US, rank_label(rank), us);
	counter_add(C_TOKENS, rank_label(rank), 1);
}

void stats_finished(unsigned int rank, const struct ep_usage *usage,
		    int64_t total_us)
{
	counter_observe(C_REQUEST_US, rank_label(rank), total_us);
	counter_add(C_PREEMPTIONS, rank_label(rank), usage->preemptions);
	counter_add(C_STALL_US, rank_label(rank), usage->stall_us);
	counter_add(C_CACHED_TOKENS, NULL, usage->cached_tokens);
	counter_add(C_PROMPT_TOKENS, NULL, usage->prompt_tokens);
}

void stats_failed(int err, unsigned int rank)
{
	(void)rank;
	counter_add(C_REQUEST_ERRORS, err_info(err)->kind, 1);
}

void stats_retried(unsigned int rank)
{
	counter_add(C_RETRIES, rank_label(rank), 1);
}

void stats_resumed(void)
{
	counter_add(C_RESUMED, NULL, 1);
}

void stats_reconnected(void)
{
	counter_add(C_RECONNECTED, NULL, 1);
}

void stats_dropped_event(void)
{
	counter_add(C_DROPPED_EVENTS, NULL, 1);
}

void stats_spilled(unsigned int rank)
{
	counter_add(C_SPILL_REQUESTS, rank_label(rank), 1);
}

void stats_waits_for_loan(unsigned int rank)
{
	counter_add(C_LOAN_WAITS, rank_label(rank), 1);
}

void stats_spill_bytes(bool outgoing, size_t n)
{
	counter_add(C_SPILL_BYTES, outgoing ? "out" : "in", n);
}

void stats_call_answered(int once, int64_t total_us)
{
	counter_observe(C_CALL_US, once ? "once" : "idempotent", total_us);
}

void stats_call_failed(int err)
{
	counter_add(C_CALL_ERRORS, err_info(err)->kind, 1);
}

void stats_call_retried(void)
{
	counter_add(C_CALL_RETRIES, NULL, 1);
}

void stats_ledger_replayed(void)
{
	counter_add(C_LEDGER_REPLAYED, NULL, 1);
}

void stats_ledger_unrecorded(void)
{
	counter_add(C_LEDGER_UNRECORDED, NULL, 1);
}

void stats_set_gauges(size_t open_requests, int http_requests)
{
	counter_set(C_OPEN_REQUESTS, NULL, (int64_t)open_requests);
	counter_set(C_HTTP_REQUESTS, NULL, http_requests);
}
