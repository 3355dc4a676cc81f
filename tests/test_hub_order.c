#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/hub_order.h"

#define SEC USEC_PER_SEC

/* Names of connected processes, each followed by a space. */
static const char *connected_names;

static bool connected(void *ctx, const char *name)
{
	char word[80];

	(void)ctx;
	snprintf(word, sizeof(word), "%s ", name);
	return strstr(connected_names, word) != NULL;
}

static struct hub_order *new_order(const char *self)
{
	struct hub_order *o = hub_order_new(self, 0);

	hub_order_begin(o);
	hub_order_add(o, "k2", "", true);
	hub_order_add(o, "k1", "", true);
	hub_order_add(o, "c", "3", false);
	hub_order_add(o, "a", "1", false);
	hub_order_add(o, "b", "2", false);
	hub_order_end(o);
	return o;
}

static const char *chosen_name(struct hub_order *o, int64_t now, bool can_serve)
{
	const struct hub_candidate *c =
		hub_order_choose(o, now, can_serve, connected, NULL);

	return c ? c->name : "-";
}

static unsigned connections_needed(const struct hub_order *o)
{
	unsigned n = 0;

	for (size_t i = 0; i < hub_order_count(o); i++)
		n += hub_order_candidate(o, i)->needs_connection;
	return n;
}

/*
 * Guards against hosts of one data centre choosing different hubs although they
 * reach the same processes, and against needless connections between entry
 * hosts while a control process answers.
 */
START_TEST(test_selection_order)
{
	struct hub_order *o = new_order("c");

	connected_names = "k1 k2 a b ";
	ck_assert_str_eq(chosen_name(o, 0, true), "k2");
	ck_assert_uint_eq(connections_needed(o), 0);
	connected_names = "k1 a b ";
	ck_assert_str_eq(chosen_name(o, SEC, true), "k1");
	hub_order_answered(o, "k1", SEC);
	connected_names = "a b ";
	ck_assert_str_eq(chosen_name(o, 2 * SEC, true), "-");
	ck_assert_uint_eq(connections_needed(o), 2);
	ck_assert_str_eq(chosen_name(o, 3 * SEC, true), "a");
	hub_order_answered(o, "a", 3 * SEC);
	ck_assert_uint_eq(connections_needed(o), 1);
	connected_names = "k2 a b ";
	ck_assert_str_eq(chosen_name(o, 4 * SEC, true), "k2");
	ck_assert_uint_eq(connections_needed(o), 1);
	hub_order_answered(o, "k2", 4 * SEC);
	ck_assert_str_eq(chosen_name(o, 5 * SEC, true), "k2");
	ck_assert_uint_eq(connections_needed(o), 0);
	hub_order_free(o);
}
END_TEST

/*
 * Guards against a host that keeps its own hub when a candidate before it has
 * reconnected, and against one that reports again to a hub that does not
 * answer.
 */
START_TEST(test_failover)
{
	struct hub_order *o = new_order("c");

	connected_names = "a b ";
	ck_assert_str_eq(chosen_name(o, 2 * SEC, true), "a");
	hub_order_failed(o, "a", 3 * SEC);
	ck_assert_str_eq(chosen_name(o, 3 * SEC, true), "b");
	connected_names = "a ";
	/* b is disconnected; it is skipped after the time to connect. */
	ck_assert_str_eq(chosen_name(o, 5 * SEC, true), "c");
	ck_assert_uint_eq(connections_needed(o), 2);
	ck_assert_str_eq(chosen_name(o, 7 * SEC, true), "c");
	ck_assert_str_eq(chosen_name(o, 8 * SEC, true), "a");
	hub_order_failed(o, "a", 9 * SEC);
	/* The time for b to connect does not start anew. */
	ck_assert_str_eq(chosen_name(o, 9 * SEC, true), "c");
	hub_order_reconnected(o, "a");
	ck_assert_str_eq(chosen_name(o, 11 * SEC, true), "a");
	hub_order_free(o);
}
END_TEST

/*
 * Guards against an island without a hub when the first host in the order has
 * restarted and has no set of registered hosts.
 */
START_TEST(test_restarted_host_cannot_serve)
{
	struct hub_order *o = new_order("a");

	connected_names = "";
	ck_assert_str_eq(chosen_name(o, 2 * SEC, false), "-");
	connected_names = "b c ";
	ck_assert_str_eq(chosen_name(o, 3 * SEC, false), "b");
	ck_assert_str_eq(chosen_name(o, 4 * SEC, true), "a");
	hub_order_free(o);
}
END_TEST

/*
 * Guards against a host that waits, or drops the connection to its hub, each
 * time a control process refuses its report.
 */
START_TEST(test_control_process_refuses)
{
	struct hub_order *o = new_order("c");

	connected_names = "a b ";
	ck_assert_str_eq(chosen_name(o, 2 * SEC, true), "a");
	hub_order_answered(o, "a", 2 * SEC);
	connected_names = "k1 a b ";
	ck_assert_str_eq(chosen_name(o, 3 * SEC, true), "k1");
	hub_order_failed(o, "k1", 3 * SEC);
	ck_assert_str_eq(chosen_name(o, 3 * SEC, true), "a");
	ck_assert_uint_eq(connections_needed(o), 1);
	hub_order_free(o);
}
END_TEST

/* Guards against losing a candidate's state or address when the set changes. */
START_TEST(test_candidate_update)
{
	struct hub_order *o = new_order("c");

	hub_order_failed(o, "a", 2 * SEC);
	hub_order_begin(o);
	hub_order_add(o, "a", "1", false);
	hub_order_add(o, "a", "9", false);
	hub_order_add(o, "c", "", false);
	hub_order_end(o);
	ck_assert_uint_eq(hub_order_count(o), 2);
	ck_assert_str_eq(hub_order_candidate(o, 0)->addr, "1");
	connected_names = "a b k1 ";
	ck_assert_str_eq(chosen_name(o, 3 * SEC, true), "c");
	ck_assert_str_eq(chosen_name(o, 7 * SEC, true), "a");
	hub_order_free(o);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("hub_order");
	TCase *tc = tcase_create("hub_order");

	tcase_add_test(tc, test_selection_order);
	tcase_add_test(tc, test_failover);
	tcase_add_test(tc, test_restarted_host_cannot_serve);
	tcase_add_test(tc, test_control_process_refuses);
	tcase_add_test(tc, test_candidate_update);
	suite_add_tcase(s, tc);
	SRunner *sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
