#ifndef FORWARD_PLAN_H
#define FORWARD_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/*
 * What a published document says about serving: services, routes and client
 * accounts, compiled for look-up.  Immutable and counted by references; a
 * request keeps the plan that it was admitted under.
 */

struct plan_service {
	char *name;
	char *health_path;
	unsigned int max_conns; /* of all hosts together, 0: no bound */
	bool engine;		/* model endpoints */
	unsigned int slots;	/* of one engine */
	uint64_t memory_tokens;
	bool moves;
	unsigned int event_tokens; /* tokens in one event of a stream */
};

enum plan_kind {
	PLAN_IDEMPOTENT,
	PLAN_ONCE,   /* runs at most once for each attempt of a caller */
	PLAN_STREAM, /* a stream of events; runs at most once */
};

struct plan_backend {
	const struct plan_service *service;
	unsigned int weight;
};

struct plan_route {
	char *name;
	char *host;
	char *prefix;
	size_t prefix_len;
	enum plan_kind kind;
	int64_t timeout_us; /* longest time that a caller is kept waiting */
	int64_t aim_us;	    /* time to the answer, or to the first event */
	int64_t pause_us;   /* longest pause between events, 0: none */
	unsigned int rank;  /* 0 is the most urgent */
	unsigned int max_endpoints; /* that one request may be sent to */
	bool open;		    /* needs no key */
	struct plan_backend *backends;
	size_t n_backends;
	unsigned int weight_sum;
};

struct plan_account {
	char *name;
	int rank; /* that all its requests have, -1: that of the route */
};

struct plan {
	int refs;
	uint64_t revision;
	GPtrArray *services; /* struct plan_service */
	GPtrArray *routes;   /* struct plan_route, longest prefix first */
	GPtrArray *accounts; /* struct plan_account */
	GHashTable *by_key;  /* caller's key to struct plan_account */
	GHashTable *by_host; /* host to GPtrArray of struct plan_route */
	int64_t idle_us;     /* that a caller's connection may be idle */
};

struct plan *plan_new(void);
struct plan *plan_ref(struct plan *p);
void plan_unref(struct plan *p);

/* Adds an empty one and returns it; plan_finish() makes the look-ups. */
struct plan_service *plan_add_service(struct plan *p, const char *name);
struct plan_route *plan_add_route(struct plan *p, const char *name,
				  const char *host, const char *prefix);
struct plan_account *plan_add_account(struct plan *p, const char *name);
void plan_add_backend(struct plan_route *r, const struct plan_service *s,
		      unsigned int weight);
/* Returns 0, or -MW_EINVAL if another account has the key. */
int plan_add_key(struct plan *p, const char *key, struct plan_account *a);
void plan_finish(struct plan *p);

const struct plan_service *plan_service(const struct plan *p, const char *name);

/* The route with the longest prefix of the target's path, or NULL. */
const struct plan_route *plan_route(const struct plan *p, const char *host,
				    const char *target);
const struct plan_account *plan_account(const struct plan *p, const char *key);

/* The service for a number that is spread evenly over 0 to 2^32 - 1. */
const struct plan_service *plan_backend(const struct plan_route *r,
					uint32_t spread);

#endif
