#include "rep/rep_wire.h"

#include <string.h>

#include "base/err.h"
#include "rep/quorum.h"

/* Limit of indexes, terms and times, so that sums of them cannot overflow. */
#define MAX_WIRE_VALUE (UINT64_C(1) << 62)

static Mw__RepVoter *voter_to_wire(const struct rep_voter *v)
{
	Mw__RepVoter *w = g_new(Mw__RepVoter, 1);

	mw__rep_voter__init(w);
	w->id = v->id;
	w->addr = (char *)v->addr;
	w->learner = v->learner || v->side == REP_SIDE_INCOMING;
	w->replaces = v->replaces;
	return w;
}

/*
 * A joint list is written as the list before it, with the row of the learner
 * that replaces a voter twice.  Versions without joint lists refuse a list that
 * has an id twice.
 */
static Mw__RepVoter **voters_to_wire(const struct rep_voters *vs, size_t *n)
{
	Mw__RepVoter **w = g_new0(Mw__RepVoter *, vs->n + 1);

	*n = 0;
	for (uint32_t i = 0; i < vs->n; i++)
		w[(*n)++] = voter_to_wire(&vs->v[i]);
	for (uint32_t i = 0; i < vs->n; i++)
		if (vs->v[i].side == REP_SIDE_INCOMING)
			w[(*n)++] = voter_to_wire(&vs->v[i]);
	return w;
}

static void voters_free(Mw__RepVoter **w, size_t n)
{
	for (size_t i = 0; i < n; i++)
		g_free(w[i]);
	g_free(w);
}

/* Makes a list joint by the second row of a learner. */
static bool join_by_row(struct rep_voters *vs, const Mw__RepVoter *w)
{
	const struct rep_voter *v = rep_voter_find(vs, w->id);

	if (!v->learner || !w->learner || v->replaces != w->replaces ||
	    strcmp(v->addr, w->addr) != 0 || !rep_is_voter(vs, v->replaces))
		return false;
	quorum_join(vs, v->id);
	return true;
}

static bool voters_from_wire(Mw__RepVoter *const *w, size_t n,
			     struct rep_voters *vs)
{
	memset(vs, 0, sizeof(*vs));
	if (n > REP_MAX_VOTERS)
		return false;
	for (size_t i = 0; i < n; i++) {
		struct rep_voter *v = &vs->v[vs->n];

		if (i && i + 1 == n && rep_voter_find(vs, w[i]->id))
			return join_by_row(vs, w[i]);
		if (!w[i]->id || rep_voter_find(vs, w[i]->id) ||
		    strlen(w[i]->addr) >= REP_ADDR_SIZE)
			return false;
		v->id = w[i]->id;
		v->learner = w[i]->learner;
		v->replaces = w[i]->replaces;
		g_strlcpy(v->addr, w[i]->addr, sizeof(v->addr));
		vs->n++;
	}
	return true;
}

void rep_voters_pack(const struct rep_voters *vs, GByteArray *out)
{
	Mw__RepVoters w = MW__REP_VOTERS__INIT;

	w.voters = voters_to_wire(vs, &w.n_voters);
	g_byte_array_set_size(out, (guint)mw__rep_voters__get_packed_size(&w));
	mw__rep_voters__pack(&w, out->data);
	voters_free(w.voters, w.n_voters);
}

int rep_voters_unpack(const void *data, size_t len, struct rep_voters *vs)
{
	Mw__RepVoters *w = mw__rep_voters__unpack(NULL, len, data);
	bool ok = w && w->n_voters &&
		  voters_from_wire(w->voters, w->n_voters, vs);

	if (w)
		mw__rep_voters__free_unpacked(w, NULL);
	return ok ? 0 : -MW_ECORRUPT;
}

/* Field `learner` of these has another meaning: reads_joint. */
static bool is_reply(uint32_t type)
{
	return type == REP_APPEND_REPLY || type == REP_SNAP_REPLY;
}

Mw__RepMsg *rep_wire_from_msg(const struct rep_msg *m)
{
	Mw__RepMsg *w = g_new(Mw__RepMsg, 1);

	mw__rep_msg__init(w);
	w->type = m->type;
	w->from = m->from;
	w->to = m->to;
	w->term = m->term;
	w->prev_index = m->prev_index;
	w->prev_term = m->prev_term;
	w->commit = m->commit;
	w->match = m->match;
	w->ok = m->ok;
	w->learner = is_reply(m->type) ? m->reads_joint : m->learner;
	w->sent_us = (uint64_t)m->sent_us;
	w->snap_index = m->snap.index;
	w->snap_term = m->snap.term;
	w->snap_voters_index = m->snap.voters_index;
	w->snap_off = m->snap_off;
	w->snap_len = m->snap_len;
	if (m->snap.data) {
		gsize len;
		w->snap_data.data =
			(uint8_t *)g_bytes_get_data(m->snap.data, &len);
		w->snap_data.len = len;
	}
	if (m->snap.voters.n)
		w->voters = voters_to_wire(&m->snap.voters, &w->n_voters);
	if (!m->entries)
		return w;
	w->n_entries = m->entries->len;
	w->entries = g_new(Mw__RepEntry *, w->n_entries + 1);
	for (size_t i = 0; i < w->n_entries; i++) {
		struct rep_entry *e = m->entries->pdata[i];
		Mw__RepEntry *we = g_new(Mw__RepEntry, 1);

		mw__rep_entry__init(we);
		we->index = e->index;
		we->term = e->term;
		we->kind = e->kind;
		we->data.data = e->data;
		we->data.len = e->len;
		w->entries[i] = we;
	}
	return w;
}

void rep_wire_free(Mw__RepMsg *w)
{
	voters_free(w->voters, w->n_voters);
	for (size_t i = 0; i < w->n_entries; i++)
		g_free(w->entries[i]);
	g_free(w->entries);
	g_free(w);
}

static bool entries_from_wire(const Mw__RepMsg *w, struct rep_msg *m)
{
	uint64_t index = w->prev_index;
	size_t bytes = 0;

	if (w->n_entries > REP_MAX_BATCH_ENTRIES)
		return false;
	if (!w->n_entries)
		return true;
	m->entries = g_ptr_array_new_with_free_func(rep_entry_unref);
	for (size_t i = 0; i < w->n_entries; i++) {
		const Mw__RepEntry *e = w->entries[i];

		/* The limit may be exceeded by the last entry only. */
		if (bytes >= REP_MAX_BATCH || e->data.len > REP_MAX_ENTRY ||
		    e->index != ++index || !e->term || e->term > w->term ||
		    e->kind < REP_ENTRY_NOOP || e->kind > REP_ENTRY_VOTERS)
			return false;
		bytes += e->data.len;
		g_ptr_array_add(m->entries,
				rep_entry_new(e->index, e->term, e->kind,
					      e->data.data,
					      (uint32_t)e->data.len));
	}
	return true;
}

static bool snap_from_wire(const Mw__RepMsg *w, struct rep_msg *m)
{
	if (w->snap_data.len > REP_CHUNK || w->snap_len > REP_MAX_SNAPSHOT ||
	    w->snap_off > w->snap_len ||
	    !voters_from_wire(w->voters, w->n_voters, &m->snap.voters))
		return false;
	m->snap.index = w->snap_index;
	m->snap.term = w->snap_term;
	m->snap.voters_index = w->snap_voters_index;
	m->snap_off = w->snap_off;
	m->snap_len = w->snap_len;
	if (w->type != REP_SNAP)
		return !w->snap_data.len && !w->n_voters;
	m->snap.data = g_bytes_new(w->snap_data.data, w->snap_data.len);
	/*
	 * Term 0 is reserved: rep_term_at returns it for an entry that is not
	 * in memory.
	 */
	return w->n_voters && w->snap_index && w->snap_term &&
	       w->snap_voters_index <= w->snap_index &&
	       w->snap_term <= w->term &&
	       w->snap_data.len <= w->snap_len - w->snap_off;
}

struct rep_msg *rep_wire_to_msg(const Mw__RepMsg *w)
{
	struct rep_msg *m;

	if (!w->type || w->type >= REP_MSG_TYPE_END || !w->from ||
	    w->term > MAX_WIRE_VALUE || w->prev_index > MAX_WIRE_VALUE ||
	    w->prev_term > w->term || w->commit > MAX_WIRE_VALUE ||
	    w->match > MAX_WIRE_VALUE || w->sent_us > MAX_WIRE_VALUE ||
	    w->snap_index > MAX_WIRE_VALUE ||
	    (w->n_entries && w->type != REP_APPEND))
		return NULL;
	m = rep_msg_new(w->type, w->from, w->to, w->term);
	m->prev_index = w->prev_index;
	m->prev_term = w->prev_term;
	m->commit = w->commit;
	m->match = w->match;
	m->ok = w->ok;
	*(is_reply(w->type) ? &m->reads_joint : &m->learner) = w->learner;
	m->sent_us = (int64_t)w->sent_us;
	if (!entries_from_wire(w, m) || !snap_from_wire(w, m)) {
		rep_msg_free(m);
		return NULL;
	}
	return m;
}
