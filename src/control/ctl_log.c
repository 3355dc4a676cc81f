#include "control/ctl.h"

#include <assert.h>
#include <string.h>
#include <sodium.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "control/ctl_feed.h"
#include "control/ctl_status.h"
#include "obs/counter.h"
#include "obs/slog.h"
#include "rep/rep_wire.h"

/*
 * Drives the replicated log: carries out its output in the order that rep.h
 * requires, and applies committed entries to the state machine.
 *
 * All events of one event loop iteration are handled before the output is
 * written, so that proposals and acknowledgements share one sync to disk.
 */

/* A snapshot is due after this many entries or bytes of log on disk. */
#define SNAPSHOT_ENTRIES 20000
#define SNAPSHOT_LOG_BYTES (16u << 20)
/*
 * It is also due when the entries after the last one are larger than that
 * snapshot and than this: a new member gets both, and at 10 Mbit/s, the slowest
 * links, this takes 0.8 s.
 */
#define SNAPSHOT_TAIL_MIN_BYTES (1u << 20)

/* A proposal whose entry is appended and not applied yet. */
struct pending_proposal {
	uint64_t term; /* of its entry */
	int64_t proposed_us;
	ctl_result_fn fn;
	void *ctx;
};

/* Reports a disk error and ends the event loop with it. */
static int fail_on_disk_error(struct ctl *c, int err)
{
	log_error("disk", "%s", disk_error(c->disk));
	ctl_event(c, EV_KIND_STORAGE, NULL, NULL, "%s", disk_error(c->disk));
	c->exit_error = err;
	ev_break(c->loop, EVBREAK_ALL);
	return err;
}

/* Replaces the state machine by that of a snapshot. */
static void restore_snapshot(struct ctl *c, const struct rep_snap *snap)
{
	size_t len;
	const void *data = g_bytes_get_data(snap->data, &len);
	struct sm *sm;
	int r = sm_restore(data, len, &sm);

	if (r < 0) {
		log_error("log", "the state machine cannot load a snapshot");
		c->exit_error = r;
		ev_break(c->loop, EVBREAK_ALL);
		return;
	}
	sm_free(c->sm);
	c->sm = sm;
	c->applied = c->last_snapshot_index = snap->index;
	c->last_snapshot_bytes = len;
	c->tail_bytes = 0;
	ctl_keep_version(c);
	if (c->feed)
		ctl_feed_tree_changed(c->feed);
}

/*
 * With --seeds the voter id belongs to the disk: it is generated for an empty
 * data folder and stored before it is sent to any other process.
 */
static int load_voter_id(struct ctl *c, const struct rep_stored *stored)
{
	struct rep_vote vote = stored->vote;

	if (!c->conf->seed_nr)
		return 0;
	if (!vote.id) {
		vote.id = disk_new_voter_id();
		int r = disk_save_vote(c->disk, &vote);
		if (r < 0) {
			log_error("disk", "%s", disk_error(c->disk));
			return r;
		}
	}
	c->conf->voter = (int)vote.id;
	return 0;
}

int ctl_log_open(struct ctl *c)
{
	struct rep_stored stored;
	int64_t now = clock_mono_us();
	int r = disk_open(c->conf->data, &c->disk);

	if (r < 0) {
		log_error("disk", "%s", disk_error(c->disk));
		return r;
	}
	r = disk_load(c->disk, &stored);
	if (r < 0) {
		log_error("disk", "%s", disk_error(c->disk));
		return r;
	}
	r = load_voter_id(c, &stored);
	if (r < 0) {
		rep_stored_release(&stored);
		return r;
	}
	c->sm = sm_new();
	ctl_keep_version(c);
	if (stored.snap.index)
		restore_snapshot(c, &stored.snap);
	if (c->exit_error) {
		rep_stored_release(&stored);
		return c->exit_error;
	}
	struct rep_cfg cfg = {.id = (uint32_t)c->conf->voter,
			      .id_of_disk = c->conf->seed_nr > 0};
	randombytes_buf(&cfg.seed, sizeof(cfg.seed));
	bool disk_empty = !stored.vote.term && !stored.vote.joined &&
			  !stored.snap.index &&
			  (!stored.entries || !stored.entries->len);
	c->rep = rep_new(&cfg, &stored, now);
	if (!c->rep) {
		log_error("log", "the data folder belongs to another voter or "
				 "is inconsistent");
		return -MW_ECORRUPT;
	}
	c->bootstrap_pending = c->conf->bootstrap && disk_empty &&
			       (!c->conf->seed_nr || ctl_boot_is_seed(c));
	return 0;
}

void ctl_log_close(struct ctl *c)
{
	ctl_log_fail_pending(c);
	if (c->rep)
		rep_free(c->rep);
	if (c->sm)
		sm_free(c->sm);
	if (c->disk)
		disk_close(c->disk);
}

static void send_messages(struct ctl *c, struct rep_output *out)
{
	for (guint i = 0; i < out->msgs->len; i++) {
		const struct rep_msg *m = out->msgs->pdata[i];
		struct peer *p = ctl_voter_peer(c, m->to);
		if (!p)
			continue;
		Mw__Frame f = MW__FRAME__INIT;
		f.body_case = MW__FRAME__BODY_REP;
		f.rep = rep_wire_from_msg(m);
		peer_send(p, &f);
		rep_wire_free(f.rep);
	}
}

static void apply_entry(struct ctl *c, const struct rep_entry *e)
{
	c->applied = e->index;
	c->tail_bytes += e->len;
	if (e->kind != REP_ENTRY_DATA)
		return;
	Mw__Result *r = sm_apply(c->sm, e->term, e->index, e->data, e->len);
	struct pending_proposal *w =
		g_hash_table_lookup(c->pending_proposals, &e->index);
	Mw__Command *cmd = mw__command__unpack(NULL, e->len, e->data);

	if (cmd && cmd->body_case == MW__COMMAND__BODY_CHANGE)
		ctl_change_applied(c, cmd->change, r);
	if (w) {
		ctl_result_fn fn = w->fn;
		void *ctx = w->ctx;
		/* With another term it is a later leader's entry instead. */
		int err = w->term == e->term ? 0 : -MW_EUNKNOWN;
		counter_observe(C_PROPOSAL_US, NULL,
				clock_mono_us() - w->proposed_us);
		g_hash_table_remove(c->pending_proposals, &e->index);
		if (fn)
			fn(err, err ? NULL : r, ctx);
	}
	if (cmd)
		mw__command__free_unpacked(cmd, NULL);
	mw__result__free_unpacked(r, NULL);
}

/*
 * Installs a snapshot, writes entries, sends the messages and syncs.  Sending
 * before the sync, which rep.h allows, lets the followers write meanwhile.
 */
static int write_and_send(struct ctl *c, struct rep_output *out)
{
	int64_t start = clock_mono_us();
	int r;

	if (out->has_install) {
		r = disk_save_snapshot(c->disk, &out->install, true);
		if (r < 0)
			return fail_on_disk_error(c, r);
		restore_snapshot(c, &out->install);
	}
	if (out->append->len) {
		r = disk_append(c->disk,
				(struct rep_entry *const *)out->append->pdata,
				out->append->len);
		if (r < 0)
			return fail_on_disk_error(c, r);
	}
	send_messages(c, out);
	if (!out->write_seq)
		return 0;
	r = disk_sync(c->disk);
	if (r < 0)
		return fail_on_disk_error(c, r);
	counter_observe(C_SYNC_US, NULL, clock_mono_us() - start);
	return 0;
}

static int carry_out(struct ctl *c, struct rep_output *out)
{
	if (out->save_vote) {
		int r = disk_save_vote(c->disk, &out->vote);
		if (r < 0)
			return fail_on_disk_error(c, r);
	}
	int r = write_and_send(c, out);
	if (r < 0)
		return r;
	for (guint i = 0; i < out->commit->len; i++)
		apply_entry(c, out->commit->pdata[i]);
	if (out->write_seq)
		rep_synced(c->rep, clock_mono_us(), out->write_seq);
	return 0;
}

/* Takes a snapshot, saves it and removes the entries that it replaces. */
static void snapshot_if_due(struct ctl *c)
{
	struct rep_snap snap;
	struct buf b = BUF_INIT;

	if (c->applied - c->last_snapshot_index < SNAPSHOT_ENTRIES &&
	    disk_log_bytes(c->disk) < SNAPSHOT_LOG_BYTES &&
	    c->tail_bytes <
		    MAX(c->last_snapshot_bytes, SNAPSHOT_TAIL_MIN_BYTES))
		return;
	if (c->applied == c->last_snapshot_index ||
	    rep_snap_header_at(c->rep, c->applied, &snap) < 0)
		return;
	sm_snapshot(c->sm, &b);
	snap.data = g_bytes_new(buf_head(&b), buf_unread(&b));
	buf_release(&b);
	int r = disk_save_snapshot(c->disk, &snap, false);
	if (r < 0)
		fail_on_disk_error(c, r);
	else if (rep_compact(c->rep, c->applied, snap.data) == 0) {
		c->last_snapshot_index = c->applied;
		c->last_snapshot_bytes = g_bytes_get_size(snap.data);
		c->tail_bytes = 0;
	}
	rep_snap_release(&snap);
}

void ctl_log_pump(struct ctl *c)
{
	for (;;) {
		struct rep_output out;
		rep_take_output(c->rep, &out);
		bool empty = !out.save_vote && !out.has_install &&
			     !out.append->len && !out.msgs->len &&
			     !out.commit->len && !out.write_seq;
		int r = empty ? 0 : carry_out(c, &out);
		rep_output_release(&out);
		if (empty || r < 0 || c->exit_error)
			break;
	}
	if (!c->exit_error)
		snapshot_if_due(c);
	if (c->caught_up || c->exit_error || !rep_is_caught_up(c->rep) ||
	    c->applied < rep_commit_index(c->rep))
		return;
	c->caught_up = true;
	struct slog l = slog_begin("caught_up");
	slog_int(&l, "applied", (int64_t)c->applied);
	slog_int(&l, "tree_version", (int64_t)tree_version(sm_tree(c->sm)));
	slog_end(&l);
	ctl_feed_tree_changed(c->feed);
}

void ctl_propose(struct ctl *c, Mw__Command *cmd, ctl_result_fn fn, void *ctx)
{
	uint64_t index;

	cmd->now_ms = (uint64_t)(clock_wall_us() / USEC_PER_MSEC);
	size_t len = mw__command__get_packed_size(cmd);
	g_autofree uint8_t *data = g_malloc(len + 1);
	mw__command__pack(cmd, data);
	int r = rep_propose(c->rep, clock_mono_us(), data, len, &index);
	counter_add(C_PROPOSALS, err_info(r)->kind, 1);
	if (r < 0) {
		if (fn)
			fn(r, NULL, ctx);
		return;
	}
	struct pending_proposal *w = g_new(struct pending_proposal, 1);
	w->term = rep_term(c->rep);
	w->proposed_us = clock_mono_us();
	w->fn = fn;
	w->ctx = ctx;
	g_hash_table_replace(c->pending_proposals,
			     g_memdup2(&index, sizeof(index)), w);
}

void ctl_log_step(struct ctl *c, const Mw__RepMsg *m)
{
	struct rep_msg *msg = rep_wire_to_msg(m);

	if (!msg) {
		log_warn("log", "dropped a malformed replication message");
		return;
	}
	ctl_status_record_message(c->status, m->from, clock_mono_us());
	rep_step(c->rep, clock_mono_us(), msg);
	rep_msg_free(msg);
}

void ctl_log_fail_pending(struct ctl *c)
{
	GHashTable *old = c->pending_proposals;
	GHashTableIter iter;
	struct pending_proposal *w;

	c->pending_proposals = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	if (!old)
		return;
	g_hash_table_iter_init(&iter, old);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&w))
		if (w->fn)
			w->fn(-MW_EUNKNOWN, NULL, w->ctx);
	g_hash_table_destroy(old);
}
