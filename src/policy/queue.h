#ifndef POLICY_QUEUE_H
#define POLICY_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "base/list.h"
#include "policy/heap.h"

/*
 * Queues of requests that wait for dispatch.  There is one queue for each model
 * or plain service (that is, for each set of endpoints that can serve the same
 * requests), so that the request at the head never waits for the memory of
 * another model.
 *
 * Life cycle of an item: push -> dispatch -> update_output (any number of
 * times) -> finish; or push -> remove if the caller has disconnected; or push
 * -> returned by pop_expired().  requeue() puts a dispatched item that did not
 * run back into the queue.  The item is embedded in the caller's request and
 * must stay valid until finish() or remove() has been called or pop_expired()
 * has returned it.
 *
 * Costs are in weighted tokens: prompt_weight * prompt tokens + output_weight *
 * output tokens.  Times are in microseconds of one monotonic clock.
 */

#define QUEUE_RANKS 4 /* rank 0 is the most urgent */

struct queue_ops;
struct queue_account;

/* Base of all implementations; called as q->ops->push(q, ...). */
struct queue {
	const struct queue_ops *ops;
};

struct queue_rank_cfg {
	/*
	 * Guaranteed share of the served cost while the rank has items
	 * waiting; 0 for rank 0, which needs no guarantee.
	 */
	unsigned floor_percent;
	/* Limits on waiting items; 0: default, see queue_defaults(). */
	size_t max_items; /* over all accounts */
	size_t max_bytes;
	size_t account_max_items; /* per account */
	size_t account_max_bytes;
	int64_t max_age_us; /* longest wait */
};

struct queue_cfg {
	const char *name; /* model or service */
	struct queue_rank_cfg rank[QUEUE_RANKS];
	double prompt_weight; /* cost of a prompt token, 0: 0.25 */
	double output_weight; /* cost of an output token, 0: 1 */
	/*
	 * Most weighted tokens by which service on other hosts can put an
	 * account ahead of the rank's virtual time.  Bounds how long the
	 * account then waits on this host.  0: 65536.
	 */
	double max_remote_lead;
	/*
	 * Weighted tokens by which an account that has less than its share of
	 * the running work is put ahead of other accounts; negative: none,
	 * 0: 1024.
	 */
	double burst;
	/* Returns the account's fair-share weight (above 0); NULL: always 1. */
	double (*weight)(void *ctx, const char *account);
	void *weight_ctx;
};

struct queue_item {
	/* Set by the caller before push(). */
	const char *account;
	unsigned rank;
	size_t bytes; /* memory that the request uses while it waits */
	uint32_t prompt_tokens;
	uint32_t est_output_tokens; /* expected output tokens */
	int64_t deadline_us;	    /* latest useful completion time, 0: none */
	int64_t expected_service_us; /* expected time from dispatch to
					completion */

	/* Maintained by the queue. */
	struct queue_account *account_entry;
	struct list list_node;	      /* in the list of waiting items */
	struct heap_node expiry_node; /* in the queue's heap of expiry times */
	int64_t arrived_us;
	double charged_cost;	/* charged so far, in weighted tokens */
	uint32_t output_tokens; /* reported by update_output() and finish() */
	bool running;		/* dispatched and not finished */
	bool uses_floor;	/* dispatched while a more urgent rank waited */
	/*
	 * Set by peek(): the account has more than its share of the running
	 * work or has a backlog, so the item gets no memory beyond the credit.
	 */
	bool bulk;
	/*
	 * Set by peek(): the item is bulk and must leave headroom for accounts
	 * below their share, since one of them has sent a request recently.
	 */
	bool keep_headroom;
};

/* Counters for metrics, admission and the report to the hub, by rank. */
struct queue_stats {
	size_t items[QUEUE_RANKS];	  /* waiting items */
	size_t bytes[QUEUE_RANKS];	  /* memory of the waiting items */
	double waiting_cost[QUEUE_RANKS]; /* weighted tokens waiting */
	uint64_t tokens[QUEUE_RANKS]; /* prompt plus expected output tokens */
	double served_cost[QUEUE_RANKS]; /* weighted tokens since the start */
	double drain_rate[QUEUE_RANKS];	 /* weighted tokens per second */
	size_t accounts;		 /* account entries in memory */
};

/* Service that one account has received in one rank, reported to the hub. */
struct queue_usage {
	const char *account; /* valid until the next call on the queue */
	unsigned rank;
	uint64_t tokens; /* weighted tokens served since the start */
	bool backlogged; /* has waiting items */
};

struct queue_ops {
	const char *name;
	struct queue *(*create)(const struct queue_cfg *cfg);
	void (*destroy)(struct queue *q);
	/* Replaces the settings; waiting items keep their expiry times. */
	void (*configure)(struct queue *q, const struct queue_cfg *cfg);

	/*
	 * Adds an item.  Returns 0, -MW_EQUEUEFULL if a limit is reached or
	 * the expected wait exceeds the age limit, -MW_EDEADLINE if the
	 * expected wait would make the item miss its deadline, or -MW_EINVAL
	 * if the rank does not exist.  If the item is refused, *retry_after_s
	 * is the time, 1 to 60 seconds, after which a retry may succeed,
	 * estimated from the drain rate.
	 */
	int (*push)(struct queue *q, struct queue_item *it, int64_t now,
		    unsigned *retry_after_s);

	/*
	 * Returns the item to dispatch next, or NULL.  If no endpoint can take
	 * it now, the caller must not dispatch a later item of this queue
	 * until memory is released or granted: skipping the head would starve
	 * large requests and violate the shares.
	 */
	struct queue_item *(*peek)(struct queue *q, int64_t now);

	/* Removes a waiting item for execution and charges its expected cost.
	 */
	void (*dispatch)(struct queue *q, struct queue_item *it, int64_t now);

	/*
	 * Puts a dispatched item that did not run back at the head of its list
	 * and refunds its charge.
	 */
	void (*requeue)(struct queue *q, struct queue_item *it, int64_t now);

	/*
	 * Sets the number of output tokens produced so far; charges the cost
	 * that exceeds the expected cost.
	 */
	void (*update_output)(struct queue *q, struct queue_item *it,
			      uint32_t output, int64_t now);

	/*
	 * Completes a dispatched item; replaces the expected cost by the cost
	 * of the actual output.
	 */
	void (*finish)(struct queue *q, struct queue_item *it, uint32_t output,
		       int64_t now);

	/* Removes a waiting item without charge. */
	void (*remove)(struct queue *q, struct queue_item *it, int64_t now);

	/*
	 * Removes and returns one waiting item that has exceeded the age limit
	 * or can no longer meet its deadline; NULL if there is none.
	 */
	struct queue_item *(*pop_expired)(struct queue *q, int64_t now);

	/* Returns the time of the next expiry, INT64_MAX if none. */
	int64_t (*next_expiry)(struct queue *q);

	/*
	 * Returns the expected wait in microseconds of a new item of this
	 * account and rank; 0 while the drain rate is unknown.
	 */
	int64_t (*wait_us)(struct queue *q, const char *account, unsigned rank,
			   int64_t now);

	/*
	 * Fills in up to max rows for accounts with waiting or running items:
	 * backlogged accounts first, then by descending served tokens.
	 * Returns the number of rows.
	 */
	size_t (*list_usage)(struct queue *q, struct queue_usage *rows,
			     size_t max);

	/*
	 * Sets the weighted tokens that the account has been served in the
	 * whole data centre, as counted by the hub.  The count includes what
	 * this host has reported through list_usage().
	 */
	void (*set_dc_served)(struct queue *q, unsigned rank,
			      const char *account, uint64_t tokens,
			      int64_t now);

	void (*stats)(const struct queue *q, struct queue_stats *out);
};

/*
 * Fills in defaults: prompt weight 0.25, output weight 1, max_remote_lead
 * 65536, burst 1024, and for each rank 4096 items and 16 MiB, 512 items and
 * 2 MiB per account, and an age limit of 120 s.
 */
void queue_defaults(struct queue_cfg *cfg);

/* Returns the cost of a request in weighted tokens. */
static inline double queue_cost(const struct queue_cfg *cfg, uint32_t prompt,
				uint32_t output)
{
	return cfg->prompt_weight * prompt + cfg->output_weight * output;
}

/* Weighted fair queueing of accounts and ranks (docs/policy.md, section 3). */
extern const struct queue_ops queue_fair;
/* First come, first served; the baseline for comparisons. */
extern const struct queue_ops queue_fifo;

#endif
