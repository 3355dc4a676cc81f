#include "cli/cli.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/err.h"

const char *cli_str(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s ? s : "";
}

int64_t cli_int(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

char *cli_json_text(const json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT | JSON_ENCODE_ANY);

	return text ? text : strdup("");
}

void cli_print_json(struct buf *out, const json_t *json)
{
	AUTO_FREE char *text = json_dumps(
		json, JSON_INDENT(2) | JSON_ENCODE_ANY | JSON_PRESERVE_ORDER);

	if (text)
		buf_addf(out, "%s\n", text);
}

void cli_join(struct buf *out, const json_t *names)
{
	const json_t *name;
	size_t i;

	json_array_foreach((json_t *)names, i, name)
	{
		const char *text = json_string_value(name);
		buf_addf(out, "%s%s", i ? ", " : "", text ? text : "?");
	}
}

/* ---- tables ------------------------------------------------------------- */

struct cli_table {
	size_t columns;
	GPtrArray *cells; /* row by row, the head first */
};

static void add_row(struct cli_table *t, const char *const *cells)
{
	for (size_t i = 0; i < t->columns; i++) {
		char *text = g_strdup(cells[i] ? cells[i] : "");
		/* Text of other processes must not control the terminal. */
		for (char *p = text; *p; p++)
			if ((unsigned char)*p < ' ' || *p == 0x7f)
				*p = ' ';
		g_ptr_array_add(t->cells, text);
	}
}

struct cli_table *cli_table_new(const char *const *head, size_t columns)
{
	struct cli_table *t = g_new0(struct cli_table, 1);

	assert(columns <= CLI_COLUMNS_MAX);
	t->columns = columns;
	t->cells = g_ptr_array_new_with_free_func(g_free);
	add_row(t, head);
	return t;
}

void cli_table_add(struct cli_table *t, const char *const *cells)
{
	add_row(t, cells);
}

static size_t width_of(const char *text)
{
	return (size_t)g_utf8_strlen(text, -1);
}

void cli_table_print(struct cli_table *t, struct buf *out)
{
	size_t width[CLI_COLUMNS_MAX] = {0};

	for (size_t i = 0; i < t->cells->len; i++) {
		size_t col = i % t->columns;
		width[col] = MAX(width[col], width_of(t->cells->pdata[i]));
	}
	for (size_t i = 0; i < t->cells->len; i++) {
		const char *text = t->cells->pdata[i];
		size_t col = i % t->columns;
		buf_addstr(out, text);
		if (col == t->columns - 1) {
			buf_addstr(out, "\n");
			continue;
		}
		for (size_t n = width_of(text); n < width[col] + 2; n++)
			buf_addstr(out, " ");
	}
	g_ptr_array_free(t->cells, TRUE);
	g_free(t);
}

/* ---- errors ------------------------------------------------------------- */

void cli_set_kind(struct cli *c, const char *kind)
{
	g_strlcpy(c->error_kind, kind, sizeof(c->error_kind));
}

void cli_go_on(struct cli *c, const char *text)
{
	struct buf *err = &c->err;

	if (buf_unread(err) && err->data[err->len - 1] == '.')
		err->data[--err->len] = '\0';
	buf_addstr(err, text);
}

/* ---- outcomes -------------------------------------------------------------
 */

/* Whether the refusal promises that nothing has changed. */
static bool promises_not_run(const json_t *error)
{
	const json_t *flag = json_object_get(error, "not_run");
	int err = err_from_kind(cli_str(error, "kind"));

	if (json_is_boolean(flag))
		return json_is_true(flag);
	return err > 0 && err_info(err)->not_run;
}

static void describe(const json_t *error, struct buf *line)
{
	const char *message = cli_str(error, "message");
	const char *kind = cli_str(error, "kind");
	int err = err_from_kind(kind);

	if (!*message && err > 0)
		message = err_info(err)->text;
	buf_addf(line, "%s: %s", kind, message);
	if (*cli_str(error, "path"))
		buf_addf(line, " %s:", cli_str(error, "path"));
	if (*cli_str(error, "reason"))
		buf_addf(line, " %s", cli_str(error, "reason"));
	if (json_object_get(error, "version"))
		buf_addf(line, " [version %lld]",
			 (long long)cli_int(error, "version"));
	if (*cli_str(error, "change_id"))
		buf_addf(line, " [change %s]", cli_str(error, "change_id"));
	/* One line, whatever the other side has sent. */
	for (size_t i = 0; i < line->len; i++)
		if ((unsigned char)line->data[i] < ' ' || line->data[i] == 0x7f)
			line->data[i] = ' ';
}

int cli_outcome(const struct cli_call *call, bool changing, struct buf *line)
{
	const json_t *error = json_object_get(call->json, "error");

	if (call->status >= 200 && call->status < 300 && call->json && !error)
		return CLI_OK;
	if (json_is_object(error)) {
		describe(error, line);
		/* It has no configuration yet and has done nothing. */
		if (!strcmp(cli_str(error, "kind"), "try_again"))
			return CLI_UNREACHABLE;
		if (changing && !promises_not_run(error))
			return CLI_UNKNOWN;
		return CLI_REFUSED;
	}
	if (call->status)
		buf_addf(line, "%s: answer with status %d is not understood",
			 call->addr, call->status);
	else
		buf_addf(line, "%s: %s", call->addr, call->error);
	if (call->sent && changing)
		return CLI_UNKNOWN;
	return call->status ? CLI_REFUSED : CLI_UNREACHABLE;
}
