#ifndef FORWARD_STARTUP_H
#define FORWARD_STARTUP_H

#include <stdint.h>

/*
 * Requests that reach a host which has just started and has not learned the
 * plan, or any endpoint of a service, yet.  Pure functions, no I/O.
 *
 * After a loss of power of all machines a host has a plan about half a second
 * after its start, and the endpoints have announced themselves after 1.2 s.  A
 * caller that is refused in that time may try again once only, and meets
 * another host in the same state.  So such requests wait, as long as their
 * callers have time enough left for an answer or for another try.
 */

/* Time after the start in which a host learns the plan and the endpoints.  A
 * host that knows none after it is cut off from the control processes. */
#define STARTUP_US INT64_C(3000000)

/*
 * Time that a request may wait for them if it arrives now; 0: it is refused at
 * once.  time_left_us: until the caller's deadline; 0 or less: the caller has
 * named none.
 */
int64_t startup_wait_us(int64_t start_us, int64_t time_left_us, int64_t now);

#endif
