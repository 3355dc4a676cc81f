#ifndef IFACE_IFACE_H
#define IFACE_IFACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#include "forward/plan.h"
#include "net/fetch.h"
#include "net/httpd.h"

/*
 * An interface that the product speaks instead of its own: what callers and
 * endpoints send, decoded into the types of this page, and the other way
 * round.  One table of functions; they do no I/O of their own and decide
 * nothing.
 */

/* Headers as name, value, ..., both owned; freed with the array. */
typedef GPtrArray headers;

static inline headers *headers_new(void)
{
	return g_ptr_array_new_with_free_func(g_free);
}

static inline void headers_add(headers *h, const char *name, const char *value)
{
	g_ptr_array_add(h, g_strdup(name));
	g_ptr_array_add(h, g_strdup(value));
}

/* A part of a prompt that other requests may share. */
struct ask_part {
	uint64_t id;
	uint32_t tokens;
};

#define ASK_PARTS_MAX 16

/* A caller's request.  Strings live as long as the HTTP request. */
struct ask {
	const char *id;	  /* of this attempt of the caller */
	const char *host; /* authority that it was sent to */
	const char *method;
	const char *target;  /* path and query, as sent */
	const char *key;     /* caller's key, NULL if there is none */
	int64_t patience_us; /* how long the caller waits, 0: not said */

	/* Generations. */
	const char *model;		      /* NULL: not a generation */
	uint32_t prompt_tokens;		      /* 0: not said */
	uint32_t max_tokens;		      /* output at most, 0: not said */
	struct ask_part parts[ASK_PARTS_MAX]; /* of the prompt, in order */
	size_t n_parts;
	uint64_t last_event; /* newest event that the caller has, 0: none */
};

/* One sending of a request to an endpoint. */
struct attempt {
	const char *endpoint;	 /* id that the endpoint must have */
	const char *account;	 /* NULL: none */
	unsigned int rank;	 /* 0 is the most urgent */
	int64_t left_us;	 /* time that the endpoint may take */
	const char *resume_from; /* "IP:PORT/HANDLE" of a copy, or NULL */
	uint64_t last_event;	 /* newest event that was received */
};

/* What the headers of an endpoint's answer say. */
struct answer {
	bool not_run; /* it promises that the request did not run */
	bool other;   /* another endpoint has the address */
	bool crossed; /* the answer belongs to another request */
	bool whole;   /* it bears the endpoint's mark of a real answer */
};

/* An order that moves a generation's memory to another endpoint. */
struct move_order {
	const char *request_id;
	const char *target; /* "IP:PORT" */
};

struct move_answer {
	char handle[128];   /* "" if there is none */
	uint64_t generated; /* events made so far */
	bool gone;	    /* no such generation runs there */
};

/* What a model endpoint says of its load. */
struct load_report {
	uint64_t used_tokens; /* memory that cannot be given to others */
	uint32_t waiting;     /* requests in its queue */
};

struct iface {
	const char *name;
	size_t max_document; /* bytes of a published document */
	size_t conn_memory;  /* bytes for the headers of a connection */

	/* On control processes: handler with the struct ctl as context. */
	httpd_handler *control;

	/* Returns 0 or -MW_EINVAL; the plan has one reference. */
	int (*plan)(const char *body, size_t len, struct plan **out);
	/*
	 * The same in steps.  The reader takes the text over (g_free()); a
	 * step reads at least that many bytes, if there are as many, and
	 * returns 0 while some are left, 1 with the plan, or -MW_EINVAL.
	 */
	struct plan_reader *(*plan_begin)(char *text, size_t len);
	int (*plan_step)(struct plan_reader *r, size_t bytes,
			 struct plan **out);
	void (*plan_free)(struct plan_reader *r);

	/* Returns 0, or -MW_EINVAL if the request cannot be understood. */
	int (*ask)(const struct httpd_req *http, struct ask *out);

	/* The headers to send to an endpoint. */
	headers *(*request_headers)(const struct httpd_req *http,
				    const struct ask *ask,
				    const struct attempt *attempt);
	struct answer (*answer)(struct fetch *f, int status,
				const struct ask *ask);
	/* The headers to pass on to the caller. */
	headers *(*answer_headers)(struct fetch *f);

	/*
	 * Answers a caller with an error of our own.  retry_after_us is 0 for
	 * none; ran tells that the request may have run.
	 */
	void (*refuse)(struct httpd_req *http, int err, bool may_have_run,
		       int64_t retry_after_us, bool close);

	/* Path of a model endpoint's load, and its answer; 0 or -MW_EINVAL. */
	const char *report_path;
	int (*report)(const char *body, size_t len, struct load_report *out);

	/* Path of a request of the balancer that asks whether we are ready. */
	const char *ready_path;

	/* Path and body of an order to move memory; both to be freed. */
	void (*move_request)(const struct move_order *o, char **path,
			     char **body);
	/* Returns 0, -MW_EAGAIN (no room, or busy) or -MW_ENOTFOUND. */
	int (*move_answer)(int status, const char *body, size_t len,
			   struct move_answer *out);
	/* Path that frees a copy; method DELETE.  To be freed. */
	char *(*free_copy)(const char *handle);
};

#endif
