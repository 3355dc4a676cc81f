#ifndef ENTRY_WORK_H
#define ENTRY_WORK_H

#include <jansson.h>

#include "entry/entry.h"

/*
 * What a status answer tells of the work of this host: queues by rank, the
 * largest client accounts, endpoints that were lost.
 */

/* Accounts listed in one answer; the tool merges those of all hosts. */
#define WORK_ACCOUNTS_MAX 50

/* Lost endpoints that are remembered, and for how long. */
#define WORK_LOST_MAX 64
#define WORK_LOST_KEEP_US (3600 * USEC_PER_SEC)

struct work_stats *work_new(void);
void work_free(struct work_stats *w);

/* A token of the account was received. */
void work_count_token(struct work_stats *w, const char *account, int64_t now);

/* A request was refused because a queue is full. */
void work_count_refusal(struct work_stats *w, unsigned int rank, int64_t now);

/* An endpoint was removed as dead, or has announced itself. */
void work_endpoint_lost(struct work_stats *w, const char *id, int64_t now);
void work_endpoint_seen(struct work_stats *w, const char *id);

/* Adds "queues", "accounts" and "lost_endpoints" to a status answer. */
void work_status(struct entry *e, json_t *out, int64_t now);

#endif
