#include "control/ctl_poll.h"

#include <string.h>
#include <jansson.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "control/ctl_feed.h"
#include "iface/iface.h"
#include "obs/slog.h"
#include "policy/pause.h"

/* Shorter would gain nothing: a reported load is half a second old anyway. */
#define POLL_INTERVAL_US (500 * USEC_PER_MSEC)
#define POLL_TIMEOUT_MS 400
#define REPORT_MAX_BYTES (64 * 1024)

/* An open request to an endpoint. */
struct poll_request {
	struct ctl_poll *poll;
	char *id;
	uint64_t incarnation;
	struct buf body;
};

struct ctl_poll {
	struct ctl *ctl;
	struct plan *plan; /* its services with runs_model are polled */
	uint64_t plan_version;
	GHashTable *loads;  /* endpoint id to Mw__UseRow */
	GHashTable *pauses; /* endpoint id to struct poll_pause */
	int64_t last_poll_us;
	uint64_t seq;
};

/* An endpoint that answered a poll with the wish for a pause. */
struct poll_pause {
	uint64_t incarnation;
	int64_t until_us;
};

static void row_free(void *p)
{
	Mw__UseRow *row = p;

	g_free(row->endpoint);
	g_free(row);
}

struct ctl_poll *ctl_poll_new(struct ctl *c)
{
	struct ctl_poll *p = g_new0(struct ctl_poll, 1);

	p->ctl = c;
	p->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
	p->pauses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return p;
}

void ctl_poll_free(struct ctl_poll *p)
{
	if (!p)
		return;
	plan_unref(p->plan);
	g_hash_table_destroy(p->loads);
	g_hash_table_destroy(p->pauses);
	g_free(p);
}

static void begin_pause(struct poll_request *req, int64_t asked_us, int64_t now)
{
	struct poll_pause *pause = g_new0(struct poll_pause, 1);

	pause->incarnation = req->incarnation;
	pause->until_us = pause_extend(0, asked_us, now);
	g_hash_table_replace(req->poll->pauses, g_strdup(req->id), pause);
	struct slog l = slog_begin("endpoint_paused");
	slog_str(&l, "endpoint", req->id);
	slog_int(&l, "endpoint_incarnation", (int64_t)req->incarnation);
	slog_str(&l, "source", "report");
	slog_int(&l, "asked_us", asked_us);
	slog_int(&l, "wait_us", pause->until_us - now);
	slog_end(&l);
}

/* Whether the endpoint is not to be polled now; forgets a pause that is over.
 */
static bool is_paused(struct ctl_poll *p, const Mw__EndpointInfo *info,
		      int64_t now)
{
	const struct poll_pause *pause =
		g_hash_table_lookup(p->pauses, info->id);

	if (!pause)
		return false;
	if (pause->incarnation == info->incarnation && now < pause->until_us)
		return true;
	g_hash_table_remove(p->pauses, info->id);
	return false;
}

static void on_headers(void *arg, struct fetch *f, int status)
{
	struct poll_request *req = arg;
	struct ctl *c = req->poll->ctl;
	struct endpoint_notice notice = c->iface->decode_notice(f, status);
	int64_t now = clock_mono_us();

	if (notice.pause_us)
		begin_pause(req, notice.pause_us, now);
	if (notice.leaving)
		ctl_feed_mark_leaving(c->feed, req->id, req->incarnation, now);
}

static void on_data(void *arg, struct fetch *f, const char *p, size_t n)
{
	struct poll_request *req = arg;

	(void)f;
	buf_add(&req->body, p, n);
}

static void on_done(void *arg, struct fetch *f, const struct fetch_result *r)
{
	struct poll_request *req = arg;
	struct load_report load;
	int err = -MW_EIO;

	(void)f;
	if (r->err == FETCH_OK && r->status == 200)
		err = req->poll->ctl->iface->decode_load_report(
			buf_head(&req->body), buf_unread(&req->body), &load);
	if (err == 0) {
		Mw__UseRow *row = g_new0(Mw__UseRow, 1);

		mw__use_row__init(row);
		row->endpoint = g_strdup(req->id);
		row->used = load.used_tokens;
		row->waiting = load.waiting;
		g_hash_table_replace(req->poll->loads, row->endpoint, row);
	} else {
		log_debug("poll", "no load from %s: %s", req->id,
			  err_info(err)->kind);
		g_hash_table_remove(req->poll->loads, req->id);
	}
	buf_release(&req->body);
	g_free(req->id);
	g_free(req);
}

static const struct fetch_ops poll_ops = {
	.headers = on_headers, .data = on_data, .done = on_done};

static void update_plan(struct ctl_poll *p)
{
	struct tree *t = sm_tree(p->ctl->sm);

	if (tree_version(t) == p->plan_version)
		return;
	p->plan_version = tree_version(t);
	AUTO_JSON json_t *body =
		tree_resolve(t, "documents/plan", "body", NULL);
	const char *text = json_string_value(body);
	struct plan *plan;
	if (!text || !*text ||
	    p->ctl->iface->parse_plan(text, strlen(text), &plan) < 0)
		return;
	plan_unref(p->plan);
	p->plan = plan;
}

static void poll_endpoint(const struct registry_row *row, void *arg)
{
	struct ctl_poll *p = arg;
	const Mw__EndpointInfo *info = row->info;
	const struct plan_service *s =
		info->n_models ? plan_service(p->plan, info->models[0]) : NULL;

	if (row->left || row->claims || !s || !s->runs_model ||
	    strcmp(info->dc, p->ctl->conf->dc) != 0 ||
	    strcmp(info->state, REGISTRY_SERVING) != 0 ||
	    is_paused(p, info, clock_mono_us())) {
		g_hash_table_remove(p->loads, info->id);
		return;
	}
	struct poll_request *req = g_new0(struct poll_request, 1);
	req->poll = p;
	req->id = g_strdup(info->id);
	req->incarnation = info->incarnation;
	g_autofree char *url = g_strdup_printf("http://%s%s", info->addr,
					       p->ctl->iface->report_path);
	struct fetch_spec spec = {.method = "GET",
				  .url = url,
				  .connect_timeout_ms = 200,
				  .timeout_ms = POLL_TIMEOUT_MS,
				  .body_max = REPORT_MAX_BYTES};
	fetch_start(p->ctl->fetcher, &spec, &poll_ops, req);
}

static void send_loads(struct ctl_poll *p, int64_t now)
{
	Mw__UseReport report = MW__USE_REPORT__INIT;
	g_autofree Mw__UseRow **rows =
		g_new0(Mw__UseRow *, g_hash_table_size(p->loads) + 1);
	GHashTableIter iter;
	Mw__UseRow *row;

	g_hash_table_iter_init(&iter, p->loads);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&row))
		rows[report.n_rows++] = row;
	report.host = p->ctl->conf->host;
	report.incarnation = p->ctl->incarnation;
	report.seq = ++p->seq;
	report.rows = rows;
	report.loads = true;
	ctl_feed_report_loads(p->ctl->feed, &report, now);
}

void ctl_poll_tick(struct ctl_poll *p, int64_t now)
{
	if (now - p->last_poll_us < POLL_INTERVAL_US)
		return;
	p->last_poll_us = now;
	update_plan(p);
	if (!p->plan)
		return;
	/* The results of the previous round. */
	send_loads(p, now);
	registry_for_each(ctl_feed_registry(p->ctl->feed), poll_endpoint, p);
}

const struct plan *ctl_poll_plan(struct ctl_poll *p)
{
	update_plan(p);
	return p->plan;
}
