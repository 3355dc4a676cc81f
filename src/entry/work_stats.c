#include "entry/work_stats.h"

#include <string.h>

#include "base/clock.h"
#include "entry/aside.h"
#include "entry/request.h"
#include "obs/window.h"

struct work_stats {
	GHashTable *tokens; /* account to struct minute_window of its tokens */
	GHashTable *lost;   /* endpoint id to int64_t, time of its loss in us */
	struct minute_window refused[QUEUE_RANKS];
};

struct work_stats *work_new(void)
{
	struct work_stats *w = g_new0(struct work_stats, 1);

	w->tokens =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->lost =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return w;
}

void work_free(struct work_stats *w)
{
	g_hash_table_destroy(w->tokens);
	g_hash_table_destroy(w->lost);
	g_free(w);
}

void work_count_token(struct work_stats *w, const char *account, int64_t now)
{
	struct minute_window *win = g_hash_table_lookup(w->tokens, account);

	if (!win) {
		win = g_new0(struct minute_window, 1);
		g_hash_table_insert(w->tokens, g_strdup(account), win);
	}
	minute_window_add(win, 1, now);
}

void work_count_refusal(struct work_stats *w, unsigned int rank, int64_t now)
{
	minute_window_add(&w->refused[MIN(rank, QUEUE_RANKS - 1)], 1, now);
}

void work_add_lost_endpoint(struct work_stats *w, const char *id, int64_t now)
{
	if (g_hash_table_size(w->lost) < WORK_LOST_MAX)
		g_hash_table_replace(w->lost, g_strdup(id),
				     g_memdup2(&now, sizeof(now)));
}

void work_remove_lost_endpoint(struct work_stats *w, const char *id)
{
	g_hash_table_remove(w->lost, id);
}

/* ---- queues ------------------------------------------------------------- */

struct rank_sum {
	size_t waiting, bytes;
	size_t longest; /* requests in the longest queue of one model */
	int64_t oldest_age_us;
};

static void sum_pools(struct entry *e, struct rank_sum *ranks)
{
	GHashTableIter iter;
	struct pool *p;

	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&p)) {
		struct queue_stats st;
		e->queue_ops->stats(p->queue, &st);
		for (unsigned int i = 0; i < QUEUE_RANKS; i++) {
			ranks[i].waiting += st.items[i];
			ranks[i].bytes += st.bytes[i];
			ranks[i].waiting += aside_count(p, i, &ranks[i].bytes);
			ranks[i].longest = MAX(ranks[i].longest, st.items[i]);
		}
	}
}

static bool is_waiting(const struct request *r)
{
	return (r->in_queue && !r->dispatched) || aside_holds(r);
}

static void find_oldest(struct entry *e, struct rank_sum *ranks, int64_t now)
{
	struct request *r;

	list_for_each_entry (r, &e->requests, node) {
		if (!is_waiting(r))
			continue;
		struct rank_sum *s = &ranks[MIN(r->rank, QUEUE_RANKS - 1)];
		s->oldest_age_us = MAX(s->oldest_age_us, now - r->arrived_us);
	}
}

static json_t *queues_json(struct entry *e, int64_t now)
{
	struct rank_sum sums[QUEUE_RANKS] = {0};
	const struct rank_cfg *const *ranks = NULL;
	struct tree *t = e->session.cfg.tree;
	size_t n = t ? MIN(tree_ranks(t, &ranks), QUEUE_RANKS) : 0;
	json_t *list = json_array();

	sum_pools(e, sums);
	find_oldest(e, sums, now);
	for (size_t i = 0; i < n; i++) {
		const struct rank_sum *s = &sums[i];
		json_array_append_new(
			list,
			json_pack(
				"{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
				"rank", ranks[i]->name, "level",
				(json_int_t)ranks[i]->level, "waiting",
				(json_int_t)s->waiting, "bytes",
				(json_int_t)s->bytes, "oldest_ms",
				(json_int_t)(s->oldest_age_us / USEC_PER_MSEC),
				"longest", (json_int_t)s->longest, "bound",
				(json_int_t)ranks[i]->queue_max, "refused",
				(json_int_t)minute_window_sum(
					&e->work->refused[i], now)));
	}
	return list;
}

/* ---- accounts ----------------------------------------------------------- */

struct account_sum {
	const char *account;
	uint64_t tokens;
	size_t running, waiting;
};

static struct account_sum *account_sum(GHashTable *sums, const char *account)
{
	struct account_sum *s = g_hash_table_lookup(sums, account);

	if (!s) {
		s = g_new0(struct account_sum, 1);
		s->account = account;
		g_hash_table_insert(sums, (char *)account, s);
	}
	return s;
}

/* Sums the tokens of the last minute; removes accounts without any. */
static void sum_tokens(struct work_stats *w, GHashTable *sums, int64_t now)
{
	GHashTableIter iter;
	void *account, *win;

	g_hash_table_iter_init(&iter, w->tokens);
	while (g_hash_table_iter_next(&iter, &account, &win)) {
		uint64_t n = minute_window_sum(win, now);
		if (n)
			account_sum(sums, account)->tokens = n;
		else
			g_hash_table_iter_remove(&iter);
	}
}

static void sum_requests(struct entry *e, GHashTable *sums)
{
	struct request *r;

	list_for_each_entry (r, &e->requests, node) {
		struct account_sum *s = account_sum(sums, r->account);
		if (is_waiting(r) || r->state == REQ_BACKOFF)
			s->waiting++;
		else if (r->state == REQ_SENT || r->state == REQ_STREAMING)
			s->running++;
	}
}

/* Sorts by tokens, then by requests, largest first; last by name. */
static int compare_accounts(const struct account_sum *a,
			    const struct account_sum *b)
{
	size_t na = a->running + a->waiting, nb = b->running + b->waiting;

	if (a->tokens != b->tokens)
		return a->tokens > b->tokens ? -1 : 1;
	if (na != nb)
		return na > nb ? -1 : 1;
	return strcmp(a->account, b->account);
}

static json_t *accounts_json(struct entry *e, int64_t now)
{
	/* Keys are borrowed from the table of tokens and from the requests. */
	g_autoptr(GHashTable) sums =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	json_t *list = json_array();
	int remaining = WORK_ACCOUNTS_MAX;

	sum_tokens(e->work, sums, now);
	sum_requests(e, sums);
	g_autoptr(GList) all = g_hash_table_get_values(sums);
	all = g_list_sort(all, (GCompareFunc)compare_accounts);
	for (GList *l = all; l && remaining; l = l->next, remaining--) {
		const struct account_sum *s = l->data;
		json_array_append_new(
			list,
			json_pack("{s:s, s:I, s:I, s:I}", "account", s->account,
				  "tokens", (json_int_t)s->tokens, "running",
				  (json_int_t)s->running, "waiting",
				  (json_int_t)s->waiting));
	}
	return list;
}

static json_t *lost_json(struct entry *e, int64_t now)
{
	GHashTableIter iter;
	json_t *list = json_array();
	void *id, *since;

	g_hash_table_iter_init(&iter, e->work->lost);
	while (g_hash_table_iter_next(&iter, &id, &since)) {
		int64_t age = now - *(int64_t *)since;
		if (age > WORK_LOST_KEEP_US)
			g_hash_table_iter_remove(&iter);
		else
			json_array_append_new(
				list,
				json_pack("{s:s, s:s, s:I}", "id", (char *)id,
					  "dc", e->conf->dc, "age_ms",
					  (json_int_t)(age / USEC_PER_MSEC)));
	}
	return list;
}

void work_status(struct entry *e, json_t *out, int64_t now)
{
	json_object_set_new(out, "queues", queues_json(e, now));
	json_object_set_new(out, "accounts", accounts_json(e, now));
	json_object_set_new(out, "lost_endpoints", lost_json(e, now));
}
