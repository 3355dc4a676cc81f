#include "rep/disk_writer.h"

#include <signal.h>

#include "base/list.h"

struct queued_job {
	struct list node;
	struct disk_job job;
	uint64_t n; /* submitted jobs that it stands for */
};

struct disk_writer {
	struct disk *disk; /* used by the thread only */
	void (*wake)(void *ctx);
	void *ctx;
	GThread *thread;

	GMutex lock; /* protects what follows */
	GCond changed;
	struct list jobs; /* not begun yet */
	uint64_t submitted;
	struct disk_progress progress;
	bool stopping;
};

static void queued_job_free(struct queued_job *q)
{
	list_del(&q->node);
	g_clear_pointer(&q->job.append, g_ptr_array_unref);
	rep_snap_release(&q->job.snap);
	g_free(q);
}

static void free_jobs(struct list *jobs)
{
	while (!list_empty(jobs))
		queued_job_free(list_first(jobs, struct queued_job, node));
}

/* Carries out a job up to the sync of its entries. */
static int write_job(struct disk *d, const struct disk_job *job)
{
	int r = 0;

	if (job->save_vote)
		r = disk_save_vote(d, &job->vote);
	if (r == 0 && job->has_snap)
		r = disk_save_snapshot(d, &job->snap, job->reset_log);
	if (r == 0 && job->append && job->append->len)
		r = disk_append(d,
				(struct rep_entry *const *)job->append->pdata,
				job->append->len);
	return r;
}

static int write_jobs(struct disk *d, struct list *jobs)
{
	struct queued_job *q;

	list_for_each_entry (q, jobs, node) {
		int r = write_job(d, &q->job);
		if (r < 0)
			return r;
	}
	return disk_sync(d);
}

/*
 * Takes the jobs that share the next sync: the first one, and those after it
 * that only append.  A vote is not kept waiting by what comes after it.
 */
static uint64_t take_jobs(struct disk_writer *w, struct list *jobs)
{
	uint64_t n = 0;

	while (!list_empty(&w->jobs)) {
		struct queued_job *q =
			list_first(&w->jobs, struct queued_job, node);

		if (n && (q->job.save_vote || q->job.has_snap))
			break;
		list_del(&q->node);
		list_add_tail(jobs, &q->node);
		n += q->n;
		if (q->job.save_vote)
			break;
	}
	return n;
}

static void *run(void *data)
{
	struct disk_writer *w = data;

	g_mutex_lock(&w->lock);
	while (!w->stopping && !w->progress.error) {
		struct list jobs = LIST_INIT(jobs);
		uint64_t n = take_jobs(w, &jobs);

		if (!n) {
			g_cond_wait(&w->changed, &w->lock);
			continue;
		}
		g_mutex_unlock(&w->lock);
		int r = write_jobs(w->disk, &jobs);
		uint64_t log_bytes = disk_log_bytes(w->disk);
		free_jobs(&jobs);
		g_mutex_lock(&w->lock);
		w->progress.log_bytes = log_bytes;
		w->progress.error = r;
		if (r == 0)
			w->progress.done += n;
		w->wake(w->ctx);
	}
	g_mutex_unlock(&w->lock);
	return NULL;
}

struct disk_writer *disk_writer_new(struct disk *d, void (*wake)(void *ctx),
				    void *ctx)
{
	struct disk_writer *w = g_new0(struct disk_writer, 1);
	sigset_t all, before;

	w->disk = d;
	w->wake = wake;
	w->ctx = ctx;
	w->progress.log_bytes = disk_log_bytes(d);
	g_mutex_init(&w->lock);
	g_cond_init(&w->changed);
	list_init(&w->jobs);
	/* Signals are handled by the thread of the event loop. */
	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &before);
	w->thread = g_thread_new("disk", run, w);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	return w;
}

void disk_writer_free(struct disk_writer *w)
{
	if (!w)
		return;
	g_mutex_lock(&w->lock);
	w->stopping = true;
	g_cond_signal(&w->changed);
	g_mutex_unlock(&w->lock);
	g_thread_join(w->thread);
	free_jobs(&w->jobs);
	g_cond_clear(&w->changed);
	g_mutex_clear(&w->lock);
	g_free(w);
}

/*
 * Lets a job that replaces the log stand for those from the first snapshot on
 * that waits.  Else each new leader adds a snapshot while the disk does not
 * return.  They are done only with it, and the newest vote is saved before its
 * snapshot, as it would have been.
 */
static void replace_waiting(struct disk_writer *w, struct queued_job *newer)
{
	struct queued_job *q, *tmp;
	bool replaced = false, has_own_vote = newer->job.save_vote;

	list_for_each_entry_safe (q, tmp, &w->jobs, node) {
		replaced |= q->job.has_snap;
		if (!replaced)
			continue;
		if (q->job.save_vote && !has_own_vote) {
			newer->job.save_vote = true;
			newer->job.vote = q->job.vote;
		}
		newer->n += q->n;
		queued_job_free(q);
	}
}

uint64_t disk_writer_submit(struct disk_writer *w, const struct disk_job *job)
{
	struct queued_job *q = g_new0(struct queued_job, 1);
	uint64_t number;

	q->job = *job;
	q->n = 1;
	q->job.snap.data = NULL;
	if (job->has_snap)
		q->job.snap.data = g_bytes_ref(job->snap.data);
	if (job->append)
		q->job.append = g_ptr_array_ref(job->append);
	g_mutex_lock(&w->lock);
	if (job->has_snap && job->reset_log)
		replace_waiting(w, q);
	list_add_tail(&w->jobs, &q->node);
	number = ++w->submitted;
	g_cond_signal(&w->changed);
	g_mutex_unlock(&w->lock);
	return number;
}

void disk_writer_progress(struct disk_writer *w, struct disk_progress *p)
{
	g_mutex_lock(&w->lock);
	*p = w->progress;
	g_mutex_unlock(&w->lock);
}
