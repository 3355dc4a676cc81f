/*
 * All metrics of mustardwall, one row for each:
 * COUNTER, GAUGE or HISTOGRAM(id, name, unit, label or NULL, help)
 *
 * docs/counters.md is generated from this list; see counter.h.  Included
 * several times with different definitions, therefore without an include
 * guard.
 */
GAUGE(PEERS, "mustardwall_peers", "processes", NULL,
      "Other processes that are connected.")
COUNTER(PEER_FRAMES, "mustardwall_peer_frames_total", "frames", "direction",
	"Frames exchanged with other processes.")
COUNTER(PEER_BYTES, "mustardwall_peer_bytes_total", "bytes", "direction",
	"Bytes exchanged with other processes, with framing.")
COUNTER(PEER_CLOSED, "mustardwall_peer_closed_total", "connections", "reason",
	"Connections with other processes that ended, by error kind.")
COUNTER(PEER_CALL_TIMEOUTS, "mustardwall_peer_call_timeouts_total", "calls",
	NULL, "Calls to other processes without a reply in time.")
HISTOGRAM(PEER_CALL_US, "mustardwall_peer_call_us", "microseconds", NULL,
	  "Time from a call to another process to its reply.")
COUNTER(EVENTS, "mustardwall_events_total", "events", "kind",
	"Events recorded in the timeline.")
COUNTER(EVENT_BYTES_LOST, "mustardwall_event_bytes_lost_total", "bytes", NULL,
	"Bytes of the timeline file that could not be written.")
COUNTER(REQUESTS, "mustardwall_requests_total", "requests", "rank",
	"Generations that were admitted to a queue.")
COUNTER(REQUEST_ERRORS, "mustardwall_request_errors_total", "requests", "kind",
	"Generations that ended with an error, by error kind.")
COUNTER(RETRIES, "mustardwall_retries_total", "requests", "rank",
	"Generations that were placed again.")
COUNTER(RESUMED, "mustardwall_streams_resumed_total", "streams", NULL,
	"Streams that a caller resumed at this host.")
COUNTER(RECONNECTED, "mustardwall_streams_reconnected_total", "streams", NULL,
	"Connections to endpoints that were made again during a stream.")
COUNTER(DROPPED_EVENTS, "mustardwall_events_dropped_total", "events", NULL,
	"Token events that were dropped as repeated or of another generation.")
COUNTER(TOKENS, "mustardwall_tokens_total", "tokens", "rank",
	"Tokens received from endpoints.")
COUNTER(PROMPT_TOKENS, "mustardwall_prompt_tokens_total", "tokens", NULL,
	"Prompt tokens of finished generations, as counted by endpoints.")
COUNTER(CACHED_TOKENS, "mustardwall_cached_tokens_total", "tokens", NULL,
	"Prompt tokens that endpoints found in their prefix caches.")
COUNTER(PREEMPTIONS, "mustardwall_preemptions_total", "preemptions", "rank",
	"Preemptions of finished generations.")
COUNTER(STALL_US, "mustardwall_stall_us_total", "microseconds", "rank",
	"Time that finished generations were stalled by preemption.")
HISTOGRAM(QUEUE_WAIT_US, "mustardwall_queue_wait_us", "microseconds", "rank",
	  "Time from arrival to dispatch.")
HISTOGRAM(FIRST_TOKEN_US, "mustardwall_first_token_us", "microseconds", "rank",
	  "Time from arrival to the first token.")
HISTOGRAM(TOKEN_GAP_US, "mustardwall_token_gap_us", "microseconds", "rank",
	  "Time between two tokens.")
HISTOGRAM(REQUEST_US, "mustardwall_request_us", "microseconds", "rank",
	  "Time from arrival to the last token.")
HISTOGRAM(CALL_US, "mustardwall_call_us", "microseconds", "class",
	  "Time of calls to plain services.")
COUNTER(CALL_ERRORS, "mustardwall_call_errors_total", "calls", "kind",
	"Calls to plain services that ended with an error, by error kind.")
COUNTER(CALL_RETRIES, "mustardwall_call_retries_total", "calls", NULL,
	"Calls to plain services that were sent again.")
COUNTER(LEDGER_REPLAYED, "mustardwall_ledger_replayed_total", "calls", NULL,
	"Once-only calls that were answered from the ledger.")
COUNTER(LEDGER_UNRECORDED, "mustardwall_ledger_unrecorded_total", "attempts",
	NULL, "Attempts to record an outcome that the leader did not answer.")
COUNTER(SPILL_BYTES, "mustardwall_spill_bytes_total", "bytes", "direction",
	"Bytes of bodies exchanged with endpoints of other data centres.")
COUNTER(SPILL_REQUESTS, "mustardwall_spill_requests_total", "requests", "rank",
	"Generations that were sent to another data centre.")
COUNTER(LOAN_WAITS, "mustardwall_region_loan_waits_total", "requests", "rank",
	"Generations with allowed regions that waited for a loan outside their "
	"queue.")
COUNTER(DC_REQUESTS, "mustardwall_dc_requests_total", "requests", "distance",
	"Forwarded requests by the distance of their endpoint: same_dc, "
	"same_region or other_region.")
COUNTER(DC_BYTES, "mustardwall_dc_bytes_total", "bytes", "distance",
	"Bytes that these requests are expected to exchange.")
GAUGE(SPILL_LENT, "mustardwall_spill_lent_blocks", "blocks", NULL,
      "Blocks that this hub has lent to hubs of other data centres.")
GAUGE(SPILL_BORROWED, "mustardwall_spill_borrowed_blocks", "blocks", NULL,
      "Blocks that this hub has borrowed from hubs of other data centres.")
COUNTER(FORWARDED, "mustardwall_forwarded_total", "requests", "outcome",
	"Forwarded requests that ended, by outcome.")
COUNTER(REFUSED, "mustardwall_refused_total", "requests", "kind",
	"Forwarded requests that were refused, by error kind.")
COUNTER(REPEATS, "mustardwall_repeats_total", "requests", NULL,
	"Forwarded requests that were sent to another endpoint.")
COUNTER(UNREACHED, "mustardwall_unreached_total", "attempts", NULL,
	"Attempts of forwarded requests that reached no endpoint.")
COUNTER(MOVES, "mustardwall_moves_total", "steps", "outcome",
	"Steps of moving generations to other endpoints, by outcome.")
COUNTER(RESIDENCY, "mustardwall_residency_blocked_total", "requests", "reason",
	"Refusals, moves and copies that allowed regions decided, by reason.")
COUNTER(ACCOUNT_SHARES, "mustardwall_account_shares_total", "requests",
	"decision",
	"Generations refused above the share of their account, admitted within "
	"it, or displaced by another account's, while their queue was long.")
COUNTER(ENDPOINT_PAUSES, "mustardwall_endpoint_pauses_total", "pauses", NULL,
	"Pauses that endpoints asked for when they turned a request away.")
COUNTER(EVACUATIONS, "mustardwall_evacuations_total", "changes", "state",
	"Evacuations of data centres that began or ended on this process.")
COUNTER(DEPARTURES, "mustardwall_departures_total", "leaves", "outcome",
	"Leaves of endpoints that waited for their commit to the replicated "
	"log: recorded, or not in time.")
COUNTER(ENDPOINTS_COLD, "mustardwall_endpoints_cold_total", "endpoints",
	"source",
	"Endpoints that turned cold, by what this host learned it from.")
COUNTER(COLD_SENT, "mustardwall_cold_sent_total", "requests", NULL,
	"Requests and copies of generations that were sent to cold endpoints.")
COUNTER(ENDPOINTS_FAILING, "mustardwall_endpoints_failing_total", "endpoints",
	"requests",
	"Endpoints that began to fail more requests than others of their "
	"service: a part or most of them.")
GAUGE(ENDPOINTS_PACE, "mustardwall_endpoints_pace", "endpoints", "pace",
      "Model endpoints with a known speed: slow, alike or fast.")
GAUGE(PACE_WORST, "mustardwall_endpoint_pace_worst_percent", "percent", NULL,
      "Factor of the slowest endpoint relative to its service's median one.")
COUNTER(PACE_LATE, "mustardwall_pace_late_total", "requests", NULL,
	"Requests that were sent to an endpoint too slow for their target gap.")
COUNTER(CRASH_PROBES, "mustardwall_crash_probes_total", "connections",
	"outcome",
	"Connections to endpoints that broke off an attempt, by outcome.")
GAUGE(LOG_DROPPED, "mustardwall_log_lines_dropped", "lines", NULL,
      "Lines of the structured log that were left out since the start.")
COUNTER(CONNS_SHED, "mustardwall_connections_shed_total", "connections",
	"cause",
	"Connections of callers that were closed to keep within the memory, "
	"the connections or the times that this process has for them.")
COUNTER(MEMORY_REFUSED, "mustardwall_memory_refused_total", "requests", NULL,
	"Whole requests that were refused, not run, for want of memory.")
GAUGE(MEMORY_USED, "mustardwall_memory_used_bytes", "bytes", "kind",
      "Memory that callers make this process hold, by kind.")
GAUGE(OPEN_REQUESTS, "mustardwall_open_requests", "requests", NULL,
      "Requests and calls that are open.")
GAUGE(HTTP_REQUESTS, "mustardwall_http_requests", "requests", NULL,
      "HTTP requests that are open, with those being answered.")
GAUGE(TREE_VERSION, "mustardwall_tree_version", "version", NULL,
      "Version of the configuration tree in force.")
GAUGE(REP_TERM, "mustardwall_log_term", "term", NULL,
      "Term of the replicated log.")
GAUGE(REP_COMMIT, "mustardwall_log_commit", "entries", NULL,
      "Committed index of the replicated log.")
HISTOGRAM(SYNC_US, "mustardwall_sync_us", "microseconds", NULL,
	  "Time from an output of the log to the end of its sync.")
COUNTER(PROPOSALS, "mustardwall_proposals_total", "commands", "result",
	"Commands proposed to the replicated log, by error kind.")
HISTOGRAM(PROPOSAL_US, "mustardwall_proposal_us", "microseconds", NULL,
	  "Time from a proposal to its entry being applied on the leader.")
