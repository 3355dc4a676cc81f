#ifndef STANDIN_HIST_H
#define STANDIN_HIST_H

#include <jansson.h>

/*
 * History file: one JSON object for each line, appended with one write, so
 * that a killed process loses no finished line.
 */
struct hist;

/* path NULL: records nothing.  Exits with status 2 if it cannot be opened. */
struct hist *hist_open(const char *path);

void hist_close(struct hist *h);

/* Adds the time "t" (wall, microseconds) and "ev" to fields and writes them;
 * takes over the reference to fields. */
void hist_put(struct hist *h, const char *ev, json_t *fields);

#endif
