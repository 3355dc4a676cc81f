#include "control/ctl.h"

#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "control/hub_spill.h"

/*
 * Sends loan requests to the hubs of other data centres and answers theirs; the
 * decisions are in hub_spill.h.  The hub of a data centre is the first
 * connected one of its control processes, as for announcements.
 */

#define REQUEST_INTERVAL_US (100 * USEC_PER_MSEC)
#define REQUEST_TIMEOUT_MS 1000
#define DCS_MAX 16

struct peer *ctl_dc_peer(struct ctl *c, const char *dc)
{
	for (size_t i = 0; i < c->conf->control_nr; i++) {
		const struct conf_control *ctl = &c->conf->controls[i];
		struct peer *p = peer_find(c->peers, ctl->host);
		if (p && !strcmp(ctl->dc, dc))
			return p;
	}
	return NULL;
}

static const char *region(struct ctl *c, const char *dc)
{
	return tree_dc_settings(sm_tree(c->sm), dc)->region;
}

/*
 * Adds the other data centres to the list, either those in the region of this
 * one or those outside it.  If this one has no region, all count as outside.
 */
static void add_dcs(struct ctl *c, const char **dcs, size_t *n,
		    bool same_region)
{
	const char *own = region(c, c->conf->dc);

	for (size_t i = 0; i < c->conf->control_nr && *n < DCS_MAX; i++) {
		const char *dc = c->conf->controls[i].dc;
		bool listed = !strcmp(dc, c->conf->dc);

		for (size_t k = 0; k < *n; k++)
			listed |= !strcmp(dcs[k], dc);
		if (!listed &&
		    same_region == (*own && !strcmp(region(c, dc), own)))
			dcs[(*n)++] = dc;
	}
}

/* An open loan request. */
struct loan_request {
	struct ctl *ctl;
	char dc[64];
};

static void on_loan_reply(int err, const Mw__Frame *reply, void *ctx)
{
	struct loan_request *req = ctx;

	if (err == 0 && reply->body_case == MW__FRAME__BODY_SPILL_LOAN)
		hub_spill_apply_loan(req->ctl->hub, clock_mono_us(), req->dc,
				     reply->spill_loan);
	g_free(req);
}

static void send_loan_request(struct ctl *c, int64_t now, const char **dcs,
			      size_t i)
{
	struct peer *p = ctl_dc_peer(c, dcs[i]);
	Mw__Frame f = MW__FRAME__INIT;

	if (!p)
		return;
	Mw__SpillAsk *ask = hub_spill_make_ask(c->hub, now, dcs[i], dcs, i);
	if (!ask)
		return;
	struct loan_request *req = g_new0(struct loan_request, 1);
	req->ctl = c;
	g_strlcpy(req->dc, dcs[i], sizeof(req->dc));
	f.body_case = MW__FRAME__BODY_SPILL_ASK;
	f.spill_ask = ask;
	if (peer_call(p, &f, REQUEST_TIMEOUT_MS, on_loan_reply, req) < 0)
		g_free(req);
	mw__spill_ask__free_unpacked(ask, NULL);
}

void ctl_spill_tick(struct ctl *c, int64_t now)
{
	const struct dc_cfg *dc = tree_dc_settings(sm_tree(c->sm), c->conf->dc);
	const char *dcs[DCS_MAX];
	size_t n = 0;

	if (now - c->last_spill_us < REQUEST_INTERVAL_US)
		return;
	c->last_spill_us = now;
	hub_set_lend_percent(c->hub, (unsigned)dc->spill_lend_percent);
	/* Data centres in the same region come first. */
	add_dcs(c, dcs, &n, true);
	add_dcs(c, dcs, &n, false);
	for (size_t i = 0; i < n; i++)
		send_loan_request(c, now, dcs, i);
}

void ctl_spill_serve(struct ctl *c, struct peer *from, const Mw__Frame *f,
		     int64_t now)
{
	Mw__Frame reply = MW__FRAME__INIT;
	Mw__SpillLoan *loan;

	/* A process may request loans for its own data centre only. */
	if (strcmp(peer_hello(from)->dc, f->spill_ask->dc) != 0)
		return;
	loan = hub_spill_answer_ask(c->hub, now, f->spill_ask);
	if (!loan)
		return;
	reply.body_case = MW__FRAME__BODY_SPILL_LOAN;
	reply.spill_loan = loan;
	peer_reply(c->peers, peer_rpc(from, f), &reply);
	mw__spill_loan__free_unpacked(loan, NULL);
}
