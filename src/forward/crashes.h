#ifndef FORWARD_CRASHES_H
#define FORWARD_CRASHES_H

#include "forward/request.h"
#include "policy/blame.h"

/*
 * Requests that crash endpoints (policy/blame.h decides which) on a host that
 * forwards.
 *
 * When an attempt ends without an answer, the host connects to the endpoint
 * once more.  If the connection is refused, the endpoint has crashed, as it has
 * if another one has announced its address, and the request's traits are its
 * suspects.  The host sends them to all connected
 * control processes, which forward them to all hosts.  A host that has served
 * one of these traits lately vouches for it in the same way (policy/vouch.h).
 * The host also proposes the suspects to the
 * replicated log until they are committed.  A host that connects to a control
 * process gets the marks of the log, so that hosts that were frozen, cut off or
 * not started yet also learn them.
 */

/* Events after which an endpoint has survived the beginning of an answer. */
#define CRASHES_SERVED_EVENTS 2

void crashes_start(struct fwd *f);
void crashes_stop(struct fwd *f);

/* The attempt was broken off; call it while the endpoint is still attached. */
void crashes_attempt_broken(struct request *r, int64_t now);
/* The endpoint has answered, or is well beyond the first event of a stream. */
void crashes_request_served(struct request *r, int64_t now);

/* Why a request is suspected. */
struct crashes_finding {
	unsigned int crashes;
	char trait[BLAME_TRAIT_MAX];
};

/* What to do with a new request, as blame_judge(); *f is set unless it is to be
 * sent. */
enum blame_verdict crashes_judge(struct request *r, struct crashes_finding *f);
/* A request that was to be tried was sent. */
void crashes_trial_sent(struct fwd *f, const struct crashes_finding *finding);

/* Suspects of a crash that another host has seen, or traits that it vouches
 * for. */
void crashes_handle_mark(struct fwd *f, const Mw__CrashMark *mark, int64_t now);
/* Marks of the log; an older version than the last one is ignored. */
void crashes_handle_log(struct fwd *f, const Mw__CrashMarks *msg, int64_t now);

/* Proposes and sends what is due. */
void crashes_tick(struct fwd *f, int64_t now);

#endif
