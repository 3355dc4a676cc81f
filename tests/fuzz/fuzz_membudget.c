/*
 * Fuzzes the accounting of memory (membudget.h): the input is a list of steps
 * of five bytes, each an arrival, an end, a reset (the owner ends a holder and
 * the next one takes its place), growth, progress or a change of kind.  A
 * holder that is shed is removed at once or with its next step.  What is
 * counted equals what the holders have, never exceeds the capacity, and is
 * nothing once all have ended.
 */
#include "tests/fuzz/replay.h"

#include <string.h>

#include "policy/membudget.h"

#define HOLDERS 32
#define STEP_BYTES 5
#define LIMIT_MB 4

enum step {
	STEP_ARRIVE,
	STEP_END,
	STEP_RESET,
	STEP_SET,
	STEP_SET_LARGE,
	STEP_PROGRESS,
	STEP_KIND,
	STEPS,
};

static struct membudget budget;
static struct membudget_holder holders[HOLDERS];
static bool remove_at_once;

static void on_shed(void *arg)
{
	FUZZ_CHECK(((struct membudget_holder *)arg)->kind != MEMBUDGET_HELD);
	if (remove_at_once)
		membudget_remove(arg);
}

static void add(struct membudget_holder *h, unsigned int what, int64_t now)
{
	h->shed = on_shed;
	h->arg = h;
	membudget_add(&budget, h, what % MEMBUDGET_KINDS, what / 16 % 4, now);
}

static void set(struct membudget_holder *h, size_t bytes, int64_t now)
{
	size_t before = h->bytes;
	bool leaving = h->leaving;
	bool room = membudget_set(h, bytes, now);

	if (!h->budget || leaving)
		return;
	FUZZ_CHECK(h->bytes == (room ? bytes : h->leaving ? 0 : before));
	FUZZ_CHECK(room || bytes > before || h->leaving);
}

static void take_step(const uint8_t *p, int64_t now)
{
	struct membudget_holder *h = &holders[p[1] % HOLDERS];
	size_t bytes = p[3] | (size_t)p[4] << 8;

	if (!h->budget || (h->leaving && p[0] % STEPS != STEP_PROGRESS)) {
		membudget_remove(h);
		add(h, p[2], now);
	}
	remove_at_once = p[2] & 128;
	switch ((enum step)(p[0] % STEPS)) {
	case STEP_END:
		membudget_remove(h);
		break;
	case STEP_RESET:
		membudget_remove(h);
		add(h, p[2], now);
		set(h, bytes, now);
		break;
	case STEP_SET:
		set(h, bytes, now);
		break;
	case STEP_SET_LARGE:
		set(h, bytes << 6, now);
		break;
	case STEP_PROGRESS:
		membudget_progress(h, bytes, now);
		break;
	case STEP_KIND:
		membudget_set_kind(h, p[2] % MEMBUDGET_KINDS, now);
		break;
	case STEP_ARRIVE:
	case STEPS:
		break;
	}
}

static void check_sums(void)
{
	size_t sum = 0, kinds[MEMBUDGET_KINDS] = {0}, peers = 0;

	for (int i = 0; i < HOLDERS; i++) {
		sum += holders[i].bytes;
		kinds[holders[i].kind] += holders[i].bytes;
		if (!holders[i].peer)
			peers += holders[i].bytes;
	}
	for (uint32_t peer = 1; peer < 4; peer++)
		peers += membudget_peer_bytes(&budget, peer);
	FUZZ_CHECK(sum == budget.used && peers == sum);
	FUZZ_CHECK(!memcmp(kinds, budget.by_kind, sizeof(kinds)));
	FUZZ_CHECK(budget.used <= budget.capacity);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	int64_t now = 0;

	membudget_init(&budget, LIMIT_MB);
	memset(holders, 0, sizeof(holders));
	for (; size >= STEP_BYTES; data += STEP_BYTES, size -= STEP_BYTES) {
		now += (data[0] / STEPS) * INT64_C(50000);
		take_step(data, now);
		check_sums();
	}
	for (int i = 0; i < HOLDERS; i++)
		membudget_remove(&holders[i]);
	FUZZ_CHECK(!budget.used && !g_hash_table_size(budget.peers));
	FUZZ_CHECK(list_empty(&budget.holders));
	membudget_release(&budget);
	return 0;
}
