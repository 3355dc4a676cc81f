#ifndef OBS_COUNTER_H
#define OBS_COUNTER_H

#include <stdint.h>

#include "base/buf.h"

/*
 * Counters, gauges and histograms of this process, all defined in
 * counter_list.h.  Not thread-safe: all calls come from one thread.
 *
 * A metric may have one label.  Label values are short words from the code,
 * such as a rank or an error kind, never client input, and are truncated to 31
 * bytes.  A metric keeps the first COUNTER_MAX_LABEL_VALUES values; further
 * values are counted under "other", so memory and output stay bounded.
 */

enum counter_id {
#define COUNTER(id, name, unit, label, help) C_##id,
#define GAUGE COUNTER
#define HISTOGRAM COUNTER
#include "obs/counter_list.h"
#undef COUNTER
#undef GAUGE
#undef HISTOGRAM
	COUNTER_COUNT
};

/* The label with the most values is the kind of an event. */
#define COUNTER_MAX_LABEL_VALUES 64

/* Adds n to a counter; label is NULL for metrics without one. */
void counter_add(enum counter_id id, const char *label, uint64_t n);

/* Sets a gauge; label is NULL for metrics without one. */
void counter_set(enum counter_id id, const char *label, int64_t value);

/*
 * Records a value in a histogram, clamped to 0 .. 2^40 - 1.  A bucket spans an
 * eighth of a power of two, so a quantile is at most 12.5% too high.
 */
void counter_observe(enum counter_id id, const char *label, int64_t value);

/*
 * Returns the value of a counter or gauge, or the number of observations of a
 * histogram; 0 if nothing was recorded under the label.
 */
int64_t counter_value(enum counter_id id, const char *label);

/*
 * Returns the largest value of the bucket that contains quantile q (0 to 1) of
 * a histogram, or 0 if the histogram is empty.
 */
int64_t counter_quantile(enum counter_id id, const char *label, double q);

/* Appends all metrics in the Prometheus text exposition format. */
void counter_write(struct buf *out);

/*
 * Appends the contents of docs/counters.md.  After a change of counter_list.h
 * regenerate that page with:
 * build/release/tests/test_counter --doc >docs/counters.md
 */
void counter_write_doc(struct buf *out);

/* Discards all series and their values; for tests. */
void counter_reset(void);

#endif
