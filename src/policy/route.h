#ifndef POLICY_ROUTE_H
#define POLICY_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "policy/credit.h"
#include "policy/spill.h"

/*
 * Selection of an endpoint for a request.
 *
 * An endpoint is eligible only if its state is ROUTE_SERVING and that was
 * confirmed, by the registry, a probe or a load report, less than
 * ROUTE_CONFIRMATION_TTL_US ago.  ROUTE_LEAVING is final for an incarnation:
 * a delayed message with an earlier state does not make it eligible again.
 * struct route_ops picks one of the eligible endpoints of the local data
 * centre that have enough credit for the request.
 *
 * Endpoints of other data centres are considered only if no local endpoint has
 * room, the request has waited for spill_after_us (or the local data centre
 * has no endpoint for the model) and the byte budget covers the request.
 *
 * All times are in microseconds of one monotonic clock.
 */

#define ROUTE_CONFIRMATION_TTL_US INT64_C(3000000)

struct route;
struct route_ep;

enum route_state {
	ROUTE_LOADING,
	ROUTE_SERVING,
	ROUTE_LEAVING, /* final */
	ROUTE_SUSPECT, /* no announcement for 6 s, or refuses connections */
	ROUTE_STALE,   /* no announcement for 3 s */
	ROUTE_DEAD,    /* no announcement for 20 s */
};

struct route_tuning {
	const char *dc; /* local data centre; copied by route_new() */
	/* Load that a fully cached prefix offsets in a score, 0: 1. */
	double prefix_weight;
	/* Load that being the rendezvous endpoint offsets, 0: 0.3. */
	double rendezvous_weight;
	size_t cache_entries;	    /* capacity of the prefix index, 0: 65536 */
	uint64_t spill_bytes_per_s; /* to other data centres, 0: no spill */
	uint64_t spill_burst_bytes; /* 0: 10 s of the rate */
	int64_t spill_after_us; /* queueing time before a spill, 0: 500 ms */
	/*
	 * An endpoint is stalled after this multiple of its average token
	 * interval without a token, or of its average time to the first token
	 * before one; 0: 3.  The two minimums below apply to it.
	 */
	unsigned stall_factor;
	int64_t stall_min_us;	      /* between tokens, 0: 300 ms */
	int64_t stall_first_token_us; /* before a first token, 0: 3 s */
	int64_t load_report_age_us;   /* assumed age on arrival, 0: 1 s */
	uint64_t seed; /* differs by host: hosts break ties differently */
};

struct route_ep_info {
	const char *id;
	uint64_t incarnation;
	const char *addr;
	const char *dc;
	const char *const *models; /* models or services */
	size_t n_models;
	enum route_state state;
	uint32_t blocks;       /* size of the KV cache */
	uint32_t block_tokens; /* tokens for one block */
	uint32_t max_batch;    /* concurrent requests, 0: unknown */
	const char *model_version;
	/*
	 * Lent by the hub of another data centre.  The registry of the local
	 * hub does not cover it: route_confirm_registry() does not confirm it.
	 */
	bool remote;
};

/* Load as reported by an endpoint, over the requests of all hosts. */
struct route_load {
	uint32_t running; /* requests */
	uint32_t waiting; /* requests queued at the endpoint */
	uint32_t blocks_used;
	uint32_t blocks;
};

struct route_query {
	const char *model;
	const uint64_t
		*prefixes; /* XXH64 of the first 256, 512, ... bytes or NULL */
	size_t n_prefixes;
	size_t bytes;		     /* bytes a spill would send and receive */
	bool local_only;	     /* no spill to another data centre */
	int64_t waited_us;	     /* time in the queue so far */
	struct credit_need need;     /* only its rank counts without credit */
	const struct credit *credit; /* NULL: no admission by memory */
	/* Returns true for endpoints that must not be chosen; may be NULL. */
	bool (*exclude)(void *ctx, const char *endpoint);
	void *exclude_ctx;
};

/* A candidate given to route_ops.pick. */
struct route_candidate {
	struct route_ep *ep;
	/*
	 * Share of the blocks in use, or of the batch slots if that is more,
	 * plus the waiting requests in batches; may exceed 1.
	 */
	double load;
	unsigned outstanding; /* requests of this host */
	double cached_share;  /* part of the prefix that is cached, 0 to 1 */
	uint64_t rendezvous;  /* rendezvous hash of prefix and endpoint */
	bool slow; /* token interval far above the median of the model */
};

struct route_ops {
	const char *name;
	/* Returns the index of the chosen candidate; n is at least 1. */
	size_t (*pick)(struct route *r, const struct route_candidate *cands,
		       size_t n);
};

/* Weighs cached prefixes against load. */
extern const struct route_ops route_prefix_load;
/* Baselines for comparison. */
extern const struct route_ops route_round_robin;
extern const struct route_ops route_least_requests;

/* Copies cfg; never returns NULL. */
struct route *route_new(const struct route_ops *ops,
			const struct route_tuning *cfg);
void route_free(struct route *r);

/*
 * Adds or updates an endpoint from a registry row, which is copied.  Rows with
 * a lower incarnation than the present one are ignored; a higher incarnation
 * discards streams, load and averages of the previous one.  A row does not
 * confirm the endpoint, since it may be old: it becomes eligible with the next
 * confirmation.  Returns the endpoint, valid until route_remove_endpoint().
 */
struct route_ep *route_upsert_endpoint(struct route *r,
				       const struct route_ep_info *info,
				       int64_t now);
/* Returns NULL if the id is unknown. */
struct route_ep *route_find_endpoint(struct route *r, const char *id);

/*
 * Removes an endpoint and detaches its streams.  If it was leaving, its
 * incarnation stays recorded, so that a delayed row cannot bring it back.
 */
void route_remove_endpoint(struct route *r, const char *id);
const char *route_ep_id(const struct route_ep *ep);
const char *route_ep_dc(const struct route_ep *ep);
const char *route_ep_addr(const struct route_ep *ep);
uint64_t route_ep_incarnation(const struct route_ep *ep);

/*
 * Sets the credit of the endpoint, which is used for queries with a credit.
 * Not owned: the caller sets it to NULL before it frees the credit.
 */
void route_set_credit(struct route_ep *ep, const struct credit_ep *credit);

/*
 * Confirms all serving and loading endpoints of the local registry as of time
 * `at`.  Called when the hub answers a report of this host with a registry
 * that is up to date; `at` is when the report was sent.
 */
void route_confirm_registry(struct route *r, int64_t at);

/*
 * Sets the state that a probe, a request or a load report has shown; if it is
 * ROUTE_SERVING, the endpoint is confirmed as of `now`.  Ignored if the
 * incarnation is not the present one.
 */
void route_set_observed_state(struct route_ep *ep, uint64_t incarnation,
			      enum route_state state, int64_t now);
/* Stores a load report that arrived at `now`. */
void route_load_report(struct route *r, struct route_ep *ep,
		       const struct route_load *load, int64_t now);

/* Sets the queueing time after which a request may spill (0: no wait). */
void route_set_spill_after(struct route *r, int64_t us);
int64_t route_spill_after(const struct route *r);

/*
 * Byte budget for other data centres, owned by r.  spill_configure() replaces
 * the limits of route_tuning.
 */
struct spill_budget *route_spill_budget(struct route *r);

/* Returns whether the endpoint is in another data centre. */
bool route_is_remote(const struct route *r, const struct route_ep *ep);

/*
 * Returns whether the local data centre has an endpoint for the model that is
 * neither leaving nor dead; it need not be eligible now.
 */
bool route_has_local(const struct route *r, const char *model);

/* Returns whether new requests may be sent to the endpoint. */
bool route_eligible(const struct route_ep *ep, int64_t now);

/*
 * Cache events of an endpoint: a prefix was added to or removed from its KV
 * cache.  `seq` is above 0 and grows with each event of an incarnation; gaps,
 * repetitions and any order are tolerated.
 */
void route_cache_added(struct route *r, struct route_ep *ep, uint64_t seq,
		       uint64_t hash);
void route_cache_removed(struct route *r, struct route_ep *ep, uint64_t seq,
			 uint64_t hash);

/*
 * Chooses an endpoint.  Returns 0 and sets *ep; -MW_EAGAIN if endpoints are
 * eligible but none has room; -MW_ENOENDPOINT if none is eligible.  On errors
 * *ep is NULL.
 */
int route_choose(struct route *r, const struct route_query *q, int64_t now,
		 struct route_ep **ep);

/* One open stream; embedded in the caller's request. */
struct route_stream {
	struct route_ep *ep; /* NULL: none, or the endpoint was removed */
	struct list node;
	int64_t started_us;
	int64_t last_token_us;
	uint64_t blocks; /* reserved on the endpoint */
	bool has_token;
	bool paused;
	struct spill_reservation
		spill; /* the caller ends it with spill_settle() */
};

/*
 * Records that a request was sent: `blocks` is its reservation, `q` the query
 * that chose the endpoint.  If the endpoint is remote, q->bytes are charged to
 * the budget.  The stream must stay valid until route_stream_finished() or
 * until s->ep is NULL.
 */
void route_stream_started(struct route *r, struct route_ep *ep,
			  struct route_stream *s, const struct route_query *q,
			  uint64_t blocks, int64_t now);
/*
 * The endpoint asked for a pause of asked_us from `now` on when it turned a
 * request away (pause.h): it gets no new requests before its end.
 */
void route_pause(struct route_ep *ep, int64_t asked_us, int64_t now);

/* Records a received token. */
void route_stream_token(struct route_stream *s, int64_t now);

/* Ends the stream; repeated calls do nothing. */
void route_stream_finished(struct route_stream *s);

/*
 * Pauses or resumes a stream.  A stream whose caller reads too slowly receives
 * no tokens, which must not make the endpoint look stalled.
 */
void route_stream_set_paused(struct route_stream *s, bool paused, int64_t now);

/*
 * Returns whether the endpoint is stalled: it has streams that are not paused
 * and has sent no token for longer than the limits of route_tuning.
 */
bool route_is_stalled(const struct route *r, const struct route_ep *ep,
		      int64_t now);

#endif
