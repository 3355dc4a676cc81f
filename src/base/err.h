#ifndef BASE_ERR_H
#define BASE_ERR_H

/*
 * The closed list of error kinds.
 *
 * Functions return 0 (or a non-negative result) on success and a negative
 * error number, -MW_E..., on failure.  Each kind has one row in err_kinds.h
 * with the status and the text of the HTTP response.
 */

enum mw_err {
	MW_OK = 0,
#define MW_ERR(name, kind, http, not_run, resend, text) MW_E##name,
#include "base/err_kinds.h"
#undef MW_ERR
	MW_ERR_COUNT
};

struct err_info {
	const char *kind; /* stable name, used in responses and logs */
	int http_status;  /* HTTP status of the response */
	int not_run;	  /* 1: guarantees that the request did not run */
	int retryable;	  /* 1: retrying the same request may succeed */
	const char *text; /* one sentence for the caller */
};

/*
 * Returns the row for an error number of either sign, or that of MW_EINTERNAL
 * if the number is out of range; never NULL.
 */
const struct err_info *err_info(int err);

/* Returns the error number (positive) for a kind, or -MW_EINVAL. */
int err_from_kind(const char *kind);

#endif
