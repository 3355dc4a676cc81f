#include "forward/health.h"

/* Begins a new window if the present one is over. */
static void rotate_window(struct health *h, int64_t now)
{
	int64_t age = now - h->window_start_us;

	if (age < HEALTH_WINDOW_US)
		return;
	h->previous_failed = age < 2 * HEALTH_WINDOW_US ? h->failed : 0;
	h->previous_succeeded = age < 2 * HEALTH_WINDOW_US ? h->succeeded : 0;
	h->failed = h->succeeded = 0;
	h->window_start_us = now;
}

void health_record_failure(struct health *h, int64_t now)
{
	rotate_window(h, now);
	h->failed++;
}

void health_record_success(struct health *h, int64_t now)
{
	rotate_window(h, now);
	h->succeeded++;
}

unsigned int health_recent_failures(const struct health *h, int64_t now)
{
	struct health current = *h;

	rotate_window(&current, now);
	return current.failed + current.previous_failed;
}

unsigned int health_recent_successes(const struct health *h, int64_t now)
{
	struct health current = *h;

	rotate_window(&current, now);
	return current.succeeded + current.previous_succeeded;
}
