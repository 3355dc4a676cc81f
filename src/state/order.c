#include "state/order.h"

#include <string.h>
#include <glib.h>

#include "base/err.h"
#include "base/list.h"
#include "state/pb.h"

struct order_rec {
	struct list link;
	Mw__SnapOrder *order;
};

struct orders {
	GHashTable *by_id; /* order id -> struct order_rec */
	struct list open;  /* oldest intent first */
	struct list done;  /* oldest result first */
	size_t n_open, n_done;
};

struct orders *orders_new(void)
{
	struct orders *o = g_new0(struct orders, 1);

	o->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	list_init(&o->open);
	list_init(&o->done);
	return o;
}

static void rec_free(struct order_rec *r)
{
	list_del(&r->link);
	mw__snap_order__free_unpacked(r->order, NULL);
	g_free(r);
}

void orders_free(struct orders *o)
{
	struct order_rec *r, *next;

	if (!o)
		return;
	list_for_each_entry_safe (r, next, &o->open, link)
		rec_free(r);
	list_for_each_entry_safe (r, next, &o->done, link)
		rec_free(r);
	g_hash_table_destroy(o->by_id);
	g_free(o);
}

static bool id_valid(const char *s)
{
	return *s && strlen(s) <= ORDER_ID_MAX;
}

static bool intent_valid(const Mw__OrderIntent *in)
{
	static const char *const order_types[] = {"load_model", "load_adapter",
						  "load_version", "set_role"};
	size_t i = 0;

	while (i < G_N_ELEMENTS(order_types) &&
	       strcmp(order_types[i], in->order) != 0)
		i++;
	return i < G_N_ELEMENTS(order_types) && id_valid(in->order_id) &&
	       id_valid(in->endpoint) && strlen(in->model) <= ORDER_ID_MAX &&
	       strlen(in->adapter) <= ORDER_ID_MAX &&
	       strlen(in->version) <= ORDER_ID_MAX &&
	       strlen(in->role) <= ORDER_ID_MAX;
}

static struct order_rec *rec_add(struct orders *o, const Mw__SnapOrder *order)
{
	struct order_rec *r = g_new0(struct order_rec, 1);

	r->order = pb_copy(&order->base);
	g_hash_table_insert(o->by_id, r->order->intent->order_id, r);
	if (order->done) {
		list_add_tail(&o->done, &r->link);
		o->n_done++;
	} else {
		list_add_tail(&o->open, &r->link);
		o->n_open++;
	}
	return r;
}

int order_record_intent(struct orders *o, uint64_t now_ms, uint64_t fence,
			const Mw__OrderIntent *intent,
			const Mw__SnapOrder **out)
{
	Mw__SnapOrder order = MW__SNAP_ORDER__INIT;
	const struct order_rec *r;

	*out = NULL;
	if (!intent_valid(intent))
		return -MW_EINVAL;
	r = g_hash_table_lookup(o->by_id, intent->order_id);
	if (r && !pb_equal(&intent->base, &r->order->intent->base))
		return -MW_EKEYREUSED;
	if (!r) {
		if (o->n_open >= ORDER_OPEN_MAX)
			return -MW_ELIMIT;
		order.intent = (Mw__OrderIntent *)intent;
		order.fence = fence;
		order.intent_ms = now_ms;
		r = rec_add(o, &order);
	}
	*out = r->order;
	return 0;
}

int order_record_result(struct orders *o, uint64_t now_ms,
			const Mw__OrderDone *done, const Mw__SnapOrder **out)
{
	struct order_rec *r = g_hash_table_lookup(o->by_id, done->order_id);

	*out = r ? r->order : NULL;
	if (!r)
		return -MW_ENOTFOUND;
	if (r->order->done)
		return 0;
	r->order->done = true;
	r->order->err = done->err;
	r->order->done_ms = now_ms;
	list_del(&r->link);
	list_add_tail(&o->done, &r->link);
	o->n_open--;
	if (++o->n_done > ORDER_DONE_MAX) {
		struct order_rec *oldest =
			list_first(&o->done, struct order_rec, link);

		g_hash_table_remove(o->by_id, oldest->order->intent->order_id);
		rec_free(oldest);
		o->n_done--;
	}
	return 0;
}

const Mw__SnapOrder *order_find(const struct orders *o, const char *id)
{
	const struct order_rec *r = g_hash_table_lookup(o->by_id, id);

	return r ? r->order : NULL;
}

size_t order_open_count(const struct orders *o)
{
	return o->n_open;
}

void order_for_each_open(const struct orders *o,
			 void (*fn)(const Mw__SnapOrder *order, void *arg),
			 void *arg)
{
	const struct order_rec *r;

	list_for_each_entry (r, &o->open, link)
		fn(r->order, arg);
}

void order_for_each_done(const struct orders *o,
			 void (*fn)(const Mw__SnapOrder *order, void *arg),
			 void *arg)
{
	const struct order_rec *r;

	list_for_each_entry (r, &o->done, link)
		fn(r->order, arg);
}

void order_save(const struct orders *o,
		void (*fn)(const Mw__SnapOrder *order, void *arg), void *arg)
{
	order_for_each_open(o, fn, arg);
	order_for_each_done(o, fn, arg);
}

int order_load(struct orders *o, const Mw__SnapOrder *rec)
{
	if (!rec->intent || !intent_valid(rec->intent) ||
	    order_find(o, rec->intent->order_id) ||
	    (rec->done ? o->n_done >= ORDER_DONE_MAX
		       : o->n_open >= ORDER_OPEN_MAX) ||
	    (!rec->done && o->n_done))
		return -MW_ECORRUPT;
	rec_add(o, rec);
	return 0;
}
