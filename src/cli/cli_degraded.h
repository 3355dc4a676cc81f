#ifndef CLI_CLI_DEGRADED_H
#define CLI_CLI_DEGRADED_H

#include "cli/cli.h"

/*
 * What is degraded in a fleet, what that costs and what helps.  Pure.
 */

/* Free space below which a control process's disk is nearly full. */
#define CLI_DISK_LOW_BYTES ((int64_t)1 << 30)

/* A merged status; see cli_merge.h.  Borrowed. */
struct cli_view {
	const json_t *answers, *known, *silent;
	const json_t *rows;   /* endpoints */
	const json_t *queues; /* cli_merge_queues() */
	const json_t *voters; /* cli_merge_voters() */
	const json_t *cuts;   /* cli_merge_cuts() */
};

/*
 * [{"kind","subject","text","cost","help","since","age_s"}], worst first;
 * since and age_s are there if known.
 */
json_t *cli_degraded(const struct cli_view *v, int64_t now_us);

/* The leader's host by what the answers say, "" if nobody knows one. */
const char *cli_leader_name(const json_t *answers);

#endif
