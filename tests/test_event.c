#include <check.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/hlc.h"
#include "obs/event.h"

#define STAMP_AT_US(us) ((uint64_t)(us) << HLC_COUNTER_BITS)

static struct event_ring *ring;
static char dir[] = "/tmp/test_event.XXXXXX";

static void setup(void)
{
	strcpy(dir + strlen(dir) - 6, "XXXXXX");
	ck_assert_ptr_nonnull(mkdtemp(dir));
	ring = event_ring_new(8, "alpha", "east");
}

static void teardown(void)
{
	g_autofree char *a = g_strdup_printf("%s/timeline.log", dir);
	g_autofree char *b = g_strdup_printf("%s/timeline.log.1", dir);

	event_ring_free(ring);
	unlink(a);
	unlink(b);
	rmdir(dir);
}

static size_t count_matches(const struct event_ring *r, const char *params)
{
	struct event_query q = EVENT_QUERY_INIT;
	g_auto(GStrv) pairs = g_strsplit(params, "&", 0);

	for (int i = 0; pairs[i]; i++) {
		char *eq = strchr(pairs[i], '=');
		*eq = '\0';
		ck_assert_int_eq(event_query_set(&q, pairs[i], eq + 1), 0);
	}
	AUTO_JSON json_t *out = event_query(r, &q);
	return json_array_size(out);
}

static const char *string_at(const json_t *list, size_t i, const char *key)
{
	return json_string_value(json_object_get(json_array_get(list, i), key));
}

static void emit(uint64_t stamp, enum event_kind kind, const char *request)
{
	event_emit(ring, stamp, kind,
		   &(struct event_subject){.request = request}, "n=%d", 1);
}

/* Guards against a ring that exceeds its capacity or loses new events. */
START_TEST(test_ring_keeps_the_newest)
{
	struct event_query q = EVENT_QUERY_INIT;

	ck_assert_uint_eq(event_ring_last_stamp(ring), 0);
	for (int i = 1; i <= 20; i++)
		emit(STAMP_AT_US(i * USEC_PER_SEC), EV_KIND_QUEUED, "r");
	AUTO_JSON json_t *all = event_query(ring, &q);
	ck_assert_uint_eq(json_array_size(all), 8);
	ck_assert_str_eq(string_at(all, 0, "time"),
			 "1970-01-01T00:00:13.000000Z");
	ck_assert_str_eq(string_at(all, 7, "time"),
			 "1970-01-01T00:00:20.000000Z");
	ck_assert_uint_eq(event_ring_last_stamp(ring),
			  STAMP_AT_US(20 * USEC_PER_SEC));
	q.limit = 2;
	AUTO_JSON json_t *two = event_query(ring, &q);
	ck_assert_uint_eq(json_array_size(two), 2);
	ck_assert_str_eq(string_at(two, 0, "time"),
			 "1970-01-01T00:00:19.000000Z");
}
END_TEST

/* Guards against filters that are not applied, and invalid ones accepted. */
START_TEST(test_filters)
{
	struct event_query q = EVENT_QUERY_INIT;

	event_emit(ring, STAMP_AT_US(1000000), EV_KIND_REQUEST,
		   &(struct event_subject){.request = "r1", .account = "a"},
		   "x");
	event_emit(ring, STAMP_AT_US(2500000), EV_KIND_DISPATCHED,
		   &(struct event_subject){.request = "r1", .endpoint = "e"},
		   "x");
	event_emit(ring, STAMP_AT_US(3000000), EV_KIND_CHANGE_ACTIVE,
		   &(struct event_subject){.change = "c"}, "x");
	event_emit(ring, STAMP_AT_US(4000000), EV_KIND_START, NULL, "x");
	ck_assert_uint_eq(count_matches(ring, "request=r1"), 2);
	ck_assert_uint_eq(count_matches(ring, "request=r1&account=a"), 1);
	ck_assert_uint_eq(count_matches(ring, "endpoint=e"), 1);
	ck_assert_uint_eq(count_matches(ring, "change=c"), 1);
	ck_assert_uint_eq(count_matches(ring, "kind=start"), 1);
	ck_assert_uint_eq(count_matches(ring, "since=2.5&until=3"), 2);
	ck_assert_uint_eq(count_matches(ring, "limit=3"), 3);
	ck_assert_uint_eq(count_matches(ring, "request=r"), 0);
	const char *bad[][2] = {{"kind", "nonsense"}, {"since", "yesterday"},
				{"since", ""},	      {"until", "nan"},
				{"limit", "0"},	      {"limit", "-1"},
				{"colour", "red"}};
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_int_eq(event_query_set(&q, bad[i][0], bad[i][1]),
				 -MW_EINVAL);
}
END_TEST

/* Guards against text that is invalid in JSON or controls a terminal. */
START_TEST(test_text_is_sanitized)
{
	struct event_query q = EVENT_QUERY_INIT;
	char too_long[300];

	memset(too_long, 'y', sizeof(too_long) - 1);
	too_long[sizeof(too_long) - 1] = '\0';
	/* Truncation splits this two-byte character. */
	memcpy(too_long + EVENT_NAME_LEN - 2, "\xc3\xa9", 2);
	event_emit(ring, STAMP_AT_US(1), EV_KIND_REQUEST,
		   &(struct event_subject){.request = too_long,
					   .account = "\xff\x1b[2J\n"},
		   "%s", too_long);
	AUTO_JSON json_t *out = event_query(ring, &q);
	ck_assert_str_eq(string_at(out, 0, "account"), "? [2J ");
	ck_assert_uint_eq(strlen(string_at(out, 0, "request")),
			  EVENT_NAME_LEN - 1);
	ck_assert_uint_eq(strlen(string_at(out, 0, "detail")),
			  EVENT_DETAIL_LEN - 1);
}
END_TEST

static void append_to_file(const char *bytes)
{
	g_autofree char *path = g_strdup_printf("%s/timeline.log", dir);
	int fd = open(path, O_WRONLY | O_APPEND);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, bytes, strlen(bytes)),
			 (ssize_t)strlen(bytes));
	close(fd);
}

/* Guards against events lost at a restart or after an incomplete line. */
START_TEST(test_file_survives_restart)
{
	for (int round = 1; round <= 3; round++) {
		ck_assert_int_eq(event_ring_open(ring, dir, 1 << 20), 0);
		ck_assert_uint_eq(count_matches(ring, "request=r"),
				  (size_t)round - 1);
		emit(STAMP_AT_US(round), EV_KIND_REQUEST, "r");
		event_ring_free(ring);
		append_to_file(
			"not json\n{\"kind\":\"request\"}\n{\"hlc\":\"12");
		ring = event_ring_new(8, "alpha", "east");
	}
	ck_assert_int_eq(event_ring_open(ring, dir, 1 << 20), 0);
	ck_assert_uint_eq(event_ring_last_stamp(ring), STAMP_AT_US(3));
	struct event_query q = EVENT_QUERY_INIT;
	AUTO_JSON json_t *out = event_query(ring, &q);
	ck_assert_int_eq(json_integer_value(json_object_get(
				 json_array_get(out, 2), "seq")),
			 3);
	struct event_ring *other = event_ring_new(8, "alpha", "east");
	ck_assert_int_eq(event_ring_open(other, "/nonexistent", 1), -MW_EIO);
	event_ring_free(other);
}
END_TEST

/* Guards against timeline files that exceed max_bytes together. */
START_TEST(test_files_are_bounded)
{
	static const char *const names[] = {"timeline.log", "timeline.log.1"};
	enum { MAX = 20000 };
	off_t total = 0;

	ck_assert_int_eq(event_ring_open(ring, dir, MAX), 0);
	for (int i = 0; i < 1000; i++) {
		emit(STAMP_AT_US(i), EV_KIND_REQUEST, "r");
		if (i % 10 == 0)
			event_ring_flush(ring);
	}
	event_ring_flush(ring);
	for (int i = 0; i < 2; i++) {
		g_autofree char *path = g_strdup_printf("%s/%s", dir, names[i]);
		struct stat st;
		ck_assert_int_eq(stat(path, &st), 0);
		ck_assert_int_gt(st.st_size, 0);
		total += st.st_size;
	}
	ck_assert_int_le(total, MAX);
}
END_TEST

/* Guards against a merge that lists an effect before its cause. */
START_TEST(test_merge_in_causal_order)
{
	struct event_ring *other = event_ring_new(8, "beta", "west");
	struct event_query q = EVENT_QUERY_INIT;
	struct hlc a = {0}, b = {0};

	/* The wall clock of beta is 5 s behind; frames carry the stamps. */
	emit(hlc_now(&a, 9000000), EV_KIND_REQUEST, "r");
	hlc_observe(&b, 4000000, a.last);
	event_emit(other, hlc_now(&b, 4000000), EV_KIND_ONCE_BEGIN, NULL, "x");
	hlc_observe(&a, 9000001, b.last);
	emit(hlc_now(&a, 9000000), EV_KIND_DISPATCHED, "r");
	AUTO_JSON json_t *one = event_query(ring, &q);
	AUTO_JSON json_t *two = event_query(other, &q);
	AUTO_JSON json_t *junk = json_pack("[i,{s:s},n]", 1, "hlc", "7");
	json_t *lists[] = {two, one, junk, NULL, one};
	AUTO_JSON json_t *merged = event_merge(lists, G_N_ELEMENTS(lists));
	ck_assert_uint_eq(json_array_size(merged), 3);
	ck_assert_str_eq(string_at(merged, 0, "kind"), "request");
	ck_assert_str_eq(string_at(merged, 1, "kind"), "once_begin");
	ck_assert_str_eq(string_at(merged, 2, "kind"), "dispatched");
	event_ring_free(other);
}
END_TEST

/* Guards against sentences with placeholders that are not replaced. */
START_TEST(test_every_kind_has_a_sentence)
{
	for (int i = 0; i < EVENT_KIND_COUNT; i++) {
		AUTO_BUF struct buf out = BUF_INIT;
		const char *name = event_kind_name((enum event_kind)i);
		AUTO_JSON json_t *e = json_pack("{s:s,s:s,s:s}", "kind", name,
						"host", "h", "dc", "d");
		ck_assert_int_eq(event_kind_parse(name), i);
		event_sentence(e, &out);
		ck_assert_ptr_null(strpbrk(out.data, "{}"));
		ck_assert_int_eq(out.data[out.len - 1], '.');
	}
	AUTO_BUF struct buf out = BUF_INIT;
	AUTO_JSON json_t *e =
		json_pack("{s:s,s:s,s:s,s:s,s:s}", "kind", "dispatched", "host",
			  "alpha", "request", "r1", "endpoint", "gpu-3",
			  "detail", "lowest reserved load");
	event_sentence(e, &out);
	ck_assert_str_eq(out.data, "alpha sent request r1 to gpu-3: lowest "
				   "reserved load.");
}
END_TEST

int main(void)
{
	Suite *s = suite_create("event");
	TCase *tc = tcase_create("event");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, test_ring_keeps_the_newest);
	tcase_add_test(tc, test_filters);
	tcase_add_test(tc, test_text_is_sanitized);
	tcase_add_test(tc, test_file_survives_restart);
	tcase_add_test(tc, test_files_are_bounded);
	tcase_add_test(tc, test_merge_in_causal_order);
	tcase_add_test(tc, test_every_kind_has_a_sentence);
	suite_add_tcase(s, tc);
	SRunner *sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
