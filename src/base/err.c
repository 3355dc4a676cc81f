#include "base/err.h"

#include <string.h>

static const struct err_info err_table[MW_ERR_COUNT] = {
	[MW_OK] = {"ok", 200, 0, 0, "Success."},
#define MW_ERR(name, kind, http, not_run, resend, text)                        \
	[MW_E##name] = {kind, http, not_run, resend, text},
#include "base/err_kinds.h"
#undef MW_ERR
};

const struct err_info *err_info(int err)
{
	if (err < 0)
		err = -err;
	if (err >= MW_ERR_COUNT)
		err = MW_EINTERNAL;
	return &err_table[err];
}

int err_from_kind(const char *kind)
{
	for (int i = 1; i < MW_ERR_COUNT; i++)
		if (!strcmp(err_table[i].kind, kind))
			return i;
	return -MW_EINVAL;
}
