#include "control/roster.h"

#include <string.h>

static struct roster_step no_step(void)
{
	return (struct roster_step){.kind = ROSTER_NONE};
}

static struct roster_step replace_step(const struct roster_voter *v,
				       const struct roster_candidate *c,
				       const char *reason)
{
	return (struct roster_step){.kind = ROSTER_REPLACE,
				    .id = c->id,
				    .old_id = v->id,
				    .addr = c->addr,
				    .reason = reason};
}

/*
 * Replaces a disconnected voter at whose address a process with another id is
 * connected: the voter lost its disk and will not return.
 */
static struct roster_step
replace_wiped_voter(const struct roster_voter *voters, size_t nv,
		    const struct roster_candidate *cands, size_t nc)
{
	for (size_t i = 0; i < nv; i++)
		for (size_t k = 0; k < nc; k++)
			if (!voters[i].connected &&
			    !strcmp(voters[i].addr, cands[k].addr))
				return replace_step(&voters[i], &cands[k],
						    "the voter lost its disk");
	return no_step();
}

/*
 * Chooses a candidate: one in the data centre `dc` ("": none preferred), else
 * one in a data centre without a voter, else the first.
 */
static const struct roster_candidate *
choose_candidate(const char *dc, const struct roster_voter *voters, size_t nv,
		 const struct roster_candidate *cands, size_t nc)
{
	for (size_t k = 0; k < nc; k++)
		if (*dc && !strcmp(cands[k].dc, dc))
			return &cands[k];
	for (size_t k = 0; k < nc; k++) {
		size_t i = 0;

		while (i < nv && strcmp(voters[i].dc, cands[k].dc) != 0)
			i++;
		if (i == nv)
			return &cands[k];
	}
	return &cands[0];
}

struct roster_step roster_next_step(const struct roster_voter *voters,
				    size_t nv,
				    const struct roster_candidate *cands,
				    size_t nc, uint32_t tolerate, int64_t now)
{
	struct roster_step step = replace_wiped_voter(voters, nv, cands, nc);

	if (step.kind != ROSTER_NONE || !nc)
		return step;
	for (size_t i = 0; i < nv; i++)
		if (now - voters[i].silent_since_us >= ROSTER_REPLACE_AFTER_US)
			return replace_step(&voters[i],
					    choose_candidate(voters[i].dc,
							     voters, nv, cands,
							     nc),
					    "the voter does not answer");
	/*
	 * Adds a voter only if their number becomes odd or a second candidate
	 * can follow: an even number tolerates no more failures than the odd
	 * number below it.
	 */
	size_t voters_wanted = 2 * tolerate + 1;
	if (nv < voters_wanted && (nv % 2 == 0 || nc >= 2)) {
		const struct roster_candidate *c =
			choose_candidate("", voters, nv, cands, nc);
		return (struct roster_step){
			.kind = ROSTER_ADD,
			.id = c->id,
			.addr = c->addr,
			.reason = "the group has too few voters"};
	}
	return step;
}
