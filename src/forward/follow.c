#include "forward/fwd.h"

#include <string.h>
#include <jansson.h>
#include <zlib.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "obs/slog.h"
#include "state/tree.h"

/*
 * A tree is asked for at another process after this without an answer.  A
 * version must be in force 2.5 s after it was accepted, and two processes may
 * be frozen; a large tree takes 100 ms over the slowest link.
 */
#define TREE_TIMEOUT_MS 800

/*
 * Reports of work: when something changed, and at least this often, so that
 * control processes do not forget the host (USE_VALID_US).
 */
#define USE_MIN_US (100 * USEC_PER_MSEC)
#define USE_MAX_US (700 * USEC_PER_MSEC)

/*
 * Sums come every 100 ms; after four missing ones, and a round trip, the
 * process that sends them is frozen or cut off.  It is asked again later.
 */
#define TOTALS_MISSING_US (450 * USEC_PER_MSEC)
#define TOTALS_AVOID_US (4 * USEC_PER_SEC)

/* Name of the document that holds the plan. */
#define PLAN_DOCUMENT "documents/plan"

static bool is_control(const struct peer *p)
{
	return !strcmp(peer_hello(p)->role, "control");
}

static void dial(struct fwd *f, const char *addr)
{
	if (g_hash_table_contains(f->known, addr))
		return;
	int err = peer_dial(f->peers, addr);
	if (err < 0) {
		log_warn("follow", "%s cannot be dialled: %s", addr,
			 err_info(err)->kind);
		return;
	}
	g_hash_table_add(f->known, g_strdup(addr));
}

/* ---- tree ---- */

static void take_plan(struct fwd *f, struct tree *t, int64_t now)
{
	AUTO_JSON json_t *body = tree_resolve(t, PLAN_DOCUMENT, "body", NULL);
	const char *text = json_string_value(body);
	struct plan *plan;

	if (!text || !*text)
		return;
	int err = f->iface->plan(text, strlen(text), &plan);
	struct slog l = slog_begin(err < 0 ? "plan_refused" : "plan");
	slog_int(&l, "tree_version", (int64_t)tree_version(t));
	if (err < 0) {
		slog_str(&l, "error", err_info(err)->kind);
		slog_end(&l);
		return;
	}
	slog_int(&l, "revision", (int64_t)plan->revision);
	slog_int(&l, "before", f->plan ? (int64_t)f->plan->revision : 0);
	slog_int(&l, "routes", plan->routes->len);
	slog_end(&l);
	if (f->plan && plan->revision <= f->plan->revision) {
		plan_unref(plan);
		return;
	}
	plan_unref(f->plan);
	f->plan = plan;
	request_pump(f, now);
}

static void ask_tree(struct fwd *f, struct peer *p);

/* NULL if the bytes are not a tree of that length (logged). */
static char *unpack_tree(const Mw__TreeSnapshot *snap)
{
	uLongf n = (uLongf)snap->tree_len;
	g_autofree char *out = NULL;

	if (snap->tree_len && snap->tree_len <= TREE_JSON_MAX) {
		out = g_malloc(snap->tree_len);
		if (uncompress((Bytef *)out, &n, snap->tree_z.data,
			       snap->tree_z.len) == Z_OK &&
		    n == snap->tree_len)
			return steal_ptr(&out);
	}
	log_error("follow", "version %" G_GUINT64_FORMAT " is damaged",
		  snap->version);
	return NULL;
}

static void take_tree(struct fwd *f, const Mw__TreeSnapshot *snap)
{
	const char *json = (const char *)snap->tree.data;
	size_t len = snap->tree.len;
	g_autofree char *unpacked = NULL;
	struct tree_err err;
	struct tree *t;

	if (snap->version <= f->tree_version)
		return;
	if (snap->tree_z.len) {
		unpacked = unpack_tree(snap);
		json = unpacked;
		len = (size_t)snap->tree_len;
	}
	if (!json || !len)
		return;
	int r = tree_parse(json, len, &t, &err);
	if (r < 0) {
		log_error("follow",
			  "version %" G_GUINT64_FORMAT " cannot be read: %s %s",
			  snap->version, err.path, err.reason);
		return;
	}
	f->tree_version = snap->version;
	take_plan(f, t, clock_mono_us());
	tree_unref(t);
}

static void on_tree(int err, const Mw__Frame *reply, void *ctx)
{
	struct fwd *f = ctx;

	f->tree_asked = false;
	if (err < 0) {
		struct slog l = slog_begin("tree_unanswered");
		slog_int(&l, "wanted", (int64_t)f->tree_wanted);
		slog_int(&l, "have", (int64_t)f->tree_version);
		slog_str(&l, "error", err_info(err)->kind);
		slog_end(&l);
	}
	if (err == 0 && reply->body_case == MW__FRAME__BODY_TREE_SNAPSHOT)
		take_tree(f, reply->tree_snapshot);
}

static void ask_tree(struct fwd *f, struct peer *p)
{
	Mw__Frame frame = MW__FRAME__INIT;
	Mw__TreeGet get = MW__TREE_GET__INIT;

	get.have = f->tree_version;
	get.compressed = true;
	frame.body_case = MW__FRAME__BODY_TREE_GET;
	frame.tree_get = &get;
	if (peer_call(p, &frame, TREE_TIMEOUT_MS, on_tree, f) != 0)
		return;
	f->tree_asked = true;
	f->tree_asks++;
}

/* The control processes in turn, so that one that is frozen is asked once. */
static struct peer *next_to_ask(struct fwd *f)
{
	unsigned int n = 0, k;

	for (struct peer *p = peer_next(f->peers, NULL); p;
	     p = peer_next(f->peers, p))
		n += is_control(p);
	if (!n)
		return NULL;
	k = f->tree_asks % n;
	for (struct peer *p = peer_next(f->peers, NULL); p;
	     p = peer_next(f->peers, p))
		if (is_control(p) && !k--)
			return p;
	return NULL;
}

static void take_news(struct fwd *f, struct peer *p, const Mw__TreeNews *news)
{
	if (news->version > f->tree_wanted)
		f->tree_wanted = news->version;
	if (news->version > f->tree_version && !f->tree_asked)
		ask_tree(f, p);
}

/* ---- peers ---- */

static void on_frame(struct peer *p, const Mw__Frame *frame, void *ctx)
{
	struct fwd *f = ctx;
	int64_t now = clock_mono_us();

	switch (frame->body_case) {
	case MW__FRAME__BODY_ROSTER:
		for (size_t i = 0; i < frame->roster->n_controls; i++)
			dial(f, frame->roster->controls[i]->peer_addr);
		break;
	case MW__FRAME__BODY_TREE_NEWS:
		take_news(f, p, frame->tree_news);
		break;
	case MW__FRAME__BODY_ENDPOINT_ROWS:
		for (size_t i = 0; i < frame->endpoint_rows->n_rows; i++)
			endpoints_take(f, frame->endpoint_rows->rows[i], now);
		break;
	case MW__FRAME__BODY_USE_TOTALS:
		f->totals_us = now;
		endpoints_totals(f, frame->use_totals, now);
		break;
	default:
		log_debug("follow", "unexpected frame %d from %s",
			  (int)frame->body_case, peer_hello(p)->host);
	}
	if (frame->rpc) {
		Mw__Frame reply = MW__FRAME__INIT;
		Mw__Ack ack = MW__ACK__INIT;

		reply.body_case = MW__FRAME__BODY_ACK;
		reply.ack = &ack;
		peer_reply(f->peers, peer_rpc(p, frame), &reply);
	}
}

static void log_peer(const char *kind, struct peer *p, const char *reason)
{
	struct slog l = slog_begin(kind);

	slog_str(&l, "peer", peer_hello(p)->host);
	slog_str(&l, "peer_role", peer_hello(p)->role);
	if (reason)
		slog_str(&l, "reason", reason);
	slog_end(&l);
}

static void on_up(struct peer *p, void *ctx)
{
	(void)ctx;
	log_peer("peer_up", p, NULL);
}

static void on_down(struct peer *p, int err, void *ctx)
{
	(void)ctx;
	log_peer("peer_down", p, err_info(err)->kind);
}

int follow_start(struct fwd *f)
{
	struct frame_key key;
	struct peer_config cfg = {
		.loop = f->loop,
		.key = &key,
		.hlc = &f->hlc,
		.listen = f->conf->peer_listen,
		.host = f->conf->host,
		.dc = f->conf->dc,
		.role = "entry",
		.admin_addr = f->conf->admin_listen,
		.incarnation = f->incarnation,
		.backoff_max_ms = 1000,
		.ops = {.up = on_up, .down = on_down, .frame = on_frame},
		.ctx = f,
	};

	memcpy(key.bytes, f->conf->cluster_key, sizeof(key.bytes));
	f->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	int r = peer_net_new(&cfg, &f->peers);
	for (size_t i = 0; r == 0 && i < f->conf->seed_nr; i++) {
		const struct conf_addr *a = &f->conf->seed_list[i];
		g_autofree char *addr =
			g_strdup_printf("%s:%u", a->ip, a->port);
		dial(f, addr);
	}
	return r;
}

void follow_stop(struct fwd *f)
{
	if (f->peers)
		peer_net_free(f->peers);
	if (f->known)
		g_hash_table_destroy(f->known);
}

/*
 * A control process of the own data centre, otherwise any; one that is
 * connected but did not answer the reports is passed over for a while.
 */
static struct peer *nearest(struct fwd *f, int64_t now)
{
	struct peer *any = NULL;
	bool avoid = now < f->avoid_until_us;

	for (struct peer *p = peer_next(f->peers, NULL); p;
	     p = peer_next(f->peers, p)) {
		if (!is_control(p) ||
		    (avoid && !strcmp(peer_hello(p)->host, f->avoid_host)))
			continue;
		if (!strcmp(peer_hello(p)->dc, f->conf->dc))
			return p;
		any = any ? any : p;
	}
	return any;
}

/* Reports go to another process when the sums of the others do not come. */
static void watch_totals(struct fwd *f, struct peer *p, int64_t now)
{
	const char *host = peer_hello(p)->host;

	if (strcmp(f->reported_host, host) != 0) {
		g_strlcpy(f->reported_host, host, sizeof(f->reported_host));
		f->totals_us = now;
	}
	if (now - f->totals_us < TOTALS_MISSING_US)
		return;
	struct slog l = slog_begin("totals_missing");
	slog_str(&l, "peer", host);
	slog_int(&l, "age_us", now - f->totals_us);
	slog_end(&l);
	g_strlcpy(f->avoid_host, host, sizeof(f->avoid_host));
	f->avoid_until_us = now + TOTALS_AVOID_US;
}

static void report_use(struct fwd *f, int64_t now)
{
	struct peer *p = nearest(f, now);
	Mw__Frame frame = MW__FRAME__INIT;

	if (!p)
		return;
	watch_totals(f, p, now);
	f->use_sent_us = now;
	f->use_changed = false;
	frame.body_case = MW__FRAME__BODY_USE_REPORT;
	frame.use_report = endpoints_use(f, now);
	peer_send(p, &frame);
	endpoints_use_free(frame.use_report);
}

void follow_tick(struct fwd *f, int64_t now)
{
	int64_t age = now - f->use_sent_us;

	if (age >= USE_MAX_US || (f->use_changed && age >= USE_MIN_US))
		report_use(f, now);
	if (f->tree_wanted > f->tree_version && !f->tree_asked) {
		struct peer *p = next_to_ask(f);
		if (p)
			ask_tree(f, p);
	}
}
