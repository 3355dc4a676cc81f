#include "cli/cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <glib.h>
#include <sodium.h>

#include "base/cleanup.h"

/* ---- pure parts --------------------------------------------------------- */

json_t *cli_parse_value(const char *text)
{
	json_t *v = json_loads(text, JSON_DECODE_ANY | JSON_REJECT_DUPLICATES,
			       NULL);

	return v ? v : json_string(text);
}

static json_t *edit(const char *path, const char *key, json_t *value)
{
	json_t *e = json_pack("{s:s}", "path", path);

	if (key)
		json_object_set_new(e, "key", json_string(key));
	if (value && !json_is_null(value))
		json_object_set(e, "value", value);
	json_decref(value);
	return e;
}

json_t *cli_edits_from_json(const json_t *doc, const char **why)
{
	const char *path, *key;
	json_t *node, *value;
	AUTO_JSON json_t *edits = json_array();

	if (!json_is_object(doc)) {
		*why = "the file does not hold a JSON object of nodes";
		return NULL;
	}
	json_object_foreach((json_t *)doc, path, node)
	{
		if (json_is_null(node)) {
			json_array_append_new(edits, edit(path, NULL, NULL));
			continue;
		}
		if (!json_is_object(node)) {
			*why = "a node is neither an object nor null";
			return NULL;
		}
		json_object_foreach(node, key, value) json_array_append_new(
			edits, edit(path, key, json_incref(value)));
	}
	if (!json_array_size(edits)) {
		*why = "the file holds no edits";
		return NULL;
	}
	return steal_ptr(&edits);
}

/* Adds what differs from a to b, of the settings that are in `all`. */
static void diff_node(json_t *out, const char *path, const json_t *a,
		      const json_t *b, const json_t *all, bool only_missing)
{
	const char *key;
	json_t *unused;

	json_object_foreach((json_t *)all, key, unused)
	{
		json_t *old = json_object_get(a, key);
		json_t *now = json_object_get(b, key);
		if (only_missing ? old != NULL : json_equal(old, now))
			continue;
		json_t *d = json_pack("{s:s,s:s}", "path", path, "key", key);
		if (old)
			json_object_set(d, "old", old);
		if (now)
			json_object_set(d, "now", now);
		json_array_append_new(out, d);
	}
}

static int compare_diffs(const void *pa, const void *pb)
{
	const json_t *a = *(json_t *const *)pa, *b = *(json_t *const *)pb;
	int order = strcmp(cli_str(a, "path"), cli_str(b, "path"));

	return order ? order : strcmp(cli_str(a, "key"), cli_str(b, "key"));
}

static json_t *sorted(json_t *list)
{
	g_autoptr(GPtrArray) items = g_ptr_array_new();
	json_t *out = json_array();
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		g_ptr_array_add(items, item);
	}
	g_ptr_array_sort(items, compare_diffs);
	for (i = 0; i < items->len; i++)
		json_array_append(out, items->pdata[i]);
	json_decref(list);
	return out;
}

json_t *cli_tree_diff(const json_t *a, const json_t *b)
{
	json_t *nodes_a = json_object_get(a, "nodes");
	json_t *nodes_b = json_object_get(b, "nodes");
	json_t *out = json_array();
	const char *path;
	json_t *node;

	json_object_foreach(nodes_a, path, node) diff_node(
		out, path, node, json_object_get(nodes_b, path), node, false);
	json_object_foreach(nodes_b, path, node) diff_node(
		out, path, json_object_get(nodes_a, path), node, node, true);
	return sorted(out);
}

/* ---- reading ------------------------------------------------------------ */

static void add_settings(struct cli_table *t, const char *path,
			 const json_t *settings, bool resolved)
{
	const char *key;
	json_t *entry;

	json_object_foreach((json_t *)settings, key, entry)
	{
		AUTO_FREE char *text = cli_json_text(
			resolved ? json_object_get(entry, "value") : entry);
		const char *from = cli_str(entry, "from");
		const char *cells[] = {path, key, text,
				       *from ? from : "default"};
		cli_table_add(t, cells);
	}
}

static void print_tree(struct cli *c, const json_t *tree, const char *path)
{
	const char *head[] = {"PATH", "KEY", "VALUE", "FROM"};
	struct cli_table *t = cli_table_new(head, c->resolved ? 4 : 3);
	const char *node_path;
	json_t *node;

	if (c->resolved)
		add_settings(t, path, json_object_get(tree, "settings"), true);
	json_object_foreach(json_object_get(tree, "nodes"), node_path, node)
	{
		const char *empty[] = {node_path, "", ""};
		if (!json_object_size(node))
			cli_table_add(t, empty);
		add_settings(t, node_path, node, false);
	}
	cli_table_print(t, &c->out);
}

/* Prints one value: bare for people, with its version for scripts. */
static int print_value(struct cli *c, const json_t *tree, const char *path,
		       const char *key)
{
	json_t *value;

	if (c->resolved) {
		json_t *settings = json_object_get(tree, "settings");
		value = json_object_get(json_object_get(settings, key),
					"value");
	} else {
		json_t *nodes = json_object_get(tree, "nodes");
		value = json_object_get(json_object_get(nodes, path), key);
	}
	if (!value) {
		buf_addf(&c->err, "not_found: %s is not set on %s", key, path);
		cli_set_kind(c, "not_found");
		return CLI_REFUSED;
	}
	if (c->json) {
		AUTO_JSON json_t *o =
			json_pack("{s:O?,s:s,s:s,s:O}", "version",
				  json_object_get(tree, "version"), "path",
				  path, "key", key, "value", value);
		cli_print_json(&c->out, o);
		return CLI_OK;
	}
	AUTO_FREE char *text = cli_json_text(value);
	buf_addf(&c->out, "%s\n", text);
	return CLI_OK;
}

int cli_tree_get(struct cli *c)
{
	AUTO_BUF struct buf path = BUF_INIT;
	AUTO_JSON json_t *tree = NULL;
	const char *node = c->n_words > 0 ? c->words[0] : NULL;
	const char *key = c->n_words > 1 ? c->words[1] : NULL;

	if (c->resolved && !node)
		return cli_usage(c, "--resolved needs a PATH");
	buf_addstr(&path, "/admin/tree");
	cli_query_add(&path, "path", node);
	cli_query_add(&path, "resolved", c->resolved ? "1" : NULL);
	cli_query_add(&path, "key", c->resolved ? key : NULL);
	int rc = cli_ask(c, path.data, NULL, &tree);
	if (rc != CLI_OK)
		return rc;
	if (key)
		return print_value(c, tree, node, key);
	if (c->json)
		cli_print_json(&c->out, tree);
	else
		print_tree(c, tree, node);
	return CLI_OK;
}

static int fetch_version(struct cli *c, const char *version, json_t **tree)
{
	AUTO_BUF struct buf path = BUF_INIT;

	buf_addstr(&path, "/admin/tree");
	cli_query_add(&path, "version", version);
	return cli_ask(c, path.data, NULL, tree);
}

int cli_tree_diff_cmd(struct cli *c)
{
	const char *head[] = {"PATH", "KEY", "OLD", "NEW"};
	AUTO_JSON json_t *a = NULL;
	AUTO_JSON json_t *b = NULL;
	json_t *d;
	size_t i;

	int rc = fetch_version(c, c->words[0], &a);
	if (rc == CLI_OK)
		rc = fetch_version(c, c->n_words > 1 ? c->words[1] : NULL, &b);
	if (rc != CLI_OK)
		return rc;
	AUTO_JSON json_t *diff = cli_tree_diff(a, b);
	if (c->json) {
		AUTO_JSON json_t *o = json_pack(
			"{s:O?,s:O?,s:O}", "from",
			json_object_get(a, "version"), "to",
			json_object_get(b, "version"), "differences", diff);
		cli_print_json(&c->out, o);
		return CLI_OK;
	}
	struct cli_table *t = cli_table_new(head, G_N_ELEMENTS(head));
	json_array_foreach(diff, i, d)
	{
		json_t *old = json_object_get(d, "old");
		json_t *now = json_object_get(d, "now");
		AUTO_FREE char *old_text = old ? cli_json_text(old) : NULL;
		AUTO_FREE char *now_text = now ? cli_json_text(now) : NULL;
		const char *cells[] = {cli_str(d, "path"), cli_str(d, "key"),
				       old ? old_text : "-",
				       now ? now_text : "-"};
		cli_table_add(t, cells);
	}
	cli_table_print(t, &c->out);
	return CLI_OK;
}

int cli_tree_history(struct cli *c)
{
	const char *head[] = {"VERSION", "OUTCOME", "TIME",   "OPERATOR",
			      "CHANGE",	 "EDITS",   "COMMENT"};
	AUTO_JSON json_t *answer = NULL;
	json_t *e;
	size_t i;

	int rc = cli_ask(c, "/admin/history", NULL, &answer);
	if (rc != CLI_OK)
		return rc;
	if (c->json) {
		cli_print_json(&c->out, answer);
		return CLI_OK;
	}
	struct cli_table *t = cli_table_new(head, G_N_ELEMENTS(head));
	json_array_foreach(json_object_get(answer, "changes"), i, e)
	{
		char version[24], when[40];
		time_t sec = cli_int(e, "time_ms") / 1000;
		struct tm tm;
		gmtime_r(&sec, &tm);
		strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%SZ", &tm);
		snprintf(version, sizeof(version), "%lld",
			 (long long)cli_int(e, "version"));
		const char *cells[] = {version,
				       cli_str(e, "outcome"),
				       when,
				       cli_str(e, "operator"),
				       cli_str(e, "change_id"),
				       cli_str(e, "summary"),
				       cli_str(e, "comment")};
		cli_table_add(t, cells);
	}
	cli_table_print(t, &c->out);
	return CLI_OK;
}

/* ---- changing ----------------------------------------------------------- */

bool cli_set_id(struct cli *c)
{
	unsigned char bytes[16];
	char hex[2 * sizeof(bytes) + 1];

	if (c->id)
		return false;
	randombytes_buf(bytes, sizeof(bytes));
	c->id = g_strdup(
		sodium_bin2hex(hex, sizeof(hex), bytes, sizeof(bytes)));
	return true;
}

static int set_current_base(struct cli *c)
{
	AUTO_JSON json_t *status = NULL;
	int rc = cli_ask(c, "/admin/status", NULL, &status);

	if (rc == CLI_OK)
		c->base = g_strdup_printf(
			"%lld", (long long)cli_int(status, "version"));
	return rc;
}

/* Sends one change; takes ownership of edits. */
static int submit(struct cli *c, json_t *edits)
{
	AUTO_JSON json_t *owned = edits;
	AUTO_JSON json_t *answer = NULL;
	json_t *left_out = json_array();

	for (char **dc = c->leave_out; dc && *dc; dc++)
		json_array_append_new(left_out, json_string(*dc));
	json_t *body =
		json_pack("{s:O,s:o}", "edits", edits, "left_out", left_out);
	if (c->comment)
		json_object_set_new(body, "comment", json_string(c->comment));
	int rc = c->base ? CLI_OK : set_current_base(c);
	if (rc != CLI_OK) {
		json_decref(body);
		return rc;
	}
	/* Printed before the request: the wait for an answer may be cut off. */
	if (cli_set_id(c))
		fprintf(stderr, "mustardwall: change %s from version %s\n",
			c->id, c->base);
	json_object_set_new(body, "id", json_string(c->id));
	json_object_set_new(body, "base_version",
			    json_integer(g_ascii_strtoll(c->base, NULL, 10)));
	rc = cli_ask(c, "/admin/change", body, &answer);
	if (rc == CLI_UNKNOWN)
		buf_addf(&c->err,
			 "; the outcome is unknown, send it again with "
			 "--id=%s --base=%s",
			 c->id, c->base);
	if (rc != CLI_OK)
		return rc;
	if (c->json)
		cli_print_json(&c->out, answer);
	else
		buf_addf(&c->out, "accepted: version %lld (change %s)\n",
			 (long long)cli_int(answer, "version"), c->id);
	return CLI_OK;
}

int cli_tree_set(struct cli *c)
{
	json_t *value = cli_parse_value(c->words[2]);

	if (json_is_null(value)) {
		json_decref(value);
		return cli_usage(c, "null is no value; use tree unset");
	}
	return submit(c,
		      json_pack("[o]", edit(c->words[0], c->words[1], value)));
}

int cli_tree_unset(struct cli *c)
{
	return submit(c,
		      json_pack("[o]", edit(c->words[0],
					    c->n_words > 1 ? c->words[1] : NULL,
					    NULL)));
}

int cli_tree_apply(struct cli *c)
{
	json_error_t error;
	const char *why = NULL;
	AUTO_JSON json_t *doc =
		json_load_file(c->words[0], JSON_REJECT_DUPLICATES, &error);

	if (!doc)
		return cli_usage(c, "%s: line %d: %s", c->words[0], error.line,
				 error.text);
	json_t *edits = cli_edits_from_json(doc, &why);
	if (!edits)
		return cli_usage(c, "%s: %s", c->words[0], why);
	return submit(c, edits);
}
