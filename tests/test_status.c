#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "cli/cli_degraded.h"
#include "cli/cli_merge.h"
#include "obs/window.h"

/* 2026-12-04T01:02:03Z */
#define NOW_US (INT64_C(1796346123) * USEC_PER_SEC)

static json_t *parse(const char *text)
{
	json_error_t error;
	json_t *json = json_loads(text, 0, &error);

	ck_assert_msg(json != NULL, "%s", error.text);
	return json;
}

static void assert_json(const json_t *have, const char *want)
{
	AUTO_JSON json_t *w = parse(want);
	AUTO_FREE char *text = json_dumps(have, JSON_COMPACT);

	ck_assert_msg(json_equal(have, w), "%s", text);
}

/* The line of this kind about a subject, or NULL. */
static const json_t *line(const json_t *list, const char *kind,
			  const char *subject)
{
	json_t *o;
	size_t i;

	json_array_foreach((json_t *)list, i, o)
	{
		if (!strcmp(cli_str(o, "kind"), kind) &&
		    !strcmp(cli_str(o, "subject"), subject))
			return o;
	}
	return NULL;
}

/* Merges as cli_status() does, and returns what is degraded. */
static json_t *degraded(const char *answers_text, const char *known_text,
			const char *silent_text, const char *rows_text)
{
	AUTO_JSON json_t *answers = parse(answers_text);
	AUTO_JSON json_t *known = parse(known_text);
	AUTO_JSON json_t *silent = parse(silent_text);
	AUTO_JSON json_t *rows = parse(rows_text);
	AUTO_JSON json_t *queues = cli_merge_queues(answers);
	AUTO_JSON json_t *voters = cli_merge_voters(answers);
	AUTO_JSON json_t *cuts =
		cli_merge_cuts(answers, known, silent, rows, NOW_US);
	struct cli_view v = {.answers = answers,
			     .known = known,
			     .silent = silent,
			     .rows = rows,
			     .queues = queues,
			     .voters = voters,
			     .cuts = cuts};

	return cli_degraded(&v, NOW_US);
}

#define LEADER(rest)                                                           \
	"{\"host\":\"ctl1\",\"dc\":\"dc1\",\"role\":\"control\","              \
	"\"state\":\"serving\",\"leader\":\"ctl1\",\"leading\":true,"          \
	"\"term\":3,\"version\":7,\"version_age_ms\":60000" rest "}"
#define ENTRY(name, state, rest)                                               \
	"{\"host\":\"" name "\",\"dc\":\"dc1\",\"role\":\"entry\","            \
	"\"state\":\"" state "\",\"leader\":\"ctl1\",\"lease_ms\":3000,"       \
	"\"version\":7" rest "}"
#define VOTERS(age2, age3)                                                     \
	",\"voters\":[{\"id\":1,\"host\":\"ctl1\",\"heard_ms\":0},"            \
	"{\"id\":2,\"host\":\"ctl2\",\"dc\":\"dc2\",\"heard_ms\":" #age2 "},"  \
	"{\"id\":3,\"host\":\"ctl3\",\"dc\":\"dc3\",\"heard_ms\":" #age3 "}]"

/* Guards against a window that forgets too early, or never. */
START_TEST(test_window_keeps_the_last_minute)
{
	struct minute_window w = {0};
	int64_t start = 1000 * WINDOW_SLOT_US;

	minute_window_add(&w, 3, start);
	minute_window_add(&w, 4, start + 10 * WINDOW_SLOT_US);
	ck_assert_uint_eq(minute_window_sum(&w, start + 11 * WINDOW_SLOT_US),
			  7);
	ck_assert_uint_eq(minute_window_sum(&w, start + 12 * WINDOW_SLOT_US),
			  4);
	ck_assert_uint_eq(minute_window_sum(&w, start + 30 * WINDOW_SLOT_US),
			  0);
	minute_window_add(&w, 1, start + 12 * WINDOW_SLOT_US);
	ck_assert_uint_eq(minute_window_sum(&w, start + 12 * WINDOW_SLOT_US),
			  5);
}
END_TEST

/* Guards against times of one host's clock, and against made-up ones. */
START_TEST(test_since_is_counted_back_from_now)
{
	AUTO_JSON json_t *o = json_object();

	cli_set_since(o, 63000, NOW_US);
	assert_json(o, "{\"since\":\"2026-12-04T01:01:00Z\",\"age_s\":63}");
	cli_set_since(o, -1, NOW_US);
	assert_json(o, "{\"since\":null,\"age_s\":null}");
}
END_TEST

/* Guards against queues of one host being shown as those of all. */
START_TEST(test_queues_are_summed_by_rank)
{
	AUTO_JSON json_t *answers = parse(
		"[{\"host\":\"a\",\"queues\":[{\"rank\":\"normal\",\"level\":1,"
		"\"waiting\":5,\"oldest_ms\":40,\"longest\":3,\"bound\":9,"
		"\"refused\":0}]},{\"host\":\"c\"},"
		"{\"host\":\"b\",\"queues\":[{\"rank\":\"urgent\",\"level\":0,"
		"\"waiting\":1,\"oldest_ms\":2,\"longest\":1,\"bound\":9,"
		"\"refused\":0},{\"rank\":\"normal\",\"level\":1,\"waiting\":9,"
		"\"oldest_ms\":30,\"longest\":9,\"bound\":9,\"refused\":2}]}]");
	AUTO_JSON json_t *q = cli_merge_queues(answers);

	assert_json(q,
		    "[{\"rank\":\"urgent\",\"level\":0,\"waiting\":1,"
		    "\"oldest_ms\":2,\"longest\":1,\"refused\":0,\"bound\":9,"
		    "\"full_on\":[]},"
		    "{\"rank\":\"normal\",\"level\":1,\"waiting\":14,"
		    "\"oldest_ms\":40,\"longest\":9,\"refused\":2,\"bound\":9,"
		    "\"full_on\":[\"b\"]}]");
}
END_TEST

/* Guards against an account that is large only in sum being left out. */
START_TEST(test_largest_accounts_over_all_hosts)
{
	AUTO_JSON json_t *answers =
		parse("[{\"accounts\":[{\"account\":\"x\",\"tokens\":50,"
		      "\"running\":1,\"waiting\":0},{\"account\":\"y\","
		      "\"tokens\":40,\"running\":0,\"waiting\":2}]},"
		      "{\"accounts\":[{\"account\":\"z\",\"tokens\":60,"
		      "\"running\":1,\"waiting\":1},{\"account\":\"y\","
		      "\"tokens\":40,\"running\":3,\"waiting\":1}]}]");
	AUTO_JSON json_t *top = cli_merge_accounts(answers, 2);

	assert_json(top, "[{\"account\":\"y\",\"tokens\":80,\"running\":3,"
			 "\"waiting\":3},{\"account\":\"z\",\"tokens\":60,"
			 "\"running\":1,\"waiting\":1}]");
}
END_TEST

/* Guards against processes that only a later answer names. */
START_TEST(test_processes_of_all_answers_are_asked)
{
	AUTO_JSON json_t *known = parse("[{\"host\":\"a\"}]");
	AUTO_JSON json_t *answers =
		parse("[{\"processes\":[{\"host\":\"a\"},{\"host\":\"b\"}]},"
		      "{\"processes\":[{\"host\":\"b\"},{\"host\":\"c\"}]}]");
	AUTO_JSON json_t *more = cli_more_processes(answers, known);

	assert_json(more, "[{\"host\":\"b\"},{\"host\":\"c\"}]");
}
END_TEST

/* Guards against a monitor that wakes people for nothing. */
START_TEST(test_healthy_fleet_is_not_degraded)
{
	const char *answers =
		"[" LEADER(",\"disk_free_bytes\":99999999999" VOTERS(
			200, 300) ",\"dcs\":[{\"dc\":\"dc1\",\"connected\":"
				  "true}]") "," ENTRY("e1", "serving", "") "]";
	AUTO_JSON json_t *d =
		degraded(answers, "[]", "[]",
			 "[{\"id\":\"ep1\",\"state\":\"serving\"}]");

	assert_json(d, "[]");
}
END_TEST

/*
 * Guards against a deposed leader, which has not noticed yet, hiding what the
 * new one sees.
 */
START_TEST(test_newest_leader_counts)
{
	AUTO_JSON json_t *answers =
		parse("[{\"host\":\"old\",\"leading\":true,\"term\":2},"
		      "{\"host\":\"new\",\"leading\":true,\"term\":3}]");

	ck_assert_str_eq(cli_leader_name(answers), "new");
}
END_TEST

/* Guards against lost voters that go unnoticed while the log still works. */
START_TEST(test_lost_voter_is_told_with_its_cost)
{
	AUTO_JSON json_t *d =
		degraded("[" LEADER(VOTERS(100, 65000)) "]", "[]", "[]", "[]");
	const json_t *l = line(d, "voter_lost", "control");

	ck_assert_ptr_nonnull(l);
	ck_assert_str_eq(cli_str(l, "text"), "2 of 3 voters answer");
	ck_assert_ptr_nonnull(strstr(cli_str(l, "cost"), "one more voter"));
	ck_assert_uint_eq(json_array_size(d), 1);
}
END_TEST

/* Guards against silence of a voter that a follower never hears anyway. */
START_TEST(test_only_the_leader_judges_voters)
{
	AUTO_JSON json_t *d = degraded(
		"[" LEADER(VOTERS(100, 200)) ",{\"host\":\"ctl2\","
					     "\"role\":\"control\","
					     "\"state\":\"serving\","
					     "\"version\":7" VOTERS(0, -1) "}]",
		"[]", "[]", "[]");

	assert_json(d, "[]");
}
END_TEST

/* Guards against "no leader" going untold, or told when a lease shows one. */
START_TEST(test_no_leader)
{
	const char *down = "[{\"host\":\"ctl2\",\"role\":\"control\","
			   "\"state\":\"starting\",\"leader\":\"\","
			   "\"no_leader_ms\":9000}]";
	const char *leased = "[" ENTRY("e1", "serving", "") "]";
	AUTO_JSON json_t *d = degraded(down, "[]", "[]", "[]");
	AUTO_JSON json_t *ok = degraded(leased, "[]", "[]", "[]");
	const json_t *l = line(d, "no_leader", "control");

	ck_assert_ptr_nonnull(l);
	ck_assert_int_eq(cli_int(l, "age_s"), 9);
	ck_assert_ptr_null(line(ok, "no_leader", "control"));
}
END_TEST

/* Guards against a silent host without the time that the leader knows. */
START_TEST(test_silent_host_has_its_since_from_the_leader)
{
	AUTO_JSON json_t *d = degraded(
		"[" LEADER(",\"hosts\":[{\"host\":\"e2\",\"no_lease_ms\":5000,"
			   "\"heard_ms\":9000}]") "]",
		"[{\"host\":\"e2\",\"dc\":\"dc1\",\"role\":\"entry\"}]",
		"[\"e2\"]", "[]");
	const json_t *l = line(d, "host_silent", "e2");

	ck_assert_ptr_nonnull(l);
	ck_assert_int_eq(cli_int(l, "age_s"), 5);
	ck_assert_str_eq(cli_str(l, "since"), "2026-12-04T01:01:58Z");
}
END_TEST

/* Guards against one cut data centre being told once for each host. */
START_TEST(test_island_is_told_once)
{
	AUTO_JSON json_t *d = degraded(
		"[" LEADER(",\"dcs\":[{\"dc\":\"dc1\","
			   "\"connected\":false,"
			   "\"not_connected_ms\":8000}"
			   "]") "," ENTRY("e1", "island",
					  ",\"no_"
					  "lease_ms\":"
					  "8100") "," ENTRY("e2", "island",
							    ",\"no_lease_ms\":"
							    "8200") "]",
		"[]", "[]", "[]");

	ck_assert_uint_eq(json_array_size(d), 1);
	ck_assert_ptr_nonnull(line(d, "data_centre_cut", "dc1"));
}
END_TEST

/* Guards against each kind of trouble on a host or endpoint going untold. */
START_TEST(test_hosts_and_endpoints)
{
	AUTO_JSON json_t *d = degraded(
		"[" LEADER(",\"disk_free_bytes\":1000") "," ENTRY(
			"e1", "serving",
			",\"no_hub_ms\":4000,\"queues\":[{\"rank\":"
			"\"normal\","
			"\"waiting\":9,\"longest\":9,\"bound\":9}],"
			"\"lost_endpoints\":[{\"id\":\"ep3\",\"dc\":"
			"\"dc1\","
			"\"age_ms\":1000}]") "," ENTRY("e2", "fenced",
						       ",\"no_lease_"
						       "ms\":7000") "," ENTRY("e3",
									      "draining",
									      "") "]",
		"[]", "[]",
		"[{\"id\":\"ep1\",\"dc\":\"dc1\",\"state\":\"suspect\","
		"\"state_ms\":2000},{\"id\":\"ep2\",\"dc\":\"dc1\","
		"\"state\":\"leaving\",\"state_ms\":3000}]");

	ck_assert_ptr_nonnull(line(d, "safe_share", "e1"));
	ck_assert_ptr_nonnull(line(d, "queue_full", "normal"));
	ck_assert_ptr_nonnull(line(d, "fenced", "e2"));
	ck_assert_ptr_nonnull(line(d, "draining", "e3"));
	ck_assert_ptr_nonnull(line(d, "endpoint_suspect", "ep1"));
	ck_assert_ptr_nonnull(line(d, "endpoint_leaving", "ep2"));
	ck_assert_ptr_nonnull(line(d, "endpoint_lost", "ep3"));
	ck_assert_ptr_nonnull(line(d, "disk_low", "ctl1"));
	ck_assert_uint_eq(json_array_size(d), 8);
}
END_TEST

#define BEHIND(age, left_out)                                                  \
	"[{\"host\":\"ctl1\",\"role\":\"control\",\"leader\":\"ctl1\","        \
	"\"leading\":true,\"term\":1,\"version\":8,\"version_age_ms\":" age    \
	",\"left_out\":[" left_out "]}," ENTRY("e1", "serving", "") "]"

/* Guards against alarms for each change, and against silence if one hangs. */
START_TEST(test_versions_behind)
{
	AUTO_JSON json_t *fresh = degraded(BEHIND("900", ""), "[]", "[]", "[]");
	AUTO_JSON json_t *late = degraded(BEHIND("9000", ""), "[]", "[]", "[]");
	AUTO_JSON json_t *out =
		degraded(BEHIND("900", "{\"dc\":\"dc1\",\"version\":8,"
				       "\"change_id\":\"c9\"}"),
			 "[]", "[]", "[]");

	assert_json(fresh, "[]");
	ck_assert_ptr_nonnull(line(late, "version_behind", "e1"));
	ck_assert_ptr_nonnull(line(out, "left_out_behind", "e1"));
	ck_assert_ptr_nonnull(
		strstr(cli_str(json_array_get(out, 0), "help"), "c9"));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("status");
	TCase *tc = tcase_create("merge");

	tcase_add_test(tc, test_window_keeps_the_last_minute);
	tcase_add_test(tc, test_since_is_counted_back_from_now);
	tcase_add_test(tc, test_queues_are_summed_by_rank);
	tcase_add_test(tc, test_largest_accounts_over_all_hosts);
	tcase_add_test(tc, test_processes_of_all_answers_are_asked);
	tcase_add_test(tc, test_healthy_fleet_is_not_degraded);
	tcase_add_test(tc, test_newest_leader_counts);
	tcase_add_test(tc, test_lost_voter_is_told_with_its_cost);
	tcase_add_test(tc, test_only_the_leader_judges_voters);
	tcase_add_test(tc, test_no_leader);
	tcase_add_test(tc, test_silent_host_has_its_since_from_the_leader);
	tcase_add_test(tc, test_island_is_told_once);
	tcase_add_test(tc, test_hosts_and_endpoints);
	tcase_add_test(tc, test_versions_behind);
	suite_add_tcase(s, tc);
	SRunner *sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
