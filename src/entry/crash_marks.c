#include "entry/crash_marks.h"

#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "policy/suspect.h"
#include "state/pb.h"

#define PROPOSE_TIMEOUT_MS 5000
#define PROPOSE_RETRY_INTERVAL_US USEC_PER_SEC

/* A mark that is not committed yet. */
struct pending_mark {
	struct list node;
	struct entry *e;
	Mw__CrashMark *msg;
	int64_t next_attempt_us; /* earliest time of the next proposal */
	bool proposed;		 /* a proposal is in flight */
};

static void pending_mark_free(struct pending_mark *m)
{
	list_del(&m->node);
	m->e->n_pending_marks--;
	mw__crash_mark__free_unpacked(m->msg, NULL);
	g_free(m);
}

static void on_result(int err, const Mw__Result *r, void *ctx)
{
	struct pending_mark *m = ctx;

	m->proposed = false;
	/* Counted once for each incarnation, so a second proposal is safe. */
	if (err == 0 && r)
		pending_mark_free(m);
	else
		m->next_attempt_us =
			clock_mono_us() + PROPOSE_RETRY_INTERVAL_US;
}

static void propose(struct pending_mark *m)
{
	Mw__Command cmd = MW__COMMAND__INIT;

	cmd.body_case = MW__COMMAND__BODY_CRASH_MARK;
	cmd.crash_mark = m->msg;
	m->proposed = true;
	session_propose(m->e, &cmd, PROPOSE_TIMEOUT_MS, on_result, m);
}

static void drop_oldest(struct entry *e)
{
	struct pending_mark *m;

	list_for_each_entry (m, &e->pending_marks, node) {
		if (m->proposed)
			continue;
		log_warn("marks",
			 "dropped the uncommitted crash mark of endpoint %s: "
			 "too many are pending",
			 m->msg->endpoint);
		pending_mark_free(m);
		return;
	}
}

static void queue(struct entry *e, const Mw__CrashMark *mark, int64_t now)
{
	struct pending_mark *m;

	if (e->n_pending_marks >= MARKS_MAX)
		drop_oldest(e);
	if (e->n_pending_marks >= MARKS_MAX)
		return;
	m = g_new0(struct pending_mark, 1);
	m->e = e;
	m->msg = pb_copy(&mark->base);
	m->next_attempt_us = now;
	list_add_tail(&e->pending_marks, &m->node);
	e->n_pending_marks++;
	propose(m);
}

void marks_report(struct request *r)
{
	struct entry *e = r->entry;
	Mw__SuspectInfo info = MW__SUSPECT_INFO__INIT;
	Mw__SuspectInfo *list[1] = {&info};
	Mw__CrashMark mark = MW__CRASH_MARK__INIT;
	int64_t now = clock_mono_us();

	suspect_record_death(e->suspects, r->fingerprint, r->account,
			     r->endpoint, r->incarnation, now);
	info.fingerprint = r->fingerprint;
	info.account = r->account;
	mark.endpoint = r->endpoint;
	mark.endpoint_incarnation = r->incarnation;
	mark.n_suspects = 1;
	mark.suspects = list;
	session_forward_crash_mark(e, NULL, &mark);
	queue(e, &mark, now);
	entry_event(e, EV_KIND_CRASH_MARK, r->id, r->account, r->endpoint,
		    "%u endpoint deaths",
		    suspect_deaths(e->suspects, r->fingerprint));
}

void marks_handle_mark(struct entry *e, struct peer *from, Mw__CrashMark *mark)
{
	int64_t now = clock_mono_us();
	bool new = false;

	for (size_t i = 0; i < mark->n_suspects; i++)
		new |= suspect_record_death(
			e->suspects, mark->suspects[i]->fingerprint,
			mark->suspects[i]->account, mark->endpoint,
			mark->endpoint_incarnation, now);
	/* Spares this host a failed request of its own to the endpoint. */
	if (new)
		view_mark_unreachable(e, mark->endpoint,
				      mark->endpoint_incarnation, now);
	/* A mark that is not new was forwarded before; this ends loops. */
	if (new && e->session.local_hub)
		session_forward_crash_mark(e, from, mark);
}

void marks_apply_grant(struct entry *e, const Mw__Grant *g)
{
	struct session *s = &e->session;

	if (g->suspect_version <= s->suspect_version)
		return;
	s->suspect_version = g->suspect_version;
	suspect_snapshot_begin(e->suspects);
	for (size_t i = 0; i < g->n_suspects; i++) {
		const Mw__SuspectInfo *si = g->suspects[i];

		suspect_add_from_log(e->suspects, si->fingerprint, si->account,
				     si->deaths, si->endpoint,
				     si->endpoint_incarnation, clock_mono_us());
	}
	suspect_snapshot_end(e->suspects);
}

void marks_tick(struct entry *e, int64_t now)
{
	struct pending_mark *m, *tmp;

	list_for_each_entry_safe (m, tmp, &e->pending_marks, node)
		if (!m->proposed && now >= m->next_attempt_us)
			propose(m);
}

void marks_release(struct entry *e)
{
	while (!list_empty(&e->pending_marks))
		pending_mark_free(list_first(&e->pending_marks,
					     struct pending_mark, node));
}
