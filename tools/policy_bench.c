#include <stdio.h>
#include <stdlib.h>
#include <glib.h>

#include "base/clock.h"
#include "control/hub.h"
#include "control/hub_client.h"
#include "tools/policy_model.h"

/*
 * Measurements of the policy modules: time of single operations, bytes of
 * messages, and a comparison with the baselines on a small model.
 * policy_bench [ops|hub|admission|rank|fair|route]...; default: all.
 */

#define SEC INT64_C(1000000)
#define SEEDS 8

/* ---- time of operations ---- */

static double ns_since(int64_t start_us, double ops)
{
	return (double)(clock_mono_us() - start_us) * 1000 / ops;
}

static void bench_queue(void)
{
	enum { accounts = 2200, per_account = 4 };
	struct queue_cfg cfg = {.name = "m"};
	struct queue *q;
	struct queue_item *items =
		g_new0(struct queue_item, accounts * per_account);
	g_autofree char *names = g_malloc0(accounts * 16);
	int64_t start, now = 0;
	unsigned retry, n = 0;

	for (unsigned r = 0; r < QUEUE_RANKS; r++)
		cfg.rank[r].max_items = SIZE_MAX;
	q = queue_fair.create(&cfg);
	start = clock_mono_us();
	for (unsigned k = 0; k < per_account; k++)
		for (unsigned a = 0; a < accounts; a++) {
			struct queue_item *it = &items[n++];

			g_snprintf(&names[a * 16], 16, "account%u", a);
			it->account = &names[a * 16];
			it->rank = a % 2;
			it->prompt_tokens = 100;
			it->est_output_tokens = 100 + a % 50;
			q->ops->push(q, it, now += 10, &retry);
		}
	printf("queue push, %d accounts: %.0f ns\n", accounts,
	       ns_since(start, n));
	start = clock_mono_us();
	n = 0;
	for (unsigned i = 0; i < 500000; i++, n++) {
		struct queue_item *it = q->ops->peek(q, now += 10);

		q->ops->dispatch(q, it, now);
		q->ops->update_output(q, it, 90, now);
		q->ops->finish(q, it, 120, now);
		q->ops->push(q, it, now, &retry);
	}
	printf("queue peek, dispatch, served, finish and push together: "
	       "%.0f ns\n",
	       ns_since(start, n));
	start = clock_mono_us();
	for (unsigned i = 0; i < 100; i++) {
		struct queue_usage rows[64];

		q->ops->list_usage(q, rows, 64);
	}
	printf("queue rows for a report: %.0f us\n", ns_since(start, 100e3));
	for (struct queue_item *it; (it = q->ops->peek(q, now));)
		q->ops->remove(q, it, now);
	q->ops->destroy(q);
	g_free(items);
}

static void bench_route(const struct route_ops *ops, bool prefixes)
{
	static const char *const models[] = {"m"};
	struct route_tuning cfg = {.dc = "d"};
	struct credit *c = credit_new(&credit_leased, NULL);
	struct route *r = route_new(ops, &cfg);
	uint64_t p[16];
	struct route_query q = {.model = "m",
				.prefixes = p,
				.n_prefixes = prefixes ? 16 : 0,
				.credit = c};
	struct route_stream streams[512] = {0};
	struct route_ep *ep;
	int64_t now = 100 * SEC, start;
	char id[8];

	for (int i = 0; i < 103; i++) {
		struct route_ep_info ri = {.id = id,
					   .incarnation = 1,
					   .addr = "a",
					   .dc = "d",
					   .models = models,
					   .n_models = 1,
					   .state = ROUTE_SERVING,
					   .blocks = 4000};
		struct credit_ep_info ci = {.id = id, .blocks = 4000};

		g_snprintf(id, sizeof(id), "e%d", i);
		ep = route_upsert_endpoint(r, &ri, 0);
		route_set_credit(ep, credit_set_endpoint(c, &ci, 0));
	}
	route_confirm_registry(r, now);
	q.need.prompt_tokens = 1000;
	q.need.output_forecast.survival[0] = 1;
	start = clock_mono_us();
	for (int i = 0; i < 50000; i++) {
		struct route_stream *s = &streams[i % 512];

		for (int k = 0; k < 16; k++)
			p[k] = (uint64_t)(i % 300) * 100 + k;
		route_stream_finished(s);
		if (!route_choose(r, &q, now, &ep))
			route_stream_started(r, ep, s, &q, 90, now);
	}
	printf("route choice %s, 103 endpoints, %zu prefixes: %.0f ns\n",
	       ops->name, q.n_prefixes, ns_since(start, 50000));
	route_free(r);
	credit_free(c);
}

static void bench_est(void)
{
	struct output_estimator *e = est_new(NULL);
	struct est_query q = {"account7", "/v1/chat", 100, 0};
	int64_t start = clock_mono_us();
	uint64_t sum = 0;

	for (int i = 0; i < 2200; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "account%d", i);
		est_observe(e, name, "/v1/chat", 50 + i, i);
	}
	printf("estimate, observation: %.0f ns\n", ns_since(start, 2200));
	start = clock_mono_us();
	for (int i = 0; i < 200000; i++)
		sum += est_quantile(e, &q, 0.9, SEC);
	printf("estimate, quantile: %.0f ns (%" G_GUINT64_FORMAT ")\n",
	       ns_since(start, 200000), sum / 200000);
	est_free(e);
}

static void bench_ops(void)
{
	bench_queue();
	bench_route(&route_prefix_load, true);
	bench_route(&route_prefix_load, false);
	bench_route(&route_round_robin, false);
	bench_route(&route_least_requests, false);
	bench_est();
}

/* ---- hub ---- */

#define HUB_HOSTS 67
#define HUB_EPS 103
#define HUB_MODELS 12

static void hub_announce_all(struct hub *hub, int64_t now, uint64_t seq)
{
	for (int e = 0; e < HUB_EPS; e++) {
		Mw__EndpointInfo info = MW__ENDPOINT_INFO__INIT;
		char id[16], model[16], *names[] = {model};

		g_snprintf(id, sizeof(id), "endpoint%d", e);
		g_snprintf(model, sizeof(model), "model-%d", e % HUB_MODELS);
		info.id = id;
		info.incarnation = 1;
		info.seq = seq;
		info.addr = "http://10.0.0.1:8000";
		info.dc = "d";
		info.state = "serving";
		info.kind = "model";
		info.models = names;
		info.n_models = 1;
		info.blocks = 4000;
		info.block_tokens = 16;
		hub_handle_announcement(hub, now, &info);
	}
}

struct hub_host_state {
	char name[8];
	struct credit *credit;
	struct route *route;
	struct queue *queue[HUB_MODELS];
	struct hub_client_queue queues[HUB_MODELS];
	char models[HUB_MODELS][16];
	struct hub_client *client;
	GPtrArray *gens;
};

struct hub_gen {
	struct queue_item item;
	struct credit_reservation res;
	char account[16];
	unsigned model;
	int64_t end;
};

static void hub_host_step(struct hub_host_state *h, double load, GRand *rand,
			  int64_t now)
{
	/* Requests of 64 blocks that run for 4 s; load 1 fills the memory. */
	double mean = load * HUB_EPS * 3600 / 64 / 4 / HUB_HOSTS / 10;

	for (guint i = 0; i < h->gens->len;) {
		struct hub_gen *g = g_ptr_array_index(h->gens, i);

		if (g->end > now) {
			i++;
			continue;
		}
		credit_release(&g->res);
		h->queue[g->model]->ops->finish(h->queue[g->model], &g->item,
						512, now);
		g_ptr_array_remove_index_fast(h->gens, i);
		g_free(g);
	}
	for (double left = mean + g_rand_double(rand); left >= 1; left -= 1) {
		struct hub_gen *g = g_new0(struct hub_gen, 1);
		unsigned retry;

		g->model = g_rand_int_range(rand, 0, HUB_MODELS);
		/* Half of the requests come from 4 large accounts. */
		g_snprintf(g->account, sizeof(g->account), "account%d",
			   g_rand_int_range(rand, 0, 2)
				   ? g_rand_int_range(rand, 0, 4)
				   : g_rand_int_range(rand, 0, 2200));
		g->item.account = g->account;
		g->item.rank = g_rand_int_range(rand, 0, 2);
		g->item.prompt_tokens = g->item.est_output_tokens = 512;
		if (h->queue[g->model]->ops->push(h->queue[g->model], &g->item,
						  now, &retry) < 0)
			g_free(g);
	}
	for (unsigned m = 0; m < HUB_MODELS; m++) {
		struct queue_item *it;

		while ((it = h->queue[m]->ops->peek(h->queue[m], now))) {
			struct hub_gen *g = (struct hub_gen *)it;
			struct route_query q = {.model = h->models[m],
						.credit = h->credit};
			struct route_ep *ep;

			q.need.prompt_tokens = 1000;
			q.need.output_forecast.survival[0] = 1;
			q.need.rank = it->rank;
			q.need.bulk = it->bulk;
			q.need.keep_headroom = it->keep_headroom;
			if (route_choose(h->route, &q, now, &ep) < 0)
				break;
			h->queue[m]->ops->dispatch(h->queue[m], it, now);
			credit_reserve(credit_find_endpoint(h->credit,
							    route_ep_id(ep)),
				       &g->res, &q.need);
			g->end = now + g_rand_int_range(rand, 0, 8 * SEC);
			g_ptr_array_add(h->gens, g);
		}
	}
}

static void bench_hub(double load)
{
	static struct hub_host_state hosts[HUB_HOSTS];
	const char *names[HUB_HOSTS];
	struct hub_cfg cfg = {.name = "h0", .dc = "d", .epoch = 1};
	struct hub *hub = hub_new(&cfg, 0);
	GRand *rand = g_rand_new_with_seed(1);
	size_t report_bytes = 0, grant_bytes = 0, max_report = 0, max_grant = 0;
	double spent = 0;
	unsigned n = 0;
	uint64_t held = 0;

	for (int i = 0; i < HUB_HOSTS; i++) {
		struct hub_host_state *h = &hosts[i];
		struct route_tuning rc = {.dc = "d", .seed = (uint64_t)i};
		struct credit_cfg cc = {.hosts = HUB_HOSTS};
		struct hub_client_cfg hc = {
			.host = h->name, .dc = "d", .incarnation = 1};

		g_snprintf(h->name, sizeof(h->name), "h%d", i);
		names[i] = h->name;
		hc.credit = h->credit = credit_new(&credit_leased, &cc);
		hc.route = h->route = route_new(&route_prefix_load, &rc);
		h->client = hub_client_new(&hc);
		h->gens = g_ptr_array_new();
		for (int m = 0; m < HUB_MODELS; m++) {
			struct queue_cfg qc = {.name = h->models[m]};

			g_snprintf(h->models[m], sizeof(h->models[m]),
				   "model-%d", m);
			h->queue[m] = queue_fair.create(&qc);
			h->queues[m] = (struct hub_client_queue){h->models[m],
								 h->queue[m]};
		}
	}
	hub_set_hosts(hub, names, HUB_HOSTS, "h0");
	for (int step = 10; step < 400; step++) {
		int64_t now = step * SEC / 10;

		if (step % 20 == 10)
			hub_announce_all(hub, now, step);
		for (int i = 0; i < HUB_HOSTS; i++) {
			struct hub_host_state *h = &hosts[i];
			Mw__HubReport *report;
			Mw__HubGrant *grant;
			int64_t start;

			hub_host_step(h, load, rand, now);
			if (step % 10 != i % 10)
				continue;
			report = hub_client_make_report(
				h->client, now, h->queues, HUB_MODELS, true, 1);
			start = clock_mono_us();
			grant = hub_handle_report(hub, now + i, report);
			if (step >= 150) {
				size_t rb =
					mw__hub_report__get_packed_size(report);
				size_t gb =
					mw__hub_grant__get_packed_size(grant);

				spent += (double)(clock_mono_us() - start);
				report_bytes += rb;
				grant_bytes += gb;
				max_report = rb > max_report ? rb : max_report;
				max_grant = gb > max_grant ? gb : max_grant;
				n++;
			}
			hub_client_apply_grant(h->client, now, grant, h->queues,
					       HUB_MODELS);
			mw__hub_report__free_unpacked(report, NULL);
			mw__hub_grant__free_unpacked(grant, NULL);
		}
	}
	for (int i = 0; i < HUB_HOSTS; i++) {
		struct hub_host_state *h = &hosts[i];

		for (guint k = 0; k < h->gens->len; k++) {
			struct hub_gen *g = g_ptr_array_index(h->gens, k);

			held += credit_reservation_blocks(&g->res);
			credit_release(&g->res);
			g_free(g);
		}
		for (int m = 0; m < HUB_MODELS; m++) {
			struct queue_item *it;

			while ((it = h->queue[m]->ops->peek(h->queue[m], 0))) {
				h->queue[m]->ops->remove(h->queue[m], it, 0);
				g_free(it);
			}
			h->queue[m]->ops->destroy(h->queue[m]);
		}
		g_ptr_array_free(h->gens, TRUE);
		hub_client_free(h->client);
		route_free(h->route);
		credit_free(h->credit);
	}
	printf("hub, %d hosts, %d endpoints, load %g: %.1f us a report; report "
	       "%zu B (max %zu), grant %zu B (max %zu); memory in use %.0f%% "
	       "of the limit\n",
	       HUB_HOSTS, HUB_EPS, load, spent / n, report_bytes / n,
	       max_report, grant_bytes / n, max_grant,
	       100.0 * (double)held / (HUB_EPS * 3600.0));
	hub_free(hub);
	g_rand_free(rand);
}

/* ---- comparison with the baselines ---- */

struct ratio {
	const char *name;
	double sum, min, max;
	unsigned n;
};

static void ratio_add(struct ratio *r, double value)
{
	r->sum += value;
	if (!r->n || value < r->min)
		r->min = value;
	if (!r->n || value > r->max)
		r->max = value;
	r->n++;
}

static void ratio_print(struct ratio *r)
{
	printf("  %-46s %8.3f  [%.3f .. %.3f]\n", r->name, r->sum / r->n,
	       r->min, r->max);
	r->sum = 0;
	r->n = 0;
}

static struct model_cfg policy_cfg(const struct model_source *sources,
				   unsigned n, unsigned seed)
{
	struct model_cfg c = {
		.queue = &queue_fair,
		.credit = &credit_leased,
		.route = &route_prefix_load,
		.endpoint_priority = true,
		.floor_percent = 20,
		.endpoints = 1,
		.sources = sources,
		.n_sources = n,
		.warm_us = 300 * SEC,
		.end_us = 900 * SEC,
		.seed = seed,
	};

	return c;
}

static struct model_cfg baseline_cfg(const struct model_source *sources,
				     unsigned n, unsigned seed)
{
	struct model_cfg c = policy_cfg(sources, n, seed);

	c.queue = &queue_fifo;
	c.credit = &credit_admit_all;
	c.route = &route_round_robin;
	c.endpoint_priority = false;
	return c;
}

/* Preemptions and gaps by the safety of the forecast. */
static void compare_admission_of(int workload)
{
	static const double v[] = {0.25, 0.5, 0.75, 1, 2, 3};
	static const struct model_source mixed[] = {
		{0, 0, 1.2, 150, 1.0, 300, 0, 0, 0},
		{1, 0, 1.2, 300, 1.0, 300, 0, 0, 0},
		{2, 0, 0.5, 800, 0.8, 300, 0, 0, 0},
	};
	static const struct model_source longer[] = {
		{0, 0, 0.4, 1500, 0.6, 100, 0, 0, 0},
		{1, 0, 0.3, 1500, 0.6, 100, 0, 0, 0},
		{2, 0, 0.3, 1500, 0.6, 100, 0, 0, 0},
	};
	const struct model_source *sources = workload ? longer : mixed;

	printf("admission by memory, demand above capacity, %s outputs, "
	       "against none\n",
	       workload ? "long" : "mixed");
	for (unsigned k = 0; k < G_N_ELEMENTS(v); k++) {
		struct ratio pre = {.name = "preemptions, ratio"},
			     tput = {.name = "throughput, ratio"},
			     gap = {.name = "p99 between tokens, ratio"},
			     base = {.name = "baseline preemptions per 1000"},
			     ms = {.name = "p99 between tokens, ms"};

		for (unsigned seed = 1; seed <= SEEDS; seed++) {
			struct model_cfg a = policy_cfg(sources, 3, seed);
			struct model_cfg b = baseline_cfg(sources, 3, seed);
			struct model_result ra, rb;

			a.deviations = v[k];
			model_run(&a, &ra);
			model_run(&b, &rb);
			ratio_add(&pre, ra.preemptions / rb.preemptions);
			ratio_add(&tput, ra.tokens_per_s / rb.tokens_per_s);
			ratio_add(&gap, ra.gap_p99_ms / rb.gap_p99_ms);
			ratio_add(&base, rb.preemptions);
			ratio_add(&ms, ra.gap_p99_ms);
		}
		printf(" %g standard deviations\n", v[k]);
		ratio_print(&pre);
		ratio_print(&tput);
		ratio_print(&gap);
		ratio_print(&ms);
		if (!k)
			ratio_print(&base);
	}
}

static void compare_admission(void)
{
	compare_admission_of(0);
	compare_admission_of(1);
}

/* Two ranks, one of them in a flood. */
static void compare_rank(void)
{
	static const struct model_source calm[] = {
		{0, 0, 1.0, 80, 0.7, 200, 0, 0, 0},
		{1, 0, 0.5, 80, 0.7, 200, 0, 0, 0},
		{2, 1, 0.6, 300, 0.9, 300, 0, 0, 0},
	};
	static const struct model_source low[] = {
		{0, 0, 1.0, 80, 0.7, 200, 0, 0, 0},
		{1, 0, 0.5, 80, 0.7, 200, 0, 0, 0},
		{2, 1, 25, 300, 0.9, 300, 0, 0, 0},
	};
	static const struct model_source high[] = {
		{0, 0, 100, 80, 0.7, 200, 0, 0, 0},
		{2, 1, 5, 300, 0.9, 300, 0, 0, 0},
	};
	struct ratio first[3] = {
		{.name = "urgent p99 first token, policy"},
		{.name = "the same, baseline"},
		{.name = "the same, baseline with endpoint priority"},
	};
	struct ratio gap = {.name = "urgent p99 between tokens, policy"};
	struct ratio tput = {.name = "throughput in the flood, ratio"};
	struct ratio wait = {
		.name = "urgent p99 wait in the queue, policy, ms"};
	struct ratio floor = {.name = "rank 1 share / floor of 20%"};
	struct ratio floor_b = {.name = "the same, baseline with priority"};

	for (unsigned seed = 1; seed <= SEEDS; seed++) {
		double in_flood[3] = {0};

		for (int k = 0; k < 3; k++) {
			struct model_cfg a = policy_cfg(calm, 3, seed);
			struct model_result rc, rf;

			if (k)
				a = baseline_cfg(calm, 3, seed);
			if (k == 2)
				a.endpoint_priority = true;
			model_run(&a, &rc);
			a.sources = low;
			model_run(&a, &rf);
			ratio_add(&first[k],
				  rf.first_p99_ms[0] / rc.first_p99_ms[0]);
			in_flood[k] = rf.tokens_per_s;
			if (!k) {
				ratio_add(&gap, rf.gap_rank_p99_ms[0] /
							rc.gap_rank_p99_ms[0]);
				ratio_add(&wait, rf.wait_p99_ms[0]);
			}
			a.sources = high;
			a.n_sources = 2;
			model_run(&a, &rf);
			if (k != 1)
				ratio_add(k ? &floor_b : &floor,
					  rf.rank_share[1] / 0.2);
		}
		ratio_add(&tput, in_flood[0] / in_flood[1]);
	}
	printf("rank 1 at about 10x capacity, against no flood\n");
	for (int k = 0; k < 3; k++)
		ratio_print(&first[k]);
	ratio_print(&wait);
	ratio_print(&gap);
	ratio_print(&tput);
	printf("rank 0 at about 10x capacity\n");
	ratio_print(&floor);
	ratio_print(&floor_b);
}

/*
 * Small accounts beside three large ones at 20 times their share.  The
 * endpoint alone is slower with a full batch, so they are also compared with
 * large accounts that keep it busy but stay below its capacity.
 */
static void compare_fair(void)
{
	enum { small = 9, all = 12 };
	struct model_source s[all], busy[all];
	struct ratio r[] = {
		{.name = "small p99 first token, against large absent"},
		{.name = "the same, against large below capacity"},
		{.name = "the same without burst, against large absent"},
		{.name = "the same, baseline, against large absent"},
		{.name = "small p99 first token, ms"},
		{.name = "of that p99 wait in the queue, ms"},
		{.name = "the same, large absent, ms"},
		{.name = "throughput, ratio to baseline"},
		{.name = "Jain's index of the large"},
	};

	for (unsigned i = 0; i < all; i++) {
		s[i] = (struct model_source){i,	  0, 0.15, 100, 0.8,
					     200, 0, 0,	   0};
		if (i >= small) {
			s[i].rate = 12 + 8 * (i - small);
			s[i].median = 150;
		}
		busy[i] = s[i];
		if (i >= small)
			busy[i].rate = 0.8;
	}
	for (unsigned seed = 1; seed <= SEEDS; seed++) {
		struct model_cfg a = policy_cfg(s, all, seed);
		struct model_cfg b = baseline_cfg(s, all, seed);
		struct model_result with, absent, below, plain, base, base0;
		double t = 0, squares = 0;

		model_run(&a, &with);
		a.burst = -1;
		model_run(&a, &plain);
		a.burst = 0;
		a.n_sources = small;
		model_run(&a, &absent);
		a.n_sources = all;
		a.sources = busy;
		model_run(&a, &below);
		model_run(&b, &base);
		b.n_sources = small;
		model_run(&b, &base0);
		for (int i = small; i < all; i++) {
			t += with.account_tokens[i];
			squares +=
				with.account_tokens[i] * with.account_tokens[i];
		}
		ratio_add(&r[0], with.small_p99_ms / absent.small_p99_ms);
		ratio_add(&r[1], with.small_p99_ms / below.small_p99_ms);
		ratio_add(&r[2], plain.small_p99_ms / absent.small_p99_ms);
		ratio_add(&r[3], base.small_p99_ms / base0.small_p99_ms);
		ratio_add(&r[4], with.small_p99_ms);
		ratio_add(&r[5], with.small_wait_p99_ms);
		ratio_add(&r[6], absent.small_p99_ms);
		ratio_add(&r[7], with.tokens_per_s / base.tokens_per_s);
		ratio_add(&r[8], t * t / (3 * squares));
	}
	printf("3 large accounts at 20x and more of their share\n");
	for (size_t i = 0; i < G_N_ELEMENTS(r); i++)
		ratio_print(&r[i]);
}

/* Four endpoints; prompts share prefixes, more than fit one cache. */
static void compare_route(void)
{
	static const struct model_source s[] = {
		{0, 0, 2.5, 80, 0.9, 1500, 30, 0, 0},
		{1, 0, 2.5, 80, 0.9, 1500, 30, 0, 0},
	};
	static const struct {
		const char *name;
		const struct route_ops *ops;
		double prefix_weight, rendezvous_weight;
	} v[] = {
		{"prefix_load, defaults", &route_prefix_load, 0, 0},
		{"prefix_load, weights 0.25, 0.05", &route_prefix_load, 0.25,
		 0.05},
		{"prefix_load, weights 0.5, 0.5", &route_prefix_load, 0.5, 0.5},
		{"prefix_load, weights 0.5, 0.15", &route_prefix_load, 0.5,
		 0.15},
		{"round_robin", &route_round_robin, 0, 0},
		{"least_requests", &route_least_requests, 0, 0},
	};
	struct ratio hit = {.name = "share of prompt tokens cached"};
	struct ratio first = {.name = "p99 first token / least_requests"};
	struct ratio tput = {.name = "throughput / least_requests"};
	struct model_result base[SEEDS];
	size_t n = G_N_ELEMENTS(v);

	printf("choice of 4 endpoints, 60 prompt prefixes\n");
	for (size_t k = n; k-- > 0;) {
		for (unsigned seed = 1; seed <= SEEDS; seed++) {
			struct model_cfg a = policy_cfg(s, 2, seed);
			struct model_result r;

			a.endpoints = 4;
			a.route = v[k].ops;
			a.prefix_weight = v[k].prefix_weight;
			a.rendezvous_weight = v[k].rendezvous_weight;
			model_run(&a, &r);
			if (k == n - 1)
				base[seed - 1] = r;
			ratio_add(&hit, r.hit_share);
			ratio_add(&first,
				  r.first_p99_ms[0] /
					  base[seed - 1].first_p99_ms[0]);
			ratio_add(&tput,
				  r.tokens_per_s / base[seed - 1].tokens_per_s);
		}
		printf(" %s\n", v[k].name);
		ratio_print(&hit);
		ratio_print(&first);
		ratio_print(&tput);
	}
}

static void bench_hub_all(void)
{
	bench_hub(0.5);
	bench_hub(1.2);
	bench_hub(5);
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} parts[] = {
		{"ops", bench_ops},
		{"hub", bench_hub_all},
		{"admission", compare_admission},
		{"rank", compare_rank},
		{"fair", compare_fair},
		{"route", compare_route},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		bool wanted = argc < 2;

		for (int k = 1; k < argc; k++)
			wanted |= !strcmp(argv[k], parts[i].name);
		if (wanted)
			parts[i].run();
	}
	return 0;
}
