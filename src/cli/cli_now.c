#include "cli/cli.h"

#include <string.h>
#include <time.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "cli/cli_merge.h"

/*
 * The end of a story that `explain` tells: how things are now, which events
 * alone do not say.
 */

/* ---- endpoints ---------------------------------------------------------- */

/* Rows of the endpoint at all processes. */
static json_t *rows_of(struct cli *c, const json_t *processes, const char *id)
{
	AUTO_JSON json_t *silent = json_array();
	AUTO_JSON json_t *answers =
		cli_ask_all(c, processes, "/admin/endpoints", silent);
	json_t *rows = json_array();
	json_t *a, *e;
	size_t i, j;

	json_array_foreach(answers, i, a)
	{
		json_array_foreach(json_object_get(a, "endpoints"), j, e)
		{
			if (!strcmp(cli_str(e, "id"), id))
				json_array_append(rows, e);
		}
	}
	return rows;
}

bool cli_now_endpoint(struct cli *c, const json_t *processes, const char *id)
{
	AUTO_JSON json_t *rows = rows_of(c, processes, id);
	AUTO_BUF struct buf models = BUF_INIT;
	const json_t *best = NULL;
	json_t *e;
	size_t i;

	json_array_foreach(rows, i, e)
	{
		if (!best || cli_int(e, "age_ms") < cli_int(best, "age_ms"))
			best = e;
	}
	if (!best) {
		buf_addf(&c->out,
			 "now: no entry host that answers knows endpoint %s\n",
			 id);
		return false;
	}
	cli_join(&models, json_object_get(best, "models"));
	buf_addf(&c->out,
		 "now: endpoint %s in %s is %s for %lld s, as %zu entry hosts "
		 "know it; it serves %s; %lld run and %lld wait on it; %lld of "
		 "%lld blocks are used\n",
		 id, cli_str(best, "dc"), cli_str(best, "state"),
		 (long long)cli_int(best, "state_ms") / 1000,
		 json_array_size(rows),
		 buf_unread(&models) ? models.data : "nothing",
		 (long long)cli_int(best, "running"),
		 (long long)cli_int(best, "waiting"),
		 (long long)cli_int(best, "blocks_used"),
		 (long long)cli_int(best, "blocks"));
	return true;
}

/* ---- changes ------------------------------------------------------------ */

/* The change's row in the history, new reference; NULL if not known. */
static json_t *history_of(struct cli *c, const json_t *processes,
			  const char *id)
{
	AUTO_JSON json_t *silent = json_array();
	AUTO_JSON json_t *answers =
		cli_ask_all(c, processes, "/admin/history?limit=2000", silent);
	json_t *a, *h;
	size_t i, j;

	json_array_foreach(answers, i, a)
	{
		json_array_foreach(json_object_get(a, "changes"), j, h)
		{
			if (!strcmp(cli_str(h, "change_id"), id))
				return json_incref(h);
		}
	}
	return NULL;
}

/* Says which processes have reached the version, and which have not. */
static void print_reach(struct cli *c, const json_t *processes, int64_t version)
{
	AUTO_JSON json_t *silent = json_array();
	AUTO_JSON json_t *answers =
		cli_ask_all(c, processes, "/admin/status", silent);
	AUTO_JSON json_t *behind = json_array();
	size_t n = 0, i;
	json_t *a;

	json_array_foreach(answers, i, a)
	{
		if (cli_int(a, "version") >= version)
			n++;
		else
			json_array_append(behind, json_object_get(a, "host"));
	}
	buf_addf(&c->out,
		 "now: version %lld or a later one is in force on %zu "
		 "of %zu processes",
		 (long long)version, n, json_array_size(processes));
	if (json_array_size(behind)) {
		buf_addstr(&c->out, "; not yet on ");
		cli_join(&c->out, behind);
	}
	if (json_array_size(silent)) {
		buf_addstr(&c->out, "; no answer from ");
		cli_join(&c->out, silent);
	}
	buf_addstr(&c->out, "\n");
}

bool cli_now_change(struct cli *c, const json_t *processes, const char *id)
{
	/* A control process answers for itself; one knows as much as all. */
	AUTO_JSON json_t *control = json_array();
	json_t *p;
	size_t i;

	json_array_foreach((json_t *)processes, i, p)
	{
		if (!strcmp(cli_str(p, "role"), "control"))
			json_array_append(control, p);
	}
	AUTO_JSON json_t *h = history_of(c, control, id);
	if (!h)
		return false;
	time_t sec = cli_int(h, "time_ms") / 1000;
	struct tm tm;
	char when[40];
	gmtime_r(&sec, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%SZ", &tm);
	buf_addf(&c->out, "outcome: %s%s%lld, by %s at %s; it sets %s\n",
		 cli_str(h, "outcome"),
		 strcmp(cli_str(h, "outcome"), "accepted") != 0
			 ? ", in force stayed version "
			 : " as version ",
		 (long long)cli_int(h, "version"), cli_str(h, "operator"), when,
		 cli_str(h, "summary"));
	if (json_array_size(json_object_get(h, "left_out"))) {
		buf_addstr(&c->out, "left out by name: ");
		cli_join(&c->out, json_object_get(h, "left_out"));
		buf_addstr(&c->out, "\n");
	}
	if (!strcmp(cli_str(h, "outcome"), "accepted"))
		print_reach(c, processes, cli_int(h, "version"));
	return true;
}
