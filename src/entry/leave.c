#include "entry/leave.h"

#include "base/clock.h"
#include "base/err.h"
#include "policy/registry.h"

#define RECORD_TIMEOUT_MS 1500

/* A leave that waits for the log and for a confirmation of another process. */
struct leave_call {
	struct entry *entry;
	unsigned int open; /* calls back that are still to come */
	int forward_err;
	void (*fn)(int err, void *ctx); /* NULL once called */
	void *ctx;
};

static void answer(struct leave_call *c, int err)
{
	if (c->fn)
		c->fn(err, c->ctx);
	c->fn = NULL;
}

static void call_back_done(struct leave_call *c)
{
	if (--c->open)
		return;
	/* Not recorded, or answered already. */
	bool island = entry_mode(c->entry, clock_mono_us()) == HOST_ISLAND;
	answer(c, island ? c->forward_err : -MW_EAGAIN);
	g_free(c);
}

static void on_forwarded(int err, void *ctx)
{
	struct leave_call *c = ctx;

	c->forward_err = err;
	call_back_done(c);
}

static void on_recorded(int err, const Mw__Result *r, void *ctx)
{
	struct leave_call *c = ctx;

	if (err == 0 && r && r->err == 0)
		answer(c, 0);
	call_back_done(c);
}

void leave_take(struct entry *e, Mw__LeaveFwd *leave,
		void (*fn)(int err, void *ctx), void *ctx)
{
	struct leave_call *c = g_new0(struct leave_call, 1);
	Mw__Command cmd = MW__COMMAND__INIT;
	Mw__EndpointInfo row = MW__ENDPOINT_INFO__INIT;

	c->entry = e;
	c->open = 2;
	c->fn = fn;
	c->ctx = ctx;
	row.id = leave->id;
	row.incarnation = leave->incarnation;
	row.seq = leave->seq;
	row.dc = leave->dc;
	row.state = (char *)REGISTRY_LEAVING;
	row.leave_deadline_ms = leave->deadline_ms;
	cmd.body_case = MW__COMMAND__BODY_DEPARTURE;
	cmd.departure = &row;
	session_forward_leave(e, leave, on_forwarded, c);
	session_propose(e, &cmd, RECORD_TIMEOUT_MS, on_recorded, c);
}
