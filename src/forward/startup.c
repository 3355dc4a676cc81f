#include "forward/startup.h"

#include <glib.h>

#include "base/clock.h"

/* Part of the caller's time that it may wait; the rest is for the answer, or
 * for another try. */
#define WAIT_DIVISOR 2

/* Time left of a caller that has named no deadline. */
#define TIME_LEFT_DEFAULT_US (2 * USEC_PER_SEC)

int64_t startup_wait_us(int64_t start_us, int64_t time_left_us, int64_t now)
{
	int64_t learning_us = start_us + STARTUP_US - now;

	if (time_left_us <= 0)
		time_left_us = TIME_LEFT_DEFAULT_US;
	return CLAMP(learning_us, 0, time_left_us / WAIT_DIVISOR);
}
