#ifndef FORWARD_PLACE_H
#define FORWARD_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Which endpoint takes a request.  A decision without I/O.
 *
 * The load that it answers: many hosts place on the same endpoints, whose own
 * reports are half a second old, and generations hold memory of unknown size
 * for many seconds.  So the counts are those of the hosts themselves, which
 * are a tenth of a second old, and memory is what the generations are expected
 * to need at their end.  A long prompt that is read delays the tokens of all
 * that run beside it, so prompts that are still to be read cost most.
 */

struct place_target {
	bool usable;   /* serving, and not avoided after a failure */
	bool excluded; /* the request was there already */
	bool reserved; /* kept for what leaves another endpoint */
	unsigned int
		distance; /* 0: same data centre, 1: same region, 2: other */
	unsigned int slots;
	uint64_t memory_tokens; /* 0: a plain endpoint */
	/* Work of all hosts on it. */
	unsigned int open_requests;
	uint64_t needed_tokens;	   /* that its generations will need */
	uint64_t prefill_tokens;   /* prompt tokens not read yet */
	unsigned int engine_queue; /* requests in its own queue */
	uint32_t tie_breaker; /* random; different for each host and request */
};

struct place_request {
	bool generation;
	bool urgent; /* may use what is kept for urgent work */
	uint32_t prompt_tokens;
	uint64_t need_tokens; /* memory expected at its end */
};

enum place_result {
	PLACE_OK,
	PLACE_NO_ROOM,	   /* endpoints serve, but none has room */
	PLACE_NO_ENDPOINT, /* no endpoint can be used at all */
};

/* Sets *index of the chosen target. */
enum place_result place_choose(const struct place_target *targets, size_t n,
			       const struct place_request *ask, size_t *index);

struct place_capacity {
	uint64_t room_tokens;	/* for work that may wait, tokens */
	uint64_t memory_tokens; /* of the endpoints that can be used, tokens */
	/* Endpoints that can be used, and those of them without room. */
	unsigned int usable;
	unsigned int full;	 /* of memory or slots */
	unsigned int queueing;	 /* they have a queue of their own */
	unsigned int prefilling; /* of prompts that are still to be read */
};

struct place_capacity place_sum_capacity(const struct place_target *targets,
					 size_t n);

/*
 * Which endpoint takes over a generation whose endpoint leaves.
 *
 * The load that it answers: all hosts move the generations of a leaving
 * endpoint in the same moment, and none knows yet what the others choose.  So
 * each draws an endpoint of its data centre with a probability in proportion to
 * its free memory.  Endpoints copy one generation after another, and a copy
 * waits until both links are free; so each source has targets of its own, and
 * uses others only if those are full.
 */
enum place_result place_choose_move_target(const struct place_target *targets,
					   size_t n, uint64_t need_tokens,
					   size_t *index);

#endif
