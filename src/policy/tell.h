#ifndef POLICY_TELL_H
#define POLICY_TELL_H

#include <stddef.h>
#include <stdint.h>

/*
 * How often a host reports its work, and a control process tells its hosts the
 * sums, while they change; in microseconds.
 *
 * The load that they answer: what one host places is seen by the others only
 * then, and until then they place on the same endpoints, whose prompts wait for
 * each other.  The bounds keep the messages to some thousands a second when
 * there are many hosts.
 */
int64_t tell_report_us(unsigned int hosts, size_t rows);
int64_t tell_sums_us(unsigned int hosts);

#endif
