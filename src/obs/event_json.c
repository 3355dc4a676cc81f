#include "obs/event_int.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/hlc.h"

static const struct {
	const char *name, *sentence;
} kinds[EVENT_KIND_COUNT] = {
#define EVENT(id, name, sentence) {name, sentence},
#include "obs/event_kinds.h"
#undef EVENT
};

const char *event_kind_name(enum event_kind kind)
{
	return kinds[kind].name;
}

int event_kind_parse(const char *name)
{
	for (int i = 0; i < EVENT_KIND_COUNT; i++)
		if (!strcmp(kinds[i].name, name))
			return i;
	return -MW_EINVAL;
}

static void format_time(int64_t us, char *out, size_t size)
{
	time_t sec = us / USEC_PER_SEC;
	struct tm tm;
	char date[40];

	gmtime_r(&sec, &tm);
	strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(out, size, "%s.%06dZ", date, (int)(us % USEC_PER_SEC));
}

static void set_text(json_t *o, const char *key, const char *value)
{
	if (*value)
		json_object_set_new(o, key, json_string(value));
}

json_t *event_to_json(const struct event_ring *r, const struct event *e)
{
	json_t *o = json_object();
	char text[64];

	/* Written as a string: many JSON parsers round integers above 2^53. */
	snprintf(text, sizeof(text), "%llu", (unsigned long long)e->stamp);
	set_text(o, "hlc", text);
	format_time(hlc_wall_us(e->stamp), text, sizeof(text));
	set_text(o, "time", text);
	json_object_set_new(o, "seq", json_integer((json_int_t)e->seq));
	set_text(o, "kind", kinds[e->kind].name);
	set_text(o, "host", r->host);
	set_text(o, "dc", r->dc);
	set_text(o, "request", e->request);
	set_text(o, "account", e->account);
	set_text(o, "endpoint", e->endpoint);
	set_text(o, "change", e->change);
	set_text(o, "detail", e->detail);
	return o;
}

/* ---- queries ------------------------------------------------------------ */

static int parse_time(const char *text, int64_t *us)
{
	char *end;
	double sec = g_ascii_strtod(text, &end);

	if (end == text || *end || !isfinite(sec) || sec < 0 || sec > 1e11)
		return -MW_EINVAL;
	*us = (int64_t)(sec * 1e6);
	return 0;
}

int event_query_set(struct event_query *q, const char *name, const char *value)
{
	const struct {
		const char *name;
		char *field;
	} names[] = {
		{"request", q->request},
		{"account", q->account},
		{"endpoint", q->endpoint},
		{"change", q->change},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (!strcmp(names[i].name, name)) {
			g_strlcpy(names[i].field, value, EVENT_NAME_LEN);
			return 0;
		}
	}
	if (!strcmp(name, "kind")) {
		q->kind = event_kind_parse(value);
		return q->kind < 0 ? q->kind : 0;
	}
	if (!strcmp(name, "since"))
		return parse_time(value, &q->since_us);
	if (!strcmp(name, "until"))
		return parse_time(value, &q->until_us);
	if (!strcmp(name, "limit")) {
		guint64 n;
		if (!g_ascii_string_to_unsigned(value, 10, 1, 1000000, &n,
						NULL))
			return -MW_EINVAL;
		q->limit = n;
		return 0;
	}
	return -MW_EINVAL;
}

static int name_matches(const char *filter, const char *name)
{
	return !*filter || !strcmp(filter, name);
}

static int event_matches(const struct event_query *q, const struct event *e)
{
	int64_t us = hlc_wall_us(e->stamp);

	return (q->kind < 0 || (int)e->kind == q->kind) && us >= q->since_us &&
	       (!q->until_us || us <= q->until_us) &&
	       name_matches(q->request, e->request) &&
	       name_matches(q->account, e->account) &&
	       name_matches(q->endpoint, e->endpoint) &&
	       name_matches(q->change, e->change);
}

json_t *event_query(const struct event_ring *r, const struct event_query *q)
{
	size_t limit = q->limit ? q->limit : EVENT_QUERY_LIMIT;
	size_t first = ring_count(r);

	for (size_t found = 0; first && found < limit; first--)
		found += (size_t)event_matches(q, ring_at(r, first - 1));
	json_t *out = json_array();
	for (size_t i = first; i < ring_count(r); i++)
		if (event_matches(q, ring_at(r, i)))
			json_array_append_new(out,
					      event_to_json(r, ring_at(r, i)));
	return out;
}

/* ---- merge -------------------------------------------------------------- */

/* A parsed event and the keys it is sorted by. */
struct merge_item {
	uint64_t stamp;
	int64_t seq;
	const char *host;
	json_t *event; /* borrowed reference */
};

static int compare_items(const void *pa, const void *pb)
{
	const struct merge_item *a = pa, *b = pb;

	if (a->stamp != b->stamp)
		return a->stamp < b->stamp ? -1 : 1;
	int order = strcmp(a->host, b->host);
	if (order)
		return order;
	return (a->seq > b->seq) - (a->seq < b->seq);
}

json_t *event_merge(json_t *const *lists, size_t n)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct merge_item));
	json_t *out = json_array();
	json_t *e;
	size_t i;

	for (size_t l = 0; l < n; l++) {
		json_array_foreach(lists[l], i, e)
		{
			const char *stamp =
				json_string_value(json_object_get(e, "hlc"));
			const char *host =
				json_string_value(json_object_get(e, "host"));
			if (!stamp || !host)
				continue;
			struct merge_item item = {
				g_ascii_strtoull(stamp, NULL, 10),
				json_integer_value(json_object_get(e, "seq")),
				host, e};
			g_array_append_val(items, item);
		}
	}
	g_array_sort(items, compare_items);
	for (i = 0; i < items->len; i++) {
		const struct merge_item *it =
			&g_array_index(items, struct merge_item, i);
		if (i && !compare_items(it - 1, it))
			continue;
		json_array_append(out, it->event);
	}
	g_array_free(items, TRUE);
	return out;
}

/* ---- sentences ---------------------------------------------------------- */

/* Returns the text for a placeholder whose field the event does not have. */
static const char *default_text(const char *key)
{
	if (!strcmp(key, "account"))
		return "an unknown account";
	if (!strcmp(key, "endpoint"))
		return "an endpoint";
	if (!strcmp(key, "detail"))
		return "no further detail";
	return "(unnamed)";
}

void event_sentence(const json_t *event, struct buf *out)
{
	const char *name = json_string_value(json_object_get(event, "kind"));
	int kind = name ? event_kind_parse(name) : -1;
	char key[16];

	if (kind < 0) {
		/* A process of a later version may send kinds unknown here. */
		const char *detail =
			json_string_value(json_object_get(event, "detail"));
		buf_addf(out, "%s: %s.", name ? name : "event",
			 detail ? detail : default_text("detail"));
		return;
	}
	for (const char *p = kinds[kind].sentence; *p;) {
		const char *end = *p == '{' ? strchr(p, '}') : NULL;
		if (!end) {
			buf_add(out, p++, 1);
			continue;
		}
		g_strlcpy(key, p + 1, MIN(sizeof(key), (size_t)(end - p)));
		const char *value =
			json_string_value(json_object_get(event, key));
		buf_addstr(out, value ? value : default_text(key));
		p = end + 1;
	}
}
