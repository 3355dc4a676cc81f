#include "base/hlc.h"

uint64_t hlc_now(struct hlc *c, int64_t wall_us)
{
	uint64_t t = (uint64_t)wall_us << HLC_COUNTER_BITS;

	c->last = t > c->last ? t : c->last + 1;
	return c->last;
}

void hlc_observe(struct hlc *c, int64_t wall_us, uint64_t stamp)
{
	if (hlc_wall_us(stamp) > wall_us + HLC_MAX_AHEAD_US)
		return;
	if (stamp > c->last)
		c->last = stamp;
}
