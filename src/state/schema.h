#ifndef STATE_SCHEMA_H
#define STATE_SCHEMA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <jansson.h>

#include "state/schema.gen.h"

/*
 * The schema of the settings: for each kind of node its keys, with type, range
 * and default.  The tables are generated from settings.schema.
 */

enum schema_type {
	SCHEMA_BOOL,
	SCHEMA_INT,
	SCHEMA_STRING,
	SCHEMA_ENUM,
	SCHEMA_REF,	 /* name of a node, or "" */
	SCHEMA_REFS,	 /* list of names of nodes */
	SCHEMA_NAMES,	 /* list of names that are no nodes */
	SCHEMA_HASHES,	 /* list of hex hashes, not inherited */
	SCHEMA_TEMPLATE, /* path of a node of the same kind, not inherited */
};

struct schema_key {
	const char *name;
	enum schema_type type;
	int64_t min, max;
	int64_t def_int;	   /* default of bool, int and enum (index) */
	const char *def_string;	   /* default of string and enum */
	const char *const *values; /* of an enum, NULL-terminated */
	enum schema_kind ref;	   /* kind of the nodes that a ref names */
	size_t offset; /* in the resolved struct; 0 for a key without a field */
	const char *unit;
	const char *description;
};

struct schema_kind_info {
	const char *name;
	const char *folder; /* top folder of the nodes of this kind */
	int max_depth;	    /* most path segments below the folder */
	const struct schema_key *keys;
	size_t nkeys;
	size_t cfg_size; /* of the resolved struct */
};

extern const struct schema_kind_info schema_kinds[SCHEMA_KIND_COUNT];

#define SCHEMA_HASH_HEX_LEN 64 /* hex digits of a key hash */
#define SCHEMA_NAME_MAX 64     /* bytes of one path segment */

/* Returns the schema of a key, or NULL for an unknown key. */
const struct schema_key *schema_find(enum schema_kind kind, const char *key);

/*
 * Returns NULL if the value has the right type and range, otherwise the reason
 * as a static string.  It does not check that the node of a reference exists;
 * tree_check() does.
 */
const char *schema_check_value(const struct schema_key *key, const json_t *val);

/* Returns whether a path segment is well-formed. */
bool schema_name_ok(const char *name, size_t len);

/* Index of an enum value, or -1. */
int schema_enum_index(const struct schema_key *key, const char *value);

/* Returns a new reference to the default of a key. */
json_t *schema_default(const struct schema_key *key);

/* Whether two resolved structs of a kind are equal, including the names. */
bool schema_cfg_equal(enum schema_kind kind, const void *a, const void *b);

#endif
