#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/err.h"
#include "base/hlc.h"
#include "base/list.h"

/* Guards against an error kind without a row in the table of responses. */
START_TEST(test_err_table_is_complete)
{
	for (int i = 0; i < MW_ERR_COUNT; i++) {
		const struct err_info *info = err_info(-i);
		ck_assert_ptr_nonnull(info->kind);
		ck_assert_int_ge(info->http_status, 200);
		if (i)
			ck_assert_int_eq(err_from_kind(info->kind), i);
	}
	ck_assert_str_eq(err_info(-12345)->kind, "internal_error");
}
END_TEST

/*
 * Guards against truncated or unterminated text.  buf_addf() formats into the
 * space it reserved, and formats again if that was too small; the lengths cover
 * both cases and the boundary between them.
 */
START_TEST(test_buf_addf_any_length)
{
	char text[400];

	for (size_t used = 0; used < 140; used++) {
		for (size_t n = 0; n < sizeof(text) - 1; n++) {
			AUTO_BUF struct buf b = BUF_INIT;
			memset(text, 'x', n);
			text[n] = '\0';
			for (size_t i = 0; i < used; i++)
				buf_add(&b, "y", 1);
			buf_addf(&b, "%s", text);
			ck_assert_uint_eq(buf_unread(&b), used + n);
			ck_assert_str_eq(buf_head(&b) + used, text);
		}
	}
}
END_TEST

/* Guards against data loss when reads and writes of a buffer alternate. */
START_TEST(test_buf_consume_and_add)
{
	AUTO_BUF struct buf b = BUF_INIT;
	size_t in = 0, out = 0;

	while (out < 100000) {
		for (int i = 0; i < 7; i++, in++) {
			char c = (char)(in % 251);
			buf_add(&b, &c, 1);
		}
		for (int i = 0; i < 5 && buf_unread(&b); i++, out++) {
			ck_assert_int_eq(*buf_head(&b), (char)(out % 251));
			buf_consume(&b, 1);
		}
	}
}
END_TEST

/*
 * Guards against stamps that do not increase when wall time goes back, and
 * against adopting the stamp of a clock that is too far ahead.
 */
START_TEST(test_hlc_is_monotonic)
{
	struct hlc c = {0};
	uint64_t a = hlc_now(&c, 1000);
	uint64_t b = hlc_now(&c, 900);

	ck_assert(b > a);
	hlc_observe(&c, 1000, (uint64_t)2000 << HLC_COUNTER_BITS);
	ck_assert(hlc_wall_us(hlc_now(&c, 1000)) == 2000);
	hlc_observe(&c, 1000,
		    (uint64_t)(HLC_MAX_AHEAD_US + 5000) << HLC_COUNTER_BITS);
	ck_assert(hlc_wall_us(hlc_now(&c, 1000)) == 2000);
}
END_TEST

/* Guards against list corruption when an item is removed twice. */
START_TEST(test_list_del_twice)
{
	struct list head = LIST_INIT(head), a, b;

	list_add_tail(&head, &a);
	list_add_tail(&head, &b);
	list_del(&a);
	list_del(&a);
	ck_assert_ptr_eq(head.next, &b);
	list_del(&b);
	ck_assert(list_empty(&head));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("base");
	TCase *tc = tcase_create("base");

	tcase_add_test(tc, test_err_table_is_complete);
	tcase_add_test(tc, test_buf_consume_and_add);
	tcase_add_test(tc, test_buf_addf_any_length);
	tcase_add_test(tc, test_hlc_is_monotonic);
	tcase_add_test(tc, test_list_del_twice);
	suite_add_tcase(s, tc);
	SRunner *sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
