#include "standin/reply.h"

#include <string.h>

#include "base/cleanup.h"

static void reply(struct httpd_req *req, int status, int not_run, json_t *body)
{
	const char *const headers[] = {"Content-Type", "application/json",
				       not_run ? "X-Not-Run" : NULL, "1", NULL};
	AUTO_FREE char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	httpd_reply(req, status, headers, text, strlen(text));
}

void reply_json(struct httpd_req *req, int status, json_t *body)
{
	reply(req, status, 0, body);
}

void reply_error(struct httpd_req *req, int status, int not_run,
		 const char *kind, const char *message)
{
	reply(req, status, not_run,
	      json_pack("{s:{s:s,s:s}}", "error", "kind", kind, "message",
			message));
}

json_t *reply_parse(const struct httpd_req *req)
{
	size_t len;
	const char *body = httpd_body(req, &len);
	json_t *j = json_loadb(body, len, 0, NULL);

	if (json_is_object(j))
		return j;
	json_decref(j);
	return NULL;
}

const char *json_str(const json_t *o, const char *key, const char *def)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s ? s : def;
}

json_int_t json_int(const json_t *o, const char *key, json_int_t def)
{
	const json_t *v = json_object_get(o, key);

	return json_is_integer(v) ? json_integer_value(v) : def;
}

double json_num(const json_t *o, const char *key, double def)
{
	const json_t *v = json_object_get(o, key);

	return json_is_number(v) ? json_number_value(v) : def;
}
