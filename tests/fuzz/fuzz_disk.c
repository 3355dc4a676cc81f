#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "replay.h"
#include "rep/disk.h"

/*
 * Loads a file of the replicated log with arbitrary content.  The first byte of
 * the input selects the file (vote, log segment or snapshot), and the rest is
 * its content.  Loading must fail with an error or return a valid state.
 */

static void write_file(const char *dir, const char *name, const uint8_t *data,
		       size_t size)
{
	char path[256];

	snprintf(path, sizeof(path), "%s/%s", dir, name);
	FILE *f = fopen(path, "wb");
	FUZZ_CHECK(f != NULL);
	FUZZ_CHECK(fwrite(data, 1, size, f) == size);
	fclose(f);
}

static void remove_data_dir(const char *dir)
{
	static const char *const names[] = {"lock", "vote", "log-00000001",
					    "log-00000002",
					    "snap-0000000000000001"};
	char path[256];

	for (size_t i = 0; i < sizeof(names) / sizeof(*names); i++) {
		snprintf(path, sizeof(path), "%s/%s", dir, names[i]);
		unlink(path);
	}
	rmdir(dir);
}

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
	static const char *const names[] = {"vote", "log-00000001",
					    "snap-0000000000000001"};
	char dir[] = "/tmp/mw-fuzz-disk-XXXXXX";
	struct rep_stored stored;
	struct disk *d;

	if (!size)
		return 0;
	FUZZ_CHECK(mkdtemp(dir) != NULL);
	write_file(dir, names[bytes[0] % 3], bytes + 1, size - 1);
	if (disk_open(dir, &d) == 0 && disk_load(d, &stored) == 0)
		rep_stored_release(&stored);
	disk_close(d);
	remove_data_dir(dir);
	return 0;
}
