#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "base/clock.h"
#include "base/err.h"
#include "control/hub_spill.h"
#include "policy/route.h"

#define SEC INT64_C(1000000)
#define MS INT64_C(1000)
#define HOSTS 3
#define EPS 3
#define BLOCKS 1000
#define LIMIT (BLOCKS * 9 / 10)
#define LEASE_MAX (SEC * 2 + 40 * MS) /* with clock drift */

/* A host as the hubs see it: its credits count from the report's sending. */
struct host {
	char name[8];
	uint64_t seq, answered;
	uint64_t demand, want, unit;
	struct {
		uint64_t blocks, held, version;
		int64_t until;
	} ep[EPS];
};

struct side {
	struct hub *hub;
	const char *dc;
	struct host hosts[HOSTS];
	uint32_t epoch;
};

struct world {
	struct side a, b; /* b has the endpoints */
	uint64_t announce_seq;
	uint32_t running;
	GRand *rand;
};

static void start_hub(struct side *s, int64_t now)
{
	struct hub_cfg cfg = {.name = s->dc, .dc = s->dc, .epoch = ++s->epoch};
	const char *names[HOSTS];

	hub_free(s->hub);
	s->hub = hub_new(&cfg, now);
	for (int i = 0; i < HOSTS; i++)
		names[i] = s->hosts[i].name;
	hub_set_hosts(s->hub, names, HOSTS, names[0]);
	hub_set_leader_contact(s->hub, true);
	hub_set_lend(s->hub, 50);
}

static void init(struct world *w, unsigned seed, int64_t now)
{
	memset(w, 0, sizeof(*w));
	w->rand = g_rand_new_with_seed(seed);
	w->a.dc = "d1";
	w->b.dc = "d2";
	for (int i = 0; i < HOSTS; i++) {
		g_snprintf(w->a.hosts[i].name, 8, "a%d", i);
		g_snprintf(w->b.hosts[i].name, 8, "b%d", i);
		w->a.hosts[i].unit = w->b.hosts[i].unit = 20;
	}
	start_hub(&w->a, now);
	start_hub(&w->b, now);
}

static void release(struct world *w)
{
	hub_free(w->a.hub);
	hub_free(w->b.hub);
	g_rand_free(w->rand);
}

static const char *ep_id(unsigned e)
{
	static const char *const ids[EPS] = {"e0", "e1", "e2"};

	return ids[e];
}

static int ep_no(const char *id)
{
	for (int e = 0; e < EPS; e++)
		if (!strcmp(id, ep_id((unsigned)e)))
			return e;
	return -1;
}

static void announce(struct world *w, unsigned e, const char *state,
		     int64_t now)
{
	Mw__EndpointInfo info = MW__ENDPOINT_INFO__INIT;
	char *model = "m";

	info.id = (char *)ep_id(e);
	info.incarnation = 1;
	info.seq = ++w->announce_seq;
	info.addr = "http://10.0.0.1:8000";
	info.dc = "d2";
	info.kind = "model";
	info.state = (char *)state;
	info.n_models = 1;
	info.models = &model;
	info.blocks = BLOCKS;
	info.block_tokens = 16;
	info.max_batch = 40;
	info.running = w->running;
	hub_announce(w->b.hub, now, &info);
}

/* Sends a report; returns the answer. */
static Mw__HubGrant *report(struct side *s, struct host *h, int64_t now)
{
	Mw__HubReport r = MW__HUB_REPORT__INIT;
	Mw__Demand demand = MW__DEMAND__INIT, want = MW__DEMAND__INIT;
	Mw__Demand *demands[] = {&demand}, *wants[] = {&want};
	Mw__EndpointUse use[EPS], *uses[EPS];
	bool own = !strcmp(s->dc, "d2");

	r.host = h->name;
	r.spill_part = true;
	r.incarnation = 1;
	/* Reports are deltas if the last one was answered, as those of hosts.
	 */
	if (h->answered == h->seq)
		r.grant_seq = r.base_seq = h->seq;
	r.seq = ++h->seq;
	demand.model = want.model = "m";
	demand.rank = want.rank = 1;
	demand.unit = want.unit = h->unit;
	demand.blocks = h->demand;
	want.blocks = h->want;
	if (h->demand) {
		r.demand = demands;
		r.n_demand = 1;
	}
	if (h->want) {
		r.spill = wants;
		r.n_spill = 1;
	}
	for (unsigned e = 0; e < EPS; e++) {
		mw__endpoint_use__init(&use[e]);
		use[e].endpoint = (char *)ep_id(e);
		use[e].held = h->ep[e].held;
		use[e].version = h->ep[e].version;
		uses[e] = &use[e];
	}
	if (own) {
		r.endpoints = uses;
		r.n_endpoints = EPS;
	} else {
		r.spill_known = uses;
		r.n_spill_known = EPS;
	}
	return hub_report(s->hub, now, &r);
}

static void take_grant(struct side *s, struct host *h, const Mw__HubGrant *g,
		       int64_t sent)
{
	h->answered = g->seq;
	if (!strcmp(s->dc, "d2") && g->lease_ms) {
		for (unsigned e = 0; e < EPS; e++) {
			if (!g->base_seq)
				h->ep[e].blocks = 0;
			h->ep[e].until = sent + g->lease_ms * MS;
		}
		for (size_t i = 0; i < g->n_credits; i++) {
			int e = ep_no(g->credits[i]->endpoint);

			h->ep[e].blocks = g->credits[i]->blocks;
		}
	}
	for (size_t i = 0; i < g->n_spill; i++) {
		const Mw__SpillRow *row = g->spill[i];
		int e = ep_no(row->info->id);

		ck_assert_uint_le(row->lease_ms, 2000);
		if (*row->info->addr)
			h->ep[e].version = row->info->version;
		ck_assert_uint_ne(h->ep[e].version, 0);
		h->ep[e].blocks = row->blocks;
		h->ep[e].until = sent + row->lease_ms * MS;
	}
}

static void exchange(struct world *w, struct side *s, struct host *h,
		     int64_t now, double loss)
{
	Mw__HubGrant *g = report(s, h, now);

	if (!g)
		return;
	if (g_rand_double(w->rand) >= loss)
		take_grant(s, h, g, now);
	mw__hub_grant__free_unpacked(g, NULL);
}

/* An ask and its answer, either may be lost; returns whether there was one. */
static bool ask(struct world *w, int64_t now, double loss)
{
	Mw__SpillAsk *a = hub_spill_ask(w->a.hub, now, "d2", NULL, 0);
	Mw__SpillLoan *loan = NULL;

	if (!a)
		return false;
	if (g_rand_double(w->rand) >= loss)
		loan = hub_spill_lend(w->b.hub, now, a);
	if (loan && g_rand_double(w->rand) >= loss)
		ck_assert_int_eq(hub_spill_loan(w->a.hub, now, "d2", loan), 0);
	if (loan)
		mw__spill_loan__free_unpacked(loan, NULL);
	mw__spill_ask__free_unpacked(a, NULL);
	return true;
}

/* Unexpired credits on an endpoint, as the hosts of one side know them. */
static uint64_t in_use(const struct side *s, unsigned e, int64_t now)
{
	uint64_t sum = 0;

	for (int i = 0; i < HOSTS; i++)
		if (now < s->hosts[i].ep[e].until)
			sum += s->hosts[i].ep[e].blocks;
	return sum;
}

static uint64_t in_use_all(const struct side *s, int64_t now)
{
	uint64_t sum = 0;

	for (unsigned e = 0; e < EPS; e++)
		sum += in_use(s, e, now);
	return sum;
}

static void check_invariant(const struct world *w, int64_t now)
{
	for (unsigned e = 0; e < EPS; e++) {
		ck_assert_uint_le(hub_granted_blocks(w->b.hub, ep_id(e), now), LIMIT);
		ck_assert_uint_le(in_use(&w->a, e, now) + in_use(&w->b, e, now),
				  LIMIT);
		ck_assert_uint_le(in_use(&w->a, e, now), LIMIT / 2);
	}
}

/* All hosts report and the hub asks, once a second. */
static void second(struct world *w, int64_t now)
{
	for (unsigned e = 0; e < EPS; e++)
		announce(w, e, "serving", now);
	for (int i = 0; i < HOSTS; i++)
		exchange(w, &w->b, &w->b.hosts[i], now + i * 50 * MS, 0);
	for (int i = 0; i < HOSTS; i++)
		exchange(w, &w->a, &w->a.hosts[i], now + i * 50 * MS, 0);
	ask(w, now + 300 * MS, 0);
	for (int i = 0; i < HOSTS; i++)
		exchange(w, &w->a, &w->a.hosts[i], now + (i * 50 + 400) * MS,
			 0);
	check_invariant(w, now + 600 * MS);
}

/*
 * Guards against credits of two data centres that exceed an endpoint together:
 * lost messages, hosts that hold what they were given, hubs that restart.
 */
START_TEST(test_credit_invariant)
{
	struct world w;
	int64_t now = 0;
	uint64_t lent = 0;

	init(&w, (unsigned)_i, 0);
	for (int step = 0; step < 20000; step++) {
		int op = g_rand_int_range(w.rand, 0, 100);
		struct side *s = op % 2 ? &w.a : &w.b;
		struct host *h = &s->hosts[g_rand_int_range(w.rand, 0, HOSTS)];
		unsigned e = (unsigned)g_rand_int_range(w.rand, 0, EPS);

		now += g_rand_int_range(w.rand, 0, 40 * MS);
		if (op < 20) {
			announce(&w, e, "serving", now);
		} else if (op < 50) {
			exchange(&w, s, h, now, 0.1);
		} else if (op < 70) {
			ask(&w, now, 0.1);
		} else if (op < 80) {
			h->demand =
				(uint64_t)g_rand_int_range(w.rand, 0, 4) * 100;
			h->want = h->demand;
			h->unit = (uint64_t)g_rand_int_range(w.rand, 1, 60);
		} else if (op < 95) {
			/* Holds what it may, or has ended some of it. */
			uint64_t most = now < h->ep[e].until ? h->ep[e].blocks
							     : h->ep[e].held;

			h->ep[e].held = most ? (uint64_t)g_rand_int_range(
						       w.rand, 0, (int)most + 1)
					     : 0;
		} else if (op == 95 &&
			   g_rand_int_range(w.rand, 0, _i % 2 ? 20 : 3) == 0) {
			start_hub(step % 2 ? &w.a : &w.b, now);
		} else if (op == 96) {
			w.running = (uint32_t)g_rand_int_range(w.rand, 0, 30);
		}
		check_invariant(&w, now);
		lent += in_use_all(&w.a, now) > 0;
	}
	/* The run says something only if there was spill for much of it. */
	ck_assert_uint_gt(lent, 2000);
	release(&w);
}
END_TEST

/* Guards against lending what the own hosts want, or a full batch. */
START_TEST(test_lends_only_what_is_free)
{
	struct world w;
	int64_t t = 0;

	init(&w, 1, 0);
	/* The own hosts have been given most of what is free before. */
	for (; t < 6 * SEC; t += SEC)
		second(&w, t);
	ck_assert_uint_gt(in_use_all(&w.b, t), EPS * LIMIT / 2);
	w.a.hosts[0].want = 10000;
	for (; t < 12 * SEC; t += SEC)
		second(&w, t);
	ck_assert_uint_gt(in_use_all(&w.a, t), EPS * LIMIT / 4);
	ck_assert_uint_le(in_use_all(&w.a, t), EPS * LIMIT / 2);
	/* The own hosts have room for new work meanwhile. */
	ck_assert_uint_gt(in_use_all(&w.b, t), EPS * LIMIT / 4);

	w.running = 20;
	for (; t < 18 * SEC; t += SEC)
		second(&w, t);
	ck_assert_uint_eq(in_use_all(&w.a, t), 0);
	w.running = 0;
	for (; t < 24 * SEC; t += SEC)
		second(&w, t);
	ck_assert_uint_gt(in_use_all(&w.a, t), EPS * LIMIT / 4);

	hub_set_lend(w.b.hub, 0);
	for (; t < 30 * SEC; t += SEC)
		second(&w, t);
	ck_assert_uint_eq(in_use_all(&w.a, t), 0);
	hub_set_lend(w.b.hub, 50);
	for (; t < 36 * SEC; t += SEC)
		second(&w, t);
	ck_assert_uint_gt(in_use_all(&w.a, t), EPS * LIMIT / 4);

	/* The demand of the own hosts leaves nothing. */
	w.b.hosts[0].demand = 10000;
	for (; t < 42 * SEC; t += SEC)
		second(&w, t);
	ck_assert_uint_eq(in_use_all(&w.a, t), 0);
	release(&w);
}
END_TEST

/* Guards against a lender that forgets what runs there for others. */
START_TEST(test_held_by_the_borrower)
{
	struct world w;
	int64_t t = 0;

	init(&w, 1, 0);
	w.a.hosts[0].want = 10000;
	for (; t < 6 * SEC; t += SEC)
		second(&w, t);
	/* Generations run on after the demand and the loans have ended. */
	for (unsigned e = 0; e < EPS; e++)
		w.a.hosts[0].ep[e].held = w.a.hosts[0].ep[e].blocks;
	ck_assert_uint_gt(w.a.hosts[0].ep[0].held, LIMIT / 4);
	w.a.hosts[0].want = 0;
	w.b.hosts[0].demand = 10000;
	for (; t < 12 * SEC; t += SEC)
		second(&w, t);
	for (unsigned e = 0; e < EPS; e++)
		ck_assert_uint_le(in_use(&w.b, e, t),
				  LIMIT - w.a.hosts[0].ep[e].held);
	/* They count towards what may be lent. */
	w.b.hosts[0].demand = 0;
	w.a.hosts[1].want = 10000;
	for (; t < 18 * SEC; t += SEC)
		second(&w, t);
	for (unsigned e = 0; e < EPS; e++)
		ck_assert_uint_le(in_use(&w.a, e, t), LIMIT / 2);
	release(&w);
}
END_TEST

/* Guards against a lender that waits longer than a lease for its memory. */
START_TEST(test_taken_back_within_a_lease)
{
	struct world w;
	int64_t t = 0, from;
	uint64_t had;

	init(&w, 1, 0);
	w.a.hosts[0].want = 10000;
	for (; t < 6 * SEC; t += SEC)
		second(&w, t);
	had = in_use_all(&w.a, t);
	ck_assert_uint_gt(had, EPS * LIMIT / 4);

	/* The demand comes up; the borrower goes on to ask for all. */
	w.b.hosts[0].demand = 10000;
	from = t;
	exchange(&w, &w.b, &w.b.hosts[0], t, 0);
	for (; t < from + LEASE_MAX; t += 250 * MS) {
		exchange(&w, &w.b, &w.b.hosts[0], t, 0);
		exchange(&w, &w.a, &w.a.hosts[0], t, 0);
		ask(&w, t, 0);
		check_invariant(&w, t);
	}
	ck_assert_uint_eq(in_use_all(&w.a, from + LEASE_MAX), 0);
	ck_assert_uint_eq(hub_spill_lent(w.b.hub, from + LEASE_MAX), 0);
	for (unsigned e = 0; e < EPS; e++)
		announce(&w, e, "serving", from + LEASE_MAX);
	exchange(&w, &w.b, &w.b.hosts[0], from + LEASE_MAX + 250 * MS, 0);
	ck_assert_uint_gt(in_use_all(&w.b, from + LEASE_MAX + 250 * MS),
			  EPS * LIMIT * 8 / 10);

	/* Without an ask, as after a cut, the loan ends in the same time. */
	release(&w);
	init(&w, 2, 0);
	w.a.hosts[0].want = 10000;
	for (t = 0; t < 6 * SEC; t += SEC)
		second(&w, t);
	ck_assert_uint_gt(in_use_all(&w.a, t), 0);
	from = t;
	for (; t < from + 3 * SEC; t += 250 * MS)
		exchange(&w, &w.a, &w.a.hosts[0], t, 0);
	ck_assert_uint_eq(in_use_all(&w.a, from + LEASE_MAX), 0);
	ck_assert_uint_eq(hub_spill_lent(w.b.hub, from + LEASE_MAX), 0);
	release(&w);
}
END_TEST

/*
 * Guards against new work on a remote endpoint more than 3 s after it left:
 * with messages that take up to 400 ms, whether the lender hears the leave or
 * the endpoint only falls silent.
 */
START_TEST(test_leave_within_3s)
{
	static const char *const models[] = {"m"};
	struct route_tuning rc = {.dc = "d1"};
	struct route *r = route_new(&route_prefix_load, &rc);
	struct route_ep_info info = {.id = "e0",
				     .incarnation = 1,
				     .addr = "http://10.0.0.1:8000",
				     .dc = "d2",
				     .models = models,
				     .n_models = 1,
				     .state = ROUTE_SERVING,
				     .remote = true};
	struct route_ep *ep = route_endpoint(r, &info, 0);
	struct world w;
	int64_t left = 10 * SEC + _i * 37 * MS, last = INT64_MIN, t;
	bool told = _i % 2;
	unsigned eligible = 0;

	init(&w, (unsigned)_i, 0);
	w.a.hosts[0].want = 100;
	for (t = 0; t < 20 * SEC; t += 50 * MS) {
		struct host *h = &w.a.hosts[0];
		Mw__HubGrant *g;
		Mw__LeaveFwd leave = MW__LEAVE_FWD__INIT;

		if (t % (2 * SEC) == 0 && t < left)
			announce(&w, 0, "serving", t);
		if (told && t >= left && t < left + 50 * MS) {
			leave.id = "e0";
			leave.incarnation = 1;
			leave.dc = "d2";
			ck_assert_int_eq(hub_leave(w.b.hub, t, &leave), 0);
		}
		if (t % SEC == 250 * MS) {
			Mw__SpillAsk *a =
				hub_spill_ask(w.a.hub, t, "d2", NULL, 0);
			Mw__SpillLoan *loan =
				a ? hub_spill_lend(
					    w.b.hub,
					    t + g_rand_int_range(w.rand, 0,
								 200 * MS),
					    a)
				  : NULL;

			if (loan)
				hub_spill_loan(w.a.hub,
					       t + g_rand_int_range(w.rand,
								    200 * MS,
								    400 * MS),
					       "d2", loan);
			if (loan)
				mw__spill_loan__free_unpacked(loan, NULL);
			if (a)
				mw__spill_ask__free_unpacked(a, NULL);
		}
		if (t % (500 * MS) == 0) {
			/* Sent at t, at the hub 100 ms later. */
			g = report(&w.a, h, t + 100 * MS);
			take_grant(&w.a, h, g, t);
			for (size_t i = 0; i < g->n_spill; i++)
				route_evidence(
					ep, 1,
					!*g->spill[i]->info->state ||
							!strcmp(g->spill[i]
									->info
									->state,
								"serving")
						? ROUTE_SERVING
					: !strcmp(g->spill[i]->info->state,
						  "leaving")
						? ROUTE_LEAVING
						: ROUTE_STALE,
					t - g->spill[i]->age_ms * MS);
			mw__hub_grant__free_unpacked(g, NULL);
		}
		if (route_eligible(ep, t) && t < h->ep[0].until) {
			eligible += t < left;
			last = t;
		}
	}
	ck_assert_uint_gt(eligible, 20);
	ck_assert_int_lt(last, left + 3 * SEC);
	route_free(r);
	release(&w);
}
END_TEST

/* Guards against asks of islands and new hubs, and asks without end. */
START_TEST(test_asks)
{
	struct world w;
	int64_t t;
	unsigned n = 0;

	init(&w, 1, 0);
	w.a.hosts[0].want = 100;
	exchange(&w, &w.a, &w.a.hosts[0], SEC, 0);
	ck_assert(!ask(&w, SEC, 0));
	exchange(&w, &w.a, &w.a.hosts[0], 3 * SEC, 0);
	hub_set_leader_contact(w.a.hub, false);
	ck_assert(!ask(&w, 3 * SEC, 0));
	hub_set_leader_contact(w.a.hub, true);
	ck_assert(ask(&w, 3 * SEC, 0));
	ck_assert(!ask(&w, 3 * SEC + 300 * MS, 0));
	ck_assert(ask(&w, 4 * SEC, 0));
	/* The end of the demand is told once. */
	w.a.hosts[0].want = 0;
	for (t = 5 * SEC; t < 15 * SEC; t += 100 * MS) {
		exchange(&w, &w.a, &w.a.hosts[0], t, 0);
		n += ask(&w, t, 0);
	}
	ck_assert_uint_eq(n, 1);
	/* New demand need not wait for the next second. */
	w.a.hosts[0].want = 100;
	exchange(&w, &w.a, &w.a.hosts[0], t, 0);
	ck_assert(ask(&w, t, 0));
	release(&w);
}
END_TEST

/* Guards against asks for others, old ones, and hosts that pose as a hub. */
START_TEST(test_refused)
{
	struct world w;
	Mw__SpillAsk a = MW__SPILL_ASK__INIT;
	Mw__HubReport r = MW__HUB_REPORT__INIT;
	Mw__SpillLoan *loan;
	Mw__SpillLoan late = MW__SPILL_LOAN__INIT;

	init(&w, 1, 0);
	a.seq = 1;
	a.epoch = 7;
	ck_assert_ptr_null(hub_spill_lend(w.b.hub, SEC, &a));
	a.dc = "d2";
	ck_assert_ptr_null(hub_spill_lend(w.b.hub, SEC, &a));
	a.dc = "d1";
	loan = hub_spill_lend(w.b.hub, SEC, &a);
	ck_assert_ptr_nonnull(loan);
	mw__spill_loan__free_unpacked(loan, NULL);
	ck_assert_ptr_null(hub_spill_lend(w.b.hub, SEC, &a));
	a.epoch = 3;
	loan = hub_spill_lend(w.b.hub, SEC, &a);
	ck_assert_ptr_nonnull(loan);
	mw__spill_loan__free_unpacked(loan, NULL);
	r.host = "dc:d1";
	r.incarnation = 100;
	r.seq = 100;
	ck_assert_ptr_null(hub_report(w.b.hub, SEC, &r));
	late.seq = 5;
	ck_assert_int_eq(hub_spill_loan(w.a.hub, SEC, "d2", &late), -MW_EINVAL);
	release(&w);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("hub_spill");
	TCase *tc = tcase_create("hub_spill");
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, test_credit_invariant, 0, 30);
	tcase_add_test(tc, test_lends_only_what_is_free);
	tcase_add_test(tc, test_held_by_the_borrower);
	tcase_add_test(tc, test_taken_back_within_a_lease);
	tcase_add_loop_test(tc, test_leave_within_3s, 0, 60);
	tcase_add_test(tc, test_asks);
	tcase_add_test(tc, test_refused);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
