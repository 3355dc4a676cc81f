#include "check_main.h"

#include <string.h>
#include <glib.h>

#include "base/err.h"
#include "conf/conf.h"

static int parse_regions(struct conf *c, const char *list, char **error)
{
	g_autofree char *flag = g_strdup_printf("--dc-regions=%s", list);
	char *argv[] = {(char *)"test",
			(char *)"--host=h",
			(char *)"--dc=north-a",
			(char *)"--open-cluster",
			(char *)"--seeds=127.0.0.1:7000",
			flag,
			NULL};

	memset(c, 0, sizeof(*c));
	return conf_parse(c, 6, argv, error);
}

/* Guards against a data centre in the wrong region, and against one that is not
 * listed being taken for a known one. */
START_TEST(test_dc_regions)
{
	struct conf c;
	char *error = NULL;

	ck_assert_int_eq(
		parse_regions(&c, "north-a=north,north-b=north,south-a=south",
			      &error),
		0);
	ck_assert_str_eq(conf_region(&c, "north-b"), "north");
	ck_assert_str_eq(conf_region(&c, "south-a"), "south");
	ck_assert_ptr_null(conf_region(&c, "south-b"));
	conf_release(&c);
	ck_assert_int_eq(parse_regions(&c, "", &error), 0);
	ck_assert_ptr_null(conf_region(&c, "north-a"));
	conf_release(&c);
}
END_TEST

/* Guards against a list that is read in part. */
START_TEST(test_dc_regions_invalid)
{
	static const char *const bad[] = {"north-a", "north-a=", "=north",
					  "a=b=c",   "a=b,a=c",	 "a b=c"};

	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		struct conf c;
		g_autofree char *error = NULL;

		ck_assert_int_eq(parse_regions(&c, bad[i], &error), -MW_EINVAL);
		ck_assert_ptr_nonnull(error);
		conf_release(&c);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_dc_regions, test_dc_regions_invalid};

	return check_main("conf", tests, sizeof(tests) / sizeof(*tests));
}
