/*
 * mw-caller: a caller and load generator.
 *   mw-caller --entries=ip:port,... --prompt=TEXT      one generation
 *   mw-caller --entries=... --path=/svc/x --body=JSON  one plain call
 *   mw-caller --scenario=FILE                          load
 * One call prints "<event id> <text>" for each token, or the body, and a last
 * line with the result; the exit status is 0 if the answer was complete.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/cleanup.h"
#include "base/clock.h"
#include "base/log.h"
#include "standin/args.h"
#include "standin/call.h"
#include "standin/hist.h"
#include "standin/load.h"

static char *entries, *scenario_file, *result_file, *history;
static char *path = "/v1/completions", *method = "POST", *body, *prompt;
static char *model = "m1", *key, *key_file, *last_event_id, *idempotency_key;
static char **extra_headers;
static char *generation;
static int max_tokens = 256, tries = 4, timeout_ms, seed = -1, no_stream,
	   direct;
static int leave_after, retry_refused, retry_ms = 500;
static double duration_s, rate_scale = 1.0, slow_tokens_per_s;
static int exit_status = EXIT_FAILURE;

static void print_token(void *ctx, const char *id, const char *text,
			int64_t gap_us)
{
	(void)ctx;
	(void)gap_us;
	printf("%s %s\n", *id ? id : "-", text);
	fflush(stdout);
}

static void print_done(void *ctx, const struct call_result *r, const char *text)
{
	if (*text)
		printf("%s\n", text);
	printf("status=%d kind=%s outcome=%s tokens=%d attempts=%d resumes=%d "
	       "violations=%u\n",
	       r->status, r->kind, *r->outcome ? r->outcome : "-", r->tokens,
	       r->attempts, r->resumes, r->violations);
	if (!strcmp(r->kind, "ok") && !r->violations)
		exit_status = EXIT_SUCCESS;
	ev_break(ctx, EVBREAK_ALL);
}

static const struct call_ops print_ops = {NULL, print_token, print_done};

static char *generation_body(void)
{
	AUTO_JSON json_t *j =
		json_pack("{s:s,s:i,s:b}", "model", model, "max_tokens",
			  max_tokens, "stream", !no_stream);

	if (generation)
		json_object_set_new(j, "generation", json_string(generation));
	if (g_str_has_suffix(path, "/chat/completions"))
		json_object_set_new(j, "messages",
				    json_pack("[{s:s,s:s}]", "role", "user",
					      "content", prompt));
	else
		json_object_set_new(j, "prompt", json_string(prompt));
	return json_dumps(j, JSON_COMPACT);
}

static void one_call(struct ev_loop *loop)
{
	GPtrArray *h = g_ptr_array_new_with_free_func(g_free);
	g_autofree char *file_key = args_key(key_file);

	g_ptr_array_add(h, g_strdup("Content-Type"));
	g_ptr_array_add(h, g_strdup("application/json"));
	g_ptr_array_add(h, g_strdup("Authorization"));
	g_ptr_array_add(h, g_strdup_printf("Bearer %s", key ? key : file_key));
	if (idempotency_key) {
		g_ptr_array_add(h, g_strdup("Idempotency-Key"));
		g_ptr_array_add(h, g_strdup(idempotency_key));
	}
	for (char **x = extra_headers; x && *x; x++) {
		g_auto(GStrv) pair = g_strsplit(*x, ":", 2);
		if (!pair[0] || !pair[1])
			continue;
		g_ptr_array_add(h, g_strdup(pair[0]));
		g_ptr_array_add(h, g_strdup(g_strstrip(pair[1])));
	}
	g_ptr_array_add(h, NULL);
	AUTO_FREE char *made = prompt ? generation_body() : NULL;
	struct call_spec spec = {
		.method = method,
		.path = path,
		.body = made ? made : body,
		.headers = (const char *const *)h->pdata,
		.last_event_id = last_event_id,
		.is_generation = prompt != NULL,
		.stream = prompt && !no_stream,
		.tries = tries,
		.once = idempotency_key != NULL,
		.retry_ms = retry_ms,
		.retry_refused = retry_refused,
		.slow_tokens_per_s = slow_tokens_per_s,
		.leave_after = leave_after,
		.timeout_ms = timeout_ms,
		.scheduled = clock_mono_us(),
	};
	struct call_pool *pool = call_pool_new(loop, entries);
	call_start(pool, &spec, &print_ops, loop);
	ev_run(loop, 0);
	call_pool_free(pool);
	g_ptr_array_free(h, TRUE);
}

static void on_load_done(void *ctx, json_t *result)
{
	if (result_file)
		json_dump_file(result, result_file, JSON_INDENT(1));
	else
		json_dumpf(result, stdout, JSON_INDENT(1));
	exit_status = EXIT_SUCCESS;
	ev_break(ctx, EVBREAK_ALL);
}

static void load(struct ev_loop *loop)
{
	json_error_t err;
	AUTO_JSON json_t *scenario = json_load_file(scenario_file, 0, &err);
	struct load_options opt = {.entries = entries,
				   .duration_s = duration_s,
				   .rate_scale = rate_scale,
				   .seed = seed,
				   .direct = direct};

	if (!scenario) {
		log_error("load", "%s:%d: %s", scenario_file, err.line,
			  err.text);
		return;
	}
	static struct load *ld;
	ld = load_start(loop, scenario, &opt, hist_open(history), on_load_done,
			loop);
	if (ld)
		ev_run(loop, 0);
}

static const GOptionEntry options[] = {
	{"entries", 0, 0, G_OPTION_ARG_STRING, &entries, "entry hosts",
	 "IP:PORT,..."},
	{"scenario", 0, 0, G_OPTION_ARG_STRING, &scenario_file,
	 "load scenario (JSON)", "FILE"},
	{"result", 0, 0, G_OPTION_ARG_STRING, &result_file,
	 "result (JSON) of a load", "FILE"},
	{"history", 0, 0, G_OPTION_ARG_STRING, &history,
	 "history of calls and answers", "FILE"},
	{"duration-s", 0, 0, G_OPTION_ARG_DOUBLE, &duration_s,
	 "instead of the scenario's", "S"},
	{"rate-scale", 0, 0, G_OPTION_ARG_DOUBLE, &rate_scale,
	 "factor for all rates", "X"},
	{"seed", 0, 0, G_OPTION_ARG_INT, &seed, "instead of the scenario's",
	 "N"},
	{"direct", 0, 0, G_OPTION_ARG_NONE, &direct,
	 "the entries of a load are endpoints", NULL},
	{"path", 0, 0, G_OPTION_ARG_STRING, &path, "path", "PATH"},
	{"method", 0, 0, G_OPTION_ARG_STRING, &method, "method", "M"},
	{"body", 0, 0, G_OPTION_ARG_STRING, &body, "body of a plain call",
	 "JSON"},
	{"prompt", 0, 0, G_OPTION_ARG_STRING, &prompt, "asks for a generation",
	 "TEXT"},
	{"model", 0, 0, G_OPTION_ARG_STRING, &model, "model", "NAME"},
	{"generation", 0, 0, G_OPTION_ARG_STRING, &generation,
	 "generation id, if the entry is an endpoint", "ID"},
	{"max-tokens", 0, 0, G_OPTION_ARG_INT, &max_tokens, "most tokens", "N"},
	{"no-stream", 0, 0, G_OPTION_ARG_NONE, &no_stream, "one answer", NULL},
	{"key", 0, 0, G_OPTION_ARG_STRING, &key, "bearer key", "KEY"},
	{"key-file", 0, 0, G_OPTION_ARG_STRING, &key_file,
	 "file with the bearer key", "FILE"},
	{"header", 0, 0, G_OPTION_ARG_STRING_ARRAY, &extra_headers,
	 "another header, may be repeated", "NAME:VALUE"},
	{"idempotency-key", 0, 0, G_OPTION_ARG_STRING, &idempotency_key,
	 "once-only call with this key", "KEY"},
	{"last-event-id", 0, 0, G_OPTION_ARG_STRING, &last_event_id,
	 "resumes a stream", "ID"},
	{"tries", 0, 0, G_OPTION_ARG_INT, &tries, "attempts in all", "N"},
	{"retry-refused", 0, 0, G_OPTION_ARG_NONE, &retry_refused,
	 "send again what was refused as not run", NULL},
	{"retry-ms", 0, 0, G_OPTION_ARG_INT, &retry_ms,
	 "pause before a once-only call is sent again", "MS"},
	{"timeout-ms", 0, 0, G_OPTION_ARG_INT, &timeout_ms,
	 "of one attempt; 0: none", "MS"},
	{"slow-tokens-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &slow_tokens_per_s,
	 "reads slowly", "X"},
	{"leave-after", 0, 0, G_OPTION_ARG_INT, &leave_after,
	 "closes after so many tokens", "N"},
	{NULL, 0, 0, 0, NULL, NULL, NULL}};

int main(int argc, char **argv)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);

	args_parse(&argc, &argv, "Caller and load generator.", options);
	log_setup("mw-caller", LOG_INFO);
	signal(SIGPIPE, SIG_IGN);
	if (scenario_file) {
		load(loop);
	} else if (entries) {
		one_call(loop);
	} else {
		log_error("caller", "--entries or --scenario is missing");
		return 2;
	}
	return exit_status;
}
