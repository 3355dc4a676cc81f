#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/err.h"
#include "base/hlc.h"
#include "cli/cli.h"
#include "state/tree.h"

static struct cli c;

static void setup(void)
{
	static const char *const names[] = {"ADMIN",   "KEY_FILE", "JSON",
					    "TIMEOUT", "BASE",	   "LEAVE_OUT"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autofree char *name =
			g_strconcat("MUSTARDWALL_", names[i], NULL);
		g_unsetenv(name);
	}
	memset(&c, 0, sizeof(c));
}

static void teardown(void)
{
	cli_release(&c);
}

/* Parses a command line with words that are split at '|'. */
static const struct cli_command *parse(const char *line, int *status)
{
	g_auto(GStrv) words = g_strsplit(line, "|", -1);
	int argc = (int)g_strv_length(words);
	g_autofree char **argv = g_new0(char *, (size_t)argc + 2);

	cli_release(&c);
	argv[0] = (char *)"mustardwall";
	memcpy(argv + 1, words, (size_t)argc * sizeof(*argv));
	return cli_parse(&c, argc + 1, argv, status);
}

/* Guards against flags that are ignored, or that end up in the wrong place. */
START_TEST(test_flags_and_words)
{
	int status = 0;
	const struct cli_command *cmd =
		parse("tree|set|accounts/a|weight|200|--base=7|--leave-out|"
		      "west|--leave-out=south|--id|x1|-j|--comment=検査",
		      &status);

	ck_assert_str_eq(cmd->name, "tree set");
	ck_assert_int_eq(c.n_words, 3);
	ck_assert_str_eq(c.words[2], "200");
	ck_assert_str_eq(c.base, "7");
	ck_assert_str_eq(c.leave_out[1], "south");
	ck_assert_str_eq(c.comment, "検査");
	ck_assert_int_eq(c.json, 1);
	ck_assert_int_eq(c.timeout, 10);
	ck_assert_str_eq(c.addrs[0], "127.0.0.1:7070");
	ck_assert_ptr_nonnull(
		parse("tree|set|--|accounts/a|weight|-5", &status));
	ck_assert_str_eq(c.words[2], "-5");
}
END_TEST

/* Guards against an environment that is ignored, or stronger than a flag. */
START_TEST(test_environment)
{
	int status = 0;

	g_setenv("MUSTARDWALL_ADMIN", "127.0.0.1:1,127.0.0.1:2", 1);
	g_setenv("MUSTARDWALL_LEAVE_OUT", "west,south", 1);
	g_setenv("MUSTARDWALL_TIMEOUT", "3", 1);
	g_setenv("MUSTARDWALL_JSON", "1", 1);
	ck_assert_ptr_nonnull(parse("status|--timeout=5", &status));
	ck_assert_str_eq(c.addrs[1], "127.0.0.1:2");
	ck_assert_str_eq(c.leave_out[1], "south");
	ck_assert_int_eq(c.timeout, 5);
	ck_assert_int_eq(c.json, 1);
	g_setenv("MUSTARDWALL_TIMEOUT", "soon", 1);
	ck_assert_ptr_null(parse("status", &status));
	ck_assert_int_eq(status, CLI_USAGE);
}
END_TEST

/* Guards against commands that run although they were mistyped. */
START_TEST(test_usage_errors)
{
	static const char *const lines[] = {
		"",
		"tree",
		"tree|sett|a|b|c",
		"tree|set|a|b",
		"tree|get|a|b|c",
		"status|extra",
		"voter|add|1",
		"--colour|status",
		"tree|unset|a|--base=soon",
		"tree|unset|a|--base=0",
		"status|--timeout=-1",
		"status|--admin=127.0.0.1",
		"status|--admin=127.0.0.1:1/x",
		"tree|set|a|b|\xff",
	};
	int status;

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		status = 0;
		ck_assert_ptr_null(parse(lines[i], &status));
		ck_assert_int_eq(status, CLI_USAGE);
		ck_assert_uint_gt(c.err.len, 0);
		ck_assert_ptr_null(strchr(c.err.data, '\n'));
	}
	ck_assert_ptr_null(parse("--help", &status));
	ck_assert_int_eq(status, CLI_OK);
	ck_assert_ptr_nonnull(strstr(c.out.data, "tree apply FILE"));
}
END_TEST

static void expect_json(json_t *have, const char *want)
{
	AUTO_JSON json_t *owned = have;
	AUTO_FREE char *text = json_dumps(have, JSON_COMPACT | JSON_ENCODE_ANY);

	ck_assert_str_eq(text ? text : "NULL", want);
}

/* Guards against values and edits that change their meaning on the way. */
START_TEST(test_values_and_edits)
{
	const char *why = NULL;

	expect_json(cli_parse_value("200"), "200");
	expect_json(cli_parse_value("true"), "true");
	expect_json(cli_parse_value("[\"a\"]"), "[\"a\"]");
	expect_json(cli_parse_value("a b"), "\"a b\"");
	expect_json(cli_parse_value("\"7\""), "\"7\"");
	expect_json(cli_parse_value(""), "\"\"");

	AUTO_JSON json_t *doc =
		json_loads("{\"a\":{\"k\":1,\"l\":null},\"b\":null}", 0, NULL);
	expect_json(cli_edits_from_json(doc, &why),
		    "[{\"path\":\"a\",\"key\":\"k\",\"value\":1},"
		    "{\"path\":\"a\",\"key\":\"l\"},{\"path\":\"b\"}]");
	static const char *const bad[] = {"[]", "{}", "{\"a\":1}"};
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		AUTO_JSON json_t *b = json_loads(bad[i], 0, NULL);
		why = NULL;
		ck_assert_ptr_null(cli_edits_from_json(b, &why));
		ck_assert_ptr_nonnull(why);
	}
	const char *words[] = {"gpu-1", "m", "v2"};
	expect_json(cli_order_body("order load-version", (char *const *)words,
				   "o1"),
		    "{\"order_id\":\"o1\",\"order\":\"load_version\","
		    "\"endpoint\":\"gpu-1\",\"model\":\"m\","
		    "\"version\":\"v2\"}");
}
END_TEST

/* Guards against differences that are missed or shown twice. */
START_TEST(test_tree_diff)
{
	AUTO_JSON json_t *a = json_loads(
		"{\"nodes\":{\"a\":{\"k\":1,\"l\":2},\"b\":{\"k\":1}}}", 0,
		NULL);
	AUTO_JSON json_t *b = json_loads(
		"{\"nodes\":{\"a\":{\"k\":3,\"m\":4},\"c\":{\"k\":5}}}", 0,
		NULL);

	expect_json(cli_tree_diff(a, b),
		    "[{\"path\":\"a\",\"key\":\"k\",\"old\":1,\"now\":3},"
		    "{\"path\":\"a\",\"key\":\"l\",\"old\":2},"
		    "{\"path\":\"a\",\"key\":\"m\",\"now\":4},"
		    "{\"path\":\"b\",\"key\":\"k\",\"old\":1},"
		    "{\"path\":\"c\",\"key\":\"k\",\"now\":5}]");
	expect_json(cli_tree_diff(a, a), "[]");
}
END_TEST

/* Guards against ages that are read as points in time. */
START_TEST(test_since)
{
	static const char *const bad[] = {"", "m", "10x", "10mm", "-1", "nan"};
	int64_t now = INT64_C(1000000000);
	char out[40];

	ck_assert_int_eq(cli_parse_since("90s", now, out, sizeof(out)), 0);
	ck_assert_str_eq(out, "910.000000");
	ck_assert_int_eq(cli_parse_since("1.5m", now, out, sizeof(out)), 0);
	ck_assert_str_eq(out, "910.000000");
	ck_assert_int_eq(cli_parse_since("1d", now, out, sizeof(out)), 0);
	ck_assert_str_eq(out, "0.000000");
	ck_assert_int_eq(cli_parse_since("12.25", now, out, sizeof(out)), 0);
	ck_assert_str_eq(out, "12.250000");
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_int_eq(cli_parse_since(bad[i], now, out, sizeof(out)),
				 -MW_EINVAL);
}
END_TEST

/* Guards against columns that shift, and text that controls a terminal. */
START_TEST(test_table)
{
	AUTO_BUF struct buf out = BUF_INIT;
	const char *head[] = {"A", "BB"};
	const char *one[] = {"long", "x"};
	const char *two[] = {"\xc3\xa9\x1b[2J", NULL};
	struct cli_table *t = cli_table_new(head, 2);

	cli_table_add(t, one);
	cli_table_add(t, two);
	cli_table_print(t, &out);
	ck_assert_str_eq(out.data, "A      BB\n"
				   "long   x\n"
				   "\xc3\xa9 [2J  \n");
}
END_TEST

/* Guards against "nothing has changed" when something may have changed. */
START_TEST(test_outcomes)
{
	static const struct {
		int status;
		bool sent;
		const char *json;
		int reading, changing;
	} cases[] = {
		{200, true, "{}", 0, 0},
		{200, true, NULL, 1, 4},
		{0, false, NULL, 3, 3},
		{0, true, NULL, 3, 4},
		{502, true, "[]", 1, 4},
		{409, true, "{\"error\":{\"kind\":\"conflict\"}}", 1, 1},
		{422, true, "{\"error\":{\"kind\":\"schema_violation\"}}", 1,
		 1},
		{503, true, "{\"error\":{\"kind\":\"data_centre_cut\"}}", 1, 1},
		{401, true, "{\"error\":{\"kind\":\"unauthorized\"}}", 1, 1},
		{504, true, "{\"error\":{\"kind\":\"outcome_unknown\"}}", 1, 4},
		{503, true, "{\"error\":{\"kind\":\"no_leader\"}}", 1, 4},
		{503, true,
		 "{\"error\":{\"kind\":\"no_leader\",\"not_run\":true}}", 1, 1},
		{409, true,
		 "{\"error\":{\"kind\":\"conflict\",\"not_run\":false}}", 1, 4},
		{500, true, "{\"error\":{\"kind\":\"of_a_later_version\"}}", 1,
		 4},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (int changing = 0; changing < 2; changing++) {
			AUTO_BUF struct buf line = BUF_INIT;
			AUTO_JSON json_t *json =
				cases[i].json
					? json_loads(cases[i].json, 0, NULL)
					: NULL;
			struct cli_call call = {.status = cases[i].status,
						.sent = cases[i].sent,
						.json = json};
			ck_assert_int_eq(cli_outcome(&call, changing, &line),
					 changing ? cases[i].changing
						  : cases[i].reading);
		}
	}
	AUTO_BUF struct buf line = BUF_INIT;
	AUTO_JSON json_t *json = json_loads(
		"{\"error\":{\"kind\":\"conflict\",\"message\":\"Too\\nold.\","
		"\"version\":8,\"change_id\":\"x\"}}",
		0, NULL);
	struct cli_call call = {.status = 409, .sent = true, .json = json};
	cli_outcome(&call, true, &line);
	ck_assert_str_eq(line.data,
			 "conflict: Too old. [version 8] [change x]");
}
END_TEST

/* ---- commands against an admin port with recorded answers --------------- */

#define MAX_ANSWERS 8

static struct {
	int fd;
	char addr[64];
	const char *answers[MAX_ANSWERS]; /* body; NULL: close */
	char requests[MAX_ANSWERS][1024];
	int n;
	pthread_t thread;
} server;

static int complete(const char *request)
{
	const char *end = strstr(request, "\r\n\r\n");
	const char *len = strcasestr(request, "content-length:");

	return end && (!len || strlen(end + 4) >= (size_t)atoi(len + 15));
}

static void *serve(void *arg)
{
	(void)arg;
	for (int i = 0; i < server.n; i++) {
		char *request = server.requests[i];
		size_t len = 0;
		int fd = accept(server.fd, NULL, NULL);
		while (!complete(request)) {
			ssize_t n =
				recv(fd, request + len,
				     sizeof(server.requests[0]) - len - 1, 0);
			if (n <= 0)
				break;
			len += (size_t)n;
		}
		if (server.answers[i]) {
			g_autofree char *text = g_strdup_printf(
				"HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
				"Connection: close\r\n\r\n%s",
				strlen(server.answers[i]), server.answers[i]);
			send(fd, text, strlen(text), MSG_NOSIGNAL);
		}
		close(fd);
	}
	return NULL;
}

static void listen_on_loopback(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);

	memset(&server, 0, sizeof(server));
	server.fd = socket(AF_INET, SOCK_STREAM, 0);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(server.fd, (struct sockaddr *)&sin, len), 0);
	ck_assert_int_eq(listen(server.fd, 8), 0);
	getsockname(server.fd, (struct sockaddr *)&sin, &len);
	g_snprintf(server.addr, sizeof(server.addr), "127.0.0.1:%d",
		   ntohs(sin.sin_port));
}

/* Runs a command against the answers; returns the exit status. */
static int run(const char *line)
{
	int status;
	g_autofree char *full =
		g_strdup_printf("%s|--admin=127.0.0.1:1,%s", line, server.addr);
	const struct cli_command *cmd = parse(full, &status);

	ck_assert_ptr_nonnull(cmd);
	c.key = g_strdup("secret");
	while (server.n < MAX_ANSWERS && server.answers[server.n])
		server.n++;
	server.n = MAX(server.n, 1);
	pthread_create(&server.thread, NULL, serve, NULL);
	status = cmd->run(&c);
	pthread_join(server.thread, NULL);
	close(server.fd);
	return status;
}

/* Guards against a change whose request differs from what was asked for. */
START_TEST(test_change_request)
{
	listen_on_loopback();
	server.answers[0] = "{\"version\":6}";
	server.answers[1] = "{\"version\":7,\"change_id\":\"x\"}";
	ck_assert_int_eq(
		run("tree|set|accounts/a|weight|200|--id=x|--leave-out=west"),
		CLI_OK);
	ck_assert_ptr_nonnull(strstr(server.requests[0], "GET /admin/status "));
	ck_assert_ptr_nonnull(
		strstr(server.requests[1], "POST /admin/change "));
	ck_assert_ptr_nonnull(
		strstr(server.requests[1], "Authorization: Bearer secret\r\n"));
	ck_assert_ptr_nonnull(strstr(
		server.requests[1],
		"{\"edits\":[{\"path\":\"accounts/a\",\"key\":\"weight\","
		"\"value\":200}],\"left_out\":[\"west\"],\"id\":\"x\","
		"\"base_version\":6}"));
	ck_assert_str_eq(c.out.data, "accepted: version 7 (change x)\n");
}
END_TEST

/* Guards against an unanswered change that is reported as failed. */
START_TEST(test_change_without_answer)
{
	listen_on_loopback();
	ck_assert_int_eq(run("tree|unset|accounts/a|--base=6|--id=x"),
			 CLI_UNKNOWN);
	ck_assert_ptr_nonnull(strstr(c.err.data, "--id=x --base=6"));
}
END_TEST

/* Guards against errors that leave the operator without a next step. */
START_TEST(test_refusals_say_what_to_do_next)
{
	static const char *const commands[] = {
		"tree set",	    "voter add", "host remove",
		"order load-model", "drain",	 "status"};

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		c.command = commands[i];
		for (int err = 1; err < MW_ERR_COUNT; err++) {
			cli_set_kind(&c, err_info(err)->kind);
			ck_assert_ptr_nonnull(cli_hint(&c, CLI_REFUSED));
		}
		cli_set_kind(&c, "");
		ck_assert_ptr_nonnull(cli_hint(&c, CLI_UNREACHABLE));
		/* The check of documents has another flag. */
		ck_assert_ptr_null(
			strstr(cli_hint(&c, CLI_UNREACHABLE), "--admin="));
		ck_assert_ptr_null(cli_hint(&c, CLI_OK));
		ck_assert_ptr_null(cli_hint(&c, CLI_DEGRADED));
	}
	c.command = "host remove";
	cli_set_kind(&c, "in_progress");
	ck_assert_ptr_nonnull(strstr(cli_hint(&c, CLI_REFUSED), "drain"));
	c.command = NULL;
}
END_TEST

/* Guards against a timeline that hides which processes did not answer. */
START_TEST(test_timeline_names_silent_processes)
{
	char status[256], event[256];

	listen_on_loopback();
	g_snprintf(status, sizeof(status),
		   "{\"processes\":[{\"host\":\"alpha\",\"admin_addr\":\"%s\"},"
		   "{\"host\":\"beta\",\"admin_addr\":\"127.0.0.1:1\"}]}",
		   server.addr);
	g_snprintf(event, sizeof(event),
		   "{\"events\":[{\"hlc\":\"%llu\",\"host\":\"alpha\","
		   "\"kind\":\"queued\",\"request\":\"r1\"}]}",
		   5000000ULL << HLC_COUNTER_BITS);
	server.answers[0] = status;
	server.answers[1] = event;
	ck_assert_int_eq(run("explain|request|r1"), CLI_OK);
	ck_assert_ptr_nonnull(
		strstr(server.requests[1], "GET /admin/timeline?request=r1 "));
	ck_assert_ptr_nonnull(strstr(
		c.out.data, "Request r1 was queued: no further detail."));
	ck_assert_str_eq(c.err.data, "no answer from beta");
}
END_TEST

/* Runs "check" on a file with the text; without a server if answer is NULL. */
static int check_file(const char *text, const char *answer, const char *flags)
{
	g_autofree char *name =
		g_strdup_printf("/tmp/mw_check_%d.json", (int)getpid());
	g_autofree char *line = g_strdup_printf("check|%s%s", name, flags);
	int status;

	ck_assert(g_file_set_contents(name, text, -1, NULL));
	if (answer) {
		listen_on_loopback();
		server.answers[0] = answer;
		status = run(line);
	} else {
		const struct cli_command *cmd = parse(line, &status);
		ck_assert_ptr_nonnull(cmd);
		status = cmd->run(&c);
	}
	unlink(name);
	return status;
}

/* Guards against an exit status that lets a script send a refused file. */
START_TEST(test_check_status)
{
	static const struct {
		const char *text;
		int status;
		const char *output;
	} cases[] = {
		{"{\"routes/r\":{\"kind\":\"service\",\"service\":\"s\"}}",
		 CLI_OK, "errors: 0, warnings: 0"},
		{"{\"routes/r\":{\"kind\":\"service\",\"service\":\"s\","
		 "\"allowed_regions\":[\"eu\"]}}",
		 CLI_WARNINGS, "region 'eu' has no data centre"},
		{"{\"routes/r\":{\"modl\":1}}", CLI_REFUSED, "routes/r:modl"},
		{"{\"nodes\":{\"ranks/r\":{\"level\":\"x\"}},\"version\":1}",
		 CLI_REFUSED, "ranks/r:level"},
		{"{\"routes/r\":", CLI_REFUSED, "not JSON: line 1"},
		{"[]", CLI_REFUSED, "JSON object of nodes"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ck_assert_int_eq(check_file(cases[i].text, NULL, ""),
				 cases[i].status);
		ck_assert_msg(strstr(c.out.data, cases[i].output) != NULL, "%s",
			      c.out.data);
		ck_assert_ptr_nonnull(strstr(c.out.data, "are left out"));
	}
	ck_assert_int_eq(check_file("{}", NULL, "/none"), CLI_USAGE);
	ck_assert_int_eq(check_file("{}", NULL, "|-j|--admin=127.0.0.1:1"),
			 CLI_USAGE); /* no key */
}
END_TEST

/* Guards against differences that are wrong or to another version. */
START_TEST(test_check_differences)
{
	static const char in_force[] =
		"{\"nodes\":{\"ranks/a\":{\"level\":0},"
		"\"accounts/x\":{\"weight\":7}},\"version\":9}";

	ck_assert_int_eq(check_file("{\"accounts/x\":{\"weight\":8},"
				    "\"accounts/y\":{\"queue_max\":5}}",
				    in_force, "|--json"),
			 CLI_OK);
	AUTO_JSON json_t *o = json_loads(c.out.data, 0, NULL);
	ck_assert_int_eq(cli_int(o, "version"), 9);
	expect_json(json_incref(json_object_get(o, "differences")),
		    "[{\"path\":\"accounts/x\",\"key\":\"weight\","
		    "\"old\":7,\"now\":8},"
		    "{\"path\":\"accounts/y\",\"key\":\"queue_max\","
		    "\"now\":5}]");
	ck_assert_uint_eq(json_array_size(json_object_get(o, "notes")), 0);
}
END_TEST

/* Guards against a report that claims to have compared with what it could not
 * read, and against an answer that breaks the JSON of the report. */
START_TEST(test_check_without_version_in_force)
{
	static const char *const answers[] = {
		"{\"nodes\":{\"x\":{}},\"version\":9}", "[", "{}"};

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		ck_assert_int_eq(check_file("{\"accounts/x\":{\"weight\":8}}",
					    answers[i], "|--json"),
				 CLI_UNREACHABLE);
		AUTO_JSON json_t *o = json_loads(c.out.data, 0, NULL);
		ck_assert_ptr_nonnull(o);
		ck_assert_ptr_null(json_object_get(o, "differences"));
		ck_assert_uint_eq(json_array_size(json_object_get(o, "notes")),
				  2);
	}
}
END_TEST

/* Guards against keys that others can read, and against a wrong hash. */
START_TEST(test_keys)
{
	char path[] = "/tmp/test_cli.XXXXXX";
	char hash[SCHEMA_HASH_HEX_LEN + 1];
	int status;
	int fd = mkstemp(path);

	ck_assert_int_eq(write(fd, " k1 \n", 5), 5);
	close(fd);
	g_autofree char *line = g_strdup_printf("status|--key-file=%s", path);
	ck_assert_ptr_nonnull(parse(line, &status));
	ck_assert_int_eq(cli_load_key(&c), CLI_OK);
	ck_assert_str_eq(c.key, "k1");
	ck_assert_ptr_nonnull(parse(line, &status));
	chmod(path, 0640);
	ck_assert_int_eq(cli_load_key(&c), CLI_USAGE);
	unlink(path);
	ck_assert_ptr_nonnull(parse("key|new|--json", &status));
	ck_assert_int_eq(cli_key_new(&c), CLI_OK);
	AUTO_JSON json_t *o = json_loads(c.out.data, 0, NULL);
	tree_key_hash(cli_str(o, "key"), hash);
	ck_assert_str_eq(cli_str(o, "hash"), hash);
}
END_TEST

/* Bytes that a server sends again and again after the first ones. */
struct flood {
	const char *first, *again;
	int listener;
	size_t sent;
};

#define FLOOD_MAX_BYTES ((size_t)256 << 20)

static void *flood_run(void *arg)
{
	struct flood *f = arg;
	int fd = accept(f->listener, NULL, NULL);
	char in[4096];
	GString *block = g_string_new(NULL);

	while (block->len < 16384)
		g_string_append(block, f->again);
	(void)recv(fd, in, sizeof(in), 0);
	(void)send(fd, f->first, strlen(f->first), MSG_NOSIGNAL);
	while (f->sent < FLOOD_MAX_BYTES &&
	       send(fd, block->str, block->len, MSG_NOSIGNAL) ==
		       (ssize_t)block->len)
		f->sent += block->len;
	g_string_free(block, TRUE);
	close(fd);
	return NULL;
}

/* Guards against an answer without an end that the CLI reads, and keeps, until
 * its time is up. */
START_TEST(test_endless_answers)
{
	struct flood floods[] = {
		{.first = "HTTP/1.1 200 OK\r\n", .again = "X-A: b\r\n"},
		{.first = "HTTP/1.1 200 OK\r\nX-A: ", .again = "b"},
		{.first = "", .again = "HTTP/1.1 100 Continue\r\n\r\n"},
		{.first = "HTTP/1.1 200 OK\r\n\r\n", .again = "{"},
		{.first = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
			  "\r\n\r\n1;",
		 .again = "b"},
		{.first = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
			  "\r\n\r\n0\r\n",
		 .again = "X-A: b\r\n"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(floods); i++) {
		struct sockaddr_in sa = {.sin_family = AF_INET,
					 .sin_addr.s_addr =
						 htonl(INADDR_LOOPBACK)};
		socklen_t len = sizeof(sa);
		struct flood *f = &floods[i];
		struct cli_call call = {.path = g_strdup("/admin/status")};
		pthread_t thread;

		f->listener = socket(AF_INET, SOCK_STREAM, 0);
		ck_assert_int_eq(bind(f->listener, (void *)&sa, len), 0);
		ck_assert_int_eq(listen(f->listener, 1), 0);
		getsockname(f->listener, (void *)&sa, &len);
		g_snprintf(call.addr, sizeof(call.addr), "127.0.0.1:%d",
			   ntohs(sa.sin_port));
		pthread_create(&thread, NULL, flood_run, f);
		c.key = (char *)"k";
		c.timeout = 4;
		cli_fetch(&c, &call, 1);
		c.key = NULL;
		pthread_join(thread, NULL);
		close(f->listener);
		ck_assert_msg(f->sent < 40 << 20, "answer %zu: %zu bytes", i,
			      f->sent);
		ck_assert_int_eq(call.status, 0);
		ck_assert(call.sent);
		ck_assert_ptr_null(call.json);
		cli_call_release(&call);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("cli");
	TCase *tc = tcase_create("cli");

	tcase_set_timeout(tc, 30);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, test_flags_and_words);
	tcase_add_test(tc, test_environment);
	tcase_add_test(tc, test_usage_errors);
	tcase_add_test(tc, test_values_and_edits);
	tcase_add_test(tc, test_tree_diff);
	tcase_add_test(tc, test_since);
	tcase_add_test(tc, test_table);
	tcase_add_test(tc, test_outcomes);
	tcase_add_test(tc, test_change_request);
	tcase_add_test(tc, test_change_without_answer);
	tcase_add_test(tc, test_refusals_say_what_to_do_next);
	tcase_add_test(tc, test_timeline_names_silent_processes);
	tcase_add_test(tc, test_check_status);
	tcase_add_test(tc, test_check_differences);
	tcase_add_test(tc, test_check_without_version_in_force);
	tcase_add_test(tc, test_keys);
	tcase_add_test(tc, test_endless_answers);
	suite_add_tcase(s, tc);
	SRunner *sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
