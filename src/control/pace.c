#include "control/pace.h"

#include <glib.h>

#include "base/clock.h"
#include "base/err.h"

bool pace_may_start_load(const struct store_pace *p, int64_t now)
{
	return !p->unanswered && now >= p->store_free_us;
}

void pace_start_load(struct store_pace *p, int64_t now, int64_t load_us)
{
	p->store_free_us = MAX(p->store_free_us, now) + load_us;
	p->unanswered += load_us > 0;
}

void pace_end_order(struct store_pace *p, int64_t now, int64_t load_us,
		    bool loads)
{
	if (load_us <= 0 || !p->unanswered)
		return;
	p->unanswered--;
	if (loads)
		p->store_free_us = MAX(p->store_free_us, now + load_us);
}

/* Time that the loads of a former leader may still need. */
struct load_estimate {
	uint64_t now_ms; /* wall clock */
	pace_load_us_fn load_us;
	void *ctx;
	int64_t running_us;	/* until the last load with a result ends */
	int64_t unconfirmed_us; /* sum of the loads without a result */
};

static void add_done_order(const Mw__SnapOrder *order, void *arg)
{
	struct load_estimate *t = arg;
	int64_t left_us;

	if (order->err && order->err != -MW_EUNKNOWN)
		return;
	/*
	 * Counts from the time of the result, which is an upper bound: the load
	 * began when the order was received, before its result was recorded.
	 * A wall clock that was set back does not extend it.  Both stamps are
	 * truncated, so up to a millisecond less may have passed.
	 */
	left_us = t->load_us(order->intent, t->ctx);
	if (t->now_ms > order->done_ms)
		left_us -= (int64_t)(t->now_ms - order->done_ms - 1) *
			   USEC_PER_MSEC;
	t->running_us = MAX(t->running_us, left_us);
}

static void add_open_order(const Mw__SnapOrder *order, void *arg)
{
	struct load_estimate *t = arg;

	t->unconfirmed_us += t->load_us(order->intent, t->ctx);
}

void pace_take_over(struct store_pace *p, int64_t now, uint64_t now_ms,
		    const struct orders *orders, pace_load_us_fn load_us,
		    void *ctx)
{
	struct load_estimate t = {
		.now_ms = now_ms, .load_us = load_us, .ctx = ctx};

	order_for_each_done(orders, add_done_order, &t);
	order_for_each_open(orders, add_open_order, &t);
	p->store_free_us = now + t.running_us + t.unconfirmed_us;
	p->unanswered = 0;
}
