#include "check_main.h"
#include "state_util.h"

#include "entry/residence.h"

static struct tree *tree;

static void set(const char *path, const char *key, const char *value)
{
	struct tree_err err = {0};

	int rc = edit_tree(&tree, path, key, value, &err);

	ck_assert_msg(!rc, "%s %s: %s", path, key, err.reason);
}

static void set_up(void)
{
	tree = tree_new_initial();
	set("dcs/dc1", "region", "\"north\"");
	set("dcs/dc2", "region", "\"south\"");
	set("dcs/dc3", "spill_after_ms", "1");
	set("accounts/a", "weight", "100");
	set("routes", "service", "\"s\"");
	set("routes", "kind", "\"service\"");
	set("routes/r", "retries_max", "1");
}

static const struct residence_subject plain = {NULL, "a", "r"};

static bool allows(const char *dc)
{
	return residence_allows(&plain, tree, dc);
}

/* Guards against a change for those who state no list. */
START_TEST(test_no_list)
{
	set_up();
	ck_assert(!residence_is_restricted(&plain, tree));
	ck_assert(allows("dc1") && allows("dc3") && allows("dc9") &&
		  allows(""));
	tree_unref(tree);
}
END_TEST

/* Guards against a list that is ignored, and against a union. */
START_TEST(test_intersection)
{
	set_up();
	set("accounts/a", "allowed_regions", "[\"north\",\"south\"]");
	ck_assert(residence_is_restricted(&plain, tree));
	ck_assert(allows("dc1") && allows("dc2"));
	set("routes", "allowed_regions", "[\"south\",\"west\"]");
	ck_assert(!allows("dc1") && allows("dc2"));
	set("routes/r", "allowed_regions", "[\"west\"]");
	ck_assert(!allows("dc1") && !allows("dc2"));
	tree_unref(tree);
}
END_TEST

/* Guards against requests in places that nobody has placed in a region. */
START_TEST(test_unknown_region)
{
	set_up();
	set("accounts/a", "allowed_regions", "[\"north\"]");
	ck_assert(!allows("dc3") && !allows("dc9") && !allows(""));
	/* The folder's value is stated for data centres, not for none. */
	set("dcs", "region", "\"north\"");
	ck_assert(allows("dc3") && !allows(""));
	ck_assert(!residence_allows(&plain, NULL, "dc1"));
	ck_assert(residence_is_restricted(&plain, NULL));
	tree_unref(tree);
}
END_TEST

/* Guards against lists that are lost when the tree changes under a request. */
START_TEST(test_lists_of_admission)
{
	struct residence admitted = {0};
	struct residence_subject s = {&admitted, "a", "r"};

	set_up();
	set("accounts/a", "allowed_regions", "[\"north\"]");
	set("routes/r", "allowed_regions", "[\"north\",\"south\"]");
	residence_admit(&admitted, tree, "a", "r");
	set("accounts/a", "allowed_regions", "[]");
	ck_assert(residence_allows(&s, tree, "dc1"));
	ck_assert(!residence_allows(&s, tree, "dc2"));
	set("routes/r", "allowed_regions", "[\"south\"]");
	ck_assert(!residence_allows(&s, tree, "dc1"));
	set("accounts/a", "allowed_regions", "[\"north\",\"south\"]");
	set("routes/r", "allowed_regions", "[\"north\"]");
	residence_admit(&admitted, tree, "a", "r");
	set("routes/r", "allowed_regions", "[]");
	ck_assert(!residence_allows(&s, tree, "dc2"));
	s.account = s.route = "gone";
	ck_assert(residence_is_restricted(&s, tree));
	ck_assert(residence_allows(&s, tree, "dc1"));
	ck_assert(!residence_allows(&s, tree, "dc2"));
	residence_release(&admitted);
	tree_unref(tree);
}
END_TEST

/* Guards against a region that was checked for one address and a send to
 * another one. */
START_TEST(test_address)
{
	struct residence_subject s = {NULL, "a", "r"};

	set_up();
	ck_assert(residence_allows_send(&s, tree, "", "", "x"));
	ck_assert(residence_allows_send(&s, tree, "dc1", "y", "x"));
	set("accounts/a", "allowed_regions", "[\"north\"]");
	ck_assert(residence_allows_send(&s, tree, "dc1", "x", "x"));
	ck_assert(!residence_allows_send(&s, tree, "dc1", "y", "x"));
	ck_assert(!residence_allows_send(&s, tree, "dc2", "x", "x"));
	ck_assert(!residence_allows_send(&s, tree, "", "", ""));
	tree_unref(tree);
}
END_TEST

/* Guards against values that no region can have. */
START_TEST(test_values)
{
	struct tree_err err = {0};
	char text[128];

	set_up();
	snprintf(text, sizeof(text), "[\"%065d\"]", 0);
	ck_assert_int_ne(
		edit_tree(&tree, "accounts/a", "allowed_regions", text, &err),
		0);
	ck_assert_int_ne(edit_tree(&tree, "accounts/a", "allowed_regions",
				   "\"north\"", &err),
			 0);
	ck_assert_int_ne(
		edit_tree(&tree, "routes/r", "allowed_regions", "[1]", &err),
		0);
	tree_unref(tree);
}
END_TEST

RUN_TESTS("residence", test_no_list, test_intersection, test_unknown_region,
	  test_lists_of_admission, test_address, test_values)
