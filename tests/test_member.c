#include "state_util.h"

static int add(struct members *m, const char *host, const char *dc,
	       const char *role, uint64_t incarnation, uint64_t *gone)
{
	Mw__HostInfo info = MW__HOST_INFO__INIT;

	info.host = (char *)host;
	info.dc = (char *)dc;
	info.role = (char *)role;
	info.incarnation = incarnation;
	return member_register(m, &info, gone);
}

/*
 * Of two components that together hold all hosts of a data centre, exactly one
 * must have the majority; otherwise both could serve, or neither.
 */
START_TEST(test_one_majority)
{
	for (uint32_t hosts = 1; hosts <= 10; hosts++) {
		struct members *m = members_new();
		uint64_t gone;

		for (uint32_t i = 0; i < hosts; i++) {
			char name[16];

			snprintf(name, sizeof(name), "h%u", i);
			ck_assert_int_eq(add(m, name, "w", "entry", 1, &gone),
					 0);
		}
		ck_assert_int_eq(add(m, "c1", "w", "control", 1, &gone), 0);
		ck_assert_int_eq(add(m, "far", "e", "entry", 1, &gone), 0);

		uint32_t total = member_total_weight2(m, "w");
		ck_assert_uint_eq(total, hosts * 2 + 1);
		for (uint32_t set = 0; set < 1u << hosts; set++) {
			uint32_t in = 0;

			for (uint32_t i = 0; i < hosts; i++) {
				char name[16];

				snprintf(name, sizeof(name), "h%u", i);
				if (set & 1u << i)
					in += member_weight2(m, "w", name);
			}
			ck_assert_int_ne(member_is_majority(in, total),
					 member_is_majority(total - in, total));
		}
		members_free(m);
	}
}
END_TEST

/*
 * A stale incarnation must not replace a newer one, and a data centre with
 * entry hosts must always have an anchor.
 */
START_TEST(test_registration)
{
	struct members *m = members_new();
	uint64_t gone, version;

	ck_assert_int_eq(add(m, "b", "w", "entry", 5, &gone), 0);
	ck_assert_int_eq(add(m, "a", "w", "entry", 1, &gone), 0);
	ck_assert_int_eq(add(m, "c", "w", "control", 1, &gone), 0);
	ck_assert_str_eq(member_anchor(m, "w"), "b");
	ck_assert_uint_eq(member_weight2(m, "w", "b"), 3);
	ck_assert_uint_eq(member_weight2(m, "w", "c"), 0);
	ck_assert_uint_eq(member_weight2(m, "e", "b"), 0);
	version = member_version(m);
	ck_assert_int_eq(add(m, "b", "w", "entry", 5, &gone), 0);
	ck_assert_uint_eq(member_version(m), version);
	ck_assert_int_eq(add(m, "b", "w", "entry", 4, &gone), -MW_ECONFLICT);
	ck_assert_int_eq(add(m, "b", "e", "entry", 5, &gone), -MW_EINVAL);
	ck_assert_int_eq(add(m, "x", "w", "other", 1, &gone), -MW_EINVAL);
	ck_assert_int_eq(add(m, "x", "w", "entry", 0, &gone), -MW_EINVAL);
	ck_assert_int_eq(add(m, "x y", "w", "entry", 1, &gone), -MW_EINVAL);
	/* A restart keeps the anchor and reports the old incarnation. */
	ck_assert_int_eq(add(m, "b", "w", "entry", 6, &gone), 0);
	ck_assert_uint_eq(gone, 5);
	ck_assert_str_eq(member_anchor(m, "w"), "b");
	ck_assert_uint_gt(member_version(m), version);
	ck_assert(member_is_registered(m, "b", 6));
	ck_assert_int_eq(member_remove(m, "b", 5), -MW_ENOTFOUND);
	ck_assert_int_eq(member_remove(m, "b", 6), 0);
	ck_assert_str_eq(member_anchor(m, "w"), "a");
	/* A host that moves to another data centre gives up the anchor role. */
	ck_assert_int_eq(add(m, "d", "w", "entry", 1, &gone), 0);
	ck_assert_int_eq(add(m, "a", "e", "entry", 2, &gone), 0);
	ck_assert_str_eq(member_anchor(m, "w"), "d");
	ck_assert_str_eq(member_anchor(m, "e"), "a");
	ck_assert_uint_eq(member_total_weight2(m, "w"), 3);
	ck_assert_int_eq(member_remove(m, "d", 1), 0);
	ck_assert_ptr_null(member_anchor(m, "w"));
	members_free(m);
}
END_TEST

RUN_TESTS("member", test_one_majority, test_registration)
