#ifndef POLICY_CREDIT_H
#define POLICY_CREDIT_H

#include <stdbool.h>
#include <stdint.h>
#include "base/list.h"
#include "policy/est.h"

/*
 * Memory admission control on an entry host.  For each endpoint the host has a
 * credit in KV cache blocks (granted by the hub, or the safe share), and the
 * reservations of the generations that it has placed there must fit the credit.
 *
 * A reservation is a forecast of the memory that the generation occupies after
 * each of est_step_tokens more tokens: the context at that step times the
 * probability that the generation is still running.  The sum over the host's
 * generations plus a multiple of its standard deviation must fit at every step.
 * Summing a high quantile of each generation instead would leave half of the
 * memory unused, since generations do not all become long at the same time
 * (docs/policy.md, section 2).
 *
 * Headroom: struct credit_need states how many blocks must stay free on this
 * endpoint for urgent requests (rank 0) and for accounts below their share;
 * route_choose() decides on which endpoint.  An urgent request of an account
 * below its share may exceed the credit by the host's part of the margin, or by
 * the memory of the host's generations of lower ranks if that is more.
 *
 * Safe share: blocks * (100 - margin) / 100 / registered hosts.  A host without
 * a grant uses it; one request is always admitted if the host has no other
 * generation on the endpoint.
 */

struct credit;
struct credit_ep;

struct credit_cfg {
	unsigned margin_percent; /* of the blocks, not in any credit, 0: 10 */
	unsigned hosts;		 /* registered hosts of the DC, 0: 1 */
	double std_deviations;	 /* multiple of the standard deviation, 0: 1 */
	/*
	 * After an endpoint has joined or loaded a model, its limit starts at
	 * 1 / 2^ramp_start_shift (0: 3) and doubles each ramp_doubling_us
	 * (0: 2 s).
	 */
	unsigned ramp_start_shift;
	int64_t ramp_doubling_us;
};

/* Description of an endpoint, from the registry. */
struct credit_ep_info {
	const char *id;
	uint64_t incarnation;
	uint32_t blocks;
	uint32_t block_tokens;	   /* tokens per block, 0: 16 */
	uint32_t max_batch;	   /* concurrent requests, 0: no limit */
	const char *model_version; /* a change starts a new ramp; may be NULL */
	bool loading;		   /* loads a model: no work is placed */
};

/* Reservation of one generation, embedded in the caller's request. */
struct credit_reservation {
	struct credit_ep *ep; /* NULL: nothing is reserved */
	struct list node;
	float mean_blocks[EST_STEPS]; /* after est_step_tokens more tokens */
	float variance[EST_STEPS];    /* in blocks squared */
	uint32_t prompt_tokens;
	uint32_t next_update_tokens; /* output length of the next update */
	bool lower_rank;	     /* the rank is above 0 */
};

/* What a request needs to be placed on an endpoint. */
struct credit_need {
	uint32_t prompt_tokens;
	struct est_forecast output_forecast; /* forecast of the output length */
	unsigned rank;
	bool bulk;	    /* queue_item.bulk */
	bool keep_headroom; /* queue_item.keep_headroom */
	/* Set by route_choose(): to leave free on this endpoint. */
	double headroom_blocks;	 /* blocks */
	unsigned headroom_slots; /* places in the batch */
};

struct credit_ops {
	const char *name;
	/* Returns whether the request may be placed on the endpoint now. */
	bool (*fits)(const struct credit *c, const struct credit_ep *ep,
		     const struct credit_need *need, int64_t now);
};

/* Admission by credit, as described above. */
extern const struct credit_ops credit_leased;
/* Admits each request to a loaded endpoint; the baseline for comparisons. */
extern const struct credit_ops credit_admit_all;

/* cfg may be NULL for the defaults. */
struct credit *credit_new(const struct credit_ops *ops,
			  const struct credit_cfg *cfg);
void credit_free(struct credit *c);

/* Sets the number of registered hosts of the data centre. */
void credit_set_hosts(struct credit *c, unsigned hosts);

/*
 * Adds or updates an endpoint.  If the incarnation has changed, all
 * reservations of the old one are released (their res->ep becomes NULL) and its
 * grant ends.
 */
struct credit_ep *credit_set_endpoint(struct credit *c,
				      const struct credit_ep_info *info,
				      int64_t now);

/*
 * Sets whether the endpoint is loading a model; the limit ramps up from the end
 * of loading.
 */
void credit_set_loading(struct credit_ep *ep, bool loading, int64_t now);

/*
 * Sets whether the endpoint belongs to another data centre.  Such an endpoint
 * has no safe share: without a grant nothing is placed there.
 */
void credit_set_remote(struct credit_ep *ep, bool remote);

/* Returns the endpoint with this id, NULL if there is none. */
struct credit_ep *credit_find_endpoint(struct credit *c, const char *id);

/* Removes an endpoint and releases its reservations. */
void credit_remove_endpoint(struct credit *c, const char *id);

/*
 * Sets the hub's grant, which is valid until until_us.  The caller counts its
 * lease from the time at which the host sent the report that the grant answers,
 * so that the grant does not outlive the lease at the hub.
 */
void credit_set_grant(struct credit_ep *ep, uint64_t blocks, int64_t until_us);

/* Returns the blocks of the current grant, 0 if there is none. */
uint64_t credit_granted_blocks(const struct credit_ep *ep, int64_t now);

/* Ends all grants; the safe share applies until the next one. */
void credit_revoke_grants(struct credit *c);

/*
 * Returns the blocks that the host may reserve on the endpoint now: the grant
 * or the safe share, reduced while the endpoint ramps up.
 */
uint64_t credit_limit_blocks(const struct credit *c, const struct credit_ep *ep,
			     int64_t now);

/* Returns whether the request may be placed on the endpoint now. */
bool credit_fits(const struct credit *c, const struct credit_ep *ep,
		 const struct credit_need *need, int64_t now);

/*
 * Returns the average blocks of recent requests of accounts below their share,
 * of rank 0 or of the lower ranks; 0 if none has been placed there.
 */
double credit_typical_blocks(const struct credit_ep *ep, bool lower);

/* Returns the blocks of the credit that are not reserved. */
double credit_free_blocks(const struct credit *c, const struct credit_ep *ep,
			  int64_t now);

/* Returns the number of blocks that hold this many tokens, rounded up. */
uint64_t credit_blocks_for_tokens(const struct credit_ep *ep, uint64_t tokens);

/* Reserves memory for a request that has been placed on the endpoint. */
void credit_reserve(struct credit_ep *ep, struct credit_reservation *res,
		    const struct credit_need *need);

/*
 * Returns whether credit_update() is due: the generation has produced `output`
 * tokens, two blocks more than at the last update.
 */
static inline bool credit_update_due(const struct credit_reservation *res,
				     uint32_t output)
{
	return output >= res->next_update_tokens;
}

/*
 * Replaces the reservation by one for the output so far, in tokens, and a
 * forecast of the rest; does nothing if none is held.
 */
void credit_update(struct credit_reservation *res, uint32_t output,
		   const struct est_forecast *forecast);

/* Returns the largest expected number of blocks of the generation. */
uint64_t credit_reservation_blocks(const struct credit_reservation *res);

/* Releases the reservation; does nothing if none is held. */
void credit_release(struct credit_reservation *res);

/*
 * Returns the blocks that this host has reserved on the endpoint: the highest
 * sum of any step, with the deviation.
 */
uint64_t credit_reserved_blocks(const struct credit_ep *ep);

/* Returns the number of generations of this host on the endpoint. */
unsigned credit_generations(const struct credit_ep *ep);

const char *credit_endpoint_id(const struct credit_ep *ep);

/* Calls fn for each endpoint. */
void credit_for_each_endpoint(struct credit *c,
			      void (*fn)(struct credit_ep *, void *),
			      void *ctx);

#endif
