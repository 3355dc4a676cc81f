#include "policy/tell.h"

#include <glib.h>

/* A round trip within a data centre is 2 ms; less would change little. */
#define INTERVAL_MIN_US 10000
#define INTERVAL_MAX_US 100000

/* All hosts together report at most 8,000 times a second, which is some 0.1 of
 * a processor at each control process. */
#define REPORT_INTERVAL_US_PER_HOST 120

/* A host reports 4,000 rows of 40 bytes a second at most. */
#define REPORT_INTERVAL_US_PER_ROW 250

/* A control process tells 1,600 hosts a second at most. */
#define TOTALS_INTERVAL_US_PER_HOST 600

int64_t tell_report_us(unsigned int hosts, size_t rows)
{
	int64_t by_hosts = (int64_t)hosts * REPORT_INTERVAL_US_PER_HOST;
	int64_t by_rows = (int64_t)rows * REPORT_INTERVAL_US_PER_ROW;

	return CLAMP(MAX(by_hosts, by_rows), INTERVAL_MIN_US, INTERVAL_MAX_US);
}

int64_t tell_sums_us(unsigned int hosts)
{
	return CLAMP((int64_t)hosts * TOTALS_INTERVAL_US_PER_HOST,
		     INTERVAL_MIN_US, INTERVAL_MAX_US);
}
