#ifndef FORWARD_REQUEST_H
#define FORWARD_REQUEST_H

#include "base/clock.h"
#include "forward/fwd.h"
#include "forward/place.h"

/*
 * One request on its way from a caller to an endpoint and back.
 *
 * Invariants:
 * - A request that may run once only is never sent again after an attempt
 *   that may have run.
 * - A refusal that says "not run" is given only if no attempt may have run.
 * - Bytes of an answer reach the caller from one run only.
 */

/* Less time than this is of no use to an endpoint. */
#define REQUEST_LEFT_MIN_US (10 * USEC_PER_MSEC)

enum request_state {
	REQUEST_WAITING, /* for an endpoint with room */
	REQUEST_SENT,	 /* at an endpoint, no answer yet */
	REQUEST_STREAM,	 /* events are passed on */
	REQUEST_PAUSED,	 /* between two endpoints, see move.c */
};

enum move_state {
	MOVE_NONE,
	MOVE_WAIT,   /* for the copy of a young generation */
	MOVE_COPY,   /* the memory is copied while the generation goes on */
	MOVE_RESUME, /* the request is sent to the target */
};

/* Where a copy of a generation's memory is, counted as work there. */
struct kv_copy {
	char endpoint_id[128]; /* "" for none */
	uint64_t incarnation;
	uint64_t needed_tokens;
};

struct move {
	enum move_state state;
	char source_id[128]; /* endpoint id */
	char source_addr[64];
	struct kv_copy target;
	char target_addr[64];
	char handle[256]; /* "IP:PORT/HANDLE", "" before a copy is complete */
	struct fetch *copy_fetch;   /* that is open */
	struct fetch *target_fetch; /* the request at the target */
	struct buf copy_reply;
	int last_status;
	unsigned int copy_attempts;
	int64_t start_us;
	int64_t due_us; /* next step of MOVE_WAIT or MOVE_RESUME */
};

struct request {
	struct list node;
	struct list wait_node;
	struct list endpoint_node;
	struct fwd *fwd;
	struct httpd_req *http;
	struct ask ask;
	struct plan *plan;
	const struct plan_route *route;
	const struct plan_account *account; /* NULL: an open route */
	const struct plan_service *service;
	enum request_state state;
	unsigned int rank;
	bool generation;
	int64_t arrived_us;
	int64_t deadline_us; /* when an answer is no longer of use */
	ev_timer timer;	     /* at the deadline */

	/* Placement. */
	char endpoint_id[128];		/* endpoint id, "" while it waits */
	char previous_endpoint_id[128]; /* endpoint of the attempt before */
	uint64_t incarnation;
	struct fetch *fetch;
	int64_t sent_us;
	unsigned int attempts;
	unsigned int failed_deliveries; /* attempts that reached no endpoint */
	bool may_have_run;
	bool no_usable_endpoint; /* none could be used when it was tried last */
	uint64_t need_tokens;	 /* as counted at the target */
	uint64_t prefill_tokens; /* as counted at the target */

	/* Answer. */
	int status;
	struct answer answer;
	struct buf body; /* of an answer that is passed on whole */
	bool body_too_big;

	/* Stream. */
	struct buf partial_event; /* incomplete event */
	struct buf unsent_events; /* that the caller's buffer did not take */
	uint64_t last_event_id;	  /* newest one passed on */
	uint64_t events;
	int64_t first_event_us;
	int64_t last_event_us;
	int64_t longest_gap_us;	    /* longest one between two events */
	int64_t longest_gap_end_us; /* when it ended */
	bool stream_ended;	    /* the endpoint has sent the end */
	struct move move;
};

/* Sends the request to an endpoint that has room for it. */
void request_send(struct request *r, struct fwd_endpoint *ep, int64_t now);

/* Starts the transfer of one attempt; resume_from as in struct attempt. */
struct fetch *request_start_attempt(struct request *r,
				    const struct fwd_endpoint *ep,
				    const char *resume_from, int64_t now);

/* Counts the request at an endpoint. */
void request_attach(struct request *r, struct fwd_endpoint *ep);

/*
 * Chooses an endpoint but `except`, as near as possible to the data centre
 * `near`; NULL if none has room.  *any tells whether one serves at all.
 */
struct fwd_endpoint *request_choose_endpoint(struct request *r,
					     const char *except,
					     const char *near, bool *any,
					     int64_t now);

/* Over all endpoints of its service. */
struct place_capacity request_capacity(struct request *r, int64_t now);

/* Whether the answer is aimed at so early that it cannot wait. */
bool request_is_urgent(const struct request *r);

/* Takes the request off its endpoint's counts; its fetch is cancelled. */
void request_detach(struct request *r);

/* Answers with an error of our own, and frees the request. */
void request_refuse(struct request *r, int err, const char *why, int64_t now);

/* Frees a request whose caller is answered or gone. */
void request_free(struct request *r);

void request_log(struct request *r, const char *kind, const char *outcome,
		 int64_t now);

/* The endpoint has read the prompt: its first event is there. */
void request_prefill_done(struct request *r);

/* Counts the memory that it is expected to need anew. */
void request_update_need(struct request *r, int64_t now);

/* ---- queue.c ---- */
/* Sends the request to an endpoint, lets it wait, or refuses it. */
void request_place(struct request *r, int64_t now);

/* ---- relay.c ---- */
void relay_begin(struct request *r, int64_t now);
void relay_data(struct request *r, const char *p, size_t n, int64_t now);
/* The endpoint's answer has ended, whole or broken off. */
void relay_endpoint_done(struct request *r, bool whole, const char *why,
			 int64_t now);
/* The caller has read what was kept back. */
void relay_drained(struct request *r, int64_t now);
/* Breaks the stream off, visibly for the caller, and frees the request. */
void relay_abort(struct request *r, const char *why, int64_t now);

/* Counts a copy of the request's memory at an endpoint, and gives it up. */
void request_add_copy(struct request *r, struct kv_copy *c,
		      struct fwd_endpoint *ep);
void request_remove_copy(struct request *r, struct kv_copy *c);

/* ---- move.c ---- */
/* The endpoint leaves: begins to move the generation elsewhere. */
void move_begin(struct request *r, int64_t now);
/* The stream at the source has broken off; true if it goes on elsewhere. */
bool move_source_ended(struct request *r);
/* The target has answered; with status 200 its events follow. */
void move_target_answered(struct request *r, int status, bool whole,
			  int64_t now);
/* The transfer from the target has ended without such an answer. */
void move_target_failed(struct request *r, int64_t now);
void move_tick(struct request *r, int64_t now);
/* Ends the orders of a request that is freed, and frees its copies. */
void move_release(struct request *r);

#endif
