#include "check_main.h"

#include <glib.h>

#include "policy/registry.h"

#define SEC INT64_C(1000000)

static Mw__EndpointInfo new_info(const char *id, uint64_t incarnation,
				 uint64_t seq, const char *addr,
				 const char *state)
{
	Mw__EndpointInfo info = MW__ENDPOINT_INFO__INIT;

	info.id = (char *)id;
	info.incarnation = incarnation;
	info.seq = seq;
	info.addr = (char *)addr;
	info.dc = (char *)"a";
	info.state = (char *)state;
	return info;
}

static enum registry_change merge(struct registry *r, const char *id,
				  uint64_t incarnation, uint64_t seq,
				  const char *addr, const char *state)
{
	Mw__EndpointInfo info = new_info(id, incarnation, seq, addr, state);

	return registry_merge(r, &info, 0);
}

/* Guards against a delayed announcement that replaces a newer one. */
START_TEST(test_order)
{
	struct registry *r = registry_new();

	ck_assert_int_eq(merge(r, "e", 5, 1, "h:1", "serving"),
			 REGISTRY_CHANGED);
	ck_assert_int_eq(merge(r, "e", 5, 2, "h:1", "serving"),
			 REGISTRY_REFRESHED);
	ck_assert_int_eq(merge(r, "e", 5, 3, "h:1", "leaving"),
			 REGISTRY_CHANGED);
	ck_assert_int_eq(merge(r, "e", 5, 2, "h:1", "serving"),
			 REGISTRY_IGNORED);
	/* The seq of a new incarnation starts at 1 again. */
	ck_assert_int_eq(merge(r, "e", 6, 1, "h:1", "serving"),
			 REGISTRY_CHANGED);
	ck_assert_int_eq(merge(r, "e", 5, 9, "h:1", "leaving"),
			 REGISTRY_IGNORED);
	registry_free(r);
}
END_TEST

/* Guards against an incarnation that comes back after it has left. */
START_TEST(test_leave)
{
	struct registry *r = registry_new();

	ck_assert_ptr_null(registry_mark_left(r, "e", 0));
	merge(r, "e", 5, 1, "h:1", "serving");
	const struct registry_row *left = registry_mark_left(r, "e", 0);
	ck_assert(left->left);
	ck_assert_str_eq(left->info->state, "leaving");
	ck_assert_int_eq(merge(r, "e", 5, 7, "h:1", "serving"),
			 REGISTRY_IGNORED);
	/* A registry that receives this row also records the leave. */
	struct registry *peer = registry_new();
	merge(peer, "e", 5, 6, "h:1", "serving");
	ck_assert_int_eq(registry_merge(peer, left->info, 0), REGISTRY_CHANGED);
	ck_assert(registry_find(peer, "e")->left);
	ck_assert_int_eq(merge(r, "e", 6, 1, "h:1", "serving"),
			 REGISTRY_CHANGED);
	ck_assert(!registry_find(r, "e")->left);
	registry_free(peer);
	registry_free(r);
}
END_TEST

/* Guards against an endpoint that serves again although it has left, if the
 * registry did not know it then, or if another registry still knows it. */
START_TEST(test_left_unknown)
{
	struct registry *r = registry_new(), *peer = registry_new();
	Mw__EndpointInfo left = new_info("e", 100, UINT64_MAX, "", "leaving");

	left.leave_deadline_ms = REGISTRY_LEFT_DEADLINE_MS;
	ck_assert(registry_add_left(r, "e", 100, 0)->left);
	ck_assert_int_eq(registry_merge(r, &left, 0), REGISTRY_IGNORED);
	ck_assert_int_eq(merge(r, "e", 90, 7, "h:1", "serving"),
			 REGISTRY_IGNORED);
	merge(peer, "e", 90, 6, "h:1", "serving");
	ck_assert_int_eq(registry_merge(peer, &left, 0), REGISTRY_CHANGED);
	const struct registry_row *known = registry_find(peer, "e");
	ck_assert(known->left && !known->holds);
	ck_assert_str_eq(known->info->addr, "h:1");
	ck_assert_uint_eq(known->info->incarnation, 90);
	ck_assert_int_eq(merge(peer, "e", 90, 7, "h:1", "serving"),
			 REGISTRY_IGNORED);
	ck_assert_int_eq(registry_merge(peer, &left, 0), REGISTRY_IGNORED);

	/* A later start is another incarnation. */
	merge(r, "e", 101, 1, "h:1", "serving");
	ck_assert(!registry_find(r, "e")->left && registry_find(r, "e")->holds);
	merge(peer, "e", 101, 1, "h:1", "serving");
	ck_assert_int_eq(registry_merge(peer, &left, 0), REGISTRY_IGNORED);
	ck_assert(!registry_find(peer, "e")->left);
	registry_free(peer);
	registry_free(r);
}
END_TEST

/* Guards against a leave that is taken for recorded by the record of an earlier
 * one, which the endpoint had withdrawn, or of its draining. */
START_TEST(test_leaving_seq)
{
	struct registry *r = registry_new();

	merge(r, "e", 5, 1, "h:1", "serving");
	ck_assert_uint_eq(registry_find(r, "e")->leaving_seq, 0);
	merge(r, "e", 5, 3, "h:1", "leaving");
	merge(r, "e", 5, 4, "h:1", "leaving");
	ck_assert_uint_eq(registry_find(r, "e")->leaving_seq, 3);
	merge(r, "e", 5, 5, "h:1", "serving");
	ck_assert_uint_eq(registry_find(r, "e")->leaving_seq, 0);
	merge(r, "e", 5, 6, "h:1", "leaving");
	ck_assert_uint_eq(registry_find(r, "e")->leaving_seq, 6);
	registry_mark_left(r, "e", 0);
	ck_assert_uint_eq(registry_find(r, "e")->leaving_seq, UINT64_MAX);
	merge(r, "e", 6, 1, "h:1", "serving");
	ck_assert_uint_eq(registry_find(r, "e")->leaving_seq, 0);
	registry_mark_leaving(r, "e", 6, 0);
	merge(r, "e", 6, 2, "h:1", "serving");
	ck_assert_uint_eq(registry_find(r, "e")->leaving_seq, 1);
	registry_free(r);
}
END_TEST

/* Guards against an incarnation that is not seen to follow another one, whose
 * late leave is then taken for its own. */
START_TEST(test_follows)
{
	struct registry *r = registry_new();
	Mw__EndpointInfo info = new_info("e", 6, 1, "h:1", "serving");

	merge(r, "e", 5, 1, "h:1", "serving");
	ck_assert(!registry_find(r, "e")->follows);
	registry_merge(r, &info, 3 * SEC);
	info.seq = 2;
	registry_merge(r, &info, 4 * SEC);
	ck_assert(registry_find(r, "e")->follows);
	ck_assert_int_eq(registry_find(r, "e")->since_us, 3 * SEC);
	registry_free(r);
}
END_TEST

/* Guards against an endpoint that serves again although its answers said that
 * it leaves, in whichever order the rows arrive, and against a new incarnation
 * that is taken for it. */
START_TEST(test_said_leaving)
{
	struct registry *r = registry_new(), *peer = registry_new();
	Mw__EndpointInfo serving = new_info("e", 5, 9, "h:1", "serving");

	ck_assert_ptr_null(registry_mark_leaving(r, "e", 5, 0));
	merge(r, "e", 5, 3, "h:1", "serving");
	ck_assert_ptr_null(registry_mark_leaving(r, "e", 4, 0));
	const struct registry_row *row = registry_mark_leaving(r, "e", 5, 0);
	ck_assert_str_eq(row->info->state, "leaving");
	ck_assert(!row->left);
	ck_assert_ptr_null(registry_mark_leaving(r, "e", 5, 0));

	/* A registry with a later announcement takes the flag over. */
	ck_assert_int_eq(registry_merge(peer, &serving, 0), REGISTRY_CHANGED);
	ck_assert_int_eq(registry_merge(peer, row->info, 0), REGISTRY_CHANGED);
	ck_assert_int_eq(registry_merge(peer, row->info, 0), REGISTRY_IGNORED);
	ck_assert_str_eq(registry_find(peer, "e")->info->state, "leaving");
	ck_assert_uint_eq(registry_find(peer, "e")->info->seq, 9);

	ck_assert_int_eq(registry_merge(r, &serving, 0), REGISTRY_REFRESHED);
	ck_assert_str_eq(registry_find(r, "e")->info->state, "leaving");
	ck_assert(registry_contradicts(r, &serving));
	merge(r, "e", 6, 1, "h:1", "serving");
	ck_assert_str_eq(registry_find(r, "e")->info->state, "serving");
	ck_assert(!registry_contradicts(r, &serving));
	registry_free(peer);
	registry_free(r);
}
END_TEST

/* Guards against a process that offers, after its restart, an endpoint that has
 * left. */
START_TEST(test_contradicts)
{
	struct registry *r = registry_new();
	Mw__EndpointInfo late = new_info("e", 5, 2, "h:1", "serving");

	ck_assert(!registry_contradicts(r, &late));
	merge(r, "e", 5, 1, "h:1", "serving");
	ck_assert(!registry_contradicts(r, &late));
	registry_mark_left(r, "e", 0);
	ck_assert(registry_contradicts(r, &late));
	late.state = (char *)"leaving";
	ck_assert(!registry_contradicts(r, &late));
	registry_free(r);
}
END_TEST

static void append_id(const struct registry_row *row, void *arg)
{
	g_string_append(arg, row->info->id);
}

/* Guards against requests to an endpoint whose address was reused. */
START_TEST(test_address)
{
	struct registry *r = registry_new();

	merge(r, "old", 5, 3, "h:1", "serving");
	merge(r, "new", 6, 1, "h:1", "serving");
	ck_assert(registry_find(r, "new")->claims);
	ck_assert_ptr_null(registry_mark_replaced(r, "old", 4, 0));
	ck_assert_ptr_nonnull(registry_mark_replaced(r, "old", 5, 0));
	ck_assert(registry_find(r, "old")->left);
	ck_assert(registry_find(r, "new")->holds);
	ck_assert(!registry_find(r, "new")->claims);
	ck_assert_int_eq(merge(r, "old", 5, 4, "h:1", "serving"),
			 REGISTRY_IGNORED);
	/* A delayed announcement of one that was not known. */
	merge(r, "older", 4, 9, "h:1", "serving");
	ck_assert(registry_find(r, "older")->claims);
	ck_assert(registry_find(r, "new")->holds);
	ck_assert(!registry_find(r, "new")->left);
	registry_free(r);
}
END_TEST

/* Guards against an announcement that takes the address of a sound endpoint,
 * whatever start it names, and one that comes before the endpoint's own. */
START_TEST(test_claim_takes_nothing)
{
	struct registry *r = registry_new();
	g_autoptr(GString) claims = g_string_new(NULL);

	merge(r, "e", 5, 1, "h:1", "serving");
	merge(r, "late", 9, 1, "h:1", "serving");
	merge(r, "early", 1, 1, "h:1", "serving");
	merge(r, "late", 9, 2, "h:1", "leaving");
	ck_assert(registry_find(r, "e")->holds);
	ck_assert(registry_find(r, "e")->contested);
	ck_assert(!registry_find(r, "e")->left);
	registry_for_each_claim(r, "late", append_id, claims);
	ck_assert_str_eq(claims->str, "");
	registry_for_each_claim(r, "e", append_id, claims);
	ck_assert_uint_eq(claims->len, strlen("lateearly"));
	/* The server's answer names e. */
	registry_mark_replaced(r, "late", 9, 0);
	registry_mark_replaced(r, "early", 1, 0);
	ck_assert(!registry_find(r, "e")->contested);
	ck_assert_int_eq(merge(r, "late", 9, 3, "h:1", "serving"),
			 REGISTRY_IGNORED);

	/* The false one came first. */
	merge(r, "false", 9, 1, "h:2", "serving");
	merge(r, "true", 5, 1, "h:2", "serving");
	registry_mark_replaced(r, "false", 9, 0);
	ck_assert(registry_find(r, "true")->holds);
	registry_free(r);
}
END_TEST

/* Guards against processes that do not take over what an answer told one of
 * them: the row differs only in that the endpoint is gone. */
START_TEST(test_replaced_is_news)
{
	struct registry *r = registry_new(), *peer = registry_new();
	const struct registry_row *row;

	merge(r, "old", 5, 3, "h:1", "serving");
	merge(peer, "old", 5, 3, "h:1", "serving");
	merge(peer, "new", 6, 1, "h:1", "serving");
	row = registry_mark_replaced(r, "old", 5, 0);
	ck_assert_int_eq(registry_merge(peer, row->info, 0), REGISTRY_CHANGED);
	ck_assert(registry_find(peer, "old")->left);
	ck_assert(!registry_find(peer, "old")->replaced);
	ck_assert(registry_find(peer, "new")->holds);
	ck_assert_int_eq(registry_merge(peer, row->info, 0), REGISTRY_IGNORED);
	ck_assert(!registry_contradicts(r, registry_find(peer, "old")->info));
	registry_free(peer);
	registry_free(r);
}
END_TEST

/* Guards against an address that no endpoint holds after its holder has left,
 * moved away, become silent or started again. */
START_TEST(test_claimant_follows_holder)
{
	struct registry *r = registry_new();
	g_autoptr(GString) stale = g_string_new(NULL);
	int64_t later = REGISTRY_EXPIRY_US + 1;
	Mw__EndpointInfo next;

	merge(r, "a", 5, 1, "h:1", "serving");
	merge(r, "b", 6, 1, "h:1", "serving");
	merge(r, "c", 7, 1, "h:1", "serving");
	merge(r, "a", 5, 2, "h:1", "leaving");
	ck_assert(registry_find(r, "a")->holds);
	registry_mark_left(r, "a", 0);
	ck_assert(registry_find(r, "c")->holds);
	/* Work may still run at a. */
	ck_assert(registry_find(r, "a")->contested);
	merge(r, "c", 7, 2, "h:2", "serving");
	ck_assert(registry_find(r, "c")->holds);
	ck_assert(registry_find(r, "b")->holds);
	merge(r, "b", 8, 1, "h:1", "serving");
	ck_assert(registry_find(r, "b")->holds);
	next = new_info("d", 9, 1, "h:1", "serving");
	registry_merge(r, &next, later);
	ck_assert(registry_find(r, "d")->claims);
	registry_expire(r, later, append_id, stale);
	ck_assert(registry_find(r, "d")->holds);
	ck_assert(!registry_find(r, "b")->holds);
	registry_free(r);
}
END_TEST

/* Guards against users of the registry that go on with an endpoint after
 * another one has taken over its address. */
START_TEST(test_watch_sees_replaced_owner)
{
	struct registry *r = registry_new();
	g_autoptr(GString) seen = g_string_new(NULL);

	merge(r, "old", 5, 3, "h:1", "serving");
	registry_watch(r, append_id, seen);
	merge(r, "new", 6, 1, "h:1", "serving");
	ck_assert_str_eq(seen->str, "oldnew");
	registry_mark_replaced(r, "old", 5, 0);
	ck_assert_str_eq(seen->str, "oldnewnewold");
	ck_assert(registry_find(r, "old")->replaced);
	merge(r, "new", 6, 2, "h:1", "serving");
	merge(r, "old", 5, 4, "h:1", "serving");
	ck_assert_str_eq(seen->str, "oldnewnewold");
	registry_mark_left(r, "new", 0);
	ck_assert_str_eq(seen->str, "oldnewnewoldnew");
	ck_assert(!registry_find(r, "new")->replaced);
	registry_free(r);
}
END_TEST

/*
 * Guards against a serving endpoint that expires in a process that receives
 * only changes, and against a row that stays after its endpoint has left.
 */
START_TEST(test_expiry)
{
	struct registry *r = registry_new();
	g_autoptr(GString) stale = g_string_new(NULL);
	int64_t later = REGISTRY_EXPIRY_US + 1;

	merge(r, "e", 5, 1, "h:1", "serving");
	registry_expire(r, later, NULL, NULL);
	ck_assert_ptr_nonnull(registry_find(r, "e"));
	registry_expire(r, later, append_id, stale);
	ck_assert_str_eq(stale->str, "e");
	ck_assert_str_eq(registry_find(r, "e")->info->state, "stale");
	/* The endpoint announces itself again after a network partition. */
	ck_assert_int_eq(merge(r, "e", 5, 60, "h:1", "serving"),
			 REGISTRY_CHANGED);
	registry_mark_left(r, "e", later);
	registry_expire(r, 3 * later, NULL, NULL);
	ck_assert_ptr_null(registry_find(r, "e"));
	registry_free(r);
}
END_TEST

/* Two processes: control gets the announcements of e, the host only changes.
 * Returns whether the host knows at `end` that e leaves. */
static bool host_knows(struct registry *control, struct registry *host,
		       uint64_t start_s, uint64_t announced_s, uint64_t end_s)
{
	g_autoptr(GString) stale = g_string_new(NULL);

	for (uint64_t s = start_s; s < end_s; s++) {
		int64_t now = (int64_t)s * SEC;
		Mw__EndpointInfo e = new_info("e", 5, s, "h:1", "serving");

		if (s < announced_s &&
		    registry_merge(control, &e, now) == REGISTRY_CHANGED)
			registry_merge(host, registry_find(control, "e")->info,
				       now);
		registry_expire(control, now, append_id, stale);
		registry_expire(host, now, NULL, NULL);
	}
	const struct registry_row *row = registry_find(host, "e");
	return row && row->info->said_leaving;
}

/* Guards against a host that forgets, while the endpoint still announces
 * itself, that an answer said it leaves: control processes that restart then
 * learn it from no host.  Guards against a row that stays after the endpoint
 * has ended. */
START_TEST(test_said_leaving_is_kept)
{
	struct registry *control = registry_new(), *host = registry_new();
	Mw__EndpointInfo serving = new_info("e", 5, 999, "h:1", "serving");

	merge(control, "e", 5, 1, "h:1", "serving");
	merge(host, "e", 5, 1, "h:1", "serving");
	const struct registry_row *row =
		registry_mark_leaving(control, "e", 5, 0);
	registry_merge(host, row->info, 0);
	ck_assert(host_knows(control, host, 2, 300, 300));
	ck_assert(registry_contradicts(host, &serving));
	ck_assert(!host_knows(control, host, 300, 0, 440));
	ck_assert_ptr_null(registry_find(host, "e"));
	ck_assert_ptr_null(registry_find(control, "e"));
	registry_free(control);
	registry_free(host);
}
END_TEST

/* Expires the rows of a process once a second until `end`; e announces itself,
 * with increasing seq, as often.  Returns the time from which on its own row is
 * in use, or -1. */
static int64_t time_until_back(struct registry *r, int64_t end)
{
	g_autoptr(GString) stale = g_string_new(NULL);
	int64_t back = -1;

	for (int64_t now = SEC; now < end; now += SEC) {
		Mw__EndpointInfo e = new_info("e", 5, 10 + now / SEC, "h:1",
					      REGISTRY_SERVING);

		registry_expire(r, now, append_id, stale);
		registry_merge(r, &e, now);
		const struct registry_row *row = registry_find(r, "e");
		bool own = row && row->holds && !row->left &&
			   row->info->incarnation == 5 &&
			   !strcmp(row->info->state, REGISTRY_SERVING);
		if (own && back < 0)
			back = now;
		else if (!own)
			back = -1;
	}
	return back;
}

/* Guards against a false announcement under a sound endpoint's id, with a later
 * start, that keeps it out for longer than two expiries. */
START_TEST(test_false_entry_under_id_ends)
{
	struct registry *r = registry_new();

	merge(r, "e", 5, 1, "h:1", "serving");
	merge(r, "e", 9, 1, "h:2", "serving");
	int64_t back = time_until_back(r, 300 * SEC);
	ck_assert_int_gt(back, 0);
	ck_assert_int_le(back, 2 * REGISTRY_EXPIRY_US + 3 * SEC);
	registry_free(r);
}
END_TEST

/* Guards against a false announcement that a sound endpoint leaves, with the
 * highest seq, or a false leave, that keep it out for longer than an expiry. */
START_TEST(test_false_leave_ends)
{
	for (int i = 0; i < 2; i++) {
		struct registry *r = registry_new();

		merge(r, "e", 5, 1, "h:1", "serving");
		if (i)
			merge(r, "e", 5, INT64_MAX, "h:1", "leaving");
		else
			registry_mark_left(r, "e", 0);
		int64_t back = time_until_back(r, 300 * SEC);
		ck_assert_int_gt(back, 0);
		ck_assert_int_le(back, REGISTRY_EXPIRY_US + 2 * SEC);
		registry_free(r);
	}
}
END_TEST

static enum registry_change merge_cold(struct registry *r, uint64_t seq,
				       uint32_t cold_ms, int64_t now)
{
	Mw__EndpointInfo info = new_info("e", 5, seq, "h:1", "serving");

	info.cold_ms = cold_ms;
	return registry_merge(r, &info, now);
}

/*
 * Guards against an endpoint that turns cold unnoticed by processes that get
 * only changes, also by small steps, and against every announcement that
 * counts down being sent to all.
 */
START_TEST(test_cold)
{
	struct registry *r = registry_new();
	uint64_t seq = 1;

	ck_assert_int_eq(merge_cold(r, seq++, 0, 0), REGISTRY_CHANGED);
	ck_assert_int_eq(merge_cold(r, seq++, 0, 2 * SEC), REGISTRY_REFRESHED);
	ck_assert_int_eq(merge_cold(r, seq++, 30000, 4 * SEC),
			 REGISTRY_CHANGED);
	ck_assert_int_eq(merge_cold(r, seq++, 28800, 5 * SEC + SEC / 2),
			 REGISTRY_REFRESHED);
	ck_assert_int_eq(merge_cold(r, seq++, 20000, 14 * SEC),
			 REGISTRY_REFRESHED);
	/* Two delays of 0.6 s add up. */
	ck_assert_int_eq(merge_cold(r, seq++, 19000, 15 * SEC + 6 * SEC / 10),
			 REGISTRY_REFRESHED);
	ck_assert_int_eq(merge_cold(r, seq++, 18000, 17 * SEC + 2 * SEC / 10),
			 REGISTRY_CHANGED);
	/* Warm 17 s early, and then when that is expected. */
	ck_assert_int_eq(merge_cold(r, seq++, 0, 18 * SEC), REGISTRY_CHANGED);
	ck_assert_int_eq(merge_cold(r, seq++, 0, 19 * SEC), REGISTRY_REFRESHED);
	ck_assert_int_eq(merge_cold(r, seq++, 5000, 20 * SEC),
			 REGISTRY_CHANGED);
	ck_assert_int_eq(merge_cold(r, seq++, 0, 25 * SEC), REGISTRY_REFRESHED);
	registry_free(r);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_order,
				      test_follows,
				      test_leave,
				      test_left_unknown,
				      test_leaving_seq,
				      test_said_leaving,
				      test_contradicts,
				      test_address,
				      test_claim_takes_nothing,
				      test_replaced_is_news,
				      test_claimant_follows_holder,
				      test_watch_sees_replaced_owner,
				      test_expiry,
				      test_said_leaving_is_kept,
				      test_false_entry_under_id_ends,
				      test_false_leave_ends,
				      test_cold};

	return check_main("registry", tests, sizeof(tests) / sizeof(*tests));
}
