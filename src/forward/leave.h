#ifndef FORWARD_LEAVE_H
#define FORWARD_LEAVE_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/leave_dc.h"

/*
 * Requests that leave the data centre of their host: the costs that the
 * placement of a request uses, counters and the log line `dc_share`.  The
 * decisions are in policy/leave_dc.h and forward/spread.h.
 */

struct fwd;
struct fwd_endpoint;
struct request;

/* Prices by the settings; disabled without --leave-dc or --dc-regions. */
struct leave_prices leave_prices(const struct fwd *f);

/* Costs of the distances for the request; false if fixed ones apply. */
bool leave_costs(const struct request *r, int64_t cost_us[LEAVE_CLASSES],
		 int64_t now);

/* The distance of an endpoint from the data centre dc. */
enum leave_class leave_distance(const struct fwd *f, const char *dc,
				const struct fwd_endpoint *ep);

/* Counts a request that is sent to the endpoint. */
void leave_record(struct request *r, const struct fwd_endpoint *ep,
		  int64_t now);

#endif
