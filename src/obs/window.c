#include "obs/window.h"

void minute_window_add(struct minute_window *w, uint64_t n, int64_t now)
{
	int64_t slot = now / WINDOW_SLOT_US;
	int i = (int)(slot % WINDOW_SLOTS);

	if (w->slot[i] != slot) {
		w->slot[i] = slot;
		w->sum[i] = 0;
	}
	w->sum[i] += n;
}

uint64_t minute_window_sum(const struct minute_window *w, int64_t now)
{
	int64_t slot = now / WINDOW_SLOT_US;
	uint64_t sum = 0;

	for (int i = 0; i < WINDOW_SLOTS; i++)
		if (w->slot[i] > slot - WINDOW_SLOTS && w->slot[i] <= slot)
			sum += w->sum[i];
	return sum;
}
