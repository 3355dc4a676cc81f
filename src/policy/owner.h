#ifndef POLICY_OWNER_H
#define POLICY_OWNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Who may use an address that several endpoints announce.  Pure functions, no
 * I/O.
 *
 * An announcement is no proof: any process may write one.  One endpoint holds
 * the address, and the others claim it.  A claim takes nothing from the holder:
 * no request is sent to a claimant, and the holder gets requests and keeps its
 * running ones.  The answer of the server at the address decides:
 *
 *   it is the holder      all claims are void
 *   it is another server  the holder is gone; its work is ended, and the latest
 *                         start among the claimants holds the address
 *   no answer             nothing is known; the server is asked again
 *
 * Without a question, the address passes on when its holder has left or is no
 * longer announced.  Work that still runs there is ended only after an answer
 * of another server.
 *
 * A claim may have an earlier start than the holder: the holder's announcement
 * may be the false one.
 */

/* An endpoint that announces the address.  The caller sets the first three, and
 * owner_settle() the others. */
struct owner_claim {
	uint64_t incarnation;
	bool live; /* announced, has not left, and no answer spoke against it */
	bool replaced;	/* another server answered at the address */
	bool holds;	/* the address (in: so far); at most one does */
	bool claims;	/* an address that another one holds */
	bool contested; /* the server at the address is to be asked */
};

/* Decides who holds an address, for all that announce it. */
void owner_settle(struct owner_claim *const *claims, size_t n);

enum owner_answer {
	OWNER_NO_ANSWER, /* or one that does not tell */
	OWNER_IS_HOLDER,
	OWNER_IS_OTHER,
};

/*
 * What an answer at the address says, to a question that expected the endpoint
 * `expected`.  named: the id that the answer gives, or NULL; refused_id: it
 * says that the server is not the expected one.
 */
enum owner_answer owner_judge(const char *expected, const char *named,
			      bool refused_id);

/*
 * What is doubted is obeyed unless the server at the address in use, asked
 * before, answers that it is this endpoint and sound (200), which one that
 * leaves or is gone does not.
 *
 * An entry under an endpoint's own id is doubted if it takes the endpoint to
 * another address: any process may write one.  One with a later start at the
 * same address is not: the answer does not tell one incarnation from the next.
 *
 * A leave names no incarnation, so one that arrives late may be that of a
 * former one.  It is doubted if the present one has followed another one
 * lately.  Other leaves, and entries that say so, are obeyed at once: a server
 * may leave while its health checks still succeed.
 */
struct owner_entry {
	uint64_t incarnation;
	const char *addr;
};

/* A leave, as an announcement, may arrive seconds late. */
#define OWNER_LATE_LEAVE_US INT64_C(10000000)

/* in_use: an entry that serves. */
bool owner_doubts(const struct owner_entry *in_use,
		  const struct owner_entry *e);
/* follows: an earlier incarnation was known; age_us: since the first
 * announcement of the present one. */
bool owner_doubts_leave(bool follows, int64_t age_us);
bool owner_voids(enum owner_answer answer, int status);

/*
 * Times of the next question.  Questions about one address are at least
 * OWNER_ASK_MIN_US apart on one host, whatever is announced.
 */

/* Ten times the longest round trip, 24 ms. */
#define OWNER_ASK_MIN_US INT64_C(250000)
/* For an address that does not answer, or whose holder has just answered; about
 * the interval of announcements. */
#define OWNER_ASK_MAX_US INT64_C(1000000)
/* The first questions of hosts are spread over this time: the outcome of the
 * first one reaches most other hosts within it. */
#define OWNER_ASK_SPREAD_US INT64_C(60000)

struct owner_pace {
	int64_t due_us;		 /* no question before */
	unsigned int unanswered; /* in a row */
};

/* A claim has arrived; random is in [0, 1). */
void owner_pace_claim(struct owner_pace *p, double random, int64_t now);
/* A question has ended. */
void owner_pace_asked(struct owner_pace *p, enum owner_answer answer,
		      int64_t now);

#endif
