/*
 * Unit tests of the thread that writes the log: the caller does not wait for a
 * sync, jobs are carried out in order, appends that wait share one sync, and a
 * failed write ends it.
 */
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/err.h"
#include "check_main.h"
#include "rep/disk_writer.h"

/* ---- a disk whose syncs wait ---- */

static struct {
	GMutex lock;
	GCond changed;
	bool stalled, fails;
	unsigned int syncs, waiting;
	unsigned int fail_after; /* syncs; 0: never */
} fake;

static int fake_sync(void)
{
	bool fails;

	g_mutex_lock(&fake.lock);
	fake.waiting++;
	g_cond_broadcast(&fake.changed);
	while (fake.stalled)
		g_cond_wait(&fake.changed, &fake.lock);
	fake.waiting--;
	fake.syncs++;
	fails = fake.fails || (fake.fail_after && fake.syncs > fake.fail_after);
	g_mutex_unlock(&fake.lock);
	if (fails)
		errno = EIO;
	return fails ? -1 : 0;
}

/* These take the place of the C library's functions in this program. */

int fsync(int fd)
{
	(void)fd;
	return fake_sync();
}

int fdatasync(int fd)
{
	(void)fd;
	return fake_sync();
}

static void set_stalled(bool stalled)
{
	g_mutex_lock(&fake.lock);
	fake.stalled = stalled;
	g_cond_broadcast(&fake.changed);
	g_mutex_unlock(&fake.lock);
}

/* Waits until a sync has begun that does not end. */
static void wait_for_stall(void)
{
	g_mutex_lock(&fake.lock);
	while (!fake.waiting)
		g_cond_wait(&fake.changed, &fake.lock);
	g_mutex_unlock(&fake.lock);
}

/* ---- set-up ---- */

static char dir[64];
static struct disk *disk;
static struct disk_writer *writer;
static gint wakes;

static void wake(void *ctx)
{
	(void)ctx;
	g_atomic_int_inc(&wakes);
}

static struct disk_progress progress(void)
{
	struct disk_progress p;

	disk_writer_progress(writer, &p);
	return p;
}

static void wait_for_job(uint64_t job)
{
	for (int i = 0; i < 10000; i++) {
		struct disk_progress p = progress();

		if (p.done >= job || p.error)
			return;
		g_usleep(USEC_PER_MSEC);
	}
	ck_abort_msg("a job is not done");
}

static void open_disk(struct rep_stored *stored)
{
	ck_assert_int_eq(disk_open(dir, &disk), 0);
	ck_assert_int_eq(disk_load(disk, stored), 0);
}

static void start(void)
{
	struct rep_stored stored;

	fake.stalled = fake.fails = false;
	g_strlcpy(dir, "/tmp/mw-writer-XXXXXX", sizeof(dir));
	ck_assert_ptr_nonnull(mkdtemp(dir));
	open_disk(&stored);
	rep_stored_release(&stored);
	writer = disk_writer_new(disk, wake, NULL);
}

/* Ends the writer and reads what it has written. */
static void restart(struct rep_stored *stored)
{
	disk_writer_free(writer);
	disk_close(disk);
	open_disk(stored);
}

static void end(struct rep_stored *stored)
{
	g_autofree char *rm = g_strdup_printf("rm -r %s", dir);

	rep_stored_release(stored);
	disk_close(disk);
	ck_assert_int_eq(system(rm), 0);
}

static uint64_t append(uint64_t index)
{
	GPtrArray *entries = g_ptr_array_new_with_free_func(rep_entry_unref);
	struct disk_job job = {.append = entries};
	uint64_t number;

	g_ptr_array_add(entries,
			rep_entry_new(index, 1, REP_ENTRY_DATA, "data", 4));
	number = disk_writer_submit(writer, &job);
	g_ptr_array_unref(entries);
	return number;
}

static uint64_t vote(uint64_t term)
{
	struct disk_job job = {.save_vote = true,
			       .vote = {.id = 1, .term = term, .joined = true}};

	return disk_writer_submit(writer, &job);
}

/* ---- tests ---- */

/* Guards against a loop that waits for the disk, and one sync for each job. */
START_TEST(test_caller_does_not_wait)
{
	struct rep_stored stored;
	uint64_t last = 0;
	unsigned int syncs;

	start();
	wait_for_job(vote(1));
	set_stalled(true);
	append(1);
	wait_for_stall();
	syncs = fake.syncs;
	/* Returns although no sync does. */
	for (uint64_t index = 2; index <= 100; index++)
		last = append(index);
	ck_assert_uint_eq(progress().done, 1);
	set_stalled(false);
	wait_for_job(last);
	ck_assert_uint_eq(progress().done, last);
	ck_assert_uint_eq(fake.syncs, syncs + 2);
	ck_assert_int_ge(g_atomic_int_get(&wakes), 2);
	ck_assert_uint_eq(progress().log_bytes, disk_log_bytes(disk));
	restart(&stored);
	ck_assert_uint_eq(stored.entries->len, 100);
	ck_assert_uint_eq(stored.vote.term, 1);
	end(&stored);
}
END_TEST

/*
 * Guards against jobs in another order: a vote before the entries that came
 * first, or a snapshot before the entries that it covers.
 */
START_TEST(test_order)
{
	struct disk_job snap = {.has_snap = true};
	struct rep_stored stored;
	uint64_t last;

	start();
	wait_for_job(vote(1));
	set_stalled(true);
	append(1);
	wait_for_stall();
	append(2);
	vote(2);
	snap.snap.index = 2;
	snap.snap.term = 1;
	snap.snap.voters_index = 1;
	snap.snap.voters.n = 1;
	snap.snap.voters.v[0].id = 1;
	snap.snap.data = g_bytes_new("state", 5);
	disk_writer_submit(writer, &snap);
	g_bytes_unref(snap.snap.data);
	last = append(3);
	set_stalled(false);
	wait_for_job(last);
	restart(&stored);
	ck_assert_uint_eq(stored.vote.term, 2);
	ck_assert_uint_eq(stored.snap.index, 2);
	ck_assert_uint_eq(stored.entries->len, 1);
	end(&stored);
}
END_TEST

/* Guards against a success that is reported after a sync has failed. */
START_TEST(test_error)
{
	struct rep_stored stored = {0};
	uint64_t before;

	start();
	wait_for_job(before = vote(1));
	fake.fails = true;
	append(1);
	wait_for_job(vote(2));
	ck_assert_uint_eq(progress().done, before);
	ck_assert_int_eq(progress().error, -MW_EIO);
	append(2);
	g_usleep(10 * USEC_PER_MSEC);
	ck_assert_uint_eq(progress().done, before);
	fake.fails = false;
	disk_writer_free(writer);
	end(&stored);
}
END_TEST

static gint live_snaps; /* whose bytes are held */

static void count_released(gpointer unused)
{
	(void)unused;
	g_atomic_int_dec_and_test(&live_snaps);
}

static uint64_t install(uint64_t index)
{
	struct disk_job job = {.has_snap = true, .reset_log = true};
	uint64_t number;

	job.snap.index = index;
	job.snap.term = 1;
	job.snap.voters_index = 1;
	job.snap.voters.n = 1;
	job.snap.voters.v[0].id = 1;
	job.snap.data =
		g_bytes_new_with_free_func("state", 5, count_released, NULL);
	g_atomic_int_inc(&live_snaps);
	number = disk_writer_submit(writer, &job);
	g_bytes_unref(job.snap.data);
	return number;
}

/* Guards against snapshots that pile up while the disk does not return, one for
 * each change of the leader, and against votes, entries or numbers of jobs that
 * get lost with them. */
START_TEST(test_snapshots_do_not_pile_up)
{
	struct rep_stored stored;
	uint64_t last = 0, before;

	start();
	wait_for_job(before = vote(1));
	set_stalled(true);
	append(1);
	wait_for_stall();
	append(2);
	for (uint64_t i = 1; i <= 50; i++) {
		vote(1 + i);
		install(100 * i);
		last = append(100 * i + 1);
		ck_assert_int_le(g_atomic_int_get(&live_snaps), 2);
	}
	ck_assert_uint_eq(last, before + 2 + 3 * 50);
	ck_assert_uint_eq(progress().done, before);
	set_stalled(false);
	wait_for_job(last);
	ck_assert_uint_eq(progress().done, last);
	ck_assert_int_eq(g_atomic_int_get(&live_snaps), 0);
	restart(&stored);
	ck_assert_uint_eq(stored.vote.term, 51);
	ck_assert_uint_eq(stored.snap.index, 5000);
	ck_assert_uint_eq(stored.entries->len, 1);
	end(&stored);
}
END_TEST

/* Guards against a job that counts as done before the snapshot that replaced
 * its own, which a crash would then lose. */
START_TEST(test_replaced_job_is_not_done)
{
	struct rep_stored stored = {0};
	uint64_t before;

	start();
	wait_for_job(before = vote(1));
	set_stalled(true);
	append(1);
	wait_for_stall();
	vote(2);
	install(100);
	vote(3);
	install(200);
	/* The vote of term 2 is written, the snapshot is not. */
	g_mutex_lock(&fake.lock);
	fake.fail_after = fake.syncs + 3;
	g_mutex_unlock(&fake.lock);
	set_stalled(false);
	wait_for_job(UINT64_MAX);
	ck_assert_int_eq(progress().error, -MW_EIO);
	ck_assert_uint_eq(progress().done, before + 2);
	fake.fail_after = 0;
	disk_writer_free(writer);
	end(&stored);
}
END_TEST

static void *end_stall_later(void *unused)
{
	g_usleep(USEC_PER_SEC);
	set_stalled(false);
	return unused;
}

/* Guards against an end that waits for jobs that nobody was told of. */
START_TEST(test_end_drops_what_waits)
{
	struct rep_stored stored;

	start();
	wait_for_job(vote(1));
	set_stalled(true);
	append(1);
	wait_for_stall();
	vote(7);
	/* The end has to wait for the sync that has begun, and no more. */
	GThread *t = g_thread_new("later", end_stall_later, NULL);
	disk_writer_free(writer);
	g_thread_join(t);
	disk_close(disk);
	open_disk(&stored);
	ck_assert_uint_eq(stored.vote.term, 1);
	ck_assert_uint_eq(stored.entries->len, 1);
	end(&stored);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_caller_does_not_wait,
				      test_order,
				      test_error,
				      test_end_drops_what_waits,
				      test_snapshots_do_not_pile_up,
				      test_replaced_job_is_not_done};

	return check_main("disk_writer", tests, G_N_ELEMENTS(tests));
}
