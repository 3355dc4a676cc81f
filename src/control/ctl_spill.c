#include "control/ctl.h"

#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "control/hub_spill.h"

/*
 * Exchange with the hubs of other data centres; the decisions are in
 * hub_spill.c.  The hub of a data centre is the first connected of its control
 * processes, as for announcements.
 */

#define LOOK_US (100 * USEC_PER_MSEC)
#define ASK_TIMEOUT_MS 1000
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

static void add_dcs(struct ctl *c, const char **dcs, size_t *n, bool near)
{
	const char *own = region(c, c->conf->dc);

	for (size_t i = 0; i < c->conf->control_nr && *n < DCS_MAX; i++) {
		const char *dc = c->conf->controls[i].dc;
		bool known = !strcmp(dc, c->conf->dc);

		for (size_t k = 0; k < *n; k++)
			known |= !strcmp(dcs[k], dc);
		if (!known && near == (*own && !strcmp(region(c, dc), own)))
			dcs[(*n)++] = dc;
	}
}

struct ask {
	struct ctl *ctl;
	char dc[64];
};

static void on_loan(int err, const Mw__Frame *reply, void *ctx)
{
	struct ask *a = ctx;

	if (err == 0 && reply->body_case == MW__FRAME__BODY_SPILL_LOAN)
		hub_spill_apply_loan(a->ctl->hub, clock_mono_us(), a->dc,
				     reply->spill_loan);
	g_free(a);
}

static void send_ask(struct ctl *c, int64_t now, const char **dcs, size_t i)
{
	struct peer *p = ctl_dc_peer(c, dcs[i]);
	Mw__Frame f = MW__FRAME__INIT;

	if (!p)
		return;
	Mw__SpillAsk *ask = hub_spill_make_ask(c->hub, now, dcs[i], dcs, i);
	if (!ask)
		return;
	struct ask *a = g_new0(struct ask, 1);
	a->ctl = c;
	g_strlcpy(a->dc, dcs[i], sizeof(a->dc));
	f.body_case = MW__FRAME__BODY_SPILL_ASK;
	f.spill_ask = ask;
	if (peer_call(p, &f, ASK_TIMEOUT_MS, on_loan, a) < 0)
		g_free(a);
	mw__spill_ask__free_unpacked(ask, NULL);
}

void ctl_spill_tick(struct ctl *c, int64_t now)
{
	const struct dc_cfg *dc = tree_dc_settings(sm_tree(c->sm), c->conf->dc);
	const char *dcs[DCS_MAX];
	size_t n = 0;

	if (now - c->spill_us < LOOK_US)
		return;
	c->spill_us = now;
	hub_set_lend_percent(c->hub, (unsigned)dc->spill_lend_percent);
	add_dcs(c, dcs, &n, true);
	add_dcs(c, dcs, &n, false);
	for (size_t i = 0; i < n; i++)
		send_ask(c, now, dcs, i);
}

void ctl_spill_serve(struct ctl *c, struct peer *from, const Mw__Frame *f,
		     int64_t now)
{
	Mw__Frame reply = MW__FRAME__INIT;
	Mw__SpillLoan *loan;

	/* A process speaks for its own data centre only. */
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
