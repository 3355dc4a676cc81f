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
#include "policy/owner.h"
#include "policy/queue.h"
#include "policy/retry.h"
#include "policy/route.h"
#include "policy/suspect.h"

/*
 * An entry host: one process with one event loop and one thread, so nothing
 * here needs a lock.  struct entry owns all state of the process; the files of
 * this folder implement its parts:
 *
 *   session.c      lease renewals and configuration
 *   session_hub.c  choice of the hub, usage reports, announcements
 *   local_hub.c    the hub of the data centre, if it runs on this host
 *   view.c         table of endpoints and their states
 *   view_owner.c   which of several endpoints holds their address
 *   request.c      generations: admission, queueing, release
 *   aside.c        restricted requests that wait for a loan
 *   remote.c       endpoints borrowed from other data centres
 *   residence.c    regions in which a request may run
 *   dispatch.c     placing queued generations on endpoints, retries
 *   stream.c       relaying tokens to the caller
 *   service.c      calls to plain services
 *   once.c         once-only calls and the ledger
 *   crash_marks.c  crash marks of requests whose endpoint died
 *   api.c          HTTP paths for callers and endpoints
 *   admin.c        HTTP paths for operators
 *   work_stats.c   queue, account and lost endpoint rows of status answers
 */

/* Detail of the refusal by a host that is not in an allowed region. */
#define ENTRY_OUTSIDE_TEXT                                                     \
	"the data centre of this host is in no region that is allowed"

/* Detail of the refusal of a request that no data centre may lend for. */
#define ENTRY_NO_LENDER_TEXT                                                   \
	"no data centre that could lend an endpoint is in a region that is "   \
	"allowed"

struct entry;
struct request;
struct work_stats;

/* The queue of one model on this host. */
struct pool {
	char name[128];
	struct queue *queue;
	struct list aside; /* requests that wait for a loan, aside.h */
	size_t n_aside;
	int64_t aside_tried_us; /* when they were last looked at */
	struct entry *entry;
};

/* State of the exchange with the control group and the hub. */
struct session {
	struct hostcfg cfg;
	enum host_mode logged_mode; /* mode in the newest log line */
	ev_timer renew_timer;
	ev_timer report_timer;
	bool tree_get_in_flight; /* a request for the tree is in flight */
	bool renewal_in_flight;	 /* a lease renewal is in flight */
	/* Hub of the data centre. */
	char hub[64]; /* the hub that answered last; "" if none answers */
	struct hub_order *order;
	GHashTable *dials;   /* candidate's name to its dialled address */
	char report_hub[65]; /* hub that got the newest report */
	struct hub_client *hub_client;
	bool report_in_flight;	/* a report is in flight */
	int64_t last_report_us; /* when the newest report was sent */
	uint64_t suspect_version;
	int64_t last_hub_answer_us; /* when the newest grant arrived */
	int64_t report_sent_us;	    /* same as last_report_us */
	/* Hub on this host; NULL unless it serves.  See local_hub.c. */
	struct hub *local_hub;
	uint64_t local_hub_member_version; /* member version last set in
					      local_hub */
	int64_t local_hub_last_used_us; /* when local_hub last got a report */
};

struct entry {
	struct conf *conf;
	struct ev_loop *loop;
	struct hlc hlc;
	struct peer_net *peers;
	struct fetcher *fetcher;
	struct membudget memory; /* what callers make this process hold */
	struct httpd *callers;
	struct httpd *admin;
	struct admin admin_api;
	struct event_ring *events;
	GRand *rand;
	uint64_t incarnation;
	int64_t started_us;

	struct session session;
	const struct ep_ops *ep_ops;

	/* Scheduling; --policy selects the operation tables. */
	const struct queue_ops *queue_ops;
	struct output_estimator *est;
	struct credit *credit;
	struct route *route;
	struct retry_budget retry;
	struct suspects *suspects;
	struct list pending_marks; /* struct pending_mark, crash_marks.c */
	size_t n_pending_marks;
	struct limits *limits;
	GHashTable *pools;	      /* model name to struct pool */
	GHashTable *account_backlogs; /* account to struct account_backlog,
					 request.c */
	GHashTable *endpoints;	      /* endpoint id to struct endpoint */
	unsigned int n_owner_asked;   /* open questions of view_owner.c */
	GHashTable *remote_endpoints; /* endpoint id to struct remote_endpoint,
					 remote.c */
	int64_t spill_reported_us; /* when the newest report with a spill part
				      was made */
	int64_t spill_demand_reported_us; /* when the newest spill part with
					     demand was made */
	bool spill_demand_reported; /* whether the newest spill part had demand
				     */
	struct work_stats *work;    /* counters for status answers */
	ev_timer pump_timer;
	ev_timer tick_timer;

	struct list requests; /* struct request */
	struct list calls;    /* struct call */
	struct list probes;   /* view.c: probes of endpoints that are open */
	uint64_t attempts;    /* newest attempt number of a service call */
	size_t open_requests; /* requests and calls */
	struct buf chunk;     /* event being formatted; empty between events */
	struct list forwarded_calls; /* of operators, admin.c */
	bool draining;
	int64_t drain_until_us; /* then open requests are cut */
	bool stopping;		/* deregistering or freed: starts nothing new */
	ev_signal sigterm, sigint;
};

/*
 * Creates the host and starts its timers, listeners and peer connections.
 * Returns 0 or a negative error number.  *out is set in both cases and is freed
 * with entry_free().  conf and loop are borrowed and must outlive it.
 */
int entry_new(struct conf *conf, struct ev_loop *loop, struct entry **out);
void entry_free(struct entry *e);

/*
 * Starts the graceful shutdown: new work is refused, and when the open requests
 * have ended or the drain timeout has passed, the host deregisters and ends the
 * loop.
 */
void entry_drain(struct entry *e);

/* The mode of the host at `now`; see struct hostcfg. */
enum host_mode entry_mode(struct entry *e, int64_t now);

/* Whether the host accepts new work; /readyz answers with it. */
bool entry_ready(struct entry *e, int64_t now);

/*
 * Adds an event to the time line.  request, account and endpoint may be NULL;
 * fmt gives the detail, which is cut off at EVENT_DETAIL_LEN - 1 bytes.
 */
void entry_event(struct entry *e, enum event_kind kind, const char *request,
		 const char *account, const char *endpoint, const char *fmt,
		 ...) __attribute__((format(printf, 6, 7)));

/* As entry_event(), for a configuration change. */
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
 * negative error number: -MW_ENOLEADER if the command was certainly not
 * proposed, -MW_EUNKNOWN if it may have been and may still be committed.  fn
 * may be NULL.
 */
typedef void (*session_result_fn)(int err, const Mw__Result *r, void *ctx);
void session_propose(struct entry *e, Mw__Command *cmd, int timeout_ms,
		     session_result_fn fn, void *ctx);

/*
 * Requests the configuration tree from a host of the island that the hub named,
 * if it is connected, else from a control process.  Does nothing while a
 * request is in flight.  The second form requests it from p, which may be NULL.
 */
void session_request_tree(struct entry *e);
void session_request_tree_from(struct entry *e, struct peer *p);

void session_reply_ack(struct entry *e, struct peer_rpc rpc, int err);

/* The nearest connected control process, or NULL. */
struct peer *session_find_control(struct entry *e);

/* ---- session_hub.c ---- */
void session_hub_start(struct entry *e);
void session_hub_stop(struct entry *e);

/*
 * Sends a crash mark of this host (from is NULL) to all control processes,
 * which forward it to the other hosts, and to the hub if that is an entry host.
 * A hub on this host forwards a mark to the connected hosts.
 */
void session_forward_crash_mark(struct entry *e, struct peer *from,
				Mw__CrashMark *mark);

void session_hub_peer_up(struct entry *e, struct peer *p);

/* Called when the set of registered hosts has changed. */
void session_members_changed(struct entry *e);

void session_handle_announce(struct entry *e, struct peer *from,
			     const Mw__Frame *f, int64_t now);

/*
 * Called when queued work lacks credit.  Reports to the hub before the next
 * regular report, so that memory freed by other hosts is granted soon.
 */
void session_report_soon(struct entry *e, bool urgent, int64_t now);

/* Forwards an announcement to the hub of the endpoint's data centre. */
void session_forward_announce(struct entry *e, Mw__EndpointInfo *info);

/* Forwards a leave; calls fn once the hub or another host has confirmed it. */
void session_forward_leave(struct entry *e, Mw__LeaveFwd *leave,
			   void (*fn)(int err, void *ctx), void *ctx);

/* ---- local_hub.c ---- */
/* Whether this host is able to be the hub of its data centre. */
bool local_hub_can_serve(const struct entry *e);

/* Handles a report of this host or another one; as hub_handle_report(). */
Mw__HubGrant *local_hub_apply_report(struct entry *e, int64_t now,
				     const Mw__HubReport *report);

/* Answers a report of another host, or refuses it with -MW_EAGAIN. */
void local_hub_answer_report(struct entry *e, struct peer *from,
			     const Mw__Frame *f, int64_t now);

/* These do nothing while no hub runs on this host. */
void local_hub_handle_announcement(struct entry *e,
				   const Mw__EndpointInfo *info, int64_t now);
void local_hub_handle_leave(struct entry *e, const Mw__LeaveFwd *leave,
			    int64_t now);
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
	bool unreachable;	  /* refused a connection a short time ago */
	int64_t unreachable_us;	  /* when that was */
	Mw__EndpointInfo *info;	  /* newest row */
	struct owner_claim owner; /* of its address */
	bool claims, contested;	  /* as in owner, when last looked at */
	bool owner_asked;	  /* a question is open */
	struct owner_pace owner_pace;
	bool probing;
	int64_t probed_us;
	int64_t updated_us; /* when the newest row arrived */
	int64_t state_us;   /* when it entered this state */
	struct entry *entry;
};

void view_init(struct entry *e);
void view_release(struct entry *e);
/* Applies a row; direct: the endpoint itself sent it at `now`. */
void view_update(struct entry *e, const Mw__EndpointInfo *info, bool direct,
		 int64_t now);
void view_mark_leaving(struct entry *e, const char *id, uint64_t incarnation,
		       int64_t now);
/* Marks an endpoint as gone: another server answered at its address. */
void view_mark_replaced(struct entry *e, const char *id, uint64_t incarnation,
			int64_t now);
/* State for status pages. */
const char *view_state(const struct endpoint *ep);
/* Whether new work may be sent to an endpoint, apart from its state: it holds
 * its address and has not just refused a connection. */
bool view_may_use(const struct endpoint *ep);
/*
 * Applies the status and the value of Retry-After (NULL: none) of an answer:
 * an endpoint that turned a request away may ask this host for a pause.
 */
void view_apply_pause(struct entry *e, const char *id, uint64_t incarnation,
		      int status, const char *retry_after, int64_t now);
/*
 * Puts an incarnation of an endpoint that refuses connections into the state
 * "suspect", without new work for a time.  Its requests fail through their own
 * streams.
 */
void view_mark_unreachable(struct entry *e, const char *id,
			   uint64_t incarnation, int64_t now);
void view_apply_cache_events(struct entry *e, const char *body, size_t len);
void view_tick(struct entry *e, int64_t now);
/* Ends the probes of endpoints, before the fetcher is freed. */
void view_stop(struct entry *e);
/* Decides anew which of the endpoints at an address holds it. */
void view_settle_address(struct entry *e, const char *addr, int64_t now);
/* Asks the servers of contested addresses where a question is due. */
void view_ask_owners(struct entry *e, int64_t now);
struct endpoint *view_find(struct entry *e, const char *id);
/* Compares by id, as a GCompareFunc. */
int view_compare_ids(const struct endpoint *a, const struct endpoint *b);
/*
 * Whether an endpoint of the host's data centre that is not dead serves the
 * model or service.
 */
bool view_has_endpoint_for(struct entry *e, const char *model);
/*
 * Whether such endpoints, and those of other data centres that are lent, exist
 * and are all evacuated.
 */
bool view_all_evacuated(struct entry *e, const char *model);

/* ---- request.c, dispatch.c ---- */
void request_handle(struct entry *e, struct httpd_req *http, bool chat);
void request_resume(struct entry *e, struct httpd_req *http,
		    const char *last_event_id, bool chat);
/* Dispatches the queues of all models in the next round of the loop. */
void entry_pump_soon(struct entry *e);
/* Fails requests past their deadline and moves those on stalled endpoints. */
void dispatch_check_timeouts(struct entry *e, int64_t now);
/* Returns the queue of a model; creates it if there is none. */
struct pool *entry_get_pool(struct entry *e, const char *model);
/* Applies the settings of the configuration version now in force. */
void entry_apply_settings(struct entry *e);

/* ---- remote.c ---- */
void remote_init(struct entry *e);
void remote_release(struct entry *e);
/* Sets the spill byte budget of this host from the tree in force. */
void remote_configure(struct entry *e, int64_t now);
/*
 * Adds the spill part to a report: demand that other data centres could serve
 * and the borrowed endpoints of which this host has a row.  It is left out of
 * most reports to bound the control traffic.
 */
void remote_fill_report(struct entry *e, Mw__HubReport *report, int64_t now);
/*
 * Applies the borrowed endpoints of a grant.  `sent` is when its report was
 * sent; loans are counted from there, so that they end here before the lender
 * counts them as ended.
 */
void remote_apply_grant(struct entry *e, const Mw__HubGrant *g, int64_t sent,
			int64_t now);
/* Whether the endpoint belongs to another data centre. */
bool remote_owns_endpoint(const struct entry *e, const struct endpoint *ep);
/* Whether this host has an unexpired loan of the endpoint. */
bool remote_has_loan(struct entry *e, const char *id, int64_t now);
/*
 * Whether a model without an endpoint in this data centre may be requested from
 * others: there is a spill budget, the hub answers, and not all others are
 * evacuated.
 */
bool remote_can_borrow(struct entry *e, int64_t now);
/* Whether the request may run in a data centre that could lend an endpoint. */
bool remote_has_lender_for(const struct request *r);
/* Whether the host's own data centre is evacuated. */
bool remote_must_borrow(const struct entry *e);
/* Charges n bytes sent (out) or received to the spill budget, if remote. */
void remote_count_bytes(struct request *r, bool out, size_t n);
/* Records the data centre in which a request was placed or resumed. */
void remote_record_placement(struct request *r, const char *dc);
/* Ends the spill charge of a placement and refunds the unused forecast. */
void remote_settle(struct request *r);
/*
 * Fails a request that got no borrowed endpoint in time and returns true, or
 * returns false.  err is the result of route_choose().
 */
bool remote_refuse_overdue(struct request *r, int err, int64_t now);
/* The spill part of a status answer; the caller owns it. */
json_t *remote_status(struct entry *e, int64_t now);

/* ---- service.c, once.c ---- */
void service_handle(struct entry *e, struct httpd_req *http);

/* ---- api.c ---- */
void api_handle(void *ctx, struct httpd_req *http);

/*
 * The outcome to report for a request that is refused before the ledger was
 * consulted: "unknown" for a call with an idempotency key, since a copy of it
 * may have run through another host; else NULL, which selects it by error kind.
 */
const char *api_refusal_outcome(const struct httpd_req *http);

/* Checks the bearer key.  Returns the account name, or NULL after a reply. */
const char *api_account(struct entry *e, struct httpd_req *http);

/*
 * Replies with an error object.  outcome is "ran", "not-run", "unknown", or
 * NULL for the outcome in the table of error kinds.  detail and request_id may
 * be NULL.
 */
void api_error(struct httpd_req *http, int err, const char *outcome,
	       const char *detail, unsigned int retry_after_s,
	       const char *request_id);

#endif
