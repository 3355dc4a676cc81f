#include "cli/cli_merge.h"

#include <stdio.h>
#include <string.h>
#include <time.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/clock.h"

void cli_set_since(json_t *o, int64_t age_ms, int64_t now_us)
{
	time_t sec = (now_us - age_ms * USEC_PER_MSEC) / USEC_PER_SEC;
	char text[40];
	struct tm tm;

	if (age_ms < 0) {
		json_object_set_new(o, "since", json_null());
		json_object_set_new(o, "age_s", json_null());
		return;
	}
	gmtime_r(&sec, &tm);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &tm);
	json_object_set_new(o, "since", json_string(text));
	json_object_set_new(o, "age_s", json_integer(age_ms / 1000));
}

static bool is_entry(const json_t *answer)
{
	return !strcmp(cli_str(answer, "role"), "entry");
}

/* The member of an array whose `key` has this text, or NULL. */
static json_t *find_by(const json_t *list, const char *key, const char *text)
{
	json_t *o;
	size_t i;

	json_array_foreach((json_t *)list, i, o)
	{
		if (!strcmp(cli_str(o, key), text))
			return o;
	}
	return NULL;
}

static void add_int(json_t *o, const char *key, int64_t n)
{
	json_object_set_new(o, key, json_integer(cli_int(o, key) + n));
}

static void raise_int(json_t *o, const char *key, int64_t n)
{
	if (n > cli_int(o, key))
		json_object_set_new(o, key, json_integer(n));
}

/* Sorted copy of an array; compare gets two json_t pointers' addresses. */
static json_t *sorted(json_t *list, GCompareFunc compare)
{
	size_t n = json_array_size(list);
	g_autofree json_t **items = g_new0(json_t *, n + 1);
	json_t *out = json_array();

	for (size_t i = 0; i < n; i++)
		items[i] = json_array_get(list, i);
	qsort(items, n, sizeof(*items), compare);
	for (size_t i = 0; i < n; i++)
		json_array_append(out, items[i]);
	json_decref(list);
	return out;
}

const json_t *cli_leading(const json_t *answers)
{
	const json_t *best = NULL;
	json_t *a;
	size_t i;

	/* A leader that was cut off may not know yet that it is none. */
	json_array_foreach((json_t *)answers, i, a)
	{
		if (json_is_true(json_object_get(a, "leading")) &&
		    (!best || cli_int(a, "term") > cli_int(best, "term")))
			best = a;
	}
	return best;
}

json_t *cli_more_processes(const json_t *answers, const json_t *known)
{
	json_t *more = json_array();
	json_t *a, *p;
	size_t i, j;

	json_array_foreach((json_t *)answers, i, a)
	{
		json_array_foreach(json_object_get(a, "processes"), j, p)
		{
			const char *host = cli_str(p, "host");
			if (!find_by(known, "host", host) &&
			    !find_by(more, "host", host))
				json_array_append(more, p);
		}
	}
	return more;
}

/* ---- queues and accounts ------------------------------------------------ */

static int by_level(const void *pa, const void *pb)
{
	const json_t *a = *(json_t *const *)pa, *b = *(json_t *const *)pb;
	int64_t la = cli_int(a, "level"), lb = cli_int(b, "level");

	return (la > lb) - (la < lb);
}

static void add_queue(json_t *sums, const json_t *q, const char *host)
{
	json_t *s = find_by(sums, "rank", cli_str(q, "rank"));
	int64_t bound = cli_int(q, "bound");

	if (!s) {
		s = json_pack("{s:s, s:I, s:i, s:i, s:i, s:i, s:I, s:[]}",
			      "rank", cli_str(q, "rank"), "level",
			      (json_int_t)cli_int(q, "level"), "waiting", 0,
			      "oldest_ms", 0, "longest", 0, "refused", 0,
			      "bound", (json_int_t)bound, "full_on");
		json_array_append_new(sums, s);
	}
	add_int(s, "waiting", cli_int(q, "waiting"));
	add_int(s, "refused", cli_int(q, "refused"));
	raise_int(s, "oldest_ms", cli_int(q, "oldest_ms"));
	raise_int(s, "longest", cli_int(q, "longest"));
	if (cli_int(q, "refused") || (bound && cli_int(q, "longest") >= bound))
		json_array_append_new(json_object_get(s, "full_on"),
				      json_string(host));
}

json_t *cli_merge_queues(const json_t *answers)
{
	json_t *sums = json_array();
	json_t *a, *q;
	size_t i, j;

	json_array_foreach((json_t *)answers, i, a)
	{
		json_array_foreach(json_object_get(a, "queues"), j, q)
			add_queue(sums, q, cli_str(a, "host"));
	}
	return sorted(sums, by_level);
}

static int by_tokens(const void *pa, const void *pb)
{
	const json_t *a = *(json_t *const *)pa, *b = *(json_t *const *)pb;
	int64_t ta = cli_int(a, "tokens"), tb = cli_int(b, "tokens");
	int64_t na = cli_int(a, "running") + cli_int(a, "waiting");
	int64_t nb = cli_int(b, "running") + cli_int(b, "waiting");

	if (ta != tb)
		return ta > tb ? -1 : 1;
	if (na != nb)
		return na > nb ? -1 : 1;
	return strcmp(cli_str(a, "account"), cli_str(b, "account"));
}

json_t *cli_merge_accounts(const json_t *answers, size_t max)
{
	/* By name, because 400 hosts may list 50 accounts each. */
	AUTO_JSON json_t *sums = json_object();
	json_t *list = json_array();
	const char *name;
	json_t *a, *o;
	size_t i, j;

	json_array_foreach((json_t *)answers, i, a)
	{
		json_array_foreach(json_object_get(a, "accounts"), j, o)
		{
			name = cli_str(o, "account");
			json_t *s = json_object_get(sums, name);
			if (!s) {
				s = json_pack("{s:s}", "account", name);
				json_object_set_new(sums, name, s);
			}
			add_int(s, "tokens", cli_int(o, "tokens"));
			add_int(s, "running", cli_int(o, "running"));
			add_int(s, "waiting", cli_int(o, "waiting"));
		}
	}
	json_object_foreach(sums, name, o) json_array_append(list, o);
	list = sorted(list, by_tokens);
	while (json_array_size(list) > max)
		json_array_remove(list, json_array_size(list) - 1);
	return list;
}

/* ---- versions, endpoints ------------------------------------------------ */

static int by_version(const void *pa, const void *pb)
{
	const json_t *a = *(json_t *const *)pa, *b = *(json_t *const *)pb;
	int64_t va = cli_int(a, "version"), vb = cli_int(b, "version");

	return (va < vb) - (va > vb);
}

json_t *cli_merge_versions(const json_t *answers)
{
	json_t *list = json_array();
	json_t *a, *v;
	size_t i, j;

	json_array_foreach((json_t *)answers, i, a)
	{
		json_t *found = NULL;
		json_array_foreach(list, j, v)
		{
			if (cli_int(v, "version") == cli_int(a, "version"))
				found = v;
		}
		if (!found) {
			found = json_pack("{s:I, s:[]}", "version",
					  (json_int_t)cli_int(a, "version"),
					  "hosts");
			json_array_append_new(list, found);
		}
		json_array_append(json_object_get(found, "hosts"),
				  json_object_get(a, "host"));
	}
	return sorted(list, by_version);
}

static int by_dc(const void *pa, const void *pb)
{
	const json_t *a = *(json_t *const *)pa, *b = *(json_t *const *)pb;

	return strcmp(cli_str(a, "dc"), cli_str(b, "dc"));
}

json_t *cli_merge_endpoints(const json_t *rows)
{
	json_t *list = json_array();
	json_t *e;
	size_t i;

	json_array_foreach((json_t *)rows, i, e)
	{
		json_t *d = find_by(list, "dc", cli_str(e, "dc"));
		if (!d) {
			d = json_pack("{s:s, s:{}, s:i}", "dc",
				      cli_str(e, "dc"), "states", "total", 0);
			json_array_append_new(list, d);
		}
		add_int(json_object_get(d, "states"), cli_str(e, "state"), 1);
		add_int(d, "total", 1);
	}
	return sorted(list, by_dc);
}

/* ---- voters ------------------------------------------------------------- */

static int by_id(const void *pa, const void *pb)
{
	const json_t *a = *(json_t *const *)pa, *b = *(json_t *const *)pb;
	int64_t ia = cli_int(a, "id"), ib = cli_int(b, "id");

	return (ia > ib) - (ia < ib);
}

static void add_voter(json_t *list, const json_t *v)
{
	int64_t heard = cli_int(v, "heard_ms");
	json_t *have = NULL, *o;
	size_t i;

	json_array_foreach(list, i, o)
	{
		if (cli_int(o, "id") == cli_int(v, "id"))
			have = o;
	}
	if (!have) {
		json_array_append_new(list, json_copy((json_t *)v));
		return;
	}
	if (!*cli_str(have, "host"))
		json_object_set(have, "host", json_object_get(v, "host"));
	if (heard >= 0 && (cli_int(have, "heard_ms") < 0 ||
			   heard < cli_int(have, "heard_ms")))
		json_object_set_new(have, "heard_ms", json_integer(heard));
}

/*
 * The leader hears each voter.  Other voters hear only the leader, so without
 * it the newest sign of life counts, and an answer to this tool is one.
 */
json_t *cli_merge_voters(const json_t *answers)
{
	const json_t *leader = cli_leading(answers);
	json_t *list = json_array();
	json_t *a, *v;
	size_t i, j;

	json_array_foreach((json_t *)answers, i, a)
	{
		if (leader && a != leader)
			continue;
		json_array_foreach(json_object_get(a, "voters"), j, v)
			add_voter(list, v);
	}
	json_array_foreach(list, i, v)
	{
		int64_t heard = cli_int(v, "heard_ms");
		json_object_set_new(v, "answers",
				    json_boolean(heard >= 0 &&
						 heard <= CLI_VOTER_SILENT_MS));
	}
	return sorted(list, by_id);
}

/* ---- cuts --------------------------------------------------------------- */

static json_t *add_cut(json_t *cuts, const char *what, const char *name,
		       const char *dc, const char *why, int64_t age_ms,
		       int64_t now_us)
{
	json_t *cut = json_pack("{s:s, s:s, s:s, s:s}", "what", what, "name",
				name, "dc", dc, "why", why);

	cli_set_since(cut, age_ms, now_us);
	json_array_append_new(cuts, cut);
	return cut;
}

/* Least time without a lease of the hosts that serve as an island, or -1. */
static int64_t island_ms(const json_t *answers, const char *dc)
{
	int64_t least = -1;
	json_t *a;
	size_t i;

	json_array_foreach((json_t *)answers, i, a)
	{
		int64_t ms = cli_int(a, "no_lease_ms");
		if (!strcmp(cli_str(a, "state"), "island") &&
		    !strcmp(cli_str(a, "dc"), dc) && (least < 0 || ms < least))
			least = ms;
	}
	return least;
}

static void add_dc_cuts(json_t *cuts, const json_t *answers, int64_t now_us)
{
	const json_t *leader = cli_leading(answers);
	json_t *d, *a;
	size_t i;

	json_array_foreach(json_object_get(leader, "dcs"), i, d)
	{
		const char *dc = cli_str(d, "dc");
		if (json_is_true(json_object_get(d, "connected")))
			continue;
		add_cut(cuts, "data_centre", dc, dc,
			island_ms(answers, dc) >= 0
				? "not connected, serves as an island"
				: "not connected",
			cli_int(d, "not_connected_ms"), now_us);
	}
	json_array_foreach((json_t *)answers, i, a)
	{
		const char *dc = cli_str(a, "dc");
		if (!strcmp(cli_str(a, "state"), "island") &&
		    !find_by(cuts, "name", dc))
			add_cut(cuts, "data_centre", dc, dc,
				"serves as an island", island_ms(answers, dc),
				now_us);
	}
}

static void add_host_cuts(json_t *cuts, const json_t *answers,
			  const json_t *known, const json_t *silent,
			  int64_t now_us)
{
	const json_t *leader = cli_leading(answers);
	const json_t *name;
	json_t *a;
	size_t i;

	json_array_foreach((json_t *)answers, i, a)
	{
		int64_t ms = cli_int(a, "no_lease_ms");
		if (is_entry(a) && ms > 0)
			add_cut(cuts, "host", cli_str(a, "host"),
				cli_str(a, "dc"), "no lease", ms, now_us);
	}
	json_array_foreach((json_t *)silent, i, name)
	{
		const char *host = json_string_value(name);
		const json_t *p = find_by(known, "host", host);
		const json_t *h =
			find_by(json_object_get(leader, "hosts"), "host", host);
		/* A voter has a line of its own. */
		if (!p || !is_entry(p))
			continue;
		if (h && !cli_int(h, "no_lease_ms"))
			add_cut(cuts, "host", host, cli_str(p, "dc"),
				"no answer to this tool, but it has a lease",
				-1, now_us);
		else if (h)
			add_cut(cuts, "host", host, cli_str(p, "dc"),
				"no answer, no lease",
				cli_int(h, "no_lease_ms"), now_us);
		else
			add_cut(cuts, "host", host, cli_str(p, "dc"),
				"no answer", -1, now_us);
	}
}

static void add_voter_cuts(json_t *cuts, const json_t *answers, int64_t now_us)
{
	AUTO_JSON json_t *voters = cli_merge_voters(answers);
	json_t *v;
	size_t i;

	json_array_foreach(voters, i, v)
	{
		char id[32];
		const char *name = cli_str(v, "host");
		if (json_is_true(json_object_get(v, "answers")))
			continue;
		snprintf(id, sizeof(id), "voter %d", (int)cli_int(v, "id"));
		add_cut(cuts, "voter", *name ? name : id, cli_str(v, "dc"),
			cli_int(v, "heard_ms") < 0
				? "not heard since the leader's start"
				: "not heard",
			cli_int(v, "heard_ms"), now_us);
	}
}

static void add_endpoint_cuts(json_t *cuts, const json_t *answers,
			      const json_t *rows, int64_t now_us)
{
	json_t *e, *a;
	size_t i, j;

	json_array_foreach((json_t *)rows, i, e)
	{
		const char *state = cli_str(e, "state");
		if (!strcmp(state, "suspect"))
			add_cut(cuts, "endpoint", cli_str(e, "id"),
				cli_str(e, "dc"), "suspected",
				cli_int(e, "state_ms"), now_us);
	}
	json_array_foreach((json_t *)answers, i, a)
	{
		json_array_foreach(json_object_get(a, "lost_endpoints"), j, e)
		{
			const char *id = cli_str(e, "id");
			if (!find_by(rows, "id", id) &&
			    !find_by(cuts, "name", id))
				add_cut(cuts, "endpoint", id, cli_str(e, "dc"),
					"considered dead", cli_int(e, "age_ms"),
					now_us);
		}
	}
}

json_t *cli_merge_cuts(const json_t *answers, const json_t *known,
		       const json_t *silent, const json_t *rows, int64_t now_us)
{
	json_t *cuts = json_array();

	add_dc_cuts(cuts, answers, now_us);
	add_voter_cuts(cuts, answers, now_us);
	add_host_cuts(cuts, answers, known, silent, now_us);
	add_endpoint_cuts(cuts, answers, rows, now_us);
	return cuts;
}
