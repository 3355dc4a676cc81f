#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include "base/err.h"
#include "policy/route_int.h"

/* Time after a stall during which an endpoint gets no new requests. */
#define STALL_BACKOFF_US INT64_C(2000000)

/* Time since its last token after which an endpoint's interval is ignored. */
#define TOKEN_INTERVAL_TTL_US INT64_C(10000000)

/* Time for which the median token interval of a model is reused. */
#define MEDIAN_TTL_US INT64_C(250000)

/* Factor for hits on entries that precede a gap in the cache events. */
#define UNCERTAIN_HIT_FACTOR 0.5

/*
 * Number of 256-byte steps whose hash selects the rendezvous endpoint: 1 KiB
 * is the size of a typical system prompt.
 */
#define RENDEZVOUS_PREFIXES 4

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Median of the average token intervals of a model's endpoints, 0: unknown. */
static double median_interval(struct route_model *m, int64_t now)
{
	g_autofree double *v = NULL;
	size_t n = 0;

	if (m->median_computed_us &&
	    now - m->median_computed_us < MEDIAN_TTL_US)
		return m->median_interval_us;
	m->median_computed_us = now;
	v = g_new(double, m->eps->len);
	for (unsigned i = 0; i < m->eps->len; i++) {
		const struct route_ep *ep = g_ptr_array_index(m->eps, i);

		if (ep->token_interval_us > 0 &&
		    now - ep->last_token_us < TOKEN_INTERVAL_TTL_US)
			v[n++] = ep->token_interval_us;
	}
	qsort(v, n, sizeof(*v), compare_doubles);
	/* Of two endpoints neither can be called typical. */
	m->median_interval_us = n >= 3 ? v[n / 2] : 0;
	return m->median_interval_us;
}

/*
 * Load of an endpoint, see struct route_candidate.  Use is what the last report
 * states plus this host's dispatches since, but at least what this host has
 * there now.
 */
static double endpoint_load(const struct route_ep *ep)
{
	uint64_t used = ep->load.blocks_used, blocks = ep->load.blocks;
	unsigned running = ep->load.running;
	const struct list *pos;
	double load, batch;

	for (pos = ep->streams.prev; pos != &ep->streams; pos = pos->prev) {
		const struct route_stream *s =
			list_entry(pos, struct route_stream, node);

		if (s->started_us < ep->load_sampled_us)
			break;
		used += s->blocks;
		running++;
	}
	if (used < ep->reserved_blocks)
		used = ep->reserved_blocks;
	if (running < ep->n_streams)
		running = ep->n_streams;
	if (!blocks)
		blocks = ep->blocks;
	load = blocks ? (double)used / (double)blocks : 0;
	batch = ep->max_batch ? ep->max_batch : 64;
	if (running / batch > load)
		load = running / batch;
	return load + ep->load.waiting / batch;
}

/* Headroom to leave free, and the endpoint with the most unreserved blocks. */
struct headroom {
	double blocks;
	unsigned requests;
	const struct route_ep *max_ep;
	double max_room;    /* unreserved blocks of max_ep */
	double second_room; /* the most on any other endpoint */
};

struct hits {
	GArray *cands; /* struct route_candidate */
	const struct route_query *q;
	size_t pos; /* index of the prefix that is looked up */
};

static void record_hit(void *ctx, uint32_t ep_serial, uint64_t seq)
{
	struct hits *h = ctx;
	double hit = (double)(h->pos + 1) / (double)h->q->n_prefixes;

	for (unsigned i = 0; i < h->cands->len; i++) {
		struct route_candidate *c =
			&g_array_index(h->cands, struct route_candidate, i);

		if (c->ep->serial != ep_serial)
			continue;
		if (seq && seq <= c->ep->cache_uncertain_seq)
			hit *= UNCERTAIN_HIT_FACTOR;
		if (hit > c->cached_share)
			c->cached_share = hit;
	}
}

static void find_prefix_hits(struct route *r, const struct route_query *q)
{
	struct hits h = {r->candidates, q, 0};

	for (size_t k = 0; q->prefixes && k < prefix_probe_count(q->n_prefixes);
	     k++) {
		h.pos = prefix_probe_index(q->n_prefixes, k);
		prefix_index_find(r->prefix_index, q->prefixes[h.pos],
				  record_hit, &h);
	}
}

static uint64_t rendezvous_key(const struct route *r,
			       const struct route_query *q)
{
	if (q->prefixes && q->n_prefixes)
		return q->prefixes[(q->n_prefixes < RENDEZVOUS_PREFIXES
					    ? q->n_prefixes
					    : RENDEZVOUS_PREFIXES) -
				   1];
	return r->cfg.seed + r->n_choices;
}

/*
 * Headroom, in requests of typical size.  Lower ranks leave room for one
 * request of rank 0, which may also exceed the credit.
 * Accounts at or above their share leave room for several requests of accounts
 * below theirs, since more of those arrive before the room that the first one
 * took is free again (with one, the p99 of small accounts in
 * `mw-policy_bench fair` was 13 times its value without large accounts).  Each
 * of the two is limited to HEADROOM_PERCENT of the host's credits.
 */
#define HEADROOM_URGENT_REQUESTS 1
#define HEADROOM_SMALL_REQUESTS 4
#define HEADROOM_PERCENT 10

/* Mean of credit_typical_blocks() over the endpoints that have it, else 0. */
static double mean_typical_blocks(const struct route_model *m, bool lower)
{
	double sum = 0;
	unsigned n = 0;

	for (unsigned i = 0; i < m->eps->len; i++) {
		const struct route_ep *ep = g_ptr_array_index(m->eps, i);
		double t = ep->credit ? credit_typical_blocks(ep->credit, lower)
				      : 0;

		sum += t;
		n += t > 0;
	}
	return n ? sum / n : 0;
}

static void add_headroom(struct headroom *headroom, unsigned requests,
			 double blocks, double max_blocks)
{
	headroom->blocks += fmin(requests * blocks, max_blocks);
	headroom->requests += blocks > 0 ? requests : 0;
}

/*
 * Headroom is kept once per host, on the endpoint with the most room; the other
 * endpoints may be filled.
 */
static void compute_headroom(struct route *r, struct route_model *m,
			     const struct route_query *q, bool local,
			     int64_t now, struct headroom *out)
{
	bool lower = q->need.rank > 0;
	double credits = 0;

	memset(out, 0, sizeof(*out));
	if (!lower && !q->need.keep_headroom)
		return;
	for (unsigned i = 0; i < m->eps->len; i++) {
		struct route_ep *ep = g_ptr_array_index(m->eps, i);
		double room;

		if (!ep->credit || !route_eligible(ep, now) ||
		    (g_strcmp0(ep->dc, r->dc) == 0) != local)
			continue;
		credits +=
			(double)credit_limit_blocks(q->credit, ep->credit, now);
		room = credit_free_blocks(q->credit, ep->credit, now);
		if (!out->max_ep || room > out->max_room) {
			out->second_room = out->max_room;
			out->max_room = room;
			out->max_ep = ep;
		} else if (room > out->second_room) {
			out->second_room = room;
		}
	}
	credits = credits * HEADROOM_PERCENT / 100;
	if (lower)
		add_headroom(out, HEADROOM_URGENT_REQUESTS,
			     mean_typical_blocks(m, false), credits);
	if (q->need.keep_headroom)
		add_headroom(out, HEADROOM_SMALL_REQUESTS,
			     mean_typical_blocks(m, lower), credits);
}

/*
 * Fills r->candidates with the endpoints that have room: those of the local
 * data centre if `local`, else those of the others.  Returns whether any was
 * eligible.
 */
static bool collect_candidates(struct route *r, struct route_model *m,
			       const struct route_query *q, bool local,
			       int64_t now)
{
	double median = median_interval(m, now);
	uint64_t key = rendezvous_key(r, q);
	struct credit_need need = q->need;
	struct headroom headroom = {0};
	bool eligible = false;

	if (q->credit)
		compute_headroom(r, m, q, local, now, &headroom);
	g_array_set_size(r->candidates, 0);
	for (unsigned i = 0; i < m->eps->len; i++) {
		struct route_ep *ep = g_ptr_array_index(m->eps, i);
		struct route_candidate c = {.ep = ep};

		if (!route_eligible(ep, now) || route_is_remote(r, ep) == local)
			continue;
		if (route_is_stalled(r, ep, now))
			ep->backoff_until_us = now + STALL_BACKOFF_US;
		if (now < ep->backoff_until_us || now < ep->paused_until_us)
			continue;
		if (q->exclude && q->exclude(q->exclude_ctx, ep->id))
			continue;
		eligible = true;
		if (q->credit && !ep->credit)
			continue;
		if (q->credit) {
			double other_room = ep == headroom.max_ep
						    ? headroom.second_room
						    : headroom.max_room;
			bool kept_elsewhere = other_room >= headroom.blocks;

			need.headroom_blocks =
				kept_elsewhere ? 0 : headroom.blocks;
			need.headroom_slots =
				kept_elsewhere ? 0 : headroom.requests;
			if (!credit_fits(q->credit, ep->credit, &need, now))
				continue;
		}
		c.load = endpoint_load(ep);
		c.outstanding = ep->n_streams;
		c.rendezvous = XXH64(&ep->id_hash, sizeof(ep->id_hash), key);
		c.slow = median > 0 && ep->token_interval_us > 0 &&
			 now - ep->last_token_us < TOKEN_INTERVAL_TTL_US &&
			 ep->token_interval_us > r->cfg.stall_factor * median;
		g_array_append_val(r->candidates, c);
	}
	return eligible;
}

static bool may_spill(struct route *r, const struct route_query *q, int64_t now)
{
	if (q->local_only)
		return false;
	if (q->waited_us < r->cfg.spill_after_us &&
	    route_has_local(r, q->model))
		return false;
	return spill_allows(&r->spill, q->need.rank, q->bytes, now);
}

int route_choose(struct route *r, const struct route_query *q, int64_t now,
		 struct route_ep **ep)
{
	struct route_model *m = g_hash_table_lookup(r->models, q->model);
	bool eligible;
	size_t i;

	*ep = NULL;
	if (!m)
		return -MW_ENOENDPOINT;
	eligible = collect_candidates(r, m, q, true, now);
	if (!r->candidates->len && may_spill(r, q, now))
		eligible |= collect_candidates(r, m, q, false, now);
	if (!r->candidates->len)
		return eligible ? -MW_EAGAIN : -MW_ENOENDPOINT;
	find_prefix_hits(r, q);
	i = r->ops->pick(r, (const struct route_candidate *)r->candidates->data,
			 r->candidates->len);
	assert(i < r->candidates->len);
	r->n_choices++;
	*ep = g_array_index(r->candidates, struct route_candidate, i).ep;
	return 0;
}

/*
 * Picks the lowest score: the load less prefix_weight times the cached share
 * of the prefix, and less rendezvous_weight for the endpoint with the highest
 * rendezvous hash.  Slow endpoints rank behind all others.
 */
static size_t pick_prefix_load(struct route *r,
			       const struct route_candidate *cands, size_t n)
{
	size_t best = 0, preferred = 0;
	double best_score = 0;

	for (size_t i = 1; i < n; i++)
		if (cands[i].rendezvous > cands[preferred].rendezvous)
			preferred = i;
	for (size_t i = 0; i < n; i++) {
		double score = cands[i].load -
			       r->cfg.prefix_weight * cands[i].cached_share -
			       (i == preferred ? r->cfg.rendezvous_weight : 0) +
			       (cands[i].slow ? 1e3 : 0);

		if (i == 0 || score < best_score ||
		    (score == best_score &&
		     cands[i].rendezvous > cands[best].rendezvous)) {
			best = i;
			best_score = score;
		}
	}
	return best;
}

static size_t pick_round_robin(struct route *r,
			       const struct route_candidate *cands, size_t n)
{
	(void)cands;
	return r->n_choices % n;
}

static size_t pick_least_requests(struct route *r,
				  const struct route_candidate *cands, size_t n)
{
	size_t best = 0;

	(void)r;
	for (size_t i = 1; i < n; i++)
		if (cands[i].outstanding < cands[best].outstanding ||
		    (cands[i].outstanding == cands[best].outstanding &&
		     cands[i].rendezvous > cands[best].rendezvous))
			best = i;
	return best;
}

const struct route_ops route_prefix_load = {"prefix_load", pick_prefix_load};
const struct route_ops route_round_robin = {"round_robin", pick_round_robin};
const struct route_ops route_least_requests = {"least_requests",
					       pick_least_requests};
