#ifndef REP_DISK_INT_H
#define REP_DISK_INT_H

#include <endian.h>
#include <string.h>

#include "base/buf.h"
#include "rep/disk.h"

/*
 * File formats.  Numbers are little endian with their width in bits; hashes are
 * xxhash64.
 *
 * vote: magic[8] id:32 vote:32 term:64 joined:64 hash:64
 *
 * Snapshot: magic[8] index:64 term:64 voters_index:64 voters_len:64
 *           data_len:64, then the voter list, the data and hash:64.
 *
 * Segment: a header, then records.
 *   header  magic[8] number:64 base:64 flags:64 hash:64
 *   record  len:32 check:32 synced:64 hash:64, then len bytes of payload:
 *           index:64 term:64 kind:32 data
 * `base` is the last index of the log before the segment.  `synced` is the
 * number of bytes of this segment that were synced when the record was written;
 * it distinguishes a torn write from damage to synced data.  `check` covers len
 * and synced, `hash` covers the payload.  Both are seeded with segment number
 * and offset, so that a block written to the wrong place is detected.
 */
#define SEG_MAGIC "mwlog\0\0\1"
#define SEG_HEADER 40	     /* bytes */
#define SEG_RESET 1	     /* entries of earlier segments are discarded */
#define REC_HEADER 24	     /* bytes */
#define REC_FIXED_PAYLOAD 20 /* bytes of index, term and kind */
#define SECTOR 512	     /* bytes */

struct disk_seg {
	uint64_t number;
	uint64_t max_index; /* highest index in its records */
	uint64_t bytes;
};

struct disk {
	char *dir;
	int dir_fd, lock_fd, log_fd;
	/* struct disk_seg, oldest first; the last is written to */
	GArray *segs;
	uint64_t synced;     /* synced bytes of the newest segment */
	uint64_t last_index; /* last index of the log */
	uint64_t snap_index;
	uint64_t max_seg_bytes;
	char error[256];
};

struct disk_rec {
	struct rep_entry *entry;
	uint64_t synced;
	size_t size;
};

static inline uint64_t get_u64(const void *p)
{
	uint64_t v;

	memcpy(&v, p, sizeof(v));
	return le64toh(v);
}

static inline uint32_t get_u32(const void *p)
{
	uint32_t v;

	memcpy(&v, p, sizeof(v));
	return le32toh(v);
}

static inline void put_u64(struct buf *b, uint64_t v)
{
	v = htole64(v);
	buf_add(b, &v, sizeof(v));
}

static inline void put_u32(struct buf *b, uint32_t v)
{
	v = htole32(v);
	buf_add(b, &v, sizeof(v));
}

static inline uint64_t record_hash_seed(uint64_t number, uint64_t off)
{
	return number << 40 ^ off;
}

/* Set the message for disk_error and return -MW_EIO or -MW_ECORRUPT. */
int disk_set_io_error(struct disk *d, const char *what, const char *name);
int disk_set_corrupt(struct disk *d, const char *name, uint64_t off,
		     const char *why);

char *disk_path(const struct disk *d, const char *name);
void disk_seg_name(uint64_t number, char name[32]);
void disk_snap_name(uint64_t index, char name[32]);
int disk_unlink(struct disk *d, const char *name);
/*
 * Syncs the newest segment and starts a new one after `base`.  With reset, the
 * new segment discards all earlier entries.
 */
int disk_start_seg(struct disk *d, uint64_t base, bool reset);
int disk_delete_oldest_segs(struct disk *d, guint n);

#endif
