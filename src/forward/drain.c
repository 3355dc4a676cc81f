#include "forward/drain.h"

#include <glib.h>

#include "base/clock.h"

/*
 * Time after SIGTERM for which the host still accepts connections, while it
 * reports that it is not ready; longer than DRAIN_CHOSEN_US, as an opening
 * packet may be sent again.  At most half of the time that there is.
 */
#define QUIESCE_US (3500 * USEC_PER_MSEC)

/* Time in which final answers are sent before the process ends; at most a
 * quarter of the time that there is. */
#define ANSWER_US (250 * USEC_PER_MSEC)

void drain_begin(struct drain *d, int64_t limit_us, int64_t now)
{
	d->active = true;
	d->start_us = now;
	d->end_us = now + limit_us;
	d->quiesce_us = now + MIN(QUIESCE_US, limit_us / 2);
	d->answer_us = d->end_us - MIN(ANSWER_US, limit_us / 4);
}

bool drain_admits(const struct drain *d, int64_t deadline_us,
		  int64_t forecast_us, int64_t now)
{
	if (!d->active || deadline_us <= d->answer_us)
		return true;
	if (now - d->start_us >= DRAIN_CHOSEN_US)
		return false;
	return forecast_us && forecast_us < d->answer_us;
}
