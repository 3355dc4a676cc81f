#include "control/lease.h"

#include <assert.h>
#include <string.h>
#include <glib.h>

#include "base/err.h"
#include "base/list.h"

/*
 * An earlier registered set of a data centre, by which some host there may
 * still decide whether it belongs to an island.
 */
struct view {
	struct list node;
	char dc[MEMBER_NAME_MAX + 1];
	uint64_t version;    /* last member version with this set */
	GHashTable *weight2; /* host name to doubled weight, see member.h */
	uint32_t total2;     /* sum of these */
};

struct lease_table {
	GHashTable *hosts; /* name to struct lease_host */
	struct list views;
	GHashTable *dc_connected_since_us; /* data centre to int64_t */
	int64_t former_leases_end_us; /* see lease_former_leases_end_us() */
	bool host_add_pending; /* a new host name is proposed, not applied */
};

struct lease_table *lease_new(int64_t now)
{
	struct lease_table *t = g_new0(struct lease_table, 1);

	t->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	list_init(&t->views);
	t->dc_connected_since_us =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->former_leases_end_us = now + clock_with_drift(LEASE_DURATION_US);
	return t;
}

static void view_free(struct view *v)
{
	list_del(&v->node);
	g_hash_table_destroy(v->weight2);
	g_free(v);
}

void lease_free(struct lease_table *t)
{
	struct view *v, *tmp;

	if (!t)
		return;
	list_for_each_entry_safe (v, tmp, &t->views, node)
		view_free(v);
	g_hash_table_destroy(t->hosts);
	g_hash_table_destroy(t->dc_connected_since_us);
	g_free(t);
}

int64_t lease_former_leases_end_us(const struct lease_table *t)
{
	return t->former_leases_end_us;
}

static struct lease_host *get_host(struct lease_table *t, const Mw__Renew *r)
{
	struct lease_host *h = g_hash_table_lookup(t->hosts, r->host);

	if (!h) {
		h = g_new0(struct lease_host, 1);
		g_strlcpy(h->host, r->host, sizeof(h->host));
		g_hash_table_insert(t->hosts, h->host, h);
	}
	if (h->incarnation != r->incarnation) {
		/* A restarted process does not inherit the earlier lease. */
		h->lease_end_us = 0;
		h->incarnation = r->incarnation;
	}
	g_strlcpy(h->dc, r->dc, sizeof(h->dc));
	return h;
}

static bool may_extend(const Mw__Renew *r, const struct lease_requirements *s)
{
	if (r->version != s->version)
		return false;
	if (!s->pending)
		return true;
	return r->pending == s->pending &&
	       r->pending_attempt == s->pending_attempt;
}

int lease_renew(struct lease_table *t, int64_t now, const Mw__Renew *r,
		const char *relay, const struct lease_requirements *s)
{
	const struct member_host *m = member_find(s->members, r->host);

	if (strlen(r->host) > MEMBER_NAME_MAX ||
	    strlen(r->dc) > MEMBER_NAME_MAX)
		return -MW_EINVAL;
	if (m && m->info->incarnation > r->incarnation)
		return -MW_EFENCED;
	if (!m || m->info->incarnation != r->incarnation ||
	    strcmp(m->info->dc, r->dc) != 0)
		return -MW_ENOTFOUND;

	struct lease_host *h = get_host(t, r);
	h->last_renewal_us = now;
	h->version = r->version;
	h->member_version = r->member_version;
	h->ready = r->ready;
	h->island = r->island;
	g_strlcpy(h->relay, relay ? relay : "", sizeof(h->relay));
	if (!may_extend(r, s))
		return -MW_EAGAIN;
	int64_t until = now + clock_with_drift(LEASE_DURATION_US);
	if (until > h->lease_end_us)
		h->lease_end_us = until;
	return 0;
}

const struct lease_host *lease_find(const struct lease_table *t,
				    const char *host)
{
	return g_hash_table_lookup(t->hosts, host);
}

static bool has_lease(const struct lease_table *t, const char *host,
		      uint64_t incarnation, int64_t now)
{
	const struct lease_host *h = g_hash_table_lookup(t->hosts, host);

	return h && h->incarnation == incarnation && now < h->lease_end_us;
}

bool lease_may_be_held(const struct lease_table *t, const char *host,
		       uint64_t incarnation, int64_t now)
{
	return now < t->former_leases_end_us ||
	       has_lease(t, host, incarnation, now);
}

static bool in_dc(const struct member_host *m, const char *dc)
{
	return !strcmp(m->info->dc, dc);
}

/*
 * Lowest member version that the hosts of the data centre have reported; 0 if
 * one of them has reported none to this leader.
 */
static uint64_t oldest_member_version(const struct lease_table *t,
				      const struct members *m, const char *dc)
{
	uint64_t oldest = UINT64_MAX;

	for (size_t i = 0; i < member_count(m); i++) {
		const struct member_host *mh = member_at(m, i);
		if (!in_dc(mh, dc) || !member_weight2(m, dc, mh->info->host))
			continue;
		const struct lease_host *h = lease_find(t, mh->info->host);
		if (!h || h->incarnation != mh->info->incarnation)
			return 0;
		oldest = MIN(oldest, h->member_version);
	}
	return oldest;
}

/*
 * Returns the host that was added to the data centre last, if some host there
 * has not reported a member version that includes it; else NULL.
 */
static const struct member_host *unconfirmed_host(const struct lease_table *t,
						  const struct members *m,
						  const char *dc)
{
	const struct member_host *last = NULL;

	for (size_t i = 0; i < member_count(m); i++) {
		const struct member_host *mh = member_at(m, i);
		if (in_dc(mh, dc) && member_weight2(m, dc, mh->info->host) &&
		    (!last || mh->since_version > last->since_version))
			last = mh;
	}
	return last && oldest_member_version(t, m, dc) < last->since_version
		       ? last
		       : NULL;
}

/*
 * Frees the views that no registered host of the data centre can still use.
 * Returns whether views of this data centre are left.
 */
static bool drop_unused_views(struct lease_table *t, const struct members *m,
			      const char *dc)
{
	uint64_t oldest = oldest_member_version(t, m, dc);
	struct view *v, *tmp;
	bool views_left = false;

	list_for_each_entry_safe (v, tmp, &t->views, node) {
		if (strcmp(v->dc, dc) != 0)
			continue;
		if (v->version < oldest)
			view_free(v);
		else
			views_left = true;
	}
	return views_left;
}

bool lease_dc_connected(struct lease_table *t, const struct members *m,
			const char *dc, int64_t now)
{
	uint32_t leased2 = 0;
	struct view *v;

	drop_unused_views(t, m, dc);
	for (size_t i = 0; i < member_count(m); i++) {
		const struct member_host *mh = member_at(m, i);
		if (in_dc(mh, dc) &&
		    has_lease(t, mh->info->host, mh->info->incarnation, now))
			leased2 += member_weight2(m, dc, mh->info->host);
	}
	if (!member_is_majority(leased2, member_total_weight2(m, dc)))
		return false;
	/* A former leader's view, see lease.h: the set before the last add. */
	const struct member_host *added = unconfirmed_host(t, m, dc);
	if (added) {
		uint32_t w2 = member_weight2(m, dc, added->info->host);
		uint32_t others2 = member_total_weight2(m, dc) - w2;
		if (has_lease(t, added->info->host, added->info->incarnation,
			      now))
			leased2 -= w2;
		if (others2 && !member_is_majority(leased2, others2))
			return false;
	}
	list_for_each_entry (v, &t->views, node) {
		if (strcmp(v->dc, dc) != 0)
			continue;
		leased2 = 0;
		for (size_t i = 0; i < member_count(m); i++) {
			const struct member_host *mh = member_at(m, i);
			if (in_dc(mh, dc) &&
			    has_lease(t, mh->info->host, mh->info->incarnation,
				      now))
				leased2 += GPOINTER_TO_UINT(g_hash_table_lookup(
					v->weight2, mh->info->host));
		}
		if (!member_is_majority(leased2, v->total2))
			return false;
	}
	return true;
}

void lease_keep_view(struct lease_table *t, const struct members *m,
		     const char *dc)
{
	struct view *v = g_new0(struct view, 1);

	g_strlcpy(v->dc, dc, sizeof(v->dc));
	v->version = member_version(m);
	v->weight2 =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	v->total2 = member_total_weight2(m, dc);
	for (size_t i = 0; i < member_count(m); i++) {
		const struct member_host *mh = member_at(m, i);
		if (in_dc(mh, dc))
			g_hash_table_insert(v->weight2,
					    g_strdup(mh->info->host),
					    GUINT_TO_POINTER(member_weight2(
						    m, dc, mh->info->host)));
	}
	list_add_tail(&t->views, &v->node);
}

void lease_host_add_begin(struct lease_table *t, const struct members *m,
			  const char *dc)
{
	t->host_add_pending = true;
	lease_keep_view(t, m, dc);
}

void lease_host_add_end(struct lease_table *t)
{
	t->host_add_pending = false;
}

/*
 * Whether each host of the data centre holds a lease and has reported the
 * current registered set.
 */
static bool dc_hosts_confirmed(struct lease_table *t, const struct members *m,
			       const char *dc, int64_t now)
{
	if (drop_unused_views(t, m, dc) || unconfirmed_host(t, m, dc))
		return false;
	for (size_t i = 0; i < member_count(m); i++) {
		const struct member_host *mh = member_at(m, i);
		if (in_dc(mh, dc) && member_weight2(m, dc, mh->info->host) &&
		    !has_lease(t, mh->info->host, mh->info->incarnation, now))
			return false;
	}
	return true;
}

bool lease_may_register(struct lease_table *t, const struct members *m,
			const Mw__Renew *r, bool changing, int64_t now)
{
	if (changing || now < t->former_leases_end_us)
		return false;
	if (member_find(m, r->host))
		return true;
	return !t->host_add_pending && (!member_total_weight2(m, r->dc) ||
					dc_hosts_confirmed(t, m, r->dc, now));
}

/*
 * Whether the data centre has been connected for LEASE_DC_CONNECTED_US; records
 * the time at which it became connected.
 */
static bool dc_connected_long_enough(struct lease_table *t,
				     const struct members *m, const char *dc,
				     int64_t now)
{
	int64_t *since = g_hash_table_lookup(t->dc_connected_since_us, dc);

	if (!lease_dc_connected(t, m, dc, now)) {
		g_hash_table_remove(t->dc_connected_since_us, dc);
		return false;
	}
	if (!since) {
		since = g_new(int64_t, 1);
		*since = now;
		g_hash_table_insert(t->dc_connected_since_us, g_strdup(dc),
				    since);
	}
	return now - *since >= LEASE_DC_CONNECTED_US;
}

const struct member_host *lease_dead_host(struct lease_table *t,
					  const struct members *m, int64_t now)
{
	/* After a change of leader each host has the full time to renew. */
	int64_t earliest = t->former_leases_end_us;
	const struct member_host *dead = NULL;

	for (size_t i = 0; i < member_count(m); i++) {
		const struct member_host *mh = member_at(m, i);
		const struct lease_host *h = lease_find(t, mh->info->host);
		bool connected =
			dc_connected_long_enough(t, m, mh->info->dc, now);
		int64_t last_renewal = earliest;
		if (h && h->incarnation == mh->info->incarnation &&
		    h->last_renewal_us > last_renewal)
			last_renewal = h->last_renewal_us;
		if (connected && !dead &&
		    now - last_renewal >= LEASE_DEREGISTER_US)
			dead = mh;
	}
	return dead;
}
