#include "entry/call.h"

#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "net/status.h"
#include "obs/stats.h"
#include "state/ledger.h"

/*
 * Once-only calls.  Before a byte is sent, the ledger grants the right to send
 * the call to one attempt of one host.  The outcome is proposed to the ledger
 * before the reply to the caller.
 *
 * The outcome "not-run" is reported only after the ledger has closed the key,
 * so that a delayed copy of the call cannot run later.
 */

#define BEGIN_TIMEOUT_MS 4000
#define END_TIMEOUT_MS 4000

/*
 * While the host holds its lease, a begin that failed during a change of leader
 * is proposed again until this long after the call's arrival.  This is safe:
 * the ledger grants the same attempt again.
 */
#define BEGIN_RETRY_PERIOD_US (6 * USEC_PER_SEC)
#define BEGIN_RETRY_INTERVAL_US (200 * USEC_PER_MSEC)

/*
 * Interval of retries of a record that no leader has accepted.  They continue
 * until one does, or the key would stay "started" while this host runs.
 */
#define RECORD_RETRY_INTERVAL_US (2 * USEC_PER_SEC)

static void fill_end(struct call *c, Mw__LedgerEnd *end)
{
	end->account = c->account;
	end->key = c->key;
	end->host = c->entry->conf->host;
	end->incarnation = c->entry->incarnation;
	end->attempt = c->attempt;
}

/* Replies with the recorded answer of an earlier attempt. */
static void replay(struct call *c, const Mw__Result *r)
{
	/* Earlier versions recorded an invalid status, too. */
	if (!status_is_final((int)r->status)) {
		call_fail(c, -MW_EUNKNOWN, "unknown", NULL);
		return;
	}
	c->status = (int)r->status;
	g_free(c->answer_type);
	c->answer_type = *r->content_type ? g_strdup(r->content_type) : NULL;
	buf_release(&c->answer);
	buf_add(&c->answer, r->body.data, r->body.len);
	stats_ledger_replayed();
	call_answer(c, "ran");
}

static const char *outcome_for_error(int err)
{
	if (err == -MW_ENOTRUN)
		return "not-run";
	return "unknown";
}

static void on_begin(int err, const Mw__Result *r, void *ctx)
{
	struct call *c = ctx;

	int64_t now = clock_mono_us();
	if (err == -MW_EUNKNOWN)
		c->begin_uncertain = true;
	if ((err == -MW_EUNKNOWN || err == -MW_ENOLEADER) &&
	    now - c->arrived_us < BEGIN_RETRY_PERIOD_US &&
	    entry_mode(c->entry, now) == HOST_LEASED) {
		call_schedule(c, BEGIN_RETRY_INTERVAL_US, once_begin);
		return;
	}
	if (c->begin_uncertain &&
	    (err == -MW_EUNKNOWN || err == -MW_ENOLEADER)) {
		/* The begin may still be committed, so the key is closed. */
		once_close_key(c, "the ledger did not answer in time");
		return;
	}
	if (err == 0 && r)
		err = r->err;
	if (err < 0 || !r) {
		call_fail(c, err < 0 ? err : -MW_EINTERNAL,
			  outcome_for_error(err), NULL);
		return;
	}
	if (r->ledger_state == LEDGER_DONE) {
		replay(c, r);
		return;
	}
	if (!r->first) {
		call_fail(c, -MW_EINPROGRESS, "unknown", NULL);
		return;
	}
	/*
	 * Only this attempt may send the call.  If the host was deregistered
	 * in the meantime, the ledger has set the key to unknown; sending is
	 * still safe, since no other attempt can run.
	 */
	call_send(c);
}

void once_begin(struct call *c)
{
	Mw__Command cmd = MW__COMMAND__INIT;
	Mw__LedgerBegin b = MW__LEDGER_BEGIN__INIT;

	b.account = c->account;
	b.key = c->key;
	b.body_hash.data = c->body_hash;
	b.body_hash.len = sizeof(c->body_hash);
	b.host = c->entry->conf->host;
	b.incarnation = c->entry->incarnation;
	b.attempt = c->attempt;
	cmd.body_case = MW__COMMAND__BODY_BEGIN;
	cmd.begin = &b;
	session_propose(c->entry, &cmd, BEGIN_TIMEOUT_MS, on_begin, c);
}

static void send_end(struct call *c);

static void on_end(int err, const Mw__Result *r, void *ctx)
{
	struct call *c = ctx;

	(void)r;
	/* The outcome is final, so the reply does not wait for a retry. */
	if (c->http && c->outcome_err < 0)
		call_reply_error(c, c->outcome_err, "unknown", NULL);
	else if (c->http)
		call_reply_answer(c, "ran");
	if (err == 0) {
		call_end(c);
		return;
	}
	stats_ledger_unrecorded();
	call_schedule(c, RECORD_RETRY_INTERVAL_US, send_end);
}

static void send_end(struct call *c)
{
	Mw__Command cmd = MW__COMMAND__INIT;
	Mw__LedgerEnd end = MW__LEDGER_END__INIT;

	fill_end(c, &end);
	end.unknown = c->outcome_err < 0;
	if (!end.unknown) {
		end.status = (uint32_t)c->status;
		if (c->answer_type)
			end.content_type = c->answer_type;
		end.body.data = (uint8_t *)buf_head(&c->answer);
		end.body.len = buf_unread(&c->answer);
	}
	/* The ledger is on control processes of all regions. */
	struct residence_subject s = call_residence(c);
	if (end.body.len > LEDGER_BODY_MAX ||
	    residence_is_restricted(&s, c->entry->session.cfg.tree))
		end.body.len = 0;
	cmd.body_case = MW__COMMAND__BODY_END;
	cmd.end = &end;
	session_propose(c->entry, &cmd, END_TIMEOUT_MS, on_end, c);
}

void once_record_answer(struct call *c)
{
	send_end(c);
}

void once_record_unknown(struct call *c)
{
	c->outcome_err = -MW_EUNKNOWN;
	send_end(c);
}

static void send_close(struct call *c);

static void on_close(int err, const Mw__Result *r, void *ctx)
{
	struct call *c = ctx;
	bool closed = err == 0 && r && r->err == 0 &&
		      r->ledger_state == LEDGER_CLOSED;

	if (c->http)
		call_reply_error(c, closed ? -MW_ENOTRUN : -MW_ENOENDPOINT,
				 closed ? "not-run" : "unknown", NULL);
	if (err == 0)
		call_end(c);
	else
		call_schedule(c, RECORD_RETRY_INTERVAL_US, send_close);
}

static void send_close(struct call *c)
{
	Mw__Command cmd = MW__COMMAND__INIT;
	Mw__LedgerClose close = MW__LEDGER_CLOSE__INIT;

	close.account = c->account;
	close.key = c->key;
	close.body_hash.data = c->body_hash;
	close.body_hash.len = sizeof(c->body_hash);
	close.host = c->entry->conf->host;
	close.incarnation = c->entry->incarnation;
	close.attempt = c->attempt;
	cmd.body_case = MW__COMMAND__BODY_CLOSE;
	cmd.close = &close;
	session_propose(c->entry, &cmd, END_TIMEOUT_MS, on_close, c);
}

void once_close_key(struct call *c, const char *why)
{
	entry_event(c->entry, EV_KIND_ONCE_CLOSED, c->id, c->account,
		    c->endpoint, "%s", why);
	send_close(c);
}
