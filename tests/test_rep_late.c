/*
 * Elections of a replicated log whose processes run late and whose disks are
 * slow: three voters that handle their messages and timers only when they run,
 * up to LATE_US after they could have, and whose writes take up to a second.
 */
#include <check.h>
#include <stdlib.h>

#include "base/clock.h"
#include "check_main.h"
#include "rep/rep.h"
#include "rep/rep_wire.h"

#define N 3
#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC
#define LATE_US (500 * MSEC)
#define SEEDS 200

/* A write of an output; the messages after a vote wait for it. */
struct pending {
	int64_t done_us;
	uint64_t write_seq;
	bool is_vote;
	GPtrArray *msgs;
};

struct proc {
	struct rep *r;
	bool dead;
	int64_t run_us, disk_free_us;
	int64_t late_us, stopped_until_us;
	int64_t sync_us, stall_until_us; /* a write takes up to sync_us */
	GQueue inbox, writes;
};

static struct {
	struct proc p[N + 1];
	GRand *rng;
	int64_t now;
} sim;

static void send_all(GPtrArray *msgs)
{
	while (msgs->len) {
		struct rep_msg *m = g_ptr_array_steal_index(msgs, 0);
		g_queue_push_tail(&sim.p[m->to].inbox, m);
	}
}

static void pending_free(void *data)
{
	struct pending *w = data;

	g_ptr_array_unref(w->msgs);
	g_free(w);
}

/*
 * As ctl_log.c: the writes are done one after another, and messages wait for
 * the newest vote only.
 */
static void carry_out(struct proc *p)
{
	struct pending *vote = NULL;
	struct rep_output out;

	rep_take_output(p->r, &out);
	if (out.save_vote || out.write_seq) {
		struct pending *w = g_new0(struct pending, 1);

		p->disk_free_us = MAX(p->disk_free_us, sim.now);
		p->disk_free_us = MAX(p->disk_free_us, p->stall_until_us);
		if (p->sync_us)
			p->disk_free_us += g_rand_int_range(sim.rng, 0,
							    (gint32)p->sync_us);
		w->done_us = p->disk_free_us;
		w->write_seq = out.write_seq;
		w->is_vote = out.save_vote;
		w->msgs = g_ptr_array_new_with_free_func(rep_msg_free);
		g_queue_push_tail(&p->writes, w);
	}
	for (GList *l = p->writes.head; l; l = l->next)
		if (((struct pending *)l->data)->is_vote)
			vote = l->data;
	while (vote && out.msgs->len)
		g_ptr_array_add(vote->msgs,
				g_ptr_array_steal_index(out.msgs, 0));
	send_all(out.msgs);
	rep_output_release(&out);
}

static void run(struct proc *p)
{
	struct pending *w;
	struct rep_msg *m;

	while ((w = g_queue_peek_head(&p->writes)) && w->done_us <= sim.now) {
		g_queue_pop_head(&p->writes);
		send_all(w->msgs);
		if (w->write_seq)
			rep_synced(p->r, sim.now, w->write_seq);
		pending_free(w);
	}
	/* libev calls timers before the handlers of sockets. */
	rep_tick(p->r, sim.now);
	carry_out(p);
	while ((m = g_queue_pop_head(&p->inbox))) {
		rep_step(p->r, sim.now, m);
		rep_msg_free(m);
	}
	carry_out(p);
}

static void run_for_us(int64_t us)
{
	for (int64_t end = sim.now + us; sim.now < end; sim.now += 5 * MSEC) {
		for (int id = 1; id <= N; id++) {
			struct proc *p = &sim.p[id];

			if (p->dead || sim.now < p->run_us ||
			    sim.now < p->stopped_until_us)
				continue;
			run(p);
			p->run_us = sim.now + 5 * MSEC;
			if (p->late_us)
				p->run_us += g_rand_int_range(
					sim.rng, 0, (gint32)p->late_us);
		}
	}
}

static int leader(void)
{
	for (int id = 1; id <= N; id++)
		if (!sim.p[id].dead && rep_leader_ready(sim.p[id].r) &&
		    rep_lease_valid(sim.p[id].r, sim.now))
			return id;
	return 0;
}

/* Runs until a leader serves; returns how long that took. */
static int64_t wait_for_leader(void)
{
	int64_t from = sim.now;

	while (!leader() && sim.now - from < 120 * SEC)
		run_for_us(5 * MSEC);
	return sim.now - from;
}

static void start(uint32_t seed)
{
	struct rep_voters vs = {.n = N};

	memset(&sim, 0, sizeof(sim));
	sim.now = 1000 * SEC;
	sim.rng = g_rand_new_with_seed(seed);
	for (uint32_t id = 1; id <= N; id++) {
		struct rep_cfg cfg = {.id = id, .seed = seed};
		struct rep_stored stored = {0};

		vs.v[id - 1].id = id;
		sim.p[id].r = rep_new(&cfg, &stored, sim.now);
		g_queue_init(&sim.p[id].inbox);
		g_queue_init(&sim.p[id].writes);
	}
	for (int id = 1; id <= N; id++)
		ck_assert_int_eq(rep_bootstrap(sim.p[id].r, sim.now, &vs), 0);
	ck_assert_int_lt(wait_for_leader(), 5 * SEC);
	run_for_us(SEC);
}

static void end(void)
{
	for (int id = 1; id <= N; id++) {
		rep_free(sim.p[id].r);
		g_queue_clear_full(&sim.p[id].inbox, rep_msg_free);
		g_queue_clear_full(&sim.p[id].writes, pending_free);
	}
	g_rand_free(sim.rng);
}

struct result {
	int64_t mean_us, max_us;
	uint64_t max_terms;
};

/* Kills the leader; how long the others are without one, over all seeds. */
static struct result measure(int64_t late_us, int64_t sync_us, bool one_late)
{
	struct result res = {0};

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		uint64_t before;
		int64_t took;
		int lost;

		start(seed);
		for (int id = 1; id <= N; id++) {
			if (!one_late || id == leader() % N + 1)
				sim.p[id].late_us = late_us;
			sim.p[id].sync_us = sync_us;
		}
		run_for_us(5 * SEC);
		wait_for_leader();
		lost = leader();
		before = rep_term(sim.p[lost].r);
		sim.p[lost].dead = true;
		took = wait_for_leader();
		res.mean_us += took / SEEDS;
		res.max_us = MAX(res.max_us, took);
		if (leader())
			res.max_terms =
				MAX(res.max_terms,
				    rep_term(sim.p[leader()].r) - before);
		end();
	}
	g_print("late %d ms, sync %d ms%s: mean %d ms, max %d ms, %d terms\n",
		(int)(late_us / MSEC), (int)(sync_us / MSEC),
		one_late ? ", one late" : "", (int)(res.mean_us / MSEC),
		(int)(res.max_us / MSEC), (int)res.max_terms);
	return res;
}

/*
 * Guards against elections that never complete since a round ends before the
 * answers of late processes arrive (before: 41 s and 32 terms), or since the
 * votes take long to be written.  What the bounds allow beyond 2 s, the longest
 * election timeout, is four to six steps of up to 0.5 s, and for the disk up to
 * three writes one after another.
 */
START_TEST(test_leader_lost)
{
	ck_assert_int_le(measure(0, 0, false).max_us, 2500 * MSEC);
	struct result r = measure(LATE_US, 0, false);
	ck_assert_int_le(r.mean_us, 4 * SEC);
	ck_assert_int_le(r.max_us, 6 * SEC);
	ck_assert_uint_le(r.max_terms, 2);
	r = measure(LATE_US, 0, true);
	ck_assert_int_le(r.mean_us, 3500 * MSEC);
	ck_assert_int_le(r.max_us, 5 * SEC);
	r = measure(0, SEC, false);
	ck_assert_int_le(r.mean_us, 4 * SEC);
	ck_assert_int_le(r.max_us, 6 * SEC);
	ck_assert_uint_le(r.max_terms, 2);
	r = measure(LATE_US, SEC, false);
	ck_assert_int_le(r.max_us, 9 * SEC);
	ck_assert_uint_le(r.max_terms, 2);
}
END_TEST

/*
 * Guards against two voters that start their elections at the same time again
 * and again, each with its own vote.
 */
START_TEST(test_lockstep)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		uint64_t before;
		int lost;

		start(seed);
		lost = leader();
		before = rep_term(sim.p[lost].r);
		sim.p[lost].dead = true;
		/* Both find that their timeouts have passed, and then run. */
		for (int id = 1; id <= N; id++)
			sim.p[id].stopped_until_us = sim.now + 2500 * MSEC;
		ck_assert_int_le(wait_for_leader(), 2800 * MSEC);
		ck_assert_uint_eq(rep_term(sim.p[leader()].r), before + 1);
		end();
	}
}
END_TEST

static uint64_t propose(int id)
{
	uint64_t index;

	ck_assert_int_eq(rep_propose(sim.p[id].r, sim.now, "data", 4, &index),
			 0);
	return index;
}

/*
 * Guards against a leader that loses its followers to a stall of its own disk
 * or that of all, and against one that leads on while its disk stands still.
 */
START_TEST(test_disk_stall)
{
	uint64_t term, index;
	int l, other;

	start(1);
	l = leader();
	term = rep_term(sim.p[l].r);
	/* Of all disks, for 20 s: the same leader, and nothing is committed. */
	for (int id = 1; id <= N; id++)
		sim.p[id].stall_until_us = sim.now + 20 * SEC;
	index = propose(l);
	run_for_us(19 * SEC);
	ck_assert_int_eq(leader(), l);
	ck_assert_uint_lt(rep_commit_index(sim.p[l].r), index);
	run_for_us(2 * SEC);
	ck_assert_uint_ge(rep_commit_index(sim.p[l].r), index);
	ck_assert_uint_eq(rep_term(sim.p[l].r), term);
	/* Of the leader's disk, for 3 s: the others' disks suffice. */
	sim.p[l].stall_until_us = sim.now + 3 * SEC;
	index = propose(l);
	run_for_us(SEC);
	ck_assert_uint_ge(rep_commit_index(sim.p[l].r), index);
	run_for_us(3 * SEC);
	ck_assert_uint_eq(rep_term(sim.p[l].r), term);
	/* Of the leader's disk, without end: another one leads. */
	sim.p[l].stall_until_us = sim.now + 3600 * SEC;
	index = propose(l);
	run_for_us(10 * SEC);
	other = leader();
	ck_assert_int_ne(other, l);
	ck_assert_int_ne(other, 0);
	ck_assert_uint_ge(rep_commit_index(sim.p[other].r), index);
	index = propose(other);
	run_for_us(30 * SEC);
	ck_assert_int_eq(leader(), other);
	ck_assert_uint_ge(rep_commit_index(sim.p[other].r), index);
	end();
}
END_TEST

/*
 * Guards against a process that goes on leading after a stop of 3 s, and
 * against one that disturbs the group when it continues.
 */
START_TEST(test_stopped_process)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		uint64_t term;
		int l, next;

		start(seed);
		l = leader();
		sim.p[l].stopped_until_us = sim.now + 3 * SEC;
		run_for_us(2 * SEC);
		next = wait_for_leader() < SEC ? leader() : 0;
		ck_assert_int_ne(next, 0);
		ck_assert_int_ne(next, l);
		term = rep_term(sim.p[next].r);
		/* A follower is stopped, too, and continues. */
		sim.p[6 - l - next].stopped_until_us = sim.now + 6 * SEC;
		run_for_us(10 * SEC);
		ck_assert_int_eq(leader(), next);
		ck_assert_uint_eq(rep_term(sim.p[next].r), term);
		end();
	}
}
END_TEST

static void sync_output(struct rep *r, int64_t now)
{
	struct rep_output out;

	rep_take_output(r, &out);
	if (out.write_seq)
		rep_synced(r, now, out.write_seq);
	rep_output_release(&out);
}

static void step_reply(struct rep *r, int64_t now, uint32_t type, uint32_t from)
{
	struct rep_msg *m = rep_msg_new(type, from, 1, 2);

	m->ok = true;
	m->sent_us = now;
	rep_step(r, now, m);
	rep_msg_free(m);
	sync_output(r, now);
}

/* Sends entries 2 to 4 of term 2, of which the last two shrink the list. */
static void step_shrinking_entries(struct rep *r, int64_t now)
{
	static const struct rep_voters lists[] = {
		{.n = 4, .v = {{.id = 1}, {.id = 2}, {.id = 3}, {.id = 4}}},
		{.n = 3, .v = {{.id = 1}, {.id = 2}, {.id = 4}}}};
	struct rep_msg *m = rep_msg_new(REP_APPEND, 2, 1, 2);

	m->prev_index = m->prev_term = 1;
	m->commit = 4;
	m->entries = g_ptr_array_new_with_free_func(rep_entry_unref);
	g_ptr_array_add(m->entries, rep_entry_new(2, 2, REP_ENTRY_NOOP, "", 0));
	for (uint64_t i = 0; i < G_N_ELEMENTS(lists); i++) {
		g_autoptr(GByteArray) data = g_byte_array_new();

		rep_voters_pack(&lists[i], data);
		g_ptr_array_add(m->entries,
				rep_entry_new(3 + i, 2, REP_ENTRY_VOTERS,
					      data->data, data->len));
	}
	rep_step(r, now, m);
	rep_msg_free(m);
	sync_output(r, now);
}

/*
 * Guards against two leaders in one term: a vote that a stalled disk held back
 * arrives after another candidate of the term has led, has removed voters, and
 * was lost.  In the list that is left, the late vote would be a majority.
 */
START_TEST(test_vote_after_other_leader)
{
	struct rep_voters vs = {.n = 5};
	struct rep_cfg cfg = {.id = 1, .seed = 1};
	struct rep_stored stored = {0};
	int64_t now = 1000 * SEC;
	struct rep *r = rep_new(&cfg, &stored, now);

	for (uint32_t i = 0; i < vs.n; i++)
		vs.v[i].id = i + 1;
	ck_assert_int_eq(rep_bootstrap(r, now, &vs), 0);
	sync_output(r, now);
	now += 3 * SEC;
	rep_tick(r, now);
	sync_output(r, now);
	step_reply(r, now, REP_PREVOTE_REPLY, 2);
	step_reply(r, now, REP_PREVOTE_REPLY, 3);
	ck_assert_int_eq(rep_role(r), REP_CANDIDATE);
	ck_assert_uint_eq(rep_term(r), 2);
	step_shrinking_entries(r, now);
	ck_assert_uint_eq(rep_leader(r), 2);
	ck_assert_uint_eq(rep_voters(r)->n, 3);
	now += 5 * SEC;
	rep_tick(r, now);
	sync_output(r, now);
	ck_assert_int_eq(rep_role(r), REP_PRECANDIDATE);
	step_reply(r, now, REP_VOTE_REPLY, 4);
	ck_assert_int_ne(rep_role(r), REP_LEADER);
	rep_free(r);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_leader_lost, test_lockstep,
				      test_disk_stall, test_stopped_process,
				      test_vote_after_other_leader};

	return check_main("rep_late", tests, G_N_ELEMENTS(tests));
}
