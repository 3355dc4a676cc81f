#ifndef STATE_ORDER_H
#define STATE_ORDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/mw.pb-c.h"

/*
 * Orders to endpoints.  The leader commits the intent before it sends an order
 * and the result afterwards.  An open order has an intent but no result: it
 * may have been sent, so a new leader does not repeat it.
 */
struct orders;

#define ORDER_OPEN_MAX 4096
#define ORDER_DONE_MAX 1000 /* finished orders that are kept */
#define ORDER_ID_MAX 128    /* bytes of an id or a name */

/*
 * Fencing token of the order whose intent is at this log entry.  It increases
 * with the log: the term, followed by the low 32 bits of the index.
 */
static inline uint64_t order_fence(uint64_t term, uint64_t index)
{
	return term << 32 | (index & UINT32_MAX);
}

struct orders *orders_new(void);
void orders_free(struct orders *o);

/*
 * Records an intent with its fencing token.  A repeated intent keeps the token
 * of the first one; an id that was used with other content is refused with
 * -MW_EKEYREUSED.  Returns 0, -MW_EINVAL, -MW_EKEYREUSED or -MW_ELIMIT.  *out
 * is the record, owned by o, or NULL on failure.
 */
int order_record_intent(struct orders *o, uint64_t now_ms, uint64_t fence,
			const Mw__OrderIntent *intent,
			const Mw__SnapOrder **out);

/*
 * Records the result of an order; a later result is ignored.  Returns 0, or
 * -MW_ENOTFOUND.  *out is the record, owned by o, or NULL if there is none.
 */
int order_record_result(struct orders *o, uint64_t now_ms,
			const Mw__OrderDone *done, const Mw__SnapOrder **out);

const Mw__SnapOrder *order_find(const struct orders *o, const char *id);

/* Open orders, oldest intent first. */
size_t order_open_count(const struct orders *o);
void order_for_each_open(const struct orders *o,
			 void (*fn)(const Mw__SnapOrder *order, void *arg),
			 void *arg);

/* Finished orders that are kept, oldest result first. */
void order_for_each_done(const struct orders *o,
			 void (*fn)(const Mw__SnapOrder *order, void *arg),
			 void *arg);

/* Saves open orders, then finished ones; order_load() expects that order. */
void order_save(const struct orders *o,
		void (*fn)(const Mw__SnapOrder *order, void *arg), void *arg);
/* Adds a saved order.  Returns 0 or -MW_ECORRUPT. */
int order_load(struct orders *o, const Mw__SnapOrder *rec);

#endif
