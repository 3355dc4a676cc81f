#ifndef ENDPOINT_EP_H
#define ENDPOINT_EP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <jansson.h>

#include "base/buf.h"
#include "wire/mw.pb-c.h"

/*
 * Endpoint protocols.  A protocol is a table of functions that build requests
 * to endpoints and parse their responses, events and announcements.  They do no
 * I/O, and return 0 or a negative error number unless stated otherwise.
 */

#define EP_GENERATION_CHARS 32	/* exact length of a generation id */
#define EP_ID_CHARS 64		/* longest endpoint or data centre id */
#define EP_TEXT_MAX_BYTES 65536 /* text of one token event */

/* An HTTP request to an endpoint.  The caller releases body. */
struct ep_request {
	const char *method;
	char path[256];
	struct buf body; /* JSON, empty for requests without a body */
};

/* Starts a generation. */
struct ep_submit {
	const char *model;
	const char *adapter;	/* NULL: none */
	const char *prompt;	/* NULL if messages is given */
	json_t *messages;	/* borrowed; NULL if prompt is given */
	const char *generation; /* id */
	unsigned int priority;	/* 0 is the most urgent */
	uint64_t max_tokens;
};

/* Orders an endpoint to load something or to change its role. */
struct ep_order {
	const char *order_id;
	/* load_model, load_adapter, load_version or set_role */
	const char *order;
	/* Members that the order does not use are NULL or "". */
	const char *model;
	const char *adapter;
	const char *version;
	const char *role;
	uint64_t fence;
};

/* A load report.  Blocks are units of KV cache. */
struct ep_load {
	uint32_t running; /* requests */
	uint32_t waiting; /* requests */
	uint32_t blocks_used;
	uint32_t blocks; /* total */
	bool leaving;

	/* Optional part about the generation whose stream has the report. */
	char generation[EP_GENERATION_CHARS + 1]; /* "" if absent */
	uint64_t preemptions;
	uint64_t stall_us; /* total duration of ended stalls */
	bool stalled;	   /* preempted and not yet resumed */
};

struct ep_usage {
	uint64_t prompt_tokens;
	uint64_t completion_tokens;
	uint64_t cached_tokens;
	uint64_t preemptions;
	uint64_t stall_us;
};

enum ep_event_kind {
	EP_TOKEN, /* one token; fin is set in the last one */
	EP_LOAD,
	EP_OTHER, /* keep-alives, the end marker and unknown event types */
};

struct ep_event {
	enum ep_event_kind kind;
	char generation[EP_GENERATION_CHARS + 1];
	uint64_t index; /* position of the token in the generation */
	char *text;	/* owned; NULL if the event has none */
	char fin[16];	/* finish reason, empty unless it is the last event */
	struct ep_usage usage;
	struct ep_load load;
};

/* The error response of an endpoint that refused a request. */
struct ep_refusal {
	char kind[32];
	bool not_run; /* the endpoint guarantees that nothing ran */
};

/* A block that was added to an endpoint's prefix cache or removed. */
struct ep_cache_event {
	uint64_t seq;
	uint64_t hash;
	bool removed;
};

#define EP_CACHE_EVENTS_MAX 1024

struct ep_ops {
	const char *name;

	int (*submit)(const struct ep_submit *s, struct ep_request *out);
	int (*resume)(const char *generation, uint64_t from,
		      struct ep_request *out);
	int (*cancel)(const char *generation, uint64_t reader,
		      struct ep_request *out);
	int (*order)(const struct ep_order *o, struct ep_request *out);
	int (*probe)(struct ep_request *out);

	/*
	 * Parses the payload of one server-sent event.  The caller releases
	 * out with ep_event_release(), also after an error.
	 */
	int (*parse_event)(const char *type, const char *data, size_t len,
			   struct ep_event *out);
	/* A malformed body gives the kind "error" and no failure. */
	int (*parse_refusal)(int status, bool not_run_header, const char *body,
			     size_t len, struct ep_refusal *out);
	/* On success, the caller releases out with ep_info_release(). */
	int (*parse_announce)(const char *body, size_t len,
			      Mw__EndpointInfo *out);
	/* On success, the caller releases out with ep_leave_release(). */
	int (*parse_leave)(const char *body, size_t len, Mw__LeaveFwd *out);
	/*
	 * Returns the number of events or a negative error number.  id has room
	 * for EP_ID_CHARS + 1 bytes, events for EP_CACHE_EVENTS_MAX entries.
	 */
	int (*parse_cache_events)(const char *body, size_t len, char *id,
				  uint64_t *incarnation,
				  struct ep_cache_event *events);
};

extern const struct ep_ops ep_openai;

void ep_event_release(struct ep_event *e);
void ep_info_release(Mw__EndpointInfo *info);
void ep_leave_release(Mw__LeaveFwd *leave);

/*
 * Returns whether id has 1 to EP_ID_CHARS characters, all of them letters,
 * digits, '-', '_', '.' or ':'.
 */
bool ep_id_is_valid(const char *id);

#endif
