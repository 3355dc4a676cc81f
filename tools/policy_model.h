#ifndef TOOLS_POLICY_MODEL_H
#define TOOLS_POLICY_MODEL_H

#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <glib.h>
#include "base/err.h"
#include "base/list.h"
#include "policy/credit.h"
#include "policy/est.h"
#include "policy/queue.h"
#include "policy/route.h"

/*
 * A model of one entry host and a few batch endpoints with memory, just large
 * enough to compare the decisions of the policy modules with those of their
 * baselines.  Used by policy_bench only.
 */

#define MODEL_ACCOUNTS 24
#define MODEL_ENDPOINTS_MAX 8

/* One source of requests. */
struct model_source {
	unsigned account;
	unsigned rank;
	double rate;	 /* requests per second, Poisson */
	double median;	 /* of the output length, log-normal */
	double sigma;	 /* of its logarithm */
	uint32_t prompt; /* tokens */
	unsigned groups; /* prompt prefixes in use, 0: all differ */
	int64_t from_us, until_us;
};

struct model_cfg {
	const struct queue_ops *queue;
	const struct credit_ops *credit;
	const struct route_ops *route;
	bool endpoint_priority; /* the rank is passed to the endpoint */
	unsigned floor_percent; /* of rank 1 */
	double deviations;	/* of credit, 0: default */
	double burst;		/* of the queue, 0: default */
	double prefix_weight, rendezvous_weight; /* of route, 0: default */
	unsigned endpoints;
	const struct model_source *sources;
	unsigned n_sources;
	int64_t warm_us, end_us; /* measured from warm_us on */
	unsigned seed;
};

struct model_result {
	double tokens_per_s;
	double rank_share[2];	/* of output tokens */
	double preemptions;	/* per 1000 finished requests */
	double gap_p99_ms;	/* time between tokens */
	double first_p99_ms[2]; /* time to first token, by rank */
	double gap_rank_p99_ms[2];
	double small_wait_p99_ms, wait_p99_ms[2]; /* in the queue */
	double small_p99_ms; /* time to first token, accounts up to 8 */
	double account_tokens[MODEL_ACCOUNTS];
	double hit_share; /* prompt tokens found in the cache */
	double finished;
};

/* The endpoints; about 1,000 tokens/s with a full batch. */
#define EP_BLOCKS 1024
#define EP_BLOCK_TOKENS 16
#define EP_BATCH 48
#define EP_STEP_US 20000.0	 /* of a decode step */
#define EP_STEP_SEQ_US 500.0	 /* more for each generation in the batch */
#define EP_PREFILL_TOKEN_US 50.0 /* for each prompt token not cached */
#define EP_CACHED_GROUPS 24	 /* prompt prefixes that fit the cache */

#define LOAD_REPORT_US 500000
#define LOAD_LAG_US 1000000
#define GROUP_PREFIXES 4

/* Counts of values from 1 us up in steps of 5%. */
struct spread {
	uint32_t n[512], total;
};

static inline void spread_add(struct spread *s, int64_t us)
{
	unsigned i = us > 1 ? (unsigned)(log((double)us) / log(1.05)) : 0;

	s->n[i < 512 ? i : 511]++;
	s->total++;
}

static inline double spread_ms(const struct spread *s, double q)
{
	uint32_t left = (uint32_t)((double)s->total * q);

	for (unsigned i = 0; i < 512; i++) {
		if (s->n[i] > left)
			return pow(1.05, i + 0.5) / 1000;
		left -= s->n[i];
	}
	return 0;
}

struct model_gen {
	struct queue_item item;
	struct credit_reservation res;
	struct route_stream stream;
	struct list node; /* in the endpoint's running or waiting list */
	unsigned account, rank, prio;
	uint64_t group, prefixes[GROUP_PREFIXES];
	uint32_t real, out, blocks, prefill;
	int64_t arrived_us, last_us;
};

struct model_ep {
	char id[8];
	struct list running, waiting;
	unsigned n_running, n_waiting, free;
	int64_t step_end; /* INT64_MAX: idle */
	uint64_t cached[EP_CACHED_GROUPS];
	unsigned next_cached;
	uint64_t event_seq;
	struct route_load past[1 + LOAD_LAG_US / LOAD_REPORT_US];
	struct route_ep *route;
	struct credit_ep *credit;
};

struct model {
	const struct model_cfg *cfg;
	struct queue *queue;
	struct credit *credit;
	struct route *route;
	struct output_estimator *est;
	GRand *rand;
	struct model_ep eps[MODEL_ENDPOINTS_MAX];
	char accounts[MODEL_ACCOUNTS][8];
	double tokens[2], served[2], hits, prompts, finished, preempted;
	struct spread gap[2], first[2], small, wait[2], small_wait;
	double account_tokens[MODEL_ACCOUNTS];
};

static inline bool model_cached(struct model_ep *ep, uint64_t group)
{
	for (unsigned i = 0; group && i < EP_CACHED_GROUPS; i++)
		if (ep->cached[i] == group)
			return true;
	return false;
}

/* Adds behind the others of its priority; most come last. */
static inline void model_wait(struct model_ep *ep, struct model_gen *g)
{
	struct list *pos = ep->waiting.prev;

	while (pos != &ep->waiting &&
	       list_entry(pos, struct model_gen, node)->prio > g->prio)
		pos = pos->prev;
	list_add(pos, &g->node);
	ep->n_waiting++;
}

static inline void model_start_step(struct model_ep *ep, int64_t now)
{
	double us = EP_STEP_US;

	while (ep->n_waiting && ep->n_running < EP_BATCH) {
		struct model_gen *g =
			list_first(&ep->waiting, struct model_gen, node);
		uint32_t blocks =
			(g->item.prompt_tokens + g->out) / EP_BLOCK_TOKENS + 1;

		if (blocks > ep->free)
			break;
		ep->free -= blocks;
		g->blocks = blocks;
		list_del(&g->node);
		list_add_tail(&ep->running, &g->node);
		ep->n_waiting--;
		ep->n_running++;
		us += EP_PREFILL_TOKEN_US * g->prefill;
	}
	if (!ep->n_running) {
		ep->step_end = INT64_MAX;
		return;
	}
	ep->step_end = now + (int64_t)(us + EP_STEP_SEQ_US * ep->n_running);
}

static inline void model_preempt(struct model *m, struct model_ep *ep,
				 struct model_gen *g, int64_t now)
{
	struct list *pos;

	list_del(&g->node);
	ep->n_running--;
	ep->free += g->blocks;
	g->blocks = 0;
	g->prefill = g->item.prompt_tokens + g->out;
	/* It goes before the others of its priority. */
	list_for_each (pos, &ep->waiting)
		if (list_entry(pos, struct model_gen, node)->prio >= g->prio)
			break;
	list_add_tail(pos, &g->node);
	ep->n_waiting++;
	if (now >= m->cfg->warm_us)
		m->preempted++;
}

/* Finds a block for the generation; returns false if it was preempted. */
static inline bool model_grow(struct model *m, struct model_ep *ep,
			      struct model_gen *g, int64_t now)
{
	while (!ep->free) {
		struct model_gen *victim = NULL, *x;

		list_for_each_entry (x, &ep->running, node)
			if (!victim || x->prio >= victim->prio)
				victim = x;
		model_preempt(m, ep, victim, now);
		if (victim == g)
			return false;
	}
	ep->free--;
	g->blocks++;
	return true;
}

static inline void model_token(struct model *m, struct model_ep *ep,
			       struct model_gen *g, int64_t now)
{
	bool measured = now >= m->cfg->warm_us;
	struct est_forecast f;
	struct est_query eq = {m->accounts[g->account], "/r", 0, 0};

	g->out++;
	if (measured) {
		m->tokens[g->rank]++;
		m->account_tokens[g->account]++;
	}
	if (g->out == 1) {
		if (measured) {
			spread_add(&m->first[g->rank], now - g->arrived_us);
			if (g->account < 9)
				spread_add(&m->small, now - g->arrived_us);
		}
	} else if (measured) {
		spread_add(&m->gap[g->rank], now - g->last_us);
	}
	g->last_us = now;
	route_stream_token(&g->stream, now);
	if (g->out % 16 == 0)
		m->queue->ops->update_output(m->queue, &g->item, g->out, now);
	if (credit_update_due(&g->res, g->out)) {
		eq.produced = g->out;
		est_forecast(m->est, &eq, now, &f);
		credit_update(&g->res, g->out, &f);
	}
	if (g->out < g->real)
		return;
	list_del(&g->node);
	ep->n_running--;
	ep->free += g->blocks;
	est_observe(m->est, m->accounts[g->account], "/r", g->out, now);
	credit_release(&g->res);
	route_stream_finished(&g->stream);
	m->queue->ops->finish(m->queue, &g->item, g->out, now);
	if (measured)
		m->finished++;
	g_free(g);
}

static inline void model_end_step(struct model *m, struct model_ep *ep,
				  int64_t now)
{
	struct model_gen *batch[EP_BATCH], *g;
	unsigned n = 0;

	list_for_each_entry (g, &ep->running, node)
		batch[n++] = g;
	for (unsigned i = 0; i < n; i++) {
		g = batch[i];
		g->prefill = 0;
		/* Preempted meanwhile by one before it in the batch. */
		if (!g->blocks)
			continue;
		if ((g->item.prompt_tokens + g->out) / EP_BLOCK_TOKENS + 1 >
			    g->blocks &&
		    !model_grow(m, ep, g, now))
			continue;
		model_token(m, ep, g, now);
	}
	model_start_step(ep, now);
}

/* Caches the prefix; one in ten events is lost. */
static inline void model_cache(struct model *m, struct model_ep *ep,
			       uint64_t group)
{
	uint64_t *place = &ep->cached[ep->next_cached++ % EP_CACHED_GROUPS];

	for (unsigned i = 0; i < GROUP_PREFIXES; i++) {
		ep->event_seq++;
		if (*place && g_rand_double(m->rand) < 0.9)
			route_cache_removed(m->route, ep->route, ep->event_seq,
					    *place * 64 + i);
		ep->event_seq++;
		if (g_rand_double(m->rand) < 0.9)
			route_cache_added(m->route, ep->route, ep->event_seq,
					  group * 64 + i);
	}
	*place = group;
}

static inline void model_dispatch(struct model *m, int64_t now)
{
	struct queue_item *it;

	while ((it = m->queue->ops->peek(m->queue, now))) {
		struct model_gen *g = (struct model_gen *)it;
		struct est_query eq = {m->accounts[g->account], "/r", 0, 0};
		struct route_query q = {.model = "m", .credit = m->credit};
		struct route_ep *rep;
		struct model_ep *ep;

		q.need.prompt_tokens = it->prompt_tokens;
		est_forecast(m->est, &eq, now, &q.need.output_forecast);
		q.need.rank = it->rank;
		q.need.bulk = it->bulk;
		q.need.keep_headroom = it->keep_headroom;
		q.prefixes = g->prefixes;
		q.n_prefixes = g->group ? GROUP_PREFIXES : 0;
		if (route_choose(m->route, &q, now, &rep) < 0)
			return;
		ep = &m->eps[route_ep_id(rep)[1] - '0'];
		m->queue->ops->dispatch(m->queue, it, now);
		if (now >= m->cfg->warm_us) {
			spread_add(&m->wait[g->rank], now - g->arrived_us);
			if (g->account < 9)
				spread_add(&m->small_wait, now - g->arrived_us);
		}
		credit_reserve(ep->credit, &g->res, &q.need);
		route_stream_started(m->route, rep, &g->stream, &q,
				     credit_reservation_blocks(&g->res), now);
		g->prefill = it->prompt_tokens;
		m->prompts += it->prompt_tokens;
		if (model_cached(ep, g->group)) {
			g->prefill /= 8;
			m->hits += it->prompt_tokens - g->prefill;
		} else if (g->group) {
			model_cache(m, ep, g->group);
		}
		model_wait(ep, g);
		if (ep->step_end == INT64_MAX)
			model_start_step(ep, now);
	}
}

static inline double model_normal(GRand *r)
{
	double u = g_rand_double_range(r, 1e-9, 1), v = g_rand_double(r);

	return sqrt(-2 * log(u)) * cos(2 * M_PI * v);
}

static inline void model_arrive(struct model *m, const struct model_source *s,
				int64_t now)
{
	struct model_gen *g = g_new0(struct model_gen, 1);
	struct est_query eq = {m->accounts[s->account], "/r", 0, 0};
	double real = s->median * exp(s->sigma * model_normal(m->rand));
	unsigned retry;

	g->account = s->account;
	g->rank = s->rank;
	g->prio = m->cfg->endpoint_priority ? s->rank : 0;
	g->real = real < 1 ? 1 : real > 6000 ? 6000 : (uint32_t)real;
	g->arrived_us = now;
	if (s->groups) {
		g->group = 1 + s->account * 1000 +
			   g_rand_int_range(m->rand, 0, (int)s->groups);
		for (unsigned i = 0; i < GROUP_PREFIXES; i++)
			g->prefixes[i] = g->group * 64 + i;
	}
	g->item.account = m->accounts[s->account];
	g->item.rank = s->rank;
	g->item.bytes = s->prompt * 4;
	g->item.prompt_tokens = s->prompt;
	g->item.est_output_tokens = est_expected(m->est, &eq, now);
	if (m->queue->ops->push(m->queue, &g->item, now, &retry) < 0)
		g_free(g);
}

static inline void model_set_up(struct model *m, const struct model_cfg *cfg)
{
	struct queue_cfg qc = {.name = "m"};
	struct credit_cfg cc = {.hosts = 1, .std_deviations = cfg->deviations};
	struct route_tuning rc = {.dc = "d",
				  .seed = cfg->seed,
				  .prefix_weight = cfg->prefix_weight,
				  .rendezvous_weight = cfg->rendezvous_weight};
	static const char *const models[] = {"m"};

	memset(m, 0, sizeof(*m));
	m->cfg = cfg;
	for (unsigned r = 0; r < QUEUE_RANKS; r++) {
		qc.rank[r].max_items = 600;
		qc.rank[r].account_max_items = 200;
		qc.rank[r].max_age_us = INT64_C(60000000);
	}
	qc.rank[1].floor_percent = cfg->floor_percent;
	qc.burst = cfg->burst;
	m->queue = cfg->queue->create(&qc);
	m->credit = credit_new(cfg->credit, &cc);
	m->route = route_new(cfg->route, &rc);
	m->est = est_new(NULL);
	m->rand = g_rand_new_with_seed(cfg->seed);
	for (unsigned i = 0; i < MODEL_ACCOUNTS; i++)
		g_snprintf(m->accounts[i], sizeof(m->accounts[i]), "a%u", i);
	for (unsigned i = 0; i < cfg->endpoints; i++) {
		struct model_ep *ep = &m->eps[i];
		struct route_ep_info ri = {.id = ep->id,
					   .incarnation = 1,
					   .addr = "a",
					   .dc = "d",
					   .models = models,
					   .n_models = 1,
					   .state = ROUTE_SERVING,
					   .blocks = EP_BLOCKS,
					   .block_tokens = EP_BLOCK_TOKENS,
					   .max_batch = EP_BATCH};
		struct credit_ep_info ci = {
			ep->id,	  1,	EP_BLOCKS, EP_BLOCK_TOKENS,
			EP_BATCH, NULL, false};

		g_snprintf(ep->id, sizeof(ep->id), "e%u", i);
		list_init(&ep->running);
		list_init(&ep->waiting);
		ep->free = EP_BLOCKS;
		ep->step_end = INT64_MAX;
		ep->route = route_upsert_endpoint(m->route, &ri, 0);
		ep->credit = credit_set_endpoint(m->credit, &ci, 0);
		route_set_credit(ep->route, ep->credit);
	}
}

static inline void model_report_loads(struct model *m, int64_t now)
{
	route_confirm_registry(m->route, now);
	for (unsigned i = 0; i < m->cfg->endpoints; i++) {
		struct model_ep *ep = &m->eps[i];
		const unsigned lag = LOAD_LAG_US / LOAD_REPORT_US;

		memmove(ep->past + 1, ep->past, lag * sizeof(*ep->past));
		ep->past[0] =
			(struct route_load){ep->n_running, ep->n_waiting,
					    EP_BLOCKS - ep->free, EP_BLOCKS};
		route_load_report(m->route, ep->route, &ep->past[lag], now);
	}
}

static inline void model_clean_up(struct model *m)
{
	struct queue_item *it;

	for (unsigned i = 0; i < m->cfg->endpoints; i++) {
		struct list *lists[] = {&m->eps[i].running, &m->eps[i].waiting};

		for (int k = 0; k < 2; k++) {
			struct model_gen *g, *tmp;

			list_for_each_entry_safe (g, tmp, lists[k], node) {
				credit_release(&g->res);
				route_stream_finished(&g->stream);
				list_del(&g->node);
				g_free(g);
			}
		}
	}
	while ((it = m->queue->ops->peek(m->queue, m->cfg->end_us))) {
		m->queue->ops->remove(m->queue, it, m->cfg->end_us);
		g_free(it);
	}
	m->queue->ops->destroy(m->queue);
	route_free(m->route);
	credit_free(m->credit);
	est_free(m->est);
	g_rand_free(m->rand);
}

static inline int64_t model_interval(struct model *m, double rate)
{
	return (int64_t)(-log(g_rand_double_range(m->rand, 1e-9, 1)) / rate *
			 1e6);
}

static inline void model_result(const struct model *m, struct model_result *out)
{
	double s = (double)(m->cfg->end_us - m->cfg->warm_us) / 1e6;
	double sum = m->tokens[0] + m->tokens[1];
	struct spread both = m->gap[0];
	struct queue_stats st;

	m->queue->ops->stats(m->queue, &st);
	memset(out, 0, sizeof(*out));
	for (int i = 0; i < 512; i++)
		both.n[i] += m->gap[1].n[i];
	both.total += m->gap[1].total;
	out->tokens_per_s = sum / s;
	out->preemptions = 1000 * m->preempted / fmax(m->finished, 1);
	out->finished = m->finished;
	out->gap_p99_ms = spread_ms(&both, 0.99);
	out->hit_share = m->prompts > 0 ? m->hits / m->prompts : 0;
	out->small_p99_ms = spread_ms(&m->small, 0.99);
	out->small_wait_p99_ms = spread_ms(&m->small_wait, 0.99);
	for (int r = 0; r < 2; r++) {
		out->rank_share[r] =
			(st.served_cost[r] - m->served[r]) /
			fmax(st.served_cost[0] + st.served_cost[1] -
				     m->served[0] - m->served[1],
			     1);
		out->wait_p99_ms[r] = spread_ms(&m->wait[r], 0.99);
		out->first_p99_ms[r] = spread_ms(&m->first[r], 0.99);
		out->gap_rank_p99_ms[r] = spread_ms(&m->gap[r], 0.99);
	}
	for (int a = 0; a < MODEL_ACCOUNTS; a++) {
		out->account_tokens[a] = m->account_tokens[a];
	}
}

static inline void model_run(const struct model_cfg *cfg,
			     struct model_result *out)
{
	static struct model m;
	g_autofree int64_t *next = g_new(int64_t, cfg->n_sources);
	int64_t now = 0, report = 0;

	model_set_up(&m, cfg);
	for (unsigned i = 0; i < cfg->n_sources; i++)
		next[i] = cfg->sources[i].from_us +
			  model_interval(&m, cfg->sources[i].rate);
	while (now < cfg->end_us) {
		struct queue_item *it;
		struct model_ep *step = NULL;
		unsigned src = UINT32_MAX;

		now = report;
		for (unsigned i = 0; i < cfg->endpoints; i++)
			if (m.eps[i].step_end <= now) {
				now = m.eps[i].step_end;
				step = &m.eps[i];
			}
		for (unsigned i = 0; i < cfg->n_sources; i++)
			if (next[i] < now) {
				now = next[i];
				src = i;
				step = NULL;
			}
		if (src != UINT32_MAX) {
			const struct model_source *s = &cfg->sources[src];

			next[src] = now + model_interval(&m, s->rate);
			if (s->until_us && next[src] > s->until_us)
				next[src] = INT64_MAX;
			model_arrive(&m, s, now);
		} else if (step) {
			model_end_step(&m, step, now);
		} else {
			model_report_loads(&m, now);
			if (now == cfg->warm_us) {
				struct queue_stats st;

				m.queue->ops->stats(m.queue, &st);
				memcpy(m.served, st.served_cost,
				       sizeof(m.served));
			}
			report += LOAD_REPORT_US;
		}
		while ((it = m.queue->ops->pop_expired(m.queue, now)))
			g_free(it);
		model_dispatch(&m, now);
	}
	model_result(&m, out);
	model_clean_up(&m);
}

#endif
