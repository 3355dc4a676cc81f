#ifndef ENTRY_CURSOR_H
#define ENTRY_CURSOR_H

#include <stddef.h>
#include <stdint.h>

#include "endpoint/ep.h"

/*
 * The cursor of a stream is sent as the id of each server-sent event:
 * "<sealed>:<index>".  The sealed part holds the endpoint, its incarnation,
 * the generation and the client account, encrypted and authenticated with
 * the cluster key, so that any entry host can resume the stream without
 * shared state and a caller can read only its own generations.  It is made once
 * for each generation.  The index needs no protection, since it only selects
 * where reading begins.
 */

#define CURSOR_ACCOUNT_CHARS 128
#define CURSOR_TEXT_CHARS 1024

struct cursor {
	char endpoint[EP_ID_CHARS + 1];
	char addr[64];
	uint64_t incarnation;
	char generation[EP_GENERATION_CHARS + 1];
	char account[CURSOR_ACCOUNT_CHARS + 1];
	char route[CURSOR_ACCOUNT_CHARS + 1];
	uint64_t prompt_tokens;
};

/*
 * Writes the sealed part as text to out.  key has 32 bytes.  Returns 0, or
 * -MW_ETOOBIG if the fields or the text do not fit.
 */
int cursor_seal(const struct cursor *c, const uint8_t *key, char *out,
		size_t size);

/*
 * Parses "<sealed>:<index>", where index is that of the last event the caller
 * received; *next is the index after it.  Returns 0, or -MW_EINVAL if the text
 * is malformed or was not sealed with this key; then *c is undefined.
 */
int cursor_open(const char *text, const uint8_t *key, struct cursor *c,
		uint64_t *next);

#endif
