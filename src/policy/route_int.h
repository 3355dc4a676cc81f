#ifndef POLICY_ROUTE_INT_H
#define POLICY_ROUTE_INT_H

#include <glib.h>
#include "base/list.h"
#include "policy/route.h"

/* Internals shared by the route*.c files. */

struct route_ep {
	char *id, *addr, *dc, *model_version;
	uint64_t incarnation;
	char **models;
	uint32_t serial;  /* unique for each endpoint and incarnation, from 1 */
	uint64_t id_hash; /* for rendezvous hashing */
	enum route_state state;
	bool remote;	      /* see struct route_ep_info */
	int64_t confirmed_us; /* INT64_MIN: never */
	uint32_t blocks, max_batch;
	const struct credit_ep *credit; /* not owned */

	struct route_load load;
	int64_t load_sampled_us;
	struct list streams; /* of this host, in the order of dispatch */
	unsigned n_streams, n_paused;
	unsigned n_decoding;	  /* have had a token and are not paused */
	uint64_t reserved_blocks; /* sum over the streams */
	int64_t last_token_us;
	/* Moving averages, 0 before the first observation. */
	double token_interval_us; /* between two tokens of a stream */
	double first_token_us;	  /* from dispatch to the first token */
	int64_t backoff_until_us; /* no new requests before, after a stall */
	int64_t paused_until_us;  /* none before, as it asked for a pause */

	uint64_t cache_event_seq; /* highest sequence number received */
	/* Events up to this one precede a gap: entries may be outdated. */
	uint64_t cache_uncertain_seq;
};

struct route_model {
	char *name;
	GPtrArray *eps;
	double median_interval_us; /* 0: unknown */
	int64_t median_computed_us;
};

struct prefix_index;

struct route {
	const struct route_ops *ops;
	struct route_tuning cfg;
	char *dc;
	GHashTable *eps;	       /* id -> struct route_ep */
	GHashTable *models;	       /* name -> struct route_model */
	GHashTable *left_incarnations; /* id -> highest one that has left */
	GQueue left_order;	       /* ids of these, oldest first */
	uint32_t last_serial;
	struct prefix_index *prefix_index;
	struct spill_budget spill;
	/*
	 * Choices so far: the position of round robin, and part of the
	 * rendezvous key of requests without a prefix.
	 */
	uint64_t n_choices;
	GArray *candidates; /* struct route_candidate; reused by each choice */
};

/* Prefixes of a prompt that are looked up; longer prompts are sampled. */
#define PREFIX_PROBES_MAX 32

struct prefix_index *prefix_index_new(size_t max_entries);
void prefix_index_free(struct prefix_index *index);

/*
 * Applies a cache event of the endpoint with serial number ep_serial.  Sequence
 * number 0 stands for an assumption, which any event of the endpoint replaces.
 */
void prefix_index_apply(struct prefix_index *index, uint64_t hash,
			uint32_t ep_serial, uint64_t seq, bool cached);

/* Calls fn for each endpoint that is recorded as caching the prefix. */
void prefix_index_find(struct prefix_index *index, uint64_t hash,
		       void (*fn)(void *ctx, uint32_t ep_serial, uint64_t seq),
		       void *ctx);

/* Index of lookup k among n prefixes, from the longest to the shortest. */
static inline size_t prefix_probe_index(size_t n, size_t k)
{
	size_t probes = n < PREFIX_PROBES_MAX ? n : PREFIX_PROBES_MAX;

	return n - 1 - k * n / probes;
}

static inline size_t prefix_probe_count(size_t n)
{
	return n < PREFIX_PROBES_MAX ? n : PREFIX_PROBES_MAX;
}

#endif
