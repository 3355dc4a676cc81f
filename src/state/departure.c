#include "state/departure.h"

#include <string.h>
#include <glib.h>

#include "base/err.h"
#include "base/list.h"
#include "state/pb.h"

#define STATE_LEAVING "leaving"
#define MODELS_MAX 64

struct departure {
	struct list link;
	Mw__SnapDeparture *rec;
};

struct departures {
	GHashTable *by_id;  /* -> struct departure */
	struct list by_age; /* oldest first */
};

struct departures *departures_new(void)
{
	struct departures *d = g_new0(struct departures, 1);

	d->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	list_init(&d->by_age);
	return d;
}

static void departure_remove(struct departures *d, struct departure *dep)
{
	g_hash_table_remove(d->by_id, dep->rec->info->id);
	list_del(&dep->link);
	mw__snap_departure__free_unpacked(dep->rec, NULL);
	g_free(dep);
}

void departures_free(struct departures *d)
{
	struct departure *dep, *next;

	if (!d)
		return;
	list_for_each_entry_safe (dep, next, &d->by_age, link)
		departure_remove(d, dep);
	g_hash_table_destroy(d->by_id);
	g_free(d);
}

size_t departures_count(const struct departures *d)
{
	return g_hash_table_size(d->by_id);
}

const Mw__EndpointInfo *departure_find(const struct departures *d,
				       const char *id)
{
	const struct departure *dep = g_hash_table_lookup(d->by_id, id);

	return dep ? dep->rec->info : NULL;
}

static bool is_valid(const Mw__EndpointInfo *info)
{
	if (!info || !*info->id || strlen(info->id) > DEPARTURE_NAME_MAX ||
	    strlen(info->addr) > DEPARTURE_NAME_MAX ||
	    strlen(info->dc) > DEPARTURE_NAME_MAX ||
	    strcmp(info->state, STATE_LEAVING) != 0 ||
	    info->n_models > MODELS_MAX)
		return false;
	for (size_t i = 0; i < info->n_models; i++)
		if (strlen(info->models[i]) > DEPARTURE_NAME_MAX)
			return false;
	return true;
}

static bool is_newer(const Mw__EndpointInfo *a, const Mw__EndpointInfo *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->seq > b->seq;
}

static void departure_add(struct departures *d, const Mw__SnapDeparture *rec)
{
	struct departure *dep = g_new0(struct departure, 1);

	dep->rec = pb_copy(&rec->base);
	list_add_tail(&d->by_age, &dep->link);
	g_hash_table_insert(d->by_id, dep->rec->info->id, dep);
}

int departure_record(struct departures *d, uint64_t now_ms,
		     const Mw__EndpointInfo *info)
{
	Mw__EndpointInfo row = MW__ENDPOINT_INFO__INIT;
	Mw__SnapDeparture rec = MW__SNAP_DEPARTURE__INIT;
	struct departure *known;

	if (!is_valid(info))
		return -MW_EINVAL;
	known = g_hash_table_lookup(d->by_id, info->id);
	if (known && !is_newer(info, known->rec->info))
		return 0;
	row.id = info->id;
	row.incarnation = info->incarnation;
	row.seq = info->seq;
	row.addr = info->addr;
	row.dc = info->dc;
	row.state = info->state;
	row.models = info->models;
	row.n_models = info->n_models;
	row.max_batch = info->max_batch;
	row.leave_deadline_ms = info->leave_deadline_ms;
	row.said_leaving = info->said_leaving;
	rec.info = &row;
	rec.at_ms = now_ms;
	if (known)
		departure_remove(d, known);
	else if (departures_count(d) >= DEPARTURES_MAX)
		departure_remove(
			d, list_first(&d->by_age, struct departure, link));
	departure_add(d, &rec);
	return 0;
}

void departures_expire(struct departures *d, uint64_t before_ms)
{
	struct departure *dep, *next;

	list_for_each_entry_safe (dep, next, &d->by_age, link) {
		if (dep->rec->at_ms >= before_ms)
			break;
		departure_remove(d, dep);
	}
}

void departures_for_each(const struct departures *d,
			 void (*fn)(const Mw__SnapDeparture *rec, void *arg),
			 void *arg)
{
	const struct departure *dep;

	list_for_each_entry (dep, &d->by_age, link)
		fn(dep->rec, arg);
}

int departure_load(struct departures *d, const Mw__SnapDeparture *rec)
{
	if (!is_valid(rec->info) || departure_find(d, rec->info->id) ||
	    departures_count(d) >= DEPARTURES_MAX)
		return -MW_ECORRUPT;
	if (!list_empty(&d->by_age) &&
	    list_entry(d->by_age.prev, struct departure, link)->rec->at_ms >
		    rec->at_ms)
		return -MW_ECORRUPT;
	departure_add(d, rec);
	return 0;
}
