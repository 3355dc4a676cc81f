#include "cli/cli.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <glib.h>
#include <sodium.h>

#define ENV_PREFIX "MUSTARDWALL_"
#define DEFAULT_ADMIN "127.0.0.1:7070"
#define DEFAULT_TIMEOUT_S 10
#define KEY_MAX_BYTES 4096

static const struct cli_command commands[] = {
	{"tree get", "[PATH [KEY]]", "show settings", 0, 2, 0, cli_tree_get},
	{"tree set", "PATH KEY VALUE", "change one setting", 3, 3, 0,
	 cli_tree_set},
	{"tree unset", "PATH [KEY]", "remove a setting or a node", 1, 2, 0,
	 cli_tree_unset},
	{"tree apply", "FILE", "apply a JSON object of edits as one change", 1,
	 1, 0, cli_tree_apply},
	{"tree diff", "VERSION [VERSION]", "compare versions", 1, 2, 0,
	 cli_tree_diff_cmd},
	{"tree history", "", "show the last changes", 0, 0, 0,
	 cli_tree_history},
	{"check", "FILE",
	 "check a file of settings or edits before it is sent; with --admin, "
	 "show what it changes",
	 1, 1, 1, cli_check},
	{"status", "", "show the fleet, what is cut off and what is degraded",
	 0, 0, 0, cli_status},
	{"endpoints", "", "show all endpoints", 0, 0, 0, cli_endpoints},
	{"timeline", "", "show events of all processes", 0, 0, 0, cli_timeline},
	{"explain", "request|endpoint|change ID", "tell what happened", 2, 2, 0,
	 cli_explain},
	{"drain", "[HOST]", "shut a process down gracefully", 0, 1, 0,
	 cli_drain},
	{"evacuate", "DC",
	 "send nothing more to the endpoints of a data centre", 1, 1, 0,
	 cli_evacuate},
	{"host remove", "HOST", "deregister a host that is gone", 1, 1, 0,
	 cli_host_remove},
	{"voter add", "ID IP:PORT", "add a control process", 2, 2, 0,
	 cli_voter_add},
	{"voter remove", "ID", "remove a control process", 1, 1, 0,
	 cli_voter_remove},
	{"voter list", "", "show the control group", 0, 0, 0, cli_voter_list},
	{"order load-model", "ENDPOINT MODEL", "load a model", 2, 2, 0,
	 cli_order},
	{"order load-adapter", "ENDPOINT MODEL ADAPTER", "load an adapter", 3,
	 3, 0, cli_order},
	{"order load-version", "ENDPOINT MODEL VERSION",
	 "load another version of a model", 3, 3, 0, cli_order},
	{"order set-role", "ENDPOINT ROLE", "change the role of an endpoint", 2,
	 2, 0, cli_order},
	{"key new", "", "make a random key and print it once", 0, 0, 1,
	 cli_key_new},
	{"key hash", "FILE", "print the hash of the key in a file", 1, 1, 1,
	 cli_key_hash},
	{"version", "", "show the version of this tool", 0, 0, 1, cli_version},
};

int cli_usage(struct cli *c, const char *fmt, ...)
{
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	buf_addstr(&c->err, text);
	return CLI_USAGE;
}

/* MUSTARDWALL_LEAVE_OUT for "leave-out". */
static const char *env_value(const char *flag)
{
	g_autofree char *name = g_strconcat(ENV_PREFIX, flag, NULL);

	for (char *p = name; *p; p++)
		*p = *p == '-' ? '_' : g_ascii_toupper(*p);
	const char *value = g_getenv(name);
	return value && *value ? value : NULL;
}

/* Fills flags that were not given from the environment. */
static int apply_env(struct cli *c, const GOptionEntry *entries)
{
	for (const GOptionEntry *e = entries; e->long_name; e++) {
		const char *value = env_value(e->long_name);
		guint64 n = 0;
		if (!value)
			continue;
		if (!g_utf8_validate(value, -1, NULL))
			return cli_usage(c, "--%s: not UTF-8", e->long_name);
		if (e->arg == G_OPTION_ARG_FILENAME) {
			char **field = e->arg_data;
			if (!*field)
				*field = g_strdup(value);
		} else if (e->arg == G_OPTION_ARG_FILENAME_ARRAY) {
			char ***field = e->arg_data;
			if (!*field)
				*field = g_strsplit(value, ",", -1);
		} else {
			int *field = e->arg_data;
			if (!g_ascii_string_to_unsigned(value, 10, 0, INT_MAX,
							&n, NULL))
				return cli_usage(c, "--%s: %s is no number",
						 e->long_name, value);
			if (!*field)
				*field = (int)n;
		}
	}
	return CLI_OK;
}

/* GLib leaves a "--" that protects words such as -5 where it is. */
static int drop_separator(int argc, char **argv)
{
	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], "--") != 0)
			continue;
		memmove(&argv[i], &argv[i + 1],
			(size_t)(argc - i - 1) * sizeof(*argv));
		return argc - 1;
	}
	return argc;
}

static const struct cli_command *find_command(struct cli *c, int argc,
					      char **argv)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		const struct cli_command *cmd = &commands[i];
		g_auto(GStrv) parts = g_strsplit(cmd->name, " ", -1);
		int n = (int)g_strv_length(parts);
		int same = argc - 1 >= n;
		for (int w = 0; same && w < n; w++)
			same = !strcmp(parts[w], argv[w + 1]);
		if (!same)
			continue;
		c->command = cmd->name;
		c->n_words = argc - 1 - n;
		c->words = g_new0(char *, (size_t)c->n_words + 1);
		for (int w = 0; w < c->n_words; w++)
			c->words[w] = g_strdup(argv[1 + n + w]);
		if (c->n_words < cmd->min_words ||
		    c->n_words > cmd->max_words) {
			cli_usage(c, "usage: mustardwall %s%s%s", cmd->name,
				  *cmd->args ? " " : "", cmd->args);
			return NULL;
		}
		return cmd;
	}
	if (argc > 1)
		cli_usage(c, "unknown command '%s'; see mustardwall --help",
			  argv[1]);
	else
		cli_usage(c, "no command; see mustardwall --help");
	return NULL;
}

static char *command_list(void)
{
	GString *s = g_string_new("Commands:\n");

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		g_autofree char *call = g_strdup_printf(
			"%s %s", commands[i].name, commands[i].args);
		g_string_append_printf(s, "  %-36s %s\n", call,
				       commands[i].help);
	}
	g_string_append(s, "\nEach flag has an environment variable, such as "
			   "MUSTARDWALL_KEY_FILE.\nExit status: 0 success, 1 "
			   "refused, 2 usage, 3 not reachable, 4 outcome "
			   "unknown,\n5 something is degraded (status "
			   "--check), 6 warnings only (check).");
	return g_string_free(s, FALSE);
}

static int check_flags(struct cli *c)
{
	guint64 n;

	if (!c->timeout)
		c->timeout = DEFAULT_TIMEOUT_S;
	if (c->timeout < 0)
		return cli_usage(c, "--timeout: must be above 0");
	if (c->base &&
	    !g_ascii_string_to_unsigned(c->base, 10, 1, INT64_MAX, &n, NULL))
		return cli_usage(c, "--base: '%s' is no version", c->base);
	c->addrs = g_strsplit(c->admin ? c->admin : DEFAULT_ADMIN, ",", -1);
	for (char **a = c->addrs; *a; a++)
		if (!strchr(*a, ':') || strpbrk(*a, "/?#@ "))
			return cli_usage(c, "--admin: '%s' is not IP:PORT", *a);
	if (!c->addrs[0])
		return cli_usage(c, "--admin names no process");
	return CLI_OK;
}

const struct cli_command *cli_parse(struct cli *c, int argc, char **argv,
				    int *status)
{
	int help = 0;
	const GOptionEntry entries[] = {
		{"admin", 'a', 0, G_OPTION_ARG_FILENAME, &c->admin,
		 "admin addresses, asked in turn (" DEFAULT_ADMIN ")",
		 "IP:PORT,..."},
		{"key-file", 'k', 0, G_OPTION_ARG_FILENAME, &c->key_file,
		 "file with the operator key", "FILE"},
		{"json", 'j', 0, G_OPTION_ARG_NONE, &c->json,
		 "print JSON for scripts", NULL},
		{"timeout", 't', 0, G_OPTION_ARG_INT, &c->timeout,
		 "seconds for one request (10)", "S"},
		{"base", 0, 0, G_OPTION_ARG_FILENAME, &c->base,
		 "version that a change is made from (the current one)",
		 "VERSION"},
		{"id", 0, 0, G_OPTION_ARG_FILENAME, &c->id,
		 "id of a change or order, to send it again (random)", "ID"},
		{"leave-out", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &c->leave_out,
		 "data centre that need not take the change; repeatable", "DC"},
		{"comment", 0, 0, G_OPTION_ARG_FILENAME, &c->comment,
		 "comment on a change", "TEXT"},
		{"resolved", 0, 0, G_OPTION_ARG_NONE, &c->resolved,
		 "with inherited values and defaults", NULL},
		{"check", 0, 0, G_OPTION_ARG_NONE, &c->check,
		 "status: print only what is degraded; exit status 5 if "
		 "anything is",
		 NULL},
		{"end", 0, 0, G_OPTION_ARG_NONE, &c->end,
		 "evacuate: withdraw the order", NULL},
		{"request", 0, 0, G_OPTION_ARG_FILENAME, &c->request,
		 "events of a request", "ID"},
		{"endpoint", 0, 0, G_OPTION_ARG_FILENAME, &c->endpoint,
		 "events of an endpoint", "ID"},
		{"account", 0, 0, G_OPTION_ARG_FILENAME, &c->account,
		 "events of a client account", "NAME"},
		{"change", 0, 0, G_OPTION_ARG_FILENAME, &c->change,
		 "events of a change", "ID"},
		{"since", 0, 0, G_OPTION_ARG_FILENAME, &c->since,
		 "events since a time (seconds since 1970) or age (10m)",
		 "TIME"},
		{"kind", 0, 0, G_OPTION_ARG_FILENAME, &c->kind,
		 "events of a kind", "KIND"},
		{"help", 'h', 0, G_OPTION_ARG_NONE, &help, "show this text",
		 NULL},
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	g_autoptr(GOptionContext) ctx = g_option_context_new("COMMAND");
	g_autofree char *list = command_list();
	g_autoptr(GError) error = NULL;

	g_option_context_set_description(ctx, list);
	g_option_context_set_help_enabled(ctx, FALSE);
	g_option_context_add_main_entries(ctx, entries, NULL);
	*status = CLI_USAGE;
	/*
	 * Checked here, and not by GLib, which would need a locale: all of it
	 * may become part of JSON.
	 */
	for (int i = 1; i < argc; i++) {
		if (!g_utf8_validate(argv[i], -1, NULL)) {
			cli_usage(c, "argument %d is not UTF-8", i);
			return NULL;
		}
	}
	if (!g_option_context_parse(ctx, &argc, &argv, &error)) {
		cli_usage(c, "%s", error->message);
		return NULL;
	}
	if (help) {
		g_autofree char *text =
			g_option_context_get_help(ctx, TRUE, NULL);
		buf_addstr(&c->out, text);
		*status = CLI_OK;
		return NULL;
	}
	if (apply_env(c, entries) || check_flags(c))
		return NULL;
	argc = drop_separator(argc, argv);
	return find_command(c, argc, argv);
}

int cli_load_key(struct cli *c)
{
	g_autofree char *text = NULL;
	struct stat st;

	if (!c->key_file)
		return cli_usage(c, "--key-file is missing");
	if (stat(c->key_file, &st) < 0)
		return cli_usage(c, "--key-file: cannot read %s", c->key_file);
	if (st.st_mode & (S_IRWXG | S_IRWXO))
		return cli_usage(c, "--key-file: other users may access %s",
				 c->key_file);
	if (st.st_size > KEY_MAX_BYTES ||
	    !g_file_get_contents(c->key_file, &text, NULL, NULL))
		return cli_usage(c, "--key-file: cannot read %s", c->key_file);
	g_strstrip(text);
	for (const char *p = text; *p; p++)
		if (*p <= ' ' || *p > '~')
			return cli_usage(c, "--key-file: %s holds no key",
					 c->key_file);
	if (!*text)
		return cli_usage(c, "--key-file: %s is empty", c->key_file);
	c->key = g_steal_pointer(&text);
	return CLI_OK;
}

void cli_release(struct cli *c)
{
	char *strings[] = {c->admin,   c->key_file, c->base,	 c->id,
			   c->comment, c->request,  c->endpoint, c->account,
			   c->change,  c->since,    c->kind};

	for (size_t i = 0; i < G_N_ELEMENTS(strings); i++)
		g_free(strings[i]);
	if (c->key)
		sodium_memzero(c->key, strlen(c->key));
	g_free(c->key);
	g_strfreev(c->leave_out);
	g_strfreev(c->addrs);
	g_strfreev(c->words);
	buf_release(&c->out);
	buf_release(&c->err);
	memset(c, 0, sizeof(*c));
}

int cli_finish(struct cli *c, int status)
{
	if (c->out.len)
		fwrite(c->out.data, 1, c->out.len, stdout);
	g_auto(GStrv) lines =
		g_strsplit(c->err.len ? buf_head(&c->err) : "", "\n", -1);
	for (char **line = lines; *line; line++)
		if (**line)
			fprintf(stderr, "mustardwall: %s\n", *line);
	const char *hint = cli_hint(c, status);
	if (hint)
		fprintf(stderr, "mustardwall: next: %s\n", hint);
	if (fflush(stdout) != 0 && status == CLI_OK)
		status = CLI_REFUSED;
	cli_release(c);
	return status;
}

int cli_main(int argc, char **argv)
{
	struct cli c = {0};
	int status = CLI_OK;
	const struct cli_command *cmd = cli_parse(&c, argc, argv, &status);

	if (cmd)
		status = cmd->local ? CLI_OK : cli_load_key(&c);
	if (cmd && status == CLI_OK)
		status = cmd->run(&c);
	return cli_finish(&c, status);
}
