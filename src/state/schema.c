#include "state/schema.h"

#include <assert.h>
#include <string.h>

const struct schema_key *schema_find(enum schema_kind kind, const char *key)
{
	const struct schema_kind_info *info = &schema_kinds[kind];

	for (size_t i = 0; i < info->nkeys; i++) {
		if (!strcmp(info->keys[i].name, key))
			return &info->keys[i];
	}
	return NULL;
}

bool schema_name_ok(const char *name, size_t len)
{
	if (!len || len > SCHEMA_NAME_MAX || name[0] == '.' || name[0] == '-')
		return false;
	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)name[i];

		if (!(c >= 'a' && c <= 'z') && !(c >= 'A' && c <= 'Z') &&
		    !(c >= '0' && c <= '9') && !strchr("._-:@+", c))
			return false;
	}
	return true;
}

int schema_enum_index(const struct schema_key *key, const char *value)
{
	for (int i = 0; key->values[i]; i++) {
		if (!strcmp(key->values[i], value))
			return i;
	}
	return -1;
}

static const char *check_hash(const char *s)
{
	if (strlen(s) != SCHEMA_HASH_HEX_LEN ||
	    strspn(s, "0123456789abcdef") != SCHEMA_HASH_HEX_LEN)
		return "a key hash is 64 lower-case hex digits";
	return NULL;
}

static const char *check_list(const struct schema_key *key, const json_t *val)
{
	size_t i, k;
	json_t *item;

	if (!json_is_array(val))
		return "the value is not a list";
	if (json_array_size(val) > (size_t)key->max)
		return "the list is too long";
	json_array_foreach(val, i, item)
	{
		const char *s = json_string_value(item);

		if (!s || !*s)
			return "a list entry is not a string";
		if (key->type == SCHEMA_NAMES && strlen(s) > SCHEMA_NAME_MAX)
			return "a list entry is too long";
		if (key->type == SCHEMA_HASHES && check_hash(s))
			return check_hash(s);
		for (k = 0; k < i; k++) {
			if (json_equal(item, json_array_get(val, k)))
				return "a list entry is there twice";
		}
	}
	return NULL;
}

static const char *check_string(const struct schema_key *key, const char *s)
{
	size_t len = strlen(s);

	if (len < (size_t)key->min || len > (size_t)key->max)
		return "the length is out of range";
	for (size_t i = 0; i < len; i++) {
		if ((unsigned char)s[i] < 0x20 || s[i] == 0x7f)
			return "the text has control characters";
	}
	return NULL;
}

const char *schema_check_value(const struct schema_key *key, const json_t *val)
{
	switch (key->type) {
	case SCHEMA_BOOL:
		return json_is_boolean(val) ? NULL : "the value is not a bool";
	case SCHEMA_INT:
		if (!json_is_integer(val))
			return "the value is not an integer";
		if (json_integer_value(val) < key->min ||
		    json_integer_value(val) > key->max)
			return "the value is out of range";
		return NULL;
	case SCHEMA_REFS:
	case SCHEMA_NAMES:
	case SCHEMA_HASHES:
		return check_list(key, val);
	default:
		break;
	}
	if (!json_is_string(val))
		return "the value is not a string";
	if (key->type == SCHEMA_STRING)
		return check_string(key, json_string_value(val));
	if (key->type == SCHEMA_ENUM &&
	    schema_enum_index(key, json_string_value(val)) < 0)
		return "the value is not one of the allowed words";
	return NULL;
}

json_t *schema_default(const struct schema_key *key)
{
	switch (key->type) {
	case SCHEMA_BOOL:
		return json_boolean(key->def_int);
	case SCHEMA_INT:
		return json_integer(key->def_int);
	case SCHEMA_REFS:
	case SCHEMA_NAMES:
	case SCHEMA_HASHES:
		return json_array();
	default:
		return json_string(key->def_string);
	}
}

static bool list_equal(const char *const *a, const char *const *b)
{
	for (; *a && *b; a++, b++) {
		if (strcmp(*a, *b) != 0)
			return false;
	}
	return !*a && !*b;
}

static bool field_equal(const struct schema_key *key, const char *a,
			const char *b)
{
	switch (key->type) {
	case SCHEMA_BOOL:
		return *(const bool *)a == *(const bool *)b;
	case SCHEMA_INT:
		return *(const int64_t *)a == *(const int64_t *)b;
	case SCHEMA_ENUM:
		return *(const int *)a == *(const int *)b;
	case SCHEMA_REFS:
	case SCHEMA_NAMES:
		return list_equal(*(const char *const *const *)a,
				  *(const char *const *const *)b);
	default:
		return !strcmp(*(const char *const *)a,
			       *(const char *const *)b);
	}
}

bool schema_cfg_equal(enum schema_kind kind, const void *a, const void *b)
{
	const struct schema_kind_info *info = &schema_kinds[kind];

	/* The first member of each struct is the name. */
	if (strcmp(*(const char *const *)a, *(const char *const *)b) != 0)
		return false;
	for (size_t i = 0; i < info->nkeys; i++) {
		const struct schema_key *key = &info->keys[i];

		if (key->offset &&
		    !field_equal(key, (const char *)a + key->offset,
				 (const char *)b + key->offset))
			return false;
	}
	return true;
}
