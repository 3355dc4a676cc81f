#ifndef STANDIN_ANNOUNCE_H
#define STANDIN_ANNOUNCE_H

#include <stdint.h>
#include <jansson.h>

#include "net/fetch.h"

/*
 * Announcements of a stand-in to the entry hosts (docs/endpoint-protocol.md).
 * A list of entry addresses stands for the load balancer; a failed call goes
 * to the next address.
 */
struct ann;

struct ann_config {
	const char *id;
	const char *dc;
	const char *entries; /* "ip:port,ip:port"; NULL: announces nothing */
	int random;	     /* choose at random instead of in turn */
	uint32_t seed;
	const char *key;
	int interval_ms;
	int64_t incarnation;
};

/* Returns the members that only the stand-in knows; called each time. */
typedef json_t *ann_describe(void *ctx);
typedef void ann_left(void *ctx);

struct ann *ann_new(struct ev_loop *loop, struct fetcher *fr,
		    const struct ann_config *cfg, ann_describe *describe,
		    void *ctx);

void ann_free(struct ann *a);

/* The whole announcement as it is now. */
json_t *ann_body(const struct ann *a);

/* Announces at once, beside the regular times. */
void ann_now(struct ann *a);

/* Sends the leave until it is answered with 200, then calls left. */
void ann_leave(struct ann *a, int deadline_ms, ann_left *left);

/* Sends cache events once; a lost call is a gap.  Takes over the reference. */
void ann_cache_events(struct ann *a, json_t *events);

/* While silent is 1 nothing is sent. */
void ann_silence(struct ann *a, int silent);

#endif
