#include "entry/entry.h"
#include "entry/work_stats.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "obs/stats.h"
#include "policy/pause.h"
#include "policy/registry.h"

/*
 * Table of the endpoints that this host knows, from the hub's registry, from
 * announcements that this host receives and from probes.  It keeps the newest
 * row of each endpoint; the routing and credit modules keep the values that
 * they need themselves.
 */

#define PROBE_INTERVAL_US USEC_PER_SEC
#define PROBE_TIMEOUT_MS 1000
/* Far more than an announcement. */
#define PROBE_BODY_MAX_BYTES 65536

/*
 * Time for which an endpoint that refused a connection gets no work, whatever
 * its state in the registry: the hub needs as long to mark it as stale.
 */
#define UNREACHABLE_US (3 * USEC_PER_SEC)

static void endpoint_free(void *p)
{
	struct endpoint *ep = p;

	if (ep->info)
		mw__endpoint_info__free_unpacked(ep->info, NULL);
	g_free(ep);
}

void view_init(struct entry *e)
{
	e->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     endpoint_free);
}

void view_release(struct entry *e)
{
	g_hash_table_destroy(e->endpoints);
}

struct endpoint *view_find(struct entry *e, const char *id)
{
	return g_hash_table_lookup(e->endpoints, id);
}

static Mw__EndpointInfo *copy_info(const Mw__EndpointInfo *info)
{
	size_t len = mw__endpoint_info__get_packed_size(info);
	g_autofree uint8_t *bytes = g_malloc(len + 1);

	mw__endpoint_info__pack(info, bytes);
	return mw__endpoint_info__unpack(NULL, len, bytes);
}

static enum route_state route_state_of(const char *state)
{
	static const struct {
		const char *name;
		enum route_state state;
	} states[] = {
		{"serving", ROUTE_SERVING}, {"loading", ROUTE_LOADING},
		{"leaving", ROUTE_LEAVING}, {"suspect", ROUTE_SUSPECT},
		{"stale", ROUTE_STALE},	    {"dead", ROUTE_DEAD},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(states); i++)
		if (!strcmp(states[i].name, state))
			return states[i].state;
	return ROUTE_SUSPECT;
}

/* Whether a row is older than the one in the table. */
static bool is_older(const struct endpoint *ep, const Mw__EndpointInfo *info)
{
	if (info->incarnation != ep->incarnation)
		return info->incarnation < ep->incarnation;
	return info->seq < ep->info->seq;
}

static void update_policy(struct entry *e, const struct endpoint *ep,
			  int64_t now)
{
	const Mw__EndpointInfo *i = ep->info;
	struct route_ep_info row = {
		.id = ep->id,
		.incarnation = ep->incarnation,
		.addr = ep->addr,
		.dc = ep->dc,
		.models = (const char *const *)i->models,
		.n_models = i->n_models,
		.state = route_state_of(ep->state),
		.blocks = i->blocks,
		.block_tokens = i->block_tokens,
		.max_batch = i->max_batch,
		.model_version = i->model_version,
		.remote = remote_owns_endpoint(e, ep),
	};
	struct route_ep *route_ep = route_upsert_endpoint(e->route, &row, now);
	if (!i->blocks)
		return;
	struct credit_ep_info c = {
		.id = ep->id,
		.incarnation = ep->incarnation,
		.blocks = i->blocks,
		.block_tokens = i->block_tokens,
		.max_batch = i->max_batch,
		.model_version = i->model_version,
		.loading = row.state == ROUTE_LOADING,
	};
	struct credit_ep *credit_ep = credit_set_endpoint(e->credit, &c, now);
	credit_set_remote(credit_ep, row.remote);
	route_set_credit(route_ep, credit_ep);
}

/* Describes the effect of a state on new work, for the time line. */
static const char *state_meaning(const char *state)
{
	static const struct {
		const char *state, *meaning;
	} meanings[] = {
		{"serving", "it takes new work"},
		{"loading", "it loads a model and takes no new work"},
		{"leaving",
		 "it finishes its running requests and takes no new work"},
		{"stale", "no report for 3 s, no new work without a probe"},
		{"suspect", "no report for 6 s, no new work"},
		{"claims", "another endpoint holds its address, no new work"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(meanings); i++)
		if (!strcmp(meanings[i].state, state))
			return meanings[i].meaning;
	return "unknown state";
}

static void send_state_event(struct entry *e, const struct endpoint *ep)
{
	entry_event(e, EV_KIND_ENDPOINT_STATE, NULL, NULL, ep->id, "%s, %s",
		    ep->state, state_meaning(ep->state));
}

static bool is_silent(const char *state)
{
	return !strcmp(state, "stale") || !strcmp(state, "suspect");
}

static void set_state(struct endpoint *ep, const char *state, int64_t now)
{
	/* From stale to suspect the time runs on: both mean no report. */
	if (!is_silent(ep->state) || !is_silent(state))
		ep->state_us = now;
	g_strlcpy(ep->state, state, sizeof(ep->state));
}

/*
 * Removes a dead endpoint.  If it left by request, it does not count among the
 * lost endpoints of the status answers.
 */
static void remove_dead(struct entry *e, struct endpoint *ep, bool has_left,
			int64_t now)
{
	if (!has_left)
		work_add_lost_endpoint(e->work, ep->id, now);
	entry_event(e, EV_KIND_ENDPOINT_DEAD, NULL, NULL, ep->id, "%s",
		    has_left ? "it has left"
			     : "no report for 20 s; its requests were ended or "
			       "retried on other endpoints");
	g_autofree char *addr = g_strdup(ep->addr);
	g_hash_table_remove(e->endpoints, ep->id);
	view_settle_address(e, addr, now);
}

/* Notes whether a row says that another server answered at the address. */
static void apply_replaced(struct endpoint *ep, const Mw__EndpointInfo *info)
{
	if (info->leave_deadline_ms == REGISTRY_LEFT_DEADLINE_MS)
		ep->owner.replaced = true;
}

/* Applies a registry row without an address, which changes only the state. */
static void apply_state(struct entry *e, struct endpoint *ep,
			const Mw__EndpointInfo *info, int64_t now)
{
	if (info->incarnation != ep->incarnation)
		return;
	if (!strcmp(info->state, "dead")) {
		remove_dead(e, ep, !strcmp(ep->state, "leaving"), now);
		return;
	}
	apply_replaced(ep, info);
	if (strcmp(ep->state, "leaving") != 0 &&
	    strcmp(ep->state, info->state) != 0) {
		set_state(ep, info->state, now);
		send_state_event(e, ep);
	}
	view_settle_address(e, ep->addr, now);
}

void view_update(struct entry *e, const Mw__EndpointInfo *info, bool direct,
		 int64_t now)
{
	struct endpoint *ep = view_find(e, info->id);

	if (!ep && (!strcmp(info->state, "dead") || !*info->addr))
		return;
	if (ep && !*info->addr) {
		apply_state(e, ep, info, now);
		return;
	}
	if (!ep) {
		ep = g_new0(struct endpoint, 1);
		ep->entry = e;
		g_strlcpy(ep->id, info->id, sizeof(ep->id));
		g_hash_table_insert(e->endpoints, ep->id, ep);
		work_remove_lost_endpoint(e->work, ep->id);
		entry_event(e, EV_KIND_ENDPOINT_SEEN, NULL, NULL, info->id,
			    "%s at %s, incarnation %" PRIu64, info->kind,
			    info->addr, info->incarnation);
	} else if (is_older(ep, info)) {
		return;
	}
	if (info->incarnation != ep->incarnation) {
		ep->state[0] = '\0';
		ep->unreachable = false;
		ep->owner.replaced = false;
	}
	apply_replaced(ep, info);
	g_autofree char *former_addr = NULL;
	if (strcmp(ep->addr, info->addr) != 0) {
		former_addr = g_strdup(ep->addr);
		ep->owner =
			(struct owner_claim){.replaced = ep->owner.replaced};
	}
	/* An incarnation that is leaving can only become dead. */
	bool has_left = !strcmp(ep->state, "leaving");
	bool leaving = has_left && strcmp(info->state, "dead") != 0;
	Mw__EndpointInfo *old = ep->info;
	ep->info = copy_info(info);
	if (old)
		mw__endpoint_info__free_unpacked(old, NULL);
	ep->incarnation = info->incarnation;
	ep->updated_us = now;
	g_strlcpy(ep->dc, info->dc, sizeof(ep->dc));
	g_strlcpy(ep->addr, info->addr, sizeof(ep->addr));
	g_strlcpy(ep->kind, info->kind, sizeof(ep->kind));
	if (!leaving && strcmp(ep->state, info->state) != 0) {
		set_state(ep, info->state, now);
		send_state_event(e, ep);
	}
	if (direct)
		ep->unreachable = false;
	if (former_addr && *former_addr)
		view_settle_address(e, former_addr, now);
	if (!ep->owner.live || !ep->owner.holds || ep->owner.contested ||
	    is_silent(ep->state))
		view_settle_address(e, ep->addr, now);
	if (!direct) {
		/* hub_client_apply_grant() has updated route and credit. */
		if (!strcmp(ep->state, "dead"))
			remove_dead(e, ep, has_left, now);
		return;
	}
	update_policy(e, ep, now);
	struct route_ep *route_ep = route_find_endpoint(e->route, ep->id);
	if (!route_ep)
		return;
	struct route_load load = {.running = info->running,
				  .waiting = info->waiting,
				  .blocks_used = info->blocks_used,
				  .blocks = info->blocks};
	route_set_observed_state(route_ep, ep->incarnation,
				 route_state_of(ep->state), now);
	route_load_report(e->route, route_ep, &load, now);
	entry_pump_soon(e);
}

void view_mark_leaving(struct entry *e, const char *id, uint64_t incarnation,
		       int64_t now)
{
	struct endpoint *ep = view_find(e, id);

	if (!ep || ep->incarnation != incarnation ||
	    !strcmp(ep->state, "leaving"))
		return;
	set_state(ep, "leaving", now);
	send_state_event(e, ep);
	struct route_ep *route_ep = route_find_endpoint(e->route, id);
	if (route_ep)
		route_set_observed_state(route_ep, incarnation, ROUTE_LEAVING,
					 now);
}

void view_mark_replaced(struct entry *e, const char *id, uint64_t incarnation,
			int64_t now)
{
	struct endpoint *ep = view_find(e, id);

	if (!ep || ep->incarnation != incarnation || ep->owner.replaced)
		return;
	ep->owner.replaced = true;
	view_mark_leaving(e, id, incarnation, now);
	view_settle_address(e, ep->addr, now);
	entry_pump_soon(e);
}

const char *view_state(const struct endpoint *ep)
{
	return ep->owner.claims ? REGISTRY_CLAIMS : ep->state;
}

bool view_may_use(const struct endpoint *ep)
{
	return !ep->unreachable && !ep->owner.claims && !ep->owner.replaced;
}

void view_apply_pause(struct entry *e, const char *id, uint64_t incarnation,
		      int status, const char *retry_after, int64_t now)
{
	struct endpoint *ep = view_find(e, id);
	struct route_ep *route_ep = route_find_endpoint(e->route, id);
	int64_t asked_us;

	if ((status != 503 && status != 429) || !retry_after || !ep ||
	    ep->incarnation != incarnation || !route_ep)
		return;
	if (!pause_parse(retry_after, &asked_us)) {
		entry_event(e, EV_KIND_ENDPOINT_STATE, NULL, NULL, id,
			    "unreadable Retry-After with status %d", status);
		return;
	}
	route_pause(route_ep, asked_us, now);
	entry_event(e, EV_KIND_ENDPOINT_STATE, NULL, NULL, id,
		    "status %d, no new work for %" PRId64 " ms", status,
		    asked_us / USEC_PER_MSEC);
}

void view_mark_unreachable(struct entry *e, const char *id,
			   uint64_t incarnation, int64_t now)
{
	struct endpoint *ep = view_find(e, id);

	if (!ep || ep->incarnation != incarnation)
		return;
	ep->unreachable = true;
	ep->unreachable_us = now;
	struct route_ep *route_ep = route_find_endpoint(e->route, id);
	if (route_ep)
		route_set_observed_state(route_ep, incarnation, ROUTE_SUSPECT,
					 now);
	if (strcmp(ep->state, "suspect") != 0 &&
	    strcmp(ep->state, "leaving") != 0) {
		set_state(ep, "suspect", now);
		entry_event(e, EV_KIND_ENDPOINT_STATE, NULL, NULL, id,
			    "suspect, it refuses connections, no new work");
	}
}

int view_compare_ids(const struct endpoint *a, const struct endpoint *b)
{
	return strcmp(a->id, b->id);
}

static bool serves(const struct endpoint *ep, const char *model)
{
	for (size_t i = 0; i < ep->info->n_models; i++)
		if (!strcmp(ep->info->models[i], model))
			return true;
	return false;
}

bool view_has_endpoint_for(struct entry *e, const char *model)
{
	GHashTableIter iter;
	struct endpoint *ep;

	g_hash_table_iter_init(&iter, e->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep)) {
		if (strcmp(ep->state, "dead") != 0 &&
		    !remote_owns_endpoint(e, ep) && serves(ep, model))
			return true;
	}
	return false;
}

bool view_all_evacuated(struct entry *e, const char *model)
{
	int64_t now = clock_mono_us();
	GHashTableIter iter;
	struct endpoint *ep;
	bool any = false;

	g_hash_table_iter_init(&iter, e->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep)) {
		if (!strcmp(ep->state, "dead") || !serves(ep, model) ||
		    (remote_owns_endpoint(e, ep) &&
		     !remote_has_loan(e, ep->id, now)))
			continue;
		if (!tree_dc_settings(e->session.cfg.tree, ep->dc)->evacuated)
			return false;
		any = true;
	}
	return any;
}

void view_apply_cache_events(struct entry *e, const char *body, size_t len)
{
	struct ep_cache_event events[EP_CACHE_EVENTS_MAX];
	char id[EP_ID_CHARS + 1];
	uint64_t incarnation;
	int n = e->ep_ops->parse_cache_events(body, len, id, &incarnation,
					      events);

	if (n < 0)
		return;
	struct route_ep *route_ep = route_find_endpoint(e->route, id);
	if (!route_ep || route_ep_incarnation(route_ep) != incarnation)
		return;
	for (int i = 0; i < n; i++) {
		if (events[i].removed)
			route_cache_removed(e->route, route_ep, events[i].seq,
					    events[i].hash);
		else
			route_cache_added(e->route, route_ep, events[i].seq,
					  events[i].hash);
	}
}

/* ---- probes ---- */

struct probe {
	struct list node; /* entry.probes */
	struct entry *entry;
	struct fetch *fetch;
	char id[EP_ID_CHARS + 1];
	struct buf body;
	int status;
};

static void probe_free(struct probe *p)
{
	list_del(&p->node);
	buf_release(&p->body);
	g_free(p);
}

static void on_probe_headers(void *arg, struct fetch *f, int status)
{
	struct probe *p = arg;

	(void)f;
	p->status = status;
}

static void on_probe_data(void *arg, struct fetch *f, const char *bytes,
			  size_t n)
{
	struct probe *p = arg;

	(void)f;
	buf_add(&p->body, bytes, n);
}

static void on_probe_done(void *arg, struct fetch *f,
			  const struct fetch_result *res)
{
	struct probe *p = arg;
	struct endpoint *ep = view_find(p->entry, p->id);
	Mw__EndpointInfo info;

	(void)f;
	if (ep)
		ep->probing = false;
	if (ep && res->err == FETCH_OK && p->status == 200 &&
	    p->entry->ep_ops->parse_announce(
		    buf_head(&p->body), buf_unread(&p->body), &info) == 0) {
		view_update(p->entry, &info, true, clock_mono_us());
		ep_info_release(&info);
	}
	probe_free(p);
}

static void send_probe(struct endpoint *ep, int64_t now)
{
	static const struct fetch_ops ops = {.headers = on_probe_headers,
					     .data = on_probe_data,
					     .done = on_probe_done};
	struct entry *e = ep->entry;
	struct probe *p = g_new0(struct probe, 1);
	struct ep_request req;
	char url[512];

	p->entry = e;
	g_strlcpy(p->id, ep->id, sizeof(p->id));
	e->ep_ops->probe(&req);
	snprintf(url, sizeof(url), "%s%s", ep->addr, req.path);
	struct fetch_spec spec = {.method = req.method,
				  .url = url,
				  .timeout_ms = PROBE_TIMEOUT_MS,
				  .body_max = PROBE_BODY_MAX_BYTES};
	ep->probing = true;
	ep->probed_us = now;
	list_add_tail(&e->probes, &p->node);
	p->fetch = fetch_start(e->fetcher, &spec, &ops, p);
	buf_release(&req.body);
}

void view_stop(struct entry *e)
{
	struct probe *p, *tmp;

	list_for_each_entry_safe (p, tmp, &e->probes, node) {
		fetch_cancel(p->fetch);
		probe_free(p);
	}
}

/* Probes endpoints that are not eligible for work by their reports. */
void view_tick(struct entry *e, int64_t now)
{
	GHashTableIter iter;
	struct endpoint *ep;

	view_ask_owners(e, now);
	g_hash_table_iter_init(&iter, e->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&ep)) {
		if (now - ep->unreachable_us > UNREACHABLE_US)
			ep->unreachable = false;
		struct route_ep *route_ep =
			route_find_endpoint(e->route, ep->id);
		if (!route_ep || ep->probing ||
		    now - ep->probed_us < PROBE_INTERVAL_US)
			continue;
		/*
		 * Traffic between data centres is billed, so only endpoints
		 * that are lent to this host are probed there.
		 */
		if (remote_owns_endpoint(e, ep) &&
		    !remote_has_loan(e, ep->id, now))
			continue;
		if (strcmp(ep->state, "leaving") != 0 &&
		    !route_eligible(route_ep, now + PROBE_INTERVAL_US))
			send_probe(ep, now);
	}
}
