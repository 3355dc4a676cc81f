#ifndef OBS_SLOG_H
#define OBS_SLOG_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"

/*
 * Structured log on standard output, one JSON object per line.
 *
 * A line is written with slog_begin(), calls that add fields, and slog_end().
 * Writing never blocks: lines are buffered while the pipe is full, and dropped
 * and counted once the buffer is full.  Lines above the budget per second are
 * dropped too, routine lines of successful requests first.  The next line that
 * is written has the number of dropped lines in the field "left_out".
 *
 * Keys, tokens, prompts and bodies are never logged.
 */

/* Budget in lines per second; 20 requests per second write about 100 lines. */
#define SLOG_LINES_PER_S 400

/* Percentage of the budget above which routine lines are dropped. */
#define SLOG_ROUTINE_PERCENT 70

struct slog {
	struct buf b;
	bool routine; /* dropped first; see slog_begin_routine() */
};

/*
 * Sets the fields that identify the process in every line, and makes standard
 * output non-blocking.  Lines before this call are discarded and not counted.
 * Returns 0 or -MW_EIO if fcntl() fails on standard output.
 */
int slog_setup(const char *host, const char *dc, const char *role,
	       uint64_t incarnation);

/* Begins a line; slog_end() must be called on it, which frees its buffer. */
struct slog slog_begin(const char *kind);
/* Begins a routine line, one of a request without a failure so far. */
struct slog slog_begin_routine(const char *kind);
/* Adds a string field; NULL is written as an empty string. */
void slog_str(struct slog *l, const char *key, const char *value);
void slog_int(struct slog *l, const char *key, int64_t value);
/* Writes or drops the line and frees it. */
void slog_end(struct slog *l);

/* Returns the number of lines dropped since the start. */
uint64_t slog_dropped(void);

#endif
