#include "obs/slog.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <glib.h>

#include "base/clock.h"
#include "base/err.h"
#include "obs/counter.h"

/* Limit of the lines buffered while the pipe on standard output is full. */
#define PENDING_MAX_BYTES (64 * 1024)

static struct {
	char host[64], dc[64], role[16];
	uint64_t incarnation;
	int64_t interval_start_us; /* start of the 1 s budget interval */
	unsigned int lines;	   /* lines accepted in this interval */
	uint64_t dropped;	   /* lines dropped since the start */
	uint64_t dropped_reported; /* part of dropped already logged */
	struct buf pending;
	bool ready; /* slog_setup() was called; lines before are ignored */
} state;

int slog_setup(const char *host, const char *dc, const char *role,
	       uint64_t incarnation)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	g_strlcpy(state.host, host, sizeof(state.host));
	g_strlcpy(state.dc, dc, sizeof(state.dc));
	g_strlcpy(state.role, role, sizeof(state.role));
	state.incarnation = incarnation;
	state.ready = true;
	if (flags < 0 || fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) < 0)
		return -MW_EIO;
	return 0;
}

static void add_quoted(struct buf *b, const char *s)
{
	buf_add(b, "\"", 1);
	for (; *s; s++) {
		unsigned char c = (unsigned char)*s;
		if (c == '"' || c == '\\')
			buf_addf(b, "\\%c", c);
		else if (c < 0x20)
			buf_addf(b, "\\u%04x", c);
		else
			buf_add(b, s, 1);
	}
	buf_add(b, "\"", 1);
}

void slog_str(struct slog *l, const char *key, const char *value)
{
	buf_addf(&l->b, ",\"%s\":", key);
	add_quoted(&l->b, value ? value : "");
}

void slog_int(struct slog *l, const char *key, int64_t value)
{
	buf_addf(&l->b, ",\"%s\":%lld", key, (long long)value);
}

struct slog slog_begin(const char *kind)
{
	struct slog l = {.b = BUF_INIT};
	int64_t wall = clock_wall_us();
	time_t s = (time_t)(wall / USEC_PER_SEC);
	struct tm tm;
	char text[32];

	gmtime_r(&s, &tm);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
	buf_addf(&l.b, "{\"time\":\"%s.%06dZ\",\"steady_us\":%lld", text,
		 (int)(wall % USEC_PER_SEC), (long long)clock_mono_us());
	slog_str(&l, "host", state.host);
	slog_str(&l, "dc", state.dc);
	slog_str(&l, "role", state.role);
	slog_int(&l, "incarnation", (int64_t)state.incarnation);
	slog_str(&l, "kind", kind);
	return l;
}

struct slog slog_begin_routine(const char *kind)
{
	struct slog l = slog_begin(kind);

	l.routine = true;
	return l;
}

static bool within_budget(bool routine, int64_t now)
{
	unsigned int max =
		routine ? SLOG_LINES_PER_S * SLOG_ROUTINE_PERCENT / 100
			: SLOG_LINES_PER_S;

	if (now - state.interval_start_us >= USEC_PER_SEC) {
		state.interval_start_us = now;
		state.lines = 0;
	}
	return state.lines < max;
}

/* Writes until the pipe is full; the rest stays buffered for the next call. */
static void flush_pending(void)
{
	while (buf_unread(&state.pending)) {
		ssize_t n = write(STDOUT_FILENO, buf_head(&state.pending),
				  buf_unread(&state.pending));
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return;
		buf_consume(&state.pending, (size_t)n);
	}
}

void slog_end(struct slog *l)
{
	if (!state.ready || !within_budget(l->routine, clock_mono_us()) ||
	    buf_unread(&state.pending) + buf_unread(&l->b) >
		    PENDING_MAX_BYTES) {
		state.dropped += state.ready;
		buf_release(&l->b);
		flush_pending();
		return;
	}
	state.lines++;
	if (state.dropped != state.dropped_reported) {
		slog_int(l, "left_out",
			 (int64_t)(state.dropped - state.dropped_reported));
		state.dropped_reported = state.dropped;
	}
	buf_addstr(&l->b, "}\n");
	buf_add(&state.pending, buf_head(&l->b), buf_unread(&l->b));
	buf_release(&l->b);
	flush_pending();
}

uint64_t slog_dropped(void)
{
	return state.dropped;
}
