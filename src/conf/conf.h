#ifndef CONF_CONF_H
#define CONF_CONF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Settings of one process, from flags and environment variables.
 * flags.schema is the source of the fields; conf_parse() checks each value
 * and refuses a combination that cannot work before anything is started.
 */

struct conf_addr {
	char ip[48];
	uint16_t port;
};

/* One control process named by --control. */
struct conf_control {
	char dc[64];
	char host[64];
	uint32_t voter;
	struct conf_addr addr; /* that it listens on */
	struct conf_addr dial; /* to be connected to; the same by default */
};

/* One process named by --peers. */
struct conf_peer {
	char host[64];
	struct conf_addr addr;
};

#define CONF_CONTROL_MAX 7
#define CONF_PEERS_MAX 128
#define CONF_SEEDS_MAX 16
#define CONF_TOLERATE_MAX 3 /* losses; 7 voters */
#define CONF_KEY_BYTES 32

struct conf {
#define FLAG_STRING(field, name, def, arg, text) char *field;
#define FLAG_LIST(field, name, def, arg, text) char *field;
#define FLAG_INT(field, name, def, arg, text) int field;
#define FLAG_FLAG(field, name, def, arg, text) int field;
#include "conf/flags.gen.h"
#undef FLAG_STRING
#undef FLAG_LIST
#undef FLAG_INT
#undef FLAG_FLAG

	struct conf_addr listen_addr, ready_addr, peer_addr, admin_addr;
	struct conf_control controls[CONF_CONTROL_MAX];
	size_t control_nr;
	struct conf_addr seed_list[CONF_SEEDS_MAX]; /* --seeds */
	size_t seed_nr;
	struct conf_peer peer_list[CONF_PEERS_MAX];
	size_t peer_nr;
	uint8_t cluster_key[CONF_KEY_BYTES];
	char *endpoint_key; /* NULL: announcements need no key */
	char *operator_key;
	bool control_role;
};

/*
 * Parses argv and the environment.  Returns 0, 1 if --help or --version was
 * printed, or -MW_EINVAL / -MW_EIO with a sentence in *error (owned by the
 * caller, free with g_free()).
 */
int conf_parse(struct conf *c, int argc, char **argv, char **error);
void conf_release(struct conf *c);

/* Parses "ip:port" (IPv6 in brackets); host names are refused. */
int conf_parse_addr(const char *text, struct conf_addr *out);

#endif
