#include "standin/stat.h"

#include <math.h>

static int bucket_of(int64_t us)
{
	if (us < 1 << STAT_SUB_BITS)
		return us < 0 ? 0 : (int)us;
	int top = 63 - __builtin_clzll((unsigned long long)us);
	int shift = top - STAT_SUB_BITS;
	int b = ((shift + 1) << STAT_SUB_BITS) +
		(int)((us >> shift) & ((1 << STAT_SUB_BITS) - 1));
	return b < STAT_BUCKETS ? b : STAT_BUCKETS - 1;
}

static int64_t bucket_end(int b)
{
	int shift = (b >> STAT_SUB_BITS) - 1;

	if (shift < 0)
		return b;
	int64_t low = (int64_t)((b & ((1 << STAT_SUB_BITS) - 1)) +
				(1 << STAT_SUB_BITS))
		      << shift;
	return low + (INT64_C(1) << shift) - 1;
}

void stat_hist_add(struct stat_hist *h, int64_t us)
{
	h->bucket[bucket_of(us)]++;
	h->n++;
	h->sum += (double)us;
	if (us > h->max)
		h->max = us;
}

int64_t stat_hist_quantile(const struct stat_hist *h, double q)
{
	int64_t want = (int64_t)ceil(q * (double)h->n), seen = 0;

	for (int b = 0; b < STAT_BUCKETS && h->n; b++) {
		seen += h->bucket[b];
		if (seen >= want && seen)
			return bucket_end(b) < h->max ? bucket_end(b) : h->max;
	}
	return h->max;
}

json_t *stat_hist_json(const struct stat_hist *h)
{
	return json_pack("{s:I,s:f,s:f,s:f,s:f,s:f}", "n", (json_int_t)h->n,
			 "mean", h->n ? h->sum / (double)h->n / 1000.0 : 0.0,
			 "p50", (double)stat_hist_quantile(h, 0.5) / 1000.0,
			 "p95", (double)stat_hist_quantile(h, 0.95) / 1000.0,
			 "p99", (double)stat_hist_quantile(h, 0.99) / 1000.0,
			 "max", (double)h->max / 1000.0);
}

struct stat_group *stat_new(void)
{
	struct stat_group *s = g_new0(struct stat_group, 1);

	s->by_status =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->by_kind =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return s;
}

void stat_free(gpointer p)
{
	struct stat_group *s = p;

	g_hash_table_destroy(s->by_status);
	g_hash_table_destroy(s->by_kind);
	g_free(s);
}

static void count(GHashTable *t, const char *name)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(t, name));

	g_hash_table_insert(t, g_strdup(name), GINT_TO_POINTER(n + 1));
}

void stat_add(struct stat_group *s, const struct call_result *r)
{
	g_autofree char *status = g_strdup_printf("%d", r->status);

	s->sent++;
	s->tokens += r->tokens;
	s->resumes += r->resumes;
	s->attempts += r->attempts;
	count(s->by_status, status);
	count(s->by_kind, r->kind);
	s->not_run += !g_strcmp0(r->outcome, "not-run");
	if (r->first_us)
		stat_hist_add(&s->first, r->first_us);
	if (g_strcmp0(r->kind, "ok") != 0)
		return;
	s->ok++;
	stat_hist_add(&s->total, r->total_us);
}

static json_t *counts_json(GHashTable *t)
{
	json_t *j = json_object();
	GList *keys =
		g_list_sort(g_hash_table_get_keys(t), (GCompareFunc)g_strcmp0);

	for (GList *k = keys; k; k = k->next)
		json_object_set_new(j, k->data,
				    json_integer(GPOINTER_TO_INT(
					    g_hash_table_lookup(t, k->data))));
	g_list_free(keys);
	return j;
}

json_t *stat_json(const struct stat_group *s)
{
	return json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:I,s:o,s:o,s:o,s:o,s:o,s:o}", "sent",
		(json_int_t)s->sent, "ok", (json_int_t)s->ok, "not_run",
		(json_int_t)s->not_run, "attempts", (json_int_t)s->attempts,
		"resumes", (json_int_t)s->resumes, "tokens",
		(json_int_t)s->tokens, "by_status", counts_json(s->by_status),
		"by_kind", counts_json(s->by_kind), "first_token_ms",
		stat_hist_json(&s->first), "between_tokens_ms",
		stat_hist_json(&s->gap), "transit_ms",
		stat_hist_json(&s->transit), "total_ms",
		stat_hist_json(&s->total));
}

double stat_jain(const double *x, int n)
{
	double sum = 0, squares = 0;

	for (int i = 0; i < n; i++) {
		sum += x[i];
		squares += x[i] * x[i];
	}
	return squares > 0 ? sum * sum / (n * squares) : 1.0;
}
