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
#include "policy/evacuation.h"
#include "rep/disk.h"
#include "rep/rep.h"
#include "state/sm.h"

/*
 * A control process: a voter of the replicated log, a replica of the state
 * machine and the hub of its data centre.  One event loop, in one thread, and a
 * thread that writes the log (rep/disk_writer.h):
 *
 *   ctl.c         set-up, frames, timers
 *   ctl_boot.c    first start of a control group
 *   ctl_log.c     runs the replicated log (rep.h, disk.h), applies entries,
 *                 makes proposals
 *   ctl_lease.c   renewals, registration, deregistration
 *   ctl_change.c  configuration changes
 *   ctl_hub.c     the hub: reports, announcements, leaves
 *   ctl_order.c   orders to endpoints
 *   ctl_spill.c   loan requests to the hubs of other data centres, and theirs
 *   ctl_roster.c  control processes found through seeds, voters
 *   ctl_document.c  documents that operators publish as a whole
 *   ctl_evacuate.c  orders to evacuate a data centre
 *   ctl_departure.c  records which endpoints leave
 *   ctl_feed.c    updates to entry hosts: tree, endpoints, the load that other
 *                 entry hosts put on the endpoints
 *   ctl_poll.c    polls the model endpoints of its data centre for their load
 *   ctl_admin.c   HTTP paths of operators
 *   ctl_status.c  disconnected voters, hosts and data centres, for status
 *                 answers
 */

struct ctl_status;
struct ctl_roster;
struct ctl_feed;
struct ctl_poll;
struct evacuation_order;
struct iface;

/*
 * Result of a proposal.  err is 0 and r the outcome of the command, which may
 * itself be an error; or err is a negative error number and r is NULL.  r is
 * valid during the call only.
 */
typedef void (*ctl_result_fn)(int err, const Mw__Result *r, void *ctx);

/* A configuration change that is queued or being prepared. */
struct ctl_change {
	struct list node;
	Mw__Change *msg;
	bool blind;	      /* made from no version: applies to any */
	int64_t not_after_us; /* begins no later than this; 0: any time */
	ctl_result_fn fn;
	void *ctx;
};

/*
 * Operators can read this many of the newest tree versions, or fewer if their
 * JSON forms would exceed CTL_VERSIONS_BYTES together.  They are kept in
 * memory: versions from before the start of the process are not available.
 */
#define CTL_VERSIONS_KEPT 64
#define CTL_VERSIONS_BYTES (4u << 20)

struct ctl {
	struct conf *conf;
	struct ev_loop *loop;
	struct hlc hlc;
	uint64_t incarnation;
	struct peer_net *peers;
	struct httpd *admin;
	struct admin admin_api;
	struct fetcher *fetcher;
	struct membudget memory; /* what clients make this process hold */
	struct membudget_holder state_memory; /* of the replicated state */
	struct event_ring *events;

	struct disk *disk; /* used by the thread of disk_writer */
	struct disk_writer *disk_writer;
	ev_async disk_progress;
	uint64_t disk_done;	 /* jobs of the writer that are done */
	uint64_t vote_job;	 /* the newest job with a vote, or 0 */
	uint64_t disk_log_bytes; /* size of the log on disk */
	struct list disk_writes; /* ctl_log.c: jobs not known to be done */
	struct list held_msgs;	 /* ctl_log.c: until a vote is durable */
	bool snapshot_pending;	 /* a snapshot is being saved */
	struct rep *rep;
	struct sm *sm;
	uint64_t applied;
	bool caught_up; /* has applied, since its start, all that a leader had
			   committed; before, no host gets its tree */
	/* Slot: version % CTL_VERSIONS_KEPT. */
	struct tree *versions[CTL_VERSIONS_KEPT];
	size_t versions_bytes; /* their JSON forms */
	struct {
		char name[64];
		uint64_t revision;
		uint8_t *text;	 /* compressed */
		size_t len;	 /* of text, bytes; 0: none */
		size_t text_len; /* uncompressed, bytes */
	} compressed_document;	 /* the one that a host requested last */
	uint64_t last_snapshot_index;
	size_t last_snapshot_bytes;
	size_t tail_bytes;	       /* of the entries applied after it */
	GHashTable *pending_proposals; /* index to struct pending_proposal */
	ev_timer tick_timer;
	ev_prepare before_wait;
	int64_t stop_us; /* time of SIGTERM, or 0 */
	int exit_error;	 /* error number that ends the process, or 0 */
	ev_signal sigterm, sigint, sighup;

	/* The disk is empty and --bootstrap was given. */
	bool bootstrap_pending;
	GHashTable *boot_incarnations; /* of processes with an empty disk */
	int64_t boot_round_us;

	/* Leader only. */
	bool leading;
	uint64_t leading_term;
	int64_t leading_since_us;
	struct lease_table *leases;
	struct change *change;	    /* being prepared, or NULL */
	struct ctl_change *current; /* the request that change comes from */
	bool change_appended;
	uint64_t change_serial; /* of the newest preparation */
	struct list changes;	/* queued struct ctl_change */
	int64_t last_event_flush_us;
	int64_t last_prepare_us; /* last time that prepares were sent */
	int64_t dead_host_check_us;
	int64_t last_expire_us;
	struct list orders; /* ctl_order.c */
	struct store_pace store_pace;

	struct ctl_status *status;
	struct ctl_roster *roster; /* with --seeds */
	struct ctl_feed *feed;
	struct ctl_poll *poll;	       /* with iface only */
	struct list publications;      /* ctl_document.c: queued publications */
	struct list document_reads;    /* ctl_document.c: unconfirmed reads */
	bool publishing;	       /* a publication is being committed */
	struct evacuation evacuation;  /* of the tree in force */
	struct list departures;	       /* ctl_departure.c: leaves to record */
	struct list evacuation_calls;  /* ctl_evacuate.c: calls to answer */
	struct list evacuation_orders; /* ctl_evacuate.c: queued, as leader */
	struct evacuation_order *evacuating; /* being committed, or NULL */
	struct list document_waits; /* ctl_document.c: hosts to answer */
	const struct iface *iface;  /* NULL: the product's own interfaces */
	struct httpd *iface_httpd;  /* serves iface on the listen address */
	struct hub *hub;
	uint64_t hub_member_version; /* version of the member list that hub has
				      */
	uint64_t reported_member_version; /* newest version that a host reported
					   */
	bool leader_contact;   /* this process leads or has a leader */
	int64_t last_spill_us; /* last round of loan requests */
};

/*
 * Starts a control process: opens the data directory, listens and connects.
 * iface may be NULL; conf and iface must outlive *out.  Returns 0 or a negative
 * error number.  *out is set in both cases and is released by ctl_free().
 */
int ctl_new(struct conf *conf, struct ev_loop *loop, const struct iface *iface,
	    struct ctl **out);
/* Runs the event loop to its end; returns 0 or the error that ended it. */
int ctl_run(struct ctl *c);
void ctl_free(struct ctl *c);

/* Adds an event to the time line; change and endpoint may be NULL. */
void ctl_event(struct ctl *c, enum event_kind kind, const char *change,
	       const char *endpoint, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/*
 * Sends a frame to an entry host, or to the control process that relays its
 * lease renewals if there is no connection to the host.  Returns 0 or a
 * negative error number, -MW_ENOTFOUND if neither is connected.
 */
int ctl_send_host(struct ctl *c, const char *host, Mw__Frame *f);

/* The connected control process with this voter id, or NULL. */
struct peer *ctl_voter_peer(struct ctl *c, uint32_t id);

/* The connected leader, or NULL; this process itself is never returned. */
struct peer *ctl_leader_peer(struct ctl *c);
/* Host of the leader, this process included; "" if none is connected. */
const char *ctl_leader_host(struct ctl *c);

/* Whether this process is the leader and its lease holds at `now`. */
bool ctl_is_leader(struct ctl *c, int64_t now);

/* ---- ctl_log.c ---- */
int ctl_log_open(struct ctl *c);
void ctl_log_close(struct ctl *c);
/* Performs all pending output of the replicated log: disk, network, apply. */
void ctl_log_pump(struct ctl *c);
/* Proposes a command as leader; fn may be NULL and is called once. */
void ctl_propose(struct ctl *c, Mw__Command *cmd, ctl_result_fn fn, void *ctx);
/* Handles a message of another voter. */
void ctl_log_step(struct ctl *c, const Mw__RepMsg *m);
/* Ends all pending proposals with -MW_EUNKNOWN. */
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
/*
 * Call before a host is deregistered, since that changes the weights of the
 * hosts of its data centre.
 */
void ctl_note_host_removal(struct ctl *c, const Mw__HostGone *gone);

/* ---- ctl_change.c ---- */
/*
 * Queues a change as leader; msg is copied.  If the queue is full, fn is called
 * at once with -MW_EQUEUEFULL; it may be NULL only where that cannot happen.
 */
void ctl_change_submit(struct ctl *c, const Mw__Change *msg, ctl_result_fn fn,
		       void *ctx);
/*
 * As ctl_change_submit(), for a change that sets the same values whatever the
 * version: it is applied to the version in force when its turn comes, so it
 * cannot conflict with changes before it.
 */
void ctl_change_submit_blind(struct ctl *c, const Mw__Change *msg,
			     ctl_result_fn fn, void *ctx);
/*
 * As ctl_change_submit_blind(), before all queued changes; fn gets
 * -MW_EDEADLINE if the change has not begun at not_after_us, without effect.
 */
void ctl_change_submit_urgent(struct ctl *c, const Mw__Change *msg,
			      int64_t not_after_us, ctl_result_fn fn,
			      void *ctx);
void ctl_change_ack(struct ctl *c, const Mw__PrepareAck *ack);
void ctl_change_tick(struct ctl *c, int64_t now);
/* The entry of a change was applied. */
void ctl_change_applied(struct ctl *c, const Mw__Change *msg,
			const Mw__Result *r);
/* Keeps the tree version in force, for operators to read. */
void ctl_keep_version(struct ctl *c);
/* Ends all changes with an error; called when leadership is lost. */
void ctl_change_fail_all(struct ctl *c);

/* ---- ctl_hub.c ---- */
void ctl_hub_start(struct ctl *c);
/* Updates the hub's view of leader, tree and members, and runs its timers. */
void ctl_hub_update(struct ctl *c, int64_t now);
void ctl_hub_announce(struct ctl *c, const Mw__Frame *f, int64_t now);
void ctl_hub_leave(struct ctl *c, struct peer *from, const Mw__Frame *f,
		   int64_t now);
/* Adds the committed leave of an endpoint to the hub. */
void ctl_hub_departed(struct ctl *c, const Mw__EndpointInfo *info);
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
/* Answers a loan request of another data centre's hub. */
void ctl_spill_serve(struct ctl *c, struct peer *from, const Mw__Frame *f,
		     int64_t now);
/*
 * The first connected control process of the data centre, in the order of the
 * configuration; NULL if none is connected.
 */
struct peer *ctl_dc_peer(struct ctl *c, const char *dc);

#endif
