#include "policy/usage_interval.h"

#include <glib.h>

/*
 * A round trip within a data centre takes 2 ms; a shorter interval would change
 * little.
 */
#define INTERVAL_MIN_US 10000
#define INTERVAL_MAX_US 100000

/*
 * Some 8,300 reports a second from all hosts together, up to 833 hosts, where
 * the maximum interval is reached: about 0.1 CPU cores at each control process.
 */
#define REPORT_INTERVAL_US_PER_HOST 120

/* 4,000 rows of 40 to 60 bytes a second from one host, up to 400 rows. */
#define REPORT_INTERVAL_US_PER_ROW 250

/* Some 1,670 messages a second from a control process, up to 167 hosts. */
#define TOTALS_INTERVAL_US_PER_HOST 600

int64_t usage_report_interval_us(unsigned int hosts, size_t rows)
{
	int64_t by_hosts = (int64_t)hosts * REPORT_INTERVAL_US_PER_HOST;
	int64_t by_rows = (int64_t)rows * REPORT_INTERVAL_US_PER_ROW;

	return CLAMP(MAX(by_hosts, by_rows), INTERVAL_MIN_US, INTERVAL_MAX_US);
}

/* From a host to its control process, to another one in another region, and to
 * a host there. */
#define WAY_US 14000

int64_t usage_lag_us(unsigned int hosts, size_t rows, unsigned int controls)
{
	return usage_report_interval_us(hosts, rows) +
	       usage_totals_interval_us(hosts / MAX(controls, 1u)) + WAY_US;
}

int64_t usage_totals_interval_us(unsigned int hosts)
{
	return CLAMP((int64_t)hosts * TOTALS_INTERVAL_US_PER_HOST,
		     INTERVAL_MIN_US, INTERVAL_MAX_US);
}
