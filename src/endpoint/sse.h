#ifndef ENDPOINT_SSE_H
#define ENDPOINT_SSE_H

#include <stddef.h>

#include "base/buf.h"

/*
 * Incremental parser for server-sent events.  sse_feed() passes each complete
 * event that has a data field to a callback.  A line or the data of an event
 * larger than SSE_EVENT_MAX_BYTES is an error.  Initialize struct sse to zero.
 */

#define SSE_EVENT_MAX_BYTES 131072
/* Buffer sizes, with the terminating NUL; longer values are truncated. */
#define SSE_TYPE_CHARS 32
#define SSE_ID_CHARS 1024

/*
 * id and type are "" if the event has none.  The len bytes of data are
 * followed by a NUL byte; all strings are valid only during the call.
 * Returns 0, or a negative error number that makes sse_feed() stop.
 */
typedef int (*sse_fn)(void *ctx, const char *id, const char *type,
		      const char *data, size_t len);

struct sse {
	struct buf line; /* incomplete line */
	struct buf data; /* data lines of the current event, joined by LF */
	char type[SSE_TYPE_CHARS];
	char id[SSE_ID_CHARS];
	int has_data;
};

/* Parses len bytes; returns 0, -MW_ETOOBIG, or the callback's error. */
int sse_feed(struct sse *s, const char *bytes, size_t len, sse_fn fn,
	     void *ctx);
void sse_release(struct sse *s);

#endif
