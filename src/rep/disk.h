#ifndef REP_DISK_H
#define REP_DISK_H

#include <stddef.h>
#include <stdint.h>

#include "rep/rep.h"

/*
 * Storage of the replicated log, as files in one folder:
 *
 *    lock          locked with flock while the folder is open
 *    vote          struct rep_vote; replaced atomically
 *    log-NNNNNNNN  segments of log records, numbered without gaps
 *    snap-INDEX    newest snapshot, index in hexadecimal
 *
 * Functions return 0 or a negative error number, and disk_error gives the
 * reason.  After an error of a function that writes or syncs, the folder must
 * not be used further and the caller ends the process: the kernel may have
 * dropped the dirty pages of a failed sync, so the success of a second sync
 * would prove nothing.
 */
struct disk;

/*
 * Opens and locks the folder, creating it if it is absent.  *d is set even on
 * failure, so that disk_error can be called; call disk_close in either case.
 * Returns -MW_EAGAIN if another process has the folder open, -MW_EIO on any
 * other error.
 */
int disk_open(const char *dir, struct disk **d);
void disk_close(struct disk *d);

/*
 * Reads vote, snapshot and log and prepares for appending; must be called once,
 * before any write.  A record at the end of the log that was torn by a crash is
 * truncated.  Other damage gives -MW_ECORRUPT, with file and offset in
 * disk_error.  On success the caller frees *stored with rep_stored_release.
 */
int disk_load(struct disk *d, struct rep_stored *stored);

/*
 * Writes entries without syncing.  An entry whose index is already in the log
 * replaces it and all later entries; entries that the snapshot covers are
 * skipped.  Returns -MW_EINVAL if an index would leave a gap or an entry is
 * larger than REP_MAX_ENTRY.
 */
int disk_append(struct disk *d, struct rep_entry *const *entries, size_t n);

/* Syncs all entries written by disk_append. */
int disk_sync(struct disk *d);

/* Replaces the vote file; durable on return. */
int disk_save_vote(struct disk *d, const struct rep_vote *vote);

/*
 * Saves a snapshot durably and deletes the previous one and the log segments
 * that it covers.  With reset_log all entries are dropped.
 */
int disk_save_snapshot(struct disk *d, const struct rep_snap *snap,
		       bool reset_log);

/* Message of the last error, with file, offset and reason. */
const char *disk_error(const struct disk *d);

/* Total size of the log segments in bytes. */
uint64_t disk_log_bytes(const struct disk *d);

/* Sets the size from which on a new segment is started; for tests. */
void disk_set_segment_bytes(struct disk *d, uint64_t bytes);

/* Returns a random id for a voter with a new disk, at least 1000000. */
uint32_t disk_new_voter_id(void);

#endif
