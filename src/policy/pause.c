#include "policy/pause.h"

#include <glib.h>

bool pause_parse(const char *text, int64_t *us)
{
	char *end;

	if (!g_ascii_isdigit(*text))
		return false;
	double s = g_ascii_strtod(text, &end);
	if (*end)
		return false;
	*us = (int64_t)MIN(s * G_USEC_PER_SEC, (double)PAUSE_MAX_US);
	return true;
}

int64_t pause_extend(int64_t until_us, int64_t asked_us, int64_t now)
{
	if (asked_us <= 0)
		return until_us;
	return MAX(until_us, now + MIN(asked_us, PAUSE_MAX_US));
}

void pause_add_endpoint(struct pause_state *s, int64_t paused_until_us,
			int64_t avoided_until_us, int64_t now)
{
	int64_t back_us = MAX(paused_until_us, avoided_until_us);

	s->any_paused |= paused_until_us > now;
	/* One that is neither is unusable for a reason without a known end. */
	if (back_us > now)
		s->back_us = MIN(s->back_us, back_us);
}

int64_t pause_refuse_after(const struct pause_state *s, int64_t wait_end_us,
			   int64_t now)
{
	if (!s->any_paused || s->back_us == INT64_MAX ||
	    s->back_us <= MAX(wait_end_us, now))
		return 0;
	return s->back_us - now;
}
