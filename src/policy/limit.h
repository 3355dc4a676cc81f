#ifndef POLICY_LIMIT_H
#define POLICY_LIMIT_H

#include <stddef.h>
#include <stdint.h>

/*
 * Rate limits for each account: one token bucket for requests and one for
 * served tokens.  Served tokens are debited afterwards, so that the balance may
 * fall below 0; new requests are then refused until it is positive again.
 *
 * Times are in microseconds of one monotonic clock.
 */
struct limits;

struct limit_rates {
	double requests_per_s; /* 0: no limit */
	double request_burst;  /* 0: one second of the rate, at least 1 */
	double tokens_per_s;   /* 0: no limit */
	double token_burst;    /* 0: ten seconds of the rate */
};

/*
 * Keeps buckets for up to max_accounts accounts (0: 8192).  Beyond that the
 * least recently used ones are evicted; an evicted account starts with full
 * buckets.
 */
struct limits *limit_new(size_t max_accounts);
void limit_free(struct limits *l);

/*
 * Admits a request.  Returns 0, or -MW_ELIMIT if a limit is exceeded; a retry
 * may then succeed after *retry_after_s, 1 to 60 seconds.  The rates may differ
 * from call to call.
 */
int limit_admit_request(struct limits *l, const char *account,
			const struct limit_rates *rates, int64_t now,
			unsigned *retry_after_s);

/* Debits tokens that have been served to the account. */
void limit_debit_tokens(struct limits *l, const char *account,
			const struct limit_rates *rates, uint64_t tokens,
			int64_t now);

#endif
