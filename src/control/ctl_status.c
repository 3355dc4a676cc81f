#include "control/ctl_status.h"

#include <string.h>
#include <sys/statvfs.h>

#include "base/clock.h"
#include "control/ctl_evacuate.h"

#define TICK_INTERVAL_US USEC_PER_SEC

struct ctl_status {
	GHashTable *last_message_us; /* voter id to int64_t */
	GHashTable *disconnected_us; /* data centre to int64_t, since when */
	int64_t start_us;
	int64_t last_leader_us; /* last contact with a leader, or as leader */
	int64_t last_tick_us;
};

struct ctl_status *ctl_status_new(int64_t now)
{
	struct ctl_status *s = g_new0(struct ctl_status, 1);

	s->last_message_us = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	s->disconnected_us =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->start_us = now;
	return s;
}

void ctl_status_free(struct ctl_status *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->last_message_us);
	g_hash_table_destroy(s->disconnected_us);
	g_free(s);
}

void ctl_status_record_message(struct ctl_status *s, uint32_t voter,
			       int64_t now)
{
	int64_t *at_us = g_hash_table_lookup(s->last_message_us,
					     GUINT_TO_POINTER(voter));

	if (at_us)
		*at_us = now;
	else
		g_hash_table_insert(s->last_message_us, GUINT_TO_POINTER(voter),
				    g_memdup2(&now, sizeof(now)));
}

/* Returns the data centres with registered hosts; the keys belong to m. */
static GHashTable *data_centres(const struct members *m)
{
	GHashTable *dcs = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < member_count(m); i++)
		g_hash_table_add(dcs, member_at(m, i)->info->dc);
	return dcs;
}

/*
 * Whether the leases of this process are the only ones in force: until all
 * leases of former leaders have ended, a host without a lease here may have
 * one.
 */
static bool leases_are_complete(struct ctl *c, int64_t now)
{
	return c->leases && ctl_is_leader(c, now) &&
	       now >= lease_former_leases_end_us(c->leases);
}

static void update_disconnected(struct ctl *c, int64_t now)
{
	struct ctl_status *s = c->status;
	g_autoptr(GHashTable) dcs = data_centres(sm_members(c->sm));
	GHashTableIter iter;
	void *dc;

	g_hash_table_iter_init(&iter, s->disconnected_us);
	while (g_hash_table_iter_next(&iter, &dc, NULL))
		if (!g_hash_table_contains(dcs, dc))
			g_hash_table_iter_remove(&iter);
	g_hash_table_iter_init(&iter, dcs);
	while (g_hash_table_iter_next(&iter, &dc, NULL)) {
		if (lease_dc_connected(c->leases, sm_members(c->sm), dc, now))
			g_hash_table_remove(s->disconnected_us, dc);
		else if (!g_hash_table_contains(s->disconnected_us, dc))
			g_hash_table_insert(s->disconnected_us, g_strdup(dc),
					    g_memdup2(&now, sizeof(now)));
	}
}

void ctl_status_tick(struct ctl *c, int64_t now)
{
	struct ctl_status *s = c->status;

	if (now - s->last_tick_us < TICK_INTERVAL_US)
		return;
	s->last_tick_us = now;
	if (ctl_is_leader(c, now) || ctl_leader_peer(c))
		s->last_leader_us = now;
	if (leases_are_complete(c, now))
		update_disconnected(c, now);
	else if (!c->leading)
		g_hash_table_remove_all(s->disconnected_us);
}

/* ---- answer ------------------------------------------------------------- */

static json_int_t age_ms(int64_t since_us, int64_t now)
{
	return (json_int_t)((now - since_us) / USEC_PER_MSEC);
}

static const struct conf_control *find_control_conf(struct ctl *c,
						    uint32_t voter)
{
	for (size_t i = 0; i < c->conf->control_nr; i++)
		if (c->conf->controls[i].voter_id == voter)
			return &c->conf->controls[i];
	return NULL;
}

static json_t *voters_json(struct ctl *c, int64_t now)
{
	const struct rep_voters *vs = rep_voters(c->rep);
	json_t *list = json_array();

	for (uint32_t i = 0; i < vs->n; i++) {
		const struct rep_voter *v = &vs->v[i];
		const struct conf_control *conf = find_control_conf(c, v->id);
		struct peer *p = ctl_voter_peer(c, v->id);
		int64_t *at_us = g_hash_table_lookup(c->status->last_message_us,
						     GUINT_TO_POINTER(v->id));
		json_int_t heard_ms = at_us ? age_ms(*at_us, now) : -1;
		if (v->id == (uint32_t)c->conf->voter)
			heard_ms = 0;
		json_array_append_new(
			list, json_pack("{s:I, s:s, s:s, s:s, s:b, s:I}", "id",
					(json_int_t)v->id, "host",
					p      ? peer_hello(p)->host
					: conf ? conf->host
					       : "",
					"dc",
					p      ? peer_hello(p)->dc
					: conf ? conf->dc
					       : "",
					"addr", v->addr, "learner", v->learner,
					"heard_ms", heard_ms));
	}
	return list;
}

static json_t *hosts_json(struct ctl *c, int64_t now)
{
	const struct members *m = sm_members(c->sm);
	json_t *list = json_array();

	for (size_t i = 0; i < member_count(m); i++) {
		const Mw__HostInfo *h = member_at(m, i)->info;
		const struct lease_host *l = lease_find(c->leases, h->host);
		/* Without a lease of this leader: the end of all former ones.
		 */
		int64_t lease_end_us = lease_former_leases_end_us(c->leases);
		if (l && l->incarnation == h->incarnation && l->lease_end_us)
			lease_end_us = l->lease_end_us;
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:I, s:I, s:I}", "host", h->host,
				  "dc", h->dc, "no_lease_ms",
				  lease_end_us > now
					  ? 0
					  : age_ms(lease_end_us, now),
				  "heard_ms",
				  l ? age_ms(l->last_renewal_us, now)
				    : (json_int_t)-1,
				  "version", (json_int_t)(l ? l->version : 0)));
	}
	return list;
}

static json_t *dcs_json(struct ctl *c, int64_t now)
{
	g_autoptr(GHashTable) dcs = data_centres(sm_members(c->sm));
	g_autoptr(GList) names = g_hash_table_get_keys(dcs);
	json_t *list = json_array();

	names = g_list_sort(names, (GCompareFunc)strcmp);
	for (GList *l = names; l; l = l->next) {
		/* disconnected_us is up to one tick interval old. */
		bool connected = lease_dc_connected(
			c->leases, sm_members(c->sm), l->data, now);
		int64_t *since_us = g_hash_table_lookup(
			c->status->disconnected_us, l->data);
		json_array_append_new(list,
				      json_pack("{s:s, s:b, s:I}", "dc",
						l->data, "connected", connected,
						"not_connected_ms",
						since_us && !connected
							? age_ms(*since_us, now)
							: 0));
	}
	return list;
}

/* Lists for each data centre the newest accepted change that left it out. */
static json_t *left_out_json(struct ctl *c)
{
	const struct history *h = sm_history(c->sm);
	json_t *by_dc = json_object();
	json_t *list = json_array();
	json_t *row;
	const char *dc;

	for (size_t i = 0; i < history_count(h); i++) {
		const Mw__SnapHistory *e = history_at(h, i);
		for (size_t d = 0; !e->err && d < e->n_left_out; d++)
			json_object_set_new(by_dc, e->left_out[d],
					    json_pack("{s:s, s:I, s:s}", "dc",
						      e->left_out[d], "version",
						      (json_int_t)e->version,
						      "change_id", e->id));
	}
	json_object_foreach(by_dc, dc, row) json_array_append(list, row);
	json_decref(by_dc);
	return list;
}

/*
 * Returns the age of the newest accepted change, which has the leader's wall
 * clock, or -1 if there is none.
 */
static json_int_t version_age_ms(struct ctl *c)
{
	const struct history *h = sm_history(c->sm);

	for (size_t i = history_count(h); i > 0; i--) {
		const Mw__SnapHistory *e = history_at(h, i - 1);
		if (!e->err)
			return MAX(0, (json_int_t)(clock_wall_us() /
						   USEC_PER_MSEC) -
					      (json_int_t)e->now_ms);
	}
	return -1;
}

void ctl_status_fill(struct ctl *c, json_t *out, int64_t now)
{
	struct statvfs fs;
	bool leading = ctl_is_leader(c, now);
	bool has_leader = leading || ctl_leader_peer(c);
	int64_t contact_us =
		MAX(c->status->last_leader_us, c->status->start_us);

	json_object_set_new(out, "leading", json_boolean(leading));
	json_object_set_new(
		out, "no_leader_ms",
		json_integer(has_leader ? 0 : age_ms(contact_us, now)));
	json_object_set_new(out, "version_age_ms",
			    json_integer(version_age_ms(c)));
	json_object_set_new(out, "voters", voters_json(c, now));
	json_object_set_new(out, "left_out", left_out_json(c));
	json_object_set_new(out, "evacuations", ctl_evacuate_status(c));
	if (statvfs(c->conf->data, &fs) == 0) {
		json_object_set_new(out, "disk_free_bytes",
				    json_integer((json_int_t)fs.f_bavail *
						 (json_int_t)fs.f_frsize));
		json_object_set_new(out, "disk_bytes",
				    json_integer((json_int_t)fs.f_blocks *
						 (json_int_t)fs.f_frsize));
	}
	if (!leases_are_complete(c, now))
		return;
	json_object_set_new(out, "leading_ms",
			    json_integer(age_ms(c->leading_since_us, now)));
	json_object_set_new(out, "hosts", hosts_json(c, now));
	json_object_set_new(out, "dcs", dcs_json(c, now));
}
