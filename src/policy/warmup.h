#ifndef POLICY_WARMUP_H
#define POLICY_WARMUP_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Limit of the requests to a cold endpoint, summed over all entry hosts.  Pure
 * functions, no I/O.
 *
 * After its start an endpoint is slow for a time, and above a rate it crashes.
 * The endpoints of a data centre may come back together, while each host has a
 * queue and does not see what the others send.  So the limit must hold without
 * messages between hosts, also for hosts that are cut off from control:
 *
 * - Cold: each host may send one request to the endpoint in each of its slots.
 *   A slot is open for WARMUP_OPEN_US in each period, and a slot that is not
 *   used is lost; otherwise all hosts would hold an unused request when a load
 *   begins.  The phase of the slots is random for each host and endpoint.  The
 *   period is in proportion to the number of hosts, so that more requests than
 *   the bound in one second are very unlikely even if all hosts use each slot.
 *
 * - Warm: a host may learn late that an endpoint has become cold.  Its rate to
 *   one endpoint that runs a model is bounded so that all hosts together stay
 *   below the bound on average.  While more requests than half the bound may
 *   want one endpoint in a second, each host also leaves out endpoints at
 *   random, others in each second.  A model endpoint of 24 slots takes 2.4
 *   generations of ten seconds in a second, from all hosts, and the bound is
 *   41.  Other services take short calls at rates above any such bound; their
 *   warm endpoints are not limited.
 *
 * The number of hosts may be too low: it is a guess until control has counted
 * them, it grows while hosts start together, and a host that is cut off does
 * not hear of new ones.
 */

/* Largest number of hosts; assumed until a host knows better. */
#define WARMUP_HOSTS_MAX 300

/* Ratio by which the number of hosts may have grown unnoticed. */
#define WARMUP_STALE_PERCENT 150

/* The count of hosts is believed after it has not grown for this time.  Hosts
 * that have lost control dial it at least once a second. */
#define WARMUP_SETTLE_US INT64_C(3000000)

/* A shorter slot is rarely open when a host has a request; with a longer one
 * the hosts' requests in any second leave more of the bound unused. */
#define WARMUP_OPEN_US INT64_C(1000000)

/*
 * Time from an announcement to its arrival at the hosts; an announcement that
 * arrives within this time after a failure may have been made before it.
 */
#define WARMUP_ROW_LAG_US INT64_C(2000000)

/* Time for which an endpoint may be cold if its service does not state one. */
#define WARMUP_COLD_DEFAULT_US INT64_C(30000000)

/* Number of entry hosts, as a host knows it. */
struct warmup_hosts {
	unsigned int peak; /* most that were counted; 0: none yet */
	int64_t grown_us;  /* when it was reached */
	bool settled;
};

/* Records a count of all hosts, this one included. */
void warmup_hosts_update(struct warmup_hosts *h, unsigned int n, int64_t now);
/* Number of hosts that there are at most. */
unsigned int warmup_hosts_max(const struct warmup_hosts *h);

/* Limits of a service. */
struct warmup_limits {
	double per_s;	  /* requests to a cold endpoint; 0: no limit */
	double bound;	  /* requests that must not be exceeded in a second */
	bool bounds_warm; /* the rate to warm endpoints is bounded, too */
};

/* What each host may send to one endpoint; zero for no limit. */
struct warmup_pace {
	int64_t period_us, open_us; /* slots while it is cold */
	int64_t warm_interval_us;   /* between requests while it is warm */
	unsigned int warm_burst;    /* requests at once while it is warm */
	/* Requests of all hosts for one warm endpoint, a second, above which
	 * hosts leave out endpoints at random; 0: never. */
	double crowd_per_s;
	/* Number of hosts that may send to one endpoint then, on average. */
	double crowd_senders;
	unsigned int hosts;
};

struct warmup_pace warmup_pace(const struct warmup_limits *limits,
			       unsigned int hosts);

/* State of an endpoint on one host. */
struct warmup {
	double phase;	       /* of the slots, from 0 to below 1 */
	int64_t cold_until_us; /* 0: warm */
	int64_t assumed_us;    /* last time that it was assumed to be cold; 0:
				  never, or an announcement was made later */
	int64_t sent_us;       /* last request; 0: never */
	unsigned int slots;    /* used from that time on, in periods */
	int64_t warm_due_us;   /* when the requests sent while warm are due */
};

/* random is uniform from 0 to below 1, another one for each host. */
void warmup_init(struct warmup *w, double random);

/* Applies a statement of the endpoint, made at made_us or later, that it is
 * cold for cold_us from then on; 0 if it is warm. */
void warmup_announce(struct warmup *w, int64_t cold_us, int64_t made_us,
		     int64_t now);
/*
 * Counts the endpoint as cold for cold_us, or until it states otherwise after
 * `now`: it has failed, or its data centre is back after an evacuation.
 */
void warmup_assume_cold(struct warmup *w, int64_t cold_us, int64_t now);

/* False for an endpoint whose service has no limit. */
bool warmup_is_cold(const struct warmup *w, const struct warmup_pace *pace,
		    int64_t now);
/* Whether this host may send one more request to the endpoint, while all hosts
 * together have wanted_per_s for each endpoint with room. */
bool warmup_has_room(const struct warmup *w, const struct warmup_pace *pace,
		     double wanted_per_s, int64_t now);
/* Records n requests that this host sends now or soon: a copy of a generation
 * is followed by its resume. */
void warmup_record_sent(struct warmup *w, const struct warmup_pace *pace,
			unsigned int n, int64_t now);

#endif
