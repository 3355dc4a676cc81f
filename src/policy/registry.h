#ifndef POLICY_REGISTRY_H
#define POLICY_REGISTRY_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "wire/mw.pb-c.h"

/*
 * Registry of the endpoints, built from their own announcements.  Each process
 * that needs it keeps a copy and merges the rows it receives.  The result of
 * merging does not depend on the order, so copies that have received the same
 * rows are equal.
 *
 * A row is newer if its incarnation is higher, or equal with a higher seq.  An
 * incarnation that has left does not come back, and one whose answers said that
 * it leaves does not serve again, whatever it announces.
 *
 * One endpoint holds an address; others that announce it claim it and are not
 * to be used (policy/owner.h).  Which of them holds it depends on the order of
 * arrival until the answer of a server is recorded, with
 * registry_mark_replaced() for each endpoint that is not at its address.
 *
 * A row outlives its endpoint's announcements by REGISTRY_EXPIRY_US: an
 * endpoint that has lost its connection to the control processes may still
 * serve the entry hosts, which notice a failed endpoint by their own requests.
 *
 * All times are in microseconds of one monotonic clock.
 */

/* Time without an announcement after which a row is dropped. */
#define REGISTRY_EXPIRY_US INT64_C(60000000)

/*
 * An announcement is a change if it moves the end of the endpoint's warm-up by
 * more than this.  Announcements are late by less in ordinary load, and a host
 * adds this time to what is announced.
 */
#define REGISTRY_COLD_TOLERANCE_US INT64_C(1000000)

/*
 * Announcements of an endpoint whose answers said that it leaves are sent on
 * this often, although nothing changes: control processes that restart know it
 * from the hosts only, whose rows must not expire before its announcements end.
 */
#define REGISTRY_REPEAT_US (REGISTRY_EXPIRY_US / 3)

enum registry_change {
	REGISTRY_IGNORED,   /* superseded by a stored row: no effect */
	REGISTRY_REFRESHED, /* newer, with the same content */
	/* Must be sent on to the other processes: new content, or a repetition
	 * (REGISTRY_REPEAT_US). */
	REGISTRY_CHANGED,
};

struct registry_row {
	Mw__EndpointInfo *info;
	int64_t received_us; /* last announcement or change of state */
	int64_t since_us;    /* first announcement of this incarnation */
	int64_t sent_us;     /* last REGISTRY_CHANGED of registry_merge() */
	/* Of the announcement since which its state is "leaving"; or 0. */
	uint64_t leaving_seq;
	/* Until when processes that got only changes take it for cold; 0: warm.
	 */
	int64_t cold_until_us;
	bool follows;  /* an earlier incarnation was known */
	bool left;     /* this incarnation has left or lost its address */
	bool replaced; /* another server answered at its address */
	bool holds;    /* its address; at most one row does */
	bool claims;   /* an address that another row holds */
	/* Another endpoint claims its address, or has it after this one left:
	 * the server there is to be asked. */
	bool contested;
};

struct registry;

struct registry *registry_new(void);
void registry_free(struct registry *r);

/*
 * Calls fn after each change of a row, including that of an endpoint whose
 * address another one claims or has taken over.  fn must not change the
 * registry.
 */
void registry_watch(struct registry *r,
		    void (*fn)(const struct registry_row *row, void *arg),
		    void *arg);

/* Merges a row that was received; copies info. */
enum registry_change registry_merge(struct registry *r,
				    const Mw__EndpointInfo *info, int64_t now);

/*
 * Marks an endpoint as left that has not announced this itself.  Returns the
 * row to send to the other processes, valid until the next change of the
 * registry, or NULL if the id is unknown.
 */
const struct registry_row *registry_mark_left(struct registry *r,
					      const char *id, int64_t now);

/*
 * Adds an endpoint that is not known and has left: incarnations up to the given
 * one do not serve.  The row has no address.  A registry that has a row of the
 * endpoint, of such an incarnation, marks that as left instead.  Returns the
 * row to send to the other processes, valid until the next change.
 */
const struct registry_row *registry_add_left(struct registry *r, const char *id,
					     uint64_t incarnation, int64_t now);

/*
 * Marks an endpoint as gone because the server at its address answered that it
 * is another one.  Returns the row to send to the other processes, valid until
 * the next change of the registry, or NULL if this changes nothing.
 */
const struct registry_row *registry_mark_replaced(struct registry *r,
						  const char *id,
						  uint64_t incarnation,
						  int64_t now);

/*
 * Calls fn for each row that claims the address of the endpoint id, which holds
 * it.  fn must not change the registry.
 */
void registry_for_each_claim(const struct registry *r, const char *id,
			     void (*fn)(const struct registry_row *row,
					void *arg),
			     void *arg);

/*
 * Marks an endpoint as leaving because an answer of this incarnation said so.
 * Returns the row to send to the other processes, valid until the next change
 * of the registry, or NULL if this changes nothing.
 */
const struct registry_row *registry_mark_leaving(struct registry *r,
						 const char *id,
						 uint64_t incarnation,
						 int64_t now);

/*
 * Whether info, received from another process, offers an endpoint as serving
 * that this registry knows to leave or to have left.  The sender has lost that,
 * by a restart, and is to get the stored row.
 */
bool registry_contradicts(const struct registry *r,
			  const Mw__EndpointInfo *info);

/* Returns NULL if the id is unknown. */
const struct registry_row *registry_find(const struct registry *r,
					 const char *id);

/* Calls fn for all rows, including endpoints that have left. */
void registry_for_each(const struct registry *r,
		       void (*fn)(const struct registry_row *row, void *arg),
		       void *arg);

/*
 * Drops rows without an announcement for REGISTRY_EXPIRY_US.  A row in state
 * serving first becomes stale for another such period, and stale() is called
 * with it to send the change to the other processes.  Processes that receive
 * only changes, not each announcement, pass NULL; their serving rows do not
 * expire.
 */
void registry_expire(struct registry *r, int64_t now,
		     void (*stale)(const struct registry_row *row, void *arg),
		     void *arg);

/*
 * Starts the expiry of all rows again.  For a process that can't receive any
 * announcement now.
 */
void registry_hold(struct registry *r, int64_t now);

/* Value of leave_deadline_ms for an endpoint that has left for good. */
#define REGISTRY_LEFT_DEADLINE_MS UINT64_MAX

#define REGISTRY_SERVING "serving"
#define REGISTRY_LEAVING "leaving"
#define REGISTRY_STALE "stale"
/* Not announced: the endpoint claims an address that another one holds. */
#define REGISTRY_CLAIMS "claims"

#endif
