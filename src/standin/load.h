#ifndef STANDIN_LOAD_H
#define STANDIN_LOAD_H

#include <ev.h>
#include <jansson.h>

#include "standin/hist.h"

/*
 * Load generator: open-loop arrivals after a scenario.  Arrivals do not wait
 * for answers, and latency counts from the scheduled arrival, so that a slow
 * system cannot slow down its own measurement.
 *
 * Scenario (JSON):
 *   seed, duration_s, warmup_s (not counted), drain_s (wait at the end),
 *   entries "ip:port,...", max_open
 *   accounts: [{name, key, share, weight}]   key: the bearer key
 *   jain_accounts: [name]                    default: all
 *   phases: [{name, from_s, to_s}]           counted apart, by arrival
 *   classes: [{name, rank, rate (1/s), steps: [{at_s, rate}],
 *     accounts: [name] (default all, chosen by share), method, path,
 *     headers: {}, body: {} (members added to a generation's body, or the
 *     whole body of a plain call), generation (true), model, stream (true),
 *     prompt: {median, sigma, max} (tokens), prefixes: {count, tokens},
 *     max_tokens, once (false),
 *     again (false; sent once more, with the same key and body, when it has
 *     been answered), tries, retry_refused, retry_ms, timeout_ms,
 *     slow_share, slow_tokens_per_s, leave_share, leave_after}]
 */
struct load;

struct load_options {
	const char *entries; /* NULL: of the scenario */
	double duration_s;   /* 0: of the scenario */
	double rate_scale;   /* of all rates */
	int seed;	     /* -1: of the scenario */
	int direct;	     /* the entries are endpoints, not entry hosts */
};

/* Called once all calls have ended; result is borrowed. */
typedef void load_done(void *ctx, json_t *result);

/* Returns NULL if the scenario is not usable (logged). */
struct load *load_start(struct ev_loop *loop, const json_t *scenario,
			const struct load_options *opt, struct hist *hist,
			load_done *done, void *ctx);

#endif
