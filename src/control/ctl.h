#ifndef CONTROL_CTL_H
#define CONTROL_CTL_H

#include <stdbool.h>
#include <stdint.h>
#include <ev.h>
#include <glib.h>

#include "admin/admin.h"
#include "base/hlc.h"
#include "base/list.h"
#include "conf/conf.h"
#include "control/change.h"
#include "control/hub.h"
#include "control/lease.h"
#include "control/pace.h"
#include "net/fetch.h"
#include "net/httpd.h"
#include "net/peer.h"
#include "obs/event.h"
#include "rep/disk.h"
#include "rep/rep.h"
#include "state/sm.h"

/*
 * A control process: a voter of the replicated log, a replica of the state
 * machine and the hub of its data centre.  One event loop, one thread:
 *
 *   ctl.c         set-up, frames, timers
 *   ctl_boot.c    first start of a control group
 *   ctl_log.c     drives rep_ and disk_, applies entries, proposals
 *   ctl_lease.c   renewals, registration, deregistration
 *   ctl_change.c  configuration changes
 *   ctl_hub.c     the hub: reports, announcements, leaves
 *   ctl_order.c   orders to endpoints
 *   ctl_spill.c   asks of hubs of other data centres, and answers
 *   ctl_roster.c  control processes found through seeds, voters
 *   ctl_document.c  documents that are published as a whole
 *   ctl_feed.c    what entry hosts follow: tree, endpoints, work of others
 *   ctl_poll.c    load of the model endpoints of its data centre
 *   ctl_admin.c   HTTP paths of operators
 *   ctl_status.c  what is cut off and since when, for status answers
 */

struct ctl_status;
struct ctl_roster;
struct ctl_feed;
struct ctl_poll;
struct iface;

/* Result of a proposal: 0 and the outcome, or a negative error number. */
typedef void (*ctl_result_fn)(int err, const Mw__Result *r, void *ctx);

/* A change that waits for its turn or is being prepared. */
struct ctl_change {
	struct list node;
	Mw__Change *msg;
	ctl_result_fn fn;
	void *ctx;
};

/* Versions of the tree that are kept for operators, since the start. */
#define CTL_VERSIONS_KEPT 64

struct ctl {
	struct conf *conf;
	struct ev_loop *loop;
	struct hlc hlc;
	uint64_t incarnation;
	struct peer_net *peers;
	struct httpd *admin;
	struct admin admin_api;
	struct fetcher *fetcher;
	struct event_ring *events;

	struct disk *disk;
	struct rep *rep;
	struct sm *sm;
	uint64_t applied;
	struct tree *versions[CTL_VERSIONS_KEPT]; /* by version modulo */
	struct {
		char name[64];
		uint64_t revision;
		uint8_t *text;
		size_t len, text_len; /* compressed, uncompressed */
	} packed; /* the document that hosts asked for last */
	uint64_t snap_index;
	GHashTable *pending_proposals; /* index to struct pending_proposal */
	ev_timer tick;
	ev_prepare pump;
	int failed; /* error that ends the process */
	ev_signal sigterm, sigint, sighup;

	bool bootstrap_pending; /* the disk is empty and --bootstrap was given
				 */
	GHashTable *boot_incarnations; /* incarnations with empty disks */
	int64_t boot_round_us;

	/* Leader only. */
	bool leading;
	uint64_t leading_term;
	int64_t leading_since_us;
	struct lease_table *leases;
	struct change *change;	    /* being prepared */
	struct ctl_change *current; /* its origin */
	bool change_appended;
	uint64_t change_serial; /* of the newest preparation */
	struct list changes;	/* struct ctl_change that wait */
	int64_t flushed_us;
	int64_t last_prepare_us; /* last time that prepares were sent */
	int64_t dead_host_check_us;
	int64_t expire_us;
	struct list orders; /* ctl_order.c */
	struct store_pace store_pace;

	struct ctl_status *status;
	struct ctl_roster *roster; /* with --seeds */
	struct ctl_feed *feed;
	struct ctl_poll *poll; /* with an interface */
	struct list documents; /* ctl_document.c: what waits for its turn */
	struct list reads;     /* ctl_document.c: reads to be confirmed */
	bool publishing;
	const struct iface *iface; /* NULL: the product's own interfaces */
	struct httpd *outside;	   /* its HTTP server */
	struct hub *hub;
	uint64_t hub_members;  /* member version that the hub was told */
	uint64_t seen_members; /* newest one that a host reported */
	bool leader_contact;
	int64_t spill_us; /* when spill was last looked at */
};

/* iface may be NULL. */
int ctl_new(struct conf *conf, struct ev_loop *loop, const struct iface *iface,
	    struct ctl **out);
int ctl_run(struct ctl *c);
void ctl_free(struct ctl *c);

void ctl_event(struct ctl *c, enum event_kind kind, const char *change,
	       const char *endpoint, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/* Sends a frame to an entry host, directly or over the control that relays. */
int ctl_send_host(struct ctl *c, const char *host, Mw__Frame *f);

/* The connected control process with this voter id, or NULL. */
struct peer *ctl_voter_peer(struct ctl *c, uint32_t id);

/* The connected leader, or NULL; this process itself is never returned. */
struct peer *ctl_leader_peer(struct ctl *c);
const char *ctl_leader_host(struct ctl *c);

/* Whether this process is the leader and may act as such at `now`. */
bool ctl_is_leader(struct ctl *c, int64_t now);

/* ---- ctl_log.c ---- */
int ctl_log_open(struct ctl *c);
void ctl_log_close(struct ctl *c);
/* Carries out all output of the replicated log. */
void ctl_log_pump(struct ctl *c);
/* Proposes a command as leader; fn may be NULL. */
void ctl_propose(struct ctl *c, Mw__Command *cmd, ctl_result_fn fn, void *ctx);
void ctl_log_step(struct ctl *c, const Mw__RepMsg *m);
/* Ends all waiting proposals with -MW_EUNKNOWN. */
void ctl_log_fail_pending(struct ctl *c);

/* ---- ctl_boot.c ---- */
void ctl_boot_tick(struct ctl *c, int64_t now);
/* Whether this process listens at one of the seed addresses. */
bool ctl_boot_is_seed(const struct ctl *c);
void ctl_boot_serve(struct ctl *c, struct peer *from, const Mw__Frame *f);

/* ---- ctl_lease.c ---- */
void ctl_renew(struct ctl *c, struct peer *from, const Mw__Frame *f);
void ctl_lease_tick(struct ctl *c, int64_t now);
void ctl_forward_crash_mark(struct ctl *c, struct peer *from,
			    const Mw__Frame *f);
/* A host is about to be deregistered; its DC's weights change. */
void ctl_note_host_removal(struct ctl *c, const Mw__HostGone *gone);

/* ---- ctl_change.c ---- */
/* Takes a change as leader; takes over nothing. */
void ctl_change_submit(struct ctl *c, const Mw__Change *msg, ctl_result_fn fn,
		       void *ctx);
void ctl_change_ack(struct ctl *c, const Mw__PrepareAck *ack);
void ctl_change_tick(struct ctl *c, int64_t now);
/* The entry of a change was applied. */
void ctl_change_applied(struct ctl *c, const Mw__Change *msg,
			const Mw__Result *r);
/* Keeps the version in force for operators. */
void ctl_keep_version(struct ctl *c);
/* Leadership was lost. */
void ctl_change_fail_all(struct ctl *c);

/* ---- ctl_hub.c ---- */
void ctl_hub_start(struct ctl *c);
/* Tells the hub what this process knows. */
void ctl_hub_tell(struct ctl *c, int64_t now);
void ctl_hub_announce(struct ctl *c, const Mw__Frame *f, int64_t now);
void ctl_hub_leave(struct ctl *c, struct peer *from, const Mw__Frame *f,
		   int64_t now);
void ctl_hub_report(struct ctl *c, struct peer *from, const Mw__Frame *f,
		    int64_t now);

/* ---- ctl_order.c ---- */
void ctl_order_submit(struct ctl *c, const Mw__OrderIntent *msg,
		      ctl_result_fn fn, void *ctx);
void ctl_order_serve_lookup(struct ctl *c, struct peer *from,
			    const Mw__Frame *f);
void ctl_order_takeover(struct ctl *c, int64_t now);
void ctl_order_tick(struct ctl *c, int64_t now);
void ctl_order_fail_all(struct ctl *c);

/* ---- ctl_spill.c ---- */
void ctl_spill_tick(struct ctl *c, int64_t now);
void ctl_spill_serve(struct ctl *c, struct peer *from, const Mw__Frame *f,
		     int64_t now);
/* A connected control process of the data centre, the first of the list. */
struct peer *ctl_dc_peer(struct ctl *c, const char *dc);

#endif
