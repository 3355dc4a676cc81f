#include "check_main.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "cli/check_tree.h"
#include "forward/plan_check.h"

static const struct plan_names names = {
	"routes",     "services", "accounts",	 "limits",   "host", "prefix",
	"regions",    "keys",	  "timeout",	 "latency",  "gap",  "attempts",
	"max_header", "max_body", "header_time", "idle_time"};

/* A plan without findings: route r of service s, and account a with a key. */
static struct plan *plan;
static struct plan_route *route;
static struct plan_account *account;
static struct residency_map map;

static void make_plan(void)
{
	plan = plan_new();
	plan->needs_keys = true;
	route = plan_add_route(plan, "r", "h", "/");
	route->timeout_us = 900 * USEC_PER_MSEC;
	route->max_endpoints = 2;
	plan_add_backend(route, plan_add_service(plan, "s"), 1);
	account = plan_add_account(plan, "a");
	plan_add_key(plan, "k", account);
	memset(&map, 0, sizeof(map));
	residency_map_add(&map, "west", "eu");
	residency_map_add(&map, "south", "us");
}

/* Frees the plan; its findings as lines of "PATH TEXT". */
static char *findings_text(const struct residency_map *regions)
{
	struct plan_check c = {.plan = plan,
			       .names = &names,
			       .regions = regions,
			       .default_latency_us = 1000 * USEC_PER_MSEC};
	g_autoptr(GPtrArray) out = findings_new();
	GString *s = g_string_new(NULL);

	plan_index_routes(plan);
	plan_check_all(&c, out);
	for (guint i = 0; i < out->len; i++) {
		const struct finding *f = out->pdata[i];
		g_string_append_printf(s, "%s %s\n", f->path, f->text);
	}
	plan_unref(plan);
	return g_string_free(s, FALSE);
}

static void expect_finding(const char *beginning)
{
	g_autofree char *text = findings_text(&map);

	ck_assert_msg(g_str_has_prefix(text, beginning) &&
			      strchr(text, '\n')[1] == '\0',
		      "%s instead of %s", text, beginning);
}

/* Guards against findings on a proper plan, also with default values. */
START_TEST(test_nothing_found)
{
	make_plan();
	route->target_latency_us = 1000 * USEC_PER_MSEC;
	plan_add_region(plan, &route->regions, "eu");
	plan_add_region(plan, &account->regions, "us");
	plan_add_region(plan, &account->regions, "eu");
	plan->header_us = 3000 * USEC_PER_MSEC;
	plan->max_header = 16384;
	g_autofree char *text = findings_text(&map);
	ck_assert_str_eq(text, "");
}
END_TEST

/* Checks that a plan with one change has one finding. */
#define EXPECT(FINDING, ...)                                                   \
	do {                                                                   \
		make_plan();                                                   \
		__VA_ARGS__;                                                   \
		expect_finding(FINDING);                                       \
	} while (0)

static void add_route(const char *host, const char *prefix)
{
	struct plan_route *r = plan_add_route(plan, "q", host, prefix);

	r->timeout_us = r->max_endpoints = 1;
}

static void drop_accounts(void)
{
	g_hash_table_remove_all(plan->by_key);
	g_ptr_array_set_size(plan->accounts, 0);
}

/* Guards against missing an entry that can never match. */
START_TEST(test_never_matches)
{
	EXPECT("routes/q:prefix never chosen: routes/r ", add_route("H", "/"));
	EXPECT("routes/q:prefix matches no path", add_route("h", "x"));
	EXPECT("routes/q:prefix matches no path", add_route("h", "/x?y"));
	EXPECT("routes/q:host ", add_route("", "/x"));
	EXPECT("services/t no route ",
	       plan_add_backend(route, plan_add_service(plan, "t"), 0));
	EXPECT("accounts/b:keys the account has no key",
	       plan_add_account(plan, "b"));
	EXPECT("accounts no account has a key", drop_accounts());
	EXPECT("accounts/a:keys all routes are public",
	       route->is_public = true);
}
END_TEST

/* Guards against missing requests that no region may serve. */
START_TEST(test_regions)
{
	EXPECT("routes/r:regions region 'moon' has no data centre",
	       plan_add_region(plan, &route->regions, "moon"));
	make_plan();
	plan_add_region(plan, &route->regions, "moon");
	g_autofree char *text = findings_text(NULL);
	ck_assert_str_eq(text, ""); /* data centres are not known */
	make_plan();
	plan_add_region(plan, &route->regions, "eu");
	plan_add_region(plan, &account->regions, "us");
	g_autofree char *both = findings_text(&map);
	ck_assert_ptr_nonnull(strstr(both, "routes/r:regions no region in "
					   "common with accounts/a"));
	ck_assert_ptr_nonnull(strstr(both, "accounts/a:keys no route"));
}
END_TEST

/* Guards against missing limits that cannot hold together. */
START_TEST(test_limits)
{
	const int64_t ms = USEC_PER_MSEC;

	EXPECT("routes/r:latency 901 ms is above timeout, 900 ms",
	       route->target_latency_us = 901 * ms);
	EXPECT("routes/r:gap has no effect", route->target_gap_us = 1);
	EXPECT("routes/r:gap 901 ms is above", route->kind = PLAN_STREAM;
	       route->target_gap_us = 901 * ms);
	EXPECT("routes/r:attempts 0 ", route->max_endpoints = 0);
	EXPECT("routes/r:attempts a number below 0 is not supported",
	       route->max_endpoints = (unsigned int)-1);
	EXPECT("limits:max_header 2 bytes", plan->max_header = 2;
	       plan->max_body = 1);
	EXPECT("limits:max_header hosts accept 32768 bytes only",
	       plan->max_header = (32 << 10) + 1);
	EXPECT("limits:max_body hosts accept 4194304 bytes only",
	       plan->max_body = (4 << 20) + 1);
	EXPECT("limits:header_time 2 ms", plan->header_us = 2 * ms;
	       plan->idle_us = 1 * ms);
}
END_TEST

/* Guards against missing settings of the tree that have no effect together. */
START_TEST(test_tree)
{
	static const char json[] =
		"{\"nodes\":{\"ranks/a\":{\"level\":0,\"queue_max\":9},"
		"\"ranks/b\":{\"level\":1},\"models/m\":{\"context_tokens\":5},"
		"\"system\":{\"retry_budget_percent\":0,"
		"\"ledger_max_keys\":1,\"ledger_max_keys_per_account\":2},"
		"\"dcs/west\":{\"region\":\"eu\"},"
		"\"routes/r\":{\"model\":\"m\",\"rank\":\"b\",\"max_tokens\":6,"
		"\"service\":\"s\",\"retries_max\":1,\"deadline_ms\":1,"
		"\"allowed_regions\":[\"eu\"]},"
		"\"accounts/x\":{\"ranks\":[\"a\"],\"queue_max\":10,"
		"\"allowed_regions\":[\"us\"],\"key_hash\":[\"0000000000000000"
		"000000000000000000000000000000000000000000000001\"]}},"
		"\"version\":1}";
	static const char *const paths[] = {
		"routes/r:service",
		"routes/r:max_tokens",
		"routes/r:resume_window_ms",
		"routes/r:retries_max",
		"accounts/x:key_hash",
		"accounts/x:queue_max",
		"routes/r:allowed_regions",
		"accounts/x:allowed_regions",
		"system:ledger_max_keys_per_account"};
	g_autoptr(GPtrArray) out = findings_new();
	struct tree_err err;
	struct tree *t;

	ck_assert_msg(!tree_parse(json, strlen(json), &t, &err), "%s %s",
		      err.path, err.reason);
	check_tree(t, out);
	ck_assert_uint_eq(out->len, G_N_ELEMENTS(paths));
	for (guint i = 0; i < out->len; i++)
		ck_assert_str_eq(((struct finding *)out->pdata[i])->path,
				 paths[i]);
	tree_unref(t);
}
END_TEST

/* Guards against a finding on a route that the account may not use. */
START_TEST(test_routes_of_account)
{
	static const char json[] =
		"{\"nodes\":{\"ranks/a\":{\"level\":0},\"models/m\":{},"
		"\"dcs/west\":{\"region\":\"eu\"},"
		"\"dcs/south\":{\"region\":\"us\"},"
		"\"routes/e\":{\"model\":\"m\",\"rank\":\"a\","
		"\"allowed_regions\":[\"eu\"]},"
		"\"routes/u\":{\"model\":\"m\",\"rank\":\"a\","
		"\"allowed_regions\":[\"us\"]},"
		"\"accounts/x\":{\"routes\":[\"e\"],"
		"\"allowed_regions\":[\"eu\"]},"
		"\"accounts/y\":{\"routes\":[\"u\"],"
		"\"allowed_regions\":[\"us\"]}},\"version\":1}";
	g_autoptr(GPtrArray) out = findings_new();
	struct tree_err err;
	struct tree *t;

	ck_assert_msg(!tree_parse(json, strlen(json), &t, &err), "%s %s",
		      err.path, err.reason);
	check_tree(t, out);
	ck_assert_uint_eq(out->len, 0);
	tree_unref(t);
}
END_TEST

/* Guards against comparing each region of a route with each of an account: a
 * document of 4 MiB may hold lists of this length. */
START_TEST(test_many_regions)
{
	make_plan();
	for (int i = 0; i < 200000; i++) {
		char name[16];

		snprintf(name, sizeof(name), "r%d", i);
		plan_add_region(plan, &route->regions, name);
		name[0] = 'a';
		plan_add_region(plan, &account->regions, name);
	}
	clock_t start = clock();
	g_autofree char *text = findings_text(NULL);
	/* Some 0.1 s; such a comparison took over 20 s. */
	ck_assert_int_lt(clock() - start, 5 * CLOCKS_PER_SEC);
	ck_assert_ptr_nonnull(strstr(text, "no region in common"));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_nothing_found, test_never_matches, test_regions,
		test_limits,	    test_tree,		test_routes_of_account,
		test_many_regions};

	return check_main("plan_check", tests, G_N_ELEMENTS(tests));
}
