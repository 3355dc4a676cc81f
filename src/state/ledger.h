#ifndef STATE_LEDGER_H
#define STATE_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/mw.pb-c.h"

/*
 * The ledger of once-only calls: one record for each (account, key).
 *
 * At most one attempt (host, incarnation, attempt number) is ever granted for
 * a key while its record exists.  done, closed and unknown are final.  A host
 * sends a call at most once for an attempt number, even if it is told `first`
 * again because it repeated a begin whose answer was lost.
 */
struct ledger;

enum ledger_state {
	LEDGER_ABSENT = 0,
	LEDGER_STARTED,
	LEDGER_DONE,
	LEDGER_CLOSED,	/* not run, binding */
	LEDGER_UNKNOWN, /* may or may not have run */
};

#define LEDGER_KEY_MAX 255
#define LEDGER_NAME_MAX 255 /* account and host */
#define LEDGER_HASH_MAX 32
#define LEDGER_CONTENT_TYPE_MAX 127 /* content type */
#define LEDGER_BODY_MAX (64 * 1024)

/* Bounds, from the settings in force. */
struct ledger_limits {
	size_t keys_per_account;
	size_t keys;
	size_t body_bytes; /* a body beyond this total is not recorded */
};

/* Outcome of an operation; pointers are valid until the next change. */
struct ledger_answer {
	int err; /* 0 or negative */
	enum ledger_state state;
	bool first; /* the attempt may send the call */
	uint32_t status;
	const char *content_type;
	const uint8_t *body;
	size_t body_len;
	bool body_dropped; /* the answer had a body that was not recorded */
};

struct ledger *ledger_new(void);
void ledger_free(struct ledger *l);

/*
 * Asks for the right to send a call.  host_registered tells that this
 * incarnation of the host is registered; without it no new key is granted.
 *
 * err: 0 with first (granted; also for a repeated begin of the same attempt
 * while it is started), 0 with the recorded answer (done), -MW_EINPROGRESS,
 * -MW_ENOTRUN (closed), -MW_EUNKNOWN, -MW_EKEYREUSED, -MW_ELIMIT,
 * -MW_EFENCED, -MW_EINVAL.
 */
struct ledger_answer ledger_begin(struct ledger *l, uint64_t now_ms,
				  const struct ledger_limits *limits,
				  bool host_registered,
				  const Mw__LedgerBegin *b);

/*
 * Records the outcome of a granted attempt.  err: 0 (recorded now or before),
 * -MW_ENOTFOUND, -MW_ECONFLICT (another attempt holds the key), -MW_ENOTRUN,
 * -MW_EUNKNOWN, -MW_EINVAL.
 */
struct ledger_answer ledger_end(struct ledger *l, uint64_t now_ms,
				const struct ledger_limits *limits,
				const Mw__LedgerEnd *e);

/*
 * Makes "not run" binding, for the attempt that was granted or for an absent
 * key.  err: 0 with state closed, or done with the recorded answer;
 * -MW_EINPROGRESS (another attempt holds the key), -MW_EUNKNOWN,
 * -MW_EKEYREUSED, -MW_ELIMIT, -MW_EINVAL.
 */
struct ledger_answer ledger_close(struct ledger *l, uint64_t now_ms,
				  const struct ledger_limits *limits,
				  const Mw__LedgerClose *c);

/*
 * Started keys of the host with an incarnation up to the one given become
 * unknown.  Returns their number.
 */
size_t ledger_host_gone(struct ledger *l, uint64_t now_ms, const char *host,
			uint64_t incarnation);

/*
 * Removes records in a final state that were last changed before before_ms,
 * at most LEDGER_EXPIRE_MAX.  Returns their number.
 */
#define LEDGER_EXPIRE_MAX 20000
size_t ledger_expire(struct ledger *l, uint64_t before_ms);

size_t ledger_count(const struct ledger *l);
size_t ledger_count_account(const struct ledger *l, const char *account);
size_t ledger_count_started(const struct ledger *l);
size_t ledger_body_bytes(const struct ledger *l);
enum ledger_state ledger_lookup(const struct ledger *l, const char *account,
				const char *key);

/* Calls fn with each record, oldest change first within final and started. */
void ledger_save(const struct ledger *l,
		 void (*fn)(const Mw__SnapLedger *rec, void *arg), void *arg);

/* Adds a saved record.  Returns 0 or -MW_ECORRUPT. */
int ledger_load(struct ledger *l, const Mw__SnapLedger *rec);

#endif
