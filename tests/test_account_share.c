#include "check_main.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <glib.h>

#include "base/clock.h"
#include "forward/account_share.h"
#include "forward/quota.h"

/* Guards against shares that are lost, given to those that do not ask, or
 * taken from accounts below the level. */
START_TEST(test_divide)
{
	struct account_claim c[] = {
		{.weight = 1, .used = 50, .queued = 1000},
		{.weight = 1, .used = 0, .queued = 10},
		{.weight = 2, .used = 0, .queued = 1000},
		{.weight = 1, .used = 500, .queued = 100},
	};

	/* 10 + (L - 50) + 2 L = 200 */
	ck_assert_double_eq_tol(account_share_divide(c, 4, 200), 80, 0.001);
	ck_assert_double_eq_tol(c[0].granted, 30, 0.001);
	ck_assert_double_eq_tol(c[1].granted, 10, 0.001);
	ck_assert_double_eq_tol(c[2].granted, 160, 0.001);
	ck_assert_double_eq_tol(c[3].granted, 0, 0.001);
	account_share_divide(c, 4, 3000);
	for (int i = 0; i < 4; i++)
		ck_assert_double_eq_tol(c[i].granted, c[i].queued, 0.001);
	account_share_divide(c, 4, 0);
	for (int i = 0; i < 4; i++)
		ck_assert_double_eq_tol(c[i].granted, 0, 0.001);
}
END_TEST

/* Guards against a time to retry that does not grow with the excess, and one
 * that is endless for an account far above its share. */
START_TEST(test_retry)
{
	struct account_claim c = {
		.weight = 1, .used = 100, .queued = 300, .granted = 100};

	ck_assert_int_eq(account_share_retry_us(&c, 200, 2 * USEC_PER_SEC),
			 4 * USEC_PER_SEC);
	c.granted = 200;
	ck_assert_int_eq(account_share_retry_us(&c, 300, 2 * USEC_PER_SEC),
			 1 * USEC_PER_SEC);
	c.granted = 0;
	ck_assert_int_eq(account_share_retry_us(&c, 50, 2 * USEC_PER_SEC),
			 6931471);
	ck_assert_int_eq(account_share_retry_us(&c, 0, 2 * USEC_PER_SEC),
			 10 * USEC_PER_SEC);
}
END_TEST

/*
 * ---- a model of hosts, accounts and arrivals ----
 *
 * All memory is one pool.  Hosts see what others placed 0.2 s late, and one
 * that gets no totals counts on with the last ones.  Rejected callers try
 * another host after the time that they are told, for up to 12 s.
 */

#define HOSTS 70
#define ACCOUNTS 24
#define MEMORY 322800 /* 12 engines */
#define NEED 4000
#define STEP_US (20 * USEC_PER_MSEC)
#define STEPS 5200
#define COUNTED_FROM 1500 /* requests of 60 s count */
#define COUNTED_TO 4500
#define LAG_STEPS 10
#define WAIT_STEPS 100
#define PATIENCE_STEPS 600
#define MEAN_RUN_STEPS 250 /* 5 s, so 16 a second */
#define OPEN_MAX 4096

enum scenario {
	STEADY,
	SUDDEN,	     /* the heavy account is another one from 50 s on */
	TOTALS_LOST, /* from 45 s to 55 s */
	HALF_CUT_OFF /* 35 hosts get no totals from 30 s on */
};

enum gen_state { FREE, QUEUED, PLACED, BACK_LATER };

struct gen {
	enum gen_state state;
	int host, account;
	int since;	/* this attempt; BACK_LATER: when the next one begins */
	int first;	/* attempt */
	int left_steps; /* of its run */
};

static bool is_counted(const struct gen *g)
{
	return g->first >= COUNTED_FROM && g->first < COUNTED_TO;
}

/* Sums of one step, over all hosts or of one. */
struct sums {
	double used[ACCOUNTS], queued[ACCOUNTS], refused[ACCOUNTS], needed;
	double running; /* of all hosts, by the endpoints */
};

struct host {
	struct account_recent received[ACCOUNTS], refused[ACCOUNTS];
	struct quota quota, of_account[ACCOUNTS];
	struct account_average used[ACCOUNTS], queued[ACCOUNTS];
	struct sums own[LAG_STEPS]; /* ring of the last steps */
	struct sums elsewhere;	    /* by the last totals */
	int totals_at;		    /* step */
};

struct model {
	bool fair;
	enum scenario scenario;
	GRand *rand, *arrivals;
	struct gen gens[OPEN_MAX];
	struct host hosts[HOSTS];
	struct sums all[LAG_STEPS];
	double per_s[ACCOUNTS];
	int offered[ACCOUNTS], served[ACCOUNTS], all_served;
	int attempts, rejected; /* repeated ones, and those rejected again */
};

static bool has_totals(const struct model *m, int h, int t)
{
	if (m->scenario == HALF_CUT_OFF)
		return h % 2 || t < COUNTED_FROM;
	return m->scenario != TOTALS_LOST || t < 2250 || t >= 2750;
}

/* What the host receives in this step. */
static void receive_totals(struct model *m, int h, int t)
{
	struct host *host = &m->hosts[h];
	const struct sums *old = &host->own[(t + 1) % LAG_STEPS];
	const struct sums *all = &m->all[(t + 1) % LAG_STEPS];

	if (!has_totals(m, h, t))
		return;
	host->totals_at = t;
	/* Endpoints report what runs, also for hosts that are cut off. */
	host->elsewhere.needed = MAX(all->needed, all->running) - old->needed;
	for (int a = 0; a < ACCOUNTS; a++) {
		host->elsewhere.used[a] = all->used[a] - old->used[a];
		host->elsewhere.refused[a] = all->refused[a] - old->refused[a];
		host->elsewhere.queued[a] = all->queued[a] - old->queued[a];
	}
}

/* What the host knows of all hosts. */
static struct sums seen_by(struct model *m, int h, int t)
{
	const struct host *host = &m->hosts[h];
	const struct sums *other = &host->elsewhere;
	int64_t age = (t - host->totals_at) * STEP_US;
	struct sums s = host->own[t % LAG_STEPS];

	s.needed += other->needed;
	for (int a = 0; a < ACCOUNTS; a++) {
		s.used[a] += account_share_elsewhere(
			&host->used[a], other->used[a], age, HOSTS);
		s.queued[a] += account_share_elsewhere(
			&host->queued[a], other->queued[a], age, HOSTS);
		s.refused[a] += other->refused[a];
	}
	return s;
}

static double queued_sum(const struct sums *s)
{
	double sum = 0;

	for (int a = 0; a < ACCOUNTS; a++)
		sum += s->queued[a];
	return sum;
}

/* As queued_everywhere() in queue.c. */
static double queued_everywhere(const struct model *m, int h, int t)
{
	const struct host *host = &m->hosts[h];
	double own = queued_sum(&host->own[t % LAG_STEPS]);

	return own + (double)quota_queued_elsewhere(
			     (uint64_t)own,
			     (uint64_t)queued_sum(&host->elsewhere),
			     (t - host->totals_at) * STEP_US, HOSTS);
}

static double divide(const struct sums *s, struct account_claim *c,
		     double amount)
{
	for (int a = 0; a < ACCOUNTS; a++)
		c[a] = (struct account_claim){.weight = 1,
					      .used = s->used[a],
					      .queued = s->queued[a],
					      .refused = s->refused[a]};
	return account_share_divide(c, ACCOUNTS, amount);
}

static void begin_round(struct model *m, int h, int t)
{
	struct host *host = &m->hosts[h];
	const struct sums *own = &host->own[t % LAG_STEPS];
	struct sums s = seen_by(m, h, t);
	struct account_claim c[ACCOUNTS];
	double own_queued = queued_sum(own);
	double all = queued_everywhere(m, h, t);

	quota_begin_round(&host->quota, (uint64_t)MAX(MEMORY - s.needed, 0),
			  (uint64_t)own_queued, (uint64_t)(all - own_queued),
			  (t + 1) * STEP_US);
	if (host->quota.enough_for_all)
		return;
	divide(&s, c,
	       host->quota.left_tokens / MAX(own_queued, 1) * queued_sum(&s));
	for (int a = 0; a < ACCOUNTS; a++)
		host->of_account[a].left_tokens =
			account_share_of_host(&c[a], own->queued[a]);
}

static void place(struct model *m, struct gen *g, int t)
{
	struct host *host = &m->hosts[g->host];
	struct sums *own = &host->own[t % LAG_STEPS];
	struct quota *q;

	if (quota_round_is_due(&host->quota, (t + 1) * STEP_US))
		begin_round(m, g->host, t);
	q = m->fair && !host->quota.enough_for_all
		    ? &host->of_account[g->account]
		    : &host->quota;
	if (!quota_take(q, NEED, g_rand_double(m->rand)) ||
	    MEMORY - seen_by(m, g->host, t).needed < NEED)
		return;
	g->state = PLACED;
	account_recent_add(&host->received[g->account], NEED, t * STEP_US);
	own->needed += NEED;
	own->used[g->account] += 2 * NEED; /* held and received */
	own->queued[g->account] -= NEED;
}

/* The caller tries another host after the time that it is told, if it would
 * still wait for an answer then. */
static void reject(struct model *m, struct gen *g, int64_t after_us, int t)
{
	int left = PATIENCE_STEPS - (t - g->first);
	int after = MIN((int)(after_us / STEP_US), left * 3 / 10);

	account_recent_add(&m->hosts[g->host].refused[g->account], NEED,
			   t * STEP_US);
	if (g->state == QUEUED)
		m->hosts[g->host].own[t % LAG_STEPS].queued[g->account] -= NEED;
	g->state = left > WAIT_STEPS ? BACK_LATER : FREE;
	g->since = t + MAX(after, 1);
	g->host = g_rand_int_range(m->rand, 0, HOSTS);
}

/* As choose_retry_after_us() in request.c. */
static int64_t usual_retry_us(struct model *m)
{
	return g_rand_int_range(m->rand, 900, 3500) * USEC_PER_MSEC;
}

static struct gen *find_victim(struct model *m, int host,
			       const struct account_claim *c)
{
	struct gen *victim = NULL;
	double most = 0.5;

	for (struct gen *g = m->gens; g < m->gens + OPEN_MAX; g++) {
		double excess = account_share_excess(&c[g->account]);
		if (g->state != QUEUED || g->host != host || excess <= most)
			continue;
		victim = g;
		most = excess;
	}
	return victim;
}

/* As would_wait_too_long() in queue.c. */
static bool is_rejected(struct model *m, struct gen *g, int t)
{
	struct sums s = seen_by(m, g->host, t);
	struct account_claim c[ACCOUNTS];
	int64_t wait_us = WAIT_STEPS * STEP_US;
	double limit = (double)quota_worthwhile_tokens(MEMORY, wait_us);

	double all = queued_everywhere(m, g->host, t), level;

	if (!m->fair) {
		if (all > limit)
			reject(m, g, usual_retry_us(m), t);
		return all > limit;
	}
	s.queued[g->account] += NEED;
	divide(&s, c, limit);
	struct account_newcomer newcomer = {(size_t)g->account, NEED,
					    g_rand_double(m->rand)};
	if (!account_share_may_wait(c, ACCOUNTS, &newcomer, all, limit,
				    &level)) {
		reject(m, g,
		       account_share_retry_us(&c[g->account], level, wait_us),
		       t);
		return true;
	}
	if (all <= limit)
		return false;
	struct gen *victim = find_victim(m, g->host, c);
	if (victim)
		reject(m, victim,
		       account_share_retry_us(&c[victim->account], level,
					      wait_us),
		       t);
	return false;
}

static void attempt(struct model *m, struct gen *g, int t)
{
	bool rejected;

	g->since = t;
	rejected = is_rejected(m, g, t);
	m->attempts += t != g->first;
	m->rejected += t != g->first && rejected;
	if (rejected)
		return;
	g->state = QUEUED;
	m->hosts[g->host].own[t % LAG_STEPS].queued[g->account] += NEED;
}

static void arrive(struct model *m, int account, int t)
{
	struct gen *g = m->gens;

	while (g->state != FREE)
		g++;
	*g = (struct gen){.host = g_rand_int_range(m->arrivals, 0, HOSTS),
			  .account = account,
			  .first = t,
			  .left_steps = g_rand_int_range(
				  m->arrivals, 50, 2 * MEAN_RUN_STEPS - 50)};
	m->offered[account] += is_counted(g);
	attempt(m, g, t);
}

static void sum_up(struct model *m, int t)
{
	struct sums *all = &m->all[t % LAG_STEPS];

	*all = (struct sums){0};
	for (int h = 0; h < HOSTS; h++) {
		struct sums *own = &m->hosts[h].own[t % LAG_STEPS];
		*own = (struct sums){0};
		for (int a = 0; a < ACCOUNTS; a++)
			own->used[a] = (double)account_recent_get(
				&m->hosts[h].received[a], t * STEP_US);
		for (int a = 0; a < ACCOUNTS; a++)
			own->refused[a] = (double)account_recent_get(
				&m->hosts[h].refused[a], t * STEP_US);
	}
	for (struct gen *g = m->gens; g < m->gens + OPEN_MAX; g++) {
		struct sums *own = &m->hosts[g->host].own[t % LAG_STEPS];

		if (g->state == QUEUED)
			own->queued[g->account] += NEED;
		if (g->state != PLACED)
			continue;
		own->used[g->account] += NEED;
		own->needed += NEED;
	}
	for (int h = 0; h < HOSTS; h++) {
		const struct sums *own = &m->hosts[h].own[t % LAG_STEPS];
		all->needed += has_totals(m, h, t) ? own->needed : 0;
		all->running += own->needed;
		/* Reports come the way that totals go. */
		for (int a = 0; has_totals(m, h, t) && a < ACCOUNTS; a++) {
			all->used[a] += own->used[a];
			all->queued[a] += own->queued[a];
			all->refused[a] += own->refused[a];
		}
		for (int a = 0; a < ACCOUNTS; a++) {
			account_average_set(&m->hosts[h].used[a], own->used[a],
					    t * STEP_US);
			account_average_set(&m->hosts[h].queued[a],
					    own->queued[a], t * STEP_US);
		}
	}
}

/* Engines run what fits; more than that waits there without progress. */
static void step_engines(struct model *m, int t)
{
	int running = 0;

	for (struct gen *g = m->gens; g < m->gens + OPEN_MAX; g++) {
		if (g->state != PLACED || ++running > MEMORY / NEED)
			continue;
		if (--g->left_steps > 0)
			continue;
		g->state = FREE;
		m->served[g->account] += is_counted(g);
		m->all_served += t >= COUNTED_FROM && t < COUNTED_TO;
	}
}

static struct model *run(uint32_t seed, bool fair, enum scenario scenario,
			 double small_per_s, double heavy_per_s)
{
	struct model *m = g_new0(struct model, 1);

	m->fair = fair;
	m->scenario = scenario;
	m->rand = g_rand_new_with_seed(seed);
	m->arrivals = g_rand_new_with_seed(seed + 1);
	for (int t = 0; t < STEPS; t++) {
		int heavy = scenario == SUDDEN && t >= 2500;

		sum_up(m, t);
		for (int h = 0; h < HOSTS; h++)
			receive_totals(m, h, t);
		for (int a = 0; a < ACCOUNTS; a++) {
			double per_s = a == heavy ? heavy_per_s : small_per_s;
			for (int k = 0; k < 2; k++)
				if (g_rand_double(m->arrivals) <
				    per_s * STEP_US / USEC_PER_SEC / 2)
					arrive(m, a, t);
		}
		for (struct gen *g = m->gens; g < m->gens + OPEN_MAX; g++) {
			if (g->state == BACK_LATER && t >= g->since)
				attempt(m, g, t);
			if (g->state == QUEUED)
				place(m, g, t);
			if (g->state == QUEUED && t - g->since >= WAIT_STEPS)
				reject(m, g, usual_retry_us(m), t);
		}
		step_engines(m, t);
	}
	g_rand_free(m->rand);
	g_rand_free(m->arrivals);
	return m;
}

/* Part of the requests of small accounts that are served. */
static double small_share(const struct model *m, int first)
{
	double offered = 0, served = 0;

	for (int a = first; a < ACCOUNTS; a++) {
		offered += m->offered[a];
		served += m->served[a];
	}
	return served / offered;
}

static double jain(const struct model *m)
{
	double sum = 0, squares = 0;

	for (int a = 0; a < ACCOUNTS; a++) {
		sum += m->served[a];
		squares += (double)m->served[a] * m->served[a];
	}
	return sum * sum / (ACCOUNTS * squares);
}

/*
 * Guards against a heavy account (20 times the others) that takes room from
 * small ones within their share, and against room that is left unused.
 */
START_TEST(test_heavy_account)
{
	static const char *const names[] = {"steady", "sudden change",
					    "totals lost", "half cut off"};

	for (int s = STEADY; s <= HALF_CUT_OFF; s++) {
		double without = 0, with = 0, before = 0;
		double again = 0, again_before = 0;
		int served = 0, served_before = 0;

		for (uint32_t seed = 1; seed <= 4; seed++) {
			struct model *light = run(seed, true, s, 0.5, 0.5);
			struct model *fair = run(seed, true, s, 0.5, 10);
			struct model *old = run(seed, false, s, 0.5, 10);
			without += small_share(light, 2) / 4;
			with += small_share(fair, 2) / 4;
			before += small_share(old, 2) / 4;
			again += (double)fair->rejected / fair->attempts / 4;
			again_before +=
				(double)old->rejected / old->attempts / 4;
			served += fair->all_served;
			served_before += old->all_served;
			g_free(light);
			g_free(fair);
			g_free(old);
		}
		printf("%s: small served %.3f without the heavy one, %.3f with "
		       "it (%.3f without shares); all served %d (%d), "
		       "rejected again %.2f (%.2f)\n",
		       names[s], without, with, before, served, served_before,
		       again, again_before);
		ck_assert_double_ge(with, without - 0.05);
		ck_assert_int_ge(served, served_before * 0.99);
	}
}
END_TEST

/* Guards against accounts of equal weight that get unequal parts while all of
 * them ask for more, one of them for 20 times as much. */
START_TEST(test_all_backlogged)
{
	struct model *fair = run(11, true, STEADY, 1.5, 30);
	struct model *old = run(11, false, STEADY, 1.5, 30);

	printf("all backlogged: Jain's index %.3f (%.3f without shares), "
	       "all served %d (%d)\n",
	       jain(fair), jain(old), fair->all_served, old->all_served);
	ck_assert_double_ge(jain(fair), 0.95);
	ck_assert_int_ge(fair->all_served, old->all_served * 0.99);
	g_free(fair);
	g_free(old);
}
END_TEST

/* Guards against a change of any decision while room is not short. */
START_TEST(test_room_for_all)
{
	struct model *fair = run(21, true, STEADY, 0.3, 3);
	struct model *old = run(21, false, STEADY, 0.3, 3);

	ck_assert_mem_eq(fair->served, old->served, sizeof(old->served));
	ck_assert_mem_eq(fair->offered, old->offered, sizeof(old->offered));
	g_free(fair);
	g_free(old);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_divide, test_retry,
				      test_heavy_account, test_all_backlogged,
				      test_room_for_all};

	return check_main("account_share", tests, G_N_ELEMENTS(tests));
}
