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
	struct target *t = p;

	/* Requests hold the id only; theirs is looked up again. */
	g_free(t);
}

void endpoints_start(struct fwd *f)
{
	f->registry = registry_new();
	f->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   target_free);
	f->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->hosts = HOSTS_ASSUMED;
}

void endpoints_stop(struct fwd *f)
{
	registry_free(f->registry);
	g_hash_table_destroy(f->targets);
	g_hash_table_destroy(f->services);
}

struct target *endpoints_target(struct fwd *f, const char *id)
{
	return g_hash_table_lookup(f->targets, id);
}

/* An incarnation starts with a clean record; its requests are not ours. */
static void begin_incarnation(struct target *t, const Mw__EndpointInfo *info)
{
	t->incarnation = info->incarnation;
	t->avoid_until_us = 0;
	t->failures = 0;
	t->health = (struct health){0};
	t->others_open = 0;
	t->others_tokens = t->others_prefill = 0;
	t->serving = false;
}

static const char *service_of(const Mw__EndpointInfo *info)
{
	return info->n_models ? info->models[0] : "";
}

void endpoints_take(struct fwd *f, const Mw__EndpointInfo *info, int64_t now)
{
	if (registry_take(f->registry, info, now) == REGISTRY_OLD)
		return;
	const struct registry_row *row = registry_find(f->registry, info->id);
	struct target *t = endpoints_target(f, info->id);

	if (!row)
		return;
	if (!t) {
		t = g_new0(struct target, 1);
		g_strlcpy(t->id, info->id, sizeof(t->id));
		list_init(&t->requests);
		g_hash_table_insert(f->targets, t->id, t);
		begin_incarnation(t, info);
	} else if (t->incarnation != info->incarnation) {
		begin_incarnation(t, info);
	}
	g_strlcpy(t->addr, info->addr, sizeof(t->addr));
	g_strlcpy(t->dc, info->dc, sizeof(t->dc));
	g_strlcpy(t->service, service_of(info), sizeof(t->service));
	t->slots = info->max_batch;
	t->left = row->left;
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
	slog_int(&l, "open_here", t->open);
	slog_end(&l);
	if (leaves)
		t->leaving_us = now + LEAVE_SETTLE_US;
	else
		request_pump(f, now);
}

/* Returns whether there is less work than before. */
static bool take_row(struct target *t, const Mw__UseRow *row)
{
	bool less =
		row->streams < t->others_open || row->tokens < t->others_tokens;

	t->others_open = row->streams;
	t->others_tokens = row->tokens;
	t->others_prefill = row->prefill;
	t->used_tokens = row->used;
	t->waiting = row->waiting;
	t->health.others_failed = row->failed;
	t->health.others_worked = row->worked;
	return less;
}

static const Mw__UseRow *find_row(const Mw__UseTotals *totals, const char *id)
{
	for (size_t i = 0; i < totals->n_rows; i++)
		if (!strcmp(totals->rows[i]->endpoint, id))
			return totals->rows[i];
	return NULL;
}

void endpoints_totals(struct fwd *f, const Mw__UseTotals *totals, int64_t now)
{
	static const Mw__UseRow none = MW__USE_ROW__INIT;
	GHashTableIter iter;
	struct service_state *s;
	struct target *t;
	bool freed = false;

	f->hosts = MAX(totals->hosts, 1u);
	g_hash_table_iter_init(&iter, f->targets);
	while (!totals->partial &&
	       g_hash_table_iter_next(&iter, NULL, (void **)&t))
		if (!find_row(totals, t->id))
			freed |= take_row(t, &none);
	for (size_t i = 0; i < totals->n_rows; i++) {
		t = endpoints_target(f, totals->rows[i]->endpoint);
		if (t)
			freed |= take_row(t, totals->rows[i]);
	}
	g_hash_table_iter_init(&iter, f->services);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s))
		s->others_queued = 0;
	for (size_t i = 0; i < totals->n_queues; i++)
		endpoints_service(f, totals->queues[i]->service)
			->others_queued = totals->queues[i]->tokens;
	if (freed)
		request_pump(f, now);
}

Mw__UseReport *endpoints_use(struct fwd *f, int64_t now)
{
	Mw__UseReport *r = g_new0(Mw__UseReport, 1);
	GHashTableIter iter;
	struct target *t;
	void *name;

	mw__use_report__init(r);
	r->host = f->conf->host;
	r->incarnation = f->incarnation;
	r->seq = ++f->use_seq;
	r->rows = g_new0(Mw__UseRow *, g_hash_table_size(f->targets) + 1);
	g_hash_table_iter_init(&iter, f->targets);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&t)) {
		unsigned int failed = health_recent_failed(&t->health, now);
		unsigned int worked = health_recent_worked(&t->health, now);
		if (!t->open && !t->tokens && !failed && !worked)
			continue;
		Mw__UseRow *row = g_new0(Mw__UseRow, 1);
		mw__use_row__init(row);
		row->endpoint = t->id;
		row->streams = t->open;
		row->tokens = t->tokens;
		row->prefill = t->prefill;
		row->failed = failed;
		row->worked = worked;
		r->rows[r->n_rows++] = row;
	}
	r->queues = g_new0(Mw__QueueRow *, g_hash_table_size(f->services) + 1);
	g_hash_table_iter_init(&iter, f->services);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		uint64_t tokens = request_queued(f, name);
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

void endpoints_use_free(Mw__UseReport *r)
{
	for (size_t i = 0; i < r->n_queues; i++)
		g_free(r->queues[i]);
	g_free(r->queues);
	for (size_t i = 0; i < r->n_rows; i++)
		g_free(r->rows[i]);
	g_free(r->rows);
	g_free(r);
}

void endpoints_failed(struct fwd *f, struct target *t, int64_t now)
{
	int64_t wait = AVOID_MIN_US << MIN(t->failures, 4u);

	health_failed(&t->health, now);
	f->use_changed = true;
	t->failures++;
	t->avoid_until_us = now + MIN(wait, AVOID_MAX_US);
	struct slog l = slog_begin("endpoint_avoided");
	slog_str(&l, "endpoint", t->id);
	slog_int(&l, "failures", t->failures);
	slog_int(&l, "recent_failed_here",
		 health_recent_failed(&t->health, now));
	slog_int(&l, "recent_failed_elsewhere", t->health.others_failed);
	slog_int(&l, "recent_worked_elsewhere", t->health.others_worked);
	slog_int(&l, "wait_us", t->avoid_until_us - now);
	slog_end(&l);
}

void endpoints_worked(struct fwd *f, struct target *t, int64_t now)
{
	(void)f;
	health_worked(&t->health, now);
	t->failures = 0;
}

struct service_state *endpoints_service(struct fwd *f, const char *service)
{
	struct service_state *s = g_hash_table_lookup(f->services, service);
	const struct budget_bounds all = {.percent = f->conf->repeat_percent,
					  .spare = f->conf->repeat_spare};

	if (!s) {
		s = g_new0(struct service_state, 1);
		budget_init(&s->budget, &all, f->hosts);
		g_hash_table_insert(f->services, g_strdup(service), s);
	}
	budget_hosts(&s->budget, &all, MAX(f->hosts, 2u));
	return s;
}

/* Drops endpoints that have left and hold no request of this host. */
void endpoints_tick(struct fwd *f, int64_t now)
{
	GHashTableIter iter;
	struct target *t;

	registry_expire(f->registry, now, NULL, NULL);
	g_hash_table_iter_init(&iter, f->targets);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&t))
		if (t->leaving_us && now >= t->leaving_us)
			move_target(f, t, now);
	g_hash_table_iter_init(&iter, f->targets);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&t))
		if (!t->open && !registry_find(f->registry, t->id))
			g_hash_table_iter_remove(&iter);
}
