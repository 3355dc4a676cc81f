#ifndef CLI_CLI_H
#define CLI_CLI_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <jansson.h>

#include "base/buf.h"

/*
 * The operator's tool, a client of docs/admin-api.md.
 *
 * cli_args.c parses flags and names the command, cli_http.c asks processes,
 * cli_tree.c, cli_fleet.c, cli_status.c and cli_timeline.c hold the commands,
 * cli_merge.c and cli_degraded.c what status says, cli_text.c tables and error
 * lines.  cli_check.c checks a file of settings with check_tree.c and prints
 * with check_report.c, which the check of published documents shares.
 */

#define CLI_VERSION "0.1"

enum cli_exit {
	CLI_OK = 0,
	CLI_REFUSED = 1,
	CLI_USAGE = 2,
	CLI_UNREACHABLE = 3,
	CLI_UNKNOWN = 4,
	CLI_DEGRADED = 5, /* status --check only */
	CLI_WARNINGS = 6, /* check only: warnings, no errors */
};

/* Flags; strings are NULL and numbers 0 if not given. */
struct cli {
	char *admin, *key_file;
	int json;
	int timeout; /* seconds for one request */
	char *base, *id, *comment;
	char **leave_out;
	int resolved;
	int end;
	int check;
	char *request, *endpoint, *account, *change, *since, *kind;

	char **addrs;	     /* of --admin */
	char *key;	     /* operator key */
	const char *command; /* name in the table of commands */
	char **words;	     /* words after the name of the command */
	int n_words;
	struct buf out, err; /* what is printed at the end */
	char error_kind[32]; /* of the last error, or "" */
};

/* Sets the error line and returns CLI_USAGE. */
int cli_usage(struct cli *c, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

struct cli_command {
	const char *name; /* one or two words */
	const char *args; /* for the usage text */
	const char *help;
	int min_words, max_words;
	bool local; /* asks no process */
	int (*run)(struct cli *c);
};

/*
 * Parses flags, environment and the command.  Returns the command, or NULL
 * with *status set: CLI_USAGE, or CLI_OK if help was asked for; c->err or
 * c->out holds the text.
 */
const struct cli_command *cli_parse(struct cli *c, int argc, char **argv,
				    int *status);

/* Reads the operator key; returns CLI_OK or CLI_USAGE. */
int cli_load_key(struct cli *c);
void cli_release(struct cli *c);

/* Prints output, errors and hint, releases c; returns the exit status. */
int cli_finish(struct cli *c, int status);
/* Parses and runs; prints; returns the exit status. */
int cli_main(int argc, char **argv);

/* ---- HTTP --------------------------------------------------------------- */

struct cli_call {
	char addr[64]; /* "ip:port" */
	char *path;    /* with query, without host */
	char *body;    /* JSON, NULL for GET */

	int status;	 /* HTTP status, 0 without an answer */
	bool sent;	 /* the request may have been received */
	json_t *json;	 /* answer, NULL if it is not JSON */
	char error[256]; /* why there is no answer */
};

#define CLI_AUTO_CALL __attribute__((cleanup(cli_call_release)))

void cli_call_release(struct cli_call *call);

/* Runs all calls in parallel; each gets an answer or an error. */
void cli_fetch(const struct cli *c, struct cli_call *calls, size_t n);

/*
 * Asks the addresses of --admin one after another until one can be reached.
 * body is consumed; NULL means GET.  On an error or a refusal sets the error
 * line and returns the exit status; on success CLI_OK and *json, which the
 * caller owns.
 */
int cli_ask(struct cli *c, const char *path, json_t *body, json_t **json);

/* As cli_ask(), for one given address. */
int cli_ask_at(struct cli *c, const char *addr, const char *path, json_t *body,
	       json_t **json);

/*
 * Processes that the first reachable one knows, as an array of {"host","dc",
 * "role","admin_addr"}; status may be NULL or gets its /admin/status.
 */
int cli_processes(struct cli *c, json_t **processes);

/*
 * Asks each process for a path.  Returns an array of answers, and adds the
 * names of those without a valid answer to silent.
 */
json_t *cli_ask_all(struct cli *c, const json_t *processes, const char *path,
		    json_t *silent);

/* Appends name=value to the query of a path; value NULL appends nothing. */
void cli_query_add(struct buf *path, const char *name, const char *value);

/*
 * Exit status of an answered or failed call; changing says whether the
 * request would have had an effect.  line gets one line that says why.
 */
int cli_outcome(const struct cli_call *call, bool changing, struct buf *line);

/* ---- text --------------------------------------------------------------- */

/* Value of a member as text; "" if missing. */
const char *cli_str(const json_t *o, const char *key);
int64_t cli_int(const json_t *o, const char *key);

#define CLI_COLUMNS_MAX 16

/* A row has as many cells as the head; columns are as wide as needed. */
struct cli_table;
struct cli_table *cli_table_new(const char *const *head, size_t columns);
void cli_table_add(struct cli_table *t, const char *const *cells);
void cli_table_print(struct cli_table *t, struct buf *out); /* releases t */

/* Appends JSON as indented text with a newline. */
void cli_print_json(struct buf *out, const json_t *json);

/* Appends "no answer from a, b" to the error lines, if there are names. */
void cli_name_silent(struct cli *c, const json_t *silent);

/*
 * What to do next after an error, by its kind and the command; NULL if the
 * error line says it.
 */
const char *cli_hint(const struct cli *c, int status);

/* Sets the kind of the last error. */
void cli_set_kind(struct cli *c, const char *kind);

/* Continues the error line, without the dot that it may end with. */
void cli_go_on(struct cli *c, const char *text);

/* Print how an endpoint or a change is now; false if nobody knows it. */
bool cli_now_endpoint(struct cli *c, const json_t *processes, const char *id);
bool cli_now_change(struct cli *c, const json_t *processes, const char *id);

/* Compact JSON text; the caller frees it. */
char *cli_json_text(const json_t *json);

/* Lists names as "a, b, c". */
void cli_join(struct buf *out, const json_t *names);

/* ---- pure parts of commands --------------------------------------------- */

/* JSON if the text is valid JSON, otherwise a string. */
json_t *cli_parse_value(const char *text);

/*
 * Edits from a JSON document: {"<path>": {"<key>": value}} sets keys and a
 * null value unsets them; {"<path>": null} removes a node.  Returns NULL and
 * sets *why if the form is wrong.
 */
json_t *cli_edits_from_json(const json_t *doc, const char **why);

/*
 * Differences of two trees ({"nodes":...}) as [{"path","key","old","now"}],
 * sorted; a missing member means unset.
 */
json_t *cli_tree_diff(const json_t *a, const json_t *b);

/* Time in seconds since 1970 from such a number or an age ("90s", "10m"). */
int cli_parse_since(const char *text, int64_t now_us, char *out, size_t size);

/*
 * Random id of a change or order, as hex; in c->id if none was given.
 * Returns whether it is new.
 */
bool cli_set_id(struct cli *c);

/* Body of an order; command is "order load-model" and so on. */
json_t *cli_order_body(const char *command, char *const *words, const char *id);

/* Commands, in the table of cli_args.c. */
int cli_tree_get(struct cli *c);
int cli_tree_set(struct cli *c);
int cli_tree_unset(struct cli *c);
int cli_tree_apply(struct cli *c);
int cli_tree_diff_cmd(struct cli *c);
int cli_tree_history(struct cli *c);
int cli_check(struct cli *c);
int cli_status(struct cli *c);
int cli_endpoints(struct cli *c);
int cli_timeline(struct cli *c);
int cli_explain(struct cli *c);
int cli_drain(struct cli *c);
int cli_evacuate(struct cli *c);
int cli_host_remove(struct cli *c);
int cli_voter_add(struct cli *c);
int cli_voter_remove(struct cli *c);
int cli_voter_list(struct cli *c);
int cli_order(struct cli *c);
int cli_key_new(struct cli *c);
int cli_key_hash(struct cli *c);
int cli_version(struct cli *c);

#endif
