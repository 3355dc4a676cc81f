#include "obs/counter.h"

#include <assert.h>
#include <string.h>
#include <glib.h>

enum metric_type {
	TYPE_COUNTER,
	TYPE_GAUGE,
	TYPE_HISTOGRAM,
};

struct metric {
	enum metric_type type;
	const char *name, *unit, *label, *help;
};

static const struct metric metrics[] = {
#define COUNTER(id, name, unit, label, help)                                   \
	{TYPE_COUNTER, name, unit, label, help},
#define GAUGE(id, name, unit, label, help)                                     \
	{TYPE_GAUGE, name, unit, label, help},
#define HISTOGRAM(id, name, unit, label, help)                                 \
	{TYPE_HISTOGRAM, name, unit, label, help},
#include "obs/counter_list.h"
#undef COUNTER
#undef GAUGE
#undef HISTOGRAM
};

static const char *const type_names[] = {"counter", "gauge", "histogram"};

/*
 * Log-linear histogram buckets: values below SUB_BUCKETS have a bucket each,
 * and every power of two above is divided into SUB_BUCKETS equal buckets.
 * Values are limited to MAX_VALUE_BITS bits; 2^40 microseconds are about 12
 * days.
 */
#define SUB_BUCKET_BITS 3
#define SUB_BUCKETS (1 << SUB_BUCKET_BITS)
#define MAX_VALUE_BITS 40
#define BUCKET_COUNT ((MAX_VALUE_BITS - SUB_BUCKET_BITS + 1) * SUB_BUCKETS)
#define MAX_VALUE ((INT64_C(1) << MAX_VALUE_BITS) - 1)

struct series {
	char label[32];
	int64_t value;	   /* histogram: number of observations */
	int64_t sum;	   /* histogram: sum of the observed values */
	uint64_t *buckets; /* histogram: BUCKET_COUNT counts; else NULL */
};

struct series_set {
	/* COUNTER_MAX_LABEL_VALUES + 1 items; 1 for a metric without a label */
	struct series *series;
	int count;
};

static struct series_set series_sets[COUNTER_COUNT];

static struct series *find_series(enum counter_id id, const char *label)
{
	struct series_set *set = &series_sets[id];

	for (int i = 0; i < set->count; i++)
		if (!strcmp(set->series[i].label, label))
			return &set->series[i];
	return NULL;
}

static struct series *get_series(enum counter_id id, const char *label)
{
	struct series_set *set = &series_sets[id];

	assert(!label == !metrics[id].label);
	if (!label)
		label = "";
	struct series *s = find_series(id, label);
	if (!s && set->count >= COUNTER_MAX_LABEL_VALUES) {
		label = "other";
		s = find_series(id, label);
	}
	if (s)
		return s;
	if (!set->series)
		set->series = g_new0(
			struct series,
			metrics[id].label ? COUNTER_MAX_LABEL_VALUES + 1 : 1);
	s = &set->series[set->count++];
	g_strlcpy(s->label, label, sizeof(s->label));
	if (metrics[id].type == TYPE_HISTOGRAM)
		s->buckets = g_new0(uint64_t, BUCKET_COUNT);
	return s;
}

void counter_add(enum counter_id id, const char *label, uint64_t n)
{
	assert(metrics[id].type == TYPE_COUNTER);
	get_series(id, label)->value += (int64_t)n;
}

void counter_set(enum counter_id id, const char *label, int64_t value)
{
	assert(metrics[id].type == TYPE_GAUGE);
	get_series(id, label)->value = value;
}

static int bucket_index(uint64_t v)
{
	if (v < SUB_BUCKETS)
		return (int)v;
	int top = 63 - __builtin_clzll(v);
	return (top - SUB_BUCKET_BITS + 1) * SUB_BUCKETS +
	       (int)(v >> (top - SUB_BUCKET_BITS) & (SUB_BUCKETS - 1));
}

/* Returns the largest value that the bucket counts. */
static int64_t bucket_max(int bucket)
{
	if (bucket < SUB_BUCKETS)
		return bucket;
	int shift = bucket / SUB_BUCKETS - 1;
	return ((int64_t)(SUB_BUCKETS + bucket % SUB_BUCKETS + 1) << shift) - 1;
}

void counter_observe(enum counter_id id, const char *label, int64_t value)
{
	assert(metrics[id].type == TYPE_HISTOGRAM);
	struct series *s = get_series(id, label);
	value = CLAMP(value, 0, MAX_VALUE);
	s->buckets[bucket_index((uint64_t)value)]++;
	s->value++;
	s->sum += value;
}

int64_t counter_value(enum counter_id id, const char *label)
{
	const struct series *s = find_series(id, label ? label : "");

	return s ? s->value : 0;
}

int64_t counter_quantile(enum counter_id id, const char *label, double q)
{
	const struct series *s = find_series(id, label ? label : "");
	uint64_t cumulative = 0;

	assert(metrics[id].type == TYPE_HISTOGRAM);
	if (!s || !s->value)
		return 0;
	for (int i = 0; i < BUCKET_COUNT; i++) {
		cumulative += s->buckets[i];
		if (cumulative && (double)cumulative >= q * (double)s->value)
			return bucket_max(i);
	}
	return bucket_max(BUCKET_COUNT - 1);
}

/* Appends `<name><suffix>{label="value",le="..."} `, without the value. */
static void write_sample_name(struct buf *out, const struct metric *m,
			      const struct series *s, const char *suffix,
			      const char *le)
{
	buf_addf(out, "%s%s", m->name, suffix);
	if (m->label && le)
		buf_addf(out, "{%s=\"%s\",le=\"%s\"}", m->label, s->label, le);
	else if (m->label)
		buf_addf(out, "{%s=\"%s\"}", m->label, s->label);
	else if (le)
		buf_addf(out, "{le=\"%s\"}", le);
	buf_addstr(out, " ");
}

/*
 * Writes one cumulative bucket for each power of two, up to the bucket with the
 * largest observation.  That is finer than dashboards need and keeps the output
 * short.
 */
static void write_histogram(struct buf *out, const struct metric *m,
			    const struct series *s)
{
	uint64_t cumulative = 0;
	char le[32];

	for (int i = 0; i % SUB_BUCKETS || cumulative < (uint64_t)s->value;
	     i++) {
		cumulative += s->buckets[i];
		if (i % SUB_BUCKETS != SUB_BUCKETS - 1)
			continue;
		g_snprintf(le, sizeof(le), "%lld", (long long)bucket_max(i));
		write_sample_name(out, m, s, "_bucket", le);
		buf_addf(out, "%llu\n", (unsigned long long)cumulative);
	}
	write_sample_name(out, m, s, "_bucket", "+Inf");
	buf_addf(out, "%lld\n", (long long)s->value);
	write_sample_name(out, m, s, "_sum", NULL);
	buf_addf(out, "%lld\n", (long long)s->sum);
	write_sample_name(out, m, s, "_count", NULL);
	buf_addf(out, "%lld\n", (long long)s->value);
}

void counter_write(struct buf *out)
{
	for (int id = 0; id < COUNTER_COUNT; id++) {
		const struct metric *m = &metrics[id];
		/* A metric without a label is written even if unused. */
		if (!m->label)
			get_series(id, NULL);
		buf_addf(out, "# HELP %s %s Unit: %s.\n", m->name, m->help,
			 m->unit);
		buf_addf(out, "# TYPE %s %s\n", m->name, type_names[m->type]);
		for (int i = 0; i < series_sets[id].count; i++) {
			const struct series *s = &series_sets[id].series[i];
			if (m->type == TYPE_HISTOGRAM) {
				write_histogram(out, m, s);
				continue;
			}
			write_sample_name(out, m, s, "", NULL);
			buf_addf(out, "%lld\n", (long long)s->value);
		}
	}
}

void counter_write_doc(struct buf *out)
{
	buf_addstr(out, "# Metrics\n\n"
			"Generated from src/obs/counter_list.h by\n"
			"`build/release/tests/test_counter --doc "
			">docs/counters.md`. `GET /metrics` returns them.\n\n"
			"| name | type | unit | label | meaning |\n"
			"|---|---|---|---|---|\n");
	for (int id = 0; id < COUNTER_COUNT; id++) {
		const struct metric *m = &metrics[id];
		buf_addf(out, "| `%s` | %s | %s | %s | %s |\n", m->name,
			 type_names[m->type], m->unit, m->label ? m->label : "",
			 m->help);
	}
}

void counter_reset(void)
{
	for (int id = 0; id < COUNTER_COUNT; id++) {
		for (int i = 0; i < series_sets[id].count; i++)
			g_free(series_sets[id].series[i].buckets);
		g_free(series_sets[id].series);
		memset(&series_sets[id], 0, sizeof(series_sets[id]));
	}
}
