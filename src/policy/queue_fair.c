#include <assert.h>
#include <string.h>
#include <glib.h>
#include "base/err.h"
#include "policy/drain_rate.h"
#include "policy/queue.h"

/*
 * Start-time fair queueing within a rank.  Each account has a virtual time:
 * its charged cost divided by its weight.  The backlogged account with the
 * lowest virtual time is served next.  The rank's virtual time is the highest
 * virtual time at which an account has been dispatched, so it never decreases.
 *
 * An account with less than its share of the running work (of all ranks, since
 * all run on the same endpoints) is moved ahead by `burst`.  Otherwise the
 * second of two requests that a small account sends shortly after each other
 * would wait behind the large accounts.  The advantage never exceeds the burst.
 *
 * Invariants:
 * - An account that becomes backlogged starts at the higher of its own and the
 *   rank's virtual time, so that idle time does not accumulate service.
 * - An account is in the heap exactly while it has waiting items.
 * - An account entry is freed only if it has no waiting or running items.
 *
 * Between ranks, the most urgent backlogged rank is served, except that a
 * lower rank is served once its floor allowance covers the cost of its first
 * item.  While a rank is backlogged, its allowance grows by floor_percent of
 * all cost charged.  The cost of an item that was dispatched while no more
 * urgent rank had items waiting reduces the allowance to 0 at the lowest; any
 * other cost is deducted in full, so that the allowance may become negative.
 */

/* Idle accounts whose counters are kept, per rank. */
#define MAX_IDLE_ACCOUNTS 4096

#define RETRY_AFTER_MAX_S 60

struct queue_account {
	char *name;
	struct heap_node heap_node; /* in rank_queue.backlogged */
	struct list waiting_items;
	struct list idle_node;	 /* in idle_accounts while it has no items */
	struct list sparse_node; /* in rank_queue.sparse_accounts */
	int64_t sparse_since_us; /* when it was last added there */
	double virtual_time, weight;
	double waiting_cost; /* expected, in weighted tokens */
	double running_cost; /* charged for the running items */
	size_t n_waiting, waiting_bytes, n_running;
	double served_cost;	/* weighted tokens served since the start */
	double reported_cost;	/* served_cost as last reported to the hub */
	double max_remote_cost; /* highest cost served by other hosts so far */
	bool has_remote_cost;	/* max_remote_cost is set */
};

struct rank_queue {
	GHashTable *accounts;
	struct heap backlogged;
	struct list idle_accounts;   /* least recently used first */
	struct list sparse_accounts; /* least recently arrived first */
	size_t n_idle;
	double virtual_time;
	double backlogged_weight; /* sum over backlogged accounts */
	double waiting_cost;
	double floor_allowance; /* cost the rank may use under its floor */
	double served_cost;
	uint64_t waiting_tokens;
	size_t n_waiting, waiting_bytes;
	struct drain drain;
};

struct fair_queue {
	struct queue base;
	struct queue_cfg cfg;
	char *name;
	struct heap expiry;
	struct rank_queue rank[QUEUE_RANKS];
	double running_cost;  /* of all ranks */
	double active_weight; /* of accounts that wait or run */
};

static struct fair_queue *to_fair_queue(struct queue *q)
{
	return (struct fair_queue *)q;
}

static void account_free(void *p)
{
	struct queue_account *a = p;

	g_free(a->name);
	g_free(a);
}

static void fair_configure(struct queue *q, const struct queue_cfg *cfg)
{
	struct fair_queue *f = to_fair_queue(q);

	f->cfg = *cfg;
	f->cfg.name = f->name;
	queue_defaults(&f->cfg);
}

static struct queue *fair_create(const struct queue_cfg *cfg)
{
	struct fair_queue *f = g_new0(struct fair_queue, 1);

	f->base.ops = &queue_fair;
	f->name = g_strdup(cfg->name);
	fair_configure(&f->base, cfg);
	for (unsigned r = 0; r < QUEUE_RANKS; r++) {
		f->rank[r].accounts = g_hash_table_new_full(
			g_str_hash, g_str_equal, NULL, account_free);
		list_init(&f->rank[r].idle_accounts);
		list_init(&f->rank[r].sparse_accounts);
	}
	return &f->base;
}

static void fair_destroy(struct queue *q)
{
	struct fair_queue *f = to_fair_queue(q);

	for (unsigned r = 0; r < QUEUE_RANKS; r++) {
		heap_release(&f->rank[r].backlogged);
		g_hash_table_destroy(f->rank[r].accounts);
	}
	heap_release(&f->expiry);
	g_free(f->name);
	g_free(f);
}

static double item_cost(const struct fair_queue *f, const struct queue_item *it)
{
	return queue_cost(&f->cfg, it->prompt_tokens, it->est_output_tokens);
}

static double account_weight(const struct fair_queue *f, const char *account)
{
	double w =
		f->cfg.weight ? f->cfg.weight(f->cfg.weight_ctx, account) : 1;

	return w > 0 ? w : 1;
}

static struct queue_account *
account_get(struct fair_queue *f, struct rank_queue *rq, const char *name)
{
	struct queue_account *a = g_hash_table_lookup(rq->accounts, name);

	if (a)
		return a;
	if (rq->n_idle >= MAX_IDLE_ACCOUNTS) {
		struct queue_account *old = list_first(
			&rq->idle_accounts, struct queue_account, idle_node);

		list_del(&old->idle_node);
		list_del(&old->sparse_node);
		rq->n_idle--;
		g_hash_table_remove(rq->accounts, old->name);
	}
	a = g_new0(struct queue_account, 1);
	a->name = g_strdup(name);
	a->weight = account_weight(f, name);
	a->virtual_time = rq->virtual_time;
	list_init(&a->waiting_items);
	list_init(&a->sparse_node);
	list_add_tail(&rq->idle_accounts, &a->idle_node);
	rq->n_idle++;
	g_hash_table_insert(rq->accounts, a->name, a);
	return a;
}

static void account_activate(struct fair_queue *f, struct rank_queue *rq,
			     struct queue_account *a)
{
	if (list_empty(&a->idle_node))
		return;
	/*
	 * Constant while the account is active, so that the sums of weights
	 * stay correct when the configured weight changes.
	 */
	a->weight = account_weight(f, a->name);
	list_del(&a->idle_node);
	rq->n_idle--;
	f->active_weight += a->weight;
}

static void account_deactivate(struct fair_queue *f, struct rank_queue *rq,
			       struct queue_account *a)
{
	if (a->n_waiting || a->n_running || !list_empty(&a->idle_node))
		return;
	list_add_tail(&rq->idle_accounts, &a->idle_node);
	rq->n_idle++;
	f->active_weight -= a->weight;
}

/*
 * An account with at most one waiting item may run SPARSE_SHARE_FACTOR times
 * its share, but not more than SPARSE_MAX_PART of all running work.
 */
#define SPARSE_SHARE_FACTOR 3
#define SPARSE_MAX_PART 0.25

/*
 * Returns whether the account has more than its share of the running work.  The
 * share allows for one more account than are active, so that a single account
 * does not take all of it before a second one arrives.  One long generation can
 * exceed the share of a small account, so the limit is higher while no more
 * than one item waits.
 */
static bool exceeds_share(const struct fair_queue *f,
			  const struct queue_account *a)
{
	double share = a->weight / (f->active_weight + 1);

	if (a->n_waiting <= 1 && share < SPARSE_MAX_PART)
		share = fmin(share * SPARSE_SHARE_FACTOR, SPARSE_MAX_PART);
	return a->running_cost > f->running_cost * share;
}

/* An account with more waiting items than this has a backlog. */
#define SPARSE_MAX_WAITING 4

static bool is_bulk(const struct fair_queue *f, const struct queue_account *a)
{
	return exceeds_share(f, a) || a->n_waiting > SPARSE_MAX_WAITING;
}

/*
 * Time after its last request in which an account that was not bulk then
 * counts as an active account below its share.
 */
#define SPARSE_DURATION_US INT64_C(10000000)

static void record_arrival(struct fair_queue *f, struct rank_queue *rq,
			   struct queue_account *a, int64_t now)
{
	list_del(&a->sparse_node);
	if (is_bulk(f, a))
		return;
	a->sparse_since_us = now;
	list_add_tail(&rq->sparse_accounts, &a->sparse_node);
}

static bool has_sparse_account(struct rank_queue *rq, int64_t now)
{
	struct queue_account *a, *tmp;

	list_for_each_entry_safe (a, tmp, &rq->sparse_accounts, sparse_node) {
		if (now - a->sparse_since_us < SPARSE_DURATION_US)
			return true;
		list_del(&a->sparse_node);
	}
	return false;
}

/*
 * Inserts the account into the heap or moves it, by its virtual time less the
 * burst if it is below its share.
 */
static void update_heap_key(const struct fair_queue *f, struct rank_queue *rq,
			    struct queue_account *a)
{
	double key = a->virtual_time;

	if (!exceeds_share(f, a))
		key -= f->cfg.burst / a->weight;
	heap_set(&rq->backlogged, &a->heap_node, key);
}

static void add_running_cost(struct fair_queue *f, struct rank_queue *rq,
			     struct queue_account *a, double cost)
{
	a->running_cost = a->n_running ? a->running_cost + cost : 0;
	f->running_cost += cost;
	if (f->running_cost < 0)
		f->running_cost = 0;
	if (heap_is_member(&a->heap_node))
		update_heap_key(f, rq, a);
}

static void update_drain_rates(struct fair_queue *f, int64_t now)
{
	for (unsigned r = 0; r < QUEUE_RANKS; r++)
		drain_add_time(&f->rank[r].drain, f->rank[r].n_waiting > 0,
			       now);
}

/*
 * Charges the cost (negative: a refund) to the account and adjusts the floor
 * allowances of all ranks.
 */
static void charge_cost(struct fair_queue *f, struct queue_item *it,
			double cost)
{
	struct rank_queue *rq = &f->rank[it->rank];
	struct queue_account *a = it->account_entry;

	it->charged_cost += cost;
	a->virtual_time += cost / a->weight;
	if (heap_is_member(&a->heap_node))
		update_heap_key(f, rq, a);
	drain_add(&rq->drain, cost);
	for (unsigned r = 1; r < QUEUE_RANKS; r++)
		if (f->rank[r].n_waiting)
			f->rank[r].floor_allowance +=
				cost * f->cfg.rank[r].floor_percent / 100;
	if (it->uses_floor)
		rq->floor_allowance -= cost;
	else if (cost > 0 && rq->floor_allowance > 0)
		rq->floor_allowance = rq->floor_allowance > cost
					      ? rq->floor_allowance - cost
					      : 0;
}

static void enqueue(struct fair_queue *f, struct queue_item *it, bool head)
{
	struct rank_queue *rq = &f->rank[it->rank];
	struct queue_account *a = it->account_entry;
	int64_t expires_us = it->arrived_us + f->cfg.rank[it->rank].max_age_us;
	double cost = item_cost(f, it);

	if (!a->n_waiting) {
		rq->backlogged_weight += a->weight;
		if (a->virtual_time < rq->virtual_time)
			a->virtual_time = rq->virtual_time;
	}
	if (head)
		list_add(&a->waiting_items, &it->list_node);
	else
		list_add_tail(&a->waiting_items, &it->list_node);
	a->n_waiting++;
	update_heap_key(f, rq, a);
	a->waiting_bytes += it->bytes;
	a->waiting_cost += cost;
	rq->n_waiting++;
	rq->waiting_bytes += it->bytes;
	rq->waiting_cost += cost;
	rq->waiting_tokens +=
		(uint64_t)it->prompt_tokens + it->est_output_tokens;
	if (it->deadline_us &&
	    it->deadline_us - it->expected_service_us < expires_us)
		expires_us = it->deadline_us - it->expected_service_us;
	heap_set(&f->expiry, &it->expiry_node, (double)expires_us);
}

static void dequeue(struct fair_queue *f, struct queue_item *it)
{
	struct rank_queue *rq = &f->rank[it->rank];
	struct queue_account *a = it->account_entry;
	double cost = item_cost(f, it);

	assert(!it->running && heap_is_member(&it->expiry_node));
	list_del(&it->list_node);
	heap_remove(&f->expiry, &it->expiry_node);
	a->waiting_bytes -= it->bytes;
	rq->waiting_bytes -= it->bytes;
	rq->waiting_tokens -=
		(uint64_t)it->prompt_tokens + it->est_output_tokens;
	/* Sums are reset when empty, so that rounding errors do not accumulate.
	 */
	a->waiting_cost = --a->n_waiting ? a->waiting_cost - cost : 0;
	rq->waiting_cost = --rq->n_waiting ? rq->waiting_cost - cost : 0;
	if (a->n_waiting) {
		update_heap_key(f, rq, a);
	} else {
		heap_remove(&rq->backlogged, &a->heap_node);
		rq->backlogged_weight =
			rq->n_waiting ? rq->backlogged_weight - a->weight : 0;
	}
	/* An idle rank does not accumulate an allowance either. */
	if (!rq->n_waiting && rq->floor_allowance > 0)
		rq->floor_allowance = 0;
}

/*
 * Returns the expected wait in microseconds of a new item with this cost; 0
 * while the drain rate is unknown.  The wait is the shorter of two times: that
 * of the account's backlog at its share of the drain rate, and that of the
 * rank's backlog at the whole rate.
 */
static double expected_wait_us(const struct rank_queue *rq,
			       const struct queue_account *a, double weight,
			       double cost)
{
	double rate = drain_rate(&rq->drain), own_backlog, weights;

	if (rate <= 0 || !rq->n_waiting)
		return 0;
	weights = rq->backlogged_weight + (a && a->n_waiting ? 0 : weight);
	own_backlog = (cost + (a ? a->waiting_cost : 0)) * weights / weight;
	return (own_backlog < rq->waiting_cost ? own_backlog
					       : rq->waiting_cost) /
	       rate * 1e6;
}

static unsigned retry_after_seconds(double us)
{
	double s = us / 1e6;

	if (s < 1)
		return 1;
	return s > RETRY_AFTER_MAX_S ? RETRY_AFTER_MAX_S : (unsigned)(s + 0.99);
}

static int fair_push(struct queue *q, struct queue_item *it, int64_t now,
		     unsigned *retry_after_s)
{
	struct fair_queue *f = to_fair_queue(q);
	const struct queue_rank_cfg *rc;
	struct queue_account *a;
	struct rank_queue *rq;
	double wait;

	*retry_after_s = 1;
	if (it->rank >= QUEUE_RANKS)
		return -MW_EINVAL;
	update_drain_rates(f, now);
	rc = &f->cfg.rank[it->rank];
	rq = &f->rank[it->rank];
	a = g_hash_table_lookup(rq->accounts, it->account);
	wait = expected_wait_us(rq, a, account_weight(f, it->account),
				item_cost(f, it));

	/* After a quarter of the wait a quarter of the backlog is served. */
	if (rq->n_waiting >= rc->max_items ||
	    rq->waiting_bytes + it->bytes > rc->max_bytes ||
	    (a && (a->n_waiting >= rc->account_max_items ||
		   a->waiting_bytes + it->bytes > rc->account_max_bytes))) {
		*retry_after_s = retry_after_seconds(wait / 4);
		return -MW_EQUEUEFULL;
	}
	if (wait > (double)rc->max_age_us) {
		*retry_after_s =
			retry_after_seconds(wait - (double)rc->max_age_us);
		return -MW_EQUEUEFULL;
	}
	if (it->deadline_us) {
		double left = (double)(it->deadline_us -
				       it->expected_service_us - now);

		if (wait > left) {
			*retry_after_s = retry_after_seconds(
				left > 0 ? wait - left : wait);
			return -MW_EDEADLINE;
		}
	}

	it->account_entry = account_get(f, rq, it->account);
	account_activate(f, rq, it->account_entry);
	it->arrived_us = now;
	it->charged_cost = 0;
	it->output_tokens = 0;
	it->running = it->uses_floor = false;
	memset(&it->expiry_node, 0, sizeof(it->expiry_node));
	enqueue(f, it, false);
	record_arrival(f, rq, it->account_entry, now);
	return 0;
}

static struct queue_item *rank_first_item(const struct rank_queue *rq)
{
	struct heap_node *min = heap_min(&rq->backlogged);

	return min ? list_first(
			     &heap_entry(min, struct queue_account, heap_node)
				      ->waiting_items,
			     struct queue_item, list_node)
		   : NULL;
}

static struct queue_item *select_item(struct fair_queue *f)
{
	struct queue_item *it;

	for (unsigned r = QUEUE_RANKS - 1; r > 0; r--) {
		if (f->rank[r].floor_allowance <= 0)
			continue;
		it = rank_first_item(&f->rank[r]);
		if (it && f->rank[r].floor_allowance >= item_cost(f, it))
			return it;
	}
	for (unsigned r = 0; r < QUEUE_RANKS; r++) {
		it = rank_first_item(&f->rank[r]);
		if (it)
			return it;
	}
	return NULL;
}

static struct queue_item *fair_peek(struct queue *q, int64_t now)
{
	struct fair_queue *f = to_fair_queue(q);
	struct queue_item *it;

	update_drain_rates(f, now);
	it = select_item(f);
	if (it) {
		it->bulk = is_bulk(f, it->account_entry);
		it->keep_headroom =
			it->bulk && has_sparse_account(&f->rank[it->rank], now);
	}
	return it;
}

static void fair_dispatch(struct queue *q, struct queue_item *it, int64_t now)
{
	struct fair_queue *f = to_fair_queue(q);
	struct rank_queue *rq = &f->rank[it->rank];

	update_drain_rates(f, now);
	if (it->account_entry->virtual_time > rq->virtual_time)
		rq->virtual_time = it->account_entry->virtual_time;
	it->uses_floor = false;
	for (unsigned r = 0; r < it->rank; r++)
		if (f->rank[r].n_waiting)
			it->uses_floor = true;
	/*
	 * Charged while the item still counts as waiting, so that the floor
	 * allowance of its rank grows too.
	 */
	charge_cost(f, it, item_cost(f, it));
	dequeue(f, it);
	it->running = true;
	it->account_entry->n_running++;
	add_running_cost(f, rq, it->account_entry, it->charged_cost);
}

static void fair_requeue(struct queue *q, struct queue_item *it, int64_t now)
{
	struct fair_queue *f = to_fair_queue(q);

	assert(it->running);
	update_drain_rates(f, now);
	it->account_entry->n_running--;
	add_running_cost(f, &f->rank[it->rank], it->account_entry,
			 -it->charged_cost);
	charge_cost(f, it, -it->charged_cost);
	it->running = it->uses_floor = false;
	enqueue(f, it, true);
}

/*
 * Adds new output to the served counters and returns the actual cost of the
 * item so far.  The counters never decrease: the hub uses their differences.
 */
static double record_output(struct fair_queue *f, struct queue_item *it,
			    uint32_t output)
{
	double cost = 0;

	if (output > it->output_tokens) {
		if (!it->output_tokens)
			cost += queue_cost(&f->cfg, it->prompt_tokens, 0);
		cost += queue_cost(&f->cfg, 0, output - it->output_tokens);
		it->output_tokens = output;
		it->account_entry->served_cost += cost;
		f->rank[it->rank].served_cost += cost;
	}
	return it->output_tokens ? queue_cost(&f->cfg, it->prompt_tokens,
					      it->output_tokens)
				 : 0;
}

static void fair_update_output(struct queue *q, struct queue_item *it,
			       uint32_t output, int64_t now)
{
	struct fair_queue *f = to_fair_queue(q);
	double actual = record_output(f, it, output);

	if (actual <= it->charged_cost)
		return;
	update_drain_rates(f, now);
	add_running_cost(f, &f->rank[it->rank], it->account_entry,
			 actual - it->charged_cost);
	charge_cost(f, it, actual - it->charged_cost);
}

static void fair_finish(struct queue *q, struct queue_item *it, uint32_t output,
			int64_t now)
{
	struct fair_queue *f = to_fair_queue(q);
	struct rank_queue *rq = &f->rank[it->rank];
	double actual = record_output(f, it, output);

	assert(it->running);
	update_drain_rates(f, now);
	it->account_entry->n_running--;
	add_running_cost(f, rq, it->account_entry, -it->charged_cost);
	charge_cost(f, it, actual - it->charged_cost);
	it->running = false;
	account_deactivate(f, rq, it->account_entry);
	it->account_entry = NULL;
}

static void fair_remove(struct queue *q, struct queue_item *it, int64_t now)
{
	struct fair_queue *f = to_fair_queue(q);

	update_drain_rates(f, now);
	dequeue(f, it);
	account_deactivate(f, &f->rank[it->rank], it->account_entry);
	it->account_entry = NULL;
}

static int64_t fair_next_expiry(struct queue *q)
{
	struct heap_node *min = heap_min(&to_fair_queue(q)->expiry);

	return min ? (int64_t)min->key : INT64_MAX;
}

static struct queue_item *fair_pop_expired(struct queue *q, int64_t now)
{
	struct queue_item *it;

	if (fair_next_expiry(q) > now)
		return NULL;
	it = heap_entry(heap_min(&to_fair_queue(q)->expiry), struct queue_item,
			expiry_node);
	fair_remove(q, it, now);
	return it;
}

static int64_t fair_wait_us(struct queue *q, const char *account, unsigned rank,
			    int64_t now)
{
	struct fair_queue *f = to_fair_queue(q);
	struct rank_queue *rq = &f->rank[rank];

	update_drain_rates(f, now);
	return (int64_t)expected_wait_us(
		rq, g_hash_table_lookup(rq->accounts, account),
		account_weight(f, account), 0);
}

static int compare_usage(const void *a, const void *b)
{
	const struct queue_usage *x = a, *y = b;

	if (x->backlogged != y->backlogged)
		return x->backlogged ? -1 : 1;
	return (x->tokens < y->tokens) - (x->tokens > y->tokens);
}

static size_t fair_list_usage(struct queue *q, struct queue_usage *rows,
			      size_t max)
{
	struct fair_queue *f = to_fair_queue(q);
	g_autoptr(GArray) all = g_array_new(FALSE, FALSE, sizeof(*rows));
	size_t n;

	for (unsigned r = 0; r < QUEUE_RANKS; r++) {
		GHashTableIter iter;
		void *val;

		g_hash_table_iter_init(&iter, f->rank[r].accounts);
		while (g_hash_table_iter_next(&iter, NULL, &val)) {
			struct queue_account *a = val;
			struct queue_usage u = {a->name, r,
						(uint64_t)a->served_cost,
						a->n_waiting > 0};

			if (a->n_waiting || a->n_running)
				g_array_append_val(all, u);
		}
	}
	g_array_sort(all, compare_usage);
	n = all->len < max ? all->len : max;
	for (size_t i = 0; i < n; i++) {
		struct queue_account *a;

		rows[i] = g_array_index(all, struct queue_usage, i);
		a = g_hash_table_lookup(f->rank[rows[i].rank].accounts,
					rows[i].account);
		a->reported_cost = (double)rows[i].tokens;
	}
	return n;
}

/*
 * Only increases of the other hosts' cost above its highest value so far are
 * charged.  The hub's total lags behind reported_cost by a varying delay, and
 * every fluctuation of the difference would otherwise be charged.  The highest
 * value decays slowly, because the difference drops if the hub is replaced or
 * removes a host.
 */
static void fair_set_dc_served(struct queue *q, unsigned rank,
			       const char *account, uint64_t tokens,
			       int64_t now)
{
	struct fair_queue *f = to_fair_queue(q);
	struct rank_queue *rq;
	struct queue_account *a;
	double remote, lead;

	if (rank >= QUEUE_RANKS)
		return;
	update_drain_rates(f, now);
	rq = &f->rank[rank];
	a = g_hash_table_lookup(rq->accounts, account);
	if (!a)
		return;
	remote = (double)tokens - a->reported_cost;
	if (!a->has_remote_cost ||
	    remote < a->max_remote_cost - f->cfg.max_remote_lead) {
		a->has_remote_cost = true;
		a->max_remote_cost = remote;
		return;
	}
	if (remote <= a->max_remote_cost) {
		a->max_remote_cost -= (a->max_remote_cost - remote) / 8;
		return;
	}
	lead = rq->virtual_time + f->cfg.max_remote_lead / a->weight;
	if (a->virtual_time < lead) {
		a->virtual_time += (remote - a->max_remote_cost) / a->weight;
		if (a->virtual_time > lead)
			a->virtual_time = lead;
		if (heap_is_member(&a->heap_node))
			update_heap_key(f, rq, a);
	}
	a->max_remote_cost = remote;
}

static void fair_stats(const struct queue *q, struct queue_stats *out)
{
	const struct fair_queue *f = (const struct fair_queue *)q;

	memset(out, 0, sizeof(*out));
	for (unsigned r = 0; r < QUEUE_RANKS; r++) {
		const struct rank_queue *rq = &f->rank[r];

		out->items[r] = rq->n_waiting;
		out->bytes[r] = rq->waiting_bytes;
		out->waiting_cost[r] = rq->waiting_cost;
		out->tokens[r] = rq->waiting_tokens;
		out->served_cost[r] = rq->served_cost;
		out->drain_rate[r] = drain_rate(&rq->drain);
		out->accounts += g_hash_table_size(rq->accounts);
	}
}

const struct queue_ops queue_fair = {
	.name = "fair",
	.create = fair_create,
	.destroy = fair_destroy,
	.configure = fair_configure,
	.push = fair_push,
	.peek = fair_peek,
	.dispatch = fair_dispatch,
	.requeue = fair_requeue,
	.update_output = fair_update_output,
	.finish = fair_finish,
	.remove = fair_remove,
	.pop_expired = fair_pop_expired,
	.next_expiry = fair_next_expiry,
	.wait_us = fair_wait_us,
	.list_usage = fair_list_usage,
	.set_dc_served = fair_set_dc_served,
	.stats = fair_stats,
};
