/* Writing of the log files.  disk_int.h describes the formats. */
#include "rep/disk.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/cleanup.h"
#include "base/err.h"
#include "rep/disk_int.h"
#include "rep/rep_wire.h"

#define SEGMENT_BYTES (8u << 20)

int disk_set_io_error(struct disk *d, const char *what, const char *name)
{
	snprintf(d->error, sizeof(d->error), "%s/%s: %s: %s", d->dir, name,
		 what, strerror(errno));
	return -MW_EIO;
}

int disk_set_corrupt(struct disk *d, const char *name, uint64_t off,
		     const char *why)
{
	snprintf(d->error, sizeof(d->error),
		 "%s/%s: damaged at offset %" PRIu64 ": %s", d->dir, name, off,
		 why);
	return -MW_ECORRUPT;
}

char *disk_path(const struct disk *d, const char *name)
{
	return g_strdup_printf("%s/%s", d->dir, name);
}

void disk_seg_name(uint64_t number, char name[32])
{
	snprintf(name, 32, "log-%08" PRIu64, number);
}

void disk_snap_name(uint64_t index, char name[32])
{
	snprintf(name, 32, "snap-%016" PRIx64, index);
}

static int sync_dir(struct disk *d)
{
	return fsync(d->dir_fd) ? disk_set_io_error(d, "sync", ".") : 0;
}

int disk_unlink(struct disk *d, const char *name)
{
	if (unlinkat(d->dir_fd, name, 0) && errno != ENOENT)
		return disk_set_io_error(d, "delete", name);
	return sync_dir(d);
}

static int write_all(struct disk *d, int fd, const char *name, const void *p,
		     size_t len)
{
	const char *c = p;

	while (len) {
		ssize_t n = write(fd, c, len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return disk_set_io_error(d, "write", name);
		c += n;
		len -= (size_t)n;
	}
	return 0;
}

/*
 * Replaces a file atomically: writes and syncs a temporary file and renames it.
 */
static int write_atomic(struct disk *d, const char *name, const struct buf *b)
{
	char tmp[48];
	AUTO_CLOSE int fd = -1;
	int err;

	snprintf(tmp, sizeof(tmp), "%s.tmp", name);
	fd = openat(d->dir_fd, tmp, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
		    0600);
	if (fd < 0)
		return disk_set_io_error(d, "create", tmp);
	err = write_all(d, fd, tmp, b->data, b->len);
	if (err)
		return err;
	if (fsync(fd))
		return disk_set_io_error(d, "sync", tmp);
	if (renameat(d->dir_fd, tmp, d->dir_fd, name))
		return disk_set_io_error(d, "rename", tmp);
	return sync_dir(d);
}

int disk_open(const char *dir, struct disk **out)
{
	struct disk *d = g_new0(struct disk, 1);

	*out = d;
	d->dir = g_strdup(dir);
	d->dir_fd = d->lock_fd = d->log_fd = -1;
	d->max_seg_bytes = SEGMENT_BYTES;
	d->segs = g_array_new(FALSE, TRUE, sizeof(struct disk_seg));
	if (mkdir(dir, 0700) && errno != EEXIST)
		return disk_set_io_error(d, "create folder", ".");
	d->dir_fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (d->dir_fd < 0)
		return disk_set_io_error(d, "open", ".");
	d->lock_fd =
		openat(d->dir_fd, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (d->lock_fd < 0)
		return disk_set_io_error(d, "open", "lock");
	if (flock(d->lock_fd, LOCK_EX | LOCK_NB)) {
		if (errno != EWOULDBLOCK)
			return disk_set_io_error(d, "lock", "lock");
		snprintf(d->error, sizeof(d->error),
			 "%s: in use by another process", dir);
		return -MW_EAGAIN;
	}
	return 0;
}

void disk_close(struct disk *d)
{
	if (!d)
		return;
	cleanup_close_(&d->log_fd);
	cleanup_close_(&d->lock_fd);
	cleanup_close_(&d->dir_fd);
	g_array_unref(d->segs);
	g_free(d->dir);
	g_free(d);
}

const char *disk_error(const struct disk *d)
{
	return d->error;
}

void disk_set_segment_bytes(struct disk *d, uint64_t bytes)
{
	d->max_seg_bytes = bytes;
}

uint64_t disk_log_bytes(const struct disk *d)
{
	uint64_t sum = 0;

	for (guint i = 0; i < d->segs->len; i++)
		sum += g_array_index(d->segs, struct disk_seg, i).bytes;
	return sum;
}

static struct disk_seg *current_seg(struct disk *d)
{
	return &g_array_index(d->segs, struct disk_seg, d->segs->len - 1);
}

int disk_sync(struct disk *d)
{
	struct disk_seg *s = current_seg(d);
	char name[32];

	if (d->synced == s->bytes)
		return 0;
	if (fdatasync(d->log_fd)) {
		disk_seg_name(s->number, name);
		return disk_set_io_error(d, "sync", name);
	}
	d->synced = s->bytes;
	return 0;
}

int disk_start_seg(struct disk *d, uint64_t base, bool reset)
{
	struct disk_seg seg = {.number = 1};
	AUTO_BUF struct buf b = BUF_INIT;
	char name[32];
	int err;

	if (d->segs->len) {
		seg.number = current_seg(d)->number + 1;
		/*
		 * Sync first: disk_load accepts a torn record in the newest
		 * segment only.
		 */
		err = d->log_fd >= 0 ? disk_sync(d) : 0;
		if (err)
			return err;
	}
	buf_add(&b, SEG_MAGIC, 8);
	put_u64(&b, seg.number);
	put_u64(&b, base);
	put_u64(&b, reset ? SEG_RESET : 0);
	put_u64(&b, XXH64(b.data, b.len, 0));
	cleanup_close_(&d->log_fd);
	disk_seg_name(seg.number, name);
	d->log_fd = openat(d->dir_fd, name,
			   O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC,
			   0600);
	if (d->log_fd < 0)
		return disk_set_io_error(d, "create", name);
	err = write_all(d, d->log_fd, name, b.data, b.len);
	if (err)
		return err;
	if (fsync(d->log_fd))
		return disk_set_io_error(d, "sync", name);
	seg.bytes = d->synced = b.len;
	g_array_append_val(d->segs, seg);
	d->last_index = base;
	return sync_dir(d);
}

/*
 * Deletes the n oldest segments, oldest first, so that a crash leaves no gap.
 */
int disk_delete_oldest_segs(struct disk *d, guint n)
{
	char name[32];

	while (n--) {
		int err;

		disk_seg_name(g_array_index(d->segs, struct disk_seg, 0).number,
			      name);
		err = disk_unlink(d, name);
		if (err)
			return err;
		g_array_remove_index(d->segs, 0);
	}
	return 0;
}

static void add_record(struct disk *d, struct buf *b, uint64_t off,
		       const struct rep_entry *e)
{
	const struct disk_seg *s = current_seg(d);
	uint64_t seed = record_hash_seed(s->number, off + b->len);
	AUTO_BUF struct buf head = BUF_INIT, body = BUF_INIT;

	put_u64(&body, e->index);
	put_u64(&body, e->term);
	put_u32(&body, e->kind);
	buf_add(&body, e->data, e->len);
	put_u32(&head, (uint32_t)body.len);
	put_u64(&head, d->synced);
	put_u32(b, (uint32_t)body.len);
	put_u32(b, (uint32_t)XXH64(head.data, head.len, seed));
	put_u64(b, d->synced);
	put_u64(b, XXH64(body.data, body.len, seed));
	buf_add(b, body.data, body.len);
}

int disk_append(struct disk *d, struct rep_entry *const *entries, size_t n)
{
	AUTO_BUF struct buf b = BUF_INIT;
	struct disk_seg *s;
	char name[32];
	int err;

	if (current_seg(d)->bytes >= d->max_seg_bytes) {
		err = disk_start_seg(d, d->last_index, false);
		if (err)
			return err;
	}
	s = current_seg(d);
	for (size_t i = 0; i < n; i++) {
		const struct rep_entry *e = entries[i];

		if (e->index <= d->snap_index)
			continue; /* covered by the snapshot */
		if (e->index > d->last_index + 1 || e->len > REP_MAX_ENTRY) {
			snprintf(d->error, sizeof(d->error),
				 "entry %" PRIu64 " does not follow %" PRIu64,
				 e->index, d->last_index);
			return -MW_EINVAL;
		}
		add_record(d, &b, s->bytes, e);
		d->last_index = e->index;
		s->max_index = MAX(s->max_index, e->index);
	}
	disk_seg_name(s->number, name);
	err = write_all(d, d->log_fd, name, b.data, b.len);
	if (!err)
		s->bytes += b.len;
	return err;
}

int disk_save_vote(struct disk *d, const struct rep_vote *v)
{
	AUTO_BUF struct buf b = BUF_INIT;

	buf_add(&b, "mwvote\0\1", 8);
	put_u32(&b, v->id);
	put_u32(&b, v->vote);
	put_u64(&b, v->term);
	put_u64(&b, v->joined);
	put_u64(&b, XXH64(b.data, b.len, 0));
	return write_atomic(d, "vote", &b);
}

int disk_save_snapshot(struct disk *d, const struct rep_snap *snap,
		       bool reset_log)
{
	g_autoptr(GByteArray) voters = g_byte_array_new();
	AUTO_BUF struct buf b = BUF_INIT;
	uint64_t old = d->snap_index;
	guint drop = 0;
	gsize len;
	const void *data = g_bytes_get_data(snap->data, &len);
	char name[32];
	int err;

	/*
	 * Sync the entries after the snapshot before segments are deleted:
	 * otherwise a crash could lose the entry that continues the log after
	 * the snapshot.
	 */
	err = disk_sync(d);
	if (err)
		return err;
	rep_voters_pack(&snap->voters, voters);
	buf_add(&b, "mwsnap\0\1", 8);
	put_u64(&b, snap->index);
	put_u64(&b, snap->term);
	put_u64(&b, snap->voters_index);
	put_u64(&b, voters->len);
	put_u64(&b, len);
	buf_add(&b, voters->data, voters->len);
	buf_add(&b, data, len);
	put_u64(&b, XXH64(b.data, b.len, 0));
	disk_snap_name(snap->index, name);
	err = write_atomic(d, name, &b);
	if (err)
		return err;
	d->snap_index = snap->index;
	if (reset_log || d->last_index < snap->index) {
		drop = d->segs->len;
		err = disk_start_seg(d, snap->index, true);
		if (err)
			return err;
	} else {
		while (drop + 1 < d->segs->len &&
		       g_array_index(d->segs, struct disk_seg, drop)
				       .max_index <= snap->index)
			drop++;
	}
	err = disk_delete_oldest_segs(d, drop);
	if (err || !old || old == snap->index)
		return err;
	disk_snap_name(old, name);
	return disk_unlink(d, name);
}

uint32_t disk_new_voter_id(void)
{
	if (sodium_init() < 0)
		abort();
	/* Smaller ids are reserved for the voters of a bootstrap. */
	return 1000000 + randombytes_uniform(UINT32_MAX - 1000000);
}
