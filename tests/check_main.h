#ifndef TESTS_CHECK_MAIN_H
#define TESTS_CHECK_MAIN_H

#include <check.h>
#include <stdlib.h>

/*
 * Runs n tests as one suite in this process (no fork) and returns the exit
 * status of the program: EXIT_FAILURE if a test failed.
 */
static inline int check_main(const char *name, const TTest *const *tests,
			     size_t n)
{
	Suite *s = suite_create(name);
	TCase *tc = tcase_create(name);

	for (size_t i = 0; i < n; i++)
		tcase_add_test(tc, tests[i]);
	suite_add_tcase(s, tc);
	SRunner *sr = srunner_create(s);
	srunner_set_fork_status(sr, CK_NOFORK);
	srunner_run_all(sr, CK_ENV);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
