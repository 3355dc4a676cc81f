#ifndef POLICY_LEAVE_DC_H
#define POLICY_LEAVE_DC_H

#include <stdbool.h>
#include <stdint.h>

/*
 * When a request leaves the data centre of its host, and how much may leave.
 * Pure functions, no I/O.
 *
 * Leaving costs time, twice the latency of the way, and money, the bytes that
 * are exchanged.  Both are stated in microseconds of delay, as are the waits at
 * endpoints (forward/place.c), so that a request leaves if it is expected to be
 * served sooner by more than that.  How many leave follows from the fill of the
 * endpoints by all data centres (forward/spread.h): each arrival that is
 * expected elsewhere makes the next one less worthwhile, so that hosts with
 * figures of the same age do not all leave at once.
 *
 * Addressed load: a data centre that gets several times the others' requests or
 * has lost a part of its endpoints, while 70 hosts decide by figures that are
 * up to 0.5 s old.
 */

enum leave_class {
	LEAVE_SAME_DC,
	LEAVE_SAME_REGION,
	LEAVE_OTHER_REGION,
	LEAVE_CLASSES,
};

struct leave_prices {
	bool enabled; /* otherwise place.c uses its fixed costs */
	int64_t latency_us[LEAVE_CLASSES]; /* one way */
	int64_t mb_cost_us[LEAVE_CLASSES]; /* of 1 MB (10^6 bytes) */
};

/* A host whose figures are older than this knows nothing of other data centres;
 * they arrive every 0.1 s while anything changes. */
#define LEAVE_VALID_US INT64_C(1000000)

/*
 * The last room of a data centre is kept for its own requests from others that
 * are younger than this, which is longer than figures take from host to host.
 * Kept for longer it stays unused while requests are refused: 22 % more of the
 * deferrable ones on a day of high load.
 */
#define LEAVE_KEPT_US INT64_C(100000)

/* Prices by the settings; without regions nothing is enabled. */
struct leave_prices leave_prices_init(bool enabled, int dc_latency_us,
				      int region_latency_us, int dc_mb_cost_us,
				      int region_mb_cost_us);

/* Bytes on the wire of a generation: its prompt and the events of its answer,
 * each of which has a frame of its own. */
uint64_t leave_generation_bytes(uint64_t prompt_tokens, uint64_t output_tokens,
				unsigned int tokens_per_event);

/*
 * Cost of the distance to an endpoint for a request of so many bytes.  With
 * figures older than LEAVE_VALID_US it is higher than any wait, so that a
 * request leaves only if its own data centre has no room for it.
 */
int64_t leave_cost_us(const struct leave_prices *p, enum leave_class c,
		      uint64_t bytes, int64_t age_us);

/*
 * Whether another data centre has room for a request of need_tokens beside what
 * is kept for its own arrivals: free_tokens is the room of its endpoints, and
 * `arrivals` of its own are expected that this host does not see yet.
 */
bool leave_has_room(uint64_t free_tokens, double arrivals,
		    uint64_t need_tokens);

/* Share of a host's requests that go to one destination, for its log. */
struct leave_share {
	double share;	   /* of the last requests, about eight */
	double logged;	   /* at the last log line */
	int64_t logged_us; /* 0: never */
};

/* Counts a request; true if the share has changed by more than a tenth since
 * the last log line, which then is due. */
bool leave_share_count(struct leave_share *s, bool went_there, int64_t now);
/* The line was written. */
void leave_share_logged(struct leave_share *s, int64_t now);

#endif
