#ifndef CONF_CONF_H
#define CONF_CONF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Settings of one process.  A flag on the command line overrides its
 * environment variable, which overrides the default in flags.schema.  All
 * values and their combinations are checked by conf_parse(), before the
 * process opens a socket or a data file.
 */

struct conf_addr {
	char ip[48]; /* numeric, IPv6 without brackets */
	uint16_t port;
};

/* An entry of --control. */
struct conf_control {
	char dc[64];
	char host[64];
	uint32_t voter_id;
	struct conf_addr addr;	    /* where the process listens for peers */
	struct conf_addr dial_addr; /* where peers connect; addr unless given */
};

/* An entry of --peers. */
struct conf_peer {
	char host[64];
	struct conf_addr addr;
};

/* An entry of --dc-regions. */
struct conf_dc_region {
	char dc[64];
	char region[64];
};

#define CONF_CONTROL_MAX 7
#define CONF_DC_REGIONS_MAX 128
#define CONF_PEERS_MAX 128
#define CONF_SEEDS_MAX 16
#define CONF_TOLERATE_MAX 3 /* lost control hosts; needs 2 * 3 + 1 voters */
#define CONF_KEY_BYTES 32

struct conf {
	/*
	 * One field for each flag, named after it with underscores.  A list is
	 * kept as its comma-separated text.  Strings are never NULL after
	 * conf_parse() has succeeded.
	 */
#define FLAG_STRING(field, name, def, arg, text) char *field;
#define FLAG_LIST(field, name, def, arg, text) char *field;
#define FLAG_INT(field, name, def, arg, text) int field;
#define FLAG_FLAG(field, name, def, arg, text) int field;
#include "conf/flags.gen.h"
#undef FLAG_STRING
#undef FLAG_LIST
#undef FLAG_INT
#undef FLAG_FLAG

	/* Values parsed from the flags above, and keys read from files. */
	struct conf_addr listen_addr, ready_addr, peer_addr, admin_addr;
	struct conf_control controls[CONF_CONTROL_MAX];
	size_t control_nr;
	struct conf_addr seed_list[CONF_SEEDS_MAX]; /* --seeds */
	size_t seed_nr;
	struct conf_peer peer_list[CONF_PEERS_MAX];
	size_t peer_nr;
	struct conf_dc_region dc_region_list[CONF_DC_REGIONS_MAX];
	size_t dc_region_nr;
	uint8_t cluster_key[CONF_KEY_BYTES]; /* all zeros if open_cluster */
	char *endpoint_key; /* NULL: announcements need no key */
	char *operator_key; /* first operator's key, NULL: none given */
	bool is_control;    /* --role=control; otherwise an entry host */
};

/*
 * Fills c from argv, the environment and the key files.  Returns 0, or
 * -MW_EINVAL with a message in *error that the caller frees with g_free().
 * For --help, GLib prints the flags and exits the process.  c must be released
 * with conf_release() after a failure as well.
 */
int conf_parse(struct conf *c, int argc, char **argv, char **error);

/* Frees what c owns and overwrites the struct with zeros. */
void conf_release(struct conf *c);

/*
 * The region of a data centre by --dc-regions, valid as long as c; NULL if the
 * data centre is not listed.
 */
const char *conf_region(const struct conf *c, const char *dc);

/*
 * Parses IP:PORT with a numeric IPv4 or IPv6 address and a port of 1 to 65535;
 * the address may be in brackets.  Host names are rejected.  Returns 0 or
 * -MW_EINVAL; *out is undefined after a failure.
 */
int conf_parse_addr(const char *text, struct conf_addr *out);

#endif
