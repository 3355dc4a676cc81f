#include "forward/fwd.h"

#include <string.h>

#include "base/clock.h"
#include "obs/counter.h"
#include "obs/slog.h"

/*
 * Compares the endpoints of each service by the failures that all hosts see,
 * and logs what changes; failures.h decides.
 */

#define UPDATE_INTERVAL_US (50 * USEC_PER_MSEC)

/* Totals that are older count as lost; full ones arrive each second. */
#define TOTALS_VALID_US (2 * USEC_PER_SEC)

#define PERCENT 100

static struct failures_item failures_of(const struct fwd *f,
					struct fwd_endpoint *ep, int64_t now)
{
	const struct health *h = &ep->health;
	bool recent = now - f->totals_received_us < TOTALS_VALID_US;

	return (struct failures_item){
		.state = &ep->failures,
		.failed = health_recent_failures(h, now) +
			  (recent ? h->failed_elsewhere : 0),
		.succeeded = health_recent_successes(h, now) +
			     (recent ? h->succeeded_elsewhere : 0)};
}

static void log_change(const struct fwd *f, const struct fwd_endpoint *ep,
		       const struct failures *before,
		       const struct failures_item *item, int64_t now)
{
	const struct failures *after = &ep->failures;

	if (after->avoided == before->avoided &&
	    !after->excess == !before->excess)
		return;
	if (after->avoided && !before->avoided)
		counter_add(C_ENDPOINTS_FAILING, "most", 1);
	else if (after->excess > 0 && !(before->excess > 0))
		counter_add(C_ENDPOINTS_FAILING, "part", 1);
	struct slog l = slog_begin("endpoint_failing");
	slog_str(&l, "endpoint", ep->id);
	slog_int(&l, "endpoint_incarnation", (int64_t)ep->incarnation);
	slog_int(&l, "avoided", after->avoided);
	slog_int(&l, "excess_percent", (int64_t)(after->excess * PERCENT));
	slog_int(&l, "before_percent", (int64_t)(before->excess * PERCENT));
	slog_int(&l, "failed", item->failed);
	slog_int(&l, "succeeded", item->succeeded);
	slog_int(&l, "failed_here", health_recent_failures(&ep->health, now));
	slog_int(&l, "totals_age_us", now - f->totals_received_us);
	slog_end(&l);
}

static void update_service(struct fwd *f, struct fwd_endpoint **endpoints,
			   size_t n, int64_t now)
{
	g_autofree struct failures_item *items = g_new(struct failures_item, n);
	g_autofree struct failures *before = g_new(struct failures, n);

	for (size_t i = 0; i < n; i++) {
		items[i] = failures_of(f, endpoints[i], now);
		before[i] = endpoints[i]->failures;
	}
	failures_update(items, n, now);
	for (size_t i = 0; i < n; i++)
		log_change(f, endpoints[i], &before[i], &items[i], now);
}

static int compare_services(const void *a, const void *b)
{
	const struct fwd_endpoint *const *x = a, *const *y = b;

	return strcmp((*x)->service, (*y)->service);
}

void faults_tick(struct fwd *f, int64_t now)
{
	size_t n = 0, end;
	GHashTableIter iter;
	struct fwd_endpoint *ep;

	if (now - f->faults_updated_us < UPDATE_INTERVAL_US)
		return;
	f->faults_updated_us = now;
	g_autofree struct fwd_endpoint **serving = g_new(
		struct fwd_endpoint *, g_hash_table_size(f->endpoints) + 1);
	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep))
		if (ep->serving && !ep->is_gone)
			serving[n++] = ep;
	qsort(serving, n, sizeof(void *), compare_services);
	for (size_t start = 0; start < n; start = end) {
		for (end = start + 1;
		     end < n &&
		     !strcmp(serving[end]->service, serving[start]->service);
		     end++)
			;
		update_service(f, &serving[start], end - start, now);
	}
}

void faults_record_error(struct fwd *f, struct fwd_endpoint *ep, int64_t now)
{
	health_record_failure(&ep->health, now);
	ep->consecutive_failures = 0; /* it could be reached */
	f->use_unreported = true;
}
