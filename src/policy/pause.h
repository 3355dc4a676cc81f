#ifndef POLICY_PAUSE_H
#define POLICY_PAUSE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Pauses that endpoints ask for: an endpoint that turns a request away, with
 * status 503 or 429, may name a time (Retry-After) in which it wants no
 * requests from this host.  Pure functions, no I/O.
 *
 * The endpoint is sound: a pause is no failure, and other hosts, which it did
 * not ask, go on sending to it.  While all endpoints of a service are paused or
 * avoided, a new request could only wait until the first one is back.  If that
 * is longer than the request may wait, its caller is told at once when to come
 * back, while it has time to.
 */

/* Longer pauses are shortened to this: an endpoint that names a day by mistake
 * is asked again the same day, and a restart of it ends a pause anyway. */
#define PAUSE_MAX_US INT64_C(3600000000)

/*
 * Parses the value of Retry-After, a decimal number of seconds.  Returns false,
 * and sets no time, for any other text; a number that is too large is cut to
 * PAUSE_MAX_US.
 */
bool pause_parse(const char *text, int64_t *us);

/*
 * Returns the end of a pause that ends at until_us (0: none) after the endpoint
 * has asked for asked_us from `now` on.  A shorter wish does not end a longer
 * pause: answers on different connections overtake each other.
 */
int64_t pause_extend(int64_t until_us, int64_t asked_us, int64_t now);

/* What a host knows of the endpoints of a service. */
struct pause_state {
	bool any_paused;
	int64_t back_us; /* when the first one may be used again, by its pause
			    and by what else keeps it from use; INT64_MAX: that
			    is not known of any */
};

/* Zero endpoints. */
#define PAUSE_STATE_INIT                                                       \
	{                                                                      \
		.back_us = INT64_MAX                                           \
	}

/*
 * Adds a serving endpoint that is not usable: paused until paused_until_us and
 * avoided until avoided_until_us; times that are over do not count.
 */
void pause_add_endpoint(struct pause_state *s, int64_t paused_until_us,
			int64_t avoided_until_us, int64_t now);

/*
 * Returns the time after which the caller of a request, for which no endpoint
 * is usable and which may wait until wait_end_us, is to come back; 0 if the
 * request may wait.
 */
int64_t pause_refuse_after(const struct pause_state *s, int64_t wait_end_us,
			   int64_t now);

#endif
