#ifndef CLI_CLI_MERGE_H
#define CLI_CLI_MERGE_H

#include "cli/cli.h"

/*
 * Merges the status answers of several processes.  Pure functions; the
 * arrays that they return are new.
 *
 * Answers carry ages, because the clocks of hosts differ.  Absolute times are
 * computed with the clock of this tool (now_us, wall time).
 */

/* Accounts that `status` shows. */
#define CLI_ACCOUNTS_MAX 10

/*
 * Ages above this are silence: a leader sends to each voter several times a
 * second.
 */
#define CLI_VOTER_SILENT_MS 3000

/* A change is in force everywhere within this time. */
#define CLI_CHANGE_MS 5000

/* Sets "since" (UTC text) and "age_s"; "since" is null if age_ms is negative.
 */
void cli_set_since(json_t *o, int64_t age_ms, int64_t now_us);

/* The answer of the leader, or NULL; borrowed. */
const json_t *cli_leading(const json_t *answers);

/* Processes named by the answers and not in known, by host; new array. */
json_t *cli_more_processes(const json_t *answers, const json_t *known);

/*
 * [{"rank","level","waiting","oldest_ms","longest","bound","refused",
 * "full_on":[HOST]}] by urgency, summed over entry hosts.
 */
json_t *cli_merge_queues(const json_t *answers);

/* The max largest of [{"account","tokens","running","waiting"}]. */
json_t *cli_merge_accounts(const json_t *answers, size_t max);

/* [{"version","hosts":[HOST]}], newest first. */
json_t *cli_merge_versions(const json_t *answers);

/* [{"dc","states":{"serving":N,...},"total":N}] by name. */
json_t *cli_merge_endpoints(const json_t *rows);

/* [{"id","host","dc","learner","answers":B,"heard_ms"}] by id. */
json_t *cli_merge_voters(const json_t *answers);

/*
 * [{"what":"data_centre"|"voter"|"host"|"endpoint","name","dc","why","since",
 * "age_s"}]: what is cut off.  silent holds the names of processes that did
 * not answer, known all processes, rows the endpoints.
 */
json_t *cli_merge_cuts(const json_t *answers, const json_t *known,
		       const json_t *silent, const json_t *rows,
		       int64_t now_us);

#endif
