#ifndef TESTS_REP_GROUP_H
#define TESTS_REP_GROUP_H

/*
 * A few voters of a replicated log, between which the test itself delivers
 * messages and reports syncs.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "rep/rep.h"
#include "rep/rep_wire.h"

#define MAX_ID 6
#define MSEC USEC_PER_MSEC
#define MIN_ELECTION_US (1500 * MSEC)

static struct rep *voters[MAX_ID + 1]; /* voters by id, like the arrays below */
static int64_t now;
static bool isolated[MAX_ID + 1], no_sync[MAX_ID + 1];
/* Runs a version without joint lists, which its replies do not announce. */
static bool old_version[MAX_ID + 1];
static uint64_t unsynced_seq[MAX_ID + 1], applied[MAX_ID + 1];
static struct rep_vote saved_votes[MAX_ID + 1];
/* Entries on disk; the log is not compacted. */
static GPtrArray *stored_entries[MAX_ID + 1];
static GPtrArray *in_transit; /* messages not yet delivered */
static uint32_t max_msgs;
static size_t sent_bytes; /* of entries and snapshots */
/* Snapshot chunks are delivered this much later. */
static int64_t snap_delay_us;
static GPtrArray *late_msgs;
static GArray *late_due_us;

static struct rep *make_voter(uint32_t id, const struct rep_vote *vote)
{
	struct rep_cfg cfg = {.id = id, .seed = 5, .keep_entries = 4};
	struct rep_stored st = {0};

	if (vote)
		st.vote = *vote;
	return rep_new(&cfg, &st, now);
}

static void put_in_transit(struct rep_msg *m)
{
	int64_t due = now + snap_delay_us;

	for (guint i = 0; m->entries && i < m->entries->len; i++)
		sent_bytes += ((struct rep_entry *)m->entries->pdata[i])->len;
	if (m->snap.data)
		sent_bytes += g_bytes_get_size(m->snap.data);
	if (m->type != REP_SNAP || !snap_delay_us) {
		g_ptr_array_add(in_transit, m);
		return;
	}
	g_ptr_array_add(late_msgs, m);
	g_array_append_val(late_due_us, due);
}

static void take_late_msgs(void)
{
	while (late_msgs->len &&
	       g_array_index(late_due_us, int64_t, 0) <= now) {
		g_ptr_array_add(in_transit,
				g_ptr_array_steal_index(late_msgs, 0));
		g_array_remove_index(late_due_us, 0);
	}
}

static void carry_out_output(uint32_t id)
{
	struct rep_output out;

	rep_take_output(voters[id], &out);
	if (out.save_vote)
		saved_votes[id] = out.vote;
	if (out.has_install)
		applied[id] = out.install.index;
	for (guint i = 0; i < out.commit->len; i++) {
		struct rep_entry *e = out.commit->pdata[i];
		ck_assert_uint_eq(e->index, ++applied[id]);
	}
	for (guint i = 0; i < out.append->len; i++) {
		struct rep_entry *e = out.append->pdata[i];
		GPtrArray *log = stored_entries[id];

		while (log->len &&
		       ((struct rep_entry *)log->pdata[log->len - 1])->index >=
			       e->index)
			g_ptr_array_set_size(log, (gint)log->len - 1);
		g_ptr_array_add(log, rep_entry_ref(e));
	}
	if (out.write_seq)
		unsynced_seq[id] = out.write_seq;
	max_msgs = MAX(max_msgs, out.msgs->len);
	while (out.msgs->len)
		put_in_transit(g_ptr_array_steal_index(out.msgs, 0));
	rep_output_release(&out);
}

/* Delivers messages and reports syncs until there are none left. */
static void deliver_all(void)
{
	for (int round = 0; round < 200; round++) {
		for (uint32_t id = 1; id <= MAX_ID; id++) {
			if (!voters[id])
				continue;
			carry_out_output(id);
			if (unsynced_seq[id] && !no_sync[id]) {
				rep_synced(voters[id], now, unsynced_seq[id]);
				unsynced_seq[id] = 0;
				carry_out_output(id);
			}
		}
		if (!in_transit->len)
			return;
		while (in_transit->len) {
			struct rep_msg *m =
				g_ptr_array_steal_index(in_transit, 0);

			if (m->to <= MAX_ID && voters[m->to] &&
			    !isolated[m->to] && !isolated[m->from]) {
				m->reads_joint &= !old_version[m->from];
				rep_step(voters[m->to], now, m);
			}
			rep_msg_free(m);
		}
	}
	ck_abort_msg("messages without end");
}

static void run_for_us(int64_t us)
{
	for (int64_t end = now + us; now < end;) {
		now += 20 * MSEC;
		take_late_msgs();
		for (uint32_t id = 1; id <= MAX_ID; id++)
			if (voters[id])
				rep_tick(voters[id], now);
		deliver_all();
	}
}

static uint32_t leader(void)
{
	uint32_t found = 0;

	for (uint32_t id = 1; id <= MAX_ID; id++)
		if (voters[id] && !isolated[id] &&
		    rep_role(voters[id]) == REP_LEADER)
			found = id;
	return found;
}

static struct rep_voters initial_voters(uint32_t n)
{
	struct rep_voters vs = {.n = n};

	for (uint32_t i = 0; i < n; i++) {
		vs.v[i].id = n - i; /* descending: the order must not matter */
		g_snprintf(vs.v[i].addr, REP_ADDR_SIZE, "127.0.0.1:%u", n - i);
	}
	return vs;
}

/* Starts voters 1 to n, bootstrapped with the given list. */
static void setup_voters(uint32_t n, const struct rep_voters *vs)
{
	now = 1000 * USEC_PER_SEC;
	in_transit = g_ptr_array_new();
	late_msgs = g_ptr_array_new();
	late_due_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	snap_delay_us = 0;
	sent_bytes = 0;
	for (uint32_t id = 1; id <= MAX_ID; id++)
		stored_entries[id] =
			g_ptr_array_new_with_free_func(rep_entry_unref);
	for (uint32_t id = 1; id <= n; id++) {
		voters[id] = make_voter(id, NULL);
		ck_assert_int_eq(rep_bootstrap(voters[id], now, vs), 0);
	}
}

static void setup(void)
{
	struct rep_voters vs = initial_voters(3);

	setup_voters(3, &vs);
	run_for_us(4 * USEC_PER_SEC);
	ck_assert_uint_ne(leader(), 0);
}

static void teardown(void)
{
	for (uint32_t id = 1; id <= MAX_ID; id++) {
		rep_free(voters[id]);
		voters[id] = NULL;
		isolated[id] = no_sync[id] = old_version[id] = false;
		unsynced_seq[id] = applied[id] = 0;
		memset(&saved_votes[id], 0, sizeof(saved_votes[id]));
		g_clear_pointer(&stored_entries[id], g_ptr_array_unref);
	}
	g_ptr_array_set_free_func(in_transit, rep_msg_free);
	g_ptr_array_unref(in_transit);
	g_ptr_array_set_free_func(late_msgs, rep_msg_free);
	g_ptr_array_unref(late_msgs);
	g_array_unref(late_due_us);
}

static uint32_t next_voter(uint32_t id)
{
	return id % 3 + 1;
}

static void propose(struct rep *r, int n)
{
	uint64_t index;

	while (n--)
		ck_assert_int_eq(rep_propose(r, now, "data", 4, &index), 0);
}

static bool is_learner(uint32_t l, uint32_t id)
{
	const struct rep_voter *m = rep_voter_find(rep_voters(voters[l]), id);

	return m && m->learner;
}

static bool has_member(uint32_t l, uint32_t id)
{
	return rep_voter_find(rep_voters(voters[l]), id) != NULL;
}

static void check_commits(uint32_t l)
{
	uint64_t before = rep_commit_index(voters[l]);

	propose(voters[l], 1);
	run_for_us(500 * MSEC);
	ck_assert_uint_eq(leader(), l);
	ck_assert_uint_gt(rep_commit_index(voters[l]), before);
}

#endif
