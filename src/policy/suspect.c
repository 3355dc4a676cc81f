#include <string.h>
#include <glib.h>
#include "base/err.h"
#include "base/list.h"
#include "policy/suspect.h"

/* Further deaths are not recorded; must be at least SUSPECT_DEATHS. */
#define MAX_DEATHS_PER_MARK 4

struct mark {
	char *fingerprint;
	char *account;
	struct list order;     /* in suspects.order */
	unsigned log_deaths;   /* as counted in the log; 0: not in the log */
	uint64_t log_snapshot; /* latest snapshot of the log that has it */
	unsigned n_deaths;     /* entries of deaths */
	struct {
		char *endpoint;
		uint64_t incarnation;
	} deaths[MAX_DEATHS_PER_MARK];
};

struct suspects {
	GHashTable *marks; /* fingerprint -> struct mark */
	struct list order; /* marks, oldest first */
	size_t max_marks;
	uint64_t log_snapshot; /* number of the latest snapshot of the log */
	/* Endpoint -> GHashTable of fingerprint -> number of requests. */
	GHashTable *running;
};

static void mark_free(void *p)
{
	struct mark *m = p;

	list_del(&m->order);
	for (unsigned i = 0; i < m->n_deaths; i++)
		g_free(m->deaths[i].endpoint);
	g_free(m->fingerprint);
	g_free(m->account);
	g_free(m);
}

static void free_fingerprints(void *p)
{
	g_hash_table_destroy(p);
}

struct suspects *suspect_new(size_t max_marks)
{
	struct suspects *s = g_new0(struct suspects, 1);

	s->max_marks = max_marks ? max_marks : 4096;
	list_init(&s->order);
	s->marks =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, mark_free);
	s->running = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_fingerprints);
	return s;
}

void suspect_free(struct suspects *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->marks);
	g_hash_table_destroy(s->running);
	g_free(s);
}

static struct mark *get_or_add_mark(struct suspects *s, const char *fingerprint,
				    const char *account)
{
	struct mark *m = g_hash_table_lookup(s->marks, fingerprint);

	if (m)
		return m;
	if (g_hash_table_size(s->marks) >= s->max_marks) {
		m = list_first(&s->order, struct mark, order);
		g_hash_table_remove(s->marks, m->fingerprint);
	}
	m = g_new0(struct mark, 1);
	m->fingerprint = g_strdup(fingerprint);
	m->account = g_strdup(account);
	list_add_tail(&s->order, &m->order);
	g_hash_table_insert(s->marks, m->fingerprint, m);
	return m;
}

static bool add_death(struct mark *m, const char *endpoint,
		      uint64_t incarnation)
{
	for (unsigned i = 0; i < m->n_deaths; i++)
		if (m->deaths[i].incarnation == incarnation &&
		    !strcmp(m->deaths[i].endpoint, endpoint))
			return false;
	if (m->n_deaths == MAX_DEATHS_PER_MARK)
		return false;
	m->deaths[m->n_deaths].endpoint = g_strdup(endpoint);
	m->deaths[m->n_deaths].incarnation = incarnation;
	m->n_deaths++;
	return true;
}

bool suspect_record_death(struct suspects *s, const char *fingerprint,
			  const char *account, const char *endpoint,
			  uint64_t incarnation, int64_t now)
{
	(void)now;
	return add_death(get_or_add_mark(s, fingerprint, account), endpoint,
			 incarnation);
}

void suspect_add_from_log(struct suspects *s, const char *fingerprint,
			  const char *account, uint32_t deaths,
			  const char *endpoint, uint64_t incarnation,
			  int64_t now)
{
	struct mark *m = get_or_add_mark(s, fingerprint, account);

	(void)now;
	if (deaths > m->log_deaths)
		m->log_deaths = deaths;
	m->log_snapshot = s->log_snapshot;
	if (endpoint && *endpoint)
		add_death(m, endpoint, incarnation);
}

void suspect_snapshot_begin(struct suspects *s)
{
	s->log_snapshot++;
}

void suspect_snapshot_end(struct suspects *s)
{
	struct mark *m, *tmp;

	list_for_each_entry_safe (m, tmp, &s->order, order) {
		if (!m->log_deaths || m->log_snapshot == s->log_snapshot)
			continue;
		if (m->n_deaths > m->log_deaths)
			m->log_deaths = 0;
		else
			g_hash_table_remove(s->marks, m->fingerprint);
	}
}

void suspect_cleared(struct suspects *s, const char *fingerprint)
{
	g_hash_table_remove(s->marks, fingerprint);
}

unsigned suspect_deaths(const struct suspects *s, const char *fingerprint)
{
	const struct mark *m = g_hash_table_lookup(s->marks, fingerprint);

	if (!m)
		return 0;
	return m->log_deaths > m->n_deaths ? m->log_deaths : m->n_deaths;
}

int suspect_check(const struct suspects *s, const char *fingerprint)
{
	return suspect_deaths(s, fingerprint) >= SUSPECT_DEATHS ? -MW_EPOISON
								: 0;
}

bool suspect_may_place(const struct suspects *s, const char *fingerprint,
		       const char *endpoint)
{
	GHashTable *fingerprints;
	GHashTableIter iter;
	void *key;

	if (!suspect_deaths(s, fingerprint))
		return true;
	fingerprints = g_hash_table_lookup(s->running, endpoint);
	if (!fingerprints)
		return true;
	g_hash_table_iter_init(&iter, fingerprints);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (strcmp(key, fingerprint) != 0 && suspect_deaths(s, key))
			return false;
	return true;
}

void suspect_request_placed(struct suspects *s, const char *fingerprint,
			    const char *endpoint)
{
	GHashTable *fingerprints = g_hash_table_lookup(s->running, endpoint);
	uintptr_t n;

	if (!fingerprints) {
		fingerprints = g_hash_table_new_full(g_str_hash, g_str_equal,
						     g_free, NULL);
		g_hash_table_insert(s->running, g_strdup(endpoint),
				    fingerprints);
	}
	n = (uintptr_t)g_hash_table_lookup(fingerprints, fingerprint);
	g_hash_table_replace(fingerprints, g_strdup(fingerprint),
			     (void *)(n + 1));
}

void suspect_request_left(struct suspects *s, const char *fingerprint,
			  const char *endpoint)
{
	GHashTable *fingerprints = g_hash_table_lookup(s->running, endpoint);
	uintptr_t n;

	if (!fingerprints)
		return;
	n = (uintptr_t)g_hash_table_lookup(fingerprints, fingerprint);
	if (n > 1)
		g_hash_table_replace(fingerprints, g_strdup(fingerprint),
				     (void *)(n - 1));
	else
		g_hash_table_remove(fingerprints, fingerprint);
	if (!g_hash_table_size(fingerprints))
		g_hash_table_remove(s->running, endpoint);
}

bool suspect_request_finished(struct suspects *s, const char *fingerprint)
{
	if (suspect_deaths(s, fingerprint) != 1)
		return false;
	g_hash_table_remove(s->marks, fingerprint);
	return true;
}

size_t suspect_count(const struct suspects *s)
{
	return g_hash_table_size(s->marks);
}
