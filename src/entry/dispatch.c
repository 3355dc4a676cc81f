#include "entry/request.h"

#include <assert.h>
#include <string.h>
#include <sodium.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "entry/aside.h"
#include "entry/crash_marks.h"
#include "obs/stats.h"

#define CANCEL_TIMEOUT_MS 5000

/*
 * Least delay before a retry of a request that an endpoint refused as full.
 * Its memory is freed within the time of a few tokens.
 */
#define BUSY_BACKOFF_US (50 * USEC_PER_MSEC)

static double account_weight(void *ctx, const char *account)
{
	struct entry *e = ctx;
	struct tree *t = e->session.cfg.tree;
	const struct account_cfg *a = t ? tree_account(t, account) : NULL;

	return a ? (double)a->weight / 100.0 : 1.0;
}

void request_forecast(const struct request *r, int64_t now,
		      struct est_forecast *out)
{
	struct est_query q = {.account = r->account,
			      .route = r->route,
			      .produced = (uint32_t)r->next_index,
			      .max_tokens = r->max_tokens};

	est_forecast(r->entry->est, &q, now, out);
}

/* Reads the settings of a model's queue from the tree in force. */
static void queue_settings(struct entry *e, const char *model,
			   struct queue_cfg *cfg)
{
	struct tree *t = e->session.cfg.tree;
	const struct system_cfg *sys = tree_system(t);
	const struct rank_cfg *const *ranks;
	size_t n = tree_ranks(t, &ranks);

	memset(cfg, 0, sizeof(*cfg));
	cfg->name = model;
	cfg->weight = account_weight;
	cfg->weight_ctx = e;
	cfg->prompt_weight = (double)sys->prompt_weight_percent / 100.0;
	cfg->output_weight = (double)sys->output_weight_percent / 100.0;
	for (size_t i = 0; i < MIN(n, QUEUE_RANKS); i++) {
		cfg->rank[i].floor_percent =
			i ? (unsigned int)ranks[i]->floor_percent : 0;
		cfg->rank[i].max_items = (size_t)ranks[i]->queue_max;
		cfg->rank[i].max_age_us =
			ranks[i]->queue_max_age_ms * USEC_PER_MSEC;
	}
}

struct pool *entry_get_pool(struct entry *e, const char *model)
{
	struct pool *p = g_hash_table_lookup(e->pools, model);
	struct queue_cfg cfg;

	if (p)
		return p;
	queue_settings(e, model, &cfg);
	p = g_new0(struct pool, 1);
	g_strlcpy(p->name, model, sizeof(p->name));
	p->entry = e;
	p->queue = e->queue_ops->create(&cfg);
	list_init(&p->aside);
	g_hash_table_insert(e->pools, p->name, p);
	return p;
}

void entry_apply_settings(struct entry *e)
{
	GHashTableIter iter;
	struct pool *p;

	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&p)) {
		struct queue_cfg cfg;
		queue_settings(e, p->name, &cfg);
		e->queue_ops->configure(p->queue, &cfg);
	}
	e->retry.cfg.budget_percent =
		(unsigned int)tree_system(e->session.cfg.tree)
			->retry_budget_percent;
	remote_configure(e, clock_mono_us());
	entry_pump_soon(e);
}

/* Whether the settings let the endpoint have new requests. */
static bool endpoint_takes_work(struct entry *e, const struct endpoint *ep)
{
	struct tree *t = e->session.cfg.tree;

	return !tree_endpoint(t, ep->dc, ep->id)->drain &&
	       !tree_dc_settings(t, ep->dc)->evacuated;
}

/*
 * Whether the settings allow one more request of this host on the endpoint:
 * each host may use an equal part of max_streams.
 */
static bool endpoint_has_stream(struct entry *e, const struct endpoint *ep)
{
	struct hostcfg *h = &e->session.cfg;
	const struct endpoint_cfg *cfg = tree_endpoint(h->tree, ep->dc, ep->id);
	const struct credit_ep *c = credit_find_endpoint(e->credit, ep->id);
	size_t hosts = h->members ? MAX(1, h->members->n_hosts) : 1;

	return !c ||
	       credit_generations(c) < MAX(1, (size_t)cfg->max_streams / hosts);
}

/* The endpoints that a request may use. */
struct choice {
	const struct request *r;
	int64_t now;
	bool ignore_limits; /* also one with as many streams as it may have */
};

/*
 * A restricted request doesn't wait for an endpoint whose loan has ended: it
 * would hold up others, although the lender need not lend again.
 */
static bool lacks_loan(const struct request *r, const struct endpoint *ep,
		       int64_t now)
{
	return remote_owns_endpoint(r->entry, ep) &&
	       !remote_has_loan(r->entry, ep->id, now) &&
	       request_is_restricted(r);
}

static bool exclude_endpoint(void *ctx, const char *endpoint)
{
	const struct choice *c = ctx;
	const struct request *r = c->r;
	struct entry *e = r->entry;
	const struct endpoint *ep = view_find(e, endpoint);
	const struct route_ep *rep = route_find_endpoint(e->route, endpoint);

	if (!request_may_send(r, ep, route_ep_addr(rep)))
		return true;
	if (ep && (!view_may_use(ep) || lacks_loan(r, ep, c->now) ||
		   !endpoint_takes_work(e, ep)))
		return true;
	if (ep && !c->ignore_limits && !endpoint_has_stream(e, ep))
		return true;
	return !suspect_may_place(e->suspects, r->fingerprint, endpoint);
}

static void place_on_endpoint(struct request *r, struct route_ep *rep,
			      const struct route_query *q, int64_t now)
{
	struct entry *e = r->entry;
	struct credit_ep *cep =
		credit_find_endpoint(e->credit, route_ep_id(rep));
	uint8_t gen[EP_GENERATION_CHARS / 2];

	randombytes_buf(gen, sizeof(gen));
	sodium_bin2hex(r->generation, sizeof(r->generation), gen, sizeof(gen));
	g_strlcpy(r->endpoint, route_ep_id(rep), sizeof(r->endpoint));
	g_strlcpy(r->addr, route_ep_addr(rep), sizeof(r->addr));
	r->incarnation = route_ep_incarnation(rep);
	r->next_index = 0;
	r->reader = 0;
	r->reconnects = 0;
	e->queue_ops->dispatch(r->pool->queue, &r->item, now);
	r->dispatched = true;
	request_leave_backlog(r);
	if (cep)
		credit_reserve(cep, &r->credit, &q->need);
	uint64_t blocks =
		r->credit.ep ? credit_reservation_blocks(&r->credit) : 0;
	route_stream_started(e->route, rep, &r->rs, q, blocks, now);
	remote_record_placement(r, route_ep_dc(rep));
	suspect_request_placed(e->suspects, r->fingerprint, r->endpoint);
	entry_event(e, EV_KIND_DISPATCHED, r->id, r->account, r->endpoint,
		    "generation %s, waited %" G_GINT64_FORMAT
		    " ms, reserved %" G_GUINT64_FORMAT " blocks",
		    r->generation, (now - r->arrived_us) / USEC_PER_MSEC,
		    blocks);
	stats_placed(r->rank, now - r->arrived_us);
	r->state = REQ_SENT;
	stream_open(r, false);
}

/* Whether only a loan could serve the request, and none is possible. */
static bool lacks_lender(const struct request *r)
{
	return request_is_restricted(r) && !aside_has_own_endpoint(r) &&
	       (r->needs_loan || remote_must_borrow(r->entry)) &&
	       !remote_has_lender_for(r);
}

bool dispatch_refuse_if_hopeless(struct request *r, int64_t now)
{
	struct entry *e = r->entry;

	/* Another endpoint death may have been reported since it was queued. */
	if (suspect_check(e->suspects, r->fingerprint) < 0) {
		request_fail(r, -MW_EPOISON, NULL, 0);
		return true;
	}
	if (!request_may_run_in(r, e->conf->dc)) {
		request_fail(r, -MW_EREGIONDOWN, ENTRY_OUTSIDE_TEXT, 0);
		return true;
	}
	if (lacks_lender(r)) {
		request_fail(r, -MW_EREGIONDOWN, ENTRY_NO_LENDER_TEXT, 0);
		return true;
	}
	if (view_all_evacuated(e, r->model) && !remote_can_borrow(e, now)) {
		request_fail(r, -MW_ENOENDPOINT,
			     "all endpoints of the model are evacuated", 1);
		return true;
	}
	return false;
}

/* Fills in the query that chooses an endpoint for c->r now. */
static void fill_query(struct choice *c, struct route_query *q)
{
	const struct request *r = c->r;
	struct entry *e = r->entry;
	const struct queue_item *it = &r->item;

	*q = (struct route_query){
		.model = r->pool->name,
		.prefixes = r->prefixes,
		.n_prefixes = r->n_prefixes,
		.bytes = spill_forecast(route_spill_budget(e->route),
					strlen(r->prompt),
					it->est_output_tokens),
		.waited_us = c->now - r->arrived_us,
		.need = {.prompt_tokens = r->prompt_tokens,
			 .rank = r->rank,
			 .bulk = it->bulk,
			 .keep_headroom = it->keep_headroom},
		.credit = e->credit,
		.exclude = exclude_endpoint,
		.exclude_ctx = c,
	};
	request_forecast(r, c->now, &q->need.output_forecast);
}

bool dispatch_may_place(struct request *r, int64_t now)
{
	struct choice c = {.r = r, .now = now, .ignore_limits = true};
	struct route_query q;
	struct route_ep *rep;

	fill_query(&c, &q);
	q.bytes = 0; /* of the spill budget */
	q.waited_us = INT64_MAX;
	return route_choose(r->entry->route, &q, now, &rep) != -MW_ENOENDPOINT;
}

/* Returns 0 if the request at the head was placed or failed. */
static int place_head(struct entry *e, struct request *r, int64_t now)
{
	struct choice c = {.r = r, .now = now};
	struct route_ep *rep;
	struct route_query q;

	if (dispatch_refuse_if_hopeless(r, now))
		return 0;
	fill_query(&c, &q);
	int err = route_choose(e->route, &q, now, &rep);
	if (err == 0)
		place_on_endpoint(r, rep, &q, now);
	return err;
}

void dispatch_refuse_expired(struct request *r)
{
	request_leave_backlog(r);
	request_fail(r, -MW_EDEADLINE,
		     "the request waited too long for an endpoint", 5);
}

static void expire_queue(struct entry *e, struct pool *p, int64_t now)
{
	struct queue_item *it;

	while ((it = e->queue_ops->pop_expired(p->queue, now))) {
		struct request *r = list_entry(it, struct request, item);
		r->in_queue = false;
		dispatch_refuse_expired(r);
	}
}

void dispatch_pump(struct entry *e, int64_t now)
{
	GHashTableIter iter;
	struct pool *p;

	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&p)) {
		struct queue_item *it;
		expire_queue(e, p, now);
		aside_return(p, now);
		while ((it = e->queue_ops->peek(p->queue, now))) {
			struct request *r =
				list_entry(it, struct request, item);
			int err = place_head(e, r, now);
			if (err == 0 || remote_refuse_overdue(r, err, now))
				continue;
			session_report_soon(e, !it->rank && !it->bulk, now);
			if (!aside_take(r, err, now))
				break;
		}
	}
}

void dispatch_release(struct request *r)
{
	struct entry *e = r->entry;

	credit_release(&r->credit);
	if (r->rs.ep)
		route_stream_finished(&r->rs);
	remote_settle(r);
	if (*r->endpoint && !r->resumed)
		suspect_request_left(e->suspects, r->fingerprint, r->endpoint);
}

static void on_cancel_done(void *arg, struct fetch *f,
			   const struct fetch_result *res)
{
	(void)arg;
	(void)f;
	(void)res;
}

void dispatch_cancel(struct request *r)
{
	static const struct fetch_ops ops = {.done = on_cancel_done};
	struct entry *e = r->entry;
	struct ep_request req;
	char url[512];

	if (!*r->generation || r->finished)
		return;
	e->ep_ops->cancel(r->generation, r->reader, &req);
	snprintf(url, sizeof(url), "%s%s", r->addr, req.path);
	struct fetch_spec spec = {.method = req.method,
				  .url = url,
				  .timeout_ms = CANCEL_TIMEOUT_MS};
	fetch_start(e->fetcher, &spec, &ops, NULL);
	buf_release(&req.body);
	entry_event(e, EV_KIND_CANCELLED, r->id, r->account, r->endpoint,
		    "generation %s", r->generation);
}

static void on_backoff_expired(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct request *r = w->data;

	(void)loop;
	(void)revents;
	request_requeue(r, clock_mono_us());
}

static void start_backoff(struct request *r, int64_t delay_us)
{
	r->state = REQ_BACKOFF;
	ev_timer_stop(r->entry->loop, &r->timer);
	ev_timer_init(&r->timer, on_backoff_expired, (double)delay_us / 1e6,
		      0.);
	r->timer.data = r;
	ev_timer_start(r->entry->loop, &r->timer);
}

/*
 * Resets the placement so that the request can be placed again.  The queue
 * keeps it as dispatched during the backoff, because finishing it would lose
 * its place and its age.
 */
static void reset_placement(struct request *r)
{
	stream_close(r);
	dispatch_release(r);
	r->endpoint[0] = r->generation[0] = r->cursor[0] = '\0';
	r->status = 0;
	r->next_index = 0;
	r->first_token_us = r->last_token_us = 0;
	r->preemptions = r->stall_us = 0;
	r->stall_reported = false;
	buf_release(&r->refusal_body);
	buf_release(&r->answer_text);
}

void dispatch_handle_failure(struct request *r, int err,
			     enum request_failure why)
{
	struct entry *e = r->entry;
	int64_t now = clock_mono_us(), delay;
	bool not_run = why == FAILED_UNSENT || why == FAILED_NOT_RUN;

	if (!not_run)
		r->may_have_run = true;
	if (why == FAILED_DIED && !r->resumed) {
		marks_report(r);
		int poisoned = suspect_check(e->suspects, r->fingerprint);
		if (poisoned < 0) {
			request_fail(r, poisoned, NULL, 0);
			return;
		}
	}
	struct failed_request c = {.repeatable = true,
				   .delivered = r->delivered,
				   .not_run = not_run,
				   .unsent = why == FAILED_UNSENT,
				   .retries = r->retries,
				   .deadline_us = r->deadline_us};
	if (r->resumed || !r->http || (int)r->retries >= r->retries_max ||
	    !retry_allow(&e->retry, &c, e->rand, now, &delay)) {
		if (not_run)
			r->state = REQ_QUEUED;
		request_fail(r, r->delivered ? -MW_ELOST : err, NULL, 1);
		return;
	}
	entry_event(e, EV_KIND_RETRIED, r->id, r->account, r->endpoint,
		    "%s, retry %u in %" G_GINT64_FORMAT " ms",
		    err_info(err)->kind, r->retries + 1, delay / USEC_PER_MSEC);
	stats_retried(r->rank);
	r->retries++;
	reset_placement(r);
	start_backoff(r, not_run ? MAX(delay, BUSY_BACKOFF_US) : delay);
}

/*
 * A placement that has no token yet is ended after this time if its endpoint is
 * stalled.
 */
#define STALLED_TIMEOUT_US (3 * USEC_PER_SEC)

static void check_timeouts(struct request *r, int64_t now)
{
	if (r->state != REQ_SENT && r->state != REQ_STREAMING)
		return;
	if (r->finished)
		return;
	if (r->deadline_us && now > r->deadline_us) {
		dispatch_cancel(r);
		request_fail(r, -MW_ETIMEOUT, "the deadline has passed", 0);
		return;
	}
	if (r->resumed)
		return;
	if (r->state == REQ_SENT && r->rs.ep &&
	    route_is_stalled(r->entry->route, r->rs.ep, now) &&
	    now - r->rs.started_us > STALLED_TIMEOUT_US) {
		/* Without a token it can be placed on another endpoint. */
		dispatch_cancel(r);
		stream_close(r);
		dispatch_handle_failure(r, -MW_ETIMEOUT, FAILED_UNKNOWN);
	}
}

void dispatch_check_timeouts(struct entry *e, int64_t now)
{
	struct request *r, *tmp;

	list_for_each_entry_safe (r, tmp, &e->requests, node)
		check_timeouts(r, now);
}
