#include "control/roster.h"

#include <string.h>

static struct roster_step none(void)
{
	return (struct roster_step){.kind = ROSTER_NONE};
}

static struct roster_step replace(const struct roster_voter *v,
				  const struct roster_candidate *c,
				  const char *why)
{
	return (struct roster_step){.kind = ROSTER_REPLACE,
				    .id = c->id,
				    .old_id = v->id,
				    .addr = c->addr,
				    .why = why};
}

/* A process at a voter's address that has another identity: its disk is gone.
 */
static struct roster_step same_address(const struct roster_voter *voters,
				       size_t nv,
				       const struct roster_candidate *cands,
				       size_t nc)
{
	for (size_t i = 0; i < nv; i++)
		for (size_t k = 0; k < nc; k++)
			if (!voters[i].connected &&
			    !strcmp(voters[i].addr, cands[k].addr))
				return replace(&voters[i], &cands[k],
					       "the voter lost its disk");
	return none();
}

/* Prefers a candidate of the same data centre, then one of a dc without. */
static const struct roster_candidate *
choose(const char *dc, const struct roster_voter *voters, size_t nv,
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

struct roster_step roster_next(const struct roster_voter *voters, size_t nv,
			       const struct roster_candidate *cands, size_t nc,
			       uint32_t tolerate, int64_t now)
{
	struct roster_step step = same_address(voters, nv, cands, nc);

	if (step.kind != ROSTER_NONE || !nc)
		return step;
	for (size_t i = 0; i < nv; i++)
		if (!voters[i].connected &&
		    now - voters[i].lost_us >= ROSTER_SILENT_US)
			return replace(
				&voters[i],
				choose(voters[i].dc, voters, nv, cands, nc),
				"the voter does not answer");
	/* An even number of voters withstands no more losses than one less. */
	size_t want = 2 * tolerate + 1;
	if (nv < want && (nv % 2 == 0 || nc >= 2)) {
		const struct roster_candidate *c =
			choose("", voters, nv, cands, nc);
		return (struct roster_step){.kind = ROSTER_ADD,
					    .id = c->id,
					    .addr = c->addr,
					    .why = "the group is small"};
	}
	return step;
}
