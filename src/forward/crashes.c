#include "forward/crashes.h"

#include <stdio.h>
#include <string.h>
#include <sodium.h>

#include "base/clock.h"
#include "base/err.h"
#include "obs/counter.h"
#include "obs/slog.h"
#include "policy/blame.h"

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

#define PROPOSE_TIMEOUT_MS 1200
#define PROPOSE_RETRY_US (300 * USEC_PER_MSEC)

/*
 * All hosts that serve a trait with a crash clear it.  They wait for a random
 * part of this time, in which the log may have cleared it already.
 */
#define CLEAR_SPREAD_US (300 * USEC_PER_MSEC)

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

/* A command for the log that is not committed yet. */
struct pending {
	struct list node; /* in crashes::pending */
	struct fwd *fwd;
	Mw__CrashMark *mark; /* NULL: a clear */
	char *cleared_trait;
	int64_t due_us; /* of the next proposal */
	bool proposed;	/* a proposal is open */
};

struct crashes {
	struct blame *blame;
	uint64_t log_version;	  /* of the last marks of the log */
	uint64_t checked_version; /* of `blame`, when attempts were checked */
	struct list probes;
	struct list pending;
	size_t n_pending;
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

unsigned int crashes_blamed(struct request *r, const char **trait)
{
	struct blame *b = r->fwd->crashes->blame;
	struct traits t;

	if (blame_is_empty(b))
		return 0;
	collect_traits(&t, r);
	return blame_refuses(b, t.list, t.n, clock_wall_us() / USEC_PER_MSEC,
			     trait);
}

/* ---- proposals ---- */

static void pending_free(struct pending *p)
{
	list_del(&p->node);
	p->fwd->crashes->n_pending--;
	if (p->mark)
		mw__crash_mark__free_unpacked(p->mark, NULL);
	g_free(p->cleared_trait);
	g_free(p);
}

static void on_proposed(int err, const Mw__Frame *reply, void *ctx)
{
	struct pending *p = ctx;

	p->proposed = false;
	if (err == 0 && reply->body_case == MW__FRAME__BODY_PROPOSE_RESULT &&
	    reply->propose_result->err == 0)
		pending_free(p);
	else
		p->due_us = clock_mono_us() + PROPOSE_RETRY_US;
}

static void propose(struct pending *p, int64_t now)
{
	Mw__Command cmd = MW__COMMAND__INIT;
	Mw__SuspectCleared cleared = MW__SUSPECT_CLEARED__INIT;

	if (p->mark) {
		cmd.body_case = MW__COMMAND__BODY_CRASH_MARK;
		cmd.crash_mark = p->mark;
	} else {
		cmd.body_case = MW__COMMAND__BODY_SUSPECT_CLEARED;
		cmd.suspect_cleared = &cleared;
		cleared.fingerprint = p->cleared_trait;
		cleared.force = true;
	}
	p->proposed = control_link_propose(p->fwd, &cmd, PROPOSE_TIMEOUT_MS,
					   on_proposed, p) == 0;
	p->due_us = now + PROPOSE_RETRY_US;
}

static void propose_due(struct fwd *f, int64_t now)
{
	struct pending *p, *tmp;

	list_for_each_entry_safe (p, tmp, &f->crashes->pending, node) {
		if (p->proposed || now < p->due_us)
			continue;
		if (p->mark ||
		    blame_is_in_log(f->crashes->blame, p->cleared_trait))
			propose(p, now);
		else
			pending_free(p);
	}
}

static void drop_oldest(struct crashes *c)
{
	struct pending *p;

	list_for_each_entry (p, &c->pending, node) {
		if (p->proposed)
			continue;
		struct slog l = slog_begin("crash_report_dropped");
		slog_str(&l, "endpoint", p->mark ? p->mark->endpoint : "");
		slog_int(&l, "pending", (int64_t)c->n_pending);
		slog_end(&l);
		pending_free(p);
		return;
	}
}

/* Takes ownership of mark; NULL for a clear of the trait. */
static void add_pending(struct fwd *f, Mw__CrashMark *mark, const char *trait,
			int64_t due_us)
{
	struct crashes *c = f->crashes;
	struct pending *p = g_new0(struct pending, 1);

	if (c->n_pending >= CRASHES_PENDING_MAX)
		drop_oldest(c);
	p->fwd = f;
	p->mark = mark;
	p->cleared_trait = g_strdup(trait);
	p->due_us = due_us;
	list_add_tail(&c->pending, &p->node);
	c->n_pending++;
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

/* Returns a copy of the message, to be freed with free_unpacked(). */
static Mw__CrashMark *copy_mark(const Mw__CrashMark *mark)
{
	size_t len = mw__crash_mark__get_packed_size(mark);
	g_autofree uint8_t *bytes = g_malloc(len + 1);

	mw__crash_mark__pack(mark, bytes);
	return mw__crash_mark__unpack(NULL, len, bytes);
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
	add_pending(f, copy_mark(&mark), NULL, now);
	return mark.n_suspects;
}

static void on_probe_done(void *arg, struct fetch *fetch,
			  const struct fetch_result *res)
{
	struct probe *p = arg;
	struct fwd *f = p->fwd;
	bool crashed = res->err == FETCH_CONNECT && res->connection_refused;
	bool alive = res->status != 0;
	int64_t now = clock_mono_us();
	size_t n_suspects = 0;

	(void)fetch;
	p->fetch = NULL;
	if (!crashed && !alive && p->attempts < PROBES_MAX) {
		p->due_us = now + PROBE_RETRY_US;
		return;
	}
	if (crashed)
		n_suspects = report_crash(p, now);
	const char *outcome = crashed ? "crashed" : alive ? "alive" : "unknown";
	counter_add(C_CRASH_PROBES, outcome, 1);
	struct slog l = slog_begin("crash_probe");
	slog_str(&l, "endpoint", p->endpoint);
	slog_int(&l, "endpoint_incarnation", (int64_t)p->incarnation);
	slog_str(&l, "outcome", outcome);
	slog_str(&l, "detail", res->error_text);
	slog_int(&l, "attempts", p->attempts);
	slog_int(&l, "traits", g_hash_table_size(p->traits));
	slog_int(&l, "suspects", (int64_t)n_suspects);
	slog_end(&l);
	probe_free(p);
	propose_due(f, now);
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

static struct probe *probe_start(struct request *r,
				 const struct fwd_endpoint *ep)
{
	struct fwd *f = r->fwd;
	struct probe *p = g_new0(struct probe, 1);
	const char *path = r->service->runs_model ? f->iface->report_path
						  : r->service->health_path;

	p->fwd = f;
	g_strlcpy(p->endpoint, r->endpoint_id, sizeof(p->endpoint));
	p->incarnation = r->incarnation;
	p->traits =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	list_add_tail(&f->crashes->probes, &p->node);
	p->url = g_strdup_printf("http://%s%s", ep->addr, path);
	probe_connect(p);
	return p;
}

void crashes_attempt_broken(struct request *r, int64_t now)
{
	struct fwd_endpoint *ep = endpoints_find(r->fwd, r->endpoint_id);
	struct probe *p;
	struct traits t;

	(void)now;
	if (!ep || ep->incarnation != r->incarnation ||
	    r->events >= CRASHES_SERVED_EVENTS)
		return;
	p = probe_find(r->fwd, r);
	if (!p)
		p = probe_start(r, ep);
	collect_traits(&t, r);
	for (size_t i = 0; i < t.n; i++)
		g_hash_table_add(p->traits, g_strdup(t.list[i]));
}

void crashes_request_served(struct request *r, int64_t now)
{
	struct fwd *f = r->fwd;
	struct blame *b = f->crashes->blame;
	struct traits t;

	t.n = 0;
	add_part_traits(&t, r);
	if (!blame_is_empty(b))
		add_request_trait(&t, r);
	for (size_t i = 0; i < t.n; i++) {
		if (!blame_record_success(b, t.list[i], now))
			continue;
		add_pending(f, NULL, t.list[i],
			    now + (int64_t)(g_rand_double(f->rand) *
					    CLEAR_SPREAD_US));
	}
}

/* ---- marks of other hosts and of the log ---- */

void crashes_handle_mark(struct fwd *f, const Mw__CrashMark *mark, int64_t now)
{
	for (size_t i = 0; i < mark->n_suspects; i++)
		blame_record_crash(f->crashes->blame,
				   mark->suspects[i]->fingerprint,
				   mark->endpoint, mark->endpoint_incarnation,
				   clock_wall_us() / USEC_PER_MSEC, now);
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

static bool awaits_answer(const struct request *r)
{
	return r->events == 0 &&
	       (r->state == REQUEST_SENT || r->state == REQUEST_STREAM);
}

/* Endpoints drop a request when its connection closes, so most of these
 * requests do not crash theirs. */
static void end_blamed_attempts(struct fwd *f, int64_t now)
{
	struct request *r, *tmp;

	list_for_each_entry_safe (r, tmp, &f->requests, node) {
		if (!awaits_answer(r) || !crashes_blamed(r, NULL))
			continue;
		if (r->state == REQUEST_STREAM) {
			relay_abort(r, "crashes endpoints", now);
			continue;
		}
		r->may_have_run = true;
		request_refuse(r, -MW_EPOISON, "crashes endpoints", now);
	}
}

void crashes_tick(struct fwd *f, int64_t now)
{
	struct crashes *c = f->crashes;

	if (c->checked_version != blame_version(c->blame)) {
		c->checked_version = blame_version(c->blame);
		end_blamed_attempts(f, now);
	}
	retry_probes(f, now);
	propose_due(f, now);
}

void crashes_start(struct fwd *f)
{
	f->crashes = g_new0(struct crashes, 1);
	f->crashes->blame = blame_new(0);
	list_init(&f->crashes->probes);
	list_init(&f->crashes->pending);
}

void crashes_stop(struct fwd *f)
{
	struct crashes *c = f->crashes;

	while (!list_empty(&c->probes))
		probe_free(list_first(&c->probes, struct probe, node));
	while (!list_empty(&c->pending))
		pending_free(list_first(&c->pending, struct pending, node));
	blame_free(c->blame);
	g_free(c);
}
