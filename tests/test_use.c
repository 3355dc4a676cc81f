#include "check_main.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "control/use.h"
#include "policy/usage_interval.h"
#include "wire/account_rows.h"

#define MS INT64_C(1000)

/*
 * Stores a report that has, for each character of `endpoints`, a row with
 * `streams` open requests.
 */
static void send_report(struct use_table *u, const char *host, uint64_t seq,
			const char *endpoints, uint32_t streams, bool direct,
			int64_t now)
{
	Mw__UseReport r = MW__USE_REPORT__INIT;
	Mw__UseRow rows[8], *list[8];
	char names[8][2] = {0};

	r.host = (char *)host;
	r.incarnation = 1;
	r.seq = seq;
	r.rows = list;
	for (r.n_rows = 0; endpoints[r.n_rows]; r.n_rows++) {
		Mw__UseRow *row = &rows[r.n_rows];
		mw__use_row__init(row);
		names[r.n_rows][0] = endpoints[r.n_rows];
		row->endpoint = names[r.n_rows];
		row->streams = streams;
		list[r.n_rows] = row;
	}
	use_store_report(u, &r, direct, now);
}

/* Streams of the endpoint in the totals, or -1 if it has no row there. */
static int streams_of(const Mw__UseTotals *t, const char *endpoint)
{
	for (size_t i = 0; i < t->n_rows; i++)
		if (!strcmp(t->rows[i]->endpoint, endpoint))
			return (int)t->rows[i]->streams;
	return -1;
}

/*
 * Guards against totals that include the receiver's own work, take an older
 * report for a newer one, or still count a host whose connection closed.
 */
START_TEST(test_sums_without_own)
{
	struct use_table *u = use_new();

	send_report(u, "h1", 1, "e", 3, true, 0);
	send_report(u, "h2", 5, "e", 4, false, 0);
	send_report(u, "h2", 4, "e", 9, false, 0); /* older: ignored */
	use_update_sums(u, 0);
	Mw__UseTotals *t = use_totals_new(u, "h1", 0);
	ck_assert_uint_eq(t->hosts, 2);
	ck_assert_uint_eq(t->n_rows, 1);
	ck_assert_uint_eq(t->rows[0]->streams, 4);
	use_totals_free(t);
	ck_assert(use_reports_directly(u, "h1", 0));
	ck_assert(!use_reports_directly(u, "h2", 0));
	use_remove_host(u, "h2");
	ck_assert(use_has_changes(u));
	use_update_sums(u, USE_REPORT_VALID_US - 1);
	t = use_totals_new(u, "h1", USE_REPORT_VALID_US - 1);
	ck_assert_uint_eq(t->hosts, 1);
	ck_assert_int_le(streams_of(t, "e"), 0);
	use_totals_free(t);
	use_free(u);
}
END_TEST

/*
 * Guards against a change that partial totals leave out: the work of another
 * host falls by as much as the receiver's own grows, so the sum over all hosts
 * stays the same.
 */
START_TEST(test_change_hidden_by_own)
{
	struct use_table *u = use_new();

	send_report(u, "h1", 1, "e", 3, true, 1);
	send_report(u, "h2", 1, "e", 4, true, 1);
	use_update_sums(u, 1);
	use_totals_free(use_totals_new(u, "h1", 1));
	send_report(u, "h1", 2, "e", 4, true, 2);
	send_report(u, "h2", 2, "e", 3, true, 2);
	use_update_sums(u, 2);
	Mw__UseTotals *t = use_totals_new(u, "h1", 2);
	ck_assert(t->partial);
	ck_assert_int_eq(streams_of(t, "e"), 3);
	use_totals_free(t);
	use_free(u);
}
END_TEST

/* Guards against totals that list all endpoints after each change. */
START_TEST(test_partial_totals)
{
	struct use_table *u = use_new();

	send_report(u, "h1", 1, "a", 1, true, 1);
	send_report(u, "h2", 1, "abcd", 2, true, 1);
	use_update_sums(u, 1);
	Mw__UseTotals *t = use_totals_new(u, "h1", 1);
	ck_assert(!t->partial);
	ck_assert_uint_eq(t->n_rows, 4);
	use_totals_free(t);
	send_report(u, "h2", 2, "abc", 2, true, 2);
	use_update_sums(u, 2);
	t = use_totals_new(u, "h1", 2);
	ck_assert(t->partial);
	ck_assert_uint_eq(t->n_rows, 1);
	ck_assert_int_eq(streams_of(t, "d"), 0);
	use_totals_free(t);
	use_update_sums(u, 3);
	t = use_totals_new(u, "h1", 3);
	ck_assert_uint_eq(t->n_rows, 0);
	use_totals_free(t);
	use_free(u);
}
END_TEST

/*
 * Guards against partial totals for a host that missed earlier ones: its
 * connection closed (gap 0), it reported through another process (1), or its
 * report expired (2).
 */
START_TEST(test_full_totals_after_gap)
{
	struct use_table *u = use_new();

	for (int gap = 0; gap < 3; gap++) {
		uint64_t seq = 10 * (uint64_t)gap + 1;
		int64_t now = 3 * USE_REPORT_VALID_US * gap + 1;
		send_report(u, "h1", seq, "a", 1, true, now);
		use_update_sums(u, now);
		use_totals_free(use_totals_new(u, "h1", now));
		if (gap == 0)
			use_remove_host(u, "h1");
		else if (gap == 1)
			send_report(u, "h1", seq + 1, "a", 1, false, now);
		else
			use_update_sums(u, now += USE_REPORT_VALID_US + 1);
		use_update_sums(u, now);
		send_report(u, "h1", seq + 2, "a", 1, true, now);
		use_update_sums(u, now);
		Mw__UseTotals *t = use_totals_new(u, "h1", now);
		ck_assert_msg(!t->partial, "gap %d", gap);
		use_totals_free(t);
	}
	use_free(u);
}
END_TEST

static void send_pace(struct use_table *u, const char *host, uint64_t seq,
		      uint64_t incarnation, uint64_t observed,
		      uint64_t expected)
{
	Mw__UseReport r = MW__USE_REPORT__INIT;
	Mw__UseRow row = MW__USE_ROW__INIT, *list[] = {&row};

	r.host = (char *)host;
	r.incarnation = 1;
	r.seq = seq;
	r.rows = list;
	r.n_rows = 1;
	row.endpoint = (char *)"e";
	row.pace_incarnation = incarnation;
	row.pace_observed_ms = observed;
	row.pace_expected_ms = expected;
	use_store_report(u, &r, true, 1);
	use_update_sums(u, 1);
}

static void check_pace(struct use_table *u, const char *host, uint64_t observed,
		       uint64_t expected)
{
	Mw__UseTotals *t = use_totals_new(u, host, 1);

	ck_assert_uint_eq(t->n_rows, 1);
	ck_assert_uint_eq(t->rows[0]->pace_observed_ms, observed);
	ck_assert_uint_eq(t->rows[0]->pace_expected_ms, expected);
	use_totals_free(t);
}

/*
 * Guards against observations of a former incarnation, against one host that
 * outweighs all others, and against sums that include the receiver's own.
 */
START_TEST(test_pace_sums)
{
	struct use_table *u = use_new();

	send_pace(u, "h1", 1, 7, 300, 200);
	send_pace(u, "h2", 1, 7, 100, 50);
	check_pace(u, "h1", 100, 50);
	check_pace(u, "none", 400, 250);
	send_pace(u, "h3", 1, 8, 40, 20);
	check_pace(u, "h1", 40, 20);
	check_pace(u, "h3", 0, 0);
	send_pace(u, "h1", 2, 8, UINT64_MAX, 4000000);
	check_pace(u, "h2", 32040, 2020);
	use_free(u);
}
END_TEST

#define HOSTS 5
#define ROUNDS 4000

/*
 * Guards against totals that drift apart from the reports: after random
 * reports, a host that applies each message of totals must arrive at the work
 * of the other hosts.
 */
START_TEST(test_random_reports)
{
	GRand *rand = g_rand_new_with_seed(11);
	struct use_table *u = use_new();
	uint32_t work[HOSTS][4] = {0}, received[4] = {0};
	const char *const names[HOSTS] = {"h0", "h1", "h2", "h3", "h4"};
	uint64_t seq = 0;

	for (int64_t now = 1; now <= ROUNDS * MS; now += MS) {
		int h = g_rand_int_range(rand, 0, HOSTS);
		Mw__UseReport r = MW__USE_REPORT__INIT;
		Mw__UseRow rows[4],
			*list[4] = {rows, rows + 1, rows + 2, rows + 3};
		char ids[4][2] = {"a", "b", "c", "d"};

		r.host = (char *)names[h];
		r.seq = ++seq;
		r.rows = list;
		for (int e = 0; e < 4; e++) {
			if (g_rand_boolean(rand))
				work[h][e] =
					(uint32_t)g_rand_int_range(rand, 0, 3);
			if (!work[h][e])
				continue;
			Mw__UseRow *row = list[r.n_rows++];
			mw__use_row__init(row);
			row->endpoint = ids[e];
			row->streams = work[h][e];
		}
		use_store_report(u, &r, true, now);
		/* At times another host reports that it has no work left. */
		for (int k = 0; k < HOSTS; k++)
			if (k != h && !(seq % 500)) {
				r.host = (char *)names[k];
				r.n_rows = 0;
				memset(work[k], 0, sizeof(work[k]));
				r.seq = ++seq;
				use_store_report(u, &r, true, now);
			}
		if (g_rand_boolean(rand))
			continue;
		use_update_sums(u, now);
		Mw__UseTotals *t = use_totals_new(u, "h0", now);
		for (int e = 0; e < 4; e++) {
			int n = streams_of(t, ids[e]);
			uint32_t others = 0;

			received[e] = n >= 0	   ? (uint32_t)n
				      : t->partial ? received[e]
						   : 0;
			for (int k = 1; k < HOSTS; k++)
				others += work[k][e];
			ck_assert_uint_eq(received[e], others);
		}
		use_totals_free(t);
	}
	use_free(u);
	g_rand_free(rand);
}
END_TEST

/* Guards against a rate of messages that grows with the square of the hosts. */
START_TEST(test_message_intervals)
{
	ck_assert_int_eq(usage_report_interval_us(82, 3), 10 * MS);
	ck_assert_int_eq(usage_report_interval_us(400, 3), 48 * MS);
	ck_assert_int_eq(usage_report_interval_us(5000, 3), 100 * MS);
	ck_assert_int_eq(usage_report_interval_us(82, 400), 100 * MS);
	ck_assert_int_eq(usage_totals_interval_us(14), 10 * MS);
	ck_assert_int_eq(usage_totals_interval_us(57), 34200);
	ck_assert_int_eq(usage_totals_interval_us(1000), 100 * MS);
}
END_TEST

/* Stores a report of one row, in which the endpoint's limit was stated. */
static void send_limit(struct use_table *u, const char *host, uint32_t state,
		       uint64_t milli, uint64_t age_ms, int64_t now)
{
	Mw__UseReport r = MW__USE_REPORT__INIT;
	Mw__UseRow row = MW__USE_ROW__INIT, *list[] = {&row};

	r.host = (char *)host;
	r.incarnation = 1;
	r.seq = (uint64_t)now + 1;
	r.rows = list;
	r.n_rows = 1;
	row.endpoint = (char *)"e";
	row.sent = 3;
	row.limit_state = state;
	row.limit_milli = milli;
	row.limit_age_ms = age_ms;
	use_store_report(u, &r, true, now);
}

/*
 * Guards against an old statement of an endpoint's limit that hides a newer
 * one, and against totals in which a host's own requests count twice.
 */
START_TEST(test_latest_limit)
{
	struct use_table *u = use_new();

	send_limit(u, "h1", 1, 7000, 900, 1000 * MS);
	send_limit(u, "h2", 2, 0, 100, 1000 * MS);
	send_limit(u, "h3", 1, 9000, 500, 1300 * MS);
	use_update_sums(u, 1300 * MS);
	Mw__UseTotals *t = use_totals_new(u, "h1", 1300 * MS);
	ck_assert_uint_eq(t->n_rows, 1);
	ck_assert_uint_eq(t->rows[0]->sent, 6);
	ck_assert_uint_eq(t->rows[0]->limit_state, 2);
	ck_assert_uint_eq(t->rows[0]->limit_age_ms, 400);
	use_totals_free(t);
	use_free(u);
}
END_TEST

/* Guards against parts of queues for different regions that are added up, or
 * are missing from the totals of other hosts. */
START_TEST(test_restricted_queues)
{
	struct use_table *u = use_new();

	for (int h = 0; h < 3; h++) {
		Mw__UseReport r = MW__USE_REPORT__INIT;
		Mw__QueueRow row = MW__QUEUE_ROW__INIT, *rows[] = {&row};
		Mw__RegionQueue north = MW__REGION_QUEUE__INIT, south = north;
		Mw__RegionQueue *parts[] = {&south, &north};
		char host[] = {'h', (char)('0' + h), 0};

		north.regions = (char *)"north";
		south.regions = (char *)"south";
		north.tokens = 10;
		south.tokens = 1;
		row.service = (char *)"s";
		row.tokens = 100;
		row.restricted = parts;
		row.n_restricted = h ? 2 : 1;
		r.host = host;
		r.incarnation = r.seq = 1;
		r.queues = rows;
		r.n_queues = 1;
		use_store_report(u, &r, true, 0);
	}
	use_update_sums(u, 0);
	Mw__UseTotals *t = use_totals_new(u, "h2", 0);
	ck_assert_uint_eq(t->n_queues, 1);
	ck_assert_uint_eq(t->queues[0]->tokens, 200);
	ck_assert_uint_eq(t->queues[0]->n_restricted, 2);
	for (int i = 0; i < 2; i++) {
		const Mw__RegionQueue *q = t->queues[0]->restricted[i];
		ck_assert_uint_eq(q->tokens,
				  strcmp(q->regions, "north") ? 2 : 10);
	}
	use_totals_free(t);
	use_free(u);
}
END_TEST

/* Stores a report with `n` accounts, of which account i uses (i + 1) * 10. */
static void send_accounts(struct use_table *u, const char *host, uint64_t seq,
			  int n)
{
	Mw__UseReport r = MW__USE_REPORT__INIT;
	Mw__QueueRow queue = MW__QUEUE_ROW__INIT, *list[] = {&queue};
	GPtrArray *rows = account_rows_new();

	r.host = (char *)host;
	r.incarnation = 1;
	r.seq = seq;
	r.queues = list;
	r.n_queues = 1;
	queue.service = (char *)"s";
	for (int i = 0; i < n; i++) {
		g_autofree char *name = g_strdup_printf("a%02d", i);
		Mw__AccountRow *row = account_rows_get(rows, name);

		row->used = (uint64_t)(i + 1) * 10;
		row->tokens = 8;
		account_row_restricted(row, "north")->tokens = 3;
	}
	account_rows_bound(rows);
	account_rows_move(rows, &queue);
	use_store_report(u, &r, true, 0);
	account_rows_free_moved(&queue);
	use_update_sums(u, 0);
}

/*
 * Guards against sums by account that count the receiver's own, keep those of a
 * host that has none any more, or grow without bound.
 */
START_TEST(test_sums_by_account)
{
	struct use_table *u = use_new();
	uint64_t used = 0;

	send_accounts(u, "h1", 1, 2);
	send_accounts(u, "h2", 1, 1);
	send_accounts(u, "h3", 1, 1);
	Mw__UseTotals *t = use_totals_new(u, "h2", 0);
	ck_assert_uint_eq(t->n_queues, 1);
	ck_assert_uint_eq(t->queues[0]->n_accounts, 2);
	const Mw__AccountRow *row = t->queues[0]->accounts[0];
	ck_assert_str_eq(row->account, "a00");
	ck_assert_uint_eq(row->used, 20);
	ck_assert_uint_eq(row->tokens, 16);
	ck_assert_uint_eq(row->restricted[0]->tokens, 6);
	use_totals_free(t);

	send_accounts(u, "h1", 2, 100);
	send_accounts(u, "h2", 2, 0);
	t = use_totals_new(u, "h3", 0);
	ck_assert_uint_eq(t->queues[0]->n_accounts, ACCOUNT_ROWS_MAX);
	for (size_t i = 0; i < t->queues[0]->n_accounts; i++) {
		row = t->queues[0]->accounts[i];
		used += row->used;
		/* 63 accounts have rows of their own. */
		ck_assert(!strcmp(row->account, "*") || row->used > 370);
	}
	ck_assert_uint_eq(used, 50500);
	use_totals_free(t);

	send_accounts(u, "h1", 3, 0);
	t = use_totals_new(u, "h3", 0);
	ck_assert(!t->n_queues || !t->queues[0]->n_accounts);
	use_totals_free(t);
	use_free(u);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_restricted_queues,	    test_sums_without_own,
		test_change_hidden_by_own,  test_partial_totals,
		test_full_totals_after_gap, test_pace_sums,
		test_random_reports,	    test_message_intervals,
		test_sums_by_account,	    test_latest_limit};

	return check_main("use", tests, sizeof(tests) / sizeof(*tests));
}
