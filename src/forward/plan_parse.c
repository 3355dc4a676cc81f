#include "forward/fwd.h"

#include "base/clock.h"
#include "base/err.h"
#include "forward/regions.h"
#include "obs/slog.h"

/*
 * A plan is parsed in steps between other work.  A plan of 1,600 routes takes
 * 10 ms of processor time, which is 0.1 s on a host with a tenth of a
 * processor; parsed at once it would stop all streams for longer than their
 * callers' limit of 0.18 s.  In these steps it takes 0.3 s of the 2.5 s within
 * which an accepted plan must be in force.
 */
#define PARSE_STEPS 32
#define STEP_MIN_BYTES 4096 /* about ten routes, 0.1 ms */
#define STEP_INTERVAL_S 0.01

/* A document's limit is of the header lines, a listener's includes the request
 * line. */
#define REQUEST_LINE_BYTES 4096

/* A document's text, the element that is parsed and the plan made of it, in
 * terms of its length. */
#define DOCUMENT_FACTOR 3

/* Puts the plan in force unless an equal or newer one is; takes ownership. */
static void activate_plan(struct fwd *f, struct plan *plan, int64_t now)
{
	if (f->plan && plan->revision <= f->plan->revision) {
		plan_unref(plan);
		return;
	}
	regions_bind_plan(f, plan);
	plan_unref(f->plan);
	f->plan = plan;
	httpd_set_idle(f->caller_httpd, plan->idle_us);
	httpd_set_header_time(f->caller_httpd, plan->header_us);
	httpd_set_sizes(f->caller_httpd,
			plan->max_header ? plan->max_header + REQUEST_LINE_BYTES
					 : 0,
			plan->max_body);
	request_admit_all(f, now);
	request_place_waiting(f, now);
}

/* Parses the next bytes, and ends the parsing if they are the last ones. */
static void run_step(struct fwd *f, size_t bytes, int64_t now)
{
	struct plan_parse *parse = &f->parse;
	struct plan *plan = NULL;
	int err = f->iface->plan_reader_step(parse->reader, bytes, &plan);

	parse->steps_done++;
	if (err == 0)
		return;
	struct slog l = slog_begin(err < 0 ? "plan_refused" : "plan");
	slog_int(&l, "tree_version", (int64_t)parse->tree_version);
	if (err < 0) {
		slog_str(&l, "error", err_info(err)->kind);
	} else {
		slog_int(&l, "revision", (int64_t)plan->revision);
		slog_int(&l, "before",
			 f->plan ? (int64_t)f->plan->revision : 0);
		slog_int(&l, "routes", plan->routes->len);
		slog_int(&l, "steps", parse->steps_done);
		slog_int(&l, "since_us", now - parse->start_us);
	}
	slog_end(&l);
	plan_parse_stop(f);
	if (plan)
		activate_plan(f, plan, now);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct fwd *f = w->data;

	(void)loop;
	(void)revents;
	run_step(f, f->parse.step_bytes, clock_mono_us());
}

void plan_parse_init(struct fwd *f)
{
	ev_timer_init(&f->parse.timer, on_timer, STEP_INTERVAL_S,
		      STEP_INTERVAL_S);
	f->parse.timer.data = f;
}

void plan_parse_start(struct fwd *f, char *text, size_t len,
		      uint64_t tree_version, int64_t now)
{
	struct plan_parse *parse = &f->parse;

	plan_parse_stop(f);
	membudget_add(&f->memory, &parse->memory, MEMBUDGET_HELD, 0, now);
	membudget_set(&parse->memory, len * DOCUMENT_FACTOR, now);
	parse->reader = f->iface->plan_reader_new(text, len);
	parse->tree_version = tree_version;
	parse->step_bytes = MAX(len / PARSE_STEPS, STEP_MIN_BYTES);
	parse->steps_done = 0;
	parse->start_us = now;
	if (f->plan)
		ev_timer_again(f->loop, &parse->timer);
	else
		run_step(f, SIZE_MAX, now);
}

void plan_parse_stop(struct fwd *f)
{
	ev_timer_stop(f->loop, &f->parse.timer);
	f->iface->plan_reader_free(f->parse.reader);
	f->parse.reader = NULL;
	membudget_remove(&f->parse.memory);
}
