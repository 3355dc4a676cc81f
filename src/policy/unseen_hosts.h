#ifndef POLICY_UNSEEN_HOSTS_H
#define POLICY_UNSEEN_HOSTS_H

#include <stdint.h>

/*
 * Entry hosts whose load is missing in the totals although they run.  Pure
 * functions, times in microseconds.
 *
 * While the control processes are cut into parts, the totals of each part cover
 * only the hosts that report there.  A host would take the endpoints' memory
 * that the other hosts fill for free; all hosts together then place too much,
 * and engines preempt generations.  Hosts that ended are not taken for unseen:
 * then the number of control processes in the totals stays the same.
 */

/* After this time with fewer control processes, the rest is taken for gone. */
#define UNSEEN_HOSTS_BELIEVED_US INT64_C(60000000)

/* What the last totals covered. */
struct unseen_hosts {
	/* In the last totals that covered as many control processes as any
	 * before; 0: none yet. */
	unsigned int all_controls, all_hosts;
	int64_t complete_us; /* time of these */
	unsigned int controls, hosts;
};

/* Applies totals that cover so many control processes and entry hosts. */
void unseen_hosts_update(struct unseen_hosts *u, unsigned int controls,
			 unsigned int hosts, int64_t now);
/* Unseen hosts for each host that the totals cover; 0 if these are complete. */
double unseen_hosts_ratio(const struct unseen_hosts *u);

#endif
