/* Transfer of snapshots in chunks, with one unacknowledged chunk at a time. */
#include <string.h>

#include "rep/rep_int.h"

void rep_peer_start_snap(struct rep *r, struct rep_peer *p)
{
	assert(r->snap.index >= r->base_index);
	p->state = PEER_SNAP;
	p->n_inflight = 0;
	p->snap_off = 0;
	p->chunk_sent = false;
	rep_snap_copy(&p->snap, &r->snap);
}

void rep_peer_stop_snap(struct rep_peer *p)
{
	rep_snap_release(&p->snap);
	p->chunk_sent = false;
}

void rep_send_chunk(struct rep *r, struct rep_peer *p)
{
	struct rep_msg *m = rep_msg_to(r, REP_SNAP, p->id);
	size_t total = g_bytes_get_size(p->snap.data);
	size_t len = MIN(total - p->snap_off, r->cfg.chunk);

	m->learner = !rep_is_voter(&r->voters, p->id);
	m->commit = r->commit;
	m->sent_us = r->now;
	m->snap = p->snap;
	m->snap.data = g_bytes_new_from_bytes(p->snap.data, p->snap_off, len);
	m->snap_off = p->snap_off;
	m->snap_len = total;
	rep_send(r, m);
	p->chunk_sent = true;
	p->chunk_sent_us = r->now;
}

void rep_on_snap_reply(struct rep *r, const struct rep_msg *m)
{
	struct rep_peer *p = rep_peer_find(r, m->from);

	if (r->role != REP_LEADER || !p)
		return;
	p->reads_joint = m->reads_joint;
	if (m->sent_us <= r->now)
		p->acked_send_us = MAX(p->acked_send_us, m->sent_us);
	/*
	 * The reply to a chunk that was sent again counts if the receiver has
	 * more by it: on a slow link all replies may be later than that.  A
	 * lower offset than ours, as the receiver has started over, counts only
	 * in the reply to the newest chunk.
	 */
	if (p->state != PEER_SNAP || m->snap.index != p->snap.index ||
	    m->snap_off > g_bytes_get_size(p->snap.data) ||
	    (m->snap_off <= p->snap_off &&
	     (!p->chunk_sent || m->sent_us != p->chunk_sent_us)))
		return;
	if (m->snap_off == g_bytes_get_size(p->snap.data))
		/* complete; an append reply follows once it is synced */
		return;
	p->snap_off = m->snap_off;
	p->chunk_sent = false;
}

void rep_incoming_release(struct rep *r)
{
	rep_snap_release(&r->incoming);
	g_clear_pointer(&r->incoming_data, g_byte_array_unref);
}

/* Replaces log and state by the received snapshot, once it is complete. */
static void install_snapshot(struct rep *r, const struct rep_msg *m)
{
	struct rep_snap s = m->snap;

	assert(s.index > r->commit);
	s.data = g_byte_array_free_to_bytes(r->incoming_data);
	r->incoming_data = NULL;
	/* The snapshot covers or replaces these entries. */
	g_ptr_array_set_size(r->out.append, 0);
	g_ptr_array_set_size(r->out.commit, 0);
	rep_log_reset(r, s.index, s.term);
	r->commit = s.index;
	r->base_voters = s.voters;
	r->base_voters_index = s.voters_index;
	rep_set_voters(r, &s.voters, s.voters_index);
	rep_snap_copy(&r->snap, &s);
	rep_snap_copy(&r->out.install, &s);
	g_bytes_unref(s.data);
	r->out.has_install = true;
	r->leader_match = MAX(r->leader_match, s.index);
	r->pending_ack_us = MAX(r->pending_ack_us, m->sent_us);
}

void rep_on_snap(struct rep *r, const struct rep_msg *m)
{
	const struct rep_snap *s = &m->snap;
	struct rep_msg *reply;
	gsize len = 0;
	const void *data = s->data ? g_bytes_get_data(s->data, &len) : NULL;

	rep_on_leader_contact(r, m);
	if (rep_term_at(r, s->index) == s->term) {
		/*
		 * The log has all entries of the snapshot.  An install would
		 * drop later entries, which were acknowledged.
		 */
		r->leader_match = MAX(r->leader_match, s->index);
		rep_set_commit(r, s->index);
	}
	if (s->index <= r->commit) {
		rep_send_ack(r, m->from, m->sent_us);
		return;
	}
	/*
	 * Snapshots of the same index by two leaders may have different bytes.
	 */
	if (!r->incoming_data || r->incoming_from != m->from ||
	    r->incoming_term != m->term || r->incoming.index != s->index ||
	    r->incoming_len != m->snap_len) {
		rep_incoming_release(r);
		r->incoming = *s;
		r->incoming.data = NULL;
		r->incoming_from = m->from;
		r->incoming_term = m->term;
		r->incoming_len = m->snap_len;
		r->incoming_data = g_byte_array_new();
	}
	if (m->snap_off == r->incoming_data->len &&
	    m->snap_off + len <= m->snap_len) {
		if (len)
			g_byte_array_append(r->incoming_data, data, (guint)len);
		if (r->incoming_data->len == m->snap_len) {
			install_snapshot(r, m);
			return;
		}
	}
	reply = rep_msg_to(r, REP_SNAP_REPLY, m->from);
	reply->ok = true;
	reply->snap.index = s->index;
	reply->snap_off = r->incoming_data->len;
	reply->snap_len = m->snap_len;
	reply->sent_us = m->sent_us;
	rep_send(r, reply);
}
