#include "endpoint/sse.h"

#include <string.h>
#include <glib.h>

#include "base/err.h"

static int dispatch(struct sse *s, sse_fn fn, void *ctx)
{
	int r = 0;

	if (s->has_data)
		r = fn(ctx, s->id, s->type, buf_head(&s->data),
		       buf_unread(&s->data));
	s->data.off = s->data.len = 0;
	s->type[0] = s->id[0] = '\0';
	s->has_data = 0;
	return r;
}

static void copy_field(char *out, size_t size, const char *value, size_t len)
{
	size_t n = MIN(len, size - 1);

	memcpy(out, value, n);
	out[n] = '\0';
}

static int process_line(struct sse *s, const char *line, size_t len, sse_fn fn,
			void *ctx)
{
	if (len && line[len - 1] == '\r')
		len--;
	if (!len)
		return dispatch(s, fn, ctx);
	const char *colon = memchr(line, ':', len);
	size_t name = colon ? (size_t)(colon - line) : len;
	const char *value = colon ? colon + 1 : line + len;
	size_t value_len = len - (size_t)(value - line);
	if (value_len && *value == ' ') {
		value++;
		value_len--;
	}
	if (name == 4 && !memcmp(line, "data", 4)) {
		if (s->has_data)
			buf_add(&s->data, "\n", 1);
		buf_add(&s->data, value, value_len);
		s->has_data = 1;
		if (buf_unread(&s->data) > SSE_EVENT_MAX_BYTES)
			return -MW_ETOOBIG;
	} else if (name == 5 && !memcmp(line, "event", 5)) {
		copy_field(s->type, sizeof(s->type), value, value_len);
	} else if (name == 2 && !memcmp(line, "id", 2)) {
		copy_field(s->id, sizeof(s->id), value, value_len);
	}
	return 0;
}

int sse_feed(struct sse *s, const char *bytes, size_t len, sse_fn fn, void *ctx)
{
	while (len) {
		const char *nl = memchr(bytes, '\n', len);
		size_t n = nl ? (size_t)(nl - bytes) : len;
		int r = 0;
		if (nl && !buf_unread(&s->line)) {
			r = process_line(s, bytes, n, fn, ctx);
		} else {
			buf_add(&s->line, bytes, n);
			if (buf_unread(&s->line) > SSE_EVENT_MAX_BYTES)
				return -MW_ETOOBIG;
			if (nl) {
				r = process_line(s, buf_head(&s->line),
						 buf_unread(&s->line), fn, ctx);
				s->line.off = s->line.len = 0;
			}
		}
		if (r < 0)
			return r;
		if (!nl)
			break;
		bytes += n + 1;
		len -= n + 1;
	}
	return 0;
}

void sse_release(struct sse *s)
{
	buf_release(&s->line);
	buf_release(&s->data);
	s->type[0] = s->id[0] = '\0';
	s->has_data = 0;
}
