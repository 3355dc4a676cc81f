#include "forward/crashes.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "forward/regions.h"
#include "forward/repeat.h"
#include "obs/counter.h"
#include "obs/slog.h"

/*
 * Requests that wait for an endpoint with room, by rank.
 *
 * Generations may arrive for some seconds at twice the rate that endpoints can
 * take.  Each host then places them within a quota of the free room (quota.h).
 * A request that would wait too long is refused at once, so that its caller has
 * time to retry.
 *
 * While room is short, client accounts share it (account_share.h): the quota of
 * a host is divided among the accounts of its queue, requests of equal rank go
 * by what their accounts use, and a request of an account within its share is
 * not refused while one of an account above its share waits here.  Urgent
 * generations precede deferrable ones of equal rank then.
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

/* Interval at which the order of the queue by account is computed again; sums
 * of other hosts arrive every 0.1 s. */
#define ORDER_INTERVAL_US (100 * USEC_PER_MSEC)

/* Shortest time between two log lines on the shares of one service. */
#define SHARE_LOG_INTERVAL_US (1 * USEC_PER_SEC)

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

struct demands request_queued(struct fwd *f, const char *service)
{
	struct demands d = {0};
	struct request *r;

	list_for_each_entry (r, &f->waiting, wait_node)
		if (is_deferrable(r) && !r->held && !r->displaced &&
		    !strcmp(r->service->name, service))
			demand_add(&d, request_residency(r), r->need_tokens);
	return d;
}

static struct demands queued_elsewhere(const struct fwd *f,
				       const struct service_state *s,
				       const struct demands *own, int64_t now)
{
	const struct demands *there = &s->queued_elsewhere;
	int64_t age_us = now - f->totals_received_us;
	struct demands d = {0};

	for (size_t i = 0; i < own->n; i++)
		if (own->list[i].tokens)
			demand_add(&d, &own->list[i].allowed,
				   quota_queued_elsewhere(
					   own->list[i].tokens,
					   demand_same(there,
						       &own->list[i].allowed),
					   age_us, f->n_hosts));
	for (size_t i = 0; i < there->n; i++)
		if (!demand_same(own, &there->list[i].allowed))
			demand_add(&d, &there->list[i].allowed,
				   quota_queued_elsewhere(0,
							  there->list[i].tokens,
							  age_us, f->n_hosts));
	return d;
}

/* The work queued on all hosts, given that of this one. */
static struct demands queued_everywhere(const struct fwd *f,
					const struct service_state *s,
					const struct demands *own, int64_t now)
{
	struct demands d = queued_elsewhere(f, s, own, now);

	for (size_t i = 0; i < own->n; i++)
		demand_add(&d, &own->list[i].allowed, own->list[i].tokens);
	return d;
}

/* The quota of the set of regions; further sets share the last one. */
static struct region_quota *quota_of(struct service_state *s,
				     const struct residency *allowed)
{
	size_t i = 0;

	while (i < s->n_quotas &&
	       !residency_equal(&s->quotas[i].allowed, allowed))
		i++;
	if (i == DEMANDS_MAX)
		return &s->quotas[i - 1];
	if (i == s->n_quotas)
		s->quotas[s->n_quotas++] =
			(struct region_quota){.allowed = *allowed};
	return &s->quotas[i];
}

/* Logs the account that asks for most above its share. */
static void log_shares(struct request *r, const struct account_claims *c,
		       double amount, double level, int64_t now)
{
	struct fwd *f = r->fwd;
	struct accounts *a =
		&endpoints_service_state(f, r->service->name)->accounts;
	size_t most = 0;

	if (a->logged_us && now - a->logged_us < SHARE_LOG_INTERVAL_US)
		return;
	a->logged_us = now;
	for (size_t i = 1; i < c->n; i++)
		if (account_share_excess(&c->claims[i]) >
		    account_share_excess(&c->claims[most]))
			most = i;
	struct slog l = slog_begin("account_share");
	slog_str(&l, "service", r->service->name);
	slog_int(&l, "accounts", (int64_t)c->n);
	slog_int(&l, "queued_tokens", (int64_t)c->queued);
	slog_int(&l, "divided_tokens", (int64_t)amount);
	slog_int(&l, "level_tokens", (int64_t)level);
	slog_str(&l, "account", c->states[most]->name);
	slog_int(&l, "account_used", (int64_t)c->claims[most].used);
	slog_int(&l, "account_queued", (int64_t)c->claims[most].queued);
	slog_int(&l, "account_granted", (int64_t)c->claims[most].granted);
	slog_int(&l, "sums_age_us", now - f->totals_received_us);
	slog_end(&l);
}

/* Divides the quota of a new round among the accounts that have requests here;
 * `part` of the work that is queued may be placed in the round. */
static void divide_quota(struct request *r, struct region_quota *rq,
			 double part, int64_t now)
{
	struct account_claims c;

	rq->n_accounts = 0;
	if (rq->quota.enough_for_all || !r->fwd->conf->account_shares)
		return;
	accounts_gather(&c, r, now);
	if (c.n > 1) {
		double amount = part * c.queued;
		double level = account_share_divide(c.claims, c.n, amount);

		log_shares(r, &c, amount, level, now);
		rq->accounts = g_renew(struct account_quota, rq->accounts, c.n);
	}
	for (size_t i = 0; c.n > 1 && i < c.n; i++) {
		double own = (double)demand_same(&c.states[i]->queued,
						 request_residency(r));
		if (own > 0)
			rq->accounts[rq->n_accounts++] = (struct account_quota){
				c.states[i],
				account_share_of_host(&c.claims[i], own)};
	}
	accounts_claims_release(&c);
}

static void begin_quota_round(struct request *r, struct region_quota *rq,
			      uint64_t room_tokens, int64_t now)
{
	struct fwd *f = r->fwd;
	const struct service_state *s =
		endpoints_service_state(f, r->service->name);
	bool queued = r->wait_node.next != &r->wait_node;
	struct demands own = request_queued(f, r->service->name);

	if (!queued)
		demand_add(&own, request_residency(r), r->need_tokens);
	struct demands all = queued_everywhere(f, s, &own, now);
	uint64_t competing = request_competing(r, &all, false, now);
	/* Of a set that shares a quota only the request itself is known. */
	uint64_t own_tokens =
		MAX(demand_same(&own, request_residency(r)), r->need_tokens);
	quota_begin_round(&rq->quota, room_tokens, own_tokens,
			  competing > own_tokens ? competing - own_tokens : 0,
			  now);
	divide_quota(r, rq, rq->quota.left_tokens / (double)MAX(own_tokens, 1),
		     now);
}

/* Takes the tokens of the request from its account's part of the quota; false
 * if that is used up, or if the account had no request here as it was divided.
 */
static bool take_account_quota(struct request *r, struct region_quota *rq)
{
	const struct account_state *account = accounts_of(r);

	for (size_t i = 0; i < rq->n_accounts; i++) {
		struct account_quota *a = &rq->accounts[i];
		struct quota q = {.left_tokens = a->left_tokens};

		if (a->account != account)
			continue;
		bool taken = quota_take(&q, r->need_tokens,
					g_rand_double(r->fwd->rand));
		a->left_tokens = q.left_tokens;
		if (taken)
			rq->quota.left_tokens = MAX(
				rq->quota.left_tokens - (double)r->need_tokens,
				0);
		return taken;
	}
	return false;
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
	struct region_quota *rq = quota_of(s, request_residency(r));

	if (quota_round_is_due(&rq->quota, now))
		begin_quota_round(r, rq, room_tokens, now);
	if (rq->n_accounts)
		return take_account_quota(r, rq);
	return quota_take(&rq->quota, r->need_tokens, g_rand_double(f->rand));
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
	/* No other endpoint is usable: try those where it was again. */
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
	accounts_record_sent(r, now);
	request_send(r, ep, now);
	return true;
}

static unsigned int count_waiting_on_route(const struct request *r)
{
	struct request *o;
	unsigned int n = 0;

	list_for_each_entry (o, &r->fwd->waiting, wait_node)
		n += o->route == r->route && !o->displaced;
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
	struct service_state *s = endpoints_service_state(f, r->service->name);
	struct demands own = request_queued(f, r->service->name);
	struct demands there = queued_elsewhere(f, s, &own, now);
	struct place_capacity capacity = request_capacity(r, now);
	struct slog l = slog_begin(kind);

	slog_str(&l, "request", r->ask.id);
	slog_int(&l, "need_tokens", (int64_t)r->need_tokens);
	slog_int(&l, "queued_here_tokens", (int64_t)demand_sum(&own));
	slog_int(&l, "queued_elsewhere_tokens", (int64_t)demand_sum(&there));
	slog_int(&l, "room_tokens", (int64_t)capacity.room_tokens);
	slog_int(&l, "memory_tokens", (int64_t)capacity.memory_tokens);
	slog_int(&l, "endpoints", capacity.usable);
	slog_int(&l, "full", capacity.full);
	slog_int(&l, "with_queue", capacity.queueing);
	slog_int(&l, "reading", capacity.prefilling);
	slog_int(&l, "turn_left_tokens",
		 (int64_t)quota_of(s, request_residency(r))->quota.left_tokens);
	slog_int(&l, "wait_max_us", wait_max_us(r));
	slog_int(&l, "sums_age_us", now - f->totals_received_us);
	request_log_regions(&l, r);
	slog_end(&l);
}

/* Marks a waiting request to be refused, as another account's has its place. */
static void displace(struct request *victim, const struct account_claim *c,
		     double level, int64_t now)
{
	struct slog l = slog_begin("displaced");

	victim->displaced = true;
	victim->fwd->n_displaced++;
	if (is_deferrable(victim))
		victim->back_after_us =
			account_share_retry_us(c, level, wait_max_us(victim));
	counter_add(C_ACCOUNT_SHARES, "displaced", 1);
	slog_str(&l, "request", victim->ask.id);
	slog_int(&l, "account_used", (int64_t)c->used);
	slog_int(&l, "account_queued", (int64_t)c->queued);
	slog_int(&l, "account_granted", (int64_t)c->granted);
	slog_int(&l, "level_tokens", (int64_t)level);
	slog_int(&l, "sums_age_us", now - victim->fwd->totals_received_us);
	slog_end(&l);
}

bool request_is_displaceable(const struct request *r,
			     const struct request *newcomer)
{
	return r != newcomer && !r->held && !r->displaced && r->generation &&
	       !r->stream_begun && !r->may_have_run &&
	       is_deferrable(r) == is_deferrable(newcomer) &&
	       r->rank >= newcomer->rank &&
	       !strcmp(r->service->name, newcomer->service->name);
}

/* Displaces the newest request of the account that has most in the queue above
 * its share, if it has one here. */
static void displace_above_share(struct request *r,
				 const struct account_claims *c, double level,
				 int64_t now)
{
	struct request *o, *victim = NULL;
	const struct account_claim *claim = NULL;
	const struct residency *allowed = request_residency(r);

	list_for_each_entry (o, &r->fwd->waiting, wait_node) {
		if (!request_is_displaceable(o, r) ||
		    !residency_equal(request_residency(o), allowed))
			continue;
		size_t i = accounts_index(c, accounts_of(o));
		if (i == c->n || account_share_excess(&c->claims[i]) < 1 ||
		    (claim && account_share_excess(claim) >
				      account_share_excess(&c->claims[i])))
			continue;
		claim = &c->claims[i];
		victim = o;
	}
	if (victim && claim)
		displace(victim, claim, level, now);
}

/*
 * Displaces an urgent request of the same route whose account uses most, if it
 * uses more than that of the new one will; false if there is none.
 */
static bool displace_urgent(struct request *r, int64_t now)
{
	struct request *o, *victim = NULL;
	const struct account_claim *claim = NULL;
	struct account_claims c;

	if (!r->fwd->conf->account_shares)
		return false;
	accounts_gather(&c, r, now);
	const struct account_claim *own =
		&c.claims[accounts_index(&c, accounts_of(r))];
	list_for_each_entry (o, &r->fwd->waiting, wait_node) {
		if (!request_is_displaceable(o, r) || o->route != r->route)
			continue;
		size_t i = accounts_index(&c, accounts_of(o));
		if (i == c.n ||
		    !account_share_displaces(own, &c.claims[i],
					     r->need_tokens) ||
		    (claim && account_share_order(claim) >
				      account_share_order(&c.claims[i])))
			continue;
		claim = &c.claims[i];
		victim = o;
	}
	if (victim && claim)
		displace(victim, claim, account_share_order(own), now);
	accounts_claims_release(&c);
	return victim != NULL;
}

/* Refuses and frees a request for want of room. */
static void refuse_for_room(struct request *r, const char *why, int64_t now)
{
	accounts_record_refused(r, now);
	request_refuse(r, -MW_EQUEUEFULL, why, now);
}

void request_refuse_displaced(struct fwd *f, int64_t now)
{
	struct request *r, *tmp;

	if (!f->n_displaced)
		return;
	f->n_displaced = 0;
	list_for_each_entry_safe (r, tmp, &f->waiting, wait_node)
		if (r->displaced)
			refuse_for_room(r, "above the account's share", now);
}

/*
 * Whether the share of the request's account lets it wait, in a queue of which
 * queue_max is placed in time.  Sets when its caller may come back, and
 * displaces another account's request if the queue is longer than that.
 */
static bool share_lets_wait(struct request *r, uint64_t all_queued,
			    uint64_t queue_max, int64_t now)
{
	bool too_long = all_queued > queue_max, may_wait;
	struct account_claims c;
	double level;

	accounts_gather(&c, r, now);
	struct account_newcomer newcomer = {
		.account = accounts_index(&c, accounts_of(r)),
		.need = (double)r->need_tokens,
		.random = g_rand_double(r->fwd->rand)};
	may_wait = c.n > 1 ? account_share_may_wait(c.claims, c.n, &newcomer,
						    (double)all_queued,
						    (double)queue_max, &level)
			   : !too_long;
	if (c.n > 1 && !may_wait) {
		r->back_after_us = account_share_retry_us(
			&c.claims[newcomer.account], level, wait_max_us(r));
		counter_add(C_ACCOUNT_SHARES, "refused", 1);
		log_shares(r, &c, (double)queue_max, level, now);
	} else if (c.n > 1 && too_long) {
		counter_add(C_ACCOUNT_SHARES, "admitted", 1);
		displace_above_share(r, &c, level, now);
	}
	accounts_claims_release(&c);
	return may_wait;
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
		return count_waiting_on_route(r) >= URGENT_ROUTE_QUEUE_MAX &&
		       !displace_urgent(r, now);
	struct demands own = request_queued(f, r->service->name);
	struct demands all = queued_everywhere(f, s, &own, now);
	uint64_t memory_tokens = request_capacity(r, now).memory_tokens;

	uint64_t queued = request_competing(r, &all, true, now);
	bool worthwhile =
		quota_wait_is_worthwhile(queued, memory_tokens, wait_max_us(r));
	if (f->conf->account_shares && queued && memory_tokens)
		worthwhile = share_lets_wait(
			r, queued,
			quota_worthwhile_tokens(memory_tokens, wait_max_us(r)),
			now);
	if (worthwhile)
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
		pause_refuse_after(&s, r->admitted_us + wait_max_us(r), now);
	if (!r->back_after_us)
		return false;
	request_refuse(r, -MW_ENOENDPOINT, "all endpoints are paused", now);
	return true;
}

/*
 * Refuses and frees a request with a list of regions if no endpoint there can
 * get it now.  It is not held: if a region is down, nobody knows until when,
 * and its caller may be served by another host that reaches the region.
 */
static bool refuse_outside_regions(struct request *r, int64_t now)
{
	const struct residency *allowed = request_residency(r);

	if (!allowed->restricted)
		return false;
	if (residency_is_empty(allowed)) {
		counter_add(C_RESIDENCY, "no_region", 1);
		request_refuse(r, -MW_ENOREGION, "no known region is allowed",
			       now);
		return true;
	}
	if (request_any_usable(r, &r->back_after_us, now))
		return false;
	/* A host that has just started may not know the endpoints yet. */
	if (!r->back_after_us && now - r->arrived_us < r->startup_wait_us)
		return false;
	counter_add(C_RESIDENCY, "no_endpoint", 1);
	request_refuse(r, -MW_EREGIONDOWN,
		       "no usable endpoint in the allowed regions", now);
	return true;
}

/* Refuses and frees a request that could only wait for the end of an
 * evacuation, which may last for hours. */
static bool refuse_if_evacuated(struct request *r, int64_t now)
{
	if (!endpoints_all_evacuated(r->fwd, r->service->name))
		return false;
	request_refuse(r, -MW_ENOENDPOINT, "all endpoints are evacuated", now);
	return true;
}

void request_refuse_evacuated(struct fwd *f, int64_t now)
{
	struct request *r, *tmp;

	list_for_each_entry_safe (r, tmp, &f->waiting, wait_node)
		refuse_if_evacuated(r, now);
}

/* The request waits for room; others learn its account's claim. */
static void mark_short(struct request *r, int64_t now)
{
	if (!r->generation)
		return;
	endpoints_service_state(r->fwd, r->service->name)->accounts.short_us =
		now;
	r->fwd->use_unreported = true;
}

void request_place(struct request *r, int64_t now)
{
	bool any_usable = true;
	struct crashes_finding finding;
	enum blame_verdict v = judge(r, &finding, now);

	if (v == BLAME_REFUSE)
		return;

	if (r->deadline_us - now < REPEAT_LEFT_MIN_US) {
		request_refuse(r, -MW_EDEADLINE, "no time left", now);
		return;
	}
	if (refuse_outside_regions(r, now))
		return;
	if (now < r->not_before_us && r->fwd->n_waiting < QUEUE_MAX) {
		request_log(r, "queued", "endpoints not reached", now);
		enqueue_waiting(r);
		return;
	}
	r->not_before_us = 0;
	if (v != BLAME_HOLD && place_judged(r, v, &finding, &any_usable, now))
		return;
	if (refuse_if_evacuated(r, now))
		return;
	if (!any_usable && refuse_if_paused(r, now))
		return;
	if (r->fwd->n_waiting >= QUEUE_MAX ||
	    (v != BLAME_HOLD && any_usable && would_wait_too_long(r, now))) {
		refuse_for_room(r, "queue is full", now);
		return;
	}
	if (v != BLAME_HOLD && any_usable)
		mark_short(r, now);
	if (v != BLAME_HOLD)
		request_log(r, "queued", any_usable ? "full" : "no endpoint",
			    now);
	enqueue_waiting(r);
}

struct order_key {
	struct request *request;
	unsigned int turn; /* by account: 1 urgent, 2 deferrable; 0: not so */
	double order;	   /* account_share_order() */
};

static struct order_key order_of(struct request *r, int64_t now)
{
	struct order_key k = {.request = r};
	struct accounts *a;

	if (!r->generation || !r->fwd->conf->account_shares)
		return k;
	a = &endpoints_service_state(r->fwd, r->service->name)->accounts;
	if (!accounts_is_short(a, now))
		return k;
	if (now - a->counted_us >= ORDER_INTERVAL_US)
		accounts_count(r->fwd, r->service->name, now);
	k.turn = is_deferrable(r) ? 2 : 1;
	k.order = accounts_of(r)->order;
	return k;
}

static int compare_keys(const void *x, const void *y)
{
	const struct order_key *a = x, *b = y;
	const struct request *r = a->request, *o = b->request;

	if (r->rank != o->rank)
		return r->rank < o->rank ? -1 : 1;
	if (a->turn != b->turn)
		return a->turn < b->turn ? -1 : 1;
	if (a->order < b->order || a->order > b->order)
		return a->order < b->order ? -1 : 1;
	if (r->arrived_us != o->arrived_us)
		return r->arrived_us < o->arrived_us ? -1 : 1;
	return 0;
}

/* Sorts the queue by rank, then by what the accounts use while room is short,
 * then by arrival. */
static void sort_waiting(struct fwd *f, int64_t now)
{
	g_autofree struct order_key *keys =
		g_new(struct order_key, f->n_waiting + 1);
	struct request *r, *tmp;
	bool by_account = false;
	size_t n = 0;

	if (f->n_waiting < 2)
		return;
	list_for_each_entry (r, &f->waiting, wait_node) {
		keys[n] = order_of(r, now);
		by_account |= keys[n++].turn > 0;
	}
	if (!by_account && !f->waiting_by_account)
		return;
	f->waiting_by_account = by_account;
	list_for_each_entry_safe (r, tmp, &f->waiting, wait_node)
		list_del(&r->wait_node);
	qsort(keys, n, sizeof(*keys), compare_keys);
	for (size_t i = 0; i < n; i++)
		list_add_tail(&f->waiting, &keys[i].request->wait_node);
}

/* Places a request that has waited after connections that failed, as one that
 * was not queued: it may be refused, or wait for room now. */
static void place_again(struct request *r, int64_t now)
{
	list_del(&r->wait_node);
	r->fwd->n_waiting--;
	request_place(r, now);
}

void request_place_waiting(struct fwd *f, int64_t now)
{
	struct request *r, *tmp;
	bool any_usable;

	sort_waiting(f, now);
	list_for_each_entry_safe (r, tmp, &f->waiting, wait_node) {
		struct crashes_finding finding;

		if (r->displaced || now < r->not_before_us)
			continue;
		if (r->not_before_us) {
			place_again(r, now);
			continue;
		}
		enum blame_verdict v = judge(r, &finding, now);

		if (v == BLAME_REFUSE || refuse_outside_regions(r, now))
			continue;
		if (v == BLAME_SEND || v == BLAME_TRY)
			place_judged(r, v, &finding, &any_usable, now);
	}
}

/* Whether a request that waits for an endpoint is to be refused. */
static bool has_waited_too_long(const struct request *r, int64_t now)
{
	if (now - r->admitted_us < wait_max_us(r) || now < r->not_before_us)
		return false;
	/* A host that has just started may not know the endpoints yet. */
	return !r->no_usable_endpoint || r->held ||
	       now - r->arrived_us >= r->startup_wait_us;
}

void request_tick(struct fwd *f, int64_t now)
{
	struct request *r, *tmp;

	list_for_each_entry_safe (r, tmp, &f->unadmitted, wait_node)
		if (now - r->arrived_us >= r->startup_wait_us)
			request_refuse(r, -MW_EAGAIN, "not ready", now);
	request_place_waiting(f, now);
	list_for_each_entry_safe (r, tmp, &f->requests, node) {
		relay_tick(r, now);
		if (r->move.state != MOVE_NONE)
			move_tick(r, now);
	}
	list_for_each_entry_safe (r, tmp, &f->waiting, wait_node) {
		if (!has_waited_too_long(r, now))
			continue;
		if (r->generation && !r->held)
			log_queue_state(r, "no_room", now);
		if (r->no_usable_endpoint)
			request_refuse(
				r, -MW_ENOENDPOINT,
				r->held ? "held back" : "no room in time", now);
		else if (r->held)
			request_refuse(r, -MW_EQUEUEFULL, "held back", now);
		else
			refuse_for_room(r, "no room in time", now);
	}
}
