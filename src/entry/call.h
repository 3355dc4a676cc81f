#ifndef ENTRY_CALL_H
#define ENTRY_CALL_H

#include "entry/entry.h"

/*
 * One call to a plain service.  Idempotent calls may be sent again; a
 * once-only call (with an idempotency key) goes through the ledger first.
 */

#define CALL_KEY_CHARS 255
#define CALL_BODY_MAX_BYTES (8 * 1024 * 1024)

struct call {
	struct entry *entry;
	struct httpd_req *http; /* NULL once the caller is gone or answered */
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
	bool once;
	bool repeatable;
	bool may_have_run;    /* an earlier attempt reached an endpoint */
	bool begin_uncertain; /* a begin may be in the log */
	uint64_t attempt;     /* unique on this host */
	int64_t arrived_us, deadline_us;
	char *body; /* copy: the call may outlive the caller's connection */
	size_t body_len;

	char endpoint[EP_ID_CHARS + 1];
	char addr[64];
	uint64_t incarnation;
	struct route_stream rs;
	struct fetch *fetch;
	unsigned int retries;
	int retries_max;
	ev_timer timer;
	void (*later)(struct call *);

	int status;
	char *answer_type;
	struct buf answer;
	bool answer_too_big;
	int outcome_err; /* once-only: what the caller is told, 0: the answer */
};

/* service.c: sends the call to an endpoint of its service. */
void call_send(struct call *c);

/* Answers the caller, if it is still there, with the service's answer. */
void call_tell_answer(struct call *c, const char *outcome);

/* Answers the caller with an error; outcome as for api_error(). */
void call_tell_error(struct call *c, int err, const char *outcome,
		     const char *detail);

/* Releases the call. */
void call_end(struct call *c);

/* Answers and releases. */
void call_answer(struct call *c, const char *outcome);
void call_fail(struct call *c, int err, const char *outcome,
	       const char *detail);

/* Calls fn after delay_us; at most one such wait is pending. */
void call_later(struct call *c, int64_t delay_us, void (*fn)(struct call *));

/* once.c */
void once_begin(struct call *c);
void once_done(struct call *c);			     /* the service answered */
void once_lost(struct call *c);			     /* it may have run */
void once_not_sent(struct call *c, const char *why); /* it surely did not run */

#endif
