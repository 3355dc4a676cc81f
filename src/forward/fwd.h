#ifndef FORWARD_FWD_H
#define FORWARD_FWD_H

#include <stdbool.h>
#include <stdint.h>
#include <ev.h>
#include <glib.h>

#include "base/hlc.h"
#include "base/list.h"
#include "conf/conf.h"
#include "forward/accounts.h"
#include "forward/budget.h"
#include "forward/demand.h"
#include "forward/drain.h"
#include "forward/failures.h"
#include "forward/health.h"
#include "forward/plan.h"
#include "forward/quota.h"
#include "forward/rate.h"
#include "iface/iface.h"
#include "net/fetch.h"
#include "net/httpd.h"
#include "net/peer.h"
#include "policy/est.h"
#include "policy/evacuation.h"
#include "policy/leave_dc.h"
#include "policy/length.h"
#include "policy/owner.h"
#include "policy/pace.h"
#include "policy/pause.h"
#include "policy/registry.h"
#include "policy/residency.h"
#include "policy/unseen_hosts.h"
#include "policy/warmup.h"

/*
 * An entry host that forwards requests unchanged.  The formats that callers and
 * endpoints speak are encoded and decoded by an interface (iface.h).  One
 * thread runs one event loop:
 *
 *   fwd.c           start, readiness, planned stop
 *   drain.c         what a planned stop still takes, and when it ends
 *   control_link.c  link to control processes: plans, usage reports, totals
 *   plan_parse.c    parsing of a plan in steps between other work
 *   endpoints.c     endpoints and their load
 *   faults.c        endpoints that fail
 *   request.c       life of a request: admission, attempts, answer
 *   startup.c       how long requests wait for a host that starts
 *   repeat.c        whether a request is sent again after a failed attempt
 *   queue.c         requests that wait for an endpoint, and their placement
 *   demand.c        queued work that competes for the endpoints of some regions
 *   choose.c        choice of an endpoint for a request or a KV copy
 *   leave.c         requests that leave the host's data centre
 *   regions.c       regions that a request may be sent to
 *   relay.c         streams of events
 *   move.c          moves of generations away from endpoints that leave
 *   move_order.c    order and times of their copies
 *   source_stop.c   the end of a moved generation at its former endpoint
 *   pause.c         pauses that endpoints ask for
 *   owner_check.c   which server uses an address
 *   paces.c         speed of endpoints as observed
 *   crashes.c       requests that crash endpoints
 *   crash_reports.c reports on crashes for the replicated log
 *
 * The host holds no lease: it serves the newest plan that it has received, also
 * while it is cut off from the control processes.
 */

struct fwd;
struct request;
struct crashes;

/* State of an endpoint on this host; its announcement is in the registry. */
struct fwd_endpoint {
	char id[128];
	char addr[64];
	char dc[64];
	char service[128];
	int region; /* of dc in fwd::regions */
	uint64_t incarnation;
	unsigned int slots; /* requests that it runs at the same time */
	char state[16]; /* as logged last; empty: no row of this incarnation */
	bool serving;
	bool leaves;	  /* it has said so, or has left */
	bool has_left;	  /* another endpoint may have the address by now */
	bool is_replaced; /* another endpoint answered a question there */
	bool contested;	  /* another endpoint announces the address */
	bool claims;	  /* another endpoint holds the address */
	bool holds;	  /* it holds the address */
	bool is_gone;	  /* another endpoint answered a request there */
	/* Work that this host placed there. */
	struct list requests; /* struct request, by endpoint_node */
	unsigned int open_here;
	uint64_t needed_here_tokens;  /* memory needed at its end */
	uint64_t prefill_here_tokens; /* prompt tokens not processed yet */
	/* Work that all other hosts placed there, from the last totals. */
	unsigned int open_elsewhere;
	uint64_t needed_elsewhere_tokens, prefill_elsewhere_tokens;
	/* The endpoint's own figures, about 0.5 s old; 0: none received. */
	uint64_t used_tokens;	   /* memory in use */
	unsigned int engine_queue; /* requests that wait in its queue */
	int64_t move_due_us; /* when its generations are moved away; 0: never */
	int64_t leaving_since_us; /* as known here; 0: it does not leave */
	struct rate rate;	  /* of requests, if the endpoint limits them */
	struct warmup warmup;	  /* limit of requests while it is cold */
	bool was_cold;		  /* at the last tick */
	int64_t paused_until_us;  /* it asked for no requests before */
	/* Failures of attempts. */
	int64_t avoid_until_us;
	unsigned int consecutive_failures;
	unsigned int runs_dropped; /* in a row, before an order to stop */
	struct health health;
	struct failures failures;
	struct pace pace; /* speed of a model endpoint, as observed */
	/* owner_check.c */
	struct owner_pace owner_pace;
	bool owner_asked; /* a question is open */
};

/* A newer plan that is being parsed; reader is NULL if there is none. */
struct plan_parse {
	struct membudget_holder memory;
	struct plan_reader *reader;
	uint64_t tree_version; /* that the text came with */
	size_t step_bytes;     /* parsed in one step */
	unsigned int steps_done;
	int64_t start_us;
	ev_timer timer; /* next step */
};

/* State of a service on this host. */
struct service_state {
	struct budget budget; /* of repeated requests */
	/* Quotas of queued generations to place, one for each set of regions */
	struct region_quota {
		struct residency allowed;
		struct quota quota;
		/* Its parts by account, while room is short; none if only one
		 * account asks for it. */
		struct account_quota {
			const struct account_state *account;
			double left_tokens;
		} * accounts;
		size_t n_accounts;
	} quotas[DEMANDS_MAX];
	size_t n_quotas;
	struct accounts accounts;
	struct demands queued_elsewhere; /* in the queues of other hosts */
	struct rate_window arrivals;	 /* requests of callers */
	unsigned int arrivals_elsewhere; /* lately, on other hosts */
	/* Destinations of requests, the host's own data centre included;
	 * further ones are not logged. */
	struct leave_dest {
		char dc[64];
		struct leave_share share;
	} leave[CONF_DC_REGIONS_MAX];
	size_t n_leave;
	/* endpoints_warmup_pace(), for these limits and this number of hosts */
	struct warmup_limits warmup_limits;
	unsigned int warmup_hosts;
	struct warmup_pace warmup_pace;
};

struct fwd {
	struct conf *conf;
	struct ev_loop *loop;
	const struct iface *iface;
	struct hlc hlc;
	uint64_t incarnation; /* of this process */
	int64_t start_us;     /* when this process started */
	GRand *rand;
	struct peer_net *peers;	 /* connections to control processes */
	struct fetcher *fetcher; /* HTTP client for endpoints */
	struct membudget memory; /* what callers make this process hold */
	struct httpd *caller_httpd;
	struct httpd *ready_httpd; /* readiness for the balancer */
	struct httpd *admin_httpd; /* metrics */

	/* control_link.c */
	GHashTable *dialled_addrs;    /* set of control processes' addresses */
	uint64_t tree_version;	      /* that the last document came with */
	uint64_t latest_tree_version; /* highest version announced */
	bool document_requested;      /* a request for it is open */
	unsigned int document_requests; /* sent since the start */
	int64_t document_sent_us;	/* last request */
	int64_t stalled_us;	/* end of the last long stall, see below */
	int64_t hold_until_us;	/* no requests are sent before */
	unsigned int proposals; /* sent since the start */
	struct evacuation evacuation; /* data centres that get nothing more */
	struct plan *plan;	      /* in force; NULL before the first */
	struct plan_parse parse;
	uint64_t use_seq; /* of the last usage report */
	int64_t use_sent_us;
	bool use_unreported;	    /* usage changed since the last report */
	size_t use_report_rows;	    /* in the last report */
	int64_t totals_received_us; /* last totals */
	char report_host[64];	    /* control process that gets the reports */
	char avoid_host[64];	    /* one that stopped sending totals */
	int64_t avoid_until_us;	    /* for avoid_host */
	unsigned int n_hosts;	    /* entry hosts, this one included */
	int64_t paces_updated_us;   /* paces.c */
	int64_t faults_updated_us;  /* faults.c */
	struct warmup_hosts warmup_hosts; /* the most that there may be */
	struct unseen_hosts unseen_hosts; /* missing in the last totals */

	/* regions.c */
	struct residency_map regions;
	uint64_t regions_version; /* of the map; from 1 */

	/* endpoints.c */
	struct registry *registry;
	GHashTable *endpoints; /* id to struct fwd_endpoint */
	GHashTable *services;  /* name to struct service_state */
	bool place_waiting;    /* an endpoint began to serve */

	/* request.c */
	struct output_estimator *est; /* forecast of output tokens, by route */
	struct length_model *length;  /* the same, for requests with a hint */
	struct output_estimator *est_call_ms; /* of durations of calls */
	struct list requests;		      /* all requests */
	struct list unadmitted;	  /* arrived before the first plan */
	struct list waiting;	  /* for an endpoint, by rank, then arrival */
	struct list source_stops; /* orders that are not answered */
	size_t n_requests;
	bool waiting_by_account; /* not by arrival */
	size_t n_waiting;
	size_t n_displaced; /* of them, to be refused */
	size_t n_unadmitted;

	struct crashes *crashes;  /* crashes.c */
	struct list owner_checks; /* owner_check.c */
	size_t n_owner_checks;

	ev_timer tick;
	ev_prepare flush;
	ev_check check;
	int64_t last_check_us;
	ev_signal sigterm, sigint, sighup;
	struct drain drain; /* since the first SIGTERM or SIGINT */
	bool quiesced;	    /* new connections are no longer accepted */
};

/*
 * Creates the forwarder and starts it in the loop.  conf, loop and iface must
 * outlive it.  Returns 0 or a negative error; *out is to be freed with
 * fwd_free() in both cases.
 */
int fwd_new(struct conf *conf, struct ev_loop *loop, const struct iface *iface,
	    struct fwd **out);
void fwd_free(struct fwd *f);

/* Times called `now` are those of the monotonic clock, in microseconds. */

/* ---- control_link.c ---- */
/* Listens and dials the configured seeds; returns 0 or a negative error. */
int control_link_start(struct fwd *f);
void control_link_stop(struct fwd *f);
/* Sends a usage report if one is due, and requests a newer plan. */
void control_link_tick(struct fwd *f, int64_t now);
/*
 * Sends a usage report if one is due; called in each iteration of the event
 * loop.
 */
void control_link_flush(struct fwd *f, int64_t now);

/*
 * The process did not run for a long time, so data centres may have been
 * evacuated meanwhile.  Requests that arrived are held until a control process
 * has answered, for a second at most: a host that is cut off goes on sending.
 */
void control_link_handle_stall(struct fwd *f, int64_t stall_us, int64_t now);

/*
 * Proposes a command to the replicated log through some control process.
 * Returns 0, or a negative error if none is connected; then `done` is not
 * called.
 */
int control_link_propose(struct fwd *f, Mw__Command *cmd, int timeout_ms,
			 void (*done)(int err, const Mw__Frame *reply,
				      void *ctx),
			 void *ctx);
/* Number of connected control processes. */
unsigned int control_link_controls(const struct fwd *f);
/* Sends the row of an endpoint to all connected control processes. */
void control_link_send_endpoint(struct fwd *f, Mw__EndpointInfo *info);
/* Sends a crash mark to all connected control processes. */
void control_link_send_crash_mark(struct fwd *f, Mw__CrashMark *mark);
/* Sends traits that this host vouches for to one control process, which
 * forwards them; crashes that are not cleared are cleared after the next one.
 */
void control_link_send_vouch(struct fwd *f, Mw__CrashMark *mark, int64_t now);

/* ---- plan_parse.c ---- */
void plan_parse_init(struct fwd *f);
/*
 * Starts to parse a plan, and drops one that is being parsed.  Takes ownership
 * of text, which is freed with g_free().  The plan comes into force if its
 * revision is higher than the present one's: before the function returns if
 * there is no plan yet, otherwise within about 0.3 s.
 */
void plan_parse_start(struct fwd *f, char *text, size_t len,
		      uint64_t tree_version, int64_t now);
void plan_parse_stop(struct fwd *f);

/* ---- endpoints.c ---- */
void endpoints_start(struct fwd *f);
void endpoints_stop(struct fwd *f);
/*
 * Applies an announcement, if it is newer than the last one.  Returns NULL, or
 * the row to send back: the sender offers an endpoint that leaves or has left,
 * which it has forgotten by a restart.
 */
Mw__EndpointInfo *endpoints_update(struct fwd *f, const Mw__EndpointInfo *info,
				   int64_t now);
/* Applies the totals over all other hosts. */
void endpoints_apply_totals(struct fwd *f, const Mw__UseTotals *totals,
			    int64_t now);
/*
 * Returns a report of this host's work, to be freed with
 * endpoints_use_report_free().  It points to strings of f and is valid only
 * until the endpoints or services of f change.
 */
Mw__UseReport *endpoints_use_report(struct fwd *f, int64_t now);
void endpoints_use_report_free(Mw__UseReport *r);
/* Returns NULL if the id is unknown. */
struct fwd_endpoint *endpoints_find(struct fwd *f, const char *id);
/* ---- faults.c ---- */
/* Compares the endpoints of all services by their failures, if it is due. */
void faults_tick(struct fwd *f, int64_t now);
/* Records an attempt that the endpoint answered with an error, and not only
 * because it has no room. */
void faults_record_error(struct fwd *f, struct fwd_endpoint *ep, int64_t now);

/* Records an attempt that was not delivered or whose answer broke off. */
void endpoints_record_failure(struct fwd *f, struct fwd_endpoint *ep,
			      int64_t now);
/* Records that an answer came from another incarnation: this one gets no more
 * requests, whatever is announced for it. */
void endpoints_mark_gone(struct fwd *f, struct fwd_endpoint *ep);
/* Applies what an answer says of the requests that the endpoint takes. */
void endpoints_apply_limit(struct fwd *f, struct fwd_endpoint *ep,
			   const struct endpoint_notice *notice, int64_t now);
/*
 * Applies what any answer of the endpoint's present incarnation says of the
 * endpoint, except for its limit; `source` names the kind of the answer in the
 * log.
 */
void endpoints_apply_notice(struct fwd *f, struct fwd_endpoint *ep,
			    const struct endpoint_notice *notice,
			    const char *source, int64_t now);
/*
 * The pauses of the service's endpoints; call it if no endpoint is usable.
 */
struct pause_state endpoints_pauses(struct fwd *f, const char *service,
				    int64_t now);
/* What this host has of all hosts' requests for the service; without the number
 * of endpoints. */
struct rate_hosts endpoints_rate_hosts(struct fwd *f, const char *service,
				       int64_t now);
/* What this host may send to each endpoint of the service. */
const struct warmup_pace *endpoints_warmup_pace(struct fwd *f,
						const char *service);
/* Applies what the endpoint states of its warm-up, made at made_us or later. */
void endpoints_apply_cold(struct fwd *f, struct fwd_endpoint *ep,
			  int64_t cold_us, int64_t made_us, const char *source,
			  int64_t now);
/* Counts the endpoints of a data centre that is back after an evacuation as
 * cold, until they state otherwise. */
void endpoints_assume_cold(struct fwd *f, const char *dc, int64_t now);
/* Records n requests that are sent to the endpoint now or soon. */
void endpoints_record_sent(struct fwd *f, struct fwd_endpoint *ep,
			   unsigned int n, int64_t now);
/* Records an attempt that was answered. */
void endpoints_record_success(struct fwd *f, struct fwd_endpoint *ep,
			      int64_t now);
/* Whether the endpoint is in a data centre that gets nothing more. */
bool endpoints_is_evacuated(const struct fwd *f, const struct fwd_endpoint *ep);
/* Whether the service has serving endpoints, all of them evacuated. */
bool endpoints_all_evacuated(struct fwd *f, const char *service);
/*
 * Applies a newer set of evacuated data centres; an older one is ignored.
 * Generations there begin to move, and waiting requests are placed or refused.
 */
void endpoints_set_evacuation(struct fwd *f, uint64_t tree_version,
			      const char *const *dcs, size_t n, int64_t now);
/* Returns the state of the service, which is created if there is none. */
struct service_state *endpoints_service_state(struct fwd *f,
					      const char *service);
void endpoints_tick(struct fwd *f, int64_t now);

/* ---- paces.c ---- */
/* Records a whole event that has arrived from the request's endpoint. */
void paces_observe_event(struct request *r, int64_t now);
/* Notes the load under which the request was sent. */
void paces_note_sent(struct request *r, const struct fwd_endpoint *ep);
/* Recomputes the factors of all endpoints if it is due. */
void paces_tick(struct fwd *f, int64_t now);

/* ---- request.c, queue.c ---- */
/* Handler of caller_httpd; ctx is the struct fwd. */
void request_accept(void *ctx, struct httpd_req *http);
/* Admits the requests that have arrived before the first plan. */
void request_admit_all(struct fwd *f, int64_t now);
/* Places waiting requests, refuses those that have waited too long, and takes
 * the next steps of moves that are due. */
void request_tick(struct fwd *f, int64_t now);
/*
 * Memory, in tokens, that the generations in this host's queue for the service
 * are expected to need, by allowed regions; urgent ones are not counted.
 */
struct demands request_queued(struct fwd *f, const char *service);
/* Gives a final answer to each request that has none yet, except to streams
 * that have begun. */
void request_answer_all(struct fwd *f, int64_t now);
/* Ends all attempts at an endpoint as broken off. */
void request_end_attempts(struct fwd_endpoint *ep, const char *why,
			  int64_t now);
/* Refuses the waiting requests whose service has only evacuated endpoints. */
void request_refuse_evacuated(struct fwd *f, int64_t now);
/* Refuses waiting requests whose place others have got. */
void request_refuse_displaced(struct fwd *f, int64_t now);
/* Tries to place the requests that wait. */
void request_place_waiting(struct fwd *f, int64_t now);

/* ---- move.c ---- */
/* Begins to move this host's generations away from an endpoint that leaves. */
void move_endpoint_generations(struct fwd *f, struct fwd_endpoint *ep,
			       int64_t now);

#endif
