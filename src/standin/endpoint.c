#include "standin/endpoint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "standin/args.h"

/* Time for the last bytes of the last stream to leave before the exit. */
#define EXIT_DELAY_S 0.05

const char *endpoint_state(const struct endpoint *e)
{
	if (e->leaving)
		return "leaving";
	return e->loading ? "loading" : "serving";
}

struct batch_load endpoint_lagged_load(const struct endpoint *e)
{
	int back = e->cfg.load_lag_ms / LOAD_SAMPLE_MS;

	if (back >= LOAD_SAMPLES)
		back = LOAD_SAMPLES - 1;
	if (back >= e->nsamples)
		return (struct batch_load){0};
	return e->samples[(e->nsamples - 1 - back) % LOAD_SAMPLES];
}

static json_t *name_list(const GPtrArray *names)
{
	json_t *list = json_array();

	for (guint i = 0; i < names->len; i++)
		json_array_append_new(list,
				      json_string(g_ptr_array_index(names, i)));
	return list;
}

static json_t *describe(void *ctx)
{
	const struct endpoint *e = ctx;
	struct batch_load l = endpoint_lagged_load(e);

	return json_pack(
		"{s:s,s:s,s:s,s:o,s:o,s:s,s:s,s:i,s:i,s:i,s:{s:i,s:i,s:i}}",
		"addr", e->addr, "kind", "model", "state", endpoint_state(e),
		"models", name_list(e->models), "adapters",
		name_list(e->adapters), "model_version", e->version, "role",
		e->role, "blocks", e->cfg.batch.blocks, "block_tokens",
		e->cfg.batch.block_tokens, "max_batch", e->cfg.batch.max_batch,
		"load", "running", l.running, "waiting", l.waiting,
		"blocks_used", l.blocks_used);
}

static void on_exit_timer(EV_P_ ev_timer *w, int revents)
{
	struct endpoint *e = w->data;

	(void)revents;
	hist_put(e->hist, "exit", NULL);
	ev_break(EV_A_ EVBREAK_ALL);
}

static void on_sample(EV_P_ ev_timer *w, int revents)
{
	struct endpoint *e = w->data;

	(void)revents;
	e->samples[e->nsamples++ % LOAD_SAMPLES] = batch_load(e->batch);
	if (e->left != 1 || epg_open(e) || httpd_open_requests(e->httpd))
		return;
	e->left = 2;
	ev_timer_init(&e->exit_timer, on_exit_timer, EXIT_DELAY_S, 0.0);
	e->exit_timer.data = e;
	ev_timer_start(loop, &e->exit_timer);
}

static void on_cache_timer(EV_P_ ev_timer *w, int revents)
{
	struct endpoint *e = w->data;
	json_t *events, *j;

	(void)loop;
	(void)revents;
	if (!e->cache_events.length)
		return;
	events = json_array();
	while ((j = g_queue_pop_head(&e->cache_events)))
		json_array_append_new(events, j);
	ann_cache_events(e->ann, events);
}

static void on_left(void *ctx)
{
	struct endpoint *e = ctx;

	hist_put(e->hist, "left", NULL);
	log_info("endpoint", "leave answered, %d generations open",
		 epg_open(e));
	e->left = 1;
}

void endpoint_leave(struct endpoint *e, int deadline_ms)
{
	if (e->leaving)
		return;
	e->leaving = 1;
	hist_put(e->hist, "leaving",
		 json_pack("{s:i}", "deadline_ms", deadline_ms));
	epg_report_all(e);
	ann_leave(e->ann, deadline_ms, on_left);
}

static GPtrArray *split(const char *s)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
	g_auto(GStrv) parts = g_strsplit(s ? s : "", ",", 0);

	for (char **p = parts; *p; p++)
		if (**p)
			g_ptr_array_add(out, g_strdup(*p));
	return out;
}

static void start_timer(struct endpoint *e, ev_timer *t,
			void (*cb)(EV_P_ ev_timer *, int), int ms)
{
	ev_timer_init(t, cb, 0.0, (ms > 0 ? ms : 1) / 1000.0);
	t->data = e;
	ev_timer_start(e->loop, t);
}

int endpoint_start(struct endpoint *e, struct ev_loop *loop,
		   const struct endpoint_config *cfg)
{
	char ip[64];
	int port;

	e->cfg = *cfg;
	e->loop = loop;
	e->fr = fetcher_new(loop, 0);
	e->hist = hist_open(cfg->history);
	hist_put(e->hist, "up", NULL);
	e->held = g_ptr_array_new();
	e->models = split(cfg->models);
	e->adapters = split(cfg->adapters);
	e->version = g_strdup(cfg->version);
	e->role = g_strdup(cfg->role);
	e->rnd = g_rand_new_with_seed((guint32)cfg->seed);
	g_queue_init(&e->cache_events);
	g_queue_init(&e->orders);
	if (args_addr(cfg->listen, ip, &port) || !e->models->len) {
		log_error("endpoint", "bad --listen or --models");
		return -MW_EINVAL;
	}
	epg_init(e);
	if (!e->batch) {
		log_error("endpoint", "bad blocks, block tokens or batch size");
		return -MW_EINVAL;
	}
	int rc = httpd_new(loop, ip, port, NULL, eph_handle, e, &e->httpd);
	if (rc)
		return rc;
	if (cfg->advertise)
		e->addr = g_strdup_printf("http://%s", cfg->advertise);
	else
		e->addr = g_strdup_printf("http://%s:%d", ip,
					  httpd_port(e->httpd));
	if (!e->cfg.ann.incarnation)
		e->cfg.ann.incarnation = clock_wall_us() / USEC_PER_MSEC;
	e->ann = ann_new(loop, e->fr, &e->cfg.ann, describe, e);
	start_timer(e, &e->sample_timer, on_sample, LOAD_SAMPLE_MS);
	start_timer(e, &e->cache_timer, on_cache_timer,
		    cfg->cache_event_lag_ms);
	log_info("endpoint", "%s listens on %s:%d", cfg->ann.id, ip,
		 httpd_port(e->httpd));
	return 0;
}

void endpoint_stop(struct endpoint *e)
{
	json_t *j;

	ev_timer_stop(e->loop, &e->sample_timer);
	ev_timer_stop(e->loop, &e->cache_timer);
	ev_timer_stop(e->loop, &e->exit_timer);
	epg_free(e);
	httpd_free(e->httpd);
	ann_free(e->ann);
	fetcher_free(e->fr);
	while ((j = g_queue_pop_head(&e->cache_events)))
		json_decref(j);
	while ((j = g_queue_pop_head(&e->orders)))
		json_decref(j);
	g_ptr_array_free(e->held, TRUE);
	g_ptr_array_free(e->models, TRUE);
	g_ptr_array_free(e->adapters, TRUE);
	g_rand_free(e->rnd);
	g_free(e->version);
	g_free(e->role);
	g_free(e->addr);
	hist_close(e->hist);
}
