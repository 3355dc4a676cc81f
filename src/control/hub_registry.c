#include <string.h>
#include "base/err.h"
#include "control/hub_int.h"
#include "policy/registry.h"

/*
 * Endpoint registry of the hub.  A row gets a new version when a field changes
 * that hosts act on.  The load fields are left out: they change with each
 * announcement, and hosts measure the load on their own streams.
 *
 * An endpoint that claims the address of another one (policy/owner.h) has the
 * state "claims": it gets no memory and no requests.
 */

#define STALE_US INT64_C(3000000)
#define SUSPECT_US INT64_C(6000000)
#define DEAD_US INT64_C(20000000)

/* Dead rows are kept this long, to be sent to hosts in deltas. */
#define DEAD_KEEP_US INT64_C(600000000)

#define LEFT_IDS_MAX 4096 /* endpoints whose leave is remembered */
#define ID_MAX_LEN 128
#define BLOCKS_MAX (1u << 28)

void hub_ep_free(void *p)
{
	struct hub_ep *ep = p;

	list_del(&ep->version_node);
	mw__endpoint_info__free_unpacked(ep->info, NULL);
	if (ep->models)
		g_ptr_array_free(ep->models, TRUE);
	g_free(ep->cells);
	g_free(ep);
}

static Mw__EndpointInfo *copy_info(const Mw__EndpointInfo *info)
{
	size_t n = mw__endpoint_info__get_packed_size(info);
	g_autofree uint8_t *data = g_malloc(n ? n : 1);

	mw__endpoint_info__pack(info, data);
	return mw__endpoint_info__unpack(NULL, n, data);
}

/* Assigns the next registry version; `full` if more than the state changed. */
static void assign_version(struct hub *hub, struct hub_ep *ep, bool full)
{
	ep->info->version = ++hub->version;
	if (full)
		ep->full_version = ep->info->version;
	list_del(&ep->version_node);
	list_add_tail(&hub->rows_by_version, &ep->version_node);
}

/* The row's strings belong to protobuf-c, which frees them with free(). */
static void set_state(struct hub *hub, struct hub_ep *ep, const char *state)
{
	if (!strcmp(ep->info->state, state))
		return;
	if (ep->info->state != protobuf_c_empty_string)
		free(ep->info->state);
	ep->info->state = strdup(state);
	assign_version(hub, ep, false);
}

static bool equal_names(char *const *a, size_t n_a, char *const *b, size_t n_b)
{
	if (n_a != n_b)
		return false;
	for (size_t i = 0; i < n_a; i++)
		if (strcmp(a[i], b[i]) != 0)
			return false;
	return true;
}

static bool equal_rows(const Mw__EndpointInfo *a, const Mw__EndpointInfo *b)
{
	return a->incarnation == b->incarnation && !strcmp(a->addr, b->addr) &&
	       !strcmp(a->kind, b->kind) && !strcmp(a->role, b->role) &&
	       !strcmp(a->model_version, b->model_version) &&
	       a->blocks == b->blocks && a->block_tokens == b->block_tokens &&
	       a->max_batch == b->max_batch &&
	       equal_names(a->models, a->n_models, b->models, b->n_models) &&
	       equal_names(a->adapters, a->n_adapters, b->adapters,
			   b->n_adapters);
}

static bool has_left(const struct hub *hub, const char *id,
		     uint64_t incarnation)
{
	const uint64_t *inc = g_hash_table_lookup(hub->left_incarnations, id);

	return inc && incarnation <= *inc;
}

static void record_leave(struct hub *hub, const char *id, uint64_t incarnation)
{
	uint64_t *inc = g_hash_table_lookup(hub->left_incarnations, id);
	char *key;

	if (inc) {
		if (*inc < incarnation)
			*inc = incarnation;
		return;
	}
	if (hub->left_ids.length >= LEFT_IDS_MAX)
		g_hash_table_remove(hub->left_incarnations,
				    g_queue_pop_head(&hub->left_ids));
	key = g_strdup(id);
	inc = g_new(uint64_t, 1);
	*inc = incarnation;
	g_hash_table_insert(hub->left_incarnations, key, inc);
	g_queue_push_tail(&hub->left_ids, key);
}

/* The literal of a state that is announced, or NULL. */
static const char *announced_state(const char *state)
{
	static const char *const states[] = {REGISTRY_SERVING, "loading",
					     REGISTRY_LEAVING};

	for (size_t i = 0; i < G_N_ELEMENTS(states); i++)
		if (!strcmp(states[i], state))
			return states[i];
	return NULL;
}

static bool is_valid_announcement(const struct hub *hub,
				  const Mw__EndpointInfo *info)
{
	return *info->id && strlen(info->id) <= ID_MAX_LEN && *info->addr &&
	       info->blocks <= BLOCKS_MAX && !strcmp(info->dc, hub->dc) &&
	       announced_state(info->state);
}

static const char *state_at(const struct hub *hub, const struct hub_ep *ep,
			    int64_t now)
{
	int64_t silence_us = now - ep->last_announce_us;

	if (ep->dead_us)
		return "dead";
	if (ep->owner.replaced || !strcmp(ep->announced, REGISTRY_LEAVING) ||
	    has_left(hub, ep->info->id, ep->info->incarnation))
		return REGISTRY_LEAVING;
	if (silence_us >= SUSPECT_US)
		return "suspect";
	if (silence_us >= STALE_US)
		return REGISTRY_STALE;
	return ep->owner.claims ? REGISTRY_CLAIMS : ep->announced;
}

/* Decides anew who holds an address, and sets the states that follow. */
static void settle_address(struct hub *hub, const char *addr, int64_t now)
{
	g_autoptr(GPtrArray) claims = g_ptr_array_new();
	GHashTableIter iter;
	void *val;

	g_hash_table_iter_init(&iter, hub->eps);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct hub_ep *ep = val;

		if (strcmp(ep->info->addr, addr) != 0)
			continue;
		ep->owner.incarnation = ep->info->incarnation;
		ep->owner.live = !ep->dead_us && !ep->owner.replaced &&
				 now - ep->last_announce_us < STALE_US;
		g_ptr_array_add(claims, &ep->owner);
	}
	owner_settle((struct owner_claim *const *)claims->pdata, claims->len);
	for (guint i = 0; i < claims->len; i++) {
		struct hub_ep *ep =
			list_entry(claims->pdata[i], struct hub_ep, owner);

		set_state(hub, ep, state_at(hub, ep, now));
	}
}

/* Replaces the row of an endpoint that is known.  Its state stays. */
static void replace_row(struct hub *hub, struct hub_ep *ep,
			Mw__EndpointInfo *row)
{
	bool full = ep->dead_us || !equal_rows(ep->info, row);
	char *state = ep->info->state;

	row->leave_deadline_ms = ep->info->leave_deadline_ms;
	if (ep->info->incarnation != row->incarnation) {
		/* The old incarnation's memory ended with it. */
		for (size_t s = 0; s < ep->n_cells; s++)
			ep->cells[s] = (struct hub_cell){0};
		ep->committed_blocks = 0;
		row->leave_deadline_ms = 0;
		ep->owner.replaced = false;
	}
	if (strcmp(ep->info->addr, row->addr) != 0)
		ep->owner = (struct owner_claim){0};
	row->version = ep->info->version;
	ep->info->state = row->state;
	row->state = state;
	mw__endpoint_info__free_unpacked(ep->info, NULL);
	ep->info = row;
	ep->dead_us = 0;
	if (full)
		assign_version(hub, ep, true);
}

int hub_handle_announcement(struct hub *hub, int64_t now,
			    const Mw__EndpointInfo *info)
{
	struct hub_ep *ep;
	g_autofree char *former_addr = NULL;

	if (!is_valid_announcement(hub, info))
		return -MW_EINVAL;
	ep = g_hash_table_lookup(hub->eps, info->id);
	if (ep && (info->incarnation < ep->info->incarnation ||
		   (info->incarnation == ep->info->incarnation &&
		    info->seq <= ep->info->seq)))
		return -MW_ECONFLICT;

	if (!ep) {
		ep = g_new0(struct hub_ep, 1);
		ep->info = copy_info(info);
		ep->info->leave_deadline_ms = 0;
		list_init(&ep->version_node);
		g_hash_table_insert(hub->eps, g_strdup(info->id), ep);
		assign_version(hub, ep, true);
	} else {
		former_addr = g_strdup(ep->info->addr);
		replace_row(hub, ep, copy_info(info));
	}
	ep->announced = announced_state(info->state);
	ep->last_announce_us = now;
	hub_ep_set_models(hub, ep);
	if (!strcmp(ep->announced, REGISTRY_LEAVING))
		record_leave(hub, info->id, info->incarnation);
	if (former_addr && strcmp(former_addr, info->addr) != 0)
		settle_address(hub, former_addr, now);
	if (ep->owner.live && ep->owner.holds && !ep->owner.contested)
		set_state(hub, ep, state_at(hub, ep, now));
	else
		settle_address(hub, info->addr, now);
	return 0;
}

int hub_handle_leave(struct hub *hub, int64_t now, const Mw__LeaveFwd *leave)
{
	struct hub_ep *ep;

	if (!*leave->id || strlen(leave->id) > ID_MAX_LEN ||
	    strcmp(leave->dc, hub->dc) != 0)
		return -MW_EINVAL;
	/*
	 * seq is not compared: a leave that arrives after later announcements
	 * still ends its incarnation.
	 */
	record_leave(hub, leave->id, leave->incarnation);
	ep = g_hash_table_lookup(hub->eps, leave->id);
	if (!ep || ep->info->incarnation > leave->incarnation || ep->dead_us)
		return 0;
	ep->info->leave_deadline_ms = leave->deadline_ms;
	if (leave->deadline_ms == REGISTRY_LEFT_DEADLINE_MS)
		ep->owner.replaced = true;
	settle_address(hub, ep->info->addr, now);
	return 0;
}

void hub_tick(struct hub *hub, int64_t now)
{
	g_autoptr(GPtrArray) silent = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	void *val;

	g_hash_table_iter_init(&iter, hub->eps);
	while (g_hash_table_iter_next(&iter, NULL, &val)) {
		struct hub_ep *ep = val;

		if (ep->dead_us && now - ep->dead_us >= DEAD_KEEP_US) {
			if (hub->purged_version < ep->info->version)
				hub->purged_version = ep->info->version;
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (now - ep->last_announce_us >= DEAD_US && !ep->dead_us)
			ep->dead_us = now;
		if (now - ep->last_announce_us >= STALE_US && ep->owner.live)
			g_ptr_array_add(silent, g_strdup(ep->info->addr));
		set_state(hub, ep, state_at(hub, ep, now));
	}
	for (guint i = 0; i < silent->len; i++)
		settle_address(hub, silent->pdata[i], now);
	hub_purge_usage(hub, now);
}

/*
 * A version from another hub's registry (of another epoch), or from before the
 * newest removed row, is treated as 0: all rows are listed.
 */
void hub_grant_add_rows(struct hub *hub, Mw__HubGrant *grant,
			uint64_t host_version)
{
	const struct list *pos;
	size_t n = 0;

	if (host_version >> 32 != hub->cfg.epoch ||
	    host_version < hub->purged_version) {
		grant->registry_full = true;
		host_version = 0;
	}
	for (pos = hub->rows_by_version.prev; pos != &hub->rows_by_version;
	     pos = pos->prev) {
		if (list_entry(pos, struct hub_ep, version_node)
			    ->info->version <= host_version)
			break;
		n++;
	}
	grant->registry_version = hub->version;
	grant->registry_fresh = true;
	if (!n)
		return;
	grant->deltas = calloc(n, sizeof(*grant->deltas));
	for (pos = hub->rows_by_version.prev; n--; pos = pos->prev) {
		const struct hub_ep *ep =
			list_entry(pos, struct hub_ep, version_node);
		Mw__EndpointInfo row = MW__ENDPOINT_INFO__INIT;

		if (ep->dead_us && !host_version)
			continue;
		if (ep->full_version > host_version) {
			row = *ep->info;
			row.dc = hub->dc;
		} else {
			row.id = ep->info->id;
			row.incarnation = ep->info->incarnation;
			row.state = ep->info->state;
			row.leave_deadline_ms = ep->info->leave_deadline_ms;
		}
		row.seq = row.version = 0;
		row.running = row.waiting = row.blocks_used = 0;
		grant->deltas[grant->n_deltas++] = copy_info(&row);
	}
}

uint64_t hub_registry_version(const struct hub *hub)
{
	return hub->version;
}

const Mw__EndpointInfo *hub_find_endpoint(const struct hub *hub, const char *id)
{
	const struct hub_ep *ep = g_hash_table_lookup(hub->eps, id);

	return ep ? ep->info : NULL;
}
