#include "entry/entry.h"

#include <string.h>

#include "base/clock.h"
#include "policy/registry.h"

/*
 * Which of several endpoints that announce one address holds it
 * (policy/owner.h), on an entry host.  The server at the address is asked by a
 * probe; the hub gets the outcome as a leave, and passes it on to all hosts.
 */

/* The longest round trip is 24 ms; a probe may wait for a slot. */
#define ASK_CONNECT_TIMEOUT_MS 300
#define ASK_TIMEOUT_MS 600
#define ASK_BODY_MAX_BYTES 65536

/* Open questions of one host; as many endpoints may be replaced at once. */
#define ASKED_MAX 16

struct question {
	struct entry *entry;
	char id[EP_ID_CHARS + 1];
	uint64_t incarnation;
	int64_t asked_us;
	struct buf body;
	int status;
};

static bool is_live(const struct endpoint *ep)
{
	if (!strcmp(ep->state, "dead") || ep->owner.replaced)
		return false;
	/* One that refused a connection may still announce itself. */
	return ep->unreachable || (strcmp(ep->state, REGISTRY_STALE) != 0 &&
				   strcmp(ep->state, "suspect") != 0);
}

void view_settle_address(struct entry *e, const char *addr, int64_t now)
{
	g_autoptr(GPtrArray) claims = g_ptr_array_new();
	GHashTableIter iter;
	struct endpoint *ep;

	g_hash_table_iter_init(&iter, e->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep)) {
		if (strcmp(ep->addr, addr) != 0)
			continue;
		ep->owner.incarnation = ep->incarnation;
		ep->owner.live = is_live(ep);
		g_ptr_array_add(claims, &ep->owner);
	}
	owner_settle((struct owner_claim *const *)claims->pdata, claims->len);
	for (guint i = 0; i < claims->len; i++) {
		ep = list_entry(claims->pdata[i], struct endpoint, owner);
		if (ep->owner.contested && !ep->contested)
			owner_pace_claim(&ep->owner_pace,
					 g_rand_double(e->rand), now);
		ep->contested = ep->owner.contested;
		if (ep->owner.claims && !ep->claims)
			entry_event(e, EV_KIND_ENDPOINT_STATE, NULL, NULL,
				    ep->id, "claims %s, no new work", ep->addr);
		ep->claims = ep->owner.claims;
	}
}

static void on_leave_sent(int err, void *ctx)
{
	/* Each host asks; the hub needs one of them. */
	(void)err;
	(void)ctx;
}

static void replace(struct endpoint *ep, int64_t now)
{
	Mw__LeaveFwd leave = MW__LEAVE_FWD__INIT;
	struct entry *e = ep->entry;

	leave.id = ep->id;
	leave.incarnation = ep->incarnation;
	leave.dc = ep->dc;
	leave.deadline_ms = REGISTRY_LEFT_DEADLINE_MS;
	view_mark_replaced(e, ep->id, ep->incarnation, now);
	session_forward_leave(e, &leave, on_leave_sent, NULL);
}

/* An answer says nothing about claims that arrived after the question. */
static void void_claims(const struct question *q, const char *addr, int64_t now)
{
	g_autoptr(GPtrArray) claims = g_ptr_array_new();
	GHashTableIter iter;
	struct endpoint *ep;

	g_hash_table_iter_init(&iter, q->entry->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep))
		if (ep->owner.claims && !strcmp(ep->addr, addr) &&
		    ep->updated_us <= q->asked_us)
			g_ptr_array_add(claims, ep);
	for (guint i = 0; i < claims->len; i++)
		replace(claims->pdata[i], now);
}

static void on_headers(void *arg, struct fetch *f, int status)
{
	struct question *q = arg;

	(void)f;
	q->status = status;
}

static void on_data(void *arg, struct fetch *f, const char *bytes, size_t n)
{
	struct question *q = arg;

	(void)f;
	buf_add(&q->body, bytes, n);
}

static enum owner_answer read_answer(const struct question *q,
				     const struct fetch_result *res)
{
	Mw__EndpointInfo info;

	if (res->err != FETCH_OK || q->status != 200 ||
	    q->entry->ep_ops->parse_announce(buf_head(&q->body),
					     buf_unread(&q->body), &info) != 0)
		return OWNER_NO_ANSWER;
	enum owner_answer answer = owner_judge(q->id, info.id, false);
	ep_info_release(&info);
	return answer;
}

static void on_done(void *arg, struct fetch *f, const struct fetch_result *res)
{
	static const char *const meanings[] = {"no answer that tells",
					       "the server is still this one",
					       "the server is another one"};
	struct question *q = arg;
	struct endpoint *ep = view_find(q->entry, q->id);
	enum owner_answer answer = read_answer(q, res);
	int64_t now = clock_mono_us();

	(void)f;
	entry_event(q->entry, EV_KIND_ENDPOINT_STATE, NULL, NULL, q->id,
		    "asked who holds its address: %s", meanings[answer]);
	q->entry->n_owner_asked--;
	if (ep) {
		ep->owner_asked = false;
		owner_pace_asked(&ep->owner_pace, answer, now);
	}
	if (ep && ep->incarnation == q->incarnation) {
		if (answer == OWNER_IS_HOLDER)
			void_claims(q, ep->addr, now);
		else if (answer == OWNER_IS_OTHER)
			replace(ep, now);
	}
	buf_release(&q->body);
	g_free(q);
}

static void ask(struct endpoint *ep, int64_t now)
{
	static const struct fetch_ops ops = {
		.headers = on_headers, .data = on_data, .done = on_done};
	struct entry *e = ep->entry;
	struct question *q = g_new0(struct question, 1);
	struct ep_request req;

	q->entry = e;
	g_strlcpy(q->id, ep->id, sizeof(q->id));
	q->incarnation = ep->incarnation;
	q->asked_us = now;
	e->ep_ops->probe(&req);
	g_autofree char *url = g_strdup_printf("%s%s", ep->addr, req.path);
	struct fetch_spec spec = {.method = req.method,
				  .url = url,
				  .connect_timeout_ms = ASK_CONNECT_TIMEOUT_MS,
				  .timeout_ms = ASK_TIMEOUT_MS,
				  .body_max = ASK_BODY_MAX_BYTES,
				  .flags = FETCH_NEW_CONNECTION};
	ep->owner_asked = true;
	e->n_owner_asked++;
	fetch_start(e->fetcher, &spec, &ops, q);
	buf_release(&req.body);
}

void view_ask_owners(struct entry *e, int64_t now)
{
	GHashTableIter iter;
	struct endpoint *ep;

	g_hash_table_iter_init(&iter, e->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep))
		if (ep->owner.contested && ep->owner.holds &&
		    !ep->owner_asked && now >= ep->owner_pace.due_us &&
		    e->n_owner_asked < ASKED_MAX &&
		    !remote_owns_endpoint(e, ep))
			ask(ep, now);
}
