#ifndef CONTROL_USE_H
#define CONTROL_USE_H

#include <stdbool.h>
#include <stdint.h>

#include "wire/mw.pb-c.h"

/*
 * Sums the work of all entry hosts per endpoint, so that each host receives the
 * work of the other hosts.  Hosts need it because an endpoint reports its load
 * with a lag in which several hosts would choose the same endpoint, and because
 * the limit on repeated requests applies to all hosts together.  Control
 * processes report in the same form what endpoints say of their load.
 *
 * Does no I/O.  Times are monotonic, in microseconds.
 */
struct use_table;

/*
 * Interval at which a host is sent all sums and not only changed ones, because
 * an earlier message may have been lost.
 */
#define USE_FULL_TOTALS_INTERVAL_US INT64_C(1000000)

/* Age after which the last report of a host is left out of the sums. */
#define USE_REPORT_VALID_US INT64_C(2000000)

struct use_table *use_new(void);
void use_free(struct use_table *u);

/*
 * Stores a copy of a host's report; a report that is not newer (by incarnation,
 * then seq) than the stored one is ignored.  direct: the host sent it to this
 * process, not through another control process.
 */
void use_store_report(struct use_table *u, const Mw__UseReport *report,
		      bool direct, int64_t now);

/*
 * The connection to the host is closed, which ends its requests: the next
 * use_update_sums() leaves the host out.  A later report, which may come
 * through another control process, adds it again.
 */
void use_remove_host(struct use_table *u, const char *host);

/*
 * Whether the last report of the host came directly and is still valid; such a
 * host expects totals from this process.
 */
bool use_reports_directly(const struct use_table *u, const char *host,
			  int64_t now);

/* Whether a report was stored or a host dropped since the last
 * use_update_sums(). */
bool use_has_changes(const struct use_table *u);

/*
 * Recomputes the sums over all hosts with a valid report.  use_totals_new()
 * returns these sums until the next call.
 */
void use_update_sums(struct use_table *u, int64_t now);

/* Requests of all hosts at an endpoint, by the last use_update_sums(). */
unsigned int use_endpoint_streams(const struct use_table *u, const char *id);

/*
 * Returns the sums over all hosts but `except`, for sending to that host:
 * `partial` with only the endpoints whose sums changed in the last
 * use_update_sums(), or all endpoints if that host has got no full message for
 * USE_FULL_TOTALS_INTERVAL_US.  The message points to strings of `u`: use it
 * before the next call that changes `u`, and free it with use_totals_free().
 */
Mw__UseTotals *use_totals_new(struct use_table *u, const char *except,
			      int64_t now);
void use_totals_free(Mw__UseTotals *t);

#endif
