#ifndef FORWARD_PLACE_H
#define FORWARD_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Choice of the endpoint that a request is sent to.  Pure functions, no I/O.
 *
 * Many hosts place requests on the same endpoints.  The endpoints' own load
 * reports are 0.5 s old, and generations hold an amount of memory that is not
 * known in advance, for many seconds.  So load is the sum of what the hosts
 * themselves placed, which is 0.1 s old, and memory is what the generations are
 * expected to need when they end.  While an engine processes a long prompt, all
 * generations that run beside it get their tokens later, so prompt tokens that
 * are still to be processed have the highest cost.
 *
 * Memory is the KV cache of a model endpoint's engine, in tokens.
 */

struct place_target {
	bool usable;	    /* serving, and not avoided after a failure */
	bool excluded;	    /* the request was there already */
	bool rate_limited;  /* takes no further request at present */
	bool cold;	    /* used only if no warm one has room */
	bool late;	    /* too slow for the request's target gap; used only
			       if no other one has room */
	bool reserved;	    /* for moves from another endpoint that leaves */
	bool kept;	    /* its room is for requests of its data centre */
	double move_weight; /* factor of its share of the moves; 0: not stated,
			       which is 1 */
	unsigned int
		distance;   /* 0: same data centre, 1: same region, 2: other */
	unsigned int slots; /* requests that it runs at the same time */
	uint64_t memory_tokens; /* 0: not a model endpoint */
	/* Work of all hosts on it. */
	unsigned int open_requests;
	uint64_t needed_tokens;	   /* memory needed when its generations end */
	uint64_t prefill_tokens;   /* prompt tokens not processed yet */
	unsigned int engine_queue; /* requests in the endpoint's own queue */
	double pace; /* see policy/pace.h, above 1 is slow; 0: not known, 1 */
	int64_t failure_cost_us; /* see failures.h; 0: it does not fail */
	uint32_t tie_breaker;	 /* random; other for each host and request */
	unsigned int group;	 /* data centre, see spread.h */
	unsigned int region;	 /* of the data centre, 0: unknown */
};

struct place_request {
	bool generation;
	bool urgent; /* may use what is reserved for urgent requests; a
			generation that is not urgent is deferrable */
	uint32_t prompt_tokens;
	uint64_t need_tokens; /* memory needed when it ends */
	double unseen; /* requests that other hosts place at the same time */
	uint64_t margin_tokens; /* memory of each target that is kept free for
				   those */
	const int64_t *distance_us; /* cost by distance; NULL: the fixed one */
	double random;		    /* uniform between 0 and 1 */
};

/*
 * Adds the load of hosts that are missing in the totals
 * (policy/unseen_hosts.h): `ratio` times the open requests and the needed
 * tokens that are known.  It is spread evenly over the usable targets, as
 * nobody knows where those hosts send, and so changes their room but not their
 * order.
 */
void place_add_unseen_load(struct place_target *targets, size_t n,
			   double ratio);

enum place_result {
	PLACE_OK,
	PLACE_NO_ROOM,	   /* endpoints are usable, but none has room */
	PLACE_NO_ENDPOINT, /* no endpoint is usable */
};

/*
 * Requests that other hosts place before this one learns of it, lag_us later:
 * arrivals_per_s arrive there, and queued_tokens wait there, which all are
 * placed at the same moment as far as room_tokens suffice; need_tokens is that
 * of one request.
 */
double place_unseen(double arrivals_per_s, int64_t lag_us,
		    uint64_t queued_tokens, uint64_t room_tokens,
		    uint64_t need_tokens);

/*
 * Chooses a target with room that has a low cost, see spread.h; sets *index
 * only if the result is PLACE_OK.
 */
enum place_result place_choose(const struct place_target *targets, size_t n,
			       const struct place_request *request,
			       size_t *index);

/* Capacity of a service for deferrable generations. */
struct place_capacity {
	uint64_t room_tokens;	/* free for them */
	uint64_t memory_tokens; /* total of the usable endpoints */
	unsigned int usable;	/* endpoints */
	/* Usable endpoints without room for them, by the first reason. */
	unsigned int full;	 /* no free slot or memory */
	unsigned int queueing;	 /* requests wait in the endpoint's queue */
	unsigned int prefilling; /* too many prompt tokens to be processed */
};

struct place_capacity place_sum_capacity(const struct place_target *targets,
					 size_t n);

/*
 * Chooses the endpoint that a generation is moved to from an endpoint that
 * leaves; sets *index only if the result is PLACE_OK.
 *
 * All hosts move the generations of a leaving endpoint at the same moment, and
 * none knows yet what the other hosts choose.  So each draws an endpoint of the
 * source's data centre with a probability in proportion to its free memory and
 * its move_weight.  An endpoint copies one generation after another, and a copy
 * waits until the links of source and target are both free.  So each source has
 * targets that are not reserved for another source, and uses reserved ones only
 * if those have no room, and cold ones only if no warm one has.
 */
enum place_result place_choose_move_target(const struct place_target *targets,
					   size_t n, uint64_t need_tokens,
					   size_t *index);

#endif
