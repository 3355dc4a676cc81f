#include "base/buf.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <glib.h>

/* An empty buffer with a larger capacity is freed instead of reused. */
#define BUF_RETAIN_BYTES 4096
/* Space that buf_addf() reserves for its first formatting attempt. */
#define ADDF_INITIAL_BYTES 60

static void buf_reserve(struct buf *b, size_t n)
{
	if (b->off && b->off == b->len)
		b->off = b->len = 0;
	if (b->len + n + 1 <= b->cap)
		return;
	if (b->off) {
		memmove(b->data, b->data + b->off, b->len - b->off);
		b->len -= b->off;
		b->off = 0;
	}
	if (b->len + n + 1 <= b->cap)
		return;
	size_t cap = b->cap ? b->cap : 64;
	while (cap < b->len + n + 1)
		cap *= 2;
	b->data = g_realloc(b->data, cap);
	b->cap = cap;
}

void buf_add(struct buf *b, const void *p, size_t n)
{
	buf_reserve(b, n);
	if (n)
		memcpy(b->data + b->len, p, n);
	b->len += n;
	b->data[b->len] = '\0';
}

void buf_addstr(struct buf *b, const char *s)
{
	buf_add(b, s, strlen(s));
}

void buf_addf(struct buf *b, const char *fmt, ...)
{
	va_list ap;

	/* Output longer than the available space is formatted a second time. */
	buf_reserve(b, ADDF_INITIAL_BYTES);
	size_t avail = b->cap - b->len;
	va_start(ap, fmt);
	int n = vsnprintf(b->data + b->len, avail, fmt, ap);
	va_end(ap);
	if (n >= 0 && (size_t)n >= avail) {
		buf_reserve(b, (size_t)n);
		va_start(ap, fmt);
		n = vsnprintf(b->data + b->len, (size_t)n + 1, fmt, ap);
		va_end(ap);
	}
	if (n >= 0)
		b->len += (size_t)n;
	b->data[b->len] = '\0';
}

void buf_consume(struct buf *b, size_t n)
{
	assert(n <= buf_unread(b));
	b->off += n;
	if (b->off < b->len)
		return;
	b->off = b->len = 0;
	if (b->cap > BUF_RETAIN_BYTES)
		buf_release(b);
}

void buf_release(struct buf *b)
{
	g_free(b->data);
	memset(b, 0, sizeof(*b));
}
