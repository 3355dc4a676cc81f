#ifndef BASE_BUF_H
#define BASE_BUF_H

#include <stddef.h>

/*
 * Growable byte buffer with a read offset.  After a call that appends, the data
 * is followed by a NUL byte that len does not count.  Allocation failure aborts
 * the process, as in GLib.
 */
struct buf {
	char *data;
	size_t off; /* first unread byte */
	size_t len; /* end of the data */
	size_t cap; /* allocated bytes */
};

#define BUF_INIT                                                               \
	{                                                                      \
		NULL, 0, 0, 0                                                  \
	}

void buf_add(struct buf *b, const void *p, size_t n);
void buf_addstr(struct buf *b, const char *s);
void buf_addf(struct buf *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Discards the first n unread bytes; n is at most buf_unread().  Once all data
 * has been read, a large allocation is freed.  Invalidates buf_head().
 */
void buf_consume(struct buf *b, size_t n);
/* Frees the memory and leaves an empty buffer that can be used again. */
void buf_release(struct buf *b);

static inline size_t buf_unread(const struct buf *b)
{
	return b->len - b->off;
}

/* Returns the first unread byte, or NULL if nothing is allocated. */
static inline char *buf_head(const struct buf *b)
{
	return b->data ? b->data + b->off : NULL;
}

#define AUTO_BUF __attribute__((cleanup(buf_release)))

#endif
