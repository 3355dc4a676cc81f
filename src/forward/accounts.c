#include "forward/accounts.h"

#include <string.h>

#include "forward/regions.h"
#include "forward/request.h"
#include "wire/account_rows.h"

/* Time after a wait for room in which rows are still reported.  Longer than the
 * pauses between the waits of a load that just fills the endpoints. */
#define SHORT_US (5 * USEC_PER_SEC)

/* Accounts whose state is kept for a service.  A control group has far fewer;
 * the bound is against totals with ever new names. */
#define ACCOUNTS_MAX 4096

static void state_free(void *p)
{
	struct account_state *s = p;

	g_free(s->name);
	g_free(s);
}

void accounts_init(struct accounts *a)
{
	a->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   state_free);
}

void accounts_release(struct accounts *a)
{
	g_hash_table_destroy(a->by_name);
}

static struct account_state *get_state(struct accounts *a, const char *name)
{
	struct account_state *s = g_hash_table_lookup(a->by_name, name);

	if (s)
		return s;
	if (g_hash_table_size(a->by_name) >= ACCOUNTS_MAX &&
	    strcmp(name, ACCOUNT_ROWS_OTHERS) != 0)
		return get_state(a, ACCOUNT_ROWS_OTHERS);
	s = g_new0(struct account_state, 1);
	s->name = g_strdup(name);
	g_hash_table_insert(a->by_name, s->name, s);
	return s;
}

static struct accounts *accounts_for(struct fwd *f, const char *service)
{
	return &endpoints_service_state(f, service)->accounts;
}

struct account_state *accounts_of(struct request *r)
{
	return get_state(accounts_for(r->fwd, r->service->name),
			 r->account ? r->account->name : "");
}

bool accounts_is_short(const struct accounts *a, int64_t now)
{
	return a->short_us && now - a->short_us < SHORT_US;
}

void accounts_record_sent(struct request *r, int64_t now)
{
	if (r->generation)
		account_recent_add(&accounts_of(r)->received, r->need_tokens,
				   now);
}

void accounts_record_refused(struct request *r, int64_t now)
{
	if (!r->generation)
		return;
	account_recent_add(&accounts_of(r)->refused, r->need_tokens, now);
	accounts_for(r->fwd, r->service->name)->short_us = now;
	r->fwd->use_unreported = true;
}

static double own_used(const struct account_state *s, int64_t now)
{
	return s->held + (double)account_recent_get(&s->received, now);
}

/* What the account uses on all hosts. */
static double used_everywhere(const struct fwd *f,
			      const struct account_state *s, int64_t now)
{
	return own_used(s, now) +
	       account_share_elsewhere(&s->used_average, s->used_elsewhere,
				       now - f->totals_received_us, f->n_hosts);
}

static void count_request(struct request *r)
{
	struct account_state *s = accounts_of(r);

	if (*r->endpoint_id)
		s->held += (double)r->need_tokens;
	else if (r->state == REQUEST_WAITING && !r->held && !r->displaced &&
		 !request_is_urgent(r))
		demand_add(&s->queued, request_residency(r), r->need_tokens);
}

void accounts_count(struct fwd *f, const char *service, int64_t now)
{
	struct accounts *a = accounts_for(f, service);
	GHashTableIter iter;
	struct account_state *s;
	struct request *r;

	a->counted_us = now;
	g_hash_table_iter_init(&iter, a->by_name);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s)) {
		s->held = 0;
		s->queued = (struct demands){0};
	}
	list_for_each_entry (r, &f->requests, node)
		if (r->generation && !strcmp(r->service->name, service))
			count_request(r);
	g_hash_table_iter_init(&iter, a->by_name);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s)) {
		account_average_set(&s->used_average, own_used(s, now), now);
		account_average_set(&s->queued_average,
				    (double)demand_sum(&s->queued), now);
		struct account_claim c = {.weight = 1,
					  .used = used_everywhere(f, s, now)};
		s->order = account_share_order(&c);
	}
}

static struct account_claim claim_of(struct request *r,
				     const struct account_state *s, int64_t now)
{
	const struct fwd *f = r->fwd;
	const struct residency *allowed = request_residency(r);
	double own = (double)demand_same(&s->queued, allowed);
	double elsewhere = (double)demand_same(&s->queued_elsewhere, allowed);

	return (struct account_claim){
		.weight = 1,
		.used = used_everywhere(f, s, now),
		.queued = own +
			  account_share_elsewhere(&s->queued_average, elsewhere,
						  now - f->totals_received_us,
						  f->n_hosts),
		.refused = (double)account_recent_get(&s->refused, now) +
			   s->refused_elsewhere};
}

void accounts_gather(struct account_claims *c, struct request *r, int64_t now)
{
	struct accounts *a = accounts_for(r->fwd, r->service->name);
	GHashTableIter iter;
	struct account_state *s;

	s = accounts_of(r);
	accounts_count(r->fwd, r->service->name, now);
	/* One that is repeated is still in the state of its last attempt. */
	if (r->state != REQUEST_WAITING && !request_is_urgent(r))
		demand_add(&s->queued, request_residency(r), r->need_tokens);
	guint max = g_hash_table_size(a->by_name);
	*c = (struct account_claims){
		.claims = g_new0(struct account_claim, max),
		.states = g_new0(struct account_state *, max)};
	g_hash_table_iter_init(&iter, a->by_name);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s)) {
		struct account_claim claim = claim_of(r, s, now);
		if (claim.used + claim.queued + claim.refused <= 0 &&
		    s != accounts_of(r))
			continue;
		c->claims[c->n] = claim;
		c->states[c->n++] = s;
		c->queued += claim.queued;
	}
}

void accounts_claims_release(struct account_claims *c)
{
	g_free(c->claims);
	g_free(c->states);
	*c = (struct account_claims){0};
}

size_t accounts_index(const struct account_claims *c,
		      const struct account_state *s)
{
	size_t i = 0;

	while (i < c->n && c->states[i] != s)
		i++;
	return i;
}

static void report_state(struct fwd *f, const struct account_state *s,
			 GPtrArray *rows, int64_t now)
{
	Mw__AccountRow *row = account_rows_get(rows, s->name);

	row->used += (uint64_t)own_used(s, now);
	row->tokens += demand_sum(&s->queued);
	row->refused += account_recent_get(&s->refused, now);
	for (size_t i = 0; i < s->queued.n; i++) {
		const struct demand *d = &s->queued.list[i];
		if (!d->allowed.restricted)
			continue;
		g_autofree char *names = regions_names(f, &d->allowed);
		account_row_restricted(row, names)->tokens += d->tokens;
	}
}

void accounts_report(struct fwd *f, const char *service, Mw__QueueRow *row,
		     int64_t now)
{
	struct accounts *a = accounts_for(f, service);
	GHashTableIter iter;
	struct account_state *s;

	if (!f->conf->account_shares || !accounts_is_short(a, now))
		return;
	accounts_count(f, service, now);
	GPtrArray *rows = account_rows_new();
	g_hash_table_iter_init(&iter, a->by_name);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s))
		report_state(f, s, rows, now);
	account_rows_bound(rows);
	account_rows_move(rows, row);
}

void accounts_clear_elsewhere(struct accounts *a)
{
	GHashTableIter iter;
	struct account_state *s;

	g_hash_table_iter_init(&iter, a->by_name);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s)) {
		s->used_elsewhere = s->refused_elsewhere = 0;
		s->queued_elsewhere = (struct demands){0};
	}
}

static void apply_row(struct fwd *f, struct account_state *s,
		      const Mw__AccountRow *row)
{
	static const struct residency anywhere = {0};
	uint64_t restricted = 0;

	s->used_elsewhere += (double)row->used;
	s->refused_elsewhere += (double)row->refused;
	for (size_t i = 0; i < row->n_restricted; i++) {
		const Mw__RegionQueue *q = row->restricted[i];
		struct residency allowed = regions_parse(f, q->regions);

		demand_add(&s->queued_elsewhere, &allowed, q->tokens);
		restricted += q->tokens;
	}
	if (row->tokens > restricted)
		demand_add(&s->queued_elsewhere, &anywhere,
			   row->tokens - restricted);
}

void accounts_apply(struct fwd *f, struct accounts *a, const Mw__QueueRow *row,
		    int64_t now)
{
	for (size_t i = 0; i < MIN(row->n_accounts, ACCOUNT_ROWS_MAX); i++)
		apply_row(f, get_state(a, row->accounts[i]->account),
			  row->accounts[i]);
	if (row->tokens)
		a->short_us = now;
}
