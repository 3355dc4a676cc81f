#ifndef OBS_SLOG_H
#define OBS_SLOG_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"

/*
 * Structured log: one JSON object a line on standard output.
 *
 * A line is made with slog_begin(), fields, slog_end().  Writing never blocks:
 * a line that the pipe does not take is dropped and counted.  Lines above the
 * budget of a second are dropped too, those of requests that went well first;
 * the next line that is written names the number left out.
 *
 * Keys, tokens, prompts and bodies are never logged.
 */

/* Lines a second; a host with 20 requests a second writes about 100. */
#define SLOG_LINES_PER_S 400

/* Above this part of the budget only important lines are written, percent. */
#define SLOG_ROUTINE_PERCENT 70

struct slog {
	struct buf b;
	bool routine; /* concerns a request that goes well */
};

/*
 * Names the process for all lines, and makes standard output non-blocking.
 * Returns 0 or -MW_EIO if standard output has no usable flags.
 */
int slog_setup(const char *host, const char *dc, const char *role,
	       uint64_t incarnation);

struct slog slog_begin(const char *kind);
/* A line of a request that goes well so far. */
struct slog slog_routine(const char *kind);
void slog_str(struct slog *l, const char *key, const char *value);
void slog_int(struct slog *l, const char *key, int64_t value);
void slog_end(struct slog *l);

/* Lines dropped since the start. */
uint64_t slog_dropped(void);

#endif
