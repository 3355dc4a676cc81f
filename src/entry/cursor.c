#include "entry/cursor.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>
#include <sodium.h>

#include "base/cleanup.h"
#include "base/err.h"

#define PLAIN_MAX_BYTES 640
#define SEALED_MAX_BYTES                                                       \
	(PLAIN_MAX_BYTES + crypto_secretbox_NONCEBYTES +                       \
	 crypto_secretbox_MACBYTES)

int cursor_seal(const struct cursor *c, const uint8_t *key, char *out,
		size_t size)
{
	char plain[PLAIN_MAX_BYTES];
	uint8_t sealed[SEALED_MAX_BYTES];

	int n = snprintf(plain, sizeof(plain),
			 "%s\n%s\n%" PRIu64 "\n%s\n%s\n%s\n%" PRIu64 "\n",
			 c->endpoint, c->addr, c->incarnation, c->generation,
			 c->account, c->route, c->prompt_tokens);
	if (n < 0 || (size_t)n >= sizeof(plain))
		return -MW_ETOOBIG;
	size_t len = (size_t)n + crypto_secretbox_NONCEBYTES +
		     crypto_secretbox_MACBYTES;
	if (sodium_base64_encoded_len(
		    len, sodium_base64_VARIANT_URLSAFE_NO_PADDING) > size)
		return -MW_ETOOBIG;
	randombytes_buf(sealed, crypto_secretbox_NONCEBYTES);
	crypto_secretbox_easy(sealed + crypto_secretbox_NONCEBYTES,
			      (const uint8_t *)plain, (size_t)n, sealed, key);
	sodium_bin2base64(out, size, sealed, len,
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	return 0;
}

static int copy_field(char *out, size_t size, const char *in)
{
	return g_strlcpy(out, in, size) < size ? 0 : -MW_EINVAL;
}

static int parse_plain(char *plain, struct cursor *c)
{
	g_auto(GStrv) part = g_strsplit(plain, "\n", -1);

	if (g_strv_length(part) != 8)
		return -MW_EINVAL;
	if (copy_field(c->endpoint, sizeof(c->endpoint), part[0]) < 0 ||
	    copy_field(c->addr, sizeof(c->addr), part[1]) < 0 ||
	    copy_field(c->generation, sizeof(c->generation), part[3]) < 0 ||
	    copy_field(c->account, sizeof(c->account), part[4]) < 0 ||
	    copy_field(c->route, sizeof(c->route), part[5]) < 0)
		return -MW_EINVAL;
	c->incarnation = g_ascii_strtoull(part[2], NULL, 10);
	c->prompt_tokens = g_ascii_strtoull(part[6], NULL, 10);
	return 0;
}

int cursor_open(const char *text, const uint8_t *key, struct cursor *c,
		uint64_t *next)
{
	uint8_t sealed[SEALED_MAX_BYTES];
	char plain[PLAIN_MAX_BYTES];
	const char *colon = strrchr(text, ':');
	size_t len;
	char *end;

	if (!colon || strlen(text) >= CURSOR_TEXT_CHARS)
		return -MW_EINVAL;
	if (!g_ascii_isdigit(colon[1]))
		return -MW_EINVAL;
	uint64_t index = g_ascii_strtoull(colon + 1, &end, 10);
	if (*end || index >= INT64_MAX)
		return -MW_EINVAL;
	if (sodium_base642bin(sealed, sizeof(sealed), text,
			      (size_t)(colon - text), NULL, &len, NULL,
			      sodium_base64_VARIANT_URLSAFE_NO_PADDING) < 0)
		return -MW_EINVAL;
	size_t overhead =
		crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES;
	if (len <= overhead || len - overhead >= sizeof(plain))
		return -MW_EINVAL;
	if (crypto_secretbox_open_easy(
		    (uint8_t *)plain, sealed + crypto_secretbox_NONCEBYTES,
		    len - crypto_secretbox_NONCEBYTES, sealed, key) < 0)
		return -MW_EINVAL;
	plain[len - overhead] = '\0';
	*next = index + 1;
	return parse_plain(plain, c);
}
