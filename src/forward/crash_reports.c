#include "forward/crash_reports.h"

#include <glib.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/list.h"
#include "obs/slog.h"
#include "state/pb.h"

/* A commit takes some 60 ms between regions; a frozen leader never answers, and
 * is replaced within 2 s. */
#define PROPOSE_TIMEOUT_MS 1200
#define PROPOSE_RETRY_US (300 * USEC_PER_MSEC)

/*
 * All hosts that serve a trait with a crash clear it.  They wait for a random
 * part of this time, in which the log may have cleared it already.
 */
#define CLEAR_SPREAD_US (300 * USEC_PER_MSEC)

/* A command for the log that is not committed yet. */
struct pending {
	struct list node; /* in crash_reports::pending */
	struct crash_reports *reports;
	Mw__CrashMark *mark; /* NULL: a clear */
	char *cleared_trait;
	int64_t due_us; /* of the next proposal */
	bool proposed;	/* a proposal is open */
};

struct crash_reports {
	struct fwd *fwd;
	struct list pending; /* oldest first */
	size_t n_pending;
};

static void pending_free(struct pending *p)
{
	list_del(&p->node);
	p->reports->n_pending--;
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
	p->proposed =
		control_link_propose(p->reports->fwd, &cmd, PROPOSE_TIMEOUT_MS,
				     on_proposed, p) == 0;
	p->due_us = now + PROPOSE_RETRY_US;
}

void crash_reports_tick(struct crash_reports *c, const struct blame *blame,
			int64_t now)
{
	struct pending *p, *tmp;

	list_for_each_entry_safe (p, tmp, &c->pending, node) {
		if (p->proposed || now < p->due_us)
			continue;
		if (p->mark || blame_is_in_log(blame, p->cleared_trait))
			propose(p, now);
		else
			pending_free(p);
	}
}

static void drop_oldest(struct crash_reports *c)
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
static void add_pending(struct crash_reports *c, Mw__CrashMark *mark,
			const char *trait, int64_t due_us)
{
	if (c->n_pending >= CRASH_REPORTS_MAX)
		drop_oldest(c);
	struct pending *p = g_new0(struct pending, 1);
	p->reports = c;
	p->mark = mark;
	p->cleared_trait = g_strdup(trait);
	p->due_us = due_us;
	list_add_tail(&c->pending, &p->node);
	c->n_pending++;
}

void crash_reports_add_mark(struct crash_reports *c, const Mw__CrashMark *mark,
			    int64_t now)
{
	add_pending(c, pb_copy(&mark->base), NULL, now);
}

void crash_reports_add_clear(struct crash_reports *c, const char *trait,
			     int64_t now)
{
	int64_t wait_us =
		(int64_t)(g_rand_double(c->fwd->rand) * CLEAR_SPREAD_US);

	add_pending(c, NULL, trait, now + wait_us);
}

struct crash_reports *crash_reports_new(struct fwd *f)
{
	struct crash_reports *c = g_new0(struct crash_reports, 1);

	c->fwd = f;
	list_init(&c->pending);
	return c;
}

void crash_reports_free(struct crash_reports *c)
{
	while (!list_empty(&c->pending))
		pending_free(list_first(&c->pending, struct pending, node));
	g_free(c);
}
