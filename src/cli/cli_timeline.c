#include "cli/cli.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/err.h"
#include "base/hlc.h"
#include "obs/event.h"

/*
 * Events of an endpoint this long before and after a request may explain what
 * happened to the request; failures are noticed seconds after their cause.
 */
#define AROUND_US (10 * USEC_PER_SEC)

int cli_parse_since(const char *text, int64_t now_us, char *out, size_t size)
{
	static const struct {
		char unit;
		int seconds;
	} units[] = {{'s', 1}, {'m', 60}, {'h', 3600}, {'d', 86400}};
	char *end;
	double value = g_ascii_strtod(text, &end);
	int64_t us = -1;

	if (end == text || !isfinite(value) || value < 0 || value > 1e11)
		return -MW_EINVAL;
	if (!*end)
		us = (int64_t)(value * 1e6);
	for (size_t i = 0; i < G_N_ELEMENTS(units); i++)
		if (*end == units[i].unit && !end[1])
			us = MAX(0, now_us - (int64_t)(value * 1e6 *
						       units[i].seconds));
	if (us < 0)
		return -MW_EINVAL;
	snprintf(out, size, "%lld.%06d", (long long)(us / USEC_PER_SEC),
		 (int)(us % USEC_PER_SEC));
	return 0;
}

/* Events of all processes for one path, merged. */
static json_t *collect(struct cli *c, const json_t *processes, const char *path,
		       json_t *silent)
{
	AUTO_JSON json_t *answers = cli_ask_all(c, processes, path, silent);
	size_t n = json_array_size(answers);
	g_autofree json_t **lists = g_new0(json_t *, n + 1);

	for (size_t i = 0; i < n; i++)
		lists[i] =
			json_object_get(json_array_get(answers, i), "events");
	return event_merge(lists, n);
}

static void print_events(struct cli *c, const json_t *events)
{
	const char *head[] = {"TIME",	 "HOST",     "KIND",   "REQUEST",
			      "ACCOUNT", "ENDPOINT", "CHANGE", "DETAIL"};
	struct cli_table *t = cli_table_new(head, G_N_ELEMENTS(head));
	json_t *e;
	size_t i;

	json_array_foreach((json_t *)events, i, e)
	{
		const char *cells[] = {
			cli_str(e, "time"),    cli_str(e, "host"),
			cli_str(e, "kind"),    cli_str(e, "request"),
			cli_str(e, "account"), cli_str(e, "endpoint"),
			cli_str(e, "change"),  cli_str(e, "detail")};
		cli_table_add(t, cells);
	}
	cli_table_print(t, &c->out);
}

static int print_result(struct cli *c, const json_t *events,
			const json_t *silent)
{
	AUTO_JSON json_t *o =
		json_pack("{s:O,s:O}", "events", events, "silent", silent);

	cli_print_json(&c->out, o);
	return CLI_OK;
}

int cli_timeline(struct cli *c)
{
	AUTO_BUF struct buf path = BUF_INIT;
	AUTO_JSON json_t *processes = NULL;
	AUTO_JSON json_t *silent = json_array();
	char since[40];

	if (c->kind && event_kind_parse(c->kind) < 0)
		return cli_usage(c, "--kind: '%s' is no kind of event",
				 c->kind);
	if (c->since && cli_parse_since(c->since, clock_wall_us(), since,
					sizeof(since)) < 0)
		return cli_usage(c, "--since: '%s' is no time or age",
				 c->since);
	buf_addstr(&path, "/admin/timeline");
	cli_query_add(&path, "request", c->request);
	cli_query_add(&path, "endpoint", c->endpoint);
	cli_query_add(&path, "account", c->account);
	cli_query_add(&path, "change", c->change);
	cli_query_add(&path, "kind", c->kind);
	cli_query_add(&path, "since", c->since ? since : NULL);
	int rc = cli_processes(c, &processes);
	if (rc != CLI_OK)
		return rc;
	AUTO_JSON json_t *events = collect(c, processes, path.data, silent);
	cli_name_silent(c, silent);
	if (c->json)
		return print_result(c, events, silent);
	print_events(c, events);
	return CLI_OK;
}

/* ---- explain ------------------------------------------------------------ */

static int64_t event_us(const json_t *e)
{
	return hlc_wall_us(g_ascii_strtoull(cli_str(e, "hlc"), NULL, 10));
}

/* Path that asks for the events of an endpoint around the given ones. */
static void around_path(struct buf *path, const char *endpoint,
			const json_t *events)
{
	size_t n = json_array_size(events);
	int64_t from = event_us(json_array_get(events, 0)) - AROUND_US;
	int64_t to = event_us(json_array_get(events, n - 1)) + AROUND_US;
	char text[32];

	buf_addstr(path, "/admin/timeline");
	cli_query_add(path, "endpoint", endpoint);
	snprintf(text, sizeof(text), "%lld",
		 (long long)(MAX(from, 0) / USEC_PER_SEC));
	cli_query_add(path, "since", text);
	snprintf(text, sizeof(text), "%lld", (long long)(to / USEC_PER_SEC));
	cli_query_add(path, "until", text);
}

/* Keeps events of endpoints themselves, not of other requests on them. */
static json_t *without_requests(const json_t *events)
{
	json_t *out = json_array();
	json_t *e;
	size_t i;

	json_array_foreach((json_t *)events, i, e)
	{
		if (!*cli_str(e, "request"))
			json_array_append(out, e);
	}
	return out;
}

/* Adds what happened to the endpoints that a request was sent to. */
static json_t *add_endpoint_events(struct cli *c, const json_t *processes,
				   json_t *events)
{
	AUTO_JSON json_t *asked = json_object();
	AUTO_JSON json_t *silent = json_array();
	json_t *merged = json_incref(events);
	json_t *e;
	size_t i;

	json_array_foreach(events, i, e)
	{
		AUTO_BUF struct buf path = BUF_INIT;
		const char *endpoint = cli_str(e, "endpoint");
		if (!*endpoint || json_object_get(asked, endpoint))
			continue;
		json_object_set_new(asked, endpoint, json_true());
		around_path(&path, endpoint, events);
		AUTO_JSON json_t *all =
			collect(c, processes, path.data, silent);
		AUTO_JSON json_t *more = without_requests(all);
		json_t *both[] = {merged, more};
		json_t *next = event_merge(both, 2);
		json_decref(merged);
		merged = next;
	}
	return merged;
}

int cli_explain(struct cli *c)
{
	static const char *const subjects[] = {"request", "endpoint", "change"};
	AUTO_BUF struct buf path = BUF_INIT;
	AUTO_JSON json_t *processes = NULL;
	AUTO_JSON json_t *silent = json_array();
	const char *subject = c->words[0];
	json_t *e;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(subjects); i++)
		if (!strcmp(subjects[i], subject))
			break;
	if (i == G_N_ELEMENTS(subjects))
		return cli_usage(c,
				 "explain what? request, endpoint or change");
	int rc = cli_processes(c, &processes);
	if (rc != CLI_OK)
		return rc;
	buf_addstr(&path, "/admin/timeline");
	cli_query_add(&path, subject, c->words[1]);
	AUTO_JSON json_t *own = collect(c, processes, path.data, silent);
	cli_name_silent(c, silent);
	AUTO_JSON json_t *events =
		i == 0 ? add_endpoint_events(c, processes, own)
		       : json_incref(own);
	if (c->json)
		return print_result(c, events, silent);
	bool known = json_array_size(events) > 0;
	json_array_foreach(events, i, e)
	{
		buf_addf(&c->out, "%s  ", cli_str(e, "time"));
		event_sentence(e, &c->out);
		buf_addstr(&c->out, "\n");
	}
	if (!strcmp(subject, "change"))
		known |= cli_now_change(c, processes, c->words[1]);
	else if (!strcmp(subject, "endpoint"))
		known |= cli_now_endpoint(c, processes, c->words[1]);
	if (!known) {
		buf_addf(&c->err, "%sno process knows events of %s %s",
			 buf_unread(&c->err) ? "\n" : "", subject, c->words[1]);
		cli_set_kind(c, "no_events");
		return CLI_REFUSED;
	}
	return CLI_OK;
}
