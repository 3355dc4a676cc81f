#ifndef CONTROL_HUB_INT_H
#define CONTROL_HUB_INT_H

#include <glib.h>
#include "base/list.h"
#include "control/hub.h"
#include "policy/queue.h"

/* Shared by the hub_*.c files only. */

#define HUB_RANKS QUEUE_RANKS
#define HUB_GRANTS 4 /* unexpired grants kept for one host and endpoint */

/* What one host has of one endpoint. */
struct hub_cell {
	uint64_t held_blocks;	   /* reserved by the host, as reported */
	uint64_t granted_blocks;   /* blocks of the newest grant */
	uint64_t target_blocks;	   /* wanted by the last split */
	uint64_t committed_blocks; /* in ep->committed: max(held, unexpired
				      grants) */
	double deficit_blocks; /* parts of requests earned and not granted */
	uint32_t
		request_blocks; /* blocks of the host's next request, 0: none */
	bool target_is_one_request; /* target holds one whole request */
	unsigned n_grants;	    /* grants, oldest and largest first */
	struct {
		uint64_t blocks;
		int64_t expires_us;
	} grants[HUB_GRANTS];
};

/* Demand for one model over all hosts; computed anew by each split. */
struct hub_model {
	char *name;
	double free_blocks; /* blocks of all its endpoints that nobody holds */
	GArray *demands;    /* struct hub_model_demand */
	double *fair_weights; /* [rank][slot] of fair share */
	size_t n_fair_weights;
};

struct hub_ep {
	Mw__EndpointInfo *info;	  /* info->version: last change of any kind */
	uint64_t full_version;	  /* last change of more than the state */
	struct list version_node; /* in hub.rows, newest last */
	int64_t last_announce_us;
	int64_t dead_us; /* when it was found dead, 0: alive */
	uint64_t committed_blocks;
	bool scarce;		/* hosts want more than there is */
	bool lending;		/* other data centres want a part */
	GPtrArray *models;	/* struct hub_model */
	struct hub_cell *cells; /* by host slot */
	size_t n_cells;
};

struct hub_demand {
	struct hub_model *model;
	unsigned rank;
	uint64_t blocks, request_blocks;
};

struct hub_usage {
	struct hub_account *account;
	struct list node; /* in host.backlogged */
	uint64_t tokens;
	bool backlogged;
	uint64_t sent_total_tokens; /* total that the host was told */
	int64_t last_report_us;
};

struct hub_host {
	char *name;
	bool registered;
	uint64_t incarnation, seq;
	uint64_t grant_seq; /* newest grant sent, 0: none of this hub */
	unsigned slot;
	int64_t last_report_us;
	int64_t made_after_us; /* its report is surely not older */
	bool informed, has_lease;
	bool borrower; /* the hub of another data centre */
	uint64_t tree_version, pending_version, pending_attempt, member_version;
	GArray *demands;       /* struct hub_demand */
	GArray *spill_demands; /* struct hub_demand, for other data centres */
	GHashTable *usage;     /* fair key -> struct hub_usage */
	struct list backlogged;
};

/*
 * An endpoint of another data centre, lent to this one.  Its cells hold what
 * the hosts of this data centre have; the limit of their sum is `blocks`.
 */
struct hub_loan {
	struct hub_ep ep;
	char *dc;
	uint64_t version; /* of the row at the lender */
	uint64_t blocks;
	int64_t expires_us;
	int64_t evidence_us;	/* when the lender had heard the endpoint */
	int64_t last_listed_us; /* newest loan that listed it */
};

struct hub_account {
	char *key;
	unsigned rank;
	struct hub_model *model;
	double weight;
	uint64_t total_tokens;
	unsigned n_backlogged_hosts; /* with a backlog, during a split */
	int64_t last_report_us;
};

struct hub {
	struct hub_cfg cfg;
	char *name, *dc, *anchor;
	int64_t start_us, lease_us, last_allocation_us, last_purge_us;
	uint64_t version, tree_version, member_version;
	uint64_t purged_version; /* highest version of a forgotten row */
	bool leader_contact;
	GHashTable *eps;	     /* id -> struct hub_ep */
	struct list rows_by_version; /* of eps, by version */
	GHashTable *
		left_incarnations; /* id -> highest incarnation that has left */
	GQueue left_ids;	   /* ids, oldest first */
	GHashTable *hosts;	   /* name -> struct hub_host */
	unsigned n_registered;
	GPtrArray *slots;     /* struct hub_host or NULL */
	GHashTable *accounts; /* fair key -> struct hub_account */
	GHashTable *models;   /* name -> struct hub_model, never removed */
	double retry_tokens;
	GArray *allocation_buffer; /* doubles, used during a split */
	GPtrArray *small_cells;	   /* cells, used during a split */
	unsigned lend_percent;
	GHashTable *loans;   /* endpoint id -> struct hub_loan */
	GHashTable *lenders; /* data centre -> struct hub_lender */
};

static inline uint64_t hub_ep_limit(const struct hub *hub,
				    const struct hub_ep *ep)
{
	return (uint64_t)ep->info->blocks * (100 - hub->cfg.margin_percent) /
	       100;
}

static inline bool hub_host_live(const struct hub *hub,
				 const struct hub_host *h, int64_t now)
{
	return h->registered && h->last_report_us != INT64_MIN &&
	       now - h->last_report_us <= hub->lease_us;
}

/* Finds or adds a model; returns NULL if there are too many. */
struct hub_model *hub_get_model(struct hub *hub, const char *name);
void hub_model_free(void *model);

/* Sets ep->models from its row. */
void hub_ep_set_models(struct hub *hub, struct hub_ep *ep);

struct hub_cell *hub_get_cell(struct hub *hub, struct hub_ep *ep,
			      unsigned slot);

/* Computes cell->target for all hosts and endpoints, not more than 4/s. */
void hub_allocate(struct hub *hub, int64_t now);

/* Decides the blocks to grant now, within the limit, and notes the grant. */
uint64_t hub_cell_make_grant(struct hub *hub, struct hub_ep *ep, unsigned slot,
			     bool renew, int64_t now);

/* Counts the cell anew after held or time have changed. */
void hub_cell_update_committed(struct hub_ep *ep, struct hub_cell *cell,
			       int64_t now);

/* Drops what a removed host had. */
void hub_clear_slot(struct hub *hub, unsigned slot);

/*
 * Blocks that may be added to the cell, at most `blocks` in all, so that the
 * endpoint stays within `limit`; notes the grant.
 */
uint64_t hub_cell_grant_up_to(struct hub_ep *ep, struct hub_cell *cell,
			      uint64_t limit, uint64_t blocks, int64_t until,
			      int64_t now);

/* Finds or adds a host. */
struct hub_host *hub_get_host(struct hub *hub, const char *name);

/* ---- hub_lend.c ---- */
/* Bounds on the known endpoints of one message, and on a name. */
#define HUB_KNOWN_MAX 64
#define HUB_NAME_MAX 128

void hub_parse_spill_demands(struct hub *hub, GArray *to,
			     Mw__Demand *const *from, size_t n);
bool hub_ep_serves(const struct hub_ep *ep, const char *model);

/* Version of the row that the other side knows, 0 if none. */
uint64_t hub_find_known_version(Mw__EndpointUse *const *known, size_t n,
				const char *id);

/* A row for the receiver, complete or with the state only. */
Mw__SpillRow *hub_make_spill_row(const struct hub_ep *ep, const char *dc,
				 uint64_t version, bool full);

/* Milliseconds of a lease, and of an age, which must not seem less. */
uint32_t hub_us_to_ms_floor(int64_t us);
uint32_t hub_us_to_ms_ceil(int64_t us);

/* ---- hub_spill.c ---- */
void hub_spill_init(struct hub *hub);
void hub_spill_free(struct hub *hub);
void hub_spill_clear_slot(struct hub *hub, unsigned slot);

/*
 * Divides what the own hosts leave of an endpoint among the borrowers: adds to
 * shares[slot] and returns the sum.
 */
double hub_spill_allocate(struct hub *hub, struct hub_ep *ep, double rest,
			  double *shares, int64_t now);

/* Takes the spill part of a report and adds that of the grant. */
void hub_spill_process_report(struct hub *hub, struct hub_host *h,
			      const Mw__HubReport *report, Mw__HubGrant *grant,
			      int64_t now);

/* Adds the registry rows that the host lacks to the grant. */
void hub_grant_add_rows(struct hub *hub, Mw__HubGrant *grant, uint64_t have);

/* Takes the served tokens of a report; adds the totals to a grant. */
void hub_process_usage(struct hub *hub, struct hub_host *h,
		       const Mw__HubReport *report, int64_t now);
void hub_grant_add_usage(struct hub *hub, struct hub_host *h,
			 Mw__HubGrant *grant);
void hub_purge_usage(struct hub *hub, int64_t now);
void hub_usage_free(void *use);
void hub_account_free(void *account);

void hub_ep_free(void *ep);

#endif
