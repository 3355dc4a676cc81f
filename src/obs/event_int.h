#ifndef OBS_EVENT_INT_H
#define OBS_EVENT_INT_H

#include "obs/event.h"

/* Internals shared by event.c (ring, file) and event_json.c (queries, text). */

struct event {
	uint64_t stamp, seq; /* seq rises by one with each event */
	enum event_kind kind;
	char request[EVENT_NAME_LEN], account[EVENT_NAME_LEN];
	char endpoint[EVENT_NAME_LEN], change[EVENT_NAME_LEN];
	char detail[EVENT_DETAIL_LEN];
};

struct event_ring {
	struct event *events;
	size_t capacity;
	size_t added; /* total; the next event goes to added % capacity */
	uint64_t last_seq;
	char host[EVENT_NAME_LEN], dc[EVENT_NAME_LEN];

	char *dir; /* NULL: events are not written to a file */
	size_t max_bytes, file_bytes;
	int fd;
	int write_failed;   /* last flush lost data; avoids repeated warnings */
	struct buf pending; /* lines not written yet */
};

static inline size_t ring_count(const struct event_ring *r)
{
	return r->added < r->capacity ? r->added : r->capacity;
}

/* Returns the i-th event; 0 is the oldest. */
static inline const struct event *ring_at(const struct event_ring *r, size_t i)
{
	return &r->events[(r->added - ring_count(r) + i) % r->capacity];
}

json_t *event_to_json(const struct event_ring *r, const struct event *e);

#endif
