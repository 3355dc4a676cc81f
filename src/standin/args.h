#ifndef STANDIN_ARGS_H
#define STANDIN_ARGS_H

#include <stdint.h>
#include <glib.h>

/*
 * Parses options.  Each option --some-name takes its default from the
 * environment variable MW_SOME_NAME.  Exits with status 2 on an error.
 */
void args_parse(int *argc, char ***argv, const char *summary,
		const GOptionEntry *entries);

/* Splits "ip:port"; returns 0 or -MW_EINVAL.  ip must hold 64 bytes. */
int args_addr(const char *s, char *ip, int *port);

/* Reads a key file without its trailing white space; exits with status 2 on
 * an error.  Returns "" for NULL.  The caller frees the result. */
char *args_key(const char *path);

#endif
