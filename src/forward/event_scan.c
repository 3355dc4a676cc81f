#include "forward/event_scan.h"

#include <string.h>
#include <glib.h>

static void end_line(struct event_scan *s)
{
	size_t n = MIN(s->line_bytes, sizeof(s->line) - 1);
	char *end;

	s->line[n] = '\0';
	if (!s->id_line_met && s->line_bytes > 3 &&
	    !strncmp(s->line, "id:", 3)) {
		s->id_line_met = true;
		s->id = g_ascii_strtoull(s->line + 3, &end, 10);
		s->has_id = end > s->line + 3;
	}
	s->has_line = true;
	s->line_bytes = 0;
	s->line_is_empty = true;
}

/* Adds bytes of one line, without its end. */
static void add_to_line(struct event_scan *s, const char *p, size_t n)
{
	size_t room = sizeof(s->line) - 1;

	if (!s->line_bytes)
		s->line_is_empty = true;
	if (n && (n > 1 || *p != '\r' || s->line_bytes))
		s->line_is_empty = false;
	if (s->line_bytes < room)
		memcpy(s->line + s->line_bytes, p,
		       MIN(n, room - s->line_bytes));
	s->line_bytes += n;
}

size_t event_scan_feed(struct event_scan *s, const char *p, size_t n,
		       bool *whole)
{
	size_t done = 0;

	*whole = false;
	if (!s->bytes)
		*s = (struct event_scan){.line_is_empty = true};
	while (done < n && !*whole) {
		const char *end = memchr(p + done, '\n', n - done);
		size_t part = end ? (size_t)(end - (p + done)) : n - done;

		add_to_line(s, p + done, part);
		done += part;
		if (!end)
			break;
		done++;
		*whole = s->has_line && s->line_is_empty;
		if (!*whole)
			end_line(s);
	}
	s->bytes = *whole ? 0 : s->bytes + done;
	return done;
}

bool event_scan_is_inside(const struct event_scan *s)
{
	return s->bytes > 0;
}
