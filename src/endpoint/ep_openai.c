#include "endpoint/ep.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "base/cleanup.h"
#include "base/err.h"

/*
 * The protocol in docs/endpoint-protocol.md: HTTP with JSON bodies and
 * server-sent events, modelled on the OpenAI API.
 */

#define LIST_MAX_STRINGS 64

static void request_init(struct ep_request *r, const char *method)
{
	memset(r, 0, sizeof(*r));
	r->method = method;
}

static int request_set_json(struct ep_request *r, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	if (!text)
		return -MW_EINVAL;
	buf_addstr(&r->body, text);
	free(text);
	return 0;
}

static int openai_submit(const struct ep_submit *s, struct ep_request *out)
{
	AUTO_JSON json_t *body = json_pack(
		"{s:s, s:b, s:s, s:i, s:I}", "model", s->model, "stream", 1,
		"generation", s->generation, "priority", (int)s->priority,
		"max_tokens", (json_int_t)s->max_tokens);

	if (!body)
		return -MW_EINVAL;
	if (s->messages)
		json_object_set(body, "messages", s->messages);
	else
		json_object_set_new(body, "prompt", json_string(s->prompt));
	if (s->adapter)
		json_object_set_new(body, "adapter", json_string(s->adapter));
	request_init(out, "POST");
	g_strlcpy(out->path, "/v1/completions", sizeof(out->path));
	return request_set_json(out, body);
}

static int openai_resume(const char *generation, uint64_t from,
			 struct ep_request *out)
{
	request_init(out, "GET");
	snprintf(out->path, sizeof(out->path),
		 "/v1/generations/%s?from=%" PRIu64, generation, from);
	return 0;
}

static int openai_cancel(const char *generation, uint64_t reader,
			 struct ep_request *out)
{
	request_init(out, "DELETE");
	snprintf(out->path, sizeof(out->path),
		 "/v1/generations/%s?reader=%" PRIu64, generation, reader);
	return 0;
}

static void set_optional(json_t *obj, const char *key, const char *value)
{
	if (value && *value)
		json_object_set_new(obj, key, json_string(value));
}

static int openai_order(const struct ep_order *o, struct ep_request *out)
{
	AUTO_JSON json_t *body =
		json_pack("{s:s, s:s, s:I}", "order_id", o->order_id, "order",
			  o->order, "fence", (json_int_t)o->fence);

	if (!body)
		return -MW_EINVAL;
	set_optional(body, "model", o->model);
	set_optional(body, "adapter", o->adapter);
	set_optional(body, "version", o->version);
	set_optional(body, "role", o->role);
	request_init(out, "POST");
	g_strlcpy(out->path, "/v1/orders", sizeof(out->path));
	return request_set_json(out, body);
}

static int openai_probe(struct ep_request *out)
{
	request_init(out, "GET");
	g_strlcpy(out->path, "/v1/health", sizeof(out->path));
	return 0;
}

static json_t *parse_object(const char *data, size_t len)
{
	json_t *obj = json_loadb(data, len, JSON_REJECT_DUPLICATES, NULL);

	if (json_is_object(obj))
		return obj;
	json_decref(obj);
	return NULL;
}

/* Reads an optional integer member from 0 to max; a missing one gives 0. */
static int get_uint(json_t *obj, const char *key, uint64_t max, uint64_t *out)
{
	json_t *v = json_object_get(obj, key);

	*out = 0;
	if (!v)
		return 0;
	if (!json_is_integer(v) || json_integer_value(v) < 0 ||
	    (uint64_t)json_integer_value(v) > max)
		return -MW_EINVAL;
	*out = (uint64_t)json_integer_value(v);
	return 0;
}

static int get_u32(json_t *obj, const char *key, uint32_t *out)
{
	uint64_t v;
	int r = get_uint(obj, key, UINT32_MAX, &v);

	*out = (uint32_t)v;
	return r;
}

/* Parses the optional part of a load report about one generation. */
static int parse_generation_load(json_t *obj, struct ep_load *load)
{
	const char *g = json_string_value(json_object_get(obj, "g"));
	json_t *stalled = json_object_get(obj, "stalled");

	if (!obj)
		return 0;
	if (!g || strlen(g) != EP_GENERATION_CHARS ||
	    (stalled && !json_is_boolean(stalled)) ||
	    get_uint(obj, "preemptions", INT64_MAX, &load->preemptions) < 0 ||
	    get_uint(obj, "stall_us", INT64_MAX, &load->stall_us) < 0)
		return -MW_EINVAL;
	memcpy(load->generation, g, EP_GENERATION_CHARS);
	load->stalled = json_is_true(stalled);
	return 0;
}

static int parse_load(json_t *obj, struct ep_load *load)
{
	const char *state = json_string_value(json_object_get(obj, "state"));

	load->leaving = state && !strcmp(state, "leaving");
	if (get_u32(obj, "running", &load->running) < 0 ||
	    get_u32(obj, "waiting", &load->waiting) < 0 ||
	    get_u32(obj, "blocks_used", &load->blocks_used) < 0 ||
	    get_u32(obj, "blocks", &load->blocks) < 0)
		return -MW_EINVAL;
	return parse_generation_load(json_object_get(obj, "generation"), load);
}

static int parse_usage(json_t *obj, struct ep_usage *u)
{
	if (!obj)
		return 0;
	if (get_uint(obj, "prompt_tokens", INT64_MAX, &u->prompt_tokens) < 0 ||
	    get_uint(obj, "completion_tokens", INT64_MAX,
		     &u->completion_tokens) < 0 ||
	    get_uint(obj, "cached_tokens", INT64_MAX, &u->cached_tokens) < 0 ||
	    get_uint(obj, "preemptions", INT64_MAX, &u->preemptions) < 0 ||
	    get_uint(obj, "stall_us", INT64_MAX, &u->stall_us) < 0)
		return -MW_EINVAL;
	return 0;
}

static int parse_token(json_t *obj, struct ep_event *out)
{
	const char *g = json_string_value(json_object_get(obj, "g"));
	json_t *t = json_object_get(obj, "t");
	const char *fin = json_string_value(json_object_get(obj, "fin"));

	if (!g || strlen(g) != EP_GENERATION_CHARS)
		return -MW_EINVAL;
	if (!json_is_integer(json_object_get(obj, "i")) ||
	    get_uint(obj, "i", INT64_MAX, &out->index) < 0)
		return -MW_EINVAL;
	if (t &&
	    (!json_is_string(t) || json_string_length(t) > EP_TEXT_MAX_BYTES))
		return -MW_EINVAL;
	if (fin && (!*fin || strlen(fin) >= sizeof(out->fin)))
		return -MW_EINVAL;
	if (parse_usage(json_object_get(obj, "usage"), &out->usage) < 0)
		return -MW_EINVAL;
	out->kind = EP_TOKEN;
	memcpy(out->generation, g, EP_GENERATION_CHARS);
	if (fin)
		g_strlcpy(out->fin, fin, sizeof(out->fin));
	out->text = t ? g_strdup(json_string_value(t)) : NULL;
	return 0;
}

static int openai_parse_event(const char *type, const char *data, size_t len,
			      struct ep_event *out)
{
	memset(out, 0, sizeof(*out));
	out->kind = EP_OTHER;
	if (len == 6 && !memcmp(data, "[DONE]", 6))
		return 0;
	if (*type && strcmp(type, "load") != 0 && strcmp(type, "message") != 0)
		return 0;
	AUTO_JSON json_t *obj = parse_object(data, len);
	if (!obj)
		return -MW_EINVAL;
	if (strcmp(type, "load") != 0)
		return parse_token(obj, out);
	out->kind = EP_LOAD;
	return parse_load(obj, &out->load);
}

static int openai_parse_refusal(int status, bool not_run_header,
				const char *body, size_t len,
				struct ep_refusal *out)
{
	memset(out, 0, sizeof(*out));
	out->not_run = not_run_header && status >= 400;
	AUTO_JSON json_t *obj = parse_object(body, len);
	const char *kind = json_string_value(
		json_object_get(json_object_get(obj, "error"), "kind"));
	g_strlcpy(out->kind, kind ? kind : "error", sizeof(out->kind));
	return 0;
}

/*
 * Copies a string member.  A missing one leaves out unchanged, or is an error
 * if the member is required.
 */
static int get_string(json_t *obj, const char *key, bool required, char **out)
{
	json_t *v = json_object_get(obj, key);

	if (!v)
		return required ? -MW_EINVAL : 0;
	if (!json_is_string(v) || json_string_length(v) > 256 ||
	    strlen(json_string_value(v)) != json_string_length(v))
		return -MW_EINVAL;
	*out = g_strdup(json_string_value(v));
	return 0;
}

static int get_string_list(json_t *obj, const char *key, size_t *n, char ***out)
{
	json_t *array = json_object_get(obj, key), *v;
	size_t i;

	if (!array)
		return 0;
	if (!json_is_array(array) || json_array_size(array) > LIST_MAX_STRINGS)
		return -MW_EINVAL;
	*out = g_new0(char *, json_array_size(array) + 1);
	json_array_foreach(array, i, v)
	{
		if (!json_is_string(v) || json_string_length(v) > 128)
			return -MW_EINVAL;
		(*out)[(*n)++] = g_strdup(json_string_value(v));
	}
	return 0;
}

static bool is_in_list(const char *s, const char *const *names)
{
	for (; *names; names++)
		if (!strcmp(s, *names))
			return true;
	return false;
}

static int parse_announce_object(json_t *obj, Mw__EndpointInfo *out)
{
	static const char *const kinds[] = {"model", "service", NULL};
	static const char *const states[] = {"serving", "loading", "leaving",
					     NULL};
	struct ep_load load = {0};
	json_t *l = json_object_get(obj, "load");

	if (get_string(obj, "id", true, &out->id) < 0 ||
	    get_string(obj, "addr", true, &out->addr) < 0 ||
	    get_string(obj, "dc", true, &out->dc) < 0 ||
	    get_string(obj, "kind", true, &out->kind) < 0 ||
	    get_string(obj, "state", true, &out->state) < 0 ||
	    get_string(obj, "role", false, &out->role) < 0 ||
	    get_string(obj, "model_version", false, &out->model_version) < 0 ||
	    get_string_list(obj, "models", &out->n_models, &out->models) < 0 ||
	    get_string_list(obj, "adapters", &out->n_adapters, &out->adapters) <
		    0 ||
	    get_uint(obj, "incarnation", INT64_MAX, &out->incarnation) < 0 ||
	    get_uint(obj, "seq", INT64_MAX, &out->seq) < 0 ||
	    get_u32(obj, "blocks", &out->blocks) < 0 ||
	    get_u32(obj, "block_tokens", &out->block_tokens) < 0 ||
	    get_u32(obj, "max_batch", &out->max_batch) < 0)
		return -MW_EINVAL;
	if (l && parse_load(l, &load) < 0)
		return -MW_EINVAL;
	if (!ep_id_is_valid(out->id) || !ep_id_is_valid(out->dc) ||
	    strncmp(out->addr, "http://", 7) != 0 ||
	    !is_in_list(out->kind, kinds) || !is_in_list(out->state, states) ||
	    !out->incarnation)
		return -MW_EINVAL;
	if (!strcmp(out->kind, "model") && (!out->blocks || !out->block_tokens))
		return -MW_EINVAL;
	out->running = load.running;
	out->waiting = load.waiting;
	out->blocks_used = load.blocks_used;
	return 0;
}

static int openai_parse_announce(const char *body, size_t len,
				 Mw__EndpointInfo *out)
{
	mw__endpoint_info__init(out);
	AUTO_JSON json_t *obj = parse_object(body, len);
	if (!obj)
		return -MW_EINVAL;
	int r = parse_announce_object(obj, out);
	if (r < 0)
		ep_info_release(out);
	return r;
}

static int openai_parse_leave(const char *body, size_t len, Mw__LeaveFwd *out)
{
	mw__leave_fwd__init(out);
	AUTO_JSON json_t *obj = parse_object(body, len);
	if (!obj)
		return -MW_EINVAL;
	if (get_string(obj, "id", true, &out->id) < 0 ||
	    get_string(obj, "dc", true, &out->dc) < 0 ||
	    get_uint(obj, "incarnation", INT64_MAX, &out->incarnation) < 0 ||
	    get_uint(obj, "seq", INT64_MAX, &out->seq) < 0 ||
	    get_uint(obj, "deadline_ms", INT64_MAX, &out->deadline_ms) < 0 ||
	    !ep_id_is_valid(out->id) || !ep_id_is_valid(out->dc)) {
		ep_leave_release(out);
		return -MW_EINVAL;
	}
	return 0;
}

static int parse_cache_event(json_t *v, struct ep_cache_event *out)
{
	const char *op = json_string_value(json_object_get(v, "op"));
	const char *hash = json_string_value(json_object_get(v, "hash"));
	char *end;

	if (!op || !hash || strlen(hash) != 16 ||
	    get_uint(v, "seq", INT64_MAX, &out->seq) < 0)
		return -MW_EINVAL;
	out->hash = g_ascii_strtoull(hash, &end, 16);
	if (*end)
		return -MW_EINVAL;
	out->removed = !strcmp(op, "remove");
	if (!out->removed && strcmp(op, "add") != 0)
		return -MW_EINVAL;
	return 0;
}

static int openai_parse_cache_events(const char *body, size_t len, char *id,
				     uint64_t *incarnation,
				     struct ep_cache_event *events)
{
	AUTO_JSON json_t *obj = parse_object(body, len);
	json_t *array = json_object_get(obj, "events"), *v;
	const char *name = json_string_value(json_object_get(obj, "id"));
	size_t i;

	if (!name || !ep_id_is_valid(name) || !json_is_array(array) ||
	    json_array_size(array) > EP_CACHE_EVENTS_MAX ||
	    get_uint(obj, "incarnation", INT64_MAX, incarnation) < 0)
		return -MW_EINVAL;
	g_strlcpy(id, name, EP_ID_CHARS + 1);
	json_array_foreach(array, i, v)
	{
		if (parse_cache_event(v, &events[i]) < 0)
			return -MW_EINVAL;
	}
	return (int)json_array_size(array);
}

const struct ep_ops ep_openai = {
	.name = "openai",
	.submit = openai_submit,
	.resume = openai_resume,
	.cancel = openai_cancel,
	.order = openai_order,
	.probe = openai_probe,
	.parse_event = openai_parse_event,
	.parse_refusal = openai_parse_refusal,
	.parse_announce = openai_parse_announce,
	.parse_leave = openai_parse_leave,
	.parse_cache_events = openai_parse_cache_events,
};
