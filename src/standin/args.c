#include "standin/args.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"

/* What args_parse() made; freed at exit, as options may point into it. */
static GPtrArray *owned;

static void free_owned(void)
{
	g_ptr_array_free(owned, TRUE);
}

static char *env_name(const char *option)
{
	char *s = g_strconcat("MW_", option, NULL);

	for (char *p = s; *p; p++)
		*p = *p == '-' ? '_' : g_ascii_toupper(*p);
	return s;
}

void args_parse(int *argc, char ***argv, const char *summary,
		const GOptionEntry *entries)
{
	g_autoptr(GOptionContext) ctx = g_option_context_new(NULL);
	g_autoptr(GError) err = NULL;
	GPtrArray *all = g_ptr_array_new();

	owned = g_ptr_array_new_with_free_func(g_free);
	atexit(free_owned);

	/* Options from the environment go first: the last one counts. */
	g_ptr_array_add(all, (*argv)[0]);
	for (const GOptionEntry *e = entries; e->long_name; e++) {
		g_autofree char *name = env_name(e->long_name);
		const char *value = getenv(name);

		if (!value || !*value)
			continue;
		char *arg = e->arg == G_OPTION_ARG_NONE
				    ? g_strdup_printf("--%s", e->long_name)
				    : g_strdup_printf("--%s=%s", e->long_name,
						      value);
		g_ptr_array_add(owned, arg);
		g_ptr_array_add(all, arg);
	}
	for (int i = 1; i < *argc; i++)
		g_ptr_array_add(all, (*argv)[i]);
	*argc = (int)all->len;
	g_ptr_array_add(all, NULL);
	*argv = (char **)g_ptr_array_free(all, FALSE);
	g_ptr_array_add(owned, *argv);

	g_option_context_set_summary(ctx, summary);
	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, argc, argv, &err)) {
		fprintf(stderr, "%s\n", err->message);
		exit(2);
	}
}

int args_addr(const char *s, char *ip, int *port)
{
	const char *colon = strrchr(s, ':');

	if (!colon || colon - s >= 64)
		return -MW_EINVAL;
	memcpy(ip, s, (size_t)(colon - s));
	ip[colon - s] = '\0';
	*port = (int)strtol(colon + 1, NULL, 10);
	return *port >= 0 && *port < 65536 ? 0 : -MW_EINVAL;
}

char *args_key(const char *path)
{
	char *key = NULL;

	if (!path)
		return g_strdup("");
	if (!g_file_get_contents(path, &key, NULL, NULL)) {
		fprintf(stderr, "cannot read the key file %s\n", path);
		exit(2);
	}
	return g_strchomp(key);
}
