#include "policy/owner.h"

#include <string.h>
#include <glib.h>

static size_t choose(struct owner_claim *const *claims, size_t n)
{
	size_t latest = n;

	for (size_t i = 0; i < n; i++) {
		if (!claims[i]->live)
			continue;
		if (claims[i]->holds)
			return i;
		if (latest == n ||
		    claims[i]->incarnation > claims[latest]->incarnation)
			latest = i;
	}
	return latest;
}

void owner_settle(struct owner_claim *const *claims, size_t n)
{
	size_t holder = choose(claims, n);
	size_t n_live = 0;

	for (size_t i = 0; i < n; i++)
		n_live += claims[i]->live;
	for (size_t i = 0; i < n; i++) {
		struct owner_claim *c = claims[i];

		c->holds = i == holder;
		c->claims = c->live && i != holder;
		c->contested = !c->replaced && !c->claims && n_live > c->live;
	}
}

enum owner_answer owner_judge(const char *expected, const char *named,
			      bool refused_id)
{
	if (named && *named)
		return strcmp(expected, named) != 0 ? OWNER_IS_OTHER
						    : OWNER_IS_HOLDER;
	return refused_id ? OWNER_IS_OTHER : OWNER_NO_ANSWER;
}

bool owner_doubts(const struct owner_entry *in_use, const struct owner_entry *e)
{
	/* One of a former incarnation changes nothing. */
	return e->incarnation >= in_use->incarnation &&
	       strcmp(e->addr, in_use->addr) != 0;
}

bool owner_doubts_leave(bool follows, int64_t age_us)
{
	return follows && age_us < OWNER_LATE_LEAVE_US;
}

bool owner_voids(enum owner_answer answer, int status)
{
	return answer == OWNER_IS_HOLDER && status == 200;
}

void owner_pace_claim(struct owner_pace *p, double random, int64_t now)
{
	int64_t spread_us = (int64_t)(random * OWNER_ASK_SPREAD_US);

	p->due_us = MAX(p->due_us, now + spread_us);
}

void owner_pace_asked(struct owner_pace *p, enum owner_answer answer,
		      int64_t now)
{
	int64_t wait_us = OWNER_ASK_MIN_US;

	if (answer == OWNER_IS_HOLDER)
		wait_us = OWNER_ASK_MAX_US;
	else if (answer == OWNER_NO_ANSWER)
		wait_us <<= MIN(p->unanswered, 2u);
	p->unanswered = answer == OWNER_NO_ANSWER ? p->unanswered + 1 : 0;
	p->due_us = now + MIN(wait_us, OWNER_ASK_MAX_US);
}
