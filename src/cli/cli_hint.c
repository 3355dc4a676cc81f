#include "cli/cli.h"

#include <string.h>
#include <glib.h>

/* What to do next after an error: the first row that fits. */
static const struct {
	const char *command; /* beginning of its name; "" fits all */
	const char *kind;
	const char *hint;
} hints[] = {
	{"", "unauthorized",
	 "is --key-file the operator key? its hash (mustardwall key hash FILE) "
	 "must be in key_hash of an operators/... node"},
	{"", "forbidden", "use the key of an operator with may_write"},
	{"", "conflict",
	 "look at what won (mustardwall tree history, mustardwall tree diff), "
	 "then send the change again, with a new id and without --base"},
	{"", "schema_violation",
	 "docs/settings.md lists keys and ranges; mustardwall tree get PATH "
	 "--resolved shows the node"},
	{"", "data_centre_cut",
	 "mustardwall status tells since when; wait, or send it again with a "
	 "new id and --leave-out=DC"},
	{"", "key_reused", "leave --id away, or choose another"},
	{"", "queue_full", "other changes wait; send it again in some seconds"},
	{"", "no_leader",
	 "mustardwall status tells who leads and which voters are missing"},
	{"", "not_leader",
	 "mustardwall status tells who leads; send it again in some seconds"},
	{"", "outcome_unknown",
	 "send it again with the same id and base: that gets the first "
	 "outcome"},
	{"", "draining", "ask another process with --admin"},
	{"", "try_again",
	 "the process has no settings yet; ask another one with --admin"},
	{"", "no_events",
	 "each process keeps its last 20000 events, older ones may be gone: "
	 "mustardwall timeline --since=1h shows what there is"},
	{"host remove", "in_progress",
	 "it is alive: mustardwall drain HOST, or stop it and wait 5 s"},
	{"voter", "in_progress",
	 "one change of voters at a time: wait until mustardwall voter list "
	 "shows the last one"},
	{"host remove", "not_found", "mustardwall status lists the hosts"},
	{"drain", "not_found", "mustardwall status lists the hosts"},
	{"evacuate", "not_found",
	 "mustardwall endpoints lists the data centres"},
	{"order", "not_found", "mustardwall endpoints lists the endpoints"},
	{"tree diff", "not_found",
	 "a control process keeps at most the last 64 versions since its "
	 "start: ask another one with --admin"},
	{"tree", "not_found", "mustardwall tree get lists all nodes"},
	{"voter", "invalid_request", "usage: voter add ID IP:PORT"},
	{"", "invalid_request", "see mustardwall --help"},
};

const char *cli_hint(const struct cli *c, int status)
{
	const char *command = c->command ? c->command : "";

	if (status == CLI_OK || status == CLI_DEGRADED)
		return NULL;
	for (size_t i = 0; i < G_N_ELEMENTS(hints); i++)
		if (!strcmp(hints[i].kind, c->error_kind) &&
		    g_str_has_prefix(command, hints[i].command))
			return hints[i].hint;
	if (status == CLI_UNREACHABLE)
		return "do the addresses and the network fit, and do the "
		       "processes run? name more addresses: IP:PORT,IP:PORT";
	if (status == CLI_USAGE && c->err.len &&
	    !strstr(buf_head(&c->err), "--help") &&
	    !strstr(buf_head(&c->err), "usage:"))
		return "see mustardwall --help";
	/* The findings tell what to change. */
	if (status == CLI_REFUSED && strcmp(command, "check") != 0)
		return "mustardwall status shows the fleet; nothing has "
		       "changed";
	return NULL;
}
