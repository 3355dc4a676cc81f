#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "entry/hostcfg.h"

static struct hostcfg cfg;

static struct tree *initial_tree;

static void set_up(void)
{
	Mw__TreeSnapshot s = MW__TREE_SNAPSHOT__INIT;

	initial_tree = tree_new_initial();
	hostcfg_init(&cfg, 0);
	s.version = tree_version(initial_tree);
	s.tree.data =
		(uint8_t *)(uintptr_t)tree_json(initial_tree, &s.tree.len);
	ck_assert_int_eq(hostcfg_apply_snapshot(&cfg, &s), 1);
}

static void tear_down(void)
{
	hostcfg_release(&cfg);
	tree_unref(initial_tree);
}

static Mw__Edit edit = MW__EDIT__INIT, *edits[] = {&edit};
static Mw__Change change = MW__CHANGE__INIT;

/* Sends a prepare of `version` whose edits are based on `base_version`. */
static int prepare_edit(uint64_t base_version, uint64_t version)
{
	Mw__Prepare p = MW__PREPARE__INIT;

	edit.path = "accounts/a";
	edit.key = "weight";
	edit.value = "250";
	change.id = "c1";
	change.base_version = base_version;
	change.n_edits = 1;
	change.edits = edits;
	p.term = 1;
	p.version = version;
	p.change_id = "c1";
	p.change = &change;
	return hostcfg_prepare(&cfg, &p);
}

/*
 * Guards against a host that applies the edits of a prepare differently from
 * the leader and so puts another configuration in force.
 */
START_TEST(test_prepare_edits)
{
	struct tree *leader_tree;
	struct tree_err err;
	Mw__Activate a = MW__ACTIVATE__INIT;
	uint64_t v = tree_version(initial_tree);
	size_t n, m;

	ck_assert_int_eq(prepare_edit(v, v + 1), 0);
	a.term = 1;
	a.version = v + 1;
	a.change_id = "c1";
	ck_assert_int_eq(hostcfg_activate(&cfg, &a), 2);
	ck_assert_int_eq(tree_apply(initial_tree, &change, &leader_tree, &err),
			 0);
	const char *actual = tree_json(cfg.tree, &n);
	const char *expected = tree_json(leader_tree, &m);
	ck_assert_uint_eq(n, m);
	ck_assert_int_eq(memcmp(actual, expected, n), 0);
	tree_unref(leader_tree);
}
END_TEST

/*
 * Guards against edits that are applied to a version other than the one they
 * are based on.
 */
START_TEST(test_prepare_edits_behind)
{
	uint64_t v = tree_version(initial_tree);

	ck_assert_int_eq(prepare_edit(v + 1, v + 1), -MW_ESCHEMA);
	ck_assert_int_eq(prepare_edit(v, v), -MW_ECONFLICT);
	ck_assert_ptr_null(cfg.pending);
	/* The base is newer than the tree, so the host has to fetch it. */
	ck_assert_int_eq(prepare_edit(v + 1, v + 2), 1);
	ck_assert_ptr_null(cfg.pending);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("hostcfg");
	TCase *tc = tcase_create("hostcfg");
	SRunner *sr = srunner_create(s);

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, test_prepare_edits);
	tcase_add_test(tc, test_prepare_edits_behind);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
