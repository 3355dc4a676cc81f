#include "replay.h"

#include <string.h>
#include <glib.h>
#include <xxhash.h>

#include "base/buf.h"
#include "state/sm.h"

/*
 * Input: 'C' and commands, each preceded by its 2-byte little-endian length
 * (the last command is shortened if the input ends early); or 'S' and a
 * snapshot; or 'X' and a snapshot without its checksum, which is added here so
 * that the fuzzer reaches the code behind the checksum test.
 */

/* Checks that a state restored from a snapshot gives the same snapshot. */
static void check_snapshot_restore(const struct sm *sm)
{
	AUTO_BUF struct buf a = BUF_INIT, b = BUF_INIT;
	struct sm *copy = NULL;

	sm_snapshot(sm, &a);
	FUZZ_CHECK(!sm_restore(a.data, a.len, &copy));
	sm_snapshot(copy, &b);
	FUZZ_CHECK(a.len == b.len && !memcmp(a.data, b.data, a.len));
	sm_free(copy);
}

static void fuzz_commands(const uint8_t *p, size_t len)
{
	struct sm *sm = sm_new();
	uint64_t index = 0, version = 1;

	while (len >= 2) {
		size_t n = (size_t)(p[0] | p[1] << 8);
		Mw__Result *r;

		p += 2;
		len -= 2;
		if (n > len)
			n = len;
		r = sm_apply(sm, 1, ++index, p, n);
		FUZZ_CHECK(r && r->err <= 0);
		FUZZ_CHECK(mw__result__get_packed_size(r) < 256 * 1024);
		mw__result__free_unpacked(r, NULL);
		FUZZ_CHECK(tree_version(sm_tree(sm)) >= version);
		version = tree_version(sm_tree(sm));
		p += n;
		len -= n;
	}
	check_snapshot_restore(sm);
	sm_free(sm);
}

static void fuzz_snapshot(const void *data, size_t len)
{
	struct sm *sm = NULL;

	if (sm_restore(data, len, &sm))
		return;
	check_snapshot_restore(sm);
	sm_free(sm);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	AUTO_BUF struct buf b = BUF_INIT;
	uint64_t sum;

	if (!size)
		return 0;
	if (data[0] == 'C')
		fuzz_commands(data + 1, size - 1);
	else if (data[0] == 'S')
		fuzz_snapshot(data + 1, size - 1);
	else if (data[0] == 'X') {
		sum = GUINT64_TO_LE(XXH64(data + 1, size - 1, 0));
		buf_add(&b, data + 1, size - 1);
		buf_add(&b, &sum, sizeof(sum));
		fuzz_snapshot(b.data, b.len);
	}
	return 0;
}
