#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "iface/iface.h"

/*
 * Runs the process in the role of --role until it shuts down.  If iface is
 * NULL, entry hosts serve the built-in interface (entry/entry.h); otherwise
 * they forward the requests of iface (forward/fwd.h).  iface must stay valid
 * until the call returns.
 *
 * Returns the exit status of the process: EXIT_SUCCESS, 2 if the settings are
 * invalid, or EXIT_FAILURE after any other error.
 */
int daemon_main(int argc, char **argv, const struct iface *iface);

#endif
