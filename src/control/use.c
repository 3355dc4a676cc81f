#include "control/use.h"

#include <string.h>
#include <glib.h>

struct host {
	Mw__UseReport *report;
	int64_t heard_us;
	bool direct; /* it reports to this process itself */
};

struct use {
	GHashTable *hosts; /* name to struct host */
};

static void host_free(void *p)
{
	struct host *h = p;

	mw__use_report__free_unpacked(h->report, NULL);
	g_free(h);
}

struct use *use_new(void)
{
	struct use *u = g_new0(struct use, 1);

	u->hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
	return u;
}

void use_free(struct use *u)
{
	g_hash_table_destroy(u->hosts);
	g_free(u);
}

static bool is_newer(const Mw__UseReport *a, const Mw__UseReport *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->seq > b->seq;
}

void use_take(struct use *u, const Mw__UseReport *report, bool direct,
	      int64_t now)
{
	struct host *h = g_hash_table_lookup(u->hosts, report->host);

	if (h && !is_newer(report, h->report))
		return;
	if (h)
		g_hash_table_remove(u->hosts, report->host);
	size_t len = mw__use_report__get_packed_size(report);
	g_autofree uint8_t *bytes = g_malloc(len + 1);
	mw__use_report__pack(report, bytes);
	h = g_new0(struct host, 1);
	h->report = mw__use_report__unpack(NULL, len, bytes);
	h->heard_us = now;
	h->direct = direct;
	g_hash_table_insert(u->hosts, h->report->host, h);
}

void use_drop(struct use *u, const char *host)
{
	struct host *h = g_hash_table_lookup(u->hosts, host);

	/* Other connections may still tell of it. */
	if (h)
		h->heard_us = 0;
}

bool use_reports_here(const struct use *u, const char *host, int64_t now)
{
	const struct host *h = g_hash_table_lookup(u->hosts, host);

	return h && h->direct && now - h->heard_us <= USE_VALID_US;
}

static void add_use(GHashTable *sums, const Mw__UseRow *row)
{
	Mw__UseRow *sum = g_hash_table_lookup(sums, row->endpoint);

	if (!sum) {
		sum = g_new0(Mw__UseRow, 1);
		mw__use_row__init(sum);
		sum->endpoint = row->endpoint;
		g_hash_table_insert(sums, sum->endpoint, sum);
	}
	sum->streams += row->streams;
	sum->tokens += row->tokens;
	sum->prefill += row->prefill;
	sum->used += row->used;
	sum->waiting += row->waiting;
	sum->failed += row->failed;
	sum->worked += row->worked;
}

static void add_repeat(GHashTable *sums, const Mw__RepeatRow *row)
{
	Mw__RepeatRow *sum = g_hash_table_lookup(sums, row->service);

	if (!sum) {
		sum = g_new0(Mw__RepeatRow, 1);
		mw__repeat_row__init(sum);
		sum->service = row->service;
		g_hash_table_insert(sums, sum->service, sum);
	}
	sum->requests += row->requests;
	sum->repeats += row->repeats;
}

static void add_queue(GHashTable *sums, const Mw__QueueRow *row)
{
	Mw__QueueRow *sum = g_hash_table_lookup(sums, row->service);

	if (!sum) {
		sum = g_new0(Mw__QueueRow, 1);
		mw__queue_row__init(sum);
		sum->service = row->service;
		g_hash_table_insert(sums, sum->service, sum);
	}
	sum->tokens += row->tokens;
}

/* Moves the values of a table into an array. */
static void **take_values(GHashTable *t, size_t *n)
{
	GHashTableIter iter;
	void **list = g_new0(void *, g_hash_table_size(t) + 1);
	void *value;

	*n = 0;
	g_hash_table_iter_init(&iter, t);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		list[(*n)++] = value;
	return list;
}

Mw__UseTotals *use_totals(struct use *u, const char *except, int64_t now)
{
	g_autoptr(GHashTable) rows = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GHashTable) repeats =
		g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GHashTable) queues =
		g_hash_table_new(g_str_hash, g_str_equal);
	Mw__UseTotals *t = g_new0(Mw__UseTotals, 1);
	GHashTableIter iter;
	struct host *h;
	const char *name;

	mw__use_totals__init(t);
	g_hash_table_iter_init(&iter, u->hosts);
	while (g_hash_table_iter_next(&iter, (void **)&name, (void **)&h)) {
		if (now - h->heard_us > USE_VALID_US)
			continue;
		t->hosts += !h->report->loads;
		if (!strcmp(name, except))
			continue;
		for (size_t i = 0; i < h->report->n_rows; i++)
			add_use(rows, h->report->rows[i]);
		for (size_t i = 0; i < h->report->n_repeats; i++)
			add_repeat(repeats, h->report->repeats[i]);
		for (size_t i = 0; i < h->report->n_queues; i++)
			add_queue(queues, h->report->queues[i]);
	}
	t->rows = (Mw__UseRow **)take_values(rows, &t->n_rows);
	t->repeats = (Mw__RepeatRow **)take_values(repeats, &t->n_repeats);
	t->queues = (Mw__QueueRow **)take_values(queues, &t->n_queues);
	return t;
}

/* The strings belong to the reports. */
void use_totals_free(Mw__UseTotals *t)
{
	for (size_t i = 0; i < t->n_rows; i++)
		g_free(t->rows[i]);
	for (size_t i = 0; i < t->n_repeats; i++)
		g_free(t->repeats[i]);
	for (size_t i = 0; i < t->n_queues; i++)
		g_free(t->queues[i]);
	g_free(t->queues);
	g_free(t->rows);
	g_free(t->repeats);
	g_free(t);
}
