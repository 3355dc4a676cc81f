#ifndef ENTRY_REQUEST_H
#define ENTRY_REQUEST_H

#include "entry/entry.h"
#include "entry/cursor.h"
#include "entry/residence.h"
#include "endpoint/sse.h"

/*
 * One generation request of a caller, from admission to the last token.
 *
 * Invariants (asserted in stream.c):
 * - Tokens are relayed in the order of their index, each once, and only from
 *   the generation id of the current placement.
 * - Once a token has reached the caller's stream, the request is never placed
 *   on another endpoint: a second generation would produce other tokens.
 */

#define REQUEST_ID_CHARS 32

enum request_state {
	REQ_QUEUED,
	REQ_BACKOFF, /* waits for the delay before a retry */
	REQ_SENT,    /* placed on an endpoint, no token yet */
	REQ_STREAMING,
	REQ_DETACHED, /* caller has left; may resume until the window ends */
	REQ_ENDED,
};

struct request {
	struct list node;
	struct entry *entry;
	struct httpd_req
		*http; /* NULL once the caller has left or was answered */
	enum request_state state;
	char id[REQUEST_ID_CHARS + 1];
	char account[CURSOR_ACCOUNT_CHARS + 1];
	char route[CURSOR_ACCOUNT_CHARS + 1];
	char model[128];
	char adapter[128];
	char fingerprint[REQUEST_ID_CHARS + 1];
	bool chat;
	bool stream;
	bool needs_loan; /* no endpoint of this data centre serves its model */
	bool remote;	 /* placed on an endpoint of another data centre */
	bool resumed;	 /* continues a generation by cursor, of any host */
	unsigned int rank;
	int retries_max;
	int resume_window_ms;
	struct limit_rates rates;
	struct residence residence; /* none for a resumed one */

	char *prompt;
	json_t *messages;
	uint64_t *prefixes;
	size_t n_prefixes;
	uint32_t prompt_tokens; /* estimate */
	uint32_t max_tokens;
	size_t queue_max, queue_max_bytes; /* of the account on this host */
	int64_t arrived_us;
	int64_t deadline_us;

	/* Queueing. */
	struct pool *pool;
	struct queue_item item;
	struct list aside_node; /* pool.aside, if aside; see aside.h */
	bool aside;
	int64_t aside_until_us; /* end of its wait there; 0: never aside */
	bool in_backlog;	/* counted in struct account_backlog */
	bool in_queue;		/* the queue holds the item */
	bool dispatched;	/* the item is dispatched, not waiting */
	ev_timer timer;		/* backoff, resume window */

	/* Placement. */
	char endpoint[EP_ID_CHARS + 1];
	char addr[64];
	uint64_t incarnation;
	char generation[EP_GENERATION_CHARS + 1];
	uint64_t reader; /* endpoint's number of this connection; 0: none */
	struct credit_reservation credit;
	struct route_stream rs;
	struct fetch *fetch;
	struct sse sse;
	int status;   /* HTTP status of the endpoint's answer */
	bool not_run; /* the answer has X-Not-Run: the request did not run */
	struct buf refusal_body; /* of an answer other than 200 */
	unsigned int retries;
	bool may_have_run;	 /* an earlier placement may have executed it */
	unsigned int reconnects; /* in the current placement */
	uint64_t preemptions;	 /* of this placement, as last reported */
	uint64_t stall_us;	 /* total of its stalls that have ended */
	bool stall_reported;	 /* a load report has set the two above */

	/* Delivery. */
	uint64_t next_index; /* next token expected */
	bool delivered;	     /* a token has reached the caller's stream */
	bool stream_begun;
	bool paused;
	bool finished;		  /* the last token was seen */
	struct buf unsent_output; /* output that the full caller's stream
				     rejected */
	struct buf answer_text; /* text so far, if the answer is not streamed */
	struct buf chunk_prefix; /* part of each event between its id and its
				    text */
	char cursor[CURSOR_TEXT_CHARS];
	char finish_reason[16];
	struct ep_usage usage;
	int64_t first_token_us, last_token_us;
};

/* Creates a request; it owns the caller's http request from then on. */
struct request *request_new(struct entry *e, struct httpd_req *http);

/*
 * Fails and frees the request: replies with an error, or with an error event if
 * the stream has begun.  detail may be NULL.
 */
void request_fail(struct request *r, int err, const char *detail,
		  unsigned int retry_after_s);

/* Frees the request; the caller must have been answered or have left. */
void request_end(struct request *r);

/* Puts the request into its queue, or fails it if the queue refuses it. */
void request_enqueue(struct request *r, int64_t now);

/*
 * Returns a dispatched request to its former place in the queue, with its age.
 * The bounds of the queue do not apply.
 */
void request_requeue(struct request *r, int64_t now);

/* Removes the request from its account's backlog, if it is counted there. */
void request_leave_backlog(struct request *r);

/* Forecasts the output length, given the tokens produced so far. */
void request_forecast(const struct request *r, int64_t now,
		      struct est_forecast *out);

/* Whether the request may run in the data centre; "": one that is not known. */
bool request_may_run_in(const struct request *r, const char *dc);

/* Whether any list of regions applies to the request. */
bool request_is_restricted(const struct request *r);

/*
 * Whether the request may be sent to addr, the address known for the endpoint
 * with the row ep; NULL: the endpoint has none.  A restricted request goes only
 * to the address in the row, as the row tells the region.
 */
bool request_may_send(const struct request *r, const struct endpoint *ep,
		      const char *addr);

/* ---- dispatch.c ---- */

/*
 * Refuses a request that need not wait and returns true: it has been found to
 * crash endpoints, its lists have changed
 * so that this data centre is not allowed, or it needs a loan and no data
 * centre that may lend is in its regions, or all endpoints of its model are
 * evacuated and none can be borrowed.
 */
bool dispatch_refuse_if_hopeless(struct request *r, int64_t now);

/* Refuses a request that has waited too long and is in no queue. */
void dispatch_refuse_expired(struct request *r);

/*
 * Whether an endpoint may serve the request, be it only later: when there is
 * room, a stream or spill budget, or when it may go to other data centres.
 */
bool dispatch_may_place(struct request *r, int64_t now);

/* Places queued requests until each queue's head finds no endpoint. */
void dispatch_pump(struct entry *e, int64_t now);

enum request_failure {
	FAILED_UNSENT,	/* no connection: nothing was sent */
	FAILED_NOT_RUN, /* the endpoint's answer says that it did not run */
	FAILED_UNKNOWN, /* the request may have run */
	FAILED_DIED,	/* the endpoint died while it ran the request */
};

/* Ends the current placement; retries the request or fails it with err. */
void dispatch_handle_failure(struct request *r, int err,
			     enum request_failure why);

/* Sends the endpoint a cancel for the generation, without waiting. */
void dispatch_cancel(struct request *r);

/* Releases the placement's credit, route, spill and suspect records. */
void dispatch_release(struct request *r);

/* ---- stream.c ---- */

/* Submits the generation, or resumes it from next_index. */
void stream_open(struct request *r, bool resume);

/* The caller's stream has room again: passes on what waits, and then ends the
 * request if it has finished, or reads on from the endpoint. */
void stream_drained(struct request *r);

/* Closes the connection to the endpoint; the generation itself goes on. */
void stream_close(struct request *r);

#endif
