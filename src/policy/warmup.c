#include "policy/warmup.h"

#include <math.h>
#include <glib.h>
#include <xxhash.h>

#define SEC_US ((double)G_USEC_PER_SEC)

/*
 * Exponent of the Chernoff bound on the probability that a second has more
 * requests than allowed while all hosts use each slot and WARMUP_STALE_PERCENT
 * is used up: e^-12 is 6e-6.
 */
#define EXCESS_EXPONENT 12

/* Steps of the search for the period: a precision of 2^-20. */
#define SEARCH_STEPS 20

/*
 * Warm endpoints: the interval between a host's requests, in parts of the one
 * with which all hosts together just meet the bound, and the requests that a
 * host may send at once, in parts of its share of the bound.  Two at once are
 * needed as callers do not arrive evenly: with one, a request in twelve of an
 * ordinary load would find an endpoint closed.
 */
#define WARM_INTERVAL 1.5
#define WARM_BURST 0.33
#define WARM_BURST_MIN 2u

/* More hosts than this part of the bound could exceed it by their bursts. */
#define CROWD_HOSTS 0.4

/* Part of the bound that hosts send on average to an endpoint that many want.
 * A second meets two of each host's draws, so it is at most twice this. */
#define CROWD_PERCENT 20

/* Slots that are taken in advance at most. */
#define SENT_SLOTS_MAX 2

void warmup_hosts_update(struct warmup_hosts *h, unsigned int n, int64_t now)
{
	if (n > h->peak) {
		h->peak = n;
		h->grown_us = now;
	}
	if (h->peak && now - h->grown_us >= WARMUP_SETTLE_US)
		h->settled = true;
}

unsigned int warmup_hosts_max(const struct warmup_hosts *h)
{
	unsigned int n = (h->peak * WARMUP_STALE_PERCENT + 99) / 100;

	return h->settled ? n : MAX(n, WARMUP_HOSTS_MAX);
}

/* Relative entropy of a coin that shows q to one that shows p. */
static double entropy(double q, double p)
{
	return q * log(q / p) + (q < 1 ? (1 - q) * log((1 - q) / (1 - p)) : 0);
}

/*
 * Whether at most `bound` requests are sent in a second, except with the
 * probability of EXCESS_EXPONENT.  `slots` of each host's slots, on average,
 * meet the second: it is rounded up for some hosts, at random, and down for the
 * others.
 */
static bool keeps_bound(double slots, double hosts, double bound)
{
	double whole = floor(slots), part = slots - whole;
	double excess = floor(bound - hosts * whole) + 1;

	if (excess <= 0)
		return false;
	return excess > hosts ||
	       (excess / hosts > part &&
		hosts * entropy(excess / hosts, part) >= EXCESS_EXPONENT);
}

/* Most slots of a host, on average, that may meet a second. */
static double most_slots(double hosts, double bound)
{
	double low = 0, high = bound / hosts;

	for (int i = 0; i < SEARCH_STEPS; i++) {
		double middle = (low + high) / 2;

		if (keeps_bound(middle, hosts, bound))
			low = middle;
		else
			high = middle;
	}
	return low;
}

struct warmup_pace warmup_pace(const struct warmup_limits *limits,
			       unsigned int hosts)
{
	double n = MAX(hosts, 1u);
	struct warmup_pace p = {0};

	if (limits->per_s <= 0 || limits->bound < 1)
		return p;
	/* A slot that was open up to WARMUP_OPEN_US before also meets the
	 * second. */
	double per_host = MIN(limits->per_s / n,
			      most_slots(n, limits->bound) /
				      (1 + (double)WARMUP_OPEN_US / SEC_US));
	p.period_us = (int64_t)(SEC_US / per_host);
	p.open_us = MIN(WARMUP_OPEN_US, p.period_us);
	if (!limits->bounds_warm)
		return p;
	p.warm_interval_us =
		(int64_t)(SEC_US * WARM_INTERVAL * n / limits->bound);
	p.warm_burst = MAX((unsigned int)(limits->bound / n * WARM_BURST),
			   WARM_BURST_MIN);
	if (n > limits->bound * CROWD_HOSTS)
		p.crowd_per_s = limits->bound / 2;
	p.crowd_senders = limits->bound * CROWD_PERCENT / 100;
	p.hosts = (unsigned int)n;
	return p;
}

void warmup_init(struct warmup *w, double random)
{
	*w = (struct warmup){.phase = random};
}

void warmup_announce(struct warmup *w, int64_t cold_us, int64_t made_us,
		     int64_t now)
{
	int64_t until_us = cold_us > 0 ? now + cold_us : 0;

	if (w->assumed_us && made_us <= w->assumed_us) {
		w->cold_until_us = MAX(w->cold_until_us, until_us);
		return;
	}
	w->assumed_us = 0;
	w->cold_until_us = until_us;
}

void warmup_assume_cold(struct warmup *w, int64_t cold_us, int64_t now)
{
	w->assumed_us = now;
	w->cold_until_us = MAX(w->cold_until_us, now + cold_us);
}

bool warmup_is_cold(const struct warmup *w, const struct warmup_pace *pace,
		    int64_t now)
{
	return pace->period_us && now < w->cold_until_us;
}

/* Start of the slot that is open now, or was the last one to be open. */
static int64_t slot_start(const struct warmup *w,
			  const struct warmup_pace *pace, int64_t now)
{
	int64_t offset_us = (int64_t)(w->phase * (double)pace->period_us);

	return now - (now + offset_us) % pace->period_us;
}

/*
 * Start of the first slot that is not used by requests sent before.  It depends
 * on the present period: one sent while the number of hosts was not known must
 * not use a slot of the long period that was assumed then.
 */
static int64_t next_slot_us(const struct warmup *w,
			    const struct warmup_pace *pace)
{
	if (!w->sent_us)
		return 0;
	return slot_start(w, pace, w->sent_us) + w->slots * pace->period_us;
}

/*
 * Whether the host may send to the endpoint in this second although many want
 * it.  Seconds begin at another time for each host and endpoint.
 */
static bool is_drawn(const struct warmup *w, const struct warmup_pace *pace,
		     double wanted_per_s, int64_t now)
{
	int64_t offset_us = (int64_t)(w->phase * SEC_US);
	uint64_t key[] = {(uint64_t)(w->phase * (double)(UINT64_C(1) << 53)),
			  (uint64_t)((now + offset_us) / G_USEC_PER_SEC)};
	double draw = (double)XXH64(key, sizeof(key), 0) / (double)UINT64_MAX;

	return draw * MAX(wanted_per_s, pace->hosts) < pace->crowd_senders;
}

bool warmup_has_room(const struct warmup *w, const struct warmup_pace *pace,
		     double wanted_per_s, int64_t now)
{
	if (warmup_is_cold(w, pace, now))
		return now >= next_slot_us(w, pace) &&
		       now - slot_start(w, pace, now) < pace->open_us;
	if (!pace->warm_interval_us)
		return true;
	bool is_crowded =
		pace->crowd_per_s > 0 && wanted_per_s > pace->crowd_per_s;
	if (is_crowded && !is_drawn(w, pace, wanted_per_s, now))
		return false;
	int64_t ahead_us =
		is_crowded ? 0
			   : (pace->warm_burst - 1) * pace->warm_interval_us;
	return w->warm_due_us <= now + ahead_us;
}

void warmup_record_sent(struct warmup *w, const struct warmup_pace *pace,
			unsigned int n, int64_t now)
{
	if (!pace->period_us)
		return;
	int64_t ahead_us = next_slot_us(w, pace) - slot_start(w, pace, now);
	int64_t ahead = ahead_us > 0 ? ahead_us / pace->period_us : 0;

	/* What was sent while warm counts after it has become cold, but not
	 * for longer than a copy and its resume. */
	w->slots = (unsigned int)MIN(ahead + n, SENT_SLOTS_MAX);
	w->sent_us = now;
	w->warm_due_us = MAX(w->warm_due_us, now) + n * pace->warm_interval_us;
}
