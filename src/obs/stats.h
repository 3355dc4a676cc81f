#ifndef OBS_STATS_H
#define OBS_STATS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "endpoint/ep.h"
#include "obs/counter.h"

/*
 * Metrics that the entry host records.  Times are in microseconds; rank is the
 * request priority, 0 the most urgent.  err is a negative error number
 * of enum mw_err.
 */

void stats_arrived(unsigned int rank);
void stats_placed(unsigned int rank, int64_t waited_us);
void stats_first_token(unsigned int rank, int64_t us);
void stats_token_gap(unsigned int rank, int64_t us);
void stats_finished(unsigned int rank, const struct ep_usage *usage,
		    int64_t total_us);
void stats_failed(int err, unsigned int rank);
void stats_retried(unsigned int rank);
void stats_resumed(void);
void stats_reconnected(void);
void stats_dropped_event(void);

/* Counts a request sent to another data centre. */
void stats_spilled(unsigned int rank);
/* Counts a request that is set aside until an endpoint is lent, aside.h. */
void stats_waits_for_loan(unsigned int rank);
/* Counts bytes sent to (outgoing) or received from another data centre. */
void stats_spill_bytes(bool outgoing, size_t n);

/* once: the call may run only once; otherwise it is idempotent. */
void stats_call_answered(int once, int64_t total_us);
void stats_call_failed(int err);
void stats_call_retried(void);
void stats_ledger_replayed(void);
void stats_ledger_unrecorded(void);

/* Sets the gauges that are sampled when the metrics are scraped. */
void stats_set_gauges(size_t open_requests, int http_requests);

#endif
