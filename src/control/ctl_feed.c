#include "control/ctl_feed.h"

#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "control/ctl_departure.h"
#include "control/ctl_poll.h"
#include "control/use.h"
#include "iface/iface.h"
#include "policy/usage_interval.h"
#include "obs/slog.h"

/* Totals are sent this often even if unchanged, which shows hosts that this
 * process is alive. */
#define TOTALS_MAX_INTERVAL_US (100 * USEC_PER_MSEC)

/*
 * Time after the start in which this process may lack endpoints that other
 * processes have: two announcement intervals of 1.2 s.
 */
#define REGISTRY_FILL_US (2400 * USEC_PER_MSEC)

/* Of a question before a leave or an entry is obeyed.  With
 * CTL_DEPARTURE_WAIT_US it is less than the second that an endpoint waits. */
#define DOUBT_TIMEOUT_MS 300
/* Open questions; beyond that all is obeyed at once. */
#define DOUBTED_MAX 32

#define EXPIRE_INTERVAL_US (1 * USEC_PER_SEC)

/* Crash marks that are sent to entry hosts, the newest ones: some 50 KB with
 * two crashes each. */
#define CRASH_MARKS_SENT_MAX 512

/* Changes of the crash marks within this time are sent together. */
#define CRASH_MARKS_INTERVAL_US (20 * USEC_PER_MSEC)

struct ctl_feed {
	struct ctl *ctl;
	struct registry *registry;
	struct use_table *use;
	int64_t started_us;
	int64_t last_totals_us;
	unsigned int totals_receivers; /* hosts that got the last totals */
	int64_t last_expire_us;
	uint64_t crash_version; /* of the crash marks that were sent last */
	int64_t crash_sent_us;
	struct list doubted;
	unsigned int n_doubted;
};

/* A leave or an announcement that the server is asked about first. */
struct doubted_entry {
	struct list node; /* in ctl_feed::doubted */
	struct ctl_feed *feed;
	struct fetch *fetch;
	char *id;
	Mw__EndpointInfo *info; /* the announcement, or NULL */
	uint64_t incarnation;	/* in use when it arrived */
	enum owner_answer answer;
	ctl_feed_ack_fn fn;
	void *ctx;
};

static void doubted_entry_free(struct doubted_entry *d);

struct ctl_feed *ctl_feed_new(struct ctl *c)
{
	struct ctl_feed *f = g_new0(struct ctl_feed, 1);

	f->ctl = c;
	f->started_us = clock_mono_us();
	f->registry = registry_new();
	f->use = use_new();
	list_init(&f->doubted);
	return f;
}

void ctl_feed_free(struct ctl_feed *f)
{
	if (!f)
		return;
	while (!list_empty(&f->doubted))
		doubted_entry_free(
			list_first(&f->doubted, struct doubted_entry, node));
	registry_free(f->registry);
	use_free(f->use);
	g_free(f);
}

static bool is_entry_host(const struct peer *p)
{
	return !strcmp(peer_hello(p)->role, "entry");
}

static struct peer *next_peer(struct ctl_feed *f, struct peer *p)
{
	return peer_next(f->ctl->peers, p);
}

/* ---- tree ---- */

static void send_version(struct ctl_feed *f, struct peer *p)
{
	Mw__Frame frame = MW__FRAME__INIT;
	Mw__TreeNews news = MW__TREE_NEWS__INIT;

	if (!f->ctl->caught_up)
		return;
	news.version = tree_version(sm_tree(f->ctl->sm));
	frame.body_case = MW__FRAME__BODY_TREE_NEWS;
	frame.tree_news = &news;
	peer_send(p, &frame);
}

void ctl_feed_tree_changed(struct ctl_feed *f)
{
	for (struct peer *p = next_peer(f, NULL); p; p = next_peer(f, p))
		if (is_entry_host(p))
			send_version(f, p);
}

/* ---- endpoints ---- */

static void add_row(const struct registry_row *row, void *arg)
{
	g_ptr_array_add(arg, row->info);
}

static void send_rows(struct peer *p, Mw__EndpointInfo **rows, size_t n)
{
	Mw__Frame frame = MW__FRAME__INIT;
	Mw__EndpointRows msg = MW__ENDPOINT_ROWS__INIT;

	if (!n)
		return;
	msg.rows = rows;
	msg.n_rows = n;
	frame.body_case = MW__FRAME__BODY_ENDPOINT_ROWS;
	frame.endpoint_rows = &msg;
	peer_send(p, &frame);
}

struct dc_sum {
	const struct ctl_feed *feed;
	const char *dc;
	bool found;
	unsigned int open;
};

static void add_to_dc_sum(const struct registry_row *row, void *arg)
{
	struct dc_sum *sum = arg;

	if (strcmp(row->info->dc, sum->dc) != 0)
		return;
	sum->found = true;
	sum->open += use_endpoint_streams(sum->feed->use, row->info->id);
}

bool ctl_feed_has_dc(const struct ctl_feed *f, const char *dc)
{
	struct dc_sum sum = {.feed = f, .dc = dc};

	registry_for_each(f->registry, add_to_dc_sum, &sum);
	return sum.found;
}

unsigned int ctl_feed_open_requests(const struct ctl_feed *f, const char *dc)
{
	struct dc_sum sum = {.feed = f, .dc = dc};

	registry_for_each(f->registry, add_to_dc_sum, &sum);
	return sum.open;
}

/* ---- crash marks ---- */

static void add_mark(const Mw__SnapCrash *mark, void *arg)
{
	g_ptr_array_add(arg, (void *)mark);
}

static void send_crash_marks(struct ctl_feed *f, struct peer *p)
{
	const struct crash_marks *crash = sm_crash_marks(f->ctl->sm);
	g_autoptr(GPtrArray) marks = g_ptr_array_new();
	Mw__Frame frame = MW__FRAME__INIT;
	Mw__CrashMarks msg = MW__CRASH_MARKS__INIT;

	crash_for_each(crash, add_mark, marks);
	size_t left_out = marks->len > CRASH_MARKS_SENT_MAX
				  ? marks->len - CRASH_MARKS_SENT_MAX
				  : 0;
	msg.version = crash_version(crash);
	msg.marks = (Mw__SnapCrash **)marks->pdata + left_out;
	msg.n_marks = marks->len - left_out;
	frame.body_case = MW__FRAME__BODY_CRASH_MARKS;
	frame.crash_marks = &msg;
	peer_send(p, &frame);
}

/* Sends the marks if they have changed, also by a snapshot of the log. */
static void send_changed_crash_marks(struct ctl_feed *f, int64_t now)
{
	uint64_t version = crash_version(sm_crash_marks(f->ctl->sm));

	if (version == f->crash_version ||
	    now - f->crash_sent_us < CRASH_MARKS_INTERVAL_US)
		return;
	f->crash_version = version;
	f->crash_sent_us = now;
	for (struct peer *p = next_peer(f, NULL); p; p = next_peer(f, p))
		if (is_entry_host(p))
			send_crash_marks(f, p);
}

void ctl_feed_peer_up(struct ctl_feed *f, struct peer *p)
{
	g_autoptr(GPtrArray) rows = g_ptr_array_new();

	if (is_entry_host(p)) {
		send_version(f, p);
		send_crash_marks(f, p);
	}
	registry_for_each(f->registry, add_row, rows);
	send_rows(p, (Mw__EndpointInfo **)rows->pdata, rows->len);
}

void ctl_feed_peer_down(struct ctl_feed *f, struct peer *p)
{
	if (is_entry_host(p))
		use_remove_host(f->use, peer_hello(p)->host);
}

static void log_row(const Mw__EndpointInfo *info, const char *from)
{
	struct slog l = slog_begin("endpoint");

	slog_str(&l, "endpoint", info->id);
	slog_int(&l, "endpoint_incarnation", (int64_t)info->incarnation);
	slog_int(&l, "seq", (int64_t)info->seq);
	slog_str(&l, "addr", info->addr);
	slog_str(&l, "state", info->state);
	slog_str(&l, "from", from);
	slog_end(&l);
}

/*
 * Forwards a row to the entry hosts if it has changed, and to the other control
 * processes if the endpoint itself sent it to this process.
 */
static void forward_row(struct ctl_feed *f, Mw__EndpointInfo *info,
			bool changed, bool from_endpoint)
{
	for (struct peer *p = next_peer(f, NULL); p; p = next_peer(f, p))
		if (is_entry_host(p) ? changed : from_endpoint)
			send_rows(p, &info, 1);
}

static void merge(struct ctl_feed *f, const Mw__EndpointInfo *info,
		  ctl_feed_ack_fn fn, void *ctx)
{
	int64_t now = clock_mono_us();
	enum registry_change change = registry_merge(f->registry, info, now);
	const struct registry_row *row = registry_find(f->registry, info->id);

	if (change == REGISTRY_CHANGED)
		log_row(info, "endpoint");
	if (change != REGISTRY_IGNORED && row)
		forward_row(f, row->info, change == REGISTRY_CHANGED, true);
	/* Also if it has come before: no commit may have followed then. */
	if (row && !strcmp(info->state, REGISTRY_LEAVING) &&
	    !strcmp(row->info->state, REGISTRY_LEAVING))
		ctl_departure_record(f->ctl, row, now, fn, ctx);
	else
		fn(0, ctx);
}

static uint64_t wall_ms(void)
{
	return (uint64_t)(clock_wall_us() / USEC_PER_MSEC);
}

static void leave(struct ctl_feed *f, const char *id, ctl_feed_ack_fn fn,
		  void *ctx)
{
	int64_t now = clock_mono_us();
	const struct registry_row *row =
		registry_mark_left(f->registry, id, now);

	if (!row && now - f->started_us < REGISTRY_FILL_US) {
		fn(-MW_EAGAIN, ctx);
		return;
	}
	/* Its incarnation is not known, so its start was before this leave. */
	if (!row)
		row = registry_add_left(f->registry, id, wall_ms(), now);
	log_row(row->info, "endpoint");
	forward_row(f, row->info, true, true);
	ctl_departure_record(f->ctl, row, now, fn, ctx);
}

/* ---- departures in the log ---- */

void ctl_feed_merge_departure(struct ctl_feed *f, const Mw__EndpointInfo *info)
{
	enum registry_change change =
		registry_merge(f->registry, info, clock_mono_us());
	const struct registry_row *row = registry_find(f->registry, info->id);

	if (change != REGISTRY_CHANGED || !row)
		return;
	log_row(row->info, "log");
	if (f->ctl->peers)
		forward_row(f, row->info, true, false);
}

/* ---- what may be false, or of a former incarnation ---- */

static Mw__EndpointInfo *copy_info(const Mw__EndpointInfo *info)
{
	size_t len = mw__endpoint_info__get_packed_size(info);
	g_autofree uint8_t *bytes = g_malloc(len + 1);

	mw__endpoint_info__pack(info, bytes);
	return mw__endpoint_info__unpack(NULL, len, bytes);
}

static void doubted_entry_free(struct doubted_entry *d)
{
	if (d->fetch)
		fetch_cancel(d->fetch);
	list_del(&d->node);
	d->feed->n_doubted--;
	if (d->info)
		mw__endpoint_info__free_unpacked(d->info, NULL);
	g_free(d->id);
	g_free(d);
}

static void on_doubt_headers(void *arg, struct fetch *fetch, int status)
{
	struct doubted_entry *d = arg;

	d->answer = d->feed->ctl->iface->decode_owner(fetch, status, d->id);
}

static void on_doubt_done(void *arg, struct fetch *fetch,
			  const struct fetch_result *res)
{
	struct doubted_entry *d = arg;
	const struct registry_row *row =
		registry_find(d->feed->registry, d->id);
	bool is_void = owner_voids(d->answer, res->status) && row &&
		       row->info->incarnation == d->incarnation;

	(void)fetch;
	d->fetch = NULL;
	struct slog l = slog_begin("doubted_entry");
	slog_str(&l, "endpoint", d->id);
	slog_int(&l, "endpoint_incarnation", (int64_t)d->incarnation);
	slog_int(&l, "status", res->status);
	slog_str(&l, "outcome", is_void ? "void" : "obeyed");
	slog_end(&l);
	if (is_void)
		d->fn(0, d->ctx);
	else if (d->info)
		merge(d->feed, d->info, d->fn, d->ctx);
	else
		leave(d->feed, d->id, d->fn, d->ctx);
	doubted_entry_free(d);
}

static const struct fetch_ops doubt_ops = {.headers = on_doubt_headers,
					   .done = on_doubt_done};

/* Path of a question to an endpoint in use, or NULL if it is not to be asked.
 */
static const char *ask_path(const struct ctl_feed *f,
			    const struct registry_row *row)
{
	const struct plan *plan = f->ctl->iface && f->ctl->poll
					  ? ctl_poll_plan(f->ctl->poll)
					  : NULL;
	const struct plan_service *s;

	if (!plan || !row || row->left || !row->info->n_models ||
	    strcmp(row->info->state, REGISTRY_SERVING) != 0 ||
	    f->n_doubted >= DOUBTED_MAX)
		return NULL;
	s = plan_service(plan, row->info->models[0]);
	return s ? s->health_path : NULL;
}

/* info: the announcement that says so, or NULL. */
static void ask_first(struct ctl_feed *f, const struct registry_row *row,
		      const char *path, const Mw__EndpointInfo *info,
		      ctl_feed_ack_fn fn, void *ctx)
{
	const struct iface *iface = f->ctl->iface;
	g_autofree char *url =
		g_strdup_printf("http://%s%s", row->info->addr, path);
	headers *h = iface->owner_headers(row->info->id);
	struct doubted_entry *d = g_new0(struct doubted_entry, 1);

	d->feed = f;
	d->id = g_strdup(row->info->id);
	d->info = info ? copy_info(info) : NULL;
	d->incarnation = row->info->incarnation;
	d->fn = fn;
	d->ctx = ctx;
	list_add_tail(&f->doubted, &d->node);
	f->n_doubted++;
	g_ptr_array_add(h, NULL);
	struct fetch_spec spec = {
		.method = "GET",
		.url = url,
		.headers = (const char *const *)h->pdata,
		.connect_timeout_ms = DOUBT_TIMEOUT_MS,
		.timeout_ms = DOUBT_TIMEOUT_MS,
		.flags = FETCH_NEW_CONNECTION,
	};
	d->fetch = fetch_start(f->ctl->fetcher, &spec, &doubt_ops, d);
	g_ptr_array_unref(h);
}

static bool doubts(const Mw__EndpointInfo *in_use, const Mw__EndpointInfo *info)
{
	const struct owner_entry a = {.incarnation = in_use->incarnation,
				      .addr = in_use->addr};
	const struct owner_entry b = {.incarnation = info->incarnation,
				      .addr = info->addr};

	return owner_doubts(&a, &b);
}

void ctl_feed_announce(struct ctl_feed *f, const Mw__EndpointInfo *info,
		       ctl_feed_ack_fn fn, void *ctx)
{
	const struct registry_row *row = registry_find(f->registry, info->id);
	const char *path =
		row && doubts(row->info, info) ? ask_path(f, row) : NULL;

	if (path)
		ask_first(f, row, path, info, fn, ctx);
	else
		merge(f, info, fn, ctx);
}

void ctl_feed_leave(struct ctl_feed *f, const char *id, ctl_feed_ack_fn fn,
		    void *ctx)
{
	const struct registry_row *row = registry_find(f->registry, id);
	int64_t now = clock_mono_us();
	const char *path =
		row && owner_doubts_leave(row->follows, now - row->since_us)
			? ask_path(f, row)
			: NULL;

	if (path)
		ask_first(f, row, path, NULL, fn, ctx);
	else
		leave(f, id, fn, ctx);
}

void ctl_feed_mark_leaving(struct ctl_feed *f, const char *id,
			   uint64_t incarnation, int64_t now)
{
	const struct registry_row *row =
		registry_mark_leaving(f->registry, id, incarnation, now);

	if (!row)
		return;
	log_row(row->info, "report");
	forward_row(f, row->info, true, true);
}

void ctl_feed_merge_rows(struct ctl_feed *f, struct peer *from,
			 const Mw__Frame *frame, int64_t now)
{
	const Mw__EndpointRows *msg = frame->endpoint_rows;

	for (size_t i = 0; i < msg->n_rows; i++) {
		enum registry_change change =
			registry_merge(f->registry, msg->rows[i], now);
		const struct registry_row *row =
			registry_find(f->registry, msg->rows[i]->id);
		if (change != REGISTRY_CHANGED || !row)
			continue;
		log_row(row->info, peer_hello(from)->host);
		/* A host sends what an endpoint told it, and what this process
		 * has forgotten; no other process sends that. */
		forward_row(f, row->info, true, is_entry_host(from));
	}
	if (frame->rpc) {
		Mw__Frame reply = MW__FRAME__INIT;
		Mw__Ack ack = MW__ACK__INIT;

		reply.body_case = MW__FRAME__BODY_ACK;
		reply.ack = &ack;
		peer_reply(f->ctl->peers, peer_rpc(from, frame), &reply);
	}
}

/* ---- load of the endpoints ---- */

void ctl_feed_handle_use_report(struct ctl_feed *f, struct peer *from,
				const Mw__UseReport *report, int64_t now)
{
	Mw__Frame frame = MW__FRAME__INIT;

	use_store_report(f->use, report, is_entry_host(from), now);
	if (!is_entry_host(from))
		return;
	frame.body_case = MW__FRAME__BODY_USE_REPORT;
	frame.use_report = (Mw__UseReport *)report;
	for (struct peer *p = next_peer(f, NULL); p; p = next_peer(f, p))
		if (!is_entry_host(p))
			peer_send(p, &frame);
}

const struct registry *ctl_feed_registry(const struct ctl_feed *f)
{
	return f->registry;
}

void ctl_feed_report_loads(struct ctl_feed *f, Mw__UseReport *report,
			   int64_t now)
{
	Mw__Frame frame = MW__FRAME__INIT;

	use_store_report(f->use, report, false, now);
	frame.body_case = MW__FRAME__BODY_USE_REPORT;
	frame.use_report = report;
	for (struct peer *p = next_peer(f, NULL); p; p = next_peer(f, p))
		if (!is_entry_host(p))
			peer_send(p, &frame);
}

static void send_totals(struct ctl_feed *f, int64_t now)
{
	f->last_totals_us = now;
	f->totals_receivers = 0;
	use_update_sums(f->use, now);
	for (struct peer *p = next_peer(f, NULL); p; p = next_peer(f, p)) {
		Mw__Frame frame = MW__FRAME__INIT;

		if (!is_entry_host(p) ||
		    !use_reports_directly(f->use, peer_hello(p)->host, now))
			continue;
		frame.body_case = MW__FRAME__BODY_USE_TOTALS;
		frame.use_totals =
			use_totals_new(f->use, peer_hello(p)->host, now);
		peer_send(p, &frame);
		use_totals_free(frame.use_totals);
		f->totals_receivers++;
	}
}

void ctl_feed_flush(struct ctl_feed *f, int64_t now)
{
	send_changed_crash_marks(f, now);
	if (use_has_changes(f->use) &&
	    now - f->last_totals_us >=
		    usage_totals_interval_us(f->totals_receivers))
		send_totals(f, now);
}

static void on_stale(const struct registry_row *row, void *arg)
{
	log_row(row->info, "silence");
	forward_row(arg, row->info, true, false);
}

void ctl_feed_tick(struct ctl_feed *f, int64_t now)
{
	send_changed_crash_marks(f, now);
	if (now - f->last_totals_us >= TOTALS_MAX_INTERVAL_US)
		send_totals(f, now);
	if (now - f->last_expire_us >= EXPIRE_INTERVAL_US) {
		f->last_expire_us = now;
		registry_expire(f->registry, now, on_stale, f);
	}
}
