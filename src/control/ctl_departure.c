#include "control/ctl_departure.h"

#include "base/clock.h"
#include "base/err.h"
#include "control/ctl_feed.h"
#include "obs/counter.h"
#include "obs/slog.h"
#include "state/pb.h"

/* Interval at which a call that found no leader looks for one again. */
#define RETRY_INTERVAL_US (50 * USEC_PER_MSEC)

/* A leave that waits for its commit. */
struct departure_call {
	struct list node; /* in ctl::departures */
	struct ctl *ctl;
	Mw__EndpointInfo *info;
	int64_t arrived_us;
	int64_t next_try_us;
	bool open;     /* a proposal is pending, here or at the leader */
	bool answered; /* only the outcome of the proposal is still to come */
	ctl_departure_fn fn;
	void *ctx;
};

static void call_free(struct departure_call *call)
{
	list_del(&call->node);
	mw__endpoint_info__free_unpacked(call->info, NULL);
	g_free(call);
}

static void call_answer(struct departure_call *call, int err)
{
	struct slog l = slog_begin("departure");

	slog_str(&l, "endpoint", call->info->id);
	slog_int(&l, "endpoint_incarnation", (int64_t)call->info->incarnation);
	slog_int(&l, "seq", (int64_t)call->info->seq);
	slog_str(&l, "outcome", err < 0 ? "not_recorded" : "recorded");
	slog_int(&l, "age_us", clock_mono_us() - call->arrived_us);
	slog_end(&l);
	counter_add(C_DEPARTURES, err < 0 ? "not_recorded" : "recorded", 1);
	call->answered = true;
	call->fn(err, call->ctx);
}

static void on_outcome(struct departure_call *call, int err,
		       const Mw__Result *r)
{
	bool recorded = err == 0 && r && r->err == 0;

	call->open = false;
	if (call->answered) {
		call_free(call);
	} else if (recorded) {
		call_answer(call, 0);
		call_free(call);
	} else {
		/* Also after an unknown outcome: recording is idempotent. */
		call->next_try_us = clock_mono_us() + RETRY_INTERVAL_US;
	}
}

static void on_applied(int err, const Mw__Result *r, void *ctx)
{
	on_outcome(ctx, err, r);
}

static void on_leader_reply(int err, const Mw__Frame *reply, void *ctx)
{
	if (err == 0 && reply->body_case == MW__FRAME__BODY_PROPOSE_RESULT)
		on_outcome(ctx, reply->propose_result->err,
			   reply->propose_result->result);
	else
		on_outcome(ctx, err < 0 ? err : -MW_EINTERNAL, NULL);
}

static void call_try(struct departure_call *call, int64_t now)
{
	struct ctl *c = call->ctl;
	int64_t left_us = call->arrived_us + CTL_DEPARTURE_WAIT_US - now;
	Mw__Command cmd = MW__COMMAND__INIT;
	Mw__Propose propose = MW__PROPOSE__INIT;
	Mw__Frame frame = MW__FRAME__INIT;
	struct peer *leader;

	cmd.body_case = MW__COMMAND__BODY_DEPARTURE;
	cmd.departure = call->info;
	call->next_try_us = now + RETRY_INTERVAL_US;
	call->open = true;
	if (ctl_is_leader(c, now)) {
		ctl_propose(c, &cmd, on_applied, call);
		return;
	}
	propose.command = &cmd;
	frame.body_case = MW__FRAME__BODY_PROPOSE;
	frame.propose = &propose;
	leader = c->leading ? NULL : ctl_leader_peer(c);
	if (!leader ||
	    peer_call(leader, &frame, (int)(left_us / USEC_PER_MSEC) + 1,
		      on_leader_reply, call) < 0)
		call->open = false;
}

/* Whether this leave, or a newer one of the endpoint, is committed. */
static bool is_recorded(const struct ctl *c, const struct registry_row *row)
{
	const Mw__EndpointInfo *info =
		departure_find(sm_departures(c->sm), row->info->id);

	if (!info || info->incarnation != row->info->incarnation)
		return info && info->incarnation > row->info->incarnation;
	return info->seq >= row->leaving_seq;
}

void ctl_departure_record(struct ctl *c, const struct registry_row *row,
			  int64_t now, ctl_departure_fn fn, void *ctx)
{
	struct departure_call *call;

	if (is_recorded(c, row)) {
		fn(0, ctx);
		return;
	}
	call = g_new0(struct departure_call, 1);
	call->ctl = c;
	call->info = pb_copy(&row->info->base);
	call->arrived_us = now;
	call->fn = fn;
	call->ctx = ctx;
	list_add_tail(&c->departures, &call->node);
	call_try(call, now);
}

void ctl_departure_applied(struct ctl *c, const Mw__EndpointInfo *info)
{
	if (c->iface)
		ctl_feed_merge_departure(c->feed, info);
	else
		ctl_hub_departed(c, info);
}

static void load_one(const Mw__SnapDeparture *rec, void *arg)
{
	ctl_departure_applied(arg, rec->info);
}

void ctl_departure_load(struct ctl *c)
{
	departures_for_each(sm_departures(c->sm), load_one, c);
}

void ctl_departure_tick(struct ctl *c, int64_t now)
{
	struct departure_call *call, *tmp;

	list_for_each_entry_safe (call, tmp, &c->departures, node) {
		if (!call->answered &&
		    now - call->arrived_us >= CTL_DEPARTURE_WAIT_US)
			call_answer(call, -MW_EAGAIN);
		if (call->open)
			continue;
		if (call->answered)
			call_free(call);
		else if (now >= call->next_try_us)
			call_try(call, now);
	}
}

void ctl_departure_stop(struct ctl *c)
{
	struct departure_call *call, *tmp;

	list_for_each_entry_safe (call, tmp, &c->departures, node) {
		if (!call->answered)
			call_answer(call, -MW_EAGAIN);
		call_free(call);
	}
}
