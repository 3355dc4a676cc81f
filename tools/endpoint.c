/* mw-endpoint: the stand-in model endpoint. */
#include <signal.h>
#include <stdlib.h>

#include "base/log.h"
#include "standin/args.h"
#include "standin/endpoint.h"

static struct endpoint_config cfg = {
	.batch = {.blocks = 512,
		  .block_tokens = 16,
		  .max_batch = 64,
		  .cache_blocks = 128,
		  .base_us = 20000,
		  .per_seq_us = 300,
		  .prefill_us = 50,
		  .prefill_chunk = 2048},
	.ann = {.id = "endpoint-1", .dc = "dc1", .interval_ms = 2000},
	.listen = "127.0.0.1:0",
	.models = "m1",
	.version = "1",
	.role = "",
	.out_dist = "lognormal",
	.out_median = 200,
	.out_sigma = 1.0,
	.out_alpha = 1.2,
	.out_cap = 32768,
	.seed = 1,
	.load_ms = 500,
	.max_waiting = 256,
	.load_lag_ms = 1000,
	.load_report_ms = 1000,
	.unread_keep_ms = 30000,
	.cache_event_lag_ms = 1000,
	.cache_event_gap = 0.05,
};
static struct endpoint_faults faults = {.die_after = -1};
static char *balance = "round-robin";
static char *key_file;
static int verbose;

#define INT(name, var, text)                                                   \
	{                                                                      \
		name, 0, 0, G_OPTION_ARG_INT, &(var), text, "N"                \
	}
#define STR(name, var, text)                                                   \
	{                                                                      \
		name, 0, 0, G_OPTION_ARG_STRING, &(var), text, "S"             \
	}
#define NUM(name, var, text)                                                   \
	{                                                                      \
		name, 0, 0, G_OPTION_ARG_DOUBLE, &(var), text, "X"             \
	}
#define FLAG(name, var, text)                                                  \
	{                                                                      \
		name, 0, 0, G_OPTION_ARG_NONE, &(var), text, NULL              \
	}

static gint64 die_after = -1;

static const GOptionEntry options[] = {
	STR("id", cfg.ann.id, "endpoint id"),
	STR("dc", cfg.ann.dc, "data centre"),
	STR("listen", cfg.listen, "ip:port; port 0: any"),
	STR("advertise", cfg.advertise, "ip:port to announce instead"),
	STR("entries", cfg.ann.entries, "entry hosts, ip:port,ip:port"),
	STR("balance", balance, "round-robin or random"),
	STR("key-file", key_file, "file with the endpoint key"),
	INT("announce-ms", cfg.ann.interval_ms, "time between announcements"),
	{"incarnation", 0, 0, G_OPTION_ARG_INT64, &cfg.ann.incarnation,
	 "default: the wall time in ms", "N"},
	STR("models", cfg.models, "model names, comma-separated"),
	STR("adapters", cfg.adapters, "adapter names, comma-separated"),
	STR("model-version", cfg.version, "model version"),
	STR("role", cfg.role, "role"),
	INT("blocks", cfg.batch.blocks, "cache blocks"),
	INT("block-tokens", cfg.batch.block_tokens, "tokens in a block"),
	INT("max-batch", cfg.batch.max_batch, "running generations"),
	INT("cache-blocks", cfg.batch.cache_blocks, "bound of prefix cache"),
	INT("base-us", cfg.batch.base_us, "time of a step"),
	INT("per-seq-us", cfg.batch.per_seq_us, "added for each sequence"),
	INT("prefill-us", cfg.batch.prefill_us, "for each prompt token"),
	INT("prefill-chunk", cfg.batch.prefill_chunk, "prompt tokens a step"),
	STR("out-dist", cfg.out_dist, "lognormal or pareto"),
	NUM("out-median", cfg.out_median, "median output tokens"),
	NUM("out-sigma", cfg.out_sigma, "sigma of the lognormal"),
	NUM("out-alpha", cfg.out_alpha, "alpha of the Pareto tail"),
	INT("out-cap", cfg.out_cap, "longest output"),
	INT("seed", cfg.seed, "seed of lengths, gaps and balancing"),
	INT("max-waiting", cfg.max_waiting, "waiting generations"),
	INT("load-lag-ms", cfg.load_lag_ms, "age of load reports"),
	INT("load-report-ms", cfg.load_report_ms, "time between reports"),
	INT("unread-keep-ms", cfg.unread_keep_ms, "keep without reader"),
	INT("cache-event-lag-ms", cfg.cache_event_lag_ms, "cache event lag"),
	NUM("cache-event-gap", cfg.cache_event_gap, "part that is lost"),
	FLAG("checks-fence", cfg.checks_fence, "refuse stale fences"),
	FLAG("stamp", cfg.stamp, "token texts carry the time of their write"),
	STR("store", cfg.store, "weight store, ip:port"),
	INT("load-ms", cfg.load_ms, "time of a load without a store"),
	STR("history", cfg.history, "history file"),
	STR("crash-marker", cfg.crash_marker, "crash on such a prompt"),
	{"die-after-tokens", 0, 0, G_OPTION_ARG_INT64, &die_after,
	 "crash at this token", "N"},
	INT("crossed-every", faults.crossed_every, "crossed events"),
	FLAG("verbose", verbose, "log more"),
	{NULL, 0, 0, 0, NULL, NULL, NULL}};

static void on_term(EV_P_ ev_signal *w, int revents)
{
	(void)loop;
	(void)revents;
	endpoint_leave(w->data, 0);
}

int main(int argc, char **argv)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	static struct endpoint endpoint;
	ev_signal term;

	args_parse(&argc, &argv, "Stand-in model endpoint.", options);
	log_setup("mw-endpoint", verbose ? LOG_DEBUG : LOG_INFO);
	signal(SIGPIPE, SIG_IGN);
	cfg.ann.key = args_key(key_file);
	cfg.ann.random = !g_strcmp0(balance, "random");
	cfg.ann.seed = (uint32_t)cfg.seed;
	faults.die_after = die_after;
	endpoint.faults = faults;
	if (endpoint_start(&endpoint, loop, &cfg))
		return EXIT_FAILURE;
	ev_signal_init(&term, on_term, SIGTERM);
	term.data = &endpoint;
	ev_signal_start(loop, &term);
	ev_run(loop, 0);
	endpoint_stop(&endpoint);
	return EXIT_SUCCESS;
}
