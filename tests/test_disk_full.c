/*
 * Unit tests of the log files on a disk that is full for a while: a process
 * that ended on a failed write starts again from what was written, at once or
 * once there is room, and has lost nothing that was synced.
 */
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "base/err.h"
#include "base/log.h"
#include "check_main.h"
#include "rep/disk.h"

/* ---- a disk that is full from one operation on ---- */

enum refuses {
	REFUSES_WRITES,
	REFUSES_ALL, /* also new files, renames, truncation and syncs */
	REFUSES_END
};

enum part { PART_NONE, PART_HALF, PART_NEARLY_ALL, PART_END };

static struct {
	enum refuses refuses;
	enum part part;	      /* of the first write that is refused */
	unsigned int op;      /* operations since the start */
	unsigned int full_at; /* the first operation that is refused; 0: none */
} fake;

static bool is_refused(bool is_write)
{
	fake.op++;
	return fake.full_at && fake.op >= fake.full_at &&
	       (is_write || fake.refuses == REFUSES_ALL);
}

static int fail_full(void)
{
	errno = ENOSPC;
	return -1;
}

/* These take the place of the C library's functions in this program. */

ssize_t write(int fd, const void *p, size_t len)
{
	struct stat st;

	if (fstat(fd, &st) || !S_ISREG(st.st_mode) || !is_refused(true))
		return syscall(SYS_write, fd, p, len);
	size_t part = fake.part == PART_HALF	     ? len / 2
		      : fake.part == PART_NEARLY_ALL ? len - 1
						     : 0;
	if (fake.op != fake.full_at || !part)
		return fail_full();
	return syscall(SYS_write, fd, p, part);
}

int fsync(int fd)
{
	(void)fd;
	return is_refused(false) ? fail_full() : 0;
}

int fdatasync(int fd)
{
	return fsync(fd);
}

int openat(int dir_fd, const char *name, int flags, ...)
{
	mode_t mode = 0;
	va_list ap;

	va_start(ap, flags);
	if (flags & O_CREAT)
		mode = va_arg(ap, mode_t);
	va_end(ap);
	if (flags & O_CREAT && strcmp(name, "lock") != 0 && is_refused(false))
		return fail_full();
	return (int)syscall(SYS_openat, dir_fd, name, flags, mode);
}

int renameat(int from_fd, const char *from, int to_fd, const char *to)
{
	if (is_refused(false))
		return fail_full();
	return (int)syscall(SYS_renameat2, from_fd, from, to_fd, to, 0);
}

int ftruncate(int fd, off_t len)
{
	return is_refused(false) ? fail_full()
				 : (int)syscall(SYS_ftruncate, fd, len);
}

/* ---- a voter ---- */

#define LAST_INDEX 60
#define SYNC_EACH 3
#define SEGMENT_BYTES 500
/* After this entry a snapshot is taken that covers all but the last five. */
#define SNAPSHOT_AFTER 25
/* After this entry a snapshot is received that replaces the log. */
#define INSTALL_AFTER 40
#define INSTALL_INDEX 50

static char dir[64];

/* State that was reported as durable: it must be there after a restart. */
static struct {
	struct rep_vote vote;
	uint64_t last, snap;
} promised;

static uint64_t term_of(uint64_t index)
{
	return index / 20 + 1;
}

static int save_vote(struct disk *d, struct rep_vote *v)
{
	int r = disk_save_vote(d, v);

	if (r == 0)
		promised.vote = *v;
	return r;
}

static int save_snap(struct disk *d, uint64_t index, bool reset)
{
	struct rep_snap s = {
		.index = index, .term = term_of(index), .voters_index = 1};

	s.voters.n = 1;
	s.voters.v[0].id = promised.vote.id;
	s.data = g_bytes_new_static("the state", 9);
	int r = disk_save_snapshot(d, &s, reset);
	g_bytes_unref(s.data);
	if (r == 0) {
		promised.snap = index;
		promised.last = MAX(promised.last, index);
	}
	return r;
}

static int append(struct disk *d, uint64_t index)
{
	char data[40];

	memset(data, 'a' + (int)(index % 26), sizeof(data));
	struct rep_entry *e = rep_entry_new(index, term_of(index),
					    REP_ENTRY_DATA, data, sizeof(data));
	int r = disk_append(d, &e, 1);
	rep_entry_unref(e);
	return r;
}

static void check_stored(const struct rep_stored *st)
{
	uint64_t last = st->snap.index + st->entries->len;

	if (promised.vote.id)
		ck_assert_uint_eq(st->vote.id, promised.vote.id);
	ck_assert(st->vote.joined || !promised.vote.joined);
	ck_assert_uint_ge(st->vote.term, promised.vote.term);
	ck_assert_uint_ge(st->snap.index, promised.snap);
	ck_assert_uint_ge(last, promised.last);
	for (guint i = 0; i < st->entries->len; i++) {
		const struct rep_entry *e = st->entries->pdata[i];
		ck_assert_uint_eq(e->index, st->snap.index + i + 1);
		ck_assert_uint_eq(e->term, term_of(e->index));
	}
}

/* Writes the rest of the log, up to LAST_INDEX, with its snapshots. */
static int write_rest(struct disk *d, uint64_t last, uint64_t snap)
{
	int r = 0;

	while (r == 0 && last < LAST_INDEX) {
		r = append(d, ++last);
		if (r == 0 && last % SYNC_EACH == 0) {
			r = disk_sync(d);
			if (r == 0)
				promised.last = last;
		}
		if (r == 0 && last == SNAPSHOT_AFTER && snap < last - 5)
			r = save_snap(d, snap = last - 5, false);
		if (r == 0 && last == INSTALL_AFTER && snap < INSTALL_INDEX) {
			r = save_snap(d, INSTALL_INDEX, true);
			last = snap = INSTALL_INDEX;
		}
	}
	return r == 0 ? disk_sync(d) : r;
}

/*
 * One life of the process, as control/ctl_log.c does it: reads the files, gets
 * an id on a new disk, joins, and writes until it has all or a write fails.
 */
static int live(char *error, size_t size)
{
	struct rep_stored st = {0};
	struct disk *d;
	int r = disk_open(dir, &d);

	disk_set_segment_bytes(d, SEGMENT_BYTES);
	if (r == 0)
		r = disk_load(d, &st);
	if (r == 0)
		check_stored(&st);
	if (r == 0 && !st.vote.id) {
		st.vote.id = 7;
		r = save_vote(d, &st.vote);
	}
	if (r == 0 && !st.vote.joined) {
		st.vote.joined = true;
		st.vote.term = term_of(LAST_INDEX);
		r = save_vote(d, &st.vote);
	}
	if (r == 0)
		r = write_rest(d, st.snap.index + st.entries->len,
			       st.snap.index);
	g_strlcpy(error, disk_error(d), size);
	rep_stored_release(&st);
	disk_close(d);
	return r;
}

static void empty_dir(void)
{
	g_autoptr(GDir) g = g_dir_open(dir, 0, NULL);
	const char *name;

	while ((name = g_dir_read_name(g))) {
		g_autofree char *path = g_strdup_printf("%s/%s", dir, name);
		unlink(path);
	}
}

/*
 * Plays a disk that is full from the given operation on, for that many further
 * starts of the process, and then has room.  Returns whether it became full.
 */
static bool play(unsigned int full_at, unsigned int starts)
{
	char error[256];

	empty_dir();
	memset(&promised, 0, sizeof(promised));
	fake.op = 0;
	fake.full_at = full_at;
	if (live(error, sizeof(error)) == 0)
		return false;
	for (unsigned int i = 0; i < starts; i++) {
		/* Also the first write of a start may be cut short. */
		fake.op = 0;
		fake.full_at = 1;
		live(error, sizeof(error));
	}
	fake.full_at = 0;
	int r = live(error, sizeof(error));
	ck_assert_msg(r == 0,
		      "full at operation %u (refuses %d, part %d), %u starts: "
		      "%d, %s",
		      full_at, fake.refuses, fake.part, starts, r, error);
	r = live(error, sizeof(error));
	ck_assert_msg(r == 0, "%s", error);
	return true;
}

/*
 * Guards against files that a process can't be started from any more, or that
 * lack what was synced, after a write failed at any moment: of a vote, an
 * entry, a segment's header, a snapshot of its own or a received one.
 */
START_TEST(test_starts_again_once_there_is_room)
{
	strcpy(dir, "/tmp/mw-test-disk-full-XXXXXX");
	ck_assert_ptr_nonnull(mkdtemp(dir));
	for (fake.refuses = 0; fake.refuses < REFUSES_END; fake.refuses++)
		for (fake.part = 0; fake.part < PART_END; fake.part++)
			for (unsigned int starts = 0; starts < 3; starts++) {
				unsigned int at = 1;
				while (play(at, starts))
					at++;
				ck_assert_uint_gt(at, 60);
			}
	empty_dir();
	rmdir(dir);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_starts_again_once_there_is_room};

	log_setup("test_disk_full", LOG_ERROR);
	return check_main("disk_full", tests, G_N_ELEMENTS(tests));
}
