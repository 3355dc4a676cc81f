#include "policy/evacuation.h"

#include <string.h>
#include <glib.h>

void evacuation_release(struct evacuation *e)
{
	g_strfreev(e->dcs);
	*e = (struct evacuation){0};
}

bool evacuation_set(struct evacuation *e, uint64_t version,
		    const char *const *dcs, size_t n)
{
	if (version <= e->version)
		return false;
	g_strfreev(e->dcs);
	e->version = version;
	e->dcs = g_new0(char *, n + 1);
	for (size_t i = 0; i < n; i++)
		e->dcs[i] = g_strdup(dcs[i]);
	return true;
}

bool evacuation_contains(const struct evacuation *e, const char *dc)
{
	for (char **p = e->dcs; p && *p; p++)
		if (!strcmp(*p, dc))
			return true;
	return false;
}

void evacuation_diff(const struct evacuation *before,
		     const struct evacuation *after,
		     void (*fn)(const char *dc, bool begins, void *ctx),
		     void *ctx)
{
	for (char **p = before->dcs; p && *p; p++)
		if (!evacuation_contains(after, *p))
			fn(*p, false, ctx);
	for (char **p = after->dcs; p && *p; p++)
		if (!evacuation_contains(before, *p))
			fn(*p, true, ctx);
}

int64_t evacuation_time_left_us(int64_t used_us, int64_t ticket_us, int64_t now)
{
	/* A ticket of the future is not of this run of the leader. */
	if (used_us < 0 || ticket_us > now)
		return 0;
	int64_t left_us = EVACUATION_WAIT_MAX_US - used_us - (now - ticket_us);

	return MAX(left_us, 0);
}
