#ifndef POLICY_USAGE_INTERVAL_H
#define POLICY_USAGE_INTERVAL_H

#include <stddef.h>
#include <stdint.h>

/*
 * Intervals, in microseconds, at which usage is exchanged while it changes.
 *
 * Entry hosts report their use of each endpoint to a control process, which
 * sends the totals to its hosts.  Requests that one host has placed are visible
 * to the other hosts only with the next totals.  Until then several hosts
 * choose the same endpoint, where the prompts wait for each other, so the
 * intervals are short.  With many hosts or rows they grow up to a maximum, to
 * limit the messages to some thousands a second.
 */

/* Interval of a host's reports; `hosts` is all hosts, `rows` its own rows. */
int64_t usage_report_interval_us(unsigned int hosts, size_t rows);

/* Interval of the totals; `hosts` is the hosts the control process serves. */
int64_t usage_totals_interval_us(unsigned int hosts);

/*
 * Time until a host has in its totals what another one has placed, at most, if
 * both report to one of `controls` control processes (0 counts as 1); `rows`
 * is the number of rows of a host.
 */
int64_t usage_lag_us(unsigned int hosts, size_t rows, unsigned int controls);

#endif
