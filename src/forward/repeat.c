#include "forward/repeat.h"

#include <glib.h>

/* Attempts of one request that may reach no endpoint and are not charged, even
 * if no endpoint is left to try. */
#define FREE_DELIVERIES_MAX 3

/* Failures elsewhere are known after 0.1 s (usage_interval.h). */
#define BACKOFF_MIN_US 20000
#define BACKOFF_MAX_US 160000

/* Part of the time left that one wait may take. */
#define BACKOFF_DIVISOR 8

enum repeat_verdict repeat_decide(const struct repeat_facts *f)
{
	if (f->left_us < REPEAT_LEFT_MIN_US)
		return REPEAT_NO;
	if (!f->delivered)
		return f->untried || f->failed_deliveries <= FREE_DELIVERIES_MAX
			       ? REPEAT_FREE
			       : REPEAT_CHARGED;
	if (f->may_have_run &&
	    (!f->may_run_again || f->attempts >= f->max_attempts))
		return REPEAT_NO;
	return f->attempts > f->max_attempts ? REPEAT_NO : REPEAT_CHARGED;
}

int64_t repeat_backoff_us(unsigned int failed_deliveries, int64_t left_us)
{
	if (failed_deliveries < FREE_DELIVERIES_MAX)
		return 0;
	unsigned int doublings =
		MIN(failed_deliveries - FREE_DELIVERIES_MAX, 3u);
	return MIN(MIN(BACKOFF_MIN_US << doublings, BACKOFF_MAX_US),
		   MAX(left_us, 0) / BACKOFF_DIVISOR);
}
