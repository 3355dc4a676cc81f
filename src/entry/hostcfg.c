#include "entry/hostcfg.h"

#include <assert.h>
#include <string.h>
#include <glib.h>

#include "base/err.h"
#include "state/member.h"

const char *host_mode_name(enum host_mode mode)
{
	static const char *const names[] = {"starting", "leased", "island",
					    "stale", "fenced"};

	return names[mode];
}

void hostcfg_init(struct hostcfg *h, int64_t now)
{
	memset(h, 0, sizeof(*h));
	h->start_us = h->last_serving_us = now;
	/* The former process may have reported to another hub until now. */
	h->other_hub_report_us = now;
}

static void drop_pending(struct hostcfg *h)
{
	tree_unref(h->pending);
	h->pending = NULL;
	h->pending_id[0] = '\0';
	h->pending_attempt = 0;
}

static void set_pending(struct hostcfg *h, struct tree *t, const char *id,
			uint64_t attempt)
{
	drop_pending(h);
	h->pending = t;
	g_strlcpy(h->pending_id, id, sizeof(h->pending_id));
	h->pending_attempt = attempt;
}

void hostcfg_release(struct hostcfg *h)
{
	drop_pending(h);
	tree_unref(h->tree);
	if (h->members)
		mw__grant__free_unpacked(h->members, NULL);
	memset(h, 0, sizeof(*h));
}

static uint64_t version_in_force(const struct hostcfg *h)
{
	return h->tree ? tree_version(h->tree) : 0;
}

void hostcfg_fill_renew(struct hostcfg *h, int64_t now, Mw__Renew *r)
{
	h->renew_sent_us = now;
	h->renew_pending_attempt = h->pending_attempt;
	r->pending_attempt = h->pending_attempt;
	r->version = version_in_force(h);
	r->pending = h->pending ? tree_version(h->pending) : 0;
	r->pending_id = (char *)h->pending_id;
	r->member_version = h->member_version;
}

/* Puts a newer tree in force; takes over the reference. */
static void install(struct hostcfg *h, struct tree *t)
{
	assert(tree_version(t) > version_in_force(h));
	tree_unref(h->tree);
	h->tree = t;
	if (h->newest_version < tree_version(t))
		h->newest_version = tree_version(t);
	if (h->pending && tree_version(h->pending) <= tree_version(t))
		drop_pending(h);
}

/* Stores the set of hosts of a grant unless it is older than the present. */
static void store_members(struct hostcfg *h, const Mw__Grant *g)
{
	if (g->member_version < h->member_version || !g->n_hosts)
		return;
	size_t len = mw__grant__get_packed_size(g);
	g_autofree uint8_t *bytes = g_malloc(len + 1);
	mw__grant__pack(g, bytes);
	Mw__Grant *copy = mw__grant__unpack(NULL, len, bytes);
	if (!copy)
		return;
	if (h->members)
		mw__grant__free_unpacked(h->members, NULL);
	h->members = copy;
	h->member_version = g->member_version;
}

int hostcfg_apply_grant(struct hostcfg *h, int64_t now, const Mw__Grant *g)
{
	if (g->term < h->term)
		return 0;
	h->term = g->term;
	if (g->version > h->newest_version)
		h->newest_version = g->version;
	if (g->err < 0)
		return g->err == -MW_EAGAIN &&
				       h->newest_version > version_in_force(h)
			       ? 1
			       : g->err;
	store_members(h, g);
	h->last_grant_us = now;
	int64_t until = h->renew_sent_us + (int64_t)g->lease_ms * USEC_PER_MSEC;
	if (until > h->lease_until_us)
		h->lease_until_us = until;
	if (now < h->lease_until_us)
		h->informed = true;
	h->tree_host[0] = '\0';
	/*
	 * This renewal reported the pending change, and the answer shows that
	 * the leader neither prepares nor has accepted it, so it was aborted.
	 * The answer to a renewal from before the prepare proves nothing.
	 */
	if (h->pending && h->pending_attempt == h->renew_pending_attempt &&
	    g->pending_attempt != h->pending_attempt &&
	    g->version == version_in_force(h))
		drop_pending(h);
	return h->newest_version > version_in_force(h);
}

/* Keeps the former values, so that a refused report can be undone. */
static void record_report(struct hostcfg *h, int64_t now, const char *hub)
{
	g_strlcpy(h->prev_report.report_hub, h->report_hub,
		  sizeof(h->prev_report.report_hub));
	h->prev_report.last_report_us = h->last_report_us;
	h->prev_report.other_hub_report_us = h->other_hub_report_us;
	if (*h->report_hub && strcmp(h->report_hub, hub) != 0)
		h->other_hub_report_us = h->last_report_us;
	g_strlcpy(h->report_hub, hub, sizeof(h->report_hub));
	h->last_report_us = now;
}

void hostcfg_undo_report(struct hostcfg *h)
{
	g_strlcpy(h->report_hub, h->prev_report.report_hub,
		  sizeof(h->report_hub));
	h->last_report_us = h->prev_report.last_report_us;
	h->other_hub_report_us = h->prev_report.other_hub_report_us;
}

void hostcfg_fill_report(struct hostcfg *h, int64_t now, const char *hub,
			 Mw__HubReport *r)
{
	record_report(h, now, hub);
	r->has_lease = hostcfg_mode(h, now) == HOST_LEASED;
	r->version = version_in_force(h);
	r->pending = h->pending ? tree_version(h->pending) : 0;
	r->pending_attempt = h->pending_attempt;
	r->member_version = h->member_version;
	r->informed = h->informed &&
		      now - h->other_hub_report_us >= HOSTCFG_HUB_CHANGE_US;
}

/* Whether a host of the component has a newer preparation than this host. */
static bool misses_pending_change(const struct hostcfg *h)
{
	return h->hub_pending_attempt > h->pending_attempt;
}

/* No island forms while the leader is reachable from the component. */
static bool component_has_majority(const struct hostcfg *h)
{
	return !h->hub_leader_contact &&
	       member_is_majority(h->component_weight2, h->registered_weight2);
}

int hostcfg_apply_hub_grant(struct hostcfg *h, int64_t sent_us,
			    const Mw__HubGrant *g)
{
	h->has_hub_answer = true;
	h->hub_report_sent_us = sent_us;
	h->hub_leader_contact = g->leader_contact;
	h->component_weight2 = g->component_weight2;
	h->registered_weight2 = g->registered_weight2;
	h->hub_pending_attempt = g->pending_attempt;
	if (g->version > h->newest_version)
		h->newest_version = g->version;
	g_strlcpy(h->tree_host,
		  g->version > version_in_force(h) || misses_pending_change(h)
			  ? g->tree_host
			  : "",
		  sizeof(h->tree_host));
	bool needs_tree = h->newest_version > version_in_force(h) ||
			  misses_pending_change(h);
	if (!h->informed && h->tree && !needs_tree &&
	    component_has_majority(h) &&
	    sent_us - h->start_us >= HOSTCFG_INFORM_DELAY_US) {
		h->informed = true;
		h->last_serving_us = sent_us;
	}
	return needs_tree;
}

int hostcfg_prepare(struct hostcfg *h, const Mw__Prepare *p)
{
	struct tree_err err;
	struct tree *t;

	if (p->term < h->term || p->version <= h->newest_version ||
	    p->attempt < h->pending_attempt)
		return -MW_ECONFLICT;
	/*
	 * The version before it has been accepted, so this host has to install
	 * that one first.
	 */
	if (p->version - 1 > h->newest_version)
		h->newest_version = p->version - 1;
	if (h->newest_version > version_in_force(h))
		return 1;
	if (strlen(p->change_id) > HOSTCFG_ID_CHARS)
		return -MW_EINVAL;
	if (p->change) {
		if (!h->tree || tree_version(h->tree) + 1 != p->version)
			return -MW_EAGAIN;
		if (tree_apply(h->tree, p->change, &t, &err) < 0)
			return -MW_ESCHEMA;
	} else if (tree_parse((const char *)p->tree.data, p->tree.len, &t,
			      &err) < 0) {
		return -MW_ESCHEMA;
	}
	if (tree_version(t) != p->version) {
		tree_unref(t);
		return -MW_ESCHEMA;
	}
	h->term = p->term;
	set_pending(h, t, p->change_id, p->attempt);
	return 0;
}

int hostcfg_activate(struct hostcfg *h, const Mw__Activate *a)
{
	bool is_pending = h->pending &&
			  tree_version(h->pending) == a->version &&
			  h->pending_attempt == a->attempt;

	if (a->abort) {
		if (is_pending)
			drop_pending(h);
		return 0;
	}
	if (a->version > h->newest_version)
		h->newest_version = a->version;
	if (a->version <= version_in_force(h))
		return 0;
	if (!is_pending)
		return 1;
	struct tree *t = h->pending;
	h->pending = NULL;
	drop_pending(h);
	install(h, t);
	return 2;
}

int hostcfg_apply_snapshot(struct hostcfg *h, const Mw__TreeSnapshot *s)
{
	struct tree_err err;
	struct tree *t;

	bool newer = s->version > version_in_force(h);
	if (newer) {
		int r = tree_parse((const char *)s->tree.data, s->tree.len, &t,
				   &err);
		if (r < 0)
			return r;
		if (tree_version(t) != s->version) {
			tree_unref(t);
			return -MW_ESCHEMA;
		}
		install(h, t);
	}
	if (s->members)
		store_members(h, s->members);
	if (s->stale && s->version == version_in_force(h) &&
	    s->pending_tree.len && s->pending_attempt > h->pending_attempt &&
	    tree_parse((const char *)s->pending_tree.data, s->pending_tree.len,
		       &t, &err) == 0)
		set_pending(h, t, s->pending_id, s->pending_attempt);
	return newer;
}

void hostcfg_fill_snapshot(const struct hostcfg *h, Mw__TreeSnapshot *s)
{
	s->stale = true;
	s->version = version_in_force(h);
	s->members = h->members;
	if (h->tree)
		s->tree.data = (uint8_t *)tree_json(h->tree, &s->tree.len);
	if (!h->pending)
		return;
	s->pending_tree.data =
		(uint8_t *)tree_json(h->pending, &s->pending_tree.len);
	s->pending_id = (char *)h->pending_id;
	s->pending_attempt = h->pending_attempt;
}

static bool island_rule_holds(const struct hostcfg *h, int64_t now)
{
	return h->informed && h->has_hub_answer &&
	       now - h->hub_report_sent_us < HOSTCFG_HUB_ANSWER_VALID_US &&
	       component_has_majority(h) && !misses_pending_change(h);
}

enum host_mode hostcfg_mode(struct hostcfg *h, int64_t now)
{
	bool leased = now < h->lease_until_us;
	bool island = !leased && island_rule_holds(h, now);

	if (leased || island)
		h->last_serving_us = now;
	else if (now - h->last_serving_us > HOSTCFG_UNINFORMED_AFTER_US)
		h->informed = false;
	if (!h->tree)
		return HOST_STARTING;
	if (h->newest_version > tree_version(h->tree))
		return HOST_STALE;
	if (leased)
		return HOST_LEASED;
	return island ? HOST_ISLAND : HOST_FENCED;
}

int hostcfg_admit(struct hostcfg *h, enum host_mode mode, const char *account,
		  const char *route)
{
	if (mode == HOST_LEASED)
		return 0;
	if (mode != HOST_ISLAND)
		return -MW_EFENCED;
	/*
	 * The pending change may have been accepted after this data centre
	 * was cut off.  Only requests that both versions treat alike are
	 * served.
	 */
	if (h->pending &&
	    !tree_request_equal(h->tree, h->pending, account, route))
		return -MW_EPENDING;
	return 0;
}
