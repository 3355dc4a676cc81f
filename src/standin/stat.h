#ifndef STANDIN_STAT_H
#define STANDIN_STAT_H

#include <stdint.h>
#include <glib.h>
#include <jansson.h>

#include "standin/call.h"

/*
 * Histogram of durations in microseconds.  Each power of two has 32 buckets,
 * so a quantile is at most 3.2% too high.
 */
#define STAT_SUB_BITS 5
#define STAT_BUCKETS (48 << STAT_SUB_BITS)

struct stat_hist {
	uint32_t bucket[STAT_BUCKETS];
	int64_t n;
	int64_t max;
	double sum;
};

void stat_hist_add(struct stat_hist *h, int64_t us);
/* The upper end of the bucket that holds quantile q; at most the maximum. */
int64_t stat_hist_quantile(const struct stat_hist *h, double q);
json_t *stat_hist_json(const struct stat_hist *h); /* in ms */

/* What is measured of a set of calls. */
struct stat_group {
	int64_t sent, ok, not_run, tokens, resumes, attempts;
	struct stat_hist first;	  /* scheduled arrival to first token */
	struct stat_hist gap;	  /* between tokens */
	struct stat_hist transit; /* write of a stamped token to receipt */
	struct stat_hist total; /* scheduled arrival to the end, of ok calls */
	GHashTable *by_status;	/* text to count */
	GHashTable *by_kind;
};

struct stat_group *stat_new(void);
void stat_free(gpointer s);
void stat_add(struct stat_group *s, const struct call_result *r);
json_t *stat_json(const struct stat_group *s);

/* Jain's index of n values; 1 if there are none. */
double stat_jain(const double *x, int n);

#endif
