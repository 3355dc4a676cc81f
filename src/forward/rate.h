#ifndef FORWARD_RATE_H
#define FORWARD_RATE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Rate of requests to an endpoint that limits what it takes from all hosts
 * together.  Pure functions, no I/O.
 *
 * The limit may be a few requests a second while a hundred hosts send to the
 * endpoint, so a host's fixed part would be one request in many seconds.  Hosts
 * send nothing while all together have sent as much as the endpoint takes in
 * RATE_WINDOW_US, by the totals of the control processes, which are some 0.1 s
 * old.  When many requests may meet at the endpoint in that time, each host
 * also keeps to the part of the limit that its callers have in all requests for
 * the service.  A host without recent totals keeps to the part of one host
 * among all.
 *
 * What an endpoint says of its limit is a statement with a time.  A later one
 * replaces it, whichever host received it.
 */

#define RATE_WINDOW_US INT64_C(2000000)
#define RATE_BINS 20

/* Number of events in the last RATE_WINDOW_US. */
struct rate_window {
	int64_t bin; /* number of the newest bin since the clock's zero */
	unsigned int counts[RATE_BINS];
};

void rate_window_add(struct rate_window *w, int64_t now);
unsigned int rate_window_count(const struct rate_window *w, int64_t now);

/* Zero for an endpoint that has said nothing. */
struct rate {
	bool stated;
	bool limited;
	double per_s;		 /* if limited: what it takes from all hosts */
	int64_t stated_us;	 /* when the endpoint said so */
	struct rate_window sent; /* by this host */
	unsigned int sent_elsewhere; /* by other hosts, from the totals */
	double tokens;		     /* requests that this host may send now */
	int64_t tokens_us;	     /* when they were counted; 0: never */
};

/* What a host knows of all hosts. */
struct rate_hosts {
	unsigned int n;	       /* hosts, this one included */
	unsigned int arrivals; /* requests for the service here */
	unsigned int arrivals_elsewhere;
	unsigned int endpoints; /* of the service that have room, at least 1 */
	bool recent;		/* the totals are recent */
};

/*
 * Applies a statement; an older one than the last is ignored.  per_s is used
 * only if `limited`.  `random`, uniform between 0 and 1, keeps hosts that learn
 * of a limit together from sending together.  Returns whether the limit has
 * changed.
 */
bool rate_state(struct rate *r, bool limited, double per_s, int64_t stated_us,
		double random);

/* Whether all hosts together have sent less than the endpoint takes. */
bool rate_is_below_limit(const struct rate *r, const struct rate_hosts *hosts,
			 int64_t now);

/* Whether this host may send a request to the endpoint. */
bool rate_has_room(struct rate *r, const struct rate_hosts *hosts, int64_t now);

/* Records that this host has sent a request to the endpoint. */
void rate_record_sent(struct rate *r, int64_t now);

/* Whether other hosts are to get the statement: for some time also one that
 * lifts a limit. */
bool rate_is_reported(const struct rate *r, int64_t now);

#endif
