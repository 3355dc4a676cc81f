#include "forward/fwd.h"

#include <string.h>

#include "base/clock.h"
#include "forward/owner_check.h"
#include "forward/regions.h"
#include "forward/request.h"
#include "obs/counter.h"
#include "obs/slog.h"
#include "wire/account_rows.h"

/*
 * Endpoints that are reclaimed together announce it within this time of each
 * other.  Moves begin after it, so that no generation is moved to an endpoint
 * that is about to leave too.
 */
#define MOVE_DELAY_US (40 * USEC_PER_MSEC)

/* Time for which an endpoint is avoided after a failure.  Doubles with each
 * consecutive failure, up to the maximum. */
#define AVOID_MIN_US (250 * USEC_PER_MSEC)
#define AVOID_MAX_US (4 * USEC_PER_SEC)

/* Totals arrive every 0.1 s; older ones say nothing about present rates. */
#define TOTALS_VALID_US (1 * USEC_PER_SEC)

/* limit_state of a usage row */
#define LIMIT_STATED 1
#define LIMIT_LIFTED 2

#define LIMIT_AGE_MAX_MS UINT64_C(86400000)

#define MILLI 1000

/* Number of entry hosts that is assumed until the first totals arrive. */
#define HOSTS_ASSUMED 8

static void endpoint_free(void *p)
{
	struct fwd_endpoint *ep = p;

	/* No pointers to it remain: requests look endpoints up by their id. */
	g_free(ep);
}

static void on_row_changed(const struct registry_row *row, void *arg);

static void service_state_free(void *p)
{
	struct service_state *s = p;

	for (size_t i = 0; i < s->n_quotas; i++)
		g_free(s->quotas[i].accounts);
	accounts_release(&s->accounts);
	g_free(s);
}

void endpoints_start(struct fwd *f)
{
	owner_checks_start(f);
	f->registry = registry_new();
	registry_watch(f->registry, on_row_changed, f);
	f->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     endpoint_free);
	f->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    service_state_free);
	f->n_hosts = HOSTS_ASSUMED;
}

void endpoints_stop(struct fwd *f)
{
	owner_checks_stop(f);
	registry_free(f->registry);
	g_hash_table_destroy(f->endpoints);
	g_hash_table_destroy(f->services);
	evacuation_release(&f->evacuation);
}

struct fwd_endpoint *endpoints_find(struct fwd *f, const char *id)
{
	return g_hash_table_lookup(f->endpoints, id);
}

/* Starts the record of a new incarnation: failures and other hosts' work of the
 * previous one do not count. */
static void reset_incarnation(struct fwd_endpoint *ep,
			      const Mw__EndpointInfo *info)
{
	ep->incarnation = info->incarnation;
	ep->avoid_until_us = 0;
	ep->consecutive_failures = 0;
	ep->health = (struct health){0};
	ep->failures = (struct failures){0};
	ep->pace = (struct pace){0};
	ep->open_elsewhere = 0;
	ep->needed_elsewhere_tokens = ep->prefill_elsewhere_tokens = 0;
	ep->serving = ep->is_gone = false;
	ep->state[0] = '\0';
	ep->rate = (struct rate){0};
	ep->warmup.cold_until_us = ep->warmup.assumed_us = 0;
	ep->paused_until_us = 0;
}

static const char *served_service(const Mw__EndpointInfo *info)
{
	return info->n_models ? info->models[0] : "";
}

static const char *state_name(const struct registry_row *row)
{
	if (row->replaced)
		return "replaced";
	if (row->left && strcmp(row->info->state, REGISTRY_LEAVING) != 0)
		return "gone";
	return row->claims ? "claims" : row->info->state;
}

/*
 * Logs the first row of an incarnation and each change of its state, also
 * between states in which the endpoint gets no requests.
 */
static void log_state(struct fwd_endpoint *ep, const struct registry_row *row)
{
	const char *state = state_name(row);

	if (!strncmp(ep->state, state, sizeof(ep->state) - 1))
		return;
	g_strlcpy(ep->state, state, sizeof(ep->state));
	struct slog l = slog_begin("endpoint");
	slog_str(&l, "endpoint", ep->id);
	slog_int(&l, "endpoint_incarnation", (int64_t)ep->incarnation);
	slog_int(&l, "seq", (int64_t)row->info->seq);
	slog_str(&l, "addr", ep->addr);
	slog_str(&l, "state", state);
	slog_int(&l, "open_here", ep->open_here);
	slog_end(&l);
}

static void on_row_changed(const struct registry_row *row, void *arg)
{
	struct fwd *f = arg;
	const Mw__EndpointInfo *info = row->info;
	struct fwd_endpoint *ep = endpoints_find(f, info->id);

	if (!ep) {
		ep = g_new0(struct fwd_endpoint, 1);
		g_strlcpy(ep->id, info->id, sizeof(ep->id));
		list_init(&ep->requests);
		warmup_init(&ep->warmup, g_rand_double(f->rand));
		g_hash_table_insert(f->endpoints, ep->id, ep);
		reset_incarnation(ep, info);
	} else if (ep->incarnation != info->incarnation) {
		reset_incarnation(ep, info);
	}
	g_strlcpy(ep->addr, info->addr, sizeof(ep->addr));
	g_strlcpy(ep->dc, info->dc, sizeof(ep->dc));
	ep->region = residency_map_dc(&f->regions, ep->dc);
	g_strlcpy(ep->service, served_service(info), sizeof(ep->service));
	ep->slots = info->max_batch;
	ep->has_left = row->left;
	ep->is_replaced = row->replaced;
	if (row->contested && !ep->contested)
		owner_pace_claim(&ep->owner_pace, g_rand_double(f->rand),
				 clock_mono_us());
	ep->contested = row->contested;
	ep->leaves = !strcmp(info->state, REGISTRY_LEAVING);
	bool was_claiming = ep->claims;
	ep->claims = row->claims;
	ep->holds = row->holds;
	bool serving = !row->left && !row->claims &&
		       !strcmp(info->state, REGISTRY_SERVING);
	log_state(ep, row);
	if (serving == ep->serving && !(row->claims && !was_claiming))
		return;
	bool starts_leaving = ep->serving;
	ep->serving = serving;
	ep->leaving_since_us = starts_leaving ? clock_mono_us() : 0;
	/* No copy can be made at an address that may have another server. */
	if (starts_leaving && !row->replaced && !(row->left && row->contested))
		ep->move_due_us = clock_mono_us() + MOVE_DELAY_US;
	else if (serving)
		f->place_waiting = true;
}

static void apply_announced_cold(struct fwd *f, const Mw__EndpointInfo *info,
				 enum registry_change change, int64_t now)
{
	const struct registry_row *row = registry_find(f->registry, info->id);
	struct fwd_endpoint *ep = endpoints_find(f, info->id);
	int64_t cold_us = 0;
	/* A row without news may have waited at its sender for any time. */
	int64_t made_us = change == REGISTRY_CHANGED ? now - WARMUP_ROW_LAG_US
						     : INT64_MIN;

	/* Of an older announcement only the flags count. */
	if (!ep || !row || row->info->seq != info->seq)
		return;
	if (info->cold_ms)
		cold_us = (int64_t)info->cold_ms * USEC_PER_MSEC +
			  REGISTRY_COLD_TOLERANCE_US;
	endpoints_apply_cold(f, ep, cold_us, made_us, "announcement", now);
}

Mw__EndpointInfo *endpoints_update(struct fwd *f, const Mw__EndpointInfo *info,
				   int64_t now)
{
	enum registry_change change = registry_merge(f->registry, info, now);

	if (change != REGISTRY_IGNORED)
		apply_announced_cold(f, info, change, now);
	if (f->place_waiting) {
		f->place_waiting = false;
		request_place_waiting(f, now);
	}
	return registry_contradicts(f->registry, info)
		       ? registry_find(f->registry, info->id)->info
		       : NULL;
}

void endpoints_mark_gone(struct fwd *f, struct fwd_endpoint *ep)
{
	(void)f;
	if (ep->is_gone)
		return;
	ep->is_gone = true;
	struct slog l = slog_begin("endpoint_gone");
	slog_str(&l, "endpoint", ep->id);
	slog_int(&l, "endpoint_incarnation", (int64_t)ep->incarnation);
	slog_str(&l, "addr", ep->addr);
	slog_int(&l, "open_here", ep->open_here);
	slog_end(&l);
}

static void state_limit(struct fwd *f, struct fwd_endpoint *ep, bool limited,
			double per_s, int64_t stated_us, const char *from);

/* Returns whether other hosts have less work there than before. */
static bool apply_use_row(struct fwd *f, struct fwd_endpoint *ep,
			  const Mw__UseRow *row, int64_t now)
{
	bool load_decreased = row->streams < ep->open_elsewhere ||
			      row->tokens < ep->needed_elsewhere_tokens;

	ep->open_elsewhere = row->streams;
	ep->needed_elsewhere_tokens = row->tokens;
	ep->prefill_elsewhere_tokens = row->prefill;
	ep->used_tokens = row->used;
	ep->engine_queue = row->waiting;
	ep->health.failed_elsewhere = row->failed;
	ep->health.succeeded_elsewhere = row->worked;
	ep->rate.sent_elsewhere = row->sent;
	ep->pace.elsewhere = (struct pace_sums){0};
	if (row->pace_incarnation == ep->incarnation)
		ep->pace.elsewhere = (struct pace_sums){
			row->pace_observed_ms * PACE_US_PER_MS,
			row->pace_expected_ms * PACE_US_PER_MS};
	if (row->limit_state)
		state_limit(f, ep, row->limit_state == LIMIT_STATED,
			    (double)row->limit_milli / MILLI,
			    now - (int64_t)MIN(row->limit_age_ms,
					       LIMIT_AGE_MAX_MS) *
					    USEC_PER_MSEC,
			    "hosts");
	return load_decreased;
}

static const Mw__UseRow *find_row(const Mw__UseTotals *totals, const char *id)
{
	for (size_t i = 0; i < totals->n_rows; i++)
		if (!strcmp(totals->rows[i]->endpoint, id))
			return totals->rows[i];
	return NULL;
}

static void apply_queue(struct fwd *f, const Mw__QueueRow *row, int64_t now)
{
	static const struct residency anywhere = {0};
	struct service_state *s = endpoints_service_state(f, row->service);
	uint64_t restricted = 0;

	s->arrivals_elsewhere = row->arrivals;
	accounts_apply(f, &s->accounts, row, now);
	for (size_t i = 0; i < row->n_restricted; i++) {
		const Mw__RegionQueue *q = row->restricted[i];
		struct residency allowed = regions_parse(f, q->regions);

		demand_add(&s->queued_elsewhere, &allowed, q->tokens);
		restricted += q->tokens;
	}
	if (row->tokens > restricted)
		demand_add(&s->queued_elsewhere, &anywhere,
			   row->tokens - restricted);
}

static void update_unseen_hosts(struct fwd *f, unsigned int controls,
				int64_t now)
{
	struct unseen_hosts *u = &f->unseen_hosts;
	bool had_unseen = unseen_hosts_ratio(u) > 0;
	int64_t complete_us = u->complete_us;

	unseen_hosts_update(u, controls, f->n_hosts, now);
	if ((unseen_hosts_ratio(u) > 0) == had_unseen)
		return;
	struct slog l = slog_begin(had_unseen ? "hosts_seen" : "hosts_unseen");
	slog_int(&l, "hosts", u->hosts);
	slog_int(&l, "all_hosts", u->all_hosts);
	slog_int(&l, "controls", u->controls);
	slog_int(&l, "all_controls", u->all_controls);
	slog_int(&l, "complete_age_us", now - complete_us);
	slog_end(&l);
}

void endpoints_apply_totals(struct fwd *f, const Mw__UseTotals *totals,
			    int64_t now)
{
	static const Mw__UseRow none = MW__USE_ROW__INIT;
	GHashTableIter iter;
	struct service_state *s;
	struct fwd_endpoint *ep;
	bool load_decreased = false;

	f->n_hosts = MAX(totals->hosts, 1u);
	warmup_hosts_update(&f->warmup_hosts, f->n_hosts, now);
	update_unseen_hosts(f, totals->controls, now);
	g_hash_table_iter_init(&iter, f->endpoints);
	while (!totals->partial &&
	       g_hash_table_iter_next(&iter, NULL, (void **)&ep))
		if (!find_row(totals, ep->id))
			load_decreased |= apply_use_row(f, ep, &none, now);
	for (size_t i = 0; i < totals->n_rows; i++) {
		ep = endpoints_find(f, totals->rows[i]->endpoint);
		if (ep)
			load_decreased |=
				apply_use_row(f, ep, totals->rows[i], now);
	}
	g_hash_table_iter_init(&iter, f->services);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s)) {
		s->queued_elsewhere = (struct demands){0};
		s->arrivals_elsewhere = 0;
		accounts_clear_elsewhere(&s->accounts);
	}
	for (size_t i = 0; i < totals->n_queues; i++)
		apply_queue(f, totals->queues[i], now);
	if (load_decreased)
		request_place_waiting(f, now);
}

static void report_limit(const struct rate *rate, Mw__UseRow *row, int64_t now)
{
	row->sent = rate_window_count(&rate->sent, now);
	row->limit_state = rate->limited ? LIMIT_STATED : LIMIT_LIFTED;
	row->limit_milli = (uint64_t)(rate->per_s * MILLI);
	row->limit_age_ms = (uint64_t)(now - rate->stated_us) / USEC_PER_MSEC;
}

static bool service_has_limit(struct fwd *f, const char *service)
{
	GHashTableIter iter;
	struct fwd_endpoint *ep;

	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep))
		if (ep->rate.limited && !strcmp(ep->service, service))
			return true;
	return false;
}

/* Other hosts need the arrivals to share a limit, and to tell how many requests
 * they do not see yet. */
static bool reports_arrivals(struct fwd *f, const char *service)
{
	const struct plan_service *s =
		f->plan ? plan_service(f->plan, service) : NULL;

	return (s && s->runs_model) || service_has_limit(f, service);
}

static void report_queue(struct fwd *f, const struct demands *d,
			 Mw__QueueRow *row)
{
	row->tokens = demand_sum(d);
	row->restricted = g_new0(Mw__RegionQueue *, d->n + 1);
	for (size_t i = 0; i < d->n; i++) {
		if (!d->list[i].allowed.restricted)
			continue;
		Mw__RegionQueue *q = g_new0(Mw__RegionQueue, 1);
		mw__region_queue__init(q);
		q->regions = regions_names(f, &d->list[i].allowed);
		q->tokens = d->list[i].tokens;
		row->restricted[row->n_restricted++] = q;
	}
}

Mw__UseReport *endpoints_use_report(struct fwd *f, int64_t now)
{
	Mw__UseReport *r = g_new0(Mw__UseReport, 1);
	GHashTableIter iter;
	struct fwd_endpoint *ep;
	struct service_state *s;
	void *name;

	mw__use_report__init(r);
	r->host = f->conf->host;
	r->incarnation = f->incarnation;
	r->seq = ++f->use_seq;
	r->rows = g_new0(Mw__UseRow *, g_hash_table_size(f->endpoints) + 1);
	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep)) {
		unsigned int failed = health_recent_failures(&ep->health, now);
		unsigned int succeeded =
			health_recent_successes(&ep->health, now);
		bool limit = rate_is_reported(&ep->rate, now);
		struct pace_sums pace = pace_bound(pace_own(&ep->pace, now));
		if (!ep->open_here && !ep->needed_here_tokens && !failed &&
		    !succeeded && !limit && !pace.expected_us)
			continue;
		Mw__UseRow *row = g_new0(Mw__UseRow, 1);
		mw__use_row__init(row);
		row->endpoint = ep->id;
		row->streams = ep->open_here;
		row->tokens = ep->needed_here_tokens;
		row->prefill = ep->prefill_here_tokens;
		row->failed = failed;
		row->worked = succeeded;
		if (pace.expected_us) {
			row->pace_observed_ms =
				pace.observed_us / PACE_US_PER_MS;
			row->pace_expected_ms =
				pace.expected_us / PACE_US_PER_MS;
			row->pace_incarnation = ep->incarnation;
		}
		if (limit)
			report_limit(&ep->rate, row, now);
		r->rows[r->n_rows++] = row;
	}
	r->queues = g_new0(Mw__QueueRow *, g_hash_table_size(f->services) + 1);
	g_hash_table_iter_init(&iter, f->services);
	while (g_hash_table_iter_next(&iter, &name, (void **)&s)) {
		struct demands queued = request_queued(f, name);
		unsigned int arrivals =
			reports_arrivals(f, name)
				? rate_window_count(&s->arrivals, now)
				: 0;
		Mw__QueueRow *row = g_new0(Mw__QueueRow, 1);
		mw__queue_row__init(row);
		row->service = name;
		accounts_report(f, name, row, now);
		if (!queued.n && !arrivals && !row->n_accounts) {
			account_rows_free_moved(row);
			g_free(row);
			continue;
		}
		report_queue(f, &queued, row);
		row->arrivals = arrivals;
		r->queues[r->n_queues++] = row;
	}
	return r;
}

void endpoints_use_report_free(Mw__UseReport *r)
{
	for (size_t i = 0; i < r->n_queues; i++) {
		Mw__QueueRow *row = r->queues[i];

		for (size_t j = 0; j < row->n_restricted; j++) {
			g_free(row->restricted[j]->regions);
			g_free(row->restricted[j]);
		}
		g_free(row->restricted);
		account_rows_free_moved(row);
		g_free(row);
	}
	g_free(r->queues);
	for (size_t i = 0; i < r->n_rows; i++)
		g_free(r->rows[i]);
	g_free(r->rows);
	g_free(r);
}

/* ---- warm-up ---- */

static const struct plan_service *service_of(struct fwd *f, const char *name)
{
	return f->plan ? plan_service(f->plan, name) : NULL;
}

const struct warmup_pace *endpoints_warmup_pace(struct fwd *f,
						const char *service)
{
	struct service_state *s = endpoints_service_state(f, service);
	const struct plan_service *p = service_of(f, service);
	unsigned int hosts = warmup_hosts_max(&f->warmup_hosts);
	struct warmup_limits l = {0};

	if (p && p->cold_per_s > 0)
		l = (struct warmup_limits){
			.per_s = p->cold_per_s,
			.bound = p->cold_per_s *
					 f->conf->cold_overshoot_percent / 100 +
				 f->conf->cold_slack,
			.bounds_warm = p->runs_model};
	if (hosts != s->warmup_hosts || l.per_s != s->warmup_limits.per_s ||
	    l.bound != s->warmup_limits.bound ||
	    l.bounds_warm != s->warmup_limits.bounds_warm) {
		s->warmup_hosts = hosts;
		s->warmup_limits = l;
		s->warmup_pace = warmup_pace(&l, hosts);
	}
	return &s->warmup_pace;
}

/* Logs and counts that the endpoint has turned cold or warm. */
static void note_warmup(struct fwd *f, struct fwd_endpoint *ep,
			const char *source, int64_t now)
{
	const struct warmup_pace *pace = endpoints_warmup_pace(f, ep->service);
	bool is_cold = warmup_is_cold(&ep->warmup, pace, now);

	if (is_cold == ep->was_cold)
		return;
	ep->was_cold = is_cold;
	if (is_cold)
		counter_add(C_ENDPOINTS_COLD, source, 1);
	struct slog l = slog_begin(is_cold ? "endpoint_cold" : "endpoint_warm");
	slog_str(&l, "endpoint", ep->id);
	slog_int(&l, "endpoint_incarnation", (int64_t)ep->incarnation);
	slog_str(&l, "source", source);
	if (is_cold)
		slog_int(&l, "cold_us", ep->warmup.cold_until_us - now);
	slog_int(&l, "hosts", f->n_hosts);
	slog_int(&l, "hosts_max", warmup_hosts_max(&f->warmup_hosts));
	slog_int(&l, "period_us", pace->period_us);
	slog_int(&l, "sums_age_us", now - f->totals_received_us);
	slog_int(&l, "open_here", ep->open_here);
	slog_end(&l);
}

void endpoints_apply_cold(struct fwd *f, struct fwd_endpoint *ep,
			  int64_t cold_us, int64_t made_us, const char *source,
			  int64_t now)
{
	warmup_announce(&ep->warmup, cold_us, made_us, now);
	note_warmup(f, ep, source, now);
}

static void assume_cold(struct fwd *f, struct fwd_endpoint *ep,
			const char *source, int64_t now)
{
	const struct plan_service *s = service_of(f, ep->service);

	warmup_assume_cold(
		&ep->warmup,
		s && s->cold_us ? s->cold_us : WARMUP_COLD_DEFAULT_US, now);
	note_warmup(f, ep, source, now);
}

void endpoints_assume_cold(struct fwd *f, const char *dc, int64_t now)
{
	GHashTableIter iter;
	struct fwd_endpoint *ep;

	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep))
		if (!strcmp(ep->dc, dc))
			assume_cold(f, ep, "evacuation", now);
}

void endpoints_record_sent(struct fwd *f, struct fwd_endpoint *ep,
			   unsigned int n, int64_t now)
{
	const struct warmup_pace *pace = endpoints_warmup_pace(f, ep->service);

	if (warmup_is_cold(&ep->warmup, pace, now))
		counter_add(C_COLD_SENT, NULL, n);
	warmup_record_sent(&ep->warmup, pace, n, now);
}

void endpoints_record_failure(struct fwd *f, struct fwd_endpoint *ep,
			      int64_t now)
{
	int64_t wait = AVOID_MIN_US << MIN(ep->consecutive_failures, 4u);

	health_record_failure(&ep->health, now);
	f->use_unreported = true;
	ep->consecutive_failures++;
	ep->avoid_until_us = now + MIN(wait, AVOID_MAX_US);
	struct slog l = slog_begin("endpoint_avoided");
	slog_str(&l, "endpoint", ep->id);
	slog_int(&l, "failures", ep->consecutive_failures);
	slog_int(&l, "recent_failed_here",
		 health_recent_failures(&ep->health, now));
	slog_int(&l, "recent_failed_elsewhere", ep->health.failed_elsewhere);
	slog_int(&l, "recent_worked_elsewhere", ep->health.succeeded_elsewhere);
	slog_int(&l, "wait_us", ep->avoid_until_us - now);
	slog_end(&l);
	assume_cold(f, ep, "failure", now);
}

static void state_limit(struct fwd *f, struct fwd_endpoint *ep, bool limited,
			double per_s, int64_t stated_us, const char *from)
{
	if (!rate_state(&ep->rate, limited, per_s, stated_us,
			g_rand_double(f->rand)))
		return;
	f->use_unreported = true;
	struct slog l = slog_begin("endpoint_limit");
	slog_str(&l, "endpoint", ep->id);
	slog_int(&l, "endpoint_incarnation", (int64_t)ep->incarnation);
	slog_str(&l, "from", from);
	slog_int(&l, "limited", limited);
	slog_int(&l, "milli_per_s", (int64_t)(per_s * MILLI));
	slog_int(&l, "sent_elsewhere", ep->rate.sent_elsewhere);
	slog_end(&l);
}

/* All processes get to know it: the endpoint may tell only some hosts. */
static void apply_leaving(struct fwd *f, struct fwd_endpoint *ep,
			  const char *source, int64_t now)
{
	const struct registry_row *row = registry_mark_leaving(
		f->registry, ep->id, ep->incarnation, now);

	if (!row)
		return;
	struct slog l = slog_begin("endpoint_said_leaving");
	slog_str(&l, "endpoint", ep->id);
	slog_int(&l, "endpoint_incarnation", (int64_t)ep->incarnation);
	slog_str(&l, "source", source);
	slog_int(&l, "open_here", ep->open_here);
	slog_end(&l);
	control_link_send_endpoint(f, row->info);
}

static void apply_pause(struct fwd_endpoint *ep, int64_t pause_us,
			const char *source, int64_t now)
{
	bool begins = now >= ep->paused_until_us;

	ep->paused_until_us = pause_extend(ep->paused_until_us, pause_us, now);
	/* Requests that were sent before are turned away, too. */
	if (!begins || now >= ep->paused_until_us)
		return;
	counter_add(C_ENDPOINT_PAUSES, NULL, 1);
	struct slog l = slog_begin("endpoint_paused");
	slog_str(&l, "endpoint", ep->id);
	slog_int(&l, "endpoint_incarnation", (int64_t)ep->incarnation);
	slog_str(&l, "source", source);
	slog_int(&l, "asked_us", pause_us);
	slog_int(&l, "wait_us", ep->paused_until_us - now);
	slog_int(&l, "open_here", ep->open_here);
	slog_end(&l);
}

void endpoints_apply_limit(struct fwd *f, struct fwd_endpoint *ep,
			   const struct endpoint_notice *notice, int64_t now)
{
	/* Most endpoints never name a limit. */
	if (notice->has_limit || ep->rate.stated)
		state_limit(f, ep, notice->has_limit, notice->limit_per_s, now,
			    "endpoint");
}

void endpoints_apply_notice(struct fwd *f, struct fwd_endpoint *ep,
			    const struct endpoint_notice *notice,
			    const char *source, int64_t now)
{
	apply_pause(ep, notice->pause_us, source, now);
	if (notice->leaving)
		apply_leaving(f, ep, source, now);
}

struct pause_state endpoints_pauses(struct fwd *f, const char *service,
				    int64_t now)
{
	struct pause_state s = PAUSE_STATE_INIT;
	GHashTableIter iter;
	struct fwd_endpoint *ep;

	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep))
		if (ep->serving && !ep->is_gone &&
		    !endpoints_is_evacuated(f, ep) &&
		    !strcmp(ep->service, service))
			pause_add_endpoint(&s, ep->paused_until_us,
					   ep->avoid_until_us, now);
	return s;
}

/* ---- evacuation ---- */

bool endpoints_is_evacuated(const struct fwd *f, const struct fwd_endpoint *ep)
{
	return evacuation_contains(&f->evacuation, ep->dc);
}

bool endpoints_all_evacuated(struct fwd *f, const char *service)
{
	GHashTableIter iter;
	struct fwd_endpoint *ep;
	bool any = false;

	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep)) {
		if (!ep->serving || ep->is_gone ||
		    strcmp(ep->service, service) != 0)
			continue;
		if (!endpoints_is_evacuated(f, ep))
			return false;
		any = true;
	}
	return any;
}

static void apply_evacuation(const char *dc, bool begins, void *ctx)
{
	struct fwd *f = ctx;
	unsigned int open_here = 0;
	GHashTableIter iter;
	struct fwd_endpoint *ep;

	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep)) {
		if (strcmp(ep->dc, dc) != 0)
			continue;
		open_here += ep->open_here;
		/* Moves to all endpoints begin in endpoints_tick(). */
		if (ep->serving)
			ep->move_due_us = begins ? clock_mono_us() : 0;
	}
	/* The endpoints may have been restarted meanwhile. */
	if (!begins)
		endpoints_assume_cold(f, dc, clock_mono_us());
	counter_add(C_EVACUATIONS, begins ? "begin" : "end", 1);
	struct slog l = slog_begin("evacuation");
	slog_str(&l, "evacuated_dc", dc);
	slog_str(&l, "outcome", begins ? "begin" : "end");
	slog_int(&l, "tree_version", (int64_t)f->evacuation.version);
	slog_int(&l, "open_here", open_here);
	slog_end(&l);
}

void endpoints_set_evacuation(struct fwd *f, uint64_t tree_version,
			      const char *const *dcs, size_t n, int64_t now)
{
	struct evacuation before = f->evacuation;

	f->evacuation = (struct evacuation){.version = before.version};
	if (!evacuation_set(&f->evacuation, tree_version, dcs, n)) {
		f->evacuation = before;
		return;
	}
	evacuation_diff(&before, &f->evacuation, apply_evacuation, f);
	evacuation_release(&before);
	request_place_waiting(f, now);
	request_refuse_evacuated(f, now);
}

struct rate_hosts endpoints_rate_hosts(struct fwd *f, const char *service,
				       int64_t now)
{
	const struct service_state *s = endpoints_service_state(f, service);

	return (struct rate_hosts){
		.n = f->n_hosts,
		.arrivals = rate_window_count(&s->arrivals, now),
		.arrivals_elsewhere = s->arrivals_elsewhere,
		.recent = now - f->totals_received_us < TOTALS_VALID_US};
}

void endpoints_record_success(struct fwd *f, struct fwd_endpoint *ep,
			      int64_t now)
{
	(void)f;
	health_record_success(&ep->health, now);
	ep->consecutive_failures = 0;
}

struct service_state *endpoints_service_state(struct fwd *f,
					      const char *service)
{
	struct service_state *s = g_hash_table_lookup(f->services, service);
	const struct budget_bounds all = {.percent = f->conf->repeat_percent,
					  .spare = f->conf->repeat_spare};

	if (!s) {
		s = g_new0(struct service_state, 1);
		budget_init(&s->budget, &all, f->n_hosts);
		accounts_init(&s->accounts);
		g_hash_table_insert(f->services, g_strdup(service), s);
	}
	budget_set_hosts(&s->budget, &all, MAX(f->n_hosts, 2u));
	return s;
}

/* Begins the moves that are due, and drops endpoints that have left and run no
 * request of this host. */
void endpoints_tick(struct fwd *f, int64_t now)
{
	GHashTableIter iter;
	struct fwd_endpoint *ep;

	if (!control_link_controls(f))
		registry_hold(f->registry, now);
	registry_expire(f->registry, now, NULL, NULL);
	owner_checks_tick(f, now);
	if (f->place_waiting) {
		f->place_waiting = false;
		request_place_waiting(f, now);
	}
	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep))
		if (ep->move_due_us && now >= ep->move_due_us)
			move_endpoint_generations(f, ep, now);
	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep))
		if (ep->was_cold || now < ep->warmup.cold_until_us)
			note_warmup(f, ep, "time", now);
	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep))
		if (ep->is_replaced && ep->open_here)
			request_end_attempts(ep, "endpoint replaced", now);
	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep))
		if (!ep->open_here && !registry_find(f->registry, ep->id))
			g_hash_table_iter_remove(&iter);
}
