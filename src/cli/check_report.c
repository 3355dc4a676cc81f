#include "cli/check_report.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <glib.h>

#include "base/cleanup.h"

static const char *const level_names[] = {
	[FINDING_ERROR] = "error",
	[FINDING_WARNING] = "warning",
};

void check_report_init(struct check_report *r, const char *file)
{
	memset(r, 0, sizeof(*r));
	r->file = file;
	r->findings = findings_new();
	r->notes = json_array();
}

void check_report_release(struct check_report *r)
{
	g_ptr_array_unref(r->findings);
	json_decref(r->differences);
	json_decref(r->notes);
}

void check_report_note(struct check_report *r, const char *text)
{
	json_array_append_new(r->notes, json_string(text));
}

int check_read_file(struct cli *c, const char *file, size_t max, char **text,
		    size_t *len)
{
	FILE *f = fopen(file, "rb");

	if (!f)
		return cli_usage(c, "%s: %s", file, g_strerror(errno));
	/* The size is not known before: the file may be a pipe or a device. */
	g_autofree char *bytes = g_malloc(max + 1);
	*len = fread(bytes, 1, max + 1, f);
	int error = ferror(f) ? errno : 0;
	fclose(f);
	if (error)
		return cli_usage(c, "%s: %s", file, g_strerror(error));
	if (*len > max)
		return cli_usage(c, "%s: larger than %zu bytes", file, max);
	*text = g_steal_pointer(&bytes);
	return CLI_OK;
}

void check_report_fetch(struct cli *c, struct check_report *r, const char *path,
			json_t **json)
{
	int as_json = c->json;

	/* Otherwise a refusal would be printed before the report. */
	c->json = 0;
	r->fetch_status = cli_ask(c, path, NULL, json) == CLI_OK
				  ? CLI_OK
				  : CLI_UNREACHABLE;
	c->json = as_json;
}

static void print_findings(const struct check_report *r, struct buf *out)
{
	const char *head[] = {"LEVEL", "PATH", "FINDING"};
	struct cli_table *t = cli_table_new(head, G_N_ELEMENTS(head));

	for (guint i = 0; i < r->findings->len; i++) {
		const struct finding *f = r->findings->pdata[i];
		const char *cells[] = {level_names[f->level], f->path, f->text};

		cli_table_add(t, cells);
	}
	cli_table_print(t, out);
}

static void print_differences(const struct check_report *r, struct buf *out)
{
	const char *head[] = {"PATH", "KEY", "OLD", "NEW"};
	struct cli_table *t = cli_table_new(head, G_N_ELEMENTS(head));
	json_t *d;
	size_t i;

	json_array_foreach(r->differences, i, d)
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
	cli_table_print(t, out);
}

static void print_text(const struct check_report *r, struct buf *out)
{
	json_t *note;
	size_t i;

	if (r->findings->len)
		print_findings(r, out);
	if (json_array_size(r->differences))
		print_differences(r, out);
	json_array_foreach(r->notes, i, note)
		buf_addf(out, "note: %s\n", json_string_value(note));
	buf_addf(out, "errors: %u, warnings: %u",
		 findings_count(r->findings, FINDING_ERROR),
		 findings_count(r->findings, FINDING_WARNING));
	if (r->differences)
		buf_addf(out, ", differences to version %lld: %zu",
			 (long long)r->version,
			 json_array_size(r->differences));
	buf_addstr(out, "\n");
}

static void print_json(const struct check_report *r, struct buf *out)
{
	AUTO_JSON json_t *list = json_array();
	AUTO_JSON json_t *o = json_object();

	for (guint i = 0; i < r->findings->len; i++) {
		const struct finding *f = r->findings->pdata[i];

		json_array_append_new(list,
				      json_pack("{s:s,s:s,s:s}", "level",
						level_names[f->level], "path",
						f->path, "text", f->text));
	}
	json_object_set_new(o, "file", json_string(r->file));
	json_object_set(o, "findings", list);
	if (r->differences) {
		json_object_set_new(o, "version", json_integer(r->version));
		json_object_set(o, "differences", r->differences);
	}
	json_object_set(o, "notes", r->notes);
	cli_print_json(out, o);
}

int check_report_print(struct cli *c, const struct check_report *r)
{
	if (c->json)
		print_json(r, &c->out);
	else
		print_text(r, &c->out);
	if (findings_count(r->findings, FINDING_ERROR))
		return CLI_REFUSED;
	if (r->fetch_status != CLI_OK)
		return r->fetch_status;
	return r->findings->len ? CLI_WARNINGS : CLI_OK;
}
