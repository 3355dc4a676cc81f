#ifndef STANDIN_REPLY_H
#define STANDIN_REPLY_H

#include <jansson.h>

#include "net/httpd.h"

/* Answers with JSON; takes over the reference to body. */
void reply_json(struct httpd_req *req, int status, json_t *body);

/* Answers with an error object; not_run adds "X-Not-Run: 1". */
void reply_error(struct httpd_req *req, int status, int not_run,
		 const char *kind, const char *message);

/* Parses the body as a JSON object; NULL if it is none. */
json_t *reply_parse(const struct httpd_req *req);

/* Returns a member, or the given default if it is absent or of another type. */
const char *json_str(const json_t *o, const char *key, const char *def);
json_int_t json_int(const json_t *o, const char *key, json_int_t def);
double json_num(const json_t *o, const char *key, double def);

#endif
