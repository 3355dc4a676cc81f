#ifndef STANDIN_CALL_H
#define STANDIN_CALL_H

#include <stdint.h>
#include <ev.h>

#include "net/fetch.h"

/*
 * One call of a caller to the entry hosts: sends a request, goes to the next
 * entry host when one fails, resumes a broken stream by Last-Event-ID, sends
 * once-only calls again with the same key, and checks the stream.
 */
struct call_pool;
struct call;

/* Faults that a caller must never see; bits of `violations`. */
enum call_violation {
	CALL_GAP = 1,	     /* an index was left out */
	CALL_REPEAT = 2,     /* an index came again */
	CALL_MIXED = 4,	     /* tokens of two generations */
	CALL_INCOMPLETE = 8, /* ended as if complete, without the end mark */
};

struct call_spec {
	const char *method;
	const char *path;
	const char *body;	    /* copied */
	const char *const *headers; /* name, value, ..., NULL; copied */
	const char *last_event_id;  /* resumes from there; or NULL */
	int is_generation;	    /* the answer consists of tokens */
	int stream;
	int tries;		  /* attempts in all; at least 1 */
	int once;		  /* sent again when the outcome is not known */
	int retry_refused;	  /* sent again when refused as not run */
	int retry_ms;		  /* pause before it is sent again */
	double slow_tokens_per_s; /* reads at this rate; 0: at once */
	int leave_after;	  /* closes after so many tokens; 0: never */
	int timeout_ms;		  /* of an attempt; 0: none */
	int64_t scheduled;	  /* monotonic time from which latency counts */
};

struct call_result {
	int status;	  /* of the last attempt; 0: none */
	char kind[40];	  /* "ok", an error kind, or "connect", "broken",
			     "timeout", "left" */
	char outcome[16]; /* Mustardwall-Outcome, or "" */
	int tokens;
	int complete; /* the end mark was seen */
	int attempts;
	int resumes;
	unsigned violations;
	int64_t first_us; /* from `scheduled` to the first token; 0: none */
	int64_t total_us;
	int generation_tag; /* of the stand-in's text; -1: none seen */
	int entry;	    /* index of the last entry host */
};

struct call_ops {
	/* All but `done` are optional. */
	void (*sent)(void *ctx, int attempt, const char *entry);
	/* gap_us: since the token before; -1 for the first one. */
	void (*token)(void *ctx, const char *id, const char *text,
		      int64_t gap_us);
	void (*done)(void *ctx, const struct call_result *r, const char *body);
};

/* entries: "ip:port,ip:port". */
struct call_pool *call_pool_new(struct ev_loop *loop, const char *entries);
void call_pool_free(struct call_pool *p);

/* Starts a call; it is freed after `done`. */
struct call *call_start(struct call_pool *p, const struct call_spec *spec,
			const struct call_ops *ops, void *ctx);

/* Ends a call as "left"; calls `done`. */
void call_leave(struct call *c);

#endif
