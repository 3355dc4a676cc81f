#ifndef REP_DISK_WRITER_H
#define REP_DISK_WRITER_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "rep/disk.h"
#include "rep/rep.h"

/*
 * Writes to the folder of a replicated log in a thread of its own.  A sync may
 * take seconds on a busy disk; the thread of the event loop must go on
 * meanwhile, or the process sends no heartbeat and acknowledges none.
 *
 * Jobs are carried out in the order of their submission and numbered from 1 on.
 * Appends that wait together share one sync.  A snapshot that replaces the log
 * is written instead of a snapshot that waits and what was submitted between
 * them, so that at most one such snapshot waits.  Between disk_writer_new() and
 * disk_writer_free() the disk belongs to the thread; all functions here are
 * called by the thread that created the writer.
 */
struct disk_writer;

/* What is written by one job, in this order; then all of it is synced. */
struct disk_job {
	bool save_vote;
	struct rep_vote vote;
	bool has_snap; /* saved with reset_log as disk_save_snapshot() does */
	bool reset_log;
	struct rep_snap snap;
	GPtrArray *append; /* struct rep_entry *, or NULL */
};

/* Progress as of one moment. */
struct disk_progress {
	uint64_t done; /* all jobs up to this one are durable */
	int error; /* of the job after `done`, which ended the thread, or 0 */
	uint64_t log_bytes; /* disk_log_bytes() */
};

/*
 * Starts the thread.  It calls wake(ctx) after each progress; wake must be safe
 * to call from another thread (ev_async_send() is).
 */
struct disk_writer *disk_writer_new(struct disk *d, void (*wake)(void *ctx),
				    void *ctx);

/*
 * Waits for the write that has begun and drops the jobs that have not.  The
 * caller closes the disk.  NULL is allowed.
 */
void disk_writer_free(struct disk_writer *w);

/* Takes own references to what the job holds; returns the job's number. */
uint64_t disk_writer_submit(struct disk_writer *w, const struct disk_job *job);

void disk_writer_progress(struct disk_writer *w, struct disk_progress *p);

#endif
