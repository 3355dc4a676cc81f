#ifndef POLICY_PATH_H
#define POLICY_PATH_H

#include <stdbool.h>

/*
 * The path of a request is matched and sent as it was received.  An endpoint
 * may read it in another way: decoded once or more often, without dot segments
 * and repeated slashes, with backslashes as slashes, without parameters of
 * segments, or up to a character that ends a path.
 */

/* Whether the target can be sent unchanged in a request line. */
bool path_can_be_sent(const char *target);

/*
 * Whether fn holds for one of these readings of the target's path, itself not
 * included.
 */
bool path_any_reading(const char *target,
		      bool (*fn)(const char *path, void *ctx), void *ctx);

#endif
