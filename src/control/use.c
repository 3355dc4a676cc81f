#include "control/use.h"

#include <string.h>
#include <glib.h>

#include "policy/pace.h"
#include "wire/account_rows.h"

struct use_host {
	Mw__UseReport *report;
	int64_t last_report_us;
	int64_t full_totals_us; /* time of its last full totals, 0: none */
	bool reports_directly;	/* not through another control process */
	bool in_sums;
};

/* Sum over all hosts for one endpoint. */
struct endpoint_sum {
	Mw__UseRow row; /* owns its endpoint string */
	bool dirty; /* a host's row changed since the last use_update_sums() */
	bool changed; /* `dirty` as the last use_update_sums() found it */
};

struct use_table {
	GHashTable *hosts;    /* host name to struct use_host */
	GHashTable *sums;     /* endpoint id to struct endpoint_sum */
	GHashTable *accounts; /* service to GPtrArray of Mw__AccountRow, the
				 sums over all hosts */
	bool has_changes;
};

static void host_free(void *p)
{
	struct use_host *h = p;

	mw__use_report__free_unpacked(h->report, NULL);
	g_free(h);
}

static void sum_free(void *p)
{
	struct endpoint_sum *s = p;

	g_free(s->row.endpoint);
	g_free(s);
}

struct use_table *use_new(void)
{
	struct use_table *u = g_new0(struct use_table, 1);

	u->hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
	u->sums =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, sum_free);
	u->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)g_ptr_array_unref);
	return u;
}

void use_free(struct use_table *u)
{
	g_hash_table_destroy(u->hosts);
	g_hash_table_destroy(u->sums);
	g_hash_table_destroy(u->accounts);
	g_free(u);
}

static bool is_newer(const Mw__UseReport *a, const Mw__UseReport *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->seq > b->seq;
}

static struct endpoint_sum *get_sum(struct use_table *u, const char *endpoint)
{
	struct endpoint_sum *s = g_hash_table_lookup(u->sums, endpoint);

	if (s)
		return s;
	s = g_new0(struct endpoint_sum, 1);
	mw__use_row__init(&s->row);
	s->row.endpoint = g_strdup(endpoint);
	g_hash_table_insert(u->sums, s->row.endpoint, s);
	return s;
}

/*
 * Whether the rows are the same for the host that gets them.  A change of the
 * pace alone is sent with the next full totals: a row of an endpoint at work
 * changes all the time anyway, and one that is idle should not be sent again.
 */
static bool rows_equal(const Mw__UseRow *a, const Mw__UseRow *b)
{
	return a->streams == b->streams && a->tokens == b->tokens &&
	       a->prefill == b->prefill && a->used == b->used &&
	       a->waiting == b->waiting && a->failed == b->failed &&
	       a->worked == b->worked && a->sent == b->sent &&
	       a->limit_state == b->limit_state &&
	       a->limit_milli == b->limit_milli;
}

static const Mw__UseRow *find_row(const Mw__UseReport *r, const char *endpoint)
{
	for (size_t i = 0; r && i < r->n_rows; i++)
		if (!strcmp(r->rows[i]->endpoint, endpoint))
			return r->rows[i];
	return NULL;
}

/* Marks the endpoints whose row in `a` is missing in `b` or differs there. */
static void mark_changed_rows(struct use_table *u, const Mw__UseReport *a,
			      const Mw__UseReport *b)
{
	for (size_t i = 0; a && i < a->n_rows; i++) {
		const Mw__UseRow *row = a->rows[i];
		const Mw__UseRow *other = find_row(b, row->endpoint);

		if (!other || !rows_equal(row, other))
			get_sum(u, row->endpoint)->dirty = true;
	}
}

void use_store_report(struct use_table *u, const Mw__UseReport *report,
		      bool direct, int64_t now)
{
	struct use_host *old = g_hash_table_lookup(u->hosts, report->host);
	const Mw__UseReport *old_report =
		old && old->in_sums ? old->report : NULL;

	if (old && !is_newer(report, old->report))
		return;
	mark_changed_rows(u, old_report, report);
	mark_changed_rows(u, report, old_report);
	size_t len = mw__use_report__get_packed_size(report);
	g_autofree uint8_t *bytes = g_malloc(len + 1);
	mw__use_report__pack(report, bytes);
	struct use_host *h = g_new0(struct use_host, 1);
	h->report = mw__use_report__unpack(NULL, len, bytes);
	h->last_report_us = now;
	h->reports_directly = direct;
	h->in_sums = true;
	/*
	 * The host has all totals that followed its last full totals only if it
	 * reported to this process all the time and did not restart.  Otherwise
	 * full_totals_us stays 0, and the host is sent all sums next.
	 */
	if (old_report && old->reports_directly && direct &&
	    old_report->incarnation == report->incarnation)
		h->full_totals_us = old->full_totals_us;
	g_hash_table_replace(u->hosts, h->report->host, h);
	u->has_changes = true;
}

void use_remove_host(struct use_table *u, const char *host)
{
	struct use_host *h = g_hash_table_lookup(u->hosts, host);

	if (!h)
		return;
	/*
	 * The entry stays: use_update_sums() marks its rows as changed, and a
	 * report through another connection counts only if it is newer.
	 */
	h->last_report_us = -USE_REPORT_VALID_US - 1;
	h->full_totals_us = 0;
	u->has_changes = true;
}

bool use_reports_directly(const struct use_table *u, const char *host,
			  int64_t now)
{
	const struct use_host *h = g_hash_table_lookup(u->hosts, host);

	return h && h->reports_directly &&
	       now - h->last_report_us <= USE_REPORT_VALID_US;
}

bool use_has_changes(const struct use_table *u)
{
	return u->has_changes;
}

/* The latest statement of the endpoint counts. */
static void add_limit(Mw__UseRow *sum, const Mw__UseRow *row,
		      uint64_t report_age_ms)
{
	uint64_t age_ms = row->limit_age_ms + report_age_ms;

	if (!row->limit_state ||
	    (sum->limit_state && sum->limit_age_ms <= age_ms))
		return;
	sum->limit_state = row->limit_state;
	sum->limit_milli = row->limit_milli;
	sum->limit_age_ms = age_ms;
}

/* What the row of one host adds to the sum; a host has a bounded weight. */
static struct pace_sums bounded_pace(const Mw__UseRow *row)
{
	struct pace_sums s = pace_bound(
		(struct pace_sums){row->pace_observed_ms * PACE_US_PER_MS,
				   row->pace_expected_ms * PACE_US_PER_MS});

	s.observed_us /= PACE_US_PER_MS;
	s.expected_us /= PACE_US_PER_MS;
	return s;
}

/* Only the observations of the newest incarnation count. */
static void add_pace(Mw__UseRow *sum, const Mw__UseRow *row)
{
	struct pace_sums s = bounded_pace(row);

	if (!s.expected_us || row->pace_incarnation < sum->pace_incarnation)
		return;
	if (row->pace_incarnation > sum->pace_incarnation)
		sum->pace_observed_ms = sum->pace_expected_ms = 0;
	sum->pace_incarnation = row->pace_incarnation;
	sum->pace_observed_ms += s.observed_us;
	sum->pace_expected_ms += s.expected_us;
}

static void subtract_pace(Mw__UseRow *sum, const Mw__UseRow *row)
{
	struct pace_sums s = bounded_pace(row);

	if (!s.expected_us || row->pace_incarnation != sum->pace_incarnation)
		return;
	sum->pace_observed_ms -= s.observed_us;
	sum->pace_expected_ms -= s.expected_us;
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
	sum->sent += row->sent;
	add_pace(sum, row);
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
	sum->sent -= row->sent;
	subtract_pace(sum, row);
}

/*
 * Clears a sum before it is computed again.  Returns TRUE, which removes
 * it, if it was empty already in the last totals and has not changed since: an
 * empty row has to be sent once, so that hosts reset theirs.
 */
static gboolean reset_sum(gpointer key, gpointer value, gpointer arg)
{
	static const Mw__UseRow empty = MW__USE_ROW__INIT;
	struct endpoint_sum *s = value;
	char *endpoint = s->row.endpoint;

	(void)key;
	(void)arg;
	if (!s->dirty && rows_equal(&s->row, &empty))
		return TRUE;
	s->row = empty;
	s->row.endpoint = endpoint;
	s->changed = s->dirty;
	s->dirty = false;
	return FALSE;
}

/* Leaves a host out of the sums if its report is no longer valid. */
static void expire_host(struct use_table *u, struct use_host *h, int64_t now)
{
	if (!h->in_sums || now - h->last_report_us <= USE_REPORT_VALID_US)
		return;
	h->in_sums = false;
	mark_changed_rows(u, h->report, NULL);
}

static void add_accounts(struct use_table *u, const Mw__QueueRow *queue)
{
	GPtrArray *rows = g_hash_table_lookup(u->accounts, queue->service);

	if (!queue->n_accounts)
		return;
	if (!rows) {
		rows = account_rows_new();
		g_hash_table_insert(u->accounts, g_strdup(queue->service),
				    rows);
	}
	/* A row too many from a host of another version is not counted. */
	for (size_t i = 0; i < MIN(queue->n_accounts, ACCOUNT_ROWS_MAX); i++)
		account_row_add(
			account_rows_get(rows, queue->accounts[i]->account),
			queue->accounts[i]);
}

void use_update_sums(struct use_table *u, int64_t now)
{
	GHashTableIter iter;
	struct use_host *h;

	u->has_changes = false;
	g_hash_table_iter_init(&iter, u->hosts);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&h))
		expire_host(u, h, now);
	g_hash_table_foreach_remove(u->sums, reset_sum, NULL);
	g_hash_table_remove_all(u->accounts);
	g_hash_table_iter_init(&iter, u->hosts);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&h)) {
		for (size_t i = 0; h->in_sums && i < h->report->n_rows; i++) {
			const Mw__UseRow *row = h->report->rows[i];
			Mw__UseRow *sum = &get_sum(u, row->endpoint)->row;
			add_row(sum, row);
			add_limit(sum, row,
				  (uint64_t)(now - h->last_report_us) / 1000);
		}
		for (size_t i = 0; h->in_sums && i < h->report->n_queues; i++)
			add_accounts(u, h->report->queues[i]);
	}
}

static void add_restricted(Mw__QueueRow *sum, const Mw__RegionQueue *part)
{
	Mw__RegionQueue *q = NULL;

	for (size_t i = 0; !q && i < sum->n_restricted; i++)
		if (!strcmp(sum->restricted[i]->regions, part->regions))
			q = sum->restricted[i];
	if (!q) {
		q = g_new0(Mw__RegionQueue, 1);
		mw__region_queue__init(q);
		q->regions = part->regions;
		sum->restricted = g_renew(Mw__RegionQueue *, sum->restricted,
					  sum->n_restricted + 1);
		sum->restricted[sum->n_restricted++] = q;
	}
	q->tokens += part->tokens;
}

static Mw__QueueRow *get_queue(Mw__UseTotals *t, char *service)
{
	Mw__QueueRow *sum;

	for (size_t i = 0; i < t->n_queues; i++)
		if (!strcmp(t->queues[i]->service, service))
			return t->queues[i];
	sum = g_new0(Mw__QueueRow, 1);
	mw__queue_row__init(sum);
	sum->service = service;
	t->queues = g_renew(Mw__QueueRow *, t->queues, t->n_queues + 1);
	t->queues[t->n_queues++] = sum;
	return sum;
}

static void add_queue(Mw__UseTotals *t, const Mw__QueueRow *row)
{
	Mw__QueueRow *sum = get_queue(t, row->service);

	sum->tokens += row->tokens;
	sum->arrivals += row->arrivals;
	for (size_t i = 0; i < row->n_restricted; i++)
		add_restricted(sum, row->restricted[i]);
}

/*
 * Adds the numbers of entry hosts and control processes (whose reports have
 * `loads`) and the queues of all hosts but `except`.
 */
static void add_hosts_and_queues(struct use_table *u,
				 const struct use_host *except,
				 Mw__UseTotals *t)
{
	GHashTableIter iter;
	struct use_host *h;

	g_hash_table_iter_init(&iter, u->hosts);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&h)) {
		if (!h->in_sums)
			continue;
		t->hosts += !h->report->loads;
		t->controls += h->report->loads;
		for (size_t i = 0; h != except && i < h->report->n_queues; i++)
			add_queue(t, h->report->queues[i]);
	}
}

static const Mw__QueueRow *find_queue(const struct use_host *h,
				      const char *service)
{
	for (size_t i = 0; h && h->in_sums && i < h->report->n_queues; i++)
		if (!strcmp(h->report->queues[i]->service, service))
			return h->report->queues[i];
	return NULL;
}

/* Adds the sums by client account of all hosts but `except`. */
static void add_account_sums(struct use_table *u, const struct use_host *except,
			     Mw__UseTotals *t)
{
	GHashTableIter iter;
	void *service;
	GPtrArray *sums;

	g_hash_table_iter_init(&iter, u->accounts);
	while (g_hash_table_iter_next(&iter, &service, (void **)&sums)) {
		const Mw__QueueRow *own = find_queue(except, service);
		GPtrArray *rows = account_rows_new();

		for (guint i = 0; i < sums->len; i++)
			account_rows_append(rows, sums->pdata[i]);
		for (size_t i = 0;
		     own && i < MIN(own->n_accounts, ACCOUNT_ROWS_MAX); i++)
			account_row_subtract(
				account_rows_get(rows,
						 own->accounts[i]->account),
				own->accounts[i]);
		account_rows_bound(rows);
		account_rows_move(rows, get_queue(t, service));
	}
}

/*
 * Returns the sums to send to a host (which may be NULL), without its own work,
 * by endpoint: all of them, or those that changed.  The caller frees the rows.
 */
static GHashTable *collect_rows(struct use_table *u, const struct use_host *h,
				bool full)
{
	GHashTable *rows = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	struct endpoint_sum *s;

	g_hash_table_iter_init(&iter, u->sums);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s)) {
		if (!full && !s->changed)
			continue;
		Mw__UseRow *row = g_new(Mw__UseRow, 1);
		*row = s->row;
		g_hash_table_insert(rows, row->endpoint, row);
	}
	for (size_t i = 0; h && h->in_sums && i < h->report->n_rows; i++) {
		const Mw__UseRow *own = h->report->rows[i];
		Mw__UseRow *row = g_hash_table_lookup(rows, own->endpoint);
		if (row)
			subtract_row(row, own);
	}
	return rows;
}

Mw__UseTotals *use_totals_new(struct use_table *u, const char *except,
			      int64_t now)
{
	struct use_host *h = g_hash_table_lookup(u->hosts, except);
	bool full = !h || !h->full_totals_us ||
		    now - h->full_totals_us >= USE_FULL_TOTALS_INTERVAL_US;
	g_autoptr(GHashTable) rows = collect_rows(u, h, full);
	Mw__UseTotals *t = g_new0(Mw__UseTotals, 1);
	GHashTableIter iter;
	Mw__UseRow *row;

	mw__use_totals__init(t);
	t->partial = !full;
	add_hosts_and_queues(u, h, t);
	add_account_sums(u, h, t);
	t->rows = g_new0(Mw__UseRow *, g_hash_table_size(rows) + 1);
	g_hash_table_iter_init(&iter, rows);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&row))
		t->rows[t->n_rows++] = row;
	if (h && full)
		h->full_totals_us = now;
	return t;
}

/* The strings belong to the sums and the reports and are not freed. */
unsigned int use_endpoint_streams(const struct use_table *u, const char *id)
{
	const struct endpoint_sum *s = g_hash_table_lookup(u->sums, id);

	return s ? (unsigned int)s->row.streams : 0;
}

void use_totals_free(Mw__UseTotals *t)
{
	for (size_t i = 0; i < t->n_rows; i++)
		g_free(t->rows[i]);
	for (size_t i = 0; i < t->n_queues; i++) {
		for (size_t j = 0; j < t->queues[i]->n_restricted; j++)
			g_free(t->queues[i]->restricted[j]);
		g_free(t->queues[i]->restricted);
		account_rows_free_moved(t->queues[i]);
		g_free(t->queues[i]);
	}
	g_free(t->queues);
	g_free(t->rows);
	g_free(t);
}
