#ifndef CONTROL_CTL_FEED_H
#define CONTROL_CTL_FEED_H

#include "control/ctl.h"
#include "policy/registry.h"

/*
 * Updates that a control process sends to the entry hosts connected to it (role
 * "entry", without a lease): new versions of the tree, endpoints, crash marks,
 * and the load that the other entry hosts put on each endpoint.  An endpoint
 * announces itself to any one control process, which forwards each announcement
 * to the other control processes and only changes to the entry hosts.
 */
struct ctl_feed;

struct ctl_feed *ctl_feed_new(struct ctl *c);
void ctl_feed_free(struct ctl_feed *f);

void ctl_feed_peer_up(struct ctl_feed *f, struct peer *p);
void ctl_feed_peer_down(struct ctl_feed *f, struct peer *p);
/*
 * Sends changed crash marks and totals of the load to entry hosts, the totals
 * at most once per usage_totals_interval_us().  Call it in each iteration of
 * the event loop.
 */
void ctl_feed_flush(struct ctl_feed *f, int64_t now);
void ctl_feed_tick(struct ctl_feed *f, int64_t now);

/* The endpoints registered in this process; owned by the feed. */
const struct registry *ctl_feed_registry(const struct ctl_feed *f);

/*
 * Adds the load that the endpoints of this data centre reported to the totals
 * and forwards it to the other control processes.  The report is copied.
 */
void ctl_feed_report_loads(struct ctl_feed *f, Mw__UseReport *report,
			   int64_t now);

/* Whether an endpoint of the data centre is registered in this process. */
bool ctl_feed_has_dc(const struct ctl_feed *f, const char *dc);
/* Requests of all hosts at the endpoints of the data centre, some 0.1 s old. */
unsigned int ctl_feed_open_requests(const struct ctl_feed *f, const char *dc);

/* Call after a new version of the tree has been applied. */
void ctl_feed_tree_changed(struct ctl_feed *f);

/* An answer of this incarnation said that the endpoint leaves. */
void ctl_feed_mark_leaving(struct ctl_feed *f, const char *id,
			   uint64_t incarnation, int64_t now);

/* Merges endpoint rows of another process; replies if the frame is a call. */
void ctl_feed_merge_rows(struct ctl_feed *f, struct peer *from,
			 const Mw__Frame *frame, int64_t now);
void ctl_feed_handle_use_report(struct ctl_feed *f, struct peer *from,
				const Mw__UseReport *report, int64_t now);

/* An endpoint that leaves, as the replicated log has it. */
void ctl_feed_merge_departure(struct ctl_feed *f, const Mw__EndpointInfo *info);

/*
 * err is 0 when the announcement may be acknowledged to the endpoint, or
 * -MW_EAGAIN.  Leaving is acknowledged only when the replicated log has it
 * (ctl_departure.h); it is obeyed at once in any case.
 */
typedef void (*ctl_feed_ack_fn)(int err, void *ctx);
/*
 * Applies an announcement.  The server is asked before one that takes an
 * endpoint to another address, or a late leave, is obeyed (policy/owner.h).
 */
void ctl_feed_announce(struct ctl_feed *f, const Mw__EndpointInfo *info,
		       ctl_feed_ack_fn fn, void *ctx);
/* For an endpoint that leaves without an announcement of its own. */
void ctl_feed_leave(struct ctl_feed *f, const char *id, ctl_feed_ack_fn fn,
		    void *ctx);

#endif
