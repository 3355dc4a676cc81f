#include "control/change_parse.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

/* Edits in one change; the tree has the same bound. */
#define EDITS_MAX TREE_EDITS_MAX

/* Returns a member of obj that is not in names (NULL ends them), or NULL. */
static const char *unknown_member(json_t *obj, const char *const *names)
{
	const char *key;
	json_t *v;

	json_object_foreach(obj, key, v)
	{
		const char *const *n = names;
		while (*n && strcmp(*n, key) != 0)
			n++;
		if (!*n)
			return key;
	}
	return NULL;
}

/* Returns NULL or the error for the caller; so do the other parsers. */
static const char *parse_edit(json_t *obj, Mw__Edit *e)
{
	static const char *const names[] = {"path", "key", "value", NULL};
	json_t *value = json_object_get(obj, "value");
	const char *path = json_string_value(json_object_get(obj, "path"));
	const char *key = json_string_value(json_object_get(obj, "key"));

	if (!path || unknown_member(obj, names))
		return "an edit needs a path and has only path, key and value";
	mw__edit__init(e);
	e->path = g_strdup(path);
	e->key = g_strdup(key ? key : "");
	if (value) {
		char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
		e->value = g_strdup(text);
		free(text);
	} else {
		e->value = g_strdup("");
	}
	return NULL;
}

void change_parsed_release(struct parsed_change *p)
{
	for (size_t i = 0; i < p->msg.n_edits; i++) {
		g_free(p->edits[i].path);
		g_free(p->edits[i].key);
		g_free(p->edits[i].value);
	}
	g_free(p->edits);
	g_free(p->msg.edits);
	g_free(p->msg.left_out);
}

static const char *parse_edits(json_t *list, struct parsed_change *p)
{
	json_t *v;
	size_t i;

	if (!json_is_array(list) || !json_array_size(list) ||
	    json_array_size(list) > EDITS_MAX)
		return "edits must be a list of 1 to 20000 edits";
	p->edits = g_new0(Mw__Edit, json_array_size(list));
	p->msg.edits = g_new0(Mw__Edit *, json_array_size(list));
	json_array_foreach(list, i, v)
	{
		const char *error = parse_edit(v, &p->edits[i]);
		if (error)
			return error;
		p->msg.edits[p->msg.n_edits++] = &p->edits[i];
	}
	return NULL;
}

static const char *parse_left_out(json_t *list, struct parsed_change *p)
{
	json_t *v;
	size_t i;

	if (!list)
		return NULL;
	if (!json_is_array(list) || json_array_size(list) > 64)
		return "left_out must be a list of data centres";
	p->msg.left_out = g_new0(char *, json_array_size(list) + 1);
	json_array_foreach(list, i, v)
	{
		if (!json_is_string(v))
			return "left_out must be a list of data centres";
		p->msg.left_out[p->msg.n_left_out++] =
			(char *)json_string_value(v);
	}
	return NULL;
}

const char *change_parse(json_t *obj, struct parsed_change *p)
{
	static const char *const names[] = {"id",	"base_version", "edits",
					    "left_out", "comment",	NULL};
	const char *id = json_string_value(json_object_get(obj, "id"));
	json_t *base = json_object_get(obj, "base_version");
	const char *comment =
		json_string_value(json_object_get(obj, "comment"));
	const char *error;

	mw__change__init(&p->msg);
	if (!json_is_object(obj))
		return "the body is not a JSON object";
	if (unknown_member(obj, names))
		return "the change has an unknown member";
	if (!id || !*id)
		return "id is missing";
	if (!json_is_integer(base) || json_integer_value(base) < 1)
		return "base_version is missing";
	p->msg.id = (char *)id;
	p->msg.base_version = (uint64_t)json_integer_value(base);
	if (comment)
		p->msg.comment = (char *)comment;
	error = parse_edits(json_object_get(obj, "edits"), p);
	return error ? error
		     : parse_left_out(json_object_get(obj, "left_out"), p);
}
