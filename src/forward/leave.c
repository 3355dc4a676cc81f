#include "forward/leave.h"

#include <string.h>

#include "forward/request.h"
#include "obs/counter.h"
#include "obs/slog.h"

struct leave_prices leave_prices(const struct fwd *f)
{
	const struct conf *c = f->conf;

	return leave_prices_init(c->leave_dc && c->dc_region_nr,
				 c->dc_latency_us, c->region_latency_us,
				 c->dc_mb_cost_us, c->region_mb_cost_us);
}

static uint64_t expected_bytes(const struct request *r)
{
	size_t body_bytes = 0;

	if (r->generation)
		return leave_generation_bytes(
			r->ask.prompt_tokens,
			r->need_tokens - MIN(r->need_tokens,
					     (uint64_t)r->ask.prompt_tokens),
			r->service->tokens_per_event);
	httpd_body(r->http, &body_bytes);
	return body_bytes;
}

bool leave_costs(const struct request *r, int64_t cost_us[LEAVE_CLASSES],
		 int64_t now)
{
	const struct leave_prices p = leave_prices(r->fwd);
	uint64_t bytes;

	if (!p.enabled)
		return false;
	bytes = expected_bytes(r);
	for (int c = 0; c < LEAVE_CLASSES; c++)
		cost_us[c] = leave_cost_us(&p, (enum leave_class)c, bytes,
					   now - r->fwd->totals_received_us);
	return true;
}

enum leave_class leave_distance(const struct fwd *f, const char *dc,
				const struct fwd_endpoint *ep)
{
	const char *near, *far;

	if (!strcmp(ep->dc, dc))
		return LEAVE_SAME_DC;
	near = conf_region(f->conf, dc);
	far = near ? conf_region(f->conf, ep->dc) : NULL;
	return far && !strcmp(near, far) ? LEAVE_SAME_REGION
					 : LEAVE_OTHER_REGION;
}

static void log_share(const struct request *r, const char *dc,
		      const struct leave_share *s, int64_t now)
{
	struct slog l = slog_begin("dc_share");

	slog_str(&l, "service", r->service->name);
	slog_str(&l, "destination", dc);
	slog_int(&l, "percent_before", (int64_t)(s->logged * 100));
	slog_int(&l, "percent", (int64_t)(s->share * 100));
	slog_int(&l, "since_us", s->logged_us ? now - s->logged_us : 0);
	slog_int(&l, "sums_age_us", now - r->fwd->totals_received_us);
	slog_int(&l, "wait_us", now - r->arrived_us);
	slog_int(&l, "need", (int64_t)r->need_tokens);
	slog_end(&l);
}

/* Updates the shares of all destinations of the service. */
static void count_shares(struct request *r, const char *dc, int64_t now)
{
	struct service_state *s =
		endpoints_service_state(r->fwd, r->service->name);
	size_t i = 0;

	while (i < s->n_leave && strcmp(s->leave[i].dc, dc) != 0)
		i++;
	if (i == s->n_leave && s->n_leave < G_N_ELEMENTS(s->leave))
		g_strlcpy(s->leave[s->n_leave++].dc, dc,
			  sizeof(s->leave[0].dc));
	for (i = 0; i < s->n_leave; i++) {
		struct leave_share *share = &s->leave[i].share;

		if (!leave_share_count(share, !strcmp(s->leave[i].dc, dc), now))
			continue;
		log_share(r, s->leave[i].dc, share, now);
		leave_share_logged(share, now);
	}
}

void leave_record(struct request *r, const struct fwd_endpoint *ep, int64_t now)
{
	static const char *const names[] = {"same_dc", "same_region",
					    "other_region"};
	enum leave_class c;

	if (!leave_prices(r->fwd).enabled)
		return;
	c = leave_distance(r->fwd, r->fwd->conf->dc, ep);
	counter_add(C_DC_REQUESTS, names[c], 1);
	counter_add(C_DC_BYTES, names[c], expected_bytes(r));
	count_shares(r, ep->dc, now);
}
