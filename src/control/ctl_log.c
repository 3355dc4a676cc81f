#include "control/ctl.h"

#include <assert.h>
#include <string.h>
#include <sodium.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "control/ctl_departure.h"
#include "control/ctl_feed.h"
#include "control/ctl_status.h"
#include "obs/counter.h"
#include "obs/slog.h"
#include "rep/disk_writer.h"
#include "rep/rep_wire.h"

/*
 * Drives the replicated log: carries out its output in the order that rep.h
 * requires, and applies committed entries to the state machine.
 *
 * All events of one event loop iteration are handled before the output is
 * handed to the thread that writes (rep/disk_writer.h), so that proposals and
 * acknowledgements share one sync to disk.  The loop never waits for the disk:
 * a sync that takes seconds would keep it from sending and acknowledging
 * heartbeats, and the group would elect another leader (incident 16).
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

/*
 * Writes that take longer are logged.  Synced writes take below 5 ms on an idle
 * disk and up to 10 s were seen beside other writers.
 */
#define SLOW_WRITE_US (250 * USEC_PER_MSEC)

/* A job of the disk writer that is not known to be done. */
struct disk_write {
	struct list node;
	uint64_t job;
	uint64_t write_seq; /* of the output, or 0 */
	int64_t since_us;
	bool is_snapshot; /* of this state machine, not an installed one */
	struct rep_snap snap;
};

/* Messages that may depend on a vote that is not durable yet. */
struct held_msgs {
	struct list node;
	uint64_t after_job; /* the job of that vote */
	GPtrArray *msgs;
};

/* A proposal whose entry is appended and not applied yet. */
struct pending_proposal {
	uint64_t term; /* of its entry */
	int64_t proposed_us;
	ctl_result_fn fn;
	void *ctx;
};

/* Reports a disk error and ends the event loop with it. */
static void fail_on_disk_error(struct ctl *c, int err)
{
	log_error("disk", "%s", disk_error(c->disk));
	ctl_event(c, EV_KIND_STORAGE, NULL, NULL, "%s", disk_error(c->disk));
	c->exit_error = err;
	ev_break(c->loop, EVBREAK_ALL);
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
	if (!c->feed)
		return;
	ctl_feed_tree_changed(c->feed);
	ctl_departure_load(c);
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

/* Called by the thread of the disk writer. */
static void wake_loop(void *ctx)
{
	struct ctl *c = ctx;

	ev_async_send(c->loop, &c->disk_progress);
}

/* ctl_log_pump() does the work, before the loop waits again. */
static void on_disk_progress(struct ev_loop *loop, ev_async *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
}

static void start_disk_writer(struct ctl *c)
{
	ev_async_init(&c->disk_progress, on_disk_progress);
	ev_async_start(c->loop, &c->disk_progress);
	c->disk_writer = disk_writer_new(c->disk, wake_loop, c);
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
	start_disk_writer(c);
	return 0;
}

static void disk_write_free(struct disk_write *w)
{
	list_del(&w->node);
	rep_snap_release(&w->snap);
	g_free(w);
}

static void held_msgs_free(struct held_msgs *h)
{
	list_del(&h->node);
	g_ptr_array_unref(h->msgs);
	g_free(h);
}

void ctl_log_close(struct ctl *c)
{
	ctl_log_fail_pending(c);
	if (c->disk_writer) {
		disk_writer_free(c->disk_writer);
		ev_async_stop(c->loop, &c->disk_progress);
	}
	while (!list_empty(&c->disk_writes))
		disk_write_free(
			list_first(&c->disk_writes, struct disk_write, node));
	while (!list_empty(&c->held_msgs))
		held_msgs_free(
			list_first(&c->held_msgs, struct held_msgs, node));
	if (c->rep)
		rep_free(c->rep);
	if (c->sm)
		sm_free(c->sm);
	if (c->disk)
		disk_close(c->disk);
}

static void send_messages(struct ctl *c, const GPtrArray *msgs)
{
	for (guint i = 0; i < msgs->len; i++) {
		const struct rep_msg *m = msgs->pdata[i];
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

/* Sends messages, or keeps them until the newest vote is durable. */
static void send_or_hold(struct ctl *c, GPtrArray *msgs)
{
	struct held_msgs *h;

	if (!msgs->len)
		return;
	if (c->vote_job <= c->disk_done) {
		send_messages(c, msgs);
		return;
	}
	h = g_new0(struct held_msgs, 1);
	h->after_job = c->vote_job;
	h->msgs = g_ptr_array_ref(msgs);
	list_add_tail(&c->held_msgs, &h->node);
}

static void release_held_msgs(struct ctl *c)
{
	while (!list_empty(&c->held_msgs)) {
		struct held_msgs *h =
			list_first(&c->held_msgs, struct held_msgs, node);

		if (h->after_job > c->disk_done)
			return;
		send_messages(c, h->msgs);
		held_msgs_free(h);
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
	if (cmd && cmd->body_case == MW__COMMAND__BODY_DEPARTURE && !r->err)
		ctl_departure_applied(c, cmd->departure);
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

static struct disk_write *submit_write(struct ctl *c,
				       const struct disk_job *job)
{
	struct disk_write *w = g_new0(struct disk_write, 1);

	w->job = disk_writer_submit(c->disk_writer, job);
	w->since_us = clock_mono_us();
	list_add_tail(&c->disk_writes, &w->node);
	return w;
}

/* Hands what an output has to write to the disk writer. */
static void write_output(struct ctl *c, struct rep_output *out)
{
	struct disk_job job = {.save_vote = out->save_vote, .vote = out->vote};
	struct disk_write *w;

	if (!out->save_vote && !out->has_install && !out->append->len)
		return;
	if (out->has_install) {
		job.has_snap = job.reset_log = true;
		job.snap = out->install;
	}
	if (out->append->len)
		job.append = out->append;
	w = submit_write(c, &job);
	w->write_seq = out->write_seq;
	if (out->save_vote)
		c->vote_job = w->job;
}

/*
 * What is committed is applied without waiting for the own disk, as a majority
 * has it on theirs.
 */
static void carry_out(struct ctl *c, struct rep_output *out)
{
	write_output(c, out);
	send_or_hold(c, out->msgs);
	if (out->has_install)
		restore_snapshot(c, &out->install);
	for (guint i = 0; i < out->commit->len && !c->exit_error; i++)
		apply_entry(c, out->commit->pdata[i]);
}

/* A snapshot of the state machine is durable: drops what it replaces. */
static void finish_snapshot(struct ctl *c, const struct disk_write *w)
{
	c->snapshot_pending = false;
	if (rep_compact(c->rep, w->snap.index, w->snap.data) < 0)
		return; /* the leader has sent a newer one meanwhile */
	c->last_snapshot_index = w->snap.index;
	c->last_snapshot_bytes = g_bytes_get_size(w->snap.data);
}

static void finish_write(struct ctl *c, const struct disk_write *w)
{
	int64_t now = clock_mono_us();
	int64_t took_us = now - w->since_us;

	counter_observe(C_SYNC_US, NULL, took_us);
	if (took_us >= SLOW_WRITE_US) {
		struct slog l = slog_begin("slow_write");
		slog_int(&l, "took_us", took_us);
		slog_int(&l, "term", (int64_t)rep_term(c->rep));
		slog_int(&l, "log_index", (int64_t)rep_last_index(c->rep));
		slog_end(&l);
	}
	if (w->is_snapshot)
		finish_snapshot(c, w);
	if (w->write_seq)
		rep_synced(c->rep, now, w->write_seq);
}

/* Takes note of the writes that the disk writer has done. */
static void finish_writes(struct ctl *c)
{
	struct disk_progress progress;

	disk_writer_progress(c->disk_writer, &progress);
	c->disk_done = progress.done;
	c->disk_log_bytes = progress.log_bytes;
	while (!list_empty(&c->disk_writes)) {
		struct disk_write *w =
			list_first(&c->disk_writes, struct disk_write, node);

		if (w->job > progress.done)
			break;
		finish_write(c, w);
		disk_write_free(w);
	}
	if (progress.error)
		fail_on_disk_error(c, progress.error);
	else
		release_held_msgs(c);
}

/* Takes a snapshot of the state machine and has it saved. */
static void snapshot_if_due(struct ctl *c)
{
	struct disk_job job = {.has_snap = true};
	struct buf b = BUF_INIT;
	struct disk_write *w;

	if (c->snapshot_pending ||
	    (c->applied - c->last_snapshot_index < SNAPSHOT_ENTRIES &&
	     c->disk_log_bytes < SNAPSHOT_LOG_BYTES &&
	     c->tail_bytes <
		     MAX(c->last_snapshot_bytes, SNAPSHOT_TAIL_MIN_BYTES)))
		return;
	if (c->applied == c->last_snapshot_index ||
	    rep_snap_header_at(c->rep, c->applied, &job.snap) < 0)
		return;
	sm_snapshot(c->sm, &b);
	job.snap.data = g_bytes_new(buf_head(&b), buf_unread(&b));
	buf_release(&b);
	w = submit_write(c, &job);
	w->is_snapshot = true;
	w->snap = job.snap;
	c->snapshot_pending = true;
	c->tail_bytes = 0;
}

void ctl_log_pump(struct ctl *c)
{
	finish_writes(c);
	while (!c->exit_error) {
		struct rep_output out;
		rep_take_output(c->rep, &out);
		bool empty = !out.save_vote && !out.has_install &&
			     !out.append->len && !out.msgs->len &&
			     !out.commit->len && !out.write_seq;
		if (!empty)
			carry_out(c, &out);
		rep_output_release(&out);
		if (empty)
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
