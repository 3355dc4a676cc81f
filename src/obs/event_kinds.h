/*
 * Kinds of events in the timeline: EVENT(id, name, sentence)
 *
 * The sentence may name {host}, {dc}, {request}, {account}, {endpoint},
 * {change} and {detail}.  Included several times with different definitions
 * of EVENT, therefore without an include guard.
 */

/* processes and their connections */
EVENT(START, "start", "{host} started: {detail}.")
EVENT(STOP, "stop", "{host} stopped: {detail}.")
EVENT(DRAIN, "drain", "{host} began to drain: {detail}.")
EVENT(PEER_UP, "peer_up", "{host} connected with {detail}.")
EVENT(PEER_DOWN, "peer_down", "{host} lost its connection with {detail}.")
EVENT(LEASE, "lease", "{host} holds a lease: {detail}.")
EVENT(FENCED, "fenced", "{host} was fenced and takes no new work: {detail}.")
EVENT(ISLAND, "island",
      "{host} serves without the control leader as part of an island in {dc}: "
      "{detail}.")
EVENT(HUB, "hub", "{host} uses another hub: {detail}.")
EVENT(HUB_ROLE, "hub_role", "The role of {host} as a hub changed: {detail}.")
EVENT(LEADER, "leader", "{host} saw a new control leader: {detail}.")
EVENT(HOST_REGISTERED, "host_registered", "A host was registered: {detail}.")
EVENT(HOST_GONE, "host_gone", "A host was deregistered: {detail}.")
EVENT(VOTER, "voter", "The control group changed: {detail}.")
EVENT(STORAGE, "storage", "Storage of {host} failed: {detail}.")

/* configuration */
EVENT(CHANGE_PROPOSED, "change_proposed",
      "{host} received change {change}: {detail}.")
EVENT(CHANGE_PREPARED, "change_prepared",
      "{host} stored change {change} as pending: {detail}.")
EVENT(CHANGE_ACCEPTED, "change_accepted",
      "Change {change} was accepted, and {host} holds it: {detail}.")
EVENT(CHANGE_REFUSED, "change_refused",
      "Change {change} was refused: {detail}.")
EVENT(CHANGE_UNKNOWN, "change_unknown",
      "The outcome of change {change} is not known to {host}: {detail}.")
EVENT(CHANGE_ACTIVE, "change_active",
      "Change {change} is in force on {host}: {detail}.")
EVENT(CHANGE_ABORTED, "change_aborted",
      "{host} dropped pending change {change}: {detail}.")
EVENT(EVACUATION, "evacuation", "On {host}, {detail}.")

/* endpoints */
EVENT(ENDPOINT_SEEN, "endpoint_seen",
      "Endpoint {endpoint} announced itself: {detail}.")
EVENT(ENDPOINT_STATE, "endpoint_state",
      "Endpoint {endpoint} changed its state: {detail}.")
EVENT(ENDPOINT_LEAVING, "endpoint_leaving",
      "Endpoint {endpoint} is leaving: {detail}.")
EVENT(ENDPOINT_SUSPECT, "endpoint_suspect",
      "{host} suspects endpoint {endpoint}: {detail}.")
EVENT(ENDPOINT_DEAD, "endpoint_dead",
      "Endpoint {endpoint} is considered dead: {detail}.")
EVENT(ENDPOINT_REFUSED, "endpoint_refused",
      "Endpoint {endpoint} refused request {request}: {detail}.")
EVENT(CREDIT, "credit", "The share of {host} in {endpoint} changed: {detail}.")
EVENT(ORDER_INTENT, "order_intent",
      "An order to {endpoint} was recorded: {detail}.")
EVENT(ORDER_SENT, "order_sent", "An order was sent to {endpoint}: {detail}.")
EVENT(ORDER_DONE, "order_done", "An order to {endpoint} ended: {detail}.")

/* requests */
EVENT(REQUEST, "request",
      "{host} received request {request} of {account}: {detail}.")
EVENT(QUEUED, "queued", "Request {request} was queued: {detail}.")
EVENT(DISPATCHED, "dispatched",
      "{host} sent request {request} to {endpoint}: {detail}.")
EVENT(FIRST_TOKEN, "first_token",
      "The first token of request {request} arrived from {endpoint}: {detail}.")
EVENT(PREEMPTED, "preempted",
      "Request {request} was preempted on {endpoint}: {detail}.")
EVENT(READMITTED, "readmitted",
      "Request {request} runs again on {endpoint}: {detail}.")
EVENT(RESUMED, "resumed",
      "{host} resumed request {request} at {endpoint}: {detail}.")
EVENT(RETRIED, "retried",
      "Request {request} is tried again after {endpoint}: {detail}.")
EVENT(FINISHED, "finished", "Request {request} finished: {detail}.")
EVENT(REFUSED, "refused",
      "{host} refused request {request} of {account}: {detail}.")
EVENT(CANCELLED, "cancelled", "Request {request} was cancelled: {detail}.")
EVENT(LOST, "lost",
      "Request {request} ended early because {endpoint} was lost: {detail}.")
EVENT(CROSSED, "crossed",
      "{host} dropped an answer of {endpoint} that belongs to another request "
      "than {request}: {detail}.")
EVENT(SLOW_READER, "slow_reader",
      "The caller of request {request} reads slowly: {detail}.")
EVENT(SPILLED, "spilled",
      "Request {request} was sent to another data centre: {detail}.")

/* once-only calls */
EVENT(ONCE_BEGIN, "once_begin",
      "The start of once-only call {request} of {account} was recorded: "
      "{detail}.")
EVENT(ONCE_END, "once_end",
      "The outcome of once-only call {request} was recorded: {detail}.")
EVENT(ONCE_REPLAYED, "once_replayed",
      "{account} got the first answer of call {request} again: {detail}.")
EVENT(ONCE_CLOSED, "once_closed",
      "Once-only call {request} was closed as not run: {detail}.")
EVENT(ONCE_UNKNOWN, "once_unknown",
      "The outcome of once-only call {request} is unknown: {detail}.")

/* requests that crash endpoints */
EVENT(CRASH_MARK, "crash_mark",
      "Request {request} of {account} was running when {endpoint} died: "
      "{detail}.")
EVENT(CRASH_REFUSED, "crash_refused",
      "Request {request} of {account} was refused because it crashes "
      "endpoints: {detail}.")
EVENT(CRASH_CLEARED, "crash_cleared",
      "Request {request} finished, so its mark was cleared: {detail}.")
