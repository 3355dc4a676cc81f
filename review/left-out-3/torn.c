/*
 * No case: calls the module that keeps the log, not a process.  Two entries are
 * written before one sync, as the disk writer does for jobs that wait together.
 * The power is lost: of the two writes the first is missing, which leaves zeros,
 * and the second is present ("Each write made after that point is either
 * present, missing or torn", DEPLOY.md).  None of them was acknowledged, so the
 * process should start without them.  It exits with 1 if the folder can't be
 * loaded.
 *
 *   gcc -std=gnu11 -D_GNU_SOURCE -Isrc $(pkg-config --cflags glib-2.0) \
 *     review/left-out-3/torn.c build/release/libmw.a \
 *     $(pkg-config --libs glib-2.0 libprotobuf-c libsodium libxxhash) -o torn
 *   ./torn FOLDER FIRST_BYTES; FOLDER must not exist
 */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "rep/disk.h"

static void must(struct disk *d, int err, const char *what)
{
	if (err < 0) {
		printf("%s: %s\n", what, disk_error(d));
		exit(2);
	}
}

static struct rep_entry *entry(uint64_t index, size_t len)
{
	g_autofree uint8_t *data = g_malloc(len);

	memset(data, 'x', len);
	return rep_entry_new(index, 1, REP_ENTRY_DATA, data, (uint32_t)len);
}

int main(int argc, char **argv)
{
	struct rep_vote vote = {.id = 7, .term = 1, .joined = true};
	struct rep_stored stored;
	struct disk *d;
	size_t first = argc > 2 ? strtoul(argv[2], NULL, 10) : 100;

	if (argc < 2)
		return 2;
	must(NULL, disk_open(argv[1], &d), "open");
	must(d, disk_load(d, &stored), "load");
	rep_stored_release(&stored);
	must(d, disk_save_vote(d, &vote), "vote");
	struct rep_entry *e1 = entry(1, 60), *e2 = entry(2, first),
			 *e3 = entry(3, 100);
	must(d, disk_append(d, &e1, 1), "append");
	must(d, disk_sync(d), "sync");
	off_t hole = (off_t)disk_log_bytes(d);
	must(d, disk_append(d, &e2, 1), "append");
	size_t hole_bytes = disk_log_bytes(d) - (size_t)hole;
	must(d, disk_append(d, &e3, 1), "append");
	disk_close(d); /* no sync: the power is lost here */

	g_autofree char *name = g_strdup_printf("%s/log-00000001", argv[1]);
	g_autofree char *zeros = g_malloc0(hole_bytes);
	int fd = open(name, O_WRONLY);
	if (pwrite(fd, zeros, hole_bytes, hole) != (ssize_t)hole_bytes)
		return 2;
	close(fd);
	printf("missing: %zu bytes from offset %ld\n", hole_bytes, (long)hole);

	must(NULL, disk_open(argv[1], &d), "open");
	int err = disk_load(d, &stored);
	if (err < 0) {
		printf("broken: %s\n", disk_error(d));
		return 1;
	}
	printf("held: loaded with %u entries\n", stored.entries->len);
	return 0;
}
