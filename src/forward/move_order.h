#ifndef FORWARD_MOVE_ORDER_H
#define FORWARD_MOVE_ORDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Decisions on the moves of generations from an endpoint that is reclaimed:
 * when each copy is ordered, whether it is ordered at all, when the target
 * continues the generation, and how the caller's events are spaced meanwhile.
 * Pure functions, no I/O.
 *
 * They address two losses.  The link of a full engine needs most of the notice
 * for all its generations, and about 70 hosts order copies there without
 * knowing of each other's: a large generation that comes first costs several
 * small ones.  And a target continues a generation behind the prompts that it
 * has to process; until then the caller gets nothing new, since the target
 * produces again what the source has produced in that time.
 *
 * Times are in microseconds of one monotonic clock.
 */

/* Notice of an endpoint that is reclaimed: the least and the longest. */
#define MOVE_NOTICE_MIN_US INT64_C(1500000)
#define MOVE_NOTICE_MAX_US INT64_C(2100000)

/* Figures of the service's engines. */
struct move_links {
	uint64_t token_bytes; /* KV cache of a token, 0: not stated */
	unsigned int mbps;    /* of the link, 0: not stated */
};

/* An endpoint that leaves, as one host sees it. */
struct move_source {
	int64_t leaving_since_us; /* 0: it stays until its work has ended */
	uint64_t tokens;	  /* memory of all its generations */
	unsigned int generations; /* of all hosts */
};

struct move_candidate {
	uint64_t tokens;  /* memory that is copied */
	double p_running; /* probability that it runs when the notice ends */
};

enum move_verdict {
	MOVE_ORDER_NOW,
	MOVE_ORDER_LATER,    /* it will probably end by itself */
	MOVE_ORDER_TOO_LATE, /* a copy would not be complete in time */
};

bool move_links_known(const struct move_links *l);

/* Time that a copy occupies both links, inside a data centre. */
int64_t move_copy_us(const struct move_links *l, uint64_t tokens);

/*
 * Time after the notice at which the copy is ordered.  Generations that are
 * likely to be lost and quickly copied come first.  All hosts compute it by the
 * same rule, which orders their copies without a message.
 */
int64_t move_order_delay_us(const struct move_links *l,
			    const struct move_source *s,
			    const struct move_candidate *c);

/* Whether a copy should be ordered at present. */
enum move_verdict move_order_judge(const struct move_links *l,
				   const struct move_source *s,
				   const struct move_candidate *c, int64_t now);

/*
 * Whether the tokens that were produced since the copy began should be copied,
 * too, before the generation continues at the target: if this is faster than
 * their processing there.
 */
bool move_second_copy_due(const struct move_links *l,
			  const struct move_source *s, uint64_t grown_tokens,
			  int64_t round_trip_us, int64_t now);

/* Time that a generation waits at a target, of that pace (policy/pace.h),
 * before its first token there. */
int64_t move_target_wait_us(uint64_t prefill_tokens, double pace);

/*
 * Whether the generation, whose copy is complete, should continue at the target
 * now rather than run at its source until the target is less busy.
 */
bool move_resume_due(const struct move_source *s, uint64_t prefill_tokens,
		     double pace, int64_t now);

/*
 * Factor by which a target's share of the moves is less the longer a generation
 * waits there; at most 1.
 */
double move_target_weight(uint64_t prefill_tokens, double pace);

/*
 * Delay of an event that arrives from the source copying_us after the copy was
 * ordered, and since_resume_us after the request was sent to the target (0: not
 * sent yet; copying_us then no longer grows).  The events are spread over the
 * time until the target has caught up.  target_gap_us is the route's; 0: events
 * are not delayed.
 */
int64_t move_event_delay_us(int64_t copying_us, int64_t since_resume_us,
			    int64_t target_gap_us);

#endif
