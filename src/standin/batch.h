#ifndef STANDIN_BATCH_H
#define STANDIN_BATCH_H

#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

/*
 * Continuous batching with a fixed number of cache blocks, as a model of an
 * inference server's scheduler.  Deterministic: `now` (microseconds) is an
 * argument, and it does no I/O.
 *
 * Work proceeds in steps.  batch_begin() forms a step and returns how long it
 * takes; batch_end() is called that much later and produces one token for each
 * running generation whose prompt has been computed.
 */

/* A prefix is cached in units of this many prompt bytes. */
#define BATCH_UNIT_BYTES 256
#define BATCH_BYTES_PER_TOKEN 4
#define BATCH_UNIT_TOKENS (BATCH_UNIT_BYTES / BATCH_BYTES_PER_TOKEN)

struct batch_config {
	int blocks;	   /* memory for all sequences and the prefix cache */
	int block_tokens;  /* must divide BATCH_UNIT_TOKENS */
	int max_batch;	   /* running generations */
	int cache_blocks;  /* bound of the prefix cache; 0: none */
	int base_us;	   /* time of a step */
	int per_seq_us;	   /* added for each running generation */
	int prefill_us;	   /* added for each uncached prompt token */
	int prefill_chunk; /* most prompt tokens in a step */
};

enum batch_state {
	BATCH_WAITING,
	BATCH_RUNNING,
	BATCH_DONE, /* finished or cancelled */
};

/* The caller sets the first group, the batch the rest. */
struct batch_gen {
	int priority; /* 0 is the most urgent */
	int prompt_tokens;
	int target;	 /* tokens after which it finishes */
	uint64_t *units; /* hash of each full prompt prefix unit */
	int nunits;

	struct list link; /* in `waiting` or `running` */
	enum batch_state state;
	uint64_t seq; /* order of arrival */
	int produced;
	int to_prefill;	   /* tokens to compute before the next token */
	int step_tokens;   /* part of to_prefill done in this step */
	int blocks;	   /* own blocks, without those of cached units */
	int nrefs;	   /* leading units that it holds in the cache */
	int admitted;	   /* has been running before */
	int out_of_memory; /* finished early: all memory was used by it */
	int cached_tokens; /* at the first admission */
	int preemptions;
	int64_t preempted_at;
	int64_t stall_us; /* from preemptions to the next token */
};

struct batch_ops {
	/* A token was produced; state is BATCH_DONE at the last one. */
	void (*token)(void *ctx, struct batch_gen *g);
	void (*preempted)(void *ctx, struct batch_gen *g);
	/* Optional.  A unit entered (add 1) or left (add 0) the cache. */
	void (*cache)(void *ctx, int add, uint64_t hash);
};

struct batch_load {
	int running;
	int waiting;
	int blocks_used; /* without cached blocks that can be evicted */
	int preemptions; /* since the start */
};

struct batch;

/* Returns NULL if the configuration is not usable. */
struct batch *batch_new(const struct batch_config *cfg,
			const struct batch_ops *ops, void *ctx);
void batch_free(struct batch *b);

/* Returns 0, or -MW_ETOOBIG if the prompt can never fit. */
int batch_submit(struct batch *b, struct batch_gen *g);

/* Takes a generation out and frees its blocks; does nothing if done. */
void batch_cancel(struct batch *b, struct batch_gen *g);

/* Forms a step; returns its duration in microseconds, 0 if there is no work. */
int64_t batch_begin(struct batch *b, int64_t now);

/* Ends the step; callbacks must not call the batch. */
void batch_end(struct batch *b, int64_t now);

struct batch_load batch_load(const struct batch *b);

/* Asserts that all blocks are accounted for. */
void batch_check(const struct batch *b);

#endif
