#ifndef ENTRY_WORK_STATS_H
#define ENTRY_WORK_STATS_H

#include <jansson.h>

#include "entry/entry.h"

/*
 * The load part of a status answer of this host: queues by rank, the client
 * accounts with the most tokens, and endpoints that were lost.
 */

/* Accounts in one answer; the operator's tool merges the lists of all hosts. */
#define WORK_ACCOUNTS_MAX 50

/* Lost endpoints that are listed, and for how long after the loss. */
#define WORK_LOST_MAX 64
#define WORK_LOST_KEEP_US (3600 * USEC_PER_SEC)

struct work_stats *work_new(void);
void work_free(struct work_stats *w);

/* Counts a token received for the account. */
void work_count_token(struct work_stats *w, const char *account, int64_t now);

/* Counts a request refused because a queue is full. */
void work_count_refusal(struct work_stats *w, unsigned int rank, int64_t now);

/*
 * Adds an endpoint that was removed as dead to the lost ones, or removes one
 * that has announced itself again.
 */
void work_add_lost_endpoint(struct work_stats *w, const char *id, int64_t now);
void work_remove_lost_endpoint(struct work_stats *w, const char *id);

/* Sets "queues", "accounts" and "lost_endpoints" in a status answer. */
void work_status(struct entry *e, json_t *out, int64_t now);

#endif
