#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/*
 * Time is int64_t microseconds.  Monotonic time drives leases and timeouts;
 * wall time is used only for values that outlive or leave the process:
 * displayed timestamps, hybrid logical clock stamps, record times and
 * incarnations.  Only event-loop code reads a clock; decision functions take
 * `now` as an argument.
 */
#define USEC_PER_MSEC INT64_C(1000)
#define USEC_PER_SEC INT64_C(1000000)

/*
 * Tolerated relative difference between the clock rates of two hosts.  Quartz
 * clocks drift by less than 0.1%; the rest covers virtual machines whose clock
 * is slewed.
 */
#define CLOCK_DRIFT_PERCENT 2

int64_t clock_mono_us(void);
int64_t clock_wall_us(void);

/*
 * Extends a duration by the tolerated drift.  Once the result has elapsed on
 * the local clock, `us` has elapsed on the clock of any other host.
 */
static inline int64_t clock_with_drift(int64_t us)
{
	return us + us * CLOCK_DRIFT_PERCENT / 100;
}

#endif
