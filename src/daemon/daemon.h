#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "iface/iface.h"

/*
 * Runs a process of the role that the flags name until it is stopped; returns
 * the exit status.  With an interface, entry hosts forward its requests
 * (forward/fwd.h) instead of speaking the product's own.
 */
int daemon_main(int argc, char **argv, const struct iface *iface);

#endif
