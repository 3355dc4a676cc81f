#include "check_main.h"

#include "base/err.h"
#include "forward/plan.h"

/* Guards against choosing the shorter of two prefixes that both match. */
START_TEST(test_longest_prefix)
{
	struct plan *p = plan_new();

	plan_add_route(p, "short", "a.example", "/x/");
	plan_add_route(p, "long", "a.example", "/x/y/");
	plan_add_route(p, "other", "b.example", "/x/");
	plan_index_routes(p);
	ck_assert_str_eq(plan_route(p, "a.example", "/x/y/z?q=/x/")->name,
			 "long");
	ck_assert_str_eq(plan_route(p, "A.example:80", "/x/yy")->name, "short");
	ck_assert_str_eq(plan_route(p, "b.example", "/x/y/")->name, "other");
	ck_assert_ptr_null(plan_route(p, "a.example", "/x"));
	ck_assert_ptr_null(plan_route(p, "a.example", "/?/x/"));
	ck_assert_ptr_null(plan_route(p, "c.example", "/x/"));
	plan_unref(p);
}
END_TEST

/* Guards against two accounts with the same key, which would be ambiguous. */
START_TEST(test_shared_key)
{
	struct plan *p = plan_new();
	struct plan_account *a = plan_add_account(p, "a");
	struct plan_account *b = plan_add_account(p, "b");

	ck_assert_int_eq(plan_add_key(p, "k1", a), 0);
	ck_assert_int_eq(plan_add_key(p, "k1", a), 0);
	ck_assert_int_eq(plan_add_key(p, "k1", b), -MW_EINVAL);
	ck_assert_ptr_eq(plan_account(p, "k1"), a);
	ck_assert_ptr_null(plan_account(p, "k2"));
	plan_unref(p);
}
END_TEST

/* Guards against a split of requests that differs from a route's weights. */
START_TEST(test_backend_weights)
{
	struct plan *p = plan_new();
	struct plan_service *s = plan_add_service(p, "s");
	struct plan_service *t = plan_add_service(p, "t");
	struct plan_route *r = plan_add_route(p, "r", "h", "/");
	unsigned int to_first = 0;

	plan_add_backend(r, s, 90);
	plan_add_backend(r, t, 10);
	for (uint32_t i = 0; i < 1000; i++)
		to_first += plan_choose_backend(r, i * 4294967u) == s;
	ck_assert_uint_ge(to_first, 895);
	ck_assert_uint_le(to_first, 905);
	ck_assert_ptr_eq(plan_choose_backend(r, UINT32_MAX), t);
	plan_unref(p);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_longest_prefix, test_shared_key,
				      test_backend_weights};

	return check_main("plan", tests, sizeof(tests) / sizeof(*tests));
}
