#include "policy/blame.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <xxhash.h>

#include "base/list.h"

#define MAX_TRAITS_DEFAULT 4096
/* Crashes of one trait; a further one takes the place of the last. */
#define CRASHES_MAX 32
#define GROUPS_MAX 32 /* groups of traits that are blamed */

/* Traits that are remembered as sound in each half of the time. */
#define SOUND_MAX 4096

/* A crash that the log does not have yet is kept for this time. */
#define UNLOGGED_VALID_US INT64_C(10000000)

/* Interval at which a trait's crashes are cleared in the log again. */
#define CLEAR_INTERVAL_US INT64_C(1000000)

struct crash {
	uint64_t id; /* hash of endpoint and incarnation */
	int64_t at_ms;
	int64_t recorded_us;
	bool in_log;	  /* in the latest snapshot */
	bool in_snapshot; /* in the one that is being received */
	bool cleared;	  /* a request with the trait was served since */
};

struct mark {
	char *trait;
	struct list order; /* in blame::order */
	int64_t clear_us;  /* last time that a clear was due; 0: never */
	int64_t tried_ms;  /* beginning of the last trial; 0: none */
	unsigned int n;
	struct crash crashes[CRASHES_MAX];
};

/* Traits that are blamed for the same crashes. */
struct group {
	GPtrArray *marks; /* struct mark */
	unsigned int crashes;
};

struct blame {
	GHashTable *marks; /* trait to struct mark */
	struct list order; /* marks, oldest first */
	size_t max_traits;
	uint64_t version;
	/* Traits that were served, lately and in the period before. */
	GHashTable *sound, *sound_before;
	int64_t sound_start_us;
	/* Answers by trait, and of all, lately and in the period before. */
	GHashTable *answers, *answers_before;
	unsigned int n_answers, n_answers_before;
	int64_t answers_start_us;
	/* Groups as of a version, and the time at which they expire. */
	GPtrArray *groups; /* struct group */
	uint64_t groups_version;
	int64_t groups_until_ms;
};

static void mark_free(void *p)
{
	struct mark *m = p;

	list_del(&m->order);
	g_free(m->trait);
	g_free(m);
}

static void group_free(void *p)
{
	struct group *g = p;

	g_ptr_array_unref(g->marks);
	g_free(g);
}

static GHashTable *string_set_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct blame *blame_new(size_t max_traits)
{
	struct blame *b = g_new0(struct blame, 1);

	b->max_traits = max_traits ? max_traits : MAX_TRAITS_DEFAULT;
	b->version = 1;
	list_init(&b->order);
	b->marks =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, mark_free);
	b->sound = string_set_new();
	b->sound_before = string_set_new();
	b->answers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	b->answers_before =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	b->groups = g_ptr_array_new_with_free_func(group_free);
	return b;
}

void blame_free(struct blame *b)
{
	if (!b)
		return;
	g_ptr_array_unref(b->groups);
	g_hash_table_destroy(b->marks);
	g_hash_table_destroy(b->sound);
	g_hash_table_destroy(b->sound_before);
	g_hash_table_destroy(b->answers);
	g_hash_table_destroy(b->answers_before);
	g_free(b);
}

/* ---- sound traits ---- */

static void rotate_sound(struct blame *b, int64_t now)
{
	if (now - b->sound_start_us < BLAME_SOUND_US)
		return;
	GHashTable *old = b->sound_before;
	bool adjacent = now - b->sound_start_us < 2 * BLAME_SOUND_US;
	b->sound_before = b->sound;
	b->sound = old;
	g_hash_table_remove_all(b->sound);
	if (!adjacent)
		g_hash_table_remove_all(b->sound_before);
	b->sound_start_us = now;
}

static bool is_sound(struct blame *b, const char *trait, int64_t now)
{
	rotate_sound(b, now);
	return g_hash_table_contains(b->sound, trait) ||
	       g_hash_table_contains(b->sound_before, trait);
}

/* ---- traits that most answered requests had ---- */

static void rotate_answers(struct blame *b, int64_t now)
{
	if (now - b->answers_start_us < BLAME_COMMON_US)
		return;
	GHashTable *old = b->answers_before;
	bool adjacent = now - b->answers_start_us < 2 * BLAME_COMMON_US;
	b->answers_before = b->answers;
	b->n_answers_before = adjacent ? b->n_answers : 0;
	b->answers = old;
	b->n_answers = 0;
	g_hash_table_remove_all(b->answers);
	if (!adjacent)
		g_hash_table_remove_all(b->answers_before);
	b->answers_start_us = now;
}

void blame_count_answer(struct blame *b, int64_t now)
{
	rotate_answers(b, now);
	b->n_answers++;
}

static void count_trait_answer(struct blame *b, const char *trait, int64_t now)
{
	rotate_answers(b, now);
	unsigned int n =
		GPOINTER_TO_UINT(g_hash_table_lookup(b->answers, trait));
	if (n || g_hash_table_size(b->answers) < SOUND_MAX)
		g_hash_table_replace(b->answers, g_strdup(trait),
				     GUINT_TO_POINTER(n + 1));
}

static bool is_common(const struct blame *b, const char *trait)
{
	unsigned int all = b->n_answers + b->n_answers_before;
	unsigned int had =
		GPOINTER_TO_UINT(g_hash_table_lookup(b->answers, trait)) +
		GPOINTER_TO_UINT(g_hash_table_lookup(b->answers_before, trait));

	return all >= BLAME_COMMON_MIN && 2 * had >= all;
}

/* ---- crashes ---- */

static uint64_t crash_id(const char *endpoint, uint64_t incarnation)
{
	return XXH64(endpoint, strlen(endpoint), incarnation);
}

static struct mark *get_or_add_mark(struct blame *b, const char *trait)
{
	struct mark *m = g_hash_table_lookup(b->marks, trait);

	if (m)
		return m;
	if (g_hash_table_size(b->marks) >= b->max_traits) {
		m = list_first(&b->order, struct mark, order);
		g_hash_table_remove(b->marks, m->trait);
	}
	m = g_new0(struct mark, 1);
	m->trait = g_strdup(trait);
	list_add_tail(&b->order, &m->order);
	g_hash_table_insert(b->marks, m->trait, m);
	return m;
}

static struct crash *find_crash(struct mark *m, uint64_t id)
{
	for (unsigned int i = 0; i < m->n; i++)
		if (m->crashes[i].id == id)
			return &m->crashes[i];
	return NULL;
}

static struct crash *add_crash(struct blame *b, struct mark *m, uint64_t id,
			       int64_t at_ms, int64_t now)
{
	if (m->n < CRASHES_MAX)
		m->n++;
	struct crash *c = &m->crashes[m->n - 1];
	*c = (struct crash){.id = id, .at_ms = at_ms, .recorded_us = now};
	b->version++;
	return c;
}

bool blame_record_crash(struct blame *b, const char *trait,
			const char *endpoint, uint64_t incarnation,
			int64_t at_ms, int64_t now)
{
	uint64_t id = crash_id(endpoint, incarnation);

	if (is_sound(b, trait, now))
		return false;
	struct mark *m = get_or_add_mark(b, trait);
	if (find_crash(m, id))
		return false;
	add_crash(b, m, id, at_ms, now);
	return true;
}

static bool mark_is_in_log(const struct mark *m)
{
	for (unsigned int i = 0; i < m->n; i++)
		if (m->crashes[i].in_log)
			return true;
	return false;
}

bool blame_was_served(struct blame *b, const char *trait, int64_t now)
{
	return is_sound(b, trait, now);
}

void blame_clear(struct blame *b, const char *trait)
{
	struct mark *m = g_hash_table_lookup(b->marks, trait);

	for (unsigned int i = 0; m && i < m->n; i++) {
		b->version += !m->crashes[i].cleared;
		m->crashes[i].cleared = true;
	}
}

bool blame_record_success(struct blame *b, const char *trait, int64_t now)
{
	struct mark *m = g_hash_table_lookup(b->marks, trait);

	rotate_sound(b, now);
	if (g_hash_table_size(b->sound) < SOUND_MAX)
		g_hash_table_add(b->sound, g_strdup(trait));
	count_trait_answer(b, trait, now);
	if (!m)
		return false;
	blame_clear(b, trait);
	if (!mark_is_in_log(m) ||
	    (m->clear_us && now - m->clear_us < CLEAR_INTERVAL_US))
		return false;
	m->clear_us = now;
	return true;
}

void blame_snapshot_begin(struct blame *b)
{
	struct mark *m;

	list_for_each_entry (m, &b->order, order)
		for (unsigned int i = 0; i < m->n; i++)
			m->crashes[i].in_snapshot = false;
}

void blame_add_from_log(struct blame *b, const char *trait,
			const char *endpoint, uint64_t incarnation,
			int64_t at_ms, int64_t now)
{
	uint64_t id = crash_id(endpoint, incarnation);
	struct mark *m = get_or_add_mark(b, trait);
	struct crash *c = find_crash(m, id);

	if (!c)
		c = add_crash(b, m, id, at_ms, now);
	c->at_ms = at_ms;
	c->in_log = c->in_snapshot = true;
	if (is_sound(b, trait, now))
		c->cleared = true;
}

static bool is_valid(const struct crash *c, int64_t now)
{
	if (c->in_snapshot)
		return true;
	return !c->in_log && now - c->recorded_us < UNLOGGED_VALID_US;
}

void blame_snapshot_end(struct blame *b, int64_t now)
{
	struct mark *m, *tmp;

	b->version++;
	list_for_each_entry_safe (m, tmp, &b->order, order) {
		unsigned int n = 0;

		for (unsigned int i = 0; i < m->n; i++)
			if (is_valid(&m->crashes[i], now))
				m->crashes[n++] = m->crashes[i];
		m->n = n;
		if (!n)
			g_hash_table_remove(b->marks, m->trait);
	}
}

bool blame_is_empty(const struct blame *b)
{
	return !g_hash_table_size(b->marks);
}

bool blame_is_in_log(const struct blame *b, const char *trait)
{
	const struct mark *m = g_hash_table_lookup(b->marks, trait);

	return m && mark_is_in_log(m);
}

/* ---- the decision ---- */

static bool counts(const struct crash *c, int64_t now_ms)
{
	return !c->cleared && now_ms - c->at_ms < BLAME_VALID_MS;
}

static bool has_crash(const struct mark *m, uint64_t id, int64_t now_ms)
{
	for (unsigned int i = 0; i < m->n; i++)
		if (m->crashes[i].id == id && counts(&m->crashes[i], now_ms))
			return true;
	return false;
}

static int compare_times(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* When the crashes of a trait that count came. */
struct history {
	int64_t first_ms, last_ms;
	unsigned int incidents;
};

static struct history get_history(const struct mark *m, int64_t now_ms)
{
	int64_t at_ms[CRASHES_MAX];
	struct history h = {0};
	size_t n = 0;

	for (unsigned int i = 0; i < m->n; i++)
		if (counts(&m->crashes[i], now_ms))
			at_ms[n++] = m->crashes[i].at_ms;
	if (!n)
		return h;
	qsort(at_ms, n, sizeof(*at_ms), compare_times);
	h.first_ms = at_ms[0];
	h.last_ms = at_ms[n - 1];
	h.incidents = 1;
	for (size_t i = 1; i < n; i++)
		h.incidents += at_ms[i] - at_ms[i - 1] > BLAME_INCIDENT_MS;
	return h;
}

/* Whether one of the groups is blamed for the crash already. */
static bool is_explained(const struct blame *b, uint64_t id, int64_t now_ms)
{
	for (guint i = 0; i < b->groups->len; i++) {
		const struct group *g = b->groups->pdata[i];

		if (has_crash(g->marks->pdata[0], id, now_ms))
			return true;
	}
	return false;
}

/* Crashes of the trait that no group explains; 0 if they do not suffice. */
static unsigned int count_unexplained(const struct blame *b,
				      const struct mark *m, int64_t now_ms)
{
	int64_t first_ms = INT64_MAX, last_ms = INT64_MIN;
	bool is_request = g_str_has_prefix(m->trait, BLAME_REQUEST_PREFIX);
	unsigned int min =
		is_request ? BLAME_REQUEST_CRASHES : BLAME_PART_CRASHES;
	unsigned int n = 0;

	for (unsigned int i = 0; i < m->n; i++) {
		const struct crash *c = &m->crashes[i];

		if (!counts(c, now_ms) || is_explained(b, c->id, now_ms))
			continue;
		n++;
		first_ms = MIN(first_ms, c->at_ms);
		last_ms = MAX(last_ms, c->at_ms);
	}
	if (n < min || last_ms - first_ms < BLAME_SEPARATE_MS)
		return 0;
	if (is_common(b, m->trait) &&
	    get_history(m, now_ms).incidents < BLAME_COMMON_INCIDENTS)
		return 0;
	return n;
}

/* Whether the trait has all crashes of `of` that count. */
static bool shares_crashes(const struct mark *m, const struct mark *of,
			   int64_t now_ms)
{
	for (unsigned int i = 0; i < of->n; i++)
		if (counts(&of->crashes[i], now_ms) &&
		    !has_crash(m, of->crashes[i].id, now_ms))
			return false;
	return true;
}

static void add_group(struct blame *b, struct mark *first,
		      unsigned int n_crashes, int64_t now_ms)
{
	struct group *g = g_new0(struct group, 1);
	struct mark *m;

	g->crashes = n_crashes;
	g->marks = g_ptr_array_new();
	g_ptr_array_add(g->marks, first);
	list_for_each_entry (m, &b->order, order)
		if (m != first && shares_crashes(m, first, now_ms))
			g_ptr_array_add(g->marks, m);
	g_ptr_array_add(b->groups, g);
	for (unsigned int i = 0; i < first->n; i++)
		if (counts(&first->crashes[i], now_ms))
			b->groups_until_ms =
				MIN(b->groups_until_ms,
				    first->crashes[i].at_ms + BLAME_VALID_MS);
}

/*
 * Blames the trait with most crashes first, then the one with most of those
 * that are left, and so on.
 */
static void update_groups(struct blame *b, int64_t now_ms)
{
	if (b->groups_version == b->version && now_ms < b->groups_until_ms)
		return;
	g_ptr_array_set_size(b->groups, 0);
	b->groups_until_ms = INT64_MAX;
	b->groups_version = b->version;
	while (b->groups->len < GROUPS_MAX) {
		struct mark *m, *best = NULL;
		unsigned int most = 0;

		list_for_each_entry (m, &b->order, order) {
			unsigned int n = count_unexplained(b, m, now_ms);
			if (n > most || (n && n == most &&
					 strcmp(m->trait, best->trait) < 0)) {
				most = n;
				best = m;
			}
		}
		if (!best)
			return;
		add_group(b, best, most, now_ms);
	}
}

static bool has_trait(const char *const *traits, size_t n, const char *trait)
{
	for (size_t i = 0; i < n; i++)
		if (!strcmp(traits[i], trait))
			return true;
	return false;
}

unsigned int blame_refuses(struct blame *b, const char *const *traits, size_t n,
			   int64_t now_ms, const char **trait)
{
	if (blame_is_empty(b))
		return 0;
	update_groups(b, now_ms);
	for (guint i = 0; i < b->groups->len; i++) {
		const struct group *g = b->groups->pdata[i];
		const struct mark *first = g->marks->pdata[0];
		guint have = 0;

		while (have < g->marks->len &&
		       has_trait(traits, n,
				 ((struct mark *)g->marks->pdata[have])->trait))
			have++;
		if (have < g->marks->len)
			continue;
		if (trait)
			*trait = first->trait;
		return g->crashes;
	}
	return 0;
}

enum blame_verdict blame_judge(const struct blame *b, const char *trait,
			       unsigned int running, int64_t delay_ms,
			       int64_t now_ms)
{
	const struct mark *m = g_hash_table_lookup(b->marks, trait);
	struct history h = m ? get_history(m, now_ms) : (struct history){0};

	/* These decide, as a trial would. */
	if (running)
		return BLAME_HOLD;
	if (!h.incidents)
		return BLAME_TRY;
	bool tried = m->tried_ms > h.last_ms;
	if (tried && now_ms - m->tried_ms < BLAME_TRIAL_MS)
		return BLAME_HOLD;
	int64_t since_ms = now_ms - delay_ms - MAX(h.last_ms, m->tried_ms);
	if (h.incidents == 1)
		return since_ms >= BLAME_TRIAL_WAIT_MS ? BLAME_TRY : BLAME_HOLD;
	int64_t refused_ms = BLAME_REFUSED_FACTOR * (h.last_ms - h.first_ms);
	return since_ms >= MAX(refused_ms, BLAME_REFUSED_MIN_MS) ? BLAME_TRY
								 : BLAME_REFUSE;
}

void blame_tried(struct blame *b, const char *trait, int64_t now_ms)
{
	struct mark *m = g_hash_table_lookup(b->marks, trait);

	if (m)
		m->tried_ms = now_ms;
}
