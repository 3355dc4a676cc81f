#ifndef OBS_EVENT_H
#define OBS_EVENT_H

#include <stddef.h>
#include <stdint.h>
#include <jansson.h>

#include "base/buf.h"

/*
 * The timeline: typed events of this process in a fixed-size ring, and
 * optionally in a file.  Hybrid logical clock stamps order the events of
 * several processes causally.
 */

enum event_kind {
#define EVENT(id, name, sentence) EV_KIND_##id,
#include "obs/event_kinds.h"
#undef EVENT
	EVENT_KIND_COUNT
};

const char *event_kind_name(enum event_kind kind);

/* Returns the kind for a name, or -MW_EINVAL. */
int event_kind_parse(const char *name);

/*
 * Objects that an event concerns; each may be NULL.  A string is truncated to
 * EVENT_NAME_LEN - 1 bytes.
 */
struct event_subject {
	const char *request, *account, *endpoint, *change;
};

/* Buffer sizes in bytes, with the final NUL. */
#define EVENT_NAME_LEN 64
#define EVENT_DETAIL_LEN 128

struct event_ring;

/*
 * Returns a new ring that holds the last `capacity` events, about 400 bytes
 * each.  Free with event_ring_free().
 */
struct event_ring *event_ring_new(size_t capacity, const char *host,
				  const char *dc);

/* Flushes buffered lines and frees the ring; r may be NULL. */
void event_ring_free(struct event_ring *r);

/*
 * Loads the events of earlier runs from DIR/timeline.log and timeline.log.1
 * into the ring, and appends further events to DIR/timeline.log.  Before that
 * file exceeds half of max_bytes, it is renamed to timeline.log.1 and replaces
 * the previous one.  Truncated and malformed lines are skipped on loading.
 * Returns 0 or -MW_EIO.
 */
int event_ring_open(struct event_ring *r, const char *dir, size_t max_bytes);

/*
 * Writes buffered lines to the file; call about once a second.  Bytes that
 * cannot be written are dropped, counted and reported in the log.
 */
void event_ring_flush(struct event_ring *r);

/*
 * Returns the highest stamp in the ring, or 0 if it is empty.  Passed to
 * hlc_observe() at start, so that new stamps follow those of earlier runs.
 */
uint64_t event_ring_last_stamp(const struct event_ring *r);

/*
 * Records an event.  stamp comes from hlc_now(); subject may be NULL; detail is
 * a printf format for the reason, without a final full stop.
 */
void event_emit(struct event_ring *r, uint64_t stamp, enum event_kind kind,
		const struct event_subject *subject, const char *detail, ...)
	__attribute__((format(printf, 5, 6)));

/* Filters; empty strings, 0 and kind -1 match all. */
struct event_query {
	char request[EVENT_NAME_LEN], account[EVENT_NAME_LEN];
	char endpoint[EVENT_NAME_LEN], change[EVENT_NAME_LEN];
	int64_t since_us, until_us; /* wall time */
	int kind;		    /* enum event_kind */
	size_t limit; /* newest events returned; 0: EVENT_QUERY_LIMIT */
};

#define EVENT_QUERY_INIT                                                       \
	{                                                                      \
		.kind = -1                                                     \
	}
#define EVENT_QUERY_LIMIT 2000

/*
 * Sets a filter from a URL query parameter: request, account, endpoint, change,
 * kind, since, until (seconds since 1970, fractions allowed), limit.  Returns
 * 0 or -MW_EINVAL.
 */
int event_query_set(struct event_query *q, const char *name, const char *value);

/*
 * Returns a new array of matching events, oldest first: {"hlc" (a decimal
 * string), "time", "seq", "kind", "host", "dc", and if not empty "request",
 * "account", "endpoint", "change", "detail"}.
 */
json_t *event_query(const struct event_ring *r, const struct event_query *q);

/*
 * Merges arrays returned by event_query() in several processes into causal
 * order.  Drops duplicates, and entries without a stamp or host.  Returns a new
 * array.
 */
json_t *event_merge(json_t *const *lists, size_t n);

/* Appends an English sentence that describes the event, without a newline. */
void event_sentence(const json_t *event, struct buf *out);

#endif
