#include "standin/load.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/log.h"
#include "standin/batch.h"
#include "standin/call.h"
#include "standin/reply.h"
#include "standin/stat.h"

#define DEFAULT_MAX_OPEN 4000
#define MAX_PHASES 8

struct account {
	const char *name;
	const char *key;
	double share, weight;
};

struct class
{
	const char *name, *rank;
	const json_t *j;
	struct load *ld;
	GRand *rnd; /* of its own, so that classes do not disturb each other */
	GPtrArray *accounts;
	double account_shares;
	int64_t next; /* time of the next arrival */
	ev_timer timer;
	int64_t calls;
};

/* Statistics of one phase, by class, rank and account. */
struct phase {
	const char *name;
	int64_t from, to;
	GHashTable *classes, *ranks, *accounts;
};

struct load {
	struct ev_loop *loop;
	json_t *scenario;
	struct load_options opt;
	struct call_pool *pool;
	struct hist *hist;
	load_done *done;
	void *ctx;
	GPtrArray *accounts;
	GPtrArray *classes;
	struct phase phases[MAX_PHASES];
	int nphases;
	int64_t start, end;
	int open, max_open, finished;
	int64_t calls, not_sent, violations[4];
	ev_timer drain;
};

/* One call of the generator. */
struct one {
	struct load *ld;
	struct class *cl;
	struct account *account;
	int64_t number, key_number;
	char *body;
	int again;
	struct stat_group *stats[MAX_PHASES * 3];
	int nstats;
};

static double draw_lognormal(GRand *r, double median, double sigma)
{
	double u = 1.0 - g_rand_double(r), v = g_rand_double(r);

	return median * exp(sigma * sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v));
}

static struct stat_group *stat_of(GHashTable *t, const char *name)
{
	struct stat_group *s = g_hash_table_lookup(t, name);

	if (!s) {
		s = stat_new();
		g_hash_table_insert(t, g_strdup(name), s);
	}
	return s;
}

/* The rate of a class at a time, after its steps. */
static double rate_at(const struct class *cl, int64_t now)
{
	double at = (double)(now - cl->ld->start) / (double)USEC_PER_SEC;
	double rate = json_num(cl->j, "rate", 0.0);
	const json_t *s;
	size_t i;

	json_array_foreach(json_object_get(cl->j, "steps"), i,
			   s) if (json_num(s, "at_s", 0.0) <= at) rate =
		json_num(s, "rate", rate);
	return rate * cl->ld->opt.rate_scale;
}

/* The time of the next change of rate after now; the end if there is none. */
static int64_t next_step(const struct class *cl, int64_t now)
{
	int64_t best = cl->ld->end;
	const json_t *s;
	size_t i;

	json_array_foreach(json_object_get(cl->j, "steps"), i, s)
	{
		int64_t at = cl->ld->start +
			     (int64_t)(json_num(s, "at_s", 0.0) * 1e6);
		if (at > now && at < best)
			best = at;
	}
	return best;
}

/*
 * Draws the next arrival after `from`.  Within a step the gaps are exponential;
 * an arrival beyond the end of the step is drawn again from there, which is
 * exact as the exponential distribution has no memory.
 */
static int64_t next_arrival(struct class *cl, int64_t from)
{
	while (from < cl->ld->end) {
		int64_t step = next_step(cl, from);
		double rate = rate_at(cl, from);

		if (rate > 0) {
			double u = 1.0 - g_rand_double(cl->rnd);
			int64_t at = from + (int64_t)(-log(u) / rate * 1e6);
			if (at < step)
				return at;
		}
		from = step;
	}
	return cl->ld->end;
}

static struct account *choose_account(struct class *cl)
{
	double x = g_rand_double(cl->rnd) * cl->account_shares;

	for (guint i = 0; i + 1 < cl->accounts->len; i++) {
		struct account *a = g_ptr_array_index(cl->accounts, i);
		if (x < a->share)
			return a;
		x -= a->share;
	}
	return g_ptr_array_index(cl->accounts, cl->accounts->len - 1);
}

/* A shared prefix, chosen from a few of the class, and text of its own. */
static char *make_prompt(struct class *cl, const struct account *a)
{
	const json_t *p = json_object_get(cl->j, "prompt");
	const json_t *pre = json_object_get(cl->j, "prefixes");
	int count = (int)json_int(pre, "count", 0);
	int tokens = (int)draw_lognormal(cl->rnd, json_num(p, "median", 100),
					 json_num(p, "sigma", 0.5));
	int max = (int)json_int(p, "max", 4000);
	GString *s = g_string_new(NULL);

	if (count) {
		int which = g_rand_int_range(cl->rnd, 0, count);
		size_t len = (size_t)json_int(pre, "tokens", 256) *
			     BATCH_BYTES_PER_TOKEN;
		while (s->len < len)
			g_string_append_printf(s, "%s prefix %d of %s. ",
					       cl->name, which, a->name);
		g_string_truncate(s, len);
	}
	if (tokens > max)
		tokens = max;
	size_t len = s->len +
		     (size_t)(tokens > 1 ? tokens : 1) * BATCH_BYTES_PER_TOKEN;
	while (s->len < len)
		g_string_append_printf(s, "%08x ", g_rand_int(cl->rnd));
	g_string_truncate(s, len);
	return g_string_free(s, FALSE);
}

static char *make_body(struct class *cl, const struct account *a,
		       int64_t number)
{
	AUTO_JSON json_t *j = json_object();
	const json_t *extra = json_object_get(cl->j, "body");

	if (json_is_object(extra))
		json_object_update(j, (json_t *)(uintptr_t)extra);
	if (json_is_false(json_object_get(cl->j, "generation"))) {
		json_object_set_new(j, "call", json_integer(number));
		json_object_set_new(j, "account", json_string(a->name));
	} else {
		g_autofree char *prompt = make_prompt(cl, a);
		json_object_set_new(
			j, "model",
			json_string(json_str(cl->j, "model", "m1")));
		json_object_set_new(j, "stream",
				    json_boolean(!json_is_false(
					    json_object_get(cl->j, "stream"))));
		if (cl->ld->opt.direct)
			json_object_set_new(j, "generation",
					    json_sprintf("%08x%08x%08x%08x",
							 g_rand_int(cl->rnd),
							 g_rand_int(cl->rnd),
							 g_rand_int(cl->rnd),
							 g_rand_int(cl->rnd)));
		json_object_set_new(
			j, "max_tokens",
			json_integer(json_int(cl->j, "max_tokens", 1024)));
		if (g_str_has_suffix(json_str(cl->j, "path", ""),
				     "/chat/completions"))
			json_object_set_new(j, "messages",
					    json_pack("[{s:s,s:s}]", "role",
						      "user", "content",
						      prompt));
		else
			json_object_set_new(j, "prompt", json_string(prompt));
	}
	return json_dumps(j, JSON_COMPACT);
}

static void on_sent(void *ctx, int attempt, const char *entry)
{
	struct one *o = ctx;

	hist_put(o->ld->hist, "send",
		 json_pack("{s:I,s:i,s:s}", "n", (json_int_t)o->number,
			   "attempt", attempt, "entry", entry));
}

static void on_token(void *ctx, const char *id, const char *text,
		     int64_t gap_us)
{
	struct one *o = ctx;

	(void)id;
	/* Stamped texts come from mw-endpoint --stamp on the same machine. */
	if (*text == '@') {
		int64_t transit = clock_mono_us() - atoll(text + 1);
		for (int i = 0; i < o->nstats; i++)
			stat_hist_add(&o->stats[i]->transit, transit);
	}
	if (gap_us < 0)
		return;
	for (int i = 0; i < o->nstats; i++)
		stat_hist_add(&o->stats[i]->gap, gap_us);
}

static void check_finished(struct load *ld);
static void send_call(struct class *cl, struct account *a, int64_t key_number,
		      char *body, int64_t scheduled, int again);

static void on_call_done(void *ctx, const struct call_result *r,
			 const char *body)
{
	struct one *o = ctx;
	struct load *ld = o->ld;

	for (int i = 0; i < o->nstats; i++)
		stat_add(o->stats[i], r);
	for (int i = 0; i < 4; i++)
		ld->violations[i] += r->violations >> i & 1;
	if (r->violations)
		log_warn("load", "call %lld: violations %u",
			 (long long)o->number, r->violations);
	int plain = json_is_false(json_object_get(o->cl->j, "generation"));
	hist_put(ld->hist, "answer",
		 json_pack("{s:I,s:s,s:i,s:s,s:s,s:i,s:b,s:i,s:i,s:i,s:I,s:I,"
			   "s:i,s:s}",
			   "n", (json_int_t)o->number, "class", o->cl->name,
			   "status", r->status, "kind", r->kind, "outcome",
			   r->outcome, "tokens", r->tokens, "complete",
			   r->complete, "attempts", r->attempts, "resumes",
			   r->resumes, "violations", (int)r->violations,
			   "first_us", (json_int_t)r->first_us, "total_us",
			   (json_int_t)r->total_us, "tag", r->generation_tag,
			   "body", plain ? body : ""));
	ld->open--;
	g_free(o);
	check_finished(ld);
}

static const struct call_ops call_cb = {on_sent, on_token, on_call_done};

/* Name, value, ... of the class, the account's key and an idempotency key. */
static GPtrArray *make_headers(struct class *cl, const struct account *a,
			       int64_t number)
{
	GPtrArray *h = g_ptr_array_new_with_free_func(g_free);
	json_t *extra = json_object_get(cl->j, "headers"), *v;
	const char *k;

	g_ptr_array_add(h, g_strdup("Content-Type"));
	g_ptr_array_add(h, g_strdup("application/json"));
	g_ptr_array_add(h, g_strdup("Authorization"));
	g_ptr_array_add(h, g_strdup_printf("Bearer %s", a->key));
	if (json_is_true(json_object_get(cl->j, "once"))) {
		g_ptr_array_add(h, g_strdup("Idempotency-Key"));
		g_ptr_array_add(h, g_strdup_printf("%s-%d-%lld", cl->name,
						   cl->ld->opt.seed,
						   (long long)number));
	}
	json_object_foreach(extra, k, v)
	{
		g_ptr_array_add(h, g_strdup(k));
		g_ptr_array_add(h, g_strdup(json_string_value(v)));
	}
	g_ptr_array_add(h, NULL);
	return h;
}

static void select_stats(struct one *o, int64_t scheduled)
{
	for (int i = 0; i < o->ld->nphases; i++) {
		struct phase *p = &o->ld->phases[i];

		if (scheduled < p->from || scheduled >= p->to)
			continue;
		o->stats[o->nstats++] = stat_of(p->classes, o->cl->name);
		o->stats[o->nstats++] = stat_of(p->ranks, o->cl->rank);
		o->stats[o->nstats++] = stat_of(p->accounts, o->account->name);
	}
}

/* The prompt's hash as the endpoint computes it; "" for plain calls. */
static char *prompt_hash(const char *body)
{
	AUTO_JSON json_t *j = json_loads(body, 0, NULL);
	const char *p = json_str(j, "prompt", NULL);

	return p ? g_strdup_printf("%016llx",
				   (unsigned long long)XXH64(p, strlen(p), 0))
		 : g_strdup("");
}

/* Takes over body.  again: the call is sent once more when it is answered. */
static void send_call(struct class *cl, struct account *a, int64_t key_number,
		      char *body, int64_t scheduled, int again)
{
	struct load *ld = cl->ld;
	int64_t number = ld->calls++;
	double slow = g_rand_double(cl->rnd), leave = g_rand_double(cl->rnd);

	if (ld->open >= ld->max_open) {
		ld->not_sent++;
		g_free(body);
		return;
	}
	const char *method = json_str(cl->j, "method", "POST");
	int plain = json_is_false(json_object_get(cl->j, "generation"));
	int once = json_is_true(json_object_get(cl->j, "once"));
	if (key_number < 0)
		key_number = number;
	GPtrArray *headers = make_headers(cl, a, key_number);
	struct call_spec spec = {
		.method = method,
		.path = ld->opt.direct && !plain
				? "/v1/completions"
				: json_str(cl->j, "path", "/v1/completions"),
		.body = strcmp(method, "GET") != 0 ? body : NULL,
		.headers = (const char *const *)headers->pdata,
		.is_generation = !plain,
		.stream = !plain &&
			  !json_is_false(json_object_get(cl->j, "stream")),
		.tries = (int)json_int(cl->j, "tries", 4),
		.once = once,
		.retry_refused =
			json_is_true(json_object_get(cl->j, "retry_refused")),
		.retry_ms = (int)json_int(cl->j, "retry_ms", 500),
		.timeout_ms = (int)json_int(cl->j, "timeout_ms", 0),
		.scheduled = scheduled,
	};
	if (slow < json_num(cl->j, "slow_share", 0.0))
		spec.slow_tokens_per_s =
			json_num(cl->j, "slow_tokens_per_s", 5.0);
	if (leave < json_num(cl->j, "leave_share", 0.0))
		spec.leave_after = (int)json_int(cl->j, "leave_after", 10);
	struct one *o = g_new0(struct one, 1);
	o->ld = ld;
	o->cl = cl;
	o->account = a;
	o->number = number;
	o->again = again;
	o->key_number = key_number;
	o->body = body;
	select_stats(o, scheduled);
	ld->open++;
	g_autofree char *hash = prompt_hash(body);
	hist_put(ld->hist, "call",
		 json_pack("{s:I,s:s,s:s,s:s,s:s,s:s,s:I}", "n",
			   (json_int_t)number, "class", cl->name, "account",
			   a->name, "path", spec.path, "key",
			   once ? headers->pdata[5] : "", "prompt_hash", hash,
			   "late_us",
			   (json_int_t)(clock_mono_us() - scheduled)));
	call_start(ld->pool, &spec, &call_cb, o);
	g_ptr_array_free(headers, TRUE);
}

static void start_call(struct class *cl, int64_t scheduled)
{
	struct account *a = choose_account(cl);

	send_call(cl, a, -1, make_body(cl, a, cl->calls++), scheduled,
		  json_is_true(json_object_get(cl->j, "again")));
}

static void arm(struct class *cl)
{
	int64_t wait = cl->next - clock_mono_us();

	ev_timer_stop(cl->ld->loop, &cl->timer);
	ev_timer_set(&cl->timer, wait > 0 ? (double)wait / 1e6 : 0.0, 0.0);
	ev_timer_start(cl->ld->loop, &cl->timer);
}

static void on_arrival(EV_P_ ev_timer *w, int revents)
{
	struct class *cl = w->data;
	int64_t now = clock_mono_us();

	(void)loop;
	(void)revents;
	while (cl->next <= now && cl->next < cl->ld->end) {
		int64_t at = cl->next;
		cl->next = next_arrival(cl, at);
		start_call(cl, at);
	}
	if (cl->next < cl->ld->end)
		arm(cl);
}

static json_t *table_json(GHashTable *t)
{
	json_t *j = json_object();
	GList *keys =
		g_list_sort(g_hash_table_get_keys(t), (GCompareFunc)g_strcmp0);

	for (GList *k = keys; k; k = k->next)
		json_object_set_new(j, k->data,
				    stat_json(g_hash_table_lookup(t, k->data)));
	g_list_free(keys);
	return j;
}

static int in_jain(const struct load *ld, const struct account *a)
{
	const json_t *names = json_object_get(ld->scenario, "jain_accounts");
	const json_t *v;
	size_t i;

	if (!names)
		return 1;
	json_array_foreach(names, i, v) if (!g_strcmp0(json_string_value(v),
						       a->name)) return 1;
	return 0;
}

/* Over tokens for each unit of weight, of the accounts that sent calls. */
static double jain_of(const struct load *ld, const struct phase *p)
{
	double *x = g_new0(double, ld->accounts->len);
	int n = 0;

	for (guint i = 0; i < ld->accounts->len; i++) {
		struct account *a = g_ptr_array_index(ld->accounts, i);
		struct stat_group *s =
			g_hash_table_lookup(p->accounts, a->name);
		if (s && in_jain(ld, a))
			x[n++] = (double)s->tokens / a->weight;
	}
	double jain = stat_jain(x, n);
	g_free(x);
	return jain;
}

static json_t *result_json(const struct load *ld)
{
	json_t *phases = json_object();
	const int64_t *v = ld->violations;

	for (int i = 0; i < ld->nphases; i++) {
		const struct phase *p = &ld->phases[i];
		json_object_set_new(phases, p->name,
				    json_pack("{s:f,s:f,s:o,s:o,s:o}",
					      "seconds",
					      (double)(p->to - p->from) / 1e6,
					      "jain", jain_of(ld, p), "classes",
					      table_json(p->classes), "ranks",
					      table_json(p->ranks), "accounts",
					      table_json(p->accounts)));
	}
	return json_pack("{s:i,s:I,s:I,s:i,s:{s:I,s:I,s:I,s:I},s:o}", "seed",
			 ld->opt.seed, "calls", (json_int_t)ld->calls,
			 "not_sent", (json_int_t)ld->not_sent, "open_at_end",
			 ld->open, "violations", "gap", (json_int_t)v[0],
			 "repeat", (json_int_t)v[1], "mixed", (json_int_t)v[2],
			 "incomplete", (json_int_t)v[3], "phases", phases);
}

static void finish(struct load *ld)
{
	if (ld->finished)
		return;
	ld->finished = 1;
	AUTO_JSON json_t *result = result_json(ld);
	ld->done(ld->ctx, result);
}

static void check_finished(struct load *ld)
{
	if (!ld->open && clock_mono_us() >= ld->end)
		finish(ld);
}

static void on_drain(EV_P_ ev_timer *w, int revents)
{
	struct load *ld = w->data;

	(void)revents;
	if (clock_mono_us() < ld->end || !ld->open) {
		check_finished(ld);
		return;
	}
	double left = (double)(ld->end - clock_mono_us()) / 1e6 +
		      json_num(ld->scenario, "drain_s", 30.0);
	if (left <= 0) {
		finish(ld);
		return;
	}
	ev_timer_set(w, left, 0.0);
	ev_timer_start(EV_A_ w);
}

static struct account *find_account(const struct load *ld, const char *name)
{
	for (guint i = 0; i < ld->accounts->len; i++) {
		struct account *a = g_ptr_array_index(ld->accounts, i);
		if (!g_strcmp0(a->name, name))
			return a;
	}
	return NULL;
}

static int add_class(struct load *ld, const json_t *j)
{
	struct class *cl = g_new0(struct class, 1);
	const json_t *names = json_object_get(j, "accounts"), *v;
	size_t i;

	g_ptr_array_add(ld->classes, cl);
	cl->ld = ld;
	cl->j = j;
	cl->name = json_str(j, "name", "unnamed");
	cl->rank = json_str(j, "rank", "none");
	guint32 seed[2] = {(guint32)ld->opt.seed,
			   (guint32)XXH64(cl->name, strlen(cl->name), 0)};
	cl->rnd = g_rand_new_with_seed_array(seed, 2);
	cl->accounts = g_ptr_array_new();
	for (guint k = 0; !names && k < ld->accounts->len; k++)
		g_ptr_array_add(cl->accounts,
				g_ptr_array_index(ld->accounts, k));
	json_array_foreach(names, i, v)
	{
		struct account *a = find_account(ld, json_string_value(v));
		if (!a) {
			log_error("load", "%s: unknown account", cl->name);
			return -1;
		}
		g_ptr_array_add(cl->accounts, a);
	}
	for (guint k = 0; k < cl->accounts->len; k++)
		cl->account_shares +=
			((struct account *)g_ptr_array_index(cl->accounts, k))
				->share;
	ev_timer_init(&cl->timer, on_arrival, 0.0, 0.0);
	cl->timer.data = cl;
	cl->next = next_arrival(cl, ld->start);
	if (cl->next < ld->end)
		arm(cl);
	return cl->accounts->len ? 0 : -1;
}

static void add_phase(struct load *ld, const char *name, double from, double to)
{
	struct phase *p = &ld->phases[ld->nphases++];

	p->name = name;
	p->from = ld->start + (int64_t)(from * 1e6);
	p->to = ld->start + (int64_t)(to * 1e6);
	p->classes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   stat_free);
	p->ranks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 stat_free);
	p->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    stat_free);
}

static void read_accounts(struct load *ld)
{
	const json_t *j;
	size_t i;

	json_array_foreach(json_object_get(ld->scenario, "accounts"), i, j)
	{
		struct account *a = g_new0(struct account, 1);
		a->name = json_str(j, "name", "");
		a->key = json_str(j, "key", a->name);
		a->share = json_num(j, "share", 1.0);
		a->weight = json_num(j, "weight", 1.0);
		g_ptr_array_add(ld->accounts, a);
	}
}

struct load *load_start(struct ev_loop *loop, const json_t *scenario,
			const struct load_options *opt, struct hist *hist,
			load_done *done, void *ctx)
{
	const json_t *j;
	size_t i;
	double seconds = opt->duration_s > 0
				 ? opt->duration_s
				 : json_num(scenario, "duration_s", 10.0);
	const char *entries = opt->entries
				      ? opt->entries
				      : json_str(scenario, "entries", NULL);

	if (!entries) {
		log_error("load", "no entry hosts");
		return NULL;
	}
	struct load *ld = g_new0(struct load, 1);
	ld->loop = loop;
	ld->scenario = json_deep_copy(scenario);
	ld->opt = *opt;
	if (ld->opt.seed < 0)
		ld->opt.seed = (int)json_int(scenario, "seed", 1);
	ld->hist = hist;
	ld->done = done;
	ld->ctx = ctx;
	ld->pool = call_pool_new(loop, entries);
	ld->accounts = g_ptr_array_new();
	ld->classes = g_ptr_array_new();
	ld->max_open = (int)json_int(scenario, "max_open", DEFAULT_MAX_OPEN);
	ld->start = clock_mono_us();
	ld->end = ld->start + (int64_t)(seconds * 1e6);
	add_phase(ld, "all", json_num(scenario, "warmup_s", 0.0), seconds);
	json_array_foreach(json_object_get(ld->scenario, "phases"), i, j)
	{
		if (ld->nphases < MAX_PHASES)
			add_phase(ld, json_str(j, "name", ""),
				  json_num(j, "from_s", 0.0),
				  json_num(j, "to_s", seconds));
	}
	read_accounts(ld);
	json_array_foreach(json_object_get(ld->scenario, "classes"), i,
			   j) if (add_class(ld, j)) return NULL;
	ev_timer_init(&ld->drain, on_drain, seconds + 0.01, 0.0);
	ld->drain.data = ld;
	ev_timer_start(loop, &ld->drain);
	return ld;
}
