#include "cli/cli.h"

#include <stdio.h>
#include <string.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "cli/cli_degraded.h"
#include "cli/cli_merge.h"

/*
 * `mustardwall status`: asks all processes, merges what they say and prints
 * it.  With --check only what is degraded.
 */

#define CELL 24

static const char *num(char *cell, int64_t n)
{
	snprintf(cell, CELL, "%lld", (long long)n);
	return cell;
}

/* "2026-12-04T01:02:03Z (75 s ago)"; "unknown" without a time. */
static void since_text(const json_t *o, char *out, size_t size)
{
	if (json_is_string(json_object_get(o, "since")))
		snprintf(out, size, "%s (%lld s ago)", cli_str(o, "since"),
			 (long long)cli_int(o, "age_s"));
	else
		snprintf(out, size, "unknown");
}

static bool names(const json_t *list, const char *name)
{
	const json_t *n;
	size_t i;

	json_array_foreach((json_t *)list, i, n)
	{
		if (json_is_string(n) && !strcmp(json_string_value(n), name))
			return true;
	}
	return false;
}

/* ---- tables ------------------------------------------------------------- */

static void print_processes(struct cli *c, const struct cli_view *v)
{
	const char *head[] = {"HOST",	 "DC",	    "ROLE",  "STATE",
			      "VERSION", "PENDING", "LEASE", "HUB",
			      "LEADER",	 "OPEN",    "QUEUED"};
	struct cli_table *t = cli_table_new(head, G_N_ELEMENTS(head));
	json_t *s, *p;
	size_t i;

	json_array_foreach((json_t *)v->answers, i, s)
	{
		char n[5][CELL];
		const char *cells[] = {cli_str(s, "host"),
				       cli_str(s, "dc"),
				       cli_str(s, "role"),
				       cli_str(s, "state"),
				       num(n[0], cli_int(s, "version")),
				       num(n[1], cli_int(s, "pending")),
				       num(n[2], cli_int(s, "lease_ms")),
				       cli_str(s, "hub"),
				       cli_str(s, "leader"),
				       num(n[3], cli_int(s, "open_requests")),
				       num(n[4], cli_int(s, "queued"))};
		cli_table_add(t, cells);
	}
	json_array_foreach((json_t *)v->known, i, p)
	{
		const char *cells[G_N_ELEMENTS(head)] = {
			cli_str(p, "host"), cli_str(p, "dc"),
			cli_str(p, "role"), "no answer"};
		if (names(v->silent, cells[0]))
			cli_table_add(t, cells);
	}
	cli_table_print(t, &c->out);
}

static void print_control(struct cli *c, const struct cli_view *v,
			  const json_t *versions)
{
	const char *leader = cli_leader_name(v->answers);
	size_t n = 0, up = 0, i;
	json_t *o;

	json_array_foreach((json_t *)v->voters, i, o)
	{
		if (json_is_true(json_object_get(o, "learner")))
			continue;
		n++;
		up += json_is_true(json_object_get(o, "answers"));
	}
	buf_addf(&c->out, "\nleader: %s, ", *leader ? leader : "none");
	if (n)
		buf_addf(&c->out, "%zu of %zu voters answer\n", up, n);
	else
		buf_addstr(&c->out, "no control process answers\n");
	json_array_foreach((json_t *)versions, i, o)
	{
		const json_t *hosts = json_object_get(o, "hosts");
		buf_addf(&c->out, "version %lld: in force on %zu of %zu%s",
			 (long long)cli_int(o, "version"),
			 json_array_size(hosts), json_array_size(v->known),
			 i ? ": " : "");
		/* The newest one is the rule, the others are exceptions. */
		if (i)
			cli_join(&c->out, hosts);
		buf_addstr(&c->out, "\n");
	}
}

static void print_cuts(struct cli *c, const json_t *cuts)
{
	const char *head[] = {"CUT OFF", "NAME", "DC", "SINCE", "WHY"};
	char since[80];
	json_t *o;
	size_t i;

	if (!json_array_size(cuts)) {
		buf_addstr(&c->out, "\ncut off: nothing\n");
		return;
	}
	buf_addstr(&c->out, "\n");
	struct cli_table *t = cli_table_new(head, G_N_ELEMENTS(head));
	json_array_foreach((json_t *)cuts, i, o)
	{
		since_text(o, since, sizeof(since));
		const char *cells[] = {cli_str(o, "what"), cli_str(o, "name"),
				       cli_str(o, "dc"), since,
				       cli_str(o, "why")};
		cli_table_add(t, cells);
	}
	cli_table_print(t, &c->out);
}

static void print_endpoints(struct cli *c, const json_t *endpoints)
{
	const char *state;
	json_t *o, *n;
	size_t i;

	buf_addstr(&c->out, "\n");
	if (!json_array_size(endpoints))
		buf_addstr(&c->out, "endpoints: none known\n");
	json_array_foreach((json_t *)endpoints, i, o)
	{
		bool first = true;
		buf_addf(&c->out, "endpoints in %s: ", cli_str(o, "dc"));
		json_object_foreach(json_object_get(o, "states"), state, n)
		{
			buf_addf(&c->out, "%s%lld %s", first ? "" : ", ",
				 (long long)json_integer_value(n), state);
			first = false;
		}
		buf_addstr(&c->out, "\n");
	}
}

static void print_work(struct cli *c, const json_t *queues,
		       const json_t *accounts)
{
	const char *rank_head[] = {"QUEUE OF RANK", "WAITING", "OLDEST_MS",
				   "REFUSED_60S"};
	const char *account_head[] = {"ACCOUNT", "TOKENS_60S", "RUNNING",
				      "WAITING"};
	struct cli_table *t = cli_table_new(rank_head, G_N_ELEMENTS(rank_head));
	char n[3][CELL];
	json_t *o;
	size_t i;

	buf_addstr(&c->out, "\n");
	json_array_foreach((json_t *)queues, i, o)
	{
		const char *cells[] = {cli_str(o, "rank"),
				       num(n[0], cli_int(o, "waiting")),
				       num(n[1], cli_int(o, "oldest_ms")),
				       num(n[2], cli_int(o, "refused"))};
		cli_table_add(t, cells);
	}
	cli_table_print(t, &c->out);
	if (!json_array_size(accounts)) {
		buf_addstr(&c->out, "\naccounts: none with work\n");
		return;
	}
	buf_addstr(&c->out, "\n");
	t = cli_table_new(account_head, G_N_ELEMENTS(account_head));
	json_array_foreach((json_t *)accounts, i, o)
	{
		const char *cells[] = {cli_str(o, "account"),
				       num(n[0], cli_int(o, "tokens")),
				       num(n[1], cli_int(o, "running")),
				       num(n[2], cli_int(o, "waiting"))};
		cli_table_add(t, cells);
	}
	cli_table_print(t, &c->out);
}

static void print_degraded(struct cli *c, const json_t *degraded)
{
	char since[80];
	json_t *o;
	size_t i;

	if (!json_array_size(degraded)) {
		buf_addstr(&c->out, "degraded: nothing\n");
		return;
	}
	json_array_foreach((json_t *)degraded, i, o)
	{
		buf_addf(&c->out, "degraded: %s", cli_str(o, "text"));
		if (json_object_get(o, "since")) {
			since_text(o, since, sizeof(since));
			buf_addf(&c->out, ", since %s", since);
		}
		buf_addf(&c->out, "\n  cost: %s\n  help: %s\n",
			 cli_str(o, "cost"), cli_str(o, "help"));
	}
}

/* ---- gathering ---------------------------------------------------------- */

/*
 * Adds the processes that other addresses of --admin know: the first one that
 * answers may be cut off and know few.
 */
static void add_known(struct cli *c, json_t *known)
{
	AUTO_JSON json_t *asked = json_array();
	AUTO_JSON json_t *silent = json_array();

	for (char **a = c->addrs; *a; a++)
		json_array_append_new(asked, json_pack("{s:s, s:s}", "host", *a,
						       "admin_addr", *a));
	AUTO_JSON json_t *answers =
		cli_ask_all(c, asked, "/admin/status", silent);
	AUTO_JSON json_t *more = cli_more_processes(answers, known);
	json_array_extend(known, more);
}

/* Asks the given processes, and then those that only their answers name. */
static json_t *ask_fleet(struct cli *c, json_t *known, json_t *silent)
{
	json_t *answers = cli_ask_all(c, known, "/admin/status", silent);
	AUTO_JSON json_t *more = cli_more_processes(answers, known);

	if (!json_array_size(more))
		return answers;
	AUTO_JSON json_t *rest = cli_ask_all(c, more, "/admin/status", silent);
	json_array_extend(known, more);
	json_array_extend(answers, rest);
	return answers;
}

/* Adds voters that no process is connected with: their address is unknown. */
static void add_lost_voters(const json_t *voters, json_t *known, json_t *silent)
{
	json_t *v, *p;
	size_t i, j;

	json_array_foreach((json_t *)voters, i, v)
	{
		const char *host = cli_str(v, "host");
		bool have = !*host;
		json_array_foreach(known, j, p) have =
			have || !strcmp(cli_str(p, "host"), host);
		if (have)
			continue;
		json_array_append_new(
			known, json_pack("{s:s, s:s, s:s, s:s}", "host", host,
					 "dc", cli_str(v, "dc"), "role",
					 "control", "admin_addr", ""));
		json_array_append_new(silent, json_string(host));
	}
}

/* Endpoints by one entry host of each data centre that answered. */
static json_t *ask_endpoints(struct cli *c, const json_t *answers)
{
	AUTO_JSON json_t *one_of_each = json_array();
	AUTO_JSON json_t *done = json_object();
	AUTO_JSON json_t *silent = json_array();
	json_t *rows = json_array();
	json_t *a;
	size_t i;

	json_array_foreach((json_t *)answers, i, a)
	{
		const char *dc = cli_str(a, "dc");
		if (strcmp(cli_str(a, "role"), "entry") != 0 ||
		    json_object_get(done, dc))
			continue;
		json_object_set_new(done, dc, json_true());
		json_array_append(one_of_each, a);
	}
	AUTO_JSON json_t *lists =
		cli_ask_all(c, one_of_each, "/admin/endpoints", silent);
	json_array_foreach(lists, i, a)
		json_array_extend(rows, json_object_get(a, "endpoints"));
	return rows;
}

int cli_status(struct cli *c)
{
	AUTO_JSON json_t *known = NULL;
	AUTO_JSON json_t *silent = json_array();
	int rc = cli_processes(c, &known);

	if (rc != CLI_OK)
		return rc;
	if (c->addrs[1])
		add_known(c, known);
	AUTO_JSON json_t *answers = ask_fleet(c, known, silent);
	AUTO_JSON json_t *rows = ask_endpoints(c, answers);
	int64_t now_us = clock_wall_us();
	AUTO_JSON json_t *voters = cli_merge_voters(answers);
	add_lost_voters(voters, known, silent);
	AUTO_JSON json_t *queues = cli_merge_queues(answers);
	AUTO_JSON json_t *accounts =
		cli_merge_accounts(answers, CLI_ACCOUNTS_MAX);
	AUTO_JSON json_t *versions = cli_merge_versions(answers);
	AUTO_JSON json_t *endpoints = cli_merge_endpoints(rows);
	AUTO_JSON json_t *cuts =
		cli_merge_cuts(answers, known, silent, rows, now_us);
	struct cli_view v = {.answers = answers,
			     .known = known,
			     .silent = silent,
			     .rows = rows,
			     .queues = queues,
			     .voters = voters,
			     .cuts = cuts};
	AUTO_JSON json_t *degraded = cli_degraded(&v, now_us);
	rc = c->check && json_array_size(degraded) ? CLI_DEGRADED : CLI_OK;
	cli_name_silent(c, silent);
	if (c->json) {
		AUTO_JSON json_t *o = json_pack(
			"{s:s, s:O, s:O, s:O, s:O, s:O, s:O, s:O, s:O, s:O}",
			"leader", cli_leader_name(answers), "processes",
			answers, "silent", silent, "voters", voters, "versions",
			versions, "cut_off", cuts, "endpoints", endpoints,
			"queues", queues, "accounts", accounts, "degraded",
			degraded);
		cli_print_json(&c->out, o);
		return rc;
	}
	if (!c->check) {
		print_processes(c, &v);
		print_control(c, &v, versions);
		print_cuts(c, cuts);
		print_endpoints(c, endpoints);
		print_work(c, queues, accounts);
		buf_addstr(&c->out, "\n");
	}
	print_degraded(c, degraded);
	return rc;
}
