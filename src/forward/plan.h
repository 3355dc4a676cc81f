#ifndef FORWARD_PLAN_H
#define FORWARD_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#include "policy/residency.h"

/*
 * A published plan: the services, routes and client accounts of a document,
 * compiled for look-up.  Immutable once plan_index_routes() was called, except
 * for the region sets, and reference counted; a request holds the plan that it
 * was admitted under.
 */

/*
 * Hosts accept requests up to these sizes also if a plan states more or
 * nothing.  Callers send at most 16 KiB of headers by default.
 */
#define PLAN_HEADER_MAX_BYTES (32u << 10)
#define PLAN_BODY_MAX_BYTES (4u << 20)

/* The regions that a route or an account allows. */
struct plan_regions {
	const char **names;	  /* interned in plan::region_names */
	size_t n;		  /* 0: no restriction */
	struct residency allowed; /* no region until plan_bind_regions() */
};

struct plan_service {
	char *name;
	char *health_path;
	double cold_per_s; /* requests to a cold endpoint of all hosts
			      together, 0: no limit */
	int64_t cold_us;   /* for which an endpoint is cold after its start, 0:
			      not stated */
	unsigned int max_conns;	   /* of all hosts together, 0: no limit */
	bool runs_model;	   /* its endpoints run a model */
	unsigned int slots;	   /* generations that an engine runs at once */
	uint64_t memory_tokens;	   /* KV cache of an engine */
	bool can_move_generations; /* its engines can copy a generation to
				      another one */
	unsigned int tokens_per_event; /* tokens in one event of a stream */
	/* Figures of copies, 0: not stated. */
	uint64_t kv_token_bytes; /* KV cache of a token */
	unsigned int link_mbps;	 /* of an engine, in each direction */
};

enum plan_route_kind {
	PLAN_IDEMPOTENT, /* may run several times */
	PLAN_ONCE,	 /* runs at most once for each attempt of a caller */
	PLAN_STREAM,	 /* a stream of events; runs at most once, unless it is
			    resumable */
};

/* One of the services that share the requests of a route. */
struct plan_route_backend {
	const struct plan_service *service;
	unsigned int weight; /* share, out of plan_route::weight_sum */
};

struct plan_route {
	char *name;
	char *host;   /* in lower case */
	char *prefix; /* of the path */
	size_t prefix_len;
	enum plan_route_kind kind;
	int64_t timeout_us; /* longest time that a caller is kept waiting */
	int64_t target_latency_us; /* target latency of the answer, or first
				      event */
	int64_t target_gap_us; /* target of the gap between events, 0: none */
	unsigned int rank;     /* 0 is the most urgent */
	unsigned int max_endpoints; /* that one request may be sent to */
	bool is_public;		    /* needs no key */
	bool resumable; /* a stream may be continued by another run, after the
			   last event that its caller has */
	struct plan_route_backend *backends;
	size_t n_backends;
	unsigned int weight_sum;
	struct plan_regions regions;
};

struct plan_account {
	char *name;
	int rank; /* of all its requests, -1: that of the route */
	struct plan_regions regions;
};

struct plan {
	int refs;
	uint64_t revision;   /* of the document */
	GPtrArray *services; /* struct plan_service */
	GPtrArray *routes;   /* struct plan_route, longest prefix first */
	GPtrArray *accounts; /* struct plan_account */
	bool needs_keys;     /* of routes that are not public; false if the
				document has no accounts at all */
	GHashTable *by_key;  /* caller's key to struct plan_account */
	GHashTable *by_host; /* host to GPtrArray of struct plan_route */
	GStringChunk *region_names;
	uint64_t regions_version; /* of the map that the region sets are bound
				     to, 0: none */
	int64_t idle_us;   /* for which a caller's connection may be idle, 0:
			      not stated */
	int64_t header_us; /* in which a request's headers arrive, 0: not
			      stated */
	size_t max_header, max_body; /* bytes of a request, 0: not stated */
};

/* Returns an empty plan with one reference. */
struct plan *plan_new(void);
/* Adds a reference and returns the plan. */
struct plan *plan_ref(struct plan *p);
/* Drops a reference; the last one frees the plan.  NULL has no effect. */
void plan_unref(struct plan *p);

/*
 * These add an entry to a plan that is being built, and return it with only the
 * given fields set.  Strings are copied; the plan owns the entry.
 */
struct plan_service *plan_add_service(struct plan *p, const char *name);
struct plan_route *plan_add_route(struct plan *p, const char *name,
				  const char *host, const char *prefix);
struct plan_account *plan_add_account(struct plan *p, const char *name);
/* Adds a service of the same plan to a route. */
void plan_add_backend(struct plan_route *r, const struct plan_service *s,
		      unsigned int weight);
/* Returns 0, or -MW_EINVAL if another account has the key. */
int plan_add_key(struct plan *p, const char *key, struct plan_account *a);
/* Adds an allowed region to a route or an account of the plan. */
void plan_add_region(struct plan *p, struct plan_regions *list,
		     const char *name);
/* Binds the region sets of all routes and accounts to the map. */
void plan_bind_regions(struct plan *p, const struct residency_map *m);
/* Builds the look-up of routes; called once, after all routes are added. */
void plan_index_routes(struct plan *p);

/* Look-ups return NULL if there is none; the result belongs to the plan. */
const struct plan_service *plan_service(const struct plan *p, const char *name);

/*
 * The route of the host whose prefix is the longest one that the path of target
 * (path and query) begins with.  The host's case is ignored, and so is its port
 * if there are only routes without one.
 */
const struct plan_route *plan_route(const struct plan *p, const char *host,
				    const char *target);
const struct plan_account *plan_account(const struct plan *p, const char *key);
const struct plan_account *plan_account_by_name(const struct plan *p,
						const char *name);

/*
 * Chooses a service of the route by weight; `spread` is uniform over 0 to
 * 2^32 - 1.  NULL if the route has none.
 */
const struct plan_service *plan_choose_backend(const struct plan_route *r,
					       uint32_t spread);

#endif
