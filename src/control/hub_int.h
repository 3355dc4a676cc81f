#ifndef CONTROL_HUB_INT_H
#define CONTROL_HUB_INT_H

#include <glib.h>
#include "base/list.h"
#include "control/hub.h"
#include "policy/owner.h"
#include "policy/queue.h"

/*
 * Internals shared by hub.c, hub_credit.c, hub_spill_lender.c, hub_registry.c,
 * hub_spill_borrower.c and hub_usage.c only.
 */

#define HUB_RANKS QUEUE_RANKS
#define HUB_GRANTS 4 /* unexpired grants kept for one host and endpoint */

/* Memory of one endpoint as held by and granted to one host. */
struct hub_cell {
	uint64_t held_blocks;	   /* reserved by the host, as reported */
	uint64_t granted_blocks;   /* of the newest grant */
	uint64_t target_blocks;	   /* computed by the last allocation */
	uint64_t committed_blocks; /* max(held, largest unexpired grant) */
	double deficit_blocks;	   /* shares too small for a request, summed */
	uint32_t request_blocks; /* size of the host's next request, 0: none */
	bool target_is_one_request; /* target is held_blocks + one request */
	unsigned n_grants;	    /* unexpired; oldest and largest first */
	struct {
		uint64_t blocks;
		int64_t expires_us;
	} grants[HUB_GRANTS];
};

/* Demand for one model over all hosts; recomputed by each allocation. */
struct hub_model {
	char *name;
	double free_blocks;   /* not held by any host, over all its endpoints */
	GArray *demands;      /* struct hub_model_demand */
	double *fair_weights; /* [rank][slot], for fair share */
	size_t n_fair_weights;
};

/* A registered endpoint, or one lent by another data centre (hub_loan). */
struct hub_ep {
	Mw__EndpointInfo *info;	  /* info->version: of the last change */
	uint64_t full_version;	  /* of the last change beyond the state */
	struct list version_node; /* in hub.rows_by_version, newest last */
	int64_t last_announce_us;
	const char *announced;	   /* state, a literal */
	struct owner_claim owner;  /* of its address */
	int64_t dead_us;	   /* when it was declared dead, 0: alive */
	uint64_t committed_blocks; /* sum over the cells */
	bool scarce;		/* the own hosts' demand exceeds free memory */
	bool lending;		/* part of it goes to other data centres */
	GPtrArray *models;	/* struct hub_model */
	struct hub_cell *cells; /* by host slot */
	size_t n_cells;
};

struct hub_demand {
	struct hub_model *model;
	unsigned rank;
	uint64_t blocks;	 /* of all waiting requests */
	uint64_t request_blocks; /* of one request */
};

/* Tokens that one host has served for one account. */
struct hub_usage {
	struct hub_account *account;
	struct list node; /* in host.backlogged */
	uint64_t tokens;  /* as reported */
	bool backlogged;
	uint64_t sent_total_tokens; /* account total last sent to the host */
	int64_t last_report_us;
};

struct hub_host {
	char *name;
	bool registered;
	uint64_t incarnation, seq; /* of the newest report or spill ask */
	uint64_t grant_seq;	   /* newest grant sent by this hub, 0: none */
	unsigned slot;		   /* index in hub.slots and in the cells */
	int64_t last_report_us;
	int64_t made_after_us; /* its newest report was made after this */
	bool informed;	       /* counts for the island rule */
	bool has_lease;
	bool borrower; /* stands for the hub of another data centre */
	uint64_t tree_version;
	uint64_t pending_version, pending_attempt; /* of a prepared change */
	uint64_t member_version;
	GArray *demands;       /* struct hub_demand */
	GArray *spill_demands; /* struct hub_demand, for other data centres */
	GHashTable *usage;     /* fair key -> struct hub_usage */
	struct list backlogged;
};

/*
 * An endpoint that another data centre lends to this one.  The cells of `ep`
 * are those of this data centre's hosts; the limit of their sum is `blocks`.
 */
struct hub_loan {
	struct hub_ep ep; /* first, as loans are passed as endpoints */
	char *dc;
	uint64_t version; /* of the row, assigned by the lender */
	uint64_t blocks;
	int64_t expires_us;
	int64_t evidence_us;	/* newest announcement received by the lender */
	int64_t last_listed_us; /* when a loan message last listed it */
};

/* A fair-share account, over all hosts. */
struct hub_account {
	char *key; /* fair key */
	unsigned rank;
	struct hub_model *model;
	double weight;
	uint64_t total_tokens; /* served; only differences have a meaning */
	unsigned n_backlogged_hosts; /* set during an allocation */
	int64_t last_report_us;
};

struct hub {
	struct hub_cfg cfg;
	char *name, *dc, *anchor;
	int64_t start_us, lease_us, last_allocation_us, last_purge_us;
	uint64_t version; /* of the registry */
	uint64_t tree_version, member_version;
	uint64_t purged_version; /* highest version of a removed row */
	bool leader_contact;
	GHashTable *eps;	       /* id -> struct hub_ep */
	struct list rows_by_version;   /* struct hub_ep */
	GHashTable *left_incarnations; /* id -> highest one that has left */
	GQueue left_ids;	       /* its keys, oldest first */
	GHashTable *hosts;	       /* name -> struct hub_host */
	unsigned n_registered;
	GPtrArray *slots;     /* struct hub_host or NULL */
	GHashTable *accounts; /* fair key -> struct hub_account */
	GHashTable *models;   /* name -> struct hub_model, never removed */
	double retry_tokens;
	GArray *allocation_buffer; /* of double */
	GPtrArray *small_cells;	   /* struct hub_cell, during an allocation */
	unsigned lend_percent;
	GHashTable *loans;   /* endpoint id -> struct hub_loan */
	GHashTable *lenders; /* data centre -> struct hub_lender */
};

/* Blocks of an endpoint that may be granted in total. */
static inline uint64_t hub_ep_limit(const struct hub *hub,
				    const struct hub_ep *ep)
{
	return (uint64_t)ep->info->blocks * (100 - hub->cfg.margin_percent) /
	       100;
}

/* Returns whether a registered host has reported within the last lease. */
static inline bool hub_host_live(const struct hub *hub,
				 const struct hub_host *h, int64_t now)
{
	return h->registered && h->last_report_us != INT64_MIN &&
	       now - h->last_report_us <= hub->lease_us;
}

/* Finds or adds a model; returns NULL at the bound on their number. */
struct hub_model *hub_get_model(struct hub *hub, const char *name);
void hub_model_free(void *model);

/* Sets ep->models from the names in ep->info. */
void hub_ep_set_models(struct hub *hub, struct hub_ep *ep);

/* The cell of a host slot, valid until a cell of a new slot is added. */
struct hub_cell *hub_get_cell(struct hub *hub, struct hub_ep *ep,
			      unsigned slot);

/*
 * Computes target_blocks of all hosts and endpoints; does nothing if the last
 * allocation was less than 250 ms ago.
 */
void hub_allocate(struct hub *hub, int64_t now);

/*
 * Records a grant of the cell's target, cut to what the endpoint's limit
 * leaves, and returns its blocks.  With `may_keep` the amount of the last grant
 * is kept if it suffices, so that the host need not be sent a change.
 */
uint64_t hub_cell_make_grant(struct hub *hub, struct hub_ep *ep, unsigned slot,
			     bool may_keep, int64_t now);

/*
 * Recomputes committed_blocks of the cell and the endpoint; must be called
 * after held_blocks or the time has changed.
 */
void hub_cell_update_committed(struct hub_ep *ep, struct hub_cell *cell,
			       int64_t now);

/* Clears the cells of a host that is removed. */
void hub_clear_slot(struct hub *hub, unsigned slot);

/*
 * Records a grant of at most `blocks` in total that expires at `expires_us`,
 * cut so that the endpoint stays within `limit`.  Returns the blocks granted.
 */
uint64_t hub_cell_grant_up_to(struct hub_ep *ep, struct hub_cell *cell,
			      uint64_t limit, uint64_t blocks,
			      int64_t expires_us, int64_t now);

/* Finds or adds a host; never returns NULL. */
struct hub_host *hub_get_host(struct hub *hub, const char *name);

/* ---- hub_spill_lender.c ---- */
/* Bounds on the endpoints listed as known in one message, and on a name. */
#define HUB_KNOWN_MAX 64
#define HUB_NAME_MAX 128

/*
 * Replaces `to` (of struct hub_demand) by the valid rows of a message, at most
 * 32 of them.
 */
void hub_parse_spill_demands(struct hub *hub, GArray *to,
			     Mw__Demand *const *from, size_t n);

/* Returns whether the endpoint serves the model of this name. */
bool hub_ep_serves(const struct hub_ep *ep, const char *model);

/* Version of the row that the peer lists as known, 0 if it is not listed. */
uint64_t hub_find_known_version(Mw__EndpointUse *const *known, size_t n,
				const char *id);

/*
 * Makes a row with all fields (`full`) or with the state only.  The caller
 * frees it with mw__spill_row__free_unpacked(row, NULL).
 */
Mw__SpillRow *hub_make_spill_row(const struct hub_ep *ep, const char *dc,
				 uint64_t version, bool full);

/*
 * Converts to milliseconds: a lease is rounded down and an age up, so that the
 * receiver never trusts either for too long.  Negative times become 0.
 */
uint32_t hub_us_to_ms_floor(int64_t us);
uint32_t hub_us_to_ms_ceil(int64_t us);

/* ---- hub_spill_borrower.c ---- */
void hub_spill_init(struct hub *hub);
void hub_spill_free(struct hub *hub);
void hub_spill_clear_slot(struct hub *hub, unsigned slot);

/*
 * Divides the blocks that the hosts of this data centre leave of an endpoint
 * among the borrowers: adds to shares[slot] and returns the sum.
 */
double hub_spill_allocate(struct hub *hub, struct hub_ep *ep, double rest,
			  double *shares, int64_t now);

/* Applies the spill lists of a report and adds those of the grant. */
void hub_spill_process_report(struct hub *hub, struct hub_host *h,
			      const Mw__HubReport *report, Mw__HubGrant *grant,
			      int64_t now);

/*
 * Adds the registry rows newer than `host_version` to the grant, or all if the
 * version is 0, of another epoch, or older than a row that was removed.
 */
void hub_grant_add_rows(struct hub *hub, Mw__HubGrant *grant,
			uint64_t host_version);

/* Applies the served tokens of a report; adds account totals to a grant. */
void hub_process_usage(struct hub *hub, struct hub_host *h,
		       const Mw__HubReport *report, int64_t now);
void hub_grant_add_usage(struct hub *hub, struct hub_host *h,
			 Mw__HubGrant *grant);

/* Removes usage and accounts that no report has named for 2 minutes. */
void hub_purge_usage(struct hub *hub, int64_t now);
void hub_usage_free(void *use);
void hub_account_free(void *account);

void hub_ep_free(void *ep);

#endif
