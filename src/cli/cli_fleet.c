#include "cli/cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <sodium.h>

#include "base/cleanup.h"
#include "state/tree.h"

/* Text of a number, valid until the third next call. */
static const char *number(const json_t *o, const char *key)
{
	static char texts[16][24];
	static unsigned next;
	char *text = texts[next++ % G_N_ELEMENTS(texts)];

	snprintf(text, sizeof(texts[0]), "%lld", (long long)cli_int(o, key));
	return text;
}

void cli_name_silent(struct cli *c, const json_t *silent)
{
	if (!json_array_size(silent))
		return;
	buf_addstr(&c->err, "no answer from ");
	cli_join(&c->err, silent);
}

/* ---- endpoints ---------------------------------------------------------- */

/* Processes of one data centre and role; control processes come last. */
static json_t *members_of(const json_t *processes, const char *dc)
{
	json_t *out = json_array();
	json_t *p;
	size_t i;

	for (int control = 0; control < 2; control++) {
		json_array_foreach((json_t *)processes, i, p)
		{
			int is_control = !strcmp(cli_str(p, "role"), "control");
			if (is_control == control &&
			    !strcmp(cli_str(p, "dc"), dc))
				json_array_append(out, p);
		}
	}
	return out;
}

/* Adds the endpoints of a data centre; false if no process knows them. */
static bool add_dc_endpoints(struct cli *c, const json_t *processes,
			     const char *dc, json_t *rows)
{
	AUTO_JSON json_t *members = members_of(processes, dc);
	json_t *p;
	size_t i;

	json_array_foreach(members, i, p)
	{
		AUTO_JSON json_t *one = json_pack("[O]", p);
		AUTO_JSON json_t *silent = json_array();
		AUTO_JSON json_t *answers =
			cli_ask_all(c, one, "/admin/endpoints", silent);
		json_t *list = json_object_get(json_array_get(answers, 0),
					       "endpoints");
		if (!json_is_array(list))
			continue;
		json_array_extend(rows, list);
		return true;
	}
	return false;
}

static void print_endpoints(struct cli *c, const json_t *rows)
{
	const char *head[] = {"ENDPOINT", "DC",	    "STATE",  "ROLE",
			      "MODELS",	  "BLOCKS", "USED",   "RUNNING",
			      "WAITING",  "AGE_MS", "ADDRESS"};
	struct cli_table *t = cli_table_new(head, G_N_ELEMENTS(head));
	json_t *e;
	size_t i;

	json_array_foreach((json_t *)rows, i, e)
	{
		AUTO_BUF struct buf models = BUF_INIT;
		cli_join(&models, json_object_get(e, "models"));
		const char *cells[] = {cli_str(e, "id"),
				       cli_str(e, "dc"),
				       cli_str(e, "state"),
				       cli_str(e, "role"),
				       models.data,
				       number(e, "blocks"),
				       number(e, "blocks_used"),
				       number(e, "running"),
				       number(e, "waiting"),
				       number(e, "age_ms"),
				       cli_str(e, "addr")};
		cli_table_add(t, cells);
	}
	cli_table_print(t, &c->out);
}

int cli_endpoints(struct cli *c)
{
	AUTO_JSON json_t *processes = NULL;
	AUTO_JSON json_t *done = json_object();
	AUTO_JSON json_t *rows = json_array();
	AUTO_JSON json_t *silent = json_array();
	json_t *p;
	size_t i;

	int rc = cli_processes(c, &processes);
	if (rc != CLI_OK)
		return rc;
	json_array_foreach(processes, i, p)
	{
		const char *dc = cli_str(p, "dc");
		if (json_object_get(done, dc))
			continue;
		json_object_set_new(done, dc, json_true());
		if (!add_dc_endpoints(c, processes, dc, rows))
			json_array_append_new(silent, json_string(dc));
	}
	cli_name_silent(c, silent);
	if (!c->json) {
		print_endpoints(c, rows);
		return CLI_OK;
	}
	AUTO_JSON json_t *o =
		json_pack("{s:O,s:O}", "endpoints", rows, "silent", silent);
	cli_print_json(&c->out, o);
	return CLI_OK;
}

/* ---- hosts, voters, orders ---------------------------------------------- */

static const char may_repeat[] =
	"; the outcome is unknown, the command may be repeated";

static void print_answer(struct cli *c, const json_t *answer,
			 const char *sentence)
{
	if (c->json)
		cli_print_json(&c->out, answer);
	else
		buf_addf(&c->out, "%s\n", sentence);
}

/* Sends a change that may be repeated, and prints a sentence for it. */
static int act(struct cli *c, const char *path, json_t *body,
	       const char *sentence)
{
	AUTO_JSON json_t *answer = NULL;
	int rc = cli_ask(c, path, body, &answer);

	if (rc == CLI_UNKNOWN)
		cli_go_on(c, may_repeat);
	if (rc == CLI_OK)
		print_answer(c, answer, sentence);
	return rc;
}

int cli_drain(struct cli *c)
{
	AUTO_JSON json_t *processes = NULL;
	AUTO_JSON json_t *answer = NULL;
	const char *addr = NULL;
	json_t *p;
	size_t i;
	int rc;

	if (!c->n_words) {
		rc = cli_ask(c, "/admin/drain", json_object(), &answer);
	} else {
		rc = cli_processes(c, &processes);
		if (rc != CLI_OK)
			return rc;
		json_array_foreach(processes, i, p)
		{
			if (!strcmp(cli_str(p, "host"), c->words[0]))
				addr = cli_str(p, "admin_addr");
		}
		if (!addr) {
			buf_addf(&c->err, "not_found: no host %s", c->words[0]);
			cli_set_kind(c, "not_found");
			return CLI_REFUSED;
		}
		rc = cli_ask_at(c, addr, "/admin/drain", json_object(),
				&answer);
	}
	if (rc == CLI_UNKNOWN)
		cli_go_on(c, may_repeat);
	if (rc != CLI_OK)
		return rc;
	g_autofree char *text = g_strdup_printf(
		"%s is draining, %s open requests", cli_str(answer, "host"),
		number(answer, "open_requests"));
	print_answer(c, answer, text);
	return CLI_OK;
}

int cli_evacuate(struct cli *c)
{
	g_autofree char *text = g_strdup_printf(
		c->end ? "%s is no longer evacuated"
		       : "%s is evacuated: its endpoints get nothing more",
		c->words[0]);

	return act(c, "/admin/evacuate",
		   json_pack("{s:s, s:b}", "dc", c->words[0], "end", c->end),
		   text);
}

int cli_host_remove(struct cli *c)
{
	g_autofree char *text =
		g_strdup_printf("%s is no longer registered", c->words[0]);

	return act(c, "/admin/host/remove",
		   json_pack("{s:s}", "host", c->words[0]), text);
}

static int voter_change(struct cli *c, const char *path, const char *verb)
{
	guint64 id;

	if (!g_ascii_string_to_unsigned(c->words[0], 10, 1, UINT32_MAX, &id,
					NULL))
		return cli_usage(c, "'%s' is no voter id", c->words[0]);
	json_t *body = json_pack("{s:I}", "id", (json_int_t)id);
	if (c->n_words > 1)
		json_object_set_new(body, "addr", json_string(c->words[1]));
	g_autofree char *text =
		g_strdup_printf("voter %s %s", c->words[0], verb);
	return act(c, path, body, text);
}

int cli_voter_add(struct cli *c)
{
	return voter_change(c, "/admin/voter/add", "added");
}

int cli_voter_remove(struct cli *c)
{
	return voter_change(c, "/admin/voter/remove", "removed");
}

int cli_voter_list(struct cli *c)
{
	const char *head[] = {"ID", "HOST", "DC", "ADDRESS", "STATE", "LEADER"};
	AUTO_JSON json_t *answer = NULL;
	json_t *v;
	size_t i;

	int rc = cli_ask(c, "/admin/voters", NULL, &answer);
	if (rc != CLI_OK)
		return rc;
	if (c->json) {
		cli_print_json(&c->out, answer);
		return CLI_OK;
	}
	struct cli_table *t = cli_table_new(head, G_N_ELEMENTS(head));
	json_array_foreach(json_object_get(answer, "voters"), i, v)
	{
		const char *host = cli_str(v, "host");
		int leads = *host && !strcmp(host, cli_str(answer, "leader"));
		const char *state =
			json_is_true(json_object_get(v, "waiting")) ? "waiting"
			: json_is_true(json_object_get(v, "learner"))
				? "learner"
				: "voter";
		const char *cells[] = {
			number(v, "id"),    host,  cli_str(v, "dc"),
			cli_str(v, "addr"), state, leads ? "yes" : ""};
		cli_table_add(t, cells);
	}
	cli_table_print(t, &c->out);
	return CLI_OK;
}

json_t *cli_order_body(const char *command, char *const *words, const char *id)
{
	/* Members of the words after the endpoint. */
	static const struct {
		const char *command, *order, *first, *second;
	} orders[] = {
		{"order load-model", "load_model", "model", NULL},
		{"order load-adapter", "load_adapter", "model", "adapter"},
		{"order load-version", "load_version", "model", "version"},
		{"order set-role", "set_role", "role", NULL},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
		if (strcmp(orders[i].command, command) != 0)
			continue;
		json_t *body = json_pack("{s:s,s:s,s:s,s:s}", "order_id", id,
					 "order", orders[i].order, "endpoint",
					 words[0], orders[i].first, words[1]);
		if (orders[i].second)
			json_object_set_new(body, orders[i].second,
					    json_string(words[2]));
		return body;
	}
	return NULL;
}

int cli_order(struct cli *c)
{
	AUTO_JSON json_t *answer = NULL;

	if (cli_set_id(c))
		fprintf(stderr, "mustardwall: order %s\n", c->id);
	int rc = cli_ask(c, "/admin/order",
			 cli_order_body(c->command, c->words, c->id), &answer);
	if (rc == CLI_UNKNOWN)
		buf_addf(&c->err,
			 "; the outcome is unknown, send it again with --id=%s",
			 c->id);
	if (rc != CLI_OK)
		return rc;
	g_autofree char *text = g_strdup_printf(
		"order %s is recorded: fence %s, %s%s%s", c->id,
		number(answer, "fence"), cli_str(answer, "state"),
		*cli_str(answer, "outcome") ? ", " : "",
		cli_str(answer, "outcome"));
	print_answer(c, answer, text);
	return CLI_OK;
}

/* ---- local commands ----------------------------------------------------- */

int cli_key_new(struct cli *c)
{
	unsigned char bytes[32];
	char key[2 * sizeof(bytes) + 1];
	char hash[SCHEMA_HASH_HEX_LEN + 1];

	if (sodium_init() < 0) {
		buf_addstr(&c->err, "no random numbers");
		return CLI_REFUSED;
	}
	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(key, sizeof(key), bytes, sizeof(bytes));
	tree_key_hash(key, hash);
	if (c->json) {
		AUTO_JSON json_t *o =
			json_pack("{s:s,s:s}", "key", key, "hash", hash);
		cli_print_json(&c->out, o);
	} else {
		buf_addf(&c->out, "key  %s\nhash %s\n", key, hash);
	}
	sodium_memzero(bytes, sizeof(bytes));
	sodium_memzero(key, sizeof(key));
	return CLI_OK;
}

int cli_key_hash(struct cli *c)
{
	char hash[SCHEMA_HASH_HEX_LEN + 1];

	c->key_file = c->words[0];
	int r = cli_load_key(c);
	c->key_file = NULL;
	if (r != CLI_OK)
		return r;
	tree_key_hash(c->key, hash);
	buf_addf(&c->out, "%s\n", hash);
	return CLI_OK;
}

int cli_version(struct cli *c)
{
	if (c->json)
		buf_addstr(&c->out, "{\"version\": \"" CLI_VERSION "\"}\n");
	else
		buf_addstr(&c->out, "mustardwall " CLI_VERSION "\n");
	return CLI_OK;
}
