#include "state_util.h"

#include <malloc.h>

static Mw__Result *change(struct sm *sm, const char *id, uint64_t base,
			  const char *path, const char *key, const char *value)
{
	struct change c;

	change_init(&c, id, base);
	change_edit(&c, path, key, value);
	return apply_body(sm, 1000, MW__COMMAND__BODY_CHANGE, &c.msg);
}

static void expect_change(struct sm *sm, const char *id, uint64_t base,
			  const char *value, int err, uint64_t version,
			  const char *winner)
{
	Mw__Result *r = change(sm, id, base, "accounts/a", "weight", value);

	ck_assert_int_eq(r->err, err);
	ck_assert_uint_eq(r->version, version);
	ck_assert_str_eq(r->change_id, winner);
	mw__result__free_unpacked(r, NULL);
}

/*
 * Of two changes with the same base version at most one must be accepted, and
 * a change that is sent again must get its first outcome.
 */
START_TEST(test_changes)
{
	struct sm *sm = sm_new();
	Mw__Result *r;

	expect_change(sm, "one", 1, "5", 0, 2, "");
	expect_change(sm, "two", 1, "6", -MW_ECONFLICT, 2, "one");
	expect_change(sm, "three", 2, "7", 0, 3, "");
	expect_change(sm, "one", 1, "5", 0, 2, "");
	expect_change(sm, "two", 1, "6", -MW_ECONFLICT, 2, "one");
	expect_change(sm, "two", 1, "8", -MW_EKEYREUSED, 2, "");
	expect_change(sm, "four", 9, "8", -MW_ECONFLICT, 3, "");
	r = change(sm, "bad", 3, "accounts/a", "weight", "0");
	ck_assert_int_eq(r->err, -MW_ESCHEMA);
	ck_assert_str_eq(r->path, "accounts/a:weight");
	ck_assert_ptr_nonnull(strstr(r->reason, "out of range"));
	mw__result__free_unpacked(r, NULL);
	expect_change(sm, "five", 3, "9", 0, 4, "");
	r = change(sm, "bad", 3, "accounts/a", "weight", "0");
	ck_assert(r->err == -MW_ESCHEMA && r->resent);
	mw__result__free_unpacked(r, NULL);
	ck_assert_int_eq(tree_account(sm_tree(sm), "a")->weight, 9);
	ck_assert_uint_eq(history_count(sm_history(sm)), 6);
	ck_assert_str_eq(history_find_accepted(sm_history(sm), 4)->summary,
			 "accounts/a:weight");
	for (int i = 0; i < HISTORY_MAX; i++) {
		char id[16];

		snprintf(id, sizeof(id), "id%d", i);
		expect_change(sm, id, 1, "5", -MW_ECONFLICT, 2,
			      i < HISTORY_MAX - 6 + 1 ? "one" : "");
	}
	ck_assert_uint_eq(history_count(sm_history(sm)), HISTORY_MAX);
	expect_change(sm, "one", 1, "5", -MW_ECONFLICT, 2, "");
	sm_free(sm);
}
END_TEST

/*
 * A key must not be granted to a host incarnation that is not registered, and
 * the started keys of a removed incarnation must become unknown.
 */
START_TEST(test_ledger_follows_hosts)
{
	struct sm *sm = sm_new();
	uint8_t hash[16] = {7};
	Mw__LedgerBegin b = MW__LEDGER_BEGIN__INIT;
	Mw__HostGone gone = MW__HOST_GONE__INIT;
	Mw__Expire expire = MW__EXPIRE__INIT;

	b.account = "acme";
	b.key = "k1";
	b.body_hash.data = hash;
	b.body_hash.len = sizeof(hash);
	b.host = gone.host = "h1";
	b.incarnation = gone.incarnation = 1;
	ck_assert_int_eq(apply_err(sm, 5, MW__COMMAND__BODY_BEGIN, &b),
			 -MW_EFENCED);
	ck_assert_int_eq(register_host(sm, "h1", "w", 1), 0);
	ck_assert_int_eq(apply_err(sm, 5, MW__COMMAND__BODY_BEGIN, &b), 0);
	ck_assert_int_eq(register_host(sm, "h1", "w", 2), 0);
	ck_assert_int_eq(apply_err(sm, 5, MW__COMMAND__BODY_BEGIN, &b),
			 -MW_EUNKNOWN);
	b.key = "k2";
	ck_assert_int_eq(apply_err(sm, 5, MW__COMMAND__BODY_BEGIN, &b),
			 -MW_EFENCED);
	b.incarnation = 2;
	ck_assert_int_eq(apply_err(sm, 5, MW__COMMAND__BODY_BEGIN, &b), 0);
	ck_assert_int_eq(apply_err(sm, 5, MW__COMMAND__BODY_HOST_GONE, &gone),
			 -MW_ENOTFOUND);
	ck_assert_uint_eq(ledger_count_started(sm_ledger(sm)), 1);
	gone.incarnation = 2;
	ck_assert_int_eq(apply_err(sm, 5, MW__COMMAND__BODY_HOST_GONE, &gone),
			 0);
	ck_assert_int_eq(ledger_lookup(sm_ledger(sm), "acme", "k2"),
			 LEDGER_UNKNOWN);
	/* A command cannot expire records inside the retention period. */
	expire.ledger_before_ms = UINT64_MAX;
	apply_err(sm, 86400000, MW__COMMAND__BODY_EXPIRE, &expire);
	ck_assert_uint_eq(ledger_count(sm_ledger(sm)), 2);
	apply_err(sm, 86400006, MW__COMMAND__BODY_EXPIRE, &expire);
	ck_assert_uint_eq(ledger_count(sm_ledger(sm)), 0);
	sm_free(sm);
}
END_TEST

/*
 * A repeated intent must keep its fencing token and a repeated result the
 * first error; the number of finished orders is bounded.
 */
START_TEST(test_orders)
{
	struct sm *sm = sm_new();
	Mw__OrderIntent in = MW__ORDER_INTENT__INIT;
	Mw__OrderDone done = MW__ORDER_DONE__INIT;
	uint64_t fence;
	Mw__Result *r;

	in.order_id = done.order_id = "o1";
	in.endpoint = "e1";
	in.order = "load_model";
	in.model = "m";
	ck_assert_int_eq(apply_err(sm, 5, MW__COMMAND__BODY_ORDER_DONE, &done),
			 -MW_ENOTFOUND);
	r = apply_body(sm, 5, MW__COMMAND__BODY_ORDER_INTENT, &in);
	fence = r->fence;
	ck_assert(!r->err && fence == ((uint64_t)1 << 32 | 2));
	mw__result__free_unpacked(r, NULL);
	r = apply_body(sm, 5, MW__COMMAND__BODY_ORDER_INTENT, &in);
	ck_assert(!r->err && r->fence == fence);
	mw__result__free_unpacked(r, NULL);
	in.model = "n";
	ck_assert_int_eq(apply_err(sm, 5, MW__COMMAND__BODY_ORDER_INTENT, &in),
			 -MW_EKEYREUSED);
	in.order_id = "o2";
	in.order = "explode";
	ck_assert_int_eq(apply_err(sm, 5, MW__COMMAND__BODY_ORDER_INTENT, &in),
			 -MW_EINVAL);
	ck_assert_uint_eq(order_open_count(sm_orders(sm)), 1);
	done.err = -MW_ETIMEOUT;
	ck_assert_int_eq(apply_err(sm, 6, MW__COMMAND__BODY_ORDER_DONE, &done),
			 0);
	done.err = 0;
	r = apply_body(sm, 7, MW__COMMAND__BODY_ORDER_DONE, &done);
	ck_assert(!r->err && r->order_err == -MW_ETIMEOUT);
	mw__result__free_unpacked(r, NULL);
	ck_assert_uint_eq(order_open_count(sm_orders(sm)), 0);
	in.order = "set_role";
	in.order_id = "x";
	for (int i = 0; i < ORDER_DONE_MAX; i++) {
		char id[16];

		snprintf(id, sizeof(id), "n%d", i);
		in.order_id = done.order_id = id;
		apply_err(sm, 8, MW__COMMAND__BODY_ORDER_INTENT, &in);
		apply_err(sm, 8, MW__COMMAND__BODY_ORDER_DONE, &done);
	}
	ck_assert_ptr_null(order_find(sm_orders(sm), "o1"));
	ck_assert_ptr_nonnull(order_find(sm_orders(sm), "n0"));
	sm_free(sm);
}
END_TEST

static int add_death(struct sm *sm, uint64_t now_ms, const char *fingerprint,
		     const char *endpoint, uint64_t incarnation)
{
	Mw__CrashMark m = MW__CRASH_MARK__INIT;
	Mw__SuspectInfo s = MW__SUSPECT_INFO__INIT, *list = &s;

	s.fingerprint = (char *)fingerprint;
	s.account = "acme";
	m.endpoint = (char *)endpoint;
	m.endpoint_incarnation = incarnation;
	m.suspects = &list;
	m.n_suspects = 1;
	return apply_err(sm, now_ms, MW__COMMAND__BODY_CRASH_MARK, &m);
}

/*
 * A request that has killed two endpoint incarnations must be refused until an
 * operator clears its mark or the mark expires.
 */
START_TEST(test_crash_marks)
{
	struct sm *sm = sm_new();
	const struct crash_marks *c = sm_crash_marks(sm);
	Mw__SuspectCleared clear = MW__SUSPECT_CLEARED__INIT;
	uint64_t version;

	clear.fingerprint = "f1";
	add_death(sm, 10, "f1", "e1", 1);
	version = crash_version(c);
	add_death(sm, 10, "f1", "e1", 1);
	ck_assert_uint_eq(crash_deaths(c, "f1"), 1);
	ck_assert_uint_eq(crash_version(c), version);
	add_death(sm, 10, "f2", "e1", 1);
	ck_assert_int_eq(
		apply_err(sm, 10, MW__COMMAND__BODY_SUSPECT_CLEARED, &clear),
		0);
	ck_assert_uint_eq(crash_deaths(c, "f1"), 0);
	add_death(sm, 10, "f1", "e1", 2);
	add_death(sm, 10, "f1", "e2", 2);
	ck_assert(crash_is_poisoned(c, "f1") && !crash_is_poisoned(c, "f2"));
	ck_assert_int_eq(
		apply_err(sm, 10, MW__COMMAND__BODY_SUSPECT_CLEARED, &clear),
		-MW_EPOISON);
	clear.force = true;
	ck_assert_int_eq(
		apply_err(sm, 10, MW__COMMAND__BODY_SUSPECT_CLEARED, &clear),
		0);
	ck_assert_int_eq(add_death(sm, 10, "", "e1", 1), -MW_EINVAL);
	add_death(sm, 10, "f3", "e1", 2);
	add_death(sm, 10, "f3", "e2", 2);
	for (int i = 0; i < CRASH_MARKS_MAX + 10; i++) {
		char id[16];

		snprintf(id, sizeof(id), "g%d", i);
		add_death(sm, 20, id, "e9", 1);
	}
	ck_assert_uint_eq(crash_count_marks(c), CRASH_MARKS_MAX);
	ck_assert(crash_is_poisoned(c, "f3"));
	ck_assert_uint_eq(crash_deaths(c, "f2"), 0);
	add_death(sm, 86400021, "f9", "e1", 3);
	ck_assert_uint_eq(crash_count_marks(c), 1);
	sm_free(sm);
}
END_TEST

static int add_departure(struct sm *sm, uint64_t now_ms, const char *id,
			 uint64_t incarnation, uint64_t seq)
{
	Mw__EndpointInfo info = MW__ENDPOINT_INFO__INIT;
	char *services[] = {(char *)"plain"};

	info.id = (char *)id;
	info.incarnation = incarnation;
	info.seq = seq;
	info.addr = (char *)"h:1";
	info.dc = (char *)"a";
	info.state = (char *)"leaving";
	info.models = services;
	info.n_models = 1;
	return apply_err(sm, now_ms, MW__COMMAND__BODY_DEPARTURE, &info);
}

static void check_departure(const struct sm *sm, const char *id,
			    uint64_t incarnation, uint64_t seq)
{
	const Mw__EndpointInfo *info = departure_find(sm_departures(sm), id);

	ck_assert_ptr_nonnull(info);
	ck_assert_uint_eq(info->incarnation, incarnation);
	ck_assert_uint_eq(info->seq, seq);
	ck_assert_str_eq(info->addr, "h:1");
	ck_assert_str_eq(info->models[0], "plain");
}

/* Guards against a leave that an older one replaces, that a snapshot loses, or
 * that others push out before its time. */
START_TEST(test_departures)
{
	struct sm *sm = sm_new(), *copy = NULL;
	AUTO_BUF struct buf b = BUF_INIT;

	add_departure(sm, 10, "e1", 5, 3);
	add_departure(sm, 11, "e1", 5, 2);
	add_departure(sm, 12, "e1", 4, UINT64_MAX);
	check_departure(sm, "e1", 5, 3);
	add_departure(sm, 13, "e1", 5, UINT64_MAX);
	add_departure(sm, 14, "e2", 1, 1);
	ck_assert_int_eq(add_departure(sm, 15, "", 1, 1), -MW_EINVAL);
	sm_snapshot(sm, &b);
	ck_assert_int_eq(sm_restore(b.data, b.len, &copy), 0);
	ck_assert_uint_eq(sm_hash(copy), sm_hash(sm));
	check_departure(copy, "e1", 5, UINT64_MAX);
	check_departure(copy, "e2", 1, 1);
	sm_free(copy);

	add_departure(sm, DEPARTURE_KEEP_MS + 13, "e3", 1, 1);
	check_departure(sm, "e1", 5, UINT64_MAX);
	add_departure(sm, DEPARTURE_KEEP_MS + 14, "e3", 1, 2);
	ck_assert_ptr_null(departure_find(sm_departures(sm), "e1"));
	check_departure(sm, "e2", 1, 1);
	for (int i = 0; i < DEPARTURES_MAX; i++) {
		char id[16];

		snprintf(id, sizeof(id), "g%d", i);
		add_departure(sm, DEPARTURE_KEEP_MS + 14, id, 1, 1);
	}
	ck_assert_uint_eq(departures_count(sm_departures(sm)), DEPARTURES_MAX);
	ck_assert_ptr_null(departure_find(sm_departures(sm), "e2"));
	check_departure(sm, "g0", 1, 1);
	sm_free(sm);
}
END_TEST

/* A damaged or truncated snapshot must not be restored. */
START_TEST(test_damaged_snapshots)
{
	struct sm *sm = sm_new(), *copy = NULL;
	AUTO_BUF struct buf b = BUF_INIT;

	register_host(sm, "h1", "w", 1);
	add_death(sm, 10, "f1", "e1", 1);
	add_departure(sm, 10, "e1", 1, 1);
	expect_change(sm, "one", 1, "5", 0, 2, "");
	sm_snapshot(sm, &b);
	ck_assert_int_eq(sm_restore(b.data, b.len, &copy), 0);
	ck_assert_uint_eq(sm_hash(copy), sm_hash(sm));
	sm_free(copy);
	for (size_t i = 0; i < b.len; i++) {
		b.data[i] ^= 1;
		ck_assert_int_eq(sm_restore(b.data, b.len, &copy),
				 -MW_ECORRUPT);
		b.data[i] ^= 1;
		ck_assert_int_eq(sm_restore(b.data, i, &copy), -MW_ECORRUPT);
	}
	sm_free(sm);
}
END_TEST

/*
 * Data that is not a command must not stop the replica, an entry must not be
 * applied twice, and time must not go back.
 */
START_TEST(test_bad_commands)
{
	struct sm *sm = sm_new();
	uint64_t before = sm_hash(sm);
	Mw__Command c = MW__COMMAND__INIT;
	Mw__Result *r = sm_apply(sm, 1, 7, (const uint8_t *)"\xff\xff", 2);

	ck_assert_int_eq(r->err, -MW_EINVAL);
	mw__result__free_unpacked(r, NULL);
	ck_assert_uint_eq(sm_applied_index(sm), 7);
	ck_assert_uint_ne(sm_hash(sm), before);
	before = sm_hash(sm);
	r = apply_at(sm, 7, &c);
	ck_assert_int_eq(r->err, -MW_EINTERNAL);
	mw__result__free_unpacked(r, NULL);
	ck_assert_uint_eq(sm_hash(sm), before);
	c.now_ms = 50;
	mw__result__free_unpacked(apply_at(sm, 8, &c), NULL);
	c.now_ms = 40;
	mw__result__free_unpacked(apply_at(sm, 9, &c), NULL);
	ck_assert_uint_eq(sm_now_ms(sm), 50);
	sm_free(sm);
}
END_TEST

static size_t heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

/*
 * Guards against a begin or a change that became slower by orders of magnitude.
 * With MW_FIGURES=1 it prints the times and sizes.
 */
START_TEST(test_costs)
{
	enum { KEYS = 20000, ACCOUNTS = 2200 };
	struct sm *sm = sm_new(), *copy = NULL;
	AUTO_BUF struct buf b = BUF_INIT, json = BUF_INIT;
	Mw__LedgerBegin begin = MW__LEDGER_BEGIN__INIT;
	Mw__LedgerEnd end = MW__LEDGER_END__INIT;
	uint8_t hash[16] = {7}, body[200] = {0};
	size_t heap = heap_bytes(), per_key, empty_len;
	char key[48], value[16];
	uint64_t t0, begin_ns = 0, end_ns = 0, save_ns, load_ns, change_ns;

	sm_snapshot(sm, &b);
	empty_len = b.len;
	b.len = 0;
	register_host(sm, "h1", "w", 1);
	begin.host = end.host = "h1";
	begin.incarnation = end.incarnation = 1;
	begin.body_hash.data = hash;
	begin.body_hash.len = sizeof(hash);
	begin.key = end.key = key;
	end.content_type = "application/json";
	end.status = 200;
	end.body.data = body;
	end.body.len = sizeof(body);
	for (int i = 0; i < KEYS; i++) {
		begin.account = end.account = i % 2 ? "acme" : "west/acme";
		snprintf(key, sizeof(key), "order-%030d", i);
		t0 = now_ns();
		ck_assert_int_eq(
			apply_err(sm, 1, MW__COMMAND__BODY_BEGIN, &begin), 0);
		begin_ns += now_ns() - t0;
		t0 = now_ns();
		ck_assert_int_eq(apply_err(sm, 1, MW__COMMAND__BODY_END, &end),
				 0);
		end_ns += now_ns() - t0;
	}
	per_key = (heap_bytes() - heap) / KEYS;
	t0 = now_ns();
	sm_snapshot(sm, &b);
	save_ns = now_ns() - t0;
	t0 = now_ns();
	ck_assert_int_eq(sm_restore(b.data, b.len, &copy), 0);
	load_ns = now_ns() - t0;
	sm_free(copy);

	AUTO_TREE struct tree *t = NULL;
	struct tree_err err;

	buf_addstr(&json, "{\"version\":1,\"nodes\":{\"ranks/r\":{}");
	for (int i = 0; i < ACCOUNTS; i++)
		buf_addf(&json,
			 ",\"accounts/west/a%04d\":{\"key_hash\":"
			 "[\"%064d\"],\"weight\":%d}",
			 i, i, i + 1);
	buf_addstr(&json, "}}");
	heap = heap_bytes();
	ck_assert_int_eq(tree_parse(json.data, json.len, &t, &err), 0);
	for (int i = 0; i < ACCOUNTS; i++) {
		snprintf(key, sizeof(key), "west/a%04d", i);
		ck_assert_int_eq(tree_account(t, key)->weight, i + 1);
	}
	heap = (heap_bytes() - heap) / ACCOUNTS;
	t0 = now_ns();
	for (int i = 1; i <= 20; i++) {
		snprintf(value, sizeof(value), "%d", i);
		ck_assert_int_eq(
			edit_tree(&t, "accounts/west", "weight", value, &err),
			0);
	}
	change_ns = (now_ns() - t0) / 20;
	/*
	 * Usual times are 4 us and 9 ms; the bounds leave room for busy
	 * machines and sanitizers.
	 */
	ck_assert_uint_lt(begin_ns / KEYS, 100000);
	ck_assert_uint_lt(change_ns, 500000000);
	if (getenv("MW_FIGURES"))
		printf("begin %.2f us, end %.2f us, key with answer of 200 "
		       "bytes: %zu bytes of heap, %zu of snapshot;\n"
		       "empty snapshot %zu bytes; snapshot of %d keys %.1f "
		       "ms, "
		       "restore %.1f ms;\n%d accounts: %zu bytes of heap "
		       "each, tree %zu bytes, change %.2f ms\n",
		       (double)begin_ns / KEYS / 1e3,
		       (double)end_ns / KEYS / 1e3, per_key,
		       (b.len - empty_len) / KEYS, empty_len, KEYS,
		       (double)save_ns / 1e6, (double)load_ns / 1e6, ACCOUNTS,
		       heap, json.len, (double)change_ns / 1e6);
	sm_free(sm);
}
END_TEST

RUN_TESTS("sm", test_changes, test_ledger_follows_hosts, test_orders,
	  test_crash_marks, test_departures, test_damaged_snapshots,
	  test_bad_commands, test_costs)
