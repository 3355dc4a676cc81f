#ifndef OBS_WINDOW_H
#define OBS_WINDOW_H

#include <stdint.h>

#include "base/clock.h"

/*
 * Sliding sum over about the last minute, in slots of 5 s: the current slot and
 * the 11 before it, which cover 55 to 60 s.  A zeroed struct is an empty
 * window.  `now` is in microseconds.
 */

#define WINDOW_SLOTS 12
#define WINDOW_SLOT_US (5 * USEC_PER_SEC)

struct minute_window {
	int64_t slot[WINDOW_SLOTS]; /* time / WINDOW_SLOT_US of each sum */
	uint64_t sum[WINDOW_SLOTS];
};

void minute_window_add(struct minute_window *w, uint64_t n, int64_t now);
uint64_t minute_window_sum(const struct minute_window *w, int64_t now);

#endif
