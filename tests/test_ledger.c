#include "state_util.h"

static const struct ledger_limits limits = {3, 5, 100000};
static uint8_t hash1[16] = {1}, hash2[16] = {2};

static struct ledger_answer begin(struct ledger *l, const char *key,
				  uint8_t *hash, uint64_t attempt)
{
	Mw__LedgerBegin b = MW__LEDGER_BEGIN__INIT;

	b.account = "acme";
	b.key = (char *)key;
	b.body_hash.data = hash;
	b.body_hash.len = 16;
	b.host = "h1";
	b.incarnation = 1;
	b.attempt = attempt;
	return ledger_begin(l, 1000, &limits, true, &b);
}

static struct ledger_answer end(struct ledger *l, const char *key,
				uint64_t attempt, size_t body_len, bool unknown)
{
	static uint8_t body[LEDGER_BODY_MAX + 1];
	Mw__LedgerEnd e = MW__LEDGER_END__INIT;

	e.account = "acme";
	e.key = (char *)key;
	e.host = "h1";
	e.incarnation = 1;
	e.attempt = attempt;
	e.status = 201;
	e.content_type = "text/plain";
	e.body.data = body;
	e.body.len = body_len;
	e.unknown = unknown;
	return ledger_end(l, 2000, &limits, &e);
}

static struct ledger_answer close_key(struct ledger *l, const char *key,
				      uint64_t attempt)
{
	Mw__LedgerClose c = MW__LEDGER_CLOSE__INIT;

	c.account = "acme";
	c.key = (char *)key;
	c.body_hash.data = hash1;
	c.body_hash.len = 16;
	c.host = "h1";
	c.incarnation = 1;
	c.attempt = attempt;
	return ledger_close(l, 2000, &limits, &c);
}

/*
 * A call that has run must not run again: a later begin gets the recorded
 * answer and no grant.
 */
START_TEST(test_resend_gets_first_answer)
{
	struct ledger *l = ledger_new();
	struct ledger_answer a = begin(l, "k", hash1, 1);

	ck_assert(!a.err && a.first);
	a = begin(l, "k", hash1, 2);
	ck_assert(a.err == -MW_EINPROGRESS && !a.first);
	ck_assert_int_eq(begin(l, "k", hash2, 2).err, -MW_EKEYREUSED);
	ck_assert_int_eq(end(l, "k", 2, 3, false).err, -MW_ECONFLICT);
	ck_assert_int_eq(end(l, "other", 2, 3, false).err, -MW_ENOTFOUND);
	ck_assert_int_eq(end(l, "k", 1, 3, false).err, 0);
	a = begin(l, "k", hash1, 3);
	ck_assert(!a.err && !a.first && a.state == LEDGER_DONE);
	ck_assert(a.status == 201 && a.body_len == 3 && !a.body_dropped);
	ck_assert_str_eq(a.content_type, "text/plain");
	ck_assert_int_eq(begin(l, "k", hash2, 3).err, -MW_EKEYREUSED);
	/* Neither a repeated end nor a late close changes the answer. */
	ck_assert_uint_eq(end(l, "k", 1, 9, true).body_len, 3);
	ck_assert_int_eq(close_key(l, "k", 1).state, LEDGER_DONE);
	ledger_free(l);
}
END_TEST

/* A key must not be granted after a close said that its call has not run. */
START_TEST(test_close_is_binding)
{
	struct ledger *l = ledger_new();

	ck_assert(begin(l, "k", hash1, 1).first);
	ck_assert_int_eq(close_key(l, "k", 2).err, -MW_EINPROGRESS);
	ck_assert_int_eq(close_key(l, "k", 1).err, 0);
	ck_assert_int_eq(begin(l, "k", hash1, 1).err, -MW_ENOTRUN);
	ck_assert_int_eq(begin(l, "k", hash1, 2).err, -MW_ENOTRUN);
	ck_assert_int_eq(end(l, "k", 1, 3, false).err, -MW_ENOTRUN);
	ck_assert_int_eq(close_key(l, "early", 4).state, LEDGER_CLOSED);
	ck_assert_int_eq(begin(l, "early", hash1, 4).err, -MW_ENOTRUN);
	ck_assert_int_eq(close_key(l, "early", 5).err, 0);
	ledger_free(l);
}
END_TEST

/*
 * When a host is removed, its started keys must become unknown instead of
 * staying started, and it must not be granted another key.
 */
START_TEST(test_host_gone)
{
	struct ledger *l = ledger_new();
	Mw__LedgerBegin b = MW__LEDGER_BEGIN__INIT;

	ck_assert(begin(l, "a", hash1, 1).first);
	ck_assert(begin(l, "b", hash1, 2).first);
	ck_assert_int_eq(end(l, "b", 2, 0, false).err, 0);
	ck_assert_uint_eq(ledger_host_gone(l, 3000, "h2", 9), 0);
	ck_assert_uint_eq(ledger_host_gone(l, 3000, "h1", 0), 0);
	ck_assert_uint_eq(ledger_host_gone(l, 3000, "h1", 1), 1);
	ck_assert_int_eq(begin(l, "a", hash1, 3).err, -MW_EUNKNOWN);
	ck_assert_int_eq(end(l, "a", 1, 3, false).err, -MW_EUNKNOWN);
	ck_assert_int_eq(close_key(l, "a", 1).err, -MW_EUNKNOWN);
	ck_assert_int_eq(begin(l, "b", hash1, 3).state, LEDGER_DONE);
	ck_assert(begin(l, "c", hash1, 4).first);
	ck_assert_int_eq(end(l, "c", 4, 0, true).state, LEDGER_UNKNOWN);
	b.account = b.key = "x";
	b.host = "h1";
	b.body_hash.data = hash1;
	b.body_hash.len = 16;
	ck_assert_int_eq(ledger_begin(l, 0, &limits, false, &b).err,
			 -MW_EFENCED);
	ck_assert_uint_eq(ledger_count_started(l), 0);
	ledger_free(l);
}
END_TEST

/* The number of keys and the size of recorded answers must stay bounded. */
START_TEST(test_bounds)
{
	struct ledger *l = ledger_new();
	struct ledger_answer a;

	for (int i = 0; i < 3; i++) {
		char key[16];

		snprintf(key, sizeof(key), "k%d", i);
		ck_assert(begin(l, key, hash1, 1).first);
	}
	ck_assert_int_eq(begin(l, "k3", hash1, 1).err, -MW_ELIMIT);
	ck_assert_int_eq(close_key(l, "k3", 1).err, -MW_ELIMIT);
	ck_assert_int_eq(begin(l, "k1", hash1, 2).err, -MW_EINPROGRESS);
	a = end(l, "k0", 1, LEDGER_BODY_MAX + 1, false);
	ck_assert(!a.err && a.body_dropped && !a.body_len && a.status == 201);
	a = end(l, "k1", 1, LEDGER_BODY_MAX, false);
	ck_assert(!a.body_dropped && a.body_len == LEDGER_BODY_MAX);
	a = end(l, "k2", 1, LEDGER_BODY_MAX, false);
	ck_assert(a.body_dropped);
	ck_assert_uint_eq(ledger_body_bytes(l), LEDGER_BODY_MAX);
	ck_assert_uint_eq(ledger_expire(l, 2000), 0);
	ck_assert_uint_eq(ledger_expire(l, 2001), 3);
	ck_assert_uint_eq(ledger_body_bytes(l), 0);
	ck_assert_uint_eq(ledger_count_account(l, "acme"), 0);
	ck_assert(begin(l, "k0", hash1, 1).first);
	ck_assert_int_eq(begin(l, "", hash1, 1).err, -MW_EINVAL);
	/* A started record must not expire, however old it is. */
	ck_assert_uint_eq(ledger_expire(l, UINT64_MAX), 0);
	ledger_free(l);
}
END_TEST

RUN_TESTS("ledger", test_resend_gets_first_answer, test_close_is_binding,
	  test_host_gone, test_bounds)
