/* Generated from settings.schema by `make regen`; do not edit. */
#ifndef STATE_SCHEMA_GEN_H
#define STATE_SCHEMA_GEN_H

#include <stdbool.h>
#include <stdint.h>

enum schema_kind {
	SCHEMA_ACCOUNT,
	SCHEMA_RANK,
	SCHEMA_ROUTE,
	SCHEMA_ENDPOINT,
	SCHEMA_MODEL,
	SCHEMA_DC,
	SCHEMA_SYSTEM,
	SCHEMA_OPERATOR,
	SCHEMA_DOCUMENT,
	SCHEMA_KIND_COUNT
};

enum route_kind {
	ROUTE_KIND_MODEL,
	ROUTE_KIND_SERVICE,
};

/* Resolved settings; strings belong to the tree. */
struct account_cfg {
	const char *name; /* path below the top folder */
	/* Requests of the account are refused */
	bool disabled;
	/* Fair-share weight; 100 is one share (percent) */
	int64_t weight;
	/* Ranks that the account may use; empty allows all; NULL-terminated */
	const char *const *ranks;
	/* Routes or route folders that the account may use; empty allows all; NULL-terminated */
	const char *const *routes;
	/* Queued requests per host (requests) */
	int64_t queue_max;
	/* Queued request bodies per host (bytes) */
	int64_t queue_max_bytes;
	/* Requests per second and host; 0 is no limit (1/s) */
	int64_t rate_rps;
	/* Weighted tokens per second and host; 0 is no limit (tokens/s) */
	int64_t rate_tokens_s;
	/* Regions in which requests of the account may run; empty allows all; NULL-terminated */
	const char *const *allowed_regions;
};

/* Resolved settings; strings belong to the tree. */
struct rank_cfg {
	const char *name; /* path below the top folder */
	/* Urgency; 0 is the most urgent; different for each rank */
	int64_t level;
	/* Share of the tokens that the rank keeps during a flood of another rank (percent) */
	int64_t floor_percent;
	/* Target for the time to the first token; for reports only (ms) */
	int64_t ttft_target_ms;
	/* Target for the time between tokens; for reports only (ms) */
	int64_t tbt_target_ms;
	/* Queued requests of the rank per host (requests) */
	int64_t queue_max;
	/* Share of the spill budget of a data centre that the rank may use (percent) */
	int64_t spill_percent;
	/* Age at which a queued request is refused (ms) */
	int64_t queue_max_age_ms;
};

/* Resolved settings; strings belong to the tree. */
struct route_cfg {
	const char *name; /* path below the top folder */
	/* A model endpoint or a plain service */
	enum route_kind kind;
	/* Model that serves the route */
	const char *model;
	/* Adapter on the model; empty for none */
	const char *adapter;
	/* Service that endpoints of kind service announce */
	const char *service;
	/* Rank of the requests; empty is the least urgent rank */
	const char *rank;
	/* A call to the service may be sent twice */
	bool repeatable;
	/* Time after which a request is given up (ms) */
	int64_t deadline_ms;
	/* Upper bound of the output of one request (tokens) */
	int64_t max_tokens;
	/* Retries of one request (retries) */
	int64_t retries_max;
	/* Wait for a caller to resume before its stream is cancelled (ms) */
	int64_t resume_window_ms;
	/* Regions in which requests of the route may run; empty allows all; NULL-terminated */
	const char *const *allowed_regions;
};

/* Resolved settings; strings belong to the tree. */
struct endpoint_cfg {
	const char *name; /* path below the top folder */
	/* The endpoint refuses an order with an old fencing token */
	bool checks_fence;
	/* Concurrent requests of all hosts; each host may use an equal part (streams) */
	int64_t max_streams;
	/* The endpoint gets no new work */
	bool drain;
};

/* Resolved settings; strings belong to the tree. */
struct model_cfg {
	const char *name; /* path below the top folder */
	/* Size in the weight store, for the pacing of loads (bytes) */
	int64_t weight_bytes;
	/* Upper bound of prompt and output together (tokens) */
	int64_t context_tokens;
};

/* Resolved settings; strings belong to the tree. */
struct dc_cfg {
	const char *name; /* path below the top folder */
	/* Region; spill goes to data centres of the same region first */
	const char *region;
	/* Bytes exchanged with endpoints of other data centres, over all hosts; 0 is no spill (bytes/s) */
	int64_t spill_bytes_per_s;
	/* Bytes that may be exchanged at once after a time without spill (bytes) */
	int64_t spill_burst_bytes;
	/* Wait after which a request may go to another data centre (ms) */
	int64_t spill_after_ms;
	/* Memory of an endpoint that other data centres may use at most; 0 lends none (percent) */
	int64_t spill_lend_percent;
	/* The endpoints of the data centre get nothing more */
	bool evacuated;
	/* Operator who ordered the evacuation */
	const char *evacuated_by;
	/* Unix time of that order (ms) */
	int64_t evacuated_since_ms;
};

/* Resolved settings; strings belong to the tree. */
struct system_cfg {
	const char *name; /* path below the top folder */
	/* Time that records of once-only calls are kept (s) */
	int64_t ledger_retention_s;
	/* Keys of once-only calls per account (keys) */
	int64_t ledger_max_keys_per_account;
	/* Keys of once-only calls of all accounts (keys) */
	int64_t ledger_max_keys;
	/* Recorded answer bodies of all accounts (bytes) */
	int64_t ledger_max_body_bytes;
	/* Time that a crash mark is kept (s) */
	int64_t crash_mark_ttl_s;
	/* Rate of the weight store over the whole fleet (bytes/s) */
	int64_t store_bytes_per_s;
	/* Cost of one prompt token in fair-share accounting (percent) */
	int64_t prompt_weight_percent;
	/* Cost of one output token in fair-share accounting (percent) */
	int64_t output_weight_percent;
	/* Retries in relation to requests (percent) */
	int64_t retry_budget_percent;
};

/* Resolved settings; strings belong to the tree. */
struct operator_cfg {
	const char *name; /* path below the top folder */
	/* The operator may send changes */
	bool may_write;
};

/* Resolved settings; strings belong to the tree. */
struct document_cfg {
	const char *name; /* path below the top folder */
	/* Number that its operator gave it; only a higher one replaces it */
	int64_t revision;
	/* Text of a document that is published as a whole */
	const char *body;
};

bool account_cfg_equal(const struct account_cfg *a,
			const struct account_cfg *b);
bool rank_cfg_equal(const struct rank_cfg *a,
			const struct rank_cfg *b);
bool route_cfg_equal(const struct route_cfg *a,
			const struct route_cfg *b);
bool endpoint_cfg_equal(const struct endpoint_cfg *a,
			const struct endpoint_cfg *b);
bool model_cfg_equal(const struct model_cfg *a,
			const struct model_cfg *b);
bool dc_cfg_equal(const struct dc_cfg *a,
			const struct dc_cfg *b);
bool system_cfg_equal(const struct system_cfg *a,
			const struct system_cfg *b);
bool operator_cfg_equal(const struct operator_cfg *a,
			const struct operator_cfg *b);
bool document_cfg_equal(const struct document_cfg *a,
			const struct document_cfg *b);

#endif
