#include "forward/crashes.h"

#include <stdio.h>
#include <string.h>
#include <sodium.h>

#include "base/clock.h"
#include "base/err.h"
#include "forward/crash_reports.h"
#include "obs/counter.h"
#include "obs/slog.h"
#include "policy/vouch.h"

/* Time for the endpoint to accept a connection; the longest round trip is
 * 24 ms. */
#define PROBE_CONNECT_TIMEOUT_MS 300
#define PROBE_TIMEOUT_MS 600

/*
 * A process that ends may still accept connections for a moment after it has
 * closed others, so a connection without an answer proves nothing.
 */
#define PROBE_RETRY_US (60 * USEC_PER_MSEC)
#define PROBES_MAX 5

#define REQUEST_HASH_BYTES 16

/* Traits of one request. */
struct traits {
	char names[PROMPT_PARTS_MAX + 1][BLAME_TRAIT_MAX];
	const char *list[PROMPT_PARTS_MAX + 1];
	size_t n;
};

/* A connection to an endpoint that may have crashed. */
struct probe {
	struct list node; /* in crashes::probes */
	struct fwd *fwd;
	struct fetch *fetch; /* NULL: waits until due_us */
	char *url;
	int64_t due_us;
	unsigned int attempts;
	char endpoint[128];
	uint64_t incarnation;
	GHashTable *traits; /* set of the suspects' traits */
};

struct crashes {
	struct blame *blame;
	uint64_t log_version; /* of the last marks of the log */
	int64_t trial_delay_ms;
	struct list probes;
	struct vouch *vouch;
	struct crash_reports *reports;
};

/* ---- traits ---- */

static char *next_name(struct traits *t)
{
	t->list[t->n] = t->names[t->n];
	return t->names[t->n++];
}

/* The last part of a prompt belongs to the request alone. */
static void add_part_traits(struct traits *t, const struct request *r)
{
	for (size_t i = 0; i + 1 < r->ask.n_parts; i++)
		snprintf(next_name(t), BLAME_TRAIT_MAX,
			 BLAME_PART_PREFIX "%" G_GINT64_MODIFIER "x@%s",
			 r->ask.parts[i].id, r->service->name);
}

/* Hashes account, target and body with the cluster's key, so that all hosts
 * name a request alike and no caller can choose the name. */
static void add_request_trait(struct traits *t, const struct request *r)
{
	uint8_t hash[REQUEST_HASH_BYTES];
	char hex[2 * REQUEST_HASH_BYTES + 1];
	const char *account = r->account ? r->account->name : "";
	size_t body_len;
	const void *body = httpd_body(r->http, &body_len);
	crypto_generichash_state st;

	crypto_generichash_init(&st, r->fwd->conf->cluster_key, CONF_KEY_BYTES,
				sizeof(hash));
	crypto_generichash_update(&st, (const uint8_t *)account,
				  strlen(account) + 1);
	crypto_generichash_update(&st, (const uint8_t *)r->ask.target,
				  strlen(r->ask.target) + 1);
	crypto_generichash_update(&st, body, body_len);
	crypto_generichash_final(&st, hash, sizeof(hash));
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	snprintf(next_name(t), BLAME_TRAIT_MAX, BLAME_REQUEST_PREFIX "%s", hex);
}

static void collect_traits(struct traits *t, const struct request *r)
{
	t->n = 0;
	add_part_traits(t, r);
	add_request_trait(t, r);
}

static bool has_part(const struct request *r, uint64_t id)
{
	for (size_t i = 0; i + 1 < r->ask.n_parts; i++)
		if (r->ask.parts[i].id == id)
			return true;
	return false;
}

/* Counts the requests at endpoints whose answers have not begun, and that have
 * the n-th part of r. */
static unsigned int count_running(const struct request *r, size_t n)
{
	const struct request *o;
	unsigned int running = 0;

	list_for_each_entry (o, &r->fwd->requests, node)
		running += (o->state == REQUEST_SENT ||
			    o->state == REQUEST_STREAM) &&
			   o->events < CRASHES_SERVED_EVENTS &&
			   o->service == r->service &&
			   has_part(o, r->ask.parts[n].id);
	return running;
}

enum blame_verdict crashes_judge(struct request *r, struct crashes_finding *f)
{
	struct crashes *c = r->fwd->crashes;
	int64_t now_ms = clock_wall_us() / USEC_PER_MSEC;
	unsigned int running = 0;
	const char *trait;
	struct traits t;

	if (blame_is_empty(c->blame))
		return BLAME_SEND;
	collect_traits(&t, r);
	f->crashes = blame_refuses(c->blame, t.list, t.n, now_ms, &trait);
	if (!f->crashes)
		return BLAME_SEND;
	g_strlcpy(f->trait, trait, sizeof(f->trait));
	for (size_t i = 0; i + 1 < t.n; i++)
		if (!strcmp(t.list[i], trait))
			running = count_running(r, i);
	return blame_judge(c->blame, trait, running, c->trial_delay_ms, now_ms);
}

void crashes_trial_sent(struct fwd *f, const struct crashes_finding *finding)
{
	Mw__CrashMark mark = MW__CRASH_MARK__INIT;
	char *tried[] = {(char *)finding->trait};

	blame_tried(f->crashes->blame, finding->trait,
		    clock_wall_us() / USEC_PER_MSEC);
	mark.tried = tried;
	mark.n_tried = 1;
	control_link_send_crash_mark(f, &mark);
	struct slog l = slog_begin("trial");
	slog_str(&l, "trait", finding->trait);
	slog_int(&l, "crashes", finding->crashes);
	slog_end(&l);
}

/* ---- crashes that this host has seen ---- */

static void probe_free(struct probe *p)
{
	if (p->fetch)
		fetch_cancel(p->fetch);
	list_del(&p->node);
	g_hash_table_destroy(p->traits);
	g_free(p->url);
	g_free(p);
}

/* Records the crash and reports the traits that it counts against. */
static size_t report_crash(struct probe *p, int64_t now)
{
	struct fwd *f = p->fwd;
	Mw__CrashMark mark = MW__CRASH_MARK__INIT;
	guint max = g_hash_table_size(p->traits);
	g_autofree Mw__SuspectInfo *rows = g_new0(Mw__SuspectInfo, max + 1);
	g_autofree Mw__SuspectInfo **list = g_new0(Mw__SuspectInfo *, max + 1);
	GHashTableIter iter;
	void *trait;

	mark.endpoint = p->endpoint;
	mark.endpoint_incarnation = p->incarnation;
	mark.suspects = list;
	g_hash_table_iter_init(&iter, p->traits);
	while (g_hash_table_iter_next(&iter, &trait, NULL)) {
		if (!blame_record_crash(f->crashes->blame, trait, p->endpoint,
					p->incarnation,
					clock_wall_us() / USEC_PER_MSEC, now))
			continue;
		mw__suspect_info__init(&rows[mark.n_suspects]);
		rows[mark.n_suspects].fingerprint = trait;
		list[mark.n_suspects] = &rows[mark.n_suspects];
		mark.n_suspects++;
	}
	if (!mark.n_suspects)
		return 0;
	control_link_send_crash_mark(f, &mark);
	crash_reports_add_mark(f->crashes->reports, &mark, now);
	return mark.n_suspects;
}

/* Reports the crash, if there was one, by the way it was noticed (crash); logs
 * and frees the probe. */
static void probe_finish(struct probe *p, const char *crash, const char *detail,
			 int64_t now)
{
	struct crashes *c = p->fwd->crashes;
	size_t n_suspects = crash ? report_crash(p, now) : 0;
	struct slog l = slog_begin("crash_probe");

	slog_str(&l, "endpoint", p->endpoint);
	slog_int(&l, "endpoint_incarnation", (int64_t)p->incarnation);
	slog_str(&l, "outcome", crash ? crash : "no crash");
	slog_str(&l, "detail", detail);
	slog_int(&l, "attempts", p->attempts);
	slog_int(&l, "traits", g_hash_table_size(p->traits));
	slog_int(&l, "suspects", (int64_t)n_suspects);
	slog_end(&l);
	counter_add(C_CRASH_PROBES, crash ? crash : "no crash", 1);
	probe_free(p);
	crash_reports_tick(c->reports, c->blame, now);
}

static void on_probe_done(void *arg, struct fetch *fetch,
			  const struct fetch_result *res)
{
	struct probe *p = arg;
	bool crashed = res->err == FETCH_CONNECT && res->connection_refused;
	bool alive = res->status != 0;
	int64_t now = clock_mono_us();

	(void)fetch;
	p->fetch = NULL;
	if (!crashed && !alive && p->attempts < PROBES_MAX)
		p->due_us = now + PROBE_RETRY_US;
	else
		probe_finish(p, crashed ? "crashed" : NULL, res->error_text,
			     now);
}

static const struct fetch_ops probe_ops = {.done = on_probe_done};

static void probe_connect(struct probe *p)
{
	struct fetch_spec spec = {.method = "GET",
				  .url = p->url,
				  .connect_timeout_ms =
					  PROBE_CONNECT_TIMEOUT_MS,
				  .timeout_ms = PROBE_TIMEOUT_MS,
				  .flags = FETCH_NEW_CONNECTION};

	p->attempts++;
	p->fetch = fetch_start(p->fwd->fetcher, &spec, &probe_ops, p);
}

static void retry_probes(struct fwd *f, int64_t now)
{
	struct probe *p;

	list_for_each_entry (p, &f->crashes->probes, node)
		if (!p->fetch && now >= p->due_us)
			probe_connect(p);
}

static struct probe *probe_find(struct fwd *f, const struct request *r)
{
	struct probe *p;

	list_for_each_entry (p, &f->crashes->probes, node)
		if (!strcmp(p->endpoint, r->endpoint_id) &&
		    p->incarnation == r->incarnation)
			return p;
	return NULL;
}

static struct probe *probe_new(struct request *r, const struct fwd_endpoint *ep)
{
	struct fwd *f = r->fwd;
	struct probe *p = g_new0(struct probe, 1);
	const char *path = r->service->runs_model ? f->iface->report_path
						  : r->service->health_path;

	p->fwd = f;
	p->url = g_strdup_printf("http://%s%s", ep->addr, path);
	g_strlcpy(p->endpoint, r->endpoint_id, sizeof(p->endpoint));
	p->incarnation = r->incarnation;
	p->traits =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	list_add_tail(&f->crashes->probes, &p->node);
	return p;
}

void crashes_attempt_broken(struct request *r, int64_t now)
{
	struct fwd_endpoint *ep = endpoints_find(r->fwd, r->endpoint_id);
	struct probe *p;
	struct traits t;

	/* One that has said it leaves ends as planned, whatever it runs. */
	if (!ep || ep->incarnation != r->incarnation || ep->leaves ||
	    r->events >= CRASHES_SERVED_EVENTS)
		return;
	p = probe_find(r->fwd, r);
	if (!p)
		p = probe_new(r, ep);
	collect_traits(&t, r);
	for (size_t i = 0; i < t.n; i++)
		g_hash_table_add(p->traits, g_strdup(t.list[i]));
	/* Another incarnation would answer at its address. */
	if (ep->is_replaced)
		probe_finish(p, "replaced", "another endpoint has its address",
			     now);
	else if (!p->fetch && !p->attempts)
		probe_connect(p);
}

void crashes_request_served(struct request *r, int64_t now)
{
	struct fwd *f = r->fwd;
	struct blame *b = f->crashes->blame;
	struct traits t;

	blame_count_answer(b, now);
	t.n = 0;
	add_part_traits(&t, r);
	if (!blame_is_empty(b))
		add_request_trait(&t, r);
	for (size_t i = 0; i < t.n; i++) {
		if (!blame_record_success(b, t.list[i], now))
			continue;
		crash_reports_add_clear(f->crashes->reports, t.list[i], now);
	}
}

/* ---- marks of other hosts and of the log ---- */

void crashes_handle_mark(struct fwd *f, const Mw__CrashMark *mark, int64_t now)
{
	struct crashes *c = f->crashes;

	for (size_t i = 0; i < mark->n_served; i++) {
		blame_clear(c->blame, mark->served[i]);
		vouch_heard(c->vouch, mark->served[i], now);
	}
	for (size_t i = 0; i < mark->n_tried; i++)
		blame_tried(c->blame, mark->tried[i],
			    clock_wall_us() / USEC_PER_MSEC);
	for (size_t i = 0; i < mark->n_suspects; i++) {
		const char *trait = mark->suspects[i]->fingerprint;

		if (blame_was_served(c->blame, trait, now))
			vouch_consider(c->vouch, trait, g_rand_double(f->rand),
				       now);
		else
			blame_record_crash(c->blame, trait, mark->endpoint,
					   mark->endpoint_incarnation,
					   clock_wall_us() / USEC_PER_MSEC,
					   now);
	}
}

/* Vouches for the traits that are due, in one notice. */
static void send_vouched(struct fwd *f, int64_t now)
{
	g_autoptr(GPtrArray) served = g_ptr_array_new_with_free_func(g_free);
	Mw__CrashMark mark = MW__CRASH_MARK__INIT;
	const char *trait;

	while ((trait = vouch_next(f->crashes->vouch, now)))
		g_ptr_array_add(served, g_strdup(trait));
	if (!served->len)
		return;
	mark.served = (char **)served->pdata;
	mark.n_served = served->len;
	control_link_send_vouch(f, &mark, now);
	struct slog l = slog_begin("vouch");
	slog_int(&l, "traits", (int64_t)served->len);
	slog_str(&l, "first", served->pdata[0]);
	slog_end(&l);
}

/* Hosts with leases write marks without a prefix to the same log. */
static bool is_trait(const char *name)
{
	return g_str_has_prefix(name, BLAME_PART_PREFIX) ||
	       g_str_has_prefix(name, BLAME_REQUEST_PREFIX);
}

void crashes_handle_log(struct fwd *f, const Mw__CrashMarks *msg, int64_t now)
{
	struct crashes *c = f->crashes;
	size_t n_traits = 0;

	if (msg->version <= c->log_version)
		return;
	c->log_version = msg->version;
	blame_snapshot_begin(c->blame);
	for (size_t i = 0; i < msg->n_marks; i++) {
		const Mw__SnapCrash *m = msg->marks[i];

		if (!is_trait(m->fingerprint))
			continue;
		n_traits++;
		for (size_t j = 0; j < m->n_deaths; j++)
			blame_add_from_log(c->blame, m->fingerprint,
					   m->deaths[j]->endpoint,
					   m->deaths[j]->incarnation,
					   (int64_t)m->deaths[j]->at_ms, now);
	}
	blame_snapshot_end(c->blame, now);
	struct slog l = slog_begin("crash_marks");
	slog_int(&l, "version", (int64_t)msg->version);
	slog_int(&l, "traits", (int64_t)n_traits);
	slog_end(&l);
}

/* ---- periodic work ---- */

void crashes_tick(struct fwd *f, int64_t now)
{
	retry_probes(f, now);
	send_vouched(f, now);
	crash_reports_tick(f->crashes->reports, f->crashes->blame, now);
}

void crashes_start(struct fwd *f)
{
	f->crashes = g_new0(struct crashes, 1);
	f->crashes->blame = blame_new(0);
	f->crashes->vouch = vouch_new(0);
	f->crashes->trial_delay_ms =
		g_rand_int_range(f->rand, 0, BLAME_TRIAL_SPREAD_MS);
	list_init(&f->crashes->probes);
	f->crashes->reports = crash_reports_new(f);
}

void crashes_stop(struct fwd *f)
{
	struct crashes *c = f->crashes;

	while (!list_empty(&c->probes))
		probe_free(list_first(&c->probes, struct probe, node));
	crash_reports_free(c->reports);
	vouch_free(c->vouch);
	blame_free(c->blame);
	g_free(c);
}
