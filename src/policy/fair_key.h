#ifndef POLICY_FAIR_KEY_H
#define POLICY_FAIR_KEY_H

#include <stdbool.h>
#include <stddef.h>

/*
 * The key under which hosts and the hub exchange served tokens (AccountUse in
 * mw.proto): "<rank>/<model>/<account>".  Shares are counted separately for
 * each rank and model, because these compete for different capacity.
 */
#define FAIR_KEY_MAX 256

/*
 * Writes the key.  Returns 0, or -MW_EINVAL if it is too long or if model
 * contains a '/'.
 */
int fair_key_format(char key[FAIR_KEY_MAX], unsigned rank, const char *model,
		    const char *account);

/* The parts of a key; they point into it.  model is not NUL-terminated. */
struct fair_key {
	unsigned rank;
	const char *model;
	size_t model_len;
	const char *account;
};

/* Returns 0, or -MW_EINVAL if the key is malformed or the rank above 255. */
int fair_key_parse(struct fair_key *out, const char *key);

#endif
