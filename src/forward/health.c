#include "forward/health.h"

/* One or two failures may be a link's, or an endpoint's that just ended. */
#define FAILED_MIN 3

static void turn_window(struct health *h, int64_t now)
{
	int64_t age = now - h->window_us;

	if (age < HEALTH_WINDOW_US)
		return;
	h->failed_before = age < 2 * HEALTH_WINDOW_US ? h->failed : 0;
	h->worked_before = age < 2 * HEALTH_WINDOW_US ? h->worked : 0;
	h->failed = h->worked = 0;
	h->window_us = now;
}

void health_failed(struct health *h, int64_t now)
{
	turn_window(h, now);
	h->failed++;
}

void health_worked(struct health *h, int64_t now)
{
	turn_window(h, now);
	h->worked++;
}

unsigned int health_recent_failed(const struct health *h, int64_t now)
{
	struct health now_h = *h;

	turn_window(&now_h, now);
	return now_h.failed + now_h.failed_before;
}

unsigned int health_recent_worked(const struct health *h, int64_t now)
{
	struct health now_h = *h;

	turn_window(&now_h, now);
	return now_h.worked + now_h.worked_before;
}

bool health_is_bad(const struct health *h, int64_t now)
{
	unsigned int failed = health_recent_failed(h, now) + h->others_failed;
	unsigned int worked = health_recent_worked(h, now) + h->others_worked;

	return failed >= FAILED_MIN && failed > worked;
}
