#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include <stdbool.h>
#include <stdint.h>
#include <ev.h>
#include <glib.h>

#include "admin/admin.h"
#include "base/buf.h"
#include "base/hlc.h"
#include "base/list.h"
#include "conf/conf.h"
#include "control/hub_client.h"
#include "control/hub_order.h"
#include "endpoint/ep.h"
#include "entry/hostcfg.h"
#include "net/fetch.h"
#include "net/httpd.h"
#include "net/peer.h"
#include "obs/event.h"
#include "policy/credit.h"
#include "policy/est.h"
#include "policy/limit.h"
#include "policy/queue.h"
#include "policy/retry.h"
#include "policy/route.h"
#include "policy/suspect.h"

/*
 * The entry host: one event loop, one thread.  struct entry owns all state
 * of the process; the files of this folder hold its parts:
 *
 *   session.c   renewals, configuration
 *   session_hub.c  choice of the hub, reports, announcements
 *   local_hub.c hub of the data centre on this host
 *   view.c      endpoints as known to this host
 *   request.c   generations: admission, queue, end
 *   remote.c    endpoints that other data centres lend
 *   dispatch.c  placing queued generations on endpoints, retries
 *   stream.c    relaying tokens to the caller
 *   service.c   plain services
 *   once.c      once-only calls and the ledger
 *   api.c       HTTP paths of callers and endpoints
 *   admin.c     HTTP paths of operators
 *   work.c      queues, accounts and lost endpoints for status answers
 */

struct entry;
struct request;
struct work_stats;

/* Requests for one model wait in one queue. */
struct pool {
	char name[128];
	struct queue *queue;
	struct entry *entry;
};

/* Contact with the control group and the hub. */
struct session {
	struct hostcfg cfg;
	enum host_mode logged_mode; /* when it was logged last */
	ev_timer renew_timer;
	ev_timer report_timer;
	bool tree_asked;
	bool renew_open;
	/* Hub of the data centre. */
	char hub[64]; /* that answered last; "" if none answers */
	struct hub_order *order;
	GHashTable *dials; /* candidate's name to the address dialled */
	char asked[65];	   /* hub of the newest report */
	struct hub_client *hub_client;
	bool report_open;
	int64_t reported_us; /* when the newest report was sent */
	uint64_t suspect_version;
	int64_t hub_heard_us;
	int64_t report_sent_us;
	/* Hub on this host, while it is used; see local_hub.c. */
	struct hub *local_hub;
	uint64_t local_members; /* member version that it was told */
	int64_t local_used_us;	/* last report */
};

struct entry {
	struct conf *conf;
	struct ev_loop *loop;
	struct hlc hlc;
	struct peer_net *peers;
	struct fetcher *fetcher;
	struct httpd *callers;
	struct httpd *admin;
	struct admin admin_api;
	struct event_ring *events;
	GRand *rand;
	uint64_t incarnation;
	int64_t started_us;

	struct session session;
	const struct ep_ops *ep_ops;

	/* Decisions; the tables are chosen by --policy. */
	const struct queue_ops *queue_ops;
	struct output_estimator *est;
	struct credit *credit;
	struct route *route;
	struct retry_budget retry;
	struct suspects *suspects;
	struct list
		pending_marks; /* crash marks that the log has not taken yet */
	size_t n_pending_marks;
	struct limits *limits;
	GHashTable *pools;	      /* model name to struct pool */
	GHashTable *account_backlogs; /* account to what it has waiting */
	GHashTable *known;	      /* endpoint id to struct endpoint */
	GHashTable *remote_endpoints; /* endpoint id to struct remote_endpoint,
					 remote.c */
	int64_t spill_reported_us;    /* newest report with a spill part */
	int64_t spill_demand_reported_us; /* newest one that named demand */
	bool spill_demand_reported;	  /* the newest one did */
	struct work_stats *work;	  /* numbers for status answers */
	ev_timer pump_timer;
	ev_timer tick_timer;

	struct list requests; /* struct request */
	struct list calls;    /* struct call */
	uint64_t attempts;    /* once-only attempts of this process */
	size_t open_requests;
	struct buf chunk; /* event being formatted; empty between events */
	bool draining;
	int64_t drain_until_us;
	bool stopped;
	ev_signal sigterm, sigint;
};

int entry_new(struct conf *conf, struct ev_loop *loop, struct entry **out);
void entry_free(struct entry *e);

/* Starts the graceful shutdown; the loop is ended when it is complete. */
void entry_drain(struct entry *e);

/* Present mode of the host; see struct hostcfg. */
enum host_mode entry_mode(struct entry *e, int64_t now);

/* Whether the host takes new work; the answer of /readyz. */
bool entry_ready(struct entry *e, int64_t now);

/* Sends an event to the time line; detail is a short sentence. */
void entry_event(struct entry *e, enum event_kind kind, const char *request,
		 const char *account, const char *endpoint, const char *fmt,
		 ...) __attribute__((format(printf, 6, 7)));

void entry_change_event(struct entry *e, enum event_kind kind,
			const char *change, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/* ---- session.c ---- */
int session_start(struct entry *e);
void session_stop(struct entry *e);
void session_peer_up(struct entry *e, struct peer *p);
void session_peer_frame(struct entry *e, struct peer *p, const Mw__Frame *f);

/*
 * Proposes a command to the control leader.  fn gets 0 and the result, or a
 * negative error number: -MW_ENOLEADER if the command was surely not
 * proposed, -MW_EUNKNOWN if it may have been.
 */
typedef void (*session_result_fn)(int err, const Mw__Result *r, void *ctx);
void session_propose(struct entry *e, Mw__Command *cmd, int timeout_ms,
		     session_result_fn fn, void *ctx);

/* Asks for what this host lacks, one process at a time. */
void session_ask_tree(struct entry *e);
void session_ask_tree_of(struct entry *e, struct peer *p);

void session_ack(struct entry *e, struct peer_rpc rpc, int err);

/* A connected control process, the nearest one; or NULL. */
struct peer *session_control(struct entry *e);

/* ---- session_hub.c ---- */
void session_hub_start(struct entry *e);
void session_hub_stop(struct entry *e);

/*
 * Sends a crash mark of this host (from NULL) to all control processes, which
 * tell the other hosts, and to a hub on an entry host.  A hub on this host
 * passes it on to the hosts that are connected.
 */
void session_spread_mark(struct entry *e, struct peer *from,
			 Mw__CrashMark *mark);

void session_hub_peer_up(struct entry *e, struct peer *p);

/* The set of registered hosts has changed. */
void session_members_changed(struct entry *e);

void session_take_announce(struct entry *e, struct peer *from,
			   const Mw__Frame *f, int64_t now);

/*
 * Work waits for credit: reports to the hub before the next regular report, so
 * that memory freed by other hosts is granted soon.
 */
void session_credit_short(struct entry *e, bool urgent, int64_t now);

/* Passes an announcement or a leave on to the hub of the endpoint's DC. */
void session_forward_announce(struct entry *e, Mw__EndpointInfo *info);

/* fn(err) is called when the hub or another host has confirmed the leave. */
void session_forward_leave(struct entry *e, Mw__LeaveFwd *leave,
			   void (*fn)(int err, void *ctx), void *ctx);

/* ---- local_hub.c ---- */
/* Whether this host is able to be the hub of its data centre. */
bool local_hub_can_serve(const struct entry *e);

/* Takes a report of this host or another; as hub_report(). */
Mw__HubGrant *local_hub_report(struct entry *e, int64_t now,
			       const Mw__HubReport *report);

/* Answers a report of another host, or refuses it with -MW_EAGAIN. */
void local_hub_frame(struct entry *e, struct peer *from, const Mw__Frame *f,
		     int64_t now);

/* These change nothing while there is no hub on this host. */
void local_hub_announce(struct entry *e, const Mw__EndpointInfo *info,
			int64_t now);
void local_hub_leave(struct entry *e, const Mw__LeaveFwd *leave, int64_t now);
void local_hub_tick(struct entry *e, int64_t now);
void local_hub_free(struct entry *e);

/* ---- view.c ---- */
struct endpoint {
	char id[EP_ID_CHARS + 1];
	char dc[64];
	char addr[64];
	char kind[16];
	char state[16];
	uint64_t incarnation;
	bool unreachable;	/* refused a connection just now */
	int64_t unreachable_us; /* when that was */
	Mw__EndpointInfo *info; /* last row */
	bool probing;
	int64_t probed_us;
	int64_t updated_us; /* newest row */
	int64_t state_us;   /* since when it is in this state */
	struct entry *entry;
};

void view_init(struct entry *e);
void view_release(struct entry *e);
/* Takes a row; direct: heard from the endpoint itself at `now`. */
void view_update(struct entry *e, const Mw__EndpointInfo *info, bool direct,
		 int64_t now);
void view_leave(struct entry *e, const char *id, uint64_t incarnation,
		int64_t now);
/* The endpoint incarnation died; its requests are told by their streams. */
void view_dead(struct entry *e, const char *id, uint64_t incarnation,
	       int64_t now);
void view_cache_events(struct entry *e, const char *body, size_t len);
void view_tick(struct entry *e, int64_t now);
struct endpoint *view_find(struct entry *e, const char *id);
/* Order by id, for lists. */
int view_compare(const struct endpoint *a, const struct endpoint *b);
/*
 * Whether any endpoint of the own data centre that is not dead serves the
 * model or service.
 */
bool view_serves(struct entry *e, const char *model);

/* ---- request.c, dispatch.c ---- */
void request_handle(struct entry *e, struct httpd_req *http, bool chat);
void request_resume(struct entry *e, struct httpd_req *http,
		    const char *last_event_id, bool chat);
/* Tries to dispatch queued requests of all models soon. */
void entry_pump_soon(struct entry *e);
/* Ends placements that have passed their deadline or are stuck. */
void dispatch_check_timeouts(struct entry *e, int64_t now);
struct pool *entry_get_pool(struct entry *e, const char *model);
/* A version came into force: the decisions take their settings from it. */
void entry_configured(struct entry *e);

/* ---- remote.c ---- */
void remote_init(struct entry *e);
void remote_release(struct entry *e);
/* Takes the byte budget of this host from the tree in force. */
void remote_configure(struct entry *e, int64_t now);
/* Adds to a report what could go to other data centres, and what is known. */
void remote_fill_report(struct entry *e, Mw__HubReport *report, int64_t now);
/* Takes the lent endpoints of a grant; `sent` is when its report was sent. */
void remote_take_grant(struct entry *e, const Mw__HubGrant *g, int64_t sent,
		       int64_t now);
bool remote_is(const struct entry *e, const struct endpoint *ep);
/* Whether the endpoint is lent to this host now. */
bool remote_lent(struct entry *e, const char *id, int64_t now);
/* Whether other data centres may be asked for a model without endpoint here. */
bool remote_can_borrow(struct entry *e, int64_t now);
/* Counts bytes of a request on a remote endpoint. */
void remote_count_bytes(struct request *r, bool out, size_t n);
/* Notes where a request was placed, or goes on. */
void remote_record_placement(struct request *r, const char *dc);
/* Settles the charge of a placement. */
void remote_settle(struct request *r);
/*
 * Refuses a request that found no lent endpoint in time; returns whether it was
 * refused.  err is that of route_choose().
 */
bool remote_refuse_overdue(struct request *r, int err, int64_t now);
/* Part of the status page. */
json_t *remote_status(struct entry *e, int64_t now);

/* ---- service.c, once.c ---- */
void service_handle(struct entry *e, struct httpd_req *http);

/* ---- api.c ---- */
void api_handle(void *ctx, struct httpd_req *http);

/*
 * The outcome to state for a request that is refused before the ledger was
 * asked: "unknown" for a call with an idempotency key, since another copy may
 * have run through another host; NULL (by the kind of error) for the rest.
 */
const char *api_refusal_outcome(const struct httpd_req *http);

/* Checks the bearer key; returns the account name or NULL (answered). */
const char *api_account(struct entry *e, struct httpd_req *http);

/*
 * Answers with an error object.  outcome is "ran", "not-run", "unknown" or
 * NULL to follow the table of error kinds.
 */
void api_error(struct httpd_req *http, int err, const char *outcome,
	       const char *detail, unsigned int retry_after_s,
	       const char *request_id);

#endif
