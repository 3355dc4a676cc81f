#include "forward/crashes.h"

#include <string.h>

#include "base/err.h"
#include "obs/slog.h"

/*
 * Requests that wait for an endpoint with room, by rank.
 *
 * Generations may arrive for some seconds at twice the rate that endpoints can
 * take.  Each host then places them within a quota of the free room (quota.h).
 * A request that would wait too long is refused at once, so that its caller has
 * time to retry.
 */

/*
 * A request waits for room for its route's target latency divided by this.
 * After a longer wait it could not be answered in time, while a caller that is
 * refused may retry on another host.
 */
#define WAIT_DIVISOR 6

/*
 * Requests of one route that may wait on one host before an urgent generation
 * of that route is refused.  All hosts together start about six a second while
 * endpoints are full, so more would wait too long.
 */
#define URGENT_ROUTE_QUEUE_MAX 3

/* Requests that may wait on one host; further ones are refused at once. */
#define QUEUE_MAX 256

static void enqueue_waiting(struct request *r)
{
	struct fwd *f = r->fwd;
	struct list *pos;

	r->state = REQUEST_WAITING;
	/* The list is sorted by rank, then by time of arrival. */
	for (pos = f->waiting.prev; pos != &f->waiting; pos = pos->prev) {
		struct request *other =
			list_entry(pos, struct request, wait_node);
		if (other->rank < r->rank ||
		    (other->rank == r->rank &&
		     other->arrived_us <= r->arrived_us))
			break;
	}
	list_add(pos, &r->wait_node);
	f->n_waiting++;
}

/* Whether the request is placed only within the host's quota (quota.h). */
static bool is_deferrable(const struct request *r)
{
	return r->generation && !request_is_urgent(r);
}

uint64_t request_queued_tokens(struct fwd *f, const char *service)
{
	struct request *r;
	uint64_t tokens = 0;

	list_for_each_entry (r, &f->waiting, wait_node)
		if (is_deferrable(r) && !r->held &&
		    !strcmp(r->service->name, service))
			tokens += r->need_tokens;
	return tokens;
}

static uint64_t queued_elsewhere_tokens(const struct fwd *f,
					const struct service_state *s,
					uint64_t own_tokens, int64_t now)
{
	return quota_queued_elsewhere(own_tokens, s->queued_elsewhere_tokens,
				      now - f->totals_received_us, f->n_hosts);
}

/*
 * Takes the tokens of the request from the host's quota of `room`; false if the
 * quota of this round is used up.  A new request, which is not in the queue
 * yet, is counted as queued.
 */
static bool take_quota(struct request *r, uint64_t room_tokens, int64_t now)
{
	struct fwd *f = r->fwd;
	struct service_state *s = endpoints_service_state(f, r->service->name);
	bool queued = r->wait_node.next != &r->wait_node;
	uint64_t own_tokens = request_queued_tokens(f, r->service->name) +
			      (queued ? 0 : r->need_tokens);

	quota_begin_round(&s->quota, room_tokens, own_tokens,
			  queued_elsewhere_tokens(f, s, own_tokens, now), now);
	return quota_take(&s->quota, r->need_tokens, g_rand_double(f->rand));
}

/*
 * Sends the request to an endpoint that has room for it; false if none has, or
 * if the quota of this round is used up.  *any_usable tells whether an endpoint
 * is usable at all.
 */
static bool try_place(struct request *r, int64_t now, bool *any_usable)
{
	struct fwd *f = r->fwd;
	struct fwd_endpoint *ep;

	if (is_deferrable(r)) {
		struct place_capacity capacity = request_capacity(r, now);
		*any_usable = capacity.memory_tokens > 0;
		r->no_usable_endpoint = !*any_usable;
		if (!*any_usable || !take_quota(r, capacity.room_tokens, now))
			return false;
	}
	ep = request_choose_endpoint(r, r->previous_endpoint_id, f->conf->dc,
				     any_usable, now);
	/* No other endpoint is usable: try the previous one again. */
	if (!ep && *r->previous_endpoint_id && !*any_usable)
		ep = request_choose_endpoint(r, "", f->conf->dc, any_usable,
					     now);
	r->no_usable_endpoint = !*any_usable;
	if (!ep)
		return false;
	if (r->wait_node.next != &r->wait_node) {
		list_del(&r->wait_node);
		f->n_waiting--;
	}
	request_send(r, ep, now);
	return true;
}

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
	return r->route->target_latency_us / WAIT_DIVISOR;
}

/* Logs the figures by which a request does not wait, or waits no longer. */
static void log_queue_state(struct request *r, const char *kind, int64_t now)
{
	struct fwd *f = r->fwd;
	const struct service_state *s =
		endpoints_service_state(f, r->service->name);
	uint64_t own_tokens = request_queued_tokens(f, r->service->name);
	struct place_capacity capacity = request_capacity(r, now);
	struct slog l = slog_begin(kind);

	slog_str(&l, "request", r->ask.id);
	slog_int(&l, "need_tokens", (int64_t)r->need_tokens);
	slog_int(&l, "queued_here_tokens", (int64_t)own_tokens);
	slog_int(&l, "queued_elsewhere_tokens",
		 (int64_t)queued_elsewhere_tokens(f, s, own_tokens, now));
	slog_int(&l, "room_tokens", (int64_t)capacity.room_tokens);
	slog_int(&l, "memory_tokens", (int64_t)capacity.memory_tokens);
	slog_int(&l, "endpoints", capacity.usable);
	slog_int(&l, "full", capacity.full);
	slog_int(&l, "with_queue", capacity.queueing);
	slog_int(&l, "reading", capacity.prefilling);
	slog_int(&l, "turn_left_tokens", (int64_t)s->quota.left_tokens);
	slog_int(&l, "wait_max_us", wait_max_us(r));
	slog_int(&l, "sums_age_us", now - f->totals_received_us);
	slog_end(&l);
}

/*
 * Whether a new request would wait too long, given what already waits: on all
 * hosts for a deferrable generation, on this one for an urgent one.
 */
static bool would_wait_too_long(struct request *r, int64_t now)
{
	struct fwd *f = r->fwd;
	const struct service_state *s =
		endpoints_service_state(f, r->service->name);

	if (!r->generation)
		return false;
	if (!is_deferrable(r))
		return count_waiting_on_route(r) >= URGENT_ROUTE_QUEUE_MAX;
	uint64_t own_tokens = request_queued_tokens(f, r->service->name);
	uint64_t elsewhere_tokens =
		queued_elsewhere_tokens(f, s, own_tokens, now);
	uint64_t memory_tokens = request_capacity(r, now).memory_tokens;

	if (quota_wait_is_worthwhile(own_tokens + elsewhere_tokens,
				     memory_tokens, wait_max_us(r)))
		return false;
	log_queue_state(r, "queue_too_long", now);
	return true;
}

/* Judges the request; one that is refused is freed. */
static enum blame_verdict judge(struct request *r, struct crashes_finding *f,
				int64_t now)
{
	enum blame_verdict v = crashes_judge(r, f);
	bool was_held = r->held;

	/* Its own trial is still to be delivered. */
	if (v == BLAME_HOLD && r->trial)
		v = BLAME_SEND;
	r->held = v == BLAME_HOLD;
	if (v != BLAME_REFUSE && (!r->held || was_held))
		return v;
	struct slog l = slog_begin(r->held ? "held" : "blamed");
	slog_str(&l, "request", r->ask.id);
	slog_int(&l, "crashes", f->crashes);
	slog_str(&l, "trait", f->trait);
	slog_end(&l);
	if (v == BLAME_REFUSE)
		request_refuse(r, -MW_EPOISON, "crashes endpoints", now);
	return v;
}

/* Places a request that is not held back. */
static bool place_judged(struct request *r, enum blame_verdict v,
			 const struct crashes_finding *finding,
			 bool *any_usable, int64_t now)
{
	struct fwd *f = r->fwd;
	bool was_trial = r->trial;

	r->trial = was_trial || v == BLAME_TRY;
	if (!try_place(r, now, any_usable)) {
		r->trial = was_trial;
		return false;
	}
	if (v == BLAME_TRY)
		crashes_trial_sent(f, finding);
	return true;
}

/* Refuses and frees a request if endpoints asked for a pause and none is usable
 * before the request has waited too long. */
static bool refuse_if_paused(struct request *r, int64_t now)
{
	struct pause_state s = endpoints_pauses(r->fwd, r->service->name, now);

	r->back_after_us =
		pause_refuse_after(&s, r->arrived_us + wait_max_us(r), now);
	if (!r->back_after_us)
		return false;
	request_refuse(r, -MW_ENOENDPOINT, "all endpoints are paused", now);
	return true;
}

void request_place(struct request *r, int64_t now)
{
	bool any_usable = true;
	struct crashes_finding finding;
	enum blame_verdict v = judge(r, &finding, now);

	if (v == BLAME_REFUSE)
		return;

	if (r->deadline_us - now < REQUEST_LEFT_MIN_US) {
		request_refuse(r, -MW_EDEADLINE, "no time left", now);
		return;
	}
	if (v != BLAME_HOLD && place_judged(r, v, &finding, &any_usable, now))
		return;
	if (!any_usable && refuse_if_paused(r, now))
		return;
	if (r->fwd->n_waiting >= QUEUE_MAX ||
	    (v != BLAME_HOLD && any_usable && would_wait_too_long(r, now))) {
		request_refuse(r, -MW_EQUEUEFULL, "queue is full", now);
		return;
	}
	if (v != BLAME_HOLD)
		request_log(r, "queued", any_usable ? "full" : "no endpoint",
			    now);
	enqueue_waiting(r);
}

void request_place_waiting(struct fwd *f, int64_t now)
{
	struct request *r, *tmp;
	bool any_usable;

	list_for_each_entry_safe (r, tmp, &f->waiting, wait_node) {
		struct crashes_finding finding;
		enum blame_verdict v = judge(r, &finding, now);

		if (v == BLAME_SEND || v == BLAME_TRY)
			place_judged(r, v, &finding, &any_usable, now);
	}
}

void request_tick(struct fwd *f, int64_t now)
{
	struct request *r, *tmp;

	request_place_waiting(f, now);
	list_for_each_entry_safe (r, tmp, &f->requests, node) {
		relay_tick(r, now);
		if (r->move.state != MOVE_NONE)
			move_tick(r, now);
	}
	list_for_each_entry_safe (r, tmp, &f->waiting, wait_node) {
		if (now - r->arrived_us < wait_max_us(r))
			continue;
		if (r->generation && !r->held)
			log_queue_state(r, "no_room", now);
		request_refuse(r,
			       r->no_usable_endpoint ? -MW_ENOENDPOINT
						     : -MW_EQUEUEFULL,
			       r->held ? "held back" : "no room in time", now);
	}
}
