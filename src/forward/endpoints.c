#include "forward/fwd.h"

#include <string.h>

#include "base/clock.h"
#include "forward/request.h"
#include "obs/slog.h"

/*
 * Endpoints that are reclaimed together announce it within this time; their
 * generations are moved after it, so that none goes to another of them.
 */
#define LEAVE_SETTLE_US (40 * USEC_PER_MSEC)

/* After a failure an endpoint is avoided, twice as long each time. */
#define AVOID_MIN_US (250 * USEC_PER_MSEC)
#define AVOID_MAX_US (4 * USEC_PER_SEC)

/* Hosts until their number is known. */
#define HOSTS_ASSUMED 8

static void target_free(void *p)
{
	struct fwd_endpoint *t = p;

	/* Requests hold the id only; theirs is looked up again. */
	g_free(t);
}

void endpoints_start(struct fwd *f)
{
	f->registry = registry_new();
	f->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     target_free);
	f->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->n_hosts = HOSTS_ASSUMED;
}

void endpoints_stop(struct fwd *f)
{
	registry_free(f->registry);
	g_hash_table_destroy(f->endpoints);
	g_hash_table_destroy(f->services);
}

struct fwd_endpoint *endpoints_find(struct fwd *f, const char *id)
{
	return g_hash_table_lookup(f->endpoints, id);
}

/* An incarnation starts with a clean record; its requests are not ours. */
static void begin_incarnation(struct fwd_endpoint *t,
			      const Mw__EndpointInfo *info)
{
	t->incarnation = info->incarnation;
	t->avoid_until_us = 0;
	t->consecutive_failures = 0;
	t->health = (struct health){0};
	t->open_elsewhere = 0;
	t->needed_elsewhere_tokens = t->prefill_elsewhere_tokens = 0;
	t->serving = false;
}

static const char *served_service(const Mw__EndpointInfo *info)
{
	return info->n_models ? info->models[0] : "";
}

void endpoints_update(struct fwd *f, const Mw__EndpointInfo *info, int64_t now)
{
	if (registry_take(f->registry, info, now) == REGISTRY_OLD)
		return;
	const struct registry_row *row = registry_find(f->registry, info->id);
	struct fwd_endpoint *t = endpoints_find(f, info->id);

	if (!row)
		return;
	if (!t) {
		t = g_new0(struct fwd_endpoint, 1);
		g_strlcpy(t->id, info->id, sizeof(t->id));
		list_init(&t->requests);
		g_hash_table_insert(f->endpoints, t->id, t);
		begin_incarnation(t, info);
	} else if (t->incarnation != info->incarnation) {
		begin_incarnation(t, info);
	}
	g_strlcpy(t->addr, info->addr, sizeof(t->addr));
	g_strlcpy(t->dc, info->dc, sizeof(t->dc));
	g_strlcpy(t->service, served_service(info), sizeof(t->service));
	t->slots = info->max_batch;
	t->has_left = row->left;
	bool serving = !row->left && !strcmp(info->state, REGISTRY_SERVING);
	if (serving == t->serving)
		return;
	bool leaves = t->serving;
	t->serving = serving;
	struct slog l = slog_begin("endpoint");
	slog_str(&l, "endpoint", t->id);
	slog_int(&l, "endpoint_incarnation", (int64_t)t->incarnation);
	slog_int(&l, "seq", (int64_t)info->seq);
	slog_str(&l, "addr", t->addr);
	slog_str(&l, "state", info->state);
	slog_int(&l, "open_here", t->open_here);
	slog_end(&l);
	if (leaves)
		t->move_due_us = now + LEAVE_SETTLE_US;
	else
		request_place_waiting(f, now);
}

/* Returns whether there is less work than before. */
static bool apply_use_row(struct fwd_endpoint *t, const Mw__UseRow *row)
{
	bool less = row->streams < t->open_elsewhere ||
		    row->tokens < t->needed_elsewhere_tokens;

	t->open_elsewhere = row->streams;
	t->needed_elsewhere_tokens = row->tokens;
	t->prefill_elsewhere_tokens = row->prefill;
	t->used_tokens = row->used;
	t->engine_queue = row->waiting;
	t->health.failed_elsewhere = row->failed;
	t->health.succeeded_elsewhere = row->worked;
	return less;
}

static const Mw__UseRow *find_row(const Mw__UseTotals *totals, const char *id)
{
	for (size_t i = 0; i < totals->n_rows; i++)
		if (!strcmp(totals->rows[i]->endpoint, id))
			return totals->rows[i];
	return NULL;
}

void endpoints_apply_totals(struct fwd *f, const Mw__UseTotals *totals,
			    int64_t now)
{
	static const Mw__UseRow none = MW__USE_ROW__INIT;
	GHashTableIter iter;
	struct service_state *s;
	struct fwd_endpoint *t;
	bool freed = false;

	f->n_hosts = MAX(totals->hosts, 1u);
	g_hash_table_iter_init(&iter, f->endpoints);
	while (!totals->partial &&
	       g_hash_table_iter_next(&iter, NULL, (void **)&t))
		if (!find_row(totals, t->id))
			freed |= apply_use_row(t, &none);
	for (size_t i = 0; i < totals->n_rows; i++) {
		t = endpoints_find(f, totals->rows[i]->endpoint);
		if (t)
			freed |= apply_use_row(t, totals->rows[i]);
	}
	g_hash_table_iter_init(&iter, f->services);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s))
		s->queued_elsewhere_tokens = 0;
	for (size_t i = 0; i < totals->n_queues; i++)
		endpoints_service_state(f, totals->queues[i]->service)
			->queued_elsewhere_tokens = totals->queues[i]->tokens;
	if (freed)
		request_place_waiting(f, now);
}

Mw__UseReport *endpoints_use_report(struct fwd *f, int64_t now)
{
	Mw__UseReport *r = g_new0(Mw__UseReport, 1);
	GHashTableIter iter;
	struct fwd_endpoint *t;
	void *name;

	mw__use_report__init(r);
	r->host = f->conf->host;
	r->incarnation = f->incarnation;
	r->seq = ++f->use_seq;
	r->rows = g_new0(Mw__UseRow *, g_hash_table_size(f->endpoints) + 1);
	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&t)) {
		unsigned int failed = health_recent_failures(&t->health, now);
		unsigned int worked = health_recent_successes(&t->health, now);
		if (!t->open_here && !t->needed_here_tokens && !failed &&
		    !worked)
			continue;
		Mw__UseRow *row = g_new0(Mw__UseRow, 1);
		mw__use_row__init(row);
		row->endpoint = t->id;
		row->streams = t->open_here;
		row->tokens = t->needed_here_tokens;
		row->prefill = t->prefill_here_tokens;
		row->failed = failed;
		row->worked = worked;
		r->rows[r->n_rows++] = row;
	}
	r->queues = g_new0(Mw__QueueRow *, g_hash_table_size(f->services) + 1);
	g_hash_table_iter_init(&iter, f->services);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		uint64_t tokens = request_queued_tokens(f, name);
		if (!tokens)
			continue;
		Mw__QueueRow *row = g_new0(Mw__QueueRow, 1);
		mw__queue_row__init(row);
		row->service = name;
		row->tokens = tokens;
		r->queues[r->n_queues++] = row;
	}
	return r;
}

void endpoints_use_report_free(Mw__UseReport *r)
{
	for (size_t i = 0; i < r->n_queues; i++)
		g_free(r->queues[i]);
	g_free(r->queues);
	for (size_t i = 0; i < r->n_rows; i++)
		g_free(r->rows[i]);
	g_free(r->rows);
	g_free(r);
}

void endpoints_record_failure(struct fwd *f, struct fwd_endpoint *t,
			      int64_t now)
{
	int64_t wait = AVOID_MIN_US << MIN(t->consecutive_failures, 4u);

	health_record_failure(&t->health, now);
	f->use_unreported = true;
	t->consecutive_failures++;
	t->avoid_until_us = now + MIN(wait, AVOID_MAX_US);
	struct slog l = slog_begin("endpoint_avoided");
	slog_str(&l, "endpoint", t->id);
	slog_int(&l, "failures", t->consecutive_failures);
	slog_int(&l, "recent_failed_here",
		 health_recent_failures(&t->health, now));
	slog_int(&l, "recent_failed_elsewhere", t->health.failed_elsewhere);
	slog_int(&l, "recent_worked_elsewhere", t->health.succeeded_elsewhere);
	slog_int(&l, "wait_us", t->avoid_until_us - now);
	slog_end(&l);
}

void endpoints_record_success(struct fwd *f, struct fwd_endpoint *t,
			      int64_t now)
{
	(void)f;
	health_record_success(&t->health, now);
	t->consecutive_failures = 0;
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
		g_hash_table_insert(f->services, g_strdup(service), s);
	}
	budget_set_hosts(&s->budget, &all, MAX(f->n_hosts, 2u));
	return s;
}

/* Drops endpoints that have left and hold no request of this host. */
void endpoints_tick(struct fwd *f, int64_t now)
{
	GHashTableIter iter;
	struct fwd_endpoint *t;

	registry_expire(f->registry, now, NULL, NULL);
	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&t))
		if (t->move_due_us && now >= t->move_due_us)
			move_endpoint_generations(f, t, now);
	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&t))
		if (!t->open_here && !registry_find(f->registry, t->id))
			g_hash_table_iter_remove(&iter);
}
