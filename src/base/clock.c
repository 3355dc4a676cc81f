#include "base/clock.h"

#include <time.h>

static int64_t clock_read(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

int64_t clock_mono_us(void)
{
	/* CLOCK_BOOTTIME includes suspend, so leases of a suspended host
	 * expire. */
	return clock_read(CLOCK_BOOTTIME);
}

int64_t clock_wall_us(void)
{
	return clock_read(CLOCK_REALTIME);
}
