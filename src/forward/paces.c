#include "forward/request.h"

#include <string.h>

#include "obs/counter.h"
#include "obs/slog.h"

/*
 * Speed of model endpoints as observed (policy/pace.h): records the events of
 * this host's streams, and recomputes the factors that choose.c uses.
 */

/* Totals arrive about as often. */
#define UPDATE_INTERVAL_US (100 * USEC_PER_MSEC)

/* Totals that are older count as lost; full ones arrive each second. */
#define TOTALS_VALID_US (2 * USEC_PER_SEC)

#define PERCENT 100

static struct pace_load load_of(const struct fwd_endpoint *ep)
{
	return (struct pace_load){
		.generations = ep->open_here + ep->open_elsewhere,
		.prefill_tokens =
			ep->prefill_here_tokens + ep->prefill_elsewhere_tokens};
}

void paces_note_sent(struct request *r, const struct fwd_endpoint *ep)
{
	/* A wait in the engine's queue is for memory. */
	r->pace_first = r->generation && !ep->engine_queue;
	r->pace_load = load_of(ep);
}

void paces_observe_event(struct request *r, int64_t now)
{
	struct fwd_endpoint *ep = endpoints_find(r->fwd, r->endpoint_id);
	int64_t last_us = r->pace_event_us;
	bool first = r->pace_first;

	r->pace_event_us = 0;
	r->pace_first = false;
	/* The source of a move copies beside, and a slow caller's transfer is
	 * paused. */
	if (!r->generation || !ep || ep->incarnation != r->incarnation ||
	    r->move.state != MOVE_NONE || buf_unread(&r->unsent_events))
		return;
	r->pace_event_us = now;
	/* While this process was stopped, events waited for it. */
	if ((first ? r->sent_us : last_us) < r->fwd->stalled_us)
		return;
	if (first) {
		pace_observe_first(&ep->pace, now - r->sent_us, &r->pace_load,
				   now);
	} else if (last_us) {
		const struct pace_load load = load_of(ep);

		pace_observe_gap(&ep->pace, now - last_us,
				 r->service->tokens_per_event, &load, now);
	}
}

static bool is_known(const struct pace *p)
{
	return p->bin || p->elsewhere.expected_us || p->ratio > 0;
}

static int compare_services(const void *a, const void *b)
{
	const struct fwd_endpoint *const *x = a, *const *y = b;

	return strcmp((*x)->service, (*y)->service);
}

static void log_pace(struct fwd *f, struct fwd_endpoint *ep, int64_t now)
{
	struct pace *p = &ep->pace;
	double before = p->logged > 0 ? p->logged : 1;

	if (!pace_log_due(p))
		return;
	p->logged = pace_factor(p);
	struct slog l = slog_begin_routine("endpoint_pace");
	slog_str(&l, "endpoint", ep->id);
	slog_int(&l, "endpoint_incarnation", (int64_t)ep->incarnation);
	slog_int(&l, "before_percent", (int64_t)(before * PERCENT));
	slog_int(&l, "percent", (int64_t)(p->logged * PERCENT));
	slog_int(&l, "ratio_percent", (int64_t)(p->ratio * PERCENT));
	slog_int(&l, "expected_us", (int64_t)p->weight_us);
	slog_int(&l, "own_expected_us", (int64_t)pace_own(p, now).expected_us);
	slog_int(&l, "age_us", p->age_us);
	slog_int(&l, "totals_age_us", now - f->totals_received_us);
	slog_end(&l);
}

static void update_service(struct fwd *f, struct fwd_endpoint **endpoints,
			   size_t n, int64_t now)
{
	g_autofree struct pace **paces = g_new(struct pace *, n + 1);

	for (size_t i = 0; i < n; i++)
		paces[i] = &endpoints[i]->pace;
	pace_update(paces, n, now - f->totals_received_us < TOTALS_VALID_US,
		    now);
	for (size_t i = 0; i < n; i++)
		log_pace(f, endpoints[i], now);
}

static void count_paces(struct fwd_endpoint **endpoints, size_t n)
{
	int64_t slow = 0, fast = 0;
	double worst = n ? 0 : 1;

	for (size_t i = 0; i < n; i++) {
		double factor = pace_factor(&endpoints[i]->pace);

		slow += factor > 1;
		fast += factor < 1;
		worst = MAX(worst, factor);
	}
	counter_set(C_ENDPOINTS_PACE, "slow", slow);
	counter_set(C_ENDPOINTS_PACE, "fast", fast);
	counter_set(C_ENDPOINTS_PACE, "alike", (int64_t)n - slow - fast);
	counter_set(C_PACE_WORST, NULL, (int64_t)(worst * PERCENT));
}

void paces_tick(struct fwd *f, int64_t now)
{
	size_t n = 0, end;
	GHashTableIter iter;
	struct fwd_endpoint *ep;

	if (now - f->paces_updated_us < UPDATE_INTERVAL_US)
		return;
	f->paces_updated_us = now;
	g_autofree struct fwd_endpoint **known = g_new(
		struct fwd_endpoint *, g_hash_table_size(f->endpoints) + 1);
	g_hash_table_iter_init(&iter, f->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep))
		if (is_known(&ep->pace))
			known[n++] = ep;
	qsort(known, n, sizeof(void *), compare_services);
	for (size_t start = 0; start < n; start = end) {
		for (end = start + 1; end < n && !strcmp(known[end]->service,
							 known[start]->service);
		     end++)
			;
		update_service(f, &known[start], end - start, now);
	}
	count_paces(known, n);
}
