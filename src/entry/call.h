#ifndef ENTRY_CALL_H
#define ENTRY_CALL_H

#include "entry/entry.h"
#include "entry/residence.h"

/*
 * One call to a plain service.  Idempotent calls may be sent again.  A
 * once-only call, one with an idempotency key, is recorded in the ledger before
 * it is sent.
 */

#define CALL_KEY_CHARS 255
#define CALL_BODY_MAX_BYTES (8 * 1024 * 1024)

struct call {
	struct entry *entry;
	struct httpd_req
		*http; /* NULL once the caller has left or was answered */
	struct list node;
	char id[33];
	char account[129];
	char route[129];
	char service[129];
	char *path; /* below the route, with the query */
	char *method;
	char *content_type; /* of the request */
	char key[CALL_KEY_CHARS + 1];
	uint8_t body_hash[32];
	struct residence residence;
	bool once; /* has an idempotency key */
	bool repeatable;
	bool may_have_run;    /* an earlier attempt reached an endpoint */
	bool begin_uncertain; /* a begin may be in the log */
	uint64_t attempt;     /* unique on this host */
	int64_t arrived_us, deadline_us;
	char *body; /* own copy: the call may outlive the caller's connection */
	size_t body_len;

	char endpoint[EP_ID_CHARS + 1];
	char addr[64];
	uint64_t incarnation;
	struct route_stream rs;
	struct fetch *fetch;
	unsigned int retries;
	int retries_max;
	ev_timer timer;
	void (*timer_fn)(struct call *); /* called when timer expires */

	int status;
	char *answer_type;
	struct buf answer;
	int outcome_err; /* once-only: 0 to reply with the answer, else this
			    error */
};

/* ---- service.c ---- */

/* Sends the call to an endpoint of its service. */
void call_send(struct call *c);

/* The lists of regions that hold for the call. */
struct residence_subject call_residence(const struct call *c);

/* Replies with the service's answer if the caller is still connected. */
void call_reply_answer(struct call *c, const char *outcome);

/* Replies with an error likewise; outcome as for api_error(). */
void call_reply_error(struct call *c, int err, const char *outcome,
		      const char *detail);

/* Cancels what is in flight and frees the call. */
void call_end(struct call *c);

/* As call_reply_answer() and call_reply_error(), followed by call_end(). */
void call_answer(struct call *c, const char *outcome);
void call_fail(struct call *c, int err, const char *outcome,
	       const char *detail);

/* Calls fn after delay_us; replaces a delayed function that is pending. */
void call_schedule(struct call *c, int64_t delay_us, void (*fn)(struct call *));

/* ---- once.c ---- */

/* Asks the ledger for the right to send the call, then sends it. */
void once_begin(struct call *c);

/* Records the service's answer in the ledger, then replies with it. */
void once_record_answer(struct call *c);

/* Records that the call may have run, then replies with the error. */
void once_record_unknown(struct call *c);

/*
 * Closes the key of a call that certainly did not run, so that no copy of it
 * can run later, then replies.  `why` is the detail of the event.
 */
void once_close_key(struct call *c, const char *why);

#endif
