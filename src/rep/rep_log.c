/*
 * The log in memory; reference counting and release of entries, snapshots,
 * messages and outputs.
 */
#include <string.h>

#include "rep/rep_int.h"
#include "rep/rep_wire.h"

struct rep_entry *rep_entry_new(uint64_t index, uint64_t term, uint32_t kind,
				const void *data, uint32_t len)
{
	struct rep_entry *e = g_atomic_rc_box_alloc(sizeof(*e) + len);

	e->index = index;
	e->term = term;
	e->kind = kind;
	e->len = len;
	if (len)
		memcpy(e->data, data, len);
	return e;
}

struct rep_entry *rep_entry_ref(struct rep_entry *e)
{
	return g_atomic_rc_box_acquire(e);
}

void rep_entry_unref(void *e)
{
	g_atomic_rc_box_release(e);
}

void rep_snap_release(struct rep_snap *s)
{
	g_clear_pointer(&s->data, g_bytes_unref);
	memset(s, 0, sizeof(*s));
}

void rep_snap_copy(struct rep_snap *to, const struct rep_snap *from)
{
	GBytes *data = from->data ? g_bytes_ref(from->data) : NULL;

	g_clear_pointer(&to->data, g_bytes_unref);
	*to = *from;
	to->data = data;
}

struct rep_msg *rep_msg_new(uint32_t type, uint32_t from, uint32_t to,
			    uint64_t term)
{
	struct rep_msg *m = g_new0(struct rep_msg, 1);

	m->type = type;
	m->from = from;
	m->to = to;
	m->term = term;
	return m;
}

void rep_msg_free(void *p)
{
	struct rep_msg *m = p;

	if (!m)
		return;
	g_clear_pointer(&m->entries, g_ptr_array_unref);
	rep_snap_release(&m->snap);
	g_free(m);
}

void rep_output_release(struct rep_output *out)
{
	rep_snap_release(&out->install);
	g_clear_pointer(&out->append, g_ptr_array_unref);
	g_clear_pointer(&out->msgs, g_ptr_array_unref);
	g_clear_pointer(&out->commit, g_ptr_array_unref);
}

void rep_stored_release(struct rep_stored *s)
{
	rep_snap_release(&s->snap);
	g_clear_pointer(&s->entries, g_ptr_array_unref);
	memset(s, 0, sizeof(*s));
}

uint64_t rep_last_index(const struct rep *r)
{
	return r->base_index + r->log->len;
}

uint64_t rep_last_term(const struct rep *r)
{
	return rep_term_at(r, rep_last_index(r));
}

struct rep_entry *rep_entry_at(const struct rep *r, uint64_t index)
{
	if (index <= r->base_index || index > rep_last_index(r))
		return NULL;
	return r->log->pdata[index - r->base_index - 1];
}

uint64_t rep_term_at(const struct rep *r, uint64_t index)
{
	struct rep_entry *e;

	if (index == r->base_index)
		return r->base_term;
	e = rep_entry_at(r, index);
	return e ? e->term : 0;
}

size_t rep_bytes_between(const struct rep *r, uint64_t after, uint64_t upto)
{
	size_t bytes = 0;

	for (uint64_t i = MAX(after, r->base_index) + 1; i <= upto; i++)
		bytes += rep_entry_at(r, i)->len;
	return bytes;
}

/*
 * Appends an entry to the log and to the output.  A voter list in it must be
 * valid.
 */
void rep_log_append(struct rep *r, struct rep_entry *e)
{
	assert(e->index == rep_last_index(r) + 1);
	assert(e->term >= rep_last_term(r) && e->term <= r->vote.term);

	g_ptr_array_add(r->log, e);
	r->log_bytes += sizeof(*e) + e->len;
	g_ptr_array_add(r->out.append, rep_entry_ref(e));
	if (e->kind == REP_ENTRY_VOTERS) {
		struct rep_voters vs;
		int err = rep_voters_unpack(e->data, e->len, &vs);

		assert(!err);
		if (!err)
			rep_set_voters(r, &vs, e->index);
	}
}

/*
 * Lowers `synced` to at most last, now and when the writes in progress
 * complete.
 */
static void lower_synced(struct rep *r, uint64_t last)
{
	r->synced = MIN(r->synced, last);
	for (guint i = 0; i < r->writes->len; i++) {
		struct rep_pending_write *w =
			&g_array_index(r->writes, struct rep_pending_write, i);
		w->last = MIN(w->last, last);
	}
}

static void remove_entries(struct rep *r, guint from, guint n)
{
	for (guint i = from; i < from + n; i++) {
		struct rep_entry *e = r->log->pdata[i];
		r->log_bytes -= sizeof(*e) + e->len;
	}
	if (n)
		g_ptr_array_remove_range(r->log, from, n);
}

/*
 * Drops the entries from index `from` on, which conflict with the leader's log.
 */
void rep_log_truncate(struct rep *r, uint64_t from)
{
	struct rep_voters vs;
	uint64_t voters_index;

	assert(from > r->commit && from > r->base_index);
	assert(r->role != REP_LEADER);
	if (from > rep_last_index(r))
		return;
	remove_entries(r, (guint)(from - r->base_index - 1),
		       (guint)(rep_last_index(r) - from + 1));
	lower_synced(r, from - 1);
	if (r->voters_index >= from) {
		rep_voters_at(r, from - 1, &vs, &voters_index);
		rep_set_voters(r, &vs, voters_index);
	}
}

/* Drops the entries up to and including index from memory. */
void rep_log_drop_to(struct rep *r, uint64_t index)
{
	uint64_t term = rep_term_at(r, index);

	if (index <= r->base_index)
		return;
	assert(index <= r->commit);
	rep_voters_at(r, index, &r->base_voters, &r->base_voters_index);
	remove_entries(r, 0, (guint)(index - r->base_index));
	r->base_index = index;
	r->base_term = term;
}

/* Empties the log; it continues after a snapshot at index. */
void rep_log_reset(struct rep *r, uint64_t index, uint64_t term)
{
	/* Entries above the commit index may differ from the leader's. */
	lower_synced(r, r->commit);
	remove_entries(r, 0, r->log->len);
	r->base_index = index;
	r->base_term = term;
}
