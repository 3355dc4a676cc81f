#include "forward/rate.h"

#include <glib.h>

#include "base/clock.h"

#define BIN_US (RATE_WINDOW_US / RATE_BINS)

/* Part of the limit that all hosts share equally, so that one whose callers
 * have been quiet may send a first request. */
#define EQUAL_PERCENT 10

/* An endpoint that takes less still gets a request in four seconds, as only its
 * answers say when the limit has ended. */
#define PER_S_MIN 0.25

/* Time whose requests a host may send at once after it has sent none, beside
 * the first one. */
#define BURST_S 1.0

/* Time until a host has the requests that others sent, in their totals. */
#define TOTALS_LAG_S 0.15

/* Part of what an endpoint takes in a window by which it may be exceeded. */
#define EXCESS_PERCENT 25

/* Time for which a statement that lifts a limit is sent to other hosts. */
#define LIFTED_REPORT_US (10 * USEC_PER_SEC)

void rate_window_add(struct rate_window *w, int64_t now)
{
	int64_t bin = now / BIN_US;

	for (int64_t b = MAX(w->bin + 1, bin - RATE_BINS + 1); b <= bin; b++)
		w->counts[b % RATE_BINS] = 0;
	w->bin = MAX(w->bin, bin);
	w->counts[w->bin % RATE_BINS]++;
}

unsigned int rate_window_count(const struct rate_window *w, int64_t now)
{
	unsigned int n = 0;

	for (int64_t b = MAX(now / BIN_US - RATE_BINS + 1, 0); b <= w->bin; b++)
		n += w->counts[b % RATE_BINS];
	return n;
}

bool rate_state(struct rate *r, bool limited, double per_s, int64_t stated_us,
		double random)
{
	bool changed = limited != r->limited || (limited && per_s != r->per_s);

	if (r->stated && stated_us < r->stated_us)
		return false;
	if (limited && !r->limited) {
		r->tokens = random;
		r->tokens_us = 0;
	}
	r->stated = true;
	r->limited = limited;
	r->per_s = limited ? per_s : 0;
	r->stated_us = stated_us;
	return changed;
}

/* Requests a second that this host may send. */
static double host_share(double per_s, const struct rate_hosts *hosts)
{
	double equal = per_s / (hosts->n ? hosts->n : 1);
	unsigned int all = hosts->arrivals + hosts->arrivals_elsewhere;

	if (!hosts->recent || !all)
		return equal;
	return equal * EQUAL_PERCENT / 100 +
	       per_s * hosts->arrivals / all * (100 - EQUAL_PERCENT) / 100;
}

static double used_per_s(const struct rate *r)
{
	return MAX(r->per_s, PER_S_MIN);
}

static double used_in_window(const struct rate *r)
{
	return used_per_s(r) * ((double)RATE_WINDOW_US / USEC_PER_SEC);
}

bool rate_is_below_limit(const struct rate *r, const struct rate_hosts *hosts,
			 int64_t now)
{
	unsigned int sent = rate_window_count(&r->sent, now);

	return !r->limited || !hosts->recent ||
	       sent + r->sent_elsewhere + 1 <= MAX(used_in_window(r), 1);
}

/* Whether too many requests may meet at the endpoint before hosts learn of
 * each other's. */
static bool is_contended(const struct rate *r, const struct rate_hosts *hosts)
{
	double arrivals_per_s =
		(double)(hosts->arrivals + hosts->arrivals_elsewhere) *
		USEC_PER_SEC / RATE_WINDOW_US;
	double meeting =
		arrivals_per_s * TOTALS_LAG_S / MAX(hosts->endpoints, 1);

	/* A window that takes less than one request says little. */
	return used_in_window(r) < 1 ||
	       meeting > 1 + used_in_window(r) * EXCESS_PERCENT / 100;
}

bool rate_has_room(struct rate *r, const struct rate_hosts *hosts, int64_t now)
{
	double share = host_share(used_per_s(r), hosts);

	if (!r->limited)
		return true;
	if (r->tokens_us)
		r->tokens +=
			share * (double)(now - r->tokens_us) / USEC_PER_SEC;
	r->tokens = MIN(r->tokens, 1 + share * BURST_S);
	r->tokens_us = now;
	return rate_is_below_limit(r, hosts, now) &&
	       (r->tokens >= 1 || (hosts->recent && !is_contended(r, hosts)));
}

void rate_record_sent(struct rate *r, int64_t now)
{
	rate_window_add(&r->sent, now);
	if (r->limited)
		r->tokens = MAX(r->tokens - 1, 0);
}

bool rate_is_reported(const struct rate *r, int64_t now)
{
	return r->stated &&
	       (r->limited || now - r->stated_us < LIFTED_REPORT_US);
}
