#include "state/crash.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "base/err.h"
#include "base/list.h"
#include "state/pb.h"

struct crash_rec {
	struct list link;
	Mw__SnapCrash *mark;
};

struct crash_marks {
	uint64_t version;
	GHashTable *by_fingerprint; /* -> struct crash_rec */
	struct list by_last_death;  /* oldest first */
};

struct crash_marks *crash_new(void)
{
	struct crash_marks *c = g_new0(struct crash_marks, 1);

	c->by_fingerprint = g_hash_table_new(g_str_hash, g_str_equal);
	list_init(&c->by_last_death);
	return c;
}

static void rec_remove(struct crash_marks *c, struct crash_rec *r)
{
	g_hash_table_remove(c->by_fingerprint, r->mark->fingerprint);
	list_del(&r->link);
	mw__snap_crash__free_unpacked(r->mark, NULL);
	g_free(r);
}

void crash_free(struct crash_marks *c)
{
	struct crash_rec *r, *next;

	if (!c)
		return;
	list_for_each_entry_safe (r, next, &c->by_last_death, link)
		rec_remove(c, r);
	g_hash_table_destroy(c->by_fingerprint);
	g_free(c);
}

uint64_t crash_version(const struct crash_marks *c)
{
	return c->version;
}

size_t crash_count_marks(const struct crash_marks *c)
{
	return g_hash_table_size(c->by_fingerprint);
}

static struct crash_rec *find(const struct crash_marks *c,
			      const char *fingerprint)
{
	return g_hash_table_lookup(c->by_fingerprint, fingerprint);
}

uint32_t crash_deaths(const struct crash_marks *c, const char *fingerprint)
{
	const struct crash_rec *r = find(c, fingerprint);

	return r ? (uint32_t)r->mark->n_deaths : 0;
}

bool crash_is_poisoned(const struct crash_marks *c, const char *fingerprint)
{
	return crash_deaths(c, fingerprint) >= CRASH_POISON_DEATHS;
}

static bool id_valid(const char *s)
{
	return *s && strlen(s) <= CRASH_ID_MAX;
}

static void evict_if_full(struct crash_marks *c)
{
	struct crash_rec *r;

	if (crash_count_marks(c) < CRASH_MARKS_MAX)
		return;
	list_for_each_entry (r, &c->by_last_death, link) {
		if (r->mark->n_deaths < CRASH_POISON_DEATHS) {
			rec_remove(c, r);
			return;
		}
	}
	rec_remove(c, list_first(&c->by_last_death, struct crash_rec, link));
}

/* Adds a death unless it is counted already; returns whether it was added. */
static bool add_death(Mw__SnapCrash *mark, const char *endpoint,
		      uint64_t incarnation, uint64_t now_ms)
{
	Mw__SnapDeath death = MW__SNAP_DEATH__INIT;
	void *deaths;

	for (size_t i = 0; i < mark->n_deaths; i++) {
		if (mark->deaths[i]->incarnation == incarnation &&
		    !strcmp(mark->deaths[i]->endpoint, endpoint))
			return false;
	}
	death.endpoint = (char *)endpoint;
	death.incarnation = incarnation;
	death.at_ms = now_ms;
	if (mark->n_deaths >= CRASH_DEATHS_MAX) {
		Mw__SnapDeath **last = &mark->deaths[mark->n_deaths - 1];

		mw__snap_death__free_unpacked(*last, NULL);
		*last = pb_copy(&death.base);
		return true;
	}
	deaths = realloc(mark->deaths,
			 (mark->n_deaths + 1) * sizeof(mark->deaths[0]));
	if (!deaths)
		g_error("out of memory");
	mark->deaths = deaths;
	mark->deaths[mark->n_deaths++] = pb_copy(&death.base);
	return true;
}

static struct crash_rec *rec_add(struct crash_marks *c,
				 const Mw__SnapCrash *mark)
{
	struct crash_rec *r = g_new0(struct crash_rec, 1);

	r->mark = pb_copy(&mark->base);
	list_add_tail(&c->by_last_death, &r->link);
	g_hash_table_insert(c->by_fingerprint, r->mark->fingerprint, r);
	return r;
}

int crash_add_deaths(struct crash_marks *c, uint64_t now_ms,
		     const Mw__CrashMark *mark)
{
	bool changed = false;

	if (!id_valid(mark->endpoint) || !mark->n_suspects ||
	    mark->n_suspects > CRASH_SUSPECTS_MAX)
		return -MW_EINVAL;
	for (size_t i = 0; i < mark->n_suspects; i++) {
		if (!id_valid(mark->suspects[i]->fingerprint) ||
		    strlen(mark->suspects[i]->account) > CRASH_ID_MAX * 2)
			return -MW_EINVAL;
	}
	for (size_t i = 0; i < mark->n_suspects; i++) {
		const Mw__SuspectInfo *s = mark->suspects[i];
		Mw__SnapCrash new_mark = MW__SNAP_CRASH__INIT;
		struct crash_rec *r = find(c, s->fingerprint);

		if (!r) {
			evict_if_full(c);
			new_mark.fingerprint = s->fingerprint;
			new_mark.account = s->account;
			r = rec_add(c, &new_mark);
		}
		if (!add_death(r->mark, mark->endpoint,
			       mark->endpoint_incarnation, now_ms))
			continue;
		r->mark->marked_ms = now_ms;
		list_del(&r->link);
		list_add_tail(&c->by_last_death, &r->link);
		changed = true;
	}
	c->version += changed;
	return 0;
}

int crash_clear(struct crash_marks *c, const char *fingerprint, bool force)
{
	struct crash_rec *r = find(c, fingerprint);

	if (!r)
		return -MW_ENOTFOUND;
	if (r->mark->n_deaths >= CRASH_POISON_DEATHS && !force)
		return -MW_EPOISON;
	rec_remove(c, r);
	c->version++;
	return 0;
}

size_t crash_expire(struct crash_marks *c, uint64_t before_ms)
{
	struct crash_rec *r, *next;
	size_t n = 0;

	list_for_each_entry_safe (r, next, &c->by_last_death, link) {
		if (r->mark->marked_ms >= before_ms)
			break;
		rec_remove(c, r);
		n++;
	}
	c->version += n > 0;
	return n;
}

void crash_for_each(const struct crash_marks *c,
		    void (*fn)(const Mw__SnapCrash *mark, void *arg), void *arg)
{
	const struct crash_rec *r;

	list_for_each_entry (r, &c->by_last_death, link)
		fn(r->mark, arg);
}

int crash_load(struct crash_marks *c, const Mw__SnapCrash *rec)
{
	if (!id_valid(rec->fingerprint) || find(c, rec->fingerprint) ||
	    strlen(rec->account) > CRASH_ID_MAX * 2 || !rec->n_deaths ||
	    rec->n_deaths > CRASH_DEATHS_MAX ||
	    crash_count_marks(c) >= CRASH_MARKS_MAX)
		return -MW_ECORRUPT;
	for (size_t i = 0; i < rec->n_deaths; i++) {
		if (!id_valid(rec->deaths[i]->endpoint))
			return -MW_ECORRUPT;
	}
	if (!list_empty(&c->by_last_death) &&
	    list_entry(c->by_last_death.prev, struct crash_rec, link)
			    ->mark->marked_ms > rec->marked_ms)
		return -MW_ECORRUPT;
	rec_add(c, rec);
	return 0;
}

void crash_load_end(struct crash_marks *c, uint64_t version)
{
	c->version = version;
}
