#include "entry/aside.h"

#include "base/clock.h"
#include "base/err.h"
#include "obs/stats.h"

/* The pump runs for each event; loans arrive at most 4 times a second. */
#define TRY_INTERVAL_US (20 * USEC_PER_MSEC)

bool aside_has_own_endpoint(const struct request *r)
{
	struct entry *e = r->entry;

	return route_has_local(e->route, r->model) && !remote_must_borrow(e);
}

bool aside_holds(const struct request *r)
{
	return r->aside;
}

bool aside_take(struct request *r, int err, int64_t now)
{
	if (err != -MW_ENOENDPOINT || !request_is_restricted(r) ||
	    aside_has_own_endpoint(r) || dispatch_may_place(r, now))
		return false;
	if (r->pool->n_aside >= ASIDE_MAX) {
		request_fail(r, -MW_EQUEUEFULL,
			     "too many requests wait for a loan", 1);
		return true;
	}
	/* The queue's limit, which later changes of settings do not move. */
	if (!r->aside_until_us)
		r->aside_until_us = (int64_t)r->item.expiry_node.key;
	r->entry->queue_ops->remove(r->pool->queue, &r->item, now);
	r->in_queue = false;
	r->aside = true;
	r->pool->n_aside++;
	list_add_tail(&r->pool->aside, &r->aside_node);
	entry_event(r->entry, EV_KIND_QUEUED, r->id, r->account, NULL,
		    "waits for a loan in its regions, others pass it");
	stats_waits_for_loan(r->rank);
	return true;
}

void aside_drop(struct request *r)
{
	if (!r->aside)
		return;
	list_del(&r->aside_node);
	r->pool->n_aside--;
	r->aside = false;
}

static bool end_if_overdue(struct request *r, int64_t now)
{
	if (dispatch_refuse_if_hopeless(r, now) ||
	    remote_refuse_overdue(r, -MW_ENOENDPOINT, now))
		return true;
	if (now < r->aside_until_us)
		return false;
	dispatch_refuse_expired(r);
	return true;
}

/* The queue may be full by now: then the request goes on waiting here. */
static void put_back(struct request *r, int64_t now)
{
	unsigned int retry_after = 1;
	int err;

	/* Else its age would be counted anew. */
	r->item.deadline_us = r->aside_until_us;
	err = r->entry->queue_ops->push(r->pool->queue, &r->item, now,
					&retry_after);

	if (err == -MW_EQUEUEFULL)
		return;
	if (err < 0) {
		request_fail(r, err, NULL, retry_after);
		return;
	}
	aside_drop(r);
	r->in_queue = true;
	r->dispatched = false;
}

void aside_return(struct pool *p, int64_t now)
{
	struct request *r, *tmp;

	if (list_empty(&p->aside) || now - p->aside_tried_us < TRY_INTERVAL_US)
		return;
	p->aside_tried_us = now;
	list_for_each_entry_safe (r, tmp, &p->aside, aside_node)
		if (!end_if_overdue(r, now) && dispatch_may_place(r, now))
			put_back(r, now);
	if (!list_empty(&p->aside))
		session_report_soon(p->entry, !aside_first(p)->rank, now);
}

const struct request *aside_first(const struct pool *p)
{
	return list_empty(&p->aside)
		       ? NULL
		       : list_first(&p->aside, struct request, aside_node);
}

size_t aside_count(const struct pool *p, unsigned int rank, size_t *bytes)
{
	const struct request *r;
	size_t n = 0;

	list_for_each_entry (r, &p->aside, aside_node) {
		if (r->rank != rank)
			continue;
		n++;
		if (bytes)
			*bytes += r->item.bytes;
	}
	return n;
}
