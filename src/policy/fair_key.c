#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/err.h"
#include "policy/fair_key.h"

int fair_key_format(char key[FAIR_KEY_MAX], unsigned rank, const char *model,
		    const char *account)
{
	int n;

	if (strchr(model, '/'))
		return -MW_EINVAL;
	n = snprintf(key, FAIR_KEY_MAX, "%u/%s/%s", rank, model, account);
	return n < 0 || n >= FAIR_KEY_MAX ? -MW_EINVAL : 0;
}

int fair_key_parse(struct fair_key *out, const char *key)
{
	char *end;
	const char *slash;
	unsigned long rank = strtoul(key, &end, 10);

	if (end == key || *end != '/' || rank > 255)
		return -MW_EINVAL;
	slash = strchr(end + 1, '/');
	if (!slash)
		return -MW_EINVAL;
	out->rank = rank;
	out->model = end + 1;
	out->model_len = slash - out->model;
	out->account = slash + 1;
	return 0;
}
