/*
 * Unit tests of the log files: the remains of a crash are accepted, damage is
 * detected.
 */
#include <check.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/cleanup.h"
#include "base/err.h"
#include "base/log.h"
#include "rep/disk.h"

static char dir[64];
static struct disk *d;
static struct rep_stored st;

static char *path(const char *name)
{
	static char p[128];

	snprintf(p, sizeof(p), "%s/%s", dir, name);
	return p;
}

static int reopen(void)
{
	int err;

	disk_close(d);
	rep_stored_release(&st);
	err = disk_open(dir, &d);
	disk_set_segment_bytes(d, 1000);
	return err ? err : disk_load(d, &st);
}

static void setup(void)
{
	strcpy(dir, "/tmp/mw-test-disk-XXXXXX");
	ck_assert_ptr_nonnull(mkdtemp(dir));
	ck_assert_int_eq(reopen(), 0);
}

static void empty_dir(void)
{
	g_autoptr(GDir) g = g_dir_open(dir, 0, NULL);
	const char *name;

	while ((name = g_dir_read_name(g)))
		unlink(path(name));
}

static void teardown(void)
{
	disk_close(d);
	d = NULL;
	rep_stored_release(&st);
	empty_dir();
	rmdir(dir);
}

/*
 * Appends entries [from, to] of a term.  Their data has no zero bytes, which
 * could be taken for an unwritten sector.
 */
static void append(uint64_t from, uint64_t to, uint64_t term)
{
	for (; from <= to; from++) {
		uint8_t data[50];
		struct rep_entry *e;

		for (size_t i = 0; i < sizeof(data); i++)
			data[i] =
				(uint8_t)(1 + (from * 31 + term * 7 + i) % 254);
		e = rep_entry_new(from, term, REP_ENTRY_DATA, data,
				  sizeof(data));
		ck_assert_int_eq(disk_append(d, &e, 1), 0);
		rep_entry_unref(e);
	}
}

static void save_vote(void)
{
	struct rep_vote v = {.id = 7, .vote = 3, .term = 9, .joined = true};

	ck_assert_int_eq(disk_save_vote(d, &v), 0);
}

static void save_snap(uint64_t index, uint64_t term, bool reset)
{
	struct rep_snap s = {.index = index, .term = term, .voters_index = 1};

	s.voters.n = 1;
	s.voters.v[0].id = 7;
	s.data = g_bytes_new_static("the state", 9);
	ck_assert_int_eq(disk_save_snapshot(d, &s, reset), 0);
	g_bytes_unref(s.data);
}

static void check_log(uint64_t snap, uint64_t last, uint64_t last_term)
{
	const struct rep_entry *e;

	ck_assert_msg(reopen() == 0, "%s", disk_error(d));
	ck_assert_uint_eq(st.snap.index, snap);
	ck_assert_uint_eq(st.entries->len, last - snap);
	for (guint i = 0; i < st.entries->len; i++) {
		e = st.entries->pdata[i];
		ck_assert_uint_eq(e->index, snap + i + 1);
		if (e->index == last)
			ck_assert_uint_eq(e->term, last_term);
	}
}

static int n_segments(char newest[64])
{
	g_autoptr(GDir) g = g_dir_open(dir, 0, NULL);
	const char *name;
	int n = 0;

	newest[0] = 0;
	while ((name = g_dir_read_name(g))) {
		if (!g_str_has_prefix(name, "log-"))
			continue;
		n++;
		if (strcmp(name, newest) > 0)
			g_strlcpy(newest, name, 64);
	}
	return n;
}

/* Guards against losing entries, votes or snapshots at a restart. */
START_TEST(test_round_trip)
{
	char newest[64];

	ck_assert_uint_eq(st.vote.id, 0);
	save_vote();
	append(1, 60, 1);
	ck_assert_int_eq(disk_sync(d), 0);
	ck_assert_int_gt(n_segments(newest), 3);
	check_log(0, 60, 1);
	ck_assert(st.vote.id == 7 && st.vote.vote == 3 && st.vote.term == 9 &&
		  st.vote.joined);
	append(41, 70, 2); /* replaces 41 to 60 */
	check_log(0, 70, 2);
	save_snap(65, 2, false);
	check_log(65, 70, 2);
	ck_assert_uint_eq(st.snap.voters.n, 1);
	ck_assert_uint_eq(g_bytes_get_size(st.snap.data), 9);
	ck_assert_int_le(n_segments(newest), 3);
	save_snap(100, 3, true);
	check_log(100, 100, 0);
	append(101, 103, 3);
	check_log(100, 103, 3);
	ck_assert_int_eq(n_segments(newest), 1);
	append(104, 104, 3);
	struct rep_entry *gap = rep_entry_new(106, 3, REP_ENTRY_NOOP, NULL, 0);
	ck_assert_int_eq(disk_append(d, &gap, 1), -MW_EINVAL);
	rep_entry_unref(gap);
}
END_TEST

/*
 * Guards against a load error when an entry replaces one of an earlier segment
 * that is deleted after a snapshot.
 */
START_TEST(test_replaced_across_segments)
{
	save_vote();
	append(1, 14, 1);
	append(9, 30, 2);
	for (uint64_t snap = 5; snap < 30; snap += 3) {
		save_snap(snap, snap < 9 ? 1 : 2, false);
		check_log(snap, 30, 2);
	}
}
END_TEST

/* Guards against two processes that write the same log. */
START_TEST(test_lock)
{
	struct disk *other;

	ck_assert_int_eq(disk_open(dir, &other), -MW_EAGAIN);
	ck_assert_ptr_nonnull(strstr(disk_error(other), "in use"));
	disk_close(other);
}
END_TEST

/* Guards against rejecting the log after a crash truncated the last write. */
START_TEST(test_truncation_at_every_byte)
{
	char newest[64];
	struct stat sb;
	off_t size;

	save_vote();
	append(1, 5, 1);
	ck_assert_int_eq(n_segments(newest), 1);
	stat(path(newest), &sb);
	size = sb.st_size;
	for (off_t cut_size = size - 1; cut_size >= 0; cut_size--) {
		ck_assert_int_eq(truncate(path(newest), cut_size), 0);
		ck_assert_msg(reopen() == 0, "cut at %d: %s", (int)cut_size,
			      disk_error(d));
		ck_assert_uint_eq(st.entries->len,
				  cut_size < 40 ? 0 : (cut_size - 40) / 94);
	}
	append(1, 3, 2);
	check_log(0, 3, 2);
}
END_TEST

static void flip_bits(const char *name, off_t at, uint8_t mask)
{
	AUTO_CLOSE int fd = open(path(name), O_RDWR);
	uint8_t c;

	ck_assert_int_eq(pread(fd, &c, 1, at), 1);
	c ^= mask;
	ck_assert_int_eq(pwrite(fd, &c, 1, at), 1);
}

/* Flips one bit of each byte in turn; each load must fail and name the file. */
static void check_bit_flips(const char *name)
{
	struct stat sb;

	ck_assert_int_eq(stat(path(name), &sb), 0);
	for (off_t at = 0; at < sb.st_size; at++) {
		uint8_t mask = (uint8_t)(1 << at % 8);

		flip_bits(name, at, mask);
		ck_assert_msg(reopen() == -MW_ECORRUPT, "%s: flip at %d: %s",
			      name, (int)at, disk_error(d));
		ck_assert_ptr_nonnull(strstr(disk_error(d), name));
		ck_assert_ptr_nonnull(strstr(disk_error(d), "offset"));
		flip_bits(name, at, mask);
	}
	ck_assert_int_eq(reopen(), 0);
}

/* Guards against using damaged data. */
START_TEST(test_bit_flip_in_every_byte)
{
	char newest[64];

	save_vote();
	append(1, 4, 1);
	ck_assert_int_eq(disk_sync(d), 0);
	append(5, 20, 1);
	save_snap(2, 1, false);
	ck_assert_int_eq(n_segments(newest), 2);
	check_bit_flips("log-00000001");
	check_bit_flips(newest);
	check_bit_flips("vote");
	check_bit_flips("snap-0000000000000002");
}
END_TEST

/*
 * Guards against taking damage of synced data for a torn write: a sector of
 * zeros counts as torn only if no later record states that it was synced.
 */
START_TEST(test_zeroed_sector)
{
	static const char zero[512];
	char newest[64];

	for (int synced = 0; synced < 2; synced++) {
		save_vote();
		disk_set_segment_bytes(d, 100000);
		append(1, 20, 1);
		if (synced)
			ck_assert_int_eq(disk_sync(d), 0);
		append(21, 25, 1);
		n_segments(newest);
		{
			AUTO_CLOSE int fd = open(path(newest), O_RDWR);
			ck_assert_int_eq(pwrite(fd, zero, 512, 512), 512);
		}
		if (synced)
			ck_assert_int_eq(reopen(), -MW_ECORRUPT);
		else
			check_log(0, 5, 1);
		empty_dir();
		ck_assert_int_eq(reopen(), 0);
	}
}
END_TEST

/*
 * Guards against starting as a new voter, or with a gap in the log, after files
 * were deleted.
 */
START_TEST(test_missing_files)
{
	save_vote();
	append(1, 40, 1);
	unlink(path("log-00000002"));
	ck_assert_int_eq(reopen(), -MW_ECORRUPT);
	unlink(path("log-00000001"));
	ck_assert_int_eq(reopen(), -MW_ECORRUPT);
	unlink(path("vote"));
	ck_assert_int_eq(reopen(), -MW_ECORRUPT);
	ck_assert_ptr_nonnull(strstr(disk_error(d), "vote"));
}
END_TEST

/*
 * Guards against mixing the old log with a received snapshot after a crash
 * between saving the snapshot and dropping the log, and against leftover
 * temporary files.
 */
START_TEST(test_crash_during_install)
{
	for (int i = 0; i < 2; i++) {
		/*
		 * The log ends before the snapshot, or has another term at its
		 * index.
		 */
		uint64_t last = i ? 40 : 20;
		char newest[64], *copy;
		gsize len;

		save_vote();
		disk_set_segment_bytes(d, 100000);
		append(1, last, 1);
		n_segments(newest);
		ck_assert(g_file_get_contents(path(newest), &copy, &len, NULL));
		save_snap(30, 2, true);
		n_segments(newest);
		unlink(path(newest));
		ck_assert(g_file_set_contents(path("log-00000001"), copy,
					      (gssize)len, NULL));
		ck_assert(g_file_set_contents(path("vote.tmp"), "x", 1, NULL));
		g_free(copy);
		check_log(30, 30, 0);
		ck_assert_int_ne(access(path("vote.tmp"), F_OK), 0);
		append(31, 33, 2);
		check_log(30, 33, 2);
		empty_dir();
		ck_assert_int_eq(reopen(), 0);
	}
}
END_TEST

/* Guards against reporting success for a failed write. */
START_TEST(test_write_error)
{
	struct rep_vote v = {.id = 7};

	teardown();
	setup();
	ck_assert_int_eq(mkdir(path("vote.tmp"), 0700), 0);
	ck_assert_int_eq(disk_save_vote(d, &v), -MW_EIO);
	ck_assert_ptr_nonnull(strstr(disk_error(d), "vote.tmp"));
	rmdir(path("vote.tmp"));
}
END_TEST

/*
 * Carries out the output of a single voter until none is left; returns the last
 * applied index.
 */
static uint64_t run_alone(struct rep *r, int64_t now, uint64_t applied)
{
	struct rep_output out;

	for (;;) {
		rep_tick(r, now);
		rep_take_output(r, &out);
		if (out.save_vote)
			ck_assert_int_eq(disk_save_vote(d, &out.vote), 0);
		ck_assert_int_eq(
			disk_append(d, (struct rep_entry **)out.append->pdata,
				    out.append->len),
			0);
		ck_assert_int_eq(disk_sync(d), 0);
		applied += out.commit->len;
		uint64_t seq = out.write_seq;
		rep_output_release(&out);
		if (!seq)
			return applied;
		rep_synced(r, now, seq);
	}
}

/* Guards against a core that cannot restart from the files it wrote. */
START_TEST(test_core_restarts)
{
	struct rep_cfg cfg = {.id = 7, .seed = 1};
	struct rep_voters vs = {1, {{.id = 7, .addr = "127.0.0.1:1"}}};
	uint64_t index = 0, applied, before = 0;
	int64_t now = 1000000;

	for (int i = 0; i < 5; i++) {
		struct rep *r = rep_new(&cfg, &st, now);

		ck_assert_ptr_nonnull(r);
		if (!i)
			ck_assert_int_eq(rep_bootstrap(r, now, &vs), 0);
		now += 3000000;
		applied = run_alone(r, now, st.snap.index);
		ck_assert(rep_leader_ready(r));
		ck_assert_uint_gt(applied, before);
		for (int k = 0; k < 40; k++)
			ck_assert_int_eq(rep_propose(r, now, "data", 4, &index),
					 0);
		before = run_alone(r, now, applied);
		ck_assert_uint_eq(before, index);
		if (i % 2) {
			struct rep_snap s;

			ck_assert_int_eq(rep_snap_header_at(r, index - 3, &s),
					 0);
			s.data = g_bytes_new_static("state", 5);
			ck_assert_int_eq(disk_save_snapshot(d, &s, false), 0);
			ck_assert_int_eq(rep_compact(r, s.index, s.data), 0);
			g_bytes_unref(s.data);
		}
		rep_free(r);
		ck_assert_int_eq(reopen(), 0);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("disk");
	TCase *tc = tcase_create("disk");

	log_setup("test_disk", LOG_ERROR);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 0);
	tcase_add_test(tc, test_round_trip);
	tcase_add_test(tc, test_replaced_across_segments);
	tcase_add_test(tc, test_lock);
	tcase_add_test(tc, test_truncation_at_every_byte);
	tcase_add_test(tc, test_bit_flip_in_every_byte);
	tcase_add_test(tc, test_zeroed_sector);
	tcase_add_test(tc, test_missing_files);
	tcase_add_test(tc, test_crash_during_install);
	tcase_add_test(tc, test_write_error);
	tcase_add_test(tc, test_core_restarts);
	suite_add_tcase(s, tc);
	SRunner *sr = srunner_create(s);
	srunner_set_fork_status(sr, CK_NOFORK);
	srunner_run_all(sr, CK_ENV);
	int failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
