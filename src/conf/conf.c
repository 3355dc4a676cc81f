#include "conf/conf.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <glib.h>
#include <sodium.h>

#include "base/cleanup.h"
#include "base/err.h"

#define KEY_FILE_MAX_BYTES 4096

/* Sets *error to the formatted message and returns -MW_EINVAL. */
static int fail(char **error, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static int fail(char **error, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	*error = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	return -MW_EINVAL;
}

int conf_parse_addr(const char *text, struct conf_addr *out)
{
	const char *colon = strrchr(text, ':');
	struct in6_addr a6;
	struct in_addr a4;
	char *end;

	if (!colon || colon == text)
		return -MW_EINVAL;
	size_t n = (size_t)(colon - text);
	if (text[0] == '[' && text[n - 1] == ']') {
		text++;
		n -= 2;
	}
	if (n == 0 || n >= sizeof(out->ip))
		return -MW_EINVAL;
	memcpy(out->ip, text, n);
	out->ip[n] = '\0';
	if (inet_pton(AF_INET, out->ip, &a4) != 1 &&
	    inet_pton(AF_INET6, out->ip, &a6) != 1)
		return -MW_EINVAL;
	/* strtoul() would skip white space and a sign. */
	if (!g_ascii_isdigit(colon[1]))
		return -MW_EINVAL;
	unsigned long port = strtoul(colon + 1, &end, 10);
	if (*end || port == 0 || port > 65535)
		return -MW_EINVAL;
	out->port = (uint16_t)port;
	return 0;
}

static bool name_is_valid(const char *s)
{
	size_t n = strlen(s);

	return n > 0 && n < 64 &&
	       strspn(s, "abcdefghijklmnopqrstuvwxyz"
			 "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == n;
}

static int parse_control(struct conf *c, char **error)
{
	g_auto(GStrv) items = g_strsplit(c->control, ",", -1);

	for (size_t i = 0; items[i]; i++) {
		if (!*items[i])
			continue;
		if (c->control_nr == CONF_CONTROL_MAX)
			return fail(error, "--control: more than %d processes",
				    CONF_CONTROL_MAX);
		g_auto(GStrv) fields = g_strsplit(items[i], "/", -1);
		struct conf_control *ctl = &c->controls[c->control_nr];
		guint n = g_strv_length(fields);
		if ((n != 4 && n != 5) || !name_is_valid(fields[0]) ||
		    !name_is_valid(fields[1]) ||
		    conf_parse_addr(fields[3], &ctl->addr) < 0 ||
		    conf_parse_addr(fields[n - 1], &ctl->dial_addr) < 0)
			return fail(error,
				    "--control: '%s' is not "
				    "DC/HOST/VOTER/IP:PORT[/IP:PORT]",
				    items[i]);
		char *end;
		unsigned long id = strtoul(fields[2], &end, 10);
		if (*end || id == 0 || id > UINT32_MAX)
			return fail(error, "--control: '%s' is not a voter id",
				    fields[2]);
		ctl->voter_id = (uint32_t)id;
		g_strlcpy(ctl->dc, fields[0], sizeof(ctl->dc));
		g_strlcpy(ctl->host, fields[1], sizeof(ctl->host));
		c->control_nr++;
	}
	if (!c->control_nr && !*c->seeds)
		return fail(error, "either --control or --seeds must name a "
				   "control process");
	if (c->control_nr && *c->seeds)
		return fail(error, "--control and --seeds exclude each other");
	return 0;
}

static int parse_seeds(struct conf *c, char **error)
{
	g_auto(GStrv) items = g_strsplit(c->seeds, ",", -1);

	for (size_t i = 0; items[i]; i++) {
		if (!*items[i])
			continue;
		if (c->seed_nr == CONF_SEEDS_MAX)
			return fail(error, "--seeds: more than %d addresses",
				    CONF_SEEDS_MAX);
		if (conf_parse_addr(items[i], &c->seed_list[c->seed_nr++]) < 0)
			return fail(error, "--seeds: '%s' is not IP:PORT",
				    items[i]);
	}
	return 0;
}

static int parse_peers(struct conf *c, char **error)
{
	g_auto(GStrv) items = g_strsplit(c->peers, ",", -1);

	for (size_t i = 0; items[i]; i++) {
		if (!*items[i])
			continue;
		if (c->peer_nr == CONF_PEERS_MAX)
			return fail(error, "--peers: more than %d processes",
				    CONF_PEERS_MAX);
		g_auto(GStrv) fields = g_strsplit(items[i], "/", -1);
		struct conf_peer *peer = &c->peer_list[c->peer_nr];
		if (g_strv_length(fields) != 2 || !name_is_valid(fields[0]) ||
		    conf_parse_addr(fields[1], &peer->addr) < 0)
			return fail(error, "--peers: '%s' is not HOST/IP:PORT",
				    items[i]);
		g_strlcpy(peer->host, fields[0], sizeof(peer->host));
		c->peer_nr++;
	}
	return 0;
}

static int parse_dc_regions(struct conf *c, char **error)
{
	g_auto(GStrv) items = g_strsplit(c->dc_regions, ",", -1);

	for (size_t i = 0; items[i]; i++) {
		if (!*items[i])
			continue;
		if (c->dc_region_nr == CONF_DC_REGIONS_MAX)
			return fail(error,
				    "--dc-regions: more than %d data centres",
				    CONF_DC_REGIONS_MAX);
		g_auto(GStrv) fields = g_strsplit(items[i], "=", -1);
		struct conf_dc_region *r = &c->dc_region_list[c->dc_region_nr];
		if (g_strv_length(fields) != 2 || !name_is_valid(fields[0]) ||
		    !name_is_valid(fields[1]))
			return fail(error,
				    "--dc-regions: '%s' is not DC=REGION",
				    items[i]);
		if (conf_region(c, fields[0]))
			return fail(error, "--dc-regions: '%s' is listed twice",
				    fields[0]);
		g_strlcpy(r->dc, fields[0], sizeof(r->dc));
		g_strlcpy(r->region, fields[1], sizeof(r->region));
		c->dc_region_nr++;
	}
	return 0;
}

const char *conf_region(const struct conf *c, const char *dc)
{
	for (size_t i = 0; i < c->dc_region_nr; i++)
		if (!strcmp(c->dc_region_list[i].dc, dc))
			return c->dc_region_list[i].region;
	return NULL;
}

/*
 * Reads a secret from a file and strips white space around it.  A file that
 * its group or other users may access is rejected.
 */
static int read_secret(const char *flag, const char *path, char **out,
		       char **error)
{
	struct stat st;
	g_autofree char *text = NULL;
	gsize len;

	if (stat(path, &st) < 0)
		return fail(error, "--%s: cannot read %s: %s", flag, path,
			    g_strerror(errno));
	if (st.st_mode & 077)
		return fail(error, "--%s: %s is accessible to other users",
			    flag, path);
	if (st.st_size > KEY_FILE_MAX_BYTES ||
	    !g_file_get_contents(path, &text, &len, NULL))
		return fail(error, "--%s: cannot read %s", flag, path);
	g_strstrip(text);
	if (!*text)
		return fail(error, "--%s: %s is empty", flag, path);
	*out = steal_ptr(&text);
	return 0;
}

static int read_cluster_key(struct conf *c, char **error)
{
	g_autofree char *hex = NULL;
	size_t len = 0;

	if (c->open_cluster && *c->cluster_key_file)
		return fail(error, "--open-cluster and --cluster-key-file "
				   "exclude each other");
	if (c->open_cluster)
		return 0; /* an all-zero key detects damage, not forgery */
	if (!*c->cluster_key_file)
		return fail(error, "--cluster-key-file is missing");
	int r = read_secret("cluster-key-file", c->cluster_key_file, &hex,
			    error);
	if (r < 0 || !hex)
		return r < 0 ? r : -MW_EIO;
	if (sodium_hex2bin(c->cluster_key, CONF_KEY_BYTES, hex, strlen(hex),
			   NULL, &len, NULL) < 0 ||
	    len != CONF_KEY_BYTES)
		return fail(error,
			    "--cluster-key-file: %s does not hold %d "
			    "hex digits",
			    c->cluster_key_file, 2 * CONF_KEY_BYTES);
	return 0;
}

static int check_ranges(const struct conf *c, char **error)
{
	if (c->drain_timeout_ms < 0 || c->drain_timeout_ms > 86400000)
		return fail(error,
			    "--drain-timeout-ms must be from 0 to 86400000");
	if (c->max_requests < 1 || c->max_requests > 1000000)
		return fail(error, "--max-requests must be from 1 to 1000000");
	if (c->max_body < 1024 || c->max_body > 64 << 20)
		return fail(error, "--max-body must be from 1024 to 67108864");
	if (c->stream_buffer < 1024 || c->stream_buffer > 16 << 20)
		return fail(error,
			    "--stream-buffer must be from 1024 to 16777216");
	if (c->tolerate < 1 || c->tolerate > CONF_TOLERATE_MAX)
		return fail(error, "--tolerate must be from 1 to %d",
			    CONF_TOLERATE_MAX);
	if (c->repeat_percent < 0 || c->repeat_percent > 100)
		return fail(error, "--repeat-percent must be from 0 to 100");
	if (c->memory_limit_mb < 0 || c->memory_limit_mb > 1 << 20)
		return fail(error,
			    "--memory-limit-mb must be from 0 to 1048576");
	if (c->max_fds < 0)
		return fail(error, "--max-fds must be at least 0");
	if (c->repeat_spare < 0 || c->repeat_spare > 1000000)
		return fail(error, "--repeat-spare must be from 0 to 1000000");
	if (c->cold_overshoot_percent < 0 || c->cold_overshoot_percent > 10000)
		return fail(error, "--cold-overshoot-percent must be from 0 to "
				   "10000");
	if (c->account_shares < 0 || c->account_shares > 1)
		return fail(error, "--account-shares must be 0 or 1");
	if (c->cold_slack < 0 || c->cold_slack > 1000000)
		return fail(error, "--cold-slack must be from 0 to 1000000");
	if (c->log_level < 3 || c->log_level > 7)
		return fail(error, "--log-level must be from 3 to 7");
	if (strcmp(c->policy, "mustardwall") != 0 &&
	    strcmp(c->policy, "round-robin") != 0 &&
	    strcmp(c->policy, "least-outstanding") != 0)
		return fail(error, "--policy: unknown policy '%s'", c->policy);
	return 0;
}

static int check_role(struct conf *c, char **error)
{
	c->is_control = !strcmp(c->role, "control");
	if (!c->is_control && strcmp(c->role, "entry") != 0)
		return fail(error, "--role: '%s' is neither entry nor control",
			    c->role);
	if (!name_is_valid(c->host))
		return fail(error, "--host: a name of 1 to 63 letters, digits, "
				   "'-', '_' or '.' is needed");
	if (!name_is_valid(c->dc))
		return fail(error, "--dc: a name of 1 to 63 letters, digits, "
				   "'-', '_' or '.' is needed");
	if (!c->is_control) {
		if (c->voter || c->bootstrap)
			return fail(error, "--voter and --bootstrap are for "
					   "--role=control");
		return 0;
	}
	if (!*c->data)
		return fail(error, "--role=control needs --data");
	if (c->voter < 1 && !*c->seeds)
		return fail(error, "--role=control needs --voter");
	if (c->voter && *c->seeds)
		return fail(error, "--voter: with --seeds the data folder "
				   "holds the voter id");
	return 0;
}

/* Checks the flags; fills the parsed values and the keys of c. */
static int check_and_resolve(struct conf *c, char **error)
{
	int r;

	if ((r = check_role(c, error)) < 0 ||
	    (r = check_ranges(c, error)) < 0 ||
	    (r = parse_control(c, error)) < 0 ||
	    (r = parse_seeds(c, error)) < 0 ||
	    (r = parse_peers(c, error)) < 0 ||
	    (r = parse_dc_regions(c, error)) < 0 ||
	    (r = read_cluster_key(c, error)) < 0)
		return r;
	if (conf_parse_addr(c->listen, &c->listen_addr) < 0)
		return fail(error, "--listen: '%s' is not IP:PORT", c->listen);
	if (*c->ready_listen &&
	    conf_parse_addr(c->ready_listen, &c->ready_addr) < 0)
		return fail(error, "--ready-listen: '%s' is not IP:PORT",
			    c->ready_listen);
	if (conf_parse_addr(c->peer_listen, &c->peer_addr) < 0)
		return fail(error, "--peer-listen: '%s' is not IP:PORT",
			    c->peer_listen);
	if (conf_parse_addr(c->admin_listen, &c->admin_addr) < 0)
		return fail(error, "--admin-listen: '%s' is not IP:PORT",
			    c->admin_listen);
	if (*c->endpoint_key_file &&
	    (r = read_secret("endpoint-key-file", c->endpoint_key_file,
			     &c->endpoint_key, error)) < 0)
		return r;
	if (*c->operator_key_file &&
	    (r = read_secret("operator-key-file", c->operator_key_file,
			     &c->operator_key, error)) < 0)
		return r;
	return 0;
}

/* Returns the value of the flag's environment variable, or NULL. */
static const char *env_value(const char *flag)
{
	g_autofree char *upper = g_ascii_strup(flag, -1);
	g_autofree char *name = g_strconcat(
		"MUSTARDWALL_", g_strdelimit(upper, "-", '_'), NULL);

	return g_getenv(name);
}

static int env_int(const char *flag, int *out, char **error)
{
	const char *text = env_value(flag);
	char *end;

	if (!text)
		return 0;
	long v = strtol(text, &end, 10);
	if (!*text || *end || v < INT32_MIN || v > INT32_MAX)
		return fail(error,
			    "environment variable for --%s: '%s' is not a "
			    "32-bit integer",
			    flag, text);
	*out = (int)v;
	return 0;
}

/*
 * Sets each integer or switch to the value of its environment variable, or to
 * its default.  Called before GLib parses the command line, which changes only
 * the fields whose flags are present.
 */
static int set_integers(struct conf *c, char **error)
{
	int r;

#define FLAG_STRING(field, name, def, arg, text)
#define FLAG_LIST(field, name, def, arg, text)
#define FLAG_INT(field, name, def, arg, text)                                  \
	c->field = def;                                                        \
	if ((r = env_int(name, &c->field, error)) < 0)                         \
		return r;
#define FLAG_FLAG FLAG_INT
#include "conf/flags.gen.h"
#undef FLAG_STRING
#undef FLAG_LIST
#undef FLAG_INT
#undef FLAG_FLAG
	return 0;
}

/*
 * Sets each string that the command line did not set to the value of its
 * environment variable, or to its default.  Called after GLib has parsed the
 * command line, since GLib replaces a string without freeing the earlier one.
 */
static void set_missing_strings(struct conf *c)
{
	const char *env;

#define FLAG_STRING(field, name, def, arg, text)                               \
	if (!c->field) {                                                       \
		env = env_value(name);                                         \
		c->field = g_strdup(env ? env : def);                          \
	}
#define FLAG_LIST FLAG_STRING
#define FLAG_INT(field, name, def, arg, text)
#define FLAG_FLAG(field, name, def, arg, text)
#include "conf/flags.gen.h"
#undef FLAG_STRING
#undef FLAG_LIST
#undef FLAG_INT
#undef FLAG_FLAG
}

int conf_parse(struct conf *c, int argc, char **argv, char **error)
{
	memset(c, 0, sizeof(*c));
	int r = set_integers(c, error);
	if (r < 0)
		return r;

	GOptionEntry entries[] = {
#define FLAG_STRING(field, name, def, arg, text)                               \
	{name, 0, 0, G_OPTION_ARG_STRING, &c->field, text, arg},
#define FLAG_LIST FLAG_STRING
#define FLAG_INT(field, name, def, arg, text)                                  \
	{name, 0, 0, G_OPTION_ARG_INT, &c->field, text, arg},
#define FLAG_FLAG(field, name, def, arg, text)                                 \
	{name, 0, 0, G_OPTION_ARG_NONE, &c->field, text, NULL},
#include "conf/flags.gen.h"
#undef FLAG_STRING
#undef FLAG_LIST
#undef FLAG_INT
#undef FLAG_FLAG
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	g_autoptr(GOptionContext) ctx = g_option_context_new(
		"- routes generations to shared model endpoints");
	g_autoptr(GError) gerr = NULL;
	g_option_context_add_main_entries(ctx, entries, NULL);
	bool parsed = g_option_context_parse(ctx, &argc, &argv, &gerr);
	set_missing_strings(c);
	if (!parsed)
		return fail(error, "%s", gerr->message);
	if (argc > 1)
		return fail(error, "unexpected argument '%s'", argv[1]);
	return check_and_resolve(c, error);
}

void conf_release(struct conf *c)
{
#define FLAG_STRING(field, name, def, arg, text) g_free(c->field);
#define FLAG_LIST FLAG_STRING
#define FLAG_INT(field, name, def, arg, text)
#define FLAG_FLAG(field, name, def, arg, text)
#include "conf/flags.gen.h"
#undef FLAG_STRING
#undef FLAG_LIST
#undef FLAG_INT
#undef FLAG_FLAG
	g_free(c->endpoint_key);
	g_free(c->operator_key);
	sodium_memzero(c, sizeof(*c));
}
