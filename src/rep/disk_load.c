/* Reading of the log files: all checks are made once, at the start. */
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/cleanup.h"
#include "base/err.h"
#include "base/log.h"
#include "rep/disk_int.h"
#include "rep/rep_wire.h"

struct log_files {
	GArray *segs;  /* uint64_t, ascending */
	GArray *snaps; /* uint64_t, ascending */
};

static gint cmp_u64(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static int list_files(struct disk *d, struct log_files *n)
{
	struct dirent *e;
	DIR *dir = opendir(d->dir);

	if (!dir)
		return disk_set_io_error(d, "list", ".");
	while ((e = readdir(dir))) {
		uint64_t v;

		if (g_str_has_suffix(e->d_name, ".tmp")) {
			unlinkat(d->dir_fd, e->d_name, 0);
		} else if (g_str_has_prefix(e->d_name, "log-")) {
			v = g_ascii_strtoull(e->d_name + 4, NULL, 10);
			g_array_append_val(n->segs, v);
		} else if (g_str_has_prefix(e->d_name, "snap-")) {
			v = g_ascii_strtoull(e->d_name + 5, NULL, 16);
			g_array_append_val(n->snaps, v);
		}
	}
	closedir(dir);
	g_array_sort(n->segs, cmp_u64);
	g_array_sort(n->snaps, cmp_u64);
	return 0;
}

/*
 * Reads a file into *data, to be freed by the caller.  An absent file gives 0
 * with *data NULL.
 */
static int read_file(struct disk *d, const char *name, char **data, gsize *len)
{
	g_autofree char *path = disk_path(d, name);
	g_autoptr(GError) e = NULL;

	*data = NULL;
	if (g_file_get_contents(path, data, len, &e) ||
	    g_error_matches(e, G_FILE_ERROR, G_FILE_ERROR_NOENT))
		return 0;
	g_snprintf(d->error, sizeof(d->error), "%s", e->message);
	return -MW_EIO;
}

/* Checks the magic at the start of a file and the hash at its end. */
static int check_file(struct disk *d, const char *name, const char *data,
		      gsize len, gsize min, const char *magic)
{
	if (len < min)
		return disk_set_corrupt(d, name, len, "file too short");
	if (memcmp(data, magic, 8) != 0)
		return disk_set_corrupt(d, name, 0,
					"unknown file type or version");
	if (get_u64(data + len - 8) != XXH64(data, len - 8, 0))
		return disk_set_corrupt(d, name, 0, "checksum mismatch");
	return 0;
}

static int load_vote(struct disk *d, bool required, struct rep_vote *v)
{
	g_autofree char *data = NULL;
	gsize len;
	int err = read_file(d, "vote", &data, &len);

	if (err)
		return err;
	if (!data)
		return required ? disk_set_corrupt(d, "vote", 0, "file missing")
				: 0;
	err = check_file(d, "vote", data, len, 40, "mwvote\0\1");
	if (err)
		return err;
	if (len != 40)
		return disk_set_corrupt(d, "vote", 40, "file too long");
	v->id = get_u32(data + 8);
	v->vote = get_u32(data + 12);
	v->term = get_u64(data + 16);
	v->joined = get_u64(data + 24);
	return 0;
}

/*
 * Whether no record was ever written.  The first segment is created before the
 * vote is saved, so a process that failed or was killed in between leaves it
 * without a vote, and perhaps with a part of its header.
 */
static bool is_new(const struct disk *d, const struct log_files *n)
{
	struct stat st;
	char name[32];

	if (n->snaps->len || n->segs->len > 1)
		return false;
	if (!n->segs->len)
		return true;
	disk_seg_name(1, name);
	return g_array_index(n->segs, uint64_t, 0) == 1 &&
	       fstatat(d->dir_fd, name, &st, 0) == 0 &&
	       st.st_size <= SEG_HEADER;
}

static int load_snap(struct disk *d, uint64_t index, struct rep_snap *s)
{
	g_autofree char *data = NULL;
	char name[32];
	gsize len;
	uint64_t n_voters, n_data;
	int err;

	disk_snap_name(index, name);
	err = read_file(d, name, &data, &len);
	if (err)
		return err;
	err = check_file(d, name, data, len, 56, "mwsnap\0\1");
	if (err)
		return err;
	n_voters = get_u64(data + 32);
	n_data = get_u64(data + 40);
	if (get_u64(data + 8) != index || n_voters > len || n_data > len ||
	    56 + n_voters + n_data != len ||
	    rep_voters_unpack(data + 48, n_voters, &s->voters))
		return disk_set_corrupt(d, name, 8,
					"inconsistent lengths or index");
	s->index = index;
	s->term = get_u64(data + 16);
	s->voters_index = get_u64(data + 24);
	s->data = g_bytes_new(data + 48 + n_voters, n_data);
	return 0;
}

enum rec_state { REC_OK, REC_TRUNCATED, REC_CORRUPT };

/* Reads the record at an offset; sets r->entry only if build_entry is set. */
static enum rec_state read_record(const char *data, gsize size, uint64_t number,
				  uint64_t off, bool build_entry,
				  struct disk_rec *r)
{
	uint64_t seed = record_hash_seed(number, off), left = size - off;
	const char *p = data + off;
	char head[12];
	uint32_t len;

	if (left < REC_HEADER)
		return REC_TRUNCATED;
	len = get_u32(p);
	memcpy(head, p, 4);
	memcpy(head + 4, p + 8, 8);
	if (len < REC_FIXED_PAYLOAD ||
	    len > REC_FIXED_PAYLOAD + REP_MAX_ENTRY ||
	    get_u32(p + 4) != (uint32_t)XXH64(head, sizeof(head), seed))
		return REC_CORRUPT;
	if (left < REC_HEADER + len)
		return REC_TRUNCATED;
	if (get_u64(p + 16) != XXH64(p + REC_HEADER, len, seed))
		return REC_CORRUPT;
	r->synced = get_u64(p + 8);
	r->size = REC_HEADER + len;
	p += REC_HEADER;
	if (build_entry)
		r->entry = rep_entry_new(get_u64(p), get_u64(p + 8),
					 get_u32(p + 16), p + REC_FIXED_PAYLOAD,
					 len - REC_FIXED_PAYLOAD);
	return REC_OK;
}

/*
 * Looks for a sector that was allocated but not written, which reads as zeros.
 */
static bool has_unwritten_sector(const char *data, gsize size, uint64_t off)
{
	static const char zero[SECTOR];

	for (uint64_t from = off; from < size;) {
		uint64_t to = MIN((from / SECTOR + 1) * SECTOR, size);

		/* A shorter run of zeros may be part of a record. */
		if (to - from >= 16 && !memcmp(data + from, zero, to - from))
			return true;
		from = to;
	}
	return false;
}

/*
 * Returns whether the invalid record at an offset of the newest segment can
 * result from a crash during an unsynced write.  It cannot if a later record
 * states that the offset was synced, or if the record was written completely.
 */
static bool is_torn(const char *data, gsize size, uint64_t number, uint64_t off,
		    enum rec_state state)
{
	struct disk_rec r;

	for (uint64_t p = off + 1; p + REC_HEADER + REC_FIXED_PAYLOAD <= size;
	     p++)
		if (read_record(data, size, number, p, false, &r) == REC_OK &&
		    r.synced > off)
			return false;
	return state == REC_TRUNCATED || has_unwritten_sector(data, size, off);
}

/* The log as read so far: the entries from base + 1 on. */
struct log_scan {
	uint64_t base;
	GPtrArray *entries;
};

static uint64_t scan_last(const struct log_scan *s)
{
	return s->base + s->entries->len;
}

static int add_entry(struct disk *d, struct log_scan *s, const char *name,
		     uint64_t off, struct rep_entry *e)
{
	if (!e->index || e->index > scan_last(s) + 1) {
		rep_entry_unref(e);
		return disk_set_corrupt(d, name, off, "index out of order");
	}
	if (e->index <= s->base) {
		/* It replaces entries that were in a deleted segment. */
		g_ptr_array_set_size(s->entries, 0);
		s->base = e->index - 1;
	}
	g_ptr_array_set_size(s->entries, (gint)(e->index - s->base - 1));
	g_ptr_array_add(s->entries, e);
	return 0;
}

/*
 * Reads the records of a segment.  *end is the offset of a torn record, or the
 * size.
 */
static int scan_records(struct disk *d, struct log_scan *s, const char *name,
			const char *data, gsize size, struct disk_seg *seg,
			bool newest, uint64_t *end)
{
	uint64_t off = SEG_HEADER;

	while (off < size) {
		struct disk_rec r = {0};
		enum rec_state state =
			read_record(data, size, seg->number, off, true, &r);
		int err;

		if (state != REC_OK) {
			if (!newest ||
			    !is_torn(data, size, seg->number, off, state))
				return disk_set_corrupt(
					d, name, off,
					"record checksum mismatch");
			log_warn(
				"disk",
				"%s: truncating torn record at offset %" PRIu64,
				name, off);
			break;
		}
		seg->max_index = MAX(seg->max_index, r.entry->index);
		err = add_entry(d, s, name, off, r.entry);
		if (err)
			return err;
		off += r.size;
	}
	*end = off;
	return 0;
}

/*
 * Opens the newest segment for appending, truncates a torn record at its end
 * and syncs the rest.
 */
static int reopen_newest(struct disk *d, const char *name, gsize size,
			 uint64_t end)
{
	d->log_fd = openat(d->dir_fd, name, O_WRONLY | O_APPEND | O_CLOEXEC);
	if (d->log_fd < 0)
		return disk_set_io_error(d, "open", name);
	if (end < size && ftruncate(d->log_fd, (off_t)end))
		return disk_set_io_error(d, "truncate", name);
	if (fsync(d->log_fd))
		return disk_set_io_error(d, "sync", name);
	d->synced = end;
	return 0;
}

static int scan_segment(struct disk *d, struct log_scan *s, uint64_t number,
			bool newest)
{
	struct disk_seg seg = {.number = number};
	g_autofree char *data = NULL;
	uint64_t base;
	char name[32];
	gsize size;
	int err;

	disk_seg_name(number, name);
	err = read_file(d, name, &data, &size);
	if (err)
		return err;
	/* The header is synced before the first record is written. */
	if (newest &&
	    (size < SEG_HEADER ||
	     (size == SEG_HEADER && has_unwritten_sector(data, size, 0))))
		return disk_unlink(d, name);
	err = check_file(d, name, data, MIN(size, SEG_HEADER), SEG_HEADER,
			 SEG_MAGIC);
	if (err)
		return err;
	base = get_u64(data + 16);
	if (get_u64(data + 24) & SEG_RESET || !d->segs->len) {
		g_ptr_array_set_size(s->entries, 0);
		s->base = base;
	}
	if (get_u64(data + 8) != number || base != scan_last(s))
		return disk_set_corrupt(d, name, 8,
					"wrong segment number or base index");
	err = scan_records(d, s, name, data, size, &seg, newest, &seg.bytes);
	if (!err && newest)
		err = reopen_newest(d, name, size, seg.bytes);
	g_array_append_val(d->segs, seg);
	return err;
}

static int scan_segments(struct disk *d, struct log_scan *s,
			 const GArray *numbers)
{
	char name[32];

	for (guint i = 0; i < numbers->len; i++) {
		uint64_t number = g_array_index(numbers, uint64_t, i);
		int err;

		if (i &&
		    number != g_array_index(numbers, uint64_t, i - 1) + 1) {
			disk_seg_name(number - 1, name);
			return disk_set_corrupt(d, name, 0, "segment missing");
		}
		err = scan_segment(d, s, number, i + 1 == numbers->len);
		if (err)
			return err;
	}
	return 0;
}

/*
 * Drops the entries that the snapshot covers, or the whole log if it does not
 * contain the last entry of the snapshot.
 */
static int reconcile_snap(struct disk *d, struct log_scan *s,
			  const struct rep_snap *snap)
{
	bool contains_snap = scan_last(s) >= snap->index;
	guint n;
	int err;

	if (s->base > snap->index)
		return disk_set_corrupt(
			d, "log", 0,
			"entries between snapshot and log are missing");
	n = (guint)(snap->index - s->base);
	if (contains_snap && n) {
		struct rep_entry *e = s->entries->pdata[n - 1];
		contains_snap = e->term == snap->term;
	}
	d->last_index = scan_last(s);
	if (contains_snap && n)
		g_ptr_array_remove_range(s->entries, 0, n);
	if (contains_snap)
		return d->log_fd >= 0 ? 0
				      : disk_start_seg(d, d->last_index, false);
	/*
	 * The process crashed after it saved a received snapshot and before it
	 * reset the log.
	 */
	g_ptr_array_set_size(s->entries, 0);
	n = d->segs->len;
	err = disk_start_seg(d, snap->index, true);
	return err ? err : disk_delete_oldest_segs(d, n);
}

int disk_load(struct disk *d, struct rep_stored *stored)
{
	struct log_files n = {g_array_new(FALSE, FALSE, sizeof(uint64_t)),
			      g_array_new(FALSE, FALSE, sizeof(uint64_t))};
	struct log_scan s = {0,
			     g_ptr_array_new_with_free_func(rep_entry_unref)};
	char name[32];
	int err;

	memset(stored, 0, sizeof(*stored));
	err = list_files(d, &n);
	if (!err)
		err = load_vote(d, !is_new(d, &n), &stored->vote);
	for (guint i = 0; !err && i < n.snaps->len; i++) {
		uint64_t index = g_array_index(n.snaps, uint64_t, i);

		if (i + 1 == n.snaps->len) {
			err = load_snap(d, index, &stored->snap);
		} else {
			disk_snap_name(index, name);
			err = disk_unlink(d, name);
		}
	}
	d->snap_index = stored->snap.index;
	if (!err)
		err = scan_segments(d, &s, n.segs);
	if (!err)
		err = reconcile_snap(d, &s, &stored->snap);
	stored->entries = s.entries;
	g_array_unref(n.segs);
	g_array_unref(n.snaps);
	if (err)
		rep_stored_release(stored);
	return err;
}
