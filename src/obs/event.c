#include "obs/event_int.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/err.h"
#include "base/log.h"
#include "obs/counter.h"

#define TIMELINE_FILE_NAME "timeline.log"

/* Buffered lines are flushed early once they reach this size. */
#define FLUSH_THRESHOLD_BYTES (64 * 1024)

/*
 * Copies with truncation.  Invalid UTF-8 becomes "?" and control characters
 * become spaces, because the text is output as JSON and on terminals.
 */
static void copy_sanitized(char *dst, const char *src, size_t size)
{
	const char *bad;

	g_strlcpy(dst, src ? src : "", size);
	while (!g_utf8_validate(dst, -1, &bad))
		dst[bad - dst] = '?';
	for (char *p = dst; *p; p++)
		if ((unsigned char)*p < ' ' || *p == 0x7f)
			*p = ' ';
}

struct event_ring *event_ring_new(size_t capacity, const char *host,
				  const char *dc)
{
	struct event_ring *r = g_new0(struct event_ring, 1);

	r->capacity = capacity ? capacity : 1;
	r->events = g_new0(struct event, r->capacity);
	r->fd = -1;
	copy_sanitized(r->host, host, sizeof(r->host));
	copy_sanitized(r->dc, dc, sizeof(r->dc));
	return r;
}

void event_ring_free(struct event_ring *r)
{
	if (!r)
		return;
	event_ring_flush(r);
	if (r->fd >= 0)
		close(r->fd);
	buf_release(&r->pending);
	g_free(r->dir);
	g_free(r->events);
	g_free(r);
}

uint64_t event_ring_last_stamp(const struct event_ring *r)
{
	uint64_t last = 0;

	for (size_t i = 0; i < ring_count(r); i++)
		last = MAX(last, ring_at(r, i)->stamp);
	return last;
}

static struct event *ring_add(struct event_ring *r)
{
	struct event *e = &r->events[r->added++ % r->capacity];

	memset(e, 0, sizeof(*e));
	return e;
}

static void set_subject(struct event *e, const struct event_subject *s)
{
	copy_sanitized(e->request, s->request, sizeof(e->request));
	copy_sanitized(e->account, s->account, sizeof(e->account));
	copy_sanitized(e->endpoint, s->endpoint, sizeof(e->endpoint));
	copy_sanitized(e->change, s->change, sizeof(e->change));
}

/* ---- file --------------------------------------------------------------- */

static char *file_path(const struct event_ring *r, const char *suffix)
{
	return g_strdup_printf("%s/" TIMELINE_FILE_NAME "%s", r->dir, suffix);
}

static const char *string_member(const json_t *o, const char *key)
{
	return json_string_value(json_object_get(o, key));
}

static void load_line(struct event_ring *r, const char *line, size_t len)
{
	AUTO_JSON json_t *o = json_loadb(line, len, 0, NULL);
	const char *kind_name = string_member(o, "kind");
	const char *stamp = string_member(o, "hlc");
	int kind = kind_name ? event_kind_parse(kind_name) : -1;

	if (kind < 0 || !stamp)
		return;
	struct event *e = ring_add(r);
	e->kind = (enum event_kind)kind;
	e->stamp = g_ascii_strtoull(stamp, NULL, 10);
	e->seq = (uint64_t)json_integer_value(json_object_get(o, "seq"));
	set_subject(e, &(struct event_subject){
			       .request = string_member(o, "request"),
			       .account = string_member(o, "account"),
			       .endpoint = string_member(o, "endpoint"),
			       .change = string_member(o, "change"),
		       });
	copy_sanitized(e->detail, string_member(o, "detail"),
		       sizeof(e->detail));
	r->last_seq = MAX(r->last_seq, e->seq);
}

static void load_file(struct event_ring *r, const char *suffix)
{
	g_autofree char *path = file_path(r, suffix);
	g_autofree char *text = NULL;
	gsize len = 0;
	struct stat st;

	/* A file this large was written under a larger max_bytes: skip it. */
	if (stat(path, &st) < 0 || (size_t)st.st_size > 2 * r->max_bytes ||
	    !g_file_get_contents(path, &text, &len, NULL))
		return;
	for (const char *p = text, *nl; (nl = strchr(p, '\n')); p = nl + 1)
		load_line(r, p, (size_t)(nl - p));
}

static int open_file(struct event_ring *r)
{
	g_autofree char *path = file_path(r, "");
	struct stat st;

	r->fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	if (r->fd < 0 || fstat(r->fd, &st) < 0)
		return -MW_EIO;
	r->file_bytes = (size_t)st.st_size;
	/* Ends a line that a crash cut short, so the next line is valid. */
	if (r->file_bytes && write(r->fd, "\n", 1) == 1)
		r->file_bytes++;
	return 0;
}

int event_ring_open(struct event_ring *r, const char *dir, size_t max_bytes)
{
	r->dir = g_strdup(dir);
	r->max_bytes = max_bytes;
	load_file(r, ".1");
	load_file(r, "");
	return open_file(r);
}

static void rotate(struct event_ring *r)
{
	g_autofree char *path = file_path(r, "");
	g_autofree char *old = file_path(r, ".1");

	close(r->fd);
	r->fd = -1;
	/* If the rename fails, the file is emptied to bound its size. */
	if (rename(path, old) < 0 && truncate(path, 0) < 0)
		log_warn("event", "%s: %s", path, strerror(errno));
	if (open_file(r) < 0)
		log_warn("event", "%s: %s", path, strerror(errno));
}

void event_ring_flush(struct event_ring *r)
{
	size_t len = buf_unread(&r->pending);

	if (!len || !r->dir)
		return;
	if (r->fd < 0)
		open_file(r);
	else if (r->file_bytes && r->file_bytes + len > r->max_bytes / 2)
		rotate(r);
	ssize_t n = r->fd < 0 ? -1 : write(r->fd, buf_head(&r->pending), len);
	if (n > 0)
		r->file_bytes += (size_t)n;
	size_t lost = len - (size_t)(n > 0 ? n : 0);
	if (lost) {
		counter_add(C_EVENT_BYTES_LOST, NULL, lost);
		if (!r->write_failed)
			log_warn("event", "%s/" TIMELINE_FILE_NAME ": %s",
				 r->dir, strerror(errno));
		if (n > 0 && write(r->fd, "\n", 1) == 1)
			r->file_bytes++;
	}
	r->write_failed = lost > 0;
	buf_consume(&r->pending, len);
}

static void append_line(struct event_ring *r, const struct event *e)
{
	AUTO_JSON json_t *o = event_to_json(r, e);
	AUTO_FREE char *text = json_dumps(o, JSON_COMPACT);

	if (!text)
		return;
	buf_addstr(&r->pending, text);
	buf_addstr(&r->pending, "\n");
	if (buf_unread(&r->pending) >= FLUSH_THRESHOLD_BYTES)
		event_ring_flush(r);
}

void event_emit(struct event_ring *r, uint64_t stamp, enum event_kind kind,
		const struct event_subject *subject, const char *detail, ...)
{
	char text[2 * EVENT_DETAIL_LEN];
	va_list ap;

	struct event *e = ring_add(r);
	e->stamp = stamp;
	e->seq = ++r->last_seq;
	e->kind = kind;
	if (subject)
		set_subject(e, subject);
	va_start(ap, detail);
	vsnprintf(text, sizeof(text), detail, ap);
	va_end(ap);
	copy_sanitized(e->detail, text, sizeof(e->detail));
	counter_add(C_EVENTS, event_kind_name(kind), 1);
	if (r->dir)
		append_line(r, e);
}
