#include "forward/crashes.h"

#include <string.h>
#include <zlib.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "obs/slog.h"
#include "policy/usage_interval.h"
#include "state/tree.h"

/*
 * Time after which a plan is requested from another control process.  A version
 * must be in force 2.5 s after it was accepted, and two processes may be
 * frozen; a large plan takes 100 ms over the slowest link.
 */
#define DOCUMENT_TIMEOUT_MS 800

/* Two processes may be asked in this time (DOCUMENT_TIMEOUT_MS). */
#define STALL_HOLD_US (1000 * USEC_PER_MSEC)

/* Usage reports are sent at least this often: control processes drop a host's
 * usage USE_REPORT_VALID_US after its last report. */
#define USE_REPORT_INTERVAL_US (700 * USEC_PER_MSEC)

/*
 * Totals arrive at least every 100 ms.  If four are missing, and a round trip
 * has passed, the control process that sends them is frozen or cut off.  Usage
 * reports go to another one for TOTALS_AVOID_US.
 */
#define TOTALS_MISSING_US (450 * USEC_PER_MSEC)
#define TOTALS_AVOID_US (4 * USEC_PER_SEC)

/* Name of the document with the plan. */
#define PLAN_DOCUMENT "plan"

static bool is_control(const struct peer *p)
{
	return !strcmp(peer_hello(p)->role, "control");
}

static void dial_once(struct fwd *f, const char *addr)
{
	if (g_hash_table_contains(f->dialled_addrs, addr))
		return;
	int err = peer_dial(f->peers, addr);
	if (err < 0) {
		log_warn("follow", "cannot dial control process %s: %s", addr,
			 err_info(err)->kind);
		return;
	}
	g_hash_table_add(f->dialled_addrs, g_strdup(addr));
}

/* ---- documents ---- */

/*
 * Returns the text, to be freed with g_free(); NULL if it cannot be
 * decompressed or has another length, which is logged.
 */
static char *decompress_document(const Mw__DocumentText *doc)
{
	uLongf n = (uLongf)doc->text_len;
	g_autofree char *out = NULL;

	if (doc->text_len && doc->text_len <= TREE_JSON_MAX) {
		out = g_malloc(doc->text_len);
		if (uncompress((Bytef *)out, &n, doc->text_z.data,
			       doc->text_z.len) == Z_OK &&
		    n == doc->text_len)
			return steal_ptr(&out);
	}
	log_error("follow",
		  "cannot decompress the plan of revision %" G_GUINT64_FORMAT,
		  doc->revision);
	return NULL;
}

static void accept_document(struct fwd *f, const Mw__DocumentText *doc)
{
	if (doc->version <= f->tree_version)
		return;
	/* Before the first plan, with which the host begins to send. */
	endpoints_set_evacuation(f, doc->version,
				 (const char *const *)doc->evacuated,
				 doc->n_evacuated, clock_mono_us());
	if (doc->text_z.len) { /* empty: the plan in force is the newest */
		char *text = decompress_document(doc);

		if (!text)
			return;
		plan_parse_start(f, text, (size_t)doc->text_len, doc->version,
				 clock_mono_us());
	}
	f->tree_version = doc->version;
}

static void on_document(int err, const Mw__Frame *reply, void *ctx)
{
	struct fwd *f = ctx;

	f->document_requested = false;
	if (err < 0) {
		struct slog l = slog_begin("tree_unanswered");
		slog_int(&l, "wanted", (int64_t)f->latest_tree_version);
		slog_int(&l, "have", (int64_t)f->tree_version);
		slog_str(&l, "error", err_info(err)->kind);
		slog_end(&l);
	}
	if (err < 0 || reply->body_case != MW__FRAME__BODY_DOCUMENT_TEXT)
		return;
	accept_document(f, reply->document_text);
	if (reply->document_text->version &&
	    f->document_sent_us >= f->stalled_us)
		f->hold_until_us = 0;
}

/*
 * Whether a newer plan may be requested.  Only one is requested or parsed at a
 * time; otherwise frequent versions would restart the parsing again and again,
 * and none would come into force.
 */
static bool may_request_document(const struct fwd *f)
{
	if (f->hold_until_us > clock_mono_us())
		return !f->document_requested;
	return f->latest_tree_version > f->tree_version &&
	       !f->document_requested && !f->parse.reader;
}

static void request_document(struct fwd *f, struct peer *p)
{
	Mw__Frame frame = MW__FRAME__INIT;
	Mw__DocumentGet get = MW__DOCUMENT_GET__INIT;

	get.name = (char *)PLAN_DOCUMENT;
	get.have = f->plan ? f->plan->revision : 0;
	frame.body_case = MW__FRAME__BODY_DOCUMENT_GET;
	frame.document_get = &get;
	if (peer_call(p, &frame, DOCUMENT_TIMEOUT_MS, on_document, f) != 0)
		return;
	f->document_requested = true;
	f->document_sent_us = clock_mono_us();
	f->document_requests++;
}

unsigned int control_link_controls(const struct fwd *f)
{
	unsigned int n = 0;

	for (struct peer *p = peer_next(f->peers, NULL); p;
	     p = peer_next(f->peers, p))
		n += is_control(p);
	return n;
}

/* Alternates between the control processes with `turn`, so that after a request
 * to a frozen one the next request goes to another. */
static struct peer *next_control_peer(struct fwd *f, unsigned int turn)
{
	unsigned int n = control_link_controls(f), k;

	if (!n)
		return NULL;
	k = turn % n;
	for (struct peer *p = peer_next(f->peers, NULL); p;
	     p = peer_next(f->peers, p))
		if (is_control(p) && !k--)
			return p;
	return NULL;
}

static void handle_tree_news(struct fwd *f, struct peer *p,
			     const Mw__TreeNews *news)
{
	if (news->version > f->latest_tree_version)
		f->latest_tree_version = news->version;
	if (may_request_document(f))
		request_document(f, p);
}

/* ---- crash marks ---- */

int control_link_propose(struct fwd *f, Mw__Command *cmd, int timeout_ms,
			 void (*done)(int err, const Mw__Frame *reply,
				      void *ctx),
			 void *ctx)
{
	Mw__Frame frame = MW__FRAME__INIT;
	Mw__Propose propose = MW__PROPOSE__INIT;
	struct peer *p = next_control_peer(f, f->proposals++);

	propose.command = cmd;
	frame.body_case = MW__FRAME__BODY_PROPOSE;
	frame.propose = &propose;
	return p ? peer_call(p, &frame, timeout_ms, done, ctx) : -MW_ENOLEADER;
}

void control_link_send_crash_mark(struct fwd *f, Mw__CrashMark *mark)
{
	Mw__Frame frame = MW__FRAME__INIT;

	frame.body_case = MW__FRAME__BODY_CRASH_MARK;
	frame.crash_mark = mark;
	for (struct peer *p = peer_next(f->peers, NULL); p;
	     p = peer_next(f->peers, p))
		if (is_control(p))
			peer_send(p, &frame);
}

/* ---- endpoints ---- */

static void send_endpoint(struct peer *p, Mw__EndpointInfo *info)
{
	Mw__Frame frame = MW__FRAME__INIT;
	Mw__EndpointRows msg = MW__ENDPOINT_ROWS__INIT;

	msg.rows = &info;
	msg.n_rows = 1;
	frame.body_case = MW__FRAME__BODY_ENDPOINT_ROWS;
	frame.endpoint_rows = &msg;
	peer_send(p, &frame);
}

void control_link_send_endpoint(struct fwd *f, Mw__EndpointInfo *info)
{
	for (struct peer *p = peer_next(f->peers, NULL); p;
	     p = peer_next(f->peers, p))
		if (is_control(p))
			send_endpoint(p, info);
}

static void handle_endpoint_row(struct fwd *f, struct peer *p,
				const Mw__EndpointInfo *info, int64_t now)
{
	Mw__EndpointInfo *known = endpoints_update(f, info, now);

	if (!known)
		return;
	struct slog l = slog_begin("endpoint_forgotten");
	slog_str(&l, "endpoint", known->id);
	slog_int(&l, "endpoint_incarnation", (int64_t)known->incarnation);
	slog_str(&l, "peer", peer_hello(p)->host);
	slog_end(&l);
	send_endpoint(p, known);
}

/* ---- peers ---- */

static void on_frame(struct peer *p, const Mw__Frame *frame, void *ctx)
{
	struct fwd *f = ctx;
	int64_t now = clock_mono_us();

	switch (frame->body_case) {
	case MW__FRAME__BODY_ROSTER:
		for (size_t i = 0; i < frame->roster->n_controls; i++)
			dial_once(f, frame->roster->controls[i]->peer_addr);
		break;
	case MW__FRAME__BODY_TREE_NEWS:
		handle_tree_news(f, p, frame->tree_news);
		break;
	case MW__FRAME__BODY_ENDPOINT_ROWS:
		for (size_t i = 0; i < frame->endpoint_rows->n_rows; i++)
			handle_endpoint_row(f, p, frame->endpoint_rows->rows[i],
					    now);
		break;
	case MW__FRAME__BODY_USE_TOTALS:
		f->totals_received_us = now;
		endpoints_apply_totals(f, frame->use_totals, now);
		break;
	case MW__FRAME__BODY_CRASH_MARK:
		crashes_handle_mark(f, frame->crash_mark, now);
		break;
	case MW__FRAME__BODY_CRASH_MARKS:
		crashes_handle_log(f, frame->crash_marks, now);
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

int control_link_start(struct fwd *f)
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
		.budget = &f->memory,
		.ops = {.up = on_up, .down = on_down, .frame = on_frame},
		.ctx = f,
	};

	memcpy(key.bytes, f->conf->cluster_key, sizeof(key.bytes));
	f->dialled_addrs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	int r = peer_net_new(&cfg, &f->peers);
	for (size_t i = 0; r == 0 && i < f->conf->seed_nr; i++) {
		const struct conf_addr *a = &f->conf->seed_list[i];
		g_autofree char *addr =
			g_strdup_printf("%s:%u", a->ip, a->port);
		dial_once(f, addr);
	}
	return r;
}

void control_link_stop(struct fwd *f)
{
	if (f->peers)
		peer_net_free(f->peers);
	if (f->dialled_addrs)
		g_hash_table_destroy(f->dialled_addrs);
}

/*
 * Chooses the control process that gets the usage reports: one of this data
 * centre, otherwise any.  One that is connected but stopped sending totals is
 * avoided until avoid_until_us.
 */
static struct peer *choose_report_peer(struct fwd *f, int64_t now)
{
	struct peer *fallback = NULL;
	bool avoid = now < f->avoid_until_us;

	for (struct peer *p = peer_next(f->peers, NULL); p;
	     p = peer_next(f->peers, p)) {
		if (!is_control(p) ||
		    (avoid && !strcmp(peer_hello(p)->host, f->avoid_host)))
			continue;
		if (!strcmp(peer_hello(p)->dc, f->conf->dc))
			return p;
		fallback = fallback ? fallback : p;
	}
	return fallback;
}

void control_link_send_vouch(struct fwd *f, Mw__CrashMark *mark, int64_t now)
{
	Mw__Frame frame = MW__FRAME__INIT;
	struct peer *p = choose_report_peer(f, now);

	frame.body_case = MW__FRAME__BODY_CRASH_MARK;
	frame.crash_mark = mark;
	if (p)
		peer_send(p, &frame);
}

/* Avoids the process that gets the reports if its totals are missing. */
static void check_totals_age(struct fwd *f, struct peer *p, int64_t now)
{
	const char *host = peer_hello(p)->host;

	if (strcmp(f->report_host, host) != 0) {
		g_strlcpy(f->report_host, host, sizeof(f->report_host));
		f->totals_received_us = now;
	}
	if (now - f->totals_received_us < TOTALS_MISSING_US)
		return;
	struct slog l = slog_begin("totals_missing");
	slog_str(&l, "peer", host);
	slog_int(&l, "age_us", now - f->totals_received_us);
	slog_end(&l);
	g_strlcpy(f->avoid_host, host, sizeof(f->avoid_host));
	f->avoid_until_us = now + TOTALS_AVOID_US;
}

static void send_use_report(struct fwd *f, int64_t now)
{
	struct peer *p = choose_report_peer(f, now);
	Mw__Frame frame = MW__FRAME__INIT;

	if (!p)
		return;
	check_totals_age(f, p, now);
	f->use_sent_us = now;
	f->use_unreported = false;
	frame.body_case = MW__FRAME__BODY_USE_REPORT;
	frame.use_report = endpoints_use_report(f, now);
	f->use_report_rows = frame.use_report->n_rows;
	peer_send(p, &frame);
	endpoints_use_report_free(frame.use_report);
}

void control_link_flush(struct fwd *f, int64_t now)
{
	int64_t age = now - f->use_sent_us;

	if (age >= USE_REPORT_INTERVAL_US ||
	    (f->use_unreported &&
	     age >= usage_report_interval_us(f->n_hosts, f->use_report_rows)))
		send_use_report(f, now);
}

void control_link_handle_stall(struct fwd *f, int64_t stall_us, int64_t now)
{
	f->stalled_us = now;
	f->hold_until_us = now + STALL_HOLD_US;
	struct slog l = slog_begin("stalled");
	slog_int(&l, "stall_us", stall_us);
	slog_int(&l, "tree_version", (int64_t)f->tree_version);
	slog_end(&l);
}

void control_link_tick(struct fwd *f, int64_t now)
{
	control_link_flush(f, now);
	if (may_request_document(f)) {
		struct peer *p = next_control_peer(f, f->document_requests);
		if (p)
			request_document(f, p);
	}
}
