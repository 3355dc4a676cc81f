#include "state/member.h"

#include <assert.h>
#include <string.h>
#include <glib.h>

#include "base/err.h"
#include "state/pb.h"
#include "state/schema.h"

struct members {
	uint64_t version;
	GPtrArray *hosts; /* struct member_host, sorted by name */
};

static void free_host(void *p)
{
	struct member_host *h = p;

	mw__host_info__free_unpacked(h->info, NULL);
	g_free(h);
}

struct members *members_new(void)
{
	struct members *m = g_new0(struct members, 1);

	m->hosts = g_ptr_array_new_with_free_func(free_host);
	return m;
}

void members_free(struct members *m)
{
	if (!m)
		return;
	g_ptr_array_free(m->hosts, TRUE);
	g_free(m);
}

uint64_t member_version(const struct members *m)
{
	return m->version;
}

size_t member_count(const struct members *m)
{
	return m->hosts->len;
}

static struct member_host *host_at(const struct members *m, size_t i)
{
	return g_ptr_array_index(m->hosts, i);
}

const struct member_host *member_at(const struct members *m, size_t i)
{
	return host_at(m, i);
}

/* Index of a host, or the index at which it would be inserted. */
static size_t host_position(const struct members *m, const char *host,
			    bool *found)
{
	size_t lo = 0, hi = m->hosts->len;

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (strcmp(host_at(m, mid)->info->host, host) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	*found =
		lo < m->hosts->len && !strcmp(host_at(m, lo)->info->host, host);
	return lo;
}

const struct member_host *member_find(const struct members *m, const char *host)
{
	bool found;
	size_t i = host_position(m, host, &found);

	return found ? host_at(m, i) : NULL;
}

bool member_is_registered(const struct members *m, const char *host,
			  uint64_t incarnation)
{
	const struct member_host *h = member_find(m, host);

	return h && h->info->incarnation == incarnation;
}

static bool is_entry(const Mw__HostInfo *info)
{
	return !strcmp(info->role, "entry");
}

static struct member_host *find_anchor(const struct members *m, const char *dc)
{
	for (size_t i = 0; i < m->hosts->len; i++) {
		if (host_at(m, i)->anchor &&
		    !strcmp(host_at(m, i)->info->dc, dc))
			return host_at(m, i);
	}
	return NULL;
}

const char *member_anchor(const struct members *m, const char *dc)
{
	const struct member_host *h = find_anchor(m, dc);

	return h ? h->info->host : NULL;
}

/*
 * Makes the entry host registered for the longest time the anchor, if the data
 * centre has entry hosts but no anchor.
 */
static void ensure_anchor(struct members *m, const char *dc)
{
	struct member_host *best = NULL;

	if (find_anchor(m, dc))
		return;
	for (size_t i = 0; i < m->hosts->len; i++) {
		struct member_host *h = host_at(m, i);

		if (is_entry(h->info) && !strcmp(h->info->dc, dc) &&
		    (!best || h->since_version < best->since_version))
			best = h;
	}
	if (best)
		best->anchor = true;
}

static bool info_valid(const Mw__HostInfo *info)
{
	return info && schema_name_ok(info->host, strlen(info->host)) &&
	       schema_name_ok(info->dc, strlen(info->dc)) &&
	       info->incarnation &&
	       (is_entry(info) || !strcmp(info->role, "control")) &&
	       strlen(info->peer_addr) <= MEMBER_NAME_MAX &&
	       strlen(info->admin_addr) <= MEMBER_NAME_MAX;
}

int member_register(struct members *m, const Mw__HostInfo *info,
		    uint64_t *replaced)
{
	struct member_host *h;
	g_autofree char *old_dc = NULL;
	bool found, moved;
	size_t i;

	*replaced = 0;
	if (!info_valid(info))
		return -MW_EINVAL;
	i = host_position(m, info->host, &found);
	if (!found) {
		if (m->hosts->len >= MEMBER_HOSTS_MAX)
			return -MW_ELIMIT;
		h = g_new0(struct member_host, 1);
		h->info = pb_copy(&info->base);
		h->since_version = ++m->version;
		g_ptr_array_insert(m->hosts, (int)i, h);
		ensure_anchor(m, info->dc);
		return 0;
	}
	h = host_at(m, i);
	if (info->incarnation < h->info->incarnation)
		return -MW_ECONFLICT;
	if (pb_equal(&info->base, &h->info->base))
		return 0;
	moved = strcmp(info->dc, h->info->dc) != 0 ||
		is_entry(info) != is_entry(h->info);
	if (info->incarnation == h->info->incarnation && moved)
		return -MW_EINVAL;
	if (info->incarnation > h->info->incarnation)
		*replaced = h->info->incarnation;
	m->version++;
	old_dc = g_strdup(h->info->dc);
	mw__host_info__free_unpacked(h->info, NULL);
	h->info = pb_copy(&info->base);
	if (moved) {
		h->anchor = false;
		h->since_version = m->version;
		ensure_anchor(m, old_dc);
		ensure_anchor(m, info->dc);
	}
	return 0;
}

int member_remove(struct members *m, const char *host, uint64_t incarnation)
{
	g_autofree char *dc = NULL;
	bool found;
	size_t i = host_position(m, host, &found);

	if (!found || host_at(m, i)->info->incarnation != incarnation)
		return -MW_ENOTFOUND;
	dc = g_strdup(host_at(m, i)->info->dc);
	g_ptr_array_remove_index(m->hosts, (guint)i);
	m->version++;
	ensure_anchor(m, dc);
	return 0;
}

static uint32_t host_weight2(const struct member_host *h)
{
	if (!is_entry(h->info))
		return 0;
	return h->anchor ? MEMBER_ANCHOR_WEIGHT2 : MEMBER_WEIGHT2;
}

uint32_t member_weight2(const struct members *m, const char *dc,
			const char *host)
{
	const struct member_host *h = member_find(m, host);

	return h && !strcmp(h->info->dc, dc) ? host_weight2(h) : 0;
}

uint32_t member_total_weight2(const struct members *m, const char *dc)
{
	uint32_t total = 0;

	for (size_t i = 0; i < m->hosts->len; i++) {
		if (!strcmp(host_at(m, i)->info->dc, dc))
			total += host_weight2(host_at(m, i));
	}
	return total;
}

uint32_t member_info_weight2(const Mw__HostInfo *info, const char *anchor)
{
	if (!is_entry(info))
		return 0;
	return anchor && !strcmp(info->host, anchor) ? MEMBER_ANCHOR_WEIGHT2
						     : MEMBER_WEIGHT2;
}

int member_load(struct members *m, const Mw__SnapHost *rec)
{
	struct member_host *h;
	size_t n = m->hosts->len;

	if (!info_valid(rec->info) || n >= MEMBER_HOSTS_MAX ||
	    (rec->anchor && !is_entry(rec->info)) ||
	    (n && strcmp(host_at(m, n - 1)->info->host, rec->info->host) >= 0))
		return -MW_ECORRUPT;
	h = g_new0(struct member_host, 1);
	h->info = pb_copy(&rec->info->base);
	h->since_version = rec->since_version;
	h->anchor = rec->anchor;
	g_ptr_array_add(m->hosts, h);
	return 0;
}

int member_load_end(struct members *m, uint64_t version)
{
	g_autoptr(GHashTable) anchors =
		g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GHashTable) since_versions =
		g_hash_table_new(g_int64_hash, g_int64_equal);

	for (size_t i = 0; i < m->hosts->len; i++) {
		struct member_host *h = host_at(m, i);

		if (!h->since_version || h->since_version > version ||
		    !g_hash_table_add(since_versions, &h->since_version) ||
		    (h->anchor && !g_hash_table_add(anchors, h->info->dc)))
			return -MW_ECORRUPT;
	}
	for (size_t i = 0; i < m->hosts->len; i++) {
		const Mw__HostInfo *info = host_at(m, i)->info;

		if (is_entry(info) && !g_hash_table_contains(anchors, info->dc))
			return -MW_ECORRUPT;
	}
	m->version = version;
	return 0;
}
