#ifndef BASE_HLC_H
#define BASE_HLC_H

#include <stdint.h>

/*
 * Hybrid logical clock: wall time in microseconds in the upper 52 bits, a
 * counter in the lower 12.  Stamps order events of several processes causally.
 */
struct hlc {
	uint64_t last;
};

#define HLC_COUNTER_BITS 12

/*
 * A stamp from another process that is further ahead of local wall time than
 * this is ignored, so that one wrong clock cannot advance all clocks.
 */
#define HLC_MAX_AHEAD_US INT64_C(60000000)

/*
 * Returns a stamp greater than every stamp returned or accepted before; wall_us
 * is the current wall time.
 */
uint64_t hlc_now(struct hlc *c, int64_t wall_us);

/*
 * Advances the clock to a stamp received from another process, unless the stamp
 * is more than HLC_MAX_AHEAD_US ahead of wall_us.
 */
void hlc_observe(struct hlc *c, int64_t wall_us, uint64_t stamp);

static inline int64_t hlc_wall_us(uint64_t stamp)
{
	return (int64_t)(stamp >> HLC_COUNTER_BITS);
}

#endif
