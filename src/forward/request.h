#ifndef FORWARD_REQUEST_H
#define FORWARD_REQUEST_H

#include "base/clock.h"
#include "forward/event_scan.h"
#include "forward/fwd.h"
#include "forward/place.h"

/*
 * A caller's request, from its arrival to the end of its answer.
 *
 * Invariants:
 * - A request that may run only once is never sent again after an attempt
 *   that may have run.
 * - A refusal that says "not run" is sent only if no attempt may have run.
 * - The caller receives bytes of an answer from one run only; a generation that
 *   is moved is continued, not run again.  A stream of a resumable route may be
 *   continued by another run, after the last whole event that was passed on.
 */

enum request_state {
	REQUEST_UNADMITTED, /* waits for the first plan */
	REQUEST_WAITING,    /* for an endpoint with room */
	REQUEST_SENT,	    /* to an endpoint; no answer yet */
	REQUEST_STREAM,	    /* events are passed on to the caller */
	REQUEST_PAUSED, /* the source of a move has ended or was stopped; the
			   copy order or the target is still to answer */
};

enum move_state {
	MOVE_NONE,
	MOVE_WAIT,   /* until the next attempt to copy */
	MOVE_COPY,   /* the KV cache is copied while the generation continues */
	MOVE_READY,  /* the copy is complete; the target is still too busy */
	MOVE_RESUME, /* the request was sent to the target; no answer yet */
};

/* What becomes of the event that arrives. */
enum event_part {
	PART_KEPT,    /* until it is whole */
	PART_PASSED,  /* passed on while it arrives */
	PART_DROPPED, /* the caller has got it before */
};

/* A copy of a generation's KV cache, counted as load on its endpoint. */
struct kv_copy {
	char endpoint_id[128]; /* "" for none */
	uint64_t incarnation;
	uint64_t needed_tokens; /* counted there */
};

/* Move of a generation from its endpoint (source) to another (target). */
struct move {
	enum move_state state;
	char source_id[128]; /* endpoint id */
	char source_addr[64];
	struct kv_copy target;
	char target_addr[64];
	char handle[256]; /* "IP:PORT/HANDLE", "" before a copy is complete */
	struct fetch *copy_fetch;   /* the copy order, NULL: none is open */
	struct fetch *target_fetch; /* the request at the target */
	struct buf copy_reply;	    /* body of the answer to the copy order */
	int last_status;	    /* HTTP status of the last answer */
	size_t refusal_bytes;	    /* of the target's body, if it refuses */
	bool target_waits;	    /* the target has answered; its events wait
				       for the end of the source's event */
	struct buf target_events;   /* received meanwhile */
	unsigned int copy_attempts; /* copy orders sent */
	bool cold_target;	    /* known to be cold when it was chosen */
	uint64_t copied_events;	    /* passed on when the copy was ordered */
	bool second_copy;	    /* a short one was ordered */
	int64_t start_us;
	int64_t copy_us;   /* when the copy was ordered, the first one if two */
	int64_t resume_us; /* when the target was asked */
	int64_t due_us; /* when MOVE_WAIT or MOVE_RESUME takes its next step */
};

/* Events that are passed on to the caller at a later time. */
struct delayed_part {
	struct list node; /* in request::delayed */
	int64_t due_us;
	struct buf bytes;
};

struct request {
	struct list node;	   /* in fwd::requests */
	struct list wait_node;	   /* in fwd::waiting */
	struct list endpoint_node; /* in fwd_endpoint::requests */
	struct fwd *fwd;
	struct httpd_req *http;
	struct caller_request ask;
	struct plan *plan; /* that it was admitted under; a reference */
	const struct plan_route *route;
	const struct plan_account *account; /* NULL: none, on a public route */
	const struct plan_service *service;
	enum request_state state;
	unsigned int rank; /* 0 is the most urgent */
	bool generation;   /* of a model endpoint */
	int64_t arrived_us;
	int64_t admitted_us; /* later than arrived_us if there was no plan */
	int64_t startup_wait_us; /* after its arrival; see startup.h */
	int64_t deadline_us;	 /* the caller waits no longer than this */
	ev_timer timer;		 /* fires at the deadline */

	/* Placement. */
	char endpoint_id[128];		/* "" while it has none */
	char previous_endpoint_id[128]; /* of the attempt before */
	uint64_t incarnation;		/* of the endpoint */
	struct fetch *fetch; /* transfer of the attempt, NULL: none is open */
	int64_t sent_us;     /* last attempt, moves not counted */
	unsigned int attempts;
	unsigned int failed_deliveries; /* attempts that reached no endpoint */
	GPtrArray *unreached;  /* ids of the endpoints of these; NULL: none */
	int64_t not_before_us; /* it waits until then; see repeat.h */
	bool may_have_run;
	bool held;		 /* waits as it is suspected (policy/blame.h) */
	bool trial;		 /* placed as a trial, not delivered yet */
	bool displaced;		 /* another account's request has its place */
	bool no_usable_endpoint; /* at the last try to place it */
	int64_t back_after_us;	 /* when an endpoint is back, or the account is
				    within its share; 0: unknown */
	uint64_t need_tokens;	 /* memory needed when it ends */
	uint64_t prefill_tokens; /* prompt tokens not processed yet */
	struct residency residency;  /* regions.c */
	uint64_t residency_version;  /* of the map that it is bound to */
	uint64_t residency_revision; /* of the plan then in force */

	/* Answer. */
	int status;	      /* HTTP status, 0: none yet */
	struct answer answer; /* as its headers say */
	struct buf body;      /* of an answer that is not a stream */

	/* Stream. */
	bool stream_begun;	  /* its caller has got the headers */
	struct event_scan scan;	  /* of the event that arrives */
	struct buf partial_event; /* of it, not passed on */
	enum event_part part;
	struct buf unsent_events; /* the caller's buffer is full */
	struct list delayed;	  /* struct delayed_part, after those of
				     unsent_events */
	size_t delayed_bytes;	  /* in delayed */
	uint64_t last_event_id;	  /* of the events passed on or delayed */
	uint64_t events;	  /* passed on or delayed */
	int64_t first_event_us;
	int64_t last_event_us;
	/* paces.c: the arrival of the last event of this attempt (0: none that
	 * the next one can be compared with), and the load at its start. */
	int64_t pace_event_us;
	bool pace_first; /* the next event ends the wait of this attempt */
	struct pace_load pace_load;
	int64_t longest_gap_us;	    /* between two events */
	int64_t longest_gap_end_us; /* when that gap ended */
	bool stream_ended;	    /* the endpoint has sent all events */
	struct move move;
};

/*
 * Whether the request, which waits, may be displaced by `newcomer`, of another
 * account.  One that may have run may not: its stream would break off, or its
 * caller could not safely repeat it.
 */
bool request_is_displaceable(const struct request *r,
			     const struct request *newcomer);

/* Sends the request to an endpoint, which is not checked for room. */
void request_send(struct request *r, struct fwd_endpoint *ep, int64_t now);

/*
 * Starts the transfer of one attempt, with resume_from as in struct attempt.
 * Its callbacks get the request; fetch_cancel() ends it.
 */
struct fetch *request_start_attempt(struct request *r, struct fwd_endpoint *ep,
				    const char *resume_from, int64_t now);

/* Sets the request's endpoint, and adds the request to the load there. */
void request_attach(struct request *r, struct fwd_endpoint *ep);

/*
 * Chooses an endpoint with room for the request; NULL if there is none.  The
 * endpoint with the id except_id, and those that its attempts did not reach,
 * are left out, or none if except_id is "".  Near ones are preferred, as seen
 * from the data centre near_dc.  *any_usable tells whether an endpoint is
 * usable at all.  For a request that is being moved it chooses the target.
 */
struct fwd_endpoint *request_choose_endpoint(struct request *r,
					     const char *except_id,
					     const char *near_dc,
					     bool *any_usable, int64_t now);

/*
 * Whether an endpoint of the request's service may get it now.  If none may,
 * *back_us is the time after which a pause or the time for which one is avoided
 * ends; 0: unknown.
 */
bool request_any_usable(struct request *r, int64_t *back_us, int64_t now);

/* Whether an endpoint that the request's attempts did not fail to reach may get
 * it now. */
bool request_any_untried(struct request *r, int64_t now);

/* Whether the request may be at the endpoint at all, whatever the endpoint's
 * present state. */
bool request_is_permitted(struct request *r, const struct fwd_endpoint *ep);

/*
 * The part of the demands that competes with the request for the room, or the
 * memory, of the endpoints that may get it (demand_competing()).
 */
uint64_t request_competing(struct request *r, const struct demands *d,
			   bool memory, int64_t now);

/* Capacity of the endpoints of the request's service that may get it. */
struct place_capacity request_capacity(struct request *r, int64_t now);

/* Whether the route's target latency is so short that it should not wait. */
bool request_is_urgent(const struct request *r);

/* Cancels the request's transfer, and removes the request from the load of its
 * endpoint; it then has none. */
void request_detach(struct request *r);

/*
 * Answers the caller with the error err (negative), and frees the request.  why
 * is logged only.  A stream that has begun is aborted instead.
 */
void request_refuse(struct request *r, int err, const char *why, int64_t now);

/* Frees a request whose caller has been answered or has left. */
void request_free(struct request *r);

/* Logs the request's state as an event of the given kind. */
void request_log(struct request *r, const char *kind, const char *outcome,
		 int64_t now);

/* Called for each event: the endpoint has processed the prompt. */
void request_prefill_done(struct request *r);

/* What is known of the length of the request's output. */
struct length_query request_length_query(const struct request *r);

/* Forecasts the memory that the request will need, and updates the load of its
 * endpoint. */
void request_update_need(struct request *r, int64_t now);

/*
 * Runs a stream of a resumable route again, from the event after the last one
 * that was passed on; false if it may not be repeated.
 */
bool request_continue(struct request *r, const char *why, int64_t now);

/* ---- queue.c ---- */
/* Sends the request to an endpoint, queues it, or refuses and frees it. */
void request_place(struct request *r, int64_t now);

/* ---- relay.c ---- */
/* The headers of a stream have arrived: starts the answer to the caller, or
 * continues the one that has begun. */
void relay_begin(struct request *r, int64_t now);
/* Passes whole events on to the caller; may free the request. */
void relay_data(struct request *r, const char *p, size_t n, int64_t now);
/*
 * The endpoint's answer has ended; why is logged if it is not complete.  May
 * free the request.  One whose connection was shed ends with the connection.
 */
void relay_endpoint_done(struct request *r, bool complete, const char *why,
			 int64_t now);
/* The caller's buffer has room again; may free the request. */
void relay_drained(struct request *r, int64_t now);
/* Passes on delayed events that are due. */
void relay_tick(struct request *r, int64_t now);
/*
 * Counts the events that are kept for the caller, and what may arrive at the
 * socket of a transfer that is paused; false if the memory has no room.
 */
bool relay_count_kept(struct request *r);
/* Frees the delayed events. */
void relay_release(struct request *r);
/* Aborts the caller's connection, so that the stream does not look complete,
 * and frees the request. */
void relay_abort(struct request *r, const char *why, int64_t now);

/* ---- choose.c ---- */
/* Whether the endpoint may get the request now, room not considered. */
bool request_may_use_endpoint(struct request *r, const struct fwd_endpoint *ep,
			      int64_t now);
/* Adds a copy of the request's KV cache to the load of an endpoint. */
void request_add_copy(struct request *r, struct kv_copy *c,
		      struct fwd_endpoint *ep);
/* Removes the copy from that load again; no effect if there is none. */
void request_remove_copy(struct request *r, struct kv_copy *c);

/* Whether the caller has got a part of the event that arrives, which only the
 * endpoint that sends it can end. */
bool relay_event_is_cut(const struct request *r);
/* Drops what was received of an event, which will arrive again whole. */
void relay_drop_part(struct request *r);

/* ---- move.c ---- */
/* Delay of an event that arrives from the source now, so that the caller sees
 * no long pause when the target continues. */
int64_t move_event_delay(const struct request *r, int64_t now);
/* A part of the body of the target's answer. */
void move_target_data(struct request *r, const char *p, size_t n, int64_t now);
/* The source's event has ended; true if the stream goes on at the target now,
 * from which the caller may have got more, or may be lost. */
bool move_event_ended(struct request *r, int64_t now);
/* Begins to move a generation away from its endpoint; no effect for others and
 * while a move is under way. */
void move_begin(struct request *r, int64_t now);
/* The stream from the source has broken off; true if the move may still
 * continue it, false if the request is lost. */
bool move_source_ended(struct request *r);
/* Headers from the target have arrived.  If the status is 200 and the answer is
 * valid, the request goes over to the target. */
void move_target_answered(struct request *r, int status, bool valid,
			  int64_t now);
/* The target has refused the request or cannot be reached: copies again. */
void move_target_failed(struct request *r, int64_t now);
/* Retries a move, or stops the source, when it is due. */
void move_tick(struct request *r, int64_t now);
/* Ends the transfers of a move, and deletes its copy; the request is freed. */
void move_release(struct request *r);

#endif
