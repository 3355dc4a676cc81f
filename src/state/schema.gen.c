/* Generated from settings.schema by `make regen`; do not edit. */
#include "state/schema.h"

#include <stddef.h>

static const char *const route_kind_values[] = { "model", "service", NULL };

static const struct schema_key account_keys[] = {
	{
		.name = "template",
		.type = SCHEMA_TEMPLATE,
		.min = INT64_C(0), .max = INT64_C(0),
		.def_string = "",
		.unit = "",
		.description = "Path of an account node whose settings apply where this node has none",
	},
	{
		.name = "key_hash",
		.type = SCHEMA_HASHES,
		.min = INT64_C(0), .max = INT64_C(16),
		.def_string = "",
		.unit = "",
		.description = "Hashes of the account's caller keys",
	},
	{
		.name = "disabled",
		.type = SCHEMA_BOOL,
		.min = INT64_C(0), .max = INT64_C(0),
		.def_int = 0, .def_string = "",
		.offset = offsetof(struct account_cfg, disabled),
		.unit = "",
		.description = "Requests of the account are refused",
	},
	{
		.name = "weight",
		.type = SCHEMA_INT,
		.min = INT64_C(1), .max = INT64_C(1000000),
		.def_int = INT64_C(100), .def_string = "",
		.offset = offsetof(struct account_cfg, weight),
		.unit = "percent",
		.description = "Fair-share weight; 100 is one share",
	},
	{
		.name = "ranks",
		.type = SCHEMA_REFS,
		.min = INT64_C(0), .max = INT64_C(8),
		.def_string = "",
		.ref = SCHEMA_RANK,
		.offset = offsetof(struct account_cfg, ranks),
		.unit = "",
		.description = "Ranks that the account may use; empty allows all",
	},
	{
		.name = "routes",
		.type = SCHEMA_REFS,
		.min = INT64_C(0), .max = INT64_C(256),
		.def_string = "",
		.ref = SCHEMA_ROUTE,
		.offset = offsetof(struct account_cfg, routes),
		.unit = "",
		.description = "Routes or route folders that the account may use; empty allows all",
	},
	{
		.name = "queue_max",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(1000000),
		.def_int = INT64_C(200), .def_string = "",
		.offset = offsetof(struct account_cfg, queue_max),
		.unit = "requests",
		.description = "Queued requests per host",
	},
	{
		.name = "queue_max_bytes",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(1073741824),
		.def_int = INT64_C(8388608), .def_string = "",
		.offset = offsetof(struct account_cfg, queue_max_bytes),
		.unit = "bytes",
		.description = "Queued request bodies per host",
	},
	{
		.name = "rate_rps",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(1000000),
		.def_int = INT64_C(0), .def_string = "",
		.offset = offsetof(struct account_cfg, rate_rps),
		.unit = "1/s",
		.description = "Requests per second and host; 0 is no limit",
	},
	{
		.name = "rate_tokens_s",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(100000000),
		.def_int = INT64_C(0), .def_string = "",
		.offset = offsetof(struct account_cfg, rate_tokens_s),
		.unit = "tokens/s",
		.description = "Weighted tokens per second and host; 0 is no limit",
	},
	{
		.name = "allowed_regions",
		.type = SCHEMA_NAMES,
		.min = INT64_C(0), .max = INT64_C(64),
		.def_string = "",
		.offset = offsetof(struct account_cfg, allowed_regions),
		.unit = "",
		.description = "Regions in which requests of the account may run; empty allows all",
	},
};

static const struct schema_key rank_keys[] = {
	{
		.name = "template",
		.type = SCHEMA_TEMPLATE,
		.min = INT64_C(0), .max = INT64_C(0),
		.def_string = "",
		.unit = "",
		.description = "Path of a rank node whose settings apply where this node has none",
	},
	{
		.name = "level",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(7),
		.def_int = INT64_C(1), .def_string = "",
		.offset = offsetof(struct rank_cfg, level),
		.unit = "",
		.description = "Urgency; 0 is the most urgent; different for each rank",
	},
	{
		.name = "floor_percent",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(90),
		.def_int = INT64_C(0), .def_string = "",
		.offset = offsetof(struct rank_cfg, floor_percent),
		.unit = "percent",
		.description = "Share of the tokens that the rank keeps during a flood of another rank",
	},
	{
		.name = "ttft_target_ms",
		.type = SCHEMA_INT,
		.min = INT64_C(1), .max = INT64_C(3600000),
		.def_int = INT64_C(1000), .def_string = "",
		.offset = offsetof(struct rank_cfg, ttft_target_ms),
		.unit = "ms",
		.description = "Target for the time to the first token; for reports only",
	},
	{
		.name = "tbt_target_ms",
		.type = SCHEMA_INT,
		.min = INT64_C(1), .max = INT64_C(600000),
		.def_int = INT64_C(79), .def_string = "",
		.offset = offsetof(struct rank_cfg, tbt_target_ms),
		.unit = "ms",
		.description = "Target for the time between tokens; for reports only",
	},
	{
		.name = "queue_max",
		.type = SCHEMA_INT,
		.min = INT64_C(1), .max = INT64_C(1000000),
		.def_int = INT64_C(2000), .def_string = "",
		.offset = offsetof(struct rank_cfg, queue_max),
		.unit = "requests",
		.description = "Queued requests of the rank per host",
	},
	{
		.name = "spill_percent",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(100),
		.def_int = INT64_C(100), .def_string = "",
		.offset = offsetof(struct rank_cfg, spill_percent),
		.unit = "percent",
		.description = "Share of the spill budget of a data centre that the rank may use",
	},
	{
		.name = "queue_max_age_ms",
		.type = SCHEMA_INT,
		.min = INT64_C(1), .max = INT64_C(86400000),
		.def_int = INT64_C(30000), .def_string = "",
		.offset = offsetof(struct rank_cfg, queue_max_age_ms),
		.unit = "ms",
		.description = "Age at which a queued request is refused",
	},
};

static const struct schema_key route_keys[] = {
	{
		.name = "template",
		.type = SCHEMA_TEMPLATE,
		.min = INT64_C(0), .max = INT64_C(0),
		.def_string = "",
		.unit = "",
		.description = "Path of a route node whose settings apply where this node has none",
	},
	{
		.name = "kind",
		.type = SCHEMA_ENUM,
		.min = INT64_C(0), .max = INT64_C(0),
		.def_int = ROUTE_KIND_MODEL, .def_string = "model",
		.values = route_kind_values,
		.offset = offsetof(struct route_cfg, kind),
		.unit = "",
		.description = "A model endpoint or a plain service",
	},
	{
		.name = "model",
		.type = SCHEMA_REF,
		.min = INT64_C(0), .max = INT64_C(0),
		.def_string = "",
		.ref = SCHEMA_MODEL,
		.offset = offsetof(struct route_cfg, model),
		.unit = "",
		.description = "Model that serves the route",
	},
	{
		.name = "adapter",
		.type = SCHEMA_STRING,
		.min = INT64_C(0), .max = INT64_C(128),
		.def_string = "",
		.offset = offsetof(struct route_cfg, adapter),
		.unit = "",
		.description = "Adapter on the model; empty for none",
	},
	{
		.name = "service",
		.type = SCHEMA_STRING,
		.min = INT64_C(0), .max = INT64_C(128),
		.def_string = "",
		.offset = offsetof(struct route_cfg, service),
		.unit = "",
		.description = "Service that endpoints of kind service announce",
	},
	{
		.name = "rank",
		.type = SCHEMA_REF,
		.min = INT64_C(0), .max = INT64_C(0),
		.def_string = "",
		.ref = SCHEMA_RANK,
		.offset = offsetof(struct route_cfg, rank),
		.unit = "",
		.description = "Rank of the requests; empty is the least urgent rank",
	},
	{
		.name = "repeatable",
		.type = SCHEMA_BOOL,
		.min = INT64_C(0), .max = INT64_C(0),
		.def_int = 0, .def_string = "",
		.offset = offsetof(struct route_cfg, repeatable),
		.unit = "",
		.description = "A call to the service may be sent twice",
	},
	{
		.name = "deadline_ms",
		.type = SCHEMA_INT,
		.min = INT64_C(1), .max = INT64_C(86400000),
		.def_int = INT64_C(600000), .def_string = "",
		.offset = offsetof(struct route_cfg, deadline_ms),
		.unit = "ms",
		.description = "Time after which a request is given up",
	},
	{
		.name = "max_tokens",
		.type = SCHEMA_INT,
		.min = INT64_C(1), .max = INT64_C(1000000),
		.def_int = INT64_C(32768), .def_string = "",
		.offset = offsetof(struct route_cfg, max_tokens),
		.unit = "tokens",
		.description = "Upper bound of the output of one request",
	},
	{
		.name = "retries_max",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(10),
		.def_int = INT64_C(2), .def_string = "",
		.offset = offsetof(struct route_cfg, retries_max),
		.unit = "retries",
		.description = "Retries of one request",
	},
	{
		.name = "resume_window_ms",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(30000),
		.def_int = INT64_C(2000), .def_string = "",
		.offset = offsetof(struct route_cfg, resume_window_ms),
		.unit = "ms",
		.description = "Wait for a caller to resume before its stream is cancelled",
	},
	{
		.name = "allowed_regions",
		.type = SCHEMA_NAMES,
		.min = INT64_C(0), .max = INT64_C(64),
		.def_string = "",
		.offset = offsetof(struct route_cfg, allowed_regions),
		.unit = "",
		.description = "Regions in which requests of the route may run; empty allows all",
	},
};

static const struct schema_key endpoint_keys[] = {
	{
		.name = "template",
		.type = SCHEMA_TEMPLATE,
		.min = INT64_C(0), .max = INT64_C(0),
		.def_string = "",
		.unit = "",
		.description = "Path of an endpoint node whose settings apply where this node has none",
	},
	{
		.name = "checks_fence",
		.type = SCHEMA_BOOL,
		.min = INT64_C(0), .max = INT64_C(0),
		.def_int = 0, .def_string = "",
		.offset = offsetof(struct endpoint_cfg, checks_fence),
		.unit = "",
		.description = "The endpoint refuses an order with an old fencing token",
	},
	{
		.name = "max_streams",
		.type = SCHEMA_INT,
		.min = INT64_C(1), .max = INT64_C(100000),
		.def_int = INT64_C(256), .def_string = "",
		.offset = offsetof(struct endpoint_cfg, max_streams),
		.unit = "streams",
		.description = "Concurrent requests of all hosts; each host may use an equal part",
	},
	{
		.name = "drain",
		.type = SCHEMA_BOOL,
		.min = INT64_C(0), .max = INT64_C(0),
		.def_int = 0, .def_string = "",
		.offset = offsetof(struct endpoint_cfg, drain),
		.unit = "",
		.description = "The endpoint gets no new work",
	},
};

static const struct schema_key model_keys[] = {
	{
		.name = "template",
		.type = SCHEMA_TEMPLATE,
		.min = INT64_C(0), .max = INT64_C(0),
		.def_string = "",
		.unit = "",
		.description = "Path of a model node whose settings apply where this node has none",
	},
	{
		.name = "weight_bytes",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(10995116277760),
		.def_int = INT64_C(0), .def_string = "",
		.offset = offsetof(struct model_cfg, weight_bytes),
		.unit = "bytes",
		.description = "Size in the weight store, for the pacing of loads",
	},
	{
		.name = "context_tokens",
		.type = SCHEMA_INT,
		.min = INT64_C(1), .max = INT64_C(100000000),
		.def_int = INT64_C(131072), .def_string = "",
		.offset = offsetof(struct model_cfg, context_tokens),
		.unit = "tokens",
		.description = "Upper bound of prompt and output together",
	},
};

static const struct schema_key dc_keys[] = {
	{
		.name = "template",
		.type = SCHEMA_TEMPLATE,
		.min = INT64_C(0), .max = INT64_C(0),
		.def_string = "",
		.unit = "",
		.description = "Path of a data centre node whose settings apply where this node has none",
	},
	{
		.name = "region",
		.type = SCHEMA_STRING,
		.min = INT64_C(0), .max = INT64_C(64),
		.def_string = "",
		.offset = offsetof(struct dc_cfg, region),
		.unit = "",
		.description = "Region; spill goes to data centres of the same region first",
	},
	{
		.name = "spill_bytes_per_s",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(1000000000000),
		.def_int = INT64_C(65536), .def_string = "",
		.offset = offsetof(struct dc_cfg, spill_bytes_per_s),
		.unit = "bytes/s",
		.description = "Bytes exchanged with endpoints of other data centres, over all hosts; 0 is no spill",
	},
	{
		.name = "spill_burst_bytes",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(1000000000000),
		.def_int = INT64_C(1048576), .def_string = "",
		.offset = offsetof(struct dc_cfg, spill_burst_bytes),
		.unit = "bytes",
		.description = "Bytes that may be exchanged at once after a time without spill",
	},
	{
		.name = "spill_after_ms",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(3600000),
		.def_int = INT64_C(500), .def_string = "",
		.offset = offsetof(struct dc_cfg, spill_after_ms),
		.unit = "ms",
		.description = "Wait after which a request may go to another data centre",
	},
	{
		.name = "spill_lend_percent",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(90),
		.def_int = INT64_C(30), .def_string = "",
		.offset = offsetof(struct dc_cfg, spill_lend_percent),
		.unit = "percent",
		.description = "Memory of an endpoint that other data centres may use at most; 0 lends none",
	},
	{
		.name = "evacuated",
		.type = SCHEMA_BOOL,
		.min = INT64_C(0), .max = INT64_C(0),
		.def_int = 0, .def_string = "",
		.offset = offsetof(struct dc_cfg, evacuated),
		.unit = "",
		.description = "The endpoints of the data centre get nothing more",
	},
	{
		.name = "evacuated_by",
		.type = SCHEMA_STRING,
		.min = INT64_C(0), .max = INT64_C(128),
		.def_string = "",
		.offset = offsetof(struct dc_cfg, evacuated_by),
		.unit = "",
		.description = "Operator who ordered the evacuation",
	},
	{
		.name = "evacuated_since_ms",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(9007199254740991),
		.def_int = INT64_C(0), .def_string = "",
		.offset = offsetof(struct dc_cfg, evacuated_since_ms),
		.unit = "ms",
		.description = "Unix time of that order",
	},
};

static const struct schema_key system_keys[] = {
	{
		.name = "ledger_retention_s",
		.type = SCHEMA_INT,
		.min = INT64_C(60), .max = INT64_C(2592000),
		.def_int = INT64_C(86400), .def_string = "",
		.offset = offsetof(struct system_cfg, ledger_retention_s),
		.unit = "s",
		.description = "Time that records of once-only calls are kept",
	},
	{
		.name = "ledger_max_keys_per_account",
		.type = SCHEMA_INT,
		.min = INT64_C(1), .max = INT64_C(1000000),
		.def_int = INT64_C(10000), .def_string = "",
		.offset = offsetof(struct system_cfg, ledger_max_keys_per_account),
		.unit = "keys",
		.description = "Keys of once-only calls per account",
	},
	{
		.name = "ledger_max_keys",
		.type = SCHEMA_INT,
		.min = INT64_C(1), .max = INT64_C(10000000),
		.def_int = INT64_C(100000), .def_string = "",
		.offset = offsetof(struct system_cfg, ledger_max_keys),
		.unit = "keys",
		.description = "Keys of once-only calls of all accounts",
	},
	{
		.name = "ledger_max_body_bytes",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(1073741824),
		.def_int = INT64_C(16777216), .def_string = "",
		.offset = offsetof(struct system_cfg, ledger_max_body_bytes),
		.unit = "bytes",
		.description = "Recorded answer bodies of all accounts",
	},
	{
		.name = "crash_mark_ttl_s",
		.type = SCHEMA_INT,
		.min = INT64_C(60), .max = INT64_C(2592000),
		.def_int = INT64_C(86400), .def_string = "",
		.offset = offsetof(struct system_cfg, crash_mark_ttl_s),
		.unit = "s",
		.description = "Time that a crash mark is kept",
	},
	{
		.name = "store.bytes_per_s",
		.type = SCHEMA_INT,
		.min = INT64_C(1), .max = INT64_C(1000000000000),
		.def_int = INT64_C(1000000000), .def_string = "",
		.offset = offsetof(struct system_cfg, store_bytes_per_s),
		.unit = "bytes/s",
		.description = "Rate of the weight store over the whole fleet",
	},
	{
		.name = "prompt_weight_percent",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(10000),
		.def_int = INT64_C(25), .def_string = "",
		.offset = offsetof(struct system_cfg, prompt_weight_percent),
		.unit = "percent",
		.description = "Cost of one prompt token in fair-share accounting",
	},
	{
		.name = "output_weight_percent",
		.type = SCHEMA_INT,
		.min = INT64_C(1), .max = INT64_C(10000),
		.def_int = INT64_C(100), .def_string = "",
		.offset = offsetof(struct system_cfg, output_weight_percent),
		.unit = "percent",
		.description = "Cost of one output token in fair-share accounting",
	},
	{
		.name = "retry_budget_percent",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(100),
		.def_int = INT64_C(10), .def_string = "",
		.offset = offsetof(struct system_cfg, retry_budget_percent),
		.unit = "percent",
		.description = "Retries in relation to requests",
	},
};

static const struct schema_key operator_keys[] = {
	{
		.name = "key_hash",
		.type = SCHEMA_HASHES,
		.min = INT64_C(0), .max = INT64_C(16),
		.def_string = "",
		.unit = "",
		.description = "Hashes of the operator's keys",
	},
	{
		.name = "may_write",
		.type = SCHEMA_BOOL,
		.min = INT64_C(0), .max = INT64_C(0),
		.def_int = 0, .def_string = "",
		.offset = offsetof(struct operator_cfg, may_write),
		.unit = "",
		.description = "The operator may send changes",
	},
};

static const struct schema_key document_keys[] = {
	{
		.name = "revision",
		.type = SCHEMA_INT,
		.min = INT64_C(0), .max = INT64_C(9007199254740991),
		.def_int = INT64_C(0), .def_string = "",
		.offset = offsetof(struct document_cfg, revision),
		.unit = "",
		.description = "Number that its operator gave it; only a higher one replaces it",
	},
	{
		.name = "body",
		.type = SCHEMA_STRING,
		.min = INT64_C(0), .max = INT64_C(2097152),
		.def_string = "",
		.offset = offsetof(struct document_cfg, body),
		.unit = "",
		.description = "Text of a document that is published as a whole",
	},
};

const struct schema_kind_info schema_kinds[SCHEMA_KIND_COUNT] = {
	[SCHEMA_ACCOUNT] = {
		.name = "account", .folder = "accounts",
		.max_depth = 7,
		.keys = account_keys, .nkeys = 11,
		.cfg_size = sizeof(struct account_cfg),
	},
	[SCHEMA_RANK] = {
		.name = "rank", .folder = "ranks",
		.max_depth = 1,
		.keys = rank_keys, .nkeys = 8,
		.cfg_size = sizeof(struct rank_cfg),
	},
	[SCHEMA_ROUTE] = {
		.name = "route", .folder = "routes",
		.max_depth = 7,
		.keys = route_keys, .nkeys = 12,
		.cfg_size = sizeof(struct route_cfg),
	},
	[SCHEMA_ENDPOINT] = {
		.name = "endpoint", .folder = "endpoints",
		.max_depth = 7,
		.keys = endpoint_keys, .nkeys = 4,
		.cfg_size = sizeof(struct endpoint_cfg),
	},
	[SCHEMA_MODEL] = {
		.name = "model", .folder = "models",
		.max_depth = 1,
		.keys = model_keys, .nkeys = 3,
		.cfg_size = sizeof(struct model_cfg),
	},
	[SCHEMA_DC] = {
		.name = "dc", .folder = "dcs",
		.max_depth = 1,
		.keys = dc_keys, .nkeys = 9,
		.cfg_size = sizeof(struct dc_cfg),
	},
	[SCHEMA_SYSTEM] = {
		.name = "system", .folder = "system",
		.max_depth = 0,
		.keys = system_keys, .nkeys = 9,
		.cfg_size = sizeof(struct system_cfg),
	},
	[SCHEMA_OPERATOR] = {
		.name = "operator", .folder = "operators",
		.max_depth = 1,
		.keys = operator_keys, .nkeys = 2,
		.cfg_size = sizeof(struct operator_cfg),
	},
	[SCHEMA_DOCUMENT] = {
		.name = "document", .folder = "documents",
		.max_depth = 1,
		.keys = document_keys, .nkeys = 2,
		.cfg_size = sizeof(struct document_cfg),
	},
};

bool account_cfg_equal(const struct account_cfg *a,
			const struct account_cfg *b)
{
	return schema_cfg_equal(SCHEMA_ACCOUNT, a, b);
}

bool rank_cfg_equal(const struct rank_cfg *a,
			const struct rank_cfg *b)
{
	return schema_cfg_equal(SCHEMA_RANK, a, b);
}

bool route_cfg_equal(const struct route_cfg *a,
			const struct route_cfg *b)
{
	return schema_cfg_equal(SCHEMA_ROUTE, a, b);
}

bool endpoint_cfg_equal(const struct endpoint_cfg *a,
			const struct endpoint_cfg *b)
{
	return schema_cfg_equal(SCHEMA_ENDPOINT, a, b);
}

bool model_cfg_equal(const struct model_cfg *a,
			const struct model_cfg *b)
{
	return schema_cfg_equal(SCHEMA_MODEL, a, b);
}

bool dc_cfg_equal(const struct dc_cfg *a,
			const struct dc_cfg *b)
{
	return schema_cfg_equal(SCHEMA_DC, a, b);
}

bool system_cfg_equal(const struct system_cfg *a,
			const struct system_cfg *b)
{
	return schema_cfg_equal(SCHEMA_SYSTEM, a, b);
}

bool operator_cfg_equal(const struct operator_cfg *a,
			const struct operator_cfg *b)
{
	return schema_cfg_equal(SCHEMA_OPERATOR, a, b);
}

bool document_cfg_equal(const struct document_cfg *a,
			const struct document_cfg *b)
{
	return schema_cfg_equal(SCHEMA_DOCUMENT, a, b);
}
