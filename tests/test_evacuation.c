#include "check_main.h"
#include "state_util.h"

#include <glib.h>

#include "policy/evacuation.h"
#include "state/sm.h"

#define MS INT64_C(1000)
#define SEC (1000 * MS)

static const char *const east[] = {"east"};
static const char *const both[] = {"east", "west"};

/* Guards against a process with old state that brings an order back, or takes
 * one away. */
START_TEST(test_versions_only_grow)
{
	struct evacuation e = {0};

	ck_assert(!evacuation_contains(&e, "east"));
	ck_assert(evacuation_set(&e, 5, east, 1));
	ck_assert(!evacuation_set(&e, 4, NULL, 0));
	ck_assert(!evacuation_set(&e, 5, NULL, 0));
	ck_assert(evacuation_contains(&e, "east"));
	ck_assert(!evacuation_contains(&e, "eas"));
	ck_assert(evacuation_set(&e, 6, NULL, 0));
	ck_assert(!evacuation_set(&e, 5, east, 1));
	ck_assert(!evacuation_contains(&e, "east"));
	evacuation_release(&e);
}
END_TEST

static void add_difference(const char *dc, bool begins, void *ctx)
{
	g_string_append_printf(ctx, "%c%s", begins ? '+' : '-', dc);
}

/* Guards against generations that are moved although their data centre was
 * evacuated before, and against an end that nobody notices. */
START_TEST(test_diff)
{
	struct evacuation none = {0}, one = {0}, two = {0};
	g_autoptr(GString) s = g_string_new(NULL);

	evacuation_set(&one, 2, east, 1);
	evacuation_set(&two, 3, both, 2);
	evacuation_diff(&one, &two, add_difference, s);
	ck_assert_str_eq(s->str, "+west");
	evacuation_diff(&two, &none, add_difference, s);
	ck_assert_str_eq(s->str, "+west-east-west");
	evacuation_release(&one);
	evacuation_release(&two);
}
END_TEST

/*
 * Guards against an order that takes effect after its operator has withdrawn it
 * elsewhere: of the ways between two processes whose clocks have nothing in
 * common, each may take seconds, and the leader may be frozen.
 */
START_TEST(test_no_late_order)
{
	unsigned int begun = 0;

	for (guint32 seed = 1; seed <= 20000; seed++) {
		GRand *r = g_rand_new_with_seed(seed);
		int64_t max = seed % 2 ? 50 * MS : 2 * SEC;
		int64_t leader_clock = g_rand_int_range(r, 0, 1000000000);
		int64_t wait = g_rand_int_range(r, 0, (gint32)max);
		/* Real times since the order came in. */
		int64_t issued = wait + g_rand_int_range(r, 0, (gint32)max);
		int64_t ticket_in =
			issued + g_rand_int_range(r, 0, (gint32)max);
		int64_t order_in =
			ticket_in + g_rand_int_range(r, 0, (gint32)max);
		int64_t left = evacuation_time_left_us(ticket_in,
						       leader_clock + issued,
						       leader_clock + order_in);

		ck_assert_int_ge(left, 0);
		if (left)
			ck_assert_int_le(order_in + left,
					 EVACUATION_WAIT_MAX_US);
		/* In quiet conditions no order may be dropped. */
		if (seed % 2)
			ck_assert_int_gt(left, 0);
		begun += left > 0;
		g_rand_free(r);
	}
	ck_assert_uint_gt(begun, 10000);
	/* A ticket that is not of this run of the leader. */
	ck_assert_int_eq(evacuation_time_left_us(0, 2 * SEC, SEC), 0);
	ck_assert_int_eq(evacuation_time_left_us(-SEC, SEC, SEC), 0);
}
END_TEST

static bool is_evacuated(struct tree *t, const char *dc)
{
	return tree_dc_settings(t, dc)->evacuated;
}

/* Guards against an order that is lost when a tree is stored and read again, or
 * that reaches other data centres, and against other settings that it loses. */
START_TEST(test_tree_keeps_order)
{
	AUTO_TREE struct tree *t = tree_new_initial();
	AUTO_TREE struct tree *copy = NULL;
	struct tree_err err;
	size_t len;

	ck_assert(!is_evacuated(t, "east"));
	ck_assert_int_eq(edit_tree(&t, "dcs/east", "region", "\"north\"", &err),
			 0);
	ck_assert_int_eq(edit_tree(&t, "dcs/east", "evacuated", "true", &err),
			 0);
	ck_assert_int_eq(
		edit_tree(&t, "dcs/east", "evacuated_by", "\"admin\"", &err),
		0);
	ck_assert_int_ne(edit_tree(&t, "dcs/east", "evacuated", "1", &err), 0);
	const char *json = tree_json(t, &len);
	ck_assert_int_eq(tree_parse(json, len, &copy, &err), 0);
	ck_assert(is_evacuated(copy, "east"));
	ck_assert(!is_evacuated(copy, "west"));
	ck_assert_str_eq(tree_dc_settings(copy, "east")->region, "north");
	ck_assert_str_eq(tree_dc_settings(copy, "east")->evacuated_by, "admin");
	ck_assert_int_eq(edit_tree(&t, "dcs/east", "evacuated", "false", &err),
			 0);
	ck_assert(!is_evacuated(t, "east"));
	ck_assert_str_eq(tree_dc_settings(t, "east")->region, "north");
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_versions_only_grow, test_diff,
				      test_no_late_order,
				      test_tree_keeps_order};

	return check_main("evacuation", tests, G_N_ELEMENTS(tests));
}
