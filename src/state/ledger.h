#ifndef STATE_LEDGER_H
#define STATE_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/mw.pb-c.h"

/*
 * The ledger of once-only calls: calls with an idempotency key, which must run
 * at most once.  It has one record for each pair of client account and key.
 *
 * While its record exists, a key is granted to at most one attempt, which is a
 * triple of host, host incarnation and attempt number.  The states done,
 * closed and unknown are final.
 *
 * A host that lost the answer to a begin may repeat it and gets `first` again.
 * It must nevertheless send the call at most once for an attempt number.
 */
struct ledger;

enum ledger_state {
	LEDGER_ABSENT = 0,
	LEDGER_STARTED,
	LEDGER_DONE,
	LEDGER_CLOSED,	/* has not run and will not be granted */
	LEDGER_UNKNOWN, /* may or may not have run */
};

#define LEDGER_KEY_MAX 255	    /* bytes */
#define LEDGER_NAME_MAX 255	    /* bytes of an account or a host */
#define LEDGER_HASH_MAX 32	    /* bytes */
#define LEDGER_CONTENT_TYPE_MAX 127 /* bytes */
#define LEDGER_BODY_MAX (64 * 1024) /* bytes */

/* Bounds, from the current settings. */
struct ledger_limits {
	size_t keys_per_account;
	size_t keys;
	size_t body_bytes; /* of all records; further bodies are dropped */
};

/* Outcome of an operation; its pointers are valid until the next change. */
struct ledger_answer {
	int err; /* 0 or negative */
	enum ledger_state state;
	bool first; /* the key is granted: the attempt may send the call */
	uint32_t status;
	const char *content_type;
	const uint8_t *body;
	size_t body_len;
	bool body_dropped; /* the answer had a body that was not recorded */
};

struct ledger *ledger_new(void);
void ledger_free(struct ledger *l);

/*
 * Requests a grant of the key for an attempt.  host_registered says whether
 * the incarnation of the host is registered; otherwise nothing is granted.
 *
 * err is one of:
 *   0 with first      granted now, or a repeated begin of the granted attempt
 *   0 without first   done: the recorded answer
 *   -MW_EINPROGRESS   the key is started, but not granted to this attempt
 *   -MW_ENOTRUN       closed
 *   -MW_EUNKNOWN      the outcome of the granted attempt is unknown
 *   -MW_EKEYREUSED    the key was used with another body
 *   -MW_ELIMIT        too many keys
 *   -MW_EFENCED       the key is new and the host is not registered
 *   -MW_EINVAL        malformed
 */
struct ledger_answer ledger_begin(struct ledger *l, uint64_t now_ms,
				  const struct ledger_limits *limits,
				  bool host_registered,
				  const Mw__LedgerBegin *b);

/*
 * Records the outcome of the granted attempt.  A repeated end gets the outcome
 * recorded first.  err: 0, -MW_ENOTFOUND, -MW_ECONFLICT (the key was granted
 * to another attempt), -MW_ENOTRUN (closed), -MW_EUNKNOWN or -MW_EINVAL.
 */
struct ledger_answer ledger_end(struct ledger *l, uint64_t now_ms,
				const struct ledger_limits *limits,
				const Mw__LedgerEnd *e);

/*
 * Closes a key: its call has not run, and no later begin is granted.  Only the
 * granted attempt can close a started key.  An absent key gets a closed
 * record, so that a begin that arrives later is refused.
 *
 * err: 0 with the state closed, or done with the recorded answer;
 * -MW_EINPROGRESS (the key was granted to another attempt), -MW_EUNKNOWN,
 * -MW_EKEYREUSED, -MW_ELIMIT or -MW_EINVAL.
 */
struct ledger_answer ledger_close(struct ledger *l, uint64_t now_ms,
				  const struct ledger_limits *limits,
				  const Mw__LedgerClose *c);

/*
 * Sets the started keys of the host's incarnations up to the given one to
 * unknown, because a call that was granted may have run.  Returns their number.
 */
size_t ledger_host_gone(struct ledger *l, uint64_t now_ms, const char *host,
			uint64_t incarnation);

/*
 * Removes records in a final state that were last changed before before_ms,
 * at most LEDGER_EXPIRE_MAX in one call.  Returns their number.
 */
#define LEDGER_EXPIRE_MAX 20000
size_t ledger_expire(struct ledger *l, uint64_t before_ms);

size_t ledger_count(const struct ledger *l);
size_t ledger_count_account(const struct ledger *l, const char *account);
size_t ledger_count_started(const struct ledger *l);
size_t ledger_body_bytes(const struct ledger *l);
enum ledger_state ledger_lookup(const struct ledger *l, const char *account,
				const char *key);

/* Calls fn for started records, then final ones, each by time of change. */
void ledger_save(const struct ledger *l,
		 void (*fn)(const Mw__SnapLedger *rec, void *arg), void *arg);

/* Adds a saved record; same order as ledger_save().  0 or -MW_ECORRUPT. */
int ledger_load(struct ledger *l, const Mw__SnapLedger *rec);

#endif
