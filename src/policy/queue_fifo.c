#include <assert.h>
#include <string.h>
#include <glib.h>
#include "base/err.h"
#include "policy/drain_rate.h"
#include "policy/queue.h"

/*
 * First come, first served over all ranks and accounts: the baseline for
 * comparisons.  The limits on items and bytes are the sums, and the age
 * limit is the maximum, of the limits of the ranks.  Deadlines are not
 * checked when an item is added; it expires if it cannot meet its deadline.
 */

struct fifo_queue {
	struct queue base;
	struct queue_cfg cfg;
	struct list waiting_items;
	struct heap expiry;
	struct queue_stats stats;
	size_t n_waiting, waiting_bytes, max_items, max_bytes;
	int64_t max_age_us;
	double waiting_cost;
	struct drain drain;
};

static struct fifo_queue *to_fifo_queue(struct queue *q)
{
	return (struct fifo_queue *)q;
}

static void fifo_configure(struct queue *q, const struct queue_cfg *cfg)
{
	struct fifo_queue *f = to_fifo_queue(q);

	f->cfg = *cfg;
	queue_defaults(&f->cfg);
	f->max_items = f->max_bytes = 0;
	f->max_age_us = 0;
	for (unsigned r = 0; r < QUEUE_RANKS; r++) {
		const struct queue_rank_cfg *rc = &f->cfg.rank[r];

		f->max_items += rc->max_items;
		f->max_bytes += rc->max_bytes;
		if (rc->max_age_us > f->max_age_us)
			f->max_age_us = rc->max_age_us;
	}
}

static struct queue *fifo_create(const struct queue_cfg *cfg)
{
	struct fifo_queue *f = g_new0(struct fifo_queue, 1);

	f->base.ops = &queue_fifo;
	fifo_configure(&f->base, cfg);
	list_init(&f->waiting_items);
	return &f->base;
}

static void fifo_destroy(struct queue *q)
{
	heap_release(&to_fifo_queue(q)->expiry);
	g_free(q);
}

static double item_cost(const struct fifo_queue *f, const struct queue_item *it)
{
	return queue_cost(&f->cfg, it->prompt_tokens, it->est_output_tokens);
}

static void update_drain_rate(struct fifo_queue *f, int64_t now)
{
	drain_add_time(&f->drain, f->n_waiting > 0, now);
}

static double expected_wait_us(const struct fifo_queue *f)
{
	double rate = drain_rate(&f->drain);

	return rate > 0 ? f->waiting_cost / rate * 1e6 : 0;
}

static unsigned retry_after_seconds(double us)
{
	return us < 1e6 ? 1 : us > 60e6 ? 60 : (unsigned)(us / 1e6 + 0.99);
}

static void enqueue(struct fifo_queue *f, struct queue_item *it, bool head)
{
	int64_t expires_us = it->arrived_us + f->max_age_us;

	if (head)
		list_add(&f->waiting_items, &it->list_node);
	else
		list_add_tail(&f->waiting_items, &it->list_node);
	if (it->deadline_us &&
	    it->deadline_us - it->expected_service_us < expires_us)
		expires_us = it->deadline_us - it->expected_service_us;
	heap_set(&f->expiry, &it->expiry_node, (double)expires_us);
	f->n_waiting++;
	f->waiting_bytes += it->bytes;
	f->waiting_cost += item_cost(f, it);
	f->stats.items[it->rank]++;
	f->stats.bytes[it->rank] += it->bytes;
	f->stats.tokens[it->rank] +=
		(uint64_t)it->prompt_tokens + it->est_output_tokens;
}

static void dequeue(struct fifo_queue *f, struct queue_item *it)
{
	list_del(&it->list_node);
	heap_remove(&f->expiry, &it->expiry_node);
	f->waiting_bytes -= it->bytes;
	f->waiting_cost =
		--f->n_waiting ? f->waiting_cost - item_cost(f, it) : 0;
	f->stats.items[it->rank]--;
	f->stats.bytes[it->rank] -= it->bytes;
	f->stats.tokens[it->rank] -=
		(uint64_t)it->prompt_tokens + it->est_output_tokens;
}

static int fifo_push(struct queue *q, struct queue_item *it, int64_t now,
		     unsigned *retry_after_s)
{
	struct fifo_queue *f = to_fifo_queue(q);

	*retry_after_s = 1;
	if (it->rank >= QUEUE_RANKS)
		return -MW_EINVAL;
	update_drain_rate(f, now);
	if (f->n_waiting >= f->max_items ||
	    f->waiting_bytes + it->bytes > f->max_bytes) {
		*retry_after_s = retry_after_seconds(expected_wait_us(f) / 4);
		return -MW_EQUEUEFULL;
	}
	it->account_entry = NULL;
	it->arrived_us = now;
	it->output_tokens = 0;
	it->running = it->uses_floor = it->bulk = false;
	memset(&it->expiry_node, 0, sizeof(it->expiry_node));
	enqueue(f, it, false);
	return 0;
}

static struct queue_item *fifo_peek(struct queue *q, int64_t now)
{
	struct fifo_queue *f = to_fifo_queue(q);

	update_drain_rate(f, now);
	return f->n_waiting ? list_first(&f->waiting_items, struct queue_item,
					 list_node)
			    : NULL;
}

static void fifo_dispatch(struct queue *q, struct queue_item *it, int64_t now)
{
	struct fifo_queue *f = to_fifo_queue(q);

	update_drain_rate(f, now);
	it->charged_cost = item_cost(f, it);
	drain_add(&f->drain, it->charged_cost);
	dequeue(f, it);
	it->running = true;
}

static void fifo_requeue(struct queue *q, struct queue_item *it, int64_t now)
{
	struct fifo_queue *f = to_fifo_queue(q);

	assert(it->running);
	update_drain_rate(f, now);
	drain_add(&f->drain, -it->charged_cost);
	it->running = false;
	enqueue(f, it, true);
}

static void fifo_update_output(struct queue *q, struct queue_item *it,
			       uint32_t output, int64_t now)
{
	struct fifo_queue *f = to_fifo_queue(q);

	(void)now;
	if (output <= it->output_tokens)
		return;
	if (!it->output_tokens)
		f->stats.served_cost[it->rank] +=
			queue_cost(&f->cfg, it->prompt_tokens, 0);
	f->stats.served_cost[it->rank] +=
		queue_cost(&f->cfg, 0, output - it->output_tokens);
	it->output_tokens = output;
}

static void fifo_finish(struct queue *q, struct queue_item *it, uint32_t output,
			int64_t now)
{
	struct fifo_queue *f = to_fifo_queue(q);

	fifo_update_output(q, it, output, now);
	update_drain_rate(f, now);
	drain_add(&f->drain,
		  queue_cost(&f->cfg, it->prompt_tokens, it->output_tokens) -
			  it->charged_cost);
	it->running = false;
}

static void fifo_remove(struct queue *q, struct queue_item *it, int64_t now)
{
	update_drain_rate(to_fifo_queue(q), now);
	dequeue(to_fifo_queue(q), it);
}

static int64_t fifo_next_expiry(struct queue *q)
{
	struct heap_node *min = heap_min(&to_fifo_queue(q)->expiry);

	return min ? (int64_t)min->key : INT64_MAX;
}

static struct queue_item *fifo_pop_expired(struct queue *q, int64_t now)
{
	struct queue_item *it;

	if (fifo_next_expiry(q) > now)
		return NULL;
	it = heap_entry(heap_min(&to_fifo_queue(q)->expiry), struct queue_item,
			expiry_node);
	fifo_remove(q, it, now);
	return it;
}

static int64_t fifo_wait_us(struct queue *q, const char *account, unsigned rank,
			    int64_t now)
{
	(void)account;
	(void)rank;
	update_drain_rate(to_fifo_queue(q), now);
	return (int64_t)expected_wait_us(to_fifo_queue(q));
}

static size_t fifo_list_usage(struct queue *q, struct queue_usage *rows,
			      size_t max)
{
	(void)q;
	(void)rows;
	(void)max;
	return 0;
}

static void fifo_set_dc_served(struct queue *q, unsigned rank,
			       const char *account, uint64_t tokens,
			       int64_t now)
{
	(void)q;
	(void)rank;
	(void)account;
	(void)tokens;
	(void)now;
}

static void fifo_stats(const struct queue *q, struct queue_stats *out)
{
	const struct fifo_queue *f = (const struct fifo_queue *)q;

	*out = f->stats;
	out->waiting_cost[0] = f->waiting_cost;
	out->drain_rate[0] = drain_rate(&f->drain);
}

const struct queue_ops queue_fifo = {
	.name = "fifo",
	.create = fifo_create,
	.destroy = fifo_destroy,
	.configure = fifo_configure,
	.push = fifo_push,
	.peek = fifo_peek,
	.dispatch = fifo_dispatch,
	.requeue = fifo_requeue,
	.update_output = fifo_update_output,
	.finish = fifo_finish,
	.remove = fifo_remove,
	.pop_expired = fifo_pop_expired,
	.next_expiry = fifo_next_expiry,
	.wait_us = fifo_wait_us,
	.list_usage = fifo_list_usage,
	.set_dc_served = fifo_set_dc_served,
	.stats = fifo_stats,
};
