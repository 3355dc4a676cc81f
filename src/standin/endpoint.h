#ifndef STANDIN_ENDPOINT_H
#define STANDIN_ENDPOINT_H

#include <stdint.h>
#include <ev.h>
#include <glib.h>
#include <jansson.h>

#include "net/fetch.h"
#include "net/httpd.h"
#include "standin/announce.h"
#include "standin/batch.h"
#include "standin/hist.h"

/*
 * The stand-in model endpoint (mw-endpoint), split by concept:
 *  endpoint_gen.c    generations, their streams and readers (epg_)
 *  endpoint_http.c   the HTTP interface (eph_)
 *  endpoint_order.c  orders and loads from the weight store (epo_)
 *  endpoint_fault.c  faults (epf_)
 */

struct endpoint_config {
	struct batch_config batch;
	struct ann_config ann;
	char *listen;
	char *advertise; /* address in announcements; NULL: the real one */
	char *models;	 /* comma-separated */
	char *adapters;
	char *version;
	char *role;
	char *history;
	char *store;	    /* ip:port; NULL: a load takes load_ms */
	char *crash_marker; /* NULL: none */
	char *out_dist;	    /* "lognormal" or "pareto" */
	double out_median;  /* tokens */
	double out_sigma;   /* lognormal */
	double out_alpha;   /* pareto */
	int out_cap;	    /* tokens */
	int seed;	    /* of output lengths */
	int load_ms;
	int max_waiting;    /* more are refused as busy */
	int load_lag_ms;    /* age of the load in announcements, reports */
	int load_report_ms; /* time between reports on a stream; 0: none */
	int unread_keep_ms; /* for generations without a reader */
	int cache_event_lag_ms;
	double cache_event_gap; /* part of the cache events that is lost */
	int checks_fence;
	int stamp; /* token texts carry the monotonic time of their write */
};

struct endpoint_faults {
	int64_t die_after; /* tokens; -1: never */
	int crossed;	   /* number of crossed events still to send */
	int crossed_every; /* one in so many tokens; 0: none */
	int late_ms;	   /* delay of the next answers */
	int late_count;
	int silent;	       /* nothing is sent or answered */
	int stalled;	       /* no steps are run */
	int drop_cache_events; /* number still to drop */
};

/* Samples of the load, so that reports can be late by load_lag_ms. */
#define LOAD_SAMPLES 128
#define LOAD_SAMPLE_MS 50

struct endpoint {
	struct endpoint_config cfg;
	struct ev_loop *loop;
	struct fetcher *fr;
	struct httpd *httpd;
	struct hist *hist;
	struct ann *ann;
	struct batch *batch;
	GHashTable *gens; /* id to struct gen */
	GPtrArray *models, *adapters;
	char *version, *role, *addr;
	int64_t max_fence;

	/* Steps are timed by a timerfd: libev's timers are too coarse. */
	ev_io step_watch;
	int step_fd;
	int stepping;
	int64_t step_end;

	struct batch_load samples[LOAD_SAMPLES];
	int nsamples;
	ev_timer sample_timer, sweep_timer, cache_timer, exit_timer;
	GQueue cache_events; /* not yet sent */
	int64_t cache_seq;
	GRand *rnd; /* for cache event gaps */

	int leaving;
	int left; /* the leave has been answered */
	int loading;
	GQueue orders; /* loads to run */
	struct endpoint_faults faults;
	GPtrArray *held; /* requests that arrived while silent */
	int64_t tokens;
};

/* Returns 0 or a negative error number (logged). */
int endpoint_start(struct endpoint *e, struct ev_loop *loop,
		   const struct endpoint_config *cfg);

/* Closes all connections and frees what endpoint_start() made. */
void endpoint_stop(struct endpoint *e);

/* Starts to leave; deadline_ms 0: waits until idle and then exits. */
void endpoint_leave(struct endpoint *e, int deadline_ms);

/* "serving", "loading" or "leaving". */
const char *endpoint_state(const struct endpoint *e);

/* The load as reports show it, load_lag_ms old. */
struct batch_load endpoint_lagged_load(const struct endpoint *e);

void epg_init(struct endpoint *e);
void epg_free(struct endpoint *e);
/* Starts a generation for a parsed POST /v1/completions and answers it. */
void epg_submit(struct endpoint *e, struct httpd_req *req, const json_t *j);
/* Takes over the stream of a generation from index `from` on. */
void epg_resume(struct endpoint *e, struct httpd_req *req, const char *id,
		int from);
void epg_cancel(struct endpoint *e, struct httpd_req *req, const char *id,
		int reader);
/* Sends what readers have not yet got; after silence or a stall. */
void epg_wake(struct endpoint *e);
/* Sends a load report on all streams at once. */
void epg_report_all(struct endpoint *e);
/* Number of generations that still have to run or to be read. */
int epg_open(const struct endpoint *e);
/* Number of tokens that the prompt will produce; deterministic. */
int epg_draw_length(const struct endpoint_config *cfg, uint64_t prompt_hash);
/* Formats the start of a token event, up to the text; returns its length. */
int epg_format_token(char *dst, size_t size, const char *id,
		     uint64_t prompt_hash, int index);

void eph_handle(void *ctx, struct httpd_req *req);

void epo_order(struct endpoint *e, struct httpd_req *req);

void epf_fault(struct endpoint *e, struct httpd_req *req);
/* Ends the process at once, as a crash would. */
void epf_die(struct endpoint *e, const char *why) __attribute__((noreturn));

#endif
