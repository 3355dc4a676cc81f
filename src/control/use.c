#include "control/use.h"

#include <string.h>
#include <glib.h>

struct host {
	Mw__UseReport *report;
	int64_t heard_us;
	int64_t whole_us; /* when it was told all sums, 0: not yet */
	bool direct;	  /* it reports to this process itself */
	bool counted;	  /* in the sums */
};

/* Over all hosts; the endpoint of the row is owned. */
struct sum {
	Mw__UseRow row;
	bool touched; /* the part of a host changed since the last use_sum() */
	bool changed; /* the same for the last use_sum() itself */
};

struct use {
	GHashTable *hosts; /* name to struct host */
	GHashTable *sums;  /* endpoint to struct sum */
	bool is_new;
};

static void host_free(void *p)
{
	struct host *h = p;

	mw__use_report__free_unpacked(h->report, NULL);
	g_free(h);
}

static void sum_free(void *p)
{
	struct sum *s = p;

	g_free(s->row.endpoint);
	g_free(s);
}

struct use *use_new(void)
{
	struct use *u = g_new0(struct use, 1);

	u->hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
	u->sums =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, sum_free);
	return u;
}

void use_free(struct use *u)
{
	g_hash_table_destroy(u->hosts);
	g_hash_table_destroy(u->sums);
	g_free(u);
}

static bool is_newer(const Mw__UseReport *a, const Mw__UseReport *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->seq > b->seq;
}

static struct sum *sum_of(struct use *u, const char *endpoint)
{
	struct sum *s = g_hash_table_lookup(u->sums, endpoint);

	if (s)
		return s;
	s = g_new0(struct sum, 1);
	mw__use_row__init(&s->row);
	s->row.endpoint = g_strdup(endpoint);
	g_hash_table_insert(u->sums, s->row.endpoint, s);
	return s;
}

static bool is_same(const Mw__UseRow *a, const Mw__UseRow *b)
{
	return a->streams == b->streams && a->tokens == b->tokens &&
	       a->prefill == b->prefill && a->used == b->used &&
	       a->waiting == b->waiting && a->failed == b->failed &&
	       a->worked == b->worked;
}

static const Mw__UseRow *find_row(const Mw__UseReport *r, const char *endpoint)
{
	for (size_t i = 0; r && i < r->n_rows; i++)
		if (!strcmp(r->rows[i]->endpoint, endpoint))
			return r->rows[i];
	return NULL;
}

/* Marks the rows of a that b has not, or has otherwise. */
static void touch_rows(struct use *u, const Mw__UseReport *a,
		       const Mw__UseReport *b)
{
	for (size_t i = 0; a && i < a->n_rows; i++) {
		const Mw__UseRow *row = a->rows[i];
		const Mw__UseRow *other = find_row(b, row->endpoint);

		if (!other || !is_same(row, other))
			sum_of(u, row->endpoint)->touched = true;
	}
}

void use_take(struct use *u, const Mw__UseReport *report, bool direct,
	      int64_t now)
{
	struct host *old = g_hash_table_lookup(u->hosts, report->host);
	const Mw__UseReport *before = old && old->counted ? old->report : NULL;

	if (old && !is_newer(report, old->report))
		return;
	touch_rows(u, before, report);
	touch_rows(u, report, before);
	size_t len = mw__use_report__get_packed_size(report);
	g_autofree uint8_t *bytes = g_malloc(len + 1);
	mw__use_report__pack(report, bytes);
	struct host *h = g_new0(struct host, 1);
	h->report = mw__use_report__unpack(NULL, len, bytes);
	h->heard_us = now;
	h->direct = direct;
	h->counted = true;
	/* Otherwise it may have missed what was told meanwhile. */
	if (before && old->direct && direct &&
	    before->incarnation == report->incarnation)
		h->whole_us = old->whole_us;
	g_hash_table_replace(u->hosts, h->report->host, h);
	u->is_new = true;
}

void use_drop(struct use *u, const char *host)
{
	struct host *h = g_hash_table_lookup(u->hosts, host);

	/* Other connections may still tell of it. */
	if (!h)
		return;
	h->heard_us = -USE_VALID_US - 1;
	h->whole_us = 0;
	u->is_new = true;
}

bool use_reports_here(const struct use *u, const char *host, int64_t now)
{
	const struct host *h = g_hash_table_lookup(u->hosts, host);

	return h && h->direct && now - h->heard_us <= USE_VALID_US;
}

bool use_is_new(const struct use *u)
{
	return u->is_new;
}

static void add_row(Mw__UseRow *sum, const Mw__UseRow *row)
{
	sum->streams += row->streams;
	sum->tokens += row->tokens;
	sum->prefill += row->prefill;
	sum->used += row->used;
	sum->waiting += row->waiting;
	sum->failed += row->failed;
	sum->worked += row->worked;
}

static void subtract_row(Mw__UseRow *sum, const Mw__UseRow *row)
{
	sum->streams -= row->streams;
	sum->tokens -= row->tokens;
	sum->prefill -= row->prefill;
	sum->used -= row->used;
	sum->waiting -= row->waiting;
	sum->failed -= row->failed;
	sum->worked -= row->worked;
}

/* Rows that were told as empty are dropped. */
static gboolean begin_sum(gpointer key, gpointer value, gpointer arg)
{
	static const Mw__UseRow empty = MW__USE_ROW__INIT;
	struct sum *s = value;
	char *endpoint = s->row.endpoint;

	(void)key;
	(void)arg;
	if (!s->touched && is_same(&s->row, &empty))
		return TRUE;
	s->row = empty;
	s->row.endpoint = endpoint;
	s->changed = s->touched;
	s->touched = false;
	return FALSE;
}

/* A host that was not heard leaves the sums. */
static void expire(struct use *u, struct host *h, int64_t now)
{
	if (!h->counted || now - h->heard_us <= USE_VALID_US)
		return;
	h->counted = false;
	touch_rows(u, h->report, NULL);
}

void use_sum(struct use *u, int64_t now)
{
	GHashTableIter iter;
	struct host *h;

	u->is_new = false;
	g_hash_table_iter_init(&iter, u->hosts);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&h))
		expire(u, h, now);
	g_hash_table_foreach_remove(u->sums, begin_sum, NULL);
	g_hash_table_iter_init(&iter, u->hosts);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&h)) {
		for (size_t i = 0; h->counted && i < h->report->n_rows; i++) {
			const Mw__UseRow *row = h->report->rows[i];
			add_row(&sum_of(u, row->endpoint)->row, row);
		}
	}
}

static void add_queue(Mw__UseTotals *t, const Mw__QueueRow *row)
{
	Mw__QueueRow *sum;

	for (size_t i = 0; i < t->n_queues; i++) {
		if (strcmp(t->queues[i]->service, row->service) != 0)
			continue;
		t->queues[i]->tokens += row->tokens;
		return;
	}
	sum = g_new0(Mw__QueueRow, 1);
	mw__queue_row__init(sum);
	sum->service = row->service;
	sum->tokens = row->tokens;
	t->queues = g_renew(Mw__QueueRow *, t->queues, t->n_queues + 1);
	t->queues[t->n_queues++] = sum;
}

static void add_hosts(struct use *u, const struct host *except,
		      Mw__UseTotals *t)
{
	GHashTableIter iter;
	struct host *h;

	g_hash_table_iter_init(&iter, u->hosts);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&h)) {
		if (!h->counted)
			continue;
		t->hosts += !h->report->loads;
		for (size_t i = 0; h != except && i < h->report->n_queues; i++)
			add_queue(t, h->report->queues[i]);
	}
}

/* The sums that are told, without the host's own part. */
static GHashTable *rows_for(struct use *u, const struct host *h, bool whole)
{
	GHashTable *rows = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	struct sum *s;

	g_hash_table_iter_init(&iter, u->sums);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s)) {
		if (!whole && !s->changed)
			continue;
		Mw__UseRow *row = g_new(Mw__UseRow, 1);
		*row = s->row;
		g_hash_table_insert(rows, row->endpoint, row);
	}
	for (size_t i = 0; h && h->counted && i < h->report->n_rows; i++) {
		const Mw__UseRow *own = h->report->rows[i];
		Mw__UseRow *row = g_hash_table_lookup(rows, own->endpoint);
		if (row)
			subtract_row(row, own);
	}
	return rows;
}

Mw__UseTotals *use_totals(struct use *u, const char *except, int64_t now)
{
	struct host *h = g_hash_table_lookup(u->hosts, except);
	bool whole = !h || !h->whole_us || now - h->whole_us >= USE_WHOLE_US;
	g_autoptr(GHashTable) rows = rows_for(u, h, whole);
	Mw__UseTotals *t = g_new0(Mw__UseTotals, 1);
	GHashTableIter iter;
	Mw__UseRow *row;

	mw__use_totals__init(t);
	t->partial = !whole;
	add_hosts(u, h, t);
	t->rows = g_new0(Mw__UseRow *, g_hash_table_size(rows) + 1);
	g_hash_table_iter_init(&iter, rows);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&row))
		t->rows[t->n_rows++] = row;
	if (h && whole)
		h->whole_us = now;
	return t;
}

/* The strings belong to the sums and the reports. */
void use_totals_free(Mw__UseTotals *t)
{
	for (size_t i = 0; i < t->n_rows; i++)
		g_free(t->rows[i]);
	for (size_t i = 0; i < t->n_queues; i++)
		g_free(t->queues[i]);
	g_free(t->queues);
	g_free(t->rows);
	g_free(t);
}
