#include "cli/cli_degraded.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <glib.h>

#include "base/cleanup.h"
#include "cli/cli_merge.h"

/* Section names of docs/operators.md. */
#define SEE_CUT "docs/operators.md, \"Cut off\""
#define SEE_LOSS "docs/operators.md, \"Losing a host or a data centre\""

struct line {
	const char *kind, *subject;
	const char *cost, *help;
};

static json_t *add(json_t *out, const struct line *l, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

static json_t *add(json_t *out, const struct line *l, const char *fmt, ...)
{
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	json_t *o = json_pack("{s:s, s:s, s:s, s:s, s:s}", "kind", l->kind,
			      "subject", l->subject, "text", text, "cost",
			      l->cost, "help", l->help);
	json_array_append_new(out, o);
	return o;
}

static bool is_role(const json_t *a, const char *role)
{
	return !strcmp(cli_str(a, "role"), role);
}

static bool is_state(const json_t *a, const char *state)
{
	return !strcmp(cli_str(a, "state"), state);
}

const char *cli_leader_name(const json_t *answers)
{
	const json_t *leader = cli_leading(answers);
	json_t *a;
	size_t i;

	if (leader)
		return cli_str(leader, "host");
	json_array_foreach((json_t *)answers, i, a)
	{
		if (is_role(a, "control") && is_state(a, "serving") &&
		    *cli_str(a, "leader"))
			return cli_str(a, "leader");
	}
	/* Only a leader extends leases. */
	json_array_foreach((json_t *)answers, i, a)
	{
		if (is_role(a, "entry") && cli_int(a, "lease_ms") > 0)
			return cli_str(a, "leader");
	}
	return "";
}

/* ---- control ------------------------------------------------------------ */

static void add_no_leader(json_t *out, const struct cli_view *v, int64_t now_us)
{
	static const struct line line = {
		"no_leader", "control",
		"changes, once-only calls and orders are refused; hosts go on "
		"with the last settings while their data centre holds "
		"together",
		"bring control processes back until a majority runs: "
		"mustardwall voter list; " SEE_CUT};
	int64_t age = -1;
	json_t *a;
	size_t i;

	if (*cli_leader_name(v->answers))
		return;
	json_array_foreach((json_t *)v->answers, i, a)
	{
		int64_t ms = cli_int(a, "no_leader_ms");
		if (is_role(a, "control") && (age < 0 || ms < age))
			age = ms;
	}
	json_t *o = add(out, &line, "no control leader");
	if (age >= 0)
		cli_set_since(o, age, now_us);
}

static void add_voters(json_t *out, const struct cli_view *v)
{
	size_t n = 0, up = 0, i;
	char cost[160];
	json_t *o;

	json_array_foreach((json_t *)v->voters, i, o)
	{
		if (json_is_true(json_object_get(o, "learner")))
			continue;
		n++;
		up += json_is_true(json_object_get(o, "answers"));
	}
	if (up == n)
		return;
	size_t spare = up > n / 2 ? up - (n / 2 + 1) : 0;
	if (up <= n / 2)
		snprintf(cost, sizeof(cost),
			 "the log stands still: no changes, once-only calls "
			 "and orders");
	else if (!spare)
		snprintf(cost, sizeof(cost),
			 "one more voter loss stops the log (changes, "
			 "once-only calls and orders)");
	else
		snprintf(cost, sizeof(cost),
			 "the log survives %zu more voter losses", spare);
	struct line line = {
		"voter_lost", "control", cost,
		"start the process again; with its disk lost, replace it: "
		"mustardwall voter remove OLD, mustardwall voter add NEW "
		"IP:PORT; " SEE_LOSS};
	add(out, &line, "%zu of %zu voters answer", up, n);
}

static void add_disks(json_t *out, const struct cli_view *v)
{
	json_t *a;
	size_t i;

	json_array_foreach((json_t *)v->answers, i, a)
	{
		int64_t left = cli_int(a, "disk_free_bytes");
		struct line line = {
			"disk_low", cli_str(a, "host"),
			"when the disk is full this control process ends, "
			"which is a voter lost",
			"free space below its --data folder"};
		if (json_object_get(a, "disk_free_bytes") &&
		    left < CLI_DISK_LOW_BYTES)
			add(out, &line, "disk of %s: %lld MiB free",
			    cli_str(a, "host"), (long long)(left >> 20));
	}
}

/* ---- cuts --------------------------------------------------------------- */

static bool in_cut_dc(const struct cli_view *v, const char *dc)
{
	json_t *cut;
	size_t i;

	json_array_foreach((json_t *)v->cuts, i, cut)
	{
		if (!strcmp(cli_str(cut, "what"), "data_centre") &&
		    !strcmp(cli_str(cut, "name"), dc))
			return true;
	}
	return false;
}

static void copy_since(json_t *o, const json_t *cut)
{
	if (!json_is_string(json_object_get(cut, "since")))
		return;
	json_object_set(o, "since", json_object_get(cut, "since"));
	json_object_set(o, "age_s", json_object_get(cut, "age_s"));
}

static const json_t *answer_of(const struct cli_view *v, const char *host)
{
	json_t *a;
	size_t i;

	json_array_foreach((json_t *)v->answers, i, a)
	{
		if (!strcmp(cli_str(a, "host"), host))
			return a;
	}
	return NULL;
}

static void add_cut_dc(json_t *out, const json_t *cut)
{
	const char *dc = cli_str(cut, "name");
	g_autofree char *help = g_strdup_printf(
		"restore the network; a change that cannot wait: "
		"--leave-out=%s; " SEE_CUT,
		dc);
	struct line line = {"data_centre_cut", dc,
			    "changes are refused unless it is left out by "
			    "name; once-only calls there get outcome unknown; "
			    "its other work goes on with the last settings if "
			    "it is an island",
			    help};

	copy_since(
		add(out, &line, "data centre %s: %s", dc, cli_str(cut, "why")),
		cut);
}

static void add_cut_host(json_t *out, const struct cli_view *v,
			 const json_t *cut)
{
	const char *host = cli_str(cut, "name");
	const json_t *a = answer_of(v, host);
	g_autofree char *explain = g_strdup_printf(
		"is the process up? mustardwall timeline --since=10m; if it is "
		"gone for good: mustardwall host remove %s; " SEE_LOSS,
		host);
	struct line silent = {
		"host_silent", host,
		"it serves nothing if it is dead: its callers resume at other "
		"hosts, and changes wait up to 4 s for its lease to end",
		explain};
	struct line fenced = {"fenced", host,
			      "it takes no new work; its open streams go on",
			      "repair its network; " SEE_CUT};
	struct line starting = {"starting", host, "it takes no new work yet",
				"it needs contact with the control leader; "
				"mustardwall timeline --kind=lease"};

	/* What the whole data centre suffers is told once. */
	if (in_cut_dc(v, cli_str(cut, "dc")) && a && is_state(a, "island"))
		return;
	if (!a)
		copy_since(add(out, &silent, "host %s: %s", host,
			       cli_str(cut, "why")),
			   cut);
	else if (is_state(a, "starting"))
		copy_since(add(out, &starting, "host %s is starting", host),
			   cut);
	else
		copy_since(add(out, &fenced, "host %s is %s, without a lease",
			       host, cli_str(a, "state")),
			   cut);
}

static void add_cut_endpoint(json_t *out, const json_t *cut)
{
	const char *id = cli_str(cut, "name");
	g_autofree char *help =
		g_strdup_printf("mustardwall explain endpoint %s", id);
	struct line line = {"endpoint_suspect", id,
			    "it gets no new work; less runs in parallel in "
			    "its data centre",
			    help};

	if (!strcmp(cli_str(cut, "why"), "considered dead"))
		line.kind = "endpoint_lost";
	copy_since(add(out, &line, "endpoint %s in %s is %s", id,
		       cli_str(cut, "dc"), cli_str(cut, "why")),
		   cut);
}

static void add_cuts(json_t *out, const struct cli_view *v)
{
	json_t *cut;
	size_t i;

	json_array_foreach((json_t *)v->cuts, i, cut)
	{
		const char *what = cli_str(cut, "what");
		if (!strcmp(what, "data_centre"))
			add_cut_dc(out, cut);
		else if (!strcmp(what, "host"))
			add_cut_host(out, v, cut);
		else if (!strcmp(what, "endpoint"))
			add_cut_endpoint(out, cut);
	}
}

/* ---- hosts, endpoints, queues ------------------------------------------- */

static void add_hosts(json_t *out, const struct cli_view *v, int64_t now_us)
{
	json_t *a;
	size_t i;

	json_array_foreach((json_t *)v->answers, i, a)
	{
		const char *host = cli_str(a, "host");
		struct line share = {
			"safe_share", host,
			"it uses its safe share of each endpoint: less work in "
			"parallel, and it probes endpoints itself",
			"start a control process of its data centre, which "
			"is the hub; mustardwall timeline --kind=hub"};
		struct line drain = {
			"draining", host,
			"it takes no new work and ends when its open requests "
			"have ended",
			"start it again when it has ended"};
		if (cli_int(a, "no_hub_ms") > 0)
			cli_set_since(add(out, &share,
					  "host %s: no hub answers", host),
				      cli_int(a, "no_hub_ms"), now_us);
		if (is_state(a, "draining"))
			add(out, &drain, "host %s is draining", host);
	}
}

/* Requests that run on the endpoints of a data centre. */
static int64_t running_in(const struct cli_view *v, const char *dc)
{
	int64_t n = 0;
	json_t *e;
	size_t i;

	json_array_foreach((json_t *)v->rows, i, e)
	{
		if (!strcmp(cli_str(e, "dc"), dc))
			n += cli_int(e, "running");
	}
	return n;
}

/* By the answer with the newest version: others may have old orders. */
static void add_evacuations(json_t *out, const struct cli_view *v,
			    int64_t now_us)
{
	const json_t *newest = NULL;
	json_t *a, *row;
	size_t i;

	json_array_foreach((json_t *)v->answers, i, a)
	{
		if (json_object_get(a, "evacuations") &&
		    (!newest ||
		     cli_int(a, "version") > cli_int(newest, "version")))
			newest = a;
	}
	json_array_foreach(json_object_get(newest, "evacuations"), i, row)
	{
		const char *dc = cli_str(row, "dc");
		g_autofree char *help = g_strdup_printf(
			"mustardwall evacuate %s --end withdraws the order",
			dc);
		struct line line = {
			"evacuated", dc,
			"its endpoints get nothing more; the others carry its "
			"load",
			help};
		int64_t age_ms =
			now_us / 1000 - (int64_t)cli_int(row, "since_ms");

		cli_set_since(
			add(out, &line,
			    "data centre %s is evacuated by order of "
			    "%s, %lld requests still run there",
			    dc, cli_str(row, "operator"),
			    (long long)MAX(
				    running_in(v, dc),
				    (int64_t)cli_int(row, "open_requests"))),
			MAX(age_ms, 0), now_us);
	}
}

static void add_leaving(json_t *out, const struct cli_view *v, int64_t now_us)
{
	json_t *e;
	size_t i;

	json_array_foreach((json_t *)v->rows, i, e)
	{
		const char *id = cli_str(e, "id");
		g_autofree char *help =
			g_strdup_printf("mustardwall explain endpoint %s", id);
		struct line line = {"endpoint_leaving", id,
				    "it gets no new work and ends what it runs",
				    help};
		if (is_state(e, "leaving"))
			cli_set_since(add(out, &line,
					  "endpoint %s in %s is leaving", id,
					  cli_str(e, "dc")),
				      cli_int(e, "state_ms"), now_us);
	}
}

static void add_queues(json_t *out, const struct cli_view *v)
{
	json_t *q;
	size_t i;

	json_array_foreach((json_t *)v->queues, i, q)
	{
		AUTO_BUF struct buf hosts = BUF_INIT;
		const json_t *full = json_object_get(q, "full_on");
		struct line line = {
			"queue_full", cli_str(q, "rank"),
			"requests of this rank are refused with queue_full "
			"and Retry-After",
			"see the accounts in mustardwall status; set rate_rps "
			"or rate_tokens_s on the one that floods; "
			"docs/operators.md, \"A flood\""};
		if (!json_array_size(full))
			continue;
		cli_join(&hosts, full);
		add(out, &line,
		    "queue of rank %s is full on %s: %lld refused in the last "
		    "minute, %lld wait",
		    cli_str(q, "rank"), hosts.data,
		    (long long)cli_int(q, "refused"),
		    (long long)cli_int(q, "waiting"));
	}
}

/* ---- versions ----------------------------------------------------------- */

/* The change that left a data centre out, or NULL. */
static const json_t *left_out(const struct cli_view *v, const char *dc,
			      int64_t version)
{
	const json_t *best = NULL;
	json_t *a, *l;
	size_t i, j;

	json_array_foreach((json_t *)v->answers, i, a)
	{
		json_array_foreach(json_object_get(a, "left_out"), j, l)
		{
			if (!strcmp(cli_str(l, "dc"), dc) &&
			    cli_int(l, "version") > version)
				best = l;
		}
	}
	return best;
}

static void add_versions(json_t *out, const struct cli_view *v)
{
	int64_t newest = 0;
	bool settled = true;
	json_t *a;
	size_t i;

	json_array_foreach((json_t *)v->answers, i, a)
	{
		const json_t *age = json_object_get(a, "version_age_ms");
		if (cli_int(a, "version") < newest)
			continue;
		if (cli_int(a, "version") > newest)
			settled = true;
		newest = cli_int(a, "version");
		if (age && json_integer_value(age) >= 0 &&
		    json_integer_value(age) < CLI_CHANGE_MS)
			settled = false;
	}
	json_array_foreach((json_t *)v->answers, i, a)
	{
		const char *host = cli_str(a, "host"), *dc = cli_str(a, "dc");
		int64_t has = cli_int(a, "version");
		const json_t *l = left_out(v, dc, has);
		g_autofree char *help = g_strdup_printf(
			"it takes the version when it hears of it; "
			"mustardwall explain change %s",
			l ? cli_str(l, "change_id") : "ID");
		struct line out_line = {
			"left_out_behind", host,
			"it serves the old version until it hears of the new "
			"one",
			help};
		struct line behind = {"version_behind", host,
				      "it takes no new work that the newer "
				      "version would treat differently",
				      "mustardwall timeline --since=10m; is "
				      "it cut off? " SEE_CUT};
		/* A change that was just accepted is on its way. */
		if (has >= newest || (!settled && !l))
			continue;
		add(out, l ? &out_line : &behind,
		    "%s in %s has version %lld, %lld is in force%s", host, dc,
		    (long long)has, (long long)newest,
		    l ? "; its data centre was left out by name" : "");
	}
}

json_t *cli_degraded(const struct cli_view *v, int64_t now_us)
{
	json_t *out = json_array();

	add_no_leader(out, v, now_us);
	add_voters(out, v);
	add_cuts(out, v);
	add_hosts(out, v, now_us);
	add_evacuations(out, v, now_us);
	add_leaving(out, v, now_us);
	add_queues(out, v);
	add_versions(out, v);
	add_disks(out, v);
	return out;
}
