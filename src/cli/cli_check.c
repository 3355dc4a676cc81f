#include "cli/cli.h"

#include <string.h>
#include <glib.h>

#include "base/cleanup.h"
#include "cli/check_report.h"
#include "cli/check_tree.h"
#include "control/change_parse.h"

/*
 * Checks a file before it is sent: a tree as printed by "tree get --json", or
 * the edits of "tree apply".  Decoding, schema and references are checked by
 * the functions that the control process calls.
 */

/* Edits may also name what is removed, so they may exceed a tree. */
#define FILE_MAX_BYTES (2 * TREE_JSON_MAX)

static void add_error(struct check_report *r, const struct tree_err *err)
{
	finding_add(r->findings, FINDING_ERROR, err->path, "%s", err->reason);
}

static void add_difference(const char *path, const char *key, const json_t *old,
			   const json_t *now, void *arg)
{
	json_t *d = json_pack("{s:s,s:s}", "path", path, "key", key);

	if (old)
		json_object_set(d, "old", (json_t *)old);
	if (now)
		json_object_set(d, "now", (json_t *)now);
	json_array_append_new(arg, d);
}

/* Applies the edits to the base; errors become findings. */
static struct tree *apply_edits(const struct tree *base, const json_t *doc,
				struct check_report *r)
{
	struct parsed_change p = {0};
	struct tree_err err;
	struct tree *t = NULL;
	const char *why = NULL;
	json_t *edits = cli_edits_from_json(doc, &why);

	if (!edits) {
		finding_add(r->findings, FINDING_ERROR, "", "%s", why);
		return NULL;
	}
	AUTO_JSON json_t *body =
		json_pack("{s:s,s:I,s:o}", "id", "check", "base_version",
			  (json_int_t)tree_version(base), "edits", edits);
	why = change_parse(body, &p);
	if (why)
		finding_add(r->findings, FINDING_ERROR, "", "%s", why);
	else if (tree_apply(base, &p.msg, &t, &err))
		add_error(r, &err);
	change_parsed_release(&p);
	return t;
}

/* Returns the tree that the text describes, or NULL after an error. */
static struct tree *read_tree(const char *text, size_t len,
			      const struct tree *in_force,
			      struct check_report *r)
{
	AUTO_TREE struct tree *initial = tree_new_initial();
	json_error_t jerr;
	struct tree_err err;
	struct tree *t = NULL;
	AUTO_JSON json_t *doc =
		json_loadb(text, len, JSON_REJECT_DUPLICATES, &jerr);

	if (!doc) {
		finding_add(r->findings, FINDING_ERROR, "",
			    "not JSON: line %d: %s", jerr.line, jerr.text);
		return NULL;
	}
	if (json_object_get(doc, "nodes")) {
		if (tree_parse(text, len, &t, &err))
			add_error(r, &err);
		return t;
	}
	if (!in_force && r->fetch_status != CLI_OK) {
		check_report_note(r, "the edits were not checked, as the "
				     "settings in force are not known");
		return NULL;
	}
	if (!in_force)
		check_report_note(r, "the edits were applied to the built-in "
				     "initial settings, as --admin is not "
				     "given");
	return apply_edits(in_force ? in_force : initial, doc, r);
}

/* Asks for the tree in force; NULL with r->fetch_status set after a failure. */
static struct tree *fetch_tree(struct cli *c, struct check_report *r)
{
	AUTO_JSON json_t *json = NULL;
	struct tree_err err;
	struct tree *t = NULL;

	check_report_fetch(c, r, "/admin/tree", &json);
	if (r->fetch_status != CLI_OK)
		return NULL;
	AUTO_FREE char *text = cli_json_text(json);
	if (!tree_parse(text, strlen(text), &t, &err))
		return t;
	/* E.g. a process of another version of this program. */
	buf_addf(&c->err, "the settings in force are not valid here: %s: %s",
		 err.path, err.reason);
	r->fetch_status = CLI_UNREACHABLE;
	return NULL;
}

void cli_check_tree_text(const char *text, size_t len,
			 const struct tree *in_force, struct check_report *r)
{
	AUTO_TREE struct tree *t = read_tree(text, len, in_force, r);

	if (!t)
		return;
	check_tree(t, r->findings);
	if (!in_force)
		return;
	r->version = (int64_t)tree_version(in_force);
	r->differences = json_array();
	tree_diff(in_force, t, add_difference, r->differences);
}

int cli_check(struct cli *c)
{
	AUTO_REPORT struct check_report r;
	AUTO_TREE struct tree *in_force = NULL;
	g_autofree char *text = NULL;
	size_t len;

	check_report_init(&r, c->words[0]);
	int rc = check_read_file(c, c->words[0], FILE_MAX_BYTES, &text, &len);
	if (rc == CLI_OK && c->admin && !c->key)
		rc = cli_load_key(c);
	if (rc != CLI_OK)
		return rc;
	if (c->admin)
		in_force = fetch_tree(c, &r);
	if (!in_force)
		check_report_note(&r, "differences to the settings in force "
				      "are left out");
	cli_check_tree_text(text, len, in_force, &r);
	return check_report_print(c, &r);
}
