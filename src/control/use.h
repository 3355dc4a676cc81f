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

/* Sums over all hosts but `except`. */
Mw__UseTotals *use_totals(struct use *u, const char *except, int64_t now);
void use_totals_free(Mw__UseTotals *t);

#endif
