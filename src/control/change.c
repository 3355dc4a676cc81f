#include "control/change.h"

#include <assert.h>
#include <string.h>
#include <glib.h>

#include "base/err.h"

struct change {
	Mw__Change *msg;
	struct tree *tree;
	int64_t prepare_started_us;
	uint64_t attempt;
	GHashTable *acks;	     /* set of ack_key() */
	enum change_verdict verdict; /* CHANGE_WAIT until it is final */
	/* After CHANGE_REFUSE, see change_reason(). */
	int err;
	char where[MEMBER_NAME_MAX + 1];
	const char *reason;
};

static Mw__Change *copy_change(const Mw__Change *c)
{
	size_t len = mw__change__get_packed_size(c);
	g_autofree uint8_t *bytes = g_malloc(len + 1);

	mw__change__pack(c, bytes);
	Mw__Change *copy = mw__change__unpack(NULL, len, bytes);
	assert(copy);
	return copy;
}

/* Lower bits of an attempt number that hold the serial; the term is above. */
#define ATTEMPT_SERIAL_BITS 24

struct change *change_new(const Mw__Change *msg, struct tree *tree,
			  uint64_t term, uint64_t serial, int64_t now)
{
	struct change *c = g_new0(struct change, 1);

	c->msg = copy_change(msg);
	c->tree = tree_ref(tree);
	c->prepare_started_us = now;
	c->attempt = (term << ATTEMPT_SERIAL_BITS) |
		     (serial & ((1 << ATTEMPT_SERIAL_BITS) - 1));
	c->acks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return c;
}

void change_free(struct change *c)
{
	if (!c)
		return;
	mw__change__free_unpacked(c->msg, NULL);
	tree_unref(c->tree);
	g_hash_table_destroy(c->acks);
	g_free(c);
}

uint64_t change_version(const struct change *c)
{
	return tree_version(c->tree);
}

uint64_t change_attempt(const struct change *c)
{
	return c->attempt;
}

const char *change_id(const struct change *c)
{
	return c->msg->id;
}

const Mw__Change *change_message(const struct change *c)
{
	return c->msg;
}

struct tree *change_tree(const struct change *c)
{
	return c->tree;
}

bool change_leaves_out(const struct change *c, const char *dc)
{
	for (size_t i = 0; i < c->msg->n_left_out; i++)
		if (!strcmp(c->msg->left_out[i], dc))
			return true;
	return false;
}

static char *ack_key(const char *host, uint64_t incarnation)
{
	return g_strdup_printf("%s/%" G_GUINT64_FORMAT, host, incarnation);
}

static enum change_verdict refuse_change(struct change *c, int err,
					 const char *where, const char *reason)
{
	c->verdict = CHANGE_REFUSE;
	c->err = err;
	c->reason = reason;
	g_strlcpy(c->where, where, sizeof(c->where));
	return c->verdict;
}

void change_record_ack(struct change *c, const Mw__PrepareAck *ack)
{
	if (c->verdict != CHANGE_WAIT || ack->attempt != c->attempt)
		return;
	if (ack->err < 0)
		refuse_change(c, ack->err, ack->host,
			      "a host refused the change");
	else
		g_hash_table_add(c->acks, ack_key(ack->host, ack->incarnation));
}

bool change_has_ack(const struct change *c, const char *host,
		    uint64_t incarnation)
{
	g_autofree char *key = ack_key(host, incarnation);

	return g_hash_table_contains(c->acks, key);
}

enum change_verdict change_decide(struct change *c, struct lease_table *leases,
				  const struct members *m, int64_t now)
{
	bool must_wait = false;

	if (c->verdict != CHANGE_WAIT)
		return c->verdict;
	for (size_t i = 0; i < member_count(m); i++) {
		const struct member_host *h = member_at(m, i);
		const char *dc = h->info->dc;
		if (!member_weight2(m, dc, h->info->host) ||
		    change_leaves_out(c, dc) ||
		    change_has_ack(c, h->info->host, h->info->incarnation))
			continue;
		if (lease_may_be_held(leases, h->info->host,
				      h->info->incarnation, now)) {
			must_wait = true;
			continue;
		}
		if (!lease_dc_connected(leases, m, dc, now))
			return refuse_change(
				c, -MW_EDCCUT, dc,
				"the data centre is out of reach and may "
				"still be serving");
	}
	if (!must_wait)
		return c->verdict = CHANGE_COMMIT;
	if (now - c->prepare_started_us > CHANGE_PREPARE_MAX_US)
		return refuse_change(c, -MW_ETIMEOUT, "",
				     "not all hosts acknowledged in time");
	return CHANGE_WAIT;
}

int change_reason(const struct change *c, const char **where,
		  const char **reason)
{
	*where = c->where;
	*reason = c->reason;
	return c->err;
}
