#include "forward/request.h"

#include <string.h>

#include "base/err.h"
#include "obs/slog.h"

/*
 * Requests that wait for an endpoint with room, by rank.
 *
 * The load that it answers: reports come at twice the rate that endpoints can
 * take for some seconds.  They start in turns over all hosts (turn.h); what
 * would wait too long is refused at once, so that its caller may come back.
 */

/*
 * A request waits for room at most this part of the time to the answer that
 * its caller aims at: later it could not be answered in time, and a caller
 * that is refused may come back elsewhere.
 */
#define WAIT_PART 6

/*
 * Generations of one route that wait on one host.  All hosts together start
 * some six a second when endpoints are full, so more would wait too long.
 */
#define WAIT_ROUTE_MAX 3

/* Requests that wait on one host; more are refused at once. */
#define WAITING_MAX 256

static void enqueue_waiting(struct request *r)
{
	struct fwd *f = r->fwd;
	struct list *at;

	r->state = REQUEST_WAITING;
	/* In order of rank, then of arrival. */
	for (at = f->waiting.prev; at != &f->waiting; at = at->prev) {
		struct request *o = list_entry(at, struct request, wait_node);
		if (o->rank < r->rank ||
		    (o->rank == r->rank && o->arrived_us <= r->arrived_us))
			break;
	}
	list_add(at, &r->wait_node);
	f->n_waiting++;
}

/* Whether it waits its turn among the requests of all hosts. */
static bool is_deferrable(const struct request *r)
{
	return r->generation && !request_is_urgent(r);
}

uint64_t request_queued_tokens(struct fwd *f, const char *service)
{
	struct request *r;
	uint64_t tokens = 0;

	list_for_each_entry (r, &f->waiting, wait_node)
		if (is_deferrable(r) && !strcmp(r->service->name, service))
			tokens += r->need_tokens;
	return tokens;
}

static uint64_t queued_elsewhere_tokens(const struct fwd *f,
					const struct service_state *s,
					uint64_t own, int64_t now)
{
	return quota_queued_elsewhere(own, s->queued_elsewhere_tokens,
				      now - f->totals_received_us, f->n_hosts);
}

/* A request that is not in the queue counts as if it were. */
static bool take_quota(struct request *r, uint64_t room, int64_t now)
{
	struct fwd *f = r->fwd;
	struct service_state *s = endpoints_service_state(f, r->service->name);
	bool queued = r->wait_node.next != &r->wait_node;
	uint64_t own = request_queued_tokens(f, r->service->name) +
		       (queued ? 0 : r->need_tokens);

	quota_begin_round(&s->quota, room, own,
			  queued_elsewhere_tokens(f, s, own, now), now);
	return quota_take(&s->quota, r->need_tokens, g_rand_double(f->rand));
}

/* Returns whether the request was placed; *any whether an endpoint serves. */
static bool try_place(struct request *r, int64_t now, bool *any)
{
	struct fwd *f = r->fwd;
	struct fwd_endpoint *ep;

	if (is_deferrable(r)) {
		struct place_capacity sums = request_capacity(r, now);
		*any = sums.memory_tokens > 0;
		r->no_usable_endpoint = !*any;
		if (!*any || !take_quota(r, sums.room_tokens, now))
			return false;
	}
	ep = request_choose_endpoint(r, r->previous_endpoint_id, f->conf->dc,
				     any, now);
	/* The endpoint that refused is better than none. */
	if (!ep && *r->previous_endpoint_id && !*any)
		ep = request_choose_endpoint(r, "", f->conf->dc, any, now);
	r->no_usable_endpoint = !*any;
	if (!ep)
		return false;
	if (r->wait_node.next != &r->wait_node) {
		list_del(&r->wait_node);
		f->n_waiting--;
	}
	request_send(r, ep, now);
	return true;
}

/* Requests of the same route that wait already. */
static unsigned int count_waiting_on_route(const struct request *r)
{
	struct request *o;
	unsigned int n = 0;

	list_for_each_entry (o, &r->fwd->waiting, wait_node)
		n += o->route == r->route;
	return n;
}

static int64_t wait_max_us(const struct request *r)
{
	return r->route->aim_us / WAIT_PART;
}

/* What decided that a request does not wait, or waits no longer. */
static void log_queue_state(struct request *r, const char *kind, int64_t now)
{
	struct fwd *f = r->fwd;
	const struct service_state *s =
		endpoints_service_state(f, r->service->name);
	uint64_t own = request_queued_tokens(f, r->service->name);
	struct place_capacity sums = request_capacity(r, now);
	struct slog l = slog_begin(kind);

	slog_str(&l, "request", r->ask.id);
	slog_int(&l, "need_tokens", (int64_t)r->need_tokens);
	slog_int(&l, "queued_here_tokens", (int64_t)own);
	slog_int(&l, "queued_elsewhere_tokens",
		 (int64_t)queued_elsewhere_tokens(f, s, own, now));
	slog_int(&l, "room_tokens", (int64_t)sums.room_tokens);
	slog_int(&l, "memory_tokens", (int64_t)sums.memory_tokens);
	slog_int(&l, "endpoints", sums.usable);
	slog_int(&l, "full", sums.full);
	slog_int(&l, "with_queue", sums.queueing);
	slog_int(&l, "reading", sums.prefilling);
	slog_int(&l, "turn_left_tokens", (int64_t)s->quota.left_tokens);
	slog_int(&l, "wait_max_us", wait_max_us(r));
	slog_int(&l, "sums_age_us", now - f->totals_received_us);
	slog_end(&l);
}

/* Whether it would wait too long behind the queues of all hosts. */
static bool would_wait_too_long(struct request *r, int64_t now)
{
	struct fwd *f = r->fwd;
	const struct service_state *s =
		endpoints_service_state(f, r->service->name);

	if (!r->generation)
		return false;
	if (!is_deferrable(r))
		return count_waiting_on_route(r) >= WAIT_ROUTE_MAX;
	uint64_t own = request_queued_tokens(f, r->service->name);
	uint64_t others = queued_elsewhere_tokens(f, s, own, now);
	uint64_t memory = request_capacity(r, now).memory_tokens;

	if (quota_wait_is_worthwhile(own + others, memory, wait_max_us(r)))
		return false;
	log_queue_state(r, "queue_too_long", now);
	return true;
}

void request_place(struct request *r, int64_t now)
{
	bool any;

	if (r->deadline_us - now < REQUEST_LEFT_MIN_US) {
		request_refuse(r, -MW_EDEADLINE, "no time left", now);
		return;
	}
	if (try_place(r, now, &any))
		return;
	if (r->fwd->n_waiting >= WAITING_MAX ||
	    (any && would_wait_too_long(r, now))) {
		request_refuse(r, -MW_EQUEUEFULL, "queue is full", now);
		return;
	}
	request_log(r, "queued", any ? "full" : "no endpoint", now);
	enqueue_waiting(r);
}

void request_place_waiting(struct fwd *f, int64_t now)
{
	struct request *r, *tmp;
	bool any;

	list_for_each_entry_safe (r, tmp, &f->waiting, wait_node)
		try_place(r, now, &any);
}

void request_tick(struct fwd *f, int64_t now)
{
	struct request *r, *tmp;

	request_place_waiting(f, now);
	list_for_each_entry_safe (r, tmp, &f->requests, node)
		if (r->move.state != MOVE_NONE)
			move_tick(r, now);
	list_for_each_entry_safe (r, tmp, &f->waiting, wait_node) {
		if (now - r->arrived_us < wait_max_us(r))
			continue;
		if (r->generation)
			log_queue_state(r, "no_room", now);
		request_refuse(r,
			       r->no_usable_endpoint ? -MW_ENOENDPOINT
						     : -MW_EQUEUEFULL,
			       "no room in time", now);
	}
}
