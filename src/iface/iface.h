#ifndef IFACE_IFACE_H
#define IFACE_IFACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#include "conf/conf.h"
#include "forward/plan.h"
#include "net/fetch.h"
#include "net/httpd.h"
#include "policy/owner.h"

/*
 * Codec for an external HTTP interface that replaces the built-in one.  It
 * decodes what callers and endpoints send into the types below and encodes
 * these types for sending.  The functions of the table do no I/O and make no
 * routing or retry decisions.
 */

/* Alternating header names and values, owned by the array. */
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

/* A section of a prompt that other requests may share. */
struct prompt_part {
	uint64_t id;
	uint32_t tokens;
};

#define PROMPT_PARTS_MAX 16

/* A decoded request.  Its strings are valid as long as the HTTP request. */
struct caller_request {
	const char *id;	  /* of this attempt by the caller */
	const char *host; /* requested authority */
	const char *method;
	const char *target;  /* path and query as received */
	const char *key;     /* API key of the caller or NULL */
	int64_t max_wait_us; /* caller's time limit, 0: unspecified */

	/* Members for generation requests. */
	const char *model;	/* NULL: not a generation */
	uint32_t prompt_tokens; /* 0: unspecified */
	uint32_t max_tokens;	/* output limit, 0: unspecified */
	uint32_t length_hint;	/* output tokens expected, 0: unspecified */
	struct prompt_part parts[PROMPT_PARTS_MAX]; /* in prompt order */
	size_t n_parts;
	uint64_t last_event_id; /* last event the caller received, 0: none */
};

/* One attempt to send a request to an endpoint. */
struct attempt {
	const char *endpoint;	 /* expected endpoint id */
	const char *account;	 /* client account or NULL */
	unsigned int rank;	 /* 0 is the most urgent */
	int64_t time_left_us;	 /* time until the deadline */
	const char *resume_from; /* "IP:PORT/HANDLE" of a copy or NULL */
	uint64_t last_event_id;	 /* last event received, 0: none */
};

/* What an endpoint says of itself in the headers of any response. */
struct endpoint_notice {
	bool leaving;	    /* it ends soon and wants no new requests */
	bool has_limit;	    /* it limits the requests that it takes */
	double limit_per_s; /* requests a second, from all hosts together */
	bool has_cold;	    /* it states whether it is cold */
	int64_t cold_us;    /* for which it is cold from now on, 0: warm */
	int64_t pause_us;   /* it wants no requests from this host for so long;
			       0: no such wish */
};

/* Properties of a response, decoded from its status and headers. */
struct answer {
	bool not_run;	     /* the endpoint guarantees that nothing ran */
	bool wrong_endpoint; /* another endpoint uses the address */
	bool wrong_request;  /* the response is for another request */
	bool has_seal; /* has the endpoint's marker of a genuine response */
	bool unframed; /* ends with its connection, without a length */
	struct endpoint_notice notice;
};

/* Orders an endpoint to copy a generation's KV cache to another one. */
struct move_order {
	const char *request_id;
	const char *target; /* "IP:PORT" */
	bool stop;	    /* the run ends there; it does not continue */
};

struct move_answer {
	char handle[128];   /* "" if there is none */
	uint64_t generated; /* events generated so far */
	bool not_running;   /* the endpoint does not run the generation */
};

/* Load reported by a model endpoint. */
struct load_report {
	uint64_t used_tokens; /* KV cache not available to new requests */
	uint32_t waiting;     /* queued requests */
};

struct iface {
	const char *name;
	/*
	 * Reads the settings of the process again.  Returns 0, or -MW_EINVAL
	 * with a message in *error that the caller frees with g_free().  The
	 * caller releases *out with conf_release() in both cases.
	 */
	int (*read_settings)(struct conf *out, char **error);
	size_t max_document_bytes; /* size limit of a published document in
				      bytes */
	size_t conn_memory_bytes;  /* header memory per connection of a caller
				      in bytes */

	/* Request handler of control processes; its context is a struct ctl. */
	httpd_handler *control_handler;

	/*
	 * Decodes a published document.  Returns 0, or -MW_EINVAL if it is
	 * malformed.  The caller owns the one reference to the plan.
	 */
	int (*parse_plan)(const char *body, size_t len, struct plan **out);
	/*
	 * Incremental variant of parse_plan().  The reader takes ownership of
	 * the text and releases it with g_free().  Each step reads at least the
	 * given number of bytes, or all that remain if fewer.  It returns 0
	 * while input remains, 1 with the plan set, or -MW_EINVAL.
	 */
	struct plan_reader *(*plan_reader_new)(char *text, size_t len);
	int (*plan_reader_step)(struct plan_reader *r, size_t bytes,
				struct plan **out);
	void (*plan_reader_free)(struct plan_reader *r);

	/* Decodes a request; returns 0, or -MW_EINVAL if it is malformed. */
	int (*decode_request)(const struct httpd_req *http,
			      struct caller_request *out);

	/* Returns the headers to send to an endpoint. */
	headers *(*request_headers)(const struct httpd_req *http,
				    const struct caller_request *ask,
				    const struct attempt *attempt);
	struct answer (*decode_answer)(struct fetch *f, int status,
				       const struct caller_request *ask);
	/* The notice of any other response of an endpoint. */
	struct endpoint_notice (*decode_notice)(struct fetch *f, int status);
	/*
	 * The question which server uses an address: the headers of a health
	 * check that expects the endpoint, and what the response says.
	 */
	headers *(*owner_headers)(const char *endpoint);
	enum owner_answer (*decode_owner)(struct fetch *f, int status,
					  const char *endpoint);
	/* Returns the response headers to forward to the caller. */
	headers *(*answer_headers)(struct fetch *f);

	/*
	 * Sends an error response for err, a negative error number.  No
	 * Retry-After header is sent if retry_after_us is 0.  may_have_run is
	 * false only if the request certainly did not run; close closes the
	 * connection after the response.
	 */
	void (*reply_error)(struct httpd_req *http, int err, bool may_have_run,
			    int64_t retry_after_us, bool close);

	/*
	 * Path of the load report of a model endpoint, and the decoder of its
	 * response, which returns 0 or -MW_EINVAL.
	 */
	const char *report_path;
	int (*decode_load_report)(const char *body, size_t len,
				  struct load_report *out);

	/* Path of the load balancer's readiness check. */
	const char *ready_path;

	/* Encodes a move order; the caller frees path and body. */
	void (*encode_move_order)(const struct move_order *o, char **path,
				  char **body);
	/*
	 * Decodes the response to a move order.  Returns 0, -MW_EAGAIN if the
	 * endpoint is busy or has no room, -MW_ENOTFOUND if it does not run
	 * the generation, or -MW_EINVAL if a 200 response has no handle.
	 */
	int (*decode_move_answer)(int status, const char *body, size_t len,
				  struct move_answer *out);
	/* Path for the DELETE request of a copy; the caller frees it. */
	char *(*free_copy_path)(const char *handle);
};

#endif
