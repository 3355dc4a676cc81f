#ifndef ENTRY_REQUEST_H
#define ENTRY_REQUEST_H

#include "entry/entry.h"
#include "entry/cursor.h"
#include "endpoint/sse.h"

/*
 * One generation on its way from a caller to an endpoint and back.
 *
 * Invariants (asserted in stream.c):
 * - Tokens are passed on in the order of their index, each once, and only
 *   from the generation that the request was placed under.
 * - Once a token has reached the caller the request is never placed anew.
 */

#define REQUEST_ID_CHARS 32

enum request_state {
	REQ_QUEUED,
	REQ_BACKOFF, /* waits for a retry */
	REQ_SENT,    /* placed on an endpoint, no token yet */
	REQ_STREAMING,
	REQ_DETACHED, /* caller gone, waits out the resume window */
	REQ_ENDED,
};

struct request {
	struct list node;
	struct entry *entry;
	struct httpd_req *http; /* NULL once the caller is gone or answered */
	enum request_state state;
	char id[REQUEST_ID_CHARS + 1];
	char account[CURSOR_ACCOUNT_CHARS + 1];
	char route[CURSOR_ACCOUNT_CHARS + 1];
	char model[128];
	char adapter[128];
	char fingerprint[REQUEST_ID_CHARS + 1];
	bool chat;
	bool stream;
	bool needs_loan; /* admitted without an endpoint in this data centre */
	bool remote;	 /* placed in another data centre */
	bool resumed;	 /* continues a generation started elsewhere */
	unsigned int rank;
	int retries_max;
	int resume_window_ms;
	struct limit_rates rates;

	char *prompt;
	json_t *messages;
	uint64_t *prefixes;
	size_t n_prefixes;
	uint32_t prompt_tokens; /* estimate */
	uint32_t max_tokens;
	size_t queue_max, queue_max_bytes; /* of the account on this host */
	int64_t arrived_us;
	int64_t deadline_us;

	/* Waiting. */
	struct pool *pool;
	struct queue_item item;
	bool in_backlog; /* among the account's waiting requests */
	bool in_queue;	 /* the item is known to the queue */
	bool dispatched; /* the item has been taken out by dispatch */
	ev_timer timer;	 /* backoff, resume window */

	/* Placement. */
	char endpoint[EP_ID_CHARS + 1];
	char addr[64];
	uint64_t incarnation;
	char generation[EP_GENERATION_CHARS + 1];
	uint64_t reader;
	struct credit_reservation credit;
	struct route_stream rs;
	struct fetch *fetch;
	struct sse sse;
	int status;   /* HTTP status of the endpoint's answer */
	bool not_run; /* it said that it did not run the request */
	struct buf refusal_body;
	unsigned int retries;
	bool may_have_run; /* an earlier placement was not refused as not run */
	unsigned int reconnects;
	uint64_t preemptions; /* of this placement, as reported */
	uint64_t stall_us;    /* of its stalls that have ended */
	bool stall_reported;  /* a report has told of both */

	/* Delivery. */
	uint64_t next_index; /* next token expected */
	bool delivered;	     /* a token has reached the caller's stream */
	bool stream_begun;
	bool paused;
	bool finished; /* the last token was seen */
	struct buf
		unsent_output; /* bytes that the caller's stream did not take */
	struct buf answer_text; /* whole answer, if not streamed */
	struct buf
		chunk_prefix; /* part of an event between its id and its text */
	char cursor[CURSOR_TEXT_CHARS];
	char finish_reason[16];
	struct ep_usage usage;
	int64_t first_token_us, last_token_us;
};

/* Creates a request for a caller; the caller's http request is owned by it. */
struct request *request_new(struct entry *e, struct httpd_req *http);

/* Ends with an error that nothing of the answer has preceded, or an event. */
void request_fail(struct request *r, int err, const char *detail,
		  unsigned int retry_after_s);

/* Releases everything; the answer has been given or the caller is gone. */
void request_end(struct request *r);

/* Puts the request into its queue; answers it if that is refused. */
void request_enqueue(struct request *r, int64_t now);

/*
 * Puts a dispatched request back at its place, with its age; it is not refused
 * for the bounds of the queue.
 */
void request_requeue(struct request *r, int64_t now);

/* Takes the request out of its account's count of waiting requests. */
void request_leave_backlog(struct request *r);

/* Forecast of the output from what has been produced so far. */
void request_forecast(struct request *r, int64_t now, struct est_forecast *out);

/* dispatch.c: places queued requests while there is room. */
void dispatch_pump(struct entry *e, int64_t now);

enum request_failure {
	FAILED_UNSENT,	/* the endpoint did not take the connection */
	FAILED_NOT_RUN, /* the endpoint said so */
	FAILED_UNKNOWN, /* it may have run */
	FAILED_DIED,	/* the endpoint died while it held the request */
};

/* Gives up the present placement and tries again or fails. */
void dispatch_handle_failure(struct request *r, int err,
			     enum request_failure why);

/* Tells the endpoint to free the generation. */
void dispatch_cancel(struct request *r);

/* Releases credit, route and suspect book-keeping of the placement. */
void dispatch_release(struct request *r);

/* stream.c */
void stream_open(struct request *r, bool resume);
void stream_close(struct request *r); /* drops the connection to the endpoint */

#endif
