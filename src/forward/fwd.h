#ifndef FORWARD_FWD_H
#define FORWARD_FWD_H

#include <stdbool.h>
#include <stdint.h>
#include <ev.h>
#include <glib.h>

#include "base/hlc.h"
#include "base/list.h"
#include "conf/conf.h"
#include "forward/budget.h"
#include "forward/health.h"
#include "forward/plan.h"
#include "forward/turn.h"
#include "iface/iface.h"
#include "net/fetch.h"
#include "net/httpd.h"
#include "net/peer.h"
#include "policy/est.h"
#include "policy/registry.h"

/*
 * An entry host that forwards requests unchanged: callers speak to endpoints
 * through an interface (iface.h).  One event loop, one thread:
 *
 *   fwd.c      start, readiness, shutdown
 *   follow.c   what the control processes tell
 *   reading.c  plans, read in steps between other work
 *   endpoints.c     endpoints, their load and failures
 *   request.c  life of a request: admission, attempts, answer
 *   queue.c    waiting and placing
 *   choose.c   which endpoint, and which keeps a copy
 *   relay.c    streams of events
 *   move.c     generations whose endpoint leaves
 *
 * The host holds no lease: it serves the newest plan that it knows, also while
 * it is cut off from the control processes.
 */

struct fwd;

/* An endpoint as this host sees it. */
struct fwd_endpoint {
	char id[128];
	char addr[64];
	char dc[64];
	char service[128];
	uint64_t incarnation;
	unsigned int slots;
	bool serving;
	bool has_left; /* its address may belong to another one */
	/* Own work. */
	struct list requests; /* struct request, by target_node */
	unsigned int open_here;
	uint64_t needed_here_tokens, prefill_here_tokens;
	/* Work of the other hosts, as of the last totals. */
	unsigned int open_elsewhere;
	uint64_t needed_elsewhere_tokens, prefill_elsewhere_tokens;
	/* As it says itself, half a second ago; 0: not known. */
	uint64_t used_tokens;
	unsigned int engine_queue;
	int64_t move_due_us; /* its generations are moved then, 0: not at all */
	/* Failures. */
	int64_t avoid_until_us;
	unsigned int consecutive_failures;
	struct health health;
};

/* A newer plan that is being read; reader is NULL if there is none. */
struct plan_parse {
	struct plan_reader *reader;
	uint64_t tree_version;
	size_t step_bytes; /* bytes */
	unsigned int steps_done;
	int64_t start_us;
	ev_timer timer;
};

/* What this host knows of one service. */
struct service_state {
	struct budget budget; /* of repeats */
	struct quota quota;
	uint64_t queued_elsewhere_tokens; /* tokens that wait on other hosts */
};

struct fwd {
	struct conf *conf;
	struct ev_loop *loop;
	const struct iface *iface;
	struct hlc hlc;
	uint64_t incarnation;
	GRand *rand;
	struct peer_net *peers;
	struct fetcher *fetcher;
	struct httpd *caller_httpd;
	struct httpd *ready_httpd;
	struct httpd *admin_httpd; /* metrics */

	/* follow.c */
	GHashTable *dialled_addrs; /* addresses of control processes that are
				      dialled */
	uint64_t tree_version;
	uint64_t latest_tree_version;
	bool document_requested;
	unsigned int document_requests;
	struct plan *plan; /* NULL until one is known */
	struct plan_parse parse;
	uint64_t use_seq;
	int64_t use_sent_us;
	bool use_unreported;
	size_t use_report_rows;	    /* of the last report */
	int64_t totals_received_us; /* when sums came last */
	char report_host[64];	    /* control process that gets the reports */
	char avoid_host[64];	    /* one that did not answer them */
	int64_t avoid_until_us;
	unsigned int n_hosts; /* that forward, this one included */

	/* endpoints.c */
	struct registry *registry;
	GHashTable *endpoints; /* id to struct fwd_endpoint */
	GHashTable *services;  /* name to struct service_state */

	/* request.c */
	struct est *est;      /* output tokens, by route */
	struct list requests; /* all */
	struct list waiting;  /* those without an endpoint, by rank */
	size_t n_requests;
	size_t n_waiting;

	ev_timer tick;
	ev_prepare flush;
	ev_signal sigterm, sigint, sighup;
	bool draining;
	int64_t drain_start_us; /* when the shutdown began */
	bool quiesced;		/* no new connections are taken */
};

int fwd_new(struct conf *conf, struct ev_loop *loop, const struct iface *iface,
	    struct fwd **out);
void fwd_free(struct fwd *f);

/* ---- follow.c ---- */
int follow_start(struct fwd *f);
void follow_stop(struct fwd *f);
void follow_tick(struct fwd *f, int64_t now);
/* Reports work that changed; for each turn of the loop. */
void follow_flush(struct fwd *f, int64_t now);

/* ---- reading.c ---- */
void parse_init(struct fwd *f);
/*
 * Reads the text (taken over) and puts the plan in force if its revision is
 * higher; at once if there is no plan yet, otherwise within about 0.3 s.
 */
void parse_start(struct fwd *f, char *text, size_t len, uint64_t tree_version,
		 int64_t now);
void parse_stop(struct fwd *f);

/* ---- endpoints.c ---- */
void endpoints_start(struct fwd *f);
void endpoints_stop(struct fwd *f);
void endpoints_update(struct fwd *f, const Mw__EndpointInfo *info, int64_t now);
void endpoints_apply_totals(struct fwd *f, const Mw__UseTotals *totals,
			    int64_t now);
/* The rows of this host's own report; freed with endpoints_use_free(). */
Mw__UseReport *endpoints_use_report(struct fwd *f, int64_t now);
void endpoints_use_report_free(Mw__UseReport *r);
struct fwd_endpoint *endpoints_find(struct fwd *f, const char *id);
/* A request could not be delivered, or the endpoint broke off. */
void endpoints_record_failure(struct fwd *f, struct fwd_endpoint *t,
			      int64_t now);
void endpoints_record_success(struct fwd *f, struct fwd_endpoint *t,
			      int64_t now);
struct service_state *endpoints_service_state(struct fwd *f,
					      const char *service);
void endpoints_tick(struct fwd *f, int64_t now);

/* ---- request.c ---- */
void request_accept(void *ctx, struct httpd_req *http);
void request_tick(struct fwd *f, int64_t now);
/* Tokens of the generations that wait here for the service. */
uint64_t request_queued_tokens(struct fwd *f, const char *service);
/* Tries to place what waits. */
void request_place_waiting(struct fwd *f, int64_t now);

/* ---- move.c ---- */
/* The endpoint leaves: moves the generations of this host. */
void move_endpoint_generations(struct fwd *f, struct fwd_endpoint *t,
			       int64_t now);

#endif
