#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <glib.h>

#include "base/err.h"
#include "policy/suspect.h"

/*
 * Guards against a death that is counted twice, and against deaths on different
 * hosts that are not added up.
 */
START_TEST(test_deaths)
{
	struct suspects *s = suspect_new(0);

	ck_assert_int_eq(suspect_check(s, "f"), 0);
	suspect_record_death(s, "f", "acct", "e1", 1, 0);
	suspect_add_from_log(s, "f", "acct", 1, "e1", 1, 0);
	ck_assert_uint_eq(suspect_deaths(s, "f"), 1);
	ck_assert_int_eq(suspect_check(s, "f"), 0);
	suspect_add_from_log(s, "f", "acct", 1, "e1", 2, 0);
	ck_assert_int_eq(suspect_check(s, "f"), -MW_EPOISON);
	/* A refused request is not cleared when it finishes elsewhere. */
	ck_assert(!suspect_request_finished(s, "f"));
	suspect_cleared(s, "f");
	ck_assert_int_eq(suspect_check(s, "f"), 0);
	suspect_add_from_log(s, "g", "acct", 2, "e2", 1, 0);
	ck_assert_int_eq(suspect_check(s, "g"), -MW_EPOISON);
	suspect_free(s);
}
END_TEST

/*
 * Guards against a mark that stays here after another host has cleared it, so
 * that a single further death would refuse the request; and against the loss of
 * a death that is not in the log yet.
 */
START_TEST(test_log_snapshot)
{
	struct suspects *s = suspect_new(0);

	suspect_snapshot_begin(s);
	suspect_add_from_log(s, "f", "acct", 1, "e1", 1, 0);
	suspect_add_from_log(s, "g", "acct", 1, "e1", 1, 0);
	suspect_snapshot_end(s);
	suspect_record_death(s, "g", "acct", "e2", 1, 0);
	suspect_record_death(s, "h", "acct", "e2", 1, 0);
	suspect_snapshot_begin(s);
	suspect_snapshot_end(s);
	ck_assert_uint_eq(suspect_deaths(s, "f"), 0);
	ck_assert_uint_eq(suspect_deaths(s, "g"), 2);
	ck_assert_uint_eq(suspect_deaths(s, "h"), 1);
	suspect_free(s);
}
END_TEST

/*
 * Guards against two marked requests on one endpoint, where a crash caused by
 * one would also count for the other; and against an unbounded set of marks.
 */
START_TEST(test_placing)
{
	struct suspects *s = suspect_new(50);
	char name[16];

	suspect_record_death(s, "f", "a", "e1", 1, 0);
	suspect_record_death(s, "g", "a", "e1", 1, 0);
	ck_assert(suspect_may_place(s, "f", "e2"));
	suspect_request_placed(s, "f", "e2");
	ck_assert(!suspect_may_place(s, "g", "e2"));
	ck_assert(suspect_may_place(s, "g", "e3"));
	ck_assert(suspect_may_place(s, "unmarked", "e2"));
	suspect_request_placed(s, "unmarked", "e3");
	ck_assert(suspect_may_place(s, "g", "e3"));
	suspect_request_placed(s, "f", "e2");
	suspect_request_left(s, "f", "e2");
	ck_assert(!suspect_may_place(s, "g", "e2"));
	suspect_request_left(s, "f", "e2");
	ck_assert(suspect_may_place(s, "g", "e2"));
	ck_assert(suspect_request_finished(s, "f"));
	ck_assert_uint_eq(suspect_deaths(s, "f"), 0);
	for (int i = 0; i < 200; i++) {
		g_snprintf(name, sizeof(name), "x%d", i);
		suspect_record_death(s, name, "a", "e9", 1, 0);
	}
	ck_assert_uint_eq(suspect_count(s), 50);
	suspect_free(s);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("suspect");
	TCase *tc = tcase_create("suspect");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, test_deaths);
	tcase_add_test(tc, test_log_snapshot);
	tcase_add_test(tc, test_placing);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
