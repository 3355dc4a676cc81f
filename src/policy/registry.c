#include "policy/registry.h"

#include <string.h>

#include "policy/owner.h"

struct registry {
	GHashTable *rows; /* id to struct registry_row */
	void (*watch)(const struct registry_row *row, void *arg);
	void *watch_arg;
};

static Mw__EndpointInfo *copy_info(const Mw__EndpointInfo *info)
{
	size_t len = mw__endpoint_info__get_packed_size(info);
	g_autofree uint8_t *bytes = g_malloc(len + 1);

	mw__endpoint_info__pack(info, bytes);
	return mw__endpoint_info__unpack(NULL, len, bytes);
}

static void row_free(void *p)
{
	struct registry_row *row = p;

	mw__endpoint_info__free_unpacked(row->info, NULL);
	g_free(row);
}

struct registry *registry_new(void)
{
	struct registry *r = g_new0(struct registry, 1);

	r->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
	return r;
}

void registry_free(struct registry *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->rows);
	g_free(r);
}

void registry_watch(struct registry *r,
		    void (*fn)(const struct registry_row *row, void *arg),
		    void *arg)
{
	r->watch = fn;
	r->watch_arg = arg;
}

static void notify(struct registry *r, const struct registry_row *row)
{
	if (r->watch)
		r->watch(row, r->watch_arg);
}

static bool is_newer(const Mw__EndpointInfo *a, const Mw__EndpointInfo *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->seq > b->seq;
}

static bool same_models(const Mw__EndpointInfo *a, const Mw__EndpointInfo *b)
{
	if (a->n_models != b->n_models)
		return false;
	for (size_t i = 0; i < a->n_models; i++)
		if (strcmp(a->models[i], b->models[i]) != 0)
			return false;
	return true;
}

static bool same_content(const Mw__EndpointInfo *a, const Mw__EndpointInfo *b)
{
	return a->incarnation == b->incarnation && !strcmp(a->addr, b->addr) &&
	       !strcmp(a->state, b->state) && !strcmp(a->dc, b->dc) &&
	       a->max_batch == b->max_batch && same_models(a, b);
}

/* Whether the row may hold its address: a leaving endpoint still does. */
static bool is_live(const struct registry_row *row)
{
	return !row->left && strcmp(row->info->state, REGISTRY_STALE) != 0;
}

static GPtrArray *rows_at(const struct registry *r, const char *addr)
{
	GPtrArray *rows = g_ptr_array_new();
	GHashTableIter iter;
	struct registry_row *row;

	g_hash_table_iter_init(&iter, r->rows);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&row))
		if (!strcmp(row->info->addr, addr))
			g_ptr_array_add(rows, row);
	return rows;
}

/* Decides anew who holds the address, and notifies of the rows for which that
 * changes something, except for `changed`, of which the caller notifies. */
static void settle_address(struct registry *r, const char *addr,
			   const struct registry_row *changed)
{
	g_autoptr(GPtrArray) rows = rows_at(r, addr);
	g_autofree struct owner_claim *claims =
		g_new0(struct owner_claim, rows->len + 1);
	g_autofree struct owner_claim **refs =
		g_new0(struct owner_claim *, rows->len + 1);

	for (guint i = 0; i < rows->len; i++) {
		const struct registry_row *row = rows->pdata[i];

		refs[i] = &claims[i];
		claims[i] = (struct owner_claim){
			.incarnation = row->info->incarnation,
			.live = is_live(row),
			.replaced = row->replaced,
			.holds = row->holds,
		};
	}
	owner_settle(refs, rows->len);
	for (guint i = 0; i < rows->len; i++) {
		struct registry_row *row = rows->pdata[i];
		const struct owner_claim *c = &claims[i];
		bool is_news = row->claims != c->claims ||
			       row->contested != c->contested;

		row->holds = c->holds;
		row->claims = c->claims;
		row->contested = c->contested;
		if (row != changed && is_news)
			notify(r, row);
	}
}

static void set_state(Mw__EndpointInfo *info, const char *state)
{
	if (!strcmp(info->state, state))
		return;
	if (info->state != protobuf_c_empty_string)
		free(info->state);
	info->state = strdup(state);
}

static void set_said_leaving(Mw__EndpointInfo *info)
{
	info->said_leaving = true;
	set_state(info, REGISTRY_LEAVING);
}

static void row_set_said_leaving(struct registry_row *row)
{
	if (strcmp(row->info->state, REGISTRY_LEAVING) != 0)
		row->leaving_seq = row->info->seq;
	set_said_leaving(row->info);
}

/* Whether the row says of the same incarnation, for the first time, that its
 * answers said it leaves. */
static bool says_leaving_first(const struct registry_row *row,
			       const Mw__EndpointInfo *info)
{
	return row && info->said_leaving && !row->info->said_leaving &&
	       !row->left && row->info->incarnation == info->incarnation;
}

static int64_t cold_until_us(const Mw__EndpointInfo *info, int64_t now)
{
	return info->cold_ms ? now + (int64_t)info->cold_ms * 1000 : 0;
}

/*
 * Whether the endpoint is cold for longer, or warm earlier, than processes
 * expect that got no announcement since the last change.
 */
static bool changes_cold(const struct registry_row *row,
			 const Mw__EndpointInfo *info, int64_t now)
{
	int64_t shift_us = MAX(cold_until_us(info, now), now) -
			   MAX(row->cold_until_us, now);

	return shift_us > REGISTRY_COLD_TOLERANCE_US ||
	       (!info->cold_ms && shift_us < -REGISTRY_COLD_TOLERANCE_US);
}

/* The leaving_seq of a row that replaces `row`; same: with equal content. */
static uint64_t leaves_since(const struct registry_row *row, bool same,
			     const Mw__EndpointInfo *info)
{
	if (strcmp(info->state, REGISTRY_LEAVING) != 0)
		return 0;
	return same ? row->leaving_seq : info->seq;
}

/* The result of merging a newer row; notes when it is to be sent on. */
static enum registry_change record_change(struct registry_row *stored,
					  bool same, int64_t now)
{
	if (same && (!stored->info->said_leaving ||
		     now - stored->sent_us < REGISTRY_REPEAT_US))
		return REGISTRY_REFRESHED;
	stored->sent_us = now;
	return REGISTRY_CHANGED;
}

static void mark_left(struct registry *r, struct registry_row *row, int64_t now)
{
	/* The highest seq: no later row of this incarnation is newer. */
	row->info->seq = UINT64_MAX;
	row->info->leave_deadline_ms = REGISTRY_LEFT_DEADLINE_MS;
	row->leaving_seq = UINT64_MAX;
	row->left = true;
	row->received_us = now;
	settle_address(r, row->info->addr, row);
	notify(r, row);
}

/* Whether the row was made by registry_add_left(). */
static bool is_left_unknown(const Mw__EndpointInfo *info)
{
	return !*info->addr &&
	       info->leave_deadline_ms == REGISTRY_LEFT_DEADLINE_MS;
}

enum registry_change registry_merge(struct registry *r,
				    const Mw__EndpointInfo *info, int64_t now)
{
	struct registry_row *row = g_hash_table_lookup(r->rows, info->id);
	bool same, same_incarnation =
			   row && row->info->incarnation == info->incarnation;

	if (row && !is_newer(info, row->info)) {
		if (!says_leaving_first(row, info))
			return REGISTRY_IGNORED;
		/* An older announcement, but its flag holds for all of them. */
		row_set_said_leaving(row);
		notify(r, row);
		return REGISTRY_CHANGED;
	}
	if (same_incarnation && row->left)
		return REGISTRY_IGNORED;
	if (row && is_left_unknown(info)) {
		if (row->left)
			return REGISTRY_IGNORED;
		/* Its requests and their address stay those of the row. */
		set_state(row->info, REGISTRY_LEAVING);
		mark_left(r, row, now);
		return REGISTRY_CHANGED;
	}
	Mw__EndpointInfo *copy = copy_info(info);
	if (copy->said_leaving || (same_incarnation && row->info->said_leaving))
		set_said_leaving(copy);
	bool left = info->leave_deadline_ms == REGISTRY_LEFT_DEADLINE_MS;
	same = row && row->left == left && same_content(copy, row->info) &&
	       !changes_cold(row, copy, now);
	int64_t cold_until =
		same ? row->cold_until_us : cold_until_us(copy, now);
	uint64_t leaving_seq = leaves_since(row, same, copy);
	struct registry_row *stored = g_new0(struct registry_row, 1);
	g_autofree char *former_addr = NULL;
	if (row) {
		bool same_addr = !strcmp(row->info->addr, copy->addr);

		if (same_addr)
			*stored = *row;
		else
			former_addr = g_strdup(row->info->addr);
		if (!same_incarnation)
			stored->left = stored->replaced = false;
		stored->follows = !same_incarnation || row->follows;
		stored->since_us = row->since_us;
		g_hash_table_remove(r->rows, info->id);
	}
	stored->info = copy;
	stored->received_us = now;
	if (!same_incarnation)
		stored->since_us = now;
	stored->left = left;
	stored->leaving_seq = leaving_seq;
	stored->cold_until_us = cold_until;
	g_hash_table_insert(r->rows, stored->info->id, stored);
	if (!same) {
		settle_address(r, copy->addr, stored);
		if (former_addr)
			settle_address(r, former_addr, stored);
		notify(r, stored);
	}
	return record_change(stored, same, now);
}

const struct registry_row *registry_mark_left(struct registry *r,
					      const char *id, int64_t now)
{
	struct registry_row *row = g_hash_table_lookup(r->rows, id);

	if (!row)
		return NULL;
	set_state(row->info, REGISTRY_LEAVING);
	mark_left(r, row, now);
	return row;
}

const struct registry_row *registry_add_left(struct registry *r, const char *id,
					     uint64_t incarnation, int64_t now)
{
	Mw__EndpointInfo info = MW__ENDPOINT_INFO__INIT;

	info.id = (char *)id;
	info.incarnation = incarnation;
	info.seq = UINT64_MAX;
	info.state = (char *)REGISTRY_LEAVING;
	info.leave_deadline_ms = REGISTRY_LEFT_DEADLINE_MS;
	registry_merge(r, &info, now);
	return registry_find(r, id);
}

const struct registry_row *registry_mark_replaced(struct registry *r,
						  const char *id,
						  uint64_t incarnation,
						  int64_t now)
{
	struct registry_row *row = g_hash_table_lookup(r->rows, id);

	if (!row || row->replaced || row->info->incarnation != incarnation)
		return NULL;
	row->replaced = true;
	/* The state stays: it has not said that it leaves. */
	mark_left(r, row, now);
	return row;
}

void registry_for_each_claim(const struct registry *r, const char *id,
			     void (*fn)(const struct registry_row *row,
					void *arg),
			     void *arg)
{
	const struct registry_row *holder = registry_find(r, id);

	if (!holder || !holder->holds)
		return;
	g_autoptr(GPtrArray) rows = rows_at(r, holder->info->addr);
	for (guint i = 0; i < rows->len; i++) {
		const struct registry_row *row = rows->pdata[i];

		if (row->claims)
			fn(row, arg);
	}
}

const struct registry_row *registry_mark_leaving(struct registry *r,
						 const char *id,
						 uint64_t incarnation,
						 int64_t now)
{
	struct registry_row *row = g_hash_table_lookup(r->rows, id);

	if (!row || row->left || row->info->said_leaving ||
	    row->info->incarnation != incarnation)
		return NULL;
	row_set_said_leaving(row);
	row->received_us = now;
	notify(r, row);
	return row;
}

bool registry_contradicts(const struct registry *r,
			  const Mw__EndpointInfo *info)
{
	const struct registry_row *row = g_hash_table_lookup(r->rows, info->id);

	return row && row->info->incarnation == info->incarnation &&
	       (row->left || row->info->said_leaving) &&
	       info->leave_deadline_ms != REGISTRY_LEFT_DEADLINE_MS &&
	       !strcmp(info->state, REGISTRY_SERVING);
}

const struct registry_row *registry_find(const struct registry *r,
					 const char *id)
{
	return g_hash_table_lookup(r->rows, id);
}

void registry_for_each(const struct registry *r,
		       void (*fn)(const struct registry_row *row, void *arg),
		       void *arg)
{
	GHashTableIter iter;
	struct registry_row *row;

	g_hash_table_iter_init(&iter, r->rows);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&row))
		fn(row, arg);
}

void registry_expire(struct registry *r, int64_t now,
		     void (*stale)(const struct registry_row *row, void *arg),
		     void *arg)
{
	g_autoptr(GPtrArray) changed = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	struct registry_row *row;

	g_hash_table_iter_init(&iter, r->rows);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&row)) {
		bool serving = !row->left &&
			       !strcmp(row->info->state, REGISTRY_SERVING);

		if (now - row->received_us <= REGISTRY_EXPIRY_US ||
		    (serving && !stale))
			continue;
		g_ptr_array_add(changed, g_strdup(row->info->addr));
		if (!serving) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		set_state(row->info, REGISTRY_STALE);
		row->info->seq++;
		row->received_us = now;
		notify(r, row);
		stale(row, arg);
	}
	for (guint i = 0; i < changed->len; i++)
		settle_address(r, changed->pdata[i], NULL);
}

void registry_hold(struct registry *r, int64_t now)
{
	GHashTableIter iter;
	struct registry_row *row;

	g_hash_table_iter_init(&iter, r->rows);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&row))
		row->received_us = now;
}
