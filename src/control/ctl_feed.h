#ifndef CONTROL_CTL_FEED_H
#define CONTROL_CTL_FEED_H

#include "control/ctl.h"
#include "policy/registry.h"

/*
 * What a control process tells entry hosts that follow it (role "entry"
 * without a lease): new versions of the tree, endpoints, and the work of the
 * other entry hosts.  Endpoints announce themselves to any control process;
 * each passes announcements on to the other control processes, and changes to
 * the entry hosts.
 */
struct ctl_feed;

struct ctl_feed *ctl_feed_new(struct ctl *c);
void ctl_feed_free(struct ctl_feed *f);

void ctl_feed_peer_up(struct ctl_feed *f, struct peer *p);
void ctl_feed_peer_down(struct ctl_feed *f, struct peer *p);
/* Tells hosts of work that changed; for each turn of the loop. */
void ctl_feed_flush(struct ctl_feed *f, int64_t now);
void ctl_feed_tick(struct ctl_feed *f, int64_t now);

/* Endpoints as known here; they belong to the feed. */
const struct registry *ctl_feed_registry(const struct ctl_feed *f);

/* What the endpoints of this data centre say of their load. */
void ctl_feed_loads(struct ctl_feed *f, Mw__UseReport *report, int64_t now);

/* A new version of the tree was applied here. */
void ctl_feed_tree_changed(struct ctl_feed *f);

/* Rows of another process; answered if it is a call. */
void ctl_feed_take_rows(struct ctl_feed *f, struct peer *from,
			const Mw__Frame *frame, int64_t now);
void ctl_feed_take_use(struct ctl_feed *f, struct peer *from,
		       const Mw__UseReport *report, int64_t now);

/*
 * fn gets 0 when the announcement may be acknowledged, or -MW_EAGAIN if no
 * other process has it.  An endpoint that leaves is acknowledged only once
 * another process knows: this one may fail before it tells anybody else.
 */
typedef void (*ctl_feed_fn)(int err, void *ctx);
void ctl_feed_announce(struct ctl_feed *f, const Mw__EndpointInfo *info,
		       ctl_feed_fn fn, void *ctx);
void ctl_feed_leave(struct ctl_feed *f, const char *id, ctl_feed_fn fn,
		    void *ctx);

#endif
