#ifndef CONTROL_USE_H
#define CONTROL_USE_H

#include <stdbool.h>
#include <stdint.h>

#include "wire/mw.pb-c.h"

/*
 * Work of all entry hosts on each endpoint, summed for one of them.  It
 * answers the load that hosts put on endpoints within the lag of the
 * endpoints' own reports, and bounds repeats over all hosts.  Does no I/O.
 */
struct use;

/* All sums are told again after this, should a message have been lost. */
#define USE_WHOLE_US INT64_C(1000000)

/* A host that was not heard for so long no longer counts. */
#define USE_VALID_US INT64_C(2000000)

struct use *use_new(void);
void use_free(struct use *u);

/* Takes a report of a host, direct or through another control process. */
void use_take(struct use *u, const Mw__UseReport *report, bool direct,
	      int64_t now);

/* The connection to the host is gone; its requests are gone with it. */
void use_drop(struct use *u, const char *host);

/* Whether the host itself reports to this process, and waits for totals. */
bool use_reports_here(const struct use *u, const char *host, int64_t now);

/* Whether a report came, or a host left, since the last use_sum(). */
bool use_is_new(const struct use *u);

/* Sums up all hosts; use_totals() tells of these sums until the next call. */
void use_sum(struct use *u, int64_t now);

/*
 * The sums over all hosts but `except`: the endpoints whose sums changed with
 * the last use_sum(), or all if that host has not been told all for a while.
 */
Mw__UseTotals *use_totals(struct use *u, const char *except, int64_t now);
void use_totals_free(Mw__UseTotals *t);

#endif
