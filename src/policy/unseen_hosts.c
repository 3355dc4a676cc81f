#include "policy/unseen_hosts.h"

#include <glib.h>

void unseen_hosts_update(struct unseen_hosts *u, unsigned int controls,
			 unsigned int hosts, int64_t now)
{
	u->controls = controls;
	u->hosts = hosts;
	if (controls < u->all_controls &&
	    now - u->complete_us < UNSEEN_HOSTS_BELIEVED_US)
		return;
	u->all_controls = controls;
	u->all_hosts = hosts;
	u->complete_us = now;
}

/*
 * Hosts report to the control processes evenly, so that the part of the hosts
 * that is unseen is at most that of the control processes.  It is less if hosts
 * of a control process that ended report to another one.
 */
double unseen_hosts_ratio(const struct unseen_hosts *u)
{
	double expected, unseen;

	if (u->controls >= u->all_controls || u->hosts >= u->all_hosts ||
	    !u->hosts)
		return 0;
	expected = (double)u->all_hosts * (u->all_controls - u->controls) /
		   u->all_controls;
	unseen = MIN(expected, (double)(u->all_hosts - u->hosts));
	return unseen / u->hosts;
}
