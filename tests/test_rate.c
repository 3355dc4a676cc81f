#include "check_main.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "forward/rate.h"

#define MS INT64_C(1000)
#define HOSTS_MAX 400
#define TOTALS_INTERVAL_US (100 * MS)

#define STEP_US (5 * MS)
#define RUN_US (40 * USEC_PER_SEC)

/* Hosts that share one endpoint; each gets the others' counts with a lag. */
struct fleet {
	unsigned int n_hosts;
	double limit, requests_per_s;
	unsigned int quiet; /* hosts without requests in the first half */
	unsigned int cut;   /* hosts without totals */
	struct rate rates[HOSTS_MAX];
	struct rate_window arrivals[HOSTS_MAX];
	unsigned int sent[HOSTS_MAX], arrived[HOSTS_MAX]; /* last reports */
	int64_t sent_at[100000];
	size_t n_sent;
};

static struct fleet *fleet_new(unsigned int n_hosts, double limit,
			       double requests_per_s)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->n_hosts = n_hosts;
	f->limit = limit;
	f->requests_per_s = requests_per_s;
	return f;
}

/* Passes each host the reports of the round before, and takes new ones. */
static void exchange(struct fleet *f, struct rate_hosts *hosts, int64_t now)
{
	unsigned int sent = 0, arrived = 0;

	for (unsigned int i = 0; i < f->n_hosts; i++) {
		sent += f->sent[i];
		arrived += f->arrived[i];
	}
	for (unsigned int i = 0; i < f->n_hosts; i++) {
		f->rates[i].sent_elsewhere = sent - f->sent[i];
		hosts[i].arrivals_elsewhere = arrived - f->arrived[i];
		f->sent[i] = rate_window_count(&f->rates[i].sent, now);
		f->arrived[i] = rate_window_count(&f->arrivals[i], now);
	}
}

static void request(struct fleet *f, struct rate_hosts *hosts, unsigned int i,
		    int64_t now)
{
	rate_window_add(&f->arrivals[i], now);
	hosts[i].n = f->n_hosts;
	hosts[i].endpoints = 1;
	hosts[i].recent = i >= f->cut;
	hosts[i].arrivals = rate_window_count(&f->arrivals[i], now);
	if (!rate_has_room(&f->rates[i], &hosts[i], now))
		return;
	rate_record_sent(&f->rates[i], now);
	if (f->n_sent < G_N_ELEMENTS(f->sent_at))
		f->sent_at[f->n_sent++] = now;
}

static void run(struct fleet *f, unsigned int seed)
{
	static struct rate_hosts hosts[HOSTS_MAX];
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	int64_t next_exchange = 0;
	double due = 0;

	memset(hosts, 0, sizeof(hosts));
	for (unsigned int i = 0; i < f->n_hosts; i++)
		rate_state(&f->rates[i], true, f->limit, 1,
			   g_rand_double(rand));
	for (int64_t now = STEP_US; now < RUN_US; now += STEP_US) {
		if (now >= next_exchange) {
			exchange(f, hosts, now);
			next_exchange = now + TOTALS_INTERVAL_US;
		}
		due += f->requests_per_s * STEP_US / USEC_PER_SEC;
		for (; due >= 1; due--) {
			unsigned int first = now < RUN_US / 2 ? f->quiet : 0;
			request(f, hosts,
				(unsigned int)g_rand_int_range(
					rand, (gint32)first,
					(gint32)f->n_hosts),
				now);
		}
	}
}

/* Most requests in 4 s, from a second after the start. */
static size_t most_in_4s(const struct fleet *f)
{
	size_t most = 0, first = 0;

	for (size_t i = 0; i < f->n_sent; i++) {
		while (f->sent_at[i] - f->sent_at[first] >= 4 * USEC_PER_SEC)
			first++;
		if (f->sent_at[first] >= USEC_PER_SEC)
			most = MAX(most, i - first + 1);
	}
	return most;
}

/* What an endpoint accepts in 4 s before it counts as overrun. */
static double allowed_in_4s(const struct fleet *f)
{
	return 1.5 * f->limit * 4 + 5;
}

static const unsigned int host_counts[] = {1, 8, 80, 400};
static const double limits[] = {0.5, 2, 8, 40};

/*
 * Guards against an endpoint that gets more than it takes, since each of many
 * hosts sends what is left, and against one that gets far less.
 */
START_TEST(test_many_hosts_share_a_limit)
{
	for (size_t h = 0; h < G_N_ELEMENTS(host_counts); h++) {
		for (size_t l = 0; l < G_N_ELEMENTS(limits); l++) {
			for (unsigned int seed = 1; seed <= 5; seed++) {
				struct fleet *f =
					fleet_new(host_counts[h], limits[l],
						  limits[l] * 3 + 20);
				run(f, seed);
				ck_assert_msg(
					(double)most_in_4s(f) <=
						allowed_in_4s(f),
					"%u hosts, limit %.1f, seed %u: %zu",
					f->n_hosts, f->limit, seed,
					most_in_4s(f));
				ck_assert_double_ge((double)f->n_sent,
						    f->limit * (double)RUN_US /
							    USEC_PER_SEC / 2);
				g_free(f);
			}
		}
	}
}
END_TEST

/* Guards against hosts that save up requests while they are quiet, and send
 * them together. */
START_TEST(test_quiet_hosts_begin_together)
{
	for (unsigned int seed = 1; seed <= 10; seed++) {
		struct fleet *f = fleet_new(80, 6, 60);
		f->quiet = 60;
		run(f, seed);
		ck_assert_double_le((double)most_in_4s(f), allowed_in_4s(f));
		g_free(f);
	}
}
END_TEST

/* Guards against hosts that lose the totals and then send without bound. */
START_TEST(test_hosts_without_totals)
{
	for (unsigned int seed = 1; seed <= 10; seed++) {
		struct fleet *f = fleet_new(80, 6, 60);
		f->cut = 40;
		run(f, seed);
		ck_assert_double_le((double)most_in_4s(f), allowed_in_4s(f));
		g_free(f);
	}
}
END_TEST

/* Guards against an old statement of another host that replaces a newer one,
 * and against a limit that stays after the endpoint no longer names it. */
START_TEST(test_latest_statement_counts)
{
	struct rate r = {0};
	struct rate_hosts alone = {.n = 1, .arrivals = 1, .recent = true};

	ck_assert(rate_has_room(&r, &alone, 1 * USEC_PER_SEC));
	ck_assert(!rate_is_reported(&r, 1 * USEC_PER_SEC));
	ck_assert(rate_state(&r, true, 0, 5 * USEC_PER_SEC, 0));
	ck_assert(!rate_has_room(&r, &alone, 6 * USEC_PER_SEC));
	ck_assert(!rate_state(&r, false, 0, 4 * USEC_PER_SEC, 0));
	ck_assert(!rate_has_room(&r, &alone, 6 * USEC_PER_SEC));
	ck_assert(rate_state(&r, false, 0, 7 * USEC_PER_SEC, 0));
	ck_assert(rate_has_room(&r, &alone, 7 * USEC_PER_SEC));
	ck_assert(rate_is_reported(&r, 8 * USEC_PER_SEC));
	ck_assert(!rate_is_reported(&r, 60 * USEC_PER_SEC));
}
END_TEST

/* Guards against an endpoint that takes nothing and is never asked again. */
START_TEST(test_limit_of_zero_is_tried_again)
{
	struct rate r = {0};
	struct rate_hosts alone = {.n = 1, .arrivals = 1, .recent = true};
	bool room = false;

	rate_state(&r, true, 0, 1, 0);
	for (int64_t t = 1; t < 10; t++)
		room |= rate_has_room(&r, &alone, t * USEC_PER_SEC);
	ck_assert(room);
}
END_TEST

/* Guards against a window that counts requests for too long or not at all. */
START_TEST(test_window)
{
	struct rate_window w = {0};

	rate_window_add(&w, 10 * USEC_PER_SEC);
	rate_window_add(&w, 11 * USEC_PER_SEC);
	ck_assert_uint_eq(rate_window_count(&w, 11 * USEC_PER_SEC), 2);
	ck_assert_uint_eq(rate_window_count(&w, 12500 * MS), 1);
	ck_assert_uint_eq(rate_window_count(&w, 14 * USEC_PER_SEC), 0);
	rate_window_add(&w, 100 * USEC_PER_SEC);
	ck_assert_uint_eq(rate_window_count(&w, 100 * USEC_PER_SEC), 1);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_many_hosts_share_a_limit,
		test_quiet_hosts_begin_together,
		test_hosts_without_totals,
		test_latest_statement_counts,
		test_limit_of_zero_is_tried_again,
		test_window,
	};

	return check_main("rate", tests, sizeof(tests) / sizeof(*tests));
}
